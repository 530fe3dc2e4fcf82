//! A call's attempt at one upstream.

use std::rc::Rc;
use std::sync::Arc;

use hickorycourse_connections::{ResponseBody, UpstreamConnection};
use hickorycourse_overload::WorkClass;
use hickorycourse_placement::{AttemptOutcome, LoadEvidence, Placement, StreamedWork};
use hickorycourse_quarantine::RequestItems;
use hickorycourse_starts::Acceptance;
use http::Response;
use serde_json::{Value, json};

use crate::adapter::{BackoffRequest, NamedLimit, ResponseMetadata};
use crate::broadcast::count_ignored;
use crate::call::Call;
use crate::carried_witness::OpenCarriedWitness;
use crate::quarantine::{hash_service, hash_upstream_start};
use crate::state::{Relay, SharedPlacementTable};
use crate::witness::OpenWitness;

/// Time after its first byte for which an answer is not well begun.
const BEGINNING_MS: u64 = 150;

/// Connections that had been accepted before a request was sent.
#[derive(Default)]
struct Witnesses {
    direct: Option<OpenWitness>,
    carried: Option<OpenCarriedWitness>,
}

/// A request that occupies a slot at an upstream. Dropping it without an outcome counts as
/// cancelled by the caller.
pub struct Attempt {
    relay: Arc<Relay>,
    placement_table: SharedPlacementTable,
    /// The selected upstream and the forecast for it.
    pub placement: Placement,
    request_id: String,
    /// Identifies the request whenever it is sent.
    request_hash: u64,
    /// Parts of the prompt without the last one.
    shared_parts: Rc<[u64]>,
    /// Identifies the service.
    service_hash: u64,
    /// Identifies the start of the upstream that this attempt was sent to.
    upstream_start: u64,
    /// Wall-clock time of that start; `None` if not reported.
    upstream_started_at_ms: Option<u64>,
    /// Time at which the request was sent; `None` before.
    sent_at_ms: Option<u64>,
    witnesses: Box<Witnesses>,
    first_byte_at_ms: Option<u64>,
    is_begun: bool,
    /// Whether the present silence of the upstream has been recorded.
    is_silent: bool,
    /// Time at which a silence before the first byte was recorded.
    waited_until_ms: Option<u64>,
    is_ended: bool,
    /// Class of its work for overload control.
    work_class: WorkClass,
    /// Age of the list of upstreams that the upstream was chosen from; `None` if it was never proven.
    view_age_ms: Option<u64>,
}

impl Attempt {
    /// Creates the attempt of a placement that occupies a slot already.
    pub fn new(call: &Call, placement_table: SharedPlacementTable, placement: Placement) -> Self {
        let started_at_ms = call.relay.directory.lock().started_at_ms(&placement.upstream);
        let view_age_ms = call.relay.view_age_ms(call.relay.now_ms());
        if let Some(view_age_ms) = view_age_ms {
            metrics::histogram!("hickorycourse_view_age_seconds")
                .record(view_age_ms as f64 / 1_000.0);
        }
        if let Some(evidence) = &placement.evidence {
            record_evidence(evidence);
        }
        Self {
            relay: Arc::clone(&call.relay),
            placement_table,
            service_hash: hash_service(&call.service),
            upstream_start: hash_upstream_start(&placement.upstream, started_at_ms),
            upstream_started_at_ms: started_at_ms,
            sent_at_ms: None,
            witnesses: Box::default(),
            placement,
            request_id: call.request_id.clone(),
            request_hash: call.request_hash,
            shared_parts: Rc::clone(&call.shared_parts),
            first_byte_at_ms: None,
            is_begun: false,
            is_silent: false,
            waited_until_ms: None,
            is_ended: false,
            work_class: call.work_class(),
            view_age_ms,
        }
    }

    /// Records the start that the upstream has reported on the attempt's connection.
    pub fn record_start(&mut self, reported_start_ms: Option<u64>) {
        if reported_start_ms.is_some() {
            self.upstream_started_at_ms = reported_start_ms;
            self.upstream_start = hash_upstream_start(&self.placement.upstream, reported_start_ms);
        }
    }

    /// Records the witness connection that has been accepted before the request is sent.
    pub fn record_witness(&mut self, witness: Option<OpenWitness>) {
        self.witnesses.direct = witness;
    }

    /// Records that the end of the response needs no witness.
    pub fn release_witness(&mut self) {
        *self.witnesses = Witnesses::default();
    }

    /// The witness connection that had been accepted before the request was sent.
    pub fn witness(&self) -> Option<&OpenWitness> {
        self.witnesses.direct.as_ref()
    }

    /// As [`record_witness`](Self::record_witness), for a connection that a peer carries.
    pub fn record_carried_witness(&mut self, witness: Option<OpenCarriedWitness>) {
        self.witnesses.carried = witness;
    }

    /// The carried witness connection that had been accepted before the request was sent.
    pub fn carried_witness(&self) -> Option<&OpenCarriedWitness> {
        self.witnesses.carried.as_ref()
    }

    /// Returns whether the upstream still accepts the request.
    pub fn is_open(&self) -> bool {
        self.placement_table.lock().is_open(&self.placement, self.relay.now_ms())
    }

    /// Time at which the request was sent; `None` if it was not.
    pub fn sent_at_ms(&self) -> Option<u64> {
        self.sent_at_ms
    }

    /// Records that the request is sent now, which uses up its permit.
    pub fn record_sent(&mut self) {
        let now_ms = self.relay.now_ms();
        self.sent_at_ms = Some(now_ms);
        self.relay.log.write("attempt_sent", || {
            json!({
                "request": self.request_id, "upstream": self.placement.upstream,
                "view_age_ms": self.view_age_ms,
                "view_age_sent_ms": self.relay.view_age_ms(now_ms),
                "load": self.placement.evidence.as_deref().map(describe_evidence),
            })
        });
        if let Some(completion) = &self.placement.completion {
            self.relay.log.write("completion_forecast", || {
                json!({
                    "request": self.request_id, "upstream": self.placement.upstream,
                    "expected_ms": completion.expected_ms, "left_ms": completion.left_ms,
                    "probability": completion.probability,
                    "speed_factor": completion.speed_factor,
                })
            });
        }
    }

    /// Records that the request was not sent after all.
    pub fn record_not_sent(&mut self) {
        self.sent_at_ms = None;
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
            let ignored =
                placement_table.record_load_report(upstream, load.running, load.waiting, now_ms);
            if let Some(ignored) = ignored {
                metrics::counter!("hickorycourse_load_reports_ignored_total").increment(1);
                if ignored.is_first {
                    relay.log.write("load_report_ignored", || {
                        json!({
                            "upstream": upstream, "running": load.running, "waiting": load.waiting,
                        })
                    });
                }
            }
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

    /// Records that the start which has accepted the attempt's connection has answered this request.
    pub fn record_answer_of_start(&self, accepted_by: &Acceptance) {
        let Some(sent_at_ms) = self.sent_at_ms else { return };
        let now_ms = self.relay.now_ms();
        let upstream = &self.placement.upstream;
        self.relay.starts.lock().record_response(upstream, accepted_by, sent_at_ms, now_ms);
    }

    /// Records what the head of the response to this request says of the upstream's limits.
    pub fn record_limits(&self, limit: &NamedLimit, tolerance: &NamedLimit) {
        let sent_at_ms = self.sent_at_ms.unwrap_or_else(|| self.relay.now_ms());
        let upstream = &self.placement.upstream;
        let started_at_ms = self.upstream_started_at_ms;
        self.relay.record_limit(upstream, started_at_ms, sent_at_ms, limit);
        self.relay.record_tolerance(upstream, started_at_ms, sent_at_ms, tolerance);
    }

    /// Records that the upstream is silent for longer than expected. The attempt may still go on.
    pub fn record_silence(&mut self) {
        if !std::mem::replace(&mut self.is_silent, true) {
            let now_ms = self.relay.now_ms();
            if self.first_byte_at_ms.is_none() {
                self.waited_until_ms.get_or_insert(now_ms);
            }
            self.placement_table.lock().record_silence(&self.placement, now_ms);
        }
    }

    /// Records that the upstream has sent something.
    pub fn record_response(&mut self) {
        self.is_silent = false;
        self.placement_table.lock().record_progress(&self.placement);
    }

    /// Records the arrival of the response's first byte; later calls have no effect.
    pub fn record_first_byte(&mut self) {
        if self.first_byte_at_ms.is_none() {
            let now_ms = self.relay.now_ms();
            self.first_byte_at_ms = Some(now_ms);
            // The length of a silence is not the length of a queue or a prefill.
            let measured_at_ms = self.waited_until_ms.unwrap_or(now_ms);
            self.placement_table.lock().record_first_byte(&self.placement, measured_at_ms);
        }
    }

    /// Records that more of the response has arrived.
    pub fn record_progress(&mut self) {
        let now_ms = self.relay.now_ms();
        let begun_at_ms = self.first_byte_at_ms.unwrap_or(now_ms);
        if now_ms >= begun_at_ms + BEGINNING_MS {
            self.record_begun(begun_at_ms);
        }
        self.record_response();
        self.relay.record_upstream_progress(self.upstream_start);
    }

    /// Records the pace of the response's events, in milliseconds per event.
    pub fn record_event_pace(&self, pace_ms: f64) {
        let now_ms = self.relay.now_ms();
        let mut placement_table = self.placement_table.lock();
        if !placement_table.record_event_pace(&self.placement.upstream, pace_ms, now_ms) {
            count_ignored("pace");
        }
    }

    /// Records the length of a streamed response, which is complete or was cut at its deadline.
    pub fn record_length(&self, work: &StreamedWork, events: u64, is_complete: bool) {
        if !self.placement_table.lock().record_length(work, events, is_complete) {
            count_ignored("hint");
        }
        if let Some(completion) = &self.placement.completion {
            let outcome = if is_complete { "in_time" } else { "late" };
            let forecast = if completion.probability >= 0.5 { "in_time" } else { "late" };
            let labels = [("outcome", outcome), ("forecast", forecast)];
            metrics::counter!("hickorycourse_completions_total", &labels).increment(1);
        }
    }

    fn record_begun(&mut self, begun_at_ms: u64) {
        if !std::mem::replace(&mut self.is_begun, true) {
            let items = self.items();
            self.relay.record_begun_answer(self.service_hash, items, begun_at_ms);
        }
    }

    fn items(&self) -> RequestItems<'_> {
        RequestItems { request: Some(self.request_hash), parts: &self.shared_parts }
    }

    /// Records a complete error response: the request has not crashed the upstream.
    pub fn record_error_response(&self) {
        let begun_at_ms = self.first_byte_at_ms.unwrap_or_else(|| self.relay.now_ms());
        let items = RequestItems { request: Some(self.request_hash), parts: &[] };
        self.relay.record_begun_answer(self.service_hash, items, begun_at_ms);
        self.relay.record_upstream_progress(self.upstream_start);
    }

    /// Ends an attempt whose connection broke. Returns whether its answer was not well begun, while the
    /// upstream had not announced that it leaves: the request may have crashed it.
    pub fn end_broken(mut self) -> bool {
        let is_beginning =
            !self.is_begun && self.placement_table.lock().is_serving(&self.placement);
        if is_beginning {
            self.relay.record_broken_beginning(
                &self.request_id,
                self.service_hash,
                &self.placement.upstream,
                self.upstream_start,
                self.items(),
            );
        }
        self.record_end(AttemptOutcome::Failed);
        is_beginning
    }

    /// Releases the slot and records the outcome.
    pub fn end(mut self, outcome: AttemptOutcome) {
        self.record_end(outcome);
    }

    fn record_end(&mut self, outcome: AttemptOutcome) {
        let outcome = match outcome {
            AttemptOutcome::Cancelled if self.is_silent => AttemptOutcome::Silent,
            outcome => outcome,
        };
        if outcome == AttemptOutcome::Silent && !self.is_ended {
            self.record_silence();
        }
        if !std::mem::replace(&mut self.is_ended, true) {
            let now_ms = self.relay.now_ms();
            if outcome == AttemptOutcome::Answered {
                self.record_begun(self.first_byte_at_ms.unwrap_or(now_ms));
                self.relay.record_upstream_progress(self.upstream_start);
            }
            let mut placement_table = self.placement_table.lock();
            if let Some(first_byte_at_ms) = self.first_byte_at_ms
                && outcome == AttemptOutcome::Answered
            {
                let response_ms = now_ms.saturating_sub(first_byte_at_ms);
                placement_table.record_response_time(self.work_class, response_ms);
            }
            placement_table.end_attempt(
                &self.placement,
                self.first_byte_at_ms.is_some(),
                outcome,
                now_ms,
            );
            if let Some(valid_until_ms) = self.placement.permit_until_ms
                && self.sent_at_ms.is_none()
            {
                placement_table.return_permit(&self.placement.upstream, valid_until_ms);
            }
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
    pub response: Response<ResponseBody>,
}

fn record_evidence(evidence: &LoadEvidence) {
    let source = evidence.source.name();
    metrics::counter!("hickorycourse_even_choices_total", "source" => source).increment(1);
    if let Some(age_ms) = evidence.age_ms {
        metrics::histogram!("hickorycourse_load_age_seconds").record(age_ms as f64 / 1_000.0);
    }
}

fn describe_evidence(evidence: &LoadEvidence) -> Value {
    let tenths = |requests: f64| (requests * 10.0).round() / 10.0;
    json!({
        "source": evidence.source.name(), "age_ms": evidence.age_ms,
        "expected": tenths(evidence.expected_requests),
        "deviation": tenths(evidence.deviation_requests),
        "unreported": tenths(evidence.unreported_requests), "candidates": evidence.candidates,
    })
}
