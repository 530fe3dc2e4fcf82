//! The whole path with real processes: what ordinary clients see.

use hickorycourse_testkit::fleet::{CHAIN_KEY, DEALER_KEY, MODEL};
use hickorycourse_testkit::prelude::*;

#[test]
fn chat_streamed_equals_whole() {
    let fleet = FleetBuilder::new().start();
    let whole = fleet.entries[0].chat(&chat_body(MODEL, "spec sheet", 20, false));
    assert_eq!(whole.status, 200, "{}", whole.body);
    let document = whole.json();
    assert_eq!(document["object"], "chat.completion");
    assert_eq!(document["usage"]["completion_tokens"], 20);
    assert_eq!(document["choices"][0]["finish_reason"], "length");
    let mut body = chat_body(MODEL, "spec sheet", 20, true);
    body["stream_options"] = json!({ "include_usage": true });
    let streamed = fleet.entries[1].stream(&body, |_| {});
    assert!(streamed.is_whole);
    assert_eq!(document["choices"][0]["message"]["content"], streamed.text.as_str());
    let last = streamed.chunks.last().unwrap();
    assert_eq!(last["choices"], json!([]));
    assert_eq!(last["usage"]["completion_tokens"], 20);
    assert_eq!(last["usage"]["prompt_tokens"], document["usage"]["prompt_tokens"]);
    assert_eq!(streamed.chunks[0]["choices"][0]["delta"]["role"], "assistant");
    let ids: std::collections::BTreeSet<&str> =
        streamed.chunks.iter().map(|chunk| chunk["id"].as_str().unwrap()).collect();
    assert_eq!(ids.len(), 1, "one id for the whole answer");
}

#[test]
fn services_and_models_as_published() {
    let fleet = FleetBuilder::new().start();
    let entry = &fleet.entries[0];
    let models = entry.ask("GET", "/v1/models", DEALER_KEY, &[], None).json();
    assert_eq!(models["data"][0]["id"], MODEL);
    let traceparent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    let headers = [
        ("traceparent", traceparent),
        ("x-request-id", "call-7"),
        ("x-kept", "yes"),
        ("x-named", "no"),
        ("connection", "close, x-named"),
    ];
    let answer = entry.ask("PUT", "/orders/9?a=1&b=%20", DEALER_KEY, &headers, Some(b"body"));
    assert_eq!(answer.status, 200, "{}", answer.body);
    assert_eq!(answer.header("x-request-id"), Some("call-7"));
    assert_eq!(answer.header("keep-alive"), None, "headers of the hop are removed");
    assert_eq!(answer.header("proxy-authenticate"), None, "headers of the hop are removed");
    let seen = fleet.services[0].stats()["last_request"].clone();
    assert_eq!(seen["method"], "PUT");
    assert_eq!(seen["path"], "/orders/9");
    assert_eq!(seen["query"], "a=1&b=%20");
    assert_eq!(seen["body"], "body");
    assert_eq!(seen["headers"]["x-kept"], "yes");
    assert_eq!(seen["headers"].get("x-named"), None);
    assert_eq!(seen["headers"].get("authorization"), None, "the caller's key ends at the entry");
    let passed = seen["headers"]["traceparent"].as_str().unwrap();
    assert!(passed.starts_with("00-0af7651916cd43dd8448eb211c80319c-"), "{passed}");
    assert_ne!(passed, traceparent);
}

#[test]
fn metrics_and_usage_after_calls() {
    let fleet = FleetBuilder::new().with_timing(json!({ "usage_flush_ms": 100 })).start();
    for entry in &fleet.entries {
        assert_eq!(entry.chat(&chat_body(MODEL, "count me", 5, false)).status, 200);
    }
    let metrics = fleet.entries[0].operate("GET", "/metrics", None).body;
    assert!(metrics.contains("hickorycourse_requests_total{status=\"200\"}"), "{metrics}");
    assert!(metrics.contains("hickorycourse_first_token_seconds_bucket"), "{metrics}");
    hickorycourse_testkit::fleet::wait_for("usage of both entries", || {
        let rows = fleet.entries[0].operate("GET", "/v1/usage", None).json();
        rows[0]["count"]["answered"] == 2 && rows[0]["count"]["answer_tokens"] == 10
    });
    let stranger = fleet.entries[0].ask("GET", "/v1/jobs/job-1", CHAIN_KEY, &[], None);
    assert_eq!(stranger.code(), 4006);
}
