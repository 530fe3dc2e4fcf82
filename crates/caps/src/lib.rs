//! Distributed rate limits (caps) and retry budgets.
//!
//! A [`SharedCap`] limits the usage of one organisation, counted in units (requests or tokens), over all
//! instances. Instances broadcast their usage in recent epochs to each other at a regular interval, and early
//! after a burst of usage; a broadcast received from a peer, or from one that sums the usage of several, is
//! a *report*. The counters only grow and are merged by their maximum, so it makes no difference who reports,
//! how often and in which order. Each instance counts its own usage immediately and extrapolates the usage
//! of its peers since their last report, so no request waits for coordination. A [`RetryBudgetShare`] needs no reports: each instance counts only its own
//! requests and retries against its share of the retry budget.

mod decaying_sum;
mod deciders;
mod epoch_counter;
mod grant_ledger;
mod lone_share;
mod reported_usage;
mod retry_budget_share;
mod shared_cap;
mod usage_window;

/// Types that most users of this crate need.
pub mod prelude {
    pub use crate::{CapLimits, RetryBudgetLimits, RetryBudgetShare, SharedCap, UsageReport};
}

pub use deciders::{DECIDERS_PER_ZONE, Decider, DeciderTable};
pub use epoch_counter::{CapTotals, EPOCH_MS, EpochCounter, EpochUsage, epoch_at};
pub use grant_ledger::{GrantLedger, GrantedUnits};
pub use reported_usage::UsageReport;
pub use retry_budget_share::{RetryBudgetLimits, RetryBudgetShare};
pub use shared_cap::{CapLimits, ReportSummary, SharedCap};
