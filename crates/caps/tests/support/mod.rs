//! Simulates fleets whose instances learn of each other's use of a cap through aggregators.

// Each test file uses a part of it.
#![allow(dead_code)]

use std::collections::BTreeMap;

use hickorycourse_caps::{CapLimits, Decider, DeciderTable, SharedCap, UsageReport};
use hickorycourse_digest::{MemberDigest, OwnDigests, ZoneAggregator, ZoneDigest};

pub const ORGANISATION: &str = "dealer";
pub const STEP_MS: u64 = 20;
/// Interval between two reports of a member, and between two digests of a zone.
pub const EXCHANGE_MS: u64 = 400;
/// Time for which an aggregator keeps the sums that it returns.
const SUMS_TTL_MS: u64 = 120;
const REPORT_INTERVAL_MS: u64 = 3 * EXCHANGE_MS;
pub const WINDOW_MS: u64 = 8_000;
pub const UNITS_PER_REQUEST: f64 = 3_000.0;
pub const RATE: f64 = 100_000.0;
pub const BURST: f64 = 100_000.0;
const OVERSHOOT: f64 = 0.1;
pub const SLACK: f64 = 140_000.0;
/// Slack of the window in proportion to the rate of one of the largest organisations.
pub const SMALL_SLACK: f64 = 4_000.0;

pub struct Pattern {
    pub instances: usize,
    pub zones: usize,
    pub duration_ms: u64,
    /// Requested units per second of the whole fleet at a time.
    pub demand: fn(u64) -> f64,
    /// Rate of the cap at a time.
    pub rate: fn(u64) -> f64,
    /// Units that may be used in a window beyond the overshoot.
    pub slack: f64,
    /// Whether a zone is cut off from the others at a time.
    pub is_cut: fn(usize, u64) -> bool,
    /// Time at which half of the instances restart; 0 for never.
    pub restart_at_ms: u64,
    /// Whether an instance restarts in a step.
    pub is_restarting: fn(usize, u64) -> bool,
    /// Whether an instance is frozen at a time; what it is asked meanwhile waits.
    pub is_frozen: fn(usize, u64) -> bool,
    /// When the aggregators of the zones are replaced.
    pub replacement: Replacement,
    pub successor: Successor,
    /// Every so many instances get requests; the others are idle.
    pub busy_stride: fn(u64) -> (usize, usize),
    pub decision: Decision,
    /// Time that the digests of zones take to each other.
    pub digest_delay_ms: u64,
    /// Troubles and demand of a history, in place of the fixed ones above.
    pub history: Option<History>,
}

/// Where it is decided on a request.
#[derive(Clone, Copy, PartialEq)]
pub enum Decision {
    /// At the instance that has received it.
    Everywhere,
    /// At one instance for all, which is claimed from.
    OneInstance,
}

/// What happens to some of the instances.
#[derive(Clone, Copy, Debug)]
pub enum Trouble {
    Restart,
    Freeze,
    /// The zones of these instances are cut off from the others.
    Cut,
}

/// Demand and troubles over time.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Multiples of the rate that are asked for in each second.
    pub demand: Vec<f64>,
    /// Trouble, its beginning and length, and the instances or zones: those whose number modulo the first
    /// value is below the second one.
    pub troubles: Vec<(Trouble, u64, u64, usize, usize)>,
}

impl History {
    fn is_in_trouble(&self, is_kind: fn(Trouble) -> bool, number: usize, now_ms: u64) -> bool {
        self.troubles.iter().any(|&(kind, at_ms, for_ms, modulus, below)| {
            is_kind(kind)
                && (at_ms..at_ms + for_ms).contains(&now_ms)
                && number % modulus.max(1) < below
        })
    }
}

impl Pattern {
    fn demand_at(&self, now_ms: u64) -> f64 {
        match &self.history {
            Some(history) => {
                RATE * history.demand.get((now_ms / 1_000) as usize).copied().unwrap_or(1.0)
            }
            None => (self.demand)(now_ms),
        }
    }

    fn is_zone_cut(&self, zone: usize, now_ms: u64) -> bool {
        let is_cut = |kind| matches!(kind, Trouble::Cut);
        (self.is_cut)(zone, now_ms)
            || self.history.as_ref().is_some_and(|it| it.is_in_trouble(is_cut, zone, now_ms))
    }

    fn is_instance_frozen(&self, number: usize, now_ms: u64) -> bool {
        let is_freeze = |kind| matches!(kind, Trouble::Freeze);
        (self.is_frozen)(number, now_ms)
            || self.history.as_ref().is_some_and(|it| it.is_in_trouble(is_freeze, number, now_ms))
    }

    fn is_instance_restarting(&self, number: usize, now_ms: u64) -> bool {
        let is_due = |&(kind, at_ms, _, modulus, below): &(Trouble, u64, u64, usize, usize)| {
            matches!(kind, Trouble::Restart)
                && at_ms / STEP_MS == now_ms / STEP_MS
                && number % modulus.max(1) < below
        };
        (self.is_restarting)(number, now_ms)
            || self.history.as_ref().is_some_and(|it| it.troubles.iter().any(is_due))
    }
}

/// What replaces an aggregator.
#[derive(Clone, Copy, PartialEq)]
pub enum Successor {
    /// The second aggregator of the zone, to which all members have reported, too.
    Standby,
    /// An instance to which no member has reported yet.
    Restarted,
}

/// When aggregators are replaced.
#[derive(Clone, Copy)]
pub enum Replacement {
    /// They stay.
    Never,
    /// One zone after the other; each zone's after this time.
    InTurn(u64),
    /// Those of all zones in one step, each time after this time.
    Together(u64),
}

impl Replacement {
    /// Returns whether the aggregator of a zone is replaced at a time.
    fn is_due(self, zone: usize, zones: usize, now_ms: u64) -> bool {
        let (period_ms, phase_ms) = match self {
            Self::Never => return false,
            Self::InTurn(period_ms) => (period_ms, period_ms * zone as u64 / zones as u64),
            Self::Together(period_ms) => (period_ms, 0),
        };
        now_ms % period_ms == phase_ms / STEP_MS * STEP_MS
    }
}

impl Default for Pattern {
    fn default() -> Self {
        Self {
            instances: 295,
            zones: 6,
            duration_ms: 30_000,
            demand: |_| 6.0 * RATE,
            rate: |_| RATE,
            slack: SLACK,
            is_cut: |_, _| false,
            restart_at_ms: 0,
            is_restarting: |_, _| false,
            is_frozen: |_, _| false,
            replacement: Replacement::Never,
            successor: Successor::Standby,
            busy_stride: |_| (1, 0),
            decision: Decision::Everywhere,
            digest_delay_ms: 0,
            history: None,
        }
    }
}

struct Member {
    cap: SharedCap,
    boot: u64,
    sequence: u64,
    own: OwnDigests,
    demand: f64,
    deciders: DeciderTable,
}

struct Zone {
    aggregator: ZoneAggregator,
    /// Identifier of the aggregator's start.
    boot: u64,
    /// Sums that are returned to members, with the time at which they were made.
    sums: Option<(ZoneDigest, u64)>,
    /// Digests received from the other zones, with the time of their arrival.
    others: BTreeMap<usize, (ZoneDigest, u64)>,
    /// Digests on their way to this zone: sender, time of sending and digest.
    incoming: Vec<(usize, u64, ZoneDigest)>,
}

fn limits(rate: f64, slack: f64) -> CapLimits {
    let burst = BURST * rate / RATE;
    CapLimits::new(rate, burst, (WINDOW_MS, OVERSHOOT, slack), REPORT_INTERVAL_MS)
}

pub fn allowed_in_window(rate: f64, slack: f64) -> f64 {
    let burst = BURST * rate / RATE;
    (rate * WINDOW_MS as f64 / 1_000.0 + burst) * (1.0 + OVERSHOOT) + slack
}

fn member_digest(number: usize, zone: usize, member: &mut Member, now_ms: u64) -> MemberDigest {
    let usage = member.cap.broadcast_usage(now_ms);
    member.sequence += 1;
    MemberDigest {
        instance: format!("relay-{number}"),
        boot: member.boot,
        availability_zone: format!("zone-{zone}"),
        peer_address: "127.0.0.1:7000".parse().expect("an address"),
        sender_wall_ms: 0,
        cap_usage: BTreeMap::from([(ORGANISATION.to_owned(), usage)]),
        windows: Vec::new(),
        services: BTreeMap::new(),
        store_era: 0,
        version: None,
        departures: Vec::new(),
        committed_usage: Vec::new(),
        sequence: member.sequence,
        quarantine: Default::default(),
        limits: Vec::new(),
        is_stopping: false,
        tolerances: Vec::new(),
        decides_caps: true,
        part: Default::default(),
    }
}

fn apply(cap: &mut SharedCap, zone: &ZoneDigest, reported_at_ms: u64, now_ms: u64) {
    let report = UsageReport {
        availability_zone: &zone.availability_zone,
        peer: None,
        instances: zone.instances as usize,
        usage: zone.cap_usage.get(ORGANISATION).map_or(&[][..], Vec::as_slice),
        reported_at_ms,
    };
    cap.apply_report(&report, now_ms);
}

/// Plays a pattern; returns the units granted in each step.
pub fn play(pattern: &Pattern) -> Vec<f64> {
    let instances = pattern.instances;
    let new_member = |number: usize, boot: u64, rate: f64, now_ms: u64| Member {
        cap: SharedCap::new(limits(rate, pattern.slack), instances, now_ms)
            .with_shedding_phase((number as f64 * 0.7549).fract()),
        boot,
        sequence: 0,
        own: OwnDigests::default(),
        demand: 0.0,
        deciders: DeciderTable::default(),
    };
    let mut members: Vec<Member> =
        (0..instances).map(|number| new_member(number, 1, RATE, 0)).collect();
    let mut zones: Vec<Zone> = (0..pattern.zones)
        .map(|_| Zone {
            aggregator: ZoneAggregator::default(),
            boot: 1,
            sums: None,
            others: BTreeMap::new(),
            incoming: Vec::new(),
        })
        .collect();
    let mut granted = Vec::new();
    for now_ms in (0..pattern.duration_ms).step_by(STEP_MS as usize) {
        let rate = (pattern.rate)(now_ms);
        if pattern.restart_at_ms > 0 && now_ms == pattern.restart_at_ms {
            for (number, member) in members.iter_mut().enumerate().step_by(2) {
                *member = new_member(number, 2, rate, now_ms);
            }
        }
        for (number, member) in members.iter_mut().enumerate() {
            if pattern.is_instance_restarting(number, now_ms) {
                *member = new_member(number, member.boot + 1, rate, now_ms);
            }
        }
        for member in &mut members {
            member.cap.set_limits(limits(rate, pattern.slack));
            member.cap.set_wall_time(now_ms);
        }
        for (number, zone) in zones.iter_mut().enumerate() {
            if pattern.replacement.is_due(number, pattern.zones, now_ms) {
                if pattern.successor == Successor::Restarted {
                    zone.aggregator = ZoneAggregator::default();
                }
                zone.boot += 1;
                zone.sums = None;
            }
        }
        let mut units = 0.0;
        let mut requests = Vec::new();
        let (stride, first) = (pattern.busy_stride)(now_ms);
        let busy = (first..instances).step_by(stride).count();
        for (number, member) in members.iter_mut().enumerate() {
            if number % stride != first {
                continue;
            }
            // Requests of an instance are seconds apart; the fraction spreads them over the fleet.
            let share = pattern.demand_at(now_ms) / busy as f64;
            if member.demand == 0.0 {
                member.demand = (number as f64 * 0.618).fract() * UNITS_PER_REQUEST;
            }
            member.demand += share * STEP_MS as f64 / 1_000.0;
            if pattern.is_instance_frozen(number, now_ms) {
                continue;
            }
            while member.demand >= UNITS_PER_REQUEST {
                member.demand -= UNITS_PER_REQUEST - f64::EPSILON;
                requests.push(number);
            }
        }
        for number in requests {
            let is_granted =
                match choose_decider(pattern, &mut members[number].deciders, number, now_ms) {
                    Some(decider) => {
                        let cap = &mut members[decider].cap;
                        if decider != number {
                            cap.record_claim(&format!("zone-{}", number % pattern.zones), now_ms);
                        }
                        cap.try_acquire(UNITS_PER_REQUEST, 1, instances, now_ms)
                    }
                    None => {
                        let cap = &mut members[number].cap;
                        cap.try_acquire_alone(UNITS_PER_REQUEST, 1, instances, now_ms)
                    }
                };
            if is_granted.is_ok() {
                units += UNITS_PER_REQUEST;
            }
        }
        granted.push(units);
        exchange(pattern, &mut members, &mut zones, now_ms);
    }
    granted
}

/// Claims of a request before its instance decides alone.
const MAX_CLAIMS: usize = 3;

/// Returns the instance that decides on a request to `number`; `None` if those that it asks don't reply.
fn choose_decider(
    pattern: &Pattern,
    deciders: &mut DeciderTable,
    number: usize,
    now_ms: u64,
) -> Option<usize> {
    if pattern.decision == Decision::Everywhere {
        return Some(number);
    }
    let zone = number % pattern.zones;
    let mut asked_before = Vec::new();
    for _ in 0..MAX_CLAIMS {
        let own = format!("relay-{number}");
        let name = match deciders.choose(ORGANISATION, &own, &asked_before, now_ms) {
            Decider::Other { name, .. } => name,
            Decider::Own | Decider::Nobody => return Some(number),
            Decider::Unheard => return None,
        };
        let asked: usize = name.trim_start_matches("relay-").parse().expect("a number");
        let other_zone = asked % pattern.zones;
        let is_cut = other_zone != zone
            && (pattern.is_zone_cut(zone, now_ms) || pattern.is_zone_cut(other_zone, now_ms));
        let has_replied = !is_cut && !pattern.is_instance_frozen(asked, now_ms);
        deciders.record_reply(&name, has_replied, now_ms);
        if has_replied {
            return Some(asked);
        }
        asked_before.push(name);
    }
    None
}

fn exchange(pattern: &Pattern, members: &mut [Member], zones: &mut [Zone], now_ms: u64) {
    for zone in zones.iter_mut() {
        let arrived = zone
            .incoming
            .extract_if(.., |(_, sent_at_ms, _)| *sent_at_ms + pattern.digest_delay_ms <= now_ms);
        for (from, sent_at_ms, digest) in arrived {
            zone.others.insert(from, (digest, sent_at_ms));
        }
    }
    for (number, member) in members.iter_mut().enumerate() {
        let phase_ms = (number as u64 * 7) % (EXCHANGE_MS / STEP_MS) * STEP_MS;
        if now_ms % EXCHANGE_MS != phase_ms || pattern.is_instance_frozen(number, now_ms) {
            continue;
        }
        let zone_number = number % pattern.zones;
        let digest = member_digest(number, zone_number, member, now_ms);
        member.own.record(digest.clone());
        let zone = &mut zones[zone_number];
        zone.aggregator.record(digest, now_ms);
        let sums = sums_of(zone, zone_number, now_ms);
        let mut own_zone = sums.0.clone();
        for (digest, at_ms) in zone.others.values().chain(std::iter::once(&sums)) {
            let source = &digest.availability_zone;
            member.deciders.record(source, digest.deciders.clone(), *at_ms);
        }
        if member.own.subtract_from(&mut own_zone, &format!("relay-{number}")) {
            apply(&mut member.cap, &own_zone, sums.1, now_ms);
        }
        for (other, received_at_ms) in zone.others.values() {
            apply(&mut member.cap, other, *received_at_ms, now_ms);
        }
    }
    for from in 0..pattern.zones {
        if now_ms % EXCHANGE_MS != from as u64 * STEP_MS {
            continue;
        }
        let sums = sums_of(&mut zones[from], from, now_ms);
        for to in (0..pattern.zones).filter(|to| *to != from) {
            if !pattern.is_zone_cut(from, now_ms) && !pattern.is_zone_cut(to, now_ms) {
                zones[to].incoming.push((from, now_ms, sums.0.clone()));
            }
        }
    }
}

fn sums_of(zone: &mut Zone, number: usize, now_ms: u64) -> (ZoneDigest, u64) {
    if let Some(sums) = zone.sums.as_ref().filter(|(_, at_ms)| now_ms - at_ms < SUMS_TTL_MS) {
        return sums.clone();
    }
    let mut digest = ZoneDigest::new(&format!("zone-{number}"), "aggregator", zone.boot);
    zone.aggregator.sum_into(&mut digest, now_ms);
    zone.sums = Some((digest.clone(), now_ms));
    (digest, now_ms)
}

/// Units granted in the windows that begin at or after `from_ms`, relative to what is allowed.
pub fn windows(granted: &[f64], from_ms: u64, rate: f64, slack: f64) -> Vec<f64> {
    let length = (WINDOW_MS / STEP_MS) as usize;
    let first = (from_ms / STEP_MS) as usize;
    let windows = granted[first..].windows(length);
    windows.map(|window| window.iter().sum::<f64>() / allowed_in_window(rate, slack)).collect()
}

pub fn worst(windows: &[f64]) -> f64 {
    windows.iter().copied().fold(0.0, f64::max)
}

/// Units granted per second from `from_ms` on, relative to the rate.
pub fn use_of_rate(granted: &[f64], from_ms: u64, rate: f64) -> f64 {
    let later = &granted[(from_ms / STEP_MS) as usize..];
    later.iter().sum::<f64>() / (later.len() as f64 * STEP_MS as f64 / 1_000.0) / rate
}
