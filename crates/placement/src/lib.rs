//! Load balancing and admission control for relayed requests.
//!
//! Free of I/O: the current time is an argument and nothing is sent. A [`PlacementTable`] holds the
//! load and health of the upstreams of one service. For each request it chooses the upstream with the
//! lowest cost by a [`CostRule`] and forecasts the time to the first byte there ([`Forecast`]). An
//! [`AdmissionRule`] decides by the forecast whether the request is sent or refused.
//!
//! *Prefill* is the phase in which an engine processes the prompt tokens before it generates the first
//! answer token. A *rank* is a priority class, given as `urgency`; 0 is the most urgent. A *slot* is
//! one place in an engine's batch. The *affinity upstream* of a prompt part is the upstream that all
//! instances prefer for requests with that part, so that it stays in one prefix cache. An *attempt* is
//! one dispatch of a request to an upstream.

mod admission;
mod backoff;
mod completion;
mod cost;
mod even;
mod fragile;
mod health;
mod latency;
mod limit;
mod overload;
mod pace;
mod permits;
mod request;
mod retry_schedule;
mod silence;
mod slot_use;
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

pub use hickorycourse_completion::Completion;
pub use hickorycourse_facts::{
    IgnoredReport, LoadSource, SpeedShare, UpstreamLoad, WaitingRequests,
};

pub use admission::{Admission, AdmissionRule, AdmitAll, Forecast, TargetAdmission};
pub use backoff::Backoff;
pub use completion::{CompletionRule, StreamedWork};
pub use cost::{CostComponents, CostRule, ExpectedWait, LeastRequests};
pub use even::{ChoiceCandidate, ChoiceRule, EvenLoad, LoadEvidence, LowestKnownCost};
pub use health::{AttemptOutcome, Health};
pub use overload::{FleetAdmission, OverloadRefusal};
pub use pace::Pace;
pub use permits::LimitedUpstream;
pub use request::{PlacementRequest, PromptPart};
pub use retry_schedule::RetrySchedule;
pub use silence::Silence;
pub use table::{Placement, PlacementOptions, PlacementTable, TokenDemand};
pub use token_rate::{RankedRates, TokenRateMeter};
