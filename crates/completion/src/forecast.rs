//! Time to the end of a response at one upstream.

use std::collections::HashMap;

use hickorycourse_facts::SpeedEstimate;

use crate::length::{LengthEstimate, LengthModel, UsableHint};
use crate::pace::ServicePace;

/// Routes whose lengths are kept; of those beyond, hints alone tell.
const MAX_ROUTES: usize = 64;
/// Longest expected time that is told.
const MAX_EXPECTED_MS: f64 = 600_000.0;
/// Events of one observation of the pace.
const OBSERVED_EVENTS: f64 = 8.0;
/// Observations whose noise is the same: it lasts longer than one of them.
const NOISE_OBSERVATIONS: f64 = 2.0;
/// Weight of a request in the share of those at risk, which spans about fifty.
const RISK_WEIGHT: f64 = 0.02;
/// Probability of a late end at a usual upstream from which on a request is at risk.
const MIN_RISK: f64 = 0.05;

/// Length of one response and the time that is left for it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkEstimate {
    /// Its estimated length.
    pub length: LengthEstimate,
    /// Time until its deadline, in milliseconds.
    pub left_ms: u64,
}

/// Forecast of the end of a response at one upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Completion {
    /// Expected time to the end, in milliseconds.
    pub expected_ms: u64,
    /// Time until its deadline, in milliseconds.
    pub left_ms: u64,
    /// Probability of an end before the deadline.
    pub probability: f64,
    /// Factor of the usual time that work takes at the upstream.
    pub speed_factor: f64,
    /// Whether it would be at risk of a late end at an upstream of usual speed.
    pub is_at_risk: bool,
}

impl Completion {
    /// Cost of an end after the deadline in milliseconds: the caller has waited for nothing.
    pub fn risk_ms(&self) -> f64 {
        (1.0 - self.probability) * self.left_ms as f64
    }
}

/// What is learned of the responses and upstreams of one service.
#[derive(Debug, Default)]
pub struct CompletionModel {
    /// Pace of the usual upstream.
    pub pace: ServicePace,
    lengths: HashMap<u64, LengthModel>,
    /// Lengths of all routes: callers' hints count the same tokens, whatever the route.
    all_lengths: LengthModel,
    risk_share: f64,
}

impl CompletionModel {
    /// Records the length of a response on this route, which is given by its hash.
    pub fn record_length(
        &mut self,
        route: u64,
        hint: Option<UsableHint>,
        events: u64,
        is_complete: bool,
    ) {
        self.all_lengths.record(hint, events, is_complete);
        if self.lengths.len() < MAX_ROUTES || self.lengths.contains_key(&route) {
            self.lengths.entry(route).or_default().record(hint, events, is_complete);
        }
    }

    /// Estimates the length of a response, from the hint and the lengths of all routes while too little is known of
    /// the route; `None` if that doesn't tell either.
    pub fn estimate_length(&self, route: u64, hint: Option<UsableHint>) -> Option<LengthEstimate> {
        let known = self.lengths.get(&route).and_then(|model| model.estimate(hint));
        known.or_else(|| self.all_lengths.estimate_by_hint(hint))
    }

    /// Records whether a request that is sent would be at risk at an upstream of usual speed.
    pub fn record_risk(&mut self, is_at_risk: bool) {
        self.risk_share += (f64::from(is_at_risk) - self.risk_share) * RISK_WEIGHT;
    }

    /// Part of recent requests that need a fast upstream.
    pub fn risk_share(&self) -> f64 {
        self.risk_share
    }

    /// Forecasts the end of a response at an upstream of this speed and fill where the first byte takes
    /// `first_byte_ms`; `None` while too little is known of the pace.
    pub fn forecast(
        &self,
        work: &WorkEstimate,
        first_byte_ms: f64,
        fill: f64,
        speed: SpeedEstimate,
    ) -> Option<Completion> {
        let pace = self.pace.estimate(fill, speed)?;
        let observations = work.length.log_events.exp() / OBSERVED_EVENTS;
        let independent = (observations / NOISE_OBSERVATIONS).max(1.0);
        let noise = pace.noise_variance / independent;
        let variance = work.length.variance + pace.variance + noise;
        let log_ms = work.length.log_events + pace.log_ms;
        let streaming_ms = (log_ms + variance / 2.0).exp().min(MAX_EXPECTED_MS);
        let left_ms = work.left_ms as f64 - first_byte_ms;
        let probability = probability_within(left_ms, log_ms, variance);
        let usual = probability_within(left_ms, log_ms - speed.log_factor, variance);
        Some(Completion {
            expected_ms: (first_byte_ms + streaming_ms).min(MAX_EXPECTED_MS) as u64,
            left_ms: work.left_ms,
            probability,
            speed_factor: speed.factor(),
            is_at_risk: 1.0 - usual > MIN_RISK,
        })
    }
}

/// Probability that a log-normal time is at most `limit_ms`.
fn probability_within(limit_ms: f64, log_mean: f64, variance: f64) -> f64 {
    if limit_ms <= 0.0 {
        return 0.0;
    }
    let probability = normal_cdf((limit_ms.ln() - log_mean) / variance.max(f64::EPSILON).sqrt());
    if probability.is_finite() { probability } else { 0.0 }
}

/// Cumulative distribution function of the standard normal distribution, to 1e-7 (Abramowitz and Stegun,
/// Handbook of Mathematical Functions, 26.2.17).
fn normal_cdf(x: f64) -> f64 {
    let t = 1.0 / (1.0 + 0.231_641_9 * x.abs());
    let polynomial = t
        * (0.319_381_530
            + t * (-0.356_563_782
                + t * (1.781_477_937 + t * (-1.821_255_978 + t * 1.330_274_429))));
    let tail = (-x * x / 2.0).exp() / std::f64::consts::TAU.sqrt() * polynomial;
    if x > 0.0 { 1.0 - tail } else { tail }
}
