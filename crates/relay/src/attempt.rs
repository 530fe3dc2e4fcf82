//! A call's attempt at one upstream.

use std::sync::Arc;

use hickorycourse_placement::{AttemptOutcome, Placement};
use http::Response;
use hyper::body::Incoming;

use crate::call::Call;
use crate::connections::UpstreamConnection;
use crate::node::{Relay, SharedPlacementTable};

/// A request's place at an upstream. Dropping it without an end means that the caller left.
pub struct Attempt {
    relay: Arc<Relay>,
    placement_table: SharedPlacementTable,
    /// Where it is placed.
    pub placement: Placement,
    has_first_byte: bool,
    is_ended: bool,
}

impl Attempt {
    /// Takes the place.
    pub fn start(
        call: &Call,
        placement_table: SharedPlacementTable,
        placement: Placement,
        excluded: &[String],
    ) -> Self {
        let request = call.placement_request(excluded);
        placement_table.lock().begin_attempt(&placement, &request, call.relay.now_ms());
        Self {
            relay: Arc::clone(&call.relay),
            placement_table,
            placement,
            has_first_byte: false,
            is_ended: false,
        }
    }

    /// Whether the upstream still takes requests.
    pub fn is_open(&self) -> bool {
        self.placement_table.lock().is_open(&self.placement.upstream)
    }

    /// Takes the upstream's own word on its load.
    pub fn record_load_report(&self, running: u64, waiting: u64) {
        let now_ms = self.relay.now_ms();
        self.placement_table.lock().record_load_report(
            &self.placement.upstream,
            running,
            waiting,
            now_ms,
        );
    }

    /// The first byte of the answer has come.
    pub fn record_first_byte(&mut self) {
        if !std::mem::replace(&mut self.has_first_byte, true) {
            self.placement_table.lock().record_first_byte(&self.placement, self.relay.now_ms());
        }
    }

    /// Ends the attempt.
    pub fn end(mut self, outcome: AttemptOutcome) {
        self.record_end(outcome);
    }

    fn record_end(&mut self, outcome: AttemptOutcome) {
        if !std::mem::replace(&mut self.is_ended, true) {
            let now_ms = self.relay.now_ms();
            self.placement_table.lock().end_attempt(
                &self.placement,
                self.has_first_byte,
                outcome,
                now_ms,
            );
        }
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.record_end(AttemptOutcome::Cancelled);
    }
}

/// An upstream's answer whose head has come.
pub struct Opened {
    /// The place at the upstream.
    pub attempt: Attempt,
    /// The connection; the answer's body comes over it.
    pub connection: UpstreamConnection,
    /// The answer.
    pub response: Response<Incoming>,
}
