//! Capacity planning under changing load, zone reclaims and refused orders.

use std::collections::BTreeMap;

use hickorycourse_duties::{
    CapacityCounts, CapacityDemand, CapacityOrder, CapacityPlanner, CapacityPlannerOptions,
    ZoneCapacity,
};
use hickorycourse_routes::CapacityLimits;

const ZONES: [&str; 4] = ["a", "b", "c", "d"];
const START_MS: u64 = 4_000;

fn limits() -> CapacityLimits {
    let prices = [1.0, 0.8, 1.25, 0.9];
    CapacityLimits {
        min: 1,
        max: 6,
        start_ms: START_MS,
        reclaimable_price: Some(0.18),
        zone_prices: ZONES
            .iter()
            .zip(prices)
            .map(|(zone, price)| ((*zone).to_owned(), price))
            .collect(),
    }
}

/// A simulated platform that fills scale-ups after the start time, up to the limit of a zone, and
/// scale-downs immediately.
struct SimulatedPlatform {
    zones: BTreeMap<String, ZoneCapacity>,
    pending: Vec<(u64, CapacityOrder)>,
    /// Whether the platform refuses orders for more reclaimable upstreams.
    is_exhausted: bool,
    planner: CapacityPlanner,
}

impl SimulatedPlatform {
    fn new(on_demand: u32) -> Self {
        let ready = CapacityCounts { on_demand, reclaimable: 0 };
        let zones = ZONES.iter().map(|zone| ((*zone).to_owned(), ZoneCapacity { ready })).collect();
        let planner = CapacityPlanner::new(CapacityPlannerOptions::default());
        Self { zones, pending: Vec::new(), is_exhausted: false, planner }
    }

    fn step(&mut self, busy: Option<f64>, now_ms: u64) -> Vec<CapacityOrder> {
        let due: Vec<CapacityOrder> =
            self.pending.iter().filter(|(at, _)| *at <= now_ms).map(|(_, o)| o.clone()).collect();
        self.pending.retain(|(at, _)| *at > now_ms);
        for order in due {
            self.fill(&order);
        }
        let demand = CapacityDemand { busy_upstreams: busy };
        let orders = self.planner.plan(&limits(), &self.zones, demand, now_ms);
        for order in &orders {
            let present = self.zones[&order.availability_zone].ready;
            if order.is_reclaimable && self.is_exhausted && order.count > present.reclaimable {
                self.planner.record_refused(order, now_ms);
                continue;
            }
            self.planner.record_accepted(order, now_ms);
            let is_removal = match order.is_reclaimable {
                true => order.count < present.reclaimable,
                false => order.count < present.on_demand,
            };
            match is_removal {
                true => self.fill(order),
                false => self.pending.push((now_ms + START_MS, order.clone())),
            }
        }
        orders
    }

    fn fill(&mut self, order: &CapacityOrder) {
        let zone = self.zones.get_mut(&order.availability_zone).expect("a known zone");
        let limit = limits().max;
        match order.is_reclaimable {
            true => zone.ready.reclaimable = order.count.min(limit - zone.ready.on_demand),
            false => zone.ready.on_demand = order.count.min(limit - zone.ready.reclaimable),
        }
    }

    fn reclaim(&mut self, zone: &str) {
        self.zones.get_mut(zone).expect("a known zone").ready.reclaimable = 0;
        self.planner.record_reclaimed(zone);
    }

    fn total(&self) -> u32 {
        self.zones.values().map(|zone| zone.ready.total()).sum()
    }

    fn price(&self) -> f64 {
        let limits = limits();
        let zones = self.zones.iter();
        zones
            .map(|(name, zone)| {
                let counts = zone.ready;
                limits.zone_prices[name]
                    * (f64::from(counts.on_demand) + 0.18 * f64::from(counts.reclaimable))
            })
            .sum()
    }
}

#[test]
fn plan_after_partial_first_listing_counts_all_provisioned() {
    // The first plan sees a third of the upstreams that the operators provisioned, the second one
    // sees all.
    let mut planner = CapacityPlanner::new(CapacityPlannerOptions::default());
    let zones = |each: u32| -> BTreeMap<String, ZoneCapacity> {
        let ready = CapacityCounts { on_demand: each, reclaimable: 0 };
        ZONES.iter().map(|zone| ((*zone).to_owned(), ZoneCapacity { ready })).collect()
    };
    let limits = CapacityLimits { max: 30, ..limits() };
    let count_reclaimable = |orders: Vec<CapacityOrder>| -> u32 {
        orders.iter().filter(|order| order.is_reclaimable).map(|order| order.count).sum()
    };
    let demand = CapacityDemand::default();
    let first = planner.plan(&limits, &zones(1), demand, 0);
    for order in &first {
        planner.record_accepted(order, 0);
    }
    let second = count_reclaimable(planner.plan(&limits, &zones(3), demand, 1_000));
    assert!(second >= 2 * count_reclaimable(first), "{second}");
    // Upstreams that orders have started must not count as provisioned by the operators.
    let later = planner.plan(&limits, &zones(10), demand, START_MS + 1_000);
    assert!(count_reclaimable(later) <= second);
}

#[test]
fn plan_before_any_request_lowers_price() {
    let mut platform = SimulatedPlatform::new(2);
    let before = platform.price();
    for now_ms in (0..10_000).step_by(1_000) {
        platform.step(None, now_ms);
        assert!(platform.total() >= 5, "{:?} at {now_ms}", platform.zones);
    }
    assert!(platform.price() < before / 2.0, "{:?}", platform.zones);
}

#[test]
fn plan_with_first_small_load_keeps_provisioned_capacity() {
    // The load of the first requests is a poor estimate of the demand, so the number of upstreams
    // that the operators provisioned must remain the minimum for a while.
    let mut platform = SimulatedPlatform::new(2);
    for now_ms in (0..10_000).step_by(1_000) {
        platform.step(None, now_ms);
    }
    for now_ms in (10_000..14_000).step_by(1_000) {
        platform.step(Some(0.1), now_ms);
        assert!(platform.total() >= 8, "{:?} at {now_ms}", platform.zones);
    }
}

#[test]
fn plan_with_partly_filled_order_sends_it_again() {
    // On-demand upstreams occupy most of each zone when the reclaimable ones are ordered, so the
    // platform fills the accepted orders only partly; they must be sent again.
    let mut platform = SimulatedPlatform::new(4);
    let options = CapacityPlannerOptions { reclaimable_part: 4.0, ..Default::default() };
    platform.planner = CapacityPlanner::new(options);
    for now_ms in (0..30_000).step_by(1_000) {
        platform.step(Some(6.0), now_ms);
    }
    let reclaimable: u32 = platform.zones.values().map(|zone| zone.ready.reclaimable).sum();
    assert!(reclaimable >= 22, "{:?}", platform.zones);
}

#[test]
fn plan_during_successive_zone_reclaims_replaces_lost_upstreams() {
    let mut platform = SimulatedPlatform::new(2);
    for now_ms in (0..30_000).step_by(1_000) {
        platform.step(Some(3.0), now_ms);
    }
    platform.is_exhausted = true;
    let mut fewest = u32::MAX;
    for now_ms in (30_000..60_000).step_by(1_000) {
        match now_ms {
            30_000 => platform.reclaim("a"),
            36_000 => platform.reclaim("b"),
            42_000 => platform.reclaim("c"),
            _ => {}
        }
        platform.step(Some(3.0), now_ms);
        fewest = fewest.min(platform.total());
    }
    assert!(fewest >= 3, "{fewest}");
    // On-demand upstreams replace what was lost, and no more than that.
    let on_demand: u32 = platform.zones.values().map(|zone| zone.ready.on_demand).sum();
    assert!((3..=6).contains(&on_demand), "{:?}", platform.zones);
}

#[test]
fn plan_with_reclaimable_available_again_removes_on_demand() {
    let mut platform = SimulatedPlatform::new(2);
    for now_ms in (0..30_000).step_by(1_000) {
        platform.step(Some(3.0), now_ms);
    }
    platform.is_exhausted = true;
    platform.reclaim("a");
    for now_ms in (30_000..44_000).step_by(1_000) {
        platform.step(Some(3.0), now_ms);
    }
    platform.is_exhausted = false;
    for now_ms in (44_000..70_000).step_by(1_000) {
        platform.step(Some(3.0), now_ms);
    }
    let on_demand: u32 = platform.zones.values().map(|zone| zone.ready.on_demand).sum();
    assert_eq!(on_demand, 0, "{:?}", platform.zones);
}

#[test]
fn plan_under_steady_load_sends_no_orders() {
    let mut platform = SimulatedPlatform::new(2);
    for now_ms in (0..40_000).step_by(1_000) {
        platform.step(Some(3.0), now_ms);
    }
    let orders: usize = (40_000..100_000)
        .step_by(1_000)
        .map(|now_ms| {
            platform.step(Some(if now_ms % 2_000 == 0 { 2.8 } else { 3.0 }), now_ms).len()
        })
        .sum();
    assert_eq!(orders, 0);
}

#[test]
fn plan_after_holder_change_scales_nothing_down() {
    // The new holder does not know that the zones have no reclaimable upstreams left and that
    // on-demand ones replace them; it must not scale these down.
    let mut platform = SimulatedPlatform::new(2);
    for now_ms in (0..30_000).step_by(1_000) {
        platform.step(Some(3.0), now_ms);
    }
    platform.is_exhausted = true;
    for zone in ["a", "b", "c"] {
        platform.reclaim(zone);
    }
    for now_ms in (30_000..40_000).step_by(1_000) {
        platform.step(Some(3.0), now_ms);
    }
    platform.planner = CapacityPlanner::new(CapacityPlannerOptions::default());
    let before = platform.total();
    for now_ms in (40_000..60_000).step_by(1_000) {
        platform.step(Some(3.0), now_ms);
        assert!(platform.total() >= before, "{:?} at {now_ms}", platform.zones);
    }
}

// Load pattern: the zones are reclaimed one after the other while no reclaimable upstreams are to be had.
// Each loss must leave enough for the load, as on-demand upstreams take seconds to start.
#[test]
fn plan_during_reclaims_without_supply_keeps_load_covered() {
    let mut platform = SimulatedPlatform::new(2);
    let needed = 7.0;
    for now_ms in (0..30_000).step_by(1_000) {
        platform.step(Some(needed), now_ms);
    }
    platform.is_exhausted = true;
    for (number, zone) in ZONES.iter().enumerate() {
        let reclaimed_at_ms = 30_000 + 12_000 * number as u64;
        let lost = platform.zones.get_mut(*zone).expect("a known zone");
        lost.ready.reclaimable = 0;
        platform.planner.record_reclaimed(zone);
        let left = platform.total();
        assert!(f64::from(left) >= needed, "{left} left after zone {zone}: {:?}", platform.zones);
        for now_ms in (reclaimed_at_ms..reclaimed_at_ms + 12_000).step_by(1_000) {
            platform.step(Some(needed), now_ms);
        }
    }
}
