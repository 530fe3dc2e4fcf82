//! A call as an engine reads it, and the answer that it will get.

use ntex::web::HttpRequest;
use serde_json::Value;
use xxhash_rust::xxh3::xxh3_64;

use crate::http;

/// Estimated bytes of one token.
pub const BYTES_PER_TOKEN: usize = 4;
const DEFAULT_ANSWER_TOKENS: u64 = 4_096;
/// Answers that end by themselves have at least so many tokens, and fewer than so many more.
const NATURAL_TOKENS_LEAST: u64 = 16;
const NATURAL_TOKENS_SPREAD: u64 = 32;

/// A call as the engine reads it.
pub struct Call {
    /// The id that each chunk carries.
    pub id: String,
    /// The model, as the request named it.
    pub model: Value,
    /// The text of all messages but a partial answer that is to be continued.
    pub prompt: String,
    /// Words of the partial answer.
    pub resumed_tokens: u64,
    /// Tokens that this call may add.
    pub answer_tokens: u64,
    /// Whether the answer goes on to its limit.
    pub ignores_end: bool,
    /// Whether the answer comes in chunks.
    pub is_streaming: bool,
    /// Whether counts come at the end.
    pub wants_usage: bool,
    /// Whether counts come with each chunk.
    pub wants_continuous_usage: bool,
    /// Place in the engine's queue; the lowest goes first.
    pub priority: i64,
}

impl Call {
    /// Reads a request; `None` if it has no messages.
    pub fn read(request: &HttpRequest, body: &Value) -> Option<Self> {
        let mut messages = body.get("messages")?.as_array()?.as_slice();
        let continues = body["continue_final_message"].as_bool().unwrap_or(false);
        let mut resumed_tokens = 0;
        if continues && let Some((last, first)) = messages.split_last() {
            resumed_tokens = last["content"].as_str()?.split_whitespace().count() as u64;
            messages = first;
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
            answer_tokens: limit.unwrap_or(DEFAULT_ANSWER_TOKENS),
            ignores_end: body["ignore_eos"].as_bool().unwrap_or(false),
            is_streaming: body["stream"].as_bool().unwrap_or(false),
            wants_usage: body["stream_options"]["include_usage"].as_bool().unwrap_or(false),
            wants_continuous_usage: body["stream_options"]["continuous_usage_stats"]
                .as_bool()
                .unwrap_or(false),
            priority: body["priority"].as_i64().unwrap_or(0),
        })
    }

    /// Tokens of the prompt, a partial answer included.
    pub fn prompt_tokens(&self) -> u64 {
        (self.prompt.len() / BYTES_PER_TOKEN) as u64 + self.resumed_tokens
    }

    /// The token at a place of the answer; the same at every engine.
    pub fn token(&self, place: u64) -> String {
        let seed = xxh3_64(self.prompt.as_bytes());
        format!(" w{}", xxh3_64(&[seed.to_le_bytes(), place.to_le_bytes()].concat()) % 10_000)
    }

    /// Length of the whole answer, a resumed part included.
    pub fn total_tokens(&self) -> u64 {
        let limit = self.resumed_tokens + self.answer_tokens;
        if self.ignores_end {
            return limit;
        }
        let natural =
            NATURAL_TOKENS_LEAST + xxh3_64(self.prompt.as_bytes()) % NATURAL_TOKENS_SPREAD;
        natural.min(limit)
    }

    /// Why the answer ends.
    pub fn finish_reason(&self) -> &'static str {
        match self.total_tokens() == self.resumed_tokens + self.answer_tokens {
            true => "length",
            false => "stop",
        }
    }
}
