//! What the present load asks of a service's capacity.

use hickorycourse_duties::{CapacityDemand, CapacityPlannerOptions};

use crate::node::Relay;

/// Part of an upstream's places that may be taken while events still come in time.
const PLACES_FILL: f64 = 0.6;
/// Part of an engine's time that may go into reading prompts: prompts come in clumps, and each
/// delays the events of the streams beside it.
const READING_FILL: f64 = 0.6;

/// The planner's weights.
pub fn options() -> CapacityPlannerOptions {
    CapacityPlannerOptions {
        headroom: 1.0,
        on_demand_part: 0.4,
        reclaimable_part: 3.0,
        initial_part: 0.6,
        keep_ms: 20_000,
        shrink_ms: 3_000,
        refused_ms: 3_000,
    }
}

/// Measures the load of all instances. Requests that wait for their first byte don't count: in an
/// overload they would ask for ever more capacity.
pub fn measure_demand(relay: &Relay, service: &str, now_ms: u64) -> CapacityDemand {
    let Some(book) = relay.book(service) else { return CapacityDemand::default() };
    let book = book.lock();
    if !book.has_work(now_ms) {
        return CapacityDemand::default();
    }
    let places = book.slots_each().max(1) as f64 * PLACES_FILL;
    let by_places = book.count_answering(now_ms) as f64 / places;
    let reading = book.reading_tokens_per_ms() * READING_FILL;
    let by_reading = book.work_tokens_per_ms(now_ms) / reading;
    CapacityDemand { busy_upstreams: Some(by_places.max(by_reading)) }
}
