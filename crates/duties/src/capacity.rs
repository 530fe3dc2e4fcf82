//! Capacity planning: the desired number of upstreams per availability zone.
//!
//! Upstreams have one of two purchase options: on-demand ones stay, reclaimable ones cost less but the
//! platform may take them back at any time.
//!
//! The plan is made for two load patterns: periods of low load, in which most upstreams would cost
//! money while idle, and the loss of all reclaimable upstreams of one availability zone at peak load.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use hickorycourse_routes::CapacityLimits;
use serde::{Deserialize, Serialize};

/// Number of upstreams by purchase option.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CapacityCounts {
    /// Upstreams that the platform does not reclaim.
    pub on_demand: u32,
    /// Upstreams that the platform may reclaim at any time, at a lower price.
    pub reclaimable: u32,
}

impl CapacityCounts {
    /// Returns the sum of both purchase options.
    pub fn total(self) -> u32 {
        self.on_demand + self.reclaimable
    }
}

/// Capacity present in one availability zone.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneCapacity {
    /// Upstreams that accept requests.
    pub ready: CapacityCounts,
}

/// Measured demand of one service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CapacityDemand {
    /// Number of upstreams that the current load would fully utilise; `None` until a request has
    /// been received.
    pub busy_upstreams: Option<f64>,
}

/// An order that sets the desired capacity of one zone and purchase option.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CapacityOrder {
    /// Availability zone that the order applies to.
    pub availability_zone: String,
    /// Whether the order is for reclaimable upstreams rather than on-demand ones.
    pub is_reclaimable: bool,
    /// Desired number of upstreams, not the difference to the present one.
    pub count: u32,
}

/// Parameters of the planner.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct CapacityPlannerOptions {
    /// Upstreams that must remain after the reclaim of a zone, per upstream that the load needs.
    pub headroom: f64,
    /// Factor on `headroom` while a zone has no reclaimable upstreams available.
    pub scarcity_margin: f64,
    /// On-demand upstreams to order per upstream that the load needs.
    pub on_demand_part: f64,
    /// Reclaimable upstreams to order per upstream that the load needs; over-provisioning them is
    /// cheap.
    pub reclaimable_part: f64,
    /// Fraction of the upstreams present at the start that the load is assumed to need before any
    /// request has been received.
    pub initial_part: f64,
    /// Time for which a load peak is held in the demand estimate.
    pub keep_ms: u64,
    /// Shortest time between two scale-down changes of an order.
    pub shrink_ms: u64,
    /// Time after which an order is retried in a zone that had no reclaimable upstreams available.
    /// Until a retry succeeds, the plan counts only those present in that zone.
    pub refused_ms: u64,
}

impl Default for CapacityPlannerOptions {
    fn default() -> Self {
        Self {
            headroom: 1.0,
            scarcity_margin: 1.25,
            on_demand_part: 0.0,
            reclaimable_part: 3.0,
            initial_part: 0.6,
            keep_ms: 20_000,
            shrink_ms: 3_000,
            refused_ms: 3_000,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct AcceptedOrder {
    count: u32,
    at_ms: u64,
}

/// Delay beyond the expected start of an upstream after which it is considered missing: entries are
/// written about every second and read some time later.
const START_OVERDUE_MS: u64 = 3_000;

/// Desired counts per availability zone.
type Plan = BTreeMap<String, CapacityCounts>;

/// Plans the capacity of one service.
#[derive(Clone, Debug)]
pub struct CapacityPlanner {
    options: CapacityPlannerOptions,
    /// Last accepted order by availability zone and whether it is for reclaimable upstreams.
    accepted: BTreeMap<(String, bool), AcceptedOrder>,
    /// Time from which a refused order may be retried, by the same key.
    refused: BTreeMap<(String, bool), u64>,
    /// Demand peaks, each with the time until which it is held.
    peaks: Vec<(f64, u64)>,
    /// Highest number of upstreams present before any order can have been filled; these are the ones
    /// that the operators provisioned.
    initial_count: u32,
    /// Earliest time at which an order of the first plan can be filled; set by the first plan.
    first_filled_at_ms: Option<u64>,
    /// Time until which nothing is scaled down: a holder that takes over under load knows neither
    /// the earlier peaks nor which zones have no reclaimable capacity.
    no_shrink_until_ms: Option<u64>,
}

impl CapacityPlanner {
    /// Creates a planner without outstanding orders.
    pub fn new(options: CapacityPlannerOptions) -> Self {
        Self {
            options,
            accepted: BTreeMap::new(),
            refused: BTreeMap::new(),
            peaks: Vec::new(),
            initial_count: 0,
            first_filled_at_ms: None,
            no_shrink_until_ms: None,
        }
    }

    /// Returns the orders that are due: scale-ups, retries of refused orders, then scale-downs.
    pub fn plan(
        &mut self,
        limits: &CapacityLimits,
        zones: &BTreeMap<String, ZoneCapacity>,
        demand: CapacityDemand,
        now_ms: u64,
    ) -> Vec<CapacityOrder> {
        let present: u32 = zones.values().map(|zone| zone.ready.total()).sum();
        // The first plan may see only some of the upstreams, because each writes its own entry.
        if now_ms < *self.first_filled_at_ms.get_or_insert(now_ms + limits.start_ms) {
            self.initial_count = self.initial_count.max(present);
        }
        let keep_ms = if demand.busy_upstreams.is_some() { self.options.keep_ms } else { 0 };
        self.no_shrink_until_ms.get_or_insert(now_ms + keep_ms);
        // Until enough load has been measured, the number that the operators provisioned is the
        // best estimate.
        let initial_estimate = f64::from(self.initial_count) * self.options.initial_part;
        let needed = match demand.busy_upstreams {
            Some(busy) if self.peaks.is_empty() => {
                self.record_peak(busy.max(initial_estimate), now_ms)
            }
            Some(busy) => self.record_peak(busy, now_ms),
            None => self.peaks.iter().map(|(peak, _)| *peak).fold(initial_estimate, f64::max),
        };
        let desired = self.desired_counts(limits, zones, needed);
        let mut additions = Vec::new();
        let mut removals = Vec::new();
        let mut spare = f64::from(present) - needed * self.options.headroom;
        for (zone, counts) in &desired {
            let ready = zones.get(zone).copied().unwrap_or_default().ready;
            let purchase_options = [
                (false, counts.on_demand, ready.on_demand),
                (true, counts.reclaimable, ready.reclaimable),
            ];
            for (is_reclaimable, count, present) in purchase_options {
                let order =
                    CapacityOrder { availability_zone: zone.clone(), is_reclaimable, count };
                let outstanding = self.outstanding_count(&order, present, limits.start_ms, now_ms);
                match count.cmp(&outstanding) {
                    Ordering::Equal => {}
                    Ordering::Greater => additions.push(order),
                    // Capacity is removed only if the remaining ready upstreams cover the demand;
                    // those that are ordered but not ready don't count.
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
        additions.extend(self.retry_refused(limits, zones, needed, now_ms));
        additions.extend(removals);
        additions
    }

    /// Returns retries of orders for reclaimable upstreams that were refused.
    fn retry_refused(
        &self,
        limits: &CapacityLimits,
        zones: &BTreeMap<String, ZoneCapacity>,
        needed: f64,
        now_ms: u64,
    ) -> Vec<CapacityOrder> {
        let share = needed * self.options.reclaimable_part / zones.len().max(1) as f64;
        let mut retries = Vec::new();
        for ((zone, is_reclaimable), retry_at_ms) in &self.refused {
            let ready = zones.get(zone).copied().unwrap_or_default().ready;
            let count = (share.ceil() as u32).min(limits.max.saturating_sub(ready.on_demand));
            if *is_reclaimable && *retry_at_ms <= now_ms && count > ready.reclaimable {
                retries.push(CapacityOrder {
                    availability_zone: zone.clone(),
                    is_reclaimable: true,
                    count,
                });
            }
        }
        retries
    }

    /// Returns the count that the platform is expected to reach: the one last ordered, or the present
    /// count if there is no order. An order that was accepted but not filled in time, because the
    /// zone was full, counts only as far as it was filled, so that it is sent again.
    fn outstanding_count(
        &self,
        order: &CapacityOrder,
        present: u32,
        start_ms: u64,
        now_ms: u64,
    ) -> u32 {
        match self.accepted.get(&key(order)) {
            Some(accepted) if now_ms < accepted.at_ms + start_ms + START_OVERDUE_MS => {
                accepted.count
            }
            Some(accepted) => accepted.count.min(present),
            None => present,
        }
    }

    fn may_shrink(&self, order: &CapacityOrder, now_ms: u64) -> bool {
        if self.no_shrink_until_ms.is_some_and(|until_ms| now_ms < until_ms) {
            return false;
        }
        let accepted = self.accepted.get(&key(order));
        accepted.is_none_or(|accepted| now_ms >= accepted.at_ms + self.options.shrink_ms)
    }

    /// Records that an order was accepted.
    pub fn record_accepted(&mut self, order: &CapacityOrder, now_ms: u64) {
        self.accepted.insert(key(order), AcceptedOrder { count: order.count, at_ms: now_ms });
        self.refused.remove(&key(order));
    }

    /// Records that an order was refused because no capacity was available.
    pub fn record_refused(&mut self, order: &CapacityOrder, now_ms: u64) {
        self.accepted.remove(&key(order));
        self.refused.insert(key(order), now_ms + self.options.refused_ms);
    }

    /// Records that reclaimable upstreams of `zone` were reclaimed, which voids its order for them.
    pub fn record_reclaimed(&mut self, zone: &str) {
        self.accepted.remove(&(zone.to_owned(), true));
    }

    /// Records the demand, in upstreams, and returns the highest peak that is still held.
    fn record_peak(&mut self, busy: f64, now_ms: u64) -> f64 {
        self.peaks.retain(|(peak, until_ms)| *until_ms > now_ms && *peak > busy);
        self.peaks.push((busy, now_ms + self.options.keep_ms));
        self.peaks.iter().map(|(peak, _)| *peak).fold(0.0, f64::max)
    }

    /// Returns whether reclaimable upstreams can be ordered in a zone: the service has a price for them
    /// and the zone's last order was not refused.
    fn can_order_reclaimable(&self, limits: &CapacityLimits, zone: &str) -> bool {
        limits.reclaimable_price.is_some() && !self.refused.contains_key(&(zone.to_owned(), true))
    }

    /// Returns the desired counts: reclaimable upstreams in every zone that has them, and enough
    /// on-demand ones to carry the load after any one zone has lost its reclaimable ones.
    fn desired_counts(
        &self,
        limits: &CapacityLimits,
        zones: &BTreeMap<String, ZoneCapacity>,
        needed: f64,
    ) -> Plan {
        let price = |zone: &str| limits.zone_prices.get(zone).copied().unwrap_or(1.0);
        let mut names: Vec<&String> = zones.keys().collect();
        names.sort_by(|one, other| price(one).total_cmp(&price(other)).then(one.cmp(other)));
        let (available, unavailable): (Vec<&String>, Vec<&String>) =
            names.iter().partition(|zone| self.can_order_reclaimable(limits, zone));
        let mut plan = Plan::new();
        for name in &names {
            plan.insert((*name).clone(), CapacityCounts::default());
        }
        let unavailable_count = unavailable.len();
        for zone in unavailable {
            let present = zones.get(zone).copied().unwrap_or_default().ready.reclaimable;
            plan.entry(zone.clone()).or_default().reclaimable = present;
        }
        let on_demand = (needed * self.options.on_demand_part).ceil() as u32;
        let reclaimable = (needed * self.options.reclaimable_part).ceil() as u32;
        // Where no more is to be had, the next zone that is lost can't be replaced before on-demand
        // upstreams have started.
        let margin = if unavailable_count > 0 { self.options.scarcity_margin } else { 1.0 };
        let survivors = (needed * self.options.headroom * margin).ceil() as u32;
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
            &available,
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
            |plan| count_after_reclaim(plan) < survivors,
            |counts| {
                counts.on_demand += 1;
            },
        );
        for (zone, counts) in &mut plan {
            let missing = limits.min.saturating_sub(counts.total());
            match available.contains(&zone) {
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

/// Returns the upstreams that remain after the zone with most reclaimable ones has lost them.
fn count_after_reclaim(plan: &Plan) -> u32 {
    let lost = plan.values().map(|counts| counts.reclaimable).max().unwrap_or(0);
    sum(plan).total() - lost
}

/// Adds one upstream at a time to the zone with the fewest while `is_short` holds and a zone is
/// below `limit`. Ties go to the first zone in `zones`, which lists the cheapest first.
fn fill(
    plan: &mut Plan,
    zones: &[&String],
    limit: u32,
    is_short: impl Fn(&Plan) -> bool,
    add: impl Fn(&mut CapacityCounts),
) {
    while is_short(plan) {
        let count = |zone: &&&String| plan.get(**zone).copied().unwrap_or_default().total();
        let below_limit = zones.iter().filter(|zone| count(zone) < limit);
        let Some(zone) = below_limit.min_by_key(count) else { return };
        add(plan.entry((*zone).clone()).or_default());
    }
}
