//! Which upstream takes a relayed request, and which requests are refused at once.
//!
//! Pure decisions: time is passed in, nothing is sent. A [`PlacementBook`] holds the upstreams of
//! one service and chooses the one with the shortest expected time to the first byte. An
//! [`AdmissionRule`] decides with that forecast whether a request is sent or refused.

mod admission;
mod book;
mod cost;
mod health;
mod reading;
mod request;
mod return_schedule;
mod upstream;
mod work;

/// The types most users of this crate need.
pub mod prelude {
    pub use crate::{
        Admission, AdmissionRule, AttemptEnd, PlacementBook, PlacementRequest, PromptPart,
        TargetAdmission,
    };
}

pub use admission::{Admission, AdmissionRule, AdmitAll, Forecast, TargetAdmission};
pub use book::{PeerWork, Placement, PlacementBook, PlacementOptions};
pub use cost::{CandidateView, CostRule, ExpectedWait, LeastRequests};
pub use health::{AttemptEnd, Health};
pub use request::{PlacementRequest, PromptPart};
pub use return_schedule::ReturnSchedule;
pub use upstream::{UpstreamLoad, Waiting};
pub use work::{RankedRates, WorkMeter};
