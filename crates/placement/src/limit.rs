//! Rate limit of an upstream, kept by all instances together.
//!
//! Load pattern: an upstream in need takes a request a second or fewer, while the others of its service
//! take the load. A request is sent to it only with a permit, which another instance may have to grant, and
//! only if no other upstream can serve it in time.

/// Time after which it is tried whether the limit has changed, although other upstreams could serve the
/// request.
const REFRESH_MS: u64 = 3_000;
/// Permits that were not used and are kept for later requests.
const MAX_SPARE_PERMITS: usize = 16;

/// The limit of an upstream, as far as placement depends on it.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct UpstreamLimit {
    pub(crate) per_second: f64,
    /// Time of the latest response that named the limit.
    pub(crate) said_at_ms: u64,
    /// Time before which no permit is expected.
    no_permit_until_ms: u64,
    /// Time before which no permit is claimed.
    no_claim_until_ms: u64,
    /// Ends of the validity of permits that were not used.
    spare_until_ms: Vec<u64>,
}

impl UpstreamLimit {
    /// Applies the limit as it is known now.
    pub(crate) fn update(&mut self, per_second: f64, said_at_ms: u64) {
        if self.per_second != per_second {
            self.no_permit_until_ms = 0;
            self.no_claim_until_ms = 0;
        }
        self.per_second = per_second;
        self.said_at_ms = said_at_ms;
    }

    /// Records that a permit was denied: none is expected for `available_in_ms`, and the next one is claimed
    /// after `pause_ms`.
    pub(crate) fn record_denied(&mut self, available_in_ms: u64, pause_ms: u64, now_ms: u64) {
        self.no_permit_until_ms = now_ms + available_in_ms;
        self.no_claim_until_ms = now_ms + pause_ms;
    }

    /// Returns whether a permit may be claimed.
    pub(crate) fn may_claim(&self, now_ms: u64) -> bool {
        now_ms >= self.no_claim_until_ms
    }

    /// Returns the time until a permit is expected.
    pub(crate) fn wait_ms(&self, now_ms: u64) -> u64 {
        self.no_permit_until_ms.saturating_sub(now_ms)
    }

    /// Returns whether the limit was named long ago.
    pub(crate) fn is_stale(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.said_at_ms) > REFRESH_MS
    }

    /// Keeps a permit that was not used.
    pub(crate) fn add_spare(&mut self, valid_until_ms: u64) {
        if self.spare_until_ms.len() < MAX_SPARE_PERMITS {
            self.spare_until_ms.push(valid_until_ms);
        }
    }

    /// Returns whether there is a permit that was not used.
    pub(crate) fn has_spare(&self, now_ms: u64) -> bool {
        self.spare_until_ms.iter().any(|until_ms| *until_ms > now_ms)
    }

    /// Takes a permit that was not used; returns the end of its validity.
    pub(crate) fn take_spare(&mut self, now_ms: u64) -> Option<u64> {
        self.spare_until_ms.retain(|until_ms| *until_ms > now_ms);
        self.spare_until_ms.pop()
    }
}
