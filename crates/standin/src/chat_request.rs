//! Parsed chat-completion requests and the deterministic answers to them.

use ntex::web::HttpRequest;
use serde_json::Value;
use xxhash_rust::xxh3::xxh3_64;

use crate::http;

/// Estimated bytes per token.
pub const BYTES_PER_TOKEN: usize = 4;
const DEFAULT_MAX_ANSWER_TOKENS: u64 = 4_096;
/// Minimum length of an answer that ends before its limit. The prompt determines how many tokens are added:
/// fewer than `NATURAL_TOKENS_RANGE`.
const MIN_NATURAL_TOKENS: u64 = 16;
const NATURAL_TOKENS_RANGE: u64 = 32;

/// A parsed chat-completion request.
pub struct ChatRequest {
    /// Completion id, sent in each chunk; contains the request's `x-request-id`.
    pub id: String,
    /// Model name from the request, returned unchanged.
    pub model: Value,
    /// Text of all messages except the partial answer, if the request asks to continue one.
    pub prompt: String,
    /// Length of the partial answer in tokens, one per word; 0 without one.
    pub resumed_tokens: u64,
    /// Maximum number of tokens to generate.
    pub max_answer_tokens: u64,
    /// Whether the answer is generated up to its limit.
    pub ignores_eos: bool,
    /// Whether the answer is streamed.
    pub is_streaming: bool,
    /// Whether the stream ends with a chunk of token counts.
    pub includes_usage: bool,
    /// Whether each chunk has token counts.
    pub includes_continuous_usage: bool,
    /// Scheduling priority; lower numbers run first.
    pub priority: i64,
}

impl ChatRequest {
    /// Parses a request body; `None` if it has no messages.
    pub fn parse(request: &HttpRequest, body: &Value) -> Option<Self> {
        let mut messages = body.get("messages")?.as_array()?.as_slice();
        let is_continuation = body["continue_final_message"].as_bool().unwrap_or(false);
        let mut resumed_tokens = 0;
        if is_continuation && let Some((last, preceding)) = messages.split_last() {
            resumed_tokens = last["content"].as_str()?.split_whitespace().count() as u64;
            messages = preceding;
        }
        let prompt: Vec<String> = messages
            .iter()
            .map(|message| format!("{}: {}", message["role"], message["content"]))
            .collect();
        let limit = body["max_completion_tokens"].as_u64().or(body["max_tokens"].as_u64());
        Some(Self {
            id: format!("chatcmpl-{}", http::header(request, "x-request-id").unwrap_or("none")),
            model: body["model"].clone(),
            prompt: prompt.join("\n"),
            resumed_tokens,
            max_answer_tokens: limit.unwrap_or(DEFAULT_MAX_ANSWER_TOKENS),
            ignores_eos: body["ignore_eos"].as_bool().unwrap_or(false),
            is_streaming: body["stream"].as_bool().unwrap_or(false),
            includes_usage: body["stream_options"]["include_usage"].as_bool().unwrap_or(false),
            includes_continuous_usage: body["stream_options"]["continuous_usage_stats"]
                .as_bool()
                .unwrap_or(false),
            priority: body["priority"].as_i64().unwrap_or(0),
        })
    }

    /// Estimated number of prompt tokens, including a partial answer.
    pub fn prompt_tokens(&self) -> u64 {
        (self.prompt.len() / BYTES_PER_TOKEN) as u64 + self.resumed_tokens
    }

    /// The answer's token at `index`. Depends on the prompt only, so that any engine can continue an answer.
    pub fn token_at(&self, index: u64) -> String {
        let seed = xxh3_64(self.prompt.as_bytes());
        format!(" w{}", xxh3_64(&[seed.to_le_bytes(), index.to_le_bytes()].concat()) % 10_000)
    }

    /// Length of the complete answer in tokens, including a partial answer.
    pub fn total_tokens(&self) -> u64 {
        let limit = self.resumed_tokens + self.max_answer_tokens;
        if self.ignores_eos {
            return limit;
        }
        let natural = MIN_NATURAL_TOKENS + xxh3_64(self.prompt.as_bytes()) % NATURAL_TOKENS_RANGE;
        natural.min(limit)
    }

    /// `length` if the answer ends at its limit, else `stop`.
    pub fn finish_reason(&self) -> &'static str {
        match self.total_tokens() == self.resumed_tokens + self.max_answer_tokens {
            true => "length",
            false => "stop",
        }
    }
}
