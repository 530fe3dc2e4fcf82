//! Graceful shutdown: the readiness check fails at once, requests in flight are finished, and new
//! requests are rejected once they could not be finished in time.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use ntex::time::sleep;
use serde_json::json;
use tokio::sync::Notify;

use crate::state::Relay;

const NOT_STOPPING: u64 = 0;
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Shortest time between the stop signal and the end of the process, for callers that still arrive:
/// the balancer needs two failed checks, a second apart, to detect that this instance is not ready.
const MIN_DRAIN_MS: u64 = 2_800;
/// Time for requests in flight, in percent of `stop_ms`; the rest is for flushing their last bytes.
const DRAIN_TIMEOUT_PERCENT: u64 = 95;
/// Time after which new requests are rejected, in percent of `stop_ms`, so that the shutdown cuts
/// none off.
/// The balancer has detected the shutdown by then; later requests arrive on kept-alive connections.
const REJECT_AFTER_PERCENT: u64 = 36;

/// Shutdown state of the process.
#[derive(Debug, Default)]
pub struct DrainState {
    /// Time of the stop signal plus one; 0 if there was none.
    stopping_since_ms: AtomicU64,
    started: Notify,
}

impl DrainState {
    /// Starts the shutdown; later calls have no effect.
    pub fn start(&self, now_ms: u64) {
        let (order, not_stopping) = (Ordering::SeqCst, NOT_STOPPING);
        if self.stopping_since_ms.compare_exchange(not_stopping, now_ms + 1, order, order).is_ok() {
            self.started.notify_one();
        }
    }

    /// Returns whether the shutdown has started.
    pub fn is_stopping(&self) -> bool {
        self.stopping_since_ms.load(Ordering::SeqCst) != NOT_STOPPING
    }

    /// Returns the time since the stop signal; `None` if there was none.
    pub fn stopping_for_ms(&self, now_ms: u64) -> Option<u64> {
        let stopping_since_ms = self.stopping_since_ms.load(Ordering::SeqCst);
        (stopping_since_ms != NOT_STOPPING).then(|| (now_ms + 1).saturating_sub(stopping_since_ms))
    }

    /// Returns whether new requests are rejected because they could not be finished before
    /// `stop_ms`.
    pub fn rejects_requests(&self, now_ms: u64, stop_ms: u64) -> bool {
        let stopping_since_ms = self.stopping_since_ms.load(Ordering::SeqCst);
        stopping_since_ms != NOT_STOPPING
            && now_ms >= stopping_since_ms + stop_ms * REJECT_AFTER_PERCENT / 100
    }

    /// Waits for the start of the shutdown; supports a single waiting task.
    pub async fn wait_until_stopping(&self) {
        while !self.is_stopping() {
            self.started.notified().await;
        }
    }
}

/// Waits for the start of the shutdown, and then until no request is in flight or the drain timeout
/// has expired.
pub async fn wait_until_drained(relay: &Arc<Relay>) {
    relay.drain.wait_until_stopping().await;
    let started_at_ms = relay.now_ms();
    let in_flight = relay.in_flight.load(Ordering::SeqCst);
    relay.log.write("stopping", || json!({ "in_flight": in_flight }));
    let drain_timeout_ms = relay.settings.bounds.stop_ms * DRAIN_TIMEOUT_PERCENT / 100;
    let min_drain_ms = MIN_DRAIN_MS.min(drain_timeout_ms / 2);
    loop {
        let spent_ms = relay.now_ms().saturating_sub(started_at_ms);
        let in_flight = relay.in_flight.load(Ordering::SeqCst);
        if spent_ms >= drain_timeout_ms || (spent_ms >= min_drain_ms && in_flight == 0) {
            relay.log.write("stopped", || json!({ "spent_ms": spent_ms, "cut_off": in_flight }));
            return;
        }
        sleep(POLL_INTERVAL).await;
    }
}
