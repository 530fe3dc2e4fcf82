//! A streamed chat-completion call and its latencies.

use std::time::{Duration, Instant};

use futures_util::StreamExt;
use hickorycourse_clock::timeout;
use ntex::client::Client;
use serde_json::Value;

/// Outcome of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The answer was streamed up to its end marker.
    Answered,
    /// Refused with 429 or 503: the call did not run and may be retried later.
    Refused,
    /// Any other outcome: an error status, an interrupted or incomplete stream, or a time-out.
    Failed,
}

/// Outcome and latencies of a call.
#[derive(Clone, Debug)]
pub struct CallTiming {
    /// Outcome of the call.
    pub outcome: Outcome,
    /// Time from the start of the call to the first token; to the end of the call if there was none.
    pub first_response: Duration,
    /// Intervals between successive chunks of the answer; chunks that arrive together count as one.
    pub token_gaps: Vec<Duration>,
}

const CALL_TIMEOUT: Duration = Duration::from_secs(120);
const END_MARKER: &[u8] = b"data: [DONE]";
const SSE_DATA_PREFIX: &[u8] = b"data: ";

/// URL and credentials of a call.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// URL of the chat-completions API.
    pub url: String,
    /// Caller key.
    pub key: String,
    /// Rank to send; `None` for the default rank.
    pub rank: Option<String>,
}

/// Sends a call and reads its response to the end, for up to 120 s.
pub async fn send(client: &Client, endpoint: &Endpoint, body: &Value) -> CallTiming {
    let started = Instant::now();
    match timeout(CALL_TIMEOUT, exchange(client, endpoint, body, started)).await {
        Ok(timing) => timing,
        Err(_) => failed_timing(started),
    }
}

fn failed_timing(started: Instant) -> CallTiming {
    CallTiming {
        outcome: Outcome::Failed,
        first_response: started.elapsed(),
        token_gaps: Vec::new(),
    }
}

async fn exchange(
    client: &Client,
    endpoint: &Endpoint,
    body: &Value,
    started: Instant,
) -> CallTiming {
    let mut request =
        client.post(&endpoint.url).set_header("authorization", format!("Bearer {}", endpoint.key));
    if let Some(rank) = &endpoint.rank {
        request = request.set_header("x-rank", rank.as_str());
    }
    let Ok(mut response) = request.send_json(body).await else { return failed_timing(started) };
    if !response.status().is_success() {
        let is_refused = matches!(response.status().as_u16(), 429 | 503);
        let outcome = if is_refused { Outcome::Refused } else { Outcome::Failed };
        // Read the body to its end, so that the connection can be reused.
        while response.next().await.is_some() {}
        return CallTiming { outcome, first_response: started.elapsed(), token_gaps: Vec::new() };
    }
    let mut first_token = None;
    let mut last_chunk_at = started;
    let mut token_gaps = Vec::new();
    let mut is_complete = false;
    while let Some(Ok(bytes)) = response.next().await {
        if !contains(&bytes, SSE_DATA_PREFIX) {
            continue;
        }
        let now = Instant::now();
        match first_token {
            None => first_token = Some(now - started),
            Some(_) => token_gaps.push(now - last_chunk_at),
        }
        last_chunk_at = now;
        is_complete |= contains(&bytes, END_MARKER);
    }
    let outcome = if is_complete { Outcome::Answered } else { Outcome::Failed };
    CallTiming {
        outcome,
        first_response: first_token.unwrap_or_else(|| started.elapsed()),
        token_gaps,
    }
}

fn contains(bytes: &[u8], needle: &[u8]) -> bool {
    bytes.windows(needle.len()).any(|window| window == needle)
}
