//! Following: learning the state of the platform's store from an instance that reads it.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hickorycourse_store::{KeyValue, KeyValueRecord, WatchEvent};
use ntex::time::sleep;
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::broadcast::PeerBroadcast;
use crate::readers::{LastHeard, ReadCause};
use crate::state::Relay;
use crate::store_watch::apply_event;
use crate::view_log::{StoreChange, ViewChanges};

/// Time for the reply of a reader; the other one is asked afterwards.
const REPLY_TIMEOUT: Duration = Duration::from_millis(250);
/// Bytes of changes in one reply, so that it fits one datagram.
const MAX_REPLY_BYTES: usize = 32 * 1024;
/// Replies with a part of the changes that are applied in a row.
const MAX_PARTIAL_REPLIES: usize = 64;

/// Query of a follower for the changes that it doesn't know.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct ViewQuery {
    /// Revision up to which the follower knows all changes.
    #[serde(rename = "r")]
    pub known_revision: u64,
}

/// Reply of a reader.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ViewReply {
    /// Era of the store.
    #[serde(rename = "e")]
    pub store_era: u64,
    /// Time before the reply at which the reader's state was that of the store.
    #[serde(rename = "a")]
    pub age_ms: u64,
    /// Time before the reply at which the reader's latest outage of the store ended; `None` if there
    /// was none.
    #[serde(rename = "o")]
    pub recovered_ago_ms: Option<u64>,
    /// Revision up to which the follower knows all changes with this reply.
    #[serde(rename = "r")]
    pub revision: u64,
    /// Whether there are no further changes.
    #[serde(rename = "c")]
    pub is_complete: bool,
    /// The changes; `None` if the reader can't tell them.
    #[serde(rename = "u")]
    pub changes: Option<Vec<StoreChange>>,
}

/// Answers a follower from the state that this instance has read; `None` if it has read none.
pub fn make_reply(relay: &Relay, query: ViewQuery) -> Option<ViewReply> {
    let now_ms = relay.now_ms();
    let Some(current_at_ms) = relay.view_current_at_ms() else {
        relay.record_unanswered_query(now_ms);
        return None;
    };
    let view_log = relay.view_log.lock();
    let (changes, is_complete) = match view_log.changes_after(query.known_revision, MAX_REPLY_BYTES)
    {
        ViewChanges::Complete(changes) => (Some(changes), true),
        ViewChanges::Partial(changes) => (Some(changes), false),
        ViewChanges::Unavailable => (None, false),
    };
    let revision = match is_complete {
        true => view_log.revision(),
        false => changes.iter().flatten().last().map_or(0, |change| change.revision),
    };
    Some(ViewReply {
        store_era: relay.store_era(),
        age_ms: now_ms.saturating_sub(current_at_ms),
        recovered_ago_ms: relay.store_recovered_ago_ms(now_ms),
        revision,
        is_complete,
        changes,
    })
}

/// Effect of a reply on the follower.
enum FollowStep {
    /// The follower knows the state of the reader.
    Current,
    /// More changes are to be asked for.
    More,
    /// The changes can't be told; the store has to be listed.
    Relist,
}

/// Follows the readers of the own availability zone until the store has to be read: this instance has
/// become a reader, no reader's word is fresh enough, or the changes can't be told.
/// `known_revision` is the revision up to which this instance knows all changes.
pub async fn follow_until_stale(
    relay: &Arc<Relay>,
    broadcast: &PeerBroadcast,
    key_value: &dyn KeyValue,
    mut known_revision: u64,
) {
    let timings = relay.follow_timings();
    let now_ms = relay.now_ms();
    let mut heard = LastHeard { replied_at_ms: now_ms, current_at_ms: now_ms };
    relay.log.write("store_followed", || json!({ "revision": known_revision }));
    metrics::gauge!("hickorycourse_store_following").set(1.0);
    loop {
        sleep(Duration::from_millis(timings.query_interval_ms)).await;
        let step = query_readers(relay, broadcast, &mut known_revision, &mut heard).await;
        key_value.raise_era(relay.store_era());
        relay.expire_upstreams();
        let now_ms = relay.now_ms();
        let is_selected = relay.is_reader(now_ms);
        let cause = timings.read_cause(is_selected, heard, now_ms).or_else(|| {
            if matches!(step, Some(FollowStep::Relist)) {
                Some(ReadCause::ChangesUnavailable)
            } else if relay.is_listing_needed.load(Ordering::Relaxed) {
                Some(ReadCause::ListingNeeded)
            } else {
                relay.drain.is_stopping().then_some(ReadCause::Stopping)
            }
        });
        if let Some(cause) = cause {
            metrics::gauge!("hickorycourse_store_following").set(0.0);
            metrics::counter!("hickorycourse_store_read_total", "cause" => cause.name())
                .increment(1);
            relay.log.write("store_read", || {
                json!({
                    "cause": cause.name(),
                    "age_ms": now_ms.saturating_sub(heard.current_at_ms),
                    "silence_ms": now_ms.saturating_sub(heard.replied_at_ms),
                    "revision": known_revision,
                })
            });
            return;
        }
    }
}

/// Asks the readers in random order until one replies.
async fn query_readers(
    relay: &Arc<Relay>,
    broadcast: &PeerBroadcast,
    known_revision: &mut u64,
    heard: &mut LastHeard,
) -> Option<FollowStep> {
    let mut readers = relay.other_readers(relay.now_ms());
    readers.shuffle(&mut rand::rng());
    for (name, address) in readers {
        for _ in 0..MAX_PARTIAL_REPLIES {
            let queried_at_ms = relay.now_ms();
            let query = ViewQuery { known_revision: *known_revision };
            let reply = broadcast.query_view(address, query, REPLY_TIMEOUT).await;
            relay.members.lock().record_reply(&name, reply.is_some(), relay.now_ms());
            let Some(reply) = reply else { break };
            match apply_reply(relay, reply, queried_at_ms, known_revision, heard) {
                Some(FollowStep::More) => {}
                Some(step) => return Some(step),
                None => break,
            }
        }
    }
    None
}

/// Applies a reply; `None` if it is of no use.
fn apply_reply(
    relay: &Relay,
    reply: ViewReply,
    queried_at_ms: u64,
    known_revision: &mut u64,
    heard: &mut LastHeard,
) -> Option<FollowStep> {
    if reply.store_era != relay.store_era() {
        // With a new era, revisions start anew; a listing brings the state and the era.
        return (reply.store_era > relay.store_era()).then_some(FollowStep::Relist);
    }
    heard.replied_at_ms = relay.now_ms();
    let Some(changes) = reply.changes else { return Some(FollowStep::Relist) };
    if let Some(ago_ms) = reply.recovered_ago_ms {
        relay.record_store_recovery(relay.now_ms().saturating_sub(ago_ms));
    }
    for change in changes.into_iter().filter(|change| change.revision > *known_revision) {
        apply_event(relay, &into_event(change));
    }
    *known_revision = (*known_revision).max(reply.revision);
    if !reply.is_complete {
        return Some(FollowStep::More);
    }
    // The reply was made after the query was sent, whatever the network delay was.
    let attested_at_ms = queried_at_ms.checked_sub(reply.age_ms)?;
    heard.current_at_ms = heard.current_at_ms.max(attested_at_ms);
    relay.attest_view(attested_at_ms);
    relay.active_document.write().attest_by_store(attested_at_ms);
    Some(FollowStep::Current)
}

fn into_event(change: StoreChange) -> WatchEvent {
    let StoreChange { key, value, revision } = change;
    match value {
        Some(value) => WatchEvent::Put(KeyValueRecord { key, value, mod_revision: revision }),
        None => WatchEvent::Deleted { key, mod_revision: revision },
    }
}
