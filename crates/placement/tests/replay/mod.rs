//! Replay of equal upstreams that many instances choose among by reports of some age.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use hickorycourse_placement::{
    AdmitAll, AttemptOutcome, ChoiceRule, EvenLoad, ExpectedWait, LowestKnownCost, Placement,
    PlacementOptions, PlacementRequest, PlacementTable, TokenDemand, UpstreamLoad,
};
use hickorycourse_routes::UpstreamEntry;
use xxhash_rust::xxh3::xxh3_64;

/// Time until figures are taken.
const WARM_UP_MS: u64 = 2_000;
/// Interval at which loads are compared.
const SAMPLE_MS: u64 = 20;
/// Interval of the digests of a large fleet.
const DIGEST_INTERVAL_MS: u64 = 400;
/// Duration of a burst.
pub const BURST_MS: u64 = 1_000;
/// Time to the first byte at an idle upstream; doubles in a full batch.
const FIRST_BYTE_MS: f64 = 20.0;

/// The rule by which instances choose.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rule {
    /// The lowest cost within a sample.
    Before,
    LowestKnownCost,
    Even,
}

/// What fails.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    None,
    /// A quarter of the instances send no digests from the middle on.
    SilentQuarter,
    /// One instance is frozen for two seconds from the middle on, and then sends what has arrived.
    FrozenInstance,
    /// Half of the instances choose by the earlier rule.
    EarlierBuild,
}

/// A change at the middle of the replay.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    None,
    /// One more upstream.
    Added,
    /// Half of the upstreams leave.
    HalfRemoved,
    /// Twice the requests for a second.
    Burst,
}

/// A load pattern.
#[derive(Clone, Copy, Debug)]
pub struct Replay {
    pub instances: usize,
    pub upstreams: usize,
    pub slots: u64,
    /// Mean duration of a request, exponentially distributed.
    pub work_ms: f64,
    /// Part of all slots that is in use on average.
    pub fill: f64,
    /// Mean age of digests.
    pub age_ms: u64,
    /// Time after the warm-up.
    pub duration_ms: u64,
    pub step: Step,
    pub failure: Failure,
    pub rule: Rule,
}

/// What a replay has shown.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Requests at the busiest upstream over the mean, averaged over time.
    pub busiest_over_mean: f64,
    /// The same with each upstream's requests averaged over the interval of digests.
    pub busiest_over_mean_of_interval: f64,
    pub first_byte_deviation_ms: f64,
    /// Requests at each upstream from the middle on, at equal intervals.
    pub after_step: Vec<Vec<f64>>,
}

impl Outcome {
    /// Excess of the busiest upstream over the mean, over intervals of digests.
    pub fn excess(&self) -> f64 {
        self.busiest_over_mean_of_interval - 1.0
    }

    /// Most requests at one upstream from this time after the step on, on average over an interval of
    /// digests.
    pub fn most_after_step(&self, from_ms: u64) -> f64 {
        let loads = self.after_step.get((from_ms / SAMPLE_MS) as usize..).unwrap_or_default();
        let intervals = loads.chunks((DIGEST_INTERVAL_MS / SAMPLE_MS) as usize);
        let averages = intervals.flat_map(|interval| {
            let count = interval.iter().map(Vec::len).min().unwrap_or_default();
            let samples = interval.len() as f64;
            (0..count)
                .map(move |index| interval.iter().map(|loads| loads[index]).sum::<f64>() / samples)
        });
        averages.fold(0.0, f64::max)
    }
}

/// Random numbers that are the same in each run.
struct Draws {
    state: u64,
}

impl Draws {
    fn next(&mut self) -> u64 {
        self.state += 1;
        xxh3_64(&self.state.to_le_bytes())
    }

    fn fraction(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn below(&mut self, count: usize) -> usize {
        (self.next() % count as u64) as usize
    }
}

struct Instance {
    table: PlacementTable,
    loads: BTreeMap<String, u64>,
}

#[derive(Default)]
struct Server {
    /// Requests at work and waiting.
    in_flight: u64,
    queue: Vec<Waiting>,
}

struct Waiting {
    work_ms: u64,
    sent: Sent,
}

#[derive(Clone)]
struct Sent {
    instance: usize,
    placement: Placement,
    at_ms: u64,
}

fn entry(number: usize, slots: u64) -> UpstreamEntry {
    let address = format!("127.0.0.1:{}", 8_000 + number).parse().expect("an address");
    UpstreamEntry::ready(&format!("i-{number:03}"), "plain", address, "east", slots)
}

/// Upstreams with this number of slots each.
pub fn entries(count: usize, slots: u64) -> Vec<UpstreamEntry> {
    (0..count).map(|number| entry(number, slots)).collect()
}

fn choice_rule(rule: Rule) -> Option<Box<dyn ChoiceRule>> {
    match rule {
        Rule::Before => None,
        Rule::LowestKnownCost => Some(Box::new(LowestKnownCost)),
        Rule::Even => Some(Box::new(EvenLoad)),
    }
}

/// Plays a load pattern in steps of a millisecond.
pub fn play(replay: Replay) -> Outcome {
    let mut draws = Draws { state: replay.instances as u64 * 1_000 + replay.age_ms };
    let mut count = replay.upstreams;
    let mut entries = entries(count, replay.slots);
    let mut instances: Vec<Instance> = (0..replay.instances)
        .map(|number| {
            let options = PlacementOptions::default();
            let is_earlier = replay.failure == Failure::EarlierBuild && number % 2 == 1;
            let rule = if is_earlier { Rule::Before } else { replay.rule };
            let rules = (Box::new(ExpectedWait), Box::new(AdmitAll));
            let table = PlacementTable::new("east", options, rules.0, rules.1)
                .with_choice_rule(choice_rule(rule));
            Instance { table, loads: BTreeMap::new() }
        })
        .collect();
    for instance in &mut instances {
        instance.table.set_upstreams(entries.iter());
    }
    let mut servers: BTreeMap<String, Server> =
        entries.iter().map(|entry| (entry.id.clone(), Server::default())).collect();
    let mut ends: BinaryHeap<Reverse<(u64, u64)>> = BinaryHeap::new();
    let mut running: BTreeMap<u64, Sent> = BTreeMap::new();
    let mut snapshots: Vec<Option<BTreeMap<String, u64>>> = Vec::new();
    let (mut outcome, mut numbers) = (Outcome::default(), 0_u64);
    let mut interval: Vec<Vec<f64>> = Vec::new();
    let mut interval_ratios: Vec<f64> = Vec::new();
    let (mut ratios, mut first_bytes): (Vec<f64>, Vec<f64>) = (Vec::new(), Vec::new());
    let end_ms = WARM_UP_MS + replay.duration_ms;
    let middle_ms = WARM_UP_MS + replay.duration_ms / 2;
    let per_ms = replay.fill * (replay.upstreams as u64 * replay.slots) as f64 / replay.work_ms;
    let (mut owed, mut snapshot_at_ms) = (0.0, 0);
    for now_ms in 0..end_ms {
        if now_ms == middle_ms {
            match replay.step {
                Step::Added => {
                    entries.push(entry(count, replay.slots));
                    count += 1;
                }
                Step::HalfRemoved => entries.truncate(count / 2),
                Step::None | Step::Burst => {}
            }
            for instance in &mut instances {
                instance.table.set_upstreams(entries.iter());
            }
            let present = |id: &String| entries.iter().any(|entry| entry.id == *id);
            for entry in &entries {
                servers.entry(entry.id.clone()).or_default();
            }
            servers.retain(|id, _| present(id));
        }
        let is_frozen = |number: usize| {
            replay.failure == Failure::FrozenInstance
                && number == 0
                && (middle_ms..middle_ms + 2_000).contains(&now_ms)
        };
        // Ends of requests.
        while let Some(Reverse((at_ms, number))) = ends.peek().copied() {
            if at_ms > now_ms {
                break;
            }
            ends.pop();
            let Some(sent) = running.remove(&number) else { continue };
            let instance = &mut instances[sent.instance];
            if let Some(load) = instance.loads.get_mut(&sent.placement.upstream) {
                *load -= 1;
            }
            let outcome = AttemptOutcome::Answered;
            instance.table.end_attempt(&sent.placement, true, outcome, now_ms);
            let Some(server) = servers.get_mut(&sent.placement.upstream) else { continue };
            let busy = server.in_flight.min(replay.slots);
            let waiting = server.in_flight - busy;
            let upstream = &sent.placement.upstream;
            instance.table.record_load_report(upstream, busy, waiting, now_ms);
            server.in_flight -= 1;
            if !server.queue.is_empty() {
                let next = server.queue.remove(0);
                begin(
                    &replay,
                    next,
                    server.in_flight,
                    now_ms,
                    &mut instances,
                    &mut first_bytes,
                    |sent, at_ms| {
                        numbers += 1;
                        ends.push(Reverse((at_ms, numbers)));
                        running.insert(numbers, sent);
                    },
                );
            }
        }
        // Digests: all are taken at the same moment, and arrive after half of the mean age.
        if now_ms.is_multiple_of(replay.age_ms) {
            snapshot_at_ms = now_ms;
            snapshots = instances
                .iter()
                .enumerate()
                .map(|(number, instance)| {
                    let is_silent = replay.failure == Failure::SilentQuarter
                        && now_ms >= middle_ms
                        && number % 4 == 0;
                    (!is_silent && !is_frozen(number)).then(|| instance.loads.clone())
                })
                .collect();
        }
        if now_ms == snapshot_at_ms + replay.age_ms / 2 && !snapshots.is_empty() {
            deliver(&mut instances, &snapshots, snapshot_at_ms, &entries, is_frozen);
        }
        // Arrivals.
        let is_burst =
            replay.step == Step::Burst && (middle_ms..middle_ms + BURST_MS).contains(&now_ms);
        owed += per_ms * if is_burst { 2.0 } else { 1.0 };
        // Exponential gaps.
        while owed > 0.0 {
            owed += (1.0 - draws.fraction()).ln();
            let mut number = draws.below(replay.instances);
            while is_frozen(number) {
                number = draws.below(replay.instances);
            }
            let instance = &mut instances[number];
            let request = PlacementRequest { seed: draws.next(), ..Default::default() };
            let placement = instance.table.choose(&request, now_ms).expect("an upstream");
            instance.table.begin_attempt(&placement, &request, now_ms);
            *instance.loads.entry(placement.upstream.clone()).or_default() += 1;
            let work_ms = (-replay.work_ms * (1.0 - draws.fraction()).ln()).ceil() as u64;
            let server = servers.get_mut(&placement.upstream).expect("a server");
            server.in_flight += 1;
            let waiting =
                Waiting { work_ms, sent: Sent { instance: number, placement, at_ms: now_ms } };
            if server.in_flight > replay.slots {
                server.queue.push(waiting);
                continue;
            }
            begin(
                &replay,
                waiting,
                server.in_flight,
                now_ms,
                &mut instances,
                &mut first_bytes,
                |sent, at_ms| {
                    numbers += 1;
                    ends.push(Reverse((at_ms, numbers)));
                    running.insert(numbers, sent);
                },
            );
        }
        if now_ms < WARM_UP_MS {
            first_bytes.clear();
        } else if now_ms.is_multiple_of(SAMPLE_MS) {
            let loads: Vec<f64> =
                entries.iter().map(|entry| servers[&entry.id].in_flight as f64).collect();
            ratios.extend(busiest_over_mean(std::slice::from_ref(&loads)));
            if now_ms >= middle_ms {
                outcome.after_step.push(loads.clone());
            }
            interval.push(loads);
            if interval.len() as u64 == DIGEST_INTERVAL_MS / SAMPLE_MS {
                interval_ratios.extend(busiest_over_mean(&interval));
                interval.clear();
            }
        }
    }
    outcome.first_byte_deviation_ms = mean_and_deviation(&first_bytes).1;
    outcome.busiest_over_mean_of_interval = mean_and_deviation(&interval_ratios).0;
    outcome.busiest_over_mean = mean_and_deviation(&ratios).0;
    outcome
}

/// Begins the work on a request.
fn begin(
    replay: &Replay,
    waiting: Waiting,
    in_flight: u64,
    now_ms: u64,
    instances: &mut [Instance],
    first_bytes: &mut Vec<f64>,
    mut schedule: impl FnMut(Sent, u64),
) {
    let Waiting { work_ms, sent } = waiting;
    let fill = (in_flight as f64 / replay.slots as f64).min(1.0);
    let first_byte_ms = (now_ms - sent.at_ms) as f64 + FIRST_BYTE_MS * (1.0 + fill);
    first_bytes.push(first_byte_ms);
    let table = &mut instances[sent.instance].table;
    table.record_first_byte(&sent.placement, sent.at_ms + first_byte_ms as u64);
    schedule(sent, now_ms + work_ms.max(1));
}

/// Tells each instance the sum of the others, as aggregators do.
fn deliver(
    instances: &mut [Instance],
    snapshots: &[Option<BTreeMap<String, u64>>],
    at_ms: u64,
    entries: &[UpstreamEntry],
    is_frozen: impl Fn(usize) -> bool,
) {
    let mut totals: BTreeMap<&str, u64> = BTreeMap::new();
    for loads in snapshots.iter().flatten() {
        for (id, load) in loads {
            *totals.entry(id).or_default() += load;
        }
    }
    let others = snapshots.iter().flatten().count();
    for (number, instance) in instances.iter_mut().enumerate() {
        if is_frozen(number) {
            continue;
        }
        instance.table.clear_peer("others");
        instance.table.set_peer_demand("others", TokenDemand::default(), others);
        let own = snapshots[number].as_ref();
        for entry in entries {
            let own = own.and_then(|own| own.get(&entry.id)).copied().unwrap_or_default();
            let running = totals.get(entry.id.as_str()).copied().unwrap_or_default() - own;
            if running > 0 {
                let load = UpstreamLoad { running, ..UpstreamLoad::default() };
                instance.table.set_peer_load("others", &entry.id, load, at_ms);
            }
        }
    }
}

/// Returns the largest sum of one upstream over the mean of all; `None` if the upstreams have changed.
fn busiest_over_mean(samples: &[Vec<f64>]) -> Option<f64> {
    let count = samples.first()?.len();
    if samples.iter().any(|loads| loads.len() != count) {
        return None;
    }
    let sums: Vec<f64> =
        (0..count).map(|index| samples.iter().map(|loads| loads[index]).sum()).collect();
    let mean = sums.iter().sum::<f64>() / count as f64;
    (mean > 0.0).then(|| sums.iter().copied().fold(0.0, f64::max) / mean)
}

fn mean_and_deviation(values: &[f64]) -> (f64, f64) {
    let count = (values.len() as f64).max(1.0);
    let mean = values.iter().sum::<f64>() / count;
    let square = values.iter().map(|value| (value - mean).powi(2)).sum::<f64>() / count;
    (mean, square.sqrt())
}
