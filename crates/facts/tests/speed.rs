//! Speeds of upstreams, learned from the pace of their events.

use hickorycourse_facts::{PaceWindow, SpeedFacts, SpeedShare, UpstreamFacts};

fn observed(log_factor: f64) -> SpeedFacts {
    let mut speed = SpeedFacts::default();
    (0..10).for_each(|at_ms| assert!(speed.record(log_factor, at_ms)));
    speed
}

#[test]
fn estimate_without_observations_decays_to_prior() {
    let speed = observed(0.5);
    assert!(speed.estimate(10).log_factor > 0.4);
    let later = speed.estimate(200_000);
    assert!(later.log_factor < 0.01 && later.certainty < 0.01);
}

#[test]
fn record_of_non_finite_factor_is_ignored() {
    let mut speed = observed(0.5);
    let before = speed.estimate(10);
    for bad in [f64::NAN, f64::INFINITY, f64::NEG_INFINITY] {
        assert!(!speed.record(bad, 10));
    }
    assert_eq!(speed.estimate(10), before);
}

#[test]
fn set_peer_with_impossible_share_is_ignored() {
    let mut speed = SpeedFacts::default();
    for (weight, log_sum) in [(f64::NAN, 0.0), (-1.0, 0.0), (1.0, f64::NAN), (1.0, 100.0)] {
        assert!(!speed.set_peer("peer", SpeedShare { weight, log_sum }, 0));
    }
    assert_eq!(speed.estimate(0).certainty, 0.0);
}

#[test]
fn reset_forgets_own_and_late_peers() {
    let mut facts = UpstreamFacts { speed: observed(0.5), ..UpstreamFacts::default() };
    let share = SpeedShare { weight: 10.0, log_sum: 5.0 };
    assert!(facts.speed.set_peer("peer", share, 10));
    facts.reset();
    assert_eq!(facts.speed.estimate(10).certainty, 0.0);
    // A peer that has not heard of the new start yet.
    assert!(facts.speed.set_peer("peer", share, 1_000));
    assert_eq!(facts.speed.estimate(1_000).certainty, 0.0);
    assert!(facts.speed.set_peer("peer", share, 20_000));
    assert!(facts.speed.estimate(20_000).certainty > 0.5);
}

#[test]
fn pace_window_of_slow_caller_says_nothing() {
    let (mut quick, mut slow) = (PaceWindow::default(), PaceWindow::default());
    let (mut quick_paces, mut slow_paces) = (Vec::new(), Vec::new());
    for event in 0..20 {
        quick_paces.extend(quick.record(1, event * 40));
        quick.begin_wait(event * 40 + 1);
        slow_paces.extend(slow.record(1, event * 40));
        slow.begin_wait(event * 40 + 30);
    }
    assert_eq!(quick_paces, [40.0, 40.0]);
    assert!(slow_paces.is_empty());
}
