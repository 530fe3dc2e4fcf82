//! Outcomes and load of a simulation run.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;

/// Upper bound of the first-byte histogram; longer times count as this one.
const MAX_FIRST_BYTE_MS: u64 = 600_000;

/// Outcomes of a caller group. Each request ends in exactly one of `on_time`, `late`, `refused`, `failed`
/// and `abandoned`.
#[derive(Clone, Debug)]
pub struct GroupReport {
    /// Requests, each counted once however often it is retried.
    pub requests: u64,
    /// Completed answers whose first byte came within the target, counted from the first attempt.
    pub on_time: u64,
    /// Completed answers whose first byte missed the target.
    pub late: u64,
    /// Requests whose last attempt was refused.
    pub refused: u64,
    /// Requests whose engine or connection failed, or for which no engine was reachable.
    pub failed: u64,
    /// Requests at an engine when their caller timed out before the first byte.
    pub abandoned: u64,
    /// Prompt and output tokens of completed answers.
    pub tokens: u64,
    /// Time from the first attempt to the first byte of completed answers.
    pub first_byte_ms: Histogram<u64>,
}

impl GroupReport {
    pub(crate) fn new() -> eyre::Result<Self> {
        Ok(Self {
            requests: 0,
            on_time: 0,
            late: 0,
            refused: 0,
            failed: 0,
            abandoned: 0,
            tokens: 0,
            first_byte_ms: Histogram::new_with_max(MAX_FIRST_BYTE_MS, 3)?,
        })
    }

    /// Number of requests that have an outcome.
    pub fn ended_requests(&self) -> u64 {
        self.on_time + self.late + self.refused + self.failed + self.abandoned
    }

    /// Fraction of the requests that were answered on time.
    pub fn on_time_ratio(&self) -> f64 {
        self.on_time as f64 / self.requests.max(1) as f64
    }

    /// Fraction of the requests that were answered, on time or late.
    pub fn served_ratio(&self) -> f64 {
        (self.on_time + self.late) as f64 / self.requests.max(1) as f64
    }
}

/// Outcomes of the requests of a caller group that arrived in one second.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SecondReport {
    /// Requests.
    pub requests: u64,
    /// Those answered on time.
    pub on_time: u64,
    /// Those sent to an engine and answered late, or abandoned there.
    pub late: u64,
}

/// Result of a simulation run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Outcomes by name of the caller group.
    pub groups: BTreeMap<&'static str, GroupReport>,
    /// Attempts that arrived at relays, retries included.
    pub attempts: u64,
    /// Retries after a refusal, by the 100 ms interval of their arrival.
    pub retries_per_100ms: BTreeMap<u64, u64>,
    /// Prompt tokens that engines computed in prefill.
    pub prefilled_tokens: u64,
    /// The part of `prefilled_tokens` that belongs to shared prefixes.
    pub shared_tokens: u64,
    /// Sends to an engine in another zone than the relay's.
    pub cross_zone_attempts: u64,
    /// Sends from a relay to an engine.
    pub sent_attempts: u64,
    /// Outcomes by name of the caller group and second of the first arrival.
    pub seconds: BTreeMap<(&'static str, u64), SecondReport>,
    /// Tokens acquired from each organisation's cap, by second.
    pub cap_tokens_by_second: BTreeMap<&'static str, BTreeMap<u64, f64>>,
}

impl Report {
    /// Maximum number of retries within one 100 ms interval.
    pub fn peak_retries(&self) -> u64 {
        self.retries_per_100ms.values().copied().max().unwrap_or(0)
    }

    /// Formats the totals as a heading and the outcomes as a row per group.
    pub fn format_table(&self, title: &str) -> String {
        let mut lines = vec![format!(
            "{title}: {} attempts, {} came back ({} in the busiest 100 ms), {} of {} sent far, \
             {} tokens read, {} of shared parts",
            self.attempts,
            self.retries_per_100ms.values().sum::<u64>(),
            self.peak_retries(),
            self.cross_zone_attempts,
            self.sent_attempts,
            self.prefilled_tokens,
            self.shared_tokens,
        )];
        for (name, group) in &self.groups {
            lines.push(format!(
                "  {name:<12} asked {:>5}  on time {:>5}  late {:>5}  refused {:>5}  failed {:>4}  \
                 left {:>5}  p50 {:>5} ms  p95 {:>5} ms",
                group.requests,
                group.on_time,
                group.late,
                group.refused,
                group.failed,
                group.abandoned,
                group.first_byte_ms.value_at_quantile(0.5),
                group.first_byte_ms.value_at_quantile(0.95),
            ));
        }
        lines.join("\n")
    }
}
