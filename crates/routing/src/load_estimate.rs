//! An upstream's load from reports that come late.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

/// What an upstream reports.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct LoadReport {
    /// Calls it works on.
    pub running: u64,
    /// Calls that wait in its own queue.
    pub waiting: u64,
    /// Age of these numbers when they were sent.
    pub age_ms: u64,
}

/// Estimates an upstream's calls in flight now: those of others by the last report, our own exactly.
///
/// The report holds our own calls too, as they were when it was made. They are taken out by looking
/// up how many we had in flight then, so nothing is counted twice and calls that we have started
/// since are not missed.
#[derive(Clone, Debug, Default)]
pub struct LoadEstimate {
    own_in_flight: u64,
    others: u64,
    /// Our own calls in flight after each change, oldest first.
    changes: VecDeque<OwnChange>,
}

#[derive(Clone, Copy, Debug)]
struct OwnChange {
    at_ms: u64,
    in_flight: u64,
}

/// Changes are kept this long; reports are not older.
const CHANGES_KEPT_MS: u64 = 10_000;
/// Changes kept at most.
const CHANGES_MOST: usize = 1_024;

impl LoadEstimate {
    /// Adds a call of our own.
    pub fn start(&mut self, now_ms: u64) {
        self.own_in_flight += 1;
        self.remember(now_ms);
    }

    /// Ends a call of our own.
    pub fn end(&mut self, now_ms: u64) {
        self.own_in_flight = self.own_in_flight.saturating_sub(1);
        self.remember(now_ms);
    }

    /// Takes a report.
    pub fn report(&mut self, report: LoadReport, now_ms: u64) {
        let made_at_ms = now_ms.saturating_sub(report.age_ms);
        let own_then = self.own_at(made_at_ms);
        self.others = (report.running + report.waiting).saturating_sub(own_then);
    }

    /// Our own calls in flight.
    pub fn own_in_flight(&self) -> u64 {
        self.own_in_flight
    }

    /// All calls in flight, as far as known.
    pub fn in_flight(&self) -> u64 {
        self.own_in_flight + self.others
    }

    fn own_at(&self, at_ms: u64) -> u64 {
        let before = self.changes.iter().rev().find(|change| change.at_ms <= at_ms);
        before.map_or(0, |change| change.in_flight)
    }

    fn remember(&mut self, now_ms: u64) {
        self.changes.push_back(OwnChange { at_ms: now_ms, in_flight: self.own_in_flight });
        while self.changes.len() > CHANGES_MOST || self.oldest_is_superseded(now_ms) {
            self.changes.pop_front();
        }
    }

    fn oldest_is_superseded(&self, now_ms: u64) -> bool {
        let second = self.changes.get(1);
        second.is_some_and(|change| change.at_ms + CHANGES_KEPT_MS < now_ms)
    }
}
