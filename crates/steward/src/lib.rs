//! Decisions of the steward: who holds an availability zone's lease, and what is started anew.
//!
//! Both are state machines without input or output. [`LeaseTenure`] knows whether an order may be
//! given; [`ReplacementPlanner`] knows what to ask the cloud for, and when again after a refusal.
//!
//! ```
//! use hickorycourse_steward::prelude::*;
//!
//! let mut tenure = LeaseTenure::new(3_000);
//! tenure.start(1_000, 42);
//! assert_eq!(tenure.fencing(), Some(42));
//! assert!(tenure.may_order(1_500, true));
//! assert!(!tenure.may_order(1_500, false), "older orders may still be under way");
//! ```

mod lease;
mod replacement;

/// The types most users of this crate need.
pub mod prelude {
    pub use crate::{LeaseTenure, ReplacementPlanner, StartChoice};
}

pub use lease::{LeaseTenure, ORDER_FLIGHT_MS};
pub use replacement::{ReplacementPlanner, StartChoice};
