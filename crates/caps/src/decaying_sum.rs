//! Exponentially decaying sum, for moving averages of rates.

/// A sum whose addends decay exponentially with their age.
#[derive(Clone, Copy, Debug)]
pub struct DecayingSum {
    time_constant_ms: f64,
    sum: f64,
    at_ms: u64,
}

impl DecayingSum {
    /// Creates an empty sum; an addend has decayed to `1 / e` after `time_constant_ms`.
    pub fn new(time_constant_ms: f64) -> Self {
        Self { time_constant_ms, sum: 0.0, at_ms: 0 }
    }

    /// Adds to the sum as of `now_ms`.
    pub fn add(&mut self, amount: f64, now_ms: u64) {
        self.sum = self.sum(now_ms) + amount;
        self.at_ms = now_ms;
    }

    /// The decayed sum as of `now_ms`.
    pub fn sum(&self, now_ms: u64) -> f64 {
        let elapsed_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.sum * (-elapsed_ms / self.time_constant_ms).exp()
    }

    /// Average rate per second over the time constant.
    pub fn per_second(&self, now_ms: u64) -> f64 {
        self.sum(now_ms) / self.time_constant_ms * 1_000.0
    }
}
