//! The steward's decisions under generated schedules.

#![allow(clippy::unwrap_used)]

use hickorycourse_settings::{MachineClass, UpstreamSettings};
use hickorycourse_steward::ORDER_FLIGHT_MS;
use hickorycourse_steward::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const TTL_MS: u64 = 3_000;

#[derive(Clone, Debug)]
enum Step {
    Advance { by_ms: u64 },
    Compete { process: usize, answer_ms: u64 },
    Renew { process: usize, answer_ms: u64 },
    Order { process: usize, flight_ms: u64 },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        (1..2_000u64).prop_map(|by_ms| Step::Advance { by_ms }),
        (0..2usize, 0..900u64)
            .prop_map(|(process, answer_ms)| Step::Compete { process, answer_ms }),
        (0..2usize, 0..900u64).prop_map(|(process, answer_ms)| Step::Renew { process, answer_ms }),
        (0..2usize, 0..ORDER_FLIGHT_MS)
            .prop_map(|(process, flight_ms)| Step::Order { process, flight_ms }),
    ];
    proptest::collection::vec(step, 1..60)
}

fn runner() -> TestRunner {
    let config = Config { cases: 4_000, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]))
}

/// An order reaches an upstream that ignores fencing numbers.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at_ms: u64,
    fencing: u64,
}

#[test]
fn orders_arrive_in_order_of_their_holders() {
    runner()
        .run(&steps(), |steps| {
            let mut tenures = [LeaseTenure::new(TTL_MS), LeaseTenure::new(TTL_MS)];
            let mut now_ms = 10_000;
            // The platform's view: who holds the lease, and until when.
            let mut holder: Option<(usize, u64)> = None;
            let mut revision = 1;
            let mut arrivals: Vec<Arrival> = Vec::new();
            for step in steps {
                match step {
                    Step::Advance { by_ms } => now_ms += by_ms,
                    Step::Compete { process, answer_ms } => {
                        let sent_at_ms = now_ms;
                        now_ms += answer_ms;
                        if holder.is_some_and(|(_, until_ms)| now_ms < until_ms) {
                            continue;
                        }
                        revision += 1;
                        holder = Some((process, now_ms + TTL_MS));
                        tenures[process].start(sent_at_ms, revision);
                    }
                    Step::Renew { process, answer_ms } => {
                        let sent_at_ms = now_ms;
                        now_ms += answer_ms;
                        match holder {
                            Some((held_by, until_ms))
                                if held_by == process && now_ms < until_ms =>
                            {
                                holder = Some((process, now_ms + TTL_MS));
                                tenures[process].renew(sent_at_ms, now_ms);
                            }
                            _ => tenures[process].end(),
                        }
                    }
                    Step::Order { process, flight_ms } => {
                        if tenures[process].may_order(now_ms, false) {
                            let fencing = tenures[process].fencing().unwrap();
                            arrivals.push(Arrival { at_ms: now_ms + flight_ms, fencing });
                        }
                    }
                }
            }
            arrivals.sort_by_key(|arrival| arrival.at_ms);
            for pair in arrivals.windows(2) {
                prop_assert!(pair[0].fencing <= pair[1].fencing, "{:?}", arrivals);
            }
            Ok(())
        })
        .unwrap();
}

fn upstream(instance: &str) -> UpstreamSettings {
    UpstreamSettings {
        instance: instance.to_owned(),
        service: "desk".to_owned(),
        availability_zone: "zone-a".to_owned(),
        address: "127.0.0.1:1".parse().unwrap(),
        concurrency: 1,
        machine_class: MachineClass::Reclaimable,
        checks_fencing: true,
        desired_state: None,
    }
}

#[test]
fn start_refused_backs_off_and_changes_class() {
    let mut planner = ReplacementPlanner::new("zone-a");
    let upstreams = [upstream("engine-1")];
    let mut asked = Vec::new();
    for now_ms in (0..600_000).step_by(100) {
        for choice in planner.plan(&upstreams, |_| true, now_ms) {
            asked.push(choice.machine_class);
            planner.take_refused(&choice, now_ms);
        }
    }
    assert_eq!(asked[..2], [MachineClass::Reclaimable, MachineClass::OnDemand]);
    assert!(asked.len() < 40, "asked {} times in ten minutes", asked.len());
    let choice = &planner.plan(&upstreams, |_| true, 700_000)[0];
    planner.take_started(choice, "new-1");
    assert!(planner.plan(&upstreams, |_| true, 800_000).is_empty(), "one start for each");
}
