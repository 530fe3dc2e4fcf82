//! Estimates an upstream's load from delayed reports.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

/// A load report from an upstream.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct LoadReport {
    /// Calls being executed.
    pub running: u64,
    /// Calls waiting in the upstream's own queue.
    pub waiting: u64,
    /// Age of the numbers at the time the report was sent.
    pub age_ms: u64,
}

/// Estimates an upstream's current calls in flight: calls of other instances are estimated from the
/// last report, and this instance's own calls are counted exactly.
///
/// The report includes this instance's own calls as of the time of measurement. Their number at that
/// time is looked up in a history and subtracted, so that no call is counted twice and calls started
/// since the report are included.
#[derive(Clone, Debug, Default)]
pub struct LoadEstimate {
    own_in_flight: u64,
    others_in_flight: u64,
    /// Own calls in flight after each change, oldest first.
    changes: VecDeque<OwnChange>,
}

#[derive(Clone, Copy, Debug)]
struct OwnChange {
    at_ms: u64,
    in_flight: u64,
}

/// Time for which changes are kept in the history; load reports are never older than this.
const CHANGE_RETENTION_MS: u64 = 10_000;
/// Maximum number of changes in the history.
const MAX_CHANGES: usize = 1_024;

impl LoadEstimate {
    /// Records the start of an own call.
    pub fn start_call(&mut self, now_ms: u64) {
        self.own_in_flight += 1;
        self.record_change(now_ms);
    }

    /// Records the end of an own call.
    pub fn end_call(&mut self, now_ms: u64) {
        self.own_in_flight = self.own_in_flight.saturating_sub(1);
        self.record_change(now_ms);
    }

    /// Updates the estimate of other instances' calls from a report.
    pub fn apply_report(&mut self, report: LoadReport, now_ms: u64) {
        let measured_at_ms = now_ms.saturating_sub(report.age_ms);
        let own_at_report = self.own_at(measured_at_ms);
        self.others_in_flight = (report.running + report.waiting).saturating_sub(own_at_report);
    }

    /// Own calls in flight.
    pub fn own_in_flight(&self) -> u64 {
        self.own_in_flight
    }

    /// Estimated calls in flight from all instances.
    pub fn in_flight(&self) -> u64 {
        self.own_in_flight + self.others_in_flight
    }

    fn own_at(&self, at_ms: u64) -> u64 {
        let before = self.changes.iter().rev().find(|change| change.at_ms <= at_ms);
        before.map_or(0, |change| change.in_flight)
    }

    fn record_change(&mut self, now_ms: u64) {
        self.changes.push_back(OwnChange { at_ms: now_ms, in_flight: self.own_in_flight });
        while self.changes.len() > MAX_CHANGES || self.oldest_is_superseded(now_ms) {
            self.changes.pop_front();
        }
    }

    fn oldest_is_superseded(&self, now_ms: u64) -> bool {
        let second = self.changes.get(1);
        second.is_some_and(|change| change.at_ms + CHANGE_RETENTION_MS < now_ms)
    }
}
