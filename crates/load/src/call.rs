//! One streamed call and its times.

use std::time::{Duration, Instant};

use futures_util::StreamExt;
use ntex::client::Client;
use ntex::time::timeout;
use serde_json::Value;

/// What became of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// A whole answer.
    Answered,
    /// A refusal: nothing ran, and the caller was told when to come back.
    Refused,
    /// Anything else.
    Failed,
}

/// The times of a call.
#[derive(Clone, Debug)]
pub struct Times {
    /// What became of it.
    pub outcome: Outcome,
    /// From the start to the first token, or to the refusal.
    pub first: Duration,
    /// Between two tokens.
    pub gaps: Vec<Duration>,
}

const CALL_TIMEOUT: Duration = Duration::from_secs(120);
const END_MARKER: &[u8] = b"data: [DONE]";
const EVENT_START: &[u8] = b"data: ";

/// Where and as whom to call.
#[derive(Clone, Debug)]
pub struct Target {
    /// The address of the chat-completions service.
    pub url: String,
    /// The key.
    pub key: String,
    /// The rank, if one is named.
    pub rank: Option<String>,
}

/// Sends a call and reads the answer to its end.
pub async fn send(client: &Client, target: &Target, body: &Value) -> Times {
    let started = Instant::now();
    match timeout(CALL_TIMEOUT, exchange(client, target, body, started)).await {
        Ok(times) => times,
        Err(_) => failed(started),
    }
}

fn failed(started: Instant) -> Times {
    Times { outcome: Outcome::Failed, first: started.elapsed(), gaps: Vec::new() }
}

async fn exchange(client: &Client, target: &Target, body: &Value, started: Instant) -> Times {
    let mut request =
        client.post(&target.url).set_header("authorization", format!("Bearer {}", target.key));
    if let Some(rank) = &target.rank {
        request = request.set_header("x-rank", rank.as_str());
    }
    let Ok(mut response) = request.send_json(body).await else { return failed(started) };
    if !response.status().is_success() {
        let is_refused = matches!(response.status().as_u16(), 429 | 503);
        let outcome = if is_refused { Outcome::Refused } else { Outcome::Failed };
        // Read to the end, so that the connection can be used again.
        while response.next().await.is_some() {}
        return Times { outcome, first: started.elapsed(), gaps: Vec::new() };
    }
    let mut first = None;
    let mut last = started;
    let mut gaps = Vec::new();
    let mut is_whole = false;
    while let Some(Ok(bytes)) = response.next().await {
        if !contains(&bytes, EVENT_START) {
            continue;
        }
        let now = Instant::now();
        match first {
            None => first = Some(now - started),
            Some(_) => gaps.push(now - last),
        }
        last = now;
        is_whole |= contains(&bytes, END_MARKER);
    }
    let outcome = if is_whole { Outcome::Answered } else { Outcome::Failed };
    Times { outcome, first: first.unwrap_or_else(|| started.elapsed()), gaps }
}

fn contains(bytes: &[u8], wanted: &[u8]) -> bool {
    bytes.windows(wanted.len()).any(|window| window == wanted)
}
