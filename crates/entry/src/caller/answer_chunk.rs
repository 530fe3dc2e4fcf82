//! Writing answers as the caller sees them: one id, model and time, whichever engines made them.

use hickorycourse_upstream::Chunk;
use serde::Serialize;
use serde_json::{Value, json};

/// What all parts of one answer share.
#[derive(Clone, Debug)]
pub struct AnswerHead {
    /// The answer's id.
    pub id: String,
    /// When it was asked for, in seconds since the Unix epoch.
    pub created_s: u64,
    /// The model, as the caller named it.
    pub model: String,
    /// Whether the caller wants counts at the end.
    pub wants_usage: bool,
}

const CHUNK_OBJECT: &str = "chat.completion.chunk";

#[derive(Serialize)]
struct WrittenChunk<'a> {
    id: &'a str,
    object: &'a str,
    created: u64,
    model: &'a str,
    choices: [WrittenChoice<'a>; 1],
    /// Written as null in the chunks before the last, if counts were asked for.
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<()>,
}

#[derive(Serialize)]
struct WrittenChoice<'a> {
    index: u64,
    delta: WrittenDelta<'a>,
    finish_reason: Option<&'a str>,
}

#[derive(Serialize)]
struct WrittenDelta<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'a str>,
    content: &'a str,
}

impl AnswerHead {
    /// Writes a chunk; the first one names the role.
    pub fn write_chunk(&self, chunk: Chunk, is_first: bool) -> String {
        if let Some(value) = chunk.raw_json {
            return self.rewrite_chunk(value, is_first).to_string();
        }
        let written = WrittenChunk {
            id: &self.id,
            object: CHUNK_OBJECT,
            created: self.created_s,
            model: &self.model,
            choices: [WrittenChoice {
                index: 0,
                delta: WrittenDelta {
                    role: is_first.then_some("assistant"),
                    content: chunk.text.as_deref().unwrap_or(""),
                },
                finish_reason: chunk.finish_reason.as_deref(),
            }],
            usage: self.wants_usage.then_some(()),
        };
        serde_json::to_string(&written).expect("a chunk has only text keys")
    }

    /// Writes the last chunk, which only carries counts.
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

    /// Makes a whole answer of one text.
    pub fn make_whole(&self, text: &str, finish_reason: &str, usage: &Value) -> Value {
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

    fn rewrite_chunk(&self, mut value: Value, is_first: bool) -> Value {
        value["id"] = json!(self.id);
        value["created"] = json!(self.created_s);
        value["model"] = json!(self.model);
        if let Some(fields) = value.as_object_mut() {
            fields.remove("usage");
            if self.wants_usage {
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
