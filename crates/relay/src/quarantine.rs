//! Use of the quarantine of requests and parts of prompts: what attempts observe, and what other instances
//! tell.

use hickorycourse_codes::{ErrorCode, Problem};
use hickorycourse_quarantine::{
    QuarantineChange, QuarantineDigest, RequestItems, SuspectAdmission,
};
use serde_json::{Value, json};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::datagrams::PermitReply;
use crate::state::Relay;

/// Time until a suspected request may be tried again if nothing better is known.
const PROBE_INTERVAL_MS: u64 = 1_000;

/// Returns the hash that identifies a start of an upstream at all instances.
pub fn hash_upstream_start(upstream: &str, started_at_ms: Option<u64>) -> u64 {
    xxh3_64_with_seed(upstream.as_bytes(), started_at_ms.unwrap_or_default())
}

/// Returns the hash that identifies a service at all instances.
pub fn hash_service(service: &str) -> u64 {
    xxh3_64(service.as_bytes())
}

fn format_part(part: u64) -> String {
    format!("{part:x}")
}

impl Relay {
    /// Checks a request against the quarantine.
    ///
    /// # Errors
    /// The problem for the response to the caller if the request or a part of its prompt is quarantined.
    pub fn check_quarantine(&self, items: RequestItems<'_>) -> Result<(), Problem> {
        let Some(item) = self.quarantine.lock().check(items, self.now_ms()) else { return Ok(()) };
        metrics::counter!("hickorycourse_quarantine_refusals_total").increment(1);
        let name = format_part(item);
        let detail = match items.request == Some(item) {
            true => {
                format!("Request {name} crashes the upstreams that run it. It was not sent again.")
            }
            false => format!(
                "Part {name} of the prompt crashes the engines that answer it. The request was not \
                 sent."
            ),
        };
        Err(Problem::new(ErrorCode::PartQuarantined).with_detail(detail))
    }

    /// Holds a request back that upstreams have ended under, until an answer clears it or it is
    /// quarantined; now and then one attempt of all instances tries it.
    ///
    /// # Errors
    /// The problem for the response to the caller if the request is held back.
    pub async fn admit_suspect(&self, request_id: &str, request: u64) -> Result<(), Problem> {
        let admission = self.quarantine.lock().admit(request, self.now_ms());
        let hold_ms = match admission {
            SuspectAdmission::Send => return Ok(()),
            SuspectAdmission::Hold { hold_ms } => hold_ms,
            SuspectAdmission::Probe => match self.claim_probe(&format_part(request)).await {
                PermitReply::Granted { .. } => return Ok(()),
                PermitReply::Denied { available_in_ms } => available_in_ms,
                PermitReply::NotIssuer => PROBE_INTERVAL_MS,
            },
        };
        self.log.write("request_held", || {
            let item = format_part(request);
            json!({ "request": request_id, "item": item, "hold_ms": hold_ms })
        });
        Err(Problem::new(ErrorCode::NoUpstream).with_retry_after_ms(hold_ms))
    }

    /// Records that an attempt broke before its answer was well begun.
    pub fn record_broken_beginning(
        &self,
        request: &str,
        service: u64,
        upstream: &str,
        upstream_start: u64,
        items: RequestItems<'_>,
    ) {
        metrics::counter!("hickorycourse_broken_beginnings_total").increment(1);
        self.log.write("beginning_broken", || {
            let parts: Vec<String> = items.parts.iter().copied().map(format_part).collect();
            let item = items.request.map(format_part);
            json!({ "request": request, "upstream": upstream, "item": item, "parts": parts })
        });
        let now_ms = self.now_ms();
        let mut quarantine = self.quarantine.lock();
        let changes = quarantine.record_broken_beginning(service, upstream_start, items, now_ms);
        drop(quarantine);
        self.log_quarantine_changes(&changes, "evidence");
        self.digest_requested.notify_one();
    }

    /// Records that an answer is well begun or complete.
    pub fn record_begun_answer(&self, service: u64, items: RequestItems<'_>, begun_at_ms: u64) {
        let now_ms = self.now_ms();
        let mut quarantine = self.quarantine.lock();
        let was_suspected = quarantine.is_suspected(items);
        let changes = quarantine.record_begun(service, items, begun_at_ms, now_ms);
        drop(quarantine);
        self.log_quarantine_changes(&changes, "answer");
        // Other instances hold a suspected request back until they know of the answer.
        if was_suspected || !changes.is_empty() {
            self.digest_requested.notify_one();
        }
    }

    /// Records progress of an answer at a start of an upstream.
    pub fn record_upstream_progress(&self, upstream_start: u64) {
        let mut quarantine = self.quarantine.lock();
        if quarantine.has_ends() {
            quarantine.record_progress(upstream_start, self.now_ms());
        }
    }

    /// Merges what another instance tells. `source` names its origin in the log.
    pub fn merge_quarantine(&self, digest: &QuarantineDigest, source: &str) {
        if digest.is_empty() {
            return;
        }
        let merged = self.quarantine.lock().merge(digest, self.now_ms());
        match merged {
            Ok(changes) => {
                self.log_quarantine_changes(&changes, source);
                if !changes.is_empty() {
                    self.digest_requested.notify_one();
                }
            }
            Err(error) => {
                metrics::counter!("hickorycourse_datagrams_dropped_total", "reason" => "quarantine")
                    .increment(1);
                let reason = error.to_string();
                self.log
                    .write("quarantine_ignored", || json!({ "source": source, "reason": reason }));
            }
        }
    }

    /// Decides on settled evidence, forgets old evidence, and ends the quarantine of parts that no request has
    /// had for long.
    pub fn expire_quarantine(&self) {
        let changes = self.quarantine.lock().expire(self.now_ms());
        self.log_quarantine_changes(&changes, "idle");
        if !changes.is_empty() {
            self.digest_requested.notify_one();
        }
    }

    /// Quarantines a part at all instances until an operator lifts it. Returns false if too many parts
    /// are quarantined.
    pub fn pin_part(&self, part: u64) -> bool {
        let is_pinned = self.quarantine.lock().pin(part, self.now_ms());
        if is_pinned {
            self.log.write("part_pinned", || json!({ "part": format_part(part) }));
            self.update_quarantine_gauge();
            self.digest_requested.notify_one();
        }
        is_pinned
    }

    /// Lifts the quarantine of a part at all instances. Returns false if it is not quarantined here.
    pub fn lift_part(&self, part: u64) -> bool {
        let mut quarantine = self.quarantine.lock();
        let is_lifted = quarantine.is_quarantined(part) && quarantine.lift(part, self.now_ms());
        drop(quarantine);
        if is_lifted {
            self.log_quarantine_changes(&[QuarantineChange::Lifted { part }], "operator");
            self.digest_requested.notify_one();
        }
        is_lifted
    }

    /// Returns the quarantined parts for operators.
    pub fn quarantine_status(&self) -> Value {
        let now_ms = self.now_ms();
        let quarantine = self.quarantine.lock();
        let parts: Vec<Value> = quarantine
            .quarantined()
            .map(|(part, quarantined)| {
                json!({
                    "part": format_part(part), "is_request": quarantined.is_request,
                    "starts": quarantined.starts,
                    "is_pinned": quarantined.is_pinned,
                    "age_ms": now_ms.saturating_sub(quarantined.since_ms),
                    "last_request_age_ms": now_ms.saturating_sub(quarantined.last_request_at_ms),
                })
            })
            .collect();
        json!({ "parts": parts })
    }

    fn log_quarantine_changes(&self, changes: &[QuarantineChange], source: &str) {
        if changes.is_empty() {
            return;
        }
        for change in changes {
            match *change {
                QuarantineChange::Found { part, starts, span_ms } => {
                    self.log.write("part_quarantined", || {
                        json!({
                            "part": format_part(part), "source": "evidence", "starts": starts,
                            "span_ms": span_ms,
                        })
                    });
                }
                QuarantineChange::Told { part } => self.log.write(
                    "part_quarantined",
                    || json!({ "part": format_part(part), "source": source }),
                ),
                QuarantineChange::Lifted { part } => self.log.write(
                    "part_lifted",
                    || json!({ "part": format_part(part), "source": source }),
                ),
            }
        }
        self.update_quarantine_gauge();
    }

    fn update_quarantine_gauge(&self) {
        let count = self.quarantine.lock().quarantined().count();
        metrics::gauge!("hickorycourse_quarantined_parts").set(count as f64);
    }
}
