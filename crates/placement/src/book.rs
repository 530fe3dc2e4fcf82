//! What is known of the upstreams of one service, and the choice among them.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use hickorycourse_routes::UpstreamEntry;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::admission::{Admission, AdmissionRule, Forecast};
use crate::cost::{CandidateView, CostRule};
use crate::health::AttemptEnd;
use crate::reading::ReadingEstimate;
use crate::request::PlacementRequest;
use crate::upstream::{LoadEstimate, Upstream, UpstreamLoad};
use crate::work::{RankedRates, WorkMeter};

/// Part of the reading that more urgent ranks may be believed to take; the rest keeps forecasts finite.
const URGENT_PART_MOST: f64 = 0.9;
/// Expected cost of a failing upstream: time lost if the attempt fails.
const FAILURE_COST_MS: f64 = 500.0;

/// Figures that placement starts from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementOptions {
    /// Prompt tokens that an engine reads in a millisecond, until it has been measured.
    pub reading_tokens_per_ms: f64,
    /// Time to the first byte of a request that finds an idle upstream, until it has been measured.
    pub idle_first_byte_ms: f64,
    /// Delay by which an upstream in the own availability zone is preferred.
    pub cross_zone_ms: f64,
    /// Delay of a full batch against an empty one.
    pub full_batch_ms: f64,
    /// How much dearer it is to read a shared part once more than to read other tokens: it takes
    /// room from other parts, and is paid for.
    pub shared_weight: f64,
}

impl Default for PlacementOptions {
    fn default() -> Self {
        Self {
            reading_tokens_per_ms: 100.0,
            idle_first_byte_ms: 40.0,
            cross_zone_ms: 12.0,
            full_batch_ms: 60.0,
            shared_weight: 3.0,
        }
    }
}

/// A chosen upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// The upstream's id.
    pub upstream: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// The request's rank.
    pub urgency: u8,
    /// When it was chosen.
    pub placed_at_ms: u64,
    /// Expected time to the first byte.
    pub first_byte_ms: u64,
    /// The part of it that is spent behind other requests.
    pub queue_ms: u64,
    /// Time that its prompt takes of what all upstreams read for one instance.
    pub share_ms: u64,
    /// Prompt tokens that it is expected to read.
    pub uncached_tokens: u64,
    /// Prompt tokens ahead of them.
    pub ahead_tokens: u64,
    /// Requests ahead of it.
    pub requests_ahead: f64,
    /// Whether the upstream has places for more requests than it has.
    pub has_free_places: bool,
}

impl Placement {
    /// What admission needs to know of a request that would be sent there.
    pub fn forecast(&self, waited_ms: u64, target_ms: u64, patience_ms: u64) -> Forecast {
        Forecast {
            urgency: self.urgency,
            first_byte_ms: self.first_byte_ms,
            queue_ms: self.queue_ms,
            waited_ms,
            target_ms,
            patience_ms,
            share_ms: self.share_ms,
        }
    }

    fn elapsed_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.placed_at_ms)
    }
}

/// The upstreams of one service.
pub struct PlacementBook {
    availability_zone: String,
    options: PlacementOptions,
    cost_rule: Box<dyn CostRule>,
    upstreams: BTreeMap<String, Upstream>,
    reading: ReadingEstimate,
    admission_rule: Box<dyn AdmissionRule>,
    /// Prompt tokens of requests that came.
    work: WorkMeter,
    /// Prompt tokens of requests that were sent.
    sent_work: WorkMeter,
    peer_work: HashMap<String, PeerWork>,
}

/// Prompt tokens a millisecond that an instance's requests bring.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PeerWork {
    /// Of all requests that came.
    pub come_per_ms: f64,
    /// Of those that were sent, by rank.
    pub sent_per_ms: RankedRates,
}

impl PlacementBook {
    /// Creates a book without upstreams for an instance in this availability zone.
    pub fn new(
        availability_zone: &str,
        options: PlacementOptions,
        cost_rule: Box<dyn CostRule>,
        admission_rule: Box<dyn AdmissionRule>,
    ) -> Self {
        Self {
            availability_zone: availability_zone.to_owned(),
            options,
            cost_rule,
            upstreams: BTreeMap::new(),
            reading: ReadingEstimate::new(&options),
            admission_rule,
            work: WorkMeter::default(),
            sent_work: WorkMeter::default(),
            peer_work: HashMap::new(),
        }
    }

    /// Takes the upstreams of the service; what is known of those that stay is kept.
    pub fn set_upstreams<'a>(&mut self, entries: impl Iterator<Item = &'a UpstreamEntry>) {
        let mut known = std::mem::take(&mut self.upstreams);
        for entry in entries {
            let kept = known.remove(&entry.id).filter(|upstream| upstream.address == entry.address);
            let mut upstream = kept.unwrap_or_else(|| Upstream::new(entry));
            upstream.update(entry);
            self.upstreams.insert(entry.id.clone(), upstream);
        }
    }

    /// Forgets what was known of an upstream that has started anew.
    pub fn restart(&mut self, upstream: &str) {
        if let Some(known) = self.upstreams.get_mut(upstream) {
            known.restart();
        }
    }

    /// Whether requests may be sent to an upstream.
    pub fn is_open(&self, upstream: &str) -> bool {
        self.upstreams.get(upstream).is_some_and(|known| !known.is_leaving)
    }

    /// Chooses the upstream with the shortest expected time to the first byte. Ejected upstreams
    /// are used if there is no other.
    pub fn choose(&self, request: &PlacementRequest<'_>, now_ms: u64) -> Option<Placement> {
        let open = |(id, upstream): &(&String, &Upstream)| {
            !upstream.is_leaving && !request.excluded.contains(id)
        };
        let usable = self.count_usable(now_ms) as f64;
        let instances = (self.peer_work.len() + 1) as f64;
        let reading_rate = self.reading_left(request.urgency, usable, now_ms);
        let view = RequestView {
            request,
            home: self.find_home(request, now_ms),
            reading_rate,
            reading_share: reading_rate * usable / instances,
            now_ms,
        };
        let choose = |is_candidate: &dyn Fn(&Upstream) -> bool| {
            self.upstreams
                .iter()
                .filter(open)
                .filter(|(_, upstream)| is_candidate(upstream))
                .map(|(id, upstream)| self.compare(id, upstream, &view))
                .min_by(|one, other| one.cost.total_cmp(&other.cost))
        };
        let chosen = choose(&|upstream| upstream.is_usable(now_ms))
            .or_else(|| choose(&|upstream| !upstream.health.is_ejected(now_ms)))
            .or_else(|| choose(&|_| true))?;
        Some(self.place(&chosen, &view))
    }

    /// The upstream to which all instances send requests with the same shared part, by rendezvous
    /// hashing (Thaler and Ravishankar, 1998).
    fn find_home(&self, request: &PlacementRequest<'_>, now_ms: u64) -> Option<&str> {
        let part = request.affinity_part()?;
        self.upstreams
            .iter()
            .filter(|(_, upstream)| upstream.is_usable(now_ms))
            .max_by_key(|(id, _)| xxh3_64_with_seed(id.as_bytes(), part.hash))
            .map(|(id, _)| id.as_str())
    }

    /// Prompt tokens a millisecond that an upstream reads for this rank. While the prompts that wait
    /// are read, more urgent ones come and are read first (Cobham, 1954).
    fn reading_left(&self, urgency: u8, usable: f64, now_ms: u64) -> f64 {
        let capacity = self.reading.tokens_per_ms * usable;
        let own = self.sent_work.rates(now_ms);
        let peers = self.peer_work.values().map(|work| sum_before(&work.sent_per_ms, urgency));
        let urgent = sum_before(&own, urgency) + peers.sum::<f64>();
        self.reading.tokens_per_ms * (1.0 - (urgent / capacity).min(URGENT_PART_MOST))
    }

    /// Upstreams that requests are sent to; at least one, as ejected ones are used if there is no other.
    fn count_usable(&self, now_ms: u64) -> usize {
        let usable = self.upstreams.values().filter(|upstream| upstream.is_usable(now_ms));
        usable.count().max(1)
    }

    /// Rates an upstream. All ranks count where upstreams are compared: each request there slows the
    /// others' events.
    fn compare<'a>(
        &self,
        id: &'a str,
        upstream: &'a Upstream,
        view: &RequestView<'_>,
    ) -> Candidate<'a> {
        let RequestView { request, home, now_ms, .. } = *view;
        let rate = self.reading.tokens_per_ms;
        let cached = upstream.count_cached(request, home == Some(id));
        let uncached = request.prompt_tokens.saturating_sub(cached);
        let shared = request.shared_tokens().saturating_sub(cached) as f64;
        let load = upstream.estimate_load(request.urgency, rate, now_ms);
        let (running, slots) = (load.running as f64, upstream.slots as f64);
        let over = (running + 1.0 - slots).max(0.0) / slots;
        let is_near = upstream.availability_zone == self.availability_zone;
        let cost = self.cost_rule.cost(&CandidateView {
            load_ms: self.reading.idle_first_byte_ms * (1.0 + over)
                + (load.tokens_of_all + uncached as f64) / rate
                + running / slots * self.options.full_batch_ms,
            distance_ms: if is_near { 0.0 } else { self.options.cross_zone_ms },
            shared_ms: shared * (self.options.shared_weight - 1.0) / rate,
            failure_ms: upstream.health.failure_rate() * FAILURE_COST_MS,
            running: load.running,
        });
        Candidate { id, upstream, load, uncached_tokens: uncached, cost }
    }

    /// Forecasts what a request meets at the upstream that was chosen for it.
    fn place(&self, chosen: &Candidate<'_>, view: &RequestView<'_>) -> Placement {
        let Candidate { load, uncached_tokens, .. } = *chosen;
        let (running, slots) = (load.running as f64, chosen.upstream.slots as f64);
        let before = load.answering as f64 + load.requests_ahead;
        let over = (before + 1.0 - slots).max(0.0) / slots;
        let ahead_ms =
            (load.tokens_ahead / view.reading_rate).max(load.requests_ahead * self.reading.turn_ms);
        let queue_ms = self.reading.idle_first_byte_ms * over + ahead_ms;
        let first_byte_ms = self.reading.idle_first_byte_ms
            + queue_ms
            + uncached_tokens as f64 / view.reading_rate
            + (running / slots).min(1.0) * self.options.full_batch_ms;
        Placement {
            upstream: chosen.id.to_owned(),
            address: chosen.upstream.address,
            urgency: view.request.urgency,
            placed_at_ms: view.now_ms,
            first_byte_ms: first_byte_ms as u64,
            queue_ms: queue_ms as u64,
            share_ms: (uncached_tokens as f64 / view.reading_share) as u64,
            uncached_tokens,
            ahead_tokens: load.tokens_ahead as u64,
            requests_ahead: load.requests_ahead,
            has_free_places: running < slots,
        }
    }

    /// Notes that a request is sent to an upstream.
    pub fn start(&mut self, placement: &Placement, request: &PlacementRequest<'_>, now_ms: u64) {
        let Some(known) = self.upstreams.get_mut(&placement.upstream) else { return };
        self.sent_work.add(placement.urgency, placement.uncached_tokens, now_ms);
        known.running += 1;
        let waiting = known.waiting.entry(placement.urgency).or_default();
        waiting.requests += 1;
        waiting.tokens += placement.uncached_tokens;
        let hashes: Vec<u64> = request.parts.iter().map(|part| part.hash).collect();
        known.parts.add(&hashes);
    }

    /// Notes that the first byte has come, and learns from it.
    pub fn note_first_byte(&mut self, placement: &Placement, now_ms: u64) {
        self.clear_waiting(placement);
        if let Some(known) = self.upstreams.get_mut(&placement.upstream) {
            known.answering += 1;
        }
        self.reading.note_first_byte(placement, placement.elapsed_ms(now_ms) as f64);
    }

    /// Notes the end of an attempt. `has_first_byte` tells whether [`Self::note_first_byte`] was
    /// called for it.
    pub fn finish(
        &mut self,
        placement: &Placement,
        has_first_byte: bool,
        end: AttemptEnd,
        now_ms: u64,
    ) {
        if !has_first_byte {
            self.clear_waiting(placement);
            self.note_wait_in_vain(placement, end, now_ms);
        }
        let Some(known) = self.upstreams.get_mut(&placement.upstream) else { return };
        known.running = known.running.saturating_sub(1);
        known.answering = known.answering.saturating_sub(u64::from(has_first_byte));
        known.health.record(end, now_ms);
    }

    /// A caller that left later than its first byte was expected would have waited for longer still.
    fn note_wait_in_vain(&mut self, placement: &Placement, end: AttemptEnd, now_ms: u64) {
        let elapsed_ms = placement.elapsed_ms(now_ms);
        if end == AttemptEnd::Cancelled && elapsed_ms > placement.first_byte_ms {
            self.reading.learn_turn(placement, elapsed_ms as f64);
        }
    }

    fn clear_waiting(&mut self, placement: &Placement) {
        let Some(known) = self.upstreams.get_mut(&placement.upstream) else { return };
        if let Some(waiting) = known.waiting.get_mut(&placement.urgency) {
            waiting.requests = waiting.requests.saturating_sub(1);
            waiting.tokens = waiting.tokens.saturating_sub(placement.uncached_tokens);
        }
    }

    /// Takes an upstream's own word on its load.
    pub fn report(&mut self, upstream: &str, running: u64, waiting: u64, now_ms: u64) {
        if let Some(known) = self.upstreams.get_mut(upstream) {
            known.set_report(running, waiting, now_ms);
        }
    }

    /// Takes the load that another instance has put on an upstream.
    pub fn take_peer_load(&mut self, peer: &str, upstream: &str, load: UpstreamLoad, now_ms: u64) {
        if let Some(known) = self.upstreams.get_mut(upstream) {
            known.set_peer_load(peer, load, now_ms);
        }
    }

    /// Forgets the load that another instance has put on upstreams, before it tells anew.
    pub fn clear_peer(&mut self, peer: &str) {
        for upstream in self.upstreams.values_mut() {
            upstream.clear_peer(peer);
        }
        self.peer_work.remove(peer);
    }

    /// The load of this instance by upstream, of those that have any.
    pub fn own_loads(&self) -> impl Iterator<Item = (&str, UpstreamLoad)> {
        let loaded = self.upstreams.iter().filter(|(_, upstream)| upstream.running > 0);
        loaded.map(|(id, upstream)| (id.as_str(), upstream.load()))
    }

    /// Counts the prompt tokens of a request that came, whether it is sent or refused.
    pub fn add_work(&mut self, urgency: u8, uncached_tokens: u64, now_ms: u64) {
        self.work.add(urgency, uncached_tokens, now_ms);
    }

    /// The work that this instance's requests bring.
    pub fn own_work(&self, now_ms: u64) -> PeerWork {
        PeerWork { come_per_ms: self.work.rate(now_ms), sent_per_ms: self.sent_work.rates(now_ms) }
    }

    /// Prompt tokens a millisecond that all instances' requests bring.
    pub fn work_tokens_per_ms(&self, now_ms: u64) -> f64 {
        let peers = self.peer_work.values().map(|work| work.come_per_ms).sum::<f64>();
        self.work.rate(now_ms) + peers
    }

    /// Takes what another instance tells of its requests.
    pub fn take_peer_work(&mut self, peer: &str, work: PeerWork) {
        self.peer_work.insert(peer.to_owned(), work);
    }

    /// Decides whether a request is sent.
    pub fn admit(&mut self, forecast: &Forecast, now_ms: u64) -> Admission {
        self.admission_rule.decide(forecast, now_ms)
    }

    /// Requests of all instances whose answers have begun.
    pub fn count_answering(&self, now_ms: u64) -> u64 {
        self.upstreams.values().map(|upstream| upstream.count_answering(now_ms)).sum()
    }

    /// Whether any request has come in the time over which work is averaged.
    pub fn has_work(&self, now_ms: u64) -> bool {
        self.work_tokens_per_ms(now_ms) > 0.0
    }

    /// Requests that one upstream runs at once.
    pub fn slots_each(&self) -> u64 {
        self.upstreams.values().map(|upstream| upstream.slots).max().unwrap_or(1)
    }

    /// Prompt tokens that an engine reads in a millisecond, as measured.
    pub fn reading_tokens_per_ms(&self) -> f64 {
        self.reading.tokens_per_ms
    }
}

/// An upstream with its cost for one request.
struct Candidate<'a> {
    id: &'a str,
    upstream: &'a Upstream,
    load: LoadEstimate,
    /// Prompt tokens that it would read.
    uncached_tokens: u64,
    cost: f64,
}

/// A request with what is the same for all upstreams.
#[derive(Clone, Copy)]
struct RequestView<'a> {
    request: &'a PlacementRequest<'a>,
    /// The upstream to which requests with its shared part go.
    home: Option<&'a str>,
    /// Prompt tokens a millisecond that an upstream reads for its rank.
    reading_rate: f64,
    /// What all upstreams read for its rank, divided by the instances.
    reading_share: f64,
    now_ms: u64,
}

/// What ranks more urgent than this one bring.
fn sum_before(rates: &RankedRates, urgency: u8) -> f64 {
    rates.range(..urgency).map(|(_, rate)| rate).sum()
}
