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
    pub(crate) fn new(entry: &UpstreamEntry) -> Self {
        Self {
            address: entry.address,
            availability_zone: entry.availability_zone.clone(),
            slots: entry.slots.max(1),
            is_leaving: entry.phase == UpstreamPhase::Leaving,
            running: 0,
            answering: 0,
            waiting: BTreeMap::new(),
            peers: HashMap::new(),
            report: None,
            health: Health::default(),
            parts: PrefixIndex::new(PARTS_MOST),
        }
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

    pub(crate) fn estimate_running(&self, now_ms: u64) -> u64 {
        let peers = self.fresh_peers(now_ms).map(|peer| peer.load.running).sum::<u64>();
        let reported = self
            .report
            .filter(|report| now_ms.saturating_sub(report.at_ms) < REPORT_VALID_MS)
            .map_or(0, |report| report.running + report.waiting);
        (self.running + peers).max(reported.min(self.running + peers + self.slots))
    }

    fn fresh_peers(&self, now_ms: u64) -> impl Iterator<Item = &PeerLoad> {
        self.peers.values().filter(move |peer| now_ms.saturating_sub(peer.at_ms) < REPORT_VALID_MS)
    }

    /// What waits before a new request of this rank: its requests, and prompt tokens, of which what
    /// has been read since a peer told of them no longer counts.
    pub(crate) fn estimate_ahead(&self, urgency: u8, rate: f64, now_ms: u64) -> (f64, f64) {
        let own = sum_waiting(&self.waiting, urgency);
        let mut requests = own.requests as f64;
        let mut tokens = own.tokens as f64;
        for peer in self.fresh_peers(now_ms) {
            let told = sum_waiting(&peer.load.waiting, urgency);
            let read = now_ms.saturating_sub(peer.at_ms) as f64 * rate;
            let left = (told.tokens as f64 - read).max(0.0);
            requests += told.requests as f64 * left / (told.tokens as f64).max(1.0);
            tokens += left;
        }
        (requests, tokens)
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
            .take_while(|(index, part)| self.parts.holds(part.hash) || (is_home && *index < shared))
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
