//! The upstream's side of a relayed stream.

use hickorycourse_connections::{Carrier, ResponseBody, UpstreamConnection, ends_with_connection};
use hickorycourse_facts::PaceWindow;
use hickorycourse_placement::AttemptOutcome;
use hickorycourse_starts::Acceptance;
use http::HeaderMap;
use http::header::CONTENT_TYPE;
use http_body_util::BodyExt;
use serde_json::json;

use crate::attempt::{Attempt, OpenedResponse};
use crate::call::Call;
use crate::events::EventTracker;
use crate::liveness::LivenessCheck;
use crate::upstream_reports::acceptance;

/// What an upstream's stream brings next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SourceStep {
    /// Complete events.
    Events(Vec<u8>),
    /// Its proper end.
    End,
    /// Its proper end, where events had to come before.
    NoEvents,
    /// The connection broke, or the stream ended within an event.
    Broken(String),
    /// The connection ended after an event, and nothing shows that this is the end of the stream.
    Unproven(String),
    /// Events that must not be passed on.
    Invalid(String),
}

/// A stream of one upstream. Dropping it closes its connection.
pub struct UpstreamSource {
    /// The attempt at the upstream.
    pub attempt: Attempt,
    connection: UpstreamConnection,
    body: ResponseBody,
    is_framed: bool,
    /// Tells whether the end of the connection is that of the stream; absent if the stream has an end of its own.
    liveness: Option<LivenessCheck>,
    /// Whether an end without any events is taken for a broken connection: an upstream that ends after
    /// the head of a response without a length or chunks leaves the same, and so may one that does not know
    /// the stream that it is to resume.
    must_have_events: bool,
    has_events: bool,
    pace: PaceWindow,
}

impl UpstreamSource {
    /// Returns the head of the response and the source of its events.
    pub fn split(opened: OpenedResponse, call: &Call) -> (http::response::Parts, Self) {
        let OpenedResponse { mut attempt, connection, response } = opened;
        let is_framed = !ends_with_connection(&response);
        let (head, body) = response.into_parts();
        let must_have_events = !is_framed;
        let liveness = (!is_framed).then(|| LivenessCheck::new(call, &attempt, &connection));
        attempt.release_witness();
        let source = Self {
            attempt,
            connection,
            body,
            is_framed,
            liveness,
            must_have_events,
            has_events: false,
            pace: PaceWindow::default(),
        };
        (head, source)
    }

    /// Returns the source of a stream that is resumed: an end without events is not its end.
    pub fn into_resumed(self) -> Self {
        Self { must_have_events: true, ..self }
    }

    /// Id of the upstream.
    pub fn upstream(&self) -> &str {
        &self.attempt.placement.upstream
    }

    /// Returns whether the peer that carries the connection has failed, rather than the upstream.
    pub fn is_carrier_broken(&self) -> bool {
        self.connection.carrier().is_some_and(Carrier::is_broken)
    }

    /// Records that the stream is silent for longer than expected. The own link may be the cause.
    pub fn record_silence(&mut self, call: &Call) {
        let target = call.dial_target(&self.attempt.placement);
        let is_direct = self.connection.carrier().is_none();
        if !(is_direct && call.relay.record_direct_silence(&target)) {
            self.attempt.record_silence();
        }
    }

    /// Records that the stream goes on after a silence.
    pub fn record_return(&self, call: &Call) {
        let target = call.dial_target(&self.attempt.placement);
        call.relay.record_direct_response(&target, &self.connection);
    }

    /// What the connection tells of the start of the upstream that has accepted it.
    pub fn accepted_by(&self) -> Acceptance {
        acceptance(&self.connection)
    }

    /// Waits for complete events. Nothing is lost if the wait is cancelled: what has arrived is kept in
    /// `events`.
    pub async fn read_events(&mut self, call: &Call, events: &mut EventTracker) -> SourceStep {
        self.pace.begin_wait(call.relay.now_ms());
        loop {
            if events.has_other_response() {
                let detail = "another response follows the events";
                return SourceStep::Unproven(detail.to_owned());
            }
            let frame = match self.body.frame().await {
                None if events.has_partial() => {
                    let detail = "the upstream ended the stream within an event";
                    return SourceStep::Broken(detail.to_owned());
                }
                None if self.must_have_events && self.is_framed => return SourceStep::NoEvents,
                None if self.must_have_events => {
                    let detail = "the connection ended before the first event";
                    return SourceStep::Broken(detail.to_owned());
                }
                None => return self.confirm_end(call).await,
                Some(Err(error)) => return SourceStep::Broken(error.to_string()),
                Some(Ok(frame)) => frame,
            };
            let Ok(data) = frame.into_data() else { continue };
            let events_before = events.returned_events();
            let pushed = match self.is_framed {
                true => events.push(&data),
                false => events.push_unframed(&data),
            };
            match pushed {
                Ok(complete_events) if complete_events.is_empty() => {}
                Ok(complete_events) => {
                    // Comments are no events.
                    self.must_have_events &= events.is_resuming();
                    self.record_events();
                    self.record_pace(call, events.returned_events() - events_before);
                    return SourceStep::Events(complete_events);
                }
                Err(error) => return SourceStep::Invalid(error.to_string()),
            }
        }
    }

    /// Returns the end of a stream that has ended in order. Where its end is that of the connection, an upstream that
    /// has ended in its midst leaves the same.
    async fn confirm_end(&self, call: &Call) -> SourceStep {
        match &self.liveness {
            Some(liveness) if !liveness.is_complete(call).await => {
                SourceStep::Unproven("the upstream ended with the connection".to_owned())
            }
            _ => SourceStep::End,
        }
    }

    fn record_events(&mut self) {
        match std::mem::replace(&mut self.has_events, true) {
            true => self.attempt.record_progress(),
            false => {
                self.attempt.record_response();
                self.attempt.record_first_byte();
            }
        }
    }

    fn record_pace(&mut self, call: &Call, events: u64) {
        if let Some(pace_ms) = self.pace.record(events, call.relay.now_ms()) {
            self.attempt.record_event_pace(pace_ms);
        }
    }

    /// Returns the connection to the pool after a complete response.
    pub fn complete(mut self, call: &Call) {
        self.attempt.record_first_byte();
        call.connections.check_in(self.connection, call.relay.now_ms());
        self.attempt.end(AttemptOutcome::Answered);
    }

    /// Ends an attempt whose stream is not read on.
    pub fn fail(self, call: &Call, detail: &str) {
        self.log_failure(call, detail);
        self.attempt.end(AttemptOutcome::Failed);
    }

    /// As [`fail`](Self::fail), for a connection that broke: the upstream may have ended.
    pub fn fail_broken(self, call: &Call, detail: &str) {
        self.log_failure(call, detail);
        call.record_broken(self.attempt, &self.connection);
    }

    fn log_failure(&self, call: &Call, detail: &str) {
        let upstream = &self.attempt.placement.upstream;
        call.relay.log.write(
            "stream_broken",
            || json!({ "request": call.request_id, "upstream": upstream, "failure": detail }),
        );
    }
}

/// Returns whether two responses have the same media type, whatever its parameters.
pub fn is_same_type(one: &HeaderMap, other: &HeaderMap) -> bool {
    let media_type = |headers: &HeaderMap| {
        let value = headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
        let essence = value.and_then(|value| value.split(';').next());
        essence.map(|essence| essence.trim().to_ascii_lowercase())
    };
    media_type(one) == media_type(other)
}
