//! The share of a bucket that an instance may use while the one that decides for all can't be reached.

/// Increment of the phase, modulo 1; successive phases are spread evenly.
const PHASE_STEP: f64 = 0.618_033_988_75;

/// One instance's share of a bucket. A share is often smaller than a request, so each instance grants the
/// fraction of its requests that the share covers: which ones is set by a phase that differs between
/// instances, so that all together use about the whole bucket.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoneShare {
    level: f64,
    updated_at_ms: u64,
    phase: f64,
}

impl LoneShare {
    /// Creates a share of `level` units. `phase` is between 0 and 1.
    pub(crate) fn new(level: f64, phase: f64, now_ms: u64) -> Self {
        Self { level, updated_at_ms: now_ms, phase }
    }

    /// Sets the phase.
    pub(crate) fn set_phase(&mut self, phase: f64) {
        self.phase = phase;
    }

    /// Returns whether the share covers a request. `bucket` is the share of a full bucket and of the units
    /// added per second, `available` that of the units that are left now.
    pub(crate) fn covers(
        &mut self,
        units: f64,
        (capacity, per_second): (f64, f64),
        available: f64,
        now_ms: u64,
    ) -> bool {
        let elapsed_s = now_ms.saturating_sub(self.updated_at_ms) as f64 / 1_000.0;
        self.updated_at_ms = self.updated_at_ms.max(now_ms);
        self.level = (self.level + per_second * elapsed_s).min(capacity);
        self.level.min(available) >= units * (1.0 - self.phase)
    }

    /// Takes the units of a granted request.
    pub(crate) fn take(&mut self, units: f64) {
        self.level -= units;
        self.phase = (self.phase + PHASE_STEP).fract();
    }
}
