//! Backoff that an upstream requests with a rejection.
//!
//! Load pattern: an overloaded upstream rejects requests and states for how long it wants none.
//! Sending on would keep it overloaded and cost each caller an attempt; a few probes show whether a
//! long backoff is still needed when there is no other upstream.

use crate::request::PlacementRequest;
use crate::table::PlacementTable;

/// Longest backoff that is obeyed.
const MAX_BACKOFF_MS: u64 = 600_000;
/// Requests that may be sent during one backoff, as probes.
const MAX_PROBES: u32 = 2;
/// Part of a backoff, in percent, between two probes.
const PROBE_INTERVAL_PERCENT: u64 = 40;

/// The latest backoff that an upstream has requested from this instance.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Backoff {
    since_ms: u64,
    until_ms: u64,
    /// Time from which the next probe may be sent.
    next_probe_at_ms: u64,
    probes: u32,
}

impl Backoff {
    /// Starts a backoff of `duration_ms`. One that ends earlier than the current one is ignored, as
    /// the upstream has not withdrawn its longer request.
    pub fn start(&mut self, duration_ms: u64, now_ms: u64) {
        let duration_ms = duration_ms.min(MAX_BACKOFF_MS);
        let until_ms = now_ms + duration_ms;
        if duration_ms == 0 || until_ms <= self.until_ms {
            return;
        }
        // A probe that is rejected extends the backoff but not the number of probes within the time
        // that was requested first.
        let probes = if self.is_active(now_ms) { self.probes } else { 0 };
        let next_probe_at_ms = now_ms + duration_ms * PROBE_INTERVAL_PERCENT / 100;
        *self = Self { since_ms: now_ms, until_ms, next_probe_at_ms, probes };
    }

    /// Returns whether the upstream wants no requests at this time.
    pub fn is_active(&self, now_ms: u64) -> bool {
        now_ms < self.until_ms
    }

    /// Returns whether a probe may be sent although the backoff is active.
    pub fn may_probe(&self, now_ms: u64) -> bool {
        self.is_active(now_ms) && self.probes < MAX_PROBES && now_ms >= self.next_probe_at_ms
    }

    /// Records that a request is sent.
    pub fn record_request(&mut self, now_ms: u64) {
        if self.is_active(now_ms) {
            self.probes += 1;
            let duration_ms = self.until_ms - self.since_ms;
            self.next_probe_at_ms = now_ms + duration_ms * PROBE_INTERVAL_PERCENT / 100;
        }
    }

    /// Milliseconds until the backoff ends. Probes don't shorten it, as they serve one caller each.
    pub fn remaining_ms(&self, now_ms: u64) -> u64 {
        self.until_ms.saturating_sub(now_ms)
    }
}

impl PlacementTable {
    /// Records that an upstream wants no requests for `duration_ms`.
    pub fn start_backoff(&mut self, upstream: &str, duration_ms: u64, now_ms: u64) {
        if let Some(upstream) = self.upstreams.get_mut(upstream) {
            upstream.backoff.start(duration_ms, now_ms);
        }
    }

    /// Milliseconds until the first of the requested backoffs ends; `None` if an upstream without one
    /// accepts the request, or none has requested one. Upstreams that have rejected this request count
    /// too, as they may accept it later.
    pub fn backoff_remaining_ms(&self, request: &PlacementRequest<'_>, now_ms: u64) -> Option<u64> {
        let mut earliest_ms: Option<u64> = None;
        for (id, upstream) in self.upstreams.iter().filter(|(_, upstream)| !upstream.is_leaving) {
            match upstream.backoff.remaining_ms(now_ms) {
                0 if !request.permits(id, upstream) => {}
                0 => return None,
                remaining_ms => {
                    earliest_ms = Some(earliest_ms.map_or(remaining_ms, |ms| ms.min(remaining_ms)));
                }
            }
        }
        earliest_ms
    }
}
