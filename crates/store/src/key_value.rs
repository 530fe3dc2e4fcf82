//! The border to the key-value service.

use std::pin::Pin;

use serde::{Deserialize, Serialize};

/// A future that stays on its thread.
pub type LocalFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// Why a call to the platform failed.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum PlatformError {
    /// The call had no effect and never will.
    #[error("the platform refused the call: {0}")]
    Refused(String),
    /// The call may have had its effect, or may have it later.
    #[error("the platform's answer was lost: {0}")]
    Uncertain(String),
    /// The answer could not be understood.
    #[error("the platform's answer could not be understood: {0}")]
    Nonsense(String),
}

/// A value in store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Stored {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The service's revision of the last write to this key.
    pub mod_revision: u64,
}

/// What became of a compare-and-swap.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Swap {
    /// The value was written.
    Swapped {
        /// The revision of the write.
        mod_revision: u64,
    },
    /// Another value stands there.
    Conflict {
        /// What stands there now; nothing if the key is absent.
        stored: Option<Stored>,
    },
}

/// A lease that the service has granted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Lease {
    /// The service's id for it.
    pub id: i64,
    /// How long it holds from the grant or the last renewal.
    pub ttl_ms: u64,
}

/// A change that a watch has seen.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WatchEvent {
    /// A value was written.
    Put(Stored),
    /// A key was deleted.
    Deleted {
        /// The key.
        key: String,
        /// The revision of the deletion.
        mod_revision: u64,
    },
}

/// A watch on a prefix. Dropping it ends it.
pub trait Watch {
    /// Waits for the next changes. An error or `None` means that the watch has ended and changes
    /// may have been missed.
    fn next(&mut self) -> LocalFuture<'_, Option<Result<Vec<WatchEvent>, PlatformError>>>;
}

/// The platform's key-value service.
pub trait KeyValue {
    /// Reads one key.
    fn get<'a>(&'a self, key: &'a str) -> LocalFuture<'a, Result<Option<Stored>, PlatformError>>;

    /// Reads the keys with a prefix that were written at `since_revision` or later.
    fn list<'a>(
        &'a self,
        prefix: &'a str,
        since_revision: u64,
    ) -> LocalFuture<'a, Result<Vec<Stored>, PlatformError>>;

    /// Writes a key if its last revision is `expected_revision`; 0 stands for an absent key.
    fn compare_and_swap<'a>(
        &'a self,
        key: &'a str,
        expected_revision: u64,
        value: &'a [u8],
        lease: Option<Lease>,
    ) -> LocalFuture<'a, Result<Swap, PlatformError>>;

    /// Asks for a lease.
    fn grant_lease(&self, ttl_ms: u64) -> LocalFuture<'_, Result<Lease, PlatformError>>;

    /// Renews a lease; false if it has lapsed.
    fn renew_lease(&self, lease: Lease) -> LocalFuture<'_, Result<bool, PlatformError>>;

    /// Gives a lease back; its keys are deleted.
    fn revoke_lease(&self, lease: Lease) -> LocalFuture<'_, Result<(), PlatformError>>;

    /// Watches a prefix from now on.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
    ) -> LocalFuture<'a, Result<Box<dyn Watch>, PlatformError>>;
}
