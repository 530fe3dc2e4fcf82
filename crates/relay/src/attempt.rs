//! A call's attempt at one upstream.

use std::sync::Arc;

use hickorycourse_placement::{AttemptOutcome, Placement};
use http::Response;
use hyper::body::Incoming;
use serde_json::json;

use crate::adapter::{BackoffRequest, ResponseMetadata};
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

    /// Returns whether the upstream still accepts the request.
    pub fn is_open(&self) -> bool {
        self.placement_table.lock().is_open(&self.placement, self.relay.now_ms())
    }

    /// Records what the upstream says of itself in the head of a response.
    pub fn record_metadata(&self, metadata: &ResponseMetadata) {
        let relay = &self.relay;
        let now_ms = relay.now_ms();
        let upstream = &self.placement.upstream;
        if metadata.is_leaving {
            relay.announce_departure(upstream, None, "response");
        }
        let mut placement_table = self.placement_table.lock();
        if let Some(load) = metadata.load {
            placement_table.record_load_report(upstream, load.running, load.waiting, now_ms);
            if let Some(pace_percent) = load.pace_percent {
                placement_table.record_pace(upstream, pace_percent, now_ms);
            }
        }
        match &metadata.backoff {
            None => {}
            Some(BackoffRequest::DurationMs(duration_ms)) => {
                placement_table.start_backoff(upstream, *duration_ms, now_ms);
                relay.log.write(
                    "backoff_requested",
                    || json!({ "upstream": upstream, "duration_ms": duration_ms }),
                );
            }
            Some(BackoffRequest::Invalid(value)) => relay
                .log
                .write("backoff_ignored", || json!({ "upstream": upstream, "value": value })),
        }
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
