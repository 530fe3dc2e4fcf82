//! How many upstreams are ordered.
//!
//! Answers two load patterns: quiet hours, in which most upstreams would be paid for nothing, and
//! the reclaim of a whole availability zone while a flood runs.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use hickorycourse_routes::CapacityLimits;
use serde::{Deserialize, Serialize};

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
    /// Upstreams that the present load keeps as busy as they may be; none while no request has
    /// come yet.
    pub busy_upstreams: Option<f64>,
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
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct CapacityPlannerOptions {
    /// Capacity that must be left after a reclaim, for each upstream that the load needs.
    pub headroom: f64,
    /// On-demand upstreams for each upstream that the load needs.
    pub on_demand_part: f64,
    /// Reclaimable upstreams for each upstream that the load needs; they cost little.
    pub reclaimable_part: f64,
    /// Part of the upstreams present at the start that the load is taken to need before any request
    /// has come.
    pub initial_part: f64,
    /// Time for which a peak of the load counts.
    pub keep_ms: u64,
    /// Shortest time between two changes of an order that take upstreams away.
    pub shrink_ms: u64,
    /// Time after which a zone that had no reclaimable upstreams is asked again. Until it has some,
    /// the plan does without them.
    pub refused_ms: u64,
}

impl Default for CapacityPlannerOptions {
    fn default() -> Self {
        Self {
            headroom: 1.0,
            on_demand_part: 0.0,
            reclaimable_part: 4.0,
            initial_part: 0.6,
            keep_ms: 20_000,
            shrink_ms: 3_000,
            refused_ms: 3_000,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Ordered {
    count: u32,
    at_ms: u64,
}

/// Time after an upstream's start was due from which it is taken to be missing: entries are written
/// about every second, and read a while later.
const LATE_MS: u64 = 3_000;

/// Counts by zone.
type Plan = BTreeMap<String, CapacityCounts>;

/// Plans the capacity of one service.
#[derive(Clone, Debug)]
pub struct CapacityPlanner {
    options: CapacityPlannerOptions,
    ordered: BTreeMap<(String, bool), Ordered>,
    /// When to ask again for what was not to be had.
    refused: BTreeMap<(String, bool), u64>,
    /// Demand with the time until which it counts.
    peaks: Vec<(f64, u64)>,
    /// Most upstreams that were present before any order can have been filled: the operators' own.
    initial: u32,
    /// When an order of the first plan may be filled.
    filled_at_ms: Option<u64>,
    /// Until then nothing is given up: a holder that takes over under load knows neither the peaks
    /// of before nor which zones are dry.
    learns_until_ms: Option<u64>,
}

impl CapacityPlanner {
    /// Creates a planner that has ordered nothing.
    pub fn new(options: CapacityPlannerOptions) -> Self {
        Self {
            options,
            ordered: BTreeMap::new(),
            refused: BTreeMap::new(),
            peaks: Vec::new(),
            initial: 0,
            filled_at_ms: None,
            learns_until_ms: None,
        }
    }

    /// Lists the orders that are due, additions first.
    pub fn plan(
        &mut self,
        limits: &CapacityLimits,
        zones: &BTreeMap<String, ZoneCapacity>,
        demand: CapacityDemand,
        now_ms: u64,
    ) -> Vec<CapacityOrder> {
        let present: u32 = zones.values().map(|zone| zone.ready.total()).sum();
        // A first plan may see part of them only: entries are read as their upstreams write them.
        if now_ms < *self.filled_at_ms.get_or_insert(now_ms + limits.start_ms) {
            self.initial = self.initial.max(present);
        }
        let keep_ms = if demand.busy_upstreams.is_some() { self.options.keep_ms } else { 0 };
        self.learns_until_ms.get_or_insert(now_ms + keep_ms);
        // Until the load has been seen for a while, the operators' own number is the best guess.
        let guess = f64::from(self.initial) * self.options.initial_part;
        let needed = match demand.busy_upstreams {
            Some(busy) if self.peaks.is_empty() => self.peak(busy.max(guess), now_ms),
            Some(busy) => self.peak(busy, now_ms),
            None => self.peaks.iter().map(|(peak, _)| *peak).fold(guess, f64::max),
        };
        let wished = self.wish(limits, zones, needed);
        let mut additions = Vec::new();
        let mut removals = Vec::new();
        let mut spare = f64::from(present) - needed * self.options.headroom;
        for (zone, counts) in &wished {
            let ready = zones.get(zone).copied().unwrap_or_default().ready;
            let kinds = [
                (false, counts.on_demand, ready.on_demand),
                (true, counts.reclaimable, ready.reclaimable),
            ];
            for (is_reclaimable, count, present) in kinds {
                let order =
                    CapacityOrder { availability_zone: zone.clone(), is_reclaimable, count };
                let standing = self.standing(&order, present, limits.start_ms, now_ms);
                match count.cmp(&standing) {
                    Ordering::Equal => {}
                    Ordering::Greater => additions.push(order),
                    // What goes must not be missed before what was ordered is there.
                    Ordering::Less => {
                        let lost = f64::from(present.saturating_sub(count));
                        if lost <= spare && self.may_shrink(&order, now_ms) {
                            spare -= lost;
                            removals.push(order);
                        }
                    }
                }
            }
        }
        additions.extend(self.probe(limits, zones, needed, now_ms));
        additions.extend(removals);
        additions
    }

    /// Orders that ask again where none were to be had.
    fn probe(
        &self,
        limits: &CapacityLimits,
        zones: &BTreeMap<String, ZoneCapacity>,
        needed: f64,
        now_ms: u64,
    ) -> Vec<CapacityOrder> {
        let share = needed * self.options.reclaimable_part / zones.len().max(1) as f64;
        let mut probes = Vec::new();
        for ((zone, is_reclaimable), retry_at_ms) in &self.refused {
            let ready = zones.get(zone).copied().unwrap_or_default().ready;
            let count = (share.ceil() as u32).min(limits.max.saturating_sub(ready.on_demand));
            if *is_reclaimable && *retry_at_ms <= now_ms && count > ready.reclaimable {
                probes.push(CapacityOrder {
                    availability_zone: zone.clone(),
                    is_reclaimable: true,
                    count,
                });
            }
        }
        probes
    }

    /// The count that was ordered last, or that stands there without an order. An order that was
    /// accepted and not filled in time, as the zone was full then, is made again.
    fn standing(&self, order: &CapacityOrder, present: u32, start_ms: u64, now_ms: u64) -> u32 {
        match self.ordered.get(&key(order)) {
            Some(ordered) if now_ms < ordered.at_ms + start_ms + LATE_MS => ordered.count,
            Some(ordered) => ordered.count.min(present),
            None => present,
        }
    }

    fn may_shrink(&self, order: &CapacityOrder, now_ms: u64) -> bool {
        if self.learns_until_ms.is_some_and(|until_ms| now_ms < until_ms) {
            return false;
        }
        let ordered = self.ordered.get(&key(order));
        ordered.is_none_or(|ordered| now_ms >= ordered.at_ms + self.options.shrink_ms)
    }

    /// Notes that an order was accepted.
    pub fn note_ordered(&mut self, order: &CapacityOrder, now_ms: u64) {
        self.ordered.insert(key(order), Ordered { count: order.count, at_ms: now_ms });
        self.refused.remove(&key(order));
    }

    /// Notes that none was to be had.
    pub fn note_refused(&mut self, order: &CapacityOrder, now_ms: u64) {
        self.ordered.remove(&key(order));
        self.refused.insert(key(order), now_ms + self.options.refused_ms);
    }

    /// Takes what is present now: an order whose upstreams were taken back stands no longer.
    pub fn note_reclaimed(&mut self, zone: &str) {
        self.ordered.remove(&(zone.to_owned(), true));
    }

    fn peak(&mut self, busy: f64, now_ms: u64) -> f64 {
        self.peaks.retain(|(peak, until_ms)| *until_ms > now_ms && *peak > busy);
        self.peaks.push((busy, now_ms + self.options.keep_ms));
        self.peaks.iter().map(|(peak, _)| *peak).fold(0.0, f64::max)
    }

    /// Whether reclaimable upstreams are to be had in a zone, as far as is known.
    fn is_open(&self, limits: &CapacityLimits, zone: &str) -> bool {
        limits.reclaimable_price.is_some() && !self.refused.contains_key(&(zone.to_owned(), true))
    }

    /// Reclaimable upstreams wherever they are to be had, and so many on demand that the load is
    /// carried after any one zone has lost its reclaimable ones.
    fn wish(
        &self,
        limits: &CapacityLimits,
        zones: &BTreeMap<String, ZoneCapacity>,
        needed: f64,
    ) -> Plan {
        let price = |zone: &str| limits.zone_prices.get(zone).copied().unwrap_or(1.0);
        let mut names: Vec<&String> = zones.keys().collect();
        names.sort_by(|one, other| price(one).total_cmp(&price(other)).then(one.cmp(other)));
        let (open, closed): (Vec<&String>, Vec<&String>) =
            names.iter().partition(|zone| self.is_open(limits, zone));
        let mut plan = Plan::new();
        for name in &names {
            plan.insert((*name).clone(), CapacityCounts::default());
        }
        for zone in closed {
            let present = zones.get(zone).copied().unwrap_or_default().ready.reclaimable;
            plan.entry(zone.clone()).or_default().reclaimable = present;
        }
        let on_demand = (needed * self.options.on_demand_part).ceil() as u32;
        let reclaimable = (needed * self.options.reclaimable_part).ceil() as u32;
        let left = (needed * self.options.headroom).ceil() as u32;
        fill(
            &mut plan,
            &names,
            limits.max,
            |plan| sum(plan).on_demand < on_demand,
            |counts| {
                counts.on_demand += 1;
            },
        );
        fill(
            &mut plan,
            &open,
            limits.max,
            |plan| sum(plan).reclaimable < reclaimable,
            |counts| {
                counts.reclaimable += 1;
            },
        );
        fill(
            &mut plan,
            &names,
            limits.max,
            |plan| count_after_reclaim(plan) < left,
            |counts| {
                counts.on_demand += 1;
            },
        );
        for (zone, counts) in &mut plan {
            let missing = limits.min.saturating_sub(counts.total());
            match open.contains(&zone) {
                true => counts.reclaimable += missing,
                false => counts.on_demand += missing,
            }
        }
        plan
    }
}

fn key(order: &CapacityOrder) -> (String, bool) {
    (order.availability_zone.clone(), order.is_reclaimable)
}

fn sum(plan: &Plan) -> CapacityCounts {
    CapacityCounts {
        on_demand: plan.values().map(|counts| counts.on_demand).sum(),
        reclaimable: plan.values().map(|counts| counts.reclaimable).sum(),
    }
}

/// Upstreams that are left after the zone with most reclaimable ones has lost them.
fn count_after_reclaim(plan: &Plan) -> u32 {
    let lost = plan.values().map(|counts| counts.reclaimable).max().unwrap_or(0);
    sum(plan).total() - lost
}

/// Adds one upstream at a time to the zone that holds fewest, the cheapest of these first.
fn fill(
    plan: &mut Plan,
    zones: &[&String],
    most: u32,
    is_short: impl Fn(&Plan) -> bool,
    add: impl Fn(&mut CapacityCounts),
) {
    while is_short(plan) {
        let count = |zone: &&&String| plan.get(**zone).copied().unwrap_or_default().total();
        let open = zones.iter().filter(|zone| count(zone) < most);
        let Some(zone) = open.min_by_key(count) else { return };
        add(plan.entry((*zone).clone()).or_default());
    }
}
