//! State of the steward, the controller of one availability zone's engines: leader election and
//! replacement of instances.
//!
//! Both are state machines without I/O. [`ZoneLease`] elects one steward per zone and decides
//! whether it may send orders (messages with the desired state) to engines; [`ReplacementPlanner`]
//! decides which instances to start and when to retry a refused start.
//!
//! ```
//! use hickorycourse_steward::prelude::*;
//!
//! let mut lease = ZoneLease::new(3_000);
//! lease.record_acquired(1_000, 42);
//! assert_eq!(lease.fencing_token(), Some(42));
//! assert!(lease.may_order(1_500, true));
//! assert!(!lease.may_order(1_500, false), "orders of the previous holder may still be in flight");
//! ```

mod replacement;
mod zone_lease;

/// The types most users of this crate need.
pub mod prelude {
    pub use crate::{PlannedStart, ReplacementPlanner, ZoneLease};
}

pub use replacement::{PlannedStart, ReplacementPlanner};
pub use zone_lease::{ORDER_TIMEOUT_MS, ZoneLease};
