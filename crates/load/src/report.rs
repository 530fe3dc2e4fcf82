//! What a run has measured.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::call::{Outcome, Times};

/// Percentiles in milliseconds.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct Percentiles {
    /// The 50th.
    pub p50_ms: f64,
    /// The 95th.
    pub p95_ms: f64,
    /// The 99th.
    pub p99_ms: f64,
}

/// A group of calls.
#[derive(Clone, Debug)]
pub struct Group {
    offered: u64,
    answered: u64,
    refused: u64,
    failed: u64,
    on_time: u64,
    first_us: Histogram<u64>,
    gap_us: Histogram<u64>,
    refusal_us: Histogram<u64>,
}

/// A group of calls, as the report holds it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct GroupReport {
    /// Calls started.
    pub offered: u64,
    /// Whole answers.
    pub answered: u64,
    /// Refusals.
    pub refused: u64,
    /// All else.
    pub failed: u64,
    /// Answers whose first token came within the target.
    pub on_time: u64,
    /// First tokens.
    pub first_token: Percentiles,
    /// Between tokens.
    pub between_tokens: Percentiles,
    /// Until a refusal.
    pub refusal: Percentiles,
}

/// A run.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Report {
    /// Its name.
    pub name: String,
    /// Its seed.
    pub seed: u64,
    /// Its groups: `rank NAME`, `organisation NAME` and both.
    pub groups: BTreeMap<String, GroupReport>,
}

const HIGHEST_US: u64 = 600_000_000;

fn make_histogram() -> Histogram<u64> {
    Histogram::new_with_max(HIGHEST_US, 3).expect("the bounds are valid")
}

fn to_us(time: Duration) -> u64 {
    (time.as_micros() as u64).clamp(1, HIGHEST_US)
}

/// Reads percentiles off a histogram of microseconds.
pub fn percentiles(histogram: &Histogram<u64>) -> Percentiles {
    let at = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    Percentiles { p50_ms: at(0.5), p95_ms: at(0.95), p99_ms: at(0.99) }
}

impl Default for Group {
    fn default() -> Self {
        Self {
            offered: 0,
            answered: 0,
            refused: 0,
            failed: 0,
            on_time: 0,
            first_us: make_histogram(),
            gap_us: make_histogram(),
            refusal_us: make_histogram(),
        }
    }
}

impl Group {
    /// Adds a call.
    pub fn add(&mut self, times: &Times, target: Duration) {
        self.offered += 1;
        match times.outcome {
            Outcome::Answered => {
                self.answered += 1;
                self.on_time += u64::from(times.first <= target);
                self.first_us.saturating_record(to_us(times.first));
                for gap in &times.gaps {
                    self.gap_us.saturating_record(to_us(*gap));
                }
            }
            Outcome::Refused => {
                self.refused += 1;
                self.refusal_us.saturating_record(to_us(times.first));
            }
            Outcome::Failed => self.failed += 1,
        }
    }

    /// Adds another group's calls.
    pub fn merge(&mut self, other: &Self) {
        self.offered += other.offered;
        self.answered += other.answered;
        self.refused += other.refused;
        self.failed += other.failed;
        self.on_time += other.on_time;
        let same = "histograms of the same bounds can be added";
        self.first_us.add(&other.first_us).expect(same);
        self.gap_us.add(&other.gap_us).expect(same);
        self.refusal_us.add(&other.refusal_us).expect(same);
    }

    /// The group as the report holds it.
    pub fn report(&self) -> GroupReport {
        GroupReport {
            offered: self.offered,
            answered: self.answered,
            refused: self.refused,
            failed: self.failed,
            on_time: self.on_time,
            first_token: percentiles(&self.first_us),
            between_tokens: percentiles(&self.gap_us),
            refusal: percentiles(&self.refusal_us),
        }
    }
}

impl Report {
    /// Prints a table.
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
