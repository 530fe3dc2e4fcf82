//! The requests in flight.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use parking_lot::Mutex;

use crate::state::Relay;

/// A request whose response is not complete.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct InFlightRequest {
    /// Identifier that the caller gave it; empty until its head and body have been read.
    pub request_id: String,
    /// The upstream that it was last sent to; `None` before.
    pub upstream: Option<String>,
    /// Time of arrival.
    pub arrived_at_ms: u64,
}

/// The requests in flight, by number.
#[derive(Debug, Default)]
pub struct InFlightTable {
    requests: Mutex<HashMap<u64, InFlightRequest>>,
    latest_number: AtomicU64,
}

impl InFlightTable {
    /// Returns the requests in flight, the oldest first.
    pub fn list(&self) -> Vec<InFlightRequest> {
        let mut requests: Vec<_> = self.requests.lock().values().cloned().collect();
        requests.sort_by_key(|request| request.arrived_at_ms);
        requests
    }

    fn insert(&self, arrived_at_ms: u64) -> u64 {
        let number = self.latest_number.fetch_add(1, Ordering::Relaxed);
        let request = InFlightRequest { arrived_at_ms, ..InFlightRequest::default() };
        self.requests.lock().insert(number, request);
        number
    }

    fn update(&self, number: u64, change: impl FnOnce(&mut InFlightRequest)) {
        if let Some(request) = self.requests.lock().get_mut(&number) {
            change(request);
        }
    }
}

/// Counts a request as in flight until it is dropped.
pub struct InFlightGuard {
    relay: Arc<Relay>,
    number: u64,
}

impl InFlightGuard {
    /// Counts a request that has arrived; `None` if it came too late to be admitted.
    pub fn try_new(relay: &Arc<Relay>) -> Option<Self> {
        let now_ms = relay.now_ms();
        let is_counted = relay.drain.begin_request(now_ms, &relay.drain_timings());
        is_counted
            .then(|| Self { relay: Arc::clone(relay), number: relay.drain.requests.insert(now_ms) })
    }

    /// Records the request's identifier.
    pub fn record_id(&self, request_id: &str) {
        self.relay.drain.requests.update(self.number, |r| request_id.clone_into(&mut r.request_id));
    }

    /// Records that the request is sent to an upstream now.
    pub fn record_sent(&self, upstream: &str) {
        let upstream = upstream.to_owned();
        self.relay.drain.requests.update(self.number, |r| r.upstream = Some(upstream));
    }

    /// Returns whether the request was sent to an upstream.
    pub fn is_sent(&self) -> bool {
        let requests = self.relay.drain.requests.requests.lock();
        requests.get(&self.number).is_some_and(|request| request.upstream.is_some())
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.relay.drain.requests.requests.lock().remove(&self.number);
        self.relay.drain.end_request();
    }
}
