//! Urgent calls preempt deferrable ones, which are resumed and completed afterwards.

#![allow(clippy::unwrap_used)]

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use hickorycourse_testkit::fleet::{DEALER_KEY, MODEL, poll_until};
use hickorycourse_testkit::http::read_stream;
use hickorycourse_testkit::prelude::*;

#[test]
fn urgent_call_preempts_deferrable_calls() {
    let ranks = json!({
        "urgent": { "urgency": 0, "policy": { "target_first_token_ms": 810 } },
        "deferrable": { "urgency": 2, "policy": {
            "target_first_token_ms": 3_600_000, "queue_timeout_ms": 3_600_000 } },
    });
    let site = json!({ "ranks": ranks });
    let fleet =
        FleetBuilder::new().with_zones(1).with_concurrency(4).with_site_settings(site).start();
    let entry = &fleet.entries[0];
    let expected = entry.stream(&chat_body(MODEL, "advisory", 600, true), |_| {}).text;
    let url = format!("http://{}/v1/chat/completions", entry.caller_address);
    let authorization = format!("Bearer {DEALER_KEY}");
    let running = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        let deferrable: Vec<_> = (0..4)
            .map(|_| {
                scope.spawn(|| {
                    let headers =
                        [("authorization", authorization.as_str()), ("x-rank", "deferrable")];
                    read_stream(&url, &headers, &chat_body(MODEL, "advisory", 600, true), |count| {
                        if count == 5 {
                            running.fetch_add(1, Ordering::SeqCst);
                        }
                    })
                })
            })
            .collect();
        poll_until("all concurrency slots to be in use", || running.load(Ordering::SeqCst) == 4);
        let started = Instant::now();
        let urgent = entry.stream(&chat_body(MODEL, "frost?", 5, true), |_| {});
        let elapsed = started.elapsed();
        assert!(urgent.is_complete, "{:?}", urgent.problem);
        // The deferrable calls would hold the slots for more than 3 s; the target is 0.81 s.
        assert!(elapsed < Duration::from_secs(2), "{elapsed:?}");
        for caller in deferrable {
            let response = caller.join().unwrap();
            assert!(response.is_complete, "{:?}", response.problem);
            assert_eq!(response.text, expected, "preempted and resumed");
        }
    });
    let metrics = entry.send_operator_request("GET", "/metrics", None).body;
    assert!(metrics.contains("hickorycourse_preempted_total 1"), "{metrics}");
}
