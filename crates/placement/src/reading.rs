//! How fast upstreams read prompts, as measured.

use crate::book::{Placement, PlacementOptions};

/// Smallest and largest reading rate believed, in tokens a millisecond.
const READING_RATE_RANGE: (f64, f64) = (5.0, 1_000.0);
/// Weight of one measurement in the moving averages: about the last 32 count.
const AVERAGE_WEIGHT: f64 = 0.03;
/// Weight of one measurement of the time for a request ahead: about the last ten count, so that an
/// overload is noticed within a second of it.
const TURN_WEIGHT: f64 = 0.1;
/// Requests ahead from which a wait tells how long each of them takes.
const TURN_REQUESTS_LEAST: f64 = 2.0;
/// Longest time for a request ahead that is believed.
const TURN_MOST_MS: f64 = 500.0;
/// What first bytes have told of the upstreams of one service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReadingEstimate {
    /// Prompt tokens that an upstream reads in a millisecond.
    pub(crate) tokens_per_ms: f64,
    /// Time to the first byte at an idle upstream.
    pub(crate) idle_first_byte_ms: f64,
    /// Time for each request ahead where several wait: besides the reading of its prompt it may
    /// need a place that another one holds.
    pub(crate) turn_ms: f64,
}

impl ReadingEstimate {
    /// Starts with what the settings say.
    pub(crate) fn new(options: &PlacementOptions) -> Self {
        Self {
            tokens_per_ms: options.reading_tokens_per_ms,
            idle_first_byte_ms: options.idle_first_byte_ms,
            turn_ms: 0.0,
        }
    }

    /// Learns from a first byte that came after `elapsed_ms`.
    pub(crate) fn note_first_byte(&mut self, placement: &Placement, elapsed_ms: f64) {
        self.learn_turn(placement, elapsed_ms);
        // Behind others' prompts the time says little of reading.
        if placement.ahead_tokens > 0 {
            return;
        }
        let work = placement.uncached_tokens as f64;
        let reading_ms = work / self.tokens_per_ms;
        if reading_ms > self.idle_first_byte_ms {
            let spent_ms = (elapsed_ms - self.idle_first_byte_ms).max(1.0);
            let seen = (work / spent_ms).clamp(READING_RATE_RANGE.0, READING_RATE_RANGE.1);
            self.tokens_per_ms += (seen - self.tokens_per_ms) * AVERAGE_WEIGHT;
        } else if placement.has_free_places {
            let seen_ms = (elapsed_ms - reading_ms).max(0.0);
            self.idle_first_byte_ms += (seen_ms - self.idle_first_byte_ms) * AVERAGE_WEIGHT;
        }
    }

    /// Learns from a wait behind others how long each of them took.
    pub(crate) fn learn_turn(&mut self, placement: &Placement, elapsed_ms: f64) {
        if placement.requests_ahead < TURN_REQUESTS_LEAST || placement.ahead_tokens == 0 {
            return;
        }
        let own_ms = placement.uncached_tokens as f64 / self.tokens_per_ms;
        let waited_ms = (elapsed_ms - self.idle_first_byte_ms - own_ms).max(0.0);
        let seen_ms = (waited_ms / placement.requests_ahead).min(TURN_MOST_MS);
        self.turn_ms += (seen_ms - self.turn_ms) * TURN_WEIGHT;
    }
}
