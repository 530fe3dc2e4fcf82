//! Whether the end of a connection is that of the response whose end it stands for.
//!
//! Load pattern: a killed process closes its connections in order, as one does that has finished a response whose end
//! is that of its connection. At once, another start or another upstream may listen at its address.

use std::net::SocketAddr;
use std::time::Duration;

use hickorycourse_connections::{ConnectionPool, UpstreamConnection};
use hickorycourse_starts::Acceptance;
use ntex::time::sleep;
use serde_json::json;

use crate::adapter::UpstreamReport;
use crate::call::Call;
use crate::forwarding::DialTarget;
use crate::upstream_reports::{acceptance, ask};

/// Time in which the ends of all connections of a killed process arrive.
const SETTLE_TIME: Duration = Duration::from_millis(20);

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
    /// It has ended, or can't be reached.
    Ended,
    /// Its upstream does not tell.
    Unknown,
}

impl LivenessCheck {
    /// Creates the check for the upstream of a connection.
    pub fn new(target: DialTarget, connection: &UpstreamConnection) -> Self {
        let is_carried = connection.carrier().is_some();
        Self { target, accepted_by: acceptance(connection), is_carried }
    }

    /// Returns whether the start that sent the response still runs, as the upstream reports it. Without reports, an
    /// idle connection that stays open, or else a new one, has to do.
    pub async fn is_alive(&self, call: &Call) -> bool {
        let ended_at_ms = call.relay.now_ms();
        let liveness = self.ask(call).await;
        call.relay.log.write("response_end_checked", || {
            json!({
                "request": call.request_id, "upstream": self.target.upstream(),
                "reported_start_ms": self.accepted_by.reported_start_ms,
                "outcome": format!("{liveness:?}"), "is_carried": self.is_carried,
                "took_ms": call.relay.now_ms().saturating_sub(ended_at_ms),
            })
        });
        match liveness {
            Liveness::Running => true,
            Liveness::Ended => false,
            Liveness::Unknown => self.is_reached(call, ended_at_ms).await,
        }
    }

    /// Asks the upstream which start of it runs now.
    async fn ask(&self, call: &Call) -> Liveness {
        // An idle connection may have been closed; a new one tells more.
        for max_idle_ms in [u64::MAX, 0] {
            let connected = match self.is_carried {
                true => call.connect(&self.target, max_idle_ms).await.ok(),
                false => self.connect_directly(call, max_idle_ms).await,
            };
            let Some(mut connection) = connected else { return Liveness::Ended };
            let is_reused = connection.is_reused();
            let asked = ask(&call.relay, &mut connection, self.target.upstream()).await;
            let now_ms = call.relay.now_ms();
            match asked {
                Err(_) if is_reused => {}
                Err(_) => return Liveness::Ended,
                Ok(UpstreamReport::OtherUpstream) => return Liveness::Ended,
                Ok(UpstreamReport::Unknown) => return Liveness::Unknown,
                Ok(UpstreamReport::Running { started_at_ms }) => {
                    call.connections.check_in(connection, now_ms);
                    let starts = call.relay.starts.lock();
                    let upstream = self.target.upstream();
                    return match starts.is_accepted_by(upstream, &self.accepted_by, started_at_ms) {
                        true => Liveness::Running,
                        false => Liveness::Ended,
                    };
                }
            }
        }
        Liveness::Ended
    }

    async fn connect_directly(&self, call: &Call, max_idle_ms: u64) -> Option<UpstreamConnection> {
        let (upstream, address) = self.destination();
        let now_ms = call.relay.now_ms();
        call.connections.checkout(upstream, address, max_idle_ms, now_ms).await.ok()
    }

    /// Returns whether an idle connection of the upstream stays open, or else whether a new one can be opened.
    async fn is_reached(&self, call: &Call, ended_at_ms: u64) -> bool {
        sleep(SETTLE_TIME).await;
        let now_ms = call.relay.now_ms();
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
