//! Routing decisions.

#![allow(clippy::unwrap_used)]

use hickorycourse_routing::prelude::*;
use hickorycourse_settings::{MachineClass, UpstreamSettings};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn runner(cases: u32) -> TestRunner {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]))
}

fn upstream(number: usize, zone: &str, concurrency: u32) -> UpstreamSettings {
    UpstreamSettings {
        instance: format!("engine-{number}"),
        service: "desk".to_owned(),
        availability_zone: zone.to_owned(),
        address: format!("127.0.0.1:{}", 1_000 + number).parse().unwrap(),
        concurrency,
        machine_class: MachineClass::Reclaimable,
        checks_fencing: false,
        desired_state: None,
    }
}

fn book(count: usize) -> UpstreamBook {
    let mut book = UpstreamBook::new("zone-0");
    let list: Vec<UpstreamSettings> =
        (0..count).map(|n| upstream(n, &format!("zone-{}", n % 2), 4)).collect();
    book.set_upstreams(&list);
    book
}

#[derive(Clone, Debug)]
enum Step {
    Take,
    Finish { outcome: u8 },
    Leave { number: usize },
    Share { permille: u64 },
    Advance { by_ms: u64 },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => Just(Step::Take),
        3 => (0..3u8).prop_map(|outcome| Step::Finish { outcome }),
        1 => (0..6usize).prop_map(|number| Step::Leave { number }),
        1 => (1..1_000u64).prop_map(|permille| Step::Share { permille }),
        1 => (1..5_000u64).prop_map(|by_ms| Step::Advance { by_ms }),
    ];
    proptest::collection::vec(step, 1..150)
}

/// Limits hold, leaving upstreams get nothing, and a free place is always found.
fn check_book(router: &mut dyn Router, steps: &[Step]) -> Result<(), TestCaseError> {
    let mut book = book(6);
    let mut now_ms = 0;
    let mut running: Vec<usize> = Vec::new();
    let mut leaving: Vec<String> = Vec::new();
    for step in steps {
        match step {
            Step::Take => {
                let free = book.count_free_slots(now_ms);
                let taken = book.take(router, &PrefixBlocks::default(), &[], now_ms);
                prop_assert_eq!(taken.is_some(), free > 0);
                if let Some(index) = taken {
                    prop_assert!(!leaving.contains(&book.settings(index).instance));
                    running.push(index);
                }
            }
            Step::Finish { outcome } => {
                let Some(index) = running.pop() else { continue };
                let outcome = match outcome {
                    0 => AttemptOutcome::Answered,
                    1 => AttemptOutcome::Failed,
                    _ => AttemptOutcome::Cancelled,
                };
                book.finish(index, outcome, now_ms);
            }
            Step::Leave { number } => {
                leaving.push(format!("engine-{number}"));
                book.set_leaving(|instance| leaving.iter().any(|name| name == instance));
            }
            Step::Share { permille } => book.set_share_permille(*permille),
            Step::Advance { by_ms } => now_ms += by_ms,
        }
        let status = book.list_status(now_ms);
        let in_flight: u64 = status.iter().map(|upstream| upstream.own_in_flight).sum();
        prop_assert_eq!(in_flight, running.len() as u64);
        prop_assert!(status.iter().all(|upstream| upstream.own_in_flight <= 4));
        let open = status.iter().filter(|upstream| !upstream.is_leaving).count();
        let ejected = status.iter().filter(|u| u.is_ejected && !u.is_leaving).count();
        prop_assert!(open == 0 || ejected < open.max(2), "some are always left");
    }
    Ok(())
}

#[test]
fn book_generated_schedules_hold_limits() {
    runner(1_500)
        .run(&steps(), |steps| {
            check_book(&mut RoundRobinRouter::new(), &steps)?;
            check_book(&mut PrefixRouter::new(), &steps)
        })
        .unwrap();
}

#[test]
fn router_same_prefix_same_upstream() {
    let mut book = book(6);
    let mut router = PrefixRouter::new();
    let prompt = "a spec sheet that many share ".repeat(40);
    let blocks = PrefixBlocks::from_prompt(prompt.as_bytes());
    let first = book.take(&mut router, &blocks, &[], 0).unwrap();
    book.finish(first, AttemptOutcome::Answered, 0);
    for number in 0..20 {
        let other = PrefixBlocks::from_prompt(format!("{prompt} question {number}").as_bytes());
        let index = book.take(&mut router, &other, &[], 0).unwrap();
        assert_eq!(index, first);
        book.finish(index, AttemptOutcome::Answered, 0);
    }
}

#[test]
fn router_full_home_spills_over() {
    let mut book = book(6);
    let mut router = PrefixRouter::new();
    let blocks = PrefixBlocks::from_prompt(&[b'x'; 512]);
    let taken: Vec<usize> =
        (0..24).map(|_| book.take(&mut router, &blocks, &[], 0).unwrap()).collect();
    assert_eq!(taken.iter().collect::<std::collections::BTreeSet<_>>().len(), 6);
    assert_eq!(book.take(&mut router, &blocks, &[], 0), None);
}

#[test]
fn prefix_index_forgets_oldest() {
    let mut index = PrefixIndex::new(64);
    for number in 0..100u64 {
        index.add(&[number]);
        assert!(index.len() <= 64);
    }
    let last = PrefixBlocks::from_prompt(&[b'y'; 128]);
    index.add(last.hashes());
    assert_eq!(index.count_leading(&last), 2);
    index.remove(&last.hashes()[..1]);
    assert_eq!(index.count_leading(&last), 0, "a gap ends the prefix");
}

/// An upstream that reports with a lag: the estimate against the truth, with and without taking our
/// own calls out of what the report counts.
#[test]
fn load_estimate_lag_corrected() {
    let strategy = proptest::collection::vec((0..3u8, 1..40u64), 30..200);
    runner(500)
        .run(&strategy, |events| {
            const LAG_MS: u64 = 200;
            let mut estimate = LoadEstimate::default();
            let others = 3;
            let mut history = vec![(0, others)];
            let (mut own, mut now_ms) = (0u64, 0);
            let (mut error_with, mut error_without) = (0, 0);
            for (kind, by_ms) in events {
                now_ms += by_ms;
                match kind {
                    0 => {
                        own += 1;
                        estimate.start(now_ms);
                    }
                    1 if own > 0 => {
                        own -= 1;
                        estimate.end(now_ms);
                    }
                    _ => {}
                }
                history.push((now_ms, own + others));
                let then_ms = now_ms.saturating_sub(LAG_MS);
                let seen = history.iter().rev().find(|(at_ms, _)| *at_ms <= then_ms);
                let seen = seen.map_or(0, |(_, running)| *running);
                let report = LoadReport { running: seen, waiting: 0, age_ms: LAG_MS };
                if then_ms > 0 {
                    estimate.report(report, now_ms);
                    error_with += estimate.in_flight().abs_diff(own + others);
                    error_without += (seen + own).abs_diff(own + others);
                }
            }
            prop_assert!(error_with <= error_without, "{error_with} against {error_without}");
            prop_assert_eq!(error_with, 0, "others are steady, so nothing is left to be wrong");
            Ok(())
        })
        .unwrap();
}

#[test]
fn retry_budget_bounds_amplification() {
    let mut budget = RetryBudget::new(10);
    let mut sent = 0;
    let mut calls = 0;
    let mut failing = 0;
    while calls < 10_000 {
        calls += 1;
        loop {
            sent += 1;
            failing += 1;
            if failing % 5 != 0 {
                budget.add_success();
                break;
            }
            if !budget.try_take() {
                break;
            }
        }
    }
    let amplification = f64::from(sent) / f64::from(calls);
    assert!(amplification <= 1.1, "{amplification}");
}
