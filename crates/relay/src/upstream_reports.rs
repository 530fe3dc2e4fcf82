//! Reports of upstreams on themselves, which tell which start has accepted a connection.
//!
//! The platform lists a start after it has accepted connections. A stream that may be resumed is therefore sent on a
//! connection on which the upstream has reported its start; the report is asked for once on each connection.

use std::collections::HashMap;
use std::time::Duration;

use hickorycourse_connections::{
    Carrier, DIAL_TIMEOUT, ExchangeError, ResponseBody, UpstreamConnection,
};
use hickorycourse_placement::AttemptOutcome;
use hickorycourse_routes::RetrySemantics;
use hickorycourse_starts::Acceptance;
use http::Response;
use http_body_util::{BodyExt, Full};
use hyper::body::Bytes;
use ntex::time::timeout;
use serde_json::json;

use crate::adapter::UpstreamReport;
use crate::attempt::Attempt;
use crate::call::{Call, RetryState};
use crate::forwarding::{DialError, DialTarget};
use crate::state::Relay;

/// Time for a report.
const REPORT_TIMEOUT: Duration = DIAL_TIMEOUT;
/// Largest body of a report.
const MAX_REPORT_BYTES: usize = 64 * 1024;
/// Time for which an upstream that has not reported its start is not asked again.
const UNKNOWN_PERIOD_MS: u64 = 30_000;
/// Upstreams without reports that are kept.
const MAX_UNREPORTED: usize = 16_384;

/// Upstreams that do not report their starts.
#[derive(Debug, Default)]
pub struct UnreportedUpstreams {
    until_ms: HashMap<String, u64>,
}

impl UnreportedUpstreams {
    fn record(&mut self, upstream: &str, now_ms: u64) {
        if self.until_ms.len() >= MAX_UNREPORTED {
            self.until_ms.retain(|_, until_ms| *until_ms > now_ms);
        }
        if self.until_ms.len() < MAX_UNREPORTED {
            self.until_ms.insert(upstream.to_owned(), now_ms + UNKNOWN_PERIOD_MS);
        }
    }

    fn contains(&self, upstream: &str, now_ms: u64) -> bool {
        self.until_ms.get(upstream).is_some_and(|until_ms| *until_ms > now_ms)
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
    /// The start that has accepted the connection is not known to be of the version that is asked for.
    #[error("the upstream has started again with another version, or its version is not known")]
    OtherVersion,
}

impl ConnectError {
    /// The outcome of the attempt for the health of the upstream.
    pub fn outcome(&self) -> AttemptOutcome {
        match self {
            Self::Dial(error) => error.outcome(),
            Self::NotReported { outcome, .. } => *outcome,
            Self::OtherUpstream => AttemptOutcome::Refused,
            Self::OtherVersion => AttemptOutcome::Cancelled,
        }
    }
}

/// Returns what a connection tells of the start that has accepted it.
pub fn acceptance(connection: &UpstreamConnection) -> Acceptance {
    Acceptance {
        reported_start_ms: connection.reported_start_ms(),
        dialled_at_ms: connection.dialled_at_ms(),
        opened_at_ms: connection.opened_at_ms(),
    }
}

/// Asks the upstream of a connection for its report.
///
/// # Errors
/// The connection must not be used again.
pub async fn ask(
    relay: &Relay,
    connection: &mut UpstreamConnection,
    upstream: &str,
) -> Result<UpstreamReport, ExchangeError> {
    let request = relay.protocol.make_report_request(upstream).map(|()| Full::<Bytes>::default());
    let asked_at_ms = relay.now_ms();
    let response = connection.send(request, REPORT_TIMEOUT).await?;
    let status = response.status().as_u16();
    let body = timeout(REPORT_TIMEOUT, read_body(response))
        .await
        .map_err(|()| ExchangeError::TimedOut("the report is not complete".to_owned()))??;
    let report = relay.protocol.read_report(status, &body);
    let now_ms = relay.now_ms();
    let outcome = match report {
        UpstreamReport::Running { started_at_ms } => {
            connection.record_reported_start(started_at_ms);
            relay.starts.lock().record_reported(upstream, started_at_ms, asked_at_ms, now_ms);
            "running"
        }
        UpstreamReport::OtherUpstream => "other_upstream",
        UpstreamReport::Unknown => "unknown",
    };
    metrics::counter!("hickorycourse_upstream_reports_total", "outcome" => outcome).increment(1);
    connection.ready(REPORT_TIMEOUT).await?;
    Ok(report)
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
    /// Returns the version of the start that has accepted a connection to an upstream; `None` if it is not known, or
    /// not yet. With `must_be_proven`, one that only nothing speaks against is not known.
    pub fn version_of(
        &self,
        upstream: &str,
        acceptance: &Acceptance,
        must_be_proven: bool,
    ) -> Option<String> {
        let starts = self.starts.lock();
        let known = starts.version(upstream, acceptance);
        known.filter(|known| known.is_proven || !must_be_proven).map(|known| known.version.into())
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
        if self.route.repeat != RetrySemantics::ResumableStream {
            return Ok(connection);
        }
        let is_reused = connection.is_reused();
        let upstream = attempt.placement.upstream.as_str();
        let connection = match self.identify(connection, target, upstream).await {
            // The upstream may have closed an idle connection, or closes it after a request that it does not know.
            Err(ConnectError::NotReported { .. }) if is_reused || self.is_unreported(upstream) => {
                let connection = self.connect(target, 0).await?;
                self.identify(connection, target, upstream).await?
            }
            identified => identified?,
        };
        let Some(version) = &retry_state.version else { return Ok(connection) };
        let accepted_by = acceptance(&connection);
        let found = self.relay.version_of(upstream, &accepted_by, false);
        if found.as_ref() == Some(version) {
            return Ok(connection);
        }
        self.relay.log.write("upstream_passed_over", || {
            json!({
                "request": self.request_id, "upstream": upstream, "version": version,
                "found": found, "reported_start_ms": accepted_by.reported_start_ms,
            })
        });
        self.connections.check_in(connection, self.relay.now_ms());
        Err(ConnectError::OtherVersion)
    }

    fn is_unreported(&self, upstream: &str) -> bool {
        self.relay.unreported.lock().contains(upstream, self.relay.now_ms())
    }

    /// Asks the upstream for its start, unless it has reported it on this connection before.
    async fn identify(
        &self,
        mut connection: UpstreamConnection,
        target: &DialTarget,
        upstream: &str,
    ) -> Result<UpstreamConnection, ConnectError> {
        if connection.reported_start_ms().is_some() || self.is_unreported(upstream) {
            return Ok(connection);
        }
        let relay = &self.relay;
        let asked = ask(relay, &mut connection, upstream).await;
        if matches!(asked, Ok(UpstreamReport::Unknown)) || self.has_never_reported(&asked, upstream)
        {
            relay.unreported.lock().record(upstream, relay.now_ms());
        }
        match asked {
            Ok(UpstreamReport::OtherUpstream) => Err(ConnectError::OtherUpstream),
            Ok(UpstreamReport::Running { .. } | UpstreamReport::Unknown) => {
                relay.record_direct_response(target, &connection);
                Ok(connection)
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

    /// Returns whether an upstream is silent when it is asked for a report, and has never sent one.
    fn has_never_reported(
        &self,
        asked: &Result<UpstreamReport, ExchangeError>,
        upstream: &str,
    ) -> bool {
        matches!(asked, Err(ExchangeError::TimedOut(_)))
            && !self.relay.starts.lock().has_reported(upstream)
    }
}
