//! Caps in fleets of any size, whose instances learn of each other's use through aggregators.

use std::collections::BTreeMap;

use hickorycourse_caps::{CapLimits, SharedCap, UsageReport};
use hickorycourse_digest::{MemberDigest, OwnDigests, ZoneAggregator, ZoneDigest};

const ORGANISATION: &str = "dealer";
const STEP_MS: u64 = 20;
/// Interval between two reports of a member, and between two digests of a zone.
const EXCHANGE_MS: u64 = 400;
/// Time for which an aggregator keeps the sums that it returns.
const SUMS_TTL_MS: u64 = 120;
const REPORT_INTERVAL_MS: u64 = 3 * EXCHANGE_MS;
const WINDOW_MS: u64 = 8_000;
const UNITS_PER_REQUEST: f64 = 3_000.0;
const RATE: f64 = 100_000.0;
const BURST: f64 = 100_000.0;
const OVERSHOOT: f64 = 0.1;
const SLACK: f64 = 140_000.0;
/// Slack of the window in proportion to the rate of one of the largest organisations.
const SMALL_SLACK: f64 = 4_000.0;

struct Pattern {
    instances: usize,
    zones: usize,
    duration_ms: u64,
    /// Requested units per second of the whole fleet at a time.
    demand: fn(u64) -> f64,
    /// Rate of the cap at a time.
    rate: fn(u64) -> f64,
    /// Units that may be used in a window beyond the overshoot.
    slack: f64,
    /// Whether a zone is cut off from the others at a time.
    is_cut: fn(usize, u64) -> bool,
    /// Time at which half of the instances restart; 0 for never.
    restart_at_ms: u64,
    /// Whether an instance restarts in a step.
    is_restarting: fn(usize, u64) -> bool,
    /// Whether an instance is frozen at a time; what it is asked meanwhile waits.
    is_frozen: fn(usize, u64) -> bool,
    /// When the aggregators of the zones are replaced.
    replacement: Replacement,
    successor: Successor,
    /// Every so many instances get requests; the others are idle.
    busy_stride: fn(u64) -> (usize, usize),
}

/// What replaces an aggregator.
#[derive(Clone, Copy, PartialEq)]
enum Successor {
    /// The second aggregator of the zone, to which all members have reported, too.
    Standby,
    /// An instance to which no member has reported yet.
    Restarted,
}

/// When aggregators are replaced.
#[derive(Clone, Copy)]
enum Replacement {
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
        }
    }
}

struct Member {
    cap: SharedCap,
    boot: u64,
    sequence: u64,
    own: OwnDigests,
    demand: f64,
}

struct Zone {
    aggregator: ZoneAggregator,
    /// Identifier of the aggregator's start.
    boot: u64,
    /// Sums that are returned to members, with the time at which they were made.
    sums: Option<(ZoneDigest, u64)>,
    /// Digests received from the other zones, with the time of their arrival.
    others: BTreeMap<usize, (ZoneDigest, u64)>,
}

fn limits(rate: f64, slack: f64) -> CapLimits {
    let burst = BURST * rate / RATE;
    CapLimits::new(rate, burst, (WINDOW_MS, OVERSHOOT, slack), REPORT_INTERVAL_MS)
}

fn allowed_in_window(rate: f64, slack: f64) -> f64 {
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
        part: Default::default(),
        tolerances: Vec::new(),
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
fn play(pattern: &Pattern) -> Vec<f64> {
    let instances = pattern.instances;
    let new_member = |number: usize, boot: u64, rate: f64, now_ms: u64| Member {
        cap: SharedCap::new(limits(rate, pattern.slack), instances, now_ms)
            .with_shedding_phase((number as f64 * 0.7549).fract()),
        boot,
        sequence: 0,
        own: OwnDigests::default(),
        demand: 0.0,
    };
    let mut members: Vec<Member> =
        (0..instances).map(|number| new_member(number, 1, RATE, 0)).collect();
    let mut zones: Vec<Zone> = (0..pattern.zones)
        .map(|_| Zone {
            aggregator: ZoneAggregator::default(),
            boot: 1,
            sums: None,
            others: BTreeMap::new(),
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
            if (pattern.is_restarting)(number, now_ms) {
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
        let (stride, first) = (pattern.busy_stride)(now_ms);
        let busy = (first..instances).step_by(stride).count();
        for (number, member) in members.iter_mut().enumerate() {
            if number % stride != first {
                continue;
            }
            // Requests of an instance are seconds apart; the fraction spreads them over the fleet.
            let share = (pattern.demand)(now_ms) / busy as f64;
            if member.demand == 0.0 {
                member.demand = (number as f64 * 0.618).fract() * UNITS_PER_REQUEST;
            }
            member.demand += share * STEP_MS as f64 / 1_000.0;
            if (pattern.is_frozen)(number, now_ms) {
                continue;
            }
            while member.demand >= UNITS_PER_REQUEST {
                member.demand -= UNITS_PER_REQUEST - f64::EPSILON;
                if member.cap.try_acquire(UNITS_PER_REQUEST, 1, instances, now_ms).is_ok() {
                    units += UNITS_PER_REQUEST;
                }
            }
        }
        granted.push(units);
        exchange(pattern, &mut members, &mut zones, now_ms);
    }
    granted
}

fn exchange(pattern: &Pattern, members: &mut [Member], zones: &mut [Zone], now_ms: u64) {
    for (number, member) in members.iter_mut().enumerate() {
        let phase_ms = (number as u64 * 7) % (EXCHANGE_MS / STEP_MS) * STEP_MS;
        if now_ms % EXCHANGE_MS != phase_ms || (pattern.is_frozen)(number, now_ms) {
            continue;
        }
        let zone_number = number % pattern.zones;
        let digest = member_digest(number, zone_number, member, now_ms);
        member.own.record(digest.clone());
        let zone = &mut zones[zone_number];
        zone.aggregator.record(digest, now_ms);
        let sums = sums_of(zone, zone_number, now_ms);
        let mut own_zone = sums.0.clone();
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
            if !(pattern.is_cut)(from, now_ms) && !(pattern.is_cut)(to, now_ms) {
                zones[to].others.insert(from, (sums.0.clone(), now_ms));
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
fn windows(granted: &[f64], from_ms: u64, rate: f64, slack: f64) -> Vec<f64> {
    let length = (WINDOW_MS / STEP_MS) as usize;
    let first = (from_ms / STEP_MS) as usize;
    let windows = granted[first..].windows(length);
    windows.map(|window| window.iter().sum::<f64>() / allowed_in_window(rate, slack)).collect()
}

fn worst(windows: &[f64]) -> f64 {
    windows.iter().copied().fold(0.0, f64::max)
}

/// Units granted per second from `from_ms` on, relative to the rate.
fn use_of_rate(granted: &[f64], from_ms: u64, rate: f64) -> f64 {
    let later = &granted[(from_ms / STEP_MS) as usize..];
    later.iter().sum::<f64>() / (later.len() as f64 * STEP_MS as f64 / 1_000.0) / rate
}

const SIZES: [(usize, usize); 3] = [(24, 4), (295, 6), (1_100, 9)];

// Load pattern: an organisation asks for six times its cap from the first second on.
#[test]
fn flood_from_start_stays_within_cap_and_uses_it() {
    for (instances, zones) in SIZES {
        let granted = play(&Pattern { instances, zones, ..Pattern::default() });
        let most = worst(&windows(&granted, 0, RATE, SLACK));
        println!("{instances} instances: worst window {most:.3}");
        assert!(most <= 1.0, "{instances} instances: {most}");
        let used = use_of_rate(&granted, 10_000, RATE);
        assert!(used >= 0.9, "{instances} instances use {used} of the rate");
    }
}

// Load pattern: the bucket is full when the flood begins, and no instance has reported any use.
#[test]
fn flood_after_idle_stays_within_cap_and_uses_it() {
    for (instances, zones) in SIZES {
        let demand = |now_ms| if now_ms < 10_000 { 0.0 } else { 6.0 * RATE };
        let pattern =
            Pattern { instances, zones, demand, duration_ms: 40_000, ..Pattern::default() };
        let granted = play(&pattern);
        let most = worst(&windows(&granted, 0, RATE, SLACK));
        println!("{instances} instances: worst window {most:.3}");
        assert!(most <= 1.0, "{instances} instances: {most}");
        let used = use_of_rate(&granted, 20_000, RATE);
        assert!(used >= 0.9, "{instances} instances use {used} of the rate");
    }
}

// Load pattern: the operators lower a cap to a quarter under load. It binds one window after all
// instances have applied it.
#[test]
fn lowered_cap_binds_after_one_window() {
    for (instances, zones) in SIZES {
        let rate = |now_ms| if now_ms < 12_000 { RATE } else { RATE / 4.0 };
        let pattern = Pattern { instances, zones, rate, duration_ms: 40_000, ..Pattern::default() };
        let granted = play(&pattern);
        let most = worst(&windows(&granted, 12_000 + WINDOW_MS, RATE / 4.0, SLACK));
        println!("{instances} instances: worst window {most:.3}");
        assert!(most <= 1.0, "{instances} instances: {most}");
    }
}

// Load pattern: one zone is cut off during the flood; neither side knows what the other uses.
#[test]
fn flood_with_zone_cut_stays_within_cap() {
    for (instances, zones) in SIZES {
        let is_cut = |zone, now_ms| zone == 0 && (8_000..20_000).contains(&now_ms);
        let granted = play(&Pattern { instances, zones, is_cut, ..Pattern::default() });
        let most = worst(&windows(&granted, 0, RATE, SLACK));
        println!("{instances} instances: worst window {most:.3}");
        assert!(most <= 1.0, "{instances} instances: {most}");
    }
}

// Load pattern: half of the processes are killed at once during the flood and start again without
// knowledge of what was used.
#[test]
fn flood_with_herd_of_restarts_stays_within_cap() {
    for (instances, zones) in SIZES {
        let pattern = Pattern { instances, zones, restart_at_ms: 10_000, ..Pattern::default() };
        let granted = play(&pattern);
        let most = worst(&windows(&granted, 0, RATE, SLACK));
        println!("{instances} instances: worst window {most:.3}");
        assert!(most <= 1.0, "{instances} instances: {most}");
    }
}

const REPLACED_SIZES: [(usize, usize); 2] = [(76, 6), (295, 6)];

fn assert_cap_is_kept(pattern: &Pattern) -> Vec<f64> {
    let granted = play(pattern);
    let instances = pattern.instances;
    let most = worst(&windows(&granted, 0, RATE, pattern.slack));
    println!("{instances} instances: worst window {most:.3}");
    assert!(most <= 1.0, "{instances} instances: {most}");
    granted
}

fn assert_cap_is_kept_and_used(pattern: &Pattern) {
    let granted = assert_cap_is_kept(pattern);
    let used = use_of_rate(&granted, 10_000, RATE);
    println!("{} instances use {used:.3}", pattern.instances);
    assert!(used >= 0.9, "{} instances use {used} of the rate", pattern.instances);
}

// Load pattern: a flood from the first second on, while the instances that report for the zones change.
#[test]
fn use_reported_by_successive_aggregators_is_not_forgotten() {
    for (instances, zones) in REPLACED_SIZES {
        for replacement in [Replacement::InTurn(1_000), Replacement::Together(1_000)] {
            let pattern = Pattern { instances, zones, replacement, ..Pattern::default() };
            assert_cap_is_kept_and_used(&pattern);
        }
    }
}

// Load pattern: the same with aggregators that have just started and learn of each member anew.
#[test]
fn use_reported_by_restarted_aggregators_is_not_counted_twice() {
    for (instances, zones) in REPLACED_SIZES {
        for replacement in [Replacement::InTurn(3_000), Replacement::Together(3_000)] {
            let successor = Successor::Restarted;
            let pattern =
                Pattern { instances, zones, replacement, successor, ..Pattern::default() };
            assert_cap_is_kept_and_used(&pattern);
        }
    }
}

// Load pattern: aggregators change at the moment at which a full bucket meets the flood.
#[test]
fn use_reported_by_successive_aggregators_is_not_forgotten_after_idle() {
    for (instances, zones) in REPLACED_SIZES {
        let demand = |now_ms| if now_ms < 10_000 { 0.0 } else { 6.0 * RATE };
        let replacement = Replacement::Together(1_000);
        let pattern = Pattern { instances, zones, demand, replacement, ..Pattern::default() };
        assert_cap_is_kept(&pattern);
    }
}

// Load pattern: aggregators change while a zone is cut off.
#[test]
fn use_reported_by_successive_aggregators_is_not_forgotten_in_cut() {
    for (instances, zones) in REPLACED_SIZES {
        let is_cut = |zone, now_ms| zone == 0 && (8_000..20_000).contains(&now_ms);
        let replacement = Replacement::InTurn(1_000);
        let pattern = Pattern { instances, zones, is_cut, replacement, ..Pattern::default() };
        assert_cap_is_kept(&pattern);
    }
}

// Load pattern: an organisation calls a seventh of the instances, others every three seconds.
#[test]
fn flood_that_wanders_stays_within_cap() {
    for (instances, zones) in REPLACED_SIZES {
        let busy_stride = |now_ms| (7, (now_ms / 3_000 % 7) as usize);
        assert_cap_is_kept(&Pattern { instances, zones, busy_stride, ..Pattern::default() });
    }
}

// Load pattern: one of the largest organisations, for which the slack is next to nothing, floods a full bucket;
// everywhere, or at one instance in thirty.
#[test]
fn flood_of_large_organisation_after_idle_stays_within_cap() {
    for (instances, zones) in REPLACED_SIZES {
        for busy_stride in [|_| (1, 0), |_| (30, 0)] as [fn(u64) -> (usize, usize); 2] {
            for replacement in [Replacement::Never, Replacement::InTurn(1_000)] {
                assert_cap_is_kept(&Pattern {
                    instances,
                    zones,
                    demand: |now_ms| if now_ms < 10_000 { 0.0 } else { 6.0 * RATE },
                    slack: SMALL_SLACK,
                    duration_ms: 25_000,
                    busy_stride,
                    replacement,
                    ..Pattern::default()
                });
            }
        }
    }
}

// Load pattern: half of the instances stand still for 2 s, every 6 s, and then serve what has waited.
#[test]
fn flood_with_frozen_instances_stays_within_cap() {
    for (instances, zones) in REPLACED_SIZES {
        let is_frozen = |number: usize, now_ms: u64| {
            number.is_multiple_of(2) && now_ms >= 6_000 && now_ms % 6_000 < 2_000
        };
        assert_cap_is_kept(&Pattern { instances, zones, is_frozen, ..Pattern::default() });
    }
}

// Load pattern: all instances restart within 10 s, one after the other.
#[test]
fn flood_with_restart_of_all_stays_within_cap() {
    for (instances, zones) in REPLACED_SIZES {
        let is_restarting = |number: usize, now_ms: u64| {
            (8_000..18_000).contains(&now_ms) && (now_ms - 8_000) / STEP_MS == number as u64 % 500
        };
        assert_cap_is_kept(&Pattern { instances, zones, is_restarting, ..Pattern::default() });
    }
}

// Load pattern: the operators lower a cap to a quarter and raise it again within a window, several times. The
// highest cap of a window binds.
#[test]
fn cap_raised_and_lowered_within_window_is_kept() {
    for (instances, zones) in REPLACED_SIZES {
        let rate = |now_ms| if now_ms / 2_000 % 2 == 0 { RATE } else { RATE / 4.0 };
        assert_cap_is_kept(&Pattern { instances, zones, rate, ..Pattern::default() });
    }
}

// Load pattern: one of the largest organisations calls for a second every two, each time other instances. What
// reports tell of demand and use is over when it arrives.
#[test]
fn pulsed_flood_that_wanders_stays_within_cap() {
    for (instances, zones) in REPLACED_SIZES {
        let demand = |now_ms: u64| match now_ms {
            0..10_000 => 0.0,
            _ if (now_ms / 1_000).is_multiple_of(2) => 4.0 * RATE,
            _ => 0.3 * RATE,
        };
        let busy_stride = |now_ms| (15, (now_ms / 1_000 % 15) as usize);
        let slack = SMALL_SLACK;
        assert_cap_is_kept(&Pattern {
            instances,
            zones,
            demand,
            busy_stride,
            slack,
            ..Pattern::default()
        });
    }
}
