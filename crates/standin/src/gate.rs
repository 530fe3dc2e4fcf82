//! Places of an engine, handed out by priority.

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
struct Inner {
    running: u64,
    arrivals: u64,
    waiting: BTreeMap<WaitOrder, oneshot::Sender<Place>>,
}

/// Hands out places; the lowest priority number goes first.
#[derive(Clone, Debug)]
pub struct Gate {
    places: u64,
    inner: Arc<Mutex<Inner>>,
}

/// A place that is held; dropping it lets the next one in.
#[derive(Debug)]
pub struct Place {
    gate: Gate,
}

impl Gate {
    /// Creates a gate with so many places.
    pub fn new(places: u64) -> Self {
        Self { places, inner: Arc::default() }
    }

    /// Waits for a place.
    pub async fn enter(&self, priority: i64) -> Option<Place> {
        let receiver = {
            let mut inner = self.inner.lock();
            if inner.running < self.places {
                inner.running += 1;
                return Some(Place { gate: self.clone() });
            }
            inner.arrivals += 1;
            let order = WaitOrder { priority, arrival: inner.arrivals };
            let (sender, receiver) = oneshot::channel();
            inner.waiting.insert(order, sender);
            receiver
        };
        receiver.await.ok()
    }

    /// Calls that run.
    pub fn count_running(&self) -> u64 {
        self.inner.lock().running
    }

    /// Calls that wait.
    pub fn count_waiting(&self) -> u64 {
        let mut inner = self.inner.lock();
        inner.waiting.retain(|_, sender| !sender.is_closed());
        inner.waiting.len() as u64
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        loop {
            let next = {
                let mut inner = self.gate.inner.lock();
                match inner.waiting.pop_first() {
                    Some((_, sender)) => sender,
                    None => {
                        inner.running -= 1;
                        return;
                    }
                }
            };
            let place = Self { gate: self.gate.clone() };
            match next.send(place) {
                Ok(()) => return,
                // The one who waited has gone; its place is still ours to hand on.
                Err(place) => std::mem::forget(place),
            }
        }
    }
}
