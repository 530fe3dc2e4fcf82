//! Tasks that talk to the platform.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hickorycourse_clock::Tick;
use hickorycourse_membership::VersionedDocument;
use hickorycourse_settings::document::{Document, DocumentName, KEY_PREFIX};
use hickorycourse_store::{
    Fleet, FleetInstance, InstanceState, KeyValue, KeyValueRecord, PlatformError, WatchEvent,
};
use ntex::time::{sleep, timeout};
use tokio::sync::mpsc;

use crate::drain;
use crate::state::Entry;

/// A watch that says nothing for this long is given up and made anew: something between the ends
/// may have lost track of it.
const WATCH_RENEWAL: Duration = Duration::from_millis(4_000);
const NOT_WATCHING_WAIT: Duration = Duration::from_millis(250);
const FAILURE_WAIT: Duration = Duration::from_millis(500);
/// Entries that don't watch look at the instance list once in so many ticks.
const SLOW_LIST_TICKS: u64 = 10;
/// The role of entries in the platform's list.
const ENTRY_ROLE: &str = "entry";

/// Keeps the settings up to date while this entry is one of its zone's watchers. The others get them
/// over peer links.
pub async fn watch_settings(entry: Arc<Entry>, key_value: Rc<dyn KeyValue>) {
    let mut next_revision = 0;
    loop {
        let is_needed = entry.snapshot().site.is_none();
        if !is_needed && !entry.members.lock().is_watcher(entry.clock.now_ms()) {
            sleep(NOT_WATCHING_WAIT).await;
            continue;
        }
        let result = watch_once(&entry, key_value.as_ref(), &mut next_revision).await;
        entry.is_platform_up.store(result.is_ok(), Ordering::Relaxed);
        if let Err(error) = result {
            log::warn!(target: "settings", "Watching failed: {error}.");
            sleep(FAILURE_WAIT).await;
        }
    }
}

/// Opens a watch, reads what was missed and applies changes until the watch is silent or ends.
async fn watch_once(
    entry: &Arc<Entry>,
    key_value: &dyn KeyValue,
    next_revision: &mut u64,
) -> Result<(), PlatformError> {
    let mut watch = key_value.watch(KEY_PREFIX).await?;
    // The watch is open before the list is read, so nothing falls between.
    let listed = key_value.list(KEY_PREFIX, *next_revision).await?;
    take_stored(entry, &listed, next_revision);
    while let Ok(Some(events)) = timeout(WATCH_RENEWAL, watch.next()).await {
        let written: Vec<KeyValueRecord> = events?
            .into_iter()
            .filter_map(|event| match event {
                WatchEvent::Put(stored) => Some(stored),
                WatchEvent::Deleted { .. } => None,
            })
            .collect();
        // Events don't move the mark: one may have been lost before it. The next list is sure.
        take_stored(entry, &written, &mut 0);
    }
    Ok(())
}

fn take_stored(entry: &Entry, stored: &[KeyValueRecord], next_revision: &mut u64) {
    let mut documents = Vec::new();
    for value in stored {
        *next_revision = (*next_revision).max(value.mod_revision + 1);
        let Some(name) = DocumentName::from_key(&value.key) else { continue };
        match Document::from_bytes(&value.value) {
            Ok(document) => documents.push(VersionedDocument { name, document }),
            Err(error) => log::error!(target: "settings", "Can't read {name}: {error}."),
        }
    }
    entry.apply_documents(&documents);
}

/// Follows the platform's instance list and notices.
pub async fn follow_fleet(
    entry: Arc<Entry>,
    fleet: Rc<dyn Fleet>,
    mut ticks: mpsc::Receiver<Tick>,
) {
    let mut count = 0;
    loop {
        let is_due =
            count % SLOW_LIST_TICKS == 0 || entry.members.lock().is_watcher(entry.clock.now_ms());
        count += 1;
        if is_due && let Err(error) = read_fleet(&entry, fleet.as_ref()).await {
            log::warn!(target: "member", "Reading the instance list failed: {error}.");
        }
        if ticks.recv().await.is_none() {
            return;
        }
    }
}

async fn read_fleet(entry: &Arc<Entry>, fleet: &dyn Fleet) -> Result<(), PlatformError> {
    let notices = fleet.list_notices().await?;
    take_leaving(entry, &notices);
    let instances = fleet.list_instances().await?;
    let left = |instance: &FleetInstance| instance.state == InstanceState::Leaving;
    let listed_leaving: Vec<String> =
        instances.iter().filter(|i| left(i)).map(|i| i.instance.clone()).collect();
    take_leaving(entry, &listed_leaving);
    let gone = |name: &str| {
        !notices.iter().any(|notice| notice == name)
            && !instances.iter().any(|i| i.instance == name)
    };
    entry.retain_leaving(|name| !gone(name));
    learn_entries(entry, &instances);
    Ok(())
}

fn take_leaving(entry: &Arc<Entry>, leaving: &[String]) {
    if leaving.contains(&entry.settings.instance) {
        drain::start_drain(entry, "the platform takes this instance back");
    }
    entry.mark_leaving(leaving);
}

fn learn_entries(entry: &Entry, instances: &[FleetInstance]) {
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
