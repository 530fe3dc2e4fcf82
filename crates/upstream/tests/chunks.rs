//! Tests for chunk parsing. The fast parser of text chunks and the generic parser must agree.

#![allow(clippy::unwrap_used)]

use hickorycourse_upstream::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use serde_json::{Value, json};

fn text_chunk(text: &str, reason: Option<&str>, tokens: Option<u64>) -> Value {
    let mut chunk = json!({
        "id": "chatcmpl-a1",
        "object": "chat.completion.chunk",
        "created": 1,
        "model": "m",
        "choices": [{ "index": 0, "delta": { "content": text }, "finish_reason": reason }],
    });
    if let Some(tokens) = tokens {
        chunk["usage"] =
            json!({ "prompt_tokens": 3, "completion_tokens": tokens, "total_tokens": 9 });
    }
    chunk
}

#[test]
fn parse_fast_path_matches_generic() {
    let config = Config { cases: 2_000, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[17; 32]);
    let strategy = (".{0,20}", proptest::option::of("stop|length"), proptest::option::of(0..99u64));
    TestRunner::new_with_rng(config, rng)
        .run(&strategy, |(text, reason, tokens)| {
            let chunk = text_chunk(&text, reason.as_deref(), tokens);
            let fast = Chunk::parse(&chunk.to_string(), "a1").unwrap();
            prop_assert!(fast.raw_json.is_none());
            let mut extended = chunk;
            extended["system_fingerprint"] = json!("x");
            let mut generic = Chunk::parse(&extended.to_string(), "a1").unwrap();
            prop_assert_eq!(generic.raw_json.take(), Some(extended));
            prop_assert_eq!(generic, fast);
            Ok(())
        })
        .unwrap();
}

#[test]
fn parse_classifies_errors_and_non_text_content() {
    let kind = |text: &str| Chunk::parse(text, "a1").unwrap_err().kind;
    assert_eq!(kind("{"), AttemptErrorKind::InvalidResponse);
    assert_eq!(kind("{\"id\": \"a1\"}"), AttemptErrorKind::InvalidResponse);
    assert_eq!(kind("{\"error\": {\"message\": \"no\"}}"), AttemptErrorKind::Interrupted);
    let crossed = text_chunk("x", None, None).to_string().replace("a1", "b2");
    assert_eq!(kind(&crossed), AttemptErrorKind::IdMismatch);
    let mut tools = text_chunk("", None, None);
    tools["choices"][0]["delta"] = json!({ "tool_calls": [{ "index": 0 }] });
    assert!(Chunk::parse(&tools.to_string(), "a1").unwrap().has_non_text_content);
    let mut second = text_chunk("x", None, None);
    second["choices"][0]["index"] = json!(1);
    assert!(Chunk::parse(&second.to_string(), "a1").unwrap().raw_json.is_some());
    let usage = json!({ "id": "a1", "choices": [], "usage": { "prompt_tokens": 2 } });
    let chunk = Chunk::parse(&usage.to_string(), "a1").unwrap();
    assert!(chunk.is_usage_only && chunk.usage.unwrap().prompt_tokens == 2);
}
