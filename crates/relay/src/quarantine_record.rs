//! The record of the quarantined parts in the platform's store, from which instances that start know
//! them, also when all start at once.
//!
//! All instances know the record from their view of the store. The first of the responsive instances by
//! rendezvous hashing writes it; nothing depends on two of them writing at once, as the writes are
//! conditional.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hickorycourse_clock::sleep;
use hickorycourse_digest::rank_aggregators;
use hickorycourse_quarantine::QuarantineDigest;
use hickorycourse_store::{KeyValue, KeyValueRecord, PlatformError, SwapOutcome};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::state::Relay;

/// Store key of the [`QuarantineRecord`].
pub const QUARANTINE_KEY: &str = "hickorycourse/quarantine";

/// Time after which the record is written again if a quarantined part was asked for since. A restarted
/// fleet takes a part for idle otherwise.
const RECORD_REFRESH_MS: u64 = 120_000;
/// Interval at which the record is compared with the quarantined parts.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Pause after a failed write.
const RETRY_DELAY: Duration = Duration::from_millis(1_000);

/// The quarantined parts in the store.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuarantineRecord {
    /// Wall-clock time of the write.
    pub written_at_wall_ms: u64,
    /// The quarantined parts, with their ages at that time.
    pub digest: QuarantineDigest,
}

impl QuarantineRecord {
    /// Returns whether `newer` has to be written in the place of this record.
    pub fn is_outdated_by(&self, newer: &Self) -> bool {
        let age_ms = newer.written_at_wall_ms.saturating_sub(self.written_at_wall_ms);
        self.digest_after(age_ms).is_outdated_by(&newer.digest, RECORD_REFRESH_MS)
    }

    fn digest_after(&self, age_ms: u64) -> QuarantineDigest {
        let mut digest = self.digest.clone();
        digest.add_age(age_ms);
        digest
    }
}

/// The record as the store is known to hold it.
#[derive(Clone, Debug, Default)]
pub struct StoredQuarantine {
    record: QuarantineRecord,
    /// Revision of its write; 0 if the key is absent.
    revision: u64,
}

impl Relay {
    /// Returns the record of the quarantined parts.
    fn make_quarantine_record(&self) -> QuarantineRecord {
        let now_ms = self.now_ms();
        let digest = self.quarantine.lock().digest(now_ms);
        QuarantineRecord {
            written_at_wall_ms: self.wall_clock.lock().estimate_ms(now_ms),
            digest: QuarantineDigest {
                quarantined: digest.quarantined,
                ..QuarantineDigest::default()
            },
        }
    }

    /// Applies the record as the store holds it; `None` if it is absent.
    pub fn apply_stored_quarantine(&self, item: Option<&KeyValueRecord>) {
        let mut stored = StoredQuarantine::default();
        if let Some(item) = item {
            stored.revision = item.mod_revision;
            match serde_json::from_slice::<QuarantineRecord>(&item.value) {
                Ok(record) => stored.record = record,
                Err(error) => self.log.write(
                    "item_ignored",
                    || json!({ "key": QUARANTINE_KEY, "reason": error.to_string() }),
                ),
            }
        }
        let wall_ms = self.wall_clock.lock().estimate_ms(self.now_ms());
        let age_ms = wall_ms.saturating_sub(stored.record.written_at_wall_ms);
        let digest = stored.record.digest_after(age_ms);
        *self.stored_quarantine.lock() = stored;
        self.merge_quarantine(&digest, "store");
    }

    /// Returns whether this instance writes the records of what all instances know.
    pub fn is_record_writer(&self) -> bool {
        let now_ms = self.now_ms();
        let own = self.settings.instance.as_str();
        let members = self.members.lock();
        let zones = members.availability_zones(now_ms);
        let others = zones.iter().flat_map(|zone| members.responsive_names(zone, now_ms));
        rank_aggregators(others.chain(std::iter::once(own))).first() == Some(&own)
    }
}

/// Writes the quarantined parts to the store when they have changed, until the process stops.
pub async fn maintain_quarantine_record(relay: Arc<Relay>, key_value: Rc<dyn KeyValue>) {
    while !relay.drain.is_stopping() {
        let written = write_if_outdated(&relay, key_value.as_ref()).await;
        let pause = match written {
            Ok(()) => CHECK_INTERVAL,
            Err(error) => {
                let reason = error.to_string();
                relay.log.write("quarantine_not_stored", || json!({ "reason": reason }));
                RETRY_DELAY
            }
        };
        sleep(pause).await;
    }
}

async fn write_if_outdated(relay: &Relay, key_value: &dyn KeyValue) -> Result<(), PlatformError> {
    let stored = relay.stored_quarantine.lock().clone();
    let record = relay.make_quarantine_record();
    if !stored.record.is_outdated_by(&record) || !relay.is_record_writer() {
        return Ok(());
    }
    let value = serde_json::to_vec(&record)
        .map_err(|error| PlatformError::InvalidResponse(error.to_string()))?;
    let swap = key_value.compare_and_swap(QUARANTINE_KEY, stored.revision, &value, None).await?;
    match swap {
        SwapOutcome::Swapped { mod_revision } => {
            let stored = StoredQuarantine { record, revision: mod_revision };
            *relay.stored_quarantine.lock() = stored;
        }
        // Written by another instance meanwhile.
        SwapOutcome::Conflict { stored } => relay.apply_stored_quarantine(stored.as_ref()),
    }
    Ok(())
}
