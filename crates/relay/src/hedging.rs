//! Attempts of one call at several upstreams at once (hedged requests; Dean and Barroso, The Tail at Scale,
//! 2013).
//!
//! An upstream that is silent for longer than expected may be dead, or go on in the next moment. Its attempt
//! therefore stays until another upstream has accepted the request; only then is it dropped, at once.

use std::future::poll_fn;
use std::task::Poll;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use hickorycourse_clock::timeout;
use hickorycourse_codes::Problem;
use hickorycourse_connections::{ExchangeError, ResponseBody, UpstreamConnection};
use http::Response;
use serde_json::json;

use crate::attempt::{Attempt, OpenedResponse};
use crate::call::{BeginError, Call, RetryState};
use crate::forwarding::DialTarget;
use crate::state::Relay;

/// Failures to open or use a connection after which no further upstream is tried.
pub(crate) const MAX_FAILED_DIALS: u32 = 3;
/// Time between a try that found no upstream and the next one, while an attempt is alive; doubles with each.
const BASE_INTERVAL_MS: u64 = 100;
/// Longest time between two such tries.
const MAX_INTERVAL_MS: u64 = 3_200;

/// Paces the tries to find another upstream for a call whose own one is silent.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct HedgePacing {
    failed_tries: u32,
    next_at_ms: u64,
}

impl HedgePacing {
    /// Records a try that found no upstream.
    pub fn record_failure(&mut self, now_ms: u64) {
        let interval_ms = (BASE_INTERVAL_MS << self.failed_tries.min(8)).min(MAX_INTERVAL_MS);
        self.failed_tries += 1;
        self.next_at_ms = now_ms + interval_ms;
    }

    /// Time from which the next try may begin.
    pub fn next_at_ms(&self) -> u64 {
        self.next_at_ms
    }
}

/// Connection of an attempt with its result.
type Sent = (UpstreamConnection, Result<Response<ResponseBody>, ExchangeError>);

/// An attempt that waits for the head of its response.
struct Exchange<'a> {
    attempt: Attempt,
    sending: LocalBoxFuture<'a, Sent>,
    /// The upstream as the destination of a direct connection; `None` if a peer carries the connection.
    direct_target: Option<DialTarget>,
    sent_at_ms: u64,
    /// Time from which the upstream counts as silent; `u64::MAX` if no other may be tried.
    silent_at_ms: u64,
    is_silent: bool,
}

/// What happened next to a call with attempts in flight.
enum Progress {
    Begun(Box<Result<(Attempt, UpstreamConnection), BeginError>>),
    /// The exchange of this index has ended.
    Ended(usize, Box<Sent>),
    /// It is time for a further attempt.
    Due,
}

/// Waits until one of the exchanges has ended.
async fn next_sent(exchanges: &mut [Exchange<'_>]) -> (usize, Sent) {
    poll_fn(|context| {
        for (index, exchange) in exchanges.iter_mut().enumerate() {
            if let Poll::Ready(sent) = exchange.sending.poll_unpin(context) {
                return Poll::Ready((index, sent));
            }
        }
        Poll::Pending
    })
    .await
}

impl Call {
    /// Sends the call until an upstream returns the head of a response. A stream resumes after
    /// `last_event_id`.
    ///
    /// # Errors
    /// The problem for the response to the caller.
    pub async fn open(
        &self,
        retry_state: &mut RetryState,
        last_event_id: Option<u64>,
    ) -> Result<OpenedResponse, Problem> {
        let mut exchanges: Vec<Exchange<'_>> = Vec::new();
        let mut pacing = HedgePacing::default();
        let mut silent: Option<(String, u64)> = None;
        let mut server_error: Option<OpenedResponse> = None;
        let result = loop {
            let now_ms = self.relay.now_ms();
            if exchanges.is_empty() && self.remaining_ms() == 0 {
                break Err(self.deadline_problem(retry_state));
            }
            for exchange in exchanges.iter_mut().filter(|exchange| !exchange.is_silent) {
                if now_ms >= exchange.silent_at_ms {
                    exchange.record_silence(&self.relay, retry_state);
                    let upstream = exchange.attempt.placement.upstream.clone();
                    silent.get_or_insert((upstream, exchange.sent_at_ms));
                }
            }
            let begin_at_ms = self.next_attempt_at_ms(&exchanges, &pacing, retry_state);
            match self.next_progress(&mut exchanges, retry_state, begin_at_ms).await {
                Progress::Due => {}
                Progress::Begun(begun) => match *begun {
                    Ok((attempt, connection)) => {
                        exchanges.push(self.exchange(
                            attempt,
                            connection,
                            retry_state,
                            last_event_id,
                        ));
                    }
                    Err(BeginError::Rejected(problem)) => {
                        if exchanges.is_empty() {
                            break Err(problem);
                        }
                        pacing.record_failure(self.relay.now_ms());
                    }
                    Err(BeginError::NotConnected { upstream, detail }) => {
                        retry_state.failed_dials += 1;
                        retry_state.excluded.push(upstream);
                        retry_state.failure = Some(detail);
                        if exchanges.is_empty() && !self.may_begin(retry_state) {
                            break Err(self.failure_problem(retry_state));
                        }
                    }
                    Err(BeginError::NotIdentified { upstream, detail }) => {
                        retry_state.failed_dials += upstream.failed_dials;
                        retry_state.excluded.push(upstream.upstream.clone());
                        retry_state.unidentified.push(upstream);
                        retry_state.failure = Some(detail);
                        if exchanges.is_empty() && !self.may_begin(retry_state) {
                            break Err(self.failure_problem(retry_state));
                        }
                    }
                },
                Progress::Ended(index, sent) => {
                    let (connection, result) = *sent;
                    let attempt = exchanges.swap_remove(index).attempt;
                    match self.conclude(attempt, connection, result, retry_state) {
                        // It does not end a request that another upstream may still answer.
                        Ok(opened)
                            if opened.response.status().is_server_error()
                                && !exchanges.is_empty() =>
                        {
                            retry_state.excluded.push(opened.attempt.placement.upstream.clone());
                            server_error = Some(opened);
                        }
                        Ok(opened) => break Ok(opened),
                        Err(failure) => {
                            retry_state.failure = Some(failure);
                            if exchanges.is_empty() && !self.may_begin(retry_state) {
                                break Err(self.failure_problem(retry_state));
                            }
                        }
                    }
                }
            }
            if exchanges.is_empty()
                && let Some(opened) = server_error.take()
            {
                break Ok(opened);
            }
        };
        drop(exchanges);
        let result = result.or_else(|problem| server_error.ok_or(problem));
        if let Some((upstream, sent_at_ms)) = silent {
            self.log_hedged("attempt_hedged", &upstream, sent_at_ms, winner(&result), retry_state);
        }
        result
    }

    /// Returns whether a further attempt may begin.
    fn may_begin(&self, retry_state: &RetryState) -> bool {
        retry_state.failed_dials < MAX_FAILED_DIALS && self.may_retry(retry_state)
    }

    /// Time from which a further attempt may begin: all that are in flight are silent then.
    fn next_attempt_at_ms(
        &self,
        exchanges: &[Exchange<'_>],
        pacing: &HedgePacing,
        retry_state: &RetryState,
    ) -> u64 {
        match exchanges.iter().map(|exchange| exchange.silent_at_ms).max() {
            None => 0,
            Some(_) if !self.may_begin(retry_state) => u64::MAX,
            Some(silent_at_ms) => silent_at_ms.max(pacing.next_at_ms()),
        }
    }

    /// Begins a further attempt if it is time, and waits for it or for those in flight.
    async fn next_progress(
        &self,
        exchanges: &mut [Exchange<'_>],
        retry_state: &RetryState,
        begin_at_ms: u64,
    ) -> Progress {
        let wait_ms = begin_at_ms.saturating_sub(self.relay.now_ms());
        if exchanges.is_empty() {
            return Progress::Begun(Box::new(self.begin(retry_state).await));
        }
        if wait_ms == 0 {
            return tokio::select! {
                biased;
                (index, sent) = next_sent(exchanges) => Progress::Ended(index, Box::new(sent)),
                begun = self.begin(retry_state) => Progress::Begun(Box::new(begun)),
            };
        }
        // Each exchange ends at the deadline, if not before.
        let limit = Duration::from_millis(wait_ms.min(self.remaining_ms().max(1)));
        match timeout(limit, next_sent(exchanges)).await {
            Ok((index, sent)) => Progress::Ended(index, Box::new(sent)),
            Err(_) => Progress::Due,
        }
    }

    fn exchange(
        &self,
        mut attempt: Attempt,
        connection: UpstreamConnection,
        retry_state: &mut RetryState,
        last_event_id: Option<u64>,
    ) -> Exchange<'_> {
        let request = self.make_request(&attempt.placement, last_event_id);
        let silent_after_ms = self.response_timeout_ms(&attempt.placement, retry_state);
        let sent_at_ms = self.relay.now_ms();
        let silent_at_ms = match silent_after_ms < self.remaining_ms() {
            true => sent_at_ms + silent_after_ms,
            false => u64::MAX,
        };
        retry_state.sent_attempts += 1;
        attempt.record_sent();
        self.in_flight.record_sent(&attempt.placement.upstream);
        let is_direct = connection.carrier().is_none();
        let direct_target = is_direct.then(|| self.dial_target(&attempt.placement));
        Exchange {
            attempt,
            sending: self.send(connection, request).boxed_local(),
            direct_target,
            sent_at_ms,
            silent_at_ms,
            is_silent: false,
        }
    }

    /// Logs that an upstream was silent since `silent_since_ms` while another one was tried, and which of them
    /// went on.
    pub(crate) fn log_hedged(
        &self,
        event: &'static str,
        upstream: &str,
        silent_since_ms: u64,
        went_on: Option<&str>,
        retry_state: &RetryState,
    ) {
        self.relay.log.write(event, || {
            json!({
                "request": self.request_id, "upstream": upstream,
                "silent_ms": self.relay.now_ms().saturating_sub(silent_since_ms),
                "went_on": went_on, "attempts": retry_state.sent_attempts,
            })
        });
        let outcome = match went_on {
            Some(winner) if winner == upstream => "same",
            Some(_) => "other",
            None => "none",
        };
        metrics::counter!("hickorycourse_hedges_total", "went_on" => outcome).increment(1);
    }
}

impl Exchange<'_> {
    fn record_silence(&mut self, relay: &Relay, retry_state: &mut RetryState) {
        self.is_silent = true;
        let target = self.direct_target.as_ref();
        if !target.is_some_and(|target| relay.record_direct_silence(target)) {
            self.attempt.record_silence();
        }
        retry_state.excluded.push(self.attempt.placement.upstream.clone());
        retry_state.may_have_run = true;
    }
}

fn winner(result: &Result<OpenedResponse, Problem>) -> Option<&str> {
    result.as_ref().ok().map(|opened| opened.attempt.placement.upstream.as_str())
}
