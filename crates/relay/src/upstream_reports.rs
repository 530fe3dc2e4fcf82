//! Reports of upstreams on themselves, which tell which start has accepted a connection.
//!
//! The platform lists a start after it has accepted connections. A stream that may be resumed is therefore sent on a
//! connection on which the upstream has reported its start; the report is asked for once on each connection.

use std::collections::HashMap;
use std::time::Duration;

use hickorycourse_clock::{sleep, timeout};
use hickorycourse_connections::{
    Carrier, DIAL_TIMEOUT, ExchangeError, ResponseBody, UpstreamConnection,
};
use hickorycourse_placement::AttemptOutcome;
use hickorycourse_routes::{RetrySemantics, UpstreamPhase};
use hickorycourse_starts::Acceptance;
use http::Response;
use http_body_util::{BodyExt, Full};
use hyper::body::Bytes;
use serde_json::json;

use crate::adapter::UpstreamReport;
use crate::attempt::Attempt;
use crate::call::{Call, RetryState};
use crate::forwarding::{DialError, DialTarget};
use crate::start_proofs::MAX_PROOF_WAIT_MS;
use crate::state::Relay;

/// Time for a report.
pub const REPORT_TIMEOUT: Duration = DIAL_TIMEOUT;
/// Time for a report that nothing waits for: a sound upstream may fall silent for a second or so.
pub const LATE_REPORT_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Largest body of a report.
const MAX_REPORT_BYTES: usize = 64 * 1024;
/// Time for which an upstream that has not reported its start is not asked again.
const UNKNOWN_PERIOD_MS: u64 = 30_000;
/// Interval between two checks whether a start is proven.
const PROOF_INTERVAL: Duration = Duration::from_millis(50);
/// Shortest time to the deadline at which a request that needs no start waits for a report.
const MIN_IDENTIFY_MS: u64 = 3 * REPORT_TIMEOUT.as_millis() as u64;
/// Upstreams without reports that are kept.
const MAX_UNREPORTED: usize = 16_384;

/// Upstreams that do not report their starts.
#[derive(Debug, Default)]
pub struct UnreportedUpstreams {
    upstreams: HashMap<String, UnreportedUpstream>,
}

#[derive(Debug)]
struct UnreportedUpstream {
    recorded_at_ms: u64,
    until_ms: u64,
    answer: OtherAnswer,
}

/// What an upstream that does not report its start does when it is asked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OtherAnswer {
    /// It answers something else, and the connection can be used again.
    Kept,
    /// It closes the connection, with an answer or without.
    Closing,
    /// It does not answer in time.
    Silent,
}

impl OtherAnswer {
    fn of(asked: &Result<ReceivedReport, ExchangeError>) -> Self {
        match asked {
            Ok(ReceivedReport { is_kept: true, .. }) => Self::Kept,
            Err(ExchangeError::TimedOut(_)) => Self::Silent,
            Ok(_) | Err(_) => Self::Closing,
        }
    }
}

impl UnreportedUpstreams {
    /// Records that an upstream does not report its start, as it has answered, or has not, when it was asked at
    /// `asked_at_ms`. Silence says nothing of an upstream that has answered another report since then.
    pub fn record(&mut self, upstream: &str, answer: OtherAnswer, asked_at_ms: u64, now_ms: u64) {
        let is_answered_since = |known: &UnreportedUpstream| {
            known.answer == OtherAnswer::Kept && known.recorded_at_ms >= asked_at_ms
        };
        if answer == OtherAnswer::Silent
            && self.upstreams.get(upstream).is_some_and(is_answered_since)
        {
            return;
        }
        if self.upstreams.len() >= MAX_UNREPORTED {
            self.upstreams.retain(|_, known| known.until_ms > now_ms);
        }
        if self.upstreams.len() < MAX_UNREPORTED {
            let until_ms = now_ms + UNKNOWN_PERIOD_MS;
            let known = UnreportedUpstream { recorded_at_ms: now_ms, until_ms, answer };
            self.upstreams.insert(upstream.to_owned(), known);
        }
    }

    /// Records that an upstream has reported its start.
    pub fn forget(&mut self, upstream: &str) {
        self.upstreams.remove(upstream);
    }

    /// Returns what an upstream has answered lately in place of its report; `None` if it has not been asked, or has
    /// reported its start.
    pub fn answer(&self, upstream: &str, now_ms: u64) -> Option<OtherAnswer> {
        let known = self.upstreams.get(upstream).filter(|known| known.until_ms > now_ms);
        known.map(|known| known.answer)
    }
}

/// Why there is no connection that a request may be sent on; nothing was sent.
#[derive(Clone, Debug, thiserror::Error)]
pub enum ConnectError {
    /// No connection could be opened.
    #[error(transparent)]
    Dial(#[from] DialError),
    /// The upstream has not reported its start.
    #[error("no report: {detail}")]
    NotReported {
        /// The cause.
        detail: String,
        /// Outcome of the attempt for the health of the upstream.
        outcome: AttemptOutcome,
    },
    /// Another upstream listens at the address.
    #[error("another upstream listens at the address")]
    OtherUpstream,
    /// The upstream closes its connections after a report.
    #[error("the connection was closed after the report")]
    NotKept,
    /// The start that has accepted the connection is of another version than the one that is asked for.
    #[error("the upstream has started again with another version")]
    OtherVersion,
    /// The version of that start is not known, or not yet.
    #[error("the version of the upstream's start is not known")]
    UnknownVersion {
        /// Whether the upstream has reported the start, so that its entry tells the version.
        is_reported: bool,
    },
}

impl ConnectError {
    /// The outcome of the attempt for the health of the upstream.
    pub fn outcome(&self) -> AttemptOutcome {
        match self {
            Self::Dial(error) => error.outcome(),
            Self::NotReported { outcome, .. } => *outcome,
            Self::OtherUpstream => AttemptOutcome::Refused,
            Self::NotKept | Self::OtherVersion | Self::UnknownVersion { .. } => {
                AttemptOutcome::Cancelled
            }
        }
    }
}

/// Returns whether the start is not known because the upstream has not answered as it should.
fn is_unanswered(identified: &Result<UpstreamConnection, ConnectError>) -> bool {
    matches!(identified, Err(ConnectError::NotReported { .. } | ConnectError::NotKept))
}

/// Returns what a connection tells of the start that has accepted it.
pub fn acceptance(connection: &UpstreamConnection) -> Acceptance {
    Acceptance {
        reported_start_ms: connection.reported_start_ms(),
        dialled_at_ms: connection.dialled_at_ms(),
        opened_at_ms: connection.opened_at_ms(),
    }
}

/// A report, and whether the connection can be used for another request after it.
#[derive(Clone, Copy, Debug)]
pub struct ReceivedReport {
    /// What it says.
    pub report: UpstreamReport,
    /// Whether the upstream has kept the connection open.
    pub is_kept: bool,
}

/// Asks the upstream of a connection for its report.
///
/// # Errors
/// The connection must not be used again.
pub async fn ask(
    relay: &Relay,
    connection: &mut UpstreamConnection,
    upstream: &str,
) -> Result<ReceivedReport, ExchangeError> {
    ask_within(relay, connection, upstream, REPORT_TIMEOUT).await
}

/// As [`ask`], with another limit.
///
/// # Errors
/// The connection must not be used again.
pub async fn ask_within(
    relay: &Relay,
    connection: &mut UpstreamConnection,
    upstream: &str,
    limit: Duration,
) -> Result<ReceivedReport, ExchangeError> {
    let asked_at_ms = relay.now_ms();
    let received = timeout(limit, exchange(relay, connection, upstream, limit)).await;
    let late = || ExchangeError::TimedOut("the report is not complete".to_owned());
    let received = match received.unwrap_or_else(|_| Err(late())) {
        Err(ExchangeError::InvalidResponse(_)) => {
            ReceivedReport { report: UpstreamReport::Unknown, is_kept: false }
        }
        received => received?,
    };
    let now_ms = relay.now_ms();
    let outcome = match received.report {
        UpstreamReport::Running { started_at_ms } => {
            connection.record_reported_start(started_at_ms);
            relay.starts.lock().record_reported(upstream, started_at_ms, asked_at_ms, now_ms);
            relay.unreported.lock().forget(upstream);
            "running"
        }
        UpstreamReport::OtherUpstream => "other_upstream",
        UpstreamReport::Unknown => "unknown",
    };
    metrics::counter!("hickorycourse_upstream_reports_total", "outcome" => outcome).increment(1);
    Ok(received)
}

async fn exchange(
    relay: &Relay,
    connection: &mut UpstreamConnection,
    upstream: &str,
    limit: Duration,
) -> Result<ReceivedReport, ExchangeError> {
    let request = relay.protocol.make_report_request(upstream).map(|()| Full::<Bytes>::default());
    let response = connection.send(request, limit).await?;
    let status = response.status().as_u16();
    let metadata = relay.protocol.read_response_head(status, response.headers());
    if metadata.request_id.is_some_and(|id| !id.is_empty()) {
        // The request for a report has no id. Nothing tells when this response was sent.
        return Err(ExchangeError::Interrupted("the response is that of a request".to_owned()));
    }
    let body = read_body(response).await?;
    let report = relay.protocol.read_report(status, &body);
    let is_kept = connection.ready(limit).await.is_ok();
    Ok(ReceivedReport { report, is_kept })
}

async fn read_body(response: Response<ResponseBody>) -> Result<Vec<u8>, ExchangeError> {
    let mut body = response.into_body();
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| ExchangeError::Interrupted(error.to_string()))?;
        let Ok(data) = frame.into_data() else { continue };
        if bytes.len() + data.len() > MAX_REPORT_BYTES {
            return Err(ExchangeError::InvalidResponse("the report is too large".to_owned()));
        }
        bytes.extend_from_slice(&data);
    }
    Ok(bytes)
}

impl Relay {
    /// Returns the version of the start that has accepted a connection to an upstream; `None` if it is not proven, or
    /// not yet.
    pub fn version_of(&self, upstream: &str, acceptance: &Acceptance) -> Option<String> {
        let version = self.starts.lock().version(upstream, acceptance).map(str::to_owned);
        if version.is_none() && acceptance.reported_start_ms.is_none() {
            self.wanted_proofs.lock().record(upstream, self.now_ms());
        }
        version
    }

    /// Returns whether an upstream has not reported its start when it was asked lately.
    pub fn is_unreported(&self, upstream: &str) -> bool {
        self.other_answer(upstream).is_some()
    }

    /// As [`UnreportedUpstreams::answer`].
    pub fn other_answer(&self, upstream: &str) -> Option<OtherAnswer> {
        self.unreported.lock().answer(upstream, self.now_ms())
    }

    /// Records what an upstream that has never reported its start has answered in place of its report, for which it was
    /// asked at `asked_at_ms`.
    pub fn record_other_answer(
        &self,
        upstream: &str,
        asked: &Result<ReceivedReport, ExchangeError>,
        asked_at_ms: u64,
    ) {
        if !self.starts.lock().has_reported(upstream) {
            let answer = OtherAnswer::of(asked);
            self.unreported.lock().record(upstream, answer, asked_at_ms, self.now_ms());
            self.witness_needed.notify_waiters();
        }
    }
}

impl Call {
    /// Connects to the upstream of an attempt. For a stream that may be resumed, the connection is one whose start is
    /// known as far as the upstream tells it, and is of the version that is asked for.
    ///
    /// # Errors
    /// There is no such connection; the request was not sent.
    pub(crate) async fn connect_to_start(
        &self,
        target: &DialTarget,
        attempt: &Attempt,
        max_idle_ms: u64,
        retry_state: &RetryState,
    ) -> Result<UpstreamConnection, ConnectError> {
        let connection = self.connect(target, max_idle_ms).await?;
        let upstream = attempt.placement.upstream.as_str();
        if self.route.repeat != RetrySemantics::ResumableStream {
            return self.identify_first(connection, target, upstream).await;
        }
        let is_reused = connection.is_reused();
        let mut identified = self.identify(connection, target, upstream).await;
        if is_reused && is_unanswered(&identified) {
            // The upstream may have closed an idle connection.
            let connection = self.connect(target, 0).await?;
            identified = self.identify(connection, target, upstream).await;
        }
        let connection = match identified {
            Ok(connection) => connection,
            // A stream that begins needs no start; it can't be resumed before that is proven.
            Err(ConnectError::NotKept) if retry_state.version.is_none() => {
                return Ok(self.connect(target, 0).await?);
            }
            Err(ConnectError::NotReported { .. })
                if retry_state.version.is_none() && !self.has_other(upstream, retry_state) =>
            {
                return Ok(self.connect(target, 0).await?);
            }
            Err(_) if is_unanswered(&identified) && self.relay.is_unreported(upstream) => {
                self.connect(target, 0).await?
            }
            Err(ConnectError::NotKept) => self.connect(target, 0).await?,
            Err(error) => return Err(error),
        };
        let accepted_by = acceptance(&connection);
        let Some(version) = &retry_state.version else {
            self.prove_start_later(target, &connection);
            return Ok(connection);
        };
        self.prove_start(target, &connection).await;
        let mut found = self.relay.version_of(upstream, &accepted_by);
        if found.is_none()
            && accepted_by.reported_start_ms.is_none()
            && !self.has_other_of(version, upstream, retry_state)
        {
            found = self.await_proof(upstream, &accepted_by).await;
        }
        if found.as_ref() == Some(version) {
            self.relay.log.write("upstream_matched", || {
                json!({
                    "request": self.request_id, "upstream": upstream, "version": version,
                    "reported_start_ms": accepted_by.reported_start_ms,
                    "connection_age_ms":
                        self.relay.now_ms().saturating_sub(accepted_by.dialled_at_ms),
                })
            });
            return Ok(connection);
        }
        self.relay.log.write("upstream_passed_over", || {
            json!({
                "request": self.request_id, "upstream": upstream, "version": version,
                "found": found, "reported_start_ms": accepted_by.reported_start_ms,
            })
        });
        self.connections.check_in(connection, self.relay.now_ms());
        Err(match found {
            Some(_) => ConnectError::OtherVersion,
            None => ConnectError::UnknownVersion {
                is_reported: accepted_by.reported_start_ms.is_some(),
            },
        })
    }

    /// Asks an upstream for its start if it has neither reported one nor answered something else: that tells what proves
    /// the ends of its responses.
    async fn identify_first(
        &self,
        connection: UpstreamConnection,
        target: &DialTarget,
        upstream: &str,
    ) -> Result<UpstreamConnection, ConnectError> {
        let relay = &self.relay;
        if connection.carrier().is_some()
            || relay.starts.lock().has_reported(upstream)
            || self.remaining_ms() < MIN_IDENTIFY_MS
        {
            return Ok(connection);
        }
        let identified = self.identify(connection, target, upstream).await;
        if is_unanswered(&identified) {
            return Ok(self.connect(target, 0).await?);
        }
        identified
    }

    /// Waits until a start that is not reported is proven: with the upstream's next heartbeat, or a response of it on
    /// another connection.
    async fn await_proof(&self, upstream: &str, accepted_by: &Acceptance) -> Option<String> {
        let until_ms = self.relay.now_ms() + MAX_PROOF_WAIT_MS.min(self.remaining_ms());
        let is_unprovable = || self.relay.starts.lock().is_unprovable(upstream, accepted_by);
        while self.relay.now_ms() < until_ms && !is_unprovable() {
            sleep(PROOF_INTERVAL).await;
            let found = self.relay.version_of(upstream, accepted_by);
            if found.is_some() {
                return found;
            }
        }
        None
    }

    /// Returns whether another upstream of a version may be tried.
    fn has_other_of(&self, version: &str, upstream: &str, retry_state: &RetryState) -> bool {
        let directory = self.relay.directory.lock();
        let mut entries = directory.entries();
        entries.any(|entry| {
            entry.service == self.service
                && entry.phase == UpstreamPhase::Ready
                && entry.version.as_deref() == Some(version)
                && entry.id != upstream
                && !retry_state.excluded.contains(&entry.id)
        })
    }

    /// Returns whether another upstream may be tried.
    fn has_other(&self, upstream: &str, retry_state: &RetryState) -> bool {
        let directory = self.relay.directory.lock();
        let mut entries = directory.entries();
        entries.any(|entry| {
            entry.service == self.service
                && entry.phase == UpstreamPhase::Ready
                && entry.id != upstream
                && !retry_state.excluded.contains(&entry.id)
        })
    }

    /// Asks the upstream for its start, unless it has reported it on this connection before.
    async fn identify(
        &self,
        mut connection: UpstreamConnection,
        target: &DialTarget,
        upstream: &str,
    ) -> Result<UpstreamConnection, ConnectError> {
        if connection.reported_start_ms().is_some() || self.relay.is_unreported(upstream) {
            return Ok(connection);
        }
        let relay = &self.relay;
        let is_reused = connection.is_reused();
        let asked_at_ms = relay.now_ms();
        let asked = ask(relay, &mut connection, upstream).await;
        let is_told = match &asked {
            Ok(asked) if asked.report == UpstreamReport::Unknown => is_reused && !asked.is_kept,
            Ok(_) => true,
            Err(_) => is_reused,
        };
        if !is_told {
            relay.record_other_answer(upstream, &asked, asked_at_ms);
        }
        match asked {
            Ok(ReceivedReport { report: UpstreamReport::OtherUpstream, .. }) => {
                relay.starts.lock().record_break(upstream, relay.now_ms());
                Err(ConnectError::OtherUpstream)
            }
            Ok(ReceivedReport { is_kept, .. }) => {
                relay.record_direct_response(target, &connection);
                if is_kept { Ok(connection) } else { Err(ConnectError::NotKept) }
            }
            Err(error) => {
                let is_link_cut = match error {
                    ExchangeError::TimedOut(_) => {
                        connection.carrier().is_none() && relay.record_direct_silence(target)
                    }
                    _ => relay.record_broken_link(target, &connection),
                };
                let is_carrier_broken = connection.carrier().is_some_and(Carrier::is_broken);
                let outcome = match is_link_cut || is_carrier_broken {
                    true => AttemptOutcome::Cancelled,
                    false => AttemptOutcome::Unresponsive,
                };
                Err(ConnectError::NotReported { detail: error.to_string(), outcome })
            }
        }
    }
}
