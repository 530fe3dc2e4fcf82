//! The event loop of the simulation.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use hickorycourse_caps::UsageReport;
use hickorycourse_overload::WorkClass;
use hickorycourse_placement::{Admission, AttemptOutcome, Placement, PlacementRequest};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::engine::Engine;
use crate::exchange::{Exchange, Snapshot, exchange_period_ms};
use crate::pattern::{CallerGroup, Fault, LoadPattern, RetryBehaviour};
use crate::relay::{Policy, Relay, engine_id, zone_name};
use crate::report::{GroupReport, Report};
use crate::request::{Assignment, Outcome, Request, sample_requests};

/// Maximum number of attempts of a request.
/// The relay that decides on caps for all; a claim takes no time.
const CAP_DECIDER: usize = 0;
const MAX_ATTEMPTS: u32 = 5;
/// Maximum number of engines that one attempt is sent to; it fails if none of them is reachable.
const MAX_DIALS: usize = 3;
/// Time-out for connecting to an engine in an unreachable zone.
const DIAL_TIMEOUT_MS: u64 = 250;
/// Spreads the numbers of requests over the seeds by which upstreams are sampled.
const SEED_FACTOR: u64 = 0x9e37_79b9;
/// Delay of an immediate retry.
const IMMEDIATE_RETRY_DELAY_MS: u64 = 20;
/// A caller waits at most this fraction (1/n) of its remaining patience before a retry.
const RETRY_WAIT_DIVISOR: u64 = 3;
/// Retry delay that the baseline advises.
const BASELINE_RETRY_AFTER_MS: u64 = 500;
/// Time from a crash until the list of upstreams omits the engine.
const CRASH_DETECTION_DELAY_MS: u64 = 1_500;

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrival { request: usize },
    Prefilled { engine: usize, request: usize, attempt: u32 },
    Finished { engine: usize, request: usize, attempt: u32 },
    Unresponsive { request: usize, attempt: u32 },
    CallerTimeout { request: usize },
    Digest { relay: usize },
    EngineCrash { count: usize },
    UpstreamListUpdate,
    EngineReclaim { count: usize },
    ZonePartition { zone: usize },
}

struct Simulation<'a> {
    pattern: &'a LoadPattern,
    policy: Policy,
    rng: ChaCha8Rng,
    now_ms: u64,
    event_sequence: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    relays: Vec<Relay>,
    last_broadcast_ms: Vec<u64>,
    engines: Vec<Engine>,
    /// Engines that are reclaimed, the lowest indices first.
    reclaimed: usize,
    exchange: Exchange,
    requests: Vec<Request>,
    report: Report,
}

/// Simulates a pattern until all requests have ended. The same seed gives the same report.
///
/// # Errors
/// If a histogram can't be created.
pub fn run(pattern: &LoadPattern, policy: Policy, seed: u64) -> eyre::Result<Report> {
    let mut simulation = Simulation::new(pattern, policy, seed)?;
    while let Some(Reverse((at_ms, _, event))) = simulation.events.pop() {
        simulation.now_ms = at_ms;
        simulation.handle_event(event);
    }
    Ok(simulation.report)
}

impl<'a> Simulation<'a> {
    fn new(pattern: &'a LoadPattern, policy: Policy, seed: u64) -> eyre::Result<Self> {
        let engines: Vec<Engine> =
            (0..pattern.engines).map(|number| Engine::new(number % pattern.zones)).collect();
        let policy_of = |number: usize| match policy {
            Policy::FleetAdmission if number < pattern.earlier_relays => Policy::Chosen,
            policy => policy,
        };
        let relays = (0..pattern.relays)
            .map(|number| Relay::new(pattern, number % pattern.zones, policy_of(number)));
        let mut report = Report::default();
        for group in &pattern.groups {
            report.groups.insert(group.name, GroupReport::new()?);
        }
        let mut simulation = Self {
            pattern,
            policy,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now_ms: 0,
            event_sequence: 0,
            events: BinaryHeap::new(),
            relays: relays.collect(),
            last_broadcast_ms: vec![0; pattern.relays],
            engines,
            reclaimed: 0,
            exchange: Exchange::new(pattern.relays),
            requests: Vec::new(),
            report,
        };
        simulation.update_upstream_lists();
        simulation.schedule_faults();
        for relay in 0..pattern.relays {
            let first_ms = simulation.rng.random_range(0..exchange_period_ms(pattern.relays));
            simulation.schedule(first_ms, Event::Digest { relay });
        }
        for group in 0..pattern.groups.len() {
            simulation.schedule_group(group);
        }
        Ok(simulation)
    }

    fn schedule(&mut self, at_ms: u64, event: Event) {
        self.event_sequence += 1;
        self.events.push(Reverse((at_ms, self.event_sequence, event)));
    }

    fn schedule_faults(&mut self) {
        for fault in self.pattern.faults.clone() {
            match fault {
                Fault::EngineCrash { at_ms, count } => {
                    self.schedule(at_ms, Event::EngineCrash { count });
                    let listed_at_ms = at_ms + CRASH_DETECTION_DELAY_MS;
                    let recovery_ms = self.pattern.store_recovery_ms(listed_at_ms);
                    self.schedule(recovery_ms.unwrap_or(listed_at_ms), Event::UpstreamListUpdate);
                }
                Fault::EngineReclaim { from_ms, until_ms, count } => {
                    self.schedule(from_ms, Event::EngineReclaim { count });
                    self.schedule(until_ms, Event::EngineReclaim { count: 0 });
                }
                Fault::ZonePartition { zone, from_ms, .. } => {
                    self.schedule(from_ms, Event::ZonePartition { zone });
                }
                Fault::StoreOutage { .. } => {}
            }
        }
    }

    fn schedule_group(&mut self, index: usize) {
        let first = self.requests.len();
        self.requests.extend(sample_requests(self.pattern, index, first, &mut self.rng));
        for request in first..self.requests.len() {
            let at_ms = self.requests[request].first_arrival_ms;
            self.schedule(at_ms, Event::Arrival { request });
            let patience_ms = self.pattern.groups[index].patience_ms;
            self.schedule(at_ms + patience_ms, Event::CallerTimeout { request });
        }
    }

    fn group(&self, request: usize) -> &'a CallerGroup {
        &self.pattern.groups[self.requests[request].group]
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Arrival { request } => self.handle_arrival(request),
            Event::Prefilled { engine, request, attempt } => {
                self.start_decoding(engine, request, attempt);
            }
            Event::Finished { engine, request, attempt } => {
                if self.is_current(request, attempt) {
                    self.engines[engine].drop_request(request);
                    self.end_attempt(request, AttemptOutcome::Answered);
                    self.record_outcome(request, Outcome::Answered);
                    self.start_next_prefill(engine);
                }
            }
            Event::Unresponsive { request, attempt } => {
                if self.is_current(request, attempt) {
                    self.end_attempt(request, AttemptOutcome::Unresponsive);
                    self.place(request);
                }
            }
            Event::CallerTimeout { request } => self.handle_caller_timeout(request),
            Event::Digest { relay } => {
                self.broadcast_digest(relay);
                if self.now_ms < self.pattern.duration_ms {
                    self.schedule(
                        self.now_ms + exchange_period_ms(self.pattern.relays),
                        Event::Digest { relay },
                    );
                }
            }
            Event::EngineCrash { count } => self.crash_engines(count),
            Event::UpstreamListUpdate => self.update_upstream_lists(),
            Event::EngineReclaim { count } => {
                self.reclaimed = count;
                self.update_upstream_lists();
            }
            Event::ZonePartition { zone } => self.partition_zone(zone),
        }
    }

    fn is_current(&self, request: usize, attempt: u32) -> bool {
        let request_state = &self.requests[request];
        !request_state.is_ended
            && request_state.attempt == attempt
            && request_state.assignment.is_some()
    }

    fn update_upstream_lists(&mut self) {
        for relay in &mut self.relays {
            let alive = self.engines.iter().enumerate().skip(self.reclaimed);
            let alive = alive.filter(|(_, engine)| engine.is_alive);
            relay.set_engines(alive.map(|(number, engine)| (number, engine.zone)));
        }
    }

    fn handle_arrival(&mut self, request: usize) {
        if self.requests[request].is_ended {
            return;
        }
        self.report.attempts += 1;
        if self.requests[request].attempt > 0 {
            *self.report.retries_per_100ms.entry(self.now_ms / 100).or_default() += 1;
        } else {
            self.update_group_report(request, |group| group.requests += 1);
        }
        self.requests[request].attempt += 1;
        self.requests[request].excluded.clear();
        self.requests[request].attempt_arrival_ms = self.now_ms;
        self.place(request);
    }

    fn pick_relay(&mut self, zone: usize) -> usize {
        let relays_per_zone = self.pattern.relays / self.pattern.zones;
        zone + self.rng.random_range(0..relays_per_zone.max(1)) * self.pattern.zones
    }

    /// Acquires the cap's tokens, chooses an engine and sends the request, or refuses it.
    fn place(&mut self, request: usize) {
        let group = self.group(request);
        let relay = self.pick_relay(self.requests[request].zone);
        let tokens = group.shared_tokens + group.own_tokens + group.output_tokens;
        if self.requests[request].excluded.is_empty() && !self.acquire_cap_tokens(request, tokens) {
            return;
        }
        let request_state = &self.requests[request];
        let placement_request = PlacementRequest {
            parts: &request_state.parts,
            prompt_tokens: group.shared_tokens + group.own_tokens,
            urgency: group.urgency,
            seed: request as u64 * SEED_FACTOR + u64::from(request_state.attempt),
            excluded: &request_state.excluded,
            version: None,
            streamed: None,
        };
        let table = &mut self.relays[relay].placement_table;
        let chosen = table.choose(&placement_request, self.now_ms);
        let Some(placement) = chosen.filter(|_| request_state.excluded.len() < MAX_DIALS) else {
            self.record_outcome(request, Outcome::Failed);
            return;
        };
        table.record_arrival(&placement, self.now_ms);
        let waited_ms = self.now_ms - request_state.attempt_arrival_ms;
        let forecast = placement.forecast(waited_ms, group.target_ms, group.patience_ms);
        let work = table.work_request(&placement, &placement_request, group.output_tokens);
        let refusal = match request_state.excluded.is_empty() {
            true => table.refuse_in_overload(&work, &forecast, self.now_ms),
            false => None,
        };
        let refused_for_ms = match refusal {
            Some(refusal) => Some(refusal.retry_after_ms),
            None => match table.admit(&forecast, self.now_ms) {
                Admission::Refuse { retry_after_ms } => Some(retry_after_ms),
                Admission::Send => None,
            },
        };
        if let Some(retry_after_ms) = refused_for_ms {
            if let Some(cap) = self.relays[CAP_DECIDER].caps.get_mut(group.organisation) {
                cap.refund(tokens as f64, request_state.attempt_arrival_ms, self.now_ms);
            }
            self.refuse(request, retry_after_ms);
            return;
        }
        table.begin_attempt(&placement, &placement_request, self.now_ms);
        self.send(request, relay, placement);
    }

    fn acquire_cap_tokens(&mut self, request: usize, tokens: u64) -> bool {
        let group = self.group(request);
        let (instances, now_ms) = (self.pattern.relays, self.now_ms);
        let Some(cap) = self.relays[CAP_DECIDER].caps.get_mut(group.organisation) else {
            return true;
        };
        cap.set_wall_time(now_ms);
        let acquired = cap.try_acquire(tokens as f64, group.urgency, instances, now_ms);
        if let Err(wait_ms) = acquired {
            self.refuse(request, wait_ms);
            return false;
        }
        let seconds = self.report.cap_tokens_by_second.entry(group.organisation).or_default();
        *seconds.entry(now_ms / 1_000).or_default() += tokens as f64;
        true
    }

    fn send(&mut self, request: usize, relay: usize, placement: Placement) {
        let engine = (0..self.engines.len())
            .find(|number| engine_id(*number) == placement.upstream)
            .unwrap_or_default();
        let is_reachable = {
            let (from, to) = (self.relays[relay].zone, self.engines[engine].zone);
            self.report.sent_attempts += 1;
            self.report.cross_zone_attempts += u64::from(from != to);
            self.pattern.is_reachable(from, to, self.now_ms)
        };
        let request_state = &mut self.requests[request];
        request_state.excluded.push(placement.upstream.clone());
        request_state.assignment = Some(Assignment { relay, engine, placement });
        let attempt = request_state.attempt;
        if !is_reachable {
            self.schedule(self.now_ms + DIAL_TIMEOUT_MS, Event::Unresponsive { request, attempt });
        } else if !self.engines[engine].is_alive {
            self.schedule(self.now_ms, Event::Unresponsive { request, attempt });
        } else {
            let urgency = self.group(request).urgency;
            self.engines[engine].enqueue(request, urgency);
            self.start_next_prefill(engine);
        }
    }

    fn start_next_prefill(&mut self, engine: usize) {
        let requests = &self.requests;
        let prefill = self.engines[engine]
            .start_prefill(|request| requests[request].parts.as_slice(), self.now_ms);
        let Some(prefill) = prefill else { return };
        self.report.prefilled_tokens += prefill.prefilled_tokens;
        self.report.shared_tokens += prefill.shared_tokens;
        let request = prefill.request;
        let attempt = self.requests[request].attempt;
        self.schedule(prefill.first_byte_at_ms, Event::Prefilled { engine, request, attempt });
    }

    fn start_decoding(&mut self, engine: usize, request: usize, attempt: u32) {
        if self.engines[engine].prefilling != Some(request) || !self.is_current(request, attempt) {
            return;
        }
        self.engines[engine].prefilling = None;
        let group = self.group(request);
        let request_state = &mut self.requests[request];
        request_state.first_byte_at_ms = Some(self.now_ms);
        if let Some(assignment) = &request_state.assignment {
            let table = &mut self.relays[assignment.relay].placement_table;
            table.record_first_byte(&assignment.placement, self.now_ms);
        }
        let done_ms = self.now_ms + self.engines[engine].decode_ms(group.output_tokens);
        self.schedule(done_ms, Event::Finished { engine, request, attempt });
        self.start_next_prefill(engine);
    }

    /// Ends the attempt of a request, if it has one, in the relay's placement table.
    fn end_attempt(&mut self, request: usize, outcome: AttemptOutcome) {
        let first_byte_at_ms = self.requests[request].first_byte_at_ms;
        let has_first_byte = first_byte_at_ms.is_some();
        let group = self.group(request);
        if let Some(assignment) = self.requests[request].assignment.take() {
            if let Some(first_byte_at_ms) = first_byte_at_ms
                && outcome == AttemptOutcome::Answered
            {
                let prompt_tokens = group.shared_tokens + group.own_tokens;
                let class = WorkClass::new(group.urgency, prompt_tokens, group.output_tokens);
                let table = &mut self.relays[assignment.relay].placement_table;
                table.record_response_time(class, self.now_ms - first_byte_at_ms);
            }
            let table = &mut self.relays[assignment.relay].placement_table;
            table.end_attempt(&assignment.placement, has_first_byte, outcome, self.now_ms);
        }
    }

    /// Refuses an attempt; schedules the retry according to the group's retry behaviour.
    fn refuse(&mut self, request: usize, retry_after_ms: u64) {
        let group = self.group(request);
        let request_state = &self.requests[request];
        let remaining_ms =
            (request_state.first_arrival_ms + group.patience_ms).saturating_sub(self.now_ms);
        let advised_ms = match self.policy {
            Policy::Baseline => BASELINE_RETRY_AFTER_MS,
            Policy::Chosen | Policy::FleetAdmission => retry_after_ms,
        };
        let wait_ms = match group.retry_behaviour {
            RetryBehaviour::Never => None,
            RetryBehaviour::Immediate => Some(IMMEDIATE_RETRY_DELAY_MS),
            RetryBehaviour::OnceAfterDelay if request_state.attempt > 1 => None,
            RetryBehaviour::AfterDelay | RetryBehaviour::OnceAfterDelay => {
                Some(advised_ms.min(remaining_ms / RETRY_WAIT_DIVISOR))
            }
        };
        let wait_ms = wait_ms.filter(|wait_ms| *wait_ms < remaining_ms);
        match wait_ms.filter(|_| request_state.attempt < MAX_ATTEMPTS) {
            Some(wait_ms) => self.schedule(self.now_ms + wait_ms, Event::Arrival { request }),
            None => self.record_outcome(request, Outcome::Refused),
        }
    }

    /// Ends a request whose caller's patience is over, unless its answer has begun.
    fn handle_caller_timeout(&mut self, request: usize) {
        let request_state = &self.requests[request];
        if request_state.is_ended || request_state.first_byte_at_ms.is_some() {
            return;
        }
        match request_state.assignment.as_ref().map(|assignment| assignment.engine) {
            None => self.record_outcome(request, Outcome::Refused),
            Some(engine) => {
                self.engines[engine].drop_request(request);
                self.end_attempt(request, AttemptOutcome::Cancelled);
                self.record_outcome(request, Outcome::Abandoned);
                self.start_next_prefill(engine);
            }
        }
    }

    fn crash_engines(&mut self, count: usize) {
        for engine in 0..count.min(self.engines.len()) {
            for request in self.engines[engine].crash() {
                self.end_attempt(request, AttemptOutcome::Failed);
                self.record_outcome(request, Outcome::Failed);
            }
        }
    }

    /// Fails the requests in flight between a zone and the others.
    fn partition_zone(&mut self, zone: usize) {
        for request in 0..self.requests.len() {
            let Some(assignment) = &self.requests[request].assignment else { continue };
            let (from, to) =
                (self.relays[assignment.relay].zone, self.engines[assignment.engine].zone);
            if (from == zone) != (to == zone) {
                let engine = assignment.engine;
                self.engines[engine].drop_request(request);
                self.end_attempt(request, AttemptOutcome::Failed);
                self.record_outcome(request, Outcome::Failed);
                self.start_next_prefill(engine);
            }
        }
    }

    /// Sends a relay's digest (its loads, demand and cap usage) to the other relays that it can reach.
    fn broadcast_digest(&mut self, from: usize) {
        self.last_broadcast_ms[from] = self.now_ms;
        let name = format!("relay-{from}");
        let relay = &mut self.relays[from];
        let zone = relay.zone;
        let snapshot = Snapshot::of(&relay.placement_table, zone, self.now_ms);
        let now_ms = self.now_ms;
        let usage: Vec<_> = relay
            .caps
            .iter_mut()
            .map(|(organisation, cap)| (*organisation, cap.broadcast_usage(now_ms)))
            .collect();
        for (number, to) in self.relays.iter_mut().enumerate() {
            if number == from || !self.pattern.is_reachable(zone, to.zone, self.now_ms) {
                continue;
            }
            if !self.exchange.is_aggregated() {
                snapshot.apply(&name, &mut to.placement_table, self.now_ms);
            }
            for (organisation, usage) in &usage {
                if let Some(cap) = to.caps.get_mut(organisation) {
                    let report = UsageReport {
                        availability_zone: &zone_name(zone),
                        peer: Some((&name, 1)),
                        instances: 1,
                        usage,
                        reported_at_ms: now_ms,
                    };
                    cap.apply_report(&report, now_ms);
                }
            }
        }
        if self.exchange.is_aggregated() {
            self.exchange_sums(from, snapshot);
        }
    }

    /// Reports to the aggregator of the relay's zone and applies the sums of the zones that it can reach.
    fn exchange_sums(&mut self, from: usize, snapshot: Snapshot) {
        self.exchange.record(from, snapshot);
        let zone = self.relays[from].zone;
        for other in 0..self.pattern.zones {
            if self.pattern.is_reachable(zone, other, self.now_ms) {
                let sums = self.exchange.sum_zone(other, from);
                let table = &mut self.relays[from].placement_table;
                sums.apply(&zone_name(other), table, self.now_ms);
            }
        }
    }

    fn update_group_report(&mut self, request: usize, update: impl FnOnce(&mut GroupReport)) {
        let name = self.group(request).name;
        if let Some(group) = self.report.groups.get_mut(name) {
            update(group);
        }
    }

    fn record_outcome(&mut self, request: usize, outcome: Outcome) {
        let group = self.group(request);
        let request_state = &mut self.requests[request];
        if std::mem::replace(&mut request_state.is_ended, true) {
            return;
        }
        let first_byte_ms =
            request_state.first_byte_at_ms.map(|at_ms| at_ms - request_state.first_arrival_ms);
        let second = self.requests[request].first_arrival_ms / 1_000;
        let seconds = self.report.seconds.entry((group.name, second)).or_default();
        seconds.requests += 1;
        match (outcome, first_byte_ms) {
            (Outcome::Answered, Some(first_byte_ms)) if first_byte_ms <= group.target_ms => {
                seconds.on_time += 1;
            }
            (Outcome::Answered | Outcome::Abandoned, _) => seconds.late += 1,
            _ => {}
        }
        self.update_group_report(request, |report| match (outcome, first_byte_ms) {
            (Outcome::Answered, Some(first_byte_ms)) => {
                let is_on_time = first_byte_ms <= group.target_ms;
                report.on_time += u64::from(is_on_time);
                report.late += u64::from(!is_on_time);
                report.tokens += group.shared_tokens + group.own_tokens + group.output_tokens;
                report.first_byte_ms.saturating_record(first_byte_ms);
            }
            (Outcome::Refused, _) => report.refused += 1,
            (Outcome::Abandoned, _) => report.abandoned += 1,
            (Outcome::Failed | Outcome::Answered, _) => report.failed += 1,
        });
    }
}
