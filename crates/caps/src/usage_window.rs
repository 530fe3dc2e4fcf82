//! A token bucket whose level is a function of what was used lately.

use std::collections::VecDeque;

/// Slots into which the remembered time is divided.
const SLOTS: u64 = 128;
/// Windows of a cap in which use can still be counted.
const REMEMBERED_WINDOWS: u64 = 2;

/// Limits in force, and units used, in one slot of time.
#[derive(Clone, Copy, Debug)]
struct Slot {
    number: u64,
    /// Level of a full bucket.
    capacity: f64,
    /// Units added per second.
    per_second: f64,
    used: f64,
}

/// Use that no report has counted yet: a constant rate since some time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UncountedUse {
    pub(crate) per_second: f64,
    pub(crate) since_ms: u64,
}

/// A token bucket in which use is counted at the time at which it happened, also if it is known only later.
/// The level is a function of what is known, whenever that was heard.
#[derive(Clone, Debug)]
pub(crate) struct UsageWindow {
    slot_ms: u64,
    slots: VecDeque<Slot>,
    /// Level at the start of the oldest slot.
    oldest_level: f64,
    created_at_ms: u64,
    /// Level at the creation at most.
    initial_level: f64,
}

impl UsageWindow {
    /// Creates a bucket of a cap with windows of `window_ms`.
    pub(crate) fn new(
        window_ms: u64,
        (capacity, per_second): (f64, f64),
        initial_level: f64,
        now_ms: u64,
    ) -> Self {
        let slot_ms = (window_ms * REMEMBERED_WINDOWS / SLOTS).max(1);
        let newest = now_ms / slot_ms;
        let slots = newest.saturating_sub(SLOTS)..=newest;
        let slots = slots.map(|number| Slot { number, capacity, per_second, used: 0.0 });
        Self {
            slot_ms,
            slots: slots.collect(),
            oldest_level: capacity,
            created_at_ms: now_ms,
            initial_level,
        }
    }

    /// Goes on to the present slot, with the limits that are in force. `uncounted` is used beside what was
    /// counted.
    pub(crate) fn advance(
        &mut self,
        (capacity, per_second): (f64, f64),
        uncounted: &[UncountedUse],
        now_ms: u64,
    ) {
        let present = now_ms / self.slot_ms;
        let next = self.slots.back().map_or(present, |slot| slot.number + 1);
        let slots = next..=present;
        self.slots.extend(slots.map(|number| Slot { number, capacity, per_second, used: 0.0 }));
        let oldest = present.saturating_sub(SLOTS);
        while let Some(slot) = self.slots.pop_front_if(|slot| slot.number < oldest) {
            self.forget(slot, uncounted);
        }
        if let Some(slot) = self.slots.back_mut() {
            slot.capacity = capacity;
            slot.per_second = per_second;
        }
    }

    /// Takes the oldest slot into the level before the others.
    fn forget(&mut self, slot: Slot, uncounted: &[UncountedUse]) {
        let start_ms = slot.number * self.slot_ms;
        let end_ms = start_ms + self.slot_ms;
        let uncounted = uncounted.iter().map(|source| {
            source.per_second * elapsed_s(source.since_ms.clamp(start_ms, end_ms), end_ms)
        });
        let used = slot.used + uncounted.sum::<f64>();
        let mut level = self.oldest_level + elapsed_s(start_ms, end_ms) * slot.per_second;
        if (start_ms..end_ms).contains(&self.created_at_ms) {
            let refilled = elapsed_s(self.created_at_ms, end_ms) * slot.per_second;
            level = level.min(self.initial_level + refilled);
        }
        // An error in what was thought to be used must not last.
        self.oldest_level = (level - used).clamp(-slot.capacity, slot.capacity);
    }

    /// Counts units used at `at_ms`; negative ones were returned. Earlier use than is remembered has no effect.
    pub(crate) fn add(&mut self, units: f64, at_ms: u64) {
        let Some(newest) = self.slots.back().map(|slot| slot.number) else { return };
        let age = newest.saturating_sub(at_ms / self.slot_ms) as usize;
        let index = self.slots.len().checked_sub(age + 1);
        if let Some(slot) = index.and_then(|index| self.slots.get_mut(index)) {
            slot.used += units;
        }
    }

    /// Returns the units left. `uncounted` is used beside what was counted.
    pub(crate) fn level(&self, uncounted: &[UncountedUse], now_ms: u64) -> f64 {
        let mut uncounted = UncountedSince::new(uncounted, now_ms);
        let mut level = self.slots.back().map_or(0.0, |slot| slot.capacity);
        let (mut refilled, mut used, mut unknown) = (0.0, 0.0, 0.0);
        let mut end_ms = now_ms;
        // A bucket has at most what it would have left if it had been full at an earlier time.
        for slot in self.slots.iter().rev() {
            let start_ms = slot.number * self.slot_ms;
            used += slot.used;
            if (start_ms..=end_ms).contains(&self.created_at_ms) {
                let refilled = refilled + elapsed_s(self.created_at_ms, end_ms) * slot.per_second;
                let unknown = uncounted.units(self.created_at_ms);
                level = level.min(self.initial_level + refilled - used - unknown);
            }
            refilled += elapsed_s(start_ms, end_ms) * slot.per_second;
            unknown = uncounted.units(start_ms);
            level = level.min(slot.capacity + refilled - used - unknown);
            end_ms = start_ms;
        }
        level.min(self.oldest_level + refilled - used - unknown)
    }
}

fn elapsed_s(from_ms: u64, to_ms: u64) -> f64 {
    to_ms.saturating_sub(from_ms) as f64 / 1_000.0
}

/// Sums uncounted use since ever earlier times.
struct UncountedSince {
    /// Sources that have not begun yet at the time of the last call, in the order of their beginning.
    sources: Vec<UncountedUse>,
    open_per_second: f64,
    closed: f64,
    now_ms: u64,
}

impl UncountedSince {
    fn new(sources: &[UncountedUse], now_ms: u64) -> Self {
        let mut sources = sources.to_vec();
        sources.sort_unstable_by_key(|source| source.since_ms);
        let open_per_second = sources.iter().map(|source| source.per_second).sum();
        Self { sources, open_per_second, closed: 0.0, now_ms }
    }

    /// Returns the units used since `at_ms`, which must not be later than in the call before.
    fn units(&mut self, at_ms: u64) -> f64 {
        while let Some(source) = self.sources.pop_if(|source| source.since_ms >= at_ms) {
            self.open_per_second -= source.per_second;
            self.closed += source.per_second * elapsed_s(source.since_ms, self.now_ms);
        }
        self.closed + self.open_per_second * elapsed_s(at_ms, self.now_ms)
    }
}
