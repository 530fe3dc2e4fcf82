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
use crate::call::{Call, Progress};
use crate::connections::UpstreamConnection;
use crate::events::EventTracker;
use crate::node::InFlightGuard;
use crate::whole::{self, Unfinished, WholeAnswer};

/// Silence after which a resumable stream is moved, as a multiple of the longest pause that is on
/// time: its answer is late by then whatever comes.
const SILENT_PAUSES: u64 = 3;
/// Silence of a resumable stream whose route states no pause.
const SILENCE_DEFAULT_MS: u64 = 2_000;
/// Silence after which a resumable stream is moved before its first event.
const FIRST_SILENCE_LEAST_MS: u64 = 1_500;

/// What a stream's caller gets.
pub enum StreamAnswer {
    /// The stream; its first events have come.
    Stream(Box<RelayedStream>),
    /// An answer that is no stream.
    Whole(WholeAnswer),
}

/// A stream that broke off; the caller must see that it is not complete.
#[derive(Debug, thiserror::Error)]
#[error("the stream broke off: {0}")]
pub struct BrokenStream(String);

enum Step {
    Events(Vec<u8>),
    End,
    Broken(String),
}

/// A stream on its way to its caller.
pub struct RelayedStream {
    call: Call,
    progress: Progress,
    /// The head of the first upstream's answer.
    pub headers: HeaderMap,
    /// Its status.
    pub status: u16,
    source: Option<Source>,
    events: EventTracker,
    first: Option<Vec<u8>>,
    upstreams: Vec<String>,
    is_ended: bool,
    _in_flight: InFlightGuard,
}

struct Source {
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
) -> Result<StreamAnswer, (Progress, Problem)> {
    let mut progress = Progress::default();
    let mut events = EventTracker::after(last_event_id);
    let mut failed: Option<WholeAnswer> = None;
    loop {
        let opened = match call.open(&mut progress, last_event_id).await {
            Ok(opened) => opened,
            Err(problem) => {
                return failed.map(StreamAnswer::Whole).ok_or((progress, problem));
            }
        };
        let upstream = opened.attempt.placement.upstream.clone();
        let start = wait_for_start(&call, &progress, opened, &mut events).await;
        if !matches!(start, Start::Broken(_)) {
            call.count_run();
        }
        match start {
            Start::Stream(started) => {
                return Ok(StreamAnswer::Stream(Box::new(RelayedStream {
                    call,
                    progress,
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
            Start::Whole(answer) => return Ok(StreamAnswer::Whole(answer)),
            Start::Failed(answer) => {
                progress.note_failure(upstream, format!("answered {}", answer.status));
                failed = Some(answer);
            }
            Start::Broken(detail) => {
                progress.note_failure(upstream, detail);
                events.drop_partial();
            }
        }
        if !call.may_send_again(&progress) {
            let problem = call.give_up(&progress);
            return failed.map(StreamAnswer::Whole).ok_or((progress, problem));
        }
    }
}

/// How an upstream's answer to a stream's call starts.
enum Start {
    Stream(Box<Started>),
    /// It is no stream.
    Whole(WholeAnswer),
    /// It tells a failure of the upstream; another one may do better.
    Failed(WholeAnswer),
    Broken(String),
}

struct Started {
    head: http::response::Parts,
    first: Vec<u8>,
    /// Absent if the stream has ended already.
    source: Option<Source>,
}

async fn wait_for_start(
    call: &Call,
    progress: &Progress,
    opened: Opened,
    events: &mut EventTracker,
) -> Start {
    if !opened.response.status().is_success() {
        return match whole::finish(call, opened).await {
            Ok(answer) => Start::Whole(answer),
            Err(Unfinished::Failed(answer)) => Start::Failed(answer),
            Err(Unfinished::Broken(detail)) => Start::Broken(detail),
        };
    }
    let (head, mut source) = split(opened);
    match next_step(call, progress, &mut source, events, true).await {
        Step::Broken(detail) => {
            source.fail(call, &detail);
            Start::Broken(detail)
        }
        Step::Events(first) => {
            source.attempt.note_first_byte();
            Start::Stream(Box::new(Started { head, first, source: Some(source) }))
        }
        Step::End => {
            source.attempt.note_first_byte();
            source.complete(call);
            Start::Stream(Box::new(Started { head, first: Vec::new(), source: None }))
        }
    }
}

fn split(opened: Opened) -> (http::response::Parts, Source) {
    let Opened { attempt, connection, response } = opened;
    let (head, body) = response.into_parts();
    (head, Source { attempt, connection, body })
}

impl Source {
    /// The upstream's answer is whole.
    fn complete(self, call: &Call) {
        call.connections.give_back(self.connection, call.relay.now_ms());
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
async fn next_step(
    call: &Call,
    progress: &Progress,
    source: &mut Source,
    events: &mut EventTracker,
    is_first: bool,
) -> Step {
    loop {
        let left_ms = call.left_ms();
        let limit_ms = silence_limit_ms(call, progress, is_first).min(left_ms);
        if limit_ms == 0 {
            return Step::Broken("the time is over".to_owned());
        }
        let limit = Duration::from_millis(limit_ms);
        let frame = match timeout(limit, source.body.frame()).await {
            Err(()) => return Step::Broken(format!("nothing came for {limit_ms} ms")),
            Ok(None) if events.has_partial() => {
                return Step::Broken("it ended within an event".to_owned());
            }
            Ok(None) => return Step::End,
            Ok(Some(Err(error))) => return Step::Broken(error.to_string()),
            Ok(Some(Ok(frame))) => frame,
        };
        if let Ok(data) = frame.into_data() {
            let whole = events.push(&data);
            if !whole.is_empty() {
                return Step::Events(whole);
            }
        }
    }
}

/// A stream that can't go on elsewhere is waited for until it is due.
fn silence_limit_ms(call: &Call, progress: &Progress, is_first: bool) -> u64 {
    let can_move =
        call.route.repeat.allows_reexecution() && progress.sent < call.route.attempt_limit;
    if !can_move {
        return u64::MAX;
    }
    let pause_ms =
        call.route.pause_target_ms.map_or(SILENCE_DEFAULT_MS, |pause_ms| pause_ms * SILENT_PAUSES);
    if is_first { pause_ms.max(FIRST_SILENCE_LEAST_MS) } else { pause_ms }
}

impl RelayedStream {
    /// The call's description with what became of it.
    fn log_end(&self, outcome: &str) {
        let call = &self.call;
        call.relay.log.write("stream_ended", || {
            json!({
                "call": call.describe(), "outcome": outcome, "upstreams": self.upstreams,
                "last_event": self.events.last_id(), "failure": self.progress.failure,
                "took_ms": call.relay.now_ms().saturating_sub(call.arrived_at_ms),
            })
        });
        metrics::counter!("hickorycourse_streams_total", "outcome" => outcome.to_owned())
            .increment(1);
    }

    /// The next bytes for the caller; nothing after the end.
    async fn next(&mut self) -> Option<Result<Bytes, BrokenStream>> {
        if let Some(first) = self.first.take().filter(|first| !first.is_empty()) {
            return Some(Ok(Bytes::from(first)));
        }
        loop {
            let Some(source) = &mut self.source else {
                self.end("complete");
                return None;
            };
            match next_step(&self.call, &self.progress, source, &mut self.events, false).await {
                Step::Events(events) => return Some(Ok(Bytes::from(events))),
                Step::End => {
                    if let Some(source) = self.source.take() {
                        source.complete(&self.call);
                    }
                }
                Step::Broken(detail) => {
                    if let Some(source) = self.source.take() {
                        self.progress.excluded.push(source.attempt.placement.upstream.clone());
                        source.fail(&self.call, &detail);
                    }
                    self.progress.may_have_run = true;
                    self.progress.failure = Some(detail.clone());
                    if !self.resume().await {
                        self.end("broken");
                        return Some(Err(BrokenStream(detail)));
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
        while self.call.may_send_again(&self.progress) {
            let opened = match self.call.open(&mut self.progress, self.events.last_id()).await {
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
            self.progress.excluded.push(upstream);
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
) -> impl Stream<Item = Result<ntex::util::Bytes, BrokenStream>> {
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
