//! How many attempts may be tried again.

use rand::Rng;

/// Grants retries as a part of the successes, so that failing upstreams are not hit by a multiple of
/// the load ("retry budget", as in Google's SRE book, chapter "Addressing Cascading Failures").
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    percent: u64,
    hundredths: u64,
}

/// Retries that can be saved up.
const SAVED_MOST: u64 = 10;
const HUNDREDTHS: u64 = 100;

impl RetryBudget {
    /// Creates a budget that is full.
    pub fn new(percent: u64) -> Self {
        Self { percent, hundredths: SAVED_MOST * HUNDREDTHS }
    }

    /// Changes the part, keeping what is saved.
    pub fn set_percent(&mut self, percent: u64) {
        self.percent = percent;
    }

    /// Adds what a success grants.
    pub fn add_success(&mut self) {
        self.hundredths = (self.hundredths + self.percent).min(SAVED_MOST * HUNDREDTHS);
    }

    /// Takes one retry if the budget has it.
    pub fn try_take(&mut self) -> bool {
        if self.hundredths < HUNDREDTHS {
            return false;
        }
        self.hundredths -= HUNDREDTHS;
        true
    }
}

/// Draws the wait before a retry, with full jitter between nothing and an exponential bound.
pub fn draw_backoff_ms(retry: u32, rng: &mut impl Rng) -> u64 {
    let bound_ms = (BACKOFF_START_MS << retry.min(8)).min(BACKOFF_MOST_MS);
    rng.random_range(0..=bound_ms)
}

const BACKOFF_START_MS: u64 = 10;
const BACKOFF_MOST_MS: u64 = 1_000;
