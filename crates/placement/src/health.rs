//! Passive health checks: ejects upstreams whose attempts fail (outlier ejection).

use crate::silence::Silence;

/// Outcome of an attempt, as far as it concerns the health of its upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// The upstream sent a complete answer.
    Answered,
    /// The upstream answered with an error or its answer was cut off.
    Failed,
    /// The upstream refused the request without running it.
    Refused,
    /// The upstream was silent for longer than expected, as [`Health::record_silence`] was told, until the
    /// attempt was given up.
    Silent,
    /// No connection could be established.
    Unresponsive,
    /// The caller disconnected, or the attempt ended for another reason unrelated to the upstream.
    Cancelled,
}

/// Weight of one attempt in the moving average of the failure rate, which spans about eight attempts.
const FAILURE_RATE_WEIGHT: f64 = 0.125;
/// Failure rate above which an upstream is ejected. Healthy upstreams can fail up to a seventh of
/// their requests because of application errors.
const EJECTION_FAILURE_RATE: f64 = 0.4;
/// Consecutive unresponsive attempts after which an upstream is ejected.
const EJECTION_UNRESPONSIVE_ATTEMPTS: u32 = 2;
/// Duration of the first ejection; doubles with each consecutive ejection.
const BASE_EJECTION_MS: u64 = 1_000;
/// Maximum duration of an ejection, so that a recovered upstream is detected soon.
const MAX_EJECTION_MS: u64 = 4_000;

/// Health of one upstream, from the outcomes of this instance's attempts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Health {
    failure_rate: f64,
    consecutive_unresponsive: u32,
    consecutive_ejections: u32,
    ejected_until_ms: u64,
    /// After an ejection, only one request is in flight at a time until one is answered.
    is_probing: bool,
    silence: Silence,
}

impl Health {
    /// Records the outcome of an attempt and ejects the upstream if it has failed too often.
    pub fn record(&mut self, outcome: AttemptOutcome, now_ms: u64) {
        match outcome {
            AttemptOutcome::Cancelled | AttemptOutcome::Silent => return,
            AttemptOutcome::Answered => {
                self.silence.record_progress();
                self.failure_rate *= 1.0 - FAILURE_RATE_WEIGHT;
                self.consecutive_unresponsive = 0;
                if self.is_probing {
                    *self = Self::default();
                }
                return;
            }
            AttemptOutcome::Unresponsive => self.consecutive_unresponsive += 1,
            AttemptOutcome::Failed | AttemptOutcome::Refused => self.consecutive_unresponsive = 0,
        }
        self.failure_rate += (1.0 - self.failure_rate) * FAILURE_RATE_WEIGHT;
        let must_eject = self.is_probing
            || self.consecutive_unresponsive >= EJECTION_UNRESPONSIVE_ATTEMPTS
            || self.failure_rate > EJECTION_FAILURE_RATE;
        if must_eject && self.ejected_until_ms <= now_ms {
            let shift = self.consecutive_ejections.min(4);
            self.ejected_until_ms = now_ms + (BASE_EJECTION_MS << shift).min(MAX_EJECTION_MS);
            self.consecutive_ejections += 1;
            self.is_probing = true;
        }
    }

    /// Records that an attempt, begun at `started_at_ms`, has timed out,
    /// whether or not it is given up.
    pub fn record_silence(&mut self, started_at_ms: u64, now_ms: u64) {
        if self.silence.record(started_at_ms, now_ms) {
            self.failure_rate += (1.0 - self.failure_rate) * FAILURE_RATE_WEIGHT;
        }
    }

    /// Records that an attempt makes progress.
    pub fn record_progress(&mut self) {
        self.silence.record_progress();
    }

    /// Whether the upstream is ejected at this time.
    pub fn is_ejected(&self, now_ms: u64) -> bool {
        self.ejected_until_ms > now_ms || self.silence.is_ejected(now_ms)
    }

    /// Whether the upstream is being probed after an ejection, with one request in flight at a time.
    pub fn is_probing(&self) -> bool {
        self.is_probing || self.silence.is_probing()
    }

    /// Moving average of the failure rate, from 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }
}
