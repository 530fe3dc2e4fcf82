//! The event loop, and the way of a request through instances and engines.

use std::collections::BTreeMap;
use std::rc::Rc;

use hickorycourse_quarantine::{QuarantineChange, SuspectAdmission};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::exchange::Delivery;
use super::fleet::{Engine, Instance, MadeDigest, Request};
use super::pattern::{CrashPattern, CrashPolicy, TroubleStart};
use super::report::{CrashReport, Verdict};
use super::troubles::TroubleEvent;
use super::workload::{Prompt, Workload};

/// Hash of the only service.
const SERVICE: u64 = 1;
/// Time within which instances that are in touch know what others know.
pub const CONTACT_MS: u64 = 3_000;
/// Attempts of a request.
const MAX_ATTEMPTS: u32 = 3;
/// Time before the first request with a crashing part.
const WARM_UP_MS: u64 = 3_000;
/// Time after its first byte from which an answer is well begun.
const BEGINNING_MS: u64 = 150;
/// Time until an engine that ended is back.
const ENGINE_RESTART_MS: u64 = 4_000;
/// Time between the chunks of an answer.
const PROGRESS_INTERVAL_MS: u64 = 100;
/// Time between two tries of a suspected request.
const PROBE_INTERVAL_MS: u64 = 1_000;
/// Time between writes of the record in the store.
const RECORD_INTERVAL_MS: u64 = 1_000;
/// Ends of engines under a part, after which few further ones are allowed.
const ALLOWED_ENDS: u64 = 5;
/// As [`ALLOWED_ENDS`], under one request.
const ALLOWED_REQUEST_ENDS: u64 = 3;

/// Something that happens at a point in time.
pub enum Event {
    /// A request without a crashing part arrives.
    SoundArrival,
    /// A request with a crashing part arrives.
    CrashingArrival { part: usize },
    /// An engine begins to write.
    FirstByte { request: usize, attempt: u32 },
    /// An answer is well begun.
    Begun { request: usize, attempt: u32 },
    /// An answer is complete.
    Finished { request: usize, attempt: u32 },
    /// The connection of an attempt breaks.
    Broken { request: usize, attempt: u32 },
    /// A start of an engine ends.
    EngineEnd { engine: usize, start: u64, part: Option<usize> },
    /// An engine is back.
    EngineReturn { engine: usize },
    /// Chunks of answers arrive.
    Progress,
    /// An instance sends its digest.
    Exchange { instance: usize },
    /// A digest arrives.
    Delivery(Delivery),
    /// The record in the store is written.
    Record,
    /// A fault that no request causes.
    Trouble(TroubleEvent),
}

/// State of a simulation run.
pub struct Simulation<'a> {
    pub pattern: &'a CrashPattern,
    pub policy: CrashPolicy,
    pub rng: ChaCha8Rng,
    pub now_ms: u64,
    sequence: u64,
    events: BTreeMap<(u64, u64), Event>,
    pub instances: Vec<Instance>,
    pub engines: Vec<Engine>,
    pub requests: Vec<Request>,
    workload: Workload,
    /// Exact time of the next sound request; several may arrive in a millisecond.
    next_sound_at_ms: f64,
    /// The zone that is cut off, and since when.
    pub cut_zone: Option<usize>,
    /// Zones that have been cut off, with the time from which they are in touch again.
    pub out_of_touch: BTreeMap<usize, u64>,
    /// Fraction of the requests that faulty engines break.
    pub broken_share: f64,
    /// The quarantined parts in the store.
    pub record: Option<MadeDigest>,
    /// Times at which suspected requests were last tried, by any instance.
    probed: BTreeMap<u64, u64>,
    report: CrashReport,
}

/// Simulates a pattern until all requests have ended. The same seed gives the same report.
pub fn run_crashes(pattern: &CrashPattern, policy: CrashPolicy, seed: u64) -> CrashReport {
    let mut simulation = Simulation::new(pattern, policy, seed);
    while let Some(((at_ms, _), event)) = simulation.events.pop_first() {
        simulation.now_ms = at_ms;
        simulation.handle(event);
    }
    simulation.into_report()
}

impl<'a> Simulation<'a> {
    fn new(pattern: &'a CrashPattern, policy: CrashPolicy, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let zones = pattern.zones();
        let parts = pattern.crashing_parts.len();
        let instances = (0..pattern.instances)
            .map(|number| Instance::new(number % zones, zones, policy.quarantine));
        let mut simulation = Self {
            pattern,
            policy,
            now_ms: 0,
            sequence: 0,
            events: BTreeMap::new(),
            instances: instances.collect(),
            engines: (0..pattern.engines).map(|n| Engine::new(n % zones, &mut rng)).collect(),
            requests: Vec::new(),
            workload: Workload::new(pattern, &mut rng),
            rng,
            next_sound_at_ms: 0.0,
            cut_zone: None,
            out_of_touch: BTreeMap::new(),
            broken_share: 0.0,
            record: None,
            probed: BTreeMap::new(),
            report: CrashReport {
                ended_by_part: vec![0; parts],
                fifth_end_ms: vec![None; parts],
                late_attempts: vec![0; parts],
                ..CrashReport::default()
            },
        };
        simulation.schedule_next_sound();
        for part in 0..parts {
            simulation.schedule_next_crashing(part, WARM_UP_MS);
        }
        simulation.schedule_in(PROGRESS_INTERVAL_MS, Event::Progress);
        simulation.schedule_in(RECORD_INTERVAL_MS, Event::Record);
        for instance in 0..pattern.instances {
            simulation.schedule_exchange(instance);
        }
        for index in 0..pattern.troubles.len() {
            simulation.schedule_trouble(index, None);
        }
        simulation
    }

    /// Schedules an event after a delay.
    pub fn schedule_in(&mut self, delay_ms: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((self.now_ms + delay_ms, self.sequence), event);
    }

    /// Returns whether requests still arrive.
    pub fn is_running(&self) -> bool {
        self.now_ms < self.pattern.duration_ms
    }

    fn sample_interval_ms(&mut self, requests_per_s: f64) -> f64 {
        let uniform: f64 = self.rng.random();
        -(1.0 - uniform).ln() / requests_per_s * 1_000.0
    }

    fn schedule_next_sound(&mut self) {
        let rate = self.pattern.requests_per_engine_s * self.pattern.engines as f64;
        self.next_sound_at_ms += self.sample_interval_ms(rate);
        let delay_ms = (self.next_sound_at_ms as u64).saturating_sub(self.now_ms);
        self.schedule_in(delay_ms, Event::SoundArrival);
    }

    fn schedule_next_crashing(&mut self, part: usize, pause_ms: u64) {
        let rate = self.pattern.crashing_parts[part].requests_per_s;
        let delay_ms = pause_ms + self.sample_interval_ms(rate) as u64;
        self.schedule_in(delay_ms, Event::CrashingArrival { part });
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::SoundArrival => {
                if self.is_running() {
                    let prompt = self.workload.sample_sound(&mut self.rng);
                    self.handle_arrival(prompt);
                    self.schedule_next_sound();
                }
            }
            Event::CrashingArrival { part } => {
                if self.is_running() {
                    let crashing = &self.pattern.crashing_parts[part];
                    let prompt = self.workload.sample_crashing(part, crashing, &mut self.rng);
                    self.handle_arrival(prompt);
                    self.schedule_next_crashing(part, 0);
                }
            }
            Event::FirstByte { request, attempt } => self.handle_first_byte(request, attempt),
            Event::Begun { request, attempt } => self.handle_begun(request, attempt),
            Event::Finished { request, attempt } => {
                if self.is_current(request, attempt) {
                    self.release(request);
                }
            }
            Event::Broken { request, attempt } => self.handle_broken(request, attempt),
            Event::EngineEnd { engine, start, part } => {
                if self.engines[engine].is_alive && self.engines[engine].start == start {
                    self.end_engine(engine, part);
                }
            }
            Event::EngineReturn { engine } => {
                self.engines[engine].is_alive = true;
                self.engines[engine].start = self.rng.random();
            }
            Event::Progress => self.handle_progress(),
            Event::Exchange { instance } => self.handle_exchange(instance),
            Event::Delivery(delivery) => self.handle_delivery(delivery),
            Event::Record => {
                let mut digest = self.instances[0].quarantine.digest(self.now_ms);
                digest.ends.clear();
                digest.cleared.clear();
                digest.alive.clear();
                self.record = Some((Rc::new(digest), self.now_ms));
                if self.is_running() {
                    self.schedule_in(RECORD_INTERVAL_MS, Event::Record);
                }
            }
            Event::Trouble(trouble) => self.handle_trouble(trouble),
        }
    }

    fn is_current(&self, request: usize, attempt: u32) -> bool {
        let state = &self.requests[request];
        state.attempt == attempt && state.engine.is_some()
    }

    fn handle_arrival(&mut self, prompt: Prompt) {
        let instance = self.rng.random_range(0..self.instances.len());
        if prompt.crashing_part.is_none() {
            self.report.requests += 1;
        }
        let number = self.requests.len() as u64;
        self.requests.push(Request::new(number, instance, prompt, self.now_ms));
        self.send(self.requests.len() - 1);
    }

    /// Sends a request to an engine unless a part of its prompt is quarantined.
    fn send(&mut self, request: usize) {
        let now_ms = self.now_ms;
        let state = &self.requests[request];
        let (index, is_sound) = (state.instance, state.prompt.crashing_part.is_none());
        if self.policy.quarantine.is_some() {
            let instance = &mut self.instances[index];
            if instance.quarantine.check(state.items(), now_ms).is_some() {
                self.report.rejected_sound_requests += u64::from(is_sound);
                return;
            }
            let hash = state.request_hash();
            let admission = match state.attempt {
                0 => instance.quarantine.admit(hash, now_ms),
                _ => SuspectAdmission::Send,
            };
            let probed_at_ms = self.probed.get(&hash).copied();
            let admission = match admission {
                SuspectAdmission::Probe
                    if probed_at_ms.is_none_or(|at_ms| now_ms >= at_ms + PROBE_INTERVAL_MS) =>
                {
                    self.probed.insert(hash, now_ms);
                    SuspectAdmission::Send
                }
                other => other,
            };
            if admission != SuspectAdmission::Send {
                self.report.held_sound_requests += u64::from(is_sound);
                return;
            }
            if self.policy.limits_suspected && self.is_suspect_in_flight(request) {
                return;
            }
        }
        let Some(engine) = self.choose_engine(request) else { return };
        self.count_late_attempt(request);
        let state = &mut self.requests[request];
        state.attempt += 1;
        state.engine = Some(engine);
        state.start = self.engines[engine].start;
        state.first_byte_at_ms = None;
        state.is_begun = false;
        let attempt = state.attempt;
        self.engines[engine].in_flight.insert(request);
        self.instances[index].in_flight.insert(request);
        let read_ms = self.rng.random_range(50..=150);
        self.schedule_in(read_ms, Event::FirstByte { request, attempt });
    }

    /// Returns whether the instance has a request in flight that shares a suspected part with this one.
    fn is_suspect_in_flight(&self, request: usize) -> bool {
        let state = &self.requests[request];
        let instance = &self.instances[state.instance];
        let is_suspected = |part: &&u64| instance.quarantine.is_suspected(&[**part]);
        state.prompt.parts.iter().filter(is_suspected).any(|part| {
            instance.in_flight.iter().any(|other| self.requests[*other].prompt.parts.contains(part))
        })
    }

    /// Chooses the engine that has probably cached the prompt, or the less loaded one of two.
    fn choose_engine(&mut self, request: usize) -> Option<usize> {
        let zone = self.instances[self.requests[request].instance].zone;
        let count = self.engines.len();
        let find_usable = |from: usize| {
            (0..count).map(|offset| (from + offset) % count).find(|engine| {
                let engine = &self.engines[*engine];
                let is_cut = self.cut_zone.is_some_and(|cut| (cut == zone) != (cut == engine.zone));
                engine.is_alive && !is_cut
            })
        };
        if self.requests[request].attempt == 0 && self.rng.random_bool(0.6) {
            let subject = self.requests[request].prompt.parts.last().copied().unwrap_or_default();
            return find_usable((subject % count as u64) as usize);
        }
        let one = find_usable(self.rng.random_range(0..count))?;
        let other = find_usable(self.rng.random_range(0..count))?;
        let load = |engine: usize| self.engines[engine].in_flight.len();
        Some(if load(one) <= load(other) { one } else { other })
    }

    fn count_late_attempt(&mut self, request: usize) {
        let state = &self.requests[request];
        let Some(part) = state.prompt.crashing_part else { return };
        let is_late = self.report.fifth_end_ms[part]
            .is_some_and(|fifth_ms| self.now_ms >= fifth_ms + CONTACT_MS);
        let zone = self.instances[state.instance].zone;
        let in_touch_from_ms = self.out_of_touch.get(&zone).copied().unwrap_or_default();
        if is_late && self.now_ms >= in_touch_from_ms {
            self.report.late_attempts[part] += 1;
        }
    }

    fn is_crashing(&self, part: usize) -> bool {
        self.now_ms >= self.pattern.crashing_parts[part].crashes_from_ms
    }

    fn handle_first_byte(&mut self, request: usize, attempt: u32) {
        if !self.is_current(request, attempt) {
            return;
        }
        let state = &mut self.requests[request];
        state.first_byte_at_ms = Some(self.now_ms);
        let Some(engine) = state.engine else { return };
        let start = state.start;
        let crashing_part = state.prompt.crashing_part.filter(|part| self.is_crashing(*part));
        if crashing_part.is_some() {
            let delay_ms = self.rng.random_range(0..=20);
            self.schedule_in(delay_ms, Event::EngineEnd { engine, start, part: crashing_part });
            return;
        }
        if self.engines[engine].is_faulty && self.rng.random_bool(self.broken_share) {
            let delay_ms = self.rng.random_range(0..BEGINNING_MS);
            self.schedule_in(delay_ms, Event::Broken { request, attempt });
            return;
        }
        self.schedule_in(BEGINNING_MS, Event::Begun { request, attempt });
        let write_ms = self.rng.random_range(200..=2_000);
        self.schedule_in(write_ms, Event::Finished { request, attempt });
    }

    fn handle_begun(&mut self, request: usize, attempt: u32) {
        if !self.is_current(request, attempt) {
            return;
        }
        let state = &mut self.requests[request];
        state.is_begun = true;
        state.is_first_attempt_begun |= attempt == 1;
        if self.policy.clears_parts {
            let begun_at_ms = state.first_byte_at_ms.unwrap_or(self.now_ms);
            let quarantine = &mut self.instances[state.instance].quarantine;
            let items = state.items();
            let changes = quarantine.record_begun(SERVICE, items, begun_at_ms, self.now_ms);
            let index = state.instance;
            self.record_verdicts(index, &changes);
        }
    }

    /// Takes a request from its engine.
    pub fn release(&mut self, request: usize) {
        let state = &mut self.requests[request];
        if let Some(engine) = state.engine.take() {
            self.engines[engine].in_flight.remove(&request);
            self.instances[state.instance].in_flight.remove(&request);
        }
    }

    fn handle_broken(&mut self, request: usize, attempt: u32) {
        if !self.is_current(request, attempt) {
            return;
        }
        self.release(request);
        let state = &mut self.requests[request];
        let instance = &mut self.instances[state.instance];
        state.broken_beginnings += u32::from(!state.is_begun);
        if self.policy.quarantine.is_some() && !state.is_begun {
            let changes = instance.quarantine.record_broken_beginning(
                SERVICE,
                state.start,
                state.items(),
                self.now_ms,
            );
            let index = state.instance;
            self.record_verdicts(index, &changes);
        }
        let state = &self.requests[request];
        let quarantine = &self.instances[state.instance].quarantine;
        let may_repeat = match (self.policy.quarantine, state.broken_beginnings) {
            (None, _) | (_, 0) => true,
            (_, 1) => !quarantine.is_suspected(state.items()),
            _ => false,
        };
        if may_repeat && state.attempt < MAX_ATTEMPTS {
            self.send(request);
        }
    }

    /// Ends an engine, and with some delay the attempts at it.
    pub fn end_engine(&mut self, engine: usize, part: Option<usize>) {
        self.report.ended_engines += 1;
        self.engines[engine].is_alive = false;
        for request in self.engines[engine].in_flight.clone() {
            let attempt = self.requests[request].attempt;
            let delay_ms = self.rng.random_range(0..=8);
            self.schedule_in(delay_ms, Event::Broken { request, attempt });
        }
        self.schedule_in(ENGINE_RESTART_MS, Event::EngineReturn { engine });
        let Some(part) = part else { return };
        self.report.ended_by_part[part] += 1;
        let allowed_ends = match self.pattern.crashing_parts[part].is_request {
            true => ALLOWED_REQUEST_ENDS,
            false => ALLOWED_ENDS,
        };
        if self.report.ended_by_part[part] == allowed_ends {
            self.report.fifth_end_ms[part] = Some(self.now_ms);
            for index in 0..self.pattern.troubles.len() {
                self.schedule_trouble(index, Some(TroubleStart::FifthCrash));
            }
        }
    }

    fn handle_progress(&mut self) {
        for engine in self.engines.iter().filter(|engine| engine.is_alive) {
            for request in &engine.in_flight {
                let state = &self.requests[*request];
                let quarantine = &mut self.instances[state.instance].quarantine;
                if state.first_byte_at_ms.is_some() && quarantine.has_ends() {
                    quarantine.record_progress(state.start, self.now_ms);
                }
            }
        }
        if self.is_running() {
            self.schedule_in(PROGRESS_INTERVAL_MS, Event::Progress);
        }
    }

    /// Notes the verdicts of an instance.
    pub fn record_verdicts(&mut self, instance: usize, changes: &[QuarantineChange]) {
        for change in changes {
            let QuarantineChange::Found { part, starts, span_ms } = *change else { continue };
            let index = self.workload.crashing_parts.iter().position(|known| *known == part);
            let is_right = index.is_some_and(|index| self.is_crashing(index));
            let at_ms = self.now_ms;
            let is_poll = self.workload.polls.contains(&part);
            let verdict = Verdict { at_ms, instance, part, starts, span_ms, is_right, is_poll };
            self.report.verdicts.push(verdict);
        }
    }

    fn into_report(self) -> CrashReport {
        let mut report = self.report;
        let last_fifth_ms = report.fifth_end_ms.iter().flatten().max();
        let from_ms = last_fifth_ms.map_or(0, |fifth_ms| fifth_ms + 2 * CONTACT_MS);
        let siblings = self
            .requests
            .iter()
            .filter(|request| request.prompt.is_sibling && request.arrived_at_ms >= from_ms);
        for request in siblings {
            report.sibling_requests += 1;
            report.begun_sibling_requests += u64::from(request.is_first_attempt_begun);
        }
        report
    }
}
