//! Usage counters and bills.
//!
//! Counters only grow and belong to one incarnation of one process. A flush writes them whole, so a
//! flush that is repeated, lost or late changes nothing: copies merge by taking the larger number.
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
    pub use crate::{Bill, BillLine, UsageBook, UsageCount, UsageKey, UsageRow, split_cents};
}

pub use bill::{Bill, BillLine, split_cents};
pub use counters::{UsageBook, UsageCount, UsageKey, UsageRow};
