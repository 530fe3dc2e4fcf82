//! Watches the platform's store for the operators' document, the upstreams and the other instances,
//! and keeps this instance's member record in it.
//!
//! A few instances of each availability zone read the store ([`crate::readers`]); the others follow them.
//! One watch covers all keys. After each batch of changes it pauses, so that many heartbeats of
//! upstreams arrive in one response; the pause is a part of the shortest bound within which changes
//! must be applied.

use std::future::pending;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::future::{Either, select};
use hickorycourse_clock::sleep;
use hickorycourse_routes::{RouteDocument, UpstreamEntry};
use hickorycourse_store::{
    KeyValue, KeyValueRecord, Lease, PlatformError, SwapOutcome, Watch, WatchEvent,
};
use ntex::rt;
use rand::Rng;
use serde_json::json;

use crate::adapter::{PlatformItem, PlatformKey};
use crate::broadcast::PeerBroadcast;
use crate::duty_tasks::{DUTY_LEASE_KEY, ERA_RECORD_KEY, USAGE_REPORT_PREFIX};
use crate::follow::follow_until_stale;
use crate::members::{MEMBER_PREFIX, MemberRecord};
use crate::origin_records::{ORIGIN_PREFIX, VERSIONS_KEY};
use crate::quarantine_record::QUARANTINE_KEY;
use crate::state::Relay;
use crate::view_log::StoreChange;
use crate::view_search::{search_on_request, search_while_late};

/// Pause after a batch of changes in a fleet of one, in percent of
/// [`Bounds::change_propagation_ms`](crate::settings::Bounds::change_propagation_ms).
const BATCH_DELAY_PERCENT: u64 = 25;
/// Upper limit of that percentage; the remainder covers two failed calls.
const MAX_BATCH_DELAY_PERCENT: u64 = 40;
/// Number of instances for which the percentage grows by one. Calls to the store are billed, so a
/// large fleet makes fewer per instance.
const INSTANCES_PER_DELAY_PERCENT: u64 = 4;
/// That percentage for an instance that other instances follow.
const READER_BATCH_DELAY_PERCENT: u64 = 18;
/// Shortest interval between two readings that callers wait for.
const REQUESTED_READING_INTERVAL: Duration = Duration::from_millis(100);
/// Range of the backoff after a failure; randomized so that instances don't reconnect at the same
/// time.
const BACKOFF_MS: std::ops::Range<u64> = 100..400;
/// Range of the delay before a listing after the history was lost; all instances notice it at once.
const RESTART_JITTER_MS: std::ops::Range<u64> = 0..150;
/// Age of what is known of the store up to which a watch goes on from there. The heartbeats of a longer
/// time are more than a listing.
const MAX_RESUME_AGE_MS: u64 = 10_000;
/// TTL of the lease on this instance's member record; covers an outage of the store. A record that
/// outlives its instance only keeps that instance's share of caps reserved.
const MEMBER_TTL_MS: u64 = 20_000;
/// Interval between two renewals of the lease on the member record.
const MEMBER_RENEW_INTERVAL: Duration = Duration::from_millis(6_500);
/// Delay between two attempts to write the member record.
const MEMBER_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Maximum random delay before an attempt to acquire the duty lease, so that instances that observe
/// the same vacancy don't compete at the same time.
const ACQUIRE_JITTER_MS: u64 = 300;
/// Time after its start for which an instance lets others acquire the duty lease first: it has not
/// yet received the usage counts of ended processes.
const STARTUP_PERIOD_MS: u64 = 12_000;
/// Additional delay of an acquisition by an instance that doesn't read the store for others.
const FOLLOWER_ACQUIRE_DELAY_MS: u64 = 2_500;
/// Additional delay of an acquisition within the startup period.
const STARTUP_ACQUIRE_DELAY_MS: u64 = 1_500;

/// Keeps the state of the store known until the process ends: reads the store while this instance is
/// one of the readers or can't follow one, and follows a reader otherwise.
pub async fn watch_store(
    relay: Arc<Relay>,
    key_value: Rc<dyn KeyValue>,
    broadcast: Arc<PeerBroadcast>,
) {
    rt::spawn(search_on_request(Arc::clone(&relay), Arc::clone(&broadcast)));
    loop {
        let ended = watch_until_failure(&relay, key_value.as_ref(), &broadcast).await;
        relay.set_view_current_at(None);
        match ended {
            Ok(WatchEnd::Following) => {
                follow_until_stale(&relay, &broadcast, key_value.as_ref()).await;
                continue;
            }
            Ok(WatchEnd::Closed) => relay.record_store_failure("the store closed the watch"),
            // The store is reachable, but the history for the watch is gone; the next listing
            // covers the gap.
            Err(PlatformError::HistoryLost(reason)) => {
                relay.is_listing_needed.store(true, Ordering::Relaxed);
                relay.observe_store_era(key_value.era(), "store");
                relay.log.write("watch_restarted", || json!({ "reason": reason }));
                let delay_ms = rand::rng().random_range(RESTART_JITTER_MS);
                sleep(Duration::from_millis(delay_ms)).await;
                continue;
            }
            Err(error) => relay.record_store_failure(&error.to_string()),
        }
        let backoff_ms = rand::rng().random_range(BACKOFF_MS);
        sleep(Duration::from_millis(backoff_ms)).await;
    }
}

/// Why a watch has ended without a failure.
enum WatchEnd {
    /// The store closed it.
    Closed,
    /// Other instances read the store for this one.
    Following,
}

async fn watch_until_failure(
    relay: &Arc<Relay>,
    key_value: &dyn KeyValue,
    broadcast: &Arc<PeerBroadcast>,
) -> Result<WatchEnd, PlatformError> {
    let propagation_ms = relay.settings.bounds.change_propagation_ms();
    let timings = relay.follow_timings();
    // Another instance may have told of a later era than the one that this one still reaches.
    key_value.raise_era(relay.store_era());
    let reading_since_ms = relay.now_ms();
    let mut watch = match resume_watch(relay, key_value).await? {
        Some(watch) => watch,
        None => list_and_watch(relay, key_value, broadcast).await?,
    };
    let mut has_polled = relay.view_current_at_ms().is_some();
    let mut is_requested = false;
    loop {
        let now_ms = relay.now_ms();
        if has_polled
            && watch.revision() > 0
            && timings.may_follow(relay.is_reader(now_ms), reading_since_ms, now_ms)
        {
            return Ok(WatchEnd::Following);
        }
        if relay.is_listing_needed.load(Ordering::Relaxed) {
            let reason = "another instance has told the upstreams meanwhile";
            return Err(PlatformError::HistoryLost(reason.to_owned()));
        }
        let started_at_ms = now_ms;
        key_value.raise_era(relay.store_era());
        let bounds = &relay.settings.bounds;
        let poll_timeout_ms = match relay.has_followers(now_ms) {
            _ if is_requested => 0,
            true => bounds.followed_watch_timeout_ms(),
            false => bounds.watch_timeout_ms(),
        };
        watch.set_poll_timeout_ms(poll_timeout_ms);
        let searching = pin!(search_while_late(relay, broadcast, poll_timeout_ms));
        let requested = pin!(wait_for_reading_request(relay, is_requested));
        let events = match select(watch.next(), select(searching, requested)).await {
            Either::Left((events, _)) => events,
            Either::Right((Either::Left((never, _)), _)) => match never {},
            // The abandoned poll has changed nothing.
            Either::Right((Either::Right(_), _)) => {
                is_requested = true;
                continue;
            }
        };
        let Some(events) = events else { return Ok(WatchEnd::Closed) };
        let events = events?;
        // Other instances may have told more meanwhile, and an earlier value must not replace a later one.
        let known_revision = match watch.revision() {
            0 => 0,
            _ => relay.view_log.lock().revision(),
        };
        for event in events.iter().filter(|event| revision_of(event) > known_revision) {
            log_event(relay, event);
            apply_event(relay, event, relay.log_attested_at_ms());
        }
        relay.view_log.lock().advance(watch.revision());
        record_freshness(relay, started_at_ms);
        has_polled = true;
        relay.expire_upstreams();
        if std::mem::take(&mut is_requested) {
            sleep(REQUESTED_READING_INTERVAL).await;
        }
        if !events.is_empty() {
            let delay = pin!(sleep(Duration::from_millis(batch_delay_ms(relay, propagation_ms))));
            let requested = pin!(relay.reading_requested.notified());
            is_requested = matches!(select(delay, requested).await, Either::Right(_));
        }
    }
}

/// Waits until the store has to be read at once; for ever if `is_served`, as it is being read so.
async fn wait_for_reading_request(relay: &Relay, is_served: bool) {
    if is_served {
        pending::<()>().await;
    }
    relay.reading_requested.notified().await;
}

/// Returns a watch that goes on after the changes that are known; `None` if the store has to be listed.
async fn resume_watch(
    relay: &Relay,
    key_value: &dyn KeyValue,
) -> Result<Option<Box<dyn Watch>>, PlatformError> {
    let now_ms = relay.now_ms();
    let age_ms = relay.log_attested_at_ms().map(|at_ms| now_ms.saturating_sub(at_ms));
    if age_ms.is_none_or(|age_ms| age_ms > MAX_RESUME_AGE_MS) {
        return Ok(None);
    }
    let known_revision = {
        let view_log = relay.view_log.lock();
        if !view_log.is_covered() || relay.is_listing_needed.load(Ordering::Relaxed) {
            return Ok(None);
        }
        view_log.revision()
    };
    key_value.watch_after("", known_revision).await
}

async fn list_and_watch(
    relay: &Relay,
    key_value: &dyn KeyValue,
    broadcast: &Arc<PeerBroadcast>,
) -> Result<Box<dyn Watch>, PlatformError> {
    // Opened before the listing, so that no change between the two is missed.
    let watch = key_value.watch("").await?;
    relay.observe_store_era(key_value.era(), "store");
    let started_at_ms = relay.now_ms();
    let known_until_ms = relay.log_attested_at_ms();
    let was_needed = relay.is_listing_needed.swap(false, Ordering::Relaxed);
    let listed = key_value.list("", 0).await;
    if listed.is_err() && was_needed {
        relay.is_listing_needed.store(true, Ordering::Relaxed);
    }
    let items = listed?;
    relay.observe_store_era(key_value.era(), "store");
    log_listing(relay, &items, watch.revision());
    match known_until_ms {
        Some(known_until_ms) => relay.record_log_gap(known_until_ms, watch.revision()),
        None => relay.record_first_listing(),
    }
    apply_listing(relay, &items);
    // Before the listing proves keys.
    broadcast.begin_version_check();
    record_freshness(relay, started_at_ms);
    Ok(watch)
}

fn revision_of(event: &WatchEvent) -> u64 {
    match event {
        WatchEvent::Put(item) => item.mod_revision,
        WatchEvent::Deleted { mod_revision, .. } => *mod_revision,
    }
}

/// Returns the pause after a batch of changes. Followers of this instance learn of a change later.
fn batch_delay_ms(relay: &Relay, propagation_ms: u64) -> u64 {
    let now_ms = relay.now_ms();
    let instances = relay.members.lock().count(now_ms) as u64;
    let percent = match relay.has_followers(now_ms) {
        true => READER_BATCH_DELAY_PERCENT,
        false => (BATCH_DELAY_PERCENT + instances / INSTANCES_PER_DELAY_PERCENT)
            .min(MAX_BATCH_DELAY_PERCENT),
    };
    propagation_ms * percent / 100
}

/// Adds a listing to the changes that followers are told of.
fn log_listing(relay: &Relay, items: &[KeyValueRecord], revision: u64) {
    let followed = items.iter().filter(|item| is_followed(&item.key));
    let changes = followed.map(into_change).collect();
    relay.view_log.lock().apply_listing(changes, revision);
}

/// Adds a change to those that followers are told of.
fn log_event(relay: &Relay, event: &WatchEvent) {
    match event {
        WatchEvent::Put(item) if is_followed(&item.key) => {
            let is_heartbeat = matches!(
                relay.protocol.decode_item(&item.key, &item.value),
                Ok(PlatformItem::Upstream(entry)) if relay.directory.lock().is_heartbeat(&entry)
            );
            let mut view_log = relay.view_log.lock();
            match is_heartbeat {
                true => view_log.record_heartbeat(into_change(item)),
                false => view_log.append(into_change(item)),
            }
        }
        WatchEvent::Deleted { key, mod_revision } if is_followed(key) => {
            let change = StoreChange { key: key.clone(), value: None, revision: *mod_revision };
            relay.view_log.lock().append(change);
        }
        WatchEvent::Put(_) | WatchEvent::Deleted { .. } => {}
    }
}

/// Returns whether followers need the changes of a key. Records of usage are read from the store by
/// the holder of the duties, and origins of streams by whoever misses one.
fn is_followed(key: &str) -> bool {
    !key.is_empty()
        && !key.starts_with(USAGE_REPORT_PREFIX)
        && !key.starts_with(ORIGIN_PREFIX)
        && key != ERA_RECORD_KEY
}

fn into_change(item: &KeyValueRecord) -> StoreChange {
    StoreChange {
        key: item.key.clone(),
        value: Some(item.value.clone()),
        revision: item.mod_revision,
    }
}

/// Records a response of the store to a call that began at `started_at_ms`: the local state was
/// current then.
fn record_freshness(relay: &Relay, started_at_ms: u64) {
    relay.record_store_success();
    relay.set_view_current_at(Some(started_at_ms));
    relay.attest_log(started_at_ms);
}

/// Applies the operators' document as the store lists it.
fn apply_stored_document(relay: &Relay, document: RouteDocument) {
    let version = document.version;
    relay.apply_document(document, "store");
    relay.active_document.write().record_stored_version(Some(version));
}

fn apply_listing(relay: &Relay, items: &[KeyValueRecord]) {
    let mut upstreams: Vec<UpstreamEntry> = Vec::new();
    let mut members = Vec::new();
    let mut has_holder = false;
    for item in items {
        has_holder |= item.key == DUTY_LEASE_KEY;
        if let Some(name) = item.key.strip_prefix(MEMBER_PREFIX) {
            members.push(name.to_owned());
        }
        if item.key.starts_with(ORIGIN_PREFIX) {
            relay.apply_stored_origins(item);
            continue;
        }
        match decode(relay, item) {
            Some(PlatformItem::Upstream(entry)) => upstreams.push(entry),
            Some(PlatformItem::Document(document)) => apply_stored_document(relay, *document),
            Some(PlatformItem::Other) => apply_relay_item(relay, item),
            None => {}
        }
    }
    if !items.iter().any(|item| item.key == QUARANTINE_KEY) {
        relay.apply_stored_quarantine(None);
    }
    if !items.iter().any(|item| item.key == VERSIONS_KEY) {
        relay.apply_stored_versions(None);
        relay.record_first_start(items);
    }
    relay.replace_upstreams(upstreams);
    let now_ms = relay.now_ms();
    let mut member_table = relay.members.lock();
    for name in member_table.listed_names() {
        if !members.contains(&name) {
            member_table.mark_unlisted(&name);
        }
    }
    drop(member_table);
    if !has_holder {
        let delay_ms = random_acquire_delay_ms(relay, now_ms);
        relay.duty_lease.lock().observe_vacant(None, delay_ms, now_ms);
    }
}

/// Applies a change in the store, which was written after `written_after_ms` if that is known.
pub fn apply_event(relay: &Relay, event: &WatchEvent, written_after_ms: Option<u64>) {
    match event {
        WatchEvent::Put(item) => match decode(relay, item) {
            Some(PlatformItem::Upstream(entry)) => relay.put_upstream(entry, written_after_ms),
            Some(PlatformItem::Document(document)) => apply_stored_document(relay, *document),
            Some(PlatformItem::Other) => apply_relay_item(relay, item),
            None => {
                // An upstream with an invalid entry is not used.
                if let PlatformKey::Upstream(id) = relay.protocol.classify_key(&item.key) {
                    relay.remove_upstream(id);
                }
            }
        },
        WatchEvent::Deleted { key, mod_revision } => apply_deletion(relay, key, *mod_revision),
    }
}

fn decode(relay: &Relay, item: &KeyValueRecord) -> Option<PlatformItem> {
    if item.key.is_empty() {
        let revision = item.mod_revision;
        relay.log.write(
            "item_ignored",
            || json!({ "revision": revision, "reason": "its key can't be read" }),
        );
        return None;
    }
    match relay.protocol.decode_item(&item.key, &item.value) {
        Ok(decoded) => Some(decoded),
        Err(reason) => {
            relay.log.write(
                "item_ignored",
                || json!({ "key": item.key, "revision": item.mod_revision, "reason": reason }),
            );
            None
        }
    }
}

/// Applies an item that the relays write: the duty lease, the quarantined parts or a member record.
fn apply_relay_item(relay: &Relay, item: &KeyValueRecord) {
    if item.key == DUTY_LEASE_KEY {
        relay.duty_lease.lock().observe_holder(item.mod_revision);
    }
    if item.key == QUARANTINE_KEY {
        relay.apply_stored_quarantine(Some(item));
    }
    if item.key == VERSIONS_KEY {
        relay.apply_stored_versions(Some(item));
    }
    let Some(name) = item.key.strip_prefix(MEMBER_PREFIX) else { return };
    if name == relay.settings.instance {
        return;
    }
    match serde_json::from_slice::<MemberRecord>(&item.value) {
        Ok(record) => relay.members.lock().apply_record(name, &record, relay.now_ms()),
        Err(error) => relay
            .log
            .write("item_ignored", || json!({ "key": item.key, "reason": error.to_string() })),
    }
}

fn apply_deletion(relay: &Relay, key: &str, revision: u64) {
    if key == DUTY_LEASE_KEY {
        let now_ms = relay.now_ms();
        let delay_ms = random_acquire_delay_ms(relay, now_ms);
        relay.duty_lease.lock().observe_vacant(Some(revision), delay_ms, now_ms);
    }
    if key == QUARANTINE_KEY {
        relay.apply_stored_quarantine(None);
    }
    if key == VERSIONS_KEY {
        relay.apply_stored_versions(None);
    }
    if let Some(name) = key.strip_prefix(MEMBER_PREFIX) {
        relay.members.lock().mark_unlisted(name);
    }
    if let PlatformKey::Upstream(id) = relay.protocol.classify_key(key) {
        relay.remove_upstream(id);
    }
}

/// Returns the randomized delay before this instance tries to acquire a vacant duty lease. `now_ms`
/// is the time since the start of the process. Readers go first, as they observe the vacancy first
/// and are few.
pub fn random_acquire_delay_ms(relay: &Relay, now_ms: u64) -> u64 {
    let startup_delay_ms = if now_ms < STARTUP_PERIOD_MS { STARTUP_ACQUIRE_DELAY_MS } else { 0 };
    let follower_delay_ms = if relay.is_reader(now_ms) { 0 } else { FOLLOWER_ACQUIRE_DELAY_MS };
    startup_delay_ms + follower_delay_ms + rand::rng().random_range(0..ACQUIRE_JITTER_MS)
}

/// Keeps this instance's member record in the store, under a lease, so that others discover it.
pub async fn maintain_membership(relay: Arc<Relay>, key_value: Rc<dyn KeyValue>) {
    let mut lease: Option<Lease> = None;
    while !relay.drain.is_stopping() {
        let renewed = match lease {
            Some(held) => key_value.renew_lease(held).await.map(|is_held| is_held.then_some(held)),
            None => register(&relay, key_value.as_ref()).await.map(Some),
        };
        let pause = match renewed {
            Ok(held) => {
                lease = held;
                if held.is_some() { MEMBER_RENEW_INTERVAL } else { MEMBER_RETRY_DELAY }
            }
            Err(error) => {
                relay.log.write("membership_failed", || json!({ "reason": error.to_string() }));
                MEMBER_RETRY_DELAY
            }
        };
        relay.observe_store_era(key_value.era(), "store");
        select(pin!(sleep(pause)), pin!(relay.registration_requested.notified())).await;
    }
    if let Some(held) = lease
        && let Err(error) = key_value.revoke_lease(held).await
    {
        relay.log.write("membership_failed", || json!({ "reason": error.to_string() }));
    }
}

async fn register(relay: &Relay, key_value: &dyn KeyValue) -> Result<Lease, PlatformError> {
    let settings = &relay.settings;
    let ttl_ms = MEMBER_TTL_MS.max(settings.bounds.lease_least_ms);
    let lease = key_value.grant_lease(ttl_ms).await?;
    let key = format!("{MEMBER_PREFIX}{}", settings.instance);
    let record = MemberRecord {
        peer_address: settings.peer_address,
        availability_zone: settings.availability_zone.clone(),
        boot: relay.boot,
        writes_versions: true,
    };
    let value = serde_json::to_vec(&record)
        .map_err(|error| PlatformError::InvalidResponse(error.to_string()))?;
    let mut expected_revision = 0;
    loop {
        let swap = key_value.compare_and_swap(&key, expected_revision, &value, Some(lease)).await?;
        match swap {
            SwapOutcome::Swapped { .. } => return Ok(lease),
            // The key was left by this instance's previous process.
            SwapOutcome::Conflict { stored } => {
                expected_revision = stored.map_or(0, |stored| stored.mod_revision);
            }
        }
    }
}
