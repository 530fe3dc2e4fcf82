//! Who goes next: ranks, fair shares and early refusals.
//!
//! An [`AdmissionQueue`] holds the requests of one service that wait for a place at an upstream.
//! [`FairQueue`] serves ranks by urgency above floors, organisations by share and callers evenly
//! inside a rank, and refuses at once what can't make its target. [`FifoQueue`] is the baseline.
//!
//! ```
//! use hickorycourse_admission::prelude::*;
//!
//! let mut queue = FairQueue::new();
//! let supply = Supply { slots: 1, free_slots: 0, ms_per_token: 1.0, first_token_ms: 0 };
//! let ticket = Ticket::new(1, "dealers", "waco", 0).with_cost(100);
//! assert!(queue.offer(ticket, 0, supply).is_ok());
//! assert_eq!(queue.take_next(5).map(|ticket| ticket.id), Some(1));
//! ```

mod fair;
mod fifo;
mod queue;
mod service_time;

/// The types most users of this crate need.
pub mod prelude {
    pub use crate::{
        AdmissionQueue, FairQueue, FifoQueue, QueueSummary, RankAtRisk, Refusal, ServiceTime,
        Supply, Ticket,
    };
}

pub use fair::FairQueue;
pub use fifo::FifoQueue;
pub use queue::{AdmissionQueue, QueueSummary, RankAtRisk, Refusal, Settlement, Supply, Ticket};
pub use service_time::ServiceTime;
