//! A written workload.

use serde::Deserialize;

/// Who calls, how often and for what.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// Addresses of the entries; calls go to them in turn, as behind a balancer.
    pub entries: Vec<String>,
    /// The model.
    pub model: String,
    /// How long calls are started.
    pub seconds: f64,
    /// The streams of calls.
    pub streams: Vec<CallStream>,
}

/// Calls of one caller with one rank.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallStream {
    /// Whose calls; only for the report.
    pub organisation: String,
    /// The caller's key.
    pub key: String,
    /// The rank.
    pub rank: String,
    /// Calls a second, on average; their gaps are exponential.
    pub calls_per_s: f64,
    /// From when, in seconds from the start.
    #[serde(default)]
    pub start_s: f64,
    /// Until when; the end of the workload if left out.
    #[serde(default)]
    pub end_s: Option<f64>,
    /// Bytes of each prompt that many calls share.
    pub shared_prefix_bytes: usize,
    /// Different shared starts.
    pub shared_prefixes: u64,
    /// Bytes of each prompt's own end.
    pub own_bytes: usize,
    /// Tokens of each answer.
    pub answer_tokens: u64,
    /// Target for the first token, for the report.
    pub target_ms: u64,
}
