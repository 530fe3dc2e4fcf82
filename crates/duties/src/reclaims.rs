//! Reclaims of upstreams that were seen, and how many availability zones go together.

use std::collections::BTreeMap;

/// Time without a leaving upstream after which the next one in a zone is a new reclaim.
const QUIET_MS: u64 = 10_000;
/// Time for which reclaims are remembered.
const MEMORY_MS: u64 = 600_000;

#[derive(Clone, Copy, Debug)]
struct Reclaim {
    began_ms: u64,
    last_seen_ms: u64,
}

/// Reclaims of one service. Zones that are reclaimed within the start time of an upstream are lost
/// together: nothing that is ordered after the first one is there for the second.
///
/// Every instance keeps one from the listed upstreams, so that a new holder knows what it has seen.
#[derive(Clone, Debug, Default)]
pub struct ReclaimModel {
    /// Last reclaim by zone.
    reclaims: BTreeMap<String, Reclaim>,
    /// Most zones that were lost together, and when.
    most_together: Option<(u32, u64)>,
}

impl ReclaimModel {
    /// Records that all reclaimable upstreams of `zone` are leaving. Repeated calls during one reclaim count
    /// once. `start_ms` is the start time of an upstream. Returns whether the reclaim is new.
    pub fn observe(&mut self, zone: &str, start_ms: u64, now_ms: u64) -> bool {
        self.reclaims.retain(|_, reclaim| now_ms.saturating_sub(reclaim.last_seen_ms) < MEMORY_MS);
        let new = Reclaim { began_ms: now_ms, last_seen_ms: now_ms };
        let known = self.reclaims.get_mut(zone);
        let present =
            known.filter(|reclaim| now_ms.saturating_sub(reclaim.last_seen_ms) < QUIET_MS);
        if let Some(reclaim) = present {
            reclaim.last_seen_ms = now_ms;
            return false;
        }
        self.reclaims.insert(zone.to_owned(), new);
        let together = self.count_lost_within(start_ms, now_ms);
        let most = self.zones_together(now_ms);
        if together >= most.max(1) {
            self.most_together = Some((together, now_ms));
        }
        true
    }

    /// Returns the most zones that have been lost together; 0 if no reclaim is remembered.
    pub fn zones_together(&self, now_ms: u64) -> u32 {
        let remembered =
            self.most_together.filter(|(_, at_ms)| now_ms.saturating_sub(*at_ms) < MEMORY_MS);
        remembered.map_or(0, |(count, _)| count)
    }

    /// Returns the number of zones whose reclaim began within the last `window_ms`.
    pub fn count_lost_within(&self, window_ms: u64, now_ms: u64) -> u32 {
        let recent = self
            .reclaims
            .values()
            .filter(|reclaim| now_ms.saturating_sub(reclaim.began_ms) <= window_ms);
        recent.count() as u32
    }
}
