//! One attempt of a caller, and its attempts at upstreams.

use std::cell::Cell;
use std::sync::Arc;
use std::time::Duration;

use hickorycourse_codes::{ErrorCode, Problem};
use hickorycourse_placement::{Admission, AttemptOutcome, Placement, PlacementRequest, PromptPart};
use hickorycourse_routes::{Access, Route};
use http::{HeaderMap, Method, Request, Response};
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use serde_json::{Value, json};

use crate::adapter::{ResponseMetadata, TokenCounts, UpstreamRequestMetadata};
use crate::attempt::{Attempt, Opened};
use crate::connections::{ConnectionPool, ExchangeError, UpstreamConnection};
use crate::node::{Relay, SharedPlacementTable};

/// Idle time up to which a kept connection carries a request that may run only once: a close that
/// crosses the request would leave open whether it ran.
const MAX_IDLE_NON_IDEMPOTENT_MS: u64 = 1_000;
/// Connections that may fail to open before the call is given up.
const MAX_FAILED_DIALS: u32 = 3;
/// Silence after which a repeatable call is tried elsewhere, as a multiple of the forecast.
const RESPONSE_TIMEOUT_FORECASTS: u64 = 3;
/// Shortest silence that counts; below it lie delays of a busy upstream.
const MIN_RESPONSE_TIMEOUT_MS: u64 = 250;
/// Shortest silence that counts at a model engine, whose first event waits for others' prompts.
const MIN_STREAM_RESPONSE_TIMEOUT_MS: u64 = 1_500;
/// When to come back if nothing better is known.
pub const DEFAULT_RETRY_AFTER_MS: u64 = 500;

/// A caller's request with all that is known of it.
pub struct Call {
    /// What all parts share.
    pub relay: Arc<Relay>,
    /// Connections of this thread.
    pub connections: ConnectionPool,
    /// Names the caller's attempt.
    pub request_id: String,
    /// Its route when it came.
    pub route: Route,
    /// The service that takes it.
    pub service: String,
    /// The key that it came with.
    pub key: Option<String>,
    /// The caller's organisation.
    pub organisation: Option<String>,
    /// Rank; 0 is the most urgent.
    pub urgency: u8,
    /// The method.
    pub method: Method,
    /// The path and query.
    pub path_and_query: String,
    /// The caller's headers that are passed on.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The prompt's parts.
    pub parts: Vec<PromptPart>,
    /// Its tokens.
    pub tokens: TokenCounts,
    /// When it came.
    pub arrived_at_ms: u64,
    /// When its answer is due at the latest.
    pub deadline_at_ms: u64,
    /// Whether a run of it has been counted. Usage counts requests: one that runs again elsewhere,
    /// or fails, is one request all the same.
    pub is_run_counted: Cell<bool>,
}

/// What has become of a call so far.
#[derive(Clone, Debug, Default)]
pub struct RetryState {
    /// Upstreams that it was sent to.
    pub sent_attempts: u32,
    /// Upstreams that are not tried again.
    pub excluded: Vec<String>,
    /// Whether an upstream may have run it.
    pub may_have_run: bool,
    /// Connections that could not be opened.
    pub failed_dials: u32,
    /// The last failure.
    pub failure: Option<String>,
}

impl RetryState {
    /// Notes that an upstream may have run the call and failed.
    pub fn record_failure(&mut self, upstream: String, failure: String) {
        self.may_have_run = true;
        self.excluded.push(upstream);
        self.failure = Some(failure);
    }
}

impl Call {
    /// The call as placement sees it.
    pub fn placement_request<'a>(&'a self, excluded: &'a [String]) -> PlacementRequest<'a> {
        PlacementRequest {
            parts: &self.parts,
            prompt_tokens: self.tokens.prompt,
            urgency: self.urgency,
            excluded,
        }
    }

    /// Time until the answer is due.
    pub fn remaining_ms(&self) -> u64 {
        self.deadline_at_ms.saturating_sub(self.relay.now_ms())
    }

    /// Whether this may be sent to one more upstream after those of `progress`.
    pub fn may_retry(&self, retry_state: &RetryState) -> bool {
        retry_state.sent_attempts < self.route.attempt_limit
            && (self.route.repeat.allows_reexecution() || !retry_state.may_have_run)
    }

    /// Sends the call until the head of an answer has come. A stream goes on behind
    /// `last_event_id`.
    ///
    /// # Errors
    /// What the caller is told.
    pub async fn open(
        &self,
        retry_state: &mut RetryState,
        last_event_id: Option<u64>,
    ) -> Result<Opened, Problem> {
        loop {
            if self.remaining_ms() == 0 {
                return Err(self.deadline_problem(retry_state));
            }
            self.recheck_access(retry_state)?;
            let (placement_table, placement) = self.place(retry_state)?;
            let attempt = Attempt::start(self, placement_table, placement, &retry_state.excluded);
            match self.send_once(attempt, retry_state, last_event_id).await {
                Ok(opened) => return Ok(opened),
                Err(failure) => {
                    retry_state.failure = Some(failure);
                    let may_dial = retry_state.failed_dials < MAX_FAILED_DIALS;
                    if !may_dial || !self.may_retry(retry_state) {
                        return Err(self.failure_problem(retry_state));
                    }
                }
            }
        }
    }

    /// The key and the route may have been taken away since the request came.
    fn recheck_access(&self, retry_state: &RetryState) -> Result<(), Problem> {
        let relay = &self.relay;
        // Statuses of refusals promise that nothing has run.
        let refuse = |code: ErrorCode| match retry_state.may_have_run {
            true => self.failure_problem(retry_state),
            false => Problem::new(code).with_retry_after_ms(DEFAULT_RETRY_AFTER_MS),
        };
        let Some(table) = relay.route_table() else {
            return Err(refuse(ErrorCode::SettingsMissing));
        };
        if self.organisation.is_none() {
            return Ok(());
        }
        if !relay.are_keys_fresh(relay.now_ms()) {
            return Err(refuse(ErrorCode::KeysUnproven));
        }
        match table.check_access(&self.route, self.key.as_deref()) {
            Access::Organisation(_) => Ok(()),
            Access::Open | Access::Denied => Err(refuse(ErrorCode::UnknownKey)),
        }
    }

    fn place(
        &self,
        retry_state: &RetryState,
    ) -> Result<(SharedPlacementTable, Placement), Problem> {
        let relay = &self.relay;
        let now_ms = relay.now_ms();
        let Some(placement_table) = relay.placement_table(&self.service) else {
            return Err(self.failure_problem(retry_state));
        };
        let request = self.placement_request(&retry_state.excluded);
        let mut placements = placement_table.lock();
        let Some(placement) = placements.choose(&request, now_ms) else {
            return Err(self.failure_problem(retry_state));
        };
        placements.record_arrival(self.urgency, placement.uncached_tokens, now_ms);
        if retry_state.sent_attempts > 0 {
            drop(placements);
            return match relay.try_acquire_retry(&self.service) {
                true => Ok((placement_table, placement)),
                false => Err(self.failure_problem(retry_state)),
            };
        }
        let waited_ms = now_ms.saturating_sub(self.arrived_at_ms);
        let forecast =
            placement.forecast(waited_ms, self.route.target_ms, self.route.patience_ms());
        let admission = placements.admit(&forecast, now_ms);
        drop(placements);
        match admission {
            Admission::Send => Ok((placement_table, placement)),
            Admission::Refuse { retry_after_ms } => {
                relay.log.write("refused", || {
                    json!({
                        "request": self.request_id, "service": self.service,
                        "upstream": placement.upstream, "forecast_ms": forecast.first_byte_ms,
                        "queue_ms": forecast.queue_ms,
                        "target_ms": forecast.target_ms, "retry_after_ms": retry_after_ms,
                    })
                });
                Err(Problem::new(ErrorCode::TargetMissed).with_retry_after_ms(retry_after_ms))
            }
        }
    }

    async fn send_once(
        &self,
        attempt: Attempt,
        retry_state: &mut RetryState,
        last_event_id: Option<u64>,
    ) -> Result<Opened, String> {
        let relay = &self.relay;
        let upstream = attempt.placement.upstream.clone();
        let max_idle_ms = match self.route.repeat.allows_reexecution() {
            true => u64::MAX,
            false => MAX_IDLE_NON_IDEMPOTENT_MS,
        };
        let address = attempt.placement.address;
        let now_ms = relay.now_ms();
        let dialled = self.connections.checkout(&upstream, address, max_idle_ms, now_ms).await;
        let mut connection = match dialled {
            Ok(connection) => connection,
            Err(error) => {
                retry_state.failed_dials += 1;
                retry_state.excluded.push(upstream);
                attempt.end(AttemptOutcome::Unresponsive);
                return Err(error.to_string());
            }
        };
        // The upstream may have started to leave while the connection was opened.
        if !attempt.is_open() {
            retry_state.failed_dials += 1;
            retry_state.excluded.push(upstream);
            return Err("the upstream leaves".to_owned());
        }
        let request = self.make_request(&attempt.placement, last_event_id);
        let limit =
            Duration::from_millis(self.response_timeout_ms(&attempt.placement, retry_state));
        retry_state.sent_attempts += 1;
        let guard = CancelledRunGuard::new(self);
        let result = connection.send(request, limit).await;
        guard.disarm();
        match result {
            Ok(response) => {
                let status = response.status().as_u16();
                let metadata = relay.protocol.read_response_head(status, response.headers());
                self.classify_response(attempt, connection, response, metadata, retry_state)
            }
            Err(error) => {
                self.log_failure(&upstream, &error.to_string(), retry_state);
                retry_state.excluded.push(upstream);
                let outcome = match &error {
                    ExchangeError::NotSent(_) => {
                        retry_state.sent_attempts -= 1;
                        retry_state.failed_dials += 1;
                        AttemptOutcome::Cancelled
                    }
                    ExchangeError::TimedOut(_) => {
                        retry_state.may_have_run = true;
                        AttemptOutcome::Unresponsive
                    }
                    ExchangeError::Interrupted(_) => {
                        retry_state.may_have_run = true;
                        AttemptOutcome::Failed
                    }
                };
                if retry_state.may_have_run {
                    self.count_uncertain_run();
                }
                attempt.end(outcome);
                Err(error.to_string())
            }
        }
    }

    /// Sorts an answer's head: an answer of this call, a refusal without a run, or nothing that
    /// can be used.
    fn classify_response(
        &self,
        attempt: Attempt,
        connection: UpstreamConnection,
        response: Response<Incoming>,
        metadata: ResponseMetadata,
        retry_state: &mut RetryState,
    ) -> Result<Opened, String> {
        let upstream = attempt.placement.upstream.clone();
        let status = response.status().as_u16();
        if let Some(load) = metadata.load {
            attempt.record_load_report(load.running, load.waiting);
        }
        if metadata.is_not_run {
            let failure = format!("refused with {status}");
            self.log_failure(&upstream, &failure, retry_state);
            retry_state.excluded.push(upstream);
            attempt.end(AttemptOutcome::Refused);
            return Err(failure);
        }
        let is_own = metadata.request_id.as_deref() == Some(self.request_id.as_str());
        if !is_own {
            let failure = "the answer belongs to another request".to_owned();
            self.log_failure(&upstream, &failure, retry_state);
            retry_state.may_have_run = true;
            retry_state.excluded.push(upstream);
            attempt.end(AttemptOutcome::Failed);
            return Err(failure);
        }
        Ok(Opened { attempt, connection, response })
    }

    fn make_request(
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

    /// How long the head of an answer is waited for. A call that can't be tried elsewhere waits
    /// until it is due.
    fn response_timeout_ms(&self, placement: &Placement, retry_state: &RetryState) -> u64 {
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

    /// Counts the request as one that an upstream has begun.
    pub fn count_run(&self) {
        if self.is_run_counted.replace(true) {
            return;
        }
        if let Some(organisation) = &self.organisation {
            self.relay.record_run(organisation);
        }
    }

    /// A plain call whose answer was lost has most likely run; a stream without a first event has
    /// not begun.
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

    /// The last word when no upstream is left to try.
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

    fn deadline_problem(&self, retry_state: &RetryState) -> Problem {
        match retry_state.may_have_run {
            true => Problem::new(ErrorCode::UpstreamTimeout),
            false => Problem::new(ErrorCode::NoTimeLeft),
        }
    }

    /// What every log line of a call names.
    pub fn log_fields(&self) -> Value {
        json!({
            "request": self.request_id, "route": self.route.name, "service": self.service,
            "organisation": self.organisation,
        })
    }
}

/// Counts the run of a plain call whose caller left while it was at an upstream.
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
