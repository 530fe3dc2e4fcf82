//! Admitted share of each rank and size of request while a fleet is short of capacity.
//!
//! Free of I/O: the current time is an argument, in milliseconds of the instance's clock. Each instance
//! computes the shares from the demand that all instances report ([`FleetDemand`]) and from the capacity of
//! the upstreams ([`Capacity`]). It applies them by a hash of the request, so that instances agree without
//! asking each other.
//!
//! The *work* of a request is the time for which it occupies one slot of an upstream, and the time for which
//! its prompt occupies the upstream's prefill. Demand and capacity count both: slots, and upstreams that do
//! nothing but prefill.

mod control;
mod fleet;
mod meter;
mod shares;
mod work;

/// Types that most users of this crate need.
pub mod prelude {
    pub use crate::{Capacity, OverloadControl, OverloadDecision, WorkClass, WorkRequest};
}

pub use control::{OverloadControl, OverloadDecision, OverloadState};
pub use fleet::FleetDemand;
pub use meter::{ArrivalMeter, ResponseTimes};
pub use shares::{AdmittedShares, Capacity};
pub use work::{ClassCounts, ClassDemand, Demand, WorkClass, WorkCounts, WorkRequest};
