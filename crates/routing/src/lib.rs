//! Selection of an upstream for each call.
//!
//! [`UpstreamTable`] holds the state of each upstream of one service: its concurrency limit, this
//! instance's calls in flight, the last load report corrected for its delay, cached prompt
//! prefixes and failures. A [`Router`] selects among the candidates from the table:
//! [`PrefixRouter`] weighs cached prefixes against load, [`RoundRobinRouter`] is the baseline. A
//! [`RetryBudget`] limits the number of retries.
//!
//! ```
//! use hickorycourse_routing::prelude::*;
//!
//! let mut budget = RetryBudget::new(10);
//! for _ in 0..10 {
//!     budget.record_success();
//! }
//! assert!(budget.try_acquire());
//! ```

mod load_estimate;
mod prefix;
mod retry_budget;
mod router;
mod upstream_table;

/// The types most users of this crate need.
pub mod prelude {
    pub use crate::{
        AttemptOutcome, Candidate, LoadEstimate, LoadReport, PrefixBlocks, PrefixIndex,
        PrefixRouter, RetryBudget, RoundRobinRouter, RouteRequest, Router, UpstreamTable,
    };
}

pub use load_estimate::{LoadEstimate, LoadReport};
pub use prefix::{BLOCK_BYTES, BYTES_PER_TOKEN, PrefixBlocks, PrefixIndex};
pub use retry_budget::{RetryBudget, draw_backoff_ms};
pub use router::{Candidate, PrefixRouter, RoundRobinRouter, RouteRequest, Router};
pub use upstream_table::{AttemptOutcome, UpstreamStatus, UpstreamTable};
