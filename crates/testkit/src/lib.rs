//! Real processes on loopback, for tests and `tools/run-local`.
//!
//! A [`Fleet`] starts stand-ins and entries as processes, each on a loopback address of its own, so
//! that tests can run side by side with fixed ports. It ends only what it started. A [`Relay`]
//! stands between two of them and cuts or silences the connections.

pub mod address;
pub mod fleet;
pub mod http;
pub mod instances;
pub mod process;
pub mod relay;

/// The types most users of this crate need.
pub mod prelude {
    pub use crate::fleet::{Entry, Fleet, FleetBuilder};
    pub use crate::http::{Answer, ask, chat_body, read_stream};
    pub use crate::process::Process;
    pub use crate::relay::Relay;
    pub use serde_json::{Value, json};
}
