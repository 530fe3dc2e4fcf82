//! Placement at upstreams that can turn few requests away.
//!
//! Load pattern: more requests than fit, at tens to thousands of instances. Each sees a free slot when its
//! upstream reports one, and all send at once. So the slots are divided: each instance has its share, which
//! it uses without asking. A slot of others is used only while the upstream has reported free ones for a
//! while, and has turned few requests away.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::permits::MIN_RETRY_AFTER_MS;
use crate::request::PlacementRequest;
use crate::slot_use::{Share, Tolerance, divide};
use crate::table::PlacementTable;
use crate::upstream::Upstream;

/// Average use of an upstream's slots up to which instances use those of others.
const MAX_AVERAGE_USE: f64 = 0.92;
/// Part of the slots, as a divisor, that is left to their holders.
const RESERVE_DIVISOR: u64 = 20;
/// Part of the tolerated rejections, as a divisor, that instances risk with slots of others. The holders of
/// these slots may cause as many.
const SPECULATION_DIVISOR: u64 = 2;
/// Period in which the instances that may take one more slot of others change.
const TURN_MS: u64 = 100;

/// The instances that share the slots of upstreams.
#[derive(Clone, Debug, Default)]
pub(crate) struct SlotHolders {
    own: u64,
    others: Vec<u64>,
    /// Changes with the instances.
    generation: u64,
}

impl SlotHolders {
    fn count(&self) -> u64 {
        self.others.len() as u64 + 1
    }

    /// Number of instances that come before this one at an upstream, by rendezvous hashing: a change of the
    /// instances moves few slots.
    fn rank(&self, upstream: &str) -> u64 {
        let seed = xxh3_64(upstream.as_bytes());
        let key = |name: u64| (xxh3_64_with_seed(&name.to_le_bytes(), seed), name);
        let own = key(self.own);
        self.others.iter().filter(|name| key(**name) > own).count() as u64
    }
}

/// Whose slots are looked at.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SlotsOf {
    /// The slots of this instance.
    Own,
    /// Those of others, too.
    Others,
}

impl PlacementTable {
    /// Sets the names of the instances that send requests to these upstreams.
    pub fn set_instances<'a>(&mut self, own: &str, others: impl Iterator<Item = &'a str>) {
        let own = xxh3_64(own.as_bytes());
        let mut others: Vec<u64> = others.map(|name| xxh3_64(name.as_bytes())).collect();
        others.sort_unstable();
        let holders = &mut self.slot_holders;
        if holders.generation == 0 || (holders.own, &holders.others) != (own, &others) {
            *holders = SlotHolders { own, others, generation: holders.generation + 1 };
        }
    }

    /// Sets how many requests a second an upstream can turn away, as its responses say; `None` for any
    /// number.
    pub fn set_tolerance(&mut self, upstream: &str, per_second: Option<u64>) {
        let tolerance = match per_second {
            Some(per_second) => Tolerance::Limited(per_second),
            None => Tolerance::Unlimited,
        };
        let Some(upstream) = self.upstreams.get_mut(upstream) else { return };
        if std::mem::replace(&mut upstream.slot_use.tolerance, tolerance) != tolerance {
            self.refresh_fragile();
        }
    }

    /// Forgets how many requests an upstream can turn away, until it responds.
    pub fn forget_tolerance(&mut self, upstream: &str) {
        if let Some(upstream) = self.upstreams.get_mut(upstream) {
            upstream.slot_use.tolerance = Tolerance::Unknown;
        }
        self.refresh_fragile();
    }

    /// Updates whether some upstream can turn few requests away.
    pub(crate) fn refresh_fragile(&mut self) {
        self.has_fragile = self
            .upstreams
            .values()
            .any(|upstream| matches!(upstream.slot_use.tolerance, Tolerance::Limited(_)));
    }

    /// Requests a second that an upstream can turn away; `None` if any number. A start that has not responded
    /// yet is taken for as fragile as others of its service.
    fn tolerance(&self, upstream: &Upstream) -> Option<u64> {
        match upstream.slot_use.tolerance {
            Tolerance::Limited(per_second) => Some(per_second),
            Tolerance::Unknown if self.has_fragile => Some(0),
            Tolerance::Unknown | Tolerance::Unlimited => None,
        }
    }

    fn share(&self, id: &str, upstream: &Upstream, now_ms: u64) -> Share {
        let holders = &self.slot_holders;
        let (generation, count) = (holders.generation, holders.count());
        let rank = || holders.rank(id);
        upstream.slot_use.share(generation, upstream.slots, count, rank, now_ms)
    }

    /// Returns whether the request finds a slot at the upstream that this instance may use.
    pub(crate) fn has_room(
        &self,
        id: &str,
        upstream: &Upstream,
        slots_of: SlotsOf,
        now_ms: u64,
    ) -> bool {
        let Some(tolerated) = self.tolerance(upstream) else { return true };
        let share = self.share(id, upstream, now_ms);
        let slot_use = &upstream.slot_use;
        let reported = upstream.reported_in_flight(now_ms);
        let is_full = slot_use.full_since_ms(now_ms).is_some_and(|since_ms| {
            !matches!(reported, Some((busy, at_ms)) if at_ms >= since_ms && busy < upstream.slots)
        });
        if !is_full && upstream.occupied(now_ms) < share.slots {
            return true;
        }
        slots_of == SlotsOf::Others
            && tolerated > 0
            && self.may_use_others(upstream, share, tolerated, now_ms)
    }

    /// Returns whether a request may take a slot of another instance.
    fn may_use_others(
        &self,
        upstream: &Upstream,
        share: Share,
        tolerated: u64,
        now_ms: u64,
    ) -> bool {
        let count = self.slot_holders.count();
        // Instances without the remainder of the slots come first.
        let rank = count - 1 - share.rank.min(count - 1);
        let speculative = divide(tolerated / SPECULATION_DIVISOR, count, rank);
        let Some((in_flight, _)) = upstream.reported_in_flight(now_ms) else { return false };
        let in_flight = in_flight.max(upstream.occupied(now_ms));
        let left = upstream.slots.div_ceil(RESERVE_DIVISOR);
        let free = upstream.slots.saturating_sub(in_flight + left);
        // Their holders leave slots free for moments.
        let average = upstream.slot_use.average_reported();
        if average > MAX_AVERAGE_USE * upstream.slots as f64 {
            return false;
        }
        let claimants = self.count_claimants(now_ms).min(count);
        let turn = (share.rank + now_ms / TURN_MS) % claimants;
        let allowed = divide(free, claimants, turn).min(speculative);
        let turned_away = upstream.slot_use.count_turned_away(now_ms);
        upstream.slot_use.count_unsettled(now_ms) + turned_away < allowed
    }

    /// Instances that have requests at these upstreams, including this one.
    fn count_claimants(&self, now_ms: u64) -> u64 {
        let (counted_at_ms, claimants) = self.claimants.get();
        if claimants > 0 && now_ms < counted_at_ms + TURN_MS {
            return claimants;
        }
        let mut peers: Vec<&str> = self
            .upstreams
            .values()
            .flat_map(|upstream| upstream.facts.load.loading_peers(now_ms))
            .collect();
        peers.sort_unstable();
        peers.dedup();
        let others: usize = peers.into_iter().map(|peer| self.count_peer_instances(peer)).sum();
        let claimants = others as u64 + 1;
        self.claimants.set((now_ms, claimants));
        claimants
    }

    /// Returns whether the next request to an upstream takes a slot of another instance.
    pub(crate) fn is_beyond_share(&self, id: &str, upstream: &Upstream, now_ms: u64) -> bool {
        self.tolerance(upstream).is_some()
            && upstream.occupied(now_ms) >= self.share(id, upstream, now_ms).slots
    }

    /// Returns whether an upstream that is not usable may be tried, as `has_sound` is whether there are sound
    /// ones: callers that find no slot there must not all try it.
    pub(crate) fn may_be_tried(&self, upstream: &Upstream, has_sound: bool) -> bool {
        !has_sound || self.tolerance(upstream).is_none()
    }

    /// Instances that a peer reports for.
    fn count_peer_instances(&self, peer: &str) -> usize {
        self.peer_demand.get(peer).map_or(1, |(_, instances)| *instances)
    }

    /// Returns whether the upstream is only left out as it can turn few requests away.
    fn lacks_room(&self, id: &str, upstream: &Upstream, now_ms: u64) -> bool {
        upstream.is_usable(now_ms) && !self.has_room(id, upstream, SlotsOf::Others, now_ms)
    }

    /// Returns whether the request finds no slot at upstreams that would accept it otherwise.
    pub fn awaits_slot(&self, request: &PlacementRequest<'_>, now_ms: u64) -> bool {
        self.has_fragile
            && self.upstreams.iter().any(|(id, upstream)| {
                request.permits(id, upstream) && self.lacks_room(id, upstream, now_ms)
            })
    }

    /// Batch slots of the largest upstream; 1 without upstreams.
    pub fn slots_per_upstream(&self) -> u64 {
        self.upstreams.values().map(|upstream| upstream.slots).max().unwrap_or(1)
    }

    /// Returns when a caller that was refused for want of a slot may return: after all callers refused
    /// before it, at the rate at which this instance's requests end. `None` if no upstream lacks slots.
    pub fn reserve_slot_retry(&mut self, time_left_ms: u64, now_ms: u64) -> Option<u64> {
        let lacks_room = self.has_fragile
            && self.upstreams.iter().any(|(id, upstream)| self.lacks_room(id, upstream, now_ms));
        if !lacks_room {
            return None;
        }
        let ended_per_ms = self.end_meter.rate(now_ms);
        let duration_ms = match ended_per_ms > 0.0 {
            true => (1.0 / ended_per_ms) as u64,
            false => MIN_RETRY_AFTER_MS,
        };
        let earliest_ms = MIN_RETRY_AFTER_MS;
        Some(self.permit_schedule.reserve(duration_ms, earliest_ms, time_left_ms, now_ms))
    }
}
