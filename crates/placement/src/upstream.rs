//! What is known of one upstream.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use hickorycourse_routes::{UpstreamEntry, UpstreamPhase};
use hickorycourse_routing::PrefixIndex;

use crate::health::Health;
use crate::request::PlacementRequest;

/// Prompt parts remembered for each upstream; engines hold some hundred.
const PARTS_MOST: usize = 4_096;
/// Reports older than this say nothing of the load of now.
const REPORT_VALID_MS: u64 = 1_500;

/// Requests that wait for their first byte.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Waiting {
    /// How many.
    pub requests: u64,
    /// Prompt tokens that are read for them.
    pub tokens: u64,
}

/// Load that an instance has put on an upstream.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UpstreamLoad {
    /// Requests in flight.
    pub running: u64,
    /// Those of them whose first byte has come.
    pub answering: u64,
    /// Those that wait for their first byte, by rank.
    pub waiting: BTreeMap<u8, Waiting>,
}

/// What all instances have put on an upstream, as far as is known.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadEstimate {
    /// Requests in flight.
    pub(crate) running: u64,
    /// Those of them whose first byte has come.
    pub(crate) answering: u64,
    /// Requests that are read before a new one of the rank asked for.
    pub(crate) requests_ahead: f64,
    /// Their prompt tokens.
    pub(crate) tokens_ahead: f64,
    /// Prompt tokens of all ranks.
    pub(crate) tokens_of_all: f64,
}

/// What another instance has told of the upstream.
#[derive(Clone, Debug)]
struct PeerLoad {
    load: UpstreamLoad,
    at_ms: u64,
}

/// The upstream's own word on its load.
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
    pub(crate) running: u64,
    pub(crate) answering: u64,
    pub(crate) waiting: BTreeMap<u8, Waiting>,
    peers: HashMap<String, PeerLoad>,
    report: Option<Report>,
    pub(crate) health: Health,
    pub(crate) parts: PrefixIndex,
}

impl Upstream {
    /// An upstream of which nothing is known but its entry.
    pub(crate) fn new(entry: &UpstreamEntry) -> Self {
        let mut upstream = Self {
            address: entry.address,
            availability_zone: entry.availability_zone.clone(),
            slots: 1,
            is_leaving: false,
            running: 0,
            answering: 0,
            waiting: BTreeMap::new(),
            peers: HashMap::new(),
            report: None,
            health: Health::default(),
            parts: PrefixIndex::new(PARTS_MOST),
        };
        upstream.update(entry);
        upstream
    }

    /// Takes what may change in its entry while it lives.
    pub(crate) fn update(&mut self, entry: &UpstreamEntry) {
        self.slots = entry.slots.max(1);
        self.is_leaving = entry.phase == UpstreamPhase::Leaving;
    }

    pub(crate) fn load(&self) -> UpstreamLoad {
        UpstreamLoad {
            running: self.running,
            answering: self.answering,
            waiting: self.waiting_by_rank(),
        }
    }

    fn waiting_by_rank(&self) -> BTreeMap<u8, Waiting> {
        let present = self.waiting.iter().filter(|(_, waiting)| waiting.requests > 0);
        present.map(|(urgency, waiting)| (*urgency, *waiting)).collect()
    }

    /// Requests of all instances whose answers have begun.
    pub(crate) fn count_answering(&self, now_ms: u64) -> u64 {
        self.answering + self.fresh_peers(now_ms).map(|peer| peer.load.answering).sum::<u64>()
    }

    fn fresh_peers(&self, now_ms: u64) -> impl Iterator<Item = &PeerLoad> {
        self.peers.values().filter(move |peer| now_ms.saturating_sub(peer.at_ms) < REPORT_VALID_MS)
    }

    /// Estimates the load that a new request of this rank meets. Of the prompt tokens that a peer
    /// told of, what has been read since no longer counts.
    pub(crate) fn estimate_load(&self, urgency: u8, rate: f64, now_ms: u64) -> LoadEstimate {
        let ahead = sum_waiting(&self.waiting, urgency);
        let mut load = LoadEstimate {
            running: self.running,
            answering: self.answering,
            requests_ahead: ahead.requests as f64,
            tokens_ahead: ahead.tokens as f64,
            tokens_of_all: sum_waiting(&self.waiting, u8::MAX).tokens as f64,
        };
        for peer in self.fresh_peers(now_ms) {
            let read = now_ms.saturating_sub(peer.at_ms) as f64 * rate;
            let unread = |tokens: u64| (tokens as f64 - read).max(0.0);
            let ahead = sum_waiting(&peer.load.waiting, urgency);
            let left = unread(ahead.tokens);
            load.running += peer.load.running;
            load.answering += peer.load.answering;
            load.requests_ahead += ahead.requests as f64 * left / (ahead.tokens as f64).max(1.0);
            load.tokens_ahead += left;
            load.tokens_of_all += unread(sum_waiting(&peer.load.waiting, u8::MAX).tokens);
        }
        let reported = self
            .report
            .filter(|report| now_ms.saturating_sub(report.at_ms) < REPORT_VALID_MS)
            .map_or(0, |report| report.running + report.waiting);
        load.running = load.running.max(reported.min(load.running + self.slots));
        load
    }

    pub(crate) fn is_usable(&self, now_ms: u64) -> bool {
        let is_tried_already = self.health.is_on_trial() && self.running > 0;
        !self.is_leaving && !self.health.is_ejected(now_ms) && !is_tried_already
    }

    /// Tokens of the leading parts that it is believed to hold. The home of a shared part is believed
    /// to hold it, as other instances send their requests there too.
    pub(crate) fn count_cached(&self, request: &PlacementRequest<'_>, is_home: bool) -> u64 {
        let shared = request.parts.len().saturating_sub(1);
        request
            .parts
            .iter()
            .enumerate()
            .take_while(|(index, part)| {
                self.parts.contains(part.hash) || (is_home && *index < shared)
            })
            .map(|(_, part)| part.tokens)
            .sum()
    }

    /// Takes its own word on its load.
    pub(crate) fn set_report(&mut self, running: u64, waiting: u64, now_ms: u64) {
        self.report = Some(Report { running, waiting, at_ms: now_ms });
    }

    /// Takes the load that another instance has put on it.
    pub(crate) fn set_peer_load(&mut self, peer: &str, load: UpstreamLoad, now_ms: u64) {
        self.peers.insert(peer.to_owned(), PeerLoad { load, at_ms: now_ms });
    }

    /// Forgets the load that another instance has put on it.
    pub(crate) fn clear_peer(&mut self, peer: &str) {
        self.peers.remove(peer);
    }

    /// It has started anew: what was known of it no longer holds.
    pub(crate) fn restart(&mut self) {
        self.health = Health::default();
        self.parts.clear();
        self.report = None;
    }
}

/// What waits of this rank and more urgent ones.
fn sum_waiting(waiting: &BTreeMap<u8, Waiting>, urgency: u8) -> Waiting {
    waiting.range(..=urgency).fold(Waiting::default(), |sum, (_, waiting)| Waiting {
        requests: sum.requests + waiting.requests,
        tokens: sum.tokens + waiting.tokens,
    })
}
