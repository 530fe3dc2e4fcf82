//! Discrete-event simulation of relays, inference engines and callers.
//!
//! [`run`] simulates a [`LoadPattern`] with a seed: callers send requests, relays place and admit them
//! with the same code as the relay process, engines prefill the prompts and decode the answers. The
//! [`Report`] counts the outcomes by caller group. [`run_crashes`] simulates requests that crash engines,
//! see [`CrashPattern`], [`run_limits`] upstreams that name rate limits, see [`LimitPattern`],
//! [`run_partition`] instances that are cut off from all upstreams, see [`PartitionPattern`], and
//! [`run_resumption`] streams that are taken up again after kills, see [`ResumptionPattern`].

mod crashes;
mod engine;
mod exchange;
mod limits;
mod partitions;
mod pattern;
mod patterns;
mod relay;
mod report;
mod request;
mod resumption;
mod simulation;

/// The types most users of this crate need.
pub mod prelude {
    pub use crate::{LoadPattern, Policy, Report, find_pattern, list_patterns, run};
}

pub use crashes::{
    CrashPattern, CrashPolicy, CrashReport, CrashingPart, Trouble, TroubleStart, Verdict,
    find_crash_pattern, list_crash_patterns, run_crashes,
};
pub use limits::{LimitPattern, LimitPolicy, LimitReport, LimitTrouble, run_limits};
pub use partitions::{CutScope, PartitionPattern, PartitionReport, PeerPolicy, run_partition};
pub use pattern::{CallerGroup, Fault, LoadPattern, OrganisationCap, RetryBehaviour, Surge};
pub use patterns::{find_pattern, list_patterns, overload};
pub use relay::Policy;
pub use report::{GroupReport, Report, SecondReport};
pub use resumption::{ResumptionPattern, ResumptionReport, run_resumption};
pub use simulation::run;
