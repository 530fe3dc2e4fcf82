//! A call: a caller's request with its route, sent to upstreams in one or more attempts.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hickorycourse_codes::{ErrorCode, Problem};
use hickorycourse_origins::{StreamBeginning, StreamKey, StreamOrigin};
use hickorycourse_placement::{
    AttemptOutcome, Placement, PlacementRequest, PromptPart, StreamedWork,
};
use hickorycourse_quarantine::RequestItems;
use hickorycourse_routes::{Access, Route};
use hickorycourse_starts::Acceptance;
use http::{HeaderMap, Method, Request, Response};
use http_body_util::Full;
use hyper::body::Bytes;
use serde_json::{Value, json};
use xxhash_rust::xxh3::xxh3_64;

use crate::adapter::{ResponseMetadata, TokenCounts, UpstreamRequestMetadata};
use crate::attempt::{Attempt, OpenedResponse};
use crate::in_flight::InFlightGuard;
use crate::state::Relay;
use crate::unlisted_starts::UnidentifiedUpstream;
use crate::upstream_reports::{ConnectError, acceptance};
use crate::witness::WitnessTable;
use hickorycourse_connections::{
    Carrier, ConnectionPool, ExchangeError, ResponseBody, UpstreamConnection,
};

/// Longest idle time of a pooled connection that is reused for a request that may run at most once.
/// If the upstream closes the connection while the request is in transit, it is unknown whether the
/// request ran.
const MAX_IDLE_NON_IDEMPOTENT_MS: u64 = 1_000;
/// Response timeout of an idempotent call, after which another upstream is tried beside, as a
/// multiple of the forecast time to the first byte.
const RESPONSE_TIMEOUT_FORECASTS: u64 = 3;
/// Shortest response timeout; the delays of a busy upstream are smaller.
const MIN_RESPONSE_TIMEOUT_MS: u64 = 250;
/// Shortest response timeout for streams of language-model engines, whose first event waits for the
/// prefill of other prompts.
const MIN_STREAM_RESPONSE_TIMEOUT_MS: u64 = 1_500;
/// `Retry-After` if no better estimate is known.
pub const DEFAULT_RETRY_AFTER_MS: u64 = 500;

/// A caller's request with its route and metadata.
pub struct Call {
    /// State that all parts of the process share.
    pub relay: Arc<Relay>,
    /// Connection pool of this thread.
    pub connections: ConnectionPool,
    /// Witnesses of this thread.
    pub witnesses: WitnessTable,
    /// Identifier that the caller gave this request.
    pub request_id: String,
    /// Identifies the stream that this request begins or resumes.
    pub stream_key: StreamKey,
    /// What began the stream that this request resumes.
    pub origin: Option<StreamOrigin>,
    /// The route at the time of arrival.
    pub route: Route,
    /// The service that the route selects for this request.
    pub service: String,
    /// The API key in the request.
    pub key: Option<String>,
    /// The caller's organisation; absent on routes without keys.
    pub organisation: Option<String>,
    /// Urgency rank; 0 is the most urgent.
    pub urgency: u8,
    /// HTTP method.
    pub method: Method,
    /// Path and query, forwarded unchanged.
    pub path_and_query: String,
    /// The caller's headers without hop-by-hop headers.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
    /// Parts of the prompt, in order.
    pub parts: Vec<PromptPart>,
    /// Hashes of the parts without the last one, which only this request has.
    pub shared_parts: Rc<[u64]>,
    /// Identifies the request whenever the caller sends it: its host, method, path and query, caller, prompt
    /// and body.
    pub request_hash: u64,
    /// Token counts; 0 if not stated.
    pub tokens: TokenCounts,
    /// The caller's estimate of the number of output tokens; `None` if not stated.
    pub length_hint: Option<u64>,
    /// Time of arrival.
    pub arrived_at_ms: u64,
    /// Deadline of the response.
    pub deadline_at_ms: u64,
    /// Keeps the request in flight.
    pub in_flight: Rc<InFlightGuard>,
    /// Whether this request has been counted in the usage. A request counts once, even if it is
    /// retried at another upstream or fails.
    pub is_run_counted: Cell<bool>,
    /// Attempts that broke before their answer was well begun, as the upstream ended.
    pub broken_beginnings: Cell<u32>,
    /// Whether the connection of one of its attempts has broken; the own links may be the cause.
    pub has_broken: Cell<bool>,
}

/// Attempts of a call so far, which determine whether it may be retried and where.
#[derive(Clone, Debug, Default)]
pub struct RetryState {
    /// Attempts that were sent to an upstream.
    pub sent_attempts: u32,
    /// Upstreams that are not tried again.
    pub excluded: Vec<String>,
    /// Those of them whose present start was not known yet; they may be tried again later.
    pub unidentified: Vec<UnidentifiedUpstream>,
    /// Version of the upstreams that may be tried; `None` for any.
    pub version: Option<String>,
    /// Whether an upstream may have run the request.
    pub may_have_run: bool,
    /// Connections that could not be opened or used.
    pub failed_dials: u32,
    /// The latest failure, for the log.
    pub failure: Option<String>,
}

/// Why no attempt has begun.
pub(crate) enum BeginError {
    /// The call may not be sent anywhere.
    Rejected(Problem),
    /// The upstream could not be connected to, or has withdrawn.
    NotConnected { upstream: String, detail: String },
    /// The upstream's present start, or its version, is not known yet.
    NotIdentified { upstream: UnidentifiedUpstream, detail: String },
}

impl RetryState {
    /// Records the failure of an upstream that may have run the request.
    pub fn record_failure(&mut self, upstream: String, failure: String) {
        self.may_have_run = true;
        self.excluded.push(upstream);
        self.failure = Some(failure);
    }
}

impl Call {
    /// Returns the request for the placement table, with the upstreams that may be tried.
    pub fn placement_request<'a>(&'a self, retry_state: &'a RetryState) -> PlacementRequest<'a> {
        PlacementRequest {
            parts: &self.parts,
            prompt_tokens: self.tokens.prompt,
            urgency: self.urgency,
            seed: xxh3_64(self.request_id.as_bytes()),
            excluded: &retry_state.excluded,
            version: retry_state.version.as_deref(),
            streamed: self.streamed_work(),
        }
    }

    /// Returns what the end of the response depends on; `None` if it is no stream.
    pub fn streamed_work(&self) -> Option<StreamedWork> {
        self.route.repeat.is_stream().then(|| StreamedWork {
            route: xxh3_64(self.route.name.as_bytes()),
            hint_tokens: self.length_hint,
            left_ms: self.remaining_ms(),
        })
    }

    /// Returns what is looked at when an upstream ends under this call.
    pub fn items(&self) -> RequestItems<'_> {
        RequestItems { request: Some(self.request_hash), parts: &self.shared_parts }
    }

    /// Records the version of the upstream that has brought the first event of a stream that may be resumed.
    pub fn record_origin(&self, version: Option<&str>) {
        let Some(version) = version.filter(|_| self.route.repeat.allows_reexecution()) else {
            return;
        };
        let origin = StreamOrigin { service: self.service.clone(), version: version.to_owned() };
        self.relay.record_stream_origin(self.stream_key, &origin, self.route.timeout_ms);
    }

    /// Records where a stream that may be resumed began, while the version of that start is not known.
    pub async fn record_beginning(&self, upstream: &str, accepted_by: &Acceptance) {
        if !self.route.repeat.allows_reexecution() {
            return;
        }
        let started_at_ms = accepted_by.reported_start_ms;
        let presumed_start_ms = match started_at_ms {
            Some(_) => None,
            None => self.relay.starts.lock().presumed_start_ms(upstream, accepted_by),
        };
        let (service, upstream) = (self.service.clone(), upstream.to_owned());
        let beginning = StreamBeginning { service, upstream, started_at_ms, presumed_start_ms };
        self.relay.record_stream_beginning(self.stream_key, &beginning, self.route.timeout_ms);
        if started_at_ms.is_some() {
            self.relay.mark_unknown_version(&self.service).await;
        }
    }

    /// Ends an attempt whose connection broke. The end of a carrying peer is not that of the upstream.
    pub fn record_broken(&self, attempt: Attempt, connection: &UpstreamConnection) {
        if connection.carrier().is_some_and(Carrier::is_broken) {
            attempt.end(AttemptOutcome::Cancelled);
            return;
        }
        self.has_broken.set(true);
        self.record_break(&attempt.placement.upstream);
        let broken = u32::from(attempt.end_broken());
        self.broken_beginnings.set(self.broken_beginnings.get() + broken);
    }

    /// Records that a connection has broken: its upstream may have started again.
    fn record_break(&self, upstream: &str) {
        self.relay.starts.lock().record_break(upstream, self.relay.now_ms());
    }

    /// Milliseconds until the deadline.
    pub fn remaining_ms(&self) -> u64 {
        self.deadline_at_ms.saturating_sub(self.relay.now_ms())
    }

    /// Returns whether the attempt limit and the route's retry semantics permit another attempt.
    pub fn may_retry(&self, retry_state: &RetryState) -> bool {
        retry_state.sent_attempts < self.route.attempt_limit
            && self.may_repeat_beginning()
            && (self.route.repeat.allows_reexecution() || !retry_state.may_have_run)
    }

    /// Returns whether the request may be sent again although upstreams have ended under it: once, and not
    /// while it or one of its parts is suspected of that.
    fn may_repeat_beginning(&self) -> bool {
        match self.broken_beginnings.get() {
            0 => true,
            1 => !self.relay.quarantine.lock().is_suspected(self.items()),
            _ => false,
        }
    }

    /// Checks the access again, as the key or the route may have been revoked since the request
    /// arrived.
    fn recheck_access(&self, retry_state: &RetryState) -> Result<(), Problem> {
        let relay = &self.relay;
        // The status of a rejection guarantees the caller that nothing has run.
        let refuse = |code: ErrorCode| match retry_state.may_have_run {
            true => self.failure_problem(retry_state),
            false => Problem::new(code).with_retry_after_ms(DEFAULT_RETRY_AFTER_MS),
        };
        let Some(table) = relay.route_table() else {
            return Err(refuse(ErrorCode::SettingsMissing));
        };
        relay.check_quarantine(self.items()).map_err(|problem| match retry_state.may_have_run {
            true => self.failure_problem(retry_state),
            false => problem,
        })?;
        if self.organisation.is_none() {
            return Ok(());
        }
        if !relay.is_document_fresh(relay.now_ms()) {
            return Err(refuse(ErrorCode::KeysUnproven));
        }
        match table.check_access(&self.route, self.key.as_deref()) {
            Access::Organisation(_) => Ok(()),
            Access::Open | Access::Denied => Err(refuse(ErrorCode::UnknownKey)),
        }
    }

    /// Begins an attempt and connects to its upstream.
    ///
    /// # Errors
    /// No attempt may begin, or there is no connection.
    pub(crate) async fn begin(
        &self,
        retry_state: &RetryState,
    ) -> Result<(Attempt, UpstreamConnection), BeginError> {
        self.recheck_access(retry_state).map_err(BeginError::Rejected)?;
        let attempt = self.place(retry_state).await.map_err(BeginError::Rejected)?;
        let upstream = attempt.placement.upstream.clone();
        let max_idle_ms = match self.route.repeat.allows_reexecution() {
            true => u64::MAX,
            false => MAX_IDLE_NON_IDEMPOTENT_MS,
        };
        let target = self.dial_target(&attempt.placement);
        let listed = self.relay.listed_start(&upstream);
        let connected = self.connect_to_start(&target, &attempt, max_idle_ms, retry_state).await;
        let connection = match connected {
            Ok(connection) => connection,
            Err(error) => {
                attempt.end(error.outcome());
                let detail = error.to_string();
                let (listed, failed_dials) = match error {
                    ConnectError::UnknownVersion { is_reported } => {
                        (listed.filter(|_| is_reported), 0)
                    }
                    ConnectError::OtherUpstream if retry_state.version.is_some() => (listed, 1),
                    _ => return Err(BeginError::NotConnected { upstream, detail }),
                };
                let upstream = UnidentifiedUpstream { upstream, listed, failed_dials };
                return Err(BeginError::NotIdentified { upstream, detail });
            }
        };
        let mut attempt = attempt;
        attempt.record_start(connection.reported_start_ms());
        attempt.record_witness(self.open_witness(&target, &connection).await);
        attempt.record_carried_witness(self.open_carried_witness(&target, &connection).await);
        // The upstream may have started to leave while the connection was opened.
        if !attempt.is_open() {
            let detail = "the upstream withdrew while the connection was opened".to_owned();
            return Err(BeginError::NotConnected { upstream, detail });
        }
        Ok((attempt, connection))
    }

    /// Sends the request and waits for the head of the response until the deadline.
    pub(crate) async fn send(
        &self,
        mut connection: UpstreamConnection,
        request: Request<Full<Bytes>>,
    ) -> (UpstreamConnection, Result<Response<ResponseBody>, ExchangeError>) {
        let limit = Duration::from_millis(self.remaining_ms());
        let guard = CancelledRunGuard::new(self);
        let result = connection.send(request, limit).await;
        guard.disarm();
        (connection, result)
    }

    /// Classifies the result of an attempt that was sent.
    ///
    /// # Errors
    /// The reason for which it has no response.
    pub(crate) fn conclude(
        &self,
        mut attempt: Attempt,
        connection: UpstreamConnection,
        result: Result<Response<ResponseBody>, ExchangeError>,
        retry_state: &mut RetryState,
    ) -> Result<OpenedResponse, String> {
        let upstream = attempt.placement.upstream.clone();
        let target = self.dial_target(&attempt.placement);
        match result {
            Ok(response) => {
                attempt.record_response();
                self.relay.record_direct_response(&target, &connection);
                let status = response.status().as_u16();
                let metadata = self.relay.protocol.read_response_head(status, response.headers());
                self.classify_response(attempt, connection, response, metadata, retry_state)
            }
            Err(error) => {
                self.log_failure(&upstream, &error.to_string(), retry_state);
                if !connection.carrier().is_some_and(Carrier::is_broken) {
                    retry_state.excluded.push(upstream);
                }
                let outcome = match &error {
                    ExchangeError::NotSent(_) => {
                        self.relay.record_broken_link(&target, &connection);
                        attempt.record_not_sent();
                        retry_state.sent_attempts -= 1;
                        retry_state.failed_dials += 1;
                        Some(AttemptOutcome::Cancelled)
                    }
                    ExchangeError::TimedOut(_) => {
                        retry_state.may_have_run = true;
                        let is_link_cut = connection.carrier().is_none()
                            && self.relay.record_direct_silence(&target);
                        Some(match is_link_cut {
                            true => AttemptOutcome::Cancelled,
                            false => AttemptOutcome::Silent,
                        })
                    }
                    ExchangeError::Interrupted(_) => {
                        retry_state.may_have_run = true;
                        self.record_break(&attempt.placement.upstream);
                        let is_link_cut = self.relay.record_broken_link(&target, &connection);
                        is_link_cut.then_some(AttemptOutcome::Cancelled)
                    }
                    ExchangeError::InvalidResponse(_) => {
                        retry_state.may_have_run = true;
                        None
                    }
                };
                if retry_state.may_have_run {
                    self.count_uncertain_run();
                }
                match outcome {
                    Some(outcome) => attempt.end(outcome),
                    None => self.record_broken(attempt, &connection),
                }
                Err(error.to_string())
            }
        }
    }

    /// Classifies a response by its head: a response to this call, a rejection of a call that has
    /// not run, or an invalid response.
    fn classify_response(
        &self,
        attempt: Attempt,
        connection: UpstreamConnection,
        response: Response<ResponseBody>,
        metadata: ResponseMetadata,
        retry_state: &mut RetryState,
    ) -> Result<OpenedResponse, String> {
        let upstream = attempt.placement.upstream.clone();
        let status = response.status().as_u16();
        let is_own = metadata.request_id.as_deref() == Some(self.request_id.as_str());
        // A rejection need not name the request. On a connection that has been used before, one that does
        // not may belong to an earlier request.
        let is_rejection = metadata.is_not_run
            && (is_own || (metadata.request_id.is_none() && !connection.is_reused()));
        if is_own {
            attempt.record_answer_of_start(&acceptance(&connection));
        }
        if is_own || is_rejection {
            attempt.record_metadata(&metadata);
            attempt.record_limits(&metadata.limit, &metadata.tolerance);
        }
        if is_rejection {
            let failure = format!("refused with {status}");
            self.log_failure(&upstream, &failure, retry_state);
            retry_state.excluded.push(upstream);
            attempt.end(AttemptOutcome::Refused);
            return Err(failure);
        }
        if !is_own {
            let failure = "the response carries the id of another request, or none".to_owned();
            self.log_failure(&upstream, &failure, retry_state);
            retry_state.may_have_run = true;
            retry_state.excluded.push(upstream);
            attempt.end(AttemptOutcome::Failed);
            return Err(failure);
        }
        Ok(OpenedResponse { attempt, connection, response })
    }

    /// Returns the request for the upstream of a placement.
    pub(crate) fn make_request(
        &self,
        placement: &Placement,
        last_event_id: Option<u64>,
    ) -> Request<Full<Bytes>> {
        let mut headers = self.headers.clone();
        let metadata = UpstreamRequestMetadata {
            deadline_ms: self.remaining_ms(),
            upstream: &placement.upstream,
            organisation: self.organisation.as_deref(),
            urgency: self.urgency,
            is_engine: self.route.has_prompt_parts,
            last_event_id,
        };
        self.relay.protocol.write_upstream_headers(&metadata, &mut headers);
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        if let Ok(uri) = self.path_and_query.parse() {
            *request.uri_mut() = uri;
        }
        *request.headers_mut() = headers;
        request
    }

    /// Time without the head of a response after which a further attempt begins. A call that can't be
    /// retried waits until its deadline.
    pub(crate) fn response_timeout_ms(
        &self,
        placement: &Placement,
        retry_state: &RetryState,
    ) -> u64 {
        let remaining_ms = self.remaining_ms();
        let is_last = retry_state.sent_attempts + 1 >= self.route.attempt_limit;
        if is_last || !self.route.repeat.allows_reexecution() {
            return remaining_ms;
        }
        let min_timeout_ms = match self.route.repeat.is_stream() {
            true => MIN_STREAM_RESPONSE_TIMEOUT_MS,
            false => MIN_RESPONSE_TIMEOUT_MS,
        };
        remaining_ms.min((placement.first_byte_ms * RESPONSE_TIMEOUT_FORECASTS).max(min_timeout_ms))
    }

    /// Counts the request in the usage, once, when an upstream has started to run it.
    pub fn count_run(&self) {
        if self.is_run_counted.replace(true) {
            return;
        }
        if let Some(organisation) = &self.organisation {
            self.relay.record_run(organisation);
        }
    }

    /// Counts a request whose outcome is unknown. Without a response, it has most likely run; only a
    /// stream without a first event has not started, and is not counted.
    fn count_uncertain_run(&self) {
        if !self.route.repeat.is_stream() {
            self.count_run();
        }
    }

    fn log_failure(&self, upstream: &str, failure: &str, retry_state: &RetryState) {
        self.relay.log.write("attempt_failed", || {
            json!({
                "request": self.request_id, "route": self.route.name, "upstream": upstream,
                "attempt": retry_state.sent_attempts, "failure": failure,
            })
        });
    }

    /// Returns the problem for the caller when no further attempt is possible.
    pub fn failure_problem(&self, retry_state: &RetryState) -> Problem {
        if !retry_state.may_have_run {
            let problem = Problem::new(ErrorCode::NoUpstream);
            return problem.with_retry_after_ms(DEFAULT_RETRY_AFTER_MS);
        }
        if self.remaining_ms() == 0 {
            return Problem::new(ErrorCode::UpstreamTimeout);
        }
        Problem::new(ErrorCode::UpstreamFailed)
    }

    /// Returns the problem for the caller when no upstream accepts the request. `slot_ms` is the time until
    /// an upstream that is full is expected to have a slot for this caller, `permit_ms` that until a limited
    /// one has a permit, `backoff_ms` that until one that has requested a backoff may be used again.
    pub fn unavailable_problem(
        &self,
        retry_state: &RetryState,
        slot_ms: Option<u64>,
        permit_ms: Option<u64>,
        backoff_ms: Option<u64>,
    ) -> Problem {
        let problem = self.failure_problem(retry_state);
        let backoff_wait_ms = backoff_ms.map(|wait_ms| wait_ms.max(DEFAULT_RETRY_AFTER_MS));
        let waits_ms = slot_ms.or(permit_ms).or(backoff_wait_ms);
        let Some(retry_after_ms) = waits_ms.filter(|_| !retry_state.may_have_run) else {
            return problem;
        };
        self.relay.log.write("refused", || {
            json!({
                "request": self.request_id, "service": self.service,
                "slot_ms": slot_ms, "permit_ms": permit_ms, "backoff_ms": backoff_ms,
                "retry_after_ms": retry_after_ms,
            })
        });
        problem.with_retry_after_ms(retry_after_ms)
    }

    /// Returns the problem for the caller when the deadline has passed.
    pub(crate) fn deadline_problem(&self, retry_state: &RetryState) -> Problem {
        match retry_state.may_have_run {
            true => Problem::new(ErrorCode::UpstreamTimeout),
            false => Problem::new(ErrorCode::NoTimeLeft),
        }
    }

    /// Returns the fields that identify the call in log events.
    pub fn log_fields(&self) -> Value {
        json!({
            "request": self.request_id, "route": self.route.name, "service": self.service,
            "organisation": self.organisation,
        })
    }
}

/// Calls [`Call::count_uncertain_run`] if the caller disconnects while an upstream handles the call.
struct CancelledRunGuard<'a> {
    call: &'a Call,
    is_armed: bool,
}

impl<'a> CancelledRunGuard<'a> {
    fn new(call: &'a Call) -> Self {
        Self { call, is_armed: true }
    }

    fn disarm(mut self) {
        self.is_armed = false;
    }
}

impl Drop for CancelledRunGuard<'_> {
    fn drop(&mut self) {
        if self.is_armed {
            self.call.count_uncertain_run();
        }
    }
}
