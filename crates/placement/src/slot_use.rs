//! Use of the slots of one upstream that can turn few requests away.

use std::cell::Cell;

/// Time after which an instance uses slots that another one has held before, as that may not know yet.
const HANDOVER_MS: u64 = 2_000;
/// Time within which a request is turned away, if it is.
const SETTLE_MS: u64 = 150;
/// Span in which the requests that were turned away are counted: a second, and differences of the time that
/// responses take.
const REJECTION_WINDOW_MS: u64 = 1_250;
/// Time for which an upstream that has turned a request away is considered full, unless it reports otherwise;
/// doubles with each further one.
const FULL_MS: u64 = 200;
/// Time for which an upstream may still be at work on a request that was given up.
const LINGER_MS: u64 = 300;

/// Time constant of the average of reports.
const AVERAGE_MS: f64 = 500.0;

/// Requests a second that an upstream can turn away.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum Tolerance {
    /// This start of the upstream has not responded yet.
    #[default]
    Unknown,
    /// Any number.
    Unlimited,
    /// At most this many.
    Limited(u64),
}

/// This instance's part of an upstream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Share {
    /// Changes with the instances that have a part; 0 before the first.
    generation: u64,
    /// Slots of the upstream.
    total: u64,
    /// Slots that only this instance uses.
    pub(crate) slots: u64,
    /// Instances that rank before this one.
    pub(crate) rank: u64,
    /// More slots, and the time from which they are used.
    growth: Option<(u64, u64)>,
}

/// Requests of this instance at an upstream, as far as they are limited by its slots.
#[derive(Clone, Debug, Default)]
pub(crate) struct SlotUse {
    pub(crate) tolerance: Tolerance,
    share: Cell<Share>,
    /// Times of requests beyond the own share that may yet be turned away.
    lent_at_ms: Vec<u64>,
    turned_away_at_ms: Vec<u64>,
    lingering_until_ms: Vec<u64>,
    /// Requests sent and ended since the latest load report.
    sent_since_report: u64,
    ended_since_report: u64,
    /// Moving average of the reported requests in flight, and the time of its latest report.
    average: f64,
    reported_at_ms: u64,
}

/// Divides `total` over `count`; the remainder goes to those that rank first.
pub(crate) fn divide(total: u64, count: u64, rank: u64) -> u64 {
    let count = count.max(1);
    total / count + u64::from(rank < total % count)
}

impl SlotUse {
    /// Returns the own share; `rank` is computed after a change of the instances, of which there are `count`.
    pub(crate) fn share(
        &self,
        generation: u64,
        total: u64,
        count: u64,
        rank: impl FnOnce() -> u64,
        now_ms: u64,
    ) -> Share {
        let mut share = self.share.get();
        if (share.generation, share.total) != (generation, total) {
            let rank = rank();
            let slots = divide(total, count, rank);
            let is_first = share.generation == 0;
            let is_growing = slots > share.slots && !is_first;
            share = Share {
                generation,
                total,
                slots: if is_growing { share.slots } else { slots },
                rank,
                growth: is_growing.then_some((slots, now_ms + HANDOVER_MS)),
            };
        }
        if let Some((slots, from_ms)) = share.growth
            && now_ms >= from_ms
        {
            share.slots = slots;
            share.growth = None;
        }
        self.share.set(share);
        share
    }

    /// Records that a request is sent.
    pub(crate) fn begin(&mut self, is_lent: bool, now_ms: u64) {
        self.sent_since_report += 1;
        if is_lent {
            self.lent_at_ms.retain(|at_ms| now_ms < at_ms + SETTLE_MS);
            self.lent_at_ms.push(now_ms);
        }
    }

    /// Records that a request beyond the own share was not turned away, or has ended.
    pub(crate) fn settle_lent(&mut self) {
        if !self.lent_at_ms.is_empty() {
            self.lent_at_ms.remove(0);
        }
    }

    /// Records the end of a request.
    pub(crate) fn end(&mut self, is_given_up: bool, is_turned_away: bool, now_ms: u64) {
        if is_given_up {
            self.lingering_until_ms.retain(|until_ms| now_ms < *until_ms);
            self.lingering_until_ms.push(now_ms + LINGER_MS);
            return;
        }
        if is_turned_away {
            // The report that came with the rejection does not count this request.
            self.turned_away_at_ms.retain(|at_ms| now_ms < at_ms + REJECTION_WINDOW_MS);
            self.turned_away_at_ms.push(now_ms);
        } else {
            self.ended_since_report += 1;
        }
    }

    /// Records that the upstream has reported its requests in flight.
    pub(crate) fn record_report(&mut self, in_flight: u64, slots: u64, now_ms: u64) {
        let age_ms = now_ms.saturating_sub(self.reported_at_ms) as f64;
        if self.reported_at_ms == 0 || age_ms > 2.0 * AVERAGE_MS {
            // Without recent reports, all slots are taken for occupied.
            self.average = slots as f64;
        }
        self.average += (in_flight as f64 - self.average)
            * (1.0 - (-age_ms.min(AVERAGE_MS) / AVERAGE_MS).exp());
        self.reported_at_ms = now_ms;
        self.sent_since_report = 0;
        self.ended_since_report = 0;
    }

    /// Forgets what was known of the start before.
    pub(crate) fn reset(&mut self) {
        *self = Self { share: self.share.clone(), ..Self::default() };
    }

    /// Requests that were given up, and may still run.
    pub(crate) fn count_lingering(&self, now_ms: u64) -> u64 {
        self.lingering_until_ms.iter().filter(|until_ms| now_ms < **until_ms).count() as u64
    }

    /// Requests beyond the own share that may yet be turned away.
    pub(crate) fn count_unsettled(&self, now_ms: u64) -> u64 {
        self.lent_at_ms.iter().filter(|at_ms| now_ms < **at_ms + SETTLE_MS).count() as u64
    }

    /// Own requests that the upstream has turned away in the last second.
    pub(crate) fn count_turned_away(&self, now_ms: u64) -> u64 {
        let is_recent = |at_ms: &&u64| now_ms < **at_ms + REJECTION_WINDOW_MS;
        self.turned_away_at_ms.iter().filter(is_recent).count() as u64
    }

    /// Time since which the upstream is considered full, unless a later load report says otherwise.
    pub(crate) fn full_since_ms(&self, now_ms: u64) -> Option<u64> {
        let doublings = self.count_turned_away(now_ms).saturating_sub(1).min(3);
        let latest = self.turned_away_at_ms.last().copied();
        latest.filter(|at_ms| now_ms < at_ms + (FULL_MS << doublings))
    }

    /// Average of the reported requests in flight.
    pub(crate) fn average_reported(&self) -> f64 {
        self.average
    }

    /// Requests that are in flight, given those that the latest load report counted.
    pub(crate) fn update_reported(&self, reported: u64) -> u64 {
        (reported + self.sent_since_report).saturating_sub(self.ended_since_report)
    }
}
