//! Caps in fleets of any size, whose instances learn of each other's use through aggregators.

mod support;

use support::{
    Pattern, RATE, Replacement, SLACK, SMALL_SLACK, STEP_MS, Successor, WINDOW_MS, play,
    use_of_rate, windows, worst,
};

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
