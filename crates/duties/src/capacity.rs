//! How many upstreams are ordered.
//!
//! Answers two load patterns: quiet hours, in which most upstreams would be paid for nothing, and
//! the reclaim of a whole availability zone while a flood runs.

use std::collections::BTreeMap;

use hickorycourse_routes::CapacityLimits;

/// Upstreams of one kind or the other.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CapacityCounts {
    /// Those that the platform doesn't take back.
    pub on_demand: u32,
    /// Those that it may take back.
    pub reclaimable: u32,
}

impl CapacityCounts {
    /// Both kinds together.
    pub fn total(self) -> u32 {
        self.on_demand + self.reclaimable
    }
}

/// What stands in one availability zone.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneCapacity {
    /// Upstreams that take requests.
    pub ready: CapacityCounts,
}

/// What the requests need.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CapacityDemand {
    /// Upstreams that the present load would fill.
    pub busy_upstreams: f64,
}

/// An order of the wished-for number of upstreams.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CapacityOrder {
    /// The availability zone.
    pub availability_zone: String,
    /// Whether the order is for upstreams that may be taken back.
    pub is_reclaimable: bool,
    /// How many are wished for.
    pub count: u32,
}

/// Weights of the plan.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacityPlannerOptions {
    /// Capacity over the present load, as a factor.
    pub headroom: f64,
    /// Upstreams that are never reclaimable, as a part of the demand.
    pub on_demand_part: f64,
    /// Time for which capacity is kept after the load has gone down.
    pub keep_ms: u64,
    /// Time between two orders for the same zone and kind.
    pub repeat_ms: u64,
    /// Time for which a kind that is not to be had in a zone is not asked for again.
    pub refused_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct Ordered {
    count: u32,
    at_ms: u64,
    refused_until_ms: u64,
}

/// Plans the capacity of one service.
#[derive(Clone, Debug)]
pub struct CapacityPlanner {
    options: CapacityPlannerOptions,
    ordered: BTreeMap<(String, bool), Ordered>,
    /// Demand with the time until which it counts.
    peaks: Vec<(f64, u64)>,
}

impl CapacityPlanner {
    /// Creates a planner that has ordered nothing.
    pub fn new(options: CapacityPlannerOptions) -> Self {
        Self { options, ordered: BTreeMap::new(), peaks: Vec::new() }
    }

    /// Lists the orders that are due.
    pub fn plan(
        &mut self,
        limits: &CapacityLimits,
        zones: &BTreeMap<String, ZoneCapacity>,
        demand: CapacityDemand,
        now_ms: u64,
    ) -> Vec<CapacityOrder> {
        let needed = self.peak(demand.busy_upstreams, now_ms) * self.options.headroom;
        let wished = self.wish(limits, zones, needed, now_ms);
        let mut orders = Vec::new();
        for (zone, counts) in wished {
            let ready = zones.get(&zone).copied().unwrap_or_default().ready;
            let kinds = [
                (false, counts.on_demand, ready.on_demand),
                (true, counts.reclaimable, ready.reclaimable),
            ];
            for (is_reclaimable, count, present) in kinds {
                if self.is_due(&zone, is_reclaimable, count, present, limits, now_ms) {
                    orders.push(CapacityOrder {
                        availability_zone: zone.clone(),
                        is_reclaimable,
                        count,
                    });
                }
            }
        }
        // Additions go first, so that nothing is given up before its replacement was ordered.
        orders.sort_by_key(|order| {
            let ready = zones.get(&order.availability_zone).copied().unwrap_or_default().ready;
            let present = if order.is_reclaimable { ready.reclaimable } else { ready.on_demand };
            order.count < present
        });
        orders
    }

    /// Notes that an order was accepted.
    pub fn note_ordered(&mut self, order: &CapacityOrder, now_ms: u64) {
        let key = (order.availability_zone.clone(), order.is_reclaimable);
        self.ordered
            .insert(key, Ordered { count: order.count, at_ms: now_ms, refused_until_ms: 0 });
    }

    /// Notes that none was to be had.
    pub fn note_refused(&mut self, order: &CapacityOrder, now_ms: u64) {
        let key = (order.availability_zone.clone(), order.is_reclaimable);
        let refused_until_ms = now_ms + self.options.refused_ms;
        self.ordered.insert(key, Ordered { count: 0, at_ms: now_ms, refused_until_ms });
    }

    fn peak(&mut self, busy: f64, now_ms: u64) -> f64 {
        self.peaks.retain(|(peak, until_ms)| *until_ms > now_ms && *peak > busy);
        self.peaks.push((busy, now_ms + self.options.keep_ms));
        self.peaks.iter().map(|(peak, _)| *peak).fold(0.0, f64::max)
    }

    fn is_refused(&self, zone: &str, is_reclaimable: bool, now_ms: u64) -> bool {
        let ordered = self.ordered.get(&(zone.to_owned(), is_reclaimable));
        ordered.is_some_and(|ordered| ordered.refused_until_ms > now_ms)
    }

    /// The cheapest mix that carries the need after the loss of any one zone's reclaimable
    /// upstreams.
    fn wish(
        &self,
        limits: &CapacityLimits,
        zones: &BTreeMap<String, ZoneCapacity>,
        needed: f64,
        now_ms: u64,
    ) -> BTreeMap<String, CapacityCounts> {
        let mut names: Vec<&String> = zones.keys().collect();
        let price = |zone: &str| limits.zone_prices.get(zone).copied().unwrap_or(1.0);
        names.sort_by(|one, other| price(one).total_cmp(&price(other)).then(one.cmp(other)));
        let mut wished: BTreeMap<String, CapacityCounts> =
            names.iter().map(|name| ((*name).clone(), CapacityCounts::default())).collect();
        let can_reclaim = limits.reclaimable_price.is_some();
        let open: Vec<&String> = names
            .iter()
            .filter(|name| can_reclaim && !self.is_refused(name, true, now_ms))
            .copied()
            .collect();
        let base = (needed * self.options.on_demand_part).ceil() as u32;
        let target = needed.ceil() as u32;
        // The least number a zone must hold; reclaimable ones count.
        for name in &names {
            let counts = wished.entry((*name).clone()).or_default();
            match open.contains(name) {
                true => counts.reclaimable = limits.min,
                false => counts.on_demand = limits.min,
            }
        }
        fill(
            &mut wished,
            &names,
            limits.max,
            |all| all.values().map(|counts| counts.on_demand).sum::<u32>() < base,
            |counts| counts.on_demand += 1,
        );
        fill(
            &mut wished,
            &open,
            limits.max,
            |all| count_after_reclaim(all) < target,
            |counts| {
                counts.reclaimable += 1;
            },
        );
        fill(
            &mut wished,
            &names,
            limits.max,
            |all| count_after_reclaim(all) < target,
            |counts| {
                counts.on_demand += 1;
            },
        );
        wished
    }

    fn is_due(
        &self,
        zone: &str,
        is_reclaimable: bool,
        count: u32,
        present: u32,
        limits: &CapacityLimits,
        now_ms: u64,
    ) -> bool {
        match self.ordered.get(&(zone.to_owned(), is_reclaimable)) {
            None => count != present,
            Some(ordered) if ordered.refused_until_ms > now_ms => false,
            Some(ordered) if ordered.count != count => {
                count > ordered.count || now_ms >= ordered.at_ms + self.options.repeat_ms
            }
            Some(ordered) => {
                let settle_ms = self.options.repeat_ms + limits.start_ms;
                count != present && now_ms >= ordered.at_ms + settle_ms
            }
        }
    }
}

/// Upstreams that are left after the zone with most reclaimable ones has lost them.
fn count_after_reclaim(wished: &BTreeMap<String, CapacityCounts>) -> u32 {
    let all: u32 = wished.values().map(|counts| counts.total()).sum();
    let lost = wished.values().map(|counts| counts.reclaimable).max().unwrap_or(0);
    all - lost
}

/// Adds one upstream at a time to the zone that holds fewest, the cheapest of these first.
fn fill(
    wished: &mut BTreeMap<String, CapacityCounts>,
    zones: &[&String],
    most: u32,
    is_short: impl Fn(&BTreeMap<String, CapacityCounts>) -> bool,
    add: impl Fn(&mut CapacityCounts),
) {
    while is_short(wished) {
        let count = |zone: &&&String| wished.get(**zone).copied().unwrap_or_default().total();
        let open = zones.iter().filter(|zone| count(zone) < most);
        let Some(zone) = open.min_by_key(count) else { return };
        add(wished.entry((*zone).clone()).or_default());
    }
}
