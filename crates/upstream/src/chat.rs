//! The parts of the chat-completions protocol that are interpreted between callers and engines.

use std::borrow::Cow;

use serde::Deserialize;
use serde_json::Value;

use crate::attempt::{AttemptError, AttemptErrorKind};

/// Token usage as reported by the engine.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(default)]
pub struct ChunkUsage {
    /// Number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// Number of tokens generated so far.
    pub completion_tokens: u64,
    /// Breakdown of the prompt tokens; no cached tokens if absent.
    pub prompt_tokens_details: Option<PromptTokensDetails>,
}

impl ChunkUsage {
    /// Number of prompt tokens that were read from the engine's prefix cache.
    pub fn cached_tokens(&self) -> u64 {
        self.prompt_tokens_details.map_or(0, |details| details.cached_tokens)
    }

    /// Number of prompt tokens that were computed, that is not read from the cache.
    pub fn computed_prompt_tokens(&self) -> u64 {
        self.prompt_tokens.saturating_sub(self.cached_tokens())
    }
}

/// Breakdown of the prompt tokens.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(default)]
pub struct PromptTokensDetails {
    /// Number of tokens that were read from the engine's prefix cache.
    pub cached_tokens: u64,
}

/// A chunk of a streamed response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Chunk {
    /// Text appended to the first choice; `None` if there is none.
    pub text: Option<String>,
    /// Why the generation has ended; `None` before the last chunk with content.
    pub finish_reason: Option<String>,
    /// Token usage, if the chunk reports it.
    pub usage: Option<ChunkUsage>,
    /// Whether the chunk has no choices and so reports only usage.
    pub is_usage_only: bool,
    /// The complete chunk as received, if it contains fields beyond the usual ones of a single
    /// choice with text; such a chunk is forwarded from this value instead of being rebuilt from
    /// the text.
    pub raw_json: Option<Value>,
    /// Whether the chunk has several choices or content other than text; a response with such a
    /// chunk can't be resumed at another engine.
    pub has_non_text_content: bool,
}

/// The usual form of a chunk, which borrows from the input. Chunks with other fields are parsed as
/// a generic JSON value, which is slower.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TextChunk<'a> {
    #[serde(borrow)]
    id: Cow<'a, str>,
    #[serde(borrow, rename = "object")]
    _object: Option<Cow<'a, str>>,
    #[serde(rename = "created")]
    _created: Option<u64>,
    #[serde(borrow, rename = "model")]
    _model: Option<Cow<'a, str>>,
    #[serde(borrow)]
    choices: Vec<TextChoice<'a>>,
    #[serde(default)]
    usage: Option<ChunkUsage>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TextChoice<'a> {
    index: u64,
    #[serde(borrow)]
    delta: TextDelta<'a>,
    #[serde(borrow, default)]
    finish_reason: Option<Cow<'a, str>>,
    #[serde(default, rename = "logprobs")]
    _logprobs: Option<NullOnly>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TextDelta<'a> {
    #[serde(borrow, default, rename = "role")]
    _role: Option<Cow<'a, str>>,
    #[serde(borrow, default)]
    content: Option<Cow<'a, str>>,
}

/// Type of an optional field for which only null is accepted.
#[derive(Deserialize)]
enum NullOnly {}

impl Chunk {
    /// Parses a chunk and checks that its id ends with the id of the attempt.
    ///
    /// # Errors
    /// [`AttemptErrorKind::InvalidResponse`] if the chunk is malformed,
    /// [`AttemptErrorKind::IdMismatch`] if it belongs to another attempt,
    /// [`AttemptErrorKind::Interrupted`] if the engine reports an error instead of a chunk.
    pub fn parse(data: &str, attempt_id: &str) -> Result<Self, AttemptError> {
        match serde_json::from_str::<TextChunk<'_>>(data) {
            Ok(chunk) if chunk.choices.len() <= 1 => {
                check_id(&chunk.id, attempt_id)?;
                match chunk.choices.first() {
                    Some(choice) if choice.index != 0 => Self::parse_generic(data, attempt_id),
                    _ => Ok(Self::from_text_chunk(chunk)),
                }
            }
            _ => Self::parse_generic(data, attempt_id),
        }
    }

    fn from_text_chunk(chunk: TextChunk<'_>) -> Self {
        let is_usage_only = chunk.choices.is_empty();
        let choice = chunk.choices.into_iter().next();
        let (delta, finish_reason) = match choice {
            Some(choice) => (Some(choice.delta), choice.finish_reason),
            None => (None, None),
        };
        let text = delta.and_then(|delta| delta.content).filter(|text| !text.is_empty());
        Self {
            text: text.map(Cow::into_owned),
            finish_reason: finish_reason.map(Cow::into_owned),
            usage: chunk.usage,
            is_usage_only,
            raw_json: None,
            has_non_text_content: false,
        }
    }

    fn parse_generic(data: &str, attempt_id: &str) -> Result<Self, AttemptError> {
        let invalid_response =
            |detail: &str| AttemptError::new(AttemptErrorKind::InvalidResponse, detail);
        let value: Value = serde_json::from_str(data)
            .map_err(|_| invalid_response("a chunk is not valid JSON"))?;
        if let Some(error) = value.get("error") {
            let detail = format!("the engine sent an error: {error}");
            return Err(AttemptError::new(AttemptErrorKind::Interrupted, detail));
        }
        check_id(value.get("id").and_then(Value::as_str).unwrap_or(""), attempt_id)?;
        let Some(choices) = value.get("choices").and_then(Value::as_array) else {
            return Err(invalid_response("a chunk has no list of choices"));
        };
        let delta = choices.first().and_then(|choice| choice.get("delta"));
        let has_non_text_content = choices.len() > 1
            || delta.is_some_and(|delta| {
                NON_TEXT_DELTA_FIELDS
                    .iter()
                    .any(|name| delta.get(*name).is_some_and(|value| !value.is_null()))
            });
        let text = delta.and_then(|delta| delta.get("content")).and_then(Value::as_str);
        let reason = choices.first().and_then(|choice| choice.get("finish_reason"));
        let usage = value.get("usage").cloned();
        Ok(Self {
            text: text.filter(|text| !text.is_empty()).map(str::to_owned),
            finish_reason: reason.and_then(Value::as_str).map(str::to_owned),
            usage: usage.and_then(|usage| serde_json::from_value(usage).ok()),
            is_usage_only: choices.is_empty(),
            has_non_text_content,
            raw_json: Some(value),
        })
    }
}

/// Fields of `delta` whose content can't be resumed by sending the text so far to another engine.
const NON_TEXT_DELTA_FIELDS: &[&str] = &["tool_calls", "function_call", "refusal"];

fn check_id(id: &str, attempt_id: &str) -> Result<(), AttemptError> {
    if id.ends_with(attempt_id) {
        return Ok(());
    }
    let detail = format!("a chunk of `{id}` came for `{attempt_id}`");
    Err(AttemptError::new(AttemptErrorKind::IdMismatch, detail))
}

/// An event of a streamed response.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineEvent {
    /// The next chunk.
    Chunk(Chunk),
    /// The end marker; the response is complete.
    End,
}
