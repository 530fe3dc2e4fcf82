//! A sum that forgets.

/// A sum whose parts count less the older they are.
#[derive(Clone, Copy, Debug)]
pub struct DecayingSum {
    time_ms: f64,
    sum: f64,
    at_ms: u64,
}

impl DecayingSum {
    /// Creates an empty sum; a part counts `1 / e` after `time_ms`.
    pub fn new(time_ms: f64) -> Self {
        Self { time_ms, sum: 0.0, at_ms: 0 }
    }

    /// Adds a part.
    pub fn add(&mut self, part: f64, now_ms: u64) {
        self.sum = self.sum(now_ms) + part;
        self.at_ms = now_ms;
    }

    /// The sum as of now.
    pub fn sum(&self, now_ms: u64) -> f64 {
        let elapsed_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.sum * (-elapsed_ms / self.time_ms).exp()
    }

    /// What comes in a second, averaged over the time.
    pub fn per_second(&self, now_ms: u64) -> f64 {
        self.sum(now_ms) / self.time_ms * 1_000.0
    }
}
