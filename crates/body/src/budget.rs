//! The memory that the request bodies of a process share.

use std::collections::HashMap;
use std::sync::Arc;

use hickorycourse_clock::{Clock, SystemClock};
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::ledger::{BufferLedger, GrowDecision};

/// The memory that the request bodies of a process share; see [`BufferLedger`].
pub struct BodyBudget {
    state: Mutex<BudgetState>,
    clock: SystemClock,
}

struct BudgetState {
    ledger: BufferLedger,
    readers: HashMap<u64, Arc<Notify>>,
}

impl BudgetState {
    fn notify(&mut self, evicted: &[u64]) {
        for number in evicted {
            if let Some(reader) = self.readers.remove(number) {
                // Kept for a reader that is not waiting at the moment.
                reader.notify_one();
            }
        }
    }
}

impl BodyBudget {
    /// Creates a budget of `limit_bytes`.
    pub fn new(limit_bytes: usize) -> Arc<Self> {
        let state = BudgetState { ledger: BufferLedger::new(limit_bytes), readers: HashMap::new() };
        Arc::new(Self { state: Mutex::new(state), clock: SystemClock::new() })
    }

    /// Returns the bytes that all bodies hold, with their overhead.
    pub fn held_bytes(&self) -> usize {
        self.state.lock().ledger.held_bytes()
    }

    /// Opens a reservation without bytes.
    pub fn reserve(self: &Arc<Self>) -> BodyReservation {
        let evicted = Arc::new(Notify::new());
        let mut state = self.state.lock();
        let number = state.ledger.open(self.clock.now_ms());
        state.readers.insert(number, Arc::clone(&evicted));
        BodyReservation { budget: Arc::clone(self), number, evicted }
    }
}

/// The part of a [`BodyBudget`] that one body holds; released when dropped.
pub struct BodyReservation {
    budget: Arc<BodyBudget>,
    number: u64,
    evicted: Arc<Notify>,
}

impl BodyReservation {
    /// Reserves `bytes` more; returns whether they may be held. If not, the body has to be given up.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let now_ms = self.budget.clock.now_ms();
        let mut state = self.budget.state.lock();
        match state.ledger.grow(self.number, bytes, now_ms) {
            GrowDecision::Granted { evicted } => {
                state.notify(&evicted);
                true
            }
            GrowDecision::Refused => {
                state.readers.remove(&self.number);
                false
            }
        }
    }

    /// Reserves `bytes` more for what exists already, also if they exceed the limit.
    pub fn grow_beyond(&mut self, bytes: usize) {
        let now_ms = self.budget.clock.now_ms();
        let mut state = self.budget.state.lock();
        let evicted = state.ledger.grow_beyond(self.number, bytes, now_ms);
        state.notify(&evicted);
    }

    /// Records that bytes of the body have arrived.
    pub fn record_progress(&self) {
        let now_ms = self.budget.clock.now_ms();
        self.budget.state.lock().ledger.record_progress(self.number, now_ms);
    }

    /// Records that the body is complete: it is not given up from then on.
    pub fn complete(&self) {
        self.budget.state.lock().ledger.complete(self.number);
    }

    /// Waits until the body has to be given up in favour of others.
    pub async fn wait_until_evicted(&self) {
        self.evicted.notified().await;
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        let mut state = self.budget.state.lock();
        state.ledger.close(self.number);
        state.readers.remove(&self.number);
    }
}
