//! Draining: the process refuses new requests and completes those in flight before it exits.
//!
//! The drain is started by a signal, a reclaim notice, the platform's instance list, a peer's
//! heartbeat or an operator, whichever is first. Readiness fails at once. New requests are still
//! served for a grace period, in which the load balancer observes the failed readiness, and refused
//! after it. The process exits when no request and no job is in flight, or at the drain timeout.
//! The HTTP library's own graceful stop is not used because it aborts streams.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use hickorycourse_peer::PeerMessage;
use ntex::time::sleep;
use tokio::sync::Notify;

use crate::state::Entry;

/// Grace period in which new requests are still served. It is shorter than the 3 s after the notice
/// within which traffic to a leaving instance has to cease.
pub const GRACE_MS: u64 = 2_000;
const NOT_LEAVING: u64 = 0;
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Whether and since when this entry is draining.
#[derive(Debug, Default)]
pub struct DrainState {
    /// Start of the drain plus one; 0 while the entry is not draining.
    since_ms: AtomicU64,
    started: Notify,
}

impl DrainState {
    /// Starts the drain; false if it had already started.
    pub fn start(&self, now_ms: u64) -> bool {
        let started = self.since_ms.compare_exchange(
            NOT_LEAVING,
            now_ms + 1,
            Ordering::SeqCst,
            Ordering::SeqCst,
        );
        // `Notify` stores the permit if no task is waiting yet.
        self.started.notify_one();
        started.is_ok()
    }

    /// Waits until the drain starts. Only one task may wait, because the notification wakes only
    /// one.
    pub async fn wait_until_leaving(&self) {
        while !self.is_leaving() {
            self.started.notified().await;
        }
    }

    /// Whether the drain has started.
    pub fn is_leaving(&self) -> bool {
        self.since_ms.load(Ordering::SeqCst) != NOT_LEAVING
    }

    /// Whether new requests are refused: the grace period of the drain has elapsed.
    pub fn is_refusing_requests(&self, now_ms: u64) -> bool {
        let since_ms = self.since_ms.load(Ordering::SeqCst);
        since_ms != NOT_LEAVING && now_ms + 1 >= since_ms + GRACE_MS
    }
}

/// Starts the drain, if it has not started yet, and reports it to the peers in a heartbeat.
pub fn start_drain(entry: &Arc<Entry>, reason: &str) {
    if !entry.drain.start(entry.clock.now_ms()) {
        return;
    }
    log::info!(target: "drain", "Drain started: {reason}.");
    if let Some(mesh) = entry.mesh() {
        mesh.broadcast(&PeerMessage::Heartbeat(entry.make_heartbeat()));
    }
}

/// Waits for the drain to start, and then until the grace period has elapsed and no request or job
/// is in flight, or until the drain timeout.
pub async fn wait_until_drained(entry: &Arc<Entry>) {
    entry.drain.wait_until_leaving().await;
    let started_at_ms = entry.clock.now_ms();
    let limit_ms = entry.settings.timing.drain_timeout_ms;
    loop {
        let now_ms = entry.clock.now_ms();
        let in_flight = entry.in_flight.load(Ordering::SeqCst);
        let jobs = entry.jobs.lock().count_blocking_drain();
        if entry.drain.is_refusing_requests(now_ms) && in_flight == 0 && jobs == 0 {
            log::info!(target: "drain", "Drain complete: no requests or jobs in flight.");
            return;
        }
        if now_ms >= started_at_ms + limit_ms.max(GRACE_MS) {
            log::warn!(
                target: "drain",
                "Drain timeout of {limit_ms} ms: aborting {in_flight} requests and {jobs} jobs.",
            );
            return;
        }
        sleep(POLL_INTERVAL).await;
    }
}
