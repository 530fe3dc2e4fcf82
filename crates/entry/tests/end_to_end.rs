//! End-to-end tests with real processes: chat completions, plain services, metrics, usage, spans.

#![allow(clippy::unwrap_used)]

use hickorycourse_testkit::fleet::{CHAIN_KEY, DEALER_KEY, MODEL};
use hickorycourse_testkit::prelude::*;

#[test]
fn chat_streamed_text_equals_complete_response() {
    let fleet = FleetBuilder::new().start();
    let complete = fleet.entries[0].chat(&chat_body(MODEL, "spec sheet", 20, false));
    assert_eq!(complete.status, 200, "{}", complete.body);
    let document = complete.json();
    assert_eq!(document["object"], "chat.completion");
    assert_eq!(document["usage"]["completion_tokens"], 20);
    assert_eq!(document["choices"][0]["finish_reason"], "length");
    let mut body = chat_body(MODEL, "spec sheet", 20, true);
    body["stream_options"] = json!({ "include_usage": true });
    let streamed = fleet.entries[1].stream(&body, |_| {});
    assert!(streamed.is_complete);
    assert_eq!(document["choices"][0]["message"]["content"], streamed.text.as_str());
    let last = streamed.chunks.last().unwrap();
    assert_eq!(last["choices"], json!([]));
    assert_eq!(last["usage"]["completion_tokens"], 20);
    assert_eq!(last["usage"]["prompt_tokens"], document["usage"]["prompt_tokens"]);
    assert_eq!(streamed.chunks[0]["choices"][0]["delta"]["role"], "assistant");
    let ids: std::collections::BTreeSet<&str> =
        streamed.chunks.iter().map(|chunk| chunk["id"].as_str().unwrap()).collect();
    assert_eq!(ids.len(), 1, "all chunks have the same id");
}

#[test]
fn plain_call_end_to_end_headers_forwarded() {
    let fleet = FleetBuilder::new().start();
    let entry = &fleet.entries[0];
    let models = entry.send_request("GET", "/v1/models", DEALER_KEY, &[], None).json();
    assert_eq!(models["data"][0]["id"], MODEL);
    let traceparent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    let headers = [
        ("traceparent", traceparent),
        ("x-request-id", "call-7"),
        ("x-kept", "yes"),
        ("x-named", "no"),
        ("connection", "close, x-named"),
    ];
    let response =
        entry.send_request("PUT", "/orders/9?a=1&b=%20", DEALER_KEY, &headers, Some(b"body"));
    assert_eq!(response.status, 200, "{}", response.body);
    assert_eq!(response.header("x-request-id"), Some("call-7"));
    assert_eq!(response.header("keep-alive"), None, "hop-by-hop headers are removed");
    assert_eq!(response.header("proxy-authenticate"), None, "hop-by-hop headers are removed");
    let seen = fleet.services[0].stats()["last_request"].clone();
    assert_eq!(seen["method"], "PUT");
    assert_eq!(seen["path"], "/orders/9");
    assert_eq!(seen["query"], "a=1&b=%20");
    assert_eq!(seen["body"], "body");
    assert_eq!(seen["headers"]["x-kept"], "yes");
    assert_eq!(seen["headers"].get("x-named"), None);
    assert_eq!(seen["headers"].get("authorization"), None, "the caller's key is not forwarded");
    let forwarded = seen["headers"]["traceparent"].as_str().unwrap();
    assert!(forwarded.starts_with("00-0af7651916cd43dd8448eb211c80319c-"), "{forwarded}");
    assert_ne!(forwarded, traceparent);
}

#[test]
fn metrics_and_usage_include_completed_calls() {
    let fleet = FleetBuilder::new().with_timing(json!({ "usage_flush_ms": 100 })).start();
    for entry in &fleet.entries {
        assert_eq!(entry.chat(&chat_body(MODEL, "count me", 5, false)).status, 200);
    }
    let metrics = fleet.entries[0].send_operator_request("GET", "/metrics", None).body;
    assert!(metrics.contains("hickorycourse_requests_total{status=\"200\"}"), "{metrics}");
    assert!(metrics.contains("hickorycourse_first_token_seconds_bucket"), "{metrics}");
    hickorycourse_testkit::fleet::poll_until("usage of both entries", || {
        let rows = fleet.entries[0].send_operator_request("GET", "/v1/usage", None).json();
        rows[0]["count"]["answered"] == 2 && rows[0]["count"]["answer_tokens"] == 10
    });
    let other_caller = fleet.entries[0].send_request("GET", "/v1/jobs/job-1", CHAIN_KEY, &[], None);
    assert_eq!(other_caller.problem_code(), 4006);
}

#[test]
fn spans_exported_for_each_hop() {
    // A fake service acts as the span collector; it records the last request.
    let collector =
        FleetBuilder::new().with_zones(1).with_per_zone(0, 1, 0).start_without_settings();
    let address = collector.services[0].address;
    let process = json!({ "trace_address": address });
    let fleet = FleetBuilder::new().with_zones(1).with_entry_settings(process).start();
    let traceparent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    let body = chat_body(MODEL, "trace me", 3, false).to_string();
    let headers = [("traceparent", traceparent)];
    let mut seen = String::new();
    hickorycourse_testkit::fleet::poll_until("the exported spans", || {
        let path = "/v1/chat/completions";
        fleet.entries[0].send_request("POST", path, DEALER_KEY, &headers, Some(body.as_bytes()));
        let last = collector.services[0].stats()["last_request"].clone();
        seen.push_str(last["body"].as_str().unwrap_or(""));
        ["caller", "queue", "attempt"]
            .iter()
            .all(|name| seen.contains(&format!("\"name\":\"{name}\"")))
    });
    assert!(seen.contains("\"traceId\":\"0af7651916cd43dd8448eb211c80319c\""), "{seen}");
    assert!(seen.contains("\"parentSpanId\":\"b7ad6b7169203331\""), "{seen}");
}

#[test]
fn usage_killed_entry_counted_once() {
    let timing = json!({ "usage_flush_ms": 300, "heartbeat_ms": 100, "peer_timeout_ms": 500 });
    let mut fleet = FleetBuilder::new().with_timing(timing).start();
    let sum = |fleet: &Fleet| {
        let rows = fleet.entries[1].send_operator_request("GET", "/v1/usage", None).json();
        rows[0]["count"]["answered"].as_u64().unwrap_or(0)
    };
    for _ in 0..10 {
        assert_eq!(fleet.entries[0].chat(&chat_body(MODEL, "count", 3, false)).status, 200);
    }
    fleet.platform.set_faults(&json!({ "lose_write_answers": 3 }));
    std::thread::sleep(std::time::Duration::from_millis(900));
    fleet.platform.set_faults(&json!({}));
    fleet.entries[0].process.kill();
    hickorycourse_testkit::fleet::poll_until("the usage of the killed entry", || sum(&fleet) == 10);
    std::thread::sleep(std::time::Duration::from_millis(1_000));
    assert_eq!(
        sum(&fleet),
        10,
        "usage flushed both by its own process and from the copy is counted once"
    );
}
