//! Grow-only counters of units by epoch.

use std::collections::BTreeMap;

/// Length of an epoch.
pub const EPOCH_MS: u64 = 2_000;
/// Time without growth after which an epoch is forgotten; longer than any message about it is passed on.
const RETENTION_MS: u64 = 30_000;
/// Epochs that are kept. Clocks that differ only label them differently.
const MAX_EPOCHS: usize = 64;

/// Units of one organisation in one epoch, as they are sent: the epoch, units used and units refused.
pub type EpochUsage = (u16, u64, u64);

/// Units of one organisation.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CapTotals {
    /// Units used.
    pub used: u64,
    /// Units refused.
    pub refused: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct EpochTotals {
    totals: CapTotals,
    grown_at_ms: u64,
}

/// Units counted by one instance, or by several together, in each recent epoch (a grow-only counter:
/// Shapiro et al., A comprehensive study of convergent and commutative replicated data types, 2011).
///
/// An epoch is only a label: usage that has the same label at several instances can be summed, and of two
/// sums for one label the larger one is closer to the truth. So it doesn't matter who sums, in which order
/// sums arrive, and how often.
#[derive(Clone, Debug, Default)]
pub struct EpochCounter {
    epochs: BTreeMap<u16, EpochTotals>,
}

/// Returns the epoch of a time of the wall clock.
pub fn epoch_at(wall_ms: u64) -> u16 {
    (wall_ms / EPOCH_MS) as u16
}

impl EpochCounter {
    /// Counts units in an epoch.
    pub fn add(&mut self, epoch: u16, units: CapTotals, now_ms: u64) {
        let known = self.totals(epoch);
        let totals = CapTotals {
            used: known.used.saturating_add(units.used),
            refused: known.refused.saturating_add(units.refused),
        };
        self.raise(epoch, totals, now_ms);
    }

    /// Raises the totals of an epoch to `totals` where those are higher; returns the growth.
    pub fn raise(&mut self, epoch: u16, totals: CapTotals, now_ms: u64) -> CapTotals {
        let known = self.epochs.entry(epoch).or_default();
        let growth = CapTotals {
            used: totals.used.saturating_sub(known.totals.used),
            refused: totals.refused.saturating_sub(known.totals.refused),
        };
        known.totals.used += growth.used;
        known.totals.refused += growth.refused;
        if growth != CapTotals::default() || known.grown_at_ms == 0 {
            known.grown_at_ms = now_ms;
        }
        if self.epochs.len() > MAX_EPOCHS {
            let oldest = self.epochs.iter().min_by_key(|(_, known)| known.grown_at_ms);
            if let Some(oldest) = oldest.map(|(epoch, _)| *epoch) {
                self.epochs.remove(&oldest);
            }
        }
        growth
    }

    /// Returns the totals of an epoch.
    pub fn totals(&self, epoch: u16) -> CapTotals {
        self.epochs.get(&epoch).map_or_else(CapTotals::default, |known| known.totals)
    }

    /// Returns the epochs that may have grown within the last `window_ms`, to be sent: those who have just
    /// started learn of them what was used before.
    pub fn recent(&self, window_ms: u64, now_ms: u64) -> Vec<EpochUsage> {
        let sent_ms = window_ms + EPOCH_MS;
        let is_recent = |known: &EpochTotals| now_ms.saturating_sub(known.grown_at_ms) < sent_ms;
        let recent = self.epochs.iter().filter(|(_, known)| is_recent(known));
        recent.map(|(epoch, known)| (*epoch, known.totals.used, known.totals.refused)).collect()
    }

    /// Forgets epochs that have not grown for long.
    pub fn expire(&mut self, now_ms: u64) {
        self.epochs.retain(|_, known| now_ms.saturating_sub(known.grown_at_ms) < RETENTION_MS);
    }

    /// Returns whether no epoch is known.
    pub fn is_empty(&self) -> bool {
        self.epochs.is_empty()
    }
}
