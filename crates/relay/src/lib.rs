//! Relays opaque requests and event streams along the operators' routes.
//!
//! The process takes callers' requests, finds their route and organisation in the document that
//! operators have set, places each at an upstream and passes the answer on unchanged. What a
//! platform speaks is translated by an adapter behind the traits in [`borders`]. Instances find each
//! other through the platform's store and tell each other in datagrams what changes too often for
//! it.

mod attempt;
pub mod borders;
mod call;
mod caller;
mod connections;
mod drain;
mod duty_tasks;
mod events;
mod follow;
mod gossip;
mod members;
mod messages;
mod node;
mod planning;
mod server;
mod settings;
mod stream;
mod whole;

/// The types most users of this crate need.
pub mod prelude {
    pub use crate::borders::{DutyCalls, Protocol};
    pub use crate::{Borders, RelaySettings, run};
}

pub use events::EventTracker;
pub use gossip::digest_period_ms;
pub use members::{MemberRecord, Members};
pub use server::{Borders, run};
pub use settings::{
    AdmissionPolicy, Bounds, Duty, EventLogSettings, PlacementPolicy, PolicySettings, RelaySettings,
};
