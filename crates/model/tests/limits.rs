//! Upstreams that name rate limits, before fleets that change: the bound of four seconds, and the use of
//! the limits while there is demand.

use hickorycourse_model::{LimitPattern, LimitPolicy, LimitReport, LimitTrouble, run_limits};

const RATES: [f64; 4] = [0.2, 1.0, 5.0, 50.0];
/// Share of the limits that is used while the fleet does not change.
const MIN_USED_SHARE: f64 = 0.9;

fn play(pattern: &LimitPattern, policy: LimitPolicy, seed: u64) -> LimitReport {
    let report = run_limits(pattern, policy, seed).expect("the rate is valid");
    println!("{}", report.format_line(&format!("{pattern:?} {policy:?} seed {seed}")));
    report
}

fn pattern(instances: usize, per_second: f64, trouble: LimitTrouble) -> LimitPattern {
    LimitPattern { instances, upstreams: 4, per_second, demand: 3.0, trouble }
}

fn check_kept(instances: usize, seeds: u64) {
    for (_, trouble) in LimitTrouble::list() {
        for per_second in RATES {
            let pattern = pattern(instances, per_second, trouble);
            for seed in 1..=seeds {
                assert!(play(&pattern, LimitPolicy::Issuer, seed).is_kept(), "{pattern:?} {seed}");
            }
        }
    }
}

#[test]
fn run_limits_small_fleet_kept_under_each_trouble() {
    check_kept(6, 4);
}

#[test]
fn run_limits_medium_fleet_kept_under_each_trouble() {
    check_kept(76, 1);
}

#[test]
fn run_limits_calm_fleet_used() {
    for instances in [6, 76] {
        for per_second in RATES {
            let pattern = pattern(instances, per_second, LimitTrouble::None);
            let report = play(&pattern, LimitPolicy::Issuer, 1);
            assert!(report.used_share >= MIN_USED_SHARE, "{pattern:?}: {report:?}");
        }
    }
}

// The alternatives either exceed a limit or refuse most of it, in fleets that are large for the limit.
#[test]
fn run_limits_shares_of_large_fleet_exceed_or_refuse() {
    let pattern = pattern(76, 5.0, LimitTrouble::None);
    for policy in [LimitPolicy::Even, LimitPolicy::Holders] {
        let report = play(&pattern, policy, 1);
        assert!(!report.is_kept() || report.used_share < MIN_USED_SHARE, "{report:?}");
    }
}
