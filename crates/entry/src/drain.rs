//! Leaving: no new work, everything in flight finished.
//!
//! The first sign that this instance leaves (a signal, a reclaim notice, the platform's list, an
//! operator) starts the drain. Readiness fails at once. For a short grace, while the balancer
//! notices, new requests are still served; after it they are refused. The process ends when nothing
//! is in flight any more. The HTTP library's own graceful stop is not used: it cuts streams.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use hickorycourse_peer::PeerMessage;
use ntex::time::sleep;
use tokio::sync::Notify;

use crate::state::Entry;

/// Time during which new requests are still served; an instance that leaves may get none 3 s after
/// the notice.
pub const GRACE_MS: u64 = 2_000;
const NOT_LEAVING: u64 = 0;
const POLL: Duration = Duration::from_millis(20);

/// Whether and since when this entry leaves.
#[derive(Debug, Default)]
pub struct DrainState {
    /// Time of the first sign plus one; 0 while it stays.
    since_ms: AtomicU64,
    started: Notify,
}

impl DrainState {
    /// Starts to leave; false if it had started already.
    pub fn start(&self, now_ms: u64) -> bool {
        let started = self.since_ms.compare_exchange(
            NOT_LEAVING,
            now_ms + 1,
            Ordering::SeqCst,
            Ordering::SeqCst,
        );
        // The permit is kept for the one who waits, if it comes later.
        self.started.notify_one();
        started.is_ok()
    }

    /// Waits until it leaves; for one task only.
    pub async fn wait_until_leaving(&self) {
        while !self.is_leaving() {
            self.started.notified().await;
        }
    }

    /// Whether it leaves.
    pub fn is_leaving(&self) -> bool {
        self.since_ms.load(Ordering::SeqCst) != NOT_LEAVING
    }

    /// Whether new requests are refused.
    pub fn is_closed(&self, now_ms: u64) -> bool {
        let since_ms = self.since_ms.load(Ordering::SeqCst);
        since_ms != NOT_LEAVING && now_ms + 1 >= since_ms + GRACE_MS
    }
}

/// Starts to leave and tells the peers.
pub fn start_drain(entry: &Arc<Entry>, reason: &str) {
    if !entry.drain.start(entry.clock.now_ms()) {
        return;
    }
    log::info!(target: "drain", "Leaving: {reason}.");
    if let Some(mesh) = entry.mesh() {
        mesh.broadcast(&PeerMessage::Heartbeat(entry.make_heartbeat()));
    }
}

/// Waits until this entry leaves and nothing is in flight any more, or the limit is over.
pub async fn wait_until_drained(entry: &Arc<Entry>) {
    entry.drain.wait_until_leaving().await;
    let started_at_ms = entry.clock.now_ms();
    let limit_ms = entry.settings.timing.drain_timeout_ms;
    loop {
        let now_ms = entry.clock.now_ms();
        let in_flight = entry.in_flight.load(Ordering::SeqCst);
        let jobs = entry.jobs.lock().count_blocking_drain();
        if entry.drain.is_closed(now_ms) && in_flight == 0 && jobs == 0 {
            log::info!(target: "drain", "Nothing is in flight any more.");
            return;
        }
        if now_ms >= started_at_ms + limit_ms.max(GRACE_MS) {
            log::warn!(target: "drain", "{in_flight} requests and {jobs} jobs are cut off.");
            return;
        }
        sleep(POLL).await;
    }
}
