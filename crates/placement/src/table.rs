//! Load and health of the upstreams of one service, and the choice among them.

use std::cell::Cell;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use hickorycourse_completion::{Completion, WorkEstimate};
use hickorycourse_facts::{IgnoredReport, LoadEstimate, UpstreamLoad};
use hickorycourse_routes::UpstreamEntry;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::admission::{Admission, AdmissionRule, Forecast};
use crate::completion::CompletionState;
use crate::cost::{CostComponents, CostRule};
use crate::even::{ChoiceRule, LoadEvidence, RemainingTime};
use crate::fragile::{SlotHolders, SlotsOf};
use crate::health::AttemptOutcome;
use crate::latency::LatencyEstimate;
use crate::overload::FleetAdmission;
use crate::request::PlacementRequest;
use crate::retry_schedule::RetrySchedule;
use crate::token_rate::{RankedRates, TokenRateMeter};
use crate::upstream::Upstream;

/// Upper bound of the share of prefill throughput attributed to more urgent ranks; keeps forecasts
/// finite.
const MAX_URGENT_SHARE: f64 = 0.9;
/// Upstreams among which a request is placed, in the own availability zone and in the others: this factor
/// times their number, divided by the number of instances.
const SAMPLE_FACTOR: f64 = 8.0;
/// Smallest sample of the upstreams of the own zone and of the others.
const MIN_SAMPLE_SIZE: usize = 2;
/// Time lost to a failed attempt; weighted with the failure rate of the upstream.
const FAILURE_COST_MS: f64 = 500.0;

/// Weights and initial estimates of placement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementOptions {
    /// Initial estimate of the prompt tokens that an engine prefills per millisecond, replaced by
    /// measurements.
    pub prefill_tokens_per_ms: f64,
    /// Initial estimate of the time to the first byte at an idle upstream, replaced by measurements.
    pub idle_first_byte_ms: f64,
    /// Penalty for an upstream in another availability zone.
    pub cross_zone_ms: f64,
    /// Additional delay of a request in a full batch, compared with an empty one.
    pub full_batch_ms: f64,
    /// Cost of prefilling a shared part on a further upstream, relative to other tokens: a second copy
    /// evicts other parts from the cache, and its tokens are billed.
    pub shared_weight: f64,
}

impl Default for PlacementOptions {
    fn default() -> Self {
        Self {
            prefill_tokens_per_ms: 100.0,
            idle_first_byte_ms: 40.0,
            cross_zone_ms: 12.0,
            full_batch_ms: 60.0,
            shared_weight: 3.0,
        }
    }
}

/// The upstream chosen for a request, with the forecast for it.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// Id of the upstream.
    pub upstream: String,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Rank of the request; 0 is the most urgent.
    pub urgency: u8,
    /// Time of the choice.
    pub placed_at_ms: u64,
    /// Expected time to the first byte.
    pub first_byte_ms: u64,
    /// The part of `first_byte_ms` that is spent queued behind other requests.
    pub queue_ms: u64,
    /// Prefill time of the uncached prompt at this instance's share of the fleet's prefill throughput.
    pub prefill_share_ms: u64,
    /// Prompt tokens that are expected to miss the prefix cache.
    pub uncached_tokens: u64,
    /// Prompt tokens that are believed to be in the prefix cache.
    pub cached_tokens: u64,
    /// Uncached prompt tokens of the queued requests of the same or a more urgent rank.
    pub ahead_tokens: u64,
    /// Estimated number of those requests.
    pub requests_ahead: f64,
    /// Whether the upstream has fewer requests in flight than batch slots.
    pub has_free_slots: bool,
    /// Whether the request is a probe within a backoff that the upstream has requested.
    pub is_backoff_probe: bool,
    /// End of the validity of the permit that the request has; `None` without one.
    pub permit_until_ms: Option<u64>,
    /// Whether the request takes a slot of another instance.
    pub is_lent: bool,
    /// Version of the upstream's software; `None` if it is not known.
    pub version: Option<String>,
    /// Forecast of the end of the response; `None` where it doesn't count.
    pub completion: Option<Box<Completion>>,
    /// What the choice was based on; `None` if no choice rule was applied.
    pub evidence: Option<Box<LoadEvidence>>,
}

impl Placement {
    /// Input of the admission rule for a request that would be sent to this upstream. `waited_ms`
    /// counts from the arrival of the request.
    pub fn forecast(&self, waited_ms: u64, target_ms: u64, patience_ms: u64) -> Forecast {
        Forecast {
            urgency: self.urgency,
            first_byte_ms: self.first_byte_ms,
            queue_ms: self.queue_ms,
            waited_ms,
            target_ms,
            patience_ms,
            prefill_share_ms: self.prefill_share_ms,
        }
    }

    fn elapsed_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.placed_at_ms)
    }
}

/// Load and health of the upstreams of one service, as known to this instance.
pub struct PlacementTable {
    availability_zone: String,
    pub(crate) options: PlacementOptions,
    cost_rule: Box<dyn CostRule>,
    pub(crate) upstreams: BTreeMap<String, Upstream>,
    pub(crate) latency: LatencyEstimate,
    admission_rule: Box<dyn AdmissionRule>,
    /// Overload control over all instances; `None` where it is off.
    pub(crate) fleet_admission: Option<Box<FleetAdmission>>,
    /// Permits that callers refused for want of one are told to come back for.
    pub(crate) permit_schedule: RetrySchedule,
    /// Uncached prompt tokens of all requests that arrived, including refused ones.
    arrival_meter: TokenRateMeter,
    /// Uncached prompt tokens of requests that were sent.
    sent_meter: TokenRateMeter,
    /// Demand reported by each peer, with the number of instances that it reports for.
    pub(crate) peer_demand: HashMap<String, (TokenDemand, usize)>,
    /// Whether some upstream can turn few requests away.
    pub(crate) has_fragile: bool,
    pub(crate) slot_holders: SlotHolders,
    /// Instances that have requests at these upstreams, and the time at which they were counted.
    pub(crate) claimants: Cell<(u64, u64)>,
    /// Requests that end.
    pub(crate) end_meter: TokenRateMeter,
    pub(crate) completion: CompletionState,
    /// Rule by which upstreams with slots are chosen.
    pub(crate) choice_rule: Option<Box<dyn ChoiceRule>>,
    /// Whether some upstream lists its slots.
    pub(crate) has_slots: bool,
    pub(crate) remaining_time: RemainingTime,
    /// Times of the latest loads of each peer.
    pub(crate) peer_loads_at_ms: HashMap<String, u64>,
}

/// Rate of uncached prompt tokens of an instance's requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TokenDemand {
    /// Tokens per millisecond of all requests that arrived, including refused ones.
    pub arrived_tokens_per_ms: f64,
    /// Tokens per millisecond of requests that were sent, by rank.
    pub sent_tokens_per_ms: RankedRates,
}

impl PlacementTable {
    /// Creates a table without upstreams for an instance in this availability zone.
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
            latency: LatencyEstimate::new(&options),
            admission_rule,
            fleet_admission: None,
            permit_schedule: RetrySchedule::default(),
            arrival_meter: TokenRateMeter::default(),
            sent_meter: TokenRateMeter::default(),
            peer_demand: HashMap::new(),
            has_fragile: false,
            slot_holders: SlotHolders::default(),
            claimants: Cell::default(),
            end_meter: TokenRateMeter::default(),
            completion: CompletionState::default(),
            choice_rule: None,
            has_slots: false,
            remaining_time: RemainingTime::default(),
            peer_loads_at_ms: HashMap::new(),
        }
    }

    /// Replaces the list of upstreams. State is kept for an upstream whose id and address are unchanged.
    pub fn set_upstreams<'a>(&mut self, entries: impl Iterator<Item = &'a UpstreamEntry>) {
        let mut previous = std::mem::take(&mut self.upstreams);
        self.has_slots = false;
        for entry in entries {
            let kept =
                previous.remove(&entry.id).filter(|upstream| upstream.address == entry.address);
            let mut upstream = kept.unwrap_or_else(|| Upstream::new(entry));
            upstream.update(entry);
            self.has_slots |= entry.slots > 1;
            self.upstreams.insert(entry.id.clone(), upstream);
        }
        self.refresh_fragile();
    }

    /// Discards health, cache contents and load report of an upstream that has restarted.
    pub fn reset_upstream(&mut self, upstream: &str) {
        if let Some(upstream) = self.upstreams.get_mut(upstream) {
            upstream.reset();
        }
        self.refresh_fragile();
    }

    /// Whether the upstream of a placement still accepts the request: it is listed, not draining, and has
    /// neither requested a backoff nor named a limit since the choice.
    pub fn is_open(&self, placement: &Placement, now_ms: u64) -> bool {
        self.upstreams.get(&placement.upstream).is_some_and(|upstream| {
            let is_backing_off = upstream.backoff.is_active(now_ms);
            let is_permitted = upstream.limit.is_none()
                || placement.permit_until_ms.is_some_and(|until_ms| until_ms > now_ms);
            let is_same_version = upstream.version == placement.version;
            !upstream.is_leaving
                && is_permitted
                && is_same_version
                && (placement.is_backoff_probe || !is_backing_off)
        })
    }

    /// Whether the upstream of a placement is listed and has not announced that it leaves.
    pub fn is_serving(&self, placement: &Placement) -> bool {
        self.upstreams.get(&placement.upstream).is_some_and(|upstream| !upstream.is_leaving)
    }

    /// Chooses the upstream with the lowest cost: among the usable ones; if there are none, among those
    /// that are not ejected, even with a probe in flight; else among the ejected ones. Of the upstreams
    /// that have requested a backoff, only those with a due probe are used, and only if there are no
    /// usable ones. Of those that can turn few requests away, only those with a free slot are used; first
    /// attempts may take one of another instance. `None` if all are draining, excluded, full or within a
    /// backoff.
    pub fn choose(&self, request: &PlacementRequest<'_>, now_ms: u64) -> Option<Placement> {
        let open = |slots_of: SlotsOf| {
            move |(id, upstream): &(&String, &Upstream)| {
                upstream.accepts_requests(now_ms)
                    && request.permits(id, upstream)
                    && self.has_room(id, upstream, slots_of, now_ms)
            }
        };
        let instances = self.count_instances();
        let context = self.request_context(request, now_ms);
        let choose_usable = |slots_of: SlotsOf| match self.choice_rule() {
            Some(rule) => self.choose_by(rule, &context, open(slots_of)),
            None => {
                let sample = self.sample_usable(&context, instances, open(slots_of));
                self.find_cheapest(sample.into_iter(), &context)
            }
        };
        let choose = |is_candidate: &dyn Fn(&Upstream) -> bool| {
            let has_sound = self.upstreams.values().any(|upstream| upstream.is_sound(now_ms));
            let candidates =
                self.upstreams.iter().filter(open(SlotsOf::Own)).filter(|(_, upstream)| {
                    is_candidate(upstream) && self.may_be_tried(upstream, has_sound)
                });
            self.find_cheapest(candidates, &context)
        };
        let may_use_others = self.has_fragile && request.excluded.is_empty();
        let chosen = choose_usable(SlotsOf::Own)
            .or_else(|| may_use_others.then(|| choose_usable(SlotsOf::Others))?)
            .or_else(|| choose(&|upstream| !upstream.health.is_ejected(now_ms)))
            .or_else(|| choose(&|_| true))?;
        Some(self.build_placement(&chosen, &context))
    }

    /// Instances that send requests to these upstreams.
    pub(crate) fn count_instances(&self) -> f64 {
        let peers = self.peer_demand.values().map(|(_, instances)| instances).sum::<usize>();
        (peers + 1) as f64
    }

    pub(crate) fn request_context<'a>(
        &'a self,
        request: &'a PlacementRequest<'a>,
        now_ms: u64,
    ) -> RequestContext<'a> {
        let usable = self.count_usable(now_ms) as f64;
        let prefill_rate = self.available_prefill_rate(request.urgency, usable, now_ms);
        RequestContext {
            request,
            affinity_upstream: self.find_affinity_upstream(request, now_ms),
            prefill_rate,
            prefill_rate_per_instance: prefill_rate * usable / self.count_instances(),
            work: self.completion.estimate_work(request),
            now_ms,
        }
    }

    pub(crate) fn find_cheapest<'a>(
        &'a self,
        candidates: impl Iterator<Item = (&'a String, &'a Upstream)>,
        context: &RequestContext<'_>,
    ) -> Option<Candidate<'a>> {
        candidates
            .map(|(id, upstream)| self.evaluate(id, upstream, context))
            .min_by(|one, other| one.cost.total_cmp(&other.cost))
    }

    /// Returns the upstreams among which a request is placed: a sample of the usable ones, and the
    /// affinity upstream of its shared part.
    ///
    /// Load pattern: hundreds of instances that know the same loads, all a fraction of a second old. If
    /// each chose the best of all upstreams, all would send to the same one until the next reports
    /// arrive. A few random choices avoid that (Mitzenmacher, How Useful Is Old Information?, 2000). An
    /// instance that has a large part of the traffic knows most of the recent loads itself and compares
    /// all upstreams.
    fn sample_usable<'a>(
        &'a self,
        context: &RequestContext<'_>,
        instances: f64,
        open: impl Fn(&(&'a String, &'a Upstream)) -> bool,
    ) -> Vec<(&'a String, &'a Upstream)> {
        let usable = self.upstreams.iter().filter(open);
        let usable = usable.filter(|(_, upstream)| upstream.is_usable(context.now_ms));
        let (mut near, mut far): (Vec<_>, Vec<_>) = usable
            .map(|(id, upstream)| {
                (xxh3_64_with_seed(id.as_bytes(), context.request.seed), id, upstream)
            })
            .partition(|(_, _, upstream)| upstream.availability_zone == self.availability_zone);
        let size = |count: usize| (count as f64 * SAMPLE_FACTOR / instances).ceil() as usize;
        let (near_size, far_size) = (size(near.len()), size(far.len()));
        let affinity = context.affinity_upstream;
        let mut sample = Vec::new();
        for (upstreams, size) in [(&mut near, near_size), (&mut far, far_size)] {
            let size = size.max(MIN_SAMPLE_SIZE);
            if upstreams.len() > size {
                upstreams.select_nth_unstable_by_key(size, |(hash, ..)| *hash);
            }
            let chosen = upstreams
                .iter()
                .enumerate()
                .filter(|(index, (_, id, _))| *index < size || affinity == Some(id.as_str()));
            sample.extend(chosen.map(|(_, (_, id, upstream))| (*id, *upstream)));
        }
        sample
    }

    /// The upstream that all instances prefer for requests with the same shared part, by rendezvous
    /// hashing (Thaler and Ravishankar, 1998). One with a rate limit can't take them all.
    fn find_affinity_upstream(&self, request: &PlacementRequest<'_>, now_ms: u64) -> Option<&str> {
        let part = request.affinity_part()?;
        self.upstreams
            .iter()
            .filter(|(_, upstream)| upstream.limit.is_none() && upstream.is_usable(now_ms))
            .max_by_key(|(id, _)| xxh3_64_with_seed(id.as_bytes(), part.hash))
            .map(|(id, _)| id.as_str())
    }

    /// Prefill throughput of an upstream that is left for this rank, in tokens per millisecond.
    /// Requests of more urgent ranks that arrive while a prompt is queued are prefilled first
    /// (priority queueing; Cobham, 1954).
    fn available_prefill_rate(&self, urgency: u8, usable: f64, now_ms: u64) -> f64 {
        let capacity = self.latency.tokens_per_ms * usable;
        let own = self.sent_meter.rates(now_ms);
        let peers = self
            .peer_demand
            .values()
            .map(|(demand, _)| sum_more_urgent(&demand.sent_tokens_per_ms, urgency));
        let urgent = sum_more_urgent(&own, urgency) + peers.sum::<f64>();
        self.latency.tokens_per_ms * (1.0 - (urgent / capacity).min(MAX_URGENT_SHARE))
    }

    /// Number of usable upstreams; at least 1, as ejected ones are used if there is no other.
    fn count_usable(&self, now_ms: u64) -> usize {
        let usable = self.upstreams.values().filter(|upstream| upstream.is_usable(now_ms));
        usable.count().max(1)
    }

    /// Computes the cost of an upstream. Queued requests of all ranks count towards it, unlike in the
    /// forecast, as each request in the batch slows the token generation of the others.
    pub(crate) fn evaluate<'a>(
        &self,
        id: &'a str,
        upstream: &'a Upstream,
        context: &RequestContext<'_>,
    ) -> Candidate<'a> {
        self.evaluate_with(id, upstream, None, context)
    }

    /// As [`Self::evaluate`], with another estimate of the requests in flight.
    pub(crate) fn evaluate_with<'a>(
        &self,
        id: &'a str,
        upstream: &'a Upstream,
        in_flight: Option<f64>,
        context: &RequestContext<'_>,
    ) -> Candidate<'a> {
        let RequestContext { request, affinity_upstream, now_ms, .. } = *context;
        let rate = self.latency.tokens_per_ms;
        let cached = upstream.estimate_cached_tokens(request, affinity_upstream == Some(id));
        let uncached = request.prompt_tokens.saturating_sub(cached);
        let shared = request.shared_tokens().saturating_sub(cached) as f64;
        let load = upstream.facts.load.estimate(request.urgency, rate, upstream.slots, now_ms);
        let (running, slots) = (in_flight.unwrap_or(load.running as f64), upstream.slots as f64);
        let overflow = (running + 1.0 - slots).max(0.0) / slots;
        let pace =
            upstream.pace.factor(now_ms) * self.completion.speed_factor(request, upstream, now_ms);
        let is_near = upstream.availability_zone == self.availability_zone;
        let load_ms = pace
            * (self.latency.idle_first_byte_ms * (1.0 + overflow)
                + (load.tokens_of_all_ranks + uncached as f64) / rate
                + running / slots * self.options.full_batch_ms);
        let completion = context
            .work
            .and_then(|work| self.completion.forecast(&work, upstream, &load, load_ms, now_ms));
        let cost = self.cost_rule.cost(&CostComponents {
            load_ms,
            distance_ms: if is_near { 0.0 } else { self.options.cross_zone_ms },
            shared_ms: shared * (self.options.shared_weight - 1.0) / rate,
            completion_ms: completion.map_or(0.0, |completion| {
                self.completion.cost_ms(&completion, self.options.full_batch_ms)
            }),
            failure_ms: upstream.health.failure_rate() * FAILURE_COST_MS,
            running: load.running,
        });
        Candidate {
            id,
            upstream,
            load,
            uncached_tokens: uncached,
            cached_tokens: cached,
            completion,
            cost,
            evidence: None,
        }
    }

    /// Forecasts the latency of a request at the upstream that was chosen for it.
    pub(crate) fn build_placement(
        &self,
        chosen: &Candidate<'_>,
        context: &RequestContext<'_>,
    ) -> Placement {
        let Candidate { load, uncached_tokens, cached_tokens, .. } = *chosen;
        let (running, slots) = (load.running as f64, chosen.upstream.slots as f64);
        let requests_before = load.answering as f64 + load.requests_ahead;
        let overflow = (requests_before + 1.0 - slots).max(0.0) / slots;
        let ahead_ms = (load.tokens_ahead / context.prefill_rate)
            .max(load.requests_ahead * self.latency.delay_per_request_ms);
        let queue_ms = self.latency.idle_first_byte_ms * overflow + ahead_ms;
        let first_byte_ms = self.latency.idle_first_byte_ms
            + queue_ms
            + uncached_tokens as f64 / context.prefill_rate
            + (running / slots).min(1.0) * self.options.full_batch_ms;
        Placement {
            upstream: chosen.id.to_owned(),
            address: chosen.upstream.address,
            urgency: context.request.urgency,
            placed_at_ms: context.now_ms,
            first_byte_ms: first_byte_ms as u64,
            queue_ms: queue_ms as u64,
            prefill_share_ms: (uncached_tokens as f64 / context.prefill_rate_per_instance) as u64,
            uncached_tokens,
            cached_tokens,
            ahead_tokens: load.tokens_ahead as u64,
            requests_ahead: load.requests_ahead,
            has_free_slots: running < slots,
            is_backoff_probe: chosen.upstream.backoff.is_active(context.now_ms),
            permit_until_ms: None,
            is_lent: self.is_beyond_share(chosen.id, chosen.upstream, context.now_ms),
            version: chosen.upstream.version.clone(),
            completion: chosen.completion.map(Box::new),
            evidence: chosen.evidence.map(Box::new),
        }
    }

    /// Records that a request is sent to an upstream. Each call is paired with [`Self::end_attempt`].
    pub fn begin_attempt(
        &mut self,
        placement: &Placement,
        request: &PlacementRequest<'_>,
        now_ms: u64,
    ) {
        let Some(upstream) = self.upstreams.get_mut(&placement.upstream) else { return };
        self.sent_meter.add(placement.urgency, placement.uncached_tokens, now_ms);
        self.completion.record_sent(placement);
        self.remaining_time.begin(now_ms);
        upstream.begin_request(placement, now_ms);
        let hashes: Vec<u64> = request.parts.iter().map(|part| part.hash).collect();
        upstream.prefix_index.add(&hashes);
    }

    /// Records the first byte of an attempt and updates the latency estimates.
    pub fn record_first_byte(&mut self, placement: &Placement, now_ms: u64) {
        self.remove_waiting(placement);
        if let Some(upstream) = self.upstreams.get_mut(&placement.upstream) {
            upstream.begin_response(placement.is_lent);
        }
        self.latency.record_first_byte(placement, placement.elapsed_ms(now_ms) as f64);
    }

    /// Records the end of an attempt. `has_first_byte` is whether [`Self::record_first_byte`] was called
    /// for it.
    pub fn end_attempt(
        &mut self,
        placement: &Placement,
        has_first_byte: bool,
        outcome: AttemptOutcome,
        now_ms: u64,
    ) {
        if !has_first_byte {
            self.remove_waiting(placement);
            self.record_abandoned_wait(placement, outcome, now_ms);
        }
        let duration_ms = has_first_byte.then(|| placement.elapsed_ms(now_ms));
        self.remaining_time.end(duration_ms, now_ms);
        self.end_meter.add(placement.urgency, 1, now_ms);
        let Some(upstream) = self.upstreams.get_mut(&placement.upstream) else { return };
        upstream.end_request(placement, has_first_byte, outcome, now_ms);
    }

    /// Records that an attempt has timed out. It may still go on.
    pub fn record_silence(&mut self, placement: &Placement, now_ms: u64) {
        if let Some(upstream) = self.upstreams.get_mut(&placement.upstream) {
            upstream.health.record_silence(placement.placed_at_ms, now_ms);
        }
    }

    /// Records that an attempt has received a part of its response.
    pub fn record_progress(&mut self, placement: &Placement) {
        if let Some(upstream) = self.upstreams.get_mut(&placement.upstream) {
            upstream.health.record_progress();
        }
    }

    /// Uses the wait of a caller that disconnected after its first byte was expected as a lower bound of
    /// the queueing delay.
    fn record_abandoned_wait(
        &mut self,
        placement: &Placement,
        outcome: AttemptOutcome,
        now_ms: u64,
    ) {
        let elapsed_ms = placement.elapsed_ms(now_ms);
        if outcome == AttemptOutcome::Cancelled && elapsed_ms > placement.first_byte_ms {
            self.latency.update_delay_per_request(placement, elapsed_ms as f64);
        }
    }

    fn remove_waiting(&mut self, placement: &Placement) {
        let Some(upstream) = self.upstreams.get_mut(&placement.upstream) else { return };
        upstream.facts.load.end_wait(placement.urgency, placement.uncached_tokens);
    }

    /// Records a load report of the upstream itself. Returns the report if it can't be true; it is ignored.
    pub fn record_load_report(
        &mut self,
        upstream: &str,
        running: u64,
        waiting: u64,
        now_ms: u64,
    ) -> Option<IgnoredReport> {
        self.upstreams.get_mut(upstream)?.set_report(running, waiting, now_ms)
    }

    /// Records how long work takes on the host of an upstream at this time, as the upstream reports
    /// it; 100 percent is the usual time.
    pub fn record_pace(&mut self, upstream: &str, percent: u64, now_ms: u64) {
        if let Some(upstream) = self.upstreams.get_mut(upstream) {
            upstream.pace.record(percent, now_ms);
            self.completion.record_reported_pace();
        }
    }

    /// Records the load that a peer instance reported for an upstream.
    pub fn set_peer_load(&mut self, peer: &str, upstream: &str, load: UpstreamLoad, now_ms: u64) {
        self.peer_loads_at_ms.insert(peer.to_owned(), now_ms);
        if let Some(upstream) = self.upstreams.get_mut(upstream) {
            upstream.facts.load.set_peer(peer, load, now_ms);
        }
    }

    /// Discards the load and demand reported by a peer instance, before its next report is applied.
    pub fn clear_peer(&mut self, peer: &str) {
        for upstream in self.upstreams.values_mut() {
            upstream.facts.load.clear_peer(peer);
        }
        self.peer_demand.remove(peer);
        self.clear_peer_work(Some(peer));
        self.peer_loads_at_ms.remove(peer);
    }

    /// This instance's load by upstream; upstreams without load are left out.
    pub fn own_loads(&self) -> impl Iterator<Item = (&str, UpstreamLoad)> {
        let loaded =
            self.upstreams.iter().filter(|(_, upstream)| upstream.facts.load.running() > 0);
        loaded.map(|(id, upstream)| (id.as_str(), upstream.load()))
    }

    /// Counts the prompt tokens of a request on arrival, whether it is then sent or refused: those that
    /// miss the prefix cache, and of those believed cached the part that usually misses it too.
    pub fn record_arrival(&mut self, placement: &Placement, now_ms: u64) {
        let missed = (placement.cached_tokens as f64 * self.latency.miss_rate) as u64;
        self.arrival_meter.add(placement.urgency, placement.uncached_tokens + missed, now_ms);
    }

    /// Token demand of this instance's requests.
    pub fn own_demand(&self, now_ms: u64) -> TokenDemand {
        TokenDemand {
            arrived_tokens_per_ms: self.arrival_meter.rate(now_ms),
            sent_tokens_per_ms: self.sent_meter.rates(now_ms),
        }
    }

    /// Uncached prompt tokens per millisecond of the requests that arrive at all instances.
    pub fn demand_tokens_per_ms(&self, now_ms: u64) -> f64 {
        let peers =
            self.peer_demand.values().map(|(demand, _)| demand.arrived_tokens_per_ms).sum::<f64>();
        self.arrival_meter.rate(now_ms) + peers
    }

    /// Records the token demand that a peer reported for itself, or as the sum of `instances`
    /// instances.
    pub fn set_peer_demand(&mut self, peer: &str, demand: TokenDemand, instances: usize) {
        self.peer_demand.insert(peer.to_owned(), (demand, instances));
    }

    /// Discards the load and demand reported by all peers.
    pub fn clear_peers(&mut self) {
        for upstream in self.upstreams.values_mut() {
            upstream.facts.load.clear_peers();
        }
        self.peer_demand.clear();
        self.clear_peer_work(None);
        self.peer_loads_at_ms.clear();
    }

    /// Applies the admission rule of the service.
    pub fn admit(&mut self, forecast: &Forecast, now_ms: u64) -> Admission {
        self.admission_rule.decide(forecast, now_ms)
    }

    /// Requests of all instances whose first byte has arrived.
    pub fn count_answering(&self, now_ms: u64) -> u64 {
        self.upstreams.values().map(|upstream| upstream.facts.load.count_answering(now_ms)).sum()
    }

    /// Whether any instance has received a request with uncached prompt tokens within the rate window.
    pub fn has_demand(&self, now_ms: u64) -> bool {
        self.demand_tokens_per_ms(now_ms) > 0.0
    }

    /// Estimated fraction of the tokens believed cached that are not.
    pub fn miss_rate(&self) -> f64 {
        self.latency.miss_rate
    }

    /// Estimated prompt tokens that an engine prefills per millisecond.
    pub fn prefill_tokens_per_ms(&self) -> f64 {
        self.latency.tokens_per_ms
    }
}

/// A candidate upstream with its cost for one request.
pub(crate) struct Candidate<'a> {
    pub(crate) id: &'a str,
    upstream: &'a Upstream,
    load: LoadEstimate,
    /// Prompt tokens that would miss its prefix cache.
    uncached_tokens: u64,
    /// Prompt tokens that are believed to be in its prefix cache.
    pub(crate) cached_tokens: u64,
    completion: Option<Completion>,
    pub(crate) cost: f64,
    pub(crate) evidence: Option<LoadEvidence>,
}

/// A request with the values that are the same for all candidates.
#[derive(Clone, Copy)]
pub(crate) struct RequestContext<'a> {
    pub(crate) request: &'a PlacementRequest<'a>,
    /// The affinity upstream of its shared part; `None` if no part is shared.
    pub(crate) affinity_upstream: Option<&'a str>,
    /// Prefill throughput of an upstream that is left for its rank, in tokens per millisecond.
    prefill_rate: f64,
    /// One instance's share of that throughput over all upstreams.
    prefill_rate_per_instance: f64,
    /// Its work, if the end of the response counts.
    work: Option<WorkEstimate>,
    pub(crate) now_ms: u64,
}

/// Total rate of the ranks more urgent than this one.
fn sum_more_urgent(rates: &RankedRates, urgency: u8) -> f64 {
    rates.range(..urgency).map(|(_, rate)| rate).sum()
}
