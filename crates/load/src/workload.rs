//! Format of the workload file.

use serde::Deserialize;

/// An open-loop workload.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// Addresses of the entries (host:port); calls go to them round-robin, as behind a load balancer.
    pub entries: Vec<String>,
    /// Model name sent in each call.
    pub model: String,
    /// Duration in seconds during which calls are started.
    pub seconds: f64,
    /// Independent streams of calls.
    pub streams: Vec<CallStream>,
}

/// Calls of one caller at one rank.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallStream {
    /// Organisation of the caller; used in the report and as a part of the prompts.
    pub organisation: String,
    /// Caller key.
    pub key: String,
    /// Rank, sent as `x-rank`.
    pub rank: String,
    /// Mean rate of calls per second; the intervals are distributed exponentially (Poisson arrivals).
    pub calls_per_s: f64,
    /// Start of the stream in seconds from the start of the run.
    #[serde(default)]
    pub start_s: f64,
    /// End of the stream in seconds from the start of the run; the end of the workload if absent.
    #[serde(default)]
    pub end_s: Option<f64>,
    /// Length in bytes of the prompt prefix shared by several calls.
    pub shared_prefix_bytes: usize,
    /// Number of distinct shared prefixes; each call draws one uniformly.
    pub shared_prefixes: u64,
    /// Minimum length in bytes of the random text that follows the prefix.
    pub own_bytes: usize,
    /// Length of each answer in tokens.
    pub answer_tokens: u64,
    /// Target of the time to first token; the report counts the answers within it as on time.
    pub target_ms: u64,
}
