//! Event streams, and their resumption at another upstream.

use std::rc::Rc;
use std::time::Duration;

use futures_util::{Stream, stream};
use hickorycourse_codes::Problem;
use hickorycourse_placement::AttemptOutcome;
use http::HeaderMap;
use http::header::CONTENT_TYPE;
use http_body_util::BodyExt;
use hyper::body::{Bytes, Incoming};
use ntex::io::IoRef;
use ntex::time::{sleep, timeout};
use serde_json::json;

use crate::attempt::{Attempt, OpenedResponse};
use crate::buffered_response::{self, BufferedResponse, FetchError};
use crate::call::{Call, RetryState};
use crate::drain::hold_until_flushed;
use crate::events::EventTracker;
use crate::in_flight::InFlightGuard;
use hickorycourse_connections::{UpstreamConnection, ends_with_connection};

/// Idle timeout of a resumable stream, after which it moves to another upstream, as a multiple of
/// the route's target for pauses between events; the response has missed that target by then.
const IDLE_TIMEOUT_PAUSES: u64 = 3;
/// Idle timeout of a resumable stream on a route without a target for pauses.
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 2_000;
/// Shortest idle timeout before the first event.
const MIN_FIRST_EVENT_IDLE_TIMEOUT_MS: u64 = 1_500;

/// Time between two tries to resume a stream while no upstream accepts it.
const RESUME_INTERVAL: Duration = Duration::from_millis(50);

/// Response to a caller's request for a stream.
pub enum StreamResponse {
    /// A stream whose first events have arrived.
    Stream(Box<RelayedStream>),
    /// A complete response that is not a stream.
    Buffered(BufferedResponse),
}

/// An interrupted stream; the error ends the caller's response as incomplete.
#[derive(Debug, thiserror::Error)]
#[error("stream interrupted: {0}")]
pub struct StreamInterrupted(String);

enum StreamStep {
    Events(Vec<u8>),
    End,
    /// The connection broke, or the stream ended within an event.
    Broken(String),
    /// The stream was given up.
    Interrupted(String),
}

/// A stream that is being relayed to its caller.
pub struct RelayedStream {
    call: Call,
    retry_state: RetryState,
    /// Headers of the first upstream's response.
    pub headers: HeaderMap,
    /// Status of the first upstream's response.
    pub status: u16,
    source: Option<UpstreamSource>,
    events: EventTracker,
    first_events: Option<Vec<u8>>,
    upstreams: Vec<String>,
    /// Version of the upstream that brought the first event; `None` if it is not known.
    version: Option<String>,
    is_ended: bool,
    in_flight: Option<Rc<InFlightGuard>>,
}

struct UpstreamSource {
    attempt: Attempt,
    connection: UpstreamConnection,
    body: Incoming,
    /// Whether an end without any events is taken for a broken connection: an upstream that ends after
    /// the head of a response without a length or chunks leaves the same, and so may one that does not know
    /// the stream that it is to resume.
    must_have_events: bool,
}

/// Opens a stream and waits for its first events.
///
/// # Errors
/// The attempts, and the problem for the response to the caller.
pub async fn open(
    call: Call,
    last_event_id: Option<u64>,
    in_flight: Rc<InFlightGuard>,
) -> Result<StreamResponse, (RetryState, Problem)> {
    let version = call.origin.as_ref().map(|origin| origin.version.clone());
    let mut retry_state = RetryState { version, ..RetryState::default() };
    let mut events = EventTracker::resume_after(last_event_id);
    let mut server_error: Option<BufferedResponse> = None;
    loop {
        let opened = match call.open(&mut retry_state, last_event_id).await {
            Ok(opened) => opened,
            Err(problem) => {
                return server_error.map(StreamResponse::Buffered).ok_or((retry_state, problem));
            }
        };
        let upstream = opened.attempt.placement.upstream.clone();
        let version = opened.attempt.placement.version.clone();
        let start = wait_for_first_events(&call, &mut retry_state, opened, &mut events).await;
        if !matches!(start, StreamStart::Interrupted(_)) {
            call.count_run();
        }
        match start {
            StreamStart::Stream(started) => {
                // From the first event on, only upstreams of this version may go on.
                call.record_origin(version.as_deref());
                return Ok(StreamResponse::Stream(Box::new(RelayedStream {
                    call,
                    retry_state,
                    headers: started.head.headers,
                    status: started.head.status.as_u16(),
                    source: started.source,
                    events,
                    first_events: Some(started.first_events),
                    upstreams: vec![upstream],
                    version,
                    is_ended: false,
                    in_flight: Some(in_flight),
                })));
            }
            StreamStart::Buffered(buffered) => return Ok(StreamResponse::Buffered(buffered)),
            StreamStart::ServerError(buffered) => {
                retry_state.record_failure(upstream, format!("answered {}", buffered.status));
                server_error = Some(buffered);
            }
            StreamStart::Interrupted(detail) => {
                retry_state.record_failure(upstream, detail);
                events.drop_partial();
            }
        }
        if !call.may_retry(&retry_state) {
            let problem = call.failure_problem(&retry_state);
            return server_error.map(StreamResponse::Buffered).ok_or((retry_state, problem));
        }
    }
}

/// How an upstream's response to a request for a stream starts.
enum StreamStart {
    Stream(Box<StartedStream>),
    /// The response is not a stream.
    Buffered(BufferedResponse),
    /// A complete 5xx response; another upstream may succeed.
    ServerError(BufferedResponse),
    Interrupted(String),
}

struct StartedStream {
    head: http::response::Parts,
    first_events: Vec<u8>,
    /// Absent if the stream has already ended.
    source: Option<UpstreamSource>,
}

async fn wait_for_first_events(
    call: &Call,
    retry_state: &mut RetryState,
    opened: OpenedResponse,
    events: &mut EventTracker,
) -> StreamStart {
    if !opened.response.status().is_success() {
        return match buffered_response::read_response(call, retry_state, opened).await {
            Ok(buffered) => StreamStart::Buffered(buffered),
            Err(FetchError::ServerError(buffered)) => StreamStart::ServerError(buffered),
            Err(FetchError::Interrupted(detail)) => StreamStart::Interrupted(detail),
        };
    }
    let (head, mut source) = split(opened);
    match next_events(call, retry_state, &mut source, events, true).await {
        StreamStep::Interrupted(detail) => {
            source.fail(call, &detail);
            StreamStart::Interrupted(detail)
        }
        StreamStep::Broken(detail) => {
            source.fail_broken(call, retry_state, &detail);
            StreamStart::Interrupted(detail)
        }
        StreamStep::Events(first_events) => {
            source.attempt.record_first_byte();
            StreamStart::Stream(Box::new(StartedStream {
                head,
                first_events,
                source: Some(source),
            }))
        }
        StreamStep::End => {
            source.attempt.record_first_byte();
            source.complete(call);
            StreamStart::Stream(Box::new(StartedStream {
                head,
                first_events: Vec::new(),
                source: None,
            }))
        }
    }
}

/// Returns whether two responses have the same media type, whatever its parameters.
fn is_same_type(one: &HeaderMap, other: &HeaderMap) -> bool {
    let media_type = |headers: &HeaderMap| {
        let value = headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
        let essence = value.and_then(|value| value.split(';').next());
        essence.map(|essence| essence.trim().to_ascii_lowercase())
    };
    media_type(one) == media_type(other)
}

fn split(opened: OpenedResponse) -> (http::response::Parts, UpstreamSource) {
    let OpenedResponse { attempt, connection, response } = opened;
    let must_have_events = ends_with_connection(&response);
    let (head, body) = response.into_parts();
    (head, UpstreamSource { attempt, connection, body, must_have_events })
}

impl UpstreamSource {
    /// Returns the connection to the pool after a complete response.
    fn complete(self, call: &Call) {
        call.connections.check_in(self.connection, call.relay.now_ms());
        self.attempt.end(AttemptOutcome::Answered);
    }

    fn fail(self, call: &Call, detail: &str) {
        self.log_failure(call, detail);
        self.attempt.end(AttemptOutcome::Failed);
    }

    /// As [`fail`](Self::fail), for a connection that broke: the upstream may have ended.
    fn fail_broken(self, call: &Call, retry_state: &mut RetryState, detail: &str) {
        self.log_failure(call, detail);
        retry_state.record_broken(self.attempt);
    }

    fn log_failure(&self, call: &Call, detail: &str) {
        let upstream = &self.attempt.placement.upstream;
        call.relay.log.write(
            "stream_broken",
            || json!({ "request": call.request_id, "upstream": upstream, "failure": detail }),
        );
    }
}

/// Waits for complete events. The idle timeout counts from the last complete event: bytes alone are no
/// progress, as a stalled upstream may send one now and then.
async fn next_events(
    call: &Call,
    retry_state: &RetryState,
    source: &mut UpstreamSource,
    events: &mut EventTracker,
    is_first: bool,
) -> StreamStep {
    let started_at_ms = call.relay.now_ms();
    loop {
        if call.remaining_ms() == 0 {
            return StreamStep::Interrupted(
                "the deadline passed before the stream ended".to_owned(),
            );
        }
        let idle_timeout_ms = idle_timeout_ms(call, retry_state, is_first);
        let idle_ms = call.relay.now_ms().saturating_sub(started_at_ms);
        let limit_ms = idle_timeout_ms.saturating_sub(idle_ms).min(call.remaining_ms());
        let limit = Duration::from_millis(limit_ms);
        let frame = match timeout(limit, source.body.frame()).await {
            Err(()) => {
                return StreamStep::Interrupted(format!(
                    "no complete event received for {} ms",
                    idle_ms + limit_ms
                ));
            }
            Ok(None) if events.has_partial() => {
                return StreamStep::Broken(
                    "the upstream ended the stream within an event".to_owned(),
                );
            }
            Ok(None) if source.must_have_events => {
                return StreamStep::Broken(
                    "the connection ended before the first event".to_owned(),
                );
            }
            Ok(None) => return StreamStep::End,
            Ok(Some(Err(error))) => return StreamStep::Broken(error.to_string()),
            Ok(Some(Ok(frame))) => frame,
        };
        if let Ok(data) = frame.into_data() {
            match events.push(&data) {
                Ok(complete_events) if complete_events.is_empty() => {}
                Ok(complete_events) => {
                    source.must_have_events = false;
                    return StreamStep::Events(complete_events);
                }
                Err(error) => return StreamStep::Interrupted(error.to_string()),
            }
        }
    }
}

/// Timeout for the next bytes. A stream that can't be resumed elsewhere waits until its deadline.
fn idle_timeout_ms(call: &Call, retry_state: &RetryState, is_first: bool) -> u64 {
    let can_resume = call.route.repeat.allows_reexecution()
        && retry_state.sent_attempts < call.route.attempt_limit;
    if !can_resume {
        return u64::MAX;
    }
    let pause_ms = call
        .route
        .pause_target_ms
        .map_or(DEFAULT_IDLE_TIMEOUT_MS, |pause_ms| pause_ms * IDLE_TIMEOUT_PAUSES);
    if is_first { pause_ms.max(MIN_FIRST_EVENT_IDLE_TIMEOUT_MS) } else { pause_ms }
}

impl RelayedStream {
    /// Logs the end of the stream and counts its outcome.
    fn log_end(&self, outcome: &str) {
        let call = &self.call;
        call.relay.log.write("stream_ended", || {
            json!({
                "call": call.log_fields(), "outcome": outcome, "upstreams": self.upstreams,
                "last_event": self.events.last_id(), "failure": self.retry_state.failure,
                "took_ms": call.relay.now_ms().saturating_sub(call.arrived_at_ms),
            })
        });
        metrics::counter!("hickorycourse_streams_total", "outcome" => outcome.to_owned())
            .increment(1);
        if outcome == "complete" {
            call.relay.record_duration(&call.route.name, call.arrived_at_ms);
        }
    }

    /// Returns the next bytes for the caller; `None` after the end.
    async fn next(&mut self) -> Option<Result<Bytes, StreamInterrupted>> {
        if let Some(first_events) =
            self.first_events.take().filter(|first_events| !first_events.is_empty())
        {
            return Some(Ok(Bytes::from(first_events)));
        }
        loop {
            let Some(source) = &mut self.source else {
                self.end("complete");
                return None;
            };
            match next_events(&self.call, &self.retry_state, source, &mut self.events, false).await
            {
                StreamStep::Events(events) => {
                    source.attempt.record_first_byte();
                    source.attempt.record_progress();
                    return Some(Ok(Bytes::from(events)));
                }
                StreamStep::End => {
                    if let Some(source) = self.source.take() {
                        source.complete(&self.call);
                    }
                }
                StreamStep::Broken(detail) => {
                    if let Some(source) = self.source.take() {
                        self.retry_state.excluded.push(source.attempt.placement.upstream.clone());
                        source.fail_broken(&self.call, &mut self.retry_state, &detail);
                    }
                    if let Err(interrupted) = self.resume_after(detail).await {
                        return Some(Err(interrupted));
                    }
                }
                StreamStep::Interrupted(detail) => {
                    if let Some(source) = self.source.take() {
                        self.retry_state.excluded.push(source.attempt.placement.upstream.clone());
                        source.fail(&self.call, &detail);
                    }
                    if let Err(interrupted) = self.resume_after(detail).await {
                        return Some(Err(interrupted));
                    }
                }
            }
        }
    }

    fn end(&mut self, outcome: &str) {
        if !std::mem::replace(&mut self.is_ended, true) {
            self.log_end(outcome);
        }
    }

    /// Resumes after an interruption for the reason `detail`.
    async fn resume_after(&mut self, detail: String) -> Result<(), StreamInterrupted> {
        self.retry_state.may_have_run = true;
        self.retry_state.failure = Some(detail.clone());
        if self.resume().await {
            return Ok(());
        }
        self.end("broken");
        Err(StreamInterrupted(detail))
    }

    /// Resumes at another upstream of the same version after the last event sent to the caller; returns
    /// whether an upstream accepted.
    async fn resume(&mut self) -> bool {
        self.events.drop_partial();
        // Without the id of an event, an upstream would begin again.
        if self.version.is_none() || self.events.last_id().is_none() {
            return false;
        }
        self.retry_state.version.clone_from(&self.version);
        let call = &self.call;
        let wait_until_ms = call.relay.now_ms() + call.route.pause_target_ms.unwrap_or_default();
        while call.may_retry(&self.retry_state) {
            let opened = match call.open(&mut self.retry_state, self.events.last_id()).await {
                Ok(opened) => opened,
                // The version's only upstreams may be starting again, or about to be listed.
                Err(_) if call.relay.now_ms() < wait_until_ms => {
                    sleep(RESUME_INTERVAL).await;
                    continue;
                }
                Err(_) => return false,
            };
            let upstream = opened.attempt.placement.upstream.clone();
            let status = opened.response.status();
            if status.is_success() && is_same_type(&self.headers, opened.response.headers()) {
                let (_, source) = split(opened);
                self.source = Some(UpstreamSource { must_have_events: true, ..source });
                self.events.expect_next();
                self.upstreams.push(upstream);
                return true;
            }
            call.relay.log.write("resumption_failed", || {
                json!({
                    "request": call.request_id, "upstream": upstream, "status": status.as_u16(),
                })
            });
            self.retry_state.excluded.push(upstream);
            opened.attempt.end(AttemptOutcome::Failed);
        }
        false
    }
}

impl Drop for RelayedStream {
    fn drop(&mut self) {
        self.end("caller_left");
    }
}

/// Converts the stream to a response body. Dropping it closes the upstream's connection. After an
/// interruption the caller's connection is closed at once: the HTTP server would otherwise write an
/// error document into the middle of the response.
pub fn into_body(
    relayed: Box<RelayedStream>,
    connection: Option<IoRef>,
) -> impl Stream<Item = Result<ntex::util::Bytes, StreamInterrupted>> {
    stream::unfold(Some((relayed, connection)), |state| async move {
        let (mut relayed, connection) = state?;
        let Some(next) = relayed.next().await else {
            if let Some(in_flight) = relayed.in_flight.take() {
                hold_until_flushed(&relayed.call.relay, in_flight, connection, 0);
            }
            return None;
        };
        match next {
            Ok(bytes) => {
                let bytes = ntex::util::Bytes::copy_from_slice(&bytes);
                Some((Ok(bytes), Some((relayed, connection))))
            }
            Err(error) => {
                if let Some(connection) = connection {
                    connection.terminate();
                }
                Some((Err(error), None))
            }
        }
    })
}
