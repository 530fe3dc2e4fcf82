//! Connections that peers carry, on which upstreams can be asked after the end of a response.
//!
//! Load pattern: an instance whose links are cut sends requests through its peers. Upstreams that do not report their starts
//! are killed and start again at once, while ends of their responses are still on the way. As a direct witness, the
//! connection is accepted before the request is sent: if the request is answered, one process has accepted both.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::{Rc, Weak};

use hickorycourse_clock::timeout;
use hickorycourse_connections::{Carrier, UpstreamConnection};
use tokio::sync::Mutex;

use crate::adapter::UpstreamReport;
use crate::call::Call;
use crate::forwarding::DialTarget;
use crate::state::Relay;
use crate::upstream_reports::ask;
use crate::witness::PREPARE_TIMEOUT;

/// Shortest time between two tries to open a connection after one that has failed.
const RETRY_INTERVAL_MS: u64 = 2_000;

/// A report on the connection of a witness.
#[derive(Clone, Copy, Debug)]
struct CarriedReport {
    report: UpstreamReport,
    asked_at_ms: u64,
    number: u64,
}

/// A connection to an upstream that is not known to report its start, kept while requests through peers to it are in
/// progress on this thread.
struct CarriedWitness {
    target: DialTarget,
    connection: Mutex<Option<UpstreamConnection>>,
    /// Number of the latest connection.
    number: Cell<u64>,
    /// Whether the latest connection can be used, as far as is known.
    is_usable: Cell<bool>,
    latest: Cell<Option<CarriedReport>>,
    /// Time before which no connection is opened.
    open_after_ms: Cell<u64>,
}

impl CarriedWitness {
    /// Returns the number of the connection; `None` if there is none. Doesn't wait for an answer on it.
    fn open_number(&self) -> Option<u64> {
        let is_open = match self.connection.try_lock() {
            Ok(connection) => connection.as_ref().is_some_and(|open| !open.is_closed()),
            Err(_) => self.is_usable.get(),
        };
        is_open.then(|| self.number.get())
    }

    /// Opens the connection unless there is one, or one was tried a moment ago.
    async fn open(&self, call: &Call) {
        let mut connection = self.connection.lock().await;
        let now_ms = call.relay.now_ms();
        let is_open = connection.as_ref().is_some_and(|open| !open.is_closed());
        if is_open || now_ms < self.open_after_ms.get() {
            return;
        }
        // The dial may be cancelled.
        self.open_after_ms.set(now_ms + RETRY_INTERVAL_MS);
        self.is_usable.set(false);
        *connection = call.open_tunnel(&self.target.for_reports()).await.ok();
        if connection.is_some() {
            self.open_after_ms.set(0);
            self.number.set(self.number.get() + 1);
            self.is_usable.set(true);
        }
        let outcome = if connection.is_some() { "carried" } else { "not_carried" };
        metrics::counter!("hickorycourse_witnesses_total", "outcome" => outcome).increment(1);
    }

    /// Returns what the upstream reports on a connection after `ended_at_ms`; `None` if there is no answer on it.
    async fn ask(&self, relay: &Relay, number: u64, ended_at_ms: u64) -> Option<UpstreamReport> {
        let mut connection = self.connection.lock().await;
        // The report that another response has waited for.
        let latest = self.latest.get().filter(|latest| latest.number == number);
        if let Some(latest) = latest.filter(|latest| latest.asked_at_ms > ended_at_ms) {
            return Some(latest.report);
        }
        if self.number.get() != number {
            return None;
        }
        // Cancelled, it is closed.
        self.is_usable.set(false);
        let mut open = connection.take().filter(|open| !open.is_closed())?;
        let upstream = self.target.upstream();
        let asked_at_ms = relay.now_ms();
        let asked = ask(relay, &mut open, upstream).await;
        match &asked {
            Ok(asked) if asked.report == UpstreamReport::Unknown => {
                relay.record_other_answer(upstream, &Ok(*asked), asked_at_ms);
            }
            Ok(_) => {}
            // The end of a carrying peer is not that of the upstream.
            Err(_) if open.carrier().is_some_and(Carrier::is_broken) => {}
            Err(_) => relay.starts.lock().record_break(upstream, relay.now_ms()),
        }
        let asked = asked.ok()?;
        if asked.is_kept {
            *connection = Some(open);
            self.is_usable.set(true);
        }
        self.latest.set(Some(CarriedReport { report: asked.report, asked_at_ms, number }));
        Some(asked.report)
    }
}

/// A carried connection that had been accepted before a request was sent.
#[derive(Clone)]
pub struct OpenCarriedWitness {
    witness: Rc<CarriedWitness>,
    number: u64,
    /// The peer that carries the connection of the request.
    carrier: String,
}

impl OpenCarriedWitness {
    /// Returns what the upstream reports on the connection, at any time after `ended_at_ms`; `None` if there is no answer.
    pub async fn ask(&self, relay: &Relay, ended_at_ms: u64) -> Option<UpstreamReport> {
        self.witness.ask(relay, self.number, ended_at_ms).await
    }

    /// Returns whether the connection is still open, as far as the peer tells that has passed on the end of the response.
    /// Another peer may be suspended.
    pub async fn is_open(&self) -> bool {
        let connection = self.witness.connection.lock().await;
        let open = connection.as_ref().filter(|open| !open.is_closed());
        self.witness.number.get() == self.number
            && open.and_then(UpstreamConnection::carrier).map(Carrier::name)
                == Some(self.carrier.as_str())
    }
}

/// The carried witnesses of one thread, one for each upstream.
#[derive(Clone, Default)]
pub struct CarriedWitnessTable {
    witnesses: Rc<RefCell<HashMap<String, Weak<CarriedWitness>>>>,
}

impl CarriedWitnessTable {
    fn get(&self, target: &DialTarget) -> Rc<CarriedWitness> {
        let mut witnesses = self.witnesses.borrow_mut();
        let known = witnesses.get(target.upstream()).and_then(Weak::upgrade);
        if let Some(known) = known.filter(|known| known.target.address() == target.address()) {
            return known;
        }
        witnesses.retain(|_, witness| witness.strong_count() > 0);
        let witness = Rc::new(CarriedWitness {
            target: target.clone(),
            connection: Mutex::default(),
            number: Cell::default(),
            is_usable: Cell::default(),
            latest: Cell::default(),
            open_after_ms: Cell::default(),
        });
        witnesses.insert(target.upstream().to_owned(), Rc::downgrade(&witness));
        witness
    }
}

impl Call {
    /// Opens a second carried connection beside that of a request, or returns the one that is open, to an upstream that is not
    /// known to report its start.
    pub(crate) async fn open_carried_witness(
        &self,
        target: &DialTarget,
        connection: &UpstreamConnection,
    ) -> Option<OpenCarriedWitness> {
        let has_reported = self.relay.starts.lock().has_reported(target.upstream());
        let carrier = connection.carrier().filter(|_| !has_reported)?.name().to_owned();
        let witness = self.witnesses.carried.get(target);
        if witness.open_number().is_none() {
            let _ = timeout(PREPARE_TIMEOUT, witness.open(self)).await;
        }
        let number = witness.open_number()?;
        Some(OpenCarriedWitness { witness, number, carrier })
    }
}
