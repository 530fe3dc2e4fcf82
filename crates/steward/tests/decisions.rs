//! Property tests of the steward's state machines under generated schedules.

#![allow(clippy::unwrap_used)]

use hickorycourse_settings::{MachineClass, UpstreamSettings};
use hickorycourse_steward::ORDER_TIMEOUT_MS;
use hickorycourse_steward::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const TTL_MS: u64 = 3_000;

#[derive(Clone, Debug)]
enum ScheduleStep {
    Advance { by_ms: u64 },
    Acquire { process: usize, response_ms: u64 },
    Renew { process: usize, response_ms: u64 },
    Order { process: usize, transit_ms: u64 },
}

fn steps() -> impl Strategy<Value = Vec<ScheduleStep>> {
    let step = prop_oneof![
        (1..2_000u64).prop_map(|by_ms| ScheduleStep::Advance { by_ms }),
        (0..2usize, 0..900u64)
            .prop_map(|(process, response_ms)| ScheduleStep::Acquire { process, response_ms }),
        (0..2usize, 0..900u64)
            .prop_map(|(process, response_ms)| ScheduleStep::Renew { process, response_ms }),
        (0..2usize, 0..ORDER_TIMEOUT_MS)
            .prop_map(|(process, transit_ms)| ScheduleStep::Order { process, transit_ms }),
    ];
    proptest::collection::vec(step, 1..60)
}

fn runner() -> TestRunner {
    let config = Config { cases: 4_000, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]))
}

/// Arrival of an order at an upstream that does not check fencing tokens.
#[derive(Clone, Copy, Debug)]
struct OrderArrival {
    at_ms: u64,
    fencing_token: u64,
}

/// Guards against an order of an earlier holder that arrives after one of a later holder, at an
/// upstream that would accept both.
#[test]
fn may_order_arrivals_in_holder_order() {
    runner()
        .run(&steps(), |steps| {
            let mut leases = [ZoneLease::new(TTL_MS), ZoneLease::new(TTL_MS)];
            let mut now_ms = 10_000;
            // The lease in the key-value service: the holder and the time of expiry.
            let mut holder: Option<(usize, u64)> = None;
            let mut revision = 1;
            let mut arrivals: Vec<OrderArrival> = Vec::new();
            for step in steps {
                match step {
                    ScheduleStep::Advance { by_ms } => now_ms += by_ms,
                    ScheduleStep::Acquire { process, response_ms } => {
                        let sent_at_ms = now_ms;
                        now_ms += response_ms;
                        if holder.is_some_and(|(_, until_ms)| now_ms < until_ms) {
                            continue;
                        }
                        revision += 1;
                        holder = Some((process, now_ms + TTL_MS));
                        leases[process].record_acquired(sent_at_ms, revision);
                    }
                    ScheduleStep::Renew { process, response_ms } => {
                        let sent_at_ms = now_ms;
                        now_ms += response_ms;
                        match holder {
                            Some((held_by, until_ms))
                                if held_by == process && now_ms < until_ms =>
                            {
                                holder = Some((process, now_ms + TTL_MS));
                                leases[process].record_renewed(sent_at_ms, now_ms);
                            }
                            _ => leases[process].record_lost(),
                        }
                    }
                    ScheduleStep::Order { process, transit_ms } => {
                        if leases[process].may_order(now_ms, false) {
                            let fencing_token = leases[process].fencing_token().unwrap();
                            arrivals
                                .push(OrderArrival { at_ms: now_ms + transit_ms, fencing_token });
                        }
                    }
                }
            }
            arrivals.sort_by_key(|arrival| arrival.at_ms);
            for pair in arrivals.windows(2) {
                prop_assert!(pair[0].fencing_token <= pair[1].fencing_token, "{:?}", arrivals);
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
fn plan_refused_starts_other_class_tried_with_backoff() {
    let mut planner = ReplacementPlanner::new("zone-a");
    let upstreams = [upstream("engine-1")];
    let mut requested = Vec::new();
    for now_ms in (0..600_000).step_by(100) {
        for start in planner.plan(&upstreams, |_| true, now_ms) {
            requested.push(start.machine_class);
            planner.record_refused(&start, now_ms);
        }
    }
    assert_eq!(requested[..2], [MachineClass::Reclaimable, MachineClass::OnDemand]);
    assert!(requested.len() < 40, "requested {} times in ten minutes", requested.len());
    let start = &planner.plan(&upstreams, |_| true, 700_000)[0];
    planner.record_started(start, "new-1");
    assert!(planner.plan(&upstreams, |_| true, 800_000).is_empty(), "one replacement per instance");
}
