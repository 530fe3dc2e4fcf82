//! Responses that are buffered completely before the caller receives any part, so that no caller
//! receives a truncated one.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use hickorycourse_clock::timeout;
use hickorycourse_codes::Problem;
use hickorycourse_connections::{ResponseBody, ends_with_connection};
use hickorycourse_placement::AttemptOutcome;
use http::HeaderMap;
use http_body_util::BodyExt;
use hyper::body::Bytes;

use crate::attempt::{Attempt, OpenedResponse};
use crate::call::{Call, RetryState};
use crate::liveness::LivenessCheck;

/// Largest response body that is accepted.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;
/// Bytes that all responses in progress may buffer together in this process.
const MAX_BUFFERED_BYTES: usize = 20 * 1024 * 1024;
/// Bytes that each response may buffer, also when the others have reached that limit.
const GUARANTEED_BYTES: usize = 64 * 1024;

static BUFFERED_BYTES: AtomicUsize = AtomicUsize::new(0);

/// The part of [`BUFFERED_BYTES`] that one response holds; released when dropped.
#[derive(Default)]
pub(crate) struct BufferReservation {
    bytes: usize,
}

impl BufferReservation {
    /// Reserves `bytes` more; returns whether they may be buffered.
    pub(crate) fn grow(&mut self, bytes: usize) -> bool {
        let before = BUFFERED_BYTES.fetch_add(bytes, Ordering::Relaxed);
        self.bytes += bytes;
        self.bytes <= GUARANTEED_BYTES
            || (self.bytes <= MAX_RESPONSE_BYTES && before + bytes <= MAX_BUFFERED_BYTES)
    }
}

impl Drop for BufferReservation {
    fn drop(&mut self) {
        BUFFERED_BYTES.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// A complete response of an upstream.
#[derive(Clone, Debug)]
pub struct BufferedResponse {
    /// HTTP status.
    pub status: u16,
    /// Response headers.
    pub headers: HeaderMap,
    /// Response body.
    pub body: Bytes,
    /// The upstream that sent it.
    pub upstream: String,
}

/// Sends a call until one response is complete.
///
/// # Errors
/// The problem for the response to the caller.
pub async fn fetch(call: &Call, retry_state: &mut RetryState) -> Result<BufferedResponse, Problem> {
    let mut server_error: Option<BufferedResponse> = None;
    loop {
        let opened = match call.open(retry_state, None).await {
            Ok(opened) => opened,
            // An upstream's error response is more useful to the caller than the problem that no
            // other upstream is available.
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

/// Why a response can't be returned without trying other upstreams.
pub enum FetchError {
    /// A complete response with a 5xx status.
    ServerError(BufferedResponse),
    /// The response was not complete.
    Interrupted(String),
}

/// Reads the rest of a response.
///
/// # Errors
/// The response has a 5xx status or was interrupted.
pub async fn read_response(
    call: &Call,
    opened: OpenedResponse,
) -> Result<BufferedResponse, FetchError> {
    let OpenedResponse { mut attempt, connection, response } = opened;
    attempt.record_first_byte();
    let is_unframed = ends_with_connection(&response);
    let must_have_body = response.status().is_success() && is_unframed;
    let liveness = is_unframed.then(|| LivenessCheck::new(call, &attempt, &connection));
    attempt.release_witness();
    let (head, body) = response.into_parts();
    let limit = Duration::from_millis(call.remaining_ms().max(1));
    let body = match timeout(limit, read_body(&mut attempt, body)).await {
        Ok(Ok(body)) if must_have_body && body.is_empty() => {
            call.record_broken(attempt, &connection);
            return Err(FetchError::Interrupted(
                "the connection ended after the head of the response".to_owned(),
            ));
        }
        Ok(Ok(body)) => match liveness {
            // A killed upstream ends its connections in order, too.
            Some(liveness) if !liveness.is_complete(call).await => {
                call.record_broken(attempt, &connection);
                return Err(FetchError::Interrupted(
                    "the upstream ended with the connection".to_owned(),
                ));
            }
            _ => body,
        },
        Ok(Err(BodyError::Broken(detail))) => {
            call.record_broken(attempt, &connection);
            return Err(FetchError::Interrupted(detail));
        }
        Ok(Err(error @ BodyError::TooLarge { .. })) => {
            attempt.end(AttemptOutcome::Failed);
            return Err(FetchError::Interrupted(error.to_string()));
        }
        Err(_) => {
            attempt.end(AttemptOutcome::Silent);
            return Err(FetchError::Interrupted(
                "the response body was not complete at the deadline".to_owned(),
            ));
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
        attempt.record_error_response();
        attempt.end(AttemptOutcome::Failed);
        return Err(FetchError::ServerError(buffered));
    }
    attempt.end(AttemptOutcome::Answered);
    Ok(buffered)
}

/// Why a body could not be read to its end.
#[derive(Debug, thiserror::Error)]
enum BodyError {
    #[error("{0}")]
    Broken(String),
    #[error("the response is too large: {bytes} bytes received")]
    TooLarge { bytes: usize },
}

async fn read_body(attempt: &mut Attempt, mut body: ResponseBody) -> Result<Bytes, BodyError> {
    let mut bytes = Vec::new();
    let mut reservation = BufferReservation::default();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| BodyError::Broken(error.to_string()))?;
        let Ok(data) = frame.into_data() else { continue };
        attempt.record_progress();
        if !reservation.grow(data.len()) {
            return Err(BodyError::TooLarge { bytes: reservation.bytes });
        }
        bytes.extend_from_slice(&data);
    }
    Ok(Bytes::from(bytes))
}
