//! Answers that are read whole before the caller gets any of them, so that none arrives half.

use std::time::Duration;

use hickorycourse_codes::Problem;
use hickorycourse_placement::AttemptOutcome;
use http::HeaderMap;
use http_body_util::BodyExt;
use hyper::body::{Bytes, Incoming};
use ntex::time::timeout;

use crate::attempt::Opened;
use crate::call::{Call, RetryState};

/// The largest answer that is read whole.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// A whole answer of an upstream.
#[derive(Clone, Debug)]
pub struct BufferedResponse {
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
pub async fn fetch(call: &Call, retry_state: &mut RetryState) -> Result<BufferedResponse, Problem> {
    let mut server_error: Option<BufferedResponse> = None;
    loop {
        let opened = match call.open(retry_state, None).await {
            Ok(opened) => opened,
            // An upstream's own failure tells the caller more than that there is no other.
            Err(problem) => return server_error.ok_or(problem),
        };
        let upstream = opened.attempt.placement.upstream.clone();
        call.count_run();
        match read_response(call, opened).await {
            Ok(buffered) => return Ok(buffered),
            Err(FetchError::ServerError(buffered)) => {
                retry_state.record_failure(upstream, format!("answered {}", buffered.status));
                server_error = Some(buffered);
            }
            Err(FetchError::Interrupted(detail)) => retry_state.record_failure(upstream, detail),
        }
        if !call.may_retry(retry_state) {
            return server_error.ok_or_else(|| call.failure_problem(retry_state));
        }
    }
}

/// Why an answer is not the last word.
pub enum FetchError {
    /// A whole answer that tells a failure.
    ServerError(BufferedResponse),
    /// The answer broke off.
    Interrupted(String),
}

/// Reads the rest of an answer.
///
/// # Errors
/// The answer tells a failure of the upstream, or is not whole.
pub async fn read_response(call: &Call, opened: Opened) -> Result<BufferedResponse, FetchError> {
    let Opened { mut attempt, connection, response } = opened;
    attempt.record_first_byte();
    let (head, body) = response.into_parts();
    let limit = Duration::from_millis(call.remaining_ms().max(1));
    let body = match timeout(limit, read_body(body)).await {
        Ok(Ok(body)) => body,
        Ok(Err(detail)) => {
            attempt.end(AttemptOutcome::Failed);
            return Err(FetchError::Interrupted(detail));
        }
        Err(()) => {
            attempt.end(AttemptOutcome::Unresponsive);
            return Err(FetchError::Interrupted("the body stopped coming".to_owned()));
        }
    };
    let buffered = BufferedResponse {
        status: head.status.as_u16(),
        headers: head.headers,
        body,
        upstream: attempt.placement.upstream.clone(),
    };
    call.connections.check_in(connection, call.relay.now_ms());
    if head.status.is_server_error() {
        attempt.end(AttemptOutcome::Failed);
        return Err(FetchError::ServerError(buffered));
    }
    attempt.end(AttemptOutcome::Answered);
    Ok(buffered)
}

async fn read_body(mut body: Incoming) -> Result<Bytes, String> {
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| error.to_string())?;
        if let Ok(data) = frame.into_data() {
            bytes.extend_from_slice(&data);
        }
        if bytes.len() > MAX_RESPONSE_BYTES {
            return Err(format!("the answer is larger than {MAX_RESPONSE_BYTES} bytes"));
        }
    }
    Ok(Bytes::from(bytes))
}
