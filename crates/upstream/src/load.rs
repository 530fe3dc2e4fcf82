//! What upstreams report.

use serde::{Deserialize, Serialize};

/// Changes of an engine's prefix cache, in order of their numbers.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct CacheEvents {
    /// The number of the first event in here; a gap to the last one seen means that some were lost.
    pub first: u64,
    /// The number after the last event in here.
    pub next: u64,
    /// Blocks that were stored.
    pub stored: Vec<u64>,
    /// Blocks that were dropped.
    pub removed: Vec<u64>,
}

/// An upstream's report on its load and its cache.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct UpstreamReport {
    /// Calls it works on.
    pub running: u64,
    /// Calls that wait in its own queue.
    pub waiting: u64,
    /// Age of these numbers.
    pub age_ms: u64,
    /// Changes of its cache.
    pub cache: CacheEvents,
}
