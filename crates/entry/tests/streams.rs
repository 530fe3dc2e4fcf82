//! Accepted streams complete although engines close connections, stall, mix up responses or leave,
//! and although entries drain.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use hickorycourse_testkit::fleet::{FakeServer, MODEL, poll_until};
use hickorycourse_testkit::prelude::*;

fn fleet() -> Fleet {
    let policy = json!({ "token_timeout_ms": 400, "first_byte_timeout_ms": 1500 });
    FleetBuilder::new().with_policy(policy).start()
}

/// Returns the text of a stream that is not interrupted.
fn uninterrupted_text(fleet: &Fleet, prompt: &str, tokens: u64) -> String {
    let response = fleet.entries[0].stream(&chat_body(MODEL, prompt, tokens, true), |_| {});
    assert!(response.is_complete, "{:?}", response.problem);
    response.text
}

fn find_running_engine(fleet: &Fleet) -> usize {
    let is_running = |engine: &FakeServer| engine.stats()["running"].as_u64().unwrap_or(0) > 0;
    fleet.engines.iter().position(is_running).expect("no engine runs the stream")
}

#[test]
fn stream_resumes_on_other_engine() {
    let fleet = fleet();
    let faults = [
        json!({ "break_after_tokens": 7 }),
        json!({ "truncate_after_tokens": 7 }),
        json!({ "silent_after_tokens": 7 }),
        json!({ "cross_after_tokens": 7 }),
        json!({ "nonsense_after_tokens": 7 }),
        json!({ "freeze": true }),
        json!({ "status": 503 }),
    ];
    for (round, fault) in faults.iter().enumerate() {
        let prompt = format!("frost tonight? {round}");
        let expected = uninterrupted_text(&fleet, &prompt, 40);
        let body = chat_body(MODEL, &prompt, 40, true);
        for engine in 0..2 {
            fleet.engines[engine].set_faults(fault);
            let response = fleet.entries[0].stream(&body, |_| {});
            let complete = fleet.entries[1].chat(&chat_body(MODEL, &prompt, 40, false));
            fleet.engines[engine].set_faults(&json!({}));
            assert!(response.is_complete, "{fault}: {:?}", response.problem);
            assert_eq!(response.text, expected, "{fault}");
            let ids: BTreeSet<String> =
                response.chunks.iter().map(|chunk| chunk["id"].to_string()).collect();
            assert_eq!(ids.len(), 1, "{fault}: all chunks have the same id");
            let text = &complete.json()["choices"][0]["message"]["content"];
            assert_eq!(text, expected.as_str(), "{fault}: {}", complete.body);
            assert_eq!(complete.json()["usage"]["completion_tokens"], 40, "{fault}");
        }
    }
}

#[test]
fn stream_survives_engine_killed() {
    let mut fleet = fleet();
    let expected = uninterrupted_text(&fleet, "kill me", 120);
    let started = AtomicBool::new(false);
    let entry = &fleet.entries[0];
    let engines = &mut fleet.engines;
    let response = std::thread::scope(|scope| {
        let body = chat_body(MODEL, "kill me", 120, true);
        let caller = scope.spawn(|| {
            let body = body;
            entry.stream(&body, |count| started.store(count > 20, Ordering::SeqCst))
        });
        poll_until("the stream to run", || started.load(Ordering::SeqCst));
        let running = engines.iter().position(|e| e.stats()["running"] == 1).unwrap();
        engines[running].process.kill();
        caller.join().unwrap()
    });
    assert!(response.is_complete, "{:?}", response.problem);
    assert_eq!(response.text, expected);
}

#[test]
fn stream_stalled_connections_resume_within_bound() {
    let fleet = fleet();
    let expected = uninterrupted_text(&fleet, "silence", 100);
    let entry = &fleet.entries[0];
    let started = AtomicUsize::new(0);
    let responses = std::thread::scope(|scope| {
        let callers: Vec<_> = (0..20)
            .map(|_| {
                scope.spawn(|| {
                    let body = chat_body(MODEL, "silence", 100, true);
                    let response = entry.stream(&body, |count| {
                        if count == 10 {
                            started.fetch_add(1, Ordering::SeqCst);
                        }
                    });
                    (response, Instant::now())
                })
            })
            .collect();
        poll_until("all streams to run", || started.load(Ordering::SeqCst) == 20);
        let silenced_at = Instant::now();
        for engine in &fleet.engines {
            engine.set_faults(&json!({ "silence_running": true }));
        }
        let join = |caller: std::thread::ScopedJoinHandle<'_, _>| caller.join().unwrap();
        let responses: Vec<_> = callers.into_iter().map(join).collect();
        (responses, silenced_at)
    });
    let (responses, silenced_at) = responses;
    for (response, ended_at) in responses {
        assert!(response.is_complete, "{:?}", response.problem);
        assert_eq!(response.text, expected);
        // The stall is detected after 400 ms, then the rest of the response follows. The bound
        // allows for a loaded machine and is far below the 60 s that a dead connection would take.
        assert!(ended_at.duration_since(silenced_at) < Duration::from_secs(15));
    }
}

#[test]
fn chat_concurrent_calls_responses_not_mixed() {
    let fleet = fleet();
    fleet.engines[0].set_faults(&json!({ "cross_after_tokens": 3 }));
    let expected: Vec<String> = {
        let clean = &fleet.engines[1];
        (0..40)
            .map(|number| {
                let body = chat_body(MODEL, &format!("question {number}"), 8, false).to_string();
                let url = format!("http://{}/v1/chat/completions", clean.address);
                let response = send_request("POST", &url, &[], Some(body.as_bytes()));
                response.json()["choices"][0]["message"]["content"].as_str().unwrap().to_owned()
            })
            .collect()
    };
    let wrong = AtomicUsize::new(0);
    let answered = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        for worker in 0..16 {
            let (fleet, expected) = (&fleet, &expected);
            let (wrong, answered) = (&wrong, &answered);
            scope.spawn(move || {
                for round in 0..75 {
                    let number = (worker * 7 + round) % expected.len();
                    let body = chat_body(MODEL, &format!("question {number}"), 8, round % 2 == 0);
                    let entry = &fleet.entries[(worker + round) % 2];
                    let text = if round % 2 == 0 {
                        let response = entry.stream(&body, |_| {});
                        response.is_complete.then_some(response.text)
                    } else {
                        let response = entry.chat(&body);
                        let text = response.json()["choices"][0]["message"]["content"].clone();
                        text.as_str().map(str::to_owned)
                    };
                    let Some(text) = text else { continue };
                    answered.fetch_add(1, Ordering::SeqCst);
                    wrong.fetch_add(usize::from(text != expected[number]), Ordering::SeqCst);
                }
            });
        }
    });
    assert_eq!(wrong.load(Ordering::SeqCst), 0);
    assert!(answered.load(Ordering::SeqCst) > 600, "of 1200: {answered:?}");
}

#[test]
fn leaving_engine_receives_no_new_requests() {
    let fleet = fleet();
    let leaving = &fleet.engines[0];
    fleet.send_reclaim_notice(&leaving.name);
    std::thread::sleep(Duration::from_secs(3));
    let before = leaving.stats()["stats"]["requests"].as_u64().unwrap();
    for number in 0..20 {
        let entry = &fleet.entries[number % 2];
        assert_eq!(entry.chat(&chat_body(MODEL, "after notice", 3, false)).status, 200);
    }
    assert_eq!(leaving.stats()["stats"]["requests"].as_u64().unwrap(), before);
}

#[test]
fn leaving_entry_rejects_within_three_seconds() {
    for trigger in ["signal", "notice", "operator"] {
        let mut fleet = fleet();
        // Takes longer than the notice period and the grace period.
        let expected_tokens = 800;
        let long = chat_body(MODEL, "a long goodbye", 800, true);
        let entry = &fleet.entries[0];
        let is_running = AtomicBool::new(false);
        let response = std::thread::scope(|scope| {
            let caller = scope.spawn(|| {
                entry.stream(&long, |count| is_running.store(count > 5, Ordering::SeqCst))
            });
            poll_until("the stream to run", || is_running.load(Ordering::SeqCst));
            match trigger {
                "signal" => entry.process.send_sigterm(),
                "notice" => fleet.send_reclaim_notice(&entry.name),
                _ => assert_eq!(entry.send_operator_request("POST", "/v1/drain", None).status, 202),
            }
            let notified_at = Instant::now();
            poll_until("readiness to fail", || !entry.is_ready());
            assert!(notified_at.elapsed() < Duration::from_secs(3), "{trigger}");
            std::thread::sleep(Duration::from_secs(3).saturating_sub(notified_at.elapsed()));
            let rejected = entry.chat(&chat_body(MODEL, "too late", 3, false));
            assert_eq!(rejected.problem_code(), 2003, "{trigger}: {rejected:?}");
            assert_eq!(rejected.execution(), "not_run");
            caller.join().unwrap()
        });
        assert!(response.is_complete, "{trigger}: {:?}", response.problem);
        assert_eq!(response.chunks.len(), expected_tokens + 1, "{trigger}");
        let status = fleet.entries[0].process.wait(Duration::from_secs(10));
        assert!(
            status.is_some_and(|status| status.success()),
            "{trigger}: the process exits by itself"
        );
    }
}

#[test]
fn rolling_restart_interrupts_no_stream() {
    let mut fleet = FleetBuilder::new().with_per_zone(1, 1, 2).start();
    let is_done = AtomicBool::new(false);
    let failed = AtomicUsize::new(0);
    let answered = AtomicUsize::new(0);
    let mut restarted_cleanly = true;
    let expected = uninterrupted_text(&fleet, "rolling", 300);
    let addresses: Vec<_> = fleet.entries.iter().map(|entry| entry.caller_address).collect();
    std::thread::scope(|scope| {
        for worker in 0..12 {
            let (is_done, failed, answered) = (&is_done, &failed, &answered);
            let (addresses, expected) = (&addresses, &expected);
            scope.spawn(move || {
                let mut turn = worker;
                while !is_done.load(Ordering::SeqCst) {
                    turn += 1;
                    let address = addresses[turn % addresses.len()];
                    // As a load balancer does, sends requests only to instances that are ready.
                    if send_request("GET", &format!("http://{address}/readyz"), &[], None).status
                        != 200
                    {
                        continue;
                    }
                    let key = format!("Bearer {}", hickorycourse_testkit::fleet::DEALER_KEY);
                    let url = format!("http://{address}/v1/chat/completions");
                    let body = chat_body(MODEL, "rolling", 300, true);
                    let headers = [("authorization", key.as_str())];
                    let response =
                        hickorycourse_testkit::http::read_stream(&url, &headers, &body, |_| {});
                    let is_correct = response.is_complete && response.text == *expected;
                    answered.fetch_add(usize::from(is_correct), Ordering::SeqCst);
                    if !is_correct {
                        eprintln!("{address}: {} {:?}", response.status, response.problem);
                        failed.fetch_add(1, Ordering::SeqCst);
                    }
                }
            });
        }
        // A panic here would keep the workers running forever, so failures are collected.
        for index in 0..fleet.entries.len() {
            fleet.entries[index].process.send_sigterm();
            let status = fleet.entries[index].process.wait(Duration::from_secs(30));
            restarted_cleanly &= status.is_some_and(|status| status.success());
            fleet.restart_entry(index);
            let started = Instant::now();
            while !fleet.entries[index].is_ready() && started.elapsed() < Duration::from_secs(20) {
                std::thread::sleep(Duration::from_millis(50));
            }
            restarted_cleanly &= fleet.entries[index].is_ready();
        }
        is_done.store(true, Ordering::SeqCst);
    });
    assert!(restarted_cleanly, "each entry exits by itself and is ready again after its restart");
    assert_eq!(failed.load(Ordering::SeqCst), 0);
    assert!(answered.load(Ordering::SeqCst) > 20, "{answered:?}");
}

#[test]
fn stream_engine_killed_after_notice_completes() {
    let mut fleet = fleet();
    let expected = uninterrupted_text(&fleet, "zone", 200);
    let started = AtomicUsize::new(0);
    let entry = &fleet.entries[1];
    let running_zone = AtomicBool::new(false);
    let engines = &mut fleet.engines;
    let platform = fleet.platform.address;
    let responses = std::thread::scope(|scope| {
        let callers: Vec<_> = (0..10)
            .map(|_| {
                scope.spawn(|| {
                    let body = chat_body(MODEL, "zone", 200, true);
                    entry.stream(&body, |count| {
                        if count == 10 {
                            started.fetch_add(1, Ordering::SeqCst);
                        }
                    })
                })
            })
            .collect();
        poll_until("all streams to run", || started.load(Ordering::SeqCst) == 10);
        // The engine that runs the streams gets a reclaim notice and is killed while they run.
        let running = engines.iter().position(|e| e.stats()["running"] != 0).unwrap();
        running_zone.store(running == 1, Ordering::SeqCst);
        let body = json!({ "instance": engines[running].name }).to_string();
        send_request("POST", &format!("http://{platform}/notices"), &[], Some(body.as_bytes()));
        std::thread::sleep(Duration::from_millis(200));
        engines[running].process.kill();
        callers.into_iter().map(|caller| caller.join().unwrap()).collect::<Vec<_>>()
    });
    for response in responses {
        assert!(response.is_complete, "{:?}", response.problem);
        assert_eq!(response.text, expected);
    }
}

#[test]
fn entry_opens_no_io_uring() {
    let fleet = FleetBuilder::new().with_zones(1).start();
    let dir = format!("/proc/{}/fd", fleet.entries[0].process.id());
    let links = std::fs::read_dir(dir).unwrap().filter_map(|file| file.ok());
    let targets: Vec<String> = links
        .filter_map(|file| std::fs::read_link(file.path()).ok())
        .map(|target| target.display().to_string())
        .collect();
    assert!(!targets.is_empty());
    assert!(targets.iter().all(|target| !target.contains("io_uring")), "{targets:?}");
}

#[test]
fn stream_prefers_engine_in_own_zone() {
    let fleet = fleet();
    let is_running = AtomicBool::new(false);
    std::thread::scope(|scope| {
        scope.spawn(|| {
            let body = chat_body(MODEL, "stats", 60, true);
            fleet.entries[0].stream(&body, |_| is_running.store(true, Ordering::SeqCst))
        });
        poll_until("the stream to run", || is_running.load(Ordering::SeqCst));
        // The engine in the zone of the entry is preferred.
        assert_eq!(find_running_engine(&fleet), 0);
    });
}

#[test]
fn chat_with_tools_waits_for_complete_response() {
    let policy = json!({ "first_byte_timeout_ms": 300, "attempt_limit": 1 });
    let fleet = FleetBuilder::new().with_zones(1).with_policy(policy).start();
    // A request with tools is not streamed; the engine needs about a second for the response.
    let mut body = chat_body(MODEL, "tools", 150, false);
    body["tools"] = json!([{ "type": "function", "function": { "name": "look_up" } }]);
    let response = fleet.entries[0].chat(&body);
    assert_eq!(response.status, 200, "{}", response.body);
    assert_eq!(response.json()["usage"]["completion_tokens"], 150);
}

#[test]
fn chat_no_engine_left_after_attempt_may_have_run() {
    let policy = json!({ "token_timeout_ms": 2_000 });
    let timing = json!({ "instance_list_ms": 100 });
    let fleet = FleetBuilder::new().with_zones(1).with_policy(policy).with_timing(timing).start();
    fleet.engines[0].set_faults(&json!({ "silent_after_tokens": 0 }));
    let response = std::thread::scope(|scope| {
        let caller =
            scope.spawn(|| fleet.entries[0].chat(&chat_body(MODEL, "was it run?", 5, false)));
        // The only engine leaves while the first attempt is stalled, so there is no second attempt.
        std::thread::sleep(Duration::from_millis(300));
        fleet.send_reclaim_notice(&fleet.engines[0].name);
        caller.join().unwrap()
    });
    assert_eq!(
        (response.problem_code(), response.execution().as_str()),
        (3001, "may_have_run"),
        "{response:?}"
    );
}
