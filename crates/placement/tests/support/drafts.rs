//! Drafts and notes on uneven engines, placed by many instances.

use hickorycourse_facts::PaceWindow;
use hickorycourse_placement::{
    AdmitAll, AttemptOutcome, CompletionRule, ExpectedWait, Placement, PlacementOptions,
    PlacementRequest, PlacementTable, SpeedShare, StreamedWork, TokenDemand, UpstreamLoad,
};
use hickorycourse_routes::UpstreamEntry;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

const ENGINES: usize = 20;
const SLOTS: u64 = 48;
const TICK_MS: u64 = 10;
/// Arrivals that count.
const COUNTED_MS: std::ops::Range<u64> = 5_000..40_000;
const CHANGE_AT_MS: u64 = 20_000;
const EXCHANGE_MS: u64 = 400;
const NOISE_PERIOD_MS: u64 = 600;
const NOISE_FACTOR: f64 = 2.5;
const TOKENS_PER_EVENT: f64 = 8.0;
const PREFILL_TOKENS_PER_MS: f64 = 48.0;
const DRAFTS_PER_S: f64 = 64.0;
const NOTES_PER_S: f64 = 96.0;

/// What changes at half time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    None,
    RestartAtReversedSpeeds,
    TurnNoisy,
}

/// Callers' hints.
#[derive(Clone, Copy, Debug)]
pub enum Hints {
    Absent,
    /// Right at the median, with this standard deviation of the logarithm.
    LogDeviation(f64),
    /// Too small or too large by this factor.
    WrongBy(f64),
}

#[derive(Clone, Copy, Debug)]
pub struct Play {
    pub instances: usize,
    pub speeds: [f64; 5],
    pub noise_share: f64,
    pub hints: Hints,
    pub change: Change,
    pub is_completion_on: bool,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    pub drafts: u64,
    pub missed_drafts: u64,
    pub notes: u64,
    pub missed_notes: u64,
}

impl Outcome {
    pub fn missed(&self) -> u64 {
        self.missed_drafts + self.missed_notes
    }

    pub fn total(&self) -> u64 {
        self.drafts + self.notes
    }
}

struct Stream {
    instance: usize,
    placement: Placement,
    work: StreamedWork,
    arrived_at_ms: u64,
    deadline_at_ms: u64,
    is_draft: bool,
    prefill_left: f64,
    tokens: f64,
    events: u64,
    all_events: u64,
    pace: PaceWindow,
}

#[derive(Default)]
struct Engine {
    speed: f64,
    noise_until_ms: u64,
    is_noisy: bool,
    streams: Vec<Stream>,
}

struct Site {
    play: Play,
    random: ChaCha8Rng,
    tables: Vec<PlacementTable>,
    engines: Vec<Engine>,
    outcome: Outcome,
    now_ms: u64,
}

fn id(engine: usize) -> String {
    format!("i-{engine:02}")
}

impl Play {
    pub fn run(self) -> Outcome {
        let entries: Vec<UpstreamEntry> = (0..ENGINES)
            .map(|engine| {
                let address = format!("127.0.0.1:{}", 9_000 + engine).parse().expect("an address");
                UpstreamEntry::ready(&id(engine), "writer", address, "east", SLOTS)
            })
            .collect();
        let table = |_| {
            let options = PlacementOptions {
                prefill_tokens_per_ms: PREFILL_TOKENS_PER_MS,
                ..PlacementOptions::default()
            };
            let mut table =
                PlacementTable::new("east", options, Box::new(ExpectedWait), Box::new(AdmitAll));
            table.set_upstreams(entries.iter());
            if !self.is_completion_on {
                table.set_completion_rule(CompletionRule::Off);
            }
            table
        };
        let mut site = Site {
            play: self,
            random: ChaCha8Rng::seed_from_u64(11),
            tables: (0..self.instances).map(table).collect(),
            engines: Vec::new(),
            outcome: Outcome::default(),
            now_ms: 0,
        };
        site.engines.resize_with(ENGINES, Engine::default);
        site.set_speeds(false);
        while site.now_ms < COUNTED_MS.end + 16_000 {
            site.tick();
        }
        site.outcome
    }
}

impl Site {
    fn set_speeds(&mut self, is_reversed: bool) {
        for (number, engine) in self.engines.iter_mut().enumerate() {
            let index = if is_reversed { 4 - number % 5 } else { number % 5 };
            engine.speed = self.play.speeds[index];
        }
    }

    fn tick(&mut self) {
        if self.now_ms == CHANGE_AT_MS {
            self.change();
        }
        if self.now_ms < COUNTED_MS.end {
            for (rate, is_draft) in [(DRAFTS_PER_S, true), (NOTES_PER_S, false)] {
                if self.random.random_bool(rate * TICK_MS as f64 / 1_000.0) {
                    self.arrive(is_draft);
                }
            }
        }
        for engine in 0..ENGINES {
            self.work(engine);
        }
        if self.now_ms.is_multiple_of(EXCHANGE_MS) {
            self.exchange();
        }
        self.now_ms += TICK_MS;
    }

    fn change(&mut self) {
        match self.play.change {
            Change::None => {}
            Change::TurnNoisy => self.play.noise_share = 0.3,
            Change::RestartAtReversedSpeeds => {
                self.set_speeds(true);
                for engine in 0..ENGINES {
                    for table in &mut self.tables {
                        table.reset_upstream(&id(engine));
                    }
                }
            }
        }
    }

    /// A log-normal factor with median 1.
    fn factor(&mut self, deviation: f64) -> f64 {
        let (one, other): (f64, f64) = (self.random.random(), self.random.random());
        let normal = (-2.0 * (1.0 - one).ln()).sqrt() * (std::f64::consts::TAU * other).cos();
        (normal * deviation).exp()
    }

    fn arrive(&mut self, is_draft: bool) {
        let (events, prompt, timeout_ms) = match is_draft {
            true => ((40.0, 0.7, 140.0), (4_000.0, 1.0, 54_600.0), 15_000),
            false => ((20.0, 0.8, 119.0), (500.0, 0.7, 3_310.0), 12_000),
        };
        let mut draw = |(median, deviation, most): (f64, f64, f64)| {
            (median * self.factor(deviation)).clamp(1.0, most) as u64
        };
        let (all_events, prompt) = (draw(events), draw(prompt));
        let tokens = all_events as f64 * TOKENS_PER_EVENT;
        let error = match self.play.hints {
            Hints::Absent => None,
            Hints::LogDeviation(deviation) => Some(self.factor(deviation)),
            Hints::WrongBy(factor) if self.random.random() => Some(factor),
            Hints::WrongBy(factor) => Some(1.0 / factor),
        };
        let work = StreamedWork {
            route: u64::from(is_draft),
            hint_tokens: error.map(|error| (tokens * error).max(1.0) as u64),
            left_ms: timeout_ms,
        };
        let instance = self.random.random_range(0..self.tables.len());
        let request = PlacementRequest {
            prompt_tokens: prompt,
            urgency: u8::from(is_draft),
            seed: self.random.random(),
            streamed: Some(work),
            ..PlacementRequest::default()
        };
        let table = &mut self.tables[instance];
        let placement = table.choose(&request, self.now_ms).expect("an upstream");
        table.begin_attempt(&placement, &request, self.now_ms);
        let engine: usize = placement.upstream[2..].parse().expect("the id has a number");
        self.engines[engine].streams.push(Stream {
            instance,
            placement,
            work,
            arrived_at_ms: self.now_ms,
            deadline_at_ms: self.now_ms + timeout_ms,
            is_draft,
            prefill_left: prompt as f64,
            tokens: 0.0,
            events: 0,
            all_events,
            pace: PaceWindow::default(),
        });
    }

    /// Prompts take up to half of an engine's time, in their order; the rest generates for all streams.
    fn work(&mut self, number: usize) {
        let now_ms = self.now_ms;
        let engine = &mut self.engines[number];
        if now_ms >= engine.noise_until_ms {
            engine.noise_until_ms = now_ms + NOISE_PERIOD_MS;
            engine.is_noisy = self.random.random_bool(self.play.noise_share);
        }
        let slowdown = if engine.is_noisy { NOISE_FACTOR } else { 1.0 };
        let time_ms = TICK_MS as f64 * engine.speed / slowdown;
        let (running, waiting) =
            (engine.streams.len().min(SLOTS as usize), engine.streams.len() as u64);
        let waiting = waiting.saturating_sub(SLOTS);
        let mut prefill_ms = time_ms / 2.0;
        for stream in engine.streams.iter_mut().take(SLOTS as usize) {
            if stream.prefill_left <= 0.0 || prefill_ms <= 0.0 {
                continue;
            }
            let read = stream.prefill_left.min(prefill_ms * PREFILL_TOKENS_PER_MS);
            stream.prefill_left -= read;
            prefill_ms -= read / PREFILL_TOKENS_PER_MS;
            if stream.prefill_left <= 0.0 {
                let table = &mut self.tables[stream.instance];
                table.record_load_report(&id(number), running as u64, waiting, now_ms);
                table.record_first_byte(&stream.placement, now_ms);
                stream.pace.record(0, now_ms);
                stream.pace.begin_wait(now_ms);
            }
        }
        let step_ms = 2.6 + 0.12 * running as f64;
        let generated = (time_ms / 2.0 + prefill_ms.max(0.0)) / step_ms;
        for stream in &mut engine.streams {
            if stream.prefill_left > 0.0 {
                continue;
            }
            stream.tokens += generated;
            let events = ((stream.tokens / TOKENS_PER_EVENT) as u64).min(stream.all_events);
            if events > stream.events {
                if let Some(pace_ms) = stream.pace.record(events - stream.events, now_ms) {
                    let table = &mut self.tables[stream.instance];
                    table.record_event_pace(&id(number), pace_ms, now_ms);
                }
                stream.pace.begin_wait(now_ms);
                stream.events = events;
            }
        }
        let is_ended =
            |stream: &Stream| stream.events == stream.all_events || now_ms >= stream.deadline_at_ms;
        for stream in engine.streams.extract_if(.., |stream| is_ended(stream)) {
            let is_complete = stream.events == stream.all_events;
            let table = &mut self.tables[stream.instance];
            table.record_length(&stream.work, stream.events, is_complete);
            let outcome =
                if is_complete { AttemptOutcome::Answered } else { AttemptOutcome::Cancelled };
            table.end_attempt(&stream.placement, stream.prefill_left <= 0.0, outcome, now_ms);
            if COUNTED_MS.contains(&stream.arrived_at_ms) {
                let counts = match stream.is_draft {
                    true => (&mut self.outcome.drafts, &mut self.outcome.missed_drafts),
                    false => (&mut self.outcome.notes, &mut self.outcome.missed_notes),
                };
                *counts.0 += 1;
                *counts.1 += u64::from(!is_complete);
            }
        }
    }

    /// Tells each instance the sums of the others.
    fn exchange(&mut self) {
        let now_ms = self.now_ms;
        let own: Vec<(BTreeMap<String, UpstreamLoad>, BTreeMap<String, SpeedShare>)> = self
            .tables
            .iter()
            .map(|table| {
                let loads = table.own_loads().map(|(id, load)| (id.to_owned(), load)).collect();
                let speeds = table.own_speeds(now_ms).into_iter();
                (loads, speeds.map(|(id, share)| (id.to_owned(), share)).collect())
            })
            .collect();
        let mut loads: BTreeMap<&str, UpstreamLoad> = BTreeMap::new();
        let mut speeds: BTreeMap<&str, SpeedShare> = BTreeMap::new();
        for (own_loads, own_speeds) in &own {
            for (id, load) in own_loads {
                let sum = loads.entry(id).or_default();
                sum.running += load.running;
                sum.answering += load.answering;
                for (rank, waiting) in &load.waiting {
                    let sum = sum.waiting.entry(*rank).or_default();
                    sum.requests += waiting.requests;
                    sum.tokens += waiting.tokens;
                }
            }
            for (id, share) in own_speeds {
                let sum = speeds.entry(id).or_default();
                sum.weight += share.weight;
                sum.log_sum += share.log_sum;
            }
        }
        let others = self.tables.len() - 1;
        for (table, (own_loads, own_speeds)) in self.tables.iter_mut().zip(&own) {
            table.clear_peer("sums");
            table.set_peer_demand("sums", TokenDemand::default(), others);
            for (id, sum) in &loads {
                let mut load = sum.clone();
                if let Some(own) = own_loads.get(*id) {
                    load.running -= own.running;
                    load.answering -= own.answering;
                    for (rank, waiting) in &own.waiting {
                        let sum = load.waiting.entry(*rank).or_default();
                        sum.requests -= waiting.requests;
                        sum.tokens -= waiting.tokens;
                    }
                }
                table.set_peer_load("sums", id, load, now_ms);
            }
            for (id, share) in &speeds {
                let own = own_speeds.get(*id).copied().unwrap_or_default();
                let share = SpeedShare {
                    weight: (share.weight - own.weight).max(0.0),
                    log_sum: share.log_sum - own.log_sum,
                };
                if share.weight > 0.01 {
                    table.set_peer_speed("sums", id, share, now_ms);
                }
            }
        }
    }
}
