//! Caps and retry budgets that many instances share.
//!
//! Instances tell each other what they have used, some times a second. Each counts its own use at
//! once and extrapolates what it has not heard of yet.

mod decaying_sum;
mod retry_share;
mod shared_cap;

/// The types most users of this crate need.
pub mod prelude {
    pub use crate::{CapLimits, RetryShare, RetryShareLimits, SharedCap};
}

pub use retry_share::{RetryShare, RetryShareLimits};
pub use shared_cap::{CapLimits, CapTotals, SharedCap};
