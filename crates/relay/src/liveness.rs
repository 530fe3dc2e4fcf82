//! Whether the end of a connection is that of the response whose end it stands for.
//!
//! Load pattern: a killed process closes its connections in order, as one does that has finished a response whose end
//! is that of its connection. At once, another start or another upstream may listen at its address.

use std::net::SocketAddr;
use std::time::Duration;

use hickorycourse_connections::{ConnectionPool, ExchangeError, UpstreamConnection};
use hickorycourse_starts::Acceptance;
use ntex::time::{sleep, timeout};
use serde_json::json;

use crate::adapter::UpstreamReport;
use crate::call::Call;
use crate::forwarding::DialTarget;
use crate::upstream_reports::{REPORT_TIMEOUT, ReceivedReport, acceptance, ask};

/// Time in which the ends of all connections of a killed process arrive.
const SETTLE_TIME: Duration = Duration::from_millis(20);

/// Time for which the end of a response is held back while its upstream is silent; longer than one report may take,
/// so that an upstream that never reports is told from one that is silent.
const MAX_CHECK_TIME: Duration = REPORT_TIMEOUT.saturating_add(Duration::from_millis(100));

/// Tells whether the start of an upstream that sent a response has outlived the connection.
pub struct LivenessCheck {
    target: DialTarget,
    accepted_by: Acceptance,
    /// Whether another process has carried the connection.
    is_carried: bool,
}

/// What is known of the start that sent a response, after its end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Liveness {
    /// It runs.
    Running,
    /// Another start of the upstream, or another upstream, is at its address.
    Replaced,
    /// Nothing is at its address, or it can't be reached.
    Unreachable,
    /// Its upstream does not tell.
    Unknown,
}

impl LivenessCheck {
    /// Creates the check for the upstream of a connection.
    pub fn new(target: DialTarget, connection: &UpstreamConnection) -> Self {
        let is_carried = connection.carrier().is_some();
        Self { target, accepted_by: acceptance(connection), is_carried }
    }

    /// Returns whether the response is complete: the start that sent it still runs, as the upstream reports it. Without
    /// reports, an idle connection that stays open, or else a new one, has to do. One that has announced its departure
    /// closes its listener after its last response.
    pub async fn is_complete(&self, call: &Call) -> bool {
        let ended_at_ms = call.relay.now_ms();
        let limit = MAX_CHECK_TIME.min(Duration::from_millis(call.remaining_ms().max(1)));
        let is_leaving = call.relay.directory.lock().is_leaving(self.target.upstream());
        let liveness = timeout(limit, self.ask(call)).await.unwrap_or(Liveness::Unreachable);
        call.relay.log.write("response_end_checked", || {
            json!({
                "request": call.request_id, "upstream": self.target.upstream(),
                "reported_start_ms": self.accepted_by.reported_start_ms,
                "liveness": format!("{liveness:?}"), "is_carried": self.is_carried,
                "is_leaving": is_leaving,
                "took_ms": call.relay.now_ms().saturating_sub(ended_at_ms),
            })
        });
        match liveness {
            Liveness::Running => true,
            Liveness::Replaced => false,
            Liveness::Unreachable | Liveness::Unknown if is_leaving => true,
            Liveness::Unreachable => false,
            Liveness::Unknown => {
                timeout(limit, self.is_reached(call, ended_at_ms)).await.unwrap_or(false)
            }
        }
    }

    /// Asks the upstream which start of it runs now. One that is silent is asked again.
    async fn ask(&self, call: &Call) -> Liveness {
        let relay = &call.relay;
        let upstream = self.target.upstream();
        if relay.unreported.lock().is_silent(upstream, relay.now_ms()) {
            return Liveness::Unknown;
        }
        // An idle connection may have been closed; a new one tells more.
        let mut max_idle_ms = u64::MAX;
        let mut has_failed = false;
        loop {
            let connected = match self.is_carried {
                true => call.connect(&self.target, max_idle_ms).await.ok(),
                false => self.connect_directly(call, max_idle_ms).await,
            };
            let Some(mut connection) = connected else { return Liveness::Unreachable };
            let may_be_closed = std::mem::take(&mut max_idle_ms) > 0 && connection.is_reused();
            match ask(&call.relay, &mut connection, self.target.upstream()).await {
                Err(_) if may_be_closed => {}
                Ok(ReceivedReport { report: UpstreamReport::Unknown, is_kept: false })
                    if may_be_closed => {}
                // One that was killed accepts no other connection, or has started again.
                Err(ExchangeError::Interrupted(_)) if !std::mem::replace(&mut has_failed, true) => {
                }
                Err(error) if !relay.starts.lock().has_reported(upstream) => {
                    let is_silent = matches!(error, ExchangeError::TimedOut(_));
                    relay.unreported.lock().record(upstream, is_silent, relay.now_ms());
                    return Liveness::Unknown;
                }
                Err(ExchangeError::TimedOut(_)) => {}
                Err(_) => return Liveness::Unreachable,
                Ok(ReceivedReport { report, is_kept }) => {
                    if is_kept {
                        call.connections.check_in(connection, call.relay.now_ms());
                    }
                    return self.judge(call, report);
                }
            }
        }
    }

    fn judge(&self, call: &Call, report: UpstreamReport) -> Liveness {
        let upstream = self.target.upstream();
        match report {
            UpstreamReport::OtherUpstream => Liveness::Replaced,
            UpstreamReport::Unknown => Liveness::Unknown,
            UpstreamReport::Running { started_at_ms } => {
                let starts = call.relay.starts.lock();
                match starts.is_accepted_by(upstream, &self.accepted_by, started_at_ms) {
                    true => Liveness::Running,
                    false => Liveness::Replaced,
                }
            }
        }
    }

    async fn connect_directly(&self, call: &Call, max_idle_ms: u64) -> Option<UpstreamConnection> {
        let (upstream, address) = self.destination();
        let now_ms = call.relay.now_ms();
        call.connections.checkout(upstream, address, max_idle_ms, now_ms).await.ok()
    }

    /// Returns whether an idle connection of the upstream stays open, or else whether a new one can be opened. A
    /// killed process breaks its other connections at the same moment.
    async fn is_reached(&self, call: &Call, ended_at_ms: u64) -> bool {
        sleep(SETTLE_TIME).await;
        let now_ms = call.relay.now_ms();
        let moment_ms = ended_at_ms.saturating_sub(SETTLE_TIME.as_millis() as u64);
        if call.relay.starts.lock().has_break_after(self.target.upstream(), moment_ms) {
            return false;
        }
        let pool: &ConnectionPool = &call.connections;
        let (upstream, address) = self.destination();
        if pool.has_idle(&upstream, address, ended_at_ms, now_ms) {
            return true;
        }
        match call.connect(&self.target, 0).await {
            Ok(connection) => {
                pool.check_in(connection, now_ms);
                true
            }
            Err(_) => false,
        }
    }

    fn destination(&self) -> (String, SocketAddr) {
        (self.target.upstream().to_owned(), self.target.address())
    }
}
