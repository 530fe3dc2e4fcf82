//! Rate at which requests add prompt tokens, by rank.

use std::collections::{BTreeMap, VecDeque};

/// Length of the sliding window.
const WINDOW_MS: u64 = 3_000;

/// Prompt tokens per millisecond by rank.
pub type RankedRates = BTreeMap<u8, f64>;

#[derive(Clone, Copy, Debug)]
struct Sample {
    at_ms: u64,
    urgency: u8,
    tokens: u64,
}

/// Token rate by rank over a sliding window of 3 s.
#[derive(Clone, Debug, Default)]
pub struct TokenRateMeter {
    samples: VecDeque<Sample>,
    sums: BTreeMap<u8, u64>,
}

impl TokenRateMeter {
    /// Adds the tokens of a request and drops those that have left the window.
    pub fn add(&mut self, urgency: u8, tokens: u64, now_ms: u64) {
        self.samples.push_back(Sample { at_ms: now_ms, urgency, tokens });
        *self.sums.entry(urgency).or_default() += tokens;
        while self.samples.front().is_some_and(|sample| is_expired(sample, now_ms)) {
            let Some(sample) = self.samples.pop_front() else { return };
            if let Some(sum) = self.sums.get_mut(&sample.urgency) {
                *sum -= sample.tokens;
            }
        }
    }

    /// Tokens per millisecond by rank; ranks without tokens in the window are absent.
    pub fn rates(&self, now_ms: u64) -> RankedRates {
        let mut sums = self.sums.clone();
        for sample in self.samples.iter().take_while(|sample| is_expired(sample, now_ms)) {
            if let Some(sum) = sums.get_mut(&sample.urgency) {
                *sum -= sample.tokens;
            }
        }
        let present = sums.into_iter().filter(|(_, sum)| *sum > 0);
        present.map(|(urgency, sum)| (urgency, sum as f64 / WINDOW_MS as f64)).collect()
    }

    /// Tokens per millisecond of all ranks.
    pub fn rate(&self, now_ms: u64) -> f64 {
        self.rates(now_ms).values().sum()
    }
}

fn is_expired(sample: &Sample, now_ms: u64) -> bool {
    sample.at_ms + WINDOW_MS < now_ms
}
