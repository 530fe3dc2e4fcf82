//! Load balancing and admission control for relayed requests.
//!
//! Free of I/O: the current time is an argument and nothing is sent. A [`PlacementTable`] holds the
//! load and health of the upstreams of one service and chooses the one with the shortest expected time
//! to the first byte. An [`AdmissionRule`] uses that forecast to send or refuse the request.
//!
//! *Prefill* is the phase in which an engine processes the prompt tokens before it generates the first
//! answer token. A *rank* is a priority class; 0 is the most urgent. A *slot* is one place in an
//! engine's batch.

mod admission;
mod cost;
mod health;
mod latency;
mod request;
mod retry_schedule;
mod table;
mod token_rate;
mod upstream;

/// Types that most users of this crate need.
pub mod prelude {
    pub use crate::{
        Admission, AdmissionRule, AttemptOutcome, PlacementRequest, PlacementTable, PromptPart,
        TargetAdmission,
    };
}

pub use admission::{Admission, AdmissionRule, AdmitAll, Forecast, TargetAdmission};
pub use cost::{CandidateView, CostRule, ExpectedWait, LeastRequests};
pub use health::{AttemptOutcome, Health};
pub use request::{PlacementRequest, PromptPart};
pub use retry_schedule::RetrySchedule;
pub use table::{Placement, PlacementOptions, PlacementTable, TokenDemand};
pub use token_rate::{RankedRates, TokenRateMeter};
pub use upstream::{UpstreamLoad, WaitingRequests};
