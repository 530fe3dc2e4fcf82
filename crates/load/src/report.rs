//! Latency statistics of a run and its report.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::call::{CallTiming, Outcome};

/// Percentiles in milliseconds; 0 if nothing was recorded.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct Percentiles {
    /// 50th percentile (median).
    pub p50_ms: f64,
    /// 95th percentile.
    pub p95_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
}

/// Counters and histograms of a group of calls.
#[derive(Clone, Debug)]
pub struct GroupStats {
    offered: u64,
    answered: u64,
    refused: u64,
    failed: u64,
    on_time: u64,
    first_token_us: Histogram<u64>,
    token_gap_us: Histogram<u64>,
    refusal_us: Histogram<u64>,
}

/// Counters and percentiles of a group of calls, as written to the report.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct GroupReport {
    /// Number of calls started.
    pub offered: u64,
    /// Number of complete answers.
    pub answered: u64,
    /// Number of refused calls.
    pub refused: u64,
    /// Number of calls that failed in any other way.
    pub failed: u64,
    /// Number of complete answers whose first token came within the target.
    pub on_time: u64,
    /// Time to first token of complete answers.
    pub first_token: Percentiles,
    /// Intervals between the tokens of complete answers.
    pub between_tokens: Percentiles,
    /// Time to the response of refused calls.
    pub refusal: Percentiles,
}

/// Report of a run, as written to a file.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Report {
    /// Name of the run.
    pub name: String,
    /// Seed of the run.
    pub seed: u64,
    /// Groups by name: `rank RANK`, `organisation ORGANISATION` and `ORGANISATION RANK`.
    pub groups: BTreeMap<String, GroupReport>,
}

/// Upper bound of the histograms; longer times count as this one.
const MAX_RECORDED_US: u64 = 600_000_000;

fn make_histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_RECORDED_US, 3).expect("the histogram's bounds are valid")
}

fn to_us(time: Duration) -> u64 {
    (time.as_micros() as u64).clamp(1, MAX_RECORDED_US)
}

/// Percentiles in milliseconds of a histogram in microseconds.
pub fn compute_percentiles(histogram: &Histogram<u64>) -> Percentiles {
    let at = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    Percentiles { p50_ms: at(0.5), p95_ms: at(0.95), p99_ms: at(0.99) }
}

impl Default for GroupStats {
    fn default() -> Self {
        Self {
            offered: 0,
            answered: 0,
            refused: 0,
            failed: 0,
            on_time: 0,
            first_token_us: make_histogram(),
            token_gap_us: make_histogram(),
            refusal_us: make_histogram(),
        }
    }
}

impl GroupStats {
    /// Adds a call. `target` is the time to first token that counts as on time.
    pub fn add(&mut self, timing: &CallTiming, target: Duration) {
        self.offered += 1;
        match timing.outcome {
            Outcome::Answered => {
                self.answered += 1;
                self.on_time += u64::from(timing.first_response <= target);
                self.first_token_us.saturating_record(to_us(timing.first_response));
                for token_gap in &timing.token_gaps {
                    self.token_gap_us.saturating_record(to_us(*token_gap));
                }
            }
            Outcome::Refused => {
                self.refused += 1;
                self.refusal_us.saturating_record(to_us(timing.first_response));
            }
            Outcome::Failed => self.failed += 1,
        }
    }

    /// Adds the counters and histograms of another group.
    pub fn merge(&mut self, other: &Self) {
        self.offered += other.offered;
        self.answered += other.answered;
        self.refused += other.refused;
        self.failed += other.failed;
        self.on_time += other.on_time;
        let bounds_message = "all histograms have the same bounds";
        self.first_token_us.add(&other.first_token_us).expect(bounds_message);
        self.token_gap_us.add(&other.token_gap_us).expect(bounds_message);
        self.refusal_us.add(&other.refusal_us).expect(bounds_message);
    }

    /// Computes the group's counters and percentiles for the report.
    pub fn report(&self) -> GroupReport {
        GroupReport {
            offered: self.offered,
            answered: self.answered,
            refused: self.refused,
            failed: self.failed,
            on_time: self.on_time,
            first_token: compute_percentiles(&self.first_token_us),
            between_tokens: compute_percentiles(&self.token_gap_us),
            refusal: compute_percentiles(&self.refusal_us),
        }
    }
}

impl Report {
    /// Prints the report as a table to standard output.
    pub fn print(&self) {
        println!("{} (seed {})", self.name, self.seed);
        println!(
            "{:<34} {:>7} {:>7} {:>7} {:>6} {:>7} {:>9} {:>9} {:>9}",
            "group",
            "offered",
            "whole",
            "refused",
            "failed",
            "on time",
            "p50 ms",
            "p95 ms",
            "p99 ms"
        );
        for (name, group) in &self.groups {
            let first = group.first_token;
            println!(
                "{name:<34} {:>7} {:>7} {:>7} {:>6} {:>7} {:>9.1} {:>9.1} {:>9.1}",
                group.offered,
                group.answered,
                group.refused,
                group.failed,
                group.on_time,
                first.p50_ms,
                first.p95_ms,
                first.p99_ms
            );
        }
    }
}
