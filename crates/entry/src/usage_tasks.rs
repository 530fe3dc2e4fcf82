//! Flushing usage to the platform and copying it to a peer.

use std::rc::Rc;
use std::sync::Arc;

use hickorycourse_clock::Tick;
use hickorycourse_peer::PeerMessage;
use hickorycourse_store::{KeyValue, PlatformError, SwapOutcome};
use hickorycourse_usage::UsageTable;
use tokio::sync::mpsc;

use crate::state::{Entry, UsageOwner};

/// The prefix of usage in the key-value service; one value for each incarnation.
pub const KEY_PREFIX: &str = "hickorycourse/usage/";
/// Copies go to the same peer as long as it stays.
const COPY_SEED: u64 = 0;
const WRITE_TRIES: u32 = 3;

/// Flushes at every tick until the channel closes.
pub async fn flush_usage(
    entry: Arc<Entry>,
    key_value: Rc<dyn KeyValue>,
    mut ticks: mpsc::Receiver<Tick>,
) {
    while ticks.recv().await.is_some() {
        send_copy(&entry);
        flush_own(&entry, key_value.as_ref()).await;
        flush_lost(&entry, key_value.as_ref()).await;
    }
}

/// Flushes this incarnation's counters.
pub async fn flush_own(entry: &Entry, key_value: &dyn KeyValue) {
    let book = entry.usage.lock().clone();
    if book.list_rows().is_empty() {
        return;
    }
    let owner = own(entry);
    if let Err(error) = merge_into_store(key_value, &owner, &book).await {
        // Counters are written whole, so the next flush makes up for this one.
        log::warn!(target: "usage", "A flush failed: {error}.");
    }
}

fn own(entry: &Entry) -> UsageOwner {
    UsageOwner { instance: entry.settings.instance.clone(), incarnation: entry.incarnation }
}

fn send_copy(entry: &Entry) {
    let now_ms = entry.clock.now_ms();
    let holder = entry.members.lock().choose_copy_holder(COPY_SEED, now_ms);
    let (Some(holder), Some(mesh)) = (holder, entry.mesh()) else { return };
    let book = entry.usage.lock().clone();
    mesh.send(&holder, &PeerMessage::UsageCopy { incarnation: entry.incarnation, book });
}

/// Flushes the copies of processes that have ended, which may hold more than their last flush.
async fn flush_lost(entry: &Entry, key_value: &dyn KeyValue) {
    let now_ms = entry.clock.now_ms();
    let lost: Vec<UsageOwner> = {
        let members = entry.members.lock();
        let copies = entry.usage_copies.lock();
        let is_lost = |owner: &&UsageOwner| {
            members.incarnation(&owner.instance, now_ms) != Some(owner.incarnation)
        };
        copies.keys().filter(is_lost).cloned().collect()
    };
    for owner in lost {
        let book = entry.usage_copies.lock().get(&owner).cloned().unwrap_or_default();
        if merge_into_store(key_value, &owner, &book).await.is_ok() {
            entry.usage_copies.lock().remove(&owner);
        }
    }
}

/// Merges a book into its incarnation's value. Repeating it changes nothing.
async fn merge_into_store(
    key_value: &dyn KeyValue,
    owner: &UsageOwner,
    book: &UsageTable,
) -> Result<(), PlatformError> {
    let key = format!("{KEY_PREFIX}{}/{:x}", owner.instance, owner.incarnation);
    for _ in 0..WRITE_TRIES {
        let stored = key_value.get(&key).await?;
        let mut merged = book.clone();
        if let Some(stored) = &stored {
            merged.merge(&read_book(&stored.value)?);
        }
        let bytes = serde_json::to_vec(&merged).expect("a usage book is a list of rows");
        let expected_revision = stored.as_ref().map_or(0, |stored| stored.mod_revision);
        let swap = key_value.compare_and_swap(&key, expected_revision, &bytes, None).await?;
        if matches!(swap, SwapOutcome::Swapped { .. }) {
            return Ok(());
        }
    }
    Err(PlatformError::Refused("others write the same value".to_owned()))
}

fn read_book(bytes: &[u8]) -> Result<UsageTable, PlatformError> {
    serde_json::from_slice(bytes).map_err(|error| PlatformError::InvalidResponse(error.to_string()))
}

/// Sums up all usage: what is in store, and this entry's own counters that are not flushed yet.
pub async fn sum_usage(
    entry: &Entry,
    key_value: &dyn KeyValue,
) -> Result<UsageTable, PlatformError> {
    let own_key = format!("{KEY_PREFIX}{}/{:x}", entry.settings.instance, entry.incarnation);
    let mut own_book = entry.usage.lock().clone();
    let mut sum = UsageTable::new();
    for stored in key_value.list(KEY_PREFIX, 0).await? {
        let book = read_book(&stored.value)?;
        match stored.key == own_key {
            true => own_book.merge(&book),
            false => sum.add_table(&book),
        }
    }
    sum.add_table(&own_book);
    Ok(sum)
}
