//! Forecasts of the ends of responses.

use hickorycourse_completion::{CompletionModel, UsableHint, WorkEstimate};
use hickorycourse_facts::SpeedFacts;
use proptest::prelude::*;

const ROUTE: u64 = 1;

/// A model that has seen responses of 20 to 59 events at 40 ms each, with hints off by `factor` to either side.
fn learned(factor: f64) -> CompletionModel {
    let mut model = CompletionModel::default();
    for number in 0..200_u64 {
        let events = 20 + number * 7 % 40;
        let error = if number % 2 == 0 { factor } else { 1.0 / factor };
        let hint = UsableHint::new((events as f64 * 8.0 * error) as u64);
        model.record_length(ROUTE, hint, events, true);
        model.pace.record(40.0, 0.5, SpeedFacts::default().estimate(0));
    }
    model
}

#[test]
fn estimate_length_follows_good_hints_and_not_bad_ones() {
    let length = |model: &CompletionModel, tokens| {
        let hint = UsableHint::new(tokens);
        model.estimate_length(ROUTE, hint).expect("a length").log_events.exp()
    };
    let (good, bad) = (learned(1.1), learned(4.0));
    assert!(length(&good, 400) > 1.6 * length(&good, 200));
    assert!(length(&bad, 400) < 1.3 * length(&bad, 200));
}

#[test]
fn forecast_at_slow_upstream_is_later_and_less_likely() {
    let model = learned(1.1);
    let length = model.estimate_length(ROUTE, UsableHint::new(400)).expect("a length");
    let work = WorkEstimate { length, left_ms: 3_000 };
    let at = |log_factor: f64| {
        let mut speed = SpeedFacts::default();
        (0..20).for_each(|_| assert!(speed.record(log_factor, 0)));
        model.forecast(&work, 100.0, 0.5, speed.estimate(0)).expect("a forecast")
    };
    let (slow, fast) = (at(0.5), at(-0.5));
    assert!(slow.expected_ms > 2 * fast.expected_ms);
    assert!(slow.probability < 0.5 && fast.probability > 0.9);
    assert!(slow.risk_ms() > fast.risk_ms());
}

#[test]
fn cut_response_counts_as_no_shorter_than_estimated() {
    let mut model = learned(1.1);
    let before = model.estimate_length(ROUTE, None).expect("a length").log_events;
    (0..20).for_each(|_| model.record_length(ROUTE, None, 2, false));
    assert!(model.estimate_length(ROUTE, None).expect("a length").log_events >= before - 1e-9);
}

#[test]
fn unusable_hints_are_those_of_no_or_endless_length() {
    assert!(UsableHint::new(0).is_none());
    assert!(UsableHint::new(u64::MAX).is_none());
    assert!(UsableHint::new(1).is_some());
}

proptest! {
    #[test]
    fn forecast_of_any_input_is_a_probability(
        hints in prop::collection::vec(prop::option::of(any::<u64>()), 20..60),
        events in any::<u64>(),
        paces in prop::collection::vec(any::<f64>(), 20..60),
        (fill, first_byte_ms, left_ms) in (any::<f64>(), 0.0..1e12, any::<u64>()),
        log_factor in any::<f64>(),
    ) {
        let mut model = CompletionModel::default();
        let mut speed = SpeedFacts::default();
        speed.record(log_factor, 0);
        for hint in &hints {
            model.record_length(ROUTE, hint.and_then(UsableHint::new), events, hint.is_some());
        }
        for pace_ms in paces.into_iter().chain([40.0; 16]) {
            model.pace.record(pace_ms, fill, speed.estimate(0));
        }
        let hint = hints[0].and_then(UsableHint::new);
        if let Some(length) = model.estimate_length(ROUTE, hint) {
            let work = WorkEstimate { length, left_ms };
            let forecast = model.forecast(&work, first_byte_ms, fill, speed.estimate(0));
            let forecast = forecast.expect("the pace is known");
            prop_assert!((0.0..=1.0).contains(&forecast.probability));
            prop_assert!(forecast.risk_ms().is_finite());
        }
    }
}
