//! Admission control: priority ranks, fair queueing and early refusal.
//!
//! An [`AdmissionQueue`] holds the requests of one service that wait for a concurrency slot at an
//! upstream. [`FairQueue`] serves ranks (priority classes) by urgency, reserves a floor (part of the
//! capacity) for each rank, and divides a rank's capacity among organisations by share and among the
//! callers of an organisation evenly. It refuses a request immediately if the predicted wait exceeds
//! its target for the first token. [`FifoQueue`] is the baseline.
//!
//! ```
//! use hickorycourse_admission::prelude::*;
//!
//! let mut queue = FairQueue::new();
//! let capacity =
//!     UpstreamCapacity { slots: 1, free_slots: 0, ms_per_token: 1.0, first_token_ms: 0 };
//! let request = QueuedRequest::new(1, "dealers", "waco", 0).with_cost(100);
//! assert!(queue.try_enqueue(request, 0, capacity).is_ok());
//! assert_eq!(queue.dequeue(5).map(|request| request.id), Some(1));
//! ```

mod fair;
mod fifo;
mod queue;
mod service_time;

/// The types most users of this crate need.
pub mod prelude {
    pub use crate::{
        AdmissionQueue, FairQueue, FifoQueue, QueueSummary, QueuedRequest, RankAtRisk, Refusal,
        ServiceTimeEstimate, UpstreamCapacity,
    };
}

pub use fair::FairQueue;
pub use fifo::FifoQueue;
pub use queue::{
    AdmissionQueue, ChargeCorrection, QueueSummary, QueuedRequest, RankAtRisk, Refusal,
    UpstreamCapacity,
};
pub use service_time::ServiceTimeEstimate;
