//! Connections on which upstreams can be asked after the end of a response.
//!
//! Load pattern: upstreams are released or scaled in one after the other, each in the midst of responses that end with their
//! connection. A leaving upstream may close its listener before these have ended, and ends at its time, whether they are
//! complete or not; then nothing listens at its address in either case. Other upstreams are killed and start again at
//! once, while ends of their responses are still on the way.
//!
//! An upstream that doesn't report its start is identified by the order of events at this end: if a request is sent
//! after a connection to the same address was accepted, and is answered, then one process has accepted both. The
//! connection is therefore opened before the request, and kept for the next one. [`WitnessPlan`] decides how many there are,
//! and when they are asked so that the upstream does not close them as idle.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::pin::pin;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;

use hickorycourse_clock::timeout;
use hickorycourse_connections::{ConnectionPool, ExchangeError, UpstreamConnection};
use hickorycourse_starts::{
    Admission, IdleTime, MAX_ASK_INTERVAL_MS, MIN_ASK_INTERVAL_MS, WitnessPlan,
};
use tokio::sync::{Mutex, Notify};
use tokio::task::{JoinHandle, spawn_local, yield_now};

use crate::adapter::UpstreamReport;
use crate::call::Call;
use crate::carried_witness::CarriedWitnessTable;
use crate::forwarding::DialTarget;
use crate::state::Relay;
use crate::upstream_reports::{
    LATE_REPORT_TIMEOUT, OtherAnswer, REPORT_TIMEOUT, ReceivedReport, acceptance, ask, ask_within,
};

/// Shortest interval between two checks of the connection.
const MIN_CHECK_INTERVAL_MS: u64 = MIN_ASK_INTERVAL_MS / 4;
/// Shortest time between two connections of a witness.
const OPEN_INTERVAL: Duration = Duration::from_millis(250);
/// Shortest time between two dials after one that has failed.
const RETRY_INTERVAL: Duration = Duration::from_millis(2_000);
/// Time for which a request waits for the connection of a witness.
pub(crate) const PREPARE_TIMEOUT: Duration = Duration::from_millis(100);
/// Time after the latest request for which the connection to an upstream that does not report its start is kept.
const LINGER_MS: u64 = 5_000;

/// A report on a connection of a witness.
#[derive(Clone, Copy, Debug)]
pub struct WitnessedReport {
    /// What it says.
    pub report: UpstreamReport,
    /// Time at which the connection had been accepted.
    pub opened_at_ms: u64,
    asked_at_ms: u64,
}

/// A witness connection that had been accepted before a request was sent.
#[derive(Clone)]
pub struct OpenWitness {
    witness: Rc<Witness>,
    opened_at_ms: u64,
}

impl OpenWitness {
    /// Time at which the connection had been accepted.
    pub fn opened_at_ms(&self) -> u64 {
        self.opened_at_ms
    }

    /// Returns whether the connection is still open.
    pub async fn is_open(&self) -> bool {
        let connection = self.witness.connection.lock().await;
        let open = connection.as_ref().filter(|open| !open.is_closed());
        open.is_some_and(|open| open.opened_at_ms() == self.opened_at_ms)
    }
}

/// A connection that is left idle to learn how long the upstream keeps it.
struct IdleProbe {
    connection: UpstreamConnection,
    since_ms: u64,
    seen_at_ms: u64,
}

/// A connection to an upstream that leaves or does not report its start, kept while requests to it are in progress. Dropping
/// it closes the connection.
pub struct Witness {
    target: DialTarget,
    connection: Mutex<Option<UpstreamConnection>>,
    latest: Cell<Option<WitnessedReport>>,
    /// Time before which no connection is opened.
    open_after_ms: Cell<u64>,
    /// Time at which the latest connection had been accepted, unless it was used up.
    opened_at_ms: Cell<Option<u64>>,
    kept_until_ms: Cell<u64>,
    /// Notified when the connection can't be used again, and with each request.
    changed: Rc<Notify>,
    /// Whether the task keeps the witness.
    is_attended: Cell<bool>,
    task: RefCell<Option<JoinHandle<()>>>,
    probe: RefCell<Option<IdleProbe>>,
    /// Time before which no connection is opened to learn the idle time.
    probe_after_ms: Cell<u64>,
    /// Time before which an upstream that was silent is not asked again.
    ask_again_after_ms: Cell<u64>,
    table: WitnessTable,
    /// Identifies it in the table.
    destination: String,
    has_place: Cell<bool>,
}

impl Drop for Witness {
    fn drop(&mut self) {
        if let Some(task) = self.task.get_mut() {
            task.abort();
        }
        if self.has_place.get() {
            self.table.plan.borrow_mut().release(&self.destination);
        }
    }
}

impl Witness {
    /// Returns what the upstream reports, now or at any time after `ended_at_ms`; `None` if there is no connection, or no
    /// answer in time. A late answer is still waited for in the background, as the connection proves the ends of other
    /// responses.
    pub async fn ask(
        self: &Rc<Self>,
        relay: &Arc<Relay>,
        ended_at_ms: u64,
    ) -> Option<WitnessedReport> {
        let (witness, relay) = (Rc::clone(self), Arc::clone(relay));
        let asked = spawn_local(async move { witness.ask_patiently(&relay, ended_at_ms).await });
        timeout(REPORT_TIMEOUT, asked).await.ok()?.ok()?
    }

    async fn ask_patiently(&self, relay: &Relay, ended_at_ms: u64) -> Option<WitnessedReport> {
        let mut connection = self.connection.lock().await;
        // The report that another response has waited for.
        let latest = self.latest.get().filter(|latest| latest.asked_at_ms > ended_at_ms);
        if latest.is_some() {
            return latest;
        }
        let taken = connection.take();
        let is_lost = taken.as_ref().is_some_and(UpstreamConnection::is_closed);
        let Some(mut open) = taken.filter(|open| !open.is_closed()) else {
            if is_lost {
                self.record_lost(relay.now_ms());
            }
            self.record_used_up();
            return None;
        };
        let asked_at_ms = relay.now_ms();
        let upstream = self.target.upstream();
        let asked = ask_within(relay, &mut open, upstream, LATE_REPORT_TIMEOUT).await;
        let accepted_by = acceptance(&open);
        match &asked {
            Ok(asked) if asked.is_kept => *connection = Some(open),
            Ok(_) => self.record_used_up(),
            Err(error) => {
                if !matches!(error, ExchangeError::TimedOut(_)) {
                    self.record_lost(asked_at_ms);
                }
                // The process may have ended, and another one may answer on a new connection.
                relay.starts.lock().record_break(self.target.upstream(), relay.now_ms());
                self.record_used_up();
            }
        }
        if let Ok(ReceivedReport { report: UpstreamReport::Unknown, is_kept: true }) = asked {
            relay.record_other_answer(self.target.upstream(), &asked, asked_at_ms);
        }
        let asked = asked.ok()?;
        let report = asked.report;
        let (upstream, now_ms) = (self.target.upstream(), relay.now_ms());
        let mut starts = relay.starts.lock();
        // Bytes that are no report may have been sent before the question.
        let is_answer = match report {
            UpstreamReport::Running { .. } => true,
            UpstreamReport::Unknown => asked.is_kept && !starts.has_reported(upstream),
            UpstreamReport::OtherUpstream => false,
        };
        if is_answer {
            starts.record_response(upstream, &accepted_by, asked_at_ms, now_ms);
        }
        drop(starts);
        let witnessed =
            WitnessedReport { report, opened_at_ms: accepted_by.opened_at_ms, asked_at_ms };
        self.latest.set(Some(witnessed));
        Some(witnessed)
    }

    /// Asks, as [`ask`](Self::ask), if the start that has accepted the connection is proven: the answer proves the start of
    /// connections that had been accepted by `accepted_at_ms`, too.
    async fn prove(self: &Rc<Self>, relay: &Arc<Relay>, accepted_at_ms: u64) {
        // A late report holds the connection for longer than a stream can wait.
        let Ok(connection) = timeout(REPORT_TIMEOUT, self.connection.lock()).await else { return };
        let accepted_by = connection.as_ref().map(acceptance);
        drop(connection);
        let Some(accepted_by) = accepted_by else { return };
        if relay.starts.lock().version(self.target.upstream(), &accepted_by).is_some() {
            self.ask(relay, accepted_at_ms).await;
        }
    }

    /// Asks an upstream that does not report its start, if it is time, so that it does not close the connection as idle.
    async fn refresh(self: &Rc<Self>, relay: &Arc<Relay>, is_in_use: bool) {
        let is_due = match self.connection.try_lock().as_deref() {
            Ok(Some(open)) => self.ask_at_ms(open, is_in_use) <= relay.now_ms(),
            Ok(None) | Err(_) => false,
        };
        if is_due && relay.other_answer(self.target.upstream()) == Some(OtherAnswer::Kept) {
            self.ask(relay, relay.now_ms()).await;
        }
    }

    /// Returns the time at which the upstream has to be asked so that it does not close the connection as idle.
    fn ask_at_ms(&self, open: &UpstreamConnection, is_in_use: bool) -> u64 {
        let mut interval_ms = MAX_ASK_INTERVAL_MS;
        if is_in_use {
            let plan = self.table.plan.borrow();
            interval_ms = plan.idle_time(&self.destination).ask_interval_ms();
        }
        let stated_ms = open.idle_timeout_ms().saturating_sub(OPEN_INTERVAL.as_millis() as u64);
        let asked_at_ms = self.latest.get().map_or(0, |latest| latest.asked_at_ms);
        open.opened_at_ms().max(asked_at_ms) + interval_ms.min(stated_ms.max(MIN_ASK_INTERVAL_MS))
    }

    /// Returns the time until the next check.
    fn check_interval(&self, relay: &Relay, is_in_use: bool) -> Duration {
        let now_ms = relay.now_ms();
        let interval_ms = match self.connection.try_lock().as_deref() {
            Ok(Some(open))
                if relay.other_answer(self.target.upstream()) == Some(OtherAnswer::Kept) =>
            {
                self.ask_at_ms(open, is_in_use).saturating_sub(now_ms)
            }
            Ok(None) if is_in_use => self.open_after_ms.get().saturating_sub(now_ms),
            Ok(_) => MAX_ASK_INTERVAL_MS,
            Err(_) => MIN_ASK_INTERVAL_MS,
        };
        let interval_ms = interval_ms.clamp(MIN_CHECK_INTERVAL_MS, MAX_ASK_INTERVAL_MS);
        Duration::from_millis(interval_ms)
    }

    /// Returns whether a response needs the witness, of which the caller holds this many references.
    fn is_in_use(self: &Rc<Self>, held: usize) -> bool {
        Rc::strong_count(self) > held + usize::from(self.is_attended.get())
    }

    /// Records that the connection was closed by this time.
    fn record_lost(&self, now_ms: u64) {
        let asked_at_ms = self.latest.get().map_or(0, |latest| latest.asked_at_ms);
        let used_at_ms = self.opened_at_ms.get().unwrap_or_default().max(asked_at_ms);
        let mut plan = self.table.plan.borrow_mut();
        if let Some(idle_time) = plan.idle_time_mut(&self.destination) {
            idle_time.record_lost(now_ms.saturating_sub(used_at_ms));
            if *idle_time == IdleTime::default() {
                self.probe.take();
            }
        }
    }

    /// Records for how long the upstream has kept the connection that is left idle.
    fn check_probe(&self, now_ms: u64) {
        let mut probe = self.probe.borrow_mut();
        let mut plan = self.table.plan.borrow_mut();
        let Some(open) = probe.as_mut() else { return };
        let Some(idle_time) = plan.idle_time_mut(&self.destination) else {
            *probe = None;
            return;
        };
        if open.connection.is_closed() {
            idle_time.record_closed(open.seen_at_ms.saturating_sub(open.since_ms), now_ms);
        } else {
            idle_time.record_kept(now_ms.saturating_sub(open.since_ms));
            open.seen_at_ms = now_ms;
        }
        if open.connection.is_closed() || !idle_time.is_sought(now_ms) {
            *probe = None;
        }
    }

    /// Opens a connection that is asked once, as the one that is kept, and left idle then, if that tells more.
    fn start_probe(self: &Rc<Self>, relay: &Arc<Relay>, connections: &ConnectionPool) {
        let (upstream, now_ms) = (self.target.upstream(), relay.now_ms());
        if self.probe.borrow().is_some()
            || now_ms < self.probe_after_ms.get()
            || relay.other_answer(upstream) != Some(OtherAnswer::Kept)
            || self.opened_at_ms().is_none()
            || !self.table.plan.borrow().idle_time(&self.destination).is_sought(now_ms)
        {
            return;
        }
        self.probe_after_ms.set(now_ms + RETRY_INTERVAL.as_millis() as u64);
        let (relay, connections) = (Arc::clone(relay), connections.clone());
        let (target, witness) = (self.target.clone(), Rc::downgrade(self));
        spawn_local(async move {
            let upstream = target.upstream();
            let opened =
                connections.open(upstream.to_owned(), target.address(), relay.now_ms()).await;
            let Ok(mut connection) = opened else { return };
            let asked = ask(&relay, &mut connection, upstream).await;
            let Some(witness) = witness.upgrade() else { return };
            if asked.is_ok_and(|asked| asked.is_kept) {
                let now_ms = relay.now_ms();
                let probe = IdleProbe { connection, since_ms: now_ms, seen_at_ms: now_ms };
                witness.probe.replace(Some(probe));
            }
        });
    }

    /// Asks an upstream that was silent when it was asked, on a connection of its own: one that only was late is then known
    /// not to be silent, while one that never answers does not take the witness.
    fn ask_again(&self, relay: &Arc<Relay>, connections: &ConnectionPool) {
        let now_ms = relay.now_ms();
        if relay.other_answer(self.target.upstream()) != Some(OtherAnswer::Silent)
            || now_ms < self.ask_again_after_ms.get()
        {
            return;
        }
        self.ask_again_after_ms.set(now_ms + LATE_REPORT_TIMEOUT.as_millis() as u64);
        let (relay, connections) = (Arc::clone(relay), connections.clone());
        let (target, changed) = (self.target.clone(), Rc::clone(&self.changed));
        spawn_local(async move {
            let upstream = target.upstream();
            let asked_at_ms = relay.now_ms();
            let opened = connections.open(upstream.to_owned(), target.address(), asked_at_ms).await;
            let Ok(mut connection) = opened else { return };
            let asked = ask_within(&relay, &mut connection, upstream, LATE_REPORT_TIMEOUT).await;
            if let Ok(ReceivedReport { report: UpstreamReport::Unknown, is_kept: true }) = asked {
                relay.record_other_answer(upstream, &asked, asked_at_ms);
                changed.notify_one();
            }
        });
    }

    fn record_used_up(&self) {
        self.opened_at_ms.set(None);
        self.changed.notify_one();
    }

    /// Returns when the connection had been accepted; `None` if there is none. Doesn't wait for an answer on it.
    fn opened_at_ms(&self) -> Option<u64> {
        let Ok(connection) = self.connection.try_lock() else { return self.opened_at_ms.get() };
        let open = connection.as_ref().filter(|open| !open.is_closed());
        open.map(UpstreamConnection::opened_at_ms)
    }

    /// Opens the connection unless there is one, or one was tried a moment ago.
    async fn open(&self, relay: &Relay, connections: &ConnectionPool) {
        let mut connection = self.connection.lock().await;
        let now_ms = relay.now_ms();
        let is_open = connection.as_ref().is_some_and(|open| !open.is_closed());
        if is_open || now_ms < self.open_after_ms.get() {
            return;
        }
        if connection.take().is_some() {
            self.record_lost(now_ms);
        }
        if !self.table.admit(self, now_ms) {
            self.open_after_ms.set(now_ms + OPEN_INTERVAL.as_millis() as u64);
            metrics::counter!("hickorycourse_witnesses_total", "outcome" => "refused").increment(1);
            return;
        }
        // The dial may be cancelled.
        self.open_after_ms.set(now_ms + RETRY_INTERVAL.as_millis() as u64);
        self.opened_at_ms.set(None);
        let (upstream, address) = (self.target.upstream().to_owned(), self.target.address());
        let opened = connections.open(upstream, address, now_ms).await;
        let outcome = if opened.is_ok() { "opened" } else { "failed" };
        metrics::counter!("hickorycourse_witnesses_total", "outcome" => outcome).increment(1);
        if opened.is_ok() {
            self.open_after_ms.set(now_ms + OPEN_INTERVAL.as_millis() as u64);
        }
        *connection = opened.ok();
        self.opened_at_ms.set(connection.as_ref().map(UpstreamConnection::opened_at_ms));
    }
}

/// The witnesses of one thread, one for each upstream that leaves or does not report its start.
#[derive(Clone, Default)]
pub struct WitnessTable {
    witnesses: Rc<RefCell<HashMap<String, Weak<Witness>>>>,
    plan: Rc<RefCell<WitnessPlan>>,
    /// Those that peers carry.
    pub(crate) carried: CarriedWitnessTable,
}

impl WitnessTable {
    /// Returns the witness of an upstream.
    pub fn get(
        &self,
        relay: &Arc<Relay>,
        connections: &ConnectionPool,
        target: &DialTarget,
    ) -> Rc<Witness> {
        let mut witnesses = self.witnesses.borrow_mut();
        let destination = format!("{} {}", target.upstream(), target.address());
        if let Some(known) = witnesses.get(&destination).and_then(Weak::upgrade) {
            return known;
        }
        witnesses.retain(|_, witness| witness.strong_count() > 0);
        let changed = Rc::new(Notify::new());
        let witness = Rc::new(Witness {
            target: target.clone(),
            connection: Mutex::default(),
            latest: Cell::default(),
            open_after_ms: Cell::default(),
            opened_at_ms: Cell::default(),
            kept_until_ms: Cell::default(),
            changed: Rc::clone(&changed),
            is_attended: Cell::default(),
            task: RefCell::default(),
            probe: RefCell::default(),
            probe_after_ms: Cell::default(),
            ask_again_after_ms: Cell::default(),
            table: self.clone(),
            destination: destination.clone(),
            has_place: Cell::default(),
        });
        let task = spawn_local(attend(
            Arc::clone(relay),
            connections.clone(),
            target.upstream().to_owned(),
            Rc::downgrade(&witness),
            changed,
        ));
        witness.task.replace(Some(task));
        witnesses.insert(destination, Rc::downgrade(&witness));
        witness
    }

    /// Returns whether a witness may open its connection. Closes another one if it takes its place.
    fn admit(&self, witness: &Witness, now_ms: u64) -> bool {
        let admission = {
            let witnesses = self.witnesses.borrow();
            let is_in_use = |destination: &str| {
                let known = witnesses.get(destination).and_then(Weak::upgrade);
                known.is_some_and(|known| known.is_in_use(1))
            };
            self.plan.borrow_mut().admit(&witness.destination, now_ms, is_in_use)
        };
        witness.has_place.set(admission != Admission::Refused);
        if let Admission::Replacing(destination) = &admission {
            let replaced = self.witnesses.borrow_mut().remove(destination);
            if let Some(replaced) = replaced.as_ref().and_then(Weak::upgrade) {
                replaced.has_place.set(false);
                if let Some(task) = replaced.task.take() {
                    task.abort();
                }
            }
        }
        admission != Admission::Refused
    }
}

/// Keeps the connection of a witness open while a response needs it. Aborted with the witness.
async fn attend(
    relay: Arc<Relay>,
    connections: ConnectionPool,
    upstream: String,
    witness: Weak<Witness>,
    changed: Rc<Notify>,
) {
    relay.await_need(&upstream).await;
    let mut kept = None;
    while let Some(attended) = kept.take().or_else(|| witness.upgrade()) {
        attended.is_attended.set(true);
        // The ends of connections that have arrived are read first.
        yield_now().await;
        attended.check_probe(relay.now_ms());
        attended.refresh(&relay, attended.is_in_use(0)).await;
        let is_in_use = attended.is_in_use(0);
        if is_in_use {
            attended.ask_again(&relay, &connections);
            attended.open(&relay, &connections).await;
            attended.start_probe(&relay, &connections);
        }
        let check_interval = attended.check_interval(&relay, is_in_use);
        let is_kept = relay.now_ms() < attended.kept_until_ms.get();
        attended.is_attended.set(is_kept);
        kept = is_kept.then_some(attended);
        let _ = timeout(check_interval, changed.notified()).await;
    }
}

impl Call {
    /// Proves, by an answer on a proven connection, which start has accepted another one, if its upstream does not report
    /// that.
    pub(crate) async fn prove_start(&self, target: &DialTarget, connection: &UpstreamConnection) {
        if let Some(witness) = self.find_prover(target, connection) {
            witness.prove(&self.relay, connection.opened_at_ms()).await;
        }
    }

    /// As [`prove_start`](Self::prove_start), in the background.
    pub(crate) fn prove_start_later(&self, target: &DialTarget, connection: &UpstreamConnection) {
        if let Some(witness) = self.find_prover(target, connection) {
            let (relay, opened_at_ms) = (Arc::clone(&self.relay), connection.opened_at_ms());
            spawn_local(async move { witness.prove(&relay, opened_at_ms).await });
        }
    }

    fn find_prover(
        &self,
        target: &DialTarget,
        connection: &UpstreamConnection,
    ) -> Option<Rc<Witness>> {
        let (relay, upstream) = (&self.relay, target.upstream());
        if connection.carrier().is_some() || relay.other_answer(upstream) != Some(OtherAnswer::Kept)
        {
            return None;
        }
        let is_proven = relay.starts.lock().version(upstream, &acceptance(connection)).is_some();
        (!is_proven).then(|| self.witnesses.get(relay, &self.connections, target))
    }

    /// Opens a connection beside the one of a request, or returns the one that is open, to an upstream that does not report
    /// its start. After the response it shows whether the upstream still runs. `None` where it can be reached through a
    /// peer only.
    pub(crate) async fn open_witness(
        &self,
        target: &DialTarget,
        connection: &UpstreamConnection,
    ) -> Option<OpenWitness> {
        let relay = &self.relay;
        if connection.carrier().is_some() || !relay.is_unreported(target.upstream()) {
            return None;
        }
        let witness = self.witnesses.get(relay, &self.connections, target);
        witness.kept_until_ms.set(relay.now_ms() + LINGER_MS);
        if witness.opened_at_ms().is_none() {
            let _ = timeout(PREPARE_TIMEOUT, witness.open(relay, &self.connections)).await;
        }
        witness.changed.notify_one();
        let opened_at_ms = witness.opened_at_ms()?;
        witness.table.plan.borrow_mut().record_use(&witness.destination, relay.now_ms());
        Some(OpenWitness { witness, opened_at_ms })
    }
}

impl Relay {
    /// Waits until an upstream leaves, is no longer listed or is known not to report its start.
    async fn await_need(&self, upstream: &str) {
        loop {
            let mut changed = pin!(self.witness_needed.notified());
            changed.as_mut().enable();
            if self.is_unreported(upstream) || self.is_departed(upstream) {
                return;
            }
            changed.await;
        }
    }

    /// Returns whether an upstream leaves or is no longer listed.
    pub fn is_departed(&self, upstream: &str) -> bool {
        let directory = self.directory.lock();
        directory.is_leaving(upstream) || directory.get(upstream).is_none()
    }
}
