//! Replay of long drafts beside short notes on engines of 0.7 to 1.7 times the usual speed, with hosts on which
//! work takes 2.5 times as long for a part of the time. Baseline: placement by the first byte alone.

mod support;

use support::drafts::{Change, Hints, Outcome, Play};

const UNEVEN: Play = Play {
    instances: 60,
    speeds: [0.7, 0.95, 1.2, 1.45, 1.7],
    noise_share: 0.15,
    hints: Hints::LogDeviation(0.5),
    change: Change::None,
    is_completion_on: true,
};

fn assert_halved(play: Play) {
    let baseline = Play { is_completion_on: false, ..play }.run();
    let outcome = play.run();
    println!("{} instances: baseline {baseline:?}, {outcome:?}", play.instances);
    assert!(baseline.missed() >= 30, "the load does not replay the fault: {baseline:?}");
    assert!(outcome.missed() * 2 <= baseline.missed(), "{baseline:?} {outcome:?}");
    assert!(outcome.missed_notes <= baseline.missed_notes + outcome.notes / 100);
}

fn assert_not_above(outcome: Outcome, baseline: Outcome) {
    let tolerance = baseline.total() / 200;
    assert!(outcome.missed() <= baseline.missed() + tolerance, "{baseline:?} {outcome:?}");
}

#[test]
fn drafts_at_6_instances_miss_half_as_often() {
    assert_halved(Play { instances: 6, ..UNEVEN });
}

#[test]
fn drafts_at_60_instances_miss_half_as_often() {
    assert_halved(UNEVEN);
}

#[test]
fn drafts_at_300_instances_miss_half_as_often() {
    assert_halved(Play { instances: 300, ..UNEVEN });
}

#[test]
fn drafts_with_hints_wrong_by_four_lose_nothing() {
    let without = Play { hints: Hints::Absent, ..UNEVEN }.run();
    let wrong = Play { hints: Hints::WrongBy(4.0), ..UNEVEN }.run();
    println!("without hints {without:?}, wrong by four {wrong:?}");
    assert_not_above(wrong, without);
}

#[test]
fn drafts_on_alike_engines_miss_no_more() {
    let alike = Play { speeds: [1.0; 5], noise_share: 0.0, ..UNEVEN };
    let baseline = Play { is_completion_on: false, ..alike }.run();
    let outcome = alike.run();
    println!("alike: baseline {baseline:?}, {outcome:?}");
    assert_not_above(outcome, baseline);
}

#[test]
fn drafts_after_restart_at_other_speeds_miss_half_as_often() {
    assert_halved(Play { change: Change::RestartAtReversedSpeeds, ..UNEVEN });
}

#[test]
fn drafts_on_hosts_that_turn_noisy_miss_fewer() {
    let play = Play { change: Change::TurnNoisy, noise_share: 0.05, ..UNEVEN };
    let baseline = Play { is_completion_on: false, ..play }.run();
    let outcome = play.run();
    println!("turning noisy: baseline {baseline:?}, {outcome:?}");
    assert!(outcome.missed() < baseline.missed(), "{baseline:?} {outcome:?}");
}
