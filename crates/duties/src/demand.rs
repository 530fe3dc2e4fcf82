//! Demand of a service, from the work that arrives.
//!
//! Requests in progress are a measure of the load only while there is room: in a shortage each
//! response takes longer, so that a plan made from them follows its own backlog. By Little's law (Little,
//! 1961) the requests in progress are the arrival rate times the time in residence. That time is
//! learned while there is room and used as it was during a shortage.

use serde::Serialize;

/// Weight of one measurement of the residence; the average spans about five.
const RESIDENCE_WEIGHT: f64 = 0.2;
/// Largest ratio of two successive arrival rates at which residence is measured: requests in
/// progress follow a change of the rate with a delay.
const STEADY_RATIO: f64 = 1.25;

/// Arriving work and room of one service, summed over all instances.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ArrivalSample {
    /// Uncached prompt tokens of the requests that arrive per millisecond, also of those refused.
    pub tokens_per_ms: f64,
    /// Responses in progress.
    pub answering: f64,
    /// Prompt tokens per millisecond that one upstream can prefill beside its responses.
    pub prefill_tokens_per_ms: f64,
    /// Responses that one upstream can have in progress with each still on time.
    pub slots: f64,
    /// Upstreams that accept requests.
    pub present: f64,
    /// Those of them that have a rate limit and serve next to nothing.
    pub limited: f64,
}

impl ArrivalSample {
    /// Returns the sample without values that are no number or negative.
    fn sanitized(self) -> Self {
        let clean = |value: f64| if value.is_finite() { value.max(0.0) } else { 0.0 };
        Self {
            tokens_per_ms: clean(self.tokens_per_ms),
            answering: clean(self.answering),
            prefill_tokens_per_ms: clean(self.prefill_tokens_per_ms),
            slots: clean(self.slots),
            present: clean(self.present),
            limited: clean(self.limited),
        }
    }
}

/// Demand of one service with what it was computed from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct DemandEstimate {
    /// Upstreams that the arriving work needs.
    pub upstreams: f64,
    /// Upstreams needed for the responses in progress.
    pub by_slots: f64,
    /// Upstreams needed for prefill.
    pub by_prefill: f64,
    /// Uncached prompt tokens that arrive per millisecond.
    pub tokens_per_ms: f64,
    /// Responses in progress per arriving token and millisecond, as learned while there was room;
    /// `None` until measured.
    pub residence: Option<f64>,
    /// Whether the upstreams present are too few, so that responses in progress are no measure.
    pub is_short: bool,
}

/// Estimates the demand of one service.
#[derive(Clone, Debug, Default)]
pub struct DemandEstimator {
    residence: Option<f64>,
    /// Prefill rate of an upstream, as last measured while there was room.
    prefill_tokens_per_ms: Option<f64>,
    previous_tokens_per_ms: Option<f64>,
}

impl DemandEstimator {
    /// Returns the demand; call at a steady interval of about a second.
    pub fn estimate(&mut self, sample: &ArrivalSample) -> DemandEstimate {
        let sample = sample.sanitized();
        let rate = sample.tokens_per_ms;
        let serving = (sample.present - sample.limited).max(0.0);
        let prefill = self.prefill_tokens_per_ms.unwrap_or(sample.prefill_tokens_per_ms);
        let room = serving * sample.slots;
        let is_short = sample.answering > room || rate > serving * prefill;
        if !is_short {
            self.prefill_tokens_per_ms = Some(sample.prefill_tokens_per_ms);
            self.learn_residence(sample.answering, rate);
        }
        let expected = self.residence.map(|residence| residence * rate);
        let in_progress = match expected {
            Some(expected) if is_short => expected,
            Some(expected) => expected.max(sample.answering),
            // Without a measurement the backlog counts no further than there is room for it.
            None => sample.answering.min(room),
        };
        self.previous_tokens_per_ms = Some(rate);
        let by_slots = ratio(in_progress, sample.slots);
        let by_prefill = ratio(rate, prefill);
        DemandEstimate {
            upstreams: by_slots.max(by_prefill) + sample.limited,
            by_slots,
            by_prefill,
            tokens_per_ms: rate,
            residence: self.residence,
            is_short,
        }
    }

    fn learn_residence(&mut self, answering: f64, rate: f64) {
        let is_steady = self.previous_tokens_per_ms.is_some_and(|previous| {
            rate <= previous * STEADY_RATIO && previous <= rate * STEADY_RATIO
        });
        if !is_steady || rate <= 0.0 {
            return;
        }
        let measured = answering / rate;
        let residence = self.residence.get_or_insert(measured);
        *residence += (measured - *residence) * RESIDENCE_WEIGHT;
    }
}

fn ratio(work: f64, room: f64) -> f64 {
    if room > 0.0 { work / room } else { 0.0 }
}
