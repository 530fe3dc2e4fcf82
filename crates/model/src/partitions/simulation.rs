//! The simulation of instances that are cut off.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{CutScope, PartitionPattern, PartitionReport, PeerPolicy};

const ZONES: usize = 4;
const CUT_MS: u64 = 12_000;
/// Time from which requests count, after the begin of the cut.
const CONTACT_MS: u64 = 3_000;
const DIAL_TIMEOUT_MS: u64 = 400;
/// Failed dials in a row after which an instance knows that it is cut off.
const DETECTING_DIALS: u32 = 2;
/// Peers that a request asks, at most.
const MAX_PEERS: u32 = 2;
/// Time for which a peer that is cut off is not asked again, and one without room.
const CUT_MEMORY_MS: u64 = 1_500;
const BUSY_MEMORY_MS: u64 = 1_000;
/// Time until what an instance tells in its digest is known to all others.
const DIGEST_MS: u64 = 1_200;
/// Time that a request takes at an upstream.
const SERVICE_MS: u64 = 200;

/// Random peers that are drawn before all are looked through.
const MAX_DRAWS: usize = 32;

/// A request in flight.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Request {
    instance: usize,
    arrived_ms: u64,
    asked: u32,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrival,
    DialFailed { request: Request },
    Asked { request: Request, peer: usize },
    Refused { request: Request, peer: usize, is_cut: bool },
    Ended { peer: usize },
}

#[derive(Clone, Copy, Debug)]
struct Refusal {
    until_ms: u64,
    is_cut: bool,
}

#[derive(Clone, Default)]
struct Instance {
    is_cut: bool,
    failed_dials: u32,
    detected_ms: Option<u64>,
    refusals: HashMap<usize, Refusal>,
    /// Requests of others that it carries now, and in all.
    carrying: usize,
    carried: u64,
}

struct Simulation {
    pattern: PartitionPattern,
    policy: PeerPolicy,
    random: ChaCha8Rng,
    instances: Vec<Instance>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    now_ms: u64,
    counted: u64,
    waits_ms: Vec<u64>,
    asked: u64,
    busy: u64,
}

/// Simulates a cut.
pub fn run_partition(pattern: &PartitionPattern, policy: PeerPolicy, seed: u64) -> PartitionReport {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let instances = (0..pattern.instances).map(|index| {
        let is_cut = match pattern.scope {
            CutScope::Share(share) => random.random_bool(share),
            CutScope::Zone => index % ZONES == 0,
        };
        Instance { is_cut, ..Instance::default() }
    });
    let mut simulation = Simulation {
        pattern: *pattern,
        policy,
        instances: instances.collect(),
        random,
        events: BinaryHeap::new(),
        sequence: 0,
        now_ms: 0,
        counted: 0,
        waits_ms: Vec::new(),
        asked: 0,
        busy: 0,
    };
    simulation.schedule(0, Event::Arrival);
    simulation.run();
    simulation.report()
}

impl Simulation {
    fn schedule(&mut self, delay_ms: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((self.now_ms + delay_ms, self.sequence, event)));
    }

    fn run(&mut self) {
        while let Some(Reverse((at_ms, _, event))) = self.events.pop() {
            self.now_ms = at_ms;
            match event {
                Event::Arrival => self.handle_arrivals(),
                Event::DialFailed { request } => {
                    self.record_failed_dial(request.instance);
                    self.ask_peer(request);
                }
                Event::Asked { request, peer } => self.handle_asked(request, peer),
                Event::Refused { request, peer, is_cut } => {
                    let memory_ms = if is_cut { CUT_MEMORY_MS } else { BUSY_MEMORY_MS };
                    let refusal = Refusal { until_ms: self.now_ms + memory_ms, is_cut };
                    self.instances[request.instance].refusals.insert(peer, refusal);
                    self.ask_peer(request);
                }
                Event::Ended { peer } => self.instances[peer].carrying -= 1,
            }
        }
    }

    /// Lets the requests of a millisecond arrive at the instances that are cut off.
    fn handle_arrivals(&mut self) {
        if self.now_ms >= CUT_MS {
            return;
        }
        for instance in 0..self.instances.len() {
            let arrives = self.random.random_bool(self.pattern.per_second / 1_000.0);
            if !arrives || !self.instances[instance].is_cut {
                continue;
            }
            self.counted += u64::from(self.now_ms >= CONTACT_MS);
            let request = Request { instance, arrived_ms: self.now_ms, asked: 0 };
            match self.instances[instance].detected_ms {
                Some(_) => self.ask_peer(request),
                None => self.schedule(DIAL_TIMEOUT_MS, Event::DialFailed { request }),
            }
        }
        self.schedule(1, Event::Arrival);
    }

    fn record_failed_dial(&mut self, instance: usize) {
        let now_ms = self.now_ms;
        let instance = &mut self.instances[instance];
        instance.failed_dials += 1;
        if instance.failed_dials >= DETECTING_DIALS {
            instance.detected_ms.get_or_insert(now_ms);
        }
    }

    fn ask_peer(&mut self, request: Request) {
        if request.asked >= MAX_PEERS {
            return;
        }
        let Some(peer) = self.choose_peer(request) else { return };
        let delay_ms = self.hop_ms(request.instance, peer);
        let request = Request { asked: request.asked + 1, ..request };
        self.schedule(delay_ms, Event::Asked { request, peer });
    }

    fn choose_peer(&mut self, request: Request) -> Option<usize> {
        let (own, now_ms) = (request.instance, self.now_ms);
        let refusals = &mut self.instances[own].refusals;
        refusals.retain(|_, refusal| refusal.until_ms > now_ms);
        let is_near = |peer: &usize| peer % ZONES == own % ZONES;
        let is_own_zone_cut =
            refusals.iter().any(|(peer, refusal)| is_near(peer) && refusal.is_cut);
        let wants_near = match self.policy {
            PeerPolicy::Uniform => None,
            PeerPolicy::Near => Some(true),
            PeerPolicy::NearThenFar | PeerPolicy::Told if is_own_zone_cut => None,
            PeerPolicy::NearThenFar | PeerPolicy::Told => Some(request.asked == 0),
        };
        let refusals = &self.instances[own].refusals;
        let tells_cut = |peer: &usize| {
            let told_ms = self.instances[*peer].detected_ms.map(|at_ms| at_ms + DIGEST_MS);
            self.policy == PeerPolicy::Told && told_ms.is_some_and(|told_ms| told_ms <= now_ms)
        };
        let fits = |peer: &usize| *peer != own && !refusals.contains_key(peer) && !tells_cut(peer);
        let is_wanted = |peer: &usize| wants_near.is_none_or(|near| is_near(peer) == near);
        let peers = 0..self.instances.len();
        for _ in 0..MAX_DRAWS {
            let peer = self.random.random_range(peers.clone());
            if fits(&peer) && is_wanted(&peer) {
                return Some(peer);
            }
        }
        let mut left: Vec<usize> = peers.filter(fits).collect();
        if left.iter().any(is_wanted) {
            left.retain(is_wanted);
        }
        left.choose(&mut self.random).copied()
    }

    fn hop_ms(&mut self, from: usize, to: usize) -> u64 {
        match from % ZONES == to % ZONES {
            true => self.random.random_range(1..3),
            false => self.random.random_range(3..15),
        }
    }

    fn handle_asked(&mut self, request: Request, peer: usize) {
        let is_counted = request.arrived_ms >= CONTACT_MS;
        self.asked += u64::from(is_counted);
        let hop_ms = self.hop_ms(peer, request.instance);
        let asked = &mut self.instances[peer];
        if asked.is_cut {
            let dial_ms = if asked.detected_ms.is_some() { 0 } else { DIAL_TIMEOUT_MS };
            if dial_ms > 0 {
                self.record_failed_dial(peer);
            }
            self.schedule(dial_ms + hop_ms, Event::Refused { request, peer, is_cut: true });
        } else if asked.carrying >= self.pattern.room {
            self.busy += u64::from(is_counted);
            self.schedule(hop_ms, Event::Refused { request, peer, is_cut: false });
        } else {
            asked.carrying += 1;
            if is_counted {
                asked.carried += 1;
                self.waits_ms.push(self.now_ms - request.arrived_ms);
            }
            self.schedule(SERVICE_MS, Event::Ended { peer });
        }
    }

    fn report(&mut self) -> PartitionReport {
        self.waits_ms.sort_unstable();
        let last = self.waits_ms.len().saturating_sub(1);
        let counted_s = (CUT_MS - CONTACT_MS) as f64 / 1_000.0;
        let peers = self.instances.iter().filter(|instance| !instance.is_cut);
        let carried: Vec<f64> = peers.map(|instance| instance.carried as f64 / counted_s).collect();
        let cut_off = self.instances.iter().filter(|instance| instance.is_cut);
        let mut detected: Vec<Option<u64>> = cut_off.map(|instance| instance.detected_ms).collect();
        detected.sort_unstable_by_key(|detected_ms| detected_ms.unwrap_or(u64::MAX));
        PartitionReport {
            cut_off: detected.len(),
            served_share: self.waits_ms.len() as f64 / self.counted.max(1) as f64,
            p99_wait_ms: self.waits_ms.get(last * 99 / 100).copied().unwrap_or(0),
            mean_carried: carried.iter().sum::<f64>() / carried.len().max(1) as f64,
            most_carried: carried.iter().copied().fold(0.0, f64::max),
            busy_share: self.busy as f64 / self.asked.max(1) as f64,
            p50_detected_ms: detected.get(detected.len() / 2).copied().flatten().unwrap_or(CUT_MS),
            last_detected_ms: detected.last().copied().flatten(),
        }
    }
}
