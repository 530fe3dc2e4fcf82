//! Estimate of the service time per token.

/// Exponentially weighted moving average of the time that one token of cost occupies a concurrency
/// slot at an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceTimeEstimate {
    ms_per_token: f64,
}

/// Weight of the newest sample in the moving average, from 0 to 1.
const SMOOTHING_FACTOR: f64 = 0.05;

impl ServiceTimeEstimate {
    /// Creates an estimate with an initial value.
    pub fn new(ms_per_token: f64) -> Self {
        Self { ms_per_token }
    }

    /// Updates the estimate with a finished request: the time it held its slot and its cost.
    pub fn add_sample(&mut self, held_ms: u64, cost_tokens: u64) {
        let sample = held_ms as f64 / cost_tokens.max(1) as f64;
        self.ms_per_token += SMOOTHING_FACTOR * (sample - self.ms_per_token);
    }

    /// The current estimate in milliseconds per token.
    pub fn ms_per_token(&self) -> f64 {
        self.ms_per_token
    }
}
