//! Requests that are placed while the list of upstreams may be too old.
//!
//! Load pattern: an instance is not told of changes for seconds, while others are; and a store that is
//! silent for all, beside thousands of requests, none of which may wait for what nobody knows.

use std::time::Duration;

use hickorycourse_clock::timeout;
use serde_json::json;

use crate::state::Relay;

/// Age of the list, in percent of the time after which a leaving upstream gets no requests, above which
/// a request waits for a search for a newer one.
const OLD_PERCENT: u64 = 80;
/// Longest wait of a request.
const MAX_WAIT: Duration = Duration::from_millis(250);

/// Decides whether a request waits for a search.
#[derive(Clone, Copy, Debug, Default)]
pub struct ViewGate {
    searched_at_ms: Option<u64>,
}

impl ViewGate {
    /// Records that a search for newer changes has ended.
    pub fn record_search(&mut self, now_ms: u64) {
        self.searched_at_ms = Some(now_ms);
    }

    /// Returns whether a request waits: the list, last proven at `attested_at_ms`, is older than `leaving_ms`
    /// allows, and no search has ended since it is.
    pub fn must_wait(&self, attested_at_ms: u64, leaving_ms: u64, now_ms: u64) -> bool {
        let old_at_ms = attested_at_ms + leaving_ms * OLD_PERCENT / 100;
        now_ms > old_at_ms && self.searched_at_ms.is_none_or(|at_ms| at_ms < old_at_ms)
    }
}

/// Waits for one search if the list of upstreams is too old to place a request.
pub async fn await_newer_view(relay: &Relay) {
    let searched = relay.view_searched.notified();
    let now_ms = relay.now_ms();
    let Some(age_ms) = relay.view_age_ms(now_ms) else { return };
    let leaving_ms = relay.settings.bounds.leaving_ms;
    if !relay.view_gate.lock().must_wait(now_ms.saturating_sub(age_ms), leaving_ms, now_ms) {
        return;
    }
    relay.view_search_requested.notify_one();
    // A search that takes longer is not waited for.
    let is_searched = timeout(MAX_WAIT, searched).await.is_ok();
    relay.log.write("placement_waited", || {
        let after_ms = relay.now_ms();
        json!({
            "view_age_ms": age_ms, "waited_ms": after_ms.saturating_sub(now_ms),
            "is_searched": is_searched, "view_age_after_ms": relay.view_age_ms(after_ms),
        })
    });
}
