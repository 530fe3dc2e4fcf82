//! Wall-clock estimate that tolerates wrong clocks on a minority of instances.

use std::collections::HashMap;

/// Age at which a clock sample of a peer is discarded.
const PEER_SAMPLE_TTL_MS: u64 = 10_000;
/// Deviation from the median above which the local clock is considered wrong; network delays are far
/// below.
const MAX_CLOCK_DEVIATION_MS: i64 = 300;

/// Estimates the wall-clock time.
///
/// Each instance reads its wall clock once at the start and advances it with its monotonic clock,
/// so later jumps of the wall clock have no effect. If the clock was wrong at the start, the median
/// of the peers' clock offsets corrects it.
#[derive(Clone, Debug)]
pub struct WallClockEstimator {
    /// Wall-clock time minus monotonic time, sampled at the start.
    local_offset_ms: i64,
    /// Wall-clock time of each peer minus the local monotonic time, with the monotonic time of the
    /// sample.
    peers: HashMap<String, (i64, u64)>,
}

impl WallClockEstimator {
    /// Creates an estimator from the wall clock and the monotonic clock, both sampled at the start.
    pub fn new(wall_ms: u64, now_ms: u64) -> Self {
        Self { local_offset_ms: wall_ms as i64 - now_ms as i64, peers: HashMap::new() }
    }

    /// Returns the Unix time in milliseconds by the local clock alone, as it is broadcast to peers.
    pub fn local_ms(&self, now_ms: u64) -> u64 {
        (now_ms as i64 + self.local_offset_ms).max(0) as u64
    }

    /// Records a peer's local time; samples of other peers that have expired are discarded.
    pub fn record_peer(&mut self, peer: &str, peer_local_ms: u64, now_ms: u64) {
        let offset_ms = peer_local_ms as i64 - now_ms as i64;
        self.peers.insert(peer.to_owned(), (offset_ms, now_ms));
        self.peers.retain(|_, (_, at_ms)| now_ms.saturating_sub(*at_ms) < PEER_SAMPLE_TTL_MS);
    }

    /// Returns the estimated Unix time in milliseconds.
    pub fn estimate_ms(&self, now_ms: u64) -> u64 {
        let mut offsets: Vec<i64> = self.peers.values().map(|(offset_ms, _)| *offset_ms).collect();
        offsets.push(self.local_offset_ms);
        offsets.sort_unstable();
        let median = offsets[offsets.len() / 2];
        let is_close = (median - self.local_offset_ms).abs() <= MAX_CLOCK_DEVIATION_MS;
        // With only two clocks it can't be decided which of them is wrong.
        let offset_ms = if is_close || offsets.len() < 3 { self.local_offset_ms } else { median };
        (now_ms as i64 + offset_ms).max(0) as u64
    }
}
