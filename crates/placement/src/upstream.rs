//! Load, health and cache state of one upstream.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use hickorycourse_routes::{UpstreamEntry, UpstreamPhase};
use hickorycourse_routing::PrefixIndex;

use crate::backoff::Backoff;
use crate::health::{AttemptOutcome, Health};
use crate::limit::UpstreamLimit;
use crate::pace::Pace;
use crate::request::PlacementRequest;
use crate::slot_use::SlotUse;
use crate::table::Placement;

/// Capacity of the prefix index of an upstream, in prompt parts; engines cache a few hundred.
const PREFIX_INDEX_CAPACITY: usize = 4_096;
/// Age at which a load report, of the upstream itself or of a peer instance, is stale.
const REPORT_STALE_AFTER_MS: u64 = 1_500;
/// Age up to which the upstream's own report advertises the free slots.
const MAX_SLOT_REPORT_AGE_MS: u64 = 300;

/// Requests whose first byte is still outstanding.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WaitingRequests {
    /// Number of requests.
    pub requests: u64,
    /// Uncached prompt tokens to prefill for them.
    pub tokens: u64,
}

/// Load on an upstream from the requests of one instance.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UpstreamLoad {
    /// Requests in flight.
    pub running: u64,
    /// Those of them whose first byte has arrived.
    pub answering: u64,
    /// Those of them whose first byte is outstanding, by rank.
    pub waiting: BTreeMap<u8, WaitingRequests>,
}

/// Estimated load on an upstream from all instances, as a new request of some rank finds it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadEstimate {
    /// Requests in flight.
    pub(crate) running: u64,
    /// Those of them whose first byte has arrived.
    pub(crate) answering: u64,
    /// Queued requests of the same or a more urgent rank, which are prefilled first.
    pub(crate) requests_ahead: f64,
    /// Uncached prompt tokens of those requests.
    pub(crate) tokens_ahead: f64,
    /// Uncached prompt tokens of queued requests of all ranks.
    pub(crate) tokens_of_all_ranks: f64,
}

/// Last load that a peer instance reported for this upstream.
#[derive(Clone, Debug)]
struct PeerLoad {
    load: UpstreamLoad,
    at_ms: u64,
}

/// Last load report of the upstream itself.
#[derive(Clone, Copy, Debug)]
struct Report {
    running: u64,
    waiting: u64,
    at_ms: u64,
}

/// One upstream of a service.
#[derive(Debug)]
pub(crate) struct Upstream {
    pub(crate) address: SocketAddr,
    pub(crate) availability_zone: String,
    pub(crate) slots: u64,
    pub(crate) is_leaving: bool,
    /// Version of its software, if it is known.
    pub(crate) version: Option<String>,
    /// Requests in flight from this instance.
    pub(crate) running: u64,
    /// Those of them whose first byte has arrived.
    pub(crate) answering: u64,
    /// Those of them whose first byte is outstanding, by rank; ranks without requests are kept.
    pub(crate) waiting: BTreeMap<u8, WaitingRequests>,
    peers: HashMap<String, PeerLoad>,
    report: Option<Report>,
    pub(crate) health: Health,
    pub(crate) backoff: Backoff,
    pub(crate) pace: Pace,
    /// Its rate limit, if it has named one.
    pub(crate) limit: Option<UpstreamLimit>,
    /// Use of its slots, which is limited while it can turn few requests away.
    pub(crate) slot_use: SlotUse,
    pub(crate) prefix_index: PrefixIndex,
}

impl Upstream {
    /// Creates an upstream without load or history.
    pub(crate) fn new(entry: &UpstreamEntry) -> Self {
        let mut upstream = Self {
            address: entry.address,
            availability_zone: entry.availability_zone.clone(),
            slots: 1,
            is_leaving: false,
            version: None,
            running: 0,
            answering: 0,
            waiting: BTreeMap::new(),
            peers: HashMap::new(),
            report: None,
            health: Health::default(),
            backoff: Backoff::default(),
            pace: Pace::default(),
            limit: None,
            slot_use: SlotUse::default(),
            prefix_index: PrefixIndex::new(PREFIX_INDEX_CAPACITY),
        };
        upstream.update(entry);
        upstream
    }

    /// Applies the fields of its entry that can change during its lifetime.
    pub(crate) fn update(&mut self, entry: &UpstreamEntry) {
        self.slots = entry.slots.max(1);
        self.is_leaving = entry.phase == UpstreamPhase::Leaving;
        self.version.clone_from(&entry.version);
    }

    /// Load from the requests of this instance.
    pub(crate) fn load(&self) -> UpstreamLoad {
        UpstreamLoad {
            running: self.running,
            answering: self.answering,
            waiting: self.waiting_by_rank(),
        }
    }

    fn waiting_by_rank(&self) -> BTreeMap<u8, WaitingRequests> {
        let present = self.waiting.iter().filter(|(_, waiting)| waiting.requests > 0);
        present.map(|(urgency, waiting)| (*urgency, *waiting)).collect()
    }

    /// Requests of all instances whose first byte has arrived.
    pub(crate) fn count_answering(&self, now_ms: u64) -> u64 {
        self.answering + self.fresh_peers(now_ms).map(|peer| peer.load.answering).sum::<u64>()
    }

    fn fresh_peers(&self, now_ms: u64) -> impl Iterator<Item = &PeerLoad> {
        self.peers
            .values()
            .filter(move |peer| now_ms.saturating_sub(peer.at_ms) < REPORT_STALE_AFTER_MS)
    }

    /// Estimates the load that a new request of this rank finds. Tokens reported by a peer are reduced
    /// by what the upstream can prefill at `rate` (tokens per millisecond) since that report. The
    /// upstream's own report raises the number of running requests by at most one full batch.
    pub(crate) fn estimate_load(&self, urgency: u8, rate: f64, now_ms: u64) -> LoadEstimate {
        let ahead = sum_waiting(&self.waiting, urgency);
        let mut load = LoadEstimate {
            running: self.running,
            answering: self.answering,
            requests_ahead: ahead.requests as f64,
            tokens_ahead: ahead.tokens as f64,
            tokens_of_all_ranks: sum_waiting(&self.waiting, u8::MAX).tokens as f64,
        };
        for peer in self.fresh_peers(now_ms) {
            let prefilled = now_ms.saturating_sub(peer.at_ms) as f64 * rate;
            let remaining = |tokens: u64| (tokens as f64 - prefilled).max(0.0);
            let ahead = sum_waiting(&peer.load.waiting, urgency);
            let remaining_tokens = remaining(ahead.tokens);
            load.running += peer.load.running;
            load.answering += peer.load.answering;
            load.requests_ahead +=
                ahead.requests as f64 * remaining_tokens / (ahead.tokens as f64).max(1.0);
            load.tokens_ahead += remaining_tokens;
            load.tokens_of_all_ranks += remaining(sum_waiting(&peer.load.waiting, u8::MAX).tokens);
        }
        let reported = self
            .report
            .filter(|report| now_ms.saturating_sub(report.at_ms) < REPORT_STALE_AFTER_MS)
            .map_or(0, |report| report.running + report.waiting);
        load.running = load.running.max(reported.min(load.running + self.slots));
        load
    }

    /// Records that a request is sent; `is_lent` tells whether it takes a slot of another instance.
    pub(crate) fn begin_request(&mut self, is_lent: bool, now_ms: u64) {
        self.backoff.record_request(now_ms);
        self.running += 1;
        self.slot_use.begin(is_lent, now_ms);
    }

    /// Records the first byte of a response.
    pub(crate) fn begin_response(&mut self, is_lent: bool) {
        self.answering += 1;
        if is_lent {
            self.slot_use.settle_lent();
        }
    }

    /// Records the end of a request whose first byte has arrived if `has_first_byte`.
    pub(crate) fn end_request(
        &mut self,
        placement: &Placement,
        has_first_byte: bool,
        outcome: AttemptOutcome,
        now_ms: u64,
    ) {
        self.running = self.running.saturating_sub(1);
        self.answering = self.answering.saturating_sub(u64::from(has_first_byte));
        self.health.record(outcome, now_ms);
        if placement.is_lent && !has_first_byte {
            self.slot_use.settle_lent();
        }
        let is_given_up = matches!(
            outcome,
            AttemptOutcome::Cancelled | AttemptOutcome::Silent | AttemptOutcome::Unresponsive
        );
        self.slot_use.end(is_given_up, outcome == AttemptOutcome::Refused, now_ms);
    }

    /// Slots that requests of this instance occupy.
    pub(crate) fn occupied(&self, now_ms: u64) -> u64 {
        self.running + self.slot_use.count_lingering(now_ms)
    }

    /// Requests in flight by its latest report, and the time of that; `None` without a recent one.
    pub(crate) fn reported_in_flight(&self, now_ms: u64) -> Option<(u64, u64)> {
        let report = self.report?;
        let is_recent = now_ms.saturating_sub(report.at_ms) <= MAX_SLOT_REPORT_AGE_MS;
        let in_flight = self.slot_use.update_reported(report.running + report.waiting);
        is_recent.then_some((in_flight, report.at_ms))
    }

    /// Names of the peers that have reported requests in flight.
    pub(crate) fn loading_peers(&self, now_ms: u64) -> impl Iterator<Item = &str> {
        let fresh = self.peers.iter().filter(move |(_, peer)| {
            peer.load.running > 0 && now_ms.saturating_sub(peer.at_ms) < REPORT_STALE_AFTER_MS
        });
        fresh.map(|(name, _)| name.as_str())
    }

    /// Whether it is neither draining nor ejected, has no probe in flight, has not requested a backoff, and
    /// takes requests without a further permit.
    pub(crate) fn is_usable(&self, now_ms: u64) -> bool {
        self.is_sound(now_ms) && self.has_permit(now_ms)
    }

    /// As [`is_usable`](Self::is_usable), also without a permit.
    pub(crate) fn is_sound(&self, now_ms: u64) -> bool {
        let has_probe_in_flight = self.health.is_probing() && self.running > 0;
        !self.is_leaving
            && !self.health.is_ejected(now_ms)
            && !has_probe_in_flight
            && !self.backoff.is_active(now_ms)
    }

    /// Whether it has named no limit, or a permit is left.
    pub(crate) fn has_permit(&self, now_ms: u64) -> bool {
        self.limit.as_ref().is_none_or(|limit| limit.has_spare(now_ms))
    }

    /// Whether a request may be sent to it at all: it is not draining, has named no limit or a permit is
    /// left, and within a backoff that it has requested a probe is due.
    pub(crate) fn accepts_requests(&self, now_ms: u64) -> bool {
        self.has_permit(now_ms) && self.accepts_permitted(now_ms)
    }

    /// Whether a request with a permit may be sent to it.
    pub(crate) fn accepts_permitted(&self, now_ms: u64) -> bool {
        !self.is_leaving && (!self.backoff.is_active(now_ms) || self.backoff.may_probe(now_ms))
    }

    /// Estimated number of prompt tokens in its prefix cache, counted over the leading cached parts. The
    /// affinity upstream of a shared part is assumed to have it cached, as other instances send their
    /// requests there too.
    pub(crate) fn estimate_cached_tokens(
        &self,
        request: &PlacementRequest<'_>,
        is_affinity_upstream: bool,
    ) -> u64 {
        let shared = request.parts.len().saturating_sub(1);
        request
            .parts
            .iter()
            .enumerate()
            .take_while(|(index, part)| {
                self.prefix_index.contains(part.hash) || (is_affinity_upstream && *index < shared)
            })
            .map(|(_, part)| part.tokens)
            .sum()
    }

    /// Records a load report of the upstream itself.
    pub(crate) fn set_report(&mut self, running: u64, waiting: u64, now_ms: u64) {
        self.report = Some(Report { running, waiting, at_ms: now_ms });
        self.slot_use.record_report(running + waiting, self.slots, now_ms);
    }

    /// Records the load that a peer instance reported.
    pub(crate) fn set_peer_load(&mut self, peer: &str, load: UpstreamLoad, now_ms: u64) {
        self.peers.insert(peer.to_owned(), PeerLoad { load, at_ms: now_ms });
    }

    /// Discards the load that a peer instance reported.
    pub(crate) fn clear_peer(&mut self, peer: &str) {
        self.peers.remove(peer);
    }

    /// Discards the load that all peers reported.
    pub(crate) fn clear_peers(&mut self) {
        self.peers.clear();
    }

    /// Discards health, cache contents and load report after the upstream has restarted.
    pub(crate) fn reset(&mut self) {
        self.health = Health::default();
        self.backoff = Backoff::default();
        self.pace = Pace::default();
        self.limit = None;
        self.slot_use.reset();
        self.prefix_index.clear();
        self.report = None;
    }
}

/// Total of this rank and the more urgent ones.
fn sum_waiting(waiting: &BTreeMap<u8, WaitingRequests>, urgency: u8) -> WaitingRequests {
    waiting.range(..=urgency).fold(WaitingRequests::default(), |sum, (_, waiting)| {
        WaitingRequests {
            requests: sum.requests + waiting.requests,
            tokens: sum.tokens + waiting.tokens,
        }
    })
}
