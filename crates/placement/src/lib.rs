//! Which upstream takes a relayed request, and which requests are refused at once.
//!
//! Pure decisions: time is passed in, nothing is sent. A [`PlacementBook`] holds the upstreams of
//! one service and chooses the one with the shortest expected time to the first byte. An
//! [`AdmissionRule`] decides with that forecast whether a request is sent or refused.

mod admission;
mod book;
mod cost;
mod health;
mod request;

/// The types most users of this crate need.
pub mod prelude {
    pub use crate::{
        Admission, AdmissionRule, AttemptEnd, PlacementBook, PlacementRequest, PromptPart,
        TargetAdmission,
    };
}

pub use admission::{Admission, AdmissionRule, AdmitAll, Forecast, TargetAdmission};
pub use book::{Placement, PlacementBook, PlacementOptions, UpstreamLoad};
pub use cost::{CandidateView, CostRule, ExpectedWait, LeastRequests};
pub use health::{AttemptEnd, Health};
pub use request::{PlacementRequest, PromptPart};
