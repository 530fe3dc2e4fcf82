//! At-most-once execution of non-idempotent calls by means of exclusive claims.
//!
//! A non-idempotent call is dispatched only by the process that holds an exclusive claim on it.
//! There are two kinds of claims:
//!
//! - For an idempotency key chosen by the caller, the claim is a record in the platform's key-value
//!   service. Records are grouped into shards of one value each. [`ClaimShard`] batches the changes
//!   to a value into compare-and-swap writes; when the response to a write is lost, it reads the
//!   value back to determine the outcome.
//! - An order id is an idempotency key issued by an instance in advance. Only the issuing process
//!   may run the call, so the claim is kept in its memory ([`OrderIdTable`]) without involving the
//!   platform.
//!
//! Both are state machines that perform no I/O. [`ClaimShard::handle`] maps an event and the
//! current time to a list of actions for its owner to carry out.
//!
//! ```
//! use hickorycourse_idempotency::prelude::*;
//!
//! let mut order_ids = OrderIdTable::new(60_000);
//! let sequence = order_ids.issue(0);
//! assert_eq!(order_ids.begin(sequence, 7, 10), ClaimOutcome::Granted);
//! assert_eq!(order_ids.begin(sequence, 7, 20), ClaimOutcome::InProgress);
//! ```

mod claim_shard;
mod order_id;
mod order_id_table;
mod record;

/// The types most users of this crate need.
pub mod prelude {
    pub use crate::{
        ClaimAction, ClaimEvent, ClaimKey, ClaimOutcome, ClaimRequest, ClaimShard, ClaimToken,
        OrderId, OrderIdTable, ReadOutcome, StoredResponse, WriteOutcome,
    };
}

pub use claim_shard::{
    ClaimAction, ClaimEvent, ClaimRequest, ClaimShard, ReadOutcome, WriteOutcome,
};
pub use order_id::{OrderId, OrderIdError};
pub use order_id_table::OrderIdTable;
pub use record::{
    ClaimKey, ClaimOutcome, ClaimRecord, ClaimToken, ShardValue, StoredResponse, digest_request,
};
