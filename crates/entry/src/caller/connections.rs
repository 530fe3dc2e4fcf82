//! Callers' open connections, which the shutdown waits for.

use std::cell::RefCell;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hickorycourse_clock::sleep;
use ntex::io::IoRef;

use crate::state::Entry;

const POLL_INTERVAL: Duration = Duration::from_millis(20);

thread_local! {
    /// The counted connections of the current worker thread.
    static OPEN: RefCell<HashSet<IoRef>> = RefCell::default();
}

/// Counts the connection of a request as open until it is closed.
pub fn track(entry: &Arc<Entry>, connection: Option<&IoRef>) {
    let Some(io) = connection else { return };
    if !OPEN.with_borrow_mut(|open| open.insert(io.clone())) {
        return;
    }
    entry.open_connections.fetch_add(1, Ordering::SeqCst);
    let (entry, io) = (Arc::clone(entry), io.clone());
    ntex::rt::spawn(async move {
        io.on_disconnect().await;
        OPEN.with_borrow_mut(|open| open.remove(&io));
        entry.open_connections.fetch_sub(1, Ordering::SeqCst);
    });
}

/// Waits until callers have no open connection, at most for `limit`. A server that closes an idle
/// connection can't know whether a request is already in flight on it.
pub async fn wait_until_closed(entry: &Entry, limit: Duration) {
    let limit_ms = u64::try_from(limit.as_millis()).unwrap_or(u64::MAX);
    let started_at_ms = entry.clock.now_ms();
    while entry.open_connections.load(Ordering::SeqCst) > 0 {
        if entry.clock.now_ms() >= started_at_ms.saturating_add(limit_ms) {
            let count = entry.open_connections.load(Ordering::SeqCst);
            log::info!(target: "drain", "Closing {count} idle connections.");
            return;
        }
        sleep(POLL_INTERVAL).await;
    }
}
