//! What peers have reported of their usage of a cap.

use std::collections::HashMap;

use crate::epoch_counter::{CapTotals, EpochCounter, EpochUsage};

/// Time constant of the averages of used and requested units per second. Long enough that a single
/// large request isn't mistaken for a sustained rate.
pub(crate) const RATE_TIME_CONSTANT_MS: f64 = 1_000.0;

/// Usage that peers have reported.
#[derive(Clone, Copy, Debug)]
pub struct UsageReport<'a> {
    /// Availability zone of the peers.
    pub availability_zone: &'a str,
    /// The peer that reports, with the identifier of its start; `None` for the sum of the peers in the
    /// zone.
    pub peer: Option<(&'a str, u64)>,
    /// Number of peers whose usage the report contains.
    pub instances: usize,
    /// Their usage in recent epochs.
    pub usage: &'a [EpochUsage],
    /// Time at which the report was made.
    pub reported_at_ms: u64,
}

/// What is known of the peers in one availability zone.
#[derive(Clone, Debug, Default)]
pub(crate) struct ZoneUsage {
    /// Their usage that has been applied to the level.
    pub(crate) counted: EpochCounter,
    /// Usage of those that report for themselves, by name and start.
    starts: HashMap<(String, u64), EpochCounter>,
    /// Estimates by peer; `None` for all peers of the zone.
    pub(crate) rates: HashMap<Option<String>, ReportedRates>,
    /// Time of the latest claim of an instance of the zone, which therefore does not decide by itself.
    pub(crate) claimed_at_ms: Option<u64>,
}

impl ZoneUsage {
    /// Records a report; returns the usage that was not known before, by epoch. Each report is a lower
    /// bound of what the zone has used, whoever made it, so the highest bound of each epoch is kept.
    pub(crate) fn record(
        &mut self,
        report: &UsageReport<'_>,
        now_ms: u64,
    ) -> Vec<(u16, CapTotals)> {
        let mut growth = Vec::with_capacity(report.usage.len());
        for (epoch, used, refused) in report.usage {
            let reported = CapTotals { used: *used, refused: *refused };
            let bound = match report.peer {
                None => reported,
                Some((name, boot)) => {
                    let start = self.starts.entry((name.to_owned(), boot)).or_default();
                    start.raise(*epoch, reported, now_ms);
                    let starts = self.starts.values().map(|start| start.totals(*epoch));
                    starts.fold(CapTotals::default(), |sum, totals| CapTotals {
                        used: sum.used.saturating_add(totals.used),
                        refused: sum.refused.saturating_add(totals.refused),
                    })
                }
            };
            growth.push((*epoch, self.counted.raise(*epoch, bound, now_ms)));
        }
        growth
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.rates.is_empty() && self.starts.is_empty() && self.counted.is_empty()
    }

    pub(crate) fn expire(&mut self, now_ms: u64) {
        self.counted.expire(now_ms);
        self.starts.values_mut().for_each(|start| start.expire(now_ms));
        let rates = &self.rates;
        self.starts.retain(|(name, _), start| {
            !start.is_empty() || rates.contains_key(&Some(name.clone()))
        });
    }
}

/// Estimates from the reports of one source: a peer, or the peers of an availability zone together.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReportedRates {
    /// Instances whose usage the reports contain.
    pub(crate) instances: usize,
    /// Used units per second, averaged over the last reports.
    pub(crate) used_rate: f64,
    /// Requested units per second, averaged over the last reports.
    pub(crate) requested_rate: f64,
    pub(crate) reported_at_ms: u64,
}

impl ReportedRates {
    pub(crate) fn new(report: &UsageReport<'_>) -> Self {
        Self {
            instances: report.instances,
            used_rate: 0.0,
            requested_rate: 0.0,
            reported_at_ms: report.reported_at_ms,
        }
    }

    pub(crate) fn is_stale(&self, stale_after_ms: u64, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.reported_at_ms) > stale_after_ms
    }

    /// Updates the averages by the usage that a report adds.
    pub(crate) fn apply(
        &mut self,
        report: &UsageReport<'_>,
        growth: CapTotals,
        stale_after_ms: u64,
    ) {
        if report.reported_at_ms <= self.reported_at_ms {
            return;
        }
        // After a long silence, usage may be missing from which an average could be made.
        if !self.is_stale(stale_after_ms, report.reported_at_ms) {
            let used = growth.used as f64;
            let requested = used + growth.refused as f64;
            let elapsed_ms = (report.reported_at_ms - self.reported_at_ms) as f64;
            let weight = 1.0 - (-elapsed_ms / RATE_TIME_CONSTANT_MS).exp();
            let average =
                |rate: f64, units: f64| rate + (units / elapsed_ms * 1_000.0 - rate) * weight;
            self.used_rate = average(self.used_rate, used);
            self.requested_rate = average(self.requested_rate, requested);
        }
        self.instances = report.instances;
        self.reported_at_ms = report.reported_at_ms;
    }
}
