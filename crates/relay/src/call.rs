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

use crate::attempt::{Attempt, Opened};
use crate::borders::{AnswerFacts, CallFacts, TokenCounts};
use crate::connections::{ExchangeError, UpstreamConnection, UpstreamConnections};
use crate::node::{Relay, SharedBook};

/// Idle time up to which a kept connection carries a request that may run only once: a close that
/// crosses the request would leave open whether it ran.
const IDLE_UNREPEATABLE_MS: u64 = 1_000;
/// Connections that may fail to open before the call is given up.
const DIALS_MOST: u32 = 3;
/// Silence after which a repeatable call is tried elsewhere, as a multiple of the forecast.
const SILENCE_FORECASTS: u64 = 3;
/// Shortest silence that counts; below it lie delays of a busy upstream.
const SILENCE_LEAST_MS: u64 = 250;
/// Shortest silence that counts at a model engine, whose first event waits for others' prompts.
const ENGINE_SILENCE_LEAST_MS: u64 = 1_500;
/// When to come back if nothing better is known.
pub const RETRY_AFTER_DEFAULT_MS: u64 = 500;

/// A caller's request with all that is known of it.
pub struct Call {
    /// What all parts share.
    pub relay: Arc<Relay>,
    /// Connections of this thread.
    pub connections: UpstreamConnections,
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
pub struct Progress {
    /// Upstreams that it was sent to.
    pub sent: u32,
    /// Upstreams that are not tried again.
    pub excluded: Vec<String>,
    /// Whether an upstream may have run it.
    pub may_have_run: bool,
    /// Connections that could not be opened.
    pub failed_dials: u32,
    /// The last failure.
    pub failure: Option<String>,
}

impl Progress {
    /// Notes that an upstream may have run the call and failed.
    pub fn note_failure(&mut self, upstream: String, failure: String) {
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
    pub fn left_ms(&self) -> u64 {
        self.deadline_at_ms.saturating_sub(self.relay.now_ms())
    }

    /// Whether this may be sent to one more upstream after those of `progress`.
    pub fn may_send_again(&self, progress: &Progress) -> bool {
        progress.sent < self.route.attempt_limit
            && (self.route.repeat.allows_reexecution() || !progress.may_have_run)
    }

    /// Sends the call until the head of an answer has come. A stream goes on behind
    /// `last_event_id`.
    ///
    /// # Errors
    /// What the caller is told.
    pub async fn open(
        &self,
        progress: &mut Progress,
        last_event_id: Option<u64>,
    ) -> Result<Opened, Problem> {
        loop {
            if self.left_ms() == 0 {
                return Err(self.give_up_late(progress));
            }
            self.check_still_allowed(progress)?;
            let (book, placement) = self.place(progress)?;
            let attempt = Attempt::start(self, book, placement, &progress.excluded);
            match self.send_once(attempt, progress, last_event_id).await {
                Ok(opened) => return Ok(opened),
                Err(failure) => {
                    progress.failure = Some(failure);
                    let may_dial = progress.failed_dials < DIALS_MOST;
                    if !may_dial || !self.may_send_again(progress) {
                        return Err(self.give_up(progress));
                    }
                }
            }
        }
    }

    /// The key and the route may have been taken away since the request came.
    fn check_still_allowed(&self, progress: &Progress) -> Result<(), Problem> {
        let relay = &self.relay;
        // Statuses of refusals promise that nothing has run.
        let refuse = |code: ErrorCode| match progress.may_have_run {
            true => self.give_up(progress),
            false => Problem::new(code).with_retry_after_ms(RETRY_AFTER_DEFAULT_MS),
        };
        let Some(table) = relay.table() else { return Err(refuse(ErrorCode::SettingsMissing)) };
        if self.organisation.is_none() {
            return Ok(());
        }
        if !relay.are_keys_proven(relay.now_ms()) {
            return Err(refuse(ErrorCode::KeysUnproven));
        }
        match table.check_access(&self.route, self.key.as_deref()) {
            Access::Organisation(_) => Ok(()),
            Access::Open | Access::Denied => Err(refuse(ErrorCode::UnknownKey)),
        }
    }

    fn place(&self, progress: &Progress) -> Result<(SharedBook, Placement), Problem> {
        let relay = &self.relay;
        let now_ms = relay.now_ms();
        let Some(book) = relay.book(&self.service) else { return Err(self.give_up(progress)) };
        let request = self.placement_request(&progress.excluded);
        let mut known = book.lock();
        let Some(placement) = known.choose(&request, now_ms) else {
            return Err(self.give_up(progress));
        };
        known.record_arrival(self.urgency, placement.uncached_tokens, now_ms);
        if progress.sent > 0 {
            drop(known);
            return match relay.try_take_retry(&self.service) {
                true => Ok((book, placement)),
                false => Err(self.give_up(progress)),
            };
        }
        let waited_ms = now_ms.saturating_sub(self.arrived_at_ms);
        let forecast =
            placement.forecast(waited_ms, self.route.target_ms, self.route.patience_ms());
        let admission = known.admit(&forecast, now_ms);
        drop(known);
        match admission {
            Admission::Send => Ok((book, placement)),
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
        progress: &mut Progress,
        last_event_id: Option<u64>,
    ) -> Result<Opened, String> {
        let relay = &self.relay;
        let upstream = attempt.placement.upstream.clone();
        let idle_most_ms = match self.route.repeat.allows_reexecution() {
            true => u64::MAX,
            false => IDLE_UNREPEATABLE_MS,
        };
        let address = attempt.placement.address;
        let now_ms = relay.now_ms();
        let dialled = self.connections.checkout(&upstream, address, idle_most_ms, now_ms).await;
        let mut connection = match dialled {
            Ok(connection) => connection,
            Err(error) => {
                progress.failed_dials += 1;
                progress.excluded.push(upstream);
                attempt.end(AttemptOutcome::Unresponsive);
                return Err(error.to_string());
            }
        };
        // The upstream may have started to leave while the connection was opened.
        if !attempt.is_open() {
            progress.failed_dials += 1;
            progress.excluded.push(upstream);
            return Err("the upstream leaves".to_owned());
        }
        let request = self.make_request(&attempt.placement, last_event_id);
        let limit = Duration::from_millis(self.silence_limit_ms(&attempt.placement, progress));
        progress.sent += 1;
        let sent = SentGuard::new(self);
        let result = connection.send(request, limit).await;
        sent.disarm();
        match result {
            Ok(response) => {
                let status = response.status().as_u16();
                let facts = relay.protocol.read_answer(status, response.headers());
                self.judge(attempt, connection, response, facts, progress)
            }
            Err(error) => {
                self.log_failure(&upstream, &error.to_string(), progress);
                progress.excluded.push(upstream);
                let end = match &error {
                    ExchangeError::NotSent(_) => {
                        progress.sent -= 1;
                        progress.failed_dials += 1;
                        AttemptOutcome::Cancelled
                    }
                    ExchangeError::Silent(_) => {
                        progress.may_have_run = true;
                        AttemptOutcome::Unresponsive
                    }
                    ExchangeError::Broken(_) => {
                        progress.may_have_run = true;
                        AttemptOutcome::Failed
                    }
                };
                if progress.may_have_run {
                    self.count_uncertain_run();
                }
                attempt.end(end);
                Err(error.to_string())
            }
        }
    }

    /// Sorts an answer's head: an answer of this call, a refusal without a run, or nothing that
    /// can be used.
    fn judge(
        &self,
        attempt: Attempt,
        connection: UpstreamConnection,
        response: Response<Incoming>,
        facts: AnswerFacts,
        progress: &mut Progress,
    ) -> Result<Opened, String> {
        let upstream = attempt.placement.upstream.clone();
        let status = response.status().as_u16();
        if let Some(load) = facts.load {
            attempt.report(load.running, load.waiting);
        }
        if facts.is_not_run {
            let failure = format!("refused with {status}");
            self.log_failure(&upstream, &failure, progress);
            progress.excluded.push(upstream);
            attempt.end(AttemptOutcome::Refused);
            return Err(failure);
        }
        let is_own = facts.request_id.as_deref() == Some(self.request_id.as_str());
        if !is_own {
            let failure = "the answer belongs to another request".to_owned();
            self.log_failure(&upstream, &failure, progress);
            progress.may_have_run = true;
            progress.excluded.push(upstream);
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
        let facts = CallFacts {
            deadline_ms: self.left_ms(),
            upstream: &placement.upstream,
            organisation: self.organisation.as_deref(),
            urgency: self.urgency,
            is_engine: self.route.has_prompt_parts,
            last_event_id,
        };
        self.relay.protocol.write_call(&facts, &mut headers);
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
    fn silence_limit_ms(&self, placement: &Placement, progress: &Progress) -> u64 {
        let left_ms = self.left_ms();
        let is_last = progress.sent + 1 >= self.route.attempt_limit;
        if is_last || !self.route.repeat.allows_reexecution() {
            return left_ms;
        }
        let least_ms = match self.route.repeat.is_stream() {
            true => ENGINE_SILENCE_LEAST_MS,
            false => SILENCE_LEAST_MS,
        };
        left_ms.min((placement.first_byte_ms * SILENCE_FORECASTS).max(least_ms))
    }

    /// Counts the request as one that an upstream has begun.
    pub fn count_run(&self) {
        if self.is_run_counted.replace(true) {
            return;
        }
        if let Some(organisation) = &self.organisation {
            self.relay.add_run(organisation);
        }
    }

    /// A plain call whose answer was lost has most likely run; a stream without a first event has
    /// not begun.
    fn count_uncertain_run(&self) {
        if !self.route.repeat.is_stream() {
            self.count_run();
        }
    }

    fn log_failure(&self, upstream: &str, failure: &str, progress: &Progress) {
        self.relay.log.write("attempt_failed", || {
            json!({
                "request": self.request_id, "route": self.route.name, "upstream": upstream,
                "attempt": progress.sent, "failure": failure,
            })
        });
    }

    /// The last word when no upstream is left to try.
    pub fn give_up(&self, progress: &Progress) -> Problem {
        if !progress.may_have_run {
            let problem = Problem::new(ErrorCode::NoUpstream);
            return problem.with_retry_after_ms(RETRY_AFTER_DEFAULT_MS);
        }
        if self.left_ms() == 0 {
            return Problem::new(ErrorCode::UpstreamTimeout);
        }
        Problem::new(ErrorCode::UpstreamFailed)
    }

    fn give_up_late(&self, progress: &Progress) -> Problem {
        match progress.may_have_run {
            true => Problem::new(ErrorCode::UpstreamTimeout),
            false => Problem::new(ErrorCode::NoTimeLeft),
        }
    }

    /// What every log line of a call names.
    pub fn describe(&self) -> Value {
        json!({
            "request": self.request_id, "route": self.route.name, "service": self.service,
            "organisation": self.organisation,
        })
    }
}

/// Counts the run of a plain call whose caller left while it was at an upstream.
struct SentGuard<'a> {
    call: &'a Call,
    is_armed: bool,
}

impl<'a> SentGuard<'a> {
    fn new(call: &'a Call) -> Self {
        Self { call, is_armed: true }
    }

    fn disarm(mut self) {
        self.is_armed = false;
    }
}

impl Drop for SentGuard<'_> {
    fn drop(&mut self) {
        if self.is_armed {
            self.call.count_uncertain_run();
        }
    }
}
