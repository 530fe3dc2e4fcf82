//! A semaphore that grants its permits in order of priority.

use std::collections::BTreeMap;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::oneshot;

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct WaitOrder {
    priority: i64,
    arrival: u64,
}

#[derive(Debug, Default)]
struct State {
    running: u64,
    arrivals: u64,
    waiting: BTreeMap<WaitOrder, oneshot::Sender<Permit>>,
}

/// Limits the calls that run concurrently. Waiting calls are granted a permit in order of priority, lowest
/// number first, then of arrival.
#[derive(Clone, Debug)]
pub struct PrioritySemaphore {
    permits: u64,
    state: Arc<Mutex<State>>,
}

/// An acquired permit; dropping it passes it to the next waiting call.
#[derive(Debug)]
pub struct Permit {
    semaphore: PrioritySemaphore,
}

impl PrioritySemaphore {
    /// Creates a semaphore with `permits` permits.
    pub fn new(permits: u64) -> Self {
        Self { permits, state: Arc::default() }
    }

    /// Waits for a permit.
    pub async fn acquire(&self, priority: i64) -> Option<Permit> {
        let receiver = {
            let mut state = self.state.lock();
            if state.running < self.permits {
                state.running += 1;
                return Some(Permit { semaphore: self.clone() });
            }
            state.arrivals += 1;
            let order = WaitOrder { priority, arrival: state.arrivals };
            let (sender, receiver) = oneshot::channel();
            state.waiting.insert(order, sender);
            receiver
        };
        receiver.await.ok()
    }

    /// Number of permits in use.
    pub fn count_running(&self) -> u64 {
        self.state.lock().running
    }

    /// Number of calls that wait for a permit.
    pub fn count_waiting(&self) -> u64 {
        let mut state = self.state.lock();
        state.waiting.retain(|_, sender| !sender.is_closed());
        state.waiting.len() as u64
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        loop {
            let next = {
                let mut state = self.semaphore.state.lock();
                match state.waiting.pop_first() {
                    Some((_, sender)) => sender,
                    None => {
                        state.running -= 1;
                        return;
                    }
                }
            };
            let permit = Self { semaphore: self.semaphore.clone() };
            match next.send(permit) {
                Ok(()) => return,
                // The waiting call was cancelled: `running` still counts its permit, which goes to the next one.
                Err(permit) => std::mem::forget(permit),
            }
        }
    }
}
