//! The drain and the admission of requests, decided together.

use hickorycourse_relay::{DrainEnd, DrainState, DrainTimings, RequestForecast};
use proptest::prelude::*;

const TIMINGS: DrainTimings = DrainTimings {
    min_drain_ms: 2_800,
    reject_after_ms: 2_880,
    answer_by_ms: 7_360,
    drain_timeout_ms: 7_600,
};

#[test]
fn timings_from_stop_ms_in_order() {
    let timings = DrainTimings::from_stop_ms(8_000);
    assert_eq!(timings, TIMINGS);
}

#[test]
fn request_after_the_end_of_the_drain_rejected() {
    let drain = DrainState::default();
    drain.start(1_000);
    assert_eq!(
        drain.try_end(3_800, &TIMINGS),
        Some(DrainEnd { spent_ms: 2_800, cut_off: 0 }),
        "nothing is in flight"
    );
    assert!(!drain.begin_request(3_833, &TIMINGS), "the process is about to end");
    assert!(!drain.admit(3_833, &TIMINGS));
}

#[test]
fn request_before_the_end_of_the_drain_finished() {
    let drain = DrainState::default();
    drain.start(1_000);
    assert!(drain.begin_request(3_799, &TIMINGS));
    assert!(drain.admit(3_799, &TIMINGS));
    assert_eq!(drain.try_end(3_800, &TIMINGS), None);
    assert_eq!(drain.try_end(8_599, &TIMINGS), None);
    drain.end_request();
    assert_eq!(drain.try_end(8_599, &TIMINGS), Some(DrainEnd { spent_ms: 7_599, cut_off: 0 }));
}

#[test]
fn request_whose_body_is_read_at_the_end_rejected() {
    let drain = DrainState::default();
    drain.start(0);
    assert!(drain.begin_request(2_840, &TIMINGS));
    assert_eq!(drain.try_end(2_850, &TIMINGS), None, "its response is still to be sent");
    assert!(!drain.admit(2_880, &TIMINGS));
    drain.end_request();
    assert_eq!(drain.try_end(2_900, &TIMINGS), Some(DrainEnd { spent_ms: 2_900, cut_off: 0 }));
}

#[test]
fn second_signal_changes_nothing() {
    let drain = DrainState::default();
    drain.start(0);
    drain.start(2_000);
    assert_eq!(drain.stopping_for_ms(2_500), Some(2_500));
    assert!(drain.try_end(2_800, &TIMINGS).is_some());
    drain.start(2_900);
    assert!(!drain.admit(2_900, &TIMINGS));
}

#[test]
fn requests_too_late_to_be_admitted_delay_nothing() {
    let drain = DrainState::default();
    drain.start(0);
    assert!(drain.begin_request(2_000, &TIMINGS));
    assert!(drain.admit(2_000, &TIMINGS));
    assert!(!drain.begin_request(2_900, &TIMINGS));
    drain.end_request();
    assert_eq!(drain.try_end(2_950, &TIMINGS), Some(DrainEnd { spent_ms: 2_950, cut_off: 0 }));
}

#[test]
fn requests_at_the_drain_timeout_cut_off() {
    let drain = DrainState::default();
    drain.start(0);
    assert!(drain.begin_request(10, &TIMINGS));
    assert!(drain.admit(10, &TIMINGS));
    assert_eq!(drain.try_end(7_600, &TIMINGS), Some(DrainEnd { spent_ms: 7_600, cut_off: 1 }));
}

// Guards against requests that are admitted late in the stop and cut off at its end.
#[test]
fn is_finishable_admits_what_ends_in_time() {
    // Time since the signal, deadline, share of the latest requests within the time left, whether it may
    // be repeated, and whether it is admitted.
    let cases = [
        (0, 2_000, Some(0.0), false, true),
        (0, 5_000, Some(0.0), false, true),
        (0, 7_360, Some(0.0), false, true),
        (0, 7_361, Some(0.98), false, false),
        (0, 7_361, Some(0.99), false, true),
        (0, 20_000, None, false, true),
        (0, 20_000, Some(0.9), true, true),
        (0, 20_000, Some(0.89), true, false),
        (2_300, 5_000, Some(0.0), false, true),
        (2_500, 5_000, Some(0.0), false, false),
        (2_500, 5_000, Some(0.95), true, true),
        (2_500, 5_000, Some(0.95), false, false),
        (2_879, 10_000, Some(1.0), false, true),
        (2_879, 2_000, Some(0.0), false, true),
        (2_880, 2_000, Some(1.0), true, false),
        (7_500, 100, Some(1.0), true, false),
    ];
    for (spent_ms, deadline_in_ms, finished_share, is_idempotent, is_admitted) in cases {
        let forecast = RequestForecast { deadline_in_ms, finished_share, is_idempotent };
        let decided = TIMINGS.is_finishable(spent_ms, &forecast);
        assert_eq!(decided, is_admitted, "{spent_ms} ms after the signal: {forecast:?}");
    }
}

#[derive(Clone, Debug)]
enum Step {
    Arrive,
    Admit,
    Finish,
    TryEnd,
}

proptest! {
    /// At every interleaving, the process ends before the drain timeout only if no admitted request is in
    /// flight, and admits none afterwards.
    #[test]
    fn interleavings_arbitrary_no_admitted_request_abandoned(
        steps in proptest::collection::vec(
            (0_u64..60, prop_oneof![
                Just(Step::Arrive), Just(Step::Admit), Just(Step::Finish), Just(Step::TryEnd),
            ]),
            1..400,
        ),
        started_after in 0_usize..50,
    ) {
        let drain = DrainState::default();
        let (mut now_ms, mut received, mut admitted) = (0, 0_u64, 0_u64);
        let mut stopping_since_ms = None;
        let mut ended = None;
        for (index, (pause_ms, step)) in steps.into_iter().enumerate() {
            now_ms += pause_ms;
            if index == started_after {
                drain.start(now_ms);
                stopping_since_ms = Some(now_ms);
            }
            match step {
                Step::Arrive => received += u64::from(drain.begin_request(now_ms, &TIMINGS)),
                Step::Admit if received > 0 => {
                    received -= 1;
                    if drain.admit(now_ms, &TIMINGS) {
                        prop_assert!(ended.is_none(), "admitted after the end of the drain");
                        admitted += 1;
                    } else {
                        drain.end_request();
                    }
                }
                Step::Finish if admitted > 0 => {
                    admitted -= 1;
                    drain.end_request();
                }
                Step::TryEnd => {
                    let end = drain.try_end(now_ms, &TIMINGS);
                    if let (Some(end), None) = (end, ended) {
                        let since_ms = stopping_since_ms.expect("ended without a signal");
                        let is_timeout = now_ms - since_ms >= TIMINGS.drain_timeout_ms;
                        prop_assert!(is_timeout || received + admitted == 0);
                        prop_assert_eq!(end.cut_off, received + admitted);
                        ended = Some(end);
                    }
                }
                Step::Admit | Step::Finish => {}
            }
            prop_assert_eq!(drain.in_flight(), received + admitted);
        }
    }
}
