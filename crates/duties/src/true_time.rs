//! The time of day where single clocks may be wrong.

use std::collections::HashMap;

/// Age after which a peer's word on the time is no longer used.
const PEER_VALID_MS: u64 = 10_000;
/// A clock that differs by more than this from the others has jumped; network delays are far below.
const JUMP_MS: i64 = 300;

/// Estimates the true time of day. Each instance reads its clock once at the start and counts on
/// with its steady clock, so later jumps don't matter. A start during a jump is corrected by the
/// median of what the peers say.
#[derive(Clone, Debug)]
pub struct TrueTime {
    /// Wall time minus steady time at the start.
    own_offset_ms: i64,
    peers: HashMap<String, (i64, u64)>,
}

impl TrueTime {
    /// Reads both clocks at the start.
    pub fn new(wall_ms: u64, now_ms: u64) -> Self {
        Self { own_offset_ms: wall_ms as i64 - now_ms as i64, peers: HashMap::new() }
    }

    /// The time by this instance's own clock alone; this is what peers are told.
    pub fn own_ms(&self, now_ms: u64) -> u64 {
        (now_ms as i64 + self.own_offset_ms).max(0) as u64
    }

    /// Takes a peer's own time.
    pub fn take_peer(&mut self, peer: &str, peer_own_ms: u64, now_ms: u64) {
        let offset_ms = peer_own_ms as i64 - now_ms as i64;
        self.peers.insert(peer.to_owned(), (offset_ms, now_ms));
        self.peers.retain(|_, (_, at_ms)| now_ms.saturating_sub(*at_ms) < PEER_VALID_MS);
    }

    /// The estimate of the true time.
    pub fn now_ms(&self, now_ms: u64) -> u64 {
        let mut offsets: Vec<i64> = self.peers.values().map(|(offset_ms, _)| *offset_ms).collect();
        offsets.push(self.own_offset_ms);
        offsets.sort_unstable();
        let median = offsets[offsets.len() / 2];
        let is_close = (median - self.own_offset_ms).abs() <= JUMP_MS;
        // Two instances can't tell whose clock is wrong.
        let offset_ms = if is_close || offsets.len() < 3 { self.own_offset_ms } else { median };
        (now_ms as i64 + offset_ms).max(0) as u64
    }
}
