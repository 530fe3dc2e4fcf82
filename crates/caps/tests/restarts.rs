//! Caps of the largest organisations, whose slack is next to nothing, while instances restart or stand still.

mod support;

use support::{Pattern, RATE, SMALL_SLACK, STEP_MS, play, use_of_rate, windows, worst};

type Demand = fn(u64) -> f64;
type Selection = fn(usize, u64) -> bool;

const GROWING_AT_MS: u64 = 6_000;
const DEMANDS: [(&str, Demand); 3] = [
    ("flood from the start", |_| 6.0 * RATE),
    ("flood after usual load", |now_ms| if now_ms < GROWING_AT_MS { 0.8 } else { 6.0 } * RATE),
    ("growth", |now_ms| if now_ms < GROWING_AT_MS { 0.3 } else { 3.0 } * RATE),
];

/// Time by which the last restart of a pattern is over, with the time for a start to be used fully.
const SETTLED_MS: u64 = 22_000;

/// Asserts that each demand stays within the cap at each size, and that 0.9 of the rate is used afterwards.
fn assert_kept(is_restarting: Selection, is_frozen: Selection) {
    for (instances, zones) in [(6, 3), (76, 6), (295, 6)] {
        for (name, demand) in DEMANDS {
            let granted = play(&Pattern {
                instances,
                zones,
                demand,
                is_restarting,
                is_frozen,
                slack: SMALL_SLACK,
                ..Pattern::default()
            });
            let most = worst(&windows(&granted, 0, RATE, SMALL_SLACK));
            let used = use_of_rate(&granted, SETTLED_MS, RATE);
            println!("{instances} instances, {name}: worst window {most:.3}, use {used:.3}");
            assert!(most <= 1.0, "{instances} instances, {name}: {most}");
            assert!(used >= 0.9, "{instances} instances, {name}: {used} of the rate is used");
        }
    }
}

#[test]
fn large_organisation_in_calm_stays_within_cap() {
    assert_kept(|_, _| false, |_, _| false);
}

// Load pattern: half of the instances are killed and start anew two seconds after demand has grown.
#[test]
fn restart_of_half_while_demand_grows_stays_within_cap() {
    assert_kept(|number, now_ms| now_ms == 8_000 && number.is_multiple_of(2), |_, _| false);
}

// Load pattern: all instances at once, so that none remembers what was used.
#[test]
fn restart_of_all_while_demand_grows_stays_within_cap() {
    assert_kept(|_, now_ms| now_ms == 8_000, |_, _| false);
    assert_kept(|_, now_ms| now_ms == 6_000, |_, _| false);
}

// Load pattern: three of five instances, twice within a window.
#[test]
fn repeated_restarts_while_demand_grows_stay_within_cap() {
    assert_kept(
        |number, now_ms| (now_ms == 8_000 || now_ms == 12_000) && number % 5 < 3,
        |_, _| false,
    );
}

// Load pattern: all instances within ten seconds, one after the other.
#[test]
fn rolling_restart_while_demand_grows_stays_within_cap() {
    let is_restarting = |number: usize, now_ms: u64| {
        (8_000..18_000).contains(&now_ms) && (now_ms - 8_000) / STEP_MS == number as u64 % 500
    };
    assert_kept(is_restarting, |_, _| false);
}

// Load pattern: all instances stand still for two seconds and then serve what has waited.
#[test]
fn standstill_of_all_while_demand_grows_stays_within_cap() {
    assert_kept(|_, _| false, |_, now_ms| (8_000..10_000).contains(&now_ms));
}
