//! Origins of streams, versions of services and targets of routes in the platform's store, from which instances that start
//! know them, also when all start at once.
//!
//! The first of the responsive instances by rendezvous hashing writes the versions that are listed. While a
//! service has several, or shares paths with another one, or the past is not known for as long as streams are taken up, each
//! instance writes the origins of its own streams; they are listed only when a caller takes up a stream that no instance
//! knows.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hickorycourse_clock::{sleep, timeout};
use hickorycourse_origins::{
    BeginningSegment, LISTING_RETENTION_MS, OriginSegment, VersionRecord, write_interval_ms,
};
use hickorycourse_store::{KeyValue, KeyValueRecord, Lease, PlatformError, SwapOutcome};
use serde::Serialize;
use serde_json::json;
use tokio::sync::{mpsc, oneshot};

use crate::members::{MEMBER_PREFIX, MemberRecord};
use crate::state::Relay;

/// Prefix of the keys of [`OriginSegment`]s in the store.
pub const ORIGIN_PREFIX: &str = "hickorycourse/origins/";
/// Prefix of the last part of the keys of [`BeginningSegment`]s; earlier builds ignore what they hold.
const BEGINNINGS_NAME: &str = "beginnings-";
/// Store key of the [`VersionRecord`].
pub const VERSIONS_KEY: &str = "hickorycourse/versions";

/// TTL of the lease on segments; longer than streams last and their callers take to return.
const SEGMENT_TTL_MS: u64 = 90_000;
/// Age at which a lease is replaced for the segments that are written from then on.
const LEASE_AGE_MS: u64 = 30_000;
/// Time after a service's last but one version has gone for which origins are written, beyond the time for which
/// its streams last: instances that start take such a version to have gone later.
pub(crate) const MIXED_GRACE_MS: u64 = 20_000;
/// Interval at which the versions that are listed are compared with the record.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Pause after a failed write.
const RETRY_DELAY: Duration = Duration::from_millis(1_000);
/// Shortest interval between two listings of the origins in the store.
const SEARCH_INTERVAL: Duration = Duration::from_millis(100);
/// Searches that wait for a listing.
const MAX_QUEUED_SEARCHES: usize = 1_024;

/// Why a segment can't be read.
type DecodeError = ciborium::de::Error<std::io::Error>;

/// A request for a listing of the origins; the reply tells whether it has succeeded.
pub type OriginSearch = oneshot::Sender<bool>;

/// The versions as the store is known to hold them.
#[derive(Clone, Debug, Default)]
pub struct StoredVersions {
    /// The record.
    pub record: VersionRecord,
    /// Revision of its write; 0 if the key is absent.
    pub revision: u64,
}

/// Services that may have begun a stream at one of several versions, or whose paths may have led to others.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum AmbiguousServices {
    /// All, as the past is not known for long enough.
    All,
    /// These, and no others.
    Known(BTreeSet<String>),
}

impl AmbiguousServices {
    pub(crate) fn contains(&self, service: &str) -> bool {
        match self {
            Self::All => true,
            Self::Known(services) => services.contains(service),
        }
    }
}

impl Relay {
    /// Applies the versions as the store holds them; `None` if they are absent.
    pub fn apply_stored_versions(&self, item: Option<&KeyValueRecord>) {
        let mut stored = StoredVersions::default();
        if let Some(item) = item {
            stored.revision = item.mod_revision;
            match serde_json::from_slice::<VersionRecord>(&item.value) {
                Ok(record) => stored.record = record,
                Err(error) => self.log.write(
                    "item_ignored",
                    || json!({ "key": VERSIONS_KEY, "reason": error.to_string() }),
                ),
            }
        }
        let now_ms = self.now_ms();
        let wall_ms = self.wall_clock.lock().estimate_ms(now_ms);
        let era = self.store_era();
        let record = &stored.record;
        // One that was written before the end of a gap in the log does not tell all of it.
        let is_new = stored.revision > self.log_gap_revision.load(Ordering::Relaxed);
        let is_merged = {
            let mut versions = self.listed_versions.lock();
            versions.merge_unknown(record, wall_ms, era, now_ms);
            is_new && versions.merge(record, wall_ms, era, now_ms)
        };
        if let Some(routes) = record.routes.as_ref().filter(|_| is_merged) {
            let age_ms = wall_ms as i64 - record.written_at_wall_ms as i64;
            self.route_targets.lock().merge(routes, age_ms, now_ms);
        }
        if is_merged {
            self.log.write("versions_known", || {
                json!({
                    "complete_for_ms": record.complete_for_ms, "services": record.services,
                    "routes": record.routes,
                    "age_ms": wall_ms.saturating_sub(record.written_at_wall_ms),
                })
            });
        }
        *self.stored_versions.lock() = stored;
    }

    /// Looks at the first listing, without the versions, whether this is the first start of the fleet: an instance of
    /// this build that lives writes them, unless the store came back from a copy. Its era rises with each return, so that
    /// there was none before era 1. Origins show that instances had begun streams.
    pub fn record_first_start(&self, items: &[KeyValueRecord]) {
        let mut members = items.iter().filter(|item| item.key.starts_with(MEMBER_PREFIX));
        let is_writer = |item: &KeyValueRecord| {
            let record = serde_json::from_slice::<MemberRecord>(&item.value);
            record.is_ok_and(|record| record.writes_versions)
        };
        if self.log_attested_at_ms().is_some() {
            return;
        }
        let era = self.store_era();
        let has_origins = items.iter().any(|item| item.key.starts_with(ORIGIN_PREFIX));
        let is_first = era == 0 && !has_origins && members.all(is_writer);
        if is_first {
            let now_ms = self.now_ms();
            self.listed_versions.lock().record_first_start(now_ms);
            self.route_targets.lock().record_first_start(now_ms);
        }
        self.log.write("versions_absent", || json!({ "era": era, "is_first_start": is_first }));
    }

    /// Records the first listing of the store. What other instances have told before was not all that was listed.
    pub fn record_first_listing(&self) {
        let now_ms = self.now_ms();
        self.listed_versions.lock().record_first_listing(now_ms);
        self.route_targets.lock().record_gap(now_ms);
    }

    /// Records that the changes in the store after `known_until_ms` have become known as differences of a listing at
    /// `revision`. A version or a route that came and went meanwhile is missing, unless it was there for less than a change
    /// takes to become known.
    pub fn record_log_gap(&self, known_until_ms: u64, revision: u64) {
        let now_ms = self.now_ms();
        let missed_ms = now_ms.saturating_sub(known_until_ms);
        if missed_ms <= self.settings.bounds.change_propagation_ms() {
            return;
        }
        self.log_gap_revision.fetch_max(revision, Ordering::Relaxed);
        self.listed_versions.lock().record_gap(now_ms);
        self.route_targets.lock().record_gap(now_ms);
        self.log.write("changes_missed", || json!({ "missed_ms": missed_ms }));
    }

    /// Returns the record of what is known at `now_ms`.
    pub(crate) fn make_version_record(&self, now_ms: u64) -> VersionRecord {
        let wall_ms = self.wall_clock.lock().estimate_ms(now_ms);
        let era = self.store_era();
        VersionRecord {
            routes: self.route_targets.lock().make_record(now_ms),
            unread_for_ms: now_ms.saturating_sub(self.log_attested_at_ms().unwrap_or(0)),
            ..self.listed_versions.lock().make_record(wall_ms, era, now_ms)
        }
    }

    /// Applies the origins that another instance, or this one before it started, has written.
    pub fn apply_stored_origins(&self, item: &KeyValueRecord) {
        let name = item.key.rsplit('/').next().and_then(|name| name.split_once('-'));
        let is_of_beginnings = name.is_some_and(|(_, name)| name.starts_with(BEGINNINGS_NAME));
        let applied = match is_of_beginnings {
            true => self.apply_beginning_segment(&item.value),
            false => self.apply_origin_segment(&item.value),
        };
        if let Err(error) = applied {
            let reason = error.to_string();
            self.log.write("item_ignored", || json!({ "key": item.key, "reason": reason }));
        }
    }

    fn apply_origin_segment(&self, value: &[u8]) -> Result<(), DecodeError> {
        let segment: OriginSegment = ciborium::from_reader(value)?;
        let now_ms = self.now_ms();
        let mut origins = self.origins.lock();
        for (key, origin) in segment.origins().filter(|(_, origin)| origin.is_valid()) {
            origins.learn(key, origin, now_ms);
        }
        Ok(())
    }

    fn apply_beginning_segment(&self, value: &[u8]) -> Result<(), DecodeError> {
        let segment: BeginningSegment = ciborium::from_reader(value)?;
        let valid = segment.beginnings().filter(|(_, beginning)| beginning.is_valid());
        self.origins.lock().learn_beginnings(valid, self.now_ms());
        Ok(())
    }

    /// Reads the origins in the store; returns false if that fails, or takes longer than `limit`.
    pub async fn search_stored_origins(&self, limit: Duration) -> bool {
        let Some(searches) = self.origin_searches.get() else { return false };
        let (reply, receiver) = oneshot::channel();
        if searches.try_send(reply).is_err() {
            return false;
        }
        matches!(timeout(limit, receiver).await, Ok(Ok(true)))
    }

    /// Returns the services whose streams can't be told by their path alone, for the times in which those began that can
    /// be taken up now.
    pub(crate) fn ambiguous_services(&self) -> AmbiguousServices {
        let now_ms = self.now_ms();
        self.observe_routes(now_ms);
        let now_ms = now_ms as i64;
        let lasts_ms = self.longest_stream_ms() + self.former_listing_ms() + MIXED_GRACE_MS;
        let since_ms = now_ms - lasts_ms as i64;
        let versions = self.listed_versions.lock();
        let routes = self.route_targets.lock();
        let is_past_known = |since_ms: i64| {
            versions.is_complete_since(since_ms) && routes.is_complete_since(since_ms)
        };
        if !is_past_known(since_ms) {
            return AmbiguousServices::All;
        }
        let mut services = routes.shared_since(since_ms);
        services.extend(versions.mixed_since(since_ms));
        let open_since_ms = since_ms.min(now_ms - LISTING_RETENTION_MS);
        let mut open = routes.open_since(open_since_ms);
        if !open.is_empty() && is_past_known(open_since_ms) {
            let shared = routes.shared_since(open_since_ms);
            open.retain(|service| {
                shared.contains(service) || versions.is_mixed_since(service, open_since_ms)
            });
        }
        services.extend(open);
        AmbiguousServices::Known(services.into_iter().map(str::to_owned).collect())
    }

    fn longest_stream_ms(&self) -> u64 {
        self.route_table().map_or(0, |table| {
            let streams = table.document().routes.iter().filter(|route| route.repeat.is_stream());
            streams.map(|route| route.timeout_ms).max().unwrap_or(0)
        })
    }
}

/// Returns the queue of searches, to be passed to [`serve_origin_searches`].
pub fn open_origin_searches(relay: &Relay) -> mpsc::Receiver<OriginSearch> {
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_SEARCHES);
    // A process opens the queue once.
    let _ = relay.origin_searches.set(sender);
    receiver
}

/// Lists the origins in the store, once for all that wait, until the queue is closed.
pub async fn serve_origin_searches(
    relay: Arc<Relay>,
    key_value: Rc<dyn KeyValue>,
    mut searches: mpsc::Receiver<OriginSearch>,
) {
    while let Some(first) = searches.recv().await {
        let mut waiting = vec![first];
        while let Ok(search) = searches.try_recv() {
            waiting.push(search);
        }
        let started_at_ms = relay.now_ms();
        let listed = key_value.list(ORIGIN_PREFIX, 0).await;
        let (segments, failure) = match &listed {
            Ok(items) => (items.len(), None),
            Err(error) => (0, Some(error.to_string())),
        };
        for item in listed.iter().flatten() {
            relay.apply_stored_origins(item);
        }
        relay.log.write("origins_listed", || {
            json!({
                "segments": segments, "searches": waiting.len(), "failure": failure,
                "took_ms": relay.now_ms().saturating_sub(started_at_ms),
            })
        });
        for search in waiting {
            // The caller may have left meanwhile.
            let _ = search.send(failure.is_none());
        }
        sleep(SEARCH_INTERVAL).await;
    }
}

/// Writes the versions that are listed to the store when they have changed, and now and then, until the process
/// stops.
pub async fn maintain_version_record(relay: Arc<Relay>, key_value: Rc<dyn KeyValue>) {
    while !relay.drain.is_stopping() {
        let written = write_versions_if_outdated(&relay, key_value.as_ref()).await;
        let pause = match written {
            Ok(()) => CHECK_INTERVAL,
            Err(error) => {
                let reason = error.to_string();
                relay.log.write("versions_not_stored", || json!({ "reason": reason }));
                RETRY_DELAY
            }
        };
        sleep(pause).await;
    }
}

async fn write_versions_if_outdated(
    relay: &Relay,
    key_value: &dyn KeyValue,
) -> Result<(), PlatformError> {
    // What this process has not listed, it can't tell.
    if relay.log_attested_at_ms().is_none() || !relay.is_record_writer() {
        return Ok(());
    }
    let now_ms = relay.now_ms();
    relay.observe_versions(now_ms);
    relay.observe_routes(now_ms);
    let record = relay.make_version_record(now_ms);
    let stored = relay.stored_versions.lock().clone();
    if record.services.is_empty() || !stored.record.is_outdated_by(&record) {
        return Ok(());
    }
    let value = serde_json::to_vec(&record)
        .map_err(|error| PlatformError::InvalidResponse(error.to_string()))?;
    let swap = key_value.compare_and_swap(VERSIONS_KEY, stored.revision, &value, None).await?;
    match swap {
        SwapOutcome::Swapped { mod_revision } => {
            let stored = StoredVersions { record, revision: mod_revision };
            *relay.stored_versions.lock() = stored;
        }
        // Written by another instance meanwhile.
        SwapOutcome::Conflict { stored } => relay.apply_stored_versions(stored.as_ref()),
    }
    Ok(())
}

/// Writes the origins of the streams that this instance has begun to the store, until the process ends.
pub async fn maintain_origin_segments(relay: Arc<Relay>, key_value: Rc<dyn KeyValue>) {
    let mut lease: Option<(Lease, u64)> = None;
    let mut beginnings = BeginningsKey::default();
    let mut era = relay.store_era();
    loop {
        let instances = relay.members.lock().count(relay.now_ms());
        sleep(Duration::from_millis(write_interval_ms(instances))).await;
        if std::mem::replace(&mut era, relay.store_era()) != era {
            lease = None;
            relay.origin_journal.lock().record_lost();
            relay.beginning_journal.lock().record_lost();
            beginnings.replace();
        }
        if let Err(error) =
            write_beginnings(&relay, key_value.as_ref(), &mut beginnings, &mut lease).await
        {
            lease = None;
            relay.beginning_journal.lock().record_lost();
            beginnings.replace();
            let reason = error.to_string();
            relay.log.write("beginnings_not_stored", || json!({ "reason": reason }));
        }
        let now_ms = relay.now_ms();
        let ambiguous = relay.ambiguous_services();
        let is_needed = |service: &str| ambiguous.contains(service);
        let write = relay.origin_journal.lock().next_write(now_ms, is_needed);
        let Some(write) = write else { continue };
        let name = write.sequence.to_string();
        let segment = &write.segment;
        match write_segment(
            &relay,
            key_value.as_ref(),
            (&name, write.revision),
            segment,
            &mut lease,
        )
        .await
        {
            Ok(revision) => relay.origin_journal.lock().record_written(revision, relay.now_ms()),
            Err(error) => {
                lease = None;
                relay.origin_journal.lock().record_failed();
                let reason = error.to_string();
                relay.log.write("origins_not_stored", || json!({ "reason": reason }));
            }
        }
    }
}

/// The key at which this instance's [`BeginningSegment`] is, by its number, and the revision of its latest write.
#[derive(Clone, Copy, Debug, Default)]
struct BeginningsKey {
    sequence: u64,
    revision: u64,
}

impl BeginningsKey {
    /// Replaces the key by one that has not been written.
    fn replace(&mut self) {
        *self = Self { sequence: self.sequence + 1, revision: 0 };
    }
}

async fn write_beginnings(
    relay: &Relay,
    key_value: &dyn KeyValue,
    key: &mut BeginningsKey,
    held: &mut Option<(Lease, u64)>,
) -> Result<(), PlatformError> {
    let segment = relay.beginning_journal.lock().next_write(relay.now_ms());
    let Some(segment) = segment else { return Ok(()) };
    let name = format!("{BEGINNINGS_NAME}{}", key.sequence);
    key.revision = write_segment(relay, key_value, (&name, key.revision), &segment, held).await?;
    Ok(())
}

/// Writes a segment under its name and the revision of its latest write; returns the revision of this one.
async fn write_segment(
    relay: &Relay,
    key_value: &dyn KeyValue,
    (name, revision): (&str, u64),
    segment: &impl Serialize,
    held: &mut Option<(Lease, u64)>,
) -> Result<u64, PlatformError> {
    let now_ms = relay.now_ms();
    let lease = match *held {
        Some((lease, granted_at_ms)) if now_ms < granted_at_ms + LEASE_AGE_MS => lease,
        _ => {
            let ttl_ms = SEGMENT_TTL_MS.max(relay.settings.bounds.lease_least_ms);
            let lease = key_value.grant_lease(ttl_ms).await?;
            *held = Some((lease, now_ms));
            lease
        }
    };
    let mut value = Vec::new();
    ciborium::into_writer(segment, &mut value)
        .map_err(|error| PlatformError::InvalidResponse(error.to_string()))?;
    let instance = &relay.settings.instance;
    let key = format!("{ORIGIN_PREFIX}{instance}/{:x}-{name}", relay.boot);
    match key_value.compare_and_swap(&key, revision, &value, Some(lease)).await? {
        SwapOutcome::Swapped { mod_revision } => Ok(mod_revision),
        SwapOutcome::Conflict { .. } => {
            Err(PlatformError::Refused("the segment has another revision".to_owned()))
        }
    }
}
