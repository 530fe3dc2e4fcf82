//! State of the duties: tasks that one elected instance, the holder, performs for the whole fleet.
//!
//! The duties are reporting usage and ordering upstream capacity. [`DutyLease`] elects the holder.
//! [`WallClockEstimator`] supplies the time that assigns an execution to a usage window,
//! [`UsageWindows`] counts the executions of one process, and [`FleetUsage`] merges the counts of
//! all processes. [`ArrivalPlanner`] plans the orders from arriving work, [`CapacityPlanner`] (the
//! baseline) from the responses in progress.
//!
//! All types are state machines without I/O: callers pass in the time in milliseconds of a
//! monotonic clock, which must also advance while the instance is suspended.

mod arrival_planner;
mod capacity;
mod demand;
mod lease;
mod planner;
mod reclaims;
mod usage_windows;
mod wall_clock;

/// The types most users of this crate need.
pub mod prelude {
    pub use crate::{DutyLease, FleetUsage, LeaseAction, UsageWindows, WallClockEstimator};
}

pub use arrival_planner::{ArrivalPlanner, ArrivalPlannerOptions};
pub use capacity::{
    CapacityCounts, CapacityDemand, CapacityOrder, CapacityPlanner, CapacityPlannerOptions,
    ZoneCapacity,
};
pub use demand::{ArrivalSample, DemandEstimate, DemandEstimator};
pub use lease::{DutyLease, LeaseAction, LeaseOptions};
pub use planner::{PlanCapacity, PlanInputs, PlanReason};
pub use reclaims::ReclaimModel;
pub use usage_windows::{FleetUsage, UsageSource, UsageWindows, WindowCounts};
pub use wall_clock::WallClockEstimator;
