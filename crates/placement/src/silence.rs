//! Silence of an upstream, as attempts that wait for it see it.
//!
//! Load pattern: a sound upstream pauses for about a second, under many requests at once. They all see the
//! same pause, so together they are one piece of evidence, and the first of them that makes progress again
//! proves that it is over. An upstream that is dead looks the same until then.

/// Attempts that must see a silence before the upstream is ejected.
const EJECTION_ATTEMPTS: u32 = 2;
/// Duration of the first ejections.
const BASE_EJECTION_MS: u64 = 500;
/// Ejections after which the duration doubles with each further one; a pause is over by then.
const BASE_EJECTIONS: u32 = 3;
/// Maximum duration of an ejection, so that a recovered upstream is detected soon.
const MAX_EJECTION_MS: u64 = 4_000;

/// What is known of the current silence of one upstream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Silence {
    /// Attempts that have seen it.
    attempts: u32,
    ejections: u32,
    ejected_until_ms: u64,
}

impl Silence {
    /// Records that an attempt, begun at `started_at_ms`, has timed out.
    /// Returns whether that is new evidence: the first of a silence, or that of a probe.
    pub fn record(&mut self, started_at_ms: u64, now_ms: u64) -> bool {
        let is_probe =
            self.is_probing() && started_at_ms >= self.ejected_until_ms && !self.is_ejected(now_ms);
        self.attempts += 1;
        let is_seen_by_enough = !self.is_probing() && self.attempts >= EJECTION_ATTEMPTS;
        if is_probe || is_seen_by_enough {
            let shift = (self.ejections + 1).saturating_sub(BASE_EJECTIONS).min(4);
            self.ejections += 1;
            self.ejected_until_ms = now_ms + (BASE_EJECTION_MS << shift).min(MAX_EJECTION_MS);
        }
        is_probe || self.attempts == 1
    }

    /// Records that an attempt makes progress, which ends the silence.
    pub fn record_progress(&mut self) {
        *self = Self::default();
    }

    /// Whether the upstream is ejected at this time.
    pub fn is_ejected(&self, now_ms: u64) -> bool {
        self.ejected_until_ms > now_ms
    }

    /// Whether the upstream has been ejected and has made no progress since.
    pub fn is_probing(&self) -> bool {
        self.ejections > 0
    }
}
