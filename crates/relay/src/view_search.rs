//! Queries for the changes in the store, and the search for an instance whose state is newer than the
//! one known here.
//!
//! Load pattern: the polls of a reader hang, or its zone has lost the store, while other zones read
//! it. Revisions are those of the store, so any instance can tell the changes that another one misses.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use hickorycourse_clock::sleep;
use hickorycourse_store::{KeyValueRecord, WatchEvent};
use ntex::rt;

use crate::broadcast::PeerBroadcast;
use crate::follow::{ViewQuery, ViewReply};
use crate::state::Relay;
use crate::store_watch::apply_event;
use crate::view_log::{StoreChange, ViewCursor};

/// Time for the reply of an instance; another one is asked afterwards.
const REPLY_TIMEOUT: Duration = Duration::from_millis(250);
/// Replies with a part of the changes that are applied in a row.
const MAX_PARTIAL_REPLIES: usize = 64;

/// What a query has brought, in ascending order of use.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum FollowStep {
    /// No reply that is of use.
    Silent,
    /// The changes can't be told.
    Relist,
    /// The changes are known up to a time that the reply proves.
    Current,
}

/// An instance that is asked for changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ViewSource {
    /// Address for datagrams.
    pub address: SocketAddr,
    /// Whether it is expected to read the store.
    pub is_reader: bool,
}

/// Asks an instance for the changes, in parts until there are no more.
pub async fn ask_for_view(
    relay: &Relay,
    broadcast: &PeerBroadcast,
    source: ViewSource,
    is_search: bool,
) -> FollowStep {
    let mut cursor = ViewCursor::default();
    let mut telling = Telling::default();
    for _ in 0..MAX_PARTIAL_REPLIES {
        let queried_at_ms = relay.now_ms();
        let known_revision = relay.view_log.lock().revision();
        let unproven = relay.wanted_proofs.lock().names(queried_at_ms);
        let query = ViewQuery {
            known_revision,
            cursor: Some(cursor),
            is_search,
            unproven,
            takes_gaps: true,
        };
        let Some(reply) = broadcast.query_view(source, query, REPLY_TIMEOUT).await else {
            return FollowStep::Silent;
        };
        if reply.store_era != relay.store_era() {
            // With a new era, revisions start anew; a listing brings the state and the era.
            return match reply.store_era > relay.store_era() {
                true => FollowStep::Relist,
                false => FollowStep::Silent,
            };
        }
        relay.apply_start_proofs(&reply.proofs, queried_at_ms);
        if reply.changes.is_none() {
            return FollowStep::Relist;
        }
        cursor = reply.next.unwrap_or_default();
        if let Some(step) = apply_reply(relay, reply, queried_at_ms, &mut telling) {
            return step;
        }
    }
    FollowStep::Silent
}

/// What the parts of an answer have told that can't be applied yet.
#[derive(Default)]
struct Telling {
    /// A change whose value was told in part.
    begun: Option<StoreChange>,
    /// Differences of a listing, until all are told.
    held: Vec<StoreChange>,
}

/// Applies a reply; returns `None` if there are further changes.
fn apply_reply(
    relay: &Relay,
    reply: ViewReply,
    queried_at_ms: u64,
    telling: &mut Telling,
) -> Option<FollowStep> {
    if let Some(ago_ms) = reply.recovered_ago_ms {
        relay.record_store_recovery(relay.now_ms().saturating_sub(ago_ms));
    }
    let changes = join_pieces(&reply, &mut telling.begun)?;
    let (gaps, held) = (&reply.gaps, &mut telling.held);
    let (taken, gap_end) = {
        let mut view_log = relay.view_log.lock();
        let missed = view_log.revision() + 1..=reply.revision;
        let ends = gaps.iter().map(|gap| gap.listed_at).filter(|end| missed.contains(end));
        let gap_end = ends.max();
        (view_log.take_told(changes, gaps, reply.revision, held), gap_end)
    };
    let Some(changes) = taken else { return Some(FollowStep::Relist) };
    if let (Some(revision), Some(known_until_ms)) = (gap_end, relay.log_attested_at_ms()) {
        relay.record_log_gap(known_until_ms, revision);
    }
    for change in changes {
        // Heartbeats are told late, with the revision of a later change.
        apply_event(relay, &into_event(change), None);
    }
    relay.view_log.lock().advance(reply.revision);
    if !reply.is_complete {
        return None;
    }
    // The reply was made after the query was sent, whatever the network delay was.
    if let Some(attested_at_ms) = queried_at_ms.checked_sub(reply.age_ms) {
        relay.attest_log(attested_at_ms);
    }
    Some(FollowStep::Current)
}

/// Returns the changes of a reply whose values are whole; `None` if the beginning of one is missing.
pub fn join_pieces(reply: &ViewReply, begun: &mut Option<StoreChange>) -> Option<Vec<StoreChange>> {
    let mut changes = reply.changes.clone()?;
    let begun_before = begun.take();
    if reply.offset_bytes > 0 {
        let first = changes.first_mut()?;
        let mut whole = begun_before.filter(|begun| {
            let told_bytes = begun.value.as_ref().map_or(0, Vec::len) as u64;
            (&begun.key, begun.revision, told_bytes)
                == (&first.key, first.revision, reply.offset_bytes)
        })?;
        whole.value.as_mut()?.append(first.value.as_mut()?);
        *first = whole;
    }
    if reply.remaining_bytes > 0 {
        *begun = changes.pop();
    }
    Some(changes)
}

fn into_event(change: StoreChange) -> WatchEvent {
    let StoreChange { key, value, revision } = change;
    match value {
        Some(value) => WatchEvent::Put(KeyValueRecord { key, value, mod_revision: revision }),
        None => WatchEvent::Deleted { key, mod_revision: revision },
    }
}

/// Asks instances that may know more than the readers of the own zone do, at once.
pub async fn search_view(relay: &Arc<Relay>, broadcast: &PeerBroadcast) -> FollowStep {
    let candidates = relay.view_candidates(relay.now_ms());
    let queries = candidates.into_iter().map(|source| ask_for_view(relay, broadcast, source, true));
    let best = join_all(queries).await.into_iter().max().unwrap_or(FollowStep::Silent);
    relay.view_gate.lock().record_search(relay.now_ms());
    relay.view_searched.notify_waiters();
    best
}

/// Searches whenever a request waits for it, until the process ends.
pub async fn search_on_request(relay: Arc<Relay>, broadcast: Arc<PeerBroadcast>) {
    loop {
        relay.view_search_requested.notified().await;
        search_view(&relay, &broadcast).await;
    }
}

/// Searches while a poll of the store is late, in the intervals of a follower. Searches go on after the
/// poll has ended.
pub async fn search_while_late(
    relay: &Arc<Relay>,
    broadcast: &Arc<PeerBroadcast>,
    poll_timeout_ms: u64,
) -> Infallible {
    let interval_ms = relay.follow_timings().query_interval_ms;
    let until_view_late_ms = relay.until_view_late_ms(relay.now_ms());
    let delay_ms = (poll_timeout_ms + interval_ms / 2).min(until_view_late_ms);
    sleep(Duration::from_millis(delay_ms)).await;
    loop {
        let (relay, broadcast) = (Arc::clone(relay), Arc::clone(broadcast));
        rt::spawn(async move { search_view(&relay, &broadcast).await });
        sleep(Duration::from_millis(interval_ms)).await;
    }
}
