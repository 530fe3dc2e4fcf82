//! The simulation of limits.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use hickorycourse_permits::{Claim, Grant, RateLimit, claim_pause_ms};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::fleet::{Bucket, Fleet, ZONES};
use super::{LimitPattern, LimitPolicy, LimitReport, LimitTrouble};

const DURATION_MS: u64 = 30_000;
/// Time from which requests count, after the limits were named.
const CONTACT_MS: u64 = 3_000;
const WINDOW_MS: u64 = 4_000;
/// Upstreams at which a request claims a permit, at most.
const MAX_CLAIMS: u32 = 4;
const CLAIM_TIMEOUT_MS: u64 = 200;
const UNANSWERED_CLAIM_MS: u64 = 250;
const UNKNOWN_ISSUER_WAIT_MS: u64 = 300;
/// Time that a request can wait for its permit.
const MAX_WAIT_MS: u64 = 150;
/// Silence after which an instance is taken for gone, and the spread of what others know.
const SILENCE_MS: u64 = 2_500;
const REPORT_MS: std::ops::Range<u64> = 100..1_200;
const SECOND_MS: u64 = 1_000;

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrival,
    Attempt { instance: usize, claims: u32 },
    Claim { issuer: usize, instance: usize, upstream: usize, claims: u32, sent_at_ms: u64 },
    Reply { instance: usize, upstream: usize, claims: u32, reply: Reply },
    Send { instance: usize, upstream: usize },
    View { viewer: usize, subject: usize, is_gone: bool },
    Trouble { step: u64 },
    Heal { instance: usize },
    Tick,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Reply {
    Granted { wait_ms: u64 },
    Denied { available_in_ms: u64 },
}

struct Simulation {
    pattern: LimitPattern,
    policy: LimitPolicy,
    limit: RateLimit,
    random: ChaCha8Rng,
    fleet: Fleet,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    now_ms: u64,
    /// Times of the requests that count, by upstream, and the number of all.
    sent: Vec<Vec<u64>>,
    all_sent: u64,
    messages: u64,
}

/// Simulates a pattern.
pub fn run_limits(pattern: &LimitPattern, policy: LimitPolicy, seed: u64) -> Option<LimitReport> {
    let running = match pattern.trouble {
        LimitTrouble::Joins => pattern.instances.saturating_sub(20).max(pattern.instances / 2),
        _ => pattern.instances,
    };
    let mut simulation = Simulation {
        pattern: *pattern,
        policy,
        limit: RateLimit::new(pattern.per_second)?,
        random: ChaCha8Rng::seed_from_u64(seed),
        fleet: Fleet::new(pattern.instances, running),
        events: BinaryHeap::new(),
        sequence: 0,
        now_ms: 0,
        sent: vec![Vec::new(); pattern.upstreams],
        all_sent: 0,
        messages: 0,
    };
    simulation.schedule(0, Event::Arrival);
    simulation.schedule(0, Event::Tick);
    if pattern.trouble != LimitTrouble::None {
        simulation.schedule(CONTACT_MS + SECOND_MS, Event::Trouble { step: 0 });
    }
    simulation.run();
    Some(simulation.report())
}

impl Simulation {
    fn schedule(&mut self, delay_ms: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((self.now_ms + delay_ms, self.sequence, event)));
    }

    fn run(&mut self) {
        while let Some(Reverse((at_ms, _, event))) = self.events.pop() {
            if at_ms >= DURATION_MS {
                return;
            }
            self.now_ms = at_ms;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.handle_arrival(),
            Event::Attempt { instance, claims } => self.attempt(instance, claims),
            Event::Claim { issuer, instance, upstream, claims, sent_at_ms } => {
                self.handle_claim(issuer, instance, upstream, claims, sent_at_ms);
            }
            Event::Reply { instance, upstream, claims, reply } => {
                self.handle_reply(instance, upstream, claims, reply);
            }
            Event::Send { instance, upstream } => self.send(instance, upstream),
            Event::View { viewer, subject, is_gone } => {
                let gone = &mut self.fleet.instances[viewer].gone;
                if is_gone {
                    gone.insert(subject)
                } else {
                    gone.remove(&subject)
                };
            }
            Event::Trouble { step } => self.trouble(step),
            Event::Heal { instance } => self.heal(instance),
            Event::Tick => self.tick(),
        }
    }

    fn handle_arrival(&mut self) {
        let rate =
            self.pattern.demand * self.pattern.upstreams as f64 * self.limit.granted_per_second()
                / 1_000.0;
        // Several may arrive in a millisecond.
        let count = rate.floor() + f64::from(u8::from(self.random.random_bool(rate.fract())));
        for _ in 0..count as u64 {
            let instance = self.random.random_range(0..self.pattern.instances);
            self.attempt(instance, 0);
        }
        self.schedule(1, Event::Arrival);
    }

    fn attempt(&mut self, instance: usize, claims: u32) {
        let now_ms = self.now_ms;
        if claims >= MAX_CLAIMS || !self.fleet.instances[instance].is_working(now_ms) {
            return;
        }
        let offset = self.random.random_range(0..self.pattern.upstreams);
        let denied = &self.fleet.instances[instance].denied_until_ms;
        let upstream = (0..self.pattern.upstreams)
            .map(|index| (index + offset) % self.pattern.upstreams)
            .find(|upstream| denied.get(upstream).is_none_or(|until_ms| *until_ms <= now_ms));
        let Some(upstream) = upstream else { return };
        match self.policy {
            LimitPolicy::Issuer => self.claim(instance, upstream, claims),
            LimitPolicy::Holders | LimitPolicy::Even => match self.take_share(instance, upstream) {
                true => self.send(instance, upstream),
                false => self.attempt(instance, claims + 1),
            },
        }
    }

    fn claim(&mut self, instance: usize, upstream: usize, claims: u32) {
        let Some(issuer) = self.fleet.ranked(instance, upstream, 1).first().copied() else {
            return;
        };
        let sent_at_ms = self.now_ms;
        if issuer == instance {
            self.handle_claim(issuer, instance, upstream, claims, sent_at_ms);
        } else if self.is_delivered(instance, issuer) {
            let delay_ms = self.delay_ms(instance, issuer);
            let claim = Event::Claim { issuer, instance, upstream, claims, sent_at_ms };
            self.schedule(delay_ms, claim);
        } else {
            self.time_out(instance, upstream, claims, sent_at_ms);
        }
    }

    fn time_out(&mut self, instance: usize, upstream: usize, claims: u32, sent_at_ms: u64) {
        let delay_ms = (sent_at_ms + CLAIM_TIMEOUT_MS).saturating_sub(self.now_ms);
        let reply = Reply::Denied { available_in_ms: UNANSWERED_CLAIM_MS };
        self.schedule(delay_ms, Event::Reply { instance, upstream, claims, reply });
    }

    fn is_delivered(&mut self, from: usize, to: usize) -> bool {
        self.messages += 1;
        let lost = if self.pattern.trouble == LimitTrouble::Loss { 0.2 } else { 0.005 };
        let is_cut = self.fleet.instances[from].is_cut != self.fleet.instances[to].is_cut;
        !is_cut && !self.random.random_bool(lost)
    }

    fn delay_ms(&mut self, from: usize, to: usize) -> u64 {
        match from % ZONES == to % ZONES {
            true => self.random.random_range(1..3),
            false => self.random.random_range(3..15),
        }
    }

    fn handle_claim(
        &mut self,
        issuer: usize,
        instance: usize,
        upstream: usize,
        claims: u32,
        sent_at_ms: u64,
    ) {
        if !self.fleet.instances[issuer].is_working(self.now_ms) {
            self.time_out(instance, upstream, claims, sent_at_ms);
            return;
        }
        let reply = match self.fleet.ranked(issuer, upstream, 1).first() == Some(&issuer) {
            false => Reply::Denied { available_in_ms: UNKNOWN_ISSUER_WAIT_MS },
            true => {
                let organisation = instance as u64 % 5;
                let claim = Claim { urgency: 1, organisation, max_wait_ms: MAX_WAIT_MS };
                let grants = &mut self.fleet.instances[issuer].issuer;
                let id = format!("i-{upstream}");
                match grants.claim(&id, None, self.limit, &claim, self.now_ms) {
                    Grant::Granted { wait_ms } => Reply::Granted { wait_ms },
                    Grant::Denied { available_in_ms } => Reply::Denied { available_in_ms },
                }
            }
        };
        if issuer == instance {
            self.handle_reply(instance, upstream, claims, reply);
        } else if self.is_delivered(issuer, instance) {
            let delay_ms = self.delay_ms(issuer, instance);
            self.schedule(delay_ms, Event::Reply { instance, upstream, claims, reply });
        } else {
            self.time_out(instance, upstream, claims, sent_at_ms);
        }
    }

    fn handle_reply(&mut self, instance: usize, upstream: usize, claims: u32, reply: Reply) {
        match reply {
            Reply::Granted { wait_ms } => {
                self.schedule(wait_ms, Event::Send { instance, upstream });
            }
            Reply::Denied { available_in_ms } => {
                let present = self.fleet.present(instance);
                let pause_ms = claim_pause_ms(self.limit, present, available_in_ms, MAX_WAIT_MS);
                let until_ms = self.now_ms + pause_ms;
                let state = &mut self.fleet.instances[instance];
                state.denied_until_ms.insert(upstream, until_ms);
                self.schedule(0, Event::Attempt { instance, claims: claims + 1 });
            }
        }
    }

    /// Takes a request from the instance's share of a limit.
    fn take_share(&mut self, instance: usize, upstream: usize) -> bool {
        let holders = match self.policy {
            LimitPolicy::Holders => {
                let ranked = self.fleet.ranked(instance, upstream, self.pattern.holders());
                if !ranked.contains(&instance) {
                    self.fleet.instances[instance].buckets.remove(&upstream);
                    return false;
                }
                ranked.len()
            }
            LimitPolicy::Issuer | LimitPolicy::Even => self.fleet.present(instance),
        };
        let now_ms = self.now_ms;
        let per_ms = self.limit.granted_per_second() / 1_000.0 / holders as f64;
        // A new holder begins without a request, as the one before may just have used its share.
        let bucket = self.fleet.instances[instance]
            .buckets
            .entry(upstream)
            .or_insert(Bucket { level: 0.0, filled_at_ms: now_ms });
        let filled = (now_ms - bucket.filled_at_ms) as f64 * per_ms;
        bucket.level = (bucket.level + filled).min(1.0);
        bucket.filled_at_ms = now_ms;
        let is_taken = bucket.level >= 1.0;
        if is_taken {
            bucket.level -= 1.0;
        }
        is_taken
    }

    fn send(&mut self, instance: usize, upstream: usize) {
        let state = &self.fleet.instances[instance];
        if !state.is_working(self.now_ms) {
            return;
        }
        self.all_sent += u64::from(self.now_ms >= CONTACT_MS);
        if self.now_ms >= CONTACT_MS && self.now_ms >= state.excused_until_ms {
            self.sent[upstream].push(self.now_ms);
        }
    }

    /// Forgets the schedules of permits that other instances grant now.
    fn tick(&mut self) {
        for index in 0..self.pattern.instances {
            let mut issuer = std::mem::take(&mut self.fleet.instances[index].issuer);
            let fleet = &mut self.fleet;
            let mut is_first = vec![false; self.pattern.upstreams];
            for (upstream, is_first) in is_first.iter_mut().enumerate() {
                *is_first = fleet.ranked(index, upstream, 1).first() == Some(&index);
            }
            issuer.retain(self.now_ms, |id, _| {
                let upstream = id.strip_prefix("i-").and_then(|number| number.parse().ok());
                upstream.is_some_and(|upstream: usize| is_first[upstream])
            });
            self.fleet.instances[index].issuer = issuer;
        }
        self.schedule(400, Event::Tick);
    }

    /// Lets all others learn that an instance is gone or back.
    fn tell_all(&mut self, subject: usize, is_gone: bool, after_ms: u64) {
        for viewer in (0..self.pattern.instances).filter(|viewer| *viewer != subject) {
            let delay_ms = after_ms + self.random.random_range(REPORT_MS);
            self.schedule(delay_ms, Event::View { viewer, subject, is_gone });
        }
    }

    /// Lets the others that hear nothing of a frozen instance for long enough take it for gone until they
    /// hear of it again.
    fn tell_frozen(&mut self, subject: usize) {
        for viewer in (0..self.pattern.instances).filter(|viewer| *viewer != subject) {
            let gone_ms = SILENCE_MS + self.random.random_range(REPORT_MS);
            let back_ms = 3 * SECOND_MS + self.random.random_range(REPORT_MS);
            if gone_ms < back_ms {
                self.schedule(gone_ms, Event::View { viewer, subject, is_gone: true });
                self.schedule(back_ms, Event::View { viewer, subject, is_gone: false });
            }
        }
    }

    fn trouble(&mut self, step: u64) {
        let instances = self.pattern.instances;
        let instance = step as usize % instances;
        match self.pattern.trouble {
            LimitTrouble::None | LimitTrouble::Loss => return,
            LimitTrouble::Joins => {
                let absent = self.fleet.instances.iter().position(|state| !state.is_running);
                if let Some(joining) = absent {
                    let gone = (0..instances)
                        .filter(|index| *index != joining)
                        .filter(|index| !self.fleet.instances[*index].is_running);
                    let gone = gone.collect();
                    let state = &mut self.fleet.instances[joining];
                    state.is_running = true;
                    state.gone = gone;
                    self.tell_all(joining, false, 0);
                }
            }
            LimitTrouble::Leaves => {
                if (step as usize) < instances / 2 {
                    self.fleet.instances[instance].is_running = false;
                    self.tell_all(instance, true, SILENCE_MS);
                }
            }
            LimitTrouble::Restarts => {
                let until_ms = self.now_ms + SECOND_MS;
                let state = &mut self.fleet.instances[instance];
                state.frozen_until_ms = until_ms;
                state.excused_until_ms = until_ms + CONTACT_MS;
                state.issuer = Default::default();
                state.denied_until_ms.clear();
                state.buckets.clear();
            }
            LimitTrouble::Freezes => {
                if step.is_multiple_of(2) {
                    let until_ms = self.now_ms + 3 * SECOND_MS;
                    let state = &mut self.fleet.instances[instance];
                    state.frozen_until_ms = until_ms;
                    state.excused_until_ms = until_ms + CONTACT_MS;
                    self.tell_frozen(instance);
                }
            }
            LimitTrouble::CutZone => self.cut_zone(step),
        }
        self.schedule(SECOND_MS, Event::Trouble { step: step + 1 });
    }

    fn cut_zone(&mut self, step: u64) {
        if !step.is_multiple_of(12) {
            return;
        }
        let zone = (step / 12) as usize % ZONES;
        for instance in (0..self.pattern.instances).filter(|index| index % ZONES == zone) {
            let state = &mut self.fleet.instances[instance];
            state.is_cut = true;
            state.excused_until_ms = self.now_ms + 5 * SECOND_MS + CONTACT_MS;
            self.schedule(5 * SECOND_MS, Event::Heal { instance });
            for other in (0..self.pattern.instances).filter(|index| index % ZONES != zone) {
                for (viewer, subject) in [(instance, other), (other, instance)] {
                    let gone_ms = SILENCE_MS + self.random.random_range(REPORT_MS);
                    let back_ms = 5 * SECOND_MS + self.random.random_range(REPORT_MS);
                    self.schedule(gone_ms, Event::View { viewer, subject, is_gone: true });
                    self.schedule(back_ms, Event::View { viewer, subject, is_gone: false });
                }
            }
        }
    }

    fn heal(&mut self, instance: usize) {
        self.fleet.instances[instance].is_cut = false;
    }

    fn report(&self) -> LimitReport {
        let most = self.sent.iter().map(|times| {
            let mut first = 0;
            let in_window = times.iter().enumerate().map(|(index, at_ms)| {
                while times[first] + WINDOW_MS <= *at_ms {
                    first += 1;
                }
                index - first + 1
            });
            in_window.max().unwrap_or(0)
        });
        let seconds = (DURATION_MS - CONTACT_MS) as f64 / 1_000.0;
        let capacity = self.pattern.upstreams as f64 * self.limit.granted_per_second() * seconds;
        LimitReport {
            most_in_window: most.max().unwrap_or(0),
            allowed_in_window: 1.5 * self.pattern.per_second * WINDOW_MS as f64 / 1_000.0 + 5.0,
            used_share: self.all_sent as f64 / capacity,
            messages_per_second: self.messages as f64
                / self.pattern.instances as f64
                / (DURATION_MS as f64 / 1_000.0),
        }
    }
}
