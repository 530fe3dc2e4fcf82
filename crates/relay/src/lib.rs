//! Relays opaque requests and event streams along the operators' routes.
//!
//! The process takes callers' requests, finds their route and organisation in the document that
//! operators have set, places each at an upstream and passes the answer on unchanged. What a
//! platform speaks is translated by an adapter behind the traits in [`borders`]. Instances find each
//! other through the platform's store and tell each other in datagrams what changes too often for
//! it.

pub mod adapter;
mod attempt;
mod broadcast;
mod buffered_response;
mod call;
mod caller;
mod connections;
mod drain;
mod duty_tasks;
mod events;
mod members;
mod messages;
mod node;
mod planning;
mod server;
mod settings;
mod store_watch;
mod stream;

/// The types most users of this crate need.
pub mod prelude {
    pub use crate::adapter::{DutyClient, Protocol};
    pub use crate::{PlatformAdapter, RelaySettings, run};
}

pub use broadcast::digest_period_ms;
pub use events::EventTracker;
pub use members::{MemberRecord, MemberTable};
pub use server::{PlatformAdapter, run};
pub use settings::{
    AdmissionPolicy, Bounds, Duty, EventLogSettings, PlacementPolicy, PolicySettings, RelaySettings,
};
