//! Passive ejection of failing upstreams.

/// How an attempt ended, as far as its upstream's health is concerned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptEnd {
    /// A whole answer.
    Answered,
    /// An answer that tells a failure of the upstream.
    Failed,
    /// The upstream refused the request without running it.
    Refused,
    /// Nothing came for so long that the attempt was given up, or no connection could be made.
    Silent,
    /// The caller left, or the attempt ended for a reason that says nothing of the upstream.
    Cancelled,
}

/// Weight of one attempt in the moving failure rate: about the last eight attempts count.
const RATE_WEIGHT: f64 = 0.125;
/// Failure rate above which an upstream is ejected; applications fail up to a seventh of their
/// requests by themselves.
const EJECT_RATE: f64 = 0.4;
/// Silent attempts in a row after which an upstream is ejected.
const EJECT_SILENT: u32 = 2;
/// First time of ejection; doubles with each ejection in a row.
const EJECT_MS: u64 = 1_000;
/// Longest time of ejection, so that an upstream that is back is found soon.
const EJECT_MOST_MS: u64 = 4_000;

/// What attempts have told of one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Health {
    failure_rate: f64,
    silent_in_row: u32,
    ejections_in_row: u32,
    ejected_until_ms: u64,
    /// After an ejection one request is let through at a time until one is answered.
    is_on_trial: bool,
}

impl Health {
    /// Takes the end of an attempt.
    pub fn record(&mut self, end: AttemptEnd, now_ms: u64) {
        match end {
            AttemptEnd::Cancelled => return,
            AttemptEnd::Answered => {
                self.failure_rate *= 1.0 - RATE_WEIGHT;
                self.silent_in_row = 0;
                if self.is_on_trial {
                    *self = Self::default();
                }
                return;
            }
            AttemptEnd::Silent => self.silent_in_row += 1,
            AttemptEnd::Failed | AttemptEnd::Refused => self.silent_in_row = 0,
        }
        self.failure_rate += (1.0 - self.failure_rate) * RATE_WEIGHT;
        let must_eject = self.is_on_trial
            || self.silent_in_row >= EJECT_SILENT
            || self.failure_rate > EJECT_RATE;
        if must_eject && self.ejected_until_ms <= now_ms {
            let shift = self.ejections_in_row.min(4);
            self.ejected_until_ms = now_ms + (EJECT_MS << shift).min(EJECT_MOST_MS);
            self.ejections_in_row += 1;
            self.is_on_trial = true;
        }
    }

    /// Whether no request goes there now.
    pub fn is_ejected(&self, now_ms: u64) -> bool {
        self.ejected_until_ms > now_ms
    }

    /// Whether only one request at a time goes there.
    pub fn is_on_trial(&self) -> bool {
        self.is_on_trial
    }

    /// Part of the recent attempts that failed.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }
}
