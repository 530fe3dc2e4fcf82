//! Serializes chat completions and their chunks in the OpenAI format.
//!
//! All chunks of a response carry the same id, model and creation time, also when several engines
//! produced them.

use hickorycourse_upstream::Chunk;
use serde::Serialize;
use serde_json::{Value, json};

/// Writes the chunks of one response, or the response as a whole, with the fields they share.
#[derive(Clone, Debug)]
pub struct CompletionWriter {
    /// The completion id.
    pub id: String,
    /// Arrival of the request, in seconds since the Unix epoch.
    pub created_s: u64,
    /// The model name from the request.
    pub model: String,
    /// Whether a final chunk with token usage was requested (`stream_options.include_usage`).
    pub include_usage: bool,
}

const CHUNK_OBJECT: &str = "chat.completion.chunk";

#[derive(Serialize)]
struct CompletionChunk<'a> {
    id: &'a str,
    object: &'a str,
    created: u64,
    model: &'a str,
    choices: [ChunkChoice<'a>; 1],
    /// Null in the chunks before the usage chunk if usage was requested, absent otherwise.
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<()>,
}

#[derive(Serialize)]
struct ChunkChoice<'a> {
    index: u64,
    delta: ChunkDelta<'a>,
    finish_reason: Option<&'a str>,
}

#[derive(Serialize)]
struct ChunkDelta<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'a str>,
    content: &'a str,
}

impl CompletionWriter {
    /// Serializes a chunk. The first one sets the role of the message.
    pub fn write_chunk(&self, chunk: Chunk, is_first: bool) -> String {
        if let Some(value) = chunk.raw_json {
            return self.rewrite_raw_chunk(value, is_first).to_string();
        }
        let completion_chunk = CompletionChunk {
            id: &self.id,
            object: CHUNK_OBJECT,
            created: self.created_s,
            model: &self.model,
            choices: [ChunkChoice {
                index: 0,
                delta: ChunkDelta {
                    role: is_first.then_some("assistant"),
                    content: chunk.text.as_deref().unwrap_or(""),
                },
                finish_reason: chunk.finish_reason.as_deref(),
            }],
            usage: self.include_usage.then_some(()),
        };
        serde_json::to_string(&completion_chunk).expect("a chunk has only text keys")
    }

    /// Serializes the final chunk, which has token usage and no choices.
    pub fn write_usage_chunk(&self, usage: &Value) -> String {
        let chunk = json!({
            "id": self.id,
            "object": CHUNK_OBJECT,
            "created": self.created_s,
            "model": self.model,
            "choices": [],
            "usage": usage,
        });
        chunk.to_string()
    }

    /// Builds the response to a request that is not streamed.
    pub fn build_completion(&self, text: &str, finish_reason: &str, usage: &Value) -> Value {
        json!({
            "id": self.id,
            "object": "chat.completion",
            "created": self.created_s,
            "model": self.model,
            "choices": [{
                "index": 0,
                "message": { "role": "assistant", "content": text },
                "logprobs": null,
                "finish_reason": finish_reason,
            }],
            "usage": usage,
        })
    }

    fn rewrite_raw_chunk(&self, mut value: Value, is_first: bool) -> Value {
        value["id"] = json!(self.id);
        value["created"] = json!(self.created_s);
        value["model"] = json!(self.model);
        if let Some(fields) = value.as_object_mut() {
            fields.remove("usage");
            if self.include_usage {
                fields.insert("usage".to_owned(), Value::Null);
            }
        }
        let delta = value.pointer_mut("/choices/0/delta").and_then(Value::as_object_mut);
        if let Some(delta) = delta {
            match is_first {
                true => delta.insert("role".to_owned(), json!("assistant")),
                false => delta.remove("role"),
            };
        }
        value
    }
}
