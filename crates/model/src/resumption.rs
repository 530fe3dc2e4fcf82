//! Simulation of streams that callers take up again after instances were killed, with the tables, records and
//! choices that instances use. The platform's store is available; a fleet whose store is away is not simulated.

use std::collections::{BTreeMap, HashMap};

use hickorycourse_origins::{
    ListedVersions, OriginJournal, OriginSegment, OriginTable, StreamKey, StreamOrigin,
    VersionRecord, choose_holders, write_interval_ms,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SERVICE: &str = "desk";
const STEP_MS: u64 = 10;
/// Time from a kill to the restart, and from there to the first listing.
const RESTART_MS: u64 = 500;
const LISTING_MS: u64 = 100;
/// Time after the last restart at which callers take their streams up.
const CONTACT_MS: u64 = 3_000;
const OBSERVATION_INTERVAL_MS: u64 = 250;
const STREAM_MS: std::ops::Range<u64> = 10_000..15_000;
const TIMEOUT_MS: u64 = 15_000;
const MIXED_MS: i64 = 35_000;
const TOLD: (usize, usize) = (2, 2);
const ASKED: (usize, usize) = (3, 3);
/// Time that a fleet has lived whose past is known.
const PAST_MS: u64 = 600_000;
const WALL_START_MS: u64 = 1_700_000_000_000;

/// Kills and versions of a simulation.
#[derive(Clone, Debug, PartialEq)]
pub struct ResumptionPattern {
    /// Number of instances.
    pub instances: usize,
    /// Number of availability zones.
    pub zones: usize,
    /// Streams that begin a second at each instance.
    pub streams_per_s: f64,
    /// Time and instances of each kill.
    pub kills: Vec<(u64, Vec<usize>)>,
    /// Time from which each version is listed.
    pub versions: Vec<u64>,
    /// Whether the store says what was listed before, as the fleet has lived for long; else this is its first start.
    pub is_past_known: bool,
}

/// Outcome of a simulation.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResumptionReport {
    /// Streams that were taken up again.
    pub taken_up: usize,
    /// Of these, those that went on.
    pub went_on: usize,
    /// Of these, those that went on at another version.
    pub at_other_version: usize,
    /// Most writes to the store in a second.
    pub most_writes_per_s: usize,
    /// Bytes of the origins in the store at the end.
    pub stored_bytes: usize,
}

impl ResumptionReport {
    /// Share of the streams that went on; 1 without any.
    pub fn share(&self) -> f64 {
        if self.taken_up == 0 { 1.0 } else { self.went_on as f64 / self.taken_up as f64 }
    }

    /// Formats the report as a line.
    pub fn format_line(&self, title: &str) -> String {
        format!(
            "{title}: {} taken up, {:.3} went on, {} at another version, {} writes in the busiest second, \
             {} bytes stored",
            self.taken_up,
            self.share(),
            self.at_other_version,
            self.most_writes_per_s,
            self.stored_bytes
        )
    }
}

struct Instance {
    started_at_ms: u64,
    alive_from_ms: u64,
    starts: u64,
    write_phase_ms: u64,
    origins: OriginTable,
    journal: OriginJournal,
    versions: ListedVersions,
}

struct BegunStream {
    key: StreamKey,
    version: usize,
    instance: usize,
    ends_at_ms: u64,
    is_broken: bool,
}

struct Store {
    versions: Option<VersionRecord>,
    segments: BTreeMap<(usize, u64, u64), OriginSegment>,
    writes: BTreeMap<u64, usize>,
}

impl ResumptionPattern {
    /// Patterns of a fleet with their names: all instances killed at once, in three overlapping waves, or one
    /// after the other, with one and with two versions.
    pub fn list(instances: usize) -> Vec<(String, Self)> {
        const FIRST_KILL_MS: u64 = 6_000;
        let all = |at_ms| (at_ms, (0..instances).collect::<Vec<_>>());
        let third = |at_ms, part| (at_ms, (0..instances).filter(|i| i % 3 == part).collect());
        let waves = [0, 2_500, 5_000]
            .into_iter()
            .zip(0..)
            .map(|(at_ms, part)| third(FIRST_KILL_MS + at_ms, part));
        // A rolling restart of a large fleet takes no longer than streams last.
        let pause_ms = (4_200 / instances as u64 / STEP_MS * STEP_MS).max(STEP_MS);
        let rolling = (0..instances)
            .map(|index| (FIRST_KILL_MS + index as u64 % 420 * pause_ms, vec![index]));
        let kills = [
            ("at-once", vec![all(FIRST_KILL_MS)]),
            ("waves", waves.collect()),
            ("rolling", rolling.collect()),
        ];
        let versions =
            [("one", vec![0], true), ("two", vec![0, 0], true), ("first", vec![0], false)];
        let patterns = kills.into_iter().flat_map(|(name, kills)| {
            versions.clone().map(|(versions_name, versions, is_past_known)| {
                let pattern = Self {
                    instances,
                    zones: 4,
                    streams_per_s: if instances > 100 { 2.0 } else { 4.0 },
                    kills: kills.clone(),
                    versions,
                    is_past_known,
                };
                (format!("{name} {versions_name} {instances}"), pattern)
            })
        });
        patterns.collect()
    }
}

/// Simulates a pattern.
pub fn run_resumption(pattern: &ResumptionPattern, seed: u64) -> ResumptionReport {
    Simulation::new(pattern, seed).run()
}

struct Simulation<'a> {
    pattern: &'a ResumptionPattern,
    random: ChaCha8Rng,
    names: Vec<String>,
    instances: Vec<Instance>,
    streams: Vec<BegunStream>,
    store: Store,
}

impl Instance {
    fn new(started_at_ms: u64, starts: u64, write_phase_ms: u64) -> Self {
        Self {
            started_at_ms,
            alive_from_ms: started_at_ms + LISTING_MS,
            starts,
            write_phase_ms,
            origins: OriginTable::default(),
            journal: OriginJournal::default(),
            versions: ListedVersions::default(),
        }
    }

    fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms - self.started_at_ms
    }
}

/// Returns the record of a fleet that has lived for long with the versions that are listed from the beginning.
fn record_of_past(pattern: &ResumptionPattern) -> VersionRecord {
    let mut versions = ListedVersions::default();
    for (version, _) in pattern.versions.iter().enumerate().filter(|(_, from_ms)| **from_ms == 0) {
        versions.record(SERVICE, Some(&version.to_string()), PAST_MS);
    }
    versions.make_record(WALL_START_MS, 0, PAST_MS)
}

impl<'a> Simulation<'a> {
    fn new(pattern: &'a ResumptionPattern, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let interval_ms = write_interval_ms(pattern.instances);
        let instances = (0..pattern.instances)
            .map(|_| Instance::new(0, 0, random.random_range(0..interval_ms)))
            .collect();
        Self {
            pattern,
            names: (0..pattern.instances).map(|index| format!("instance-{index}")).collect(),
            random,
            instances,
            streams: Vec::new(),
            store: Store {
                versions: pattern.is_past_known.then(|| record_of_past(pattern)),
                segments: BTreeMap::new(),
                writes: BTreeMap::new(),
            },
        }
    }

    fn run(mut self) -> ResumptionReport {
        let pattern = self.pattern;
        let last_kill_ms = pattern.kills.iter().map(|(at_ms, _)| *at_ms).max().unwrap_or(0);
        let end_ms = last_kill_ms + RESTART_MS + CONTACT_MS;
        for now_ms in (0..=end_ms).step_by(STEP_MS as usize) {
            for (at_ms, killed) in &pattern.kills {
                if *at_ms == now_ms {
                    killed.iter().for_each(|index| self.kill(*index, now_ms));
                }
            }
            for index in 0..pattern.instances {
                self.step(index, now_ms, now_ms < last_kill_ms);
            }
        }
        self.take_up_all(end_ms)
    }

    fn kill(&mut self, index: usize, now_ms: u64) {
        let starts = self.instances[index].starts + 1;
        let phase_ms = self.random.random_range(0..write_interval_ms(self.pattern.instances));
        self.instances[index] = Instance::new(now_ms + RESTART_MS, starts, phase_ms);
        let streams = self.streams.iter_mut();
        for stream in streams.filter(|stream| stream.instance == index) {
            stream.is_broken |= stream.ends_at_ms > now_ms;
        }
    }

    fn listed(&self, now_ms: u64) -> impl Iterator<Item = usize> + use<'a> {
        let versions = self.pattern.versions.iter().enumerate();
        versions.filter(move |(_, from_ms)| **from_ms <= now_ms).map(|(version, _)| version)
    }

    fn step(&mut self, index: usize, now_ms: u64, begins_streams: bool) {
        if self.instances[index].alive_from_ms > now_ms {
            return;
        }
        if self.instances[index].alive_from_ms == now_ms {
            self.list(index, now_ms);
        }
        if now_ms.is_multiple_of(OBSERVATION_INTERVAL_MS) {
            self.observe(index, now_ms);
        }
        let chance = self.pattern.streams_per_s * STEP_MS as f64 / 1_000.0;
        if begins_streams && self.random.random_bool(chance.min(1.0)) {
            self.begin_stream(index, now_ms);
        }
        let interval_ms = write_interval_ms(self.pattern.instances) / STEP_MS * STEP_MS;
        let phase_ms = self.instances[index].write_phase_ms / STEP_MS * STEP_MS;
        if now_ms % interval_ms == phase_ms % interval_ms {
            self.write_origins(index, now_ms);
        }
    }

    /// The first listing of an instance.
    fn list(&mut self, index: usize, now_ms: u64) {
        self.observe(index, now_ms);
        let instance = &mut self.instances[index];
        let age_ms = instance.age_ms(now_ms);
        if let Some(record) = &self.store.versions {
            instance.versions.merge(record, WALL_START_MS + now_ms, 0, age_ms);
        }
    }

    fn observe(&mut self, index: usize, now_ms: u64) {
        let listed: Vec<usize> = self.listed(now_ms).collect();
        let instance = &mut self.instances[index];
        let age_ms = instance.age_ms(now_ms);
        for version in listed {
            instance.versions.record(SERVICE, Some(&version.to_string()), age_ms);
        }
        let is_first = self.instances.iter().position(|other| other.alive_from_ms <= now_ms);
        if is_first != Some(index) || self.instances[index].alive_from_ms == now_ms {
            return;
        }
        let record = self.instances[index].versions.make_record(WALL_START_MS + now_ms, 0, age_ms);
        if self.store.versions.as_ref().is_none_or(|stored| stored.is_outdated_by(&record)) {
            self.store.versions = Some(record);
            *self.store.writes.entry(now_ms / 1_000).or_default() += 1;
        }
    }

    fn begin_stream(&mut self, index: usize, now_ms: u64) {
        let listed: Vec<usize> = self.listed(now_ms).collect();
        let version = listed[self.random.random_range(0..listed.len())];
        let ends_at_ms = now_ms + self.random.random_range(STREAM_MS);
        let key = StreamKey::new(None, &format!("stream-{}", self.streams.len()));
        let origin = StreamOrigin { service: SERVICE.to_owned(), version: version.to_string() };
        for holder in self.holders(key, index, TOLD, now_ms) {
            let holder = &mut self.instances[holder];
            let age_ms = holder.age_ms(now_ms);
            holder.origins.record(key, origin.clone(), age_ms);
        }
        let instance = &mut self.instances[index];
        let age_ms = instance.age_ms(now_ms);
        instance.origins.record(key, origin.clone(), age_ms);
        instance.journal.record(key, origin, age_ms + TIMEOUT_MS);
        let stream = BegunStream { key, version, instance: index, ends_at_ms, is_broken: false };
        self.streams.push(stream);
    }

    /// Instances that keep the origin of a stream, as one of them sees it. Those that were killed are members
    /// still.
    fn holders(
        &self,
        key: StreamKey,
        index: usize,
        counts: (usize, usize),
        now_ms: u64,
    ) -> Vec<usize> {
        let zones = self.pattern.zones;
        let others = || (0..self.names.len()).filter(move |other| *other != index);
        let near = others().filter(|other| other % zones == index % zones);
        let near = choose_holders(key, near.map(|other| self.names[other].as_str()), counts.0);
        let all = choose_holders(key, others().map(|other| self.names[other].as_str()), counts.1);
        let position = |name: &str| name.rsplit('-').next().and_then(|number| number.parse().ok());
        let chosen = near.into_iter().chain(all).filter_map(position);
        chosen.filter(|holder: &usize| self.instances[*holder].alive_from_ms <= now_ms).collect()
    }

    fn write_origins(&mut self, index: usize, now_ms: u64) {
        let instance = &mut self.instances[index];
        let age_ms = instance.age_ms(now_ms);
        let versions = &instance.versions;
        let since_ms = age_ms as i64 - MIXED_MS;
        let is_needed = |service: &str| {
            versions.is_mixed_since(service, since_ms) || !versions.is_complete_since(since_ms)
        };
        let Some(write) = instance.journal.next_write(age_ms, is_needed) else { return };
        instance.journal.record_written(1, age_ms);
        self.store.segments.insert((index, instance.starts, write.sequence), write.segment);
        *self.store.writes.entry(now_ms / 1_000).or_default() += 1;
    }

    fn take_up_all(self, now_ms: u64) -> ResumptionReport {
        let mut report = ResumptionReport::default();
        let stored: HashMap<StreamKey, &str> = self
            .store
            .segments
            .values()
            .flat_map(OriginSegment::origins)
            .map(|(key, origin)| (key, origin.version.as_str()))
            .collect();
        let mut random = self.random.clone();
        let broken = self.streams.iter().filter(|stream| stream.is_broken);
        for stream in broken.filter(|stream| stream.ends_at_ms > now_ms) {
            let index = random.random_range(0..self.instances.len());
            report.taken_up += 1;
            let found = self
                .find(stream.key, index, now_ms)
                .or_else(|| stored.get(&stream.key).map(|version| (*version).to_owned()));
            if let Some(version) = found {
                report.went_on += 1;
                report.at_other_version += usize::from(version != stream.version.to_string());
            }
        }
        report.most_writes_per_s = self.store.writes.values().copied().max().unwrap_or(0);
        let keys = self.store.segments.values().map(|segment| segment.origins().count());
        report.stored_bytes = keys.sum::<usize>() * size_of::<StreamKey>();
        report
    }

    /// Version of a stream that the instances know.
    fn find(&self, key: StreamKey, index: usize, now_ms: u64) -> Option<String> {
        let mut asked = self.holders(key, index, ASKED, now_ms);
        asked.push(index);
        let known = asked.into_iter().find_map(|holder| {
            let holder = &self.instances[holder];
            let origin = holder.origins.find(key, holder.age_ms(now_ms))?;
            Some(origin.version.clone())
        });
        let instance = &self.instances[index];
        let since_ms = instance.age_ms(now_ms) as i64 - TIMEOUT_MS as i64;
        known.or_else(|| instance.versions.sole_since(SERVICE, since_ms).map(str::to_owned))
    }
}
