//! The parts of the chat-completions protocol that the entry looks into.

use std::borrow::Cow;

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
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Chunk {
    /// The text that it adds to the first choice.
    pub text: Option<String>,
    /// The reason why the answer has ended.
    pub finish_reason: Option<String>,
    /// The counts that it carries.
    pub usage: Option<ChunkUsage>,
    /// Whether it only carries counts.
    pub is_usage_only: bool,
    /// The chunk as it came, if it holds anything but one choice's text: such a chunk is passed on
    /// as it is, and the answer can't go on elsewhere if `has_other_content`.
    pub other: Option<Value>,
    /// Whether it adds anything but text.
    pub has_other_content: bool,
}

/// The shape of nearly all chunks. Anything more is read as a whole document, which takes longer.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PlainChunk<'a> {
    #[serde(borrow)]
    id: Cow<'a, str>,
    #[serde(borrow, rename = "object")]
    _object: Option<Cow<'a, str>>,
    #[serde(rename = "created")]
    _created: Option<u64>,
    #[serde(borrow, rename = "model")]
    _model: Option<Cow<'a, str>>,
    #[serde(borrow)]
    choices: Vec<PlainChoice<'a>>,
    #[serde(default)]
    usage: Option<ChunkUsage>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PlainChoice<'a> {
    index: u64,
    #[serde(borrow)]
    delta: PlainDelta<'a>,
    #[serde(borrow, default)]
    finish_reason: Option<Cow<'a, str>>,
    #[serde(default, rename = "logprobs")]
    _logprobs: Option<NoValue>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PlainDelta<'a> {
    #[serde(borrow, default, rename = "role")]
    _role: Option<Cow<'a, str>>,
    #[serde(borrow, default)]
    content: Option<Cow<'a, str>>,
}

/// A field that must be null.
#[derive(Deserialize)]
enum NoValue {}

impl Chunk {
    /// Reads a chunk and checks that it has the shape and the attempt's id.
    ///
    /// # Errors
    /// `Nonsense` or `Crossed`.
    pub fn parse(data: &str, attempt_id: &str) -> Result<Self, AttemptError> {
        match serde_json::from_str::<PlainChunk<'_>>(data) {
            Ok(plain) if plain.choices.len() <= 1 => {
                check_id(&plain.id, attempt_id)?;
                match plain.choices.first() {
                    Some(choice) if choice.index != 0 => Self::parse_whole(data, attempt_id),
                    _ => Ok(Self::from_plain(plain)),
                }
            }
            _ => Self::parse_whole(data, attempt_id),
        }
    }

    fn from_plain(plain: PlainChunk<'_>) -> Self {
        let is_usage_only = plain.choices.is_empty();
        let choice = plain.choices.into_iter().next();
        let (delta, finish_reason) = match choice {
            Some(choice) => (Some(choice.delta), choice.finish_reason),
            None => (None, None),
        };
        let text = delta.and_then(|delta| delta.content).filter(|text| !text.is_empty());
        Self {
            text: text.map(Cow::into_owned),
            finish_reason: finish_reason.map(Cow::into_owned),
            usage: plain.usage,
            is_usage_only,
            other: None,
            has_other_content: false,
        }
    }

    fn parse_whole(data: &str, attempt_id: &str) -> Result<Self, AttemptError> {
        let nonsense = |detail: &str| AttemptError::new(AttemptErrorKind::Nonsense, detail);
        let value: Value =
            serde_json::from_str(data).map_err(|_| nonsense("a chunk is not valid JSON"))?;
        if let Some(error) = value.get("error") {
            let detail = format!("the engine sent an error: {error}");
            return Err(AttemptError::new(AttemptErrorKind::Broken, detail));
        }
        check_id(value.get("id").and_then(Value::as_str).unwrap_or(""), attempt_id)?;
        let Some(choices) = value.get("choices").and_then(Value::as_array) else {
            return Err(nonsense("a chunk has no list of choices"));
        };
        let delta = choices.first().and_then(|choice| choice.get("delta"));
        let has_other_content = choices.len() > 1
            || delta.is_some_and(|delta| {
                OTHER_CONTENT
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
            has_other_content,
            other: Some(value),
        })
    }
}

/// Content that can't be continued by giving an engine the text so far.
const OTHER_CONTENT: &[&str] = &["tool_calls", "function_call", "refusal"];

fn check_id(id: &str, attempt_id: &str) -> Result<(), AttemptError> {
    if id.ends_with(attempt_id) {
        return Ok(());
    }
    let detail = format!("a chunk of `{id}` came for `{attempt_id}`");
    Err(AttemptError::new(AttemptErrorKind::Crossed, detail))
}

/// What a stream brings.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineEvent {
    /// A chunk.
    Chunk(Chunk),
    /// The end marker: the answer is whole.
    End,
}
