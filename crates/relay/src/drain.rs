//! Planned stops: readiness fails at once, everything in flight is finished.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use ntex::time::sleep;
use serde_json::json;
use tokio::sync::Notify;

use crate::node::Relay;

const NOT_STOPPING: u64 = 0;
const POLL: Duration = Duration::from_millis(50);
/// Time during which callers may still come: the balancer takes two misses, a second apart, to
/// notice that this instance is not ready.
const MIN_DRAIN_MS: u64 = 2_800;
/// Part of the time to stop that requests in flight may use; the rest is for their last bytes.
const DRAIN_TIMEOUT_PERCENT: u64 = 95;
/// Part of the time to stop after which new requests are refused, so that none is cut off. The
/// balancer has noticed by then; what still comes uses connections that were kept.
const REJECT_AFTER_PERCENT: u64 = 36;

/// Whether and since when this process stops.
#[derive(Debug, Default)]
pub struct DrainState {
    /// Time of the signal plus one; 0 while the process stays.
    since_ms: AtomicU64,
    started: Notify,
}

impl DrainState {
    /// Starts to stop.
    pub fn start(&self, now_ms: u64) {
        let (order, staying) = (Ordering::SeqCst, NOT_STOPPING);
        if self.since_ms.compare_exchange(staying, now_ms + 1, order, order).is_ok() {
            self.started.notify_one();
        }
    }

    /// Whether the process stops.
    pub fn is_stopping(&self) -> bool {
        self.since_ms.load(Ordering::SeqCst) != NOT_STOPPING
    }

    /// Whether new requests are refused because they could not be finished.
    pub fn rejects_requests(&self, now_ms: u64, stop_ms: u64) -> bool {
        let since_ms = self.since_ms.load(Ordering::SeqCst);
        since_ms != NOT_STOPPING && now_ms >= since_ms + stop_ms * REJECT_AFTER_PERCENT / 100
    }

    /// Waits until it stops; for one task only.
    pub async fn wait_until_stopping(&self) {
        while !self.is_stopping() {
            self.started.notified().await;
        }
    }
}

/// Waits until the process stops and nothing is in flight any more, or its time is over.
pub async fn wait_until_drained(relay: &Arc<Relay>) {
    relay.drain.wait_until_stopping().await;
    let started_at_ms = relay.now_ms();
    let in_flight = relay.in_flight.load(Ordering::SeqCst);
    relay.log.write("stopping", || json!({ "in_flight": in_flight }));
    let limit_ms = relay.settings.bounds.stop_ms * DRAIN_TIMEOUT_PERCENT / 100;
    let min_drain_ms = MIN_DRAIN_MS.min(limit_ms / 2);
    loop {
        let spent_ms = relay.now_ms().saturating_sub(started_at_ms);
        let in_flight = relay.in_flight.load(Ordering::SeqCst);
        if spent_ms >= limit_ms || (spent_ms >= min_drain_ms && in_flight == 0) {
            relay.log.write("stopped", || json!({ "spent_ms": spent_ms, "cut_off": in_flight }));
            return;
        }
        sleep(POLL).await;
    }
}
