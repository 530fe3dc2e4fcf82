//! Simulation of requests that crash engines, and of the quarantine of the parts that they share.
//!
//! Instances send requests to engines and record what they observe in a
//! [`PartQuarantine`](hickorycourse_quarantine::PartQuarantine), the same code as in the relay process.
//! They exchange digests with a delay. Placement is simplified and capacity is unlimited: only crashes
//! and the other faults of a [`CrashPattern`] keep requests from being answered.

mod exchange;
mod fleet;
mod pattern;
mod patterns;
mod report;
mod simulation;
mod troubles;
mod workload;

pub use pattern::{CrashPattern, CrashPolicy, CrashingPart, Trouble, TroubleStart};
pub use patterns::{find_crash_pattern, list_crash_patterns};
pub use report::{CrashReport, Verdict};
pub use simulation::run_crashes;
