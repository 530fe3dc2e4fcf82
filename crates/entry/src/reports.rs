//! The task that polls the upstreams for their reports on load and prefix cache.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use hickorycourse_clock::Tick;
use hickorycourse_upstream::Engine;
use parking_lot::Mutex;
use tokio::sync::mpsc;

use crate::caller::upstreams;
use crate::pool::ServicePool;
use crate::state::Entry;

/// The number that follows the last cache event received from each upstream, by its address.
type CacheEventCursors = Arc<Mutex<HashMap<SocketAddr, u64>>>;

/// Polls all upstreams concurrently at every tick until the channel closes.
pub async fn poll_reports(entry: Arc<Entry>, mut ticks: mpsc::Receiver<Tick>) {
    let cursors = CacheEventCursors::default();
    while ticks.recv().await.is_some() {
        let pools: Vec<Arc<ServicePool>> = entry.pools.read().values().cloned().collect();
        for pool in pools {
            for upstream in pool.list_upstreams() {
                let pool = Arc::clone(&pool);
                let cursors = Arc::clone(&cursors);
                ntex::rt::spawn(async move {
                    poll_upstream(&pool, &upstream.instance, upstream.address, &cursors).await;
                });
            }
        }
    }
}

/// Reads and records one report. After a failure the next tick polls from the same cursor.
async fn poll_upstream(
    pool: &ServicePool,
    instance: &str,
    address: SocketAddr,
    cursors: &CacheEventCursors,
) {
    let cursor = cursors.lock().get(&address).copied().unwrap_or(0);
    let Ok(report) = upstreams().read_report(address, cursor).await else { return };
    pool.record_report(instance, &report, cursor);
    cursors.lock().insert(address, report.cache.next);
}
