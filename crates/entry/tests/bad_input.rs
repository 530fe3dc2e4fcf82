//! Invalid requests and invalid upstream responses get a numbered error; other calls are not
//! affected.

#![allow(clippy::unwrap_used)]

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use hickorycourse_testkit::fleet::{DEALER_KEY, MODEL, OPERATOR_KEY, poll_until};
use hickorycourse_testkit::prelude::*;

fn post(entry: &Entry, path: &str, headers: &[(&str, &str)], body: &str) -> HttpResponse {
    entry.send_request("POST", path, DEALER_KEY, headers, Some(body.as_bytes()))
}

#[test]
fn request_invalid_returns_error_code() {
    let limits = json!({ "body_bytes": 4096, "header_bytes": 2048 });
    let fleet = FleetBuilder::new().with_limits(limits).start();
    let entry = &fleet.entries[0];
    let chat = "/v1/chat/completions";
    let large = "x".repeat(5_000);
    let wide = "y".repeat(3_000);
    let message = json!([{ "role": "user", "content": "hi" }]);
    let with = |field: &str, value: Value| {
        let mut body = json!({ "model": MODEL, "messages": message });
        body[field] = value;
        body.to_string()
    };
    let cases: Vec<(&str, HttpResponse, u16, u64)> = vec![
        ("no JSON", post(entry, chat, &[], "{"), 400, 1001),
        ("a list", post(entry, chat, &[], "[]"), 400, 1002),
        ("no model", post(entry, chat, &[], &with("model", Value::Null)), 400, 1002),
        ("no messages", post(entry, chat, &[], &with("messages", json!([]))), 400, 1002),
        ("a wrong role", post(entry, chat, &[], &with("messages", json!([1]))), 400, 1002),
        ("a wrong flag", post(entry, chat, &[], &with("stream", json!("yes"))), 400, 1002),
        ("a wrong limit", post(entry, chat, &[], &with("max_tokens", json!(-1))), 400, 1002),
        ("an unknown model", post(entry, chat, &[], &with("model", json!("none"))), 404, 1005),
        ("a large body", post(entry, chat, &[], &large), 413, 1003),
        ("large headers", post(entry, chat, &[("x-wide", &wide)], "{}"), 431, 1004),
        ("an unknown path", post(entry, "/nowhere", &[], ""), 404, 1006),
        ("a part of a path", post(entry, "/ordersandmore", &[], ""), 404, 1006),
        (
            "an unknown rank",
            post(entry, chat, &[("x-rank", "no")], &with("n", json!(1))),
            400,
            1010,
        ),
        ("a wrong method", entry.send_request("GET", chat, DEALER_KEY, &[], None), 405, 1008),
        ("an unknown key", entry.send_request("POST", chat, "wrong", &[], Some(b"{}")), 401, 1007),
        (
            "a long key",
            post(entry, "/orders", &[("idempotency-key", &"k".repeat(300))], ""),
            400,
            1011,
        ),
        (
            "an unknown job",
            entry.send_request("GET", "/v1/jobs/none", DEALER_KEY, &[], None),
            404,
            4006,
        ),
    ];
    for (case, response, status, code) in cases {
        assert_eq!(
            (response.status, response.problem_code()),
            (status, code),
            "{case}: {}",
            response.body
        );
        assert_eq!(response.execution(), "not_run", "{case}");
        assert_eq!(response.header("content-type"), Some("application/problem+json"), "{case}");
        assert!(
            response.json()["error"]["message"].is_string(),
            "{case}: OpenAI clients read this field"
        );
    }
    assert_eq!(fleet.services[0].stats()["calls"], 0);
    assert_eq!(entry.chat(&chat_body(MODEL, "still fine", 3, false)).status, 200);
}

#[test]
fn authentication_operator_and_peer_keys_required() {
    let fleet = FleetBuilder::new().start();
    let entry = &fleet.entries[0];
    let url = format!("http://{}/v1/status", entry.operator_address);
    let without_key = send_request("GET", &url, &[], None);
    assert_eq!((without_key.status, without_key.problem_code()), (401, 5003));
    let authorization = format!("Bearer {OPERATOR_KEY}x");
    let wrong_key = send_request("GET", &url, &[("authorization", &authorization)], None);
    assert_eq!(wrong_key.status, 401);
    // Keys are valid on one port only: an operator's key is rejected on the callers' port.
    let on_caller_port = entry.send_request("GET", "/v1/models", OPERATOR_KEY, &[], None);
    assert_eq!(on_caller_port.problem_code(), 1007);
    let mut unauthenticated = TcpStream::connect(entry.peer_address).unwrap();
    unauthenticated.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    unauthenticated.write_all(b"GET /peer HTTP/1.1\r\n\r\n").unwrap();
    let mut response = Vec::new();
    // The connection is closed without a peer link: the handshake requires the fleet's secret.
    let _ = unauthenticated.read_to_end(&mut response);
    assert_eq!(entry.status()["linked"].as_array().unwrap().len(), 1);
}

#[test]
fn request_without_single_host_rejected() {
    let fleet = FleetBuilder::new().with_per_zone(1, 1, 1).start();
    for hosts in ["", "host: a\r\nhost: b\r\n"] {
        let mut stream = TcpStream::connect(fleet.entries[0].caller_address).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
        let request_head = format!(
            "GET /v1/models HTTP/1.1\r\n{hosts}authorization: Bearer {DEALER_KEY}\r\n\
             connection: close\r\n\r\n"
        );
        stream.write_all(request_head.as_bytes()).unwrap();
        let mut response = String::new();
        stream.read_to_string(&mut response).unwrap();
        assert!(response.starts_with("HTTP/1.1 400"), "{hosts:?}: {response}");
        assert!(response.contains("1013"), "{hosts:?}: {response}");
    }
}

#[test]
fn request_slow_body_times_out() {
    let limits = json!({ "body_timeout_ms": 300 });
    let fleet = FleetBuilder::new().with_limits(limits).start();
    let mut stream = TcpStream::connect(fleet.entries[0].caller_address).unwrap();
    let request_head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {DEALER_KEY}\r\n\
         content-length: 1000\r\n\r\n{{\"model\""
    );
    stream.write_all(request_head.as_bytes()).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    let mut response = vec![0; 4096];
    let count = stream.read(&mut response).unwrap();
    let text = String::from_utf8_lossy(&response[..count]);
    assert!(text.starts_with("HTTP/1.1 408"), "{text}");
    assert!(text.contains("1009") || text.contains("problem+json"), "{text}");
    assert_eq!(fleet.entries[0].chat(&chat_body(MODEL, "still fine", 3, false)).status, 200);
}

#[test]
fn stream_caller_disconnect_cancels_attempt() {
    let fleet = FleetBuilder::new().with_per_zone(1, 1, 1).start();
    let body = chat_body(MODEL, "long answer", 2_000, true).to_string();
    let mut stream = TcpStream::connect(fleet.entries[0].caller_address).unwrap();
    let request_head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {DEALER_KEY}\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request_head.as_bytes()).unwrap();
    let mut start = [0; 512];
    stream.read_exact(&mut start).unwrap();
    drop(stream);
    poll_until("the engine to report the attempt as cancelled", || {
        let cancelled = |engine: &hickorycourse_testkit::fleet::FakeServer| {
            engine.stats()["stats"]["cancelled"].as_u64().unwrap_or(0)
        };
        fleet.engines.iter().map(cancelled).sum::<u64>() == 1
    });
    poll_until("the request to end", || fleet.entries[0].status()["in_flight"] == 0);
}

#[test]
fn chat_invalid_upstream_response_returns_error_code() {
    let policy = json!({ "attempt_limit": 1 });
    let fleet = FleetBuilder::new().with_zones(1).with_policy(policy).start();
    let engine = &fleet.engines[0];
    let body = chat_body(MODEL, "ask", 8, false);
    for (faults, status, code) in [
        (json!({ "nonsense_after_tokens": 0 }), 502, 3004),
        (json!({ "cross_after_tokens": 0 }), 502, 3004),
        (json!({ "truncate_after_tokens": 0 }), 502, 3002),
        (json!({ "break_after_tokens": 2 }), 502, 3002),
        (json!({ "status": 500 }), 502, 3002),
    ] {
        engine.set_faults(&faults);
        let response = fleet.entries[0].chat(&body);
        assert_eq!(
            (response.status, response.problem_code()),
            (status, code),
            "{faults}: {}",
            response.body
        );
        engine.set_faults(&json!({}));
        assert_eq!(fleet.entries[0].chat(&body).status, 200, "after {faults}");
    }
}
