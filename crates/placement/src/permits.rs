//! Placement of requests at upstreams that have named a rate limit.

use crate::fragile::SlotsOf;
use crate::request::PlacementRequest;
use crate::table::{Placement, PlacementTable};

/// Shortest time until a caller that was refused for want of a permit is expected back.
pub(crate) const MIN_RETRY_AFTER_MS: u64 = 200;

/// An upstream at which a permit may be claimed for a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LimitedUpstream {
    /// Id of the upstream.
    pub upstream: String,
    /// Expected time to the first byte, once there is a permit.
    pub first_byte_ms: u64,
}

impl PlacementTable {
    /// Applies the limit of an upstream, named by a response at `said_at_ms`; `None` if it has none.
    pub fn set_limit(&mut self, upstream: &str, limit: Option<(f64, u64)>) {
        let Some(upstream) = self.upstreams.get_mut(upstream) else { return };
        match limit {
            Some((per_second, said_at_ms)) => {
                upstream.limit.get_or_insert_default().update(per_second, said_at_ms);
            }
            None => upstream.limit = None,
        }
    }

    /// Records that a permit of an upstream was denied: none is expected for `available_in_ms`, and the next
    /// one is claimed after `pause_ms`.
    pub fn record_permit_denied(
        &mut self,
        upstream: &str,
        available_in_ms: u64,
        pause_ms: u64,
        now_ms: u64,
    ) {
        let limit = self.upstreams.get_mut(upstream).and_then(|upstream| upstream.limit.as_mut());
        if let Some(limit) = limit {
            limit.record_denied(available_in_ms, pause_ms, now_ms);
        }
    }

    /// Keeps a permit that was not used for another request.
    pub fn return_permit(&mut self, upstream: &str, valid_until_ms: u64) {
        let limit = self.upstreams.get_mut(upstream).and_then(|upstream| upstream.limit.as_mut());
        if let Some(limit) = limit {
            limit.add_spare(valid_until_ms);
        }
    }

    /// Keeps the permit of a placement that is not used for another request.
    pub fn return_unused_permit(&mut self, placement: &Placement) {
        if let Some(valid_until_ms) = placement.permit_until_ms {
            self.return_permit(&placement.upstream, valid_until_ms);
        }
    }

    /// Takes a permit that was left for a placement at a limited upstream, unless it has one.
    pub fn take_permit(&mut self, placement: &mut Placement, now_ms: u64) {
        let upstream = self.upstreams.get_mut(&placement.upstream);
        if placement.permit_until_ms.is_none()
            && let Some(limit) = upstream.and_then(|upstream| upstream.limit.as_mut())
        {
            placement.permit_until_ms = limit.take_spare(now_ms);
        }
    }

    /// Returns the limited upstream at which a permit may be claimed and is expected first; of several, the
    /// one with the lowest cost.
    pub fn find_limited(
        &self,
        request: &PlacementRequest<'_>,
        now_ms: u64,
    ) -> Option<LimitedUpstream> {
        self.find_claimable(request, now_ms, false)
    }

    /// Returns a limited upstream whose limit was named long ago, and may have changed.
    pub fn find_stale_limit(
        &self,
        request: &PlacementRequest<'_>,
        now_ms: u64,
    ) -> Option<LimitedUpstream> {
        self.find_claimable(request, now_ms, true)
    }

    fn find_claimable(
        &self,
        request: &PlacementRequest<'_>,
        now_ms: u64,
        is_stale: bool,
    ) -> Option<LimitedUpstream> {
        let limited = self.upstreams.iter().filter_map(|(id, upstream)| {
            let limit = upstream.limit.as_ref()?;
            let wait_ms = limit.wait_ms(now_ms);
            let is_claimable = limit.may_claim(now_ms)
                && upstream.is_sound(now_ms)
                && self.has_room(id, upstream, SlotsOf::Own, now_ms)
                && (!is_stale || limit.is_stale(now_ms))
                && request.permits(id, upstream);
            is_claimable.then_some((wait_ms, id, upstream))
        });
        let mut limited = limited.peekable();
        limited.peek()?;
        let context = self.request_context(request, now_ms);
        let (_, candidate) = limited
            .map(|(wait_ms, id, upstream)| (wait_ms, self.evaluate(id, upstream, &context)))
            .min_by(|(one_wait_ms, one), (other_wait_ms, other)| {
                one_wait_ms.cmp(other_wait_ms).then(one.cost.total_cmp(&other.cost))
            })?;
        let placement = self.build_placement(&candidate, &context);
        Some(LimitedUpstream {
            upstream: placement.upstream,
            first_byte_ms: placement.first_byte_ms,
        })
    }

    /// Places a request with a permit at its upstream; `None` if that accepts no requests any more.
    pub fn place_permitted(
        &self,
        request: &PlacementRequest<'_>,
        upstream: &str,
        permit_until_ms: u64,
        now_ms: u64,
    ) -> Option<Placement> {
        let (id, upstream) = self.upstreams.get_key_value(upstream)?;
        if !upstream.accepts_permitted(now_ms)
            || permit_until_ms <= now_ms
            || !self.has_room(id, upstream, SlotsOf::Own, now_ms)
            || !request.permits(id, upstream)
        {
            return None;
        }
        let context = self.request_context(request, now_ms);
        let candidate = self.evaluate(id, upstream, &context);
        let placement = self.build_placement(&candidate, &context);
        Some(Placement { permit_until_ms: Some(permit_until_ms), ..placement })
    }

    /// Number of upstreams with a limit, which take few requests.
    pub fn count_limited(&self) -> usize {
        let limited = self.upstreams.values().filter(|upstream| upstream.limit.is_some());
        limited.filter(|upstream| !upstream.is_leaving).count()
    }

    /// Returns whether the upstream of a placement is neither ejected nor probed.
    pub fn is_placed_soundly(&self, placement: &Placement, now_ms: u64) -> bool {
        let upstream = self.upstreams.get(&placement.upstream);
        upstream.is_some_and(|upstream| upstream.is_sound(now_ms))
    }

    /// Returns when a caller that was refused for want of a permit may return: after all callers refused
    /// before it, at this instance's share of the permits. `None` without limited upstreams.
    pub fn reserve_permit_retry(
        &mut self,
        request: &PlacementRequest<'_>,
        time_left_ms: u64,
        now_ms: u64,
    ) -> Option<u64> {
        let sound = self
            .upstreams
            .iter()
            .filter(|(id, upstream)| !upstream.is_leaving && request.permits(id, upstream));
        let limits: Vec<_> = sound.filter_map(|(_, upstream)| upstream.limit.as_ref()).collect();
        let earliest_ms = limits.iter().map(|limit| limit.wait_ms(now_ms)).min()?;
        let per_second: f64 = limits.iter().map(|limit| limit.per_second).sum();
        let share_ms = match per_second > 0.0 {
            true => 1_000.0 * self.count_instances() / per_second,
            false => time_left_ms as f64,
        };
        let earliest_ms = earliest_ms.max(MIN_RETRY_AFTER_MS);
        let share_ms = (share_ms as u64).min(time_left_ms);
        Some(self.permit_schedule.reserve(share_ms, earliest_ms, time_left_ms, now_ms))
    }
}
