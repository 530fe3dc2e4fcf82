//! At-most-once execution with real processes: concurrent repeats, broken services, platform
//! outages and killed or frozen entries.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use hickorycourse_testkit::fleet::{DEALER_KEY, poll_until};
use hickorycourse_testkit::prelude::*;

fn fleet() -> Fleet {
    let timing = json!({ "platform_timeout_ms": 500 });
    let policy = json!({ "first_byte_timeout_ms": 1000 });
    FleetBuilder::new().with_timing(timing).with_policy(policy).start()
}

#[test]
fn order_same_key_at_two_entries_runs_once() {
    let fleet = fleet();
    for service in &fleet.services {
        service.set_faults(&json!({ "delay_before_ms": 50 }));
    }
    for round in 0..10 {
        let key = format!("both-{round}");
        let responses: Vec<HttpResponse> = std::thread::scope(|scope| {
            let threads: Vec<_> = fleet
                .entries
                .iter()
                .map(|entry| scope.spawn(|| entry.post_order(Some(&key), "same")))
                .collect();
            threads.into_iter().map(|thread| thread.join().unwrap()).collect()
        });
        assert_eq!(fleet.count_executions(&key), 1, "{responses:?}");
        for response in &responses {
            let is_executed_or_in_progress =
                response.status == 200 || response.problem_code() == 4002;
            assert!(is_executed_or_in_progress, "{response:?}");
        }
        let repeat = fleet.entries[0].post_order(Some(&key), "same");
        assert_eq!(repeat.status, 200);
        assert_eq!(repeat.execution(), "ran");
        let reused = fleet.entries[1].post_order(Some(&key), "different");
        assert_eq!(reused.problem_code(), 4003);
    }
}

#[test]
fn order_failed_after_dispatch_may_have_run() {
    let fleet = fleet();
    let entry = &fleet.entries[0];
    let cases = [
        ("before", json!({ "break_before": true }), 0),
        ("after", json!({ "break_after": true }), 1),
        ("half", json!({ "truncate": true }), 1),
        ("crossed", json!({ "cross": true }), 1),
        ("silent", json!({ "delay_after_ms": 3000 }), 1),
    ];
    for (case, faults, executions) in cases {
        for service in &fleet.services {
            service.set_faults(&faults);
        }
        let keyed = entry.post_order(Some(case), "x");
        assert_eq!(keyed.execution(), "may_have_run", "{case}: {keyed:?}");
        let unkeyed = entry.post_order(None, &format!("bare-{case}"));
        assert_eq!(unkeyed.execution(), "may_have_run", "{case}: {unkeyed:?}");
        for service in &fleet.services {
            service.set_faults(&json!({}));
        }
        for repeat in &fleet.entries {
            assert_eq!(repeat.post_order(Some(case), "x").problem_code(), 4002, "{case}");
        }
        assert_eq!(fleet.count_executions(case), executions, "{case}");
        assert_eq!(fleet.count_executions(&format!("bare-{case}")), executions, "{case}");
    }
}

#[test]
fn order_unreachable_service_not_run() {
    let mut fleet = fleet();
    for service in &mut fleet.services {
        service.process.kill();
    }
    let rejected = fleet.entries[0].post_order(Some("nobody"), "x");
    assert_eq!(
        (rejected.problem_code(), rejected.execution().as_str()),
        (3005, "not_run"),
        "{rejected:?}"
    );
    // The claim was released, so a later repeat must not report that the call may have run.
    let again = fleet.entries[1].post_order(Some("nobody"), "x");
    assert_eq!(again.execution(), "not_run", "{again:?}");
}

#[test]
fn order_platform_outage_and_lost_writes_run_once() {
    let fleet = fleet();
    let entry = &fleet.entries[0];
    assert_eq!(entry.post_order(Some("early"), "x").status, 200);
    fleet.platform.set_faults(&json!({ "down": true }));
    let rejected = entry.post_order(Some("during"), "x");
    assert_eq!(
        (rejected.problem_code(), rejected.execution().as_str()),
        (4001, "not_run"),
        "{rejected:?}"
    );
    assert!(rejected.header("retry-after").is_some());
    assert_eq!(fleet.count_executions("during"), 0);
    fleet.platform.set_faults(&json!({}));
    poll_until("orders to be accepted again", || {
        entry.post_order(Some("during"), "x").status == 200
    });
    assert_eq!(fleet.count_executions("during"), 1);
    for (case, faults) in [
        ("answer-lost", json!({ "lose_write_answers": 2 })),
        ("write-lost", json!({ "lose_writes": 2 })),
    ] {
        fleet.platform.set_faults(&faults);
        let response = entry.post_order(Some(case), "x");
        assert_eq!(response.status, 200, "{case}: {response:?}");
        let repeat = fleet.entries[1].post_order(Some(case), "x");
        assert!(repeat.status == 200 || repeat.problem_code() == 4002, "{case}: {repeat:?}");
        assert_eq!(fleet.count_executions(case), 1, "{case}");
    }
}

#[test]
fn order_entry_killed_or_frozen_runs_at_most_once() {
    let mut fleet = fleet();
    for service in &fleet.services {
        service.set_faults(&json!({ "delay_before_ms": 400 }));
    }
    std::thread::scope(|scope| {
        let caller = scope.spawn(|| fleet.entries[0].post_order(Some("killed"), "x"));
        std::thread::sleep(Duration::from_millis(200));
        fleet.entries[0].process.suspend();
        // The claim of the frozen entry stays valid: no other entry may execute the order.
        let other = fleet.entries[1].post_order(Some("killed"), "x");
        assert_eq!(other.problem_code(), 4002, "{other:?}");
        fleet.entries[0].process.resume();
        let response = caller.join().unwrap();
        assert_eq!(response.status, 200, "{response:?}");
    });
    let caller_address = fleet.entries[0].caller_address;
    let sender = std::thread::spawn(move || {
        let authorization = format!("Bearer {DEALER_KEY}");
        let headers = [("authorization", authorization.as_str()), ("idempotency-key", "cut")];
        send_request("POST", &format!("http://{caller_address}/orders/new"), &headers, Some(b"x"))
    });
    std::thread::sleep(Duration::from_millis(200));
    fleet.entries[0].process.kill();
    assert_eq!(sender.join().unwrap().status, 0);
    for _ in 0..3 {
        let repeat = fleet.entries[1].post_order(Some("cut"), "x");
        assert_eq!(repeat.execution(), "may_have_run", "{repeat:?}");
    }
    std::thread::sleep(Duration::from_millis(500));
    assert!(fleet.count_executions("cut") <= 1);
    assert_eq!(fleet.count_executions("killed"), 1);
}

#[test]
fn order_id_platform_outage_runs_once() {
    let mut fleet = fleet();
    fleet.platform.set_faults(&json!({ "down": true }));
    let issued = fleet.entries[0].send_request("POST", "/v1/order-ids", DEALER_KEY, &[], None);
    assert_eq!(issued.status, 201);
    let id = issued.json()["order_id"].as_str().unwrap().to_owned();
    let responses: Vec<HttpResponse> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..6)
            .map(|index| &fleet.entries[index % 2])
            .map(|entry| scope.spawn(|| entry.post_order(Some(&id), "x")))
            .collect();
        threads.into_iter().map(|thread| thread.join().unwrap()).collect()
    });
    assert_eq!(fleet.count_executions(&id), 1, "{responses:?}");
    assert!(responses.iter().any(|response| response.status == 200), "{responses:?}");
    let repeat = fleet.entries[1].post_order(Some(&id), "x");
    assert_eq!((repeat.status, repeat.execution().as_str()), (200, "ran"), "{repeat:?}");
    let other_caller = fleet.entries[1].send_request(
        "POST",
        "/orders/new",
        hickorycourse_testkit::fleet::CHAIN_KEY,
        &[("idempotency-key", &id)],
        Some(b"x"),
    );
    assert_eq!(other_caller.problem_code(), 4007);
    fleet.entries[0].process.kill();
    let orphan = fleet.entries[1].post_order(Some(&id), "x");
    assert_eq!((orphan.problem_code(), orphan.execution().as_str()), (4005, "may_have_run"));
    assert_eq!(fleet.count_executions(&id), 1);
}
