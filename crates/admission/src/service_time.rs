//! How long a token of cost holds a place.

/// A moving estimate of the time that one token of cost holds a place at an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceTime {
    ms_per_token: f64,
}

/// Weight of the newest call.
const NEWEST_WEIGHT: f64 = 0.05;

impl ServiceTime {
    /// Starts from a guess.
    pub fn new(ms_per_token: f64) -> Self {
        Self { ms_per_token }
    }

    /// Adds a finished call.
    pub fn add(&mut self, held_ms: u64, cost_tokens: u64) {
        let sample = held_ms as f64 / cost_tokens.max(1) as f64;
        self.ms_per_token += NEWEST_WEIGHT * (sample - self.ms_per_token);
    }

    /// The estimate.
    pub fn ms_per_token(&self) -> f64 {
        self.ms_per_token
    }
}
