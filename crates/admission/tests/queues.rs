//! Queues under generated loads.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;

use hickorycourse_admission::Settlement;
use hickorycourse_admission::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn runner(cases: u32) -> TestRunner {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[3; 32]))
}

const BUSY: Supply = Supply { slots: 1, free_slots: 0, ms_per_token: 1.0, first_token_ms: 0 };

#[derive(Clone, Debug)]
enum Step {
    Offer { organisation: u8, caller: u8, urgency: u8, cost: u64 },
    Take,
    CancelOldest,
    Settle { used: u64 },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0..3u8, 0..3u8, 0..3u8, 1..500u64).prop_map(|(organisation, caller, urgency, cost)| {
            Step::Offer { organisation, caller, urgency, cost }
        }),
        3 => Just(Step::Take),
        1 => Just(Step::CancelOldest),
        1 => (1..1_000u64).prop_map(|used| Step::Settle { used }),
    ];
    proptest::collection::vec(step, 1..120)
}

/// Whatever happens, every request that was taken in comes out exactly once, and none is made up.
fn check_conservation(
    mut queue: Box<dyn AdmissionQueue>,
    steps: &[Step],
) -> Result<(), TestCaseError> {
    let mut waiting: BTreeMap<u64, u64> = BTreeMap::new();
    let mut last: Option<Ticket> = None;
    for (number, step) in steps.iter().enumerate() {
        match step {
            Step::Offer { organisation, caller, urgency, cost } => {
                let id = number as u64;
                let name = format!("organisation-{organisation}");
                let ticket = Ticket::new(id, &name, &format!("caller-{caller}"), *urgency)
                    .with_cost(*cost)
                    .with_floor_percent(u64::from(*urgency) * 5);
                queue.offer(ticket, 0, BUSY).unwrap();
                waiting.insert(id, *cost);
            }
            Step::Take => {
                let taken = queue.take_next(0);
                prop_assert_eq!(taken.is_none(), waiting.is_empty());
                if let Some(ticket) = taken {
                    prop_assert_eq!(waiting.remove(&ticket.id), Some(ticket.cost_tokens));
                    last = Some(ticket);
                }
            }
            Step::CancelOldest => {
                let Some((id, _)) = waiting.pop_first() else { continue };
                prop_assert!(queue.cancel(id));
                prop_assert!(!queue.cancel(id));
            }
            Step::Settle { used } => {
                let Some(ticket) = &last else { continue };
                queue.settle(&Settlement {
                    organisation: ticket.organisation.clone(),
                    caller: ticket.caller.clone(),
                    urgency: ticket.urgency,
                    share: ticket.share,
                    charged_tokens: ticket.cost_tokens,
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
fn queue_gives_each_request_once() {
    runner(2_000)
        .run(&steps(), |steps| {
            check_conservation(Box::new(FairQueue::new()), &steps)?;
            check_conservation(Box::new(FifoQueue::new()), &steps)
        })
        .unwrap();
}

/// One organisation, caller and rank: fairness has nothing to decide, so both queues agree.
#[test]
fn fair_queue_of_one_equals_fifo() {
    let strategy = proptest::collection::vec(proptest::option::weighted(0.6, 1..500u64), 1..100);
    runner(1_000)
        .run(&strategy, |offers| {
            let (mut fair, mut fifo) = (FairQueue::new(), FifoQueue::new());
            for (number, offer) in offers.into_iter().enumerate() {
                let Some(cost) = offer else {
                    prop_assert_eq!(fair.take_next(0), fifo.take_next(0));
                    continue;
                };
                let ticket = Ticket::new(number as u64, "one", "one", 0).with_cost(cost);
                fair.offer(ticket.clone(), 0, BUSY).unwrap();
                fifo.offer(ticket, 0, BUSY).unwrap();
            }
            Ok(())
        })
        .unwrap();
}

fn offer(queue: &mut dyn AdmissionQueue, id: u64, organisation: &str, urgency: u8, floor: u64) {
    let ticket =
        Ticket::new(id, organisation, "caller", urgency).with_cost(100).with_floor_percent(floor);
    queue.offer(ticket, 0, BUSY).unwrap();
}

fn count_small_among_first(queue: &mut dyn AdmissionQueue, taken: usize) -> usize {
    let first = (0..taken).filter_map(|_| queue.take_next(0));
    first.filter(|ticket| ticket.organisation == "small").count()
}

#[test]
fn fair_queue_small_organisation_not_starved() {
    let flood = |queue: &mut dyn AdmissionQueue| {
        (0..1_000).for_each(|id| offer(queue, id, "large", 0, 0));
        (1_000..1_010).for_each(|id| offer(queue, id, "small", 0, 0));
    };
    let (mut fair, mut fifo) = (FairQueue::new(), FifoQueue::new());
    flood(&mut fair);
    flood(&mut fifo);
    assert_eq!(count_small_among_first(&mut fair, 21), 10, "every second turn is the small one's");
    assert_eq!(count_small_among_first(&mut fifo, 21), 0, "the baseline starves it");
}

#[test]
fn fair_queue_ranks_keep_floor_in_flood() {
    let mut queue = FairQueue::new();
    (0..1_000).for_each(|id| offer(&mut queue, id, "all", 0, 0));
    (1_000..1_500).for_each(|id| offer(&mut queue, id, "all", 1, 10));
    (2_000..2_500).for_each(|id| offer(&mut queue, id, "all", 2, 5));
    let taken: Vec<u8> =
        (0..600).filter_map(|_| queue.take_next(0)).map(|ticket| ticket.urgency).collect();
    let count = |urgency: u8| taken.iter().filter(|taken| **taken == urgency).count();
    assert!((55..=65).contains(&count(1)), "a tenth of 600: {}", count(1));
    assert!((25..=35).contains(&count(2)), "a twentieth of 600: {}", count(2));
}

#[test]
fn fair_queue_pause_saves_nothing() {
    let mut queue = FairQueue::new();
    (0..100).for_each(|id| offer(&mut queue, id, "busy", 0, 0));
    (0..100).for_each(|_| drop(queue.take_next(0)));
    (100..200).for_each(|id| offer(&mut queue, id, "busy", 0, 0));
    (200..300).for_each(|id| offer(&mut queue, id, "small", 0, 0));
    let small = count_small_among_first(&mut queue, 100);
    assert!((49..=51).contains(&small), "one that paused gets its share, not all: {small}");
}

#[test]
fn offer_hopeless_refused_at_once() {
    let mut queue = FairQueue::new();
    (0..100).for_each(|id| offer(&mut queue, id, "all", 0, 0));
    let ticket = Ticket::new(500, "all", "caller", 0).with_cost(100).with_target_ms(5_000);
    let Err(Refusal::TargetMissed { predicted_wait_ms, retry_after_ms }) =
        queue.offer(ticket, 0, BUSY)
    else {
        panic!("10,000 tokens at a millisecond each are ahead");
    };
    assert_eq!(predicted_wait_ms, 10_100);
    assert_eq!(retry_after_ms, 5_100);
}

#[test]
fn offer_small_caller_not_refused_by_large_ones_queue() {
    let mut queue = FairQueue::new();
    (0..100).for_each(|id| offer(&mut queue, id, "large", 0, 0));
    let ticket = Ticket::new(500, "small", "caller", 0).with_cost(100).with_target_ms(5_000);
    assert_eq!(queue.offer(ticket, 0, BUSY), Ok(()), "its turn comes after one of the large one's");
}

#[test]
fn offer_counts_floors_and_first_token() {
    let mut queue = FairQueue::new();
    (0..100).for_each(|id| offer(&mut queue, id, "all", 0, 0));
    offer(&mut queue, 200, "all", 1, 20);
    // 10,000 tokens ahead take 12,500 ms, because the other rank keeps a fifth; then 300 ms until
    // the first token.
    let supply = Supply { first_token_ms: 300, ..BUSY };
    let ticket = |id: u64, target_ms: u64| {
        Ticket::new(id, "all", "caller", 0).with_cost(100).with_target_ms(target_ms)
    };
    assert!(queue.offer(ticket(500, 12_899), 0, supply).is_err());
    assert!(queue.offer(ticket(501, 12_900), 0, supply).is_ok());
}

#[test]
fn expire_waited_too_long() {
    let mut queue = FairQueue::new();
    let mut ticket = Ticket::new(1, "all", "caller", 0);
    ticket.queue_timeout_ms = 100;
    queue.offer(ticket, 0, BUSY).unwrap();
    assert!(queue.expire(99).is_empty());
    assert_eq!(queue.expire(100).len(), 1);
    assert_eq!(queue.take_next(100), None);
}
