//! Interface of the key-value service, and the error type of all platform calls.

use std::pin::Pin;

use serde::{Deserialize, Serialize};

/// A boxed future that is not `Send`.
pub type LocalFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// Why a call to the platform failed.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum PlatformError {
    /// The platform refused the connection or the call, which had no effect and will have none.
    #[error("the platform refused the call: {0}")]
    Refused(String),
    /// The outcome is unknown: the call may have taken effect, or may still do so.
    #[error("the outcome of the call to the platform is unknown: {0}")]
    Uncertain(String),
    /// The response could not be decoded.
    #[error("the platform's response was invalid: {0}")]
    InvalidResponse(String),
    /// The service no longer has the changes that a watch continues from; a new listing covers the
    /// gap.
    #[error("the history of the watch is gone: {0}")]
    HistoryLost(String),
}

/// A key and its value in the key-value service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeyValueRecord {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The store revision of the last write to this key; rises from era to era.
    pub mod_revision: u64,
}

/// Outcome of a compare-and-swap.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SwapOutcome {
    /// The value was written.
    Swapped {
        /// The revision of the write.
        mod_revision: u64,
    },
    /// The key's revision differed from the expected one; nothing was written.
    Conflict {
        /// The current record; `None` if the key is absent.
        stored: Option<KeyValueRecord>,
    },
}

/// A lease granted by the service. Keys attached to it are deleted when it expires or is revoked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Lease {
    /// The lease id assigned by the service.
    pub id: i64,
    /// Time to live from the grant or the last renewal.
    pub ttl_ms: u64,
    /// Era in which it was granted; a service that is restored from a backup may give out its id
    /// again.
    pub era: u64,
}

/// A change observed by a watch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WatchEvent {
    /// A value was written.
    Put(KeyValueRecord),
    /// A key was deleted.
    Deleted {
        /// The deleted key.
        key: String,
        /// The store revision of the deletion.
        mod_revision: u64,
    },
}

/// A watch on a key prefix. Dropping it cancels it.
pub trait Watch {
    /// Waits for the next batch of changes. After an error or `None` the watch has ended, and changes
    /// may have been missed.
    fn next(&mut self) -> LocalFuture<'_, Option<Result<Vec<WatchEvent>, PlatformError>>>;

    /// Sets the time for which a polling watch lets the service wait for changes; has no effect on a watch
    /// over a stream.
    fn set_poll_timeout_ms(&mut self, _timeout_ms: u64) {}

    /// Returns the revision up to which changes have been returned; 0 if the service does not tell.
    fn revision(&self) -> u64 {
        0
    }
}

/// The platform's key-value service.
pub trait KeyValue {
    /// Returns the highest era that the service has shown or [`Self::raise_era`] has set; 0 for a
    /// service without eras. The era rises when the service is restored from a backup: acknowledged
    /// writes and leases may then be gone.
    fn era(&self) -> u64 {
        0
    }

    /// Sets the era to one that another client has observed. Responses of lower eras are stale and
    /// are treated as failures from then on.
    fn raise_era(&self, _era: u64) {}

    /// Reads one key; `None` if it is absent.
    fn get<'a>(
        &'a self,
        key: &'a str,
    ) -> LocalFuture<'a, Result<Option<KeyValueRecord>, PlatformError>>;

    /// Reads the keys with `prefix` that were last written at revision `since_revision` or later.
    fn list<'a>(
        &'a self,
        prefix: &'a str,
        since_revision: u64,
    ) -> LocalFuture<'a, Result<Vec<KeyValueRecord>, PlatformError>>;

    /// Writes a key, attached to `lease` if given, if the key's revision is `expected_revision`; 0
    /// means that the key must be absent.
    fn compare_and_swap<'a>(
        &'a self,
        key: &'a str,
        expected_revision: u64,
        value: &'a [u8],
        lease: Option<Lease>,
    ) -> LocalFuture<'a, Result<SwapOutcome, PlatformError>>;

    /// Requests a lease; the granted time to live may differ from `ttl_ms`.
    fn grant_lease(&self, ttl_ms: u64) -> LocalFuture<'_, Result<Lease, PlatformError>>;

    /// Renews a lease; false if it has expired.
    fn renew_lease(&self, lease: Lease) -> LocalFuture<'_, Result<bool, PlatformError>>;

    /// Revokes a lease; the keys attached to it are deleted.
    fn revoke_lease(&self, lease: Lease) -> LocalFuture<'_, Result<(), PlatformError>>;

    /// Watches a key prefix for changes from the time of the call.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
    ) -> LocalFuture<'a, Result<Box<dyn Watch>, PlatformError>>;

    /// Watches a key prefix for changes after a revision; `None` if the service can't go on from there.
    /// The watch ends with [`PlatformError::HistoryLost`] if the changes since then are gone.
    fn watch_after<'a>(
        &'a self,
        _prefix: &'a str,
        _revision: u64,
    ) -> LocalFuture<'a, Result<Option<Box<dyn Watch>>, PlatformError>> {
        Box::pin(async { Ok(None) })
    }
}
