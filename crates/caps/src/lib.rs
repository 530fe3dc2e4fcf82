//! Distributed rate limits (caps) and retry budgets.
//!
//! Instances broadcast their usage counters to each other several times a second. Each instance counts
//! its own usage immediately and extrapolates the usage of its peers since their last report, so no
//! request waits for coordination.

mod decaying_sum;
mod retry_budget_share;
mod shared_cap;

/// Types that most users of this crate need.
pub mod prelude {
    pub use crate::{CapLimits, RetryBudgetLimits, RetryBudgetShare, SharedCap};
}

pub use retry_budget_share::{RetryBudgetLimits, RetryBudgetShare};
pub use shared_cap::{CapLimits, CapTotals, SharedCap};
