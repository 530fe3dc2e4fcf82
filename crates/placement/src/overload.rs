//! Overload control over all instances, for the upstreams of one service.
//!
//! Load pattern: for seconds the requests of the less urgent ranks ask for a multiple of what the upstreams
//! can serve. Each instance sees a small part of them. A forecast for one upstream says that the request
//! would be late only when the queue is there, which then makes all others late too.

use hickorycourse_overload::{
    Capacity, OverloadControl, OverloadDecision, OverloadState, WorkClass, WorkCounts, WorkRequest,
};

use crate::admission::Forecast;
use crate::request::PlacementRequest;
use crate::retry_schedule::RetrySchedule;
use crate::table::{Placement, PlacementTable};

/// Shortest retry delay of a refused request, so that the load has changed when it is retried.
const MIN_RETRY_AFTER_MS: u64 = 200;
/// Part of the time that is left to the target after the forecast, within which a refused request may return;
/// the rest is for the queue that it finds then.
const RETRY_WINDOW_PERCENT: u64 = 70;

/// Overload control of a service, with the retries of those that it has refused.
#[derive(Clone, Debug, Default)]
pub struct FleetAdmission {
    control: OverloadControl,
    retry_schedule: RetrySchedule,
}

/// Refusal of a request while the fleet is short of capacity.
#[derive(Clone, Debug, PartialEq)]
pub struct OverloadRefusal {
    /// Why it is refused.
    pub decision: OverloadDecision,
    /// Delay until capacity for the request is expected.
    pub retry_after_ms: u64,
    /// What the decision was made from.
    pub state: OverloadState,
}

impl PlacementTable {
    /// Turns the overload control on or off. What it knows is discarded when it is turned off.
    pub fn set_fleet_admission(&mut self, is_enabled: bool) {
        match is_enabled {
            true => drop(self.fleet_admission.get_or_insert_default()),
            false => self.fleet_admission = None,
        }
    }

    /// Returns the work that a request asks for; its caller states at most `output_tokens` tokens of the
    /// response.
    pub fn work_request(
        &self,
        placement: &Placement,
        request: &PlacementRequest<'_>,
        output_tokens: u64,
    ) -> WorkRequest {
        let missed = placement.cached_tokens as f64 * self.latency.miss_rate;
        let tokens = placement.uncached_tokens as f64 + missed;
        WorkRequest {
            class: WorkClass::new(request.urgency, request.prompt_tokens, output_tokens),
            hash: request.seed,
            prefill_ms: tokens / self.latency.tokens_per_ms,
        }
    }

    /// Records a first attempt and decides on it; `None` if it is admitted, or overload control is off.
    pub fn refuse_in_overload(
        &mut self,
        request: &WorkRequest,
        forecast: &Forecast,
        now_ms: u64,
    ) -> Option<OverloadRefusal> {
        let is_due = self.fleet_admission.as_ref()?.control.is_due(now_ms);
        let capacity = is_due.then(|| self.measure_capacity(now_ms));
        let instances = self.count_instances();
        let FleetAdmission { control, retry_schedule } = self.fleet_admission.as_deref_mut()?;
        // A prompt of any stated size counts for no more than the time in which it could be served.
        let request = &WorkRequest {
            prefill_ms: request.prefill_ms.min(forecast.target_ms as f64),
            ..*request
        };
        control.record_arrival(request, now_ms);
        if let Some(capacity) = capacity {
            control.update(&capacity, now_ms);
        }
        let expected_ms = forecast.waited_ms.saturating_add(forecast.first_byte_ms);
        let is_on_time = expected_ms <= forecast.target_ms;
        let decision = control.decide(request, is_on_time);
        if !decision.is_refusal() {
            return None;
        }
        let retry_after_ms = match spread_retry_ms(request, forecast) {
            Some(retry_after_ms) => retry_after_ms,
            None => {
                let slot_ms = control.response_ms(request.class, now_ms) + request.prefill_ms;
                let own_slots = control.state().capacity.slots / instances;
                let duration_ms = (slot_ms / own_slots.max(1.0)) as u64;
                let left_ms = forecast.patience_ms.saturating_sub(forecast.waited_ms);
                retry_schedule.reserve(duration_ms, MIN_RETRY_AFTER_MS, left_ms, now_ms)
            }
        };
        Some(OverloadRefusal { decision, retry_after_ms, state: control.state().clone() })
    }

    /// Records how long a complete response took from its first byte on.
    pub fn record_response_time(&mut self, class: WorkClass, response_ms: u64) {
        if let Some(admission) = &mut self.fleet_admission {
            admission.control.record_response(class, response_ms);
        }
    }

    /// Returns this instance's demand for its digest; `None` if overload control is off.
    pub fn own_work(&self, now_ms: u64) -> Option<WorkCounts> {
        Some(self.fleet_admission.as_ref()?.control.own_counts(now_ms))
    }

    /// Records the demand that a peer reported for itself, or as the sum of `instances` instances; `None` if
    /// it reported none.
    pub fn set_peer_work(
        &mut self,
        peer: &str,
        instances: usize,
        work: Option<&WorkCounts>,
        now_ms: u64,
    ) {
        if let Some(admission) = &mut self.fleet_admission {
            admission.control.fleet_mut().set_peer(peer, instances, work, now_ms);
        }
    }

    /// Returns what the latest decisions were made from; `None` if overload control is off.
    pub fn overload_state(&self) -> Option<&OverloadState> {
        Some(self.fleet_admission.as_ref()?.control.state())
    }

    /// Discards the demand reported by a peer, or by all.
    pub(crate) fn clear_peer_work(&mut self, peer: Option<&str>) {
        let Some(admission) = &mut self.fleet_admission else { return };
        match peer {
            Some(peer) => admission.control.fleet_mut().clear_peer(peer),
            None => admission.control.fleet_mut().clear(),
        }
    }

    /// Counts the slots of the usable upstreams and the requests of all instances there.
    fn measure_capacity(&self, now_ms: u64) -> Capacity {
        let rate = self.latency.tokens_per_ms;
        let usable = self.upstreams.values().filter(|upstream| {
            upstream.is_usable(now_ms)
                && upstream.accepts_requests(now_ms)
                && upstream.limit.is_none()
        });
        usable.fold(Capacity::default(), |sum, upstream| {
            let load = upstream.facts.load.estimate(u8::MAX, rate, upstream.slots, now_ms);
            Capacity {
                slots: sum.slots + upstream.slots as f64,
                upstreams: sum.upstreams + 1.0,
                occupied_slots: sum.occupied_slots + load.running as f64,
            }
        })
    }
}

/// Returns a delay after which a retry can still meet the target, if there is one. Retries are spread over
/// that time. A request that returns later would take capacity from one that can still be on time.
fn spread_retry_ms(request: &WorkRequest, forecast: &Forecast) -> Option<u64> {
    let service_ms = forecast.first_byte_ms.saturating_sub(forecast.queue_ms);
    let left_ms = forecast.target_ms.checked_sub(forecast.waited_ms.saturating_add(service_ms))?;
    let latest_ms = left_ms * RETRY_WINDOW_PERCENT / 100;
    let spread_ms = latest_ms.checked_sub(MIN_RETRY_AFTER_MS)?;
    Some(MIN_RETRY_AFTER_MS + request.hash % (spread_ms + 1))
}
