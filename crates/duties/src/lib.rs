//! What one instance does for all of them: reporting usage and ordering capacity.
//!
//! Pure state: time is passed in, nothing is sent. The time passed in must count time during which
//! the instance was suspended.

mod capacity;
mod lease;
mod true_time;
mod usage_windows;

/// The types most users of this crate need.
pub mod prelude {
    pub use crate::{DutyLease, FleetUsage, LeaseStep, TrueTime, UsageWindows};
}

pub use capacity::{
    CapacityCounts, CapacityDemand, CapacityOrder, CapacityPlanner, CapacityPlannerOptions,
    ZoneCapacity,
};
pub use lease::{DutyLease, LeaseOptions, LeaseStep};
pub use true_time::TrueTime;
pub use usage_windows::{FleetUsage, UsageWindows, WindowCounts};
