//! Reading chunks: the quick way and the long way agree.

#![allow(clippy::unwrap_used)]

use hickorycourse_upstream::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use serde_json::{Value, json};

fn plain(text: &str, reason: Option<&str>, tokens: Option<u64>) -> Value {
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
fn parse_quick_equals_whole() {
    let config = Config { cases: 2_000, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[17; 32]);
    let strategy = (".{0,20}", proptest::option::of("stop|length"), proptest::option::of(0..99u64));
    TestRunner::new_with_rng(config, rng)
        .run(&strategy, |(text, reason, tokens)| {
            let chunk = plain(&text, reason.as_deref(), tokens);
            let quick = Chunk::parse(&chunk.to_string(), "a1").unwrap();
            prop_assert!(quick.other.is_none());
            let mut longer = chunk;
            longer["system_fingerprint"] = json!("x");
            let mut whole = Chunk::parse(&longer.to_string(), "a1").unwrap();
            prop_assert_eq!(whole.other.take(), Some(longer));
            prop_assert_eq!(whole, quick);
            Ok(())
        })
        .unwrap();
}

#[test]
fn parse_faults_and_other_content() {
    let kind = |text: &str| Chunk::parse(text, "a1").unwrap_err().kind;
    assert_eq!(kind("{"), AttemptErrorKind::Nonsense);
    assert_eq!(kind("{\"id\": \"a1\"}"), AttemptErrorKind::Nonsense);
    assert_eq!(kind("{\"error\": {\"message\": \"no\"}}"), AttemptErrorKind::Broken);
    let crossed = plain("x", None, None).to_string().replace("a1", "b2");
    assert_eq!(kind(&crossed), AttemptErrorKind::Crossed);
    let mut tools = plain("", None, None);
    tools["choices"][0]["delta"] = json!({ "tool_calls": [{ "index": 0 }] });
    assert!(Chunk::parse(&tools.to_string(), "a1").unwrap().has_other_content);
    let mut second = plain("x", None, None);
    second["choices"][0]["index"] = json!(1);
    assert!(Chunk::parse(&second.to_string(), "a1").unwrap().other.is_some());
    let usage = json!({ "id": "a1", "choices": [], "usage": { "prompt_tokens": 2 } });
    let chunk = Chunk::parse(&usage.to_string(), "a1").unwrap();
    assert!(chunk.is_usage_only && chunk.usage.unwrap().prompt_tokens == 2);
}
