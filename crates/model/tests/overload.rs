//! Seconds of overload: long requests at 2.3 times their rate for 4 s while half of the engines are taken
//! away, with most urgent short requests and small ones of the next rank beside.

use hickorycourse_model::prelude::*;
use hickorycourse_model::{CallerGroup, Fault, SecondReport, overload};

/// Seconds of the surge.
const SURGE: std::ops::Range<u64> = 4..8;
/// Seconds of the surge and of the shortage that it leaves behind, while half of the engines are away.
const SHORTAGE: std::ops::Range<u64> = 4..12;
/// Seconds from one second after the surge on, in which half of the engines are still away.
const AFTER: std::ops::Range<u64> = 9..12;
const MOST_URGENT: &str = "question";

/// Outcomes of the groups that `is_counted` selects, of requests that arrived in these seconds.
fn sum(
    report: &Report,
    seconds: std::ops::Range<u64>,
    is_counted: impl Fn(&str) -> bool,
) -> SecondReport {
    let counted = report
        .seconds
        .iter()
        .filter(|((name, second), _)| seconds.contains(second) && is_counted(name));
    counted.fold(SecondReport::default(), |sum, (_, second)| SecondReport {
        requests: sum.requests + second.requests,
        on_time: sum.on_time + second.on_time,
        late: sum.late + second.late,
    })
}

fn on_time_ratio(report: &SecondReport) -> f64 {
    report.on_time as f64 / report.requests.max(1) as f64
}

/// Part of the engine time of sent requests that went to late answers.
fn late_work(pattern: &LoadPattern, report: &Report, seconds: std::ops::Range<u64>) -> f64 {
    let (mut late, mut sent) = (0.0, 0.0);
    for group in &pattern.groups {
        let sums = sum(report, seconds.clone(), |name| name == group.name);
        let work = (group.own_tokens + 10 * group.output_tokens) as f64;
        late += work * sums.late as f64;
        sent += work * (sums.late + sums.on_time) as f64;
    }
    late / sent
}

/// Least on-time ratio of a caller group of the surging rank, relative to that of all of its requests.
fn least_share(pattern: &LoadPattern, report: &Report) -> f64 {
    let is_surging =
        |name: &str| pattern.groups.iter().any(|group| group.name == name && group.urgency == 2);
    let mean = on_time_ratio(&sum(report, SHORTAGE, is_surging));
    let surging = pattern.groups.iter().filter(|group| is_surging(group.name));
    let shares = surging
        .map(|group| on_time_ratio(&sum(report, SHORTAGE, |name| name == group.name)) / mean);
    shares.fold(f64::INFINITY, f64::min)
}

fn simulate(pattern: &LoadPattern, policy: Policy, seed: u64) -> Report {
    let report = run(pattern, policy, seed).expect("the simulation runs");
    println!(
        "{} relays {policy:?}: most urgent {:.3}; on time in the surge {}, in the shortage {}; late work {:.3}, \
         {:.3}; least group {:.2}; after {:.3}",
        pattern.relays,
        on_time_ratio(&sum(&report, SHORTAGE, |name| name == MOST_URGENT)),
        sum(&report, SURGE, |_| true).on_time,
        sum(&report, SHORTAGE, |_| true).on_time,
        late_work(pattern, &report, SURGE),
        late_work(pattern, &report, SHORTAGE),
        least_share(pattern, &report),
        on_time_ratio(&sum(&report, AFTER, |_| true)),
    );
    report
}

/// The same load without the surge.
fn without_surge(pattern: &LoadPattern) -> LoadPattern {
    let groups = pattern.groups.iter().cloned();
    let groups = groups.map(|group| CallerGroup { surge: None, ..group }).collect();
    LoadPattern { groups, ..pattern.clone() }
}

fn check_overload(relays: usize, seed: u64) {
    let pattern = overload(relays);
    let today = simulate(&pattern, Policy::Chosen, seed);
    let report = simulate(&pattern, Policy::FleetAdmission, seed);
    let calm = simulate(&without_surge(&pattern), Policy::FleetAdmission, seed);
    let on_time = |report: &Report| sum(report, SHORTAGE, |_| true).on_time as f64;
    let after = |report: &Report| on_time_ratio(&sum(report, AFTER, |_| true));
    let most_urgent = sum(&report, SHORTAGE, |name| name == MOST_URGENT);
    assert!(on_time_ratio(&most_urgent) >= 0.95);
    assert!(late_work(&pattern, &report, SHORTAGE) < 0.1);
    assert!(on_time(&report) >= 1.25 * on_time(&today));
    assert!(least_share(&pattern, &report) >= 0.25);
    assert!(after(&report) >= 0.95 * after(&calm));
}

#[test]
fn refuse_in_overload_6_instances() {
    check_overload(6, 1);
}

#[test]
fn refuse_in_overload_60_instances() {
    check_overload(60, 1);
}

#[test]
fn refuse_in_overload_300_instances() {
    check_overload(300, 1);
}

#[test]
fn refuse_in_overload_zone_cut_off() {
    // The relays of the zone know the engines of the whole fleet, and the demand of the others no more.
    let mut pattern = overload(60);
    pattern.faults.push(Fault::ZonePartition { zone: 1, from_ms: 5_000, until_ms: 8_000 });
    let today = simulate(&pattern, Policy::Chosen, 1);
    let report = simulate(&pattern, Policy::FleetAdmission, 1);
    let on_time = |report: &Report| sum(report, SHORTAGE, |_| true).on_time as f64;
    assert!(on_time(&report) >= 1.25 * on_time(&today));
}

#[test]
fn refuse_in_overload_beside_earlier_builds() {
    // Half of the relays report no classes and refuse by their own forecasts.
    let pattern = LoadPattern { earlier_relays: 30, ..overload(60) };
    let today = simulate(&pattern, Policy::Chosen, 1);
    let report = simulate(&pattern, Policy::FleetAdmission, 1);
    let on_time = |report: &Report| sum(report, SHORTAGE, |_| true).on_time as f64;
    assert!(on_time(&report) > on_time(&today));
}
