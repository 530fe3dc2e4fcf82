//! What the present load asks of a service's capacity.

use hickorycourse_duties::{CapacityDemand, CapacityPlannerOptions};
use hickorycourse_routes::Service;

use crate::node::Relay;

/// Part of an upstream's places that may be taken while requests still meet their targets.
const FILL: f64 = 0.5;

/// The planner's weights.
pub fn options() -> CapacityPlannerOptions {
    CapacityPlannerOptions {
        headroom: 1.5,
        on_demand_part: 0.2,
        keep_ms: 30_000,
        repeat_ms: 3_000,
        refused_ms: 5_000,
    }
}

/// Adds up the load of all instances as upstreams that it would fill.
pub fn measure_demand(
    relay: &Relay,
    service: &str,
    _traits: &Service,
    now_ms: u64,
) -> CapacityDemand {
    let Some(book) = relay.book(service) else { return CapacityDemand::default() };
    let book = book.lock();
    let slots = book.slots_each().max(1) as f64;
    let running: u64 = book.summaries(now_ms).iter().map(|summary| summary.running).sum();
    let work_tokens_per_ms = book.work_tokens_per_ms(now_ms);
    let by_places = running as f64 / (slots * FILL);
    let by_reading = work_tokens_per_ms / (book.reading_tokens_per_ms() * FILL);
    CapacityDemand { busy_upstreams: by_places.max(by_reading) }
}
