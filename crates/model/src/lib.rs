//! A model of relays, engines and callers in virtual time.
//!
//! [`run`] plays a [`LoadPattern`] with a seed: callers ask, relays decide with the same code as the
//! relay process, engines read prompts and answer. The [`Report`] tells who was served.

mod engine;
mod pattern;
mod patterns;
mod relay;
mod report;
mod request;
mod world;

/// The types most users of this crate need.
pub mod prelude {
    pub use crate::{LoadPattern, Policy, Report, find_pattern, list_patterns, run};
}

pub use pattern::{CallerGroup, Comeback, Fault, LoadPattern, OrganisationCap, Surge};
pub use patterns::{find_pattern, list_patterns};
pub use relay::Policy;
pub use report::{GroupReport, Report};
pub use world::run;
