//! Whether the end of a connection is that of the response whose end it stands for.
//!
//! Load pattern: a killed process closes its connections in order, as one does that has finished a response whose end
//! is that of its connection. At once, another start or another upstream may listen at its address.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hickorycourse_clock::{sleep, timeout};
use hickorycourse_connections::{ConnectionPool, ExchangeError, UpstreamConnection};
use hickorycourse_starts::Acceptance;
use serde_json::json;

use crate::adapter::UpstreamReport;
use crate::attempt::Attempt;
use crate::call::Call;
use crate::carried_witness::OpenCarriedWitness;
use crate::forwarding::DialTarget;
use crate::upstream_reports::{OtherAnswer, REPORT_TIMEOUT, ReceivedReport, acceptance, ask};
use crate::witness::{OpenWitness, Witness};

/// Time in which the ends of all connections of a killed process arrive.
const SETTLE_TIME: Duration = Duration::from_millis(20);

/// The same for a witness that can't be asked: nothing but its end tells of that of its process, which may be preempted
/// while it ends.
const WITNESS_SETTLE_TIME: Duration = Duration::from_millis(116);

/// Time for which the end of a response is held back while its upstream is silent; longer than one report may take,
/// so that an upstream that never reports is told from one that is silent.
const MAX_CHECK_TIME: Duration = REPORT_TIMEOUT.saturating_add(Duration::from_millis(100));

/// Tells whether the start of an upstream that sent a response has outlived the connection.
pub struct LivenessCheck {
    target: DialTarget,
    accepted_by: Acceptance,
    /// Time at which the request was sent, which the upstream has answered.
    sent_at_ms: u64,
    /// Absent if another process has carried the connection.
    witness: Option<Rc<Witness>>,
    /// The witness connection that had been accepted before the request was sent.
    open_witness: Option<OpenWitness>,
    /// The same, carried by a peer.
    carried_witness: Option<OpenCarriedWitness>,
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
    /// Creates the check for the response to an attempt that arrives on a connection.
    pub fn new(call: &Call, attempt: &Attempt, connection: &UpstreamConnection) -> Self {
        let target = call.dial_target(&attempt.placement);
        let is_direct = connection.carrier().is_none();
        let witness =
            is_direct.then(|| call.witnesses.get(&call.relay, &call.connections, &target));
        let accepted_by = acceptance(connection);
        let sent_at_ms = attempt.sent_at_ms().unwrap_or(accepted_by.dialled_at_ms);
        let open_witness = attempt.witness().cloned();
        let carried_witness = attempt.carried_witness().cloned();
        Self { target, accepted_by, sent_at_ms, witness, open_witness, carried_witness }
    }

    /// Returns whether the response is complete: the start that sent it still runs, as the upstream shows by an answer.
    /// Where an upstream never answers, a connection that was open before the request and stays open has to do.
    pub async fn is_complete(&self, call: &Call) -> bool {
        let ended_at_ms = call.relay.now_ms();
        let limit = MAX_CHECK_TIME.min(Duration::from_millis(call.remaining_ms().max(1)));
        let is_departed = call.relay.is_departed(self.target.upstream());
        let asked = timeout(limit, self.ask(call, ended_at_ms)).await;
        let (liveness, asked_on) = asked.unwrap_or((Liveness::Unreachable, "none"));
        call.relay.log.write("response_end_checked", || {
            json!({
                "request": call.request_id, "upstream": self.target.upstream(),
                "reported_start_ms": self.accepted_by.reported_start_ms,
                "liveness": format!("{liveness:?}"), "asked_on": asked_on,
                "is_carried": self.witness.is_none(),
                "is_departed": is_departed,
                "has_witness": self.open_witness.is_some() || self.carried_witness.is_some(),
                "took_ms": call.relay.now_ms().saturating_sub(ended_at_ms),
            })
        });
        match liveness {
            Liveness::Running => true,
            Liveness::Replaced | Liveness::Unreachable => false,
            Liveness::Unknown => {
                timeout(limit, self.is_reached(call, ended_at_ms)).await.unwrap_or(false)
            }
        }
    }

    /// Asks the upstream which start of it runs now. One that is silent is asked again. Returns also on which
    /// connection it has been asked.
    async fn ask(&self, call: &Call, ended_at_ms: u64) -> (Liveness, &'static str) {
        let relay = &call.relay;
        let upstream = self.target.upstream();
        let answer = relay.other_answer(upstream);
        if let Some(OtherAnswer::Closing | OtherAnswer::Silent) = answer {
            return (Liveness::Unknown, "none");
        }
        // Being asked may cost the connection of a witness.
        let is_answered = answer.is_some() || relay.starts.lock().has_reported(upstream);
        if let Some(witness) = self.witness.as_ref().filter(|_| is_answered)
            && let Some(witnessed) = witness.ask(relay, ended_at_ms).await
        {
            let liveness = self.judge(call, witnessed.report, witnessed.opened_at_ms);
            if liveness != Liveness::Unknown {
                return (liveness, "witness");
            }
        }
        if let Some(witness) = &self.carried_witness
            && let Some(report) = witness.ask(relay, ended_at_ms).await
        {
            return (self.conclude(call, report, self.sent_at_ms), "witness");
        }
        // An idle connection may have been closed; a new one tells more.
        let mut max_idle_ms = u64::MAX;
        let mut has_failed = false;
        loop {
            let connected = match &self.witness {
                None => call.connect(&self.target.for_reports(), max_idle_ms).await.ok(),
                Some(_) => self.connect_directly(call, max_idle_ms).await,
            };
            let Some(mut connection) = connected else { return (Liveness::Unreachable, "none") };
            let may_be_closed = std::mem::take(&mut max_idle_ms) > 0 && connection.is_reused();
            let asked_at_ms = relay.now_ms();
            let asked = ask(relay, &mut connection, upstream).await;
            match asked {
                Err(_) if may_be_closed => {}
                Ok(ReceivedReport { report: UpstreamReport::Unknown, is_kept: false })
                    if may_be_closed && connection.opened_at_ms() > self.sent_at_ms => {}
                // Late bytes of an earlier response may stand in place of the report.
                Ok(ReceivedReport { report: UpstreamReport::Unknown, .. })
                    if may_be_closed && relay.starts.lock().has_reported(upstream) => {}
                // One that was killed accepts no other connection, or has started again.
                Err(ExchangeError::Interrupted(_)) if !std::mem::replace(&mut has_failed, true) => {
                }
                Err(_) if !relay.starts.lock().has_reported(upstream) => {
                    relay.record_other_answer(upstream, &asked, asked_at_ms);
                    return (Liveness::Unknown, "new");
                }
                Err(ExchangeError::TimedOut(_)) => {}
                Err(_) => return (Liveness::Unreachable, "none"),
                Ok(ReceivedReport { report, is_kept }) => {
                    if report == UpstreamReport::Unknown {
                        relay.record_other_answer(upstream, &asked, asked_at_ms);
                    }
                    let opened_at_ms = connection.opened_at_ms();
                    if is_kept {
                        call.connections.check_in(connection, call.relay.now_ms());
                    }
                    let asked_on = if opened_at_ms > ended_at_ms { "new" } else { "idle" };
                    return (self.conclude(call, report, opened_at_ms), asked_on);
                }
            }
        }
    }

    /// Judges a report as [`judge`](Self::judge) does, if the upstream is not asked again: one that has reported its start
    /// proves nothing by connections that stay open.
    fn conclude(&self, call: &Call, report: UpstreamReport, opened_at_ms: u64) -> Liveness {
        match self.judge(call, report, opened_at_ms) {
            Liveness::Unknown if call.relay.starts.lock().has_reported(self.target.upstream()) => {
                Liveness::Unreachable
            }
            liveness => liveness,
        }
    }

    /// Judges a report on a connection that had been accepted at `opened_at_ms`.
    fn judge(&self, call: &Call, report: UpstreamReport, opened_at_ms: u64) -> Liveness {
        let upstream = self.target.upstream();
        match report {
            UpstreamReport::OtherUpstream => Liveness::Replaced,
            // An upstream that reports its start has not answered.
            UpstreamReport::Unknown if call.relay.starts.lock().has_reported(upstream) => {
                Liveness::Unknown
            }
            // The request was sent later, and answered: by the same process.
            UpstreamReport::Unknown if self.is_accepted_before(opened_at_ms) => Liveness::Running,
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

    /// Returns whether a connection that had been accepted at this time is older than the request.
    fn is_accepted_before(&self, opened_at_ms: u64) -> bool {
        let witness = self.open_witness.as_ref();
        opened_at_ms <= self.sent_at_ms
            || witness.is_some_and(|witness| witness.opened_at_ms() == opened_at_ms)
    }

    /// Returns whether a connection that had been accepted before the request stays open: a killed process breaks all
    /// of its connections at the same moment. A new connection may be one of its next start.
    async fn is_reached(&self, call: &Call, ended_at_ms: u64) -> bool {
        sleep(WITNESS_SETTLE_TIME).await;
        let now_ms = call.relay.now_ms();
        let moment_ms = ended_at_ms.saturating_sub(SETTLE_TIME.as_millis() as u64);
        if call.relay.starts.lock().has_break_after(self.target.upstream(), moment_ms) {
            return false;
        }
        if self.witness.is_none() {
            return match &self.carried_witness {
                Some(witness) => witness.is_open().await,
                None => false,
            };
        }
        if let Some(witness) = &self.open_witness
            && witness.is_open().await
        {
            return true;
        }
        let pool: &ConnectionPool = &call.connections;
        let (upstream, address) = self.destination();
        pool.has_idle(&upstream, address, self.sent_at_ms, now_ms)
    }

    fn destination(&self) -> (String, SocketAddr) {
        (self.target.upstream().to_owned(), self.target.address())
    }
}
