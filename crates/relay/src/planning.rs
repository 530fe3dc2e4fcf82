//! Load of a service, and the choice of its capacity planner.

use hickorycourse_duties::{
    ArrivalPlanner, ArrivalSample, CapacityDemand, CapacityPlanner, PlanCapacity,
};
use hickorycourse_routes::CapacityLimits;
use serde_json::{Value, json};

use crate::settings::{CapacityPolicy, PolicySettings};
use crate::state::Relay;

/// Creates the planner that the settings ask for.
pub fn new_planner(policy: &PolicySettings, limits: &CapacityLimits) -> Box<dyn PlanCapacity> {
    let is_by_arrivals = match policy.capacity_planner {
        CapacityPolicy::Auto => limits.reclaimable_price.is_some(),
        CapacityPolicy::Arrivals => true,
        CapacityPolicy::InProgress => false,
    };
    match is_by_arrivals {
        true => Box::new(ArrivalPlanner::new(policy.arrival_capacity)),
        false => Box::new(CapacityPlanner::new(policy.capacity)),
    }
}

/// Returns the work that arrives at all instances for a service with `present` upstreams; `None`
/// until a request has been received.
pub fn measure_arrivals(
    relay: &Relay,
    service: &str,
    present: u32,
    now_ms: u64,
) -> Option<ArrivalSample> {
    let policy = &relay.settings.policy;
    let placement_table = relay.placement_table(service)?;
    let placement_table = placement_table.lock();
    if !placement_table.has_demand(now_ms) {
        return None;
    }
    Some(ArrivalSample {
        tokens_per_ms: placement_table.demand_tokens_per_ms(now_ms),
        answering: placement_table.count_answering(now_ms) as f64,
        prefill_tokens_per_ms: placement_table.prefill_tokens_per_ms() * policy.reading_fill,
        slots: placement_table.slots_per_upstream().max(1) as f64 * policy.places_fill,
        present: f64::from(present),
        limited: placement_table.count_limited() as f64,
    })
}

/// Returns how many upstreams of a service the load of all instances needs. Requests that wait for
/// their first byte don't count: in an overload, they would raise the demand without limit.
pub fn measure_demand(relay: &Relay, service: &str, now_ms: u64) -> CapacityDemand {
    let policy = &relay.settings.policy;
    let Some(placement_table) = relay.placement_table(service) else {
        return CapacityDemand::default();
    };
    let placement_table = placement_table.lock();
    if !placement_table.has_demand(now_ms) {
        return CapacityDemand::default();
    }
    let slots = placement_table.slots_per_upstream().max(1) as f64 * policy.places_fill;
    let by_slots = placement_table.count_answering(now_ms) as f64 / slots;
    let prefill_tokens_per_ms = placement_table.prefill_tokens_per_ms() * policy.reading_fill;
    let by_prefill = placement_table.demand_tokens_per_ms(now_ms) / prefill_tokens_per_ms;
    // Upstreams with a rate limit are counted as ready and serve next to nothing.
    let limited = placement_table.count_limited() as f64;
    CapacityDemand { busy_upstreams: Some(by_slots.max(by_prefill) + limited) }
}

/// Returns the estimates that the demand is computed with, for the log.
pub fn describe_estimates(relay: &Relay, service: &str) -> Value {
    let Some(placement_table) = relay.placement_table(service) else { return Value::Null };
    let placement_table = placement_table.lock();
    let now_ms = relay.now_ms();
    json!({
        "tokens_per_ms": placement_table.demand_tokens_per_ms(now_ms),
        "prefill_tokens_per_ms": placement_table.prefill_tokens_per_ms(),
        "miss_rate": placement_table.miss_rate(),
        "answering": placement_table.count_answering(now_ms),
    })
}
