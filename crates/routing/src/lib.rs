//! Which upstream takes a call.
//!
//! [`UpstreamBook`] keeps what is known of each upstream of one service: its limit, what this
//! instance has in flight there, the last load report corrected for its lag, cached prompt prefixes
//! and failures. A [`Router`] chooses among the candidates that the book offers; [`PrefixRouter`]
//! weighs cached prefixes against the expected wait, [`RoundRobinRouter`] is the baseline. A
//! [`RetryBudget`] bounds how many attempts are tried again.
//!
//! ```
//! use hickorycourse_routing::prelude::*;
//!
//! let mut budget = RetryBudget::new(10);
//! for _ in 0..10 {
//!     budget.add_success();
//! }
//! assert!(budget.try_take());
//! ```

mod book;
mod load_estimate;
mod prefix;
mod retry_budget;
mod router;

/// The types most users of this crate need.
pub mod prelude {
    pub use crate::{
        AttemptOutcome, Candidate, LoadEstimate, LoadReport, PrefixBlocks, PrefixIndex,
        PrefixRouter, RetryBudget, RoundRobinRouter, RouteRequest, Router, UpstreamBook,
    };
}

pub use book::{AttemptOutcome, UpstreamBook, UpstreamStatus};
pub use load_estimate::{LoadEstimate, LoadReport};
pub use prefix::{BLOCK_BYTES, BYTES_PER_TOKEN, PrefixBlocks, PrefixIndex};
pub use retry_budget::{RetryBudget, draw_backoff_ms};
pub use router::{Candidate, PrefixRouter, RoundRobinRouter, RouteRequest, Router};
