//! Accepted jobs survive their holder.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use hickorycourse_testkit::fleet::{DEALER_KEY, MODEL, wait_for};
use hickorycourse_testkit::prelude::*;

fn fleet() -> Fleet {
    let timing = json!({ "heartbeat_ms": 100, "peer_timeout_ms": 600 });
    FleetBuilder::new().with_zones(3).with_timing(timing).start()
}

fn accept(entry: &Entry, prompt: &str, tokens: u64) -> Answer {
    let body = chat_body(MODEL, prompt, tokens, false).to_string();
    let headers = [("prefer", "respond-async")];
    entry.ask("POST", "/v1/chat/completions", DEALER_KEY, &headers, Some(body.as_bytes()))
}

fn wait_for_answer(entry: &Entry, address: &str) -> Answer {
    let mut last = None;
    wait_for("the job's answer", || {
        let answer = entry.ask("GET", address, DEALER_KEY, &[], None);
        let is_done = answer.status == 200;
        last = Some(answer);
        is_done
    });
    last.unwrap()
}

fn text_of(answer: &Answer) -> String {
    answer.json()["choices"][0]["message"]["content"].as_str().unwrap_or("").to_owned()
}

#[test]
fn job_answered_at_any_entry() {
    let fleet = fleet();
    let expected = text_of(&fleet.entries[0].chat(&chat_body(MODEL, "advisory", 20, false)));
    let accepted = accept(&fleet.entries[0], "advisory", 20);
    assert_eq!(accepted.status, 202, "{accepted:?}");
    let address = accepted.header("location").unwrap().to_owned();
    for entry in &fleet.entries {
        assert_eq!(text_of(&wait_for_answer(entry, &address)), expected);
    }
}

#[test]
fn job_survives_holder_killed() {
    let mut fleet = fleet();
    let expected = text_of(&fleet.entries[1].chat(&chat_body(MODEL, "block 9", 150, false)));
    let addresses: Vec<String> = (0..5)
        .map(|_| accept(&fleet.entries[0], "block 9", 150))
        .map(|accepted| accepted.header("location").unwrap().to_owned())
        .collect();
    fleet.entries[0].process.kill();
    for address in &addresses {
        assert_eq!(text_of(&wait_for_answer(&fleet.entries[1], address)), expected);
        assert_eq!(text_of(&wait_for_answer(&fleet.entries[2], address)), expected);
    }
}

#[test]
fn job_survives_reclaim_and_second_wave() {
    let mut fleet = fleet();
    let expected = text_of(&fleet.entries[2].chat(&chat_body(MODEL, "wave", 400, false)));
    let accepted = accept(&fleet.entries[0], "wave", 400);
    let address = accepted.header("location").unwrap().to_owned();
    // First wave: a notice, and the process dies in the middle of its handover.
    fleet.entries[0].process.terminate();
    std::thread::sleep(Duration::from_millis(60));
    fleet.entries[0].process.kill();
    // Second wave during the first: whoever took over leaves as well, with time to hand over.
    std::thread::sleep(Duration::from_millis(1_500));
    fleet.entries[1].process.terminate();
    assert_eq!(text_of(&wait_for_answer(&fleet.entries[2], &address)), expected);
}

#[test]
fn job_refused_without_second_entry() {
    let fleet = FleetBuilder::new().with_zones(1).start();
    let refused = accept(&fleet.entries[0], "alone", 5);
    assert_eq!((refused.code(), refused.execution().as_str()), (4008, "not_run"), "{refused:?}");
}

#[test]
fn zone_reclaimed_accepted_work_survives() {
    let mut fleet = fleet();
    let expected = text_of(&fleet.entries[1].chat(&chat_body(MODEL, "zone", 300, false)));
    let addresses: Vec<String> = (0..4)
        .map(|_| accept(&fleet.entries[0], "zone", 300))
        .map(|accepted| accepted.header("location").unwrap().to_owned())
        .collect();
    let zone = fleet.entries[0].zone.clone();
    // Notice for the whole zone, entry, engine and service; then all of it dies.
    fleet.give_notice(&fleet.entries[0].name);
    for engine in fleet.engines.iter().chain(&fleet.services).filter(|s| s.zone == zone) {
        fleet.give_notice(&engine.name);
    }
    let streamed = fleet.entries[1].stream(&chat_body(MODEL, "zone", 300, true), |_| {});
    std::thread::sleep(Duration::from_millis(1_500));
    fleet.entries[0].process.kill();
    fleet.engines[0].process.kill();
    fleet.services[0].process.kill();
    assert!(streamed.is_whole && streamed.text == expected, "{:?}", streamed.problem);
    for address in &addresses {
        assert_eq!(text_of(&wait_for_answer(&fleet.entries[2], address)), expected);
    }
    let order = fleet.entries[1].order(Some("after-the-zone"), "x");
    assert_eq!(order.status, 200, "{order:?}");
}

#[test]
fn job_refused_after_copy_was_sent_may_run() {
    let fleet = FleetBuilder::new().start();
    // The other entry takes nothing, but the copy waits for it.
    fleet.entries[1].process.freeze();
    let refused = accept(&fleet.entries[0], "sent", 5);
    assert_eq!(
        (refused.code(), refused.execution().as_str()),
        (4008, "may_have_run"),
        "{refused:?}"
    );
}
