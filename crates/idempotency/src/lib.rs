//! At-most-once claims for non-idempotent calls.
//!
//! A non-idempotent call is dispatched only after a claim that nobody else can hold. Two kinds of
//! claims exist:
//!
//! - With a key of the caller's, the claim is a record in the platform's key-value service. Records
//!   are grouped in shards, one value each; [`ClaimShard`] batches the changes to one value and
//!   settles lost answers by reading back.
//! - With an order id that an instance has issued beforehand, the issuing process is the only one
//!   that may run it, so its own memory ([`IssuedLedger`]) decides and the platform is not needed.
//!
//! Both are state machines without input or output: `handle(event, now) -> actions`.
//!
//! ```
//! use hickorycourse_idempotency::prelude::*;
//!
//! let mut ledger = IssuedLedger::new(60_000);
//! let sequence = ledger.issue(0);
//! assert_eq!(ledger.begin(sequence, 7, 10), ClaimAnswer::Granted);
//! assert_eq!(ledger.begin(sequence, 7, 20), ClaimAnswer::InProgress);
//! ```

mod claim_shard;
mod ledger;
mod order_id;
mod record;

/// The types most users of this crate need.
pub mod prelude {
    pub use crate::{
        BeginClaim, ClaimAction, ClaimAnswer, ClaimEvent, ClaimKey, ClaimShard, ClaimToken,
        IssuedLedger, OrderId, ReadOutcome, StoredAnswer, WriteOutcome,
    };
}

pub use claim_shard::{BeginClaim, ClaimAction, ClaimEvent, ClaimShard, ReadOutcome, WriteOutcome};
pub use ledger::IssuedLedger;
pub use order_id::{OrderId, OrderIdError};
pub use record::{
    ClaimAnswer, ClaimKey, ClaimRecord, ClaimToken, ShardValue, StoredAnswer, digest_request,
};
