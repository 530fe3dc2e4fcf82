//! Lengths of a route's responses, and what callers' hints tell of them.

/// Weight that earlier responses keep when one is recorded; the model spans about two hundred.
const MEMORY: f64 = 0.995;
/// Responses from which on the model is used.
const MIN_RESPONSES: f64 = 4.0;
/// Variance of the logarithm of a length before any response, and its weight in responses.
const PRIOR_VARIANCE: f64 = 0.5;
const PRIOR_RESPONSES: f64 = 2.0;
/// Smallest variance of the logarithm of a length.
const MIN_VARIANCE: f64 = 0.01;
/// Largest hint that is believed, in tokens.
const MAX_HINT_TOKENS: u64 = 1_000_000;

/// A caller's estimate of the length of a response that may be used: neither 0 nor beyond any response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UsableHint(f64);

impl UsableHint {
    /// Returns the hint of this many tokens; `None` if it can't be right.
    pub fn new(tokens: u64) -> Option<Self> {
        (1..=MAX_HINT_TOKENS).contains(&tokens).then(|| Self((tokens as f64).ln()))
    }
}

/// Estimated length of a response: the logarithm of its number of events is normal.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LengthEstimate {
    /// Mean of the logarithm.
    pub log_events: f64,
    /// Variance of the logarithm.
    pub variance: f64,
}

/// Exponentially weighted sums over pairs of logarithms: hint and length.
#[derive(Clone, Copy, Debug, Default)]
struct Sums {
    count: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
    yy: f64,
}

impl Sums {
    fn add(&mut self, x: f64, y: f64) {
        for (sum, value) in [
            (&mut self.count, 1.0),
            (&mut self.x, x),
            (&mut self.y, y),
            (&mut self.xx, x * x),
            (&mut self.xy, x * y),
            (&mut self.yy, y * y),
        ] {
            *sum = *sum * MEMORY + value;
        }
    }

    /// Linear regression of `y` on `x`, for this `x`. The less `x` tells, the closer the slope is to 0 and the
    /// result to the mean of `y`.
    fn predict(&self, x: f64) -> Option<LengthEstimate> {
        if self.count < MIN_RESPONSES {
            return None;
        }
        let (mean_x, mean_y) = (self.x / self.count, self.y / self.count);
        let var_x = (self.xx / self.count - mean_x * mean_x).max(0.0);
        let var_y = (self.yy / self.count - mean_y * mean_y).max(0.0);
        let covariance = self.xy / self.count - mean_x * mean_y;
        // The prior of the slope is 0.
        let slope = covariance / (var_x + MIN_VARIANCE);
        let seen = (var_y - slope * covariance).clamp(0.0, var_y);
        let total = self.count + PRIOR_RESPONSES;
        let residual = (seen * self.count + PRIOR_VARIANCE * PRIOR_RESPONSES) / total;
        let distance = (x - mean_x).powi(2) / (var_x + MIN_VARIANCE);
        let uncertainty = residual.max(MIN_VARIANCE) * (1.0 + distance) / self.count;
        Some(LengthEstimate {
            log_events: mean_y + slope * (x - mean_x),
            variance: residual.max(MIN_VARIANCE) + uncertainty,
        })
    }
}

/// Lengths of the responses of one route. The error of hints is learned: hints that are far off are
/// given little weight, down to none.
#[derive(Clone, Copy, Debug, Default)]
pub struct LengthModel {
    hinted: Sums,
    all: Sums,
}

impl LengthModel {
    /// Records the length of a response. One that was cut at its deadline is at least as long as estimated.
    pub fn record(&mut self, hint: Option<UsableHint>, events: u64, is_complete: bool) {
        if events == 0 {
            return;
        }
        let seen = (events as f64).ln();
        let length = match self.estimate(hint) {
            Some(estimate) if !is_complete => seen.max(estimate.log_events),
            None if !is_complete => return,
            _ => seen,
        };
        self.all.add(0.0, length);
        if let Some(UsableHint(hint)) = hint {
            self.hinted.add(hint, length);
        }
    }

    /// Estimates the length of a response; `None` before enough have been recorded.
    pub fn estimate(&self, hint: Option<UsableHint>) -> Option<LengthEstimate> {
        self.estimate_by_hint(hint).or_else(|| self.all.predict(0.0))
    }

    /// As [`estimate`](Self::estimate), from the hint alone.
    pub fn estimate_by_hint(&self, hint: Option<UsableHint>) -> Option<LengthEstimate> {
        hint.and_then(|UsableHint(hint)| self.hinted.predict(hint))
    }
}
