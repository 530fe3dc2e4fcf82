//! Tests of `FairQueue` and `FifoQueue`, with generated schedules and with fixed cases.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;

use hickorycourse_admission::ChargeCorrection;
use hickorycourse_admission::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn runner(cases: u32) -> TestRunner {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[3; 32]))
}

const BUSY: UpstreamCapacity =
    UpstreamCapacity { slots: 1, free_slots: 0, ms_per_token: 1.0, first_token_ms: 0 };

#[derive(Clone, Debug)]
enum Step {
    Enqueue { organisation: u8, caller: u8, urgency: u8, cost: u64 },
    Dequeue,
    CancelOldest,
    Correct { used: u64 },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0..3u8, 0..3u8, 0..3u8, 1..500u64).prop_map(|(organisation, caller, urgency, cost)| {
            Step::Enqueue { organisation, caller, urgency, cost }
        }),
        3 => Just(Step::Dequeue),
        1 => Just(Step::CancelOldest),
        1 => (1..1_000u64).prop_map(|used| Step::Correct { used }),
    ];
    proptest::collection::vec(step, 1..120)
}

/// Checks that every enqueued request is dequeued or cancelled exactly once and that the summary
/// matches the waiting requests.
fn check_conservation(
    mut queue: Box<dyn AdmissionQueue>,
    steps: &[Step],
) -> Result<(), TestCaseError> {
    let mut waiting: BTreeMap<u64, u64> = BTreeMap::new();
    let mut last: Option<QueuedRequest> = None;
    for (number, step) in steps.iter().enumerate() {
        match step {
            Step::Enqueue { organisation, caller, urgency, cost } => {
                let id = number as u64;
                let name = format!("organisation-{organisation}");
                let request = QueuedRequest::new(id, &name, &format!("caller-{caller}"), *urgency)
                    .with_cost(*cost)
                    .with_floor_percent(u64::from(*urgency) * 5);
                queue.try_enqueue(request, 0, BUSY).unwrap();
                waiting.insert(id, *cost);
            }
            Step::Dequeue => {
                let dequeued = queue.dequeue(0);
                prop_assert_eq!(dequeued.is_none(), waiting.is_empty());
                if let Some(request) = dequeued {
                    prop_assert_eq!(waiting.remove(&request.id), Some(request.cost_tokens));
                    last = Some(request);
                }
            }
            Step::CancelOldest => {
                let Some((id, _)) = waiting.pop_first() else { continue };
                prop_assert!(queue.cancel(id));
                prop_assert!(!queue.cancel(id));
            }
            Step::Correct { used } => {
                let Some(request) = &last else { continue };
                queue.correct_charge(&ChargeCorrection {
                    organisation: request.organisation.clone(),
                    caller: request.caller.clone(),
                    urgency: request.urgency,
                    share: request.share,
                    charged_tokens: request.cost_tokens,
                    used_tokens: *used,
                });
            }
        }
        let summary = queue.summary();
        prop_assert_eq!(summary.waiting, waiting.len() as u64);
        prop_assert_eq!(summary.waiting_tokens, waiting.values().sum::<u64>());
    }
    Ok(())
}

#[test]
fn queue_generated_steps_each_request_dequeued_once() {
    runner(2_000)
        .run(&steps(), |steps| {
            check_conservation(Box::new(FairQueue::new()), &steps)?;
            check_conservation(Box::new(FifoQueue::new()), &steps)
        })
        .unwrap();
}

/// With a single organisation, caller and rank, fair queueing must keep the order of arrival.
#[test]
fn fair_queue_single_caller_equals_fifo() {
    let strategy = proptest::collection::vec(proptest::option::weighted(0.6, 1..500u64), 1..100);
    runner(1_000)
        .run(&strategy, |steps| {
            let (mut fair, mut fifo) = (FairQueue::new(), FifoQueue::new());
            for (number, step) in steps.into_iter().enumerate() {
                let Some(cost) = step else {
                    prop_assert_eq!(fair.dequeue(0), fifo.dequeue(0));
                    continue;
                };
                let request = QueuedRequest::new(number as u64, "one", "one", 0).with_cost(cost);
                fair.try_enqueue(request.clone(), 0, BUSY).unwrap();
                fifo.try_enqueue(request, 0, BUSY).unwrap();
            }
            Ok(())
        })
        .unwrap();
}

fn enqueue(queue: &mut dyn AdmissionQueue, id: u64, organisation: &str, urgency: u8, floor: u64) {
    let request = QueuedRequest::new(id, organisation, "caller", urgency)
        .with_cost(100)
        .with_floor_percent(floor);
    queue.try_enqueue(request, 0, BUSY).unwrap();
}

fn count_small_in_first(queue: &mut dyn AdmissionQueue, count: usize) -> usize {
    let first = (0..count).filter_map(|_| queue.dequeue(0));
    first.filter(|request| request.organisation == "small").count()
}

#[test]
fn fair_queue_small_organisation_not_starved() {
    let fill = |queue: &mut dyn AdmissionQueue| {
        (0..1_000).for_each(|id| enqueue(queue, id, "large", 0, 0));
        (1_000..1_010).for_each(|id| enqueue(queue, id, "small", 0, 0));
    };
    let (mut fair, mut fifo) = (FairQueue::new(), FifoQueue::new());
    fill(&mut fair);
    fill(&mut fifo);
    assert_eq!(
        count_small_in_first(&mut fair, 21),
        10,
        "every second request is the small organisation's"
    );
    assert_eq!(count_small_in_first(&mut fifo, 21), 0, "FIFO serves the large organisation first");
}

#[test]
fn fair_queue_urgent_load_floors_kept() {
    let mut queue = FairQueue::new();
    (0..1_000).for_each(|id| enqueue(&mut queue, id, "all", 0, 0));
    (1_000..1_500).for_each(|id| enqueue(&mut queue, id, "all", 1, 10));
    (2_000..2_500).for_each(|id| enqueue(&mut queue, id, "all", 2, 5));
    let served: Vec<u8> =
        (0..600).filter_map(|_| queue.dequeue(0)).map(|request| request.urgency).collect();
    let count = |urgency: u8| served.iter().filter(|served| **served == urgency).count();
    assert!((55..=65).contains(&count(1)), "floor of 10 % of 600: {}", count(1));
    assert!((25..=35).contains(&count(2)), "floor of 5 % of 600: {}", count(2));
}

#[test]
fn fair_queue_idle_organisation_gains_no_credit() {
    let mut queue = FairQueue::new();
    (0..100).for_each(|id| enqueue(&mut queue, id, "busy", 0, 0));
    (0..100).for_each(|_| drop(queue.dequeue(0)));
    (100..200).for_each(|id| enqueue(&mut queue, id, "busy", 0, 0));
    (200..300).for_each(|id| enqueue(&mut queue, id, "small", 0, 0));
    let small = count_small_in_first(&mut queue, 100);
    assert!((49..=51).contains(&small), "an idle organisation gets its share and no more: {small}");
}

#[test]
fn try_enqueue_unreachable_target_refused() {
    let mut queue = FairQueue::new();
    (0..100).for_each(|id| enqueue(&mut queue, id, "all", 0, 0));
    let request = QueuedRequest::new(500, "all", "caller", 0).with_cost(100).with_target_ms(5_000);
    let Err(Refusal::TargetMissed { predicted_wait_ms, retry_after_ms }) =
        queue.try_enqueue(request, 0, BUSY)
    else {
        panic!("10,000 tokens ahead at 1 ms each exceed the target of 5,000 ms");
    };
    assert_eq!(predicted_wait_ms, 10_100);
    assert_eq!(retry_after_ms, 5_100);
}

#[test]
fn try_enqueue_small_organisation_not_refused_for_large_queue() {
    let mut queue = FairQueue::new();
    (0..100).for_each(|id| enqueue(&mut queue, id, "large", 0, 0));
    let request =
        QueuedRequest::new(500, "small", "caller", 0).with_cost(100).with_target_ms(5_000);
    assert_eq!(
        queue.try_enqueue(request, 0, BUSY),
        Ok(()),
        "the request is served after one request of the large organisation"
    );
}

#[test]
fn try_enqueue_predicted_wait_includes_floors_and_first_token() {
    let mut queue = FairQueue::new();
    (0..100).for_each(|id| enqueue(&mut queue, id, "all", 0, 0));
    enqueue(&mut queue, 200, "all", 1, 20);
    // 10,000 tokens ahead need 12,500 ms, because the floor reserves a fifth for the other rank;
    // then 300 ms until the first token.
    let capacity = UpstreamCapacity { first_token_ms: 300, ..BUSY };
    let request = |id: u64, target_ms: u64| {
        QueuedRequest::new(id, "all", "caller", 0).with_cost(100).with_target_ms(target_ms)
    };
    assert!(queue.try_enqueue(request(500, 12_899), 0, capacity).is_err());
    assert!(queue.try_enqueue(request(501, 12_900), 0, capacity).is_ok());
}

#[test]
fn expire_queue_timeout_reached_request_removed() {
    let mut queue = FairQueue::new();
    let mut request = QueuedRequest::new(1, "all", "caller", 0);
    request.queue_timeout_ms = 100;
    queue.try_enqueue(request, 0, BUSY).unwrap();
    assert!(queue.expire(99).is_empty());
    assert_eq!(queue.expire(100).len(), 1);
    assert_eq!(queue.dequeue(100), None);
}
