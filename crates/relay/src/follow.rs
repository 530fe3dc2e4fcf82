//! Following: learning the state of the platform's store from instances that read it.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hickorycourse_clock::sleep;
use hickorycourse_store::{KeyValue, split_revision};
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::broadcast::PeerBroadcast;
use crate::readers::{LastHeard, ReadCause};
use crate::start_proofs::StartProof;
use crate::state::Relay;
use crate::view_log::{StoreChange, ViewChanges, ViewCursor, ViewGap};
use crate::view_search::{FollowStep, ViewSource, ask_for_view, search_view};

/// Bytes of changes in one reply, so that it fits one datagram.
const MAX_REPLY_BYTES: usize = 32 * 1024;

/// Query of a follower for the changes that it doesn't know.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ViewQuery {
    /// Revision up to which the follower knows all changes.
    #[serde(rename = "r")]
    pub known_revision: u64,
    /// Where the next part begins; `None` from a build that doesn't assemble parts.
    #[serde(default, rename = "n", skip_serializing_if = "Option::is_none")]
    pub cursor: Option<ViewCursor>,
    /// Whether the follower asks any instance, rather than a reader of its availability zone.
    #[serde(default, rename = "s")]
    pub is_search: bool,
    /// Upstreams with connections whose start is not proven.
    #[serde(default, rename = "p", skip_serializing_if = "Vec::is_empty")]
    pub unproven: Vec<String>,
    /// Whether the follower takes account of gaps.
    #[serde(default, rename = "g")]
    pub takes_gaps: bool,
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
    /// Where the next part begins.
    #[serde(default, rename = "n", skip_serializing_if = "Option::is_none")]
    pub next: Option<ViewCursor>,
    /// Bytes of the first change's value that were told in earlier parts.
    #[serde(default, rename = "b")]
    pub offset_bytes: u64,
    /// Bytes of the last change's value that follow in later parts.
    #[serde(default, rename = "m")]
    pub remaining_bytes: u64,
    /// Proofs of the starts that the query names.
    #[serde(default, rename = "p", skip_serializing_if = "Vec::is_empty")]
    pub proofs: Vec<StartProof>,
    /// Gaps in the reader's log that end after the revision that the follower knows.
    #[serde(default, rename = "g", skip_serializing_if = "Vec::is_empty")]
    pub gaps: Vec<ViewGap>,
}

/// Answers a follower from the state that this instance knows; `None` if it can't prove any.
pub fn make_reply(relay: &Relay, query: ViewQuery) -> Option<ViewReply> {
    let now_ms = relay.now_ms();
    let read_at_ms = relay.view_current_at_ms();
    if read_at_ms.is_none() && !query.is_search {
        relay.record_unanswered_query(now_ms);
    }
    let view_log = relay.view_log.lock();
    let current_at_ms = match read_at_ms {
        Some(read_at_ms) => read_at_ms,
        // An earlier build expects replies of readers only.
        None if query.cursor.is_none() => return None,
        None => {
            let is_present_era = split_revision(view_log.revision()).0 == relay.store_era();
            relay.log_attested_at_ms().filter(|_| is_present_era)?
        }
    };
    let mut reply = ViewReply {
        store_era: relay.store_era(),
        age_ms: now_ms.saturating_sub(current_at_ms),
        recovered_ago_ms: relay.store_recovered_ago_ms(now_ms),
        revision: 0,
        is_complete: false,
        changes: None,
        next: None,
        offset_bytes: 0,
        remaining_bytes: 0,
        proofs: relay.make_start_proofs(&query.unproven),
        gaps: Vec::new(),
    };
    let Some(cursor) = query.cursor else {
        let (changes, is_complete) =
            match view_log.changes_after(query.known_revision, MAX_REPLY_BYTES) {
                ViewChanges::Complete(changes) => (Some(changes), true),
                ViewChanges::Partial(changes) => (Some(changes), false),
                ViewChanges::Unavailable => (None, false),
            };
        reply.revision = match is_complete {
            true => view_log.revision(),
            false => changes.iter().flatten().last().map_or(0, |change| change.revision),
        };
        return Some(ViewReply { is_complete, changes, ..reply });
    };
    if !query.takes_gaps && view_log.is_in_gap(query.known_revision) {
        return Some(reply);
    }
    let part = view_log.part_after(query.known_revision, cursor, relay.boot, MAX_REPLY_BYTES);
    let Some(part) = part else { return Some(reply) };
    Some(ViewReply {
        revision: part.revision,
        is_complete: part.next.is_none(),
        changes: Some(part.changes),
        next: part.next,
        offset_bytes: part.offset_bytes,
        remaining_bytes: part.remaining_bytes,
        gaps: view_log.gaps_after(query.known_revision),
        ..reply
    })
}

/// Follows the readers of the own availability zone until the store has to be read: this instance has
/// become a reader, nobody's word is fresh enough, or nobody can tell the changes.
pub async fn follow_until_stale(
    relay: &Arc<Relay>,
    broadcast: &Arc<PeerBroadcast>,
    key_value: &dyn KeyValue,
) {
    let timings = relay.follow_timings();
    let now_ms = relay.now_ms();
    let mut heard = LastHeard { replied_at_ms: now_ms, current_at_ms: now_ms };
    let mut cause_since_ms = None;
    relay.log.write("store_followed", || json!({ "revision": relay.view_log.lock().revision() }));
    metrics::gauge!("hickorycourse_store_following").set(1.0);
    loop {
        sleep(Duration::from_millis(timings.query_interval_ms)).await;
        let mut step = query_readers(relay, broadcast).await;
        if step != FollowStep::Current || relay.until_view_late_ms(relay.now_ms()) == 0 {
            step = step.max(search_view(relay, broadcast).await);
        }
        key_value.raise_era(relay.store_era());
        relay.expire_upstreams();
        let now_ms = relay.now_ms();
        heard.current_at_ms = heard.current_at_ms.max(relay.log_attested_at_ms().unwrap_or(0));
        if step != FollowStep::Silent {
            heard.replied_at_ms = now_ms;
        }
        let cause = timings.read_cause(relay.is_reader(now_ms), heard, now_ms).or_else(|| {
            if step == FollowStep::Relist {
                Some(ReadCause::ChangesUnavailable)
            } else if relay.is_listing_needed.load(Ordering::Relaxed) {
                Some(ReadCause::ListingNeeded)
            } else {
                relay.drain.is_stopping().then_some(ReadCause::Stopping)
            }
        });
        let Some(cause) = cause else {
            cause_since_ms = None;
            continue;
        };
        // The first ones of a zone to list the store tell the others.
        let since_ms = *cause_since_ms.get_or_insert(now_ms);
        let is_own_turn = matches!(cause, ReadCause::Selected | ReadCause::Stopping)
            || now_ms - since_ms >= relay.fall_back_delay_ms(now_ms);
        if !is_own_turn {
            continue;
        }
        metrics::gauge!("hickorycourse_store_following").set(0.0);
        metrics::counter!("hickorycourse_store_read_total", "cause" => cause.name()).increment(1);
        relay.log.write("store_read", || {
            json!({
                "cause": cause.name(),
                "age_ms": now_ms.saturating_sub(heard.current_at_ms),
                "silence_ms": now_ms.saturating_sub(heard.replied_at_ms),
                "waited_ms": now_ms - since_ms,
                "revision": relay.view_log.lock().revision(),
            })
        });
        return;
    }
}

/// Asks the readers in random order until one can tell the changes.
async fn query_readers(relay: &Arc<Relay>, broadcast: &PeerBroadcast) -> FollowStep {
    let mut readers = relay.other_readers(relay.now_ms());
    readers.shuffle(&mut rand::rng());
    let mut best = FollowStep::Silent;
    for (name, address) in readers {
        let source = ViewSource { address, is_reader: true };
        let step = ask_for_view(relay, broadcast, source, false).await;
        relay.members.lock().record_reply(&name, step != FollowStep::Silent, relay.now_ms());
        best = best.max(step);
        if best == FollowStep::Current {
            break;
        }
    }
    best
}
