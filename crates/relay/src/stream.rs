//! Event streams, and their resumption at another upstream.

use std::rc::Rc;
use std::time::Duration;

use futures_util::future::{Either, select};
use futures_util::{Stream, stream};
use hickorycourse_clock::{sleep, timeout};
use hickorycourse_codes::{ErrorCode, Problem};
use hickorycourse_starts::Acceptance;
use http::HeaderMap;
use hyper::body::Bytes;
use ntex::io::IoRef;
use serde_json::json;

use crate::attempt::OpenedResponse;
use crate::buffered_response::{self, BufferedResponse, FetchError};
use crate::call::{Call, RetryState};
use crate::events::EventTracker;
use crate::in_flight::InFlightGuard;
use crate::start_proofs::MAX_PROOF_WAIT_MS;
use crate::stream_source::{SourceStep, UpstreamSource};
use crate::successor::{SourceLoss, Successor, SuccessorSearch};
use crate::unread_responses;

/// Time without a complete event after which another upstream is tried beside, as a multiple of the
/// route's target for pauses between events; the response has missed that target by then.
const IDLE_TIMEOUT_PAUSES: u64 = 3;
/// The same on a route without a target for pauses.
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 2_000;
/// Shortest such time before the first event.
const MIN_FIRST_EVENT_IDLE_TIMEOUT_MS: u64 = 1_500;

/// Interval at which it is looked whether the version of a stream is known.
const SETTLE_INTERVAL: Duration = Duration::from_millis(50);

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

/// What a stream brings next, from whichever upstream.
enum StreamStep {
    Events(Vec<u8>),
    End,
    /// The upstream's stream can't be read on.
    Lost(Loss),
}

/// Why an upstream's stream can't be read on.
enum Loss {
    /// The connection broke, or the stream ended within an event.
    Broken(String),
    /// The connection ended after an event; the stream may have been complete.
    Unproven(String),
    /// Its events must not be passed on.
    Invalid(String),
    /// The deadline has passed.
    Late,
}

impl Loss {
    fn detail(&self) -> &str {
        match self {
            Self::Broken(detail) | Self::Unproven(detail) | Self::Invalid(detail) => detail,
            Self::Late => "the deadline passed before the stream ended",
        }
    }
}

impl From<SourceStep> for StreamStep {
    fn from(step: SourceStep) -> Self {
        match step {
            SourceStep::Events(events) => Self::Events(events),
            SourceStep::End => Self::End,
            SourceStep::NoEvents => {
                Self::Lost(Loss::Broken("the stream ended before the next event".to_owned()))
            }
            SourceStep::Broken(detail) => Self::Lost(Loss::Broken(detail)),
            SourceStep::Unproven(detail) => Self::Lost(Loss::Unproven(detail)),
            SourceStep::Invalid(detail) => Self::Lost(Loss::Invalid(detail)),
        }
    }
}

/// A stream that is being relayed to its caller.
pub struct RelayedStream {
    call: Call,
    retry_state: RetryState,
    /// Headers of the upstream that brought the first event.
    pub headers: HeaderMap,
    /// Status of that upstream's response.
    pub status: u16,
    /// Absent if the stream has ended.
    source: Option<UpstreamSource>,
    events: EventTracker,
    /// Whether the caller has received events of the stream by an earlier request.
    is_continuation: bool,
    first_events: Vec<u8>,
    upstreams: Vec<String>,
    /// The upstream that brought the first event, and what its connection tells of its start.
    begun_by: Option<(String, Acceptance)>,
    /// Version of that start; `None` while it is not proven.
    version: Option<String>,
    /// Whether the connection of an upstream has ended after the last event, so that there may be no further one.
    may_be_complete: bool,
    /// Whether the caller's response has begun.
    is_begun: bool,
    is_ended: bool,
    in_flight: Option<Rc<InFlightGuard>>,
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
    let mut relayed = Box::new(RelayedStream::new(call, last_event_id, in_flight));
    let mut server_error: Option<BufferedResponse> = None;
    let starts_until_ms = relayed.call.relay.now_ms() + MAX_PROOF_WAIT_MS;
    let problem = loop {
        let opened = match relayed.call.open(&mut relayed.retry_state, last_event_id).await {
            Ok(opened) => opened,
            Err(problem) => {
                // Other problems don't end with another start.
                let may_wait = server_error.is_none()
                    && matches!(problem.code, ErrorCode::NoUpstream | ErrorCode::UpstreamFailed);
                if may_wait
                    && relayed.call.await_starts(&mut relayed.retry_state, starts_until_ms).await
                {
                    continue;
                }
                break problem;
            }
        };
        let upstream = opened.attempt.placement.upstream.clone();
        let failure = if opened.response.status().is_success() {
            match relayed.begin(opened).await {
                Ok(()) => return Ok(StreamResponse::Stream(relayed)),
                Err(loss) => loss.detail().to_owned(),
            }
        } else {
            match buffered_response::read_response(&relayed.call, opened).await {
                Ok(buffered) => {
                    relayed.call.count_run();
                    return Ok(StreamResponse::Buffered(buffered));
                }
                Err(FetchError::ServerError(buffered)) => {
                    relayed.call.count_run();
                    let failure = format!("answered {}", buffered.status);
                    server_error = Some(buffered);
                    failure
                }
                Err(FetchError::Interrupted(detail)) => detail,
            }
        };
        relayed.retry_state.record_failure(upstream, failure);
        if !relayed.call.may_retry(&relayed.retry_state) {
            break relayed.call.failure_problem(&relayed.retry_state);
        }
    };
    let retry_state = std::mem::take(&mut relayed.retry_state);
    server_error.map(StreamResponse::Buffered).ok_or((retry_state, problem))
}

impl RelayedStream {
    fn new(call: Call, last_event_id: Option<u64>, in_flight: Rc<InFlightGuard>) -> Self {
        let version = call.origin.as_ref().map(|origin| origin.version.clone());
        Self {
            call,
            retry_state: RetryState { version: version.clone(), ..RetryState::default() },
            headers: HeaderMap::new(),
            status: 0,
            source: None,
            events: EventTracker::resume_after(last_event_id),
            is_continuation: last_event_id.is_some(),
            first_events: Vec::new(),
            upstreams: Vec::new(),
            begun_by: None,
            version,
            may_be_complete: false,
            is_begun: false,
            is_ended: false,
            in_flight: Some(in_flight),
        }
    }

    /// Waits for the first events of a response.
    async fn begin(&mut self, opened: OpenedResponse) -> Result<(), Loss> {
        self.events.drop_partial();
        let (head, source) = UpstreamSource::split(opened, &self.call);
        self.take_over(head, source);
        match self.next_step().await {
            StreamStep::Lost(loss) => {
                self.end_source(&loss);
                return Err(loss);
            }
            StreamStep::Events(events) => self.first_events = events,
            StreamStep::End => self.complete_source(),
        }
        self.is_begun = true;
        self.call.count_run();
        match &self.version {
            // A stream that goes on with another request's.
            Some(version) => self.call.record_origin(Some(version)),
            None => {
                self.settle_version();
                self.tell_beginning().await;
            }
        }
        self.log_begin();
        Ok(())
    }

    /// Looks which version began the stream, and tells other instances as soon as it is proven. From the first event
    /// on, only upstreams of this version may go on.
    fn settle_version(&mut self) {
        if self.version.is_some() || !self.is_begun {
            return;
        }
        let Some((upstream, accepted_by)) = &self.begun_by else { return };
        self.version = self.call.relay.version_of(upstream, accepted_by);
        self.call.record_origin(self.version.as_deref());
    }

    /// Tells other instances of a stream that must not be taken for one of the version that is listed, as that of its
    /// own start is not proven.
    async fn tell_beginning(&self) {
        let Some((upstream, accepted_by)) = &self.begun_by else { return };
        if self.version.is_none() {
            self.call.record_beginning(upstream, accepted_by).await;
        }
    }

    /// As [`settle_version`](Self::settle_version); waits, for as long as the stream can do without an upstream, until
    /// it is proven.
    async fn await_version(&mut self) -> Option<String> {
        let pause_ms = self.call.route.pause_target_ms.unwrap_or_default();
        let wait_ms = pause_ms.max(MAX_PROOF_WAIT_MS).min(self.call.remaining_ms());
        let until_ms = self.call.relay.now_ms() + wait_ms;
        loop {
            self.settle_version();
            let may_wait = self.call.route.repeat.allows_reexecution()
                && self.call.relay.now_ms() < until_ms
                && !self.is_version_unprovable();
            if self.version.is_some() || !may_wait {
                return self.version.clone();
            }
            sleep(SETTLE_INTERVAL).await;
        }
    }

    fn is_version_unprovable(&self) -> bool {
        let starts = self.call.relay.starts.lock();
        let begun_by = self.begun_by.as_ref();
        begun_by.is_some_and(|(upstream, accepted_by)| starts.is_unprovable(upstream, accepted_by))
    }

    /// The upstream that brings the stream now; empty after its end.
    pub fn upstream(&self) -> &str {
        self.source.as_ref().map(UpstreamSource::upstream).unwrap_or_default()
    }

    /// Reads on from this source. Before the first event, the response is that of its upstream.
    fn take_over(&mut self, head: http::response::Parts, source: UpstreamSource) {
        self.upstreams.push(source.upstream().to_owned());
        if !self.is_begun {
            self.status = head.status.as_u16();
            self.headers = head.headers;
            self.begun_by = Some((source.upstream().to_owned(), source.accepted_by()));
        }
        self.source = Some(source);
    }

    fn complete_source(&mut self) {
        if let Some(source) = self.source.take() {
            self.record_length(&source, true);
            source.complete(&self.call);
        }
    }

    /// Records the length of the response for the forecasts of later ones. That of a response whose beginning
    /// an earlier request has received is not known.
    fn record_length(&self, source: &UpstreamSource, is_complete: bool) {
        if let Some(work) = self.call.streamed_work().filter(|_| !self.is_continuation) {
            source.attempt.record_length(&work, self.events.returned_events(), is_complete);
        }
    }

    fn end_source(&mut self, loss: &Loss) {
        let Some(source) = self.source.take() else { return };
        if matches!(loss, Loss::Late) {
            self.record_length(&source, false);
        }
        if !source.is_carrier_broken() {
            self.retry_state.excluded.push(source.upstream().to_owned());
        }
        match loss {
            Loss::Broken(detail) | Loss::Unproven(detail) => source.fail_broken(&self.call, detail),
            Loss::Invalid(_) | Loss::Late => source.fail(&self.call, loss.detail()),
        }
    }

    /// Waits for the next complete events. When the upstream is silent for longer than expected, another one
    /// is tried beside it.
    async fn next_step(&mut self) -> StreamStep {
        loop {
            let idle_timeout_ms = self.idle_timeout_ms();
            let Some(source) = &mut self.source else { return StreamStep::End };
            let remaining_ms = self.call.remaining_ms();
            if remaining_ms == 0 {
                return StreamStep::Lost(Loss::Late);
            }
            let limit = Duration::from_millis(idle_timeout_ms.min(remaining_ms));
            match timeout(limit, source.read_events(&self.call, &mut self.events)).await {
                // Its framing shows that nothing was lost on the way.
                Ok(SourceStep::NoEvents) if self.may_be_complete => return StreamStep::End,
                Ok(step) => return step.into(),
                Err(_) if idle_timeout_ms >= remaining_ms => {
                    return StreamStep::Lost(Loss::Late);
                }
                Err(_) => {}
            }
            if let Some(step) = self.wait_beside_successor(idle_timeout_ms).await {
                return step;
            }
        }
    }

    /// Waits for the silent upstream and for one that takes over, whichever goes on first; `None` if another
    /// one has taken over and has brought nothing yet. The idle timeout counts from the last complete event:
    /// bytes alone are no progress, as a stalled upstream may send one now and then.
    async fn wait_beside_successor(&mut self, idle_ms: u64) -> Option<StreamStep> {
        let silent_since_ms = self.call.relay.now_ms().saturating_sub(idle_ms);
        let limit = Duration::from_millis(self.call.remaining_ms());
        if self.is_begun {
            self.retry_state.version = self.version.clone();
        }
        self.retry_state.may_have_run = true;
        let Some(source) = &mut self.source else { return Some(StreamStep::End) };
        source.record_silence(&self.call);
        let silent = source.upstream().to_owned();
        let excluded_before = self.retry_state.excluded.len();
        self.retry_state.excluded.push(silent.clone());
        let source_loss = SourceLoss::default();
        let search = SuccessorSearch {
            call: &self.call,
            events: self.events.clone(),
            headers: self.is_begun.then_some(&self.headers),
            source_loss: &source_loss,
        };
        let mut loss = None;
        let may_be_complete = self.may_be_complete;
        let found = timeout(limit, async {
            let reading = std::pin::pin!(source.read_events(&self.call, &mut self.events));
            let searching = std::pin::pin!(search.run(&mut self.retry_state));
            match select(reading, searching).await {
                Either::Right((successor, _)) => Ok(successor),
                Either::Left((step, searching)) => match StreamStep::from(step) {
                    // An upstream may have been found already.
                    StreamStep::Lost(lost) => {
                        let is_unproven_end = may_be_complete || matches!(lost, Loss::Unproven(_));
                        source_loss.record(self.call.relay.now_ms(), is_unproven_end);
                        loss = Some(lost);
                        Ok(searching.await)
                    }
                    step => Err(step),
                },
            }
        })
        .await;
        let (step, went_on) = match found {
            Err(_) => (Some(StreamStep::Lost(loss.unwrap_or(Loss::Late))), None),
            Ok(Err(step)) => {
                // Other upstreams may have recovered by the time that one is needed.
                self.retry_state.excluded.truncate(excluded_before);
                self.retry_state.failed_dials = 0;
                if let Some(source) = &self.source {
                    source.record_return(&self.call);
                }
                (Some(step), Some(silent.clone()))
            }
            Ok(Ok(None)) => (Some(StreamStep::Lost(loss.unwrap_or(Loss::Late))), None),
            Ok(Ok(Some(successor))) => {
                match &loss {
                    Some(loss) => self.end_source(loss),
                    // Closes its connection.
                    None => drop(self.source.take()),
                }
                let went_on = successor.source.upstream().to_owned();
                (self.continue_with(successor), Some(went_on))
            }
        };
        let event = "stream_hedged";
        let went_on = went_on.as_deref();
        self.call.log_hedged(event, &silent, silent_since_ms, went_on, &self.retry_state);
        step
    }

    /// Goes on with the successor; returns what it has brought already.
    fn continue_with(&mut self, successor: Successor) -> Option<StreamStep> {
        let Successor { head, source, events, step } = successor;
        self.events = events;
        self.take_over(head, source);
        step.map(StreamStep::from)
    }

    /// Time without a complete event after which another upstream is tried. A stream that can't be resumed
    /// elsewhere waits until its deadline.
    fn idle_timeout_ms(&self) -> u64 {
        let call = &self.call;
        if !self.can_resume() || !call.may_retry(&self.retry_state) {
            return u64::MAX;
        }
        let pause_ms = call
            .route
            .pause_target_ms
            .map_or(DEFAULT_IDLE_TIMEOUT_MS, |pause_ms| pause_ms * IDLE_TIMEOUT_PAUSES);
        match self.is_begun {
            true => pause_ms,
            false => pause_ms.max(MIN_FIRST_EVENT_IDLE_TIMEOUT_MS),
        }
    }

    /// Returns whether another upstream may go on. Without the id of an event, it would begin again.
    fn can_resume(&self) -> bool {
        let is_known = self.events.last_id().is_some() && self.version.is_some();
        self.call.route.repeat.allows_reexecution() && (!self.is_begun || is_known)
    }

    fn log_begin(&self) {
        let call = &self.call;
        let accepted_by = self.begun_by.as_ref().map(|(_, accepted_by)| accepted_by);
        call.relay.log.write("stream_begun", || {
            json!({
                "request": call.request_id, "upstream": self.upstreams.last(),
                "reported_start_ms": accepted_by.and_then(|known| known.reported_start_ms),
                "connection_age_ms": accepted_by
                    .map(|known| call.relay.now_ms().saturating_sub(known.dialled_at_ms)),
                "version": self.version,
            })
        });
    }

    /// Logs the end of the stream and counts its outcome.
    fn log_end(&self, outcome: &str) {
        let call = &self.call;
        call.relay.log.write("stream_ended", || {
            json!({
                "call": call.log_fields(), "outcome": outcome, "upstreams": self.upstreams,
                "last_event": self.events.last_id(), "version": self.version,
                "failure": self.retry_state.failure,
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
        if !self.first_events.is_empty() {
            return Some(Ok(Bytes::from(std::mem::take(&mut self.first_events))));
        }
        self.settle_version();
        loop {
            match self.next_step().await {
                StreamStep::Events(events) => {
                    self.may_be_complete = false;
                    return Some(Ok(Bytes::from(events)));
                }
                StreamStep::End => {
                    self.complete_source();
                    self.end("complete");
                    return None;
                }
                StreamStep::Lost(loss) => {
                    self.may_be_complete |= matches!(loss, Loss::Unproven(_));
                    self.end_source(&loss);
                    let resumed = self.resume_after(&loss).await;
                    match resumed {
                        Ok(Some(events)) => {
                            self.may_be_complete = false;
                            return Some(Ok(Bytes::from(events)));
                        }
                        Ok(None) => {}
                        Err(interrupted) => return Some(Err(interrupted)),
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

    /// Resumes at another upstream of the same version, after the last event sent to the caller. Returns the
    /// events that it has brought already.
    async fn resume_after(&mut self, loss: &Loss) -> Result<Option<Vec<u8>>, StreamInterrupted> {
        self.retry_state.may_have_run = true;
        self.retry_state.failure = Some(loss.detail().to_owned());
        self.events.drop_partial();
        let version = self.await_version().await;
        if self.can_resume() {
            self.retry_state.version = version;
            let source_loss = SourceLoss::default();
            source_loss.record(self.call.relay.now_ms(), self.may_be_complete);
            let search = SuccessorSearch {
                call: &self.call,
                events: self.events.clone(),
                headers: Some(&self.headers),
                source_loss: &source_loss,
            };
            if let Some(successor) = search.run(&mut self.retry_state).await {
                return match self.continue_with(successor) {
                    Some(StreamStep::Events(events)) => Ok(Some(events)),
                    Some(StreamStep::End) => {
                        self.complete_source();
                        Ok(None)
                    }
                    Some(StreamStep::Lost(_)) | None => Ok(None),
                };
            }
        }
        self.end("broken");
        Err(StreamInterrupted(loss.detail().to_owned()))
    }
}

impl Drop for RelayedStream {
    fn drop(&mut self) {
        if self.is_begun {
            self.end("caller_left");
        }
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
                unread_responses::hold_until_flushed(&relayed.call.relay, in_flight, connection, 0);
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
