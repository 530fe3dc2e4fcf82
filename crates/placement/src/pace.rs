//! Speed of the host that an upstream runs on.
//!
//! Load pattern: upstreams share their hosts with other work, so that the same request takes several
//! times as long on one as on another, and the difference changes many times a second.

/// Weight of one report in the moving average, which spans about five reports: a single one says
/// little about the next request.
const AVERAGE_WEIGHT: f64 = 0.2;
/// Range of the average; a wrong report must not make an upstream unusable or irresistible.
const RANGE: (f64, f64) = (0.5, 8.0);
/// Time constant with which the average returns to 1 without reports.
const DECAY_MS: f64 = 5_000.0;

/// Moving average of the time that work takes, relative to the usual time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    factor: f64,
    reported_at_ms: u64,
}

impl Default for Pace {
    fn default() -> Self {
        Self { factor: 1.0, reported_at_ms: 0 }
    }
}

impl Pace {
    /// Applies a report; 100 percent is the usual time.
    pub fn record(&mut self, percent: u64, now_ms: u64) {
        let reported = (percent as f64 / 100.0).clamp(RANGE.0, RANGE.1);
        let known = self.factor(now_ms);
        self.factor = known + (reported - known) * AVERAGE_WEIGHT;
        self.reported_at_ms = now_ms;
    }

    /// Expected time that work takes now, relative to the usual time.
    pub fn factor(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.reported_at_ms) as f64;
        1.0 + (self.factor - 1.0) * (-age_ms / DECAY_MS).exp()
    }
}
