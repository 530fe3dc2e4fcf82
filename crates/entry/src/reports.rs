//! The task that reads the upstreams' reports on load and cache.

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

/// The number after the last cache event seen of each upstream.
type SeenEvents = Arc<Mutex<HashMap<SocketAddr, u64>>>;

/// Reads the reports at every tick until the channel closes.
pub async fn read_reports(entry: Arc<Entry>, mut ticks: mpsc::Receiver<Tick>) {
    let seen = SeenEvents::default();
    while ticks.recv().await.is_some() {
        let pools: Vec<Arc<ServicePool>> = entry.pools.read().values().cloned().collect();
        for pool in pools {
            for upstream in pool.list_upstreams() {
                let pool = Arc::clone(&pool);
                let seen = Arc::clone(&seen);
                ntex::rt::spawn(async move {
                    read_report(&pool, &upstream.instance, upstream.address, &seen).await;
                });
            }
        }
    }
}

async fn read_report(pool: &ServicePool, instance: &str, address: SocketAddr, seen: &SeenEvents) {
    let after = seen.lock().get(&address).copied().unwrap_or(0);
    let Ok(report) = upstreams().read_report(address, after).await else { return };
    pool.take_report(instance, &report, after);
    seen.lock().insert(address, report.cache.next);
}
