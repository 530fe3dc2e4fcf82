//! Retry budget and backoff.

use rand::Rng;

/// Limits retries to a percentage of successful calls, so that retries to failing upstreams don't
/// multiply the load ("retry budget", as in Google's SRE book, chapter "Addressing Cascading
/// Failures").
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    percent: u64,
    /// Saved retries, in hundredths of a retry.
    saved_hundredths: u64,
}

/// Maximum number of unused retries that the budget accumulates.
const MAX_SAVED_RETRIES: u64 = 10;
const HUNDREDTHS: u64 = 100;

impl RetryBudget {
    /// Creates a full budget that grants `percent` retries per 100 successes.
    pub fn new(percent: u64) -> Self {
        Self { percent, saved_hundredths: MAX_SAVED_RETRIES * HUNDREDTHS }
    }

    /// Changes the percentage; saved retries are kept.
    pub fn set_percent(&mut self, percent: u64) {
        self.percent = percent;
    }

    /// Adds the fraction of a retry that one successful call grants.
    pub fn record_success(&mut self) {
        self.saved_hundredths =
            (self.saved_hundredths + self.percent).min(MAX_SAVED_RETRIES * HUNDREDTHS);
    }

    /// Spends one retry; false if the budget is exhausted.
    pub fn try_acquire(&mut self) -> bool {
        if self.saved_hundredths < HUNDREDTHS {
            return false;
        }
        self.saved_hundredths -= HUNDREDTHS;
        true
    }
}

/// Draws the delay before a retry: full jitter between 0 and an exponential bound that starts at
/// 10 ms (`retry` 0) and is capped at 1 s.
pub fn draw_backoff_ms(retry: u32, rng: &mut impl Rng) -> u64 {
    let bound_ms = (INITIAL_BACKOFF_MS << retry.min(8)).min(MAX_BACKOFF_MS);
    rng.random_range(0..=bound_ms)
}

const INITIAL_BACKOFF_MS: u64 = 10;
const MAX_BACKOFF_MS: u64 = 1_000;
