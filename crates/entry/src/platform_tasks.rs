//! Tasks that follow the platform's settings, instance list and reclaim notices.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hickorycourse_clock::{Tick, sleep, timeout};
use hickorycourse_membership::VersionedDocument;
use hickorycourse_settings::document::{Document, DocumentName, KEY_PREFIX};
use hickorycourse_store::{
    Fleet, FleetInstance, InstanceState, KeyValue, KeyValueRecord, PlatformError, WatchEvent,
};
use tokio::sync::mpsc;

use crate::drain;
use crate::state::Entry;

/// Idle time after which a watch is closed and opened again: an intermediary, such as a proxy, may
/// have dropped the connection without notifying either end.
const WATCH_IDLE_TIMEOUT: Duration = Duration::from_millis(4_000);
/// Interval at which an entry that does not watch checks whether it has become a watcher.
const WATCHER_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Delay before a failed watch is opened again.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Entries that are not watchers poll the instance list once per this number of ticks.
const NON_WATCHER_LIST_TICKS: u64 = 10;
/// Role of entries in the platform's instance list.
const ENTRY_ROLE: &str = "entry";

/// Watches the settings documents and applies their changes while this entry is one of the watchers
/// of its availability zone, or has no site settings yet. Watchers are the few entries of a zone
/// that watch the key-value service; the others receive the changes from their peers.
pub async fn watch_settings(entry: Arc<Entry>, key_value: Rc<dyn KeyValue>) {
    let mut next_revision = 0;
    loop {
        let is_site_missing = entry.snapshot().site.is_none();
        if !is_site_missing && !entry.members.lock().is_watcher(entry.clock.now_ms()) {
            sleep(WATCHER_CHECK_INTERVAL).await;
            continue;
        }
        let result = watch_once(&entry, key_value.as_ref(), &mut next_revision).await;
        entry.is_platform_up.store(result.is_ok(), Ordering::Relaxed);
        if let Err(error) = result {
            log::warn!(
                target: "settings",
                "Settings watch on {KEY_PREFIX} failed: {error}; retrying in {RETRY_DELAY:?}.",
            );
            sleep(RETRY_DELAY).await;
        }
    }
}

/// Opens a watch, lists the documents written since `next_revision`, and applies changes until the
/// watch ends or has been idle for `WATCH_IDLE_TIMEOUT`.
async fn watch_once(
    entry: &Arc<Entry>,
    key_value: &dyn KeyValue,
    next_revision: &mut u64,
) -> Result<(), PlatformError> {
    let mut watch = key_value.watch(KEY_PREFIX).await?;
    // The watch is opened before the list is read, so that no change between the two is missed.
    let records = key_value.list(KEY_PREFIX, *next_revision).await?;
    apply_records(entry, &records, next_revision);
    while let Ok(Some(events)) = timeout(WATCH_IDLE_TIMEOUT, watch.next()).await {
        let written: Vec<KeyValueRecord> = events?
            .into_iter()
            .filter_map(|event| match event {
                WatchEvent::Put(record) => Some(record),
                WatchEvent::Deleted { .. } => None,
            })
            .collect();
        // Events do not advance `next_revision`, because earlier events may have been lost. The
        // next list includes all writes since the last one.
        apply_records(entry, &written, &mut 0);
    }
    Ok(())
}

fn apply_records(entry: &Entry, records: &[KeyValueRecord], next_revision: &mut u64) {
    let mut documents = Vec::new();
    for record in records {
        *next_revision = (*next_revision).max(record.mod_revision + 1);
        let Some(name) = DocumentName::from_key(&record.key) else { continue };
        match Document::from_bytes(&record.value) {
            Ok(document) => documents.push(VersionedDocument { name, document }),
            Err(error) => log::error!(
                target: "settings",
                "Failed to decode settings document {name}: {error}; skipped.",
            ),
        }
    }
    entry.apply_documents(&documents);
}

/// Polls the platform's instance list and reclaim notices until the channel of ticks closes.
/// Watchers poll at every tick, other entries at every tenth (`NON_WATCHER_LIST_TICKS`).
pub async fn poll_fleet(entry: Arc<Entry>, fleet: Rc<dyn Fleet>, mut ticks: mpsc::Receiver<Tick>) {
    let mut tick_count = 0;
    loop {
        let is_due = tick_count % NON_WATCHER_LIST_TICKS == 0
            || entry.members.lock().is_watcher(entry.clock.now_ms());
        tick_count += 1;
        if is_due && let Err(error) = refresh_fleet_state(&entry, fleet.as_ref()).await {
            log::warn!(
                target: "member",
                "Failed to read the instance list or the reclaim notices: {error}.",
            );
        }
        if ticks.recv().await.is_none() {
            return;
        }
    }
}

async fn refresh_fleet_state(entry: &Arc<Entry>, fleet: &dyn Fleet) -> Result<(), PlatformError> {
    let notices = fleet.list_notices().await?;
    apply_leaving(entry, &notices);
    let instances = fleet.list_instances().await?;
    let is_leaving = |instance: &FleetInstance| instance.state == InstanceState::Leaving;
    let listed_leaving: Vec<String> =
        instances.iter().filter(|i| is_leaving(i)).map(|i| i.instance.clone()).collect();
    apply_leaving(entry, &listed_leaving);
    let is_unlisted = |name: &str| {
        !notices.iter().any(|notice| notice == name)
            && !instances.iter().any(|i| i.instance == name)
    };
    entry.retain_leaving(|name| !is_unlisted(name));
    update_members(entry, &instances);
    Ok(())
}

fn apply_leaving(entry: &Arc<Entry>, leaving: &[String]) {
    if leaving.contains(&entry.settings.instance) {
        drain::start_drain(entry, "the platform is reclaiming this instance");
    }
    entry.mark_leaving(leaving);
}

fn update_members(entry: &Entry, instances: &[FleetInstance]) {
    let entries: Vec<&FleetInstance> =
        instances.iter().filter(|instance| instance.role == ENTRY_ROLE).collect();
    let names: BTreeSet<String> = entries.iter().map(|e| e.instance.clone()).collect();
    let now_ms = entry.clock.now_ms();
    let peers = {
        let mut members = entry.members.lock();
        for listed in &entries {
            let is_leaving = listed.state == InstanceState::Leaving;
            let zone = &listed.availability_zone;
            members.apply_listing(&listed.instance, zone, listed.address, is_leaving);
        }
        members.retain_listed(&names, now_ms);
        members.list_peers()
    };
    let Some(mesh) = entry.mesh() else { return };
    let mut addresses: BTreeSet<_> = peers.iter().map(|peer| peer.address).collect();
    addresses.extend(&entry.settings.peer_addresses);
    mesh.retain_peers(&addresses);
    let addresses: Vec<_> = addresses.into_iter().collect();
    mesh.add_peers(&addresses);
}
