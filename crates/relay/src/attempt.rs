//! A call's attempt at one upstream.

use std::sync::Arc;

use hickorycourse_placement::{AttemptOutcome, Placement};
use http::Response;
use hyper::body::Incoming;

use crate::call::Call;
use crate::connections::UpstreamConnection;
use crate::state::{Relay, SharedPlacementTable};

/// A request that occupies a slot at an upstream. Dropping it without an outcome counts as
/// cancelled by the caller.
pub struct Attempt {
    relay: Arc<Relay>,
    placement_table: SharedPlacementTable,
    /// The selected upstream and the forecast for it.
    pub placement: Placement,
    has_first_byte: bool,
    is_ended: bool,
}

impl Attempt {
    /// Occupies a slot at the upstream of `placement`.
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

    /// Returns whether the upstream still accepts requests.
    pub fn is_open(&self) -> bool {
        self.placement_table.lock().is_open(&self.placement.upstream)
    }

    /// Records the load that the upstream reports.
    pub fn record_load_report(&self, running: u64, waiting: u64) {
        let now_ms = self.relay.now_ms();
        self.placement_table.lock().record_load_report(
            &self.placement.upstream,
            running,
            waiting,
            now_ms,
        );
    }

    /// Records the arrival of the response's first byte; later calls have no effect.
    pub fn record_first_byte(&mut self) {
        if !std::mem::replace(&mut self.has_first_byte, true) {
            self.placement_table.lock().record_first_byte(&self.placement, self.relay.now_ms());
        }
    }

    /// Releases the slot and records the outcome.
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

/// A response whose head has arrived.
pub struct OpenedResponse {
    /// The attempt at the upstream.
    pub attempt: Attempt,
    /// The connection over which the body arrives.
    pub connection: UpstreamConnection,
    /// Head of the response with the unread body.
    pub response: Response<Incoming>,
}
