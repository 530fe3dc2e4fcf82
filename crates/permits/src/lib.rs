//! Rate limits that upstreams name for all instances together.
//!
//! Load pattern: a limit of a few requests a second or less, kept by tens to thousands of instances,
//! each of which could exceed it with a single request. Counting after the fact is too late, so each
//! request to a limited upstream needs a *permit* before it is sent. One instance for each upstream, the
//! *issuer*, grants them.

mod claim_pause;
mod issuer;
mod issuer_choice;
mod limit_table;
mod rate_limit;

/// Types that most users of this crate need.
pub mod prelude {
    pub use crate::{Claim, Grant, LimitTable, PermitIssuer, RateLimit};
}

pub use claim_pause::claim_pause_ms;
pub use issuer::{Claim, Grant, HANDOVER_MS, PermitIssuer};
pub use issuer_choice::choose_issuer;
pub use limit_table::{KnownLimit, LimitChange, LimitNotice, LimitTable, MAX_NOTICES, NoticeError};
pub use rate_limit::RateLimit;
