//! What the present load asks of a service's capacity.

use hickorycourse_duties::CapacityDemand;

use crate::node::Relay;

/// Measures the load of all instances. Requests that wait for their first byte don't count: in an
/// overload they would ask for ever more capacity.
pub fn measure_demand(relay: &Relay, service: &str, now_ms: u64) -> CapacityDemand {
    let policy = &relay.settings.policy;
    let Some(book) = relay.book(service) else { return CapacityDemand::default() };
    let book = book.lock();
    if !book.has_demand(now_ms) {
        return CapacityDemand::default();
    }
    let places = book.slots_per_upstream().max(1) as f64 * policy.places_fill;
    let by_places = book.count_answering(now_ms) as f64 / places;
    let reading = book.prefill_tokens_per_ms() * policy.reading_fill;
    let by_reading = book.demand_tokens_per_ms(now_ms) / reading;
    CapacityDemand { busy_upstreams: Some(by_places.max(by_reading)) }
}
