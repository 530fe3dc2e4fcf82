//! The search for an upstream that takes a stream over.

use std::cell::Cell;
use std::time::Duration;

use hickorycourse_clock::{sleep, timeout};
use hickorycourse_placement::AttemptOutcome;
use http::HeaderMap;
use serde_json::json;
use tokio::sync::Notify;

use crate::attempt::OpenedResponse;
use crate::call::{Call, RetryState};
use crate::events::EventTracker;
use crate::hedging::{HedgePacing, MAX_FAILED_DIALS};
use crate::stream_source::{SourceStep, UpstreamSource, is_same_type};

/// Time between two tries to resume a stream that has no upstream while none accepts it.
const RESUME_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time for which a silent upstream is kept beside one that has accepted the stream but not yet
/// brought an event of it.
const MAX_OVERLAP: Duration = Duration::from_millis(300);

/// An upstream that has accepted a stream.
pub struct Successor {
    /// Head of its response.
    pub head: http::response::Parts,
    /// The rest of its response.
    pub source: UpstreamSource,
    /// The stream's events up to now.
    pub events: EventTracker,
    /// What it has brought already: events, or the end; `None` if nothing has arrived.
    pub step: Option<SourceStep>,
}

/// The loss of a stream's own upstream, which ends the pauses of the search for another one.
#[derive(Debug, Default)]
pub struct SourceLoss {
    at_ms: Cell<Option<u64>>,
    is_unproven_end: Cell<bool>,
    recorded: Notify,
}

impl SourceLoss {
    /// Records the loss. With `is_unproven_end`, the stream may have been complete.
    pub fn record(&self, at_ms: u64, is_unproven_end: bool) {
        self.at_ms.set(Some(at_ms));
        self.is_unproven_end.set(is_unproven_end);
        self.recorded.notify_one();
    }
}

/// A stream for which another upstream is searched.
pub struct SuccessorSearch<'a> {
    /// The call that began the stream.
    pub call: &'a Call,
    /// Events of the stream up to now.
    pub events: EventTracker,
    /// Headers that the caller has received; `None` if no event was sent yet.
    pub headers: Option<&'a HeaderMap>,
    /// Whether the stream's own upstream is lost, or may go on.
    pub source_loss: &'a SourceLoss,
}

impl SuccessorSearch<'_> {
    /// Searches until an upstream has accepted the stream. Without its own upstream, the stream can't wait for
    /// long: the search then ends without a result after the route's target for pauses.
    pub async fn run(&self, retry_state: &mut RetryState) -> Option<Successor> {
        let call = self.call;
        let excluded_before = retry_state.excluded.len();
        let mut pacing = HedgePacing::default();
        loop {
            while call.may_retry(retry_state) {
                let last_event_id = self.events.last_id();
                let Ok(opened) = call.open(retry_state, last_event_id).await else { break };
                let upstream = opened.attempt.placement.upstream.clone();
                if let Some(successor) = self.accept(opened).await {
                    return Some(successor);
                }
                retry_state.excluded.push(upstream);
            }
            let now_ms = call.relay.now_ms();
            match self.source_loss.at_ms.get() {
                Some(_) if !call.may_retry(retry_state) => return None,
                Some(lost_at_ms) => {
                    let pause_ms = call.route.pause_target_ms.unwrap_or_default();
                    if now_ms >= lost_at_ms + pause_ms || call.remaining_ms() == 0 {
                        return None;
                    }
                    // The version's only upstreams may be starting again, or about to be listed.
                    sleep(RESUME_INTERVAL).await;
                    retry_state.retry_unidentified(&call.relay);
                }
                None => {
                    pacing.record_failure(now_ms);
                    let pause = Duration::from_millis(pacing.next_at_ms() - now_ms);
                    let is_lost =
                        timeout(pause, self.source_loss.recorded.notified()).await.is_ok();
                    retry_state.excluded.truncate(excluded_before);
                    // Beside a live upstream, a later try opens one connection, as each counts towards the
                    // retry budget.
                    retry_state.failed_dials = if is_lost { 0 } else { MAX_FAILED_DIALS - 1 };
                }
            }
        }
    }

    /// Returns the successor if the response goes on with the stream, or may do so.
    async fn accept(&self, opened: OpenedResponse) -> Option<Successor> {
        let call = self.call;
        let status = opened.response.status();
        let is_accepted = status.is_success()
            && self.headers.is_none_or(|headers| is_same_type(headers, opened.response.headers()));
        if !is_accepted {
            self.log_failure(&opened.attempt.placement.upstream, status.as_u16());
            opened.attempt.end(AttemptOutcome::Failed);
            return None;
        }
        let (head, source) = UpstreamSource::split(opened, call);
        let mut events = self.events.clone();
        let mut source = match self.headers {
            Some(_) => {
                events.expect_next();
                source.into_resumed()
            }
            None => {
                events.drop_partial();
                source
            }
        };
        let step = match timeout(MAX_OVERLAP, source.read_events(call, &mut events)).await {
            Err(_) => None,
            Ok(step @ (SourceStep::Events(_) | SourceStep::End)) => Some(step),
            // Its framing shows that nothing was lost on the way.
            Ok(SourceStep::NoEvents) if self.source_loss.is_unproven_end.get() => {
                Some(SourceStep::End)
            }
            Ok(SourceStep::NoEvents) => {
                self.log_failure(source.upstream(), status.as_u16());
                source.complete(call);
                return None;
            }
            Ok(SourceStep::Broken(detail) | SourceStep::Unproven(detail)) => {
                source.fail_broken(call, &detail);
                return None;
            }
            Ok(SourceStep::Invalid(detail)) => {
                source.fail(call, &detail);
                return None;
            }
        };
        Some(Successor { head, source, events, step })
    }

    fn log_failure(&self, upstream: &str, status: u16) {
        let call = self.call;
        call.relay.log.write(
            "resumption_failed",
            || json!({ "request": call.request_id, "upstream": upstream, "status": status }),
        );
    }
}
