//! Plays a load pattern.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use hickorycourse_placement::{Admission, AttemptOutcome, Placement, PlacementRequest};
use hickorycourse_relay::digest_period_ms;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::engine::Engine;
use crate::pattern::{CallerGroup, Comeback, Fault, LoadPattern};
use crate::relay::{Policy, Relay, engine_id};
use crate::report::{GroupReport, Report};
use crate::request::{Outcome, Place, Request, draw_requests};

/// Attempts that a caller makes before it gives up.
const ATTEMPTS_MOST: u32 = 5;
/// Engines that one attempt is sent to in vain before it fails.
const DIALS_MOST: usize = 3;
/// Time after which an engine that doesn't answer is given up.
const DIAL_LIMIT_MS: u64 = 250;
/// Time on the way of a caller that comes back at once.
const AT_ONCE_MS: u64 = 20;
/// Part of its time that a caller waits before it comes back, at most.
const WAIT_PART: u64 = 3;
/// Waiting time told by the baseline.
const BASELINE_WAIT_MS: u64 = 500;
/// Time until the list of upstreams shows that an engine is gone.
const LISTED_MS: u64 = 1_500;
/// Shortest time between two digests.
const DIGEST_LEAST_MS: u64 = 50;

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive { request: usize },
    Prefilled { engine: usize, request: usize, attempt: u32 },
    Finished { engine: usize, request: usize, attempt: u32 },
    Silent { request: usize, attempt: u32 },
    Leave { request: usize },
    Digest { relay: usize },
    Lose { count: usize },
    List,
    Cut { zone: usize },
}

struct World<'a> {
    pattern: &'a LoadPattern,
    policy: Policy,
    random: ChaCha8Rng,
    now_ms: u64,
    serial: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    relays: Vec<Relay>,
    told_at_ms: Vec<u64>,
    engines: Vec<Engine>,
    requests: Vec<Request>,
    report: Report,
}

/// Plays a pattern until all requests have ended.
///
/// # Errors
/// If a histogram can't be made.
pub fn run(pattern: &LoadPattern, policy: Policy, seed: u64) -> eyre::Result<Report> {
    let mut world = World::new(pattern, policy, seed)?;
    while let Some(Reverse((at_ms, _, event))) = world.events.pop() {
        world.now_ms = at_ms;
        world.play(event);
    }
    Ok(world.report)
}

impl<'a> World<'a> {
    fn new(pattern: &'a LoadPattern, policy: Policy, seed: u64) -> eyre::Result<Self> {
        let engines: Vec<Engine> =
            (0..pattern.engines).map(|number| Engine::new(number % pattern.zones)).collect();
        let relays =
            (0..pattern.relays).map(|number| Relay::new(pattern, number % pattern.zones, policy));
        let mut report = Report::default();
        for group in &pattern.groups {
            report.groups.insert(group.name, GroupReport::new()?);
        }
        let mut world = Self {
            pattern,
            policy,
            random: ChaCha8Rng::seed_from_u64(seed),
            now_ms: 0,
            serial: 0,
            events: BinaryHeap::new(),
            relays: relays.collect(),
            told_at_ms: vec![0; pattern.relays],
            engines,
            requests: Vec::new(),
            report,
        };
        world.list_engines();
        world.schedule_faults();
        for relay in 0..pattern.relays {
            let first_ms = world.random.random_range(0..digest_period_ms(pattern.relays));
            world.schedule(first_ms, Event::Digest { relay });
        }
        for group in 0..pattern.groups.len() {
            world.schedule_group(group);
        }
        Ok(world)
    }

    fn schedule(&mut self, at_ms: u64, event: Event) {
        self.serial += 1;
        self.events.push(Reverse((at_ms, self.serial, event)));
    }

    fn schedule_faults(&mut self) {
        for fault in self.pattern.faults.clone() {
            match fault {
                Fault::EnginesLost { at_ms, count } => {
                    self.schedule(at_ms, Event::Lose { count });
                    let shown_ms = at_ms + LISTED_MS;
                    let back_ms = self.pattern.store_back_ms(shown_ms);
                    self.schedule(back_ms.unwrap_or(shown_ms), Event::List);
                }
                Fault::ZoneCut { zone, from_ms, .. } => {
                    self.schedule(from_ms, Event::Cut { zone });
                }
                Fault::StoreOut { .. } => {}
            }
        }
    }

    fn schedule_group(&mut self, index: usize) {
        let first = self.requests.len();
        self.requests.extend(draw_requests(self.pattern, index, first, &mut self.random));
        for request in first..self.requests.len() {
            let at_ms = self.requests[request].first_at_ms;
            self.schedule(at_ms, Event::Arrive { request });
            let patience_ms = self.pattern.groups[index].patience_ms;
            self.schedule(at_ms + patience_ms, Event::Leave { request });
        }
    }

    fn group(&self, request: usize) -> &'a CallerGroup {
        &self.pattern.groups[self.requests[request].group]
    }

    fn play(&mut self, event: Event) {
        match event {
            Event::Arrive { request } => self.arrive(request),
            Event::Prefilled { engine, request, attempt } => {
                self.begin_answer(engine, request, attempt);
            }
            Event::Finished { engine, request, attempt } => {
                if self.is_current(request, attempt) {
                    self.engines[engine].drop_request(request);
                    self.release(request, AttemptOutcome::Answered);
                    self.end(request, Outcome::Answered);
                    self.read_next(engine);
                }
            }
            Event::Silent { request, attempt } => {
                if self.is_current(request, attempt) {
                    self.release(request, AttemptOutcome::Unresponsive);
                    self.place(request);
                }
            }
            Event::Leave { request } => self.leave(request),
            Event::Digest { relay } => {
                self.tell(relay);
                if self.now_ms < self.pattern.length_ms {
                    self.schedule(
                        self.now_ms + digest_period_ms(self.pattern.relays),
                        Event::Digest { relay },
                    );
                }
            }
            Event::Lose { count } => self.lose(count),
            Event::List => self.list_engines(),
            Event::Cut { zone } => self.cut(zone),
        }
    }

    fn is_current(&self, request: usize, attempt: u32) -> bool {
        let known = &self.requests[request];
        !known.is_ended && known.attempt == attempt && known.place.is_some()
    }

    fn list_engines(&mut self) {
        for relay in &mut self.relays {
            let alive = self.engines.iter().enumerate().filter(|(_, engine)| engine.is_alive);
            relay.set_engines(alive.map(|(number, engine)| (number, engine.zone)));
        }
    }

    fn arrive(&mut self, request: usize) {
        if self.requests[request].is_ended {
            return;
        }
        self.report.attempts += 1;
        if self.requests[request].attempt > 0 {
            *self.report.comebacks.entry(self.now_ms / 100).or_default() += 1;
        } else {
            self.count(request, |group| group.asked += 1);
        }
        self.requests[request].attempt += 1;
        self.requests[request].excluded.clear();
        self.requests[request].arrived_at_ms = self.now_ms;
        self.place(request);
    }

    fn pick_relay(&mut self, zone: usize) -> usize {
        let each = self.pattern.relays / self.pattern.zones;
        zone + self.random.random_range(0..each.max(1)) * self.pattern.zones
    }

    /// Takes the cap, chooses an engine and sends, or refuses.
    fn place(&mut self, request: usize) {
        let group = self.group(request);
        let relay = self.pick_relay(self.requests[request].zone);
        let tokens = group.shared_tokens + group.own_tokens + group.output_tokens;
        if self.requests[request].excluded.is_empty() && !self.take_cap(request, relay, tokens) {
            return;
        }
        let known = &self.requests[request];
        let wanted = PlacementRequest {
            parts: &known.parts,
            prompt_tokens: group.shared_tokens + group.own_tokens,
            urgency: group.urgency,
            excluded: &known.excluded,
        };
        let book = &mut self.relays[relay].book;
        let chosen = book.choose(&wanted, self.now_ms);
        let Some(placement) = chosen.filter(|_| known.excluded.len() < DIALS_MOST) else {
            self.end(request, Outcome::Failed);
            return;
        };
        book.record_arrival(group.urgency, placement.uncached_tokens, self.now_ms);
        let waited_ms = self.now_ms - known.arrived_at_ms;
        let forecast = placement.forecast(waited_ms, group.target_ms, group.patience_ms);
        if let Admission::Refuse { retry_after_ms } = book.admit(&forecast, self.now_ms) {
            if let Some(cap) = self.relays[relay].caps.get_mut(group.organisation) {
                cap.refund(tokens as f64);
            }
            self.refuse(request, retry_after_ms);
            return;
        }
        book.begin_attempt(&placement, &wanted, self.now_ms);
        self.send(request, relay, placement);
    }

    fn take_cap(&mut self, request: usize, relay: usize, tokens: u64) -> bool {
        let group = self.group(request);
        let (instances, now_ms) = (self.pattern.relays, self.now_ms);
        let Some(cap) = self.relays[relay].caps.get_mut(group.organisation) else { return true };
        let taken = cap.try_acquire(tokens as f64, group.urgency, instances, now_ms);
        let must_tell = cap.is_broadcast_due();
        if must_tell && now_ms >= self.told_at_ms[relay] + DIGEST_LEAST_MS {
            self.tell(relay);
        }
        if let Err(wait_ms) = taken {
            self.refuse(request, wait_ms);
            return false;
        }
        let seconds = self.report.cap_tokens.entry(group.organisation).or_default();
        *seconds.entry(now_ms / 1_000).or_default() += tokens as f64;
        true
    }

    fn send(&mut self, request: usize, relay: usize, placement: Placement) {
        let engine = (0..self.engines.len())
            .find(|number| engine_id(*number) == placement.upstream)
            .unwrap_or_default();
        let is_linked = {
            let (from, to) = (self.relays[relay].zone, self.engines[engine].zone);
            self.report.sent += 1;
            self.report.sent_far += u64::from(from != to);
            self.pattern.is_linked(from, to, self.now_ms)
        };
        let known = &mut self.requests[request];
        known.excluded.push(placement.upstream.clone());
        known.place = Some(Place { relay, engine, placement });
        let attempt = known.attempt;
        if !is_linked {
            self.schedule(self.now_ms + DIAL_LIMIT_MS, Event::Silent { request, attempt });
        } else if !self.engines[engine].is_alive {
            self.schedule(self.now_ms, Event::Silent { request, attempt });
        } else {
            let urgency = self.group(request).urgency;
            self.engines[engine].enqueue(request, urgency);
            self.read_next(engine);
        }
    }

    fn read_next(&mut self, engine: usize) {
        let requests = &self.requests;
        let reading = self.engines[engine]
            .start_reading(|request| requests[request].parts.as_slice(), self.now_ms);
        let Some(reading) = reading else { return };
        self.report.read_tokens += reading.read_tokens;
        self.report.shared_tokens += reading.shared_tokens;
        let request = reading.request;
        let attempt = self.requests[request].attempt;
        self.schedule(reading.until_ms, Event::Prefilled { engine, request, attempt });
    }

    fn begin_answer(&mut self, engine: usize, request: usize, attempt: u32) {
        if self.engines[engine].reading != Some(request) || !self.is_current(request, attempt) {
            return;
        }
        self.engines[engine].reading = None;
        let group = self.group(request);
        let known = &mut self.requests[request];
        known.first_byte_at_ms = Some(self.now_ms);
        if let Some(place) = &known.place {
            let book = &mut self.relays[place.relay].book;
            book.record_first_byte(&place.placement, self.now_ms);
        }
        let done_ms = self.now_ms + self.engines[engine].answer_ms(group.output_tokens);
        self.schedule(done_ms, Event::Finished { engine, request, attempt });
        self.read_next(engine);
    }

    /// Gives the place back that a request holds.
    fn release(&mut self, request: usize, end: AttemptOutcome) {
        let has_first_byte = self.requests[request].first_byte_at_ms.is_some();
        if let Some(place) = self.requests[request].place.take() {
            let book = &mut self.relays[place.relay].book;
            book.end_attempt(&place.placement, has_first_byte, end, self.now_ms);
        }
    }

    /// Refuses a request; its caller comes back as its group does.
    fn refuse(&mut self, request: usize, retry_after_ms: u64) {
        let group = self.group(request);
        let known = &self.requests[request];
        let left_ms = (known.first_at_ms + group.patience_ms).saturating_sub(self.now_ms);
        let told_ms = match self.policy {
            Policy::Baseline => BASELINE_WAIT_MS,
            Policy::Chosen => retry_after_ms,
        };
        let wait_ms = match group.comeback {
            Comeback::Never => None,
            Comeback::AtOnce => Some(AT_ONCE_MS),
            Comeback::WhenTold => Some(told_ms.min(left_ms / WAIT_PART)),
        };
        let wait_ms = wait_ms.filter(|wait_ms| *wait_ms < left_ms);
        match wait_ms.filter(|_| known.attempt < ATTEMPTS_MOST) {
            Some(wait_ms) => self.schedule(self.now_ms + wait_ms, Event::Arrive { request }),
            None => self.end(request, Outcome::Refused),
        }
    }

    /// The caller's time is over: it leaves unless its answer has begun.
    fn leave(&mut self, request: usize) {
        let known = &self.requests[request];
        if known.is_ended || known.first_byte_at_ms.is_some() {
            return;
        }
        match known.place.as_ref().map(|place| place.engine) {
            None => self.end(request, Outcome::Refused),
            Some(engine) => {
                self.engines[engine].drop_request(request);
                self.release(request, AttemptOutcome::Cancelled);
                self.end(request, Outcome::Left);
                self.read_next(engine);
            }
        }
    }

    fn lose(&mut self, count: usize) {
        for engine in 0..count.min(self.engines.len()) {
            for request in self.engines[engine].kill() {
                self.release(request, AttemptOutcome::Failed);
                self.end(request, Outcome::Failed);
            }
        }
    }

    /// Breaks what runs between a zone and the others.
    fn cut(&mut self, zone: usize) {
        for request in 0..self.requests.len() {
            let Some(place) = &self.requests[request].place else { continue };
            let (from, to) = (self.relays[place.relay].zone, self.engines[place.engine].zone);
            if (from == zone) != (to == zone) {
                let engine = place.engine;
                self.engines[engine].drop_request(request);
                self.release(request, AttemptOutcome::Failed);
                self.end(request, Outcome::Failed);
                self.read_next(engine);
            }
        }
    }

    /// Tells the other relays that can be reached.
    fn tell(&mut self, from: usize) {
        self.told_at_ms[from] = self.now_ms;
        let name = format!("relay-{from}");
        let relay = &mut self.relays[from];
        let zone = relay.zone;
        let loads: Vec<_> =
            relay.book.own_loads().map(|(id, load)| (id.to_owned(), load)).collect();
        let work = relay.book.own_demand(self.now_ms);
        let totals: Vec<_> = relay
            .caps
            .iter_mut()
            .map(|(organisation, cap)| (*organisation, cap.broadcast_totals()))
            .collect();
        for (number, to) in self.relays.iter_mut().enumerate() {
            if number == from || !self.pattern.is_linked(zone, to.zone, self.now_ms) {
                continue;
            }
            to.book.clear_peer(&name);
            to.book.set_peer_demand(&name, work.clone());
            for (id, load) in &loads {
                to.book.set_peer_load(&name, id, load.clone(), self.now_ms);
            }
            for (organisation, total) in &totals {
                if let Some(cap) = to.caps.get_mut(organisation) {
                    cap.apply_report(&name, 1, *total, self.now_ms);
                }
            }
        }
    }

    fn count(&mut self, request: usize, add: impl FnOnce(&mut GroupReport)) {
        let name = self.group(request).name;
        if let Some(group) = self.report.groups.get_mut(name) {
            add(group);
        }
    }

    fn end(&mut self, request: usize, outcome: Outcome) {
        let group = self.group(request);
        let known = &mut self.requests[request];
        if std::mem::replace(&mut known.is_ended, true) {
            return;
        }
        let first_byte_ms = known.first_byte_at_ms.map(|at_ms| at_ms - known.first_at_ms);
        self.count(request, |report| match (outcome, first_byte_ms) {
            (Outcome::Answered, Some(first_byte_ms)) => {
                let is_on_time = first_byte_ms <= group.target_ms;
                report.on_time += u64::from(is_on_time);
                report.late += u64::from(!is_on_time);
                report.tokens += group.shared_tokens + group.own_tokens + group.output_tokens;
                report.first_byte_ms.saturating_record(first_byte_ms);
            }
            (Outcome::Refused, _) => report.refused += 1,
            (Outcome::Left, _) => report.left += 1,
            (Outcome::Failed | Outcome::Answered, _) => report.failed += 1,
        });
    }
}
