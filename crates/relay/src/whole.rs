//! Answers that are read whole before the caller gets any of them, so that none arrives half.

use std::time::Duration;

use hickorycourse_codes::Problem;
use hickorycourse_placement::AttemptOutcome;
use http::HeaderMap;
use http_body_util::BodyExt;
use hyper::body::{Bytes, Incoming};
use ntex::time::timeout;

use crate::attempt::Opened;
use crate::call::{Call, Progress};

/// The largest answer that is read whole.
const ANSWER_BYTES_MOST: usize = 16 * 1024 * 1024;

/// A whole answer of an upstream.
#[derive(Clone, Debug)]
pub struct WholeAnswer {
    /// Its status.
    pub status: u16,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// The upstream that made it.
    pub upstream: String,
}

/// Sends a call until one answer is whole.
///
/// # Errors
/// What the caller is told.
pub async fn fetch(call: &Call, progress: &mut Progress) -> Result<WholeAnswer, Problem> {
    let mut failed: Option<WholeAnswer> = None;
    loop {
        let opened = match call.open(progress, None).await {
            Ok(opened) => opened,
            // An upstream's own failure tells the caller more than that there is no other.
            Err(problem) => return failed.ok_or(problem),
        };
        let upstream = opened.attempt.placement.upstream.clone();
        call.count_run();
        match finish(call, opened).await {
            Ok(answer) => return Ok(answer),
            Err(Unfinished::Failed(answer)) => {
                progress.note_failure(upstream, format!("answered {}", answer.status));
                failed = Some(answer);
            }
            Err(Unfinished::Broken(detail)) => progress.note_failure(upstream, detail),
        }
        if !call.may_send_again(progress) {
            return failed.ok_or_else(|| call.give_up(progress));
        }
    }
}

/// Why an answer is not the last word.
pub enum Unfinished {
    /// A whole answer that tells a failure.
    Failed(WholeAnswer),
    /// The answer broke off.
    Broken(String),
}

/// Reads the rest of an answer.
///
/// # Errors
/// The answer tells a failure of the upstream, or is not whole.
pub async fn finish(call: &Call, opened: Opened) -> Result<WholeAnswer, Unfinished> {
    let Opened { mut attempt, connection, response } = opened;
    attempt.note_first_byte();
    let (head, body) = response.into_parts();
    let limit = Duration::from_millis(call.left_ms().max(1));
    let body = match timeout(limit, read_body(body)).await {
        Ok(Ok(body)) => body,
        Ok(Err(detail)) => {
            attempt.end(AttemptOutcome::Failed);
            return Err(Unfinished::Broken(detail));
        }
        Err(()) => {
            attempt.end(AttemptOutcome::Unresponsive);
            return Err(Unfinished::Broken("the body stopped coming".to_owned()));
        }
    };
    let answer = WholeAnswer {
        status: head.status.as_u16(),
        headers: head.headers,
        body,
        upstream: attempt.placement.upstream.clone(),
    };
    call.connections.give_back(connection, call.relay.now_ms());
    if head.status.is_server_error() {
        attempt.end(AttemptOutcome::Failed);
        return Err(Unfinished::Failed(answer));
    }
    attempt.end(AttemptOutcome::Answered);
    Ok(answer)
}

async fn read_body(mut body: Incoming) -> Result<Bytes, String> {
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| error.to_string())?;
        if let Ok(data) = frame.into_data() {
            bytes.extend_from_slice(&data);
        }
        if bytes.len() > ANSWER_BYTES_MOST {
            return Err(format!("the answer is larger than {ANSWER_BYTES_MOST} bytes"));
        }
    }
    Ok(Bytes::from(bytes))
}
