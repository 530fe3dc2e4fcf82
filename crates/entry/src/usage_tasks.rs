//! Flushing of usage counters to the platform's key-value service, and their replication to a peer.

use std::rc::Rc;
use std::sync::Arc;

use hickorycourse_clock::Tick;
use hickorycourse_peer::PeerMessage;
use hickorycourse_store::{KeyValue, PlatformError, SwapOutcome};
use hickorycourse_usage::UsageTable;
use tokio::sync::mpsc;

use crate::state::{Entry, UsageOwner};

/// Key prefix of usage in the key-value service; each incarnation has one value.
pub const KEY_PREFIX: &str = "hickorycourse/usage/";
/// A constant seed, so that copies go to the same peer as long as it is available.
const COPY_SEED: u64 = 0;
const WRITE_ATTEMPTS: u32 = 3;

/// At every tick, sends a copy of this entry's counters to a peer, and flushes these counters and
/// the copies of lost processes' counters. Runs until the channel closes.
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

/// Flushes the counters of this incarnation. A failure is only logged.
pub async fn flush_own(entry: &Entry, key_value: &dyn KeyValue) {
    let table = entry.usage.lock().clone();
    if table.list_rows().is_empty() {
        return;
    }
    let owner = own_usage_owner(entry);
    if let Err(error) = merge_into_store(key_value, &owner, &table).await {
        // Each flush writes the full counters, so the next one includes what this one failed to
        // write.
        log::warn!(
            target: "usage",
            "Failed to flush usage counters: {error}; the next flush includes them.",
        );
    }
}

fn own_usage_owner(entry: &Entry) -> UsageOwner {
    UsageOwner { instance: entry.settings.instance.clone(), incarnation: entry.incarnation }
}

/// Sends a copy of this incarnation's counters to a peer, which flushes it if this process ends
/// without a flush.
pub fn send_copy(entry: &Entry) {
    let now_ms = entry.clock.now_ms();
    let holder = entry.members.lock().choose_copy_target(COPY_SEED, now_ms);
    let (Some(holder), Some(mesh)) = (holder, entry.mesh()) else { return };
    let book = entry.usage.lock().clone();
    mesh.send(&holder, &PeerMessage::UsageCopy { incarnation: entry.incarnation, book });
}

/// Flushes the copies of the counters of processes that have ended or are unreachable. A copy may
/// be newer than the last flush of its process.
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
        let table = entry.usage_copies.lock().get(&owner).cloned().unwrap_or_default();
        if merge_into_store(key_value, &owner, &table).await.is_ok() {
            entry.usage_copies.lock().remove(&owner);
        }
    }
}

/// Merges a table into the stored value of its incarnation. Idempotent.
async fn merge_into_store(
    key_value: &dyn KeyValue,
    owner: &UsageOwner,
    table: &UsageTable,
) -> Result<(), PlatformError> {
    let key = format!("{KEY_PREFIX}{}/{:x}", owner.instance, owner.incarnation);
    for _ in 0..WRITE_ATTEMPTS {
        let stored = key_value.get(&key).await?;
        let mut merged = table.clone();
        if let Some(stored) = &stored {
            merged.merge(&decode_table(&stored.value)?);
        }
        let bytes =
            serde_json::to_vec(&merged).expect("a usage table serializes as a list of rows");
        let expected_revision = stored.as_ref().map_or(0, |stored| stored.mod_revision);
        let swap = key_value.compare_and_swap(&key, expected_revision, &bytes, None).await?;
        if matches!(swap, SwapOutcome::Swapped { .. }) {
            return Ok(());
        }
    }
    Err(PlatformError::Refused(
        "all attempts to update the usage record conflicted with concurrent writes".to_owned(),
    ))
}

fn decode_table(bytes: &[u8]) -> Result<UsageTable, PlatformError> {
    serde_json::from_slice(bytes).map_err(|error| PlatformError::InvalidResponse(error.to_string()))
}

/// Returns the total of all stored usage and of this entry's counters that are not flushed yet.
///
/// # Errors
/// The stored usage can't be read or decoded.
pub async fn sum_usage(
    entry: &Entry,
    key_value: &dyn KeyValue,
) -> Result<UsageTable, PlatformError> {
    let own_key = format!("{KEY_PREFIX}{}/{:x}", entry.settings.instance, entry.incarnation);
    let mut own_table = entry.usage.lock().clone();
    let mut sum = UsageTable::new();
    for stored in key_value.list(KEY_PREFIX, 0).await? {
        let table = decode_table(&stored.value)?;
        match stored.key == own_key {
            true => own_table.merge(&table),
            false => sum.add_table(&table),
        }
    }
    sum.add_table(&own_table);
    Ok(sum)
}
