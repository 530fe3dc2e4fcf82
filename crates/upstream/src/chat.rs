//! The parts of the chat-completions protocol that the entry looks into.

use serde::Deserialize;
use serde_json::Value;

use crate::attempt::{AttemptError, AttemptErrorKind};

/// Tokens counted by the engine.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(default)]
pub struct ChunkUsage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the answer so far.
    pub completion_tokens: u64,
    /// More on the prompt's tokens.
    pub prompt_tokens_details: Option<PromptTokensDetails>,
}

impl ChunkUsage {
    /// Tokens of the prompt that came from the cache.
    pub fn cached_tokens(&self) -> u64 {
        self.prompt_tokens_details.map_or(0, |details| details.cached_tokens)
    }

    /// Tokens of the prompt that were computed.
    pub fn computed_prompt_tokens(&self) -> u64 {
        self.prompt_tokens.saturating_sub(self.cached_tokens())
    }
}

/// More on the prompt's tokens.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(default)]
pub struct PromptTokensDetails {
    /// Tokens that came from the cache.
    pub cached_tokens: u64,
}

/// One chunk of an answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Chunk {
    /// The chunk as it came.
    pub value: Value,
}

impl Chunk {
    /// Reads a chunk and checks that it has the shape and the attempt's id.
    ///
    /// # Errors
    /// `Nonsense` or `Crossed`.
    pub fn parse(data: &str, attempt_id: &str) -> Result<Self, AttemptError> {
        let nonsense = |detail: &str| AttemptError::new(AttemptErrorKind::Nonsense, detail);
        let value: Value =
            serde_json::from_str(data).map_err(|_| nonsense("a chunk is not valid JSON"))?;
        if let Some(error) = value.get("error") {
            let detail = format!("the engine sent an error: {error}");
            return Err(AttemptError::new(AttemptErrorKind::Broken, detail));
        }
        let id = value.get("id").and_then(Value::as_str).unwrap_or("");
        if !id.ends_with(attempt_id) {
            let detail = format!("a chunk of `{id}` came for `{attempt_id}`");
            return Err(AttemptError::new(AttemptErrorKind::Crossed, detail));
        }
        if !value.get("choices").is_some_and(Value::is_array) {
            return Err(nonsense("a chunk has no list of choices"));
        }
        Ok(Self { value })
    }

    /// The text that the chunk adds to the first choice.
    pub fn text(&self) -> Option<&str> {
        self.first_choice()?.get("delta")?.get("content")?.as_str().filter(|text| !text.is_empty())
    }

    /// The reason why the answer has ended.
    pub fn finish_reason(&self) -> Option<&str> {
        self.first_choice()?.get("finish_reason")?.as_str()
    }

    /// Whether the chunk adds anything but text, so that the answer can't go on elsewhere.
    pub fn has_other_content(&self) -> bool {
        let choices = self.value["choices"].as_array().map_or(0, Vec::len);
        let delta = self.first_choice().and_then(|choice| choice.get("delta"));
        choices > 1
            || delta.is_some_and(|delta| {
                ["tool_calls", "function_call", "refusal"]
                    .iter()
                    .any(|name| delta.get(*name).is_some_and(|value| !value.is_null()))
            })
    }

    /// The counts that the chunk carries.
    pub fn usage(&self) -> Option<ChunkUsage> {
        serde_json::from_value(self.value.get("usage")?.clone()).ok()
    }

    /// Whether it only carries counts.
    pub fn is_usage_only(&self) -> bool {
        self.value["choices"].as_array().is_some_and(Vec::is_empty)
    }

    fn first_choice(&self) -> Option<&Value> {
        self.value.get("choices")?.get(0)
    }
}

/// What a stream brings.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineEvent {
    /// A chunk.
    Chunk(Chunk),
    /// The end marker: the answer is whole.
    End,
}
