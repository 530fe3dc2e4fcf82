//! Child processes on loopback addresses for integration tests and `tools/run-local`.
//!
//! A [`Fleet`] starts entries and their fakes (platform, engines and services) as child processes;
//! a fake runs a stand-in, a command of `hickorycourse-standin`. Each process listens on a loopback
//! address of its own, so that tests can run in parallel with fixed ports. Only processes that the
//! fleet started are ended. A [`FaultProxy`] is a TCP proxy between two processes that injects
//! faults: it disconnects, blackholes or delays connections. A [`LinkProxy`] stands for the network
//! between one client and one server: packets are lost, or connections are refused or reset.
//!
//! [`Fleet`]: fleet::Fleet
//! [`FaultProxy`]: fault_proxy::FaultProxy
//! [`LinkProxy`]: link_proxy::LinkProxy

pub mod address;
pub mod fault_proxy;
pub mod fleet;
pub mod http;
pub mod instances;
pub mod link_proxy;
pub mod process;

/// Commonly used items, for glob imports.
pub mod prelude {
    pub use crate::fault_proxy::FaultProxy;
    pub use crate::fleet::{Entry, Fleet, FleetBuilder};
    pub use crate::http::{HttpResponse, chat_body, read_stream, send_request};
    pub use crate::link_proxy::{LinkFault, LinkProxy};
    pub use crate::process::Process;
    pub use serde_json::{Value, json};
}
