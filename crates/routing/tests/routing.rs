//! Tests of upstream selection, load estimates and the retry budget.

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

fn table(count: usize) -> UpstreamTable {
    let mut table = UpstreamTable::new("zone-0");
    let list: Vec<UpstreamSettings> =
        (0..count).map(|n| upstream(n, &format!("zone-{}", n % 2), 4)).collect();
    table.set_upstreams(&list);
    table
}

#[derive(Clone, Debug)]
enum Step {
    Acquire,
    Release { outcome: u8 },
    Leave { number: usize },
    Share { permille: u64 },
    Advance { by_ms: u64 },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => Just(Step::Acquire),
        3 => (0..3u8).prop_map(|outcome| Step::Release { outcome }),
        1 => (0..6usize).prop_map(|number| Step::Leave { number }),
        1 => (1..1_000u64).prop_map(|permille| Step::Share { permille }),
        1 => (1..5_000u64).prop_map(|by_ms| Step::Advance { by_ms }),
    ];
    proptest::collection::vec(step, 1..150)
}

/// Checks that limits are respected, that leaving upstreams receive no calls and that a free slot is
/// always found.
fn check_table(router: &mut dyn Router, steps: &[Step]) -> Result<(), TestCaseError> {
    let mut table = table(6);
    let mut now_ms = 0;
    let mut running: Vec<usize> = Vec::new();
    let mut leaving: Vec<String> = Vec::new();
    for step in steps {
        match step {
            Step::Acquire => {
                let free = table.count_free_slots(now_ms);
                let acquired = table.acquire_slot(router, &PrefixBlocks::default(), &[], now_ms);
                prop_assert_eq!(acquired.is_some(), free > 0);
                if let Some(index) = acquired {
                    prop_assert!(!leaving.contains(&table.settings(index).instance));
                    running.push(index);
                }
            }
            Step::Release { outcome } => {
                let Some(index) = running.pop() else { continue };
                let outcome = match outcome {
                    0 => AttemptOutcome::Answered,
                    1 => AttemptOutcome::Failed,
                    _ => AttemptOutcome::Cancelled,
                };
                table.release_slot(index, outcome, now_ms);
            }
            Step::Leave { number } => {
                leaving.push(format!("engine-{number}"));
                table.set_leaving(|instance| leaving.iter().any(|name| name == instance));
            }
            Step::Share { permille } => table.set_share_permille(*permille),
            Step::Advance { by_ms } => now_ms += by_ms,
        }
        let status = table.list_status(now_ms);
        let in_flight: u64 = status.iter().map(|upstream| upstream.own_in_flight).sum();
        prop_assert_eq!(in_flight, running.len() as u64);
        prop_assert!(status.iter().all(|upstream| upstream.own_in_flight <= 4));
        let open = status.iter().filter(|upstream| !upstream.is_leaving).count();
        let ejected = status.iter().filter(|u| u.is_ejected && !u.is_leaving).count();
        prop_assert!(open == 0 || ejected < open.max(2), "ejections must leave an upstream to use");
    }
    Ok(())
}

#[test]
fn table_generated_schedules_respect_limits() {
    runner(1_500)
        .run(&steps(), |steps| {
            check_table(&mut RoundRobinRouter::new(), &steps)?;
            check_table(&mut PrefixRouter::new(), &steps)
        })
        .unwrap();
}

#[test]
fn router_shared_prefix_selects_same_upstream() {
    let mut table = table(6);
    let mut router = PrefixRouter::new();
    let prompt = "a spec sheet that many share ".repeat(40);
    let blocks = PrefixBlocks::from_prompt(prompt.as_bytes());
    let first = table.acquire_slot(&mut router, &blocks, &[], 0).unwrap();
    table.release_slot(first, AttemptOutcome::Answered, 0);
    for number in 0..20 {
        let other = PrefixBlocks::from_prompt(format!("{prompt} question {number}").as_bytes());
        let index = table.acquire_slot(&mut router, &other, &[], 0).unwrap();
        assert_eq!(index, first);
        table.release_slot(index, AttemptOutcome::Answered, 0);
    }
}

#[test]
fn router_full_upstream_spills_over() {
    let mut table = table(6);
    let mut router = PrefixRouter::new();
    let blocks = PrefixBlocks::from_prompt(&[b'x'; 512]);
    let indexes: Vec<usize> =
        (0..24).map(|_| table.acquire_slot(&mut router, &blocks, &[], 0).unwrap()).collect();
    assert_eq!(indexes.iter().collect::<std::collections::BTreeSet<_>>().len(), 6);
    assert_eq!(table.acquire_slot(&mut router, &blocks, &[], 0), None);
}

#[test]
fn prefix_index_full_keeps_newest_blocks() {
    let mut index = PrefixIndex::new(64);
    for number in 0..100u64 {
        index.add(&[number]);
        assert!(index.len() <= 64);
    }
    let last = PrefixBlocks::from_prompt(&[b'y'; 128]);
    index.add(last.hashes());
    assert_eq!(index.count_leading(&last), 2);
    index.remove(&last.hashes()[..1]);
    assert_eq!(index.count_leading(&last), 0, "a missing block ends the prefix");
}

/// Compares the load estimate with the true load for reports delayed by 200 ms, with and without
/// subtracting own calls from the reported load.
#[test]
fn load_estimate_delayed_reports_corrected() {
    let strategy = proptest::collection::vec((0..3u8, 1..40u64), 30..200);
    runner(500)
        .run(&strategy, |events| {
            const LAG_MS: u64 = 200;
            let mut estimate = LoadEstimate::default();
            let others = 3;
            let mut history = vec![(0, others)];
            let (mut own, mut now_ms) = (0u64, 0);
            let (mut corrected_error, mut uncorrected_error) = (0, 0);
            for (kind, by_ms) in events {
                now_ms += by_ms;
                match kind {
                    0 => {
                        own += 1;
                        estimate.start_call(now_ms);
                    }
                    1 if own > 0 => {
                        own -= 1;
                        estimate.end_call(now_ms);
                    }
                    _ => {}
                }
                history.push((now_ms, own + others));
                let measured_at_ms = now_ms.saturating_sub(LAG_MS);
                let reported = history.iter().rev().find(|(at_ms, _)| *at_ms <= measured_at_ms);
                let reported = reported.map_or(0, |(_, running)| *running);
                let report = LoadReport { running: reported, waiting: 0, age_ms: LAG_MS };
                if measured_at_ms > 0 {
                    estimate.apply_report(report, now_ms);
                    corrected_error += estimate.in_flight().abs_diff(own + others);
                    uncorrected_error += (reported + own).abs_diff(own + others);
                }
            }
            prop_assert!(
                corrected_error <= uncorrected_error,
                "error {corrected_error} with correction, {uncorrected_error} without"
            );
            prop_assert_eq!(
                corrected_error,
                0,
                "the load of other instances is constant, so the corrected estimate is exact"
            );
            Ok(())
        })
        .unwrap();
}

#[test]
fn retry_budget_every_fifth_attempt_fails_amplification_limited() {
    let mut budget = RetryBudget::new(10);
    let mut sent = 0;
    let mut calls = 0;
    let mut attempts = 0;
    while calls < 10_000 {
        calls += 1;
        loop {
            sent += 1;
            attempts += 1;
            if attempts % 5 != 0 {
                budget.record_success();
                break;
            }
            if !budget.try_acquire() {
                break;
            }
        }
    }
    let amplification = f64::from(sent) / f64::from(calls);
    assert!(amplification <= 1.1, "{amplification}");
}
