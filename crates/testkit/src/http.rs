//! A blocking client for tests.

use std::io::{BufRead, BufReader};
use std::time::Duration;

use serde_json::{Value, json};

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status; 0 if no answer came.
    pub status: u16,
    /// The headers, in lower case.
    pub headers: Vec<(String, String)>,
    /// The body; what came of it if it broke off.
    pub body: String,
    /// Whether the body came whole.
    pub is_whole: bool,
}

impl Answer {
    /// The body as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or(Value::Null)
    }

    /// A header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// The number of the problem in the body, 0 if there is none.
    pub fn code(&self) -> u64 {
        self.json()["code"].as_u64().unwrap_or(0)
    }

    /// What the answer says of the execution.
    pub fn execution(&self) -> String {
        let header = self.header("x-execution").unwrap_or("").to_owned();
        self.json()["execution"].as_str().map_or(header, str::to_owned)
    }
}

const TIMEOUT: Duration = Duration::from_secs(60);

fn agent() -> ureq::Agent {
    let config = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(TIMEOUT))
        .max_response_header_size(1024 * 64)
        .build();
    config.into()
}

/// Sends a request on a connection of its own and reads the whole answer. A connection that fails
/// gives status 0.
pub fn ask(method: &str, url: &str, headers: &[(&str, &str)], body: Option<&[u8]>) -> Answer {
    let failed =
        |reason: String| Answer { status: 0, headers: Vec::new(), body: reason, is_whole: false };
    let mut response = match send(method, url, headers, body) {
        Ok(response) => response,
        Err(error) => return failed(error.to_string()),
    };
    let status = response.status().as_u16();
    let headers = response
        .headers()
        .iter()
        .map(|(name, value)| {
            (name.as_str().to_lowercase(), value.to_str().unwrap_or("").to_owned())
        })
        .collect();
    match response.body_mut().with_config().limit(64 * 1024 * 1024).read_to_string() {
        Ok(body) => Answer { status, headers, body, is_whole: true },
        Err(error) => Answer { status, headers, body: error.to_string(), is_whole: false },
    }
}

fn send(
    method: &str,
    url: &str,
    headers: &[(&str, &str)],
    body: Option<&[u8]>,
) -> Result<ureq::http::Response<ureq::Body>, ureq::Error> {
    let mut builder = ureq::http::Request::builder().method(method).uri(url);
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    let agent = agent();
    match body {
        Some(body) => agent.run(builder.body(body)?),
        None => agent.run(builder.body(())?),
    }
}

/// A streamed answer, read to its end.
#[derive(Clone, Debug, Default)]
pub struct StreamedAnswer {
    /// The status.
    pub status: u16,
    /// The text of all chunks.
    pub text: String,
    /// The chunks.
    pub chunks: Vec<Value>,
    /// Whether the end marker came.
    pub is_whole: bool,
    /// What came instead of a chunk.
    pub problem: Option<Value>,
}

/// Asks for a streamed answer; `on_chunk` sees each chunk with its number as it comes.
pub fn read_stream(
    url: &str,
    headers: &[(&str, &str)],
    body: &Value,
    mut on_chunk: impl FnMut(usize),
) -> StreamedAnswer {
    let text = body.to_string();
    let response = match send("POST", url, headers, Some(text.as_bytes())) {
        Ok(response) => response,
        Err(error) => {
            return StreamedAnswer {
                problem: Some(json!(error.to_string())),
                ..StreamedAnswer::default()
            };
        }
    };
    let mut answer =
        StreamedAnswer { status: response.status().as_u16(), ..StreamedAnswer::default() };
    let reader = BufReader::new(response.into_body().into_reader());
    for line in reader.lines() {
        let Ok(line) = line else { break };
        let Some(data) = line.strip_prefix("data: ") else {
            if answer.status != 200 {
                answer.problem = serde_json::from_str(&line).ok();
            }
            continue;
        };
        if data == "[DONE]" {
            answer.is_whole = true;
            continue;
        }
        let chunk: Value = serde_json::from_str(data).unwrap_or(Value::Null);
        if chunk.get("error").is_some() {
            answer.problem = Some(chunk);
            continue;
        }
        answer.text.push_str(chunk["choices"][0]["delta"]["content"].as_str().unwrap_or(""));
        answer.chunks.push(chunk);
        on_chunk(answer.chunks.len());
    }
    answer
}

/// A chat-completions request.
pub fn chat_body(model: &str, prompt: &str, tokens: u64, is_streaming: bool) -> Value {
    json!({
        "model": model,
        "messages": [{ "role": "user", "content": prompt }],
        "max_tokens": tokens,
        "ignore_eos": true,
        "stream": is_streaming,
    })
}
