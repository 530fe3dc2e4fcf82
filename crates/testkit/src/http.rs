//! A blocking HTTP client for tests.

use std::io::{BufRead, BufReader};
use std::time::Duration;

use serde_json::{Value, json};

/// An HTTP response with its body.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// The status code; 0 if no response was received.
    pub status: u16,
    /// The headers; names are in lower case.
    pub headers: Vec<(String, String)>,
    /// The body, or the error message if the request failed or the body was truncated.
    pub body: String,
    /// Whether the entire body was received.
    pub is_complete: bool,
}

impl HttpResponse {
    /// Parses the body as JSON; null if it is not valid.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or(Value::Null)
    }

    /// Returns the value of a header, whose name is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// Returns the field `code` of the problem document in the body; 0 if it is absent.
    pub fn problem_code(&self) -> u64 {
        self.json()["code"].as_u64().unwrap_or(0)
    }

    /// Returns whether the call was executed: the field `execution` of the body or else the header
    /// `x-execution`; empty if both are absent.
    pub fn execution(&self) -> String {
        let header = self.header("x-execution").unwrap_or("").to_owned();
        self.json()["execution"].as_str().map_or(header, str::to_owned)
    }
}

const REQUEST_TIMEOUT: Duration = Duration::from_secs(60);

fn agent() -> ureq::Agent {
    let config = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(REQUEST_TIMEOUT))
        .max_response_header_size(1024 * 64)
        .build();
    config.into()
}

/// Sends a request on a new connection and reads the entire response. A connection error gives
/// status 0. The timeout is 60 s.
pub fn send_request(
    method: &str,
    url: &str,
    headers: &[(&str, &str)],
    body: Option<&[u8]>,
) -> HttpResponse {
    let failed = |reason: String| HttpResponse {
        status: 0,
        headers: Vec::new(),
        body: reason,
        is_complete: false,
    };
    let mut response = match execute(method, url, headers, body) {
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
        Ok(body) => HttpResponse { status, headers, body, is_complete: true },
        Err(error) => HttpResponse { status, headers, body: error.to_string(), is_complete: false },
    }
}

fn execute(
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

/// A streamed response, read to its end.
#[derive(Clone, Debug, Default)]
pub struct StreamedResponse {
    /// The status code; 0 if no response was received.
    pub status: u16,
    /// The concatenated text of all chunks.
    pub text: String,
    /// The chunks as JSON, in the order of arrival.
    pub chunks: Vec<Value>,
    /// Whether the end marker `[DONE]` was received.
    pub is_complete: bool,
    /// The problem document that was received instead of a chunk, or the error message if the
    /// request failed.
    pub problem: Option<Value>,
}

/// Requests a streamed response. `on_chunk` is called for each chunk with the number of chunks
/// received so far.
pub fn read_stream(
    url: &str,
    headers: &[(&str, &str)],
    body: &Value,
    mut on_chunk: impl FnMut(usize),
) -> StreamedResponse {
    let text = body.to_string();
    let response = match execute("POST", url, headers, Some(text.as_bytes())) {
        Ok(response) => response,
        Err(error) => {
            return StreamedResponse {
                problem: Some(json!(error.to_string())),
                ..StreamedResponse::default()
            };
        }
    };
    let mut streamed =
        StreamedResponse { status: response.status().as_u16(), ..StreamedResponse::default() };
    let reader = BufReader::new(response.into_body().into_reader());
    for line in reader.lines() {
        let Ok(line) = line else { break };
        let Some(data) = line.strip_prefix("data: ") else {
            if streamed.status != 200 {
                streamed.problem = serde_json::from_str(&line).ok();
            }
            continue;
        };
        if data == "[DONE]" {
            streamed.is_complete = true;
            continue;
        }
        let chunk: Value = serde_json::from_str(data).unwrap_or(Value::Null);
        if chunk.get("error").is_some() {
            streamed.problem = Some(chunk);
            continue;
        }
        streamed.text.push_str(chunk["choices"][0]["delta"]["content"].as_str().unwrap_or(""));
        streamed.chunks.push(chunk);
        on_chunk(streamed.chunks.len());
    }
    streamed
}

/// Builds the body of a chat-completions request that generates exactly `tokens` tokens.
pub fn chat_body(model: &str, prompt: &str, tokens: u64, is_streaming: bool) -> Value {
    json!({
        "model": model,
        "messages": [{ "role": "user", "content": prompt }],
        "max_tokens": tokens,
        "ignore_eos": true,
        "stream": is_streaming,
    })
}
