//! Accepted jobs complete although the entry that executes them drains or is killed.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use hickorycourse_testkit::fleet::{DEALER_KEY, MODEL, poll_until};
use hickorycourse_testkit::prelude::*;

fn fleet() -> Fleet {
    let timing = json!({ "heartbeat_ms": 100, "peer_timeout_ms": 600 });
    FleetBuilder::new().with_zones(3).with_timing(timing).start()
}

fn submit_job(entry: &Entry, prompt: &str, tokens: u64) -> HttpResponse {
    let body = chat_body(MODEL, prompt, tokens, false).to_string();
    let headers = [("prefer", "respond-async")];
    entry.send_request("POST", "/v1/chat/completions", DEALER_KEY, &headers, Some(body.as_bytes()))
}

fn wait_for_result(entry: &Entry, address: &str) -> HttpResponse {
    let mut last = None;
    poll_until("the job's result", || {
        let response = entry.send_request("GET", address, DEALER_KEY, &[], None);
        let is_done = response.status == 200;
        last = Some(response);
        is_done
    });
    last.unwrap()
}

fn response_text(response: &HttpResponse) -> String {
    response.json()["choices"][0]["message"]["content"].as_str().unwrap_or("").to_owned()
}

#[test]
fn job_result_available_at_every_entry() {
    let fleet = fleet();
    let expected = response_text(&fleet.entries[0].chat(&chat_body(MODEL, "advisory", 20, false)));
    let accepted = submit_job(&fleet.entries[0], "advisory", 20);
    assert_eq!(accepted.status, 202, "{accepted:?}");
    let address = accepted.header("location").unwrap().to_owned();
    for entry in &fleet.entries {
        assert_eq!(response_text(&wait_for_result(entry, &address)), expected);
    }
}

#[test]
fn job_survives_holder_killed() {
    let mut fleet = fleet();
    let expected = response_text(&fleet.entries[1].chat(&chat_body(MODEL, "block 9", 150, false)));
    let addresses: Vec<String> = (0..5)
        .map(|_| submit_job(&fleet.entries[0], "block 9", 150))
        .map(|accepted| accepted.header("location").unwrap().to_owned())
        .collect();
    fleet.entries[0].process.kill();
    for address in &addresses {
        assert_eq!(response_text(&wait_for_result(&fleet.entries[1], address)), expected);
        assert_eq!(response_text(&wait_for_result(&fleet.entries[2], address)), expected);
    }
}

#[test]
fn job_survives_kill_during_handover_and_second_drain() {
    let mut fleet = fleet();
    let expected = response_text(&fleet.entries[2].chat(&chat_body(MODEL, "wave", 400, false)));
    let accepted = submit_job(&fleet.entries[0], "wave", 400);
    let address = accepted.header("location").unwrap().to_owned();
    // The first entry starts to drain and is killed during its handover.
    fleet.entries[0].process.send_sigterm();
    std::thread::sleep(Duration::from_millis(60));
    fleet.entries[0].process.kill();
    // A second entry drains while the job is still running, with time for a handover.
    std::thread::sleep(Duration::from_millis(1_500));
    fleet.entries[1].process.send_sigterm();
    assert_eq!(response_text(&wait_for_result(&fleet.entries[2], &address)), expected);
}

#[test]
fn job_rejected_without_second_entry() {
    let fleet = FleetBuilder::new().with_zones(1).start();
    let rejected = submit_job(&fleet.entries[0], "alone", 5);
    assert_eq!(
        (rejected.problem_code(), rejected.execution().as_str()),
        (4008, "not_run"),
        "{rejected:?}"
    );
}

#[test]
fn job_and_stream_survive_zone_reclaim() {
    let mut fleet = fleet();
    let expected = response_text(&fleet.entries[1].chat(&chat_body(MODEL, "zone", 300, false)));
    let addresses: Vec<String> = (0..4)
        .map(|_| submit_job(&fleet.entries[0], "zone", 300))
        .map(|accepted| accepted.header("location").unwrap().to_owned())
        .collect();
    let zone = fleet.entries[0].zone.clone();
    // Reclaim notice for entry, engine and service of one zone; then all of them are killed.
    fleet.send_reclaim_notice(&fleet.entries[0].name);
    for engine in fleet.engines.iter().chain(&fleet.services).filter(|s| s.zone == zone) {
        fleet.send_reclaim_notice(&engine.name);
    }
    let streamed = fleet.entries[1].stream(&chat_body(MODEL, "zone", 300, true), |_| {});
    std::thread::sleep(Duration::from_millis(1_500));
    fleet.entries[0].process.kill();
    fleet.engines[0].process.kill();
    fleet.services[0].process.kill();
    assert!(streamed.is_complete && streamed.text == expected, "{:?}", streamed.problem);
    for address in &addresses {
        assert_eq!(response_text(&wait_for_result(&fleet.entries[2], address)), expected);
    }
    let order = fleet.entries[1].post_order(Some("after-the-zone"), "x");
    assert_eq!(order.status, 200, "{order:?}");
}

#[test]
fn job_unconfirmed_copy_may_have_run() {
    let fleet = FleetBuilder::new().start();
    // The other entry is frozen, so the copy is sent but never confirmed.
    fleet.entries[1].process.suspend();
    let rejected = submit_job(&fleet.entries[0], "sent", 5);
    assert_eq!(
        (rejected.problem_code(), rejected.execution().as_str()),
        (4008, "may_have_run"),
        "{rejected:?}"
    );
}
