//! A limit of requests a second.

use serde::{Deserialize, Serialize};

/// Highest limit; a higher one is kept as this, which no upstream reaches.
const MAX_PER_SECOND: f64 = 1_000_000.0;
/// Lowest rate at which permits are granted. An upstream that takes no requests is tried at this rate,
/// as only a response can tell that its limit has ended.
const MIN_GRANTED_PER_SECOND: f64 = 0.25;

/// Requests a second that an upstream takes from all instances together.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, PartialOrd, Serialize)]
pub struct RateLimit(f64);

impl RateLimit {
    /// Creates a limit; `None` if it is negative or not a finite number.
    pub fn new(per_second: f64) -> Option<Self> {
        let is_valid = per_second.is_finite() && per_second >= 0.0;
        is_valid.then(|| Self(per_second.min(MAX_PER_SECOND)))
    }

    /// Returns the limit in requests a second.
    pub fn per_second(self) -> f64 {
        self.0
    }

    /// Returns the rate at which permits are granted, in requests a second.
    pub fn granted_per_second(self) -> f64 {
        self.0.max(MIN_GRANTED_PER_SECOND)
    }

    /// Returns the time between two permits.
    pub fn interval_ms(self) -> f64 {
        1_000.0 / self.granted_per_second()
    }
}
