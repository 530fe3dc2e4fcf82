//! Speed of one upstream, relative to the others of its service.
//!
//! Load pattern: upstreams of one service differ in speed, and some share their hosts with other work. Both
//! show in the time between the events of a stream. Speeds are kept as logarithms, as they multiply. One instance
//! of many sees few streams of each upstream, so instances tell each other what they have seen.

use std::collections::BTreeMap;

/// Time constant with which observations lose their weight.
const DECAY_MS: f64 = 20_000.0;
/// Weight of the prior, in observations.
const PRIOR_WEIGHT: f64 = 1.0;
/// Largest logarithm of an observed factor; a single outlier must not decide for long.
const MAX_LOG_FACTOR: f64 = 2.0;
/// Time after a reset for which peers may still tell of the earlier start.
const PEER_LAG_MS: u64 = 5_000;
/// Events in one observation of the pace; fewer say little, as several events may arrive at once.
const WINDOW_EVENTS: u64 = 8;
/// Largest part of a window for which the caller, rather than the upstream, was waited for.
const MAX_CALLER_SHARE: f64 = 0.2;

/// What is known of the speed of one upstream: observations whose weight decays to that of the prior, which is
/// the speed of the others.
#[derive(Clone, Debug, Default)]
pub struct SpeedFacts {
    own: Observations,
    peers: BTreeMap<String, Observations>,
    /// Whether the upstream has started again, and no peer has told of it since.
    is_reset: bool,
    /// Time until which peers may tell of the earlier start.
    peers_ignored_until_ms: u64,
}

/// Observations of one source: their weight, and the weighted sum of their logarithms. Sums of several
/// sources add up.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SpeedShare {
    /// Weight of the observations; 1 is one of this moment.
    pub weight: f64,
    /// Sum of the logarithms of the observed factors, by weight.
    pub log_sum: f64,
}

impl SpeedShare {
    fn is_valid(&self) -> bool {
        let most = self.weight * MAX_LOG_FACTOR;
        self.weight >= 0.0 && self.weight.is_finite() && self.log_sum.abs() <= most
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Observations {
    share: SpeedShare,
    at_ms: u64,
}

impl Observations {
    /// The share with what its weight has decayed to.
    fn decayed(&self, now_ms: u64) -> SpeedShare {
        let decay = (-(now_ms.saturating_sub(self.at_ms) as f64) / DECAY_MS).exp();
        SpeedShare { weight: self.share.weight * decay, log_sum: self.share.log_sum * decay }
    }
}

/// Estimated time that work takes at one upstream, relative to the others of its service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpeedEstimate {
    /// Logarithm of the factor; 0 is the usual time, more is slower.
    pub log_factor: f64,
    /// Weight of the observations, from 0 (only the prior is known) to 1.
    pub certainty: f64,
}

impl SpeedEstimate {
    /// Factor of the usual time.
    pub fn factor(&self) -> f64 {
        self.log_factor.exp()
    }
}

impl SpeedFacts {
    /// Records the logarithm of an observed factor of the usual time. Returns whether it was used: one that
    /// is not finite is ignored.
    pub fn record(&mut self, log_factor: f64, now_ms: u64) -> bool {
        if !log_factor.is_finite() {
            return false;
        }
        let SpeedShare { weight, log_sum } = self.own.decayed(now_ms);
        let log_factor = log_factor.clamp(-MAX_LOG_FACTOR, MAX_LOG_FACTOR);
        let share = SpeedShare { weight: weight + 1.0, log_sum: log_sum + log_factor };
        self.own = Observations { share, at_ms: now_ms };
        true
    }

    /// Returns what this instance has observed.
    pub fn own(&self, now_ms: u64) -> SpeedShare {
        self.own.decayed(now_ms)
    }

    /// Records what a peer has observed, itself or as a sum. Returns whether it can be right. What peers tell soon
    /// after a new start of the upstream may be of the earlier one and is not used.
    pub fn set_peer(&mut self, peer: &str, share: SpeedShare, now_ms: u64) -> bool {
        if !share.is_valid() {
            return false;
        }
        if std::mem::take(&mut self.is_reset) {
            self.peers_ignored_until_ms = now_ms + PEER_LAG_MS;
        }
        if now_ms >= self.peers_ignored_until_ms {
            self.peers.insert(peer.to_owned(), Observations { share, at_ms: now_ms });
            self.peers.retain(|_, known| now_ms.saturating_sub(known.at_ms) < 2 * DECAY_MS as u64);
        }
        true
    }

    /// Discards all observations, after the upstream has started again.
    pub fn reset(&mut self) {
        *self = Self { is_reset: true, ..Self::default() };
    }

    /// Returns the present estimate.
    pub fn estimate(&self, now_ms: u64) -> SpeedEstimate {
        let shares = self.peers.values().chain([&self.own]).map(|known| known.decayed(now_ms));
        let (weight, log_sum) = shares.fold((0.0, 0.0), |(weight, log_sum), share| {
            (weight + share.weight, log_sum + share.log_sum)
        });
        let total = weight + PRIOR_WEIGHT;
        SpeedEstimate { log_factor: log_sum / total, certainty: weight / total }
    }
}

/// Measures the time between the events of one stream.
#[derive(Clone, Copy, Debug, Default)]
pub struct PaceWindow {
    /// Time of the last event before the window; `None` before the first event.
    begun_at_ms: Option<u64>,
    events: u64,
    caller_ms: u64,
    /// Time at which the last events were handed on; `None` while the next ones are waited for.
    handed_on_at_ms: Option<u64>,
}

impl PaceWindow {
    /// Records that the next events are waited for: the time since the last ones was the caller's.
    pub fn begin_wait(&mut self, now_ms: u64) {
        if let Some(handed_on_at_ms) = self.handed_on_at_ms.take() {
            self.caller_ms += now_ms.saturating_sub(handed_on_at_ms);
        }
    }

    /// Records the arrival of events. Returns the milliseconds per event once enough have arrived. A window in
    /// which the caller was waited for says nothing.
    pub fn record(&mut self, events: u64, now_ms: u64) -> Option<f64> {
        self.handed_on_at_ms = Some(now_ms);
        let Some(begun_at_ms) = self.begun_at_ms else {
            self.begun_at_ms = Some(now_ms);
            return None;
        };
        self.events += events;
        if self.events < WINDOW_EVENTS {
            return None;
        }
        let elapsed_ms = now_ms.saturating_sub(begun_at_ms) as f64;
        let is_own = self.caller_ms as f64 <= elapsed_ms * MAX_CALLER_SHARE;
        let pace_ms = elapsed_ms / self.events as f64;
        *self =
            Self { begun_at_ms: Some(now_ms), handed_on_at_ms: Some(now_ms), ..Self::default() };
        (is_own && pace_ms > 0.0).then_some(pace_ms)
    }
}
