//! Crashing parts of prompts beside other faults: what the quarantine must hold in fleets of each size.
//!
//! Bounds are those of the quarantine: three requests with a part reach engines later than the contact
//! time after the fifth end, sound requests with its first part begin at least half as often as in the
//! same pattern without it, and no other part is quarantined.

use hickorycourse_model::{CrashPattern, CrashPolicy, find_crash_pattern, run_crashes};

/// Requests that may reach engines after the fifth end and the contact time.
const MAX_LATE_ATTEMPTS: u64 = 3;
/// Seeds for six instances with four engines, all of which crashing parts may end within a second.
const SMALL_FLEET_SEEDS: u64 = 4;

fn pattern(name: &str, instances: usize) -> CrashPattern {
    find_crash_pattern(name).expect("the pattern is predefined").with_instances(instances)
}

/// Checks one run against the bounds; returns what breaks them.
fn check_run(pattern: &CrashPattern, seed: u64) -> Vec<String> {
    let report = run_crashes(pattern, CrashPolicy::chosen(), seed);
    let sound = pattern.clone().without_crashing_parts();
    let reference = run_crashes(&sound, CrashPolicy::baseline(), seed);
    let title = format!("{} {} seed {seed}", pattern.name, pattern.instances);
    println!("{}", report.format_line(&title));
    let mut broken = Vec::new();
    if report.max_late_attempts() > MAX_LATE_ATTEMPTS {
        broken.push(format!("{title}: {} late attempts", report.max_late_attempts()));
    }
    if report.begun_sibling_ratio() < reference.begun_sibling_ratio() / 2.0 {
        let ratios = (report.begun_sibling_ratio(), reference.begun_sibling_ratio());
        broken.push(format!("{title}: {ratios:?} of the sound requests began"));
    }
    broken.extend(report.false_verdicts().map(|verdict| format!("{title}: {verdict:?}")));
    broken
}

fn check(name: &str, instances: usize, seeds: u64) {
    let pattern = pattern(name, instances);
    let broken: Vec<String> = (1..=seeds).flat_map(|seed| check_run(&pattern, seed)).collect();
    assert!(broken.is_empty(), "{broken:#?}");
}

/// Replays a pattern with its other faults only.
fn check_sound(name: &str, instances: usize, seeds: u64) {
    let pattern = pattern(name, instances).without_crashing_parts();
    for seed in 1..=seeds {
        let report = run_crashes(&pattern, CrashPolicy::chosen(), seed);
        let verdicts: Vec<_> = report.verdicts.iter().collect();
        assert!(verdicts.is_empty(), "{name} {instances} seed {seed}: {verdicts:?}");
    }
}

#[test]
fn run_crashes_rare_part_bounded() {
    check("rare", 76, 1);
}

#[test]
fn run_crashes_steady_part_bounded() {
    check("steady", 76, 1);
    check("steady", 295, 1);
}

#[test]
fn run_crashes_frequent_part_bounded() {
    check("frequent", 76, 1);
}

#[test]
fn run_crashes_two_parts_bounded() {
    check("two-parts", 76, 1);
}

#[test]
fn run_crashes_later_part_bounded() {
    check("later", 76, 1);
}

#[test]
fn run_crashes_popular_part_beside_bounded() {
    check("popular-beside", 76, 1);
}

#[test]
fn run_crashes_followed_part_bounded() {
    check("followed", 76, 1);
}

#[test]
fn run_crashes_small_waves_bounded() {
    check("small-waves", 76, 1);
}

#[test]
fn run_crashes_large_waves_bounded() {
    check("large-waves", 76, 1);
}

#[test]
fn run_crashes_spread_waves_bounded() {
    check("spread-waves", 76, 1);
}

#[test]
fn run_crashes_rolling_restart_bounded() {
    check("rolling-restart", 76, 1);
}

#[test]
fn run_crashes_faulty_engines_bounded() {
    check("faulty-engines", 76, 1);
}

#[test]
fn run_crashes_connection_resets_bounded() {
    check("connection-resets", 76, 1);
}

#[test]
fn run_crashes_zone_cut_bounded() {
    check("zone-cut", 76, 1);
}

#[test]
fn run_crashes_instance_restart_bounded() {
    check("instance-restart", 76, 1);
}

#[test]
fn run_crashes_one_part_in_small_fleet_bounded() {
    for name in ["rare", "steady", "frequent", "later", "popular-beside", "followed"] {
        check(name, 6, SMALL_FLEET_SEEDS);
    }
}

#[test]
fn run_crashes_other_faults_in_small_fleet_bounded() {
    for name in ["small-waves", "spread-waves", "connection-resets", "faulty-engines"] {
        check(name, 6, SMALL_FLEET_SEEDS);
    }
    check("instance-restart", 6, SMALL_FLEET_SEEDS);
}

#[test]
fn run_crashes_large_waves_in_small_fleet_bounded() {
    check("large-waves", 6, SMALL_FLEET_SEEDS);
}

#[test]
fn run_crashes_zone_cut_in_small_fleet_bounded() {
    check("zone-cut", 6, SMALL_FLEET_SEEDS);
}

#[test]
fn run_crashes_two_parts_in_small_fleet_bounded() {
    check("two-parts", 6, SMALL_FLEET_SEEDS);
}

#[test]
fn run_crashes_rolling_restart_in_small_fleet_bounded() {
    check("rolling-restart", 6, SMALL_FLEET_SEEDS);
}

#[test]
fn run_crashes_no_crashing_part_no_verdict() {
    check_sound("steady", 76, 1);
    check_sound("steady", 6, SMALL_FLEET_SEEDS);
}

#[test]
fn run_crashes_waves_alone_no_verdict() {
    for name in ["small-waves", "large-waves", "spread-waves"] {
        check_sound(name, 76, 1);
    }
    check_sound("small-waves", 6, SMALL_FLEET_SEEDS);
    check_sound("large-waves", 6, SMALL_FLEET_SEEDS);
}

#[test]
fn run_crashes_spread_waves_alone_in_small_fleet_no_verdict() {
    check_sound("spread-waves", 6, SMALL_FLEET_SEEDS);
}

#[test]
fn run_crashes_other_faults_alone_no_verdict() {
    let names = ["rolling-restart", "faulty-engines", "connection-resets", "zone-cut"];
    for name in names.into_iter().chain(["instance-restart"]) {
        check_sound(name, 76, 1);
        check_sound(name, 6, SMALL_FLEET_SEEDS);
    }
}

/// Without quarantine, the bounds are broken: the patterns do show what they are for.
#[test]
fn run_crashes_without_quarantine_unbounded() {
    for name in ["rare", "steady", "frequent"] {
        let report = run_crashes(&pattern(name, 6), CrashPolicy::baseline(), 1);
        assert!(report.max_late_attempts() > MAX_LATE_ATTEMPTS, "{name}: {report:?}");
    }
}

#[test]
fn run_crashes_same_seed_gives_same_report() {
    let pattern = pattern("large-waves", 6);
    let reports = [0, 1].map(|_| run_crashes(&pattern, CrashPolicy::chosen(), 7));
    assert_eq!(reports[0], reports[1]);
}

#[test]
fn run_crashes_one_request_bounded() {
    check("request", 6, SMALL_FLEET_SEEDS);
    check("request", 76, 1);
}

#[test]
fn run_crashes_two_requests_bounded() {
    check("request-two", 6, SMALL_FLEET_SEEDS);
    check("request-two", 76, 1);
}

#[test]
fn run_crashes_request_beside_part_bounded() {
    check("request-beside-part", 6, SMALL_FLEET_SEEDS);
    check("request-beside-part", 76, 1);
}

#[test]
fn run_crashes_request_in_waves_bounded() {
    for name in ["request-small-waves", "request-spread-waves", "request-all-at-once"] {
        check(name, 6, SMALL_FLEET_SEEDS);
    }
    check("request-large-waves", 76, 1);
}

#[test]
fn run_crashes_request_answered_before_bounded() {
    check("request-later", 6, SMALL_FLEET_SEEDS);
    check("request-later", 76, 1);
}

#[test]
fn run_crashes_polls_in_waves_alone_no_verdict() {
    for name in ["request-large-waves", "request-spread-waves", "request-all-at-once"] {
        check_sound(name, 6, SMALL_FLEET_SEEDS);
    }
}
