//! How many upstreams are ordered, over the load patterns that the plan answers.

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

/// A platform that fills orders after the start time, up to the most that a zone may hold.
struct Market {
    zones: BTreeMap<String, ZoneCapacity>,
    coming: Vec<(u64, CapacityOrder)>,
    is_dry: bool,
    planner: CapacityPlanner,
}

impl Market {
    fn new(on_demand: u32) -> Self {
        let ready = CapacityCounts { on_demand, reclaimable: 0 };
        let zones = ZONES.iter().map(|zone| ((*zone).to_owned(), ZoneCapacity { ready })).collect();
        let planner = CapacityPlanner::new(CapacityPlannerOptions::default());
        Self { zones, coming: Vec::new(), is_dry: false, planner }
    }

    fn step(&mut self, busy: Option<f64>, now_ms: u64) -> Vec<CapacityOrder> {
        let due: Vec<CapacityOrder> =
            self.coming.iter().filter(|(at, _)| *at <= now_ms).map(|(_, o)| o.clone()).collect();
        self.coming.retain(|(at, _)| *at > now_ms);
        for order in due {
            self.fill(&order);
        }
        let demand = CapacityDemand { busy_upstreams: busy };
        let orders = self.planner.plan(&limits(), &self.zones, demand, now_ms);
        for order in &orders {
            let present = self.zones[&order.availability_zone].ready;
            if order.is_reclaimable && self.is_dry && order.count > present.reclaimable {
                self.planner.note_refused(order, now_ms);
                continue;
            }
            self.planner.note_ordered(order, now_ms);
            let is_removal = match order.is_reclaimable {
                true => order.count < present.reclaimable,
                false => order.count < present.on_demand,
            };
            match is_removal {
                true => self.fill(order),
                false => self.coming.push((now_ms + START_MS, order.clone())),
            }
        }
        orders
    }

    fn fill(&mut self, order: &CapacityOrder) {
        let zone = self.zones.get_mut(&order.availability_zone).expect("a known zone");
        let most = limits().max;
        match order.is_reclaimable {
            true => zone.ready.reclaimable = order.count.min(most - zone.ready.on_demand),
            false => zone.ready.on_demand = order.count.min(most - zone.ready.reclaimable),
        }
    }

    fn reclaim(&mut self, zone: &str) {
        self.zones.get_mut(zone).expect("a known zone").ready.reclaimable = 0;
        self.planner.note_reclaimed(zone);
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
fn plan_before_all_upstreams_are_known() {
    // The first plan sees a third of the operators' upstreams, the next one all of them.
    let mut planner = CapacityPlanner::new(CapacityPlannerOptions::default());
    let zones = |each: u32| -> BTreeMap<String, ZoneCapacity> {
        let ready = CapacityCounts { on_demand: each, reclaimable: 0 };
        ZONES.iter().map(|zone| ((*zone).to_owned(), ZoneCapacity { ready })).collect()
    };
    let limits = CapacityLimits { max: 30, ..limits() };
    let wished = |orders: Vec<CapacityOrder>| -> u32 {
        orders.iter().filter(|order| order.is_reclaimable).map(|order| order.count).sum()
    };
    let demand = CapacityDemand::default();
    let first = planner.plan(&limits, &zones(1), demand, 0);
    for order in &first {
        planner.note_ordered(order, 0);
    }
    let second = wished(planner.plan(&limits, &zones(3), demand, 1_000));
    assert!(second >= 2 * wished(first), "{second}");
    // What orders have brought is not taken for the operators' own.
    let later = planner.plan(&limits, &zones(10), demand, START_MS + 1_000);
    assert!(wished(later) <= second);
}

#[test]
fn plan_before_any_request() {
    let mut market = Market::new(2);
    let before = market.price();
    for now_ms in (0..10_000).step_by(1_000) {
        market.step(None, now_ms);
        assert!(market.total() >= 5, "{:?} at {now_ms}", market.zones);
    }
    assert!(market.price() < before / 2.0, "{:?}", market.zones);
}

#[test]
fn plan_first_small_load() {
    // The first requests say little; the operators' own number counts for a while.
    let mut market = Market::new(2);
    for now_ms in (0..10_000).step_by(1_000) {
        market.step(None, now_ms);
    }
    for now_ms in (10_000..14_000).step_by(1_000) {
        market.step(Some(0.1), now_ms);
        assert!(market.total() >= 8, "{:?} at {now_ms}", market.zones);
    }
}

#[test]
fn plan_order_cut_down_by_a_full_zone() {
    // On-demand upstreams stand in the way when the reclaimable ones are ordered.
    let mut market = Market::new(4);
    for now_ms in (0..30_000).step_by(1_000) {
        market.step(Some(6.0), now_ms);
    }
    let reclaimable: u32 = market.zones.values().map(|zone| zone.ready.reclaimable).sum();
    assert!(reclaimable >= 22, "{:?}", market.zones);
}

#[test]
fn plan_zones_reclaimed_one_after_the_other() {
    let mut market = Market::new(2);
    for now_ms in (0..30_000).step_by(1_000) {
        market.step(Some(3.0), now_ms);
    }
    market.is_dry = true;
    let mut fewest = u32::MAX;
    for now_ms in (30_000..60_000).step_by(1_000) {
        match now_ms {
            30_000 => market.reclaim("a"),
            36_000 => market.reclaim("b"),
            42_000 => market.reclaim("c"),
            _ => {}
        }
        market.step(Some(3.0), now_ms);
        fewest = fewest.min(market.total());
    }
    assert!(fewest >= 3, "{fewest}");
    // Whatever was lost is carried on demand, and more is not bought.
    let on_demand: u32 = market.zones.values().map(|zone| zone.ready.on_demand).sum();
    assert!((3..=6).contains(&on_demand), "{:?}", market.zones);
}

#[test]
fn plan_after_the_drought() {
    let mut market = Market::new(2);
    for now_ms in (0..30_000).step_by(1_000) {
        market.step(Some(3.0), now_ms);
    }
    market.is_dry = true;
    market.reclaim("a");
    for now_ms in (30_000..44_000).step_by(1_000) {
        market.step(Some(3.0), now_ms);
    }
    market.is_dry = false;
    for now_ms in (44_000..70_000).step_by(1_000) {
        market.step(Some(3.0), now_ms);
    }
    let on_demand: u32 = market.zones.values().map(|zone| zone.ready.on_demand).sum();
    assert_eq!(on_demand, 0, "{:?}", market.zones);
}

#[test]
fn plan_steady_load_without_flapping() {
    let mut market = Market::new(2);
    for now_ms in (0..40_000).step_by(1_000) {
        market.step(Some(3.0), now_ms);
    }
    let orders: usize = (40_000..100_000)
        .step_by(1_000)
        .map(|now_ms| market.step(Some(if now_ms % 2_000 == 0 { 2.8 } else { 3.0 }), now_ms).len())
        .sum();
    assert_eq!(orders, 0);
}

#[test]
fn plan_after_a_change_of_the_holder() {
    // The new holder does not know that the zones are dry and that on-demand upstreams stand in.
    let mut market = Market::new(2);
    for now_ms in (0..30_000).step_by(1_000) {
        market.step(Some(3.0), now_ms);
    }
    market.is_dry = true;
    for zone in ["a", "b", "c"] {
        market.reclaim(zone);
    }
    for now_ms in (30_000..40_000).step_by(1_000) {
        market.step(Some(3.0), now_ms);
    }
    market.planner = CapacityPlanner::new(CapacityPlannerOptions::default());
    let before = market.total();
    for now_ms in (40_000..60_000).step_by(1_000) {
        market.step(Some(3.0), now_ms);
        assert!(market.total() >= before, "{:?} at {now_ms}", market.zones);
    }
}
