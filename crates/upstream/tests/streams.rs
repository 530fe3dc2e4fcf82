//! Tests for engines' streams: which endings are complete, and what happens to the connection.

#![allow(clippy::unwrap_used)]

mod support;

use std::io::Write;
use std::time::Duration;

use hickorycourse_upstream::EngineEvent;
use hickorycourse_upstream::prelude::*;
use serde_json::json;
use support::{AfterResponse, RawUpstream, engine_call};

const HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";

fn event(token: &str) -> String {
    let chunk = json!({
        "id": "chatcmpl-a1", "object": "chat.completion.chunk", "created": 1, "model": "m",
        "choices": [{ "index": 0, "delta": { "content": token }, "finish_reason": null }],
    });
    format!("data: {chunk}\n\n")
}

fn chunked(parts: &[String], last: &str) -> String {
    let chunks: Vec<String> =
        parts.iter().map(|part| format!("{:x}\r\n{part}\r\n", part.len())).collect();
    format!("{HEAD}Transfer-Encoding: chunked\r\n\r\n{}{last}", chunks.concat())
}

/// Reads a stream; returns its text and how it ended.
async fn read_stream(
    upstreams: &HttpUpstreams,
    upstream: &RawUpstream,
) -> (String, Result<(), AttemptErrorKind>) {
    let body = json!({ "model": "m", "stream": true });
    let mut text = String::new();
    let mut stream = match upstreams.stream(engine_call(upstream.address, &body)).await {
        Ok(stream) => stream,
        Err(error) => return (text, Err(error.kind)),
    };
    loop {
        match stream.next().await {
            Ok(EngineEvent::Chunk(chunk)) => text.push_str(&chunk.text.unwrap_or_default()),
            Ok(EngineEvent::End) => return (text, Ok(())),
            Err(error) => return (text, Err(error.kind)),
        }
    }
}

#[ntex::test]
async fn stream_whole_reuses_connection() {
    let done = "data: [DONE]\n\n".to_owned();
    let response = chunked(&[event("a"), event("b"), done], "0\r\n\r\n");
    let upstream = RawUpstream::start_with(response, AfterResponse::KeepOpen);
    let upstreams = HttpUpstreams::new();
    for _ in 0..3 {
        assert_eq!(read_stream(&upstreams, &upstream).await, ("ab".to_owned(), Ok(())));
    }
    assert_eq!(upstream.connections(), [0, 0, 0]);
}

#[ntex::test]
async fn stream_unframed_closed_is_complete() {
    let response = format!("{HEAD}\r\n{}{}data: [DONE]\n\n", event("a"), event("b"));
    let upstream = RawUpstream::start_with(response, AfterResponse::Close);
    let upstreams = HttpUpstreams::new();
    for _ in 0..2 {
        assert_eq!(read_stream(&upstreams, &upstream).await, ("ab".to_owned(), Ok(())));
    }
}

#[ntex::test]
async fn stream_without_end_is_interrupted() {
    let (a, b) = (event("a"), event("b"));
    let partial = b.trim_end().to_owned();
    let endings = [
        (format!("{HEAD}\r\n{a}"), AfterResponse::Close),
        (format!("{HEAD}\r\n{a}{partial}"), AfterResponse::Close),
        (format!("{HEAD}\r\n{a}{partial}"), AfterResponse::Reset),
        (format!("{HEAD}\r\n{a}data: [DONE]"), AfterResponse::Close),
        (chunked(&[a.clone(), partial.clone()], "0\r\n\r\n"), AfterResponse::KeepOpen),
        (chunked(&[a.clone(), partial], ""), AfterResponse::Close),
        (chunked(&[a], "0\r\n\r\n"), AfterResponse::KeepOpen),
    ];
    for (response, after) in endings {
        let written = response.clone();
        let upstream = RawUpstream::start(move |stream, _| {
            stream.write_all(written.as_bytes()).unwrap();
            std::thread::sleep(Duration::from_millis(50));
            after
        });
        let (text, end) = read_stream(&HttpUpstreams::new(), &upstream).await;
        assert_eq!((text.as_str(), end), ("a", Err(AttemptErrorKind::Interrupted)), "{response:?}");
        assert!(upstream.is_closed_soon(0).await, "{response:?}");
    }
}

#[ntex::test]
async fn stream_bytes_after_end_close_connection() {
    let done = "data: [DONE]\n\n".to_owned();
    let stray = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray";
    let responses = [
        chunked(&[event("a"), done.clone()], &format!("0\r\n\r\n{stray}")),
        chunked(&[event("a"), done.clone(), event("late")], "0\r\n\r\n"),
        // The body doesn't end.
        chunked(&[event("a"), done], ""),
    ];
    for response in responses {
        let upstream = RawUpstream::start_with(response.clone(), AfterResponse::KeepOpen);
        let upstreams = HttpUpstreams::new();
        for _ in 0..2 {
            let read = read_stream(&upstreams, &upstream).await;
            assert_eq!(read, ("a".to_owned(), Ok(())), "{response:?}");
        }
        assert_eq!(upstream.connections(), [0, 1], "{response:?}");
        assert!(upstream.is_closed_soon(0).await, "{response:?}");
    }
}

#[ntex::test]
async fn stream_stalled_times_out() {
    let response = chunked(&[event("a")], "");
    let upstream = RawUpstream::start_with(response, AfterResponse::KeepOpen);
    let upstreams = HttpUpstreams::new();
    let body = json!({});
    let call = EngineCall { token_timeout_ms: 100, ..engine_call(upstream.address, &body) };
    let mut stream = upstreams.stream(call).await.unwrap();
    assert!(matches!(stream.next().await, Ok(EngineEvent::Chunk(_))));
    assert_eq!(stream.next().await.unwrap_err().kind, AttemptErrorKind::TimedOut);
}

#[ntex::test]
async fn stream_endless_event_is_invalid() {
    let upstream = RawUpstream::start(|stream, _| {
        let head = format!("{HEAD}\r\n{}data: ", event("a"));
        stream.write_all(head.as_bytes()).unwrap();
        let block = "more of the event ".repeat(1_000);
        while stream.write_all(block.as_bytes()).is_ok() {}
        AfterResponse::Close
    });
    let (text, end) = read_stream(&HttpUpstreams::new(), &upstream).await;
    assert_eq!((text.as_str(), end), ("a", Err(AttemptErrorKind::InvalidResponse)));
    assert!(upstream.is_closed_soon(0).await);
}

#[ntex::test]
async fn stream_dropped_closes_connection() {
    let response = chunked(&[event("a")], "");
    let upstream = RawUpstream::start_with(response, AfterResponse::KeepOpen);
    let upstreams = HttpUpstreams::new();
    let body = json!({});
    let mut stream = upstreams.stream(engine_call(upstream.address, &body)).await.unwrap();
    assert!(matches!(stream.next().await, Ok(EngineEvent::Chunk(_))));
    drop(stream);
    assert!(upstream.is_closed_soon(0).await);
}

#[ntex::test]
async fn complete_unframed_body_closed_is_complete() {
    let answer = json!({ "id": "chatcmpl-a1", "choices": [] });
    let response = format!("HTTP/1.1 200 OK\r\n\r\n{answer}");
    let upstream = RawUpstream::start_with(response, AfterResponse::Close);
    let body = json!({ "model": "m" });
    let upstreams = HttpUpstreams::new();
    let completed = upstreams.complete(engine_call(upstream.address, &body)).await;
    assert_eq!(completed, Ok(answer));
    let request = &upstream.requests()[0];
    assert!(request.head.starts_with("POST /v1/chat/completions HTTP/1.1\r\n"));
    assert_eq!(request.header("content-type"), Some("application/json"));
    assert_eq!(request.body, body.to_string().as_bytes());
}
