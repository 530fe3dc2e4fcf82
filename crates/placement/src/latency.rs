//! Prefill throughput and queueing delay of upstreams, estimated from observed times to the first byte.

use crate::table::{Placement, PlacementOptions};

/// Range to which a measured prefill throughput is clamped, in tokens per millisecond.
const PREFILL_TOKENS_PER_MS_RANGE: (f64, f64) = (5.0, 1_000.0);
/// Weight of one measurement in the moving averages, which span about 32 measurements.
const AVERAGE_WEIGHT: f64 = 0.03;
/// Weight of one measurement of the delay per queued request. The average spans about ten
/// measurements, so that an overload is detected within a second.
const DELAY_WEIGHT: f64 = 0.1;
/// Minimum number of requests ahead for a wait to be used as a measurement of the delay per request.
const MIN_REQUESTS_AHEAD: f64 = 2.0;
/// Upper bound of a measured delay per queued request.
const MAX_DELAY_PER_REQUEST_MS: f64 = 500.0;

/// Weight of one measurement of the miss rate; the average spans about fifty.
const MISS_RATE_WEIGHT: f64 = 0.02;
/// Miss rate before any measurement.
const INITIAL_MISS_RATE: f64 = 0.2;
/// Shortest prefill time of the part that is believed cached for which a first byte shows whether it was.
const SIGNIFICANT_PREFILL_MS: f64 = 20.0;

/// Latency model of the upstreams of one service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LatencyEstimate {
    /// Prompt tokens that an upstream prefills per millisecond.
    pub(crate) tokens_per_ms: f64,
    /// Time to the first byte at an idle upstream, without prefill.
    pub(crate) idle_first_byte_ms: f64,
    /// Fraction of the tokens believed to be in a prefix cache that are not: caches evict, and upstreams
    /// come and go.
    pub(crate) miss_rate: f64,
    /// Queueing delay per request ahead where several are queued: besides its prefill, a request may
    /// have to wait for a batch slot.
    pub(crate) delay_per_request_ms: f64,
}

impl LatencyEstimate {
    /// Starts from the configured values.
    pub(crate) fn new(options: &PlacementOptions) -> Self {
        Self {
            tokens_per_ms: options.prefill_tokens_per_ms,
            idle_first_byte_ms: options.idle_first_byte_ms,
            miss_rate: INITIAL_MISS_RATE,
            delay_per_request_ms: 0.0,
        }
    }

    /// Updates the estimates with a first byte that arrived `elapsed_ms` after dispatch.
    pub(crate) fn record_first_byte(&mut self, placement: &Placement, elapsed_ms: f64) {
        self.update_delay_per_request(placement, elapsed_ms);
        // With other prompts ahead, the time is dominated by queueing rather than by prefill.
        if placement.ahead_tokens > 0 {
            return;
        }
        let cached_ms = placement.cached_tokens as f64 / self.tokens_per_ms;
        if cached_ms > SIGNIFICANT_PREFILL_MS {
            self.record_cache_outcome(placement, cached_ms, elapsed_ms);
        }
        let tokens = placement.uncached_tokens as f64;
        let expected_prefill_ms = tokens / self.tokens_per_ms;
        if expected_prefill_ms > self.idle_first_byte_ms {
            let prefill_ms = (elapsed_ms - self.idle_first_byte_ms).max(1.0);
            let measured = (tokens / prefill_ms)
                .clamp(PREFILL_TOKENS_PER_MS_RANGE.0, PREFILL_TOKENS_PER_MS_RANGE.1);
            self.tokens_per_ms += (measured - self.tokens_per_ms) * AVERAGE_WEIGHT;
        } else if placement.has_free_slots {
            let measured_ms = (elapsed_ms - expected_prefill_ms).max(0.0);
            self.idle_first_byte_ms += (measured_ms - self.idle_first_byte_ms) * AVERAGE_WEIGHT;
        }
    }

    /// Updates the miss rate: a first byte that takes longer than the prefill of the other tokens has
    /// waited for that of the tokens believed cached, which takes `cached_ms`.
    fn record_cache_outcome(&mut self, placement: &Placement, cached_ms: f64, elapsed_ms: f64) {
        if !placement.has_free_slots {
            return;
        }
        let certain_ms = placement.uncached_tokens as f64 / self.tokens_per_ms;
        let excess_ms = elapsed_ms - self.idle_first_byte_ms - certain_ms;
        let measured = (excess_ms / cached_ms).clamp(0.0, 1.0);
        self.miss_rate += (measured - self.miss_rate) * MISS_RATE_WEIGHT;
    }

    /// Updates the delay per queued request with a wait of `elapsed_ms` behind other requests.
    pub(crate) fn update_delay_per_request(&mut self, placement: &Placement, elapsed_ms: f64) {
        if placement.requests_ahead < MIN_REQUESTS_AHEAD || placement.ahead_tokens == 0 {
            return;
        }
        let own_ms = placement.uncached_tokens as f64 / self.tokens_per_ms;
        let waited_ms = (elapsed_ms - self.idle_first_byte_ms - own_ms).max(0.0);
        let measured_ms = (waited_ms / placement.requests_ahead).min(MAX_DELAY_PER_REQUEST_MS);
        self.delay_per_request_ms += (measured_ms - self.delay_per_request_ms) * DELAY_WEIGHT;
    }
}
