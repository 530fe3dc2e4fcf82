//! Event streams, and their resumption at another upstream.

use std::time::Duration;

use futures_util::{Stream, stream};
use hickorycourse_codes::Problem;
use hickorycourse_placement::AttemptOutcome;
use http::HeaderMap;
use http_body_util::BodyExt;
use hyper::body::{Bytes, Incoming};
use ntex::io::IoRef;
use ntex::time::timeout;
use serde_json::json;

use crate::attempt::{Attempt, Opened};
use crate::buffered_response::{self, BufferedResponse, FetchError};
use crate::call::{Call, RetryState};
use crate::connections::UpstreamConnection;
use crate::events::EventTracker;
use crate::node::InFlightGuard;

/// Silence after which a resumable stream is moved, as a multiple of the longest pause that is on
/// time: its answer is late by then whatever comes.
const EVENT_TIMEOUT_PAUSES: u64 = 3;
/// Silence of a resumable stream whose route states no pause.
const DEFAULT_EVENT_TIMEOUT_MS: u64 = 2_000;
/// Silence after which a resumable stream is moved before its first event.
const MIN_FIRST_EVENT_TIMEOUT_MS: u64 = 1_500;

/// What a stream's caller gets.
pub enum StreamResponse {
    /// The stream; its first events have come.
    Stream(Box<RelayedStream>),
    /// An answer that is no stream.
    Buffered(BufferedResponse),
}

/// A stream that broke off; the caller must see that it is not complete.
#[derive(Debug, thiserror::Error)]
#[error("the stream broke off: {0}")]
pub struct StreamInterrupted(String);

enum StreamStep {
    Events(Vec<u8>),
    End,
    Interrupted(String),
}

/// A stream on its way to its caller.
pub struct RelayedStream {
    call: Call,
    retry_state: RetryState,
    /// The head of the first upstream's answer.
    pub headers: HeaderMap,
    /// Its status.
    pub status: u16,
    source: Option<UpstreamSource>,
    events: EventTracker,
    first: Option<Vec<u8>>,
    upstreams: Vec<String>,
    is_ended: bool,
    _in_flight: InFlightGuard,
}

struct UpstreamSource {
    attempt: Attempt,
    connection: UpstreamConnection,
    body: Incoming,
}

/// Opens a stream and waits for its first events.
///
/// # Errors
/// What the caller is told, and what became of the call.
pub async fn open(
    call: Call,
    last_event_id: Option<u64>,
    in_flight: InFlightGuard,
) -> Result<StreamResponse, (RetryState, Problem)> {
    let mut retry_state = RetryState::default();
    let mut events = EventTracker::resume_after(last_event_id);
    let mut failed: Option<BufferedResponse> = None;
    loop {
        let opened = match call.open(&mut retry_state, last_event_id).await {
            Ok(opened) => opened,
            Err(problem) => {
                return failed.map(StreamResponse::Buffered).ok_or((retry_state, problem));
            }
        };
        let upstream = opened.attempt.placement.upstream.clone();
        let start = wait_for_first_events(&call, &retry_state, opened, &mut events).await;
        if !matches!(start, StreamStart::Interrupted(_)) {
            call.count_run();
        }
        match start {
            StreamStart::Stream(started) => {
                return Ok(StreamResponse::Stream(Box::new(RelayedStream {
                    call,
                    retry_state,
                    headers: started.head.headers,
                    status: started.head.status.as_u16(),
                    source: started.source,
                    events,
                    first: Some(started.first),
                    upstreams: vec![upstream],
                    is_ended: false,
                    _in_flight: in_flight,
                })));
            }
            StreamStart::Buffered(buffered) => return Ok(StreamResponse::Buffered(buffered)),
            StreamStart::ServerError(buffered) => {
                retry_state.record_failure(upstream, format!("answered {}", buffered.status));
                failed = Some(buffered);
            }
            StreamStart::Interrupted(detail) => {
                retry_state.record_failure(upstream, detail);
                events.drop_partial();
            }
        }
        if !call.may_retry(&retry_state) {
            let problem = call.failure_problem(&retry_state);
            return failed.map(StreamResponse::Buffered).ok_or((retry_state, problem));
        }
    }
}

/// How an upstream's answer to a stream's call starts.
enum StreamStart {
    Stream(Box<StartedStream>),
    /// It is no stream.
    Buffered(BufferedResponse),
    /// It tells a failure of the upstream; another one may do better.
    ServerError(BufferedResponse),
    Interrupted(String),
}

struct StartedStream {
    head: http::response::Parts,
    first: Vec<u8>,
    /// Absent if the stream has ended already.
    source: Option<UpstreamSource>,
}

async fn wait_for_first_events(
    call: &Call,
    retry_state: &RetryState,
    opened: Opened,
    events: &mut EventTracker,
) -> StreamStart {
    if !opened.response.status().is_success() {
        return match buffered_response::read_response(call, opened).await {
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
        StreamStep::Events(first) => {
            source.attempt.record_first_byte();
            StreamStart::Stream(Box::new(StartedStream { head, first, source: Some(source) }))
        }
        StreamStep::End => {
            source.attempt.record_first_byte();
            source.complete(call);
            StreamStart::Stream(Box::new(StartedStream { head, first: Vec::new(), source: None }))
        }
    }
}

fn split(opened: Opened) -> (http::response::Parts, UpstreamSource) {
    let Opened { attempt, connection, response } = opened;
    let (head, body) = response.into_parts();
    (head, UpstreamSource { attempt, connection, body })
}

impl UpstreamSource {
    /// The upstream's answer is whole.
    fn complete(self, call: &Call) {
        call.connections.check_in(self.connection, call.relay.now_ms());
        self.attempt.end(AttemptOutcome::Answered);
    }

    fn fail(self, call: &Call, detail: &str) {
        let upstream = self.attempt.placement.upstream.clone();
        call.relay.log.write(
            "stream_broken",
            || json!({ "request": call.request_id, "upstream": upstream, "failure": detail }),
        );
        self.attempt.end(AttemptOutcome::Failed);
    }
}

/// Waits for whole events.
async fn next_events(
    call: &Call,
    retry_state: &RetryState,
    source: &mut UpstreamSource,
    events: &mut EventTracker,
    is_first: bool,
) -> StreamStep {
    loop {
        let remaining_ms = call.remaining_ms();
        let limit_ms = event_timeout_ms(call, retry_state, is_first).min(remaining_ms);
        if limit_ms == 0 {
            return StreamStep::Interrupted("the time is over".to_owned());
        }
        let limit = Duration::from_millis(limit_ms);
        let frame = match timeout(limit, source.body.frame()).await {
            Err(()) => return StreamStep::Interrupted(format!("nothing came for {limit_ms} ms")),
            Ok(None) if events.has_partial() => {
                return StreamStep::Interrupted("it ended within an event".to_owned());
            }
            Ok(None) => return StreamStep::End,
            Ok(Some(Err(error))) => return StreamStep::Interrupted(error.to_string()),
            Ok(Some(Ok(frame))) => frame,
        };
        if let Ok(data) = frame.into_data() {
            let complete_events = events.push(&data);
            if !complete_events.is_empty() {
                return StreamStep::Events(complete_events);
            }
        }
    }
}

/// A stream that can't go on elsewhere is waited for until it is due.
fn event_timeout_ms(call: &Call, retry_state: &RetryState, is_first: bool) -> u64 {
    let can_resume = call.route.repeat.allows_reexecution()
        && retry_state.sent_attempts < call.route.attempt_limit;
    if !can_resume {
        return u64::MAX;
    }
    let pause_ms = call
        .route
        .pause_target_ms
        .map_or(DEFAULT_EVENT_TIMEOUT_MS, |pause_ms| pause_ms * EVENT_TIMEOUT_PAUSES);
    if is_first { pause_ms.max(MIN_FIRST_EVENT_TIMEOUT_MS) } else { pause_ms }
}

impl RelayedStream {
    /// The call's description with what became of it.
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
    }

    /// The next bytes for the caller; nothing after the end.
    async fn next(&mut self) -> Option<Result<Bytes, StreamInterrupted>> {
        if let Some(first) = self.first.take().filter(|first| !first.is_empty()) {
            return Some(Ok(Bytes::from(first)));
        }
        loop {
            let Some(source) = &mut self.source else {
                self.end("complete");
                return None;
            };
            match next_events(&self.call, &self.retry_state, source, &mut self.events, false).await
            {
                StreamStep::Events(events) => return Some(Ok(Bytes::from(events))),
                StreamStep::End => {
                    if let Some(source) = self.source.take() {
                        source.complete(&self.call);
                    }
                }
                StreamStep::Interrupted(detail) => {
                    if let Some(source) = self.source.take() {
                        self.retry_state.excluded.push(source.attempt.placement.upstream.clone());
                        source.fail(&self.call, &detail);
                    }
                    self.retry_state.may_have_run = true;
                    self.retry_state.failure = Some(detail.clone());
                    if !self.resume().await {
                        self.end("broken");
                        return Some(Err(StreamInterrupted(detail)));
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

    /// Goes on at another upstream behind the last event passed on.
    async fn resume(&mut self) -> bool {
        self.events.drop_partial();
        while self.call.may_retry(&self.retry_state) {
            let opened = match self.call.open(&mut self.retry_state, self.events.last_id()).await {
                Ok(opened) => opened,
                Err(_) => return false,
            };
            let upstream = opened.attempt.placement.upstream.clone();
            if opened.response.status().is_success() {
                let (_, source) = split(opened);
                self.source = Some(source);
                self.upstreams.push(upstream);
                return true;
            }
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

/// The stream as the HTTP server sends it. Dropping it closes the upstream's connection. After a
/// break the caller's connection is ended at once: the server would write an error document into
/// the middle of the answer.
pub fn into_body(
    relayed: Box<RelayedStream>,
    connection: Option<IoRef>,
) -> impl Stream<Item = Result<ntex::util::Bytes, StreamInterrupted>> {
    stream::unfold(Some((relayed, connection)), |state| async move {
        let (mut relayed, connection) = state?;
        match relayed.next().await? {
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
