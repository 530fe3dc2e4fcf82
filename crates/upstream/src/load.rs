//! Load reports of upstreams.

use serde::{Deserialize, Serialize};

/// Changes of an engine's prefix cache; the engine numbers them consecutively.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct CacheEvents {
    /// Number of the first event included; a gap after the last event received means that events
    /// were lost.
    pub first: u64,
    /// Number that follows the last event included.
    pub next: u64,
    /// Blocks added to the cache.
    pub stored: Vec<u64>,
    /// Blocks evicted from the cache.
    pub removed: Vec<u64>,
}

/// An upstream's report on its load and its prefix cache.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct UpstreamReport {
    /// Number of calls that are being executed.
    pub running: u64,
    /// Number of calls in the upstream's queue.
    pub waiting: u64,
    /// Age of `running` and `waiting`.
    pub age_ms: u64,
    /// Recent changes of the prefix cache.
    pub cache: CacheEvents,
}
