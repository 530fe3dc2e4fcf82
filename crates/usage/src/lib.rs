//! Usage metering by organisation, caller, service and rank, and allocation of the fleet's cost to
//! organisations.
//!
//! Each incarnation (one run of a process) has counters of its own, which never decrease. A flush
//! writes their full values to the platform's key-value service. Copies of the same counters are
//! merged by taking the maximum of each number, so repeated, lost or delayed flushes do not distort
//! the totals.
//!
//! ```
//! use hickorycourse_usage::prelude::*;
//!
//! let shares = split_cents(100, &[1, 1, 1]);
//! assert_eq!(shares.iter().sum::<u64>(), 100);
//! ```

mod bill;
mod counters;

/// The types most users of this crate need.
pub mod prelude {
    pub use crate::{Bill, BillLine, UsageCount, UsageKey, UsageRow, UsageTable, split_cents};
}

pub use bill::{Bill, BillLine, split_cents};
pub use counters::{UsageCount, UsageKey, UsageRow, UsageTable};
