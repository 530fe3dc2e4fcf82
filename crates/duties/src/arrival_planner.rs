//! Capacity planning from arriving work and from the reclaims that were seen.
//!
//! Load patterns: bursts during which reclaimable upstreams of several zones leave and none can be
//! had; calm, in which each upstream that stands idle costs money and each change costs caches and
//! connections.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{CapacityCounts, CapacityOrder, DemandEstimator, PlanCapacity, PlanInputs, PlanReason};

/// Parameters of the planner by arrivals.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ArrivalPlannerOptions {
    /// Fraction of the upstreams present at the start that the load is assumed to need until it is known.
    pub initial_part: f64,
    /// Whether the upstreams that operators provisioned stay until the load is known. If not, reclaimable ones for
    /// `initial_part` of them take their place, with the loss of two zones covered.
    pub keeps_provisioned: bool,
    /// Start times for which load must have been seen before upstreams are removed.
    pub observed_starts: u64,
    /// Start times for which nothing is removed after upstreams were ordered.
    pub reversal_starts: u64,
    /// Time for which a demand peak is held for reclaimable upstreams.
    pub reclaimable_keep_ms: u64,
    /// Time for which a demand peak is held for on-demand upstreams, which cost more.
    pub on_demand_keep_ms: u64,
    /// Zones whose reclaim at the same time is covered before any reclaim was seen.
    pub initial_zones_lost: u32,
    /// Shortest time between two removals.
    pub shrink_ms: u64,
    /// Fraction of the excess that one removal takes.
    pub shrink_part: f64,
    /// Excess of reclaimable upstreams, as a fraction of the plan, up to which none is removed.
    pub shrink_threshold: f64,
    /// Time after which a refused order is retried; doubled by each further refusal.
    pub refused_ms: u64,
    /// Upper bound of that time.
    pub refused_max_ms: u64,
}

impl Default for ArrivalPlannerOptions {
    fn default() -> Self {
        Self {
            initial_part: 0.6,
            keeps_provisioned: true,
            observed_starts: 2,
            reversal_starts: 3,
            reclaimable_keep_ms: 60_000,
            on_demand_keep_ms: 20_000,
            initial_zones_lost: 1,
            shrink_ms: 3_000,
            shrink_part: 0.5,
            shrink_threshold: 0.1,
            refused_ms: 3_000,
            refused_max_ms: 6_000,
        }
    }
}

/// Time after its first plan for which a holder orders nothing without a reclaim: its list of
/// upstreams may be incomplete.
const SETTLE_MS: u64 = 2_000;
/// Zones whose loss is covered at least where reclaimable upstreams are ordered before the load is known.
const UNKNOWN_LOAD_ZONES_LOST: u32 = 2;
/// Delay beyond the expected start of an upstream after which it is considered missing.
const START_OVERDUE_MS: u64 = 3_000;
/// Upper bound on demand, far above any fleet, so that counts stay in range.
const MAX_DEMAND: f64 = 100_000.0;

/// Zone, and whether the order is for reclaimable upstreams.
type OrderKey = (String, bool);
/// Desired counts by availability zone.
type Plan = BTreeMap<String, CapacityCounts>;

#[derive(Clone, Copy, Debug)]
struct AcceptedOrder {
    count: u32,
    at_ms: u64,
    /// Whether the count was reached; one that then fell short is sent again.
    is_filled: bool,
}

#[derive(Clone, Copy, Debug)]
struct RefusedOrder {
    retry_at_ms: u64,
    delay_ms: u64,
}

/// Plans the capacity of one service from arriving work.
#[derive(Clone, Debug)]
pub struct ArrivalPlanner {
    options: ArrivalPlannerOptions,
    estimator: DemandEstimator,
    accepted: BTreeMap<OrderKey, AcceptedOrder>,
    refused: BTreeMap<OrderKey, RefusedOrder>,
    /// Demand with its time; none is followed by a higher one.
    peaks: Vec<(f64, u64)>,
    first_plan_ms: Option<u64>,
    /// Time before which nothing is ordered without a reclaim.
    settled_ms: u64,
    first_load_ms: Option<u64>,
    /// Earliest time at which an order of this holder can be filled.
    first_filled_ms: Option<u64>,
    /// Time before which no on-demand upstream is removed.
    keep_on_demand_until_ms: u64,
    /// Time before which no reclaimable upstream is removed.
    keep_reclaimable_until_ms: u64,
    /// Time of the last removal.
    removed_ms: Option<u64>,
    /// Time of the last estimate.
    estimated_ms: Option<u64>,
    /// Most upstreams present before any order of this holder can have been filled.
    initial_count: u32,
    reason: PlanReason,
}

impl ArrivalPlanner {
    /// Creates a planner without outstanding orders.
    pub fn new(options: ArrivalPlannerOptions) -> Self {
        Self {
            options,
            estimator: DemandEstimator::default(),
            accepted: BTreeMap::new(),
            refused: BTreeMap::new(),
            peaks: Vec::new(),
            first_plan_ms: None,
            settled_ms: 0,
            first_load_ms: None,
            first_filled_ms: None,
            keep_on_demand_until_ms: 0,
            keep_reclaimable_until_ms: 0,
            removed_ms: None,
            estimated_ms: None,
            initial_count: 0,
            reason: PlanReason::default(),
        }
    }

    /// Updates the demand and returns what reclaimable and on-demand upstreams must cover.
    fn update_needed(&mut self, inputs: &PlanInputs<'_>, present: u32) -> (f64, f64) {
        let now_ms = inputs.now_ms;
        let is_takeover = self.first_plan_ms.is_none() && inputs.arrivals.is_some();
        if self.first_plan_ms.is_none() {
            self.first_plan_ms = Some(now_ms);
            self.settled_ms = now_ms + SETTLE_MS;
        }
        if is_takeover {
            // A holder that takes over under load knows no earlier peak, and sees what the one before
            // has ordered within a start time.
            self.settled_ms = now_ms + inputs.limits.start_ms;
            self.keep_on_demand_until_ms = now_ms + self.options.on_demand_keep_ms;
            self.keep_reclaimable_until_ms = now_ms + self.options.on_demand_keep_ms;
        }
        if self.first_filled_ms.is_none_or(|filled_ms| now_ms < filled_ms) {
            self.initial_count = self.initial_count.max(present);
        }
        // A second plan at the same time, after a refusal, is no further measurement.
        if let Some(sample) = inputs.arrivals
            && self.estimated_ms != Some(now_ms)
        {
            self.estimated_ms = Some(now_ms);
            self.first_load_ms.get_or_insert(now_ms);
            let estimate = self.estimator.estimate(&sample);
            let upstreams = estimate.upstreams.clamp(0.0, MAX_DEMAND);
            self.peaks.retain(|(peak, at_ms)| {
                *peak > upstreams
                    && now_ms.saturating_sub(*at_ms) < self.options.reclaimable_keep_ms
            });
            self.peaks.push((upstreams, now_ms));
            self.reason.demand = Some(estimate);
        }
        let observed_ms = self.options.observed_starts * inputs.limits.start_ms;
        let is_load_known = self.first_load_ms.is_some_and(|first| now_ms >= first + observed_ms);
        self.reason.is_load_known = is_load_known;
        let held = |keep_ms: u64| {
            let recent =
                self.peaks.iter().filter(|(_, at_ms)| now_ms.saturating_sub(*at_ms) < keep_ms);
            // Without arrivals the last demand stays.
            let last = self.peaks.last().map_or(0.0, |(demand, _)| *demand);
            recent.map(|(peak, _)| *peak).fold(last, f64::max)
        };
        (held(self.options.reclaimable_keep_ms), held(self.options.on_demand_keep_ms))
    }

    /// Returns how many zones may still be lost before a replacement has started: those that are gone
    /// and not back are part of what goes together.
    fn zones_to_cover(&self, inputs: &PlanInputs<'_>) -> u32 {
        let (reclaims, now_ms) = (inputs.reclaims, inputs.now_ms);
        let together = reclaims.zones_together(now_ms).max(self.options.initial_zones_lost);
        let dry = inputs.zones.keys().filter(|zone| self.is_refused(zone, true, now_ms)).count();
        let lost = reclaims.count_lost_within(inputs.limits.start_ms, now_ms).max(dry as u32);
        let least = match self.reason.is_load_known || self.options.keeps_provisioned {
            true => 1,
            false => UNKNOWN_LOAD_ZONES_LOST,
        };
        together.saturating_sub(lost).max(least)
    }

    fn is_refused(&self, zone: &str, is_reclaimable: bool, now_ms: u64) -> bool {
        let refused = self.refused.get(&(zone.to_owned(), is_reclaimable));
        refused.is_some_and(|refused| now_ms < refused.retry_at_ms)
    }

    /// Returns the counts that cover the demand after the loss of `cover` zones at the lowest price.
    fn desired_counts(&self, inputs: &PlanInputs<'_>, needed: (f64, f64), cover: u32) -> Plan {
        let (limits, now_ms) = (inputs.limits, inputs.now_ms);
        let price = |zone: &str| limits.zone_prices.get(zone).copied().unwrap_or(1.0);
        let mut names: Vec<&String> = inputs.zones.keys().collect();
        names.sort_by(|one, other| price(one).total_cmp(&price(other)).then(one.cmp(other)));
        let can_reclaim = limits.reclaimable_price.is_some();
        let (dry, open): (Vec<&String>, Vec<&String>) =
            names.iter().partition(|zone| !can_reclaim || self.is_refused(zone, true, now_ms));
        let mut plan: Plan =
            names.iter().map(|name| ((*name).clone(), CapacityCounts::default())).collect();
        for zone in dry {
            let present = inputs.zones.get(zone).copied().unwrap_or_default().ready.reclaimable;
            plan.entry(zone.clone()).or_default().reclaimable = present.min(limits.max);
        }
        // Reclaimable upstreams in `open` zones of which `cover` may go cost more by that ratio.
        let lasting = (open.len() as u32).saturating_sub(cover);
        let cost = limits.reclaimable_price.unwrap_or(1.0) * open.len() as f64;
        if lasting > 0 && cost < f64::from(lasting) {
            add_while_short(&mut plan, &open, limits.max, needed.0, cover, |counts| {
                counts.reclaimable += 1;
            });
        }
        let startable: Vec<&String> =
            names.iter().copied().filter(|zone| !self.is_refused(zone, false, now_ms)).collect();
        add_while_short(&mut plan, &startable, limits.max, needed.1, cover, |counts| {
            counts.on_demand += 1;
        });
        for (zone, counts) in &mut plan {
            let missing = limits.min.min(limits.max).saturating_sub(counts.total());
            match open.contains(&zone) {
                true => counts.reclaimable += missing,
                false => counts.on_demand += missing,
            }
        }
        plan
    }

    /// Returns the count that the platform is expected to reach. An order that was accepted and not
    /// filled in time counts as refused, so that others take its place.
    fn outstanding_count(
        &mut self,
        key: &OrderKey,
        present: u32,
        start_ms: u64,
        now_ms: u64,
    ) -> u32 {
        let Some(accepted) = self.accepted.get_mut(key) else { return present };
        accepted.is_filled |= present >= accepted.count;
        let accepted = *accepted;
        if accepted.is_filled {
            self.refused.remove(key);
        }
        if now_ms < accepted.at_ms + start_ms + START_OVERDUE_MS {
            return accepted.count.max(present);
        }
        if accepted.is_filled {
            return accepted.count.min(present);
        }
        self.refuse(key, now_ms);
        present
    }

    fn refuse(&mut self, key: &OrderKey, now_ms: u64) {
        self.accepted.remove(key);
        let delay_ms = self.refused.get(key).map_or(self.options.refused_ms, |refused| {
            refused.delay_ms.saturating_mul(2).min(self.options.refused_max_ms)
        });
        self.refused.insert(key.clone(), RefusedOrder { retry_at_ms: now_ms + delay_ms, delay_ms });
    }

    /// Counts expected by zone, with what is ordered.
    fn outstanding_counts(&mut self, inputs: &PlanInputs<'_>) -> Plan {
        let (start_ms, now_ms) = (inputs.limits.start_ms, inputs.now_ms);
        let mut counts = Plan::new();
        for (zone, capacity) in inputs.zones {
            let ready = capacity.ready;
            let on_demand =
                self.outstanding_count(&(zone.clone(), false), ready.on_demand, start_ms, now_ms);
            let reclaimable =
                self.outstanding_count(&(zone.clone(), true), ready.reclaimable, start_ms, now_ms);
            counts.insert(zone.clone(), CapacityCounts { on_demand, reclaimable });
        }
        counts
    }

    /// Returns one order for each kind that is short, up to the whole of what is missing.
    fn additions(
        &self,
        inputs: &PlanInputs<'_>,
        desired: &Plan,
        expected: &Plan,
    ) -> Vec<CapacityOrder> {
        let mut orders = Vec::new();
        for (zone, counts) in desired {
            let ready = inputs.zones.get(zone).copied().unwrap_or_default().ready;
            let expected = expected.get(zone).copied().unwrap_or_default();
            // What still runs of the other kind takes up room in the zone.
            let room = |other: u32| inputs.limits.max.saturating_sub(other);
            let on_demand = counts.on_demand.min(room(expected.reclaimable.max(ready.reclaimable)));
            let on_demand_after = on_demand.max(expected.on_demand).max(ready.on_demand);
            let reclaimable = counts.reclaimable.min(room(on_demand_after));
            for (is_reclaimable, count, expected) in
                [(false, on_demand, expected.on_demand), (true, reclaimable, expected.reclaimable)]
            {
                if count > expected {
                    let availability_zone = zone.clone();
                    orders.push(CapacityOrder { availability_zone, is_reclaimable, count });
                }
            }
        }
        orders
    }

    /// Returns orders that remove a part of the excess, on-demand upstreams first, dearest zone first, as
    /// far as the ready ones that remain cover `needed`.
    fn removals(
        &self,
        inputs: &PlanInputs<'_>,
        desired: &Plan,
        needed: f64,
        cover: u32,
    ) -> Vec<CapacityOrder> {
        let now_ms = inputs.now_ms;
        let is_paced =
            self.removed_ms.is_some_and(|removed_ms| now_ms < removed_ms + self.options.shrink_ms);
        let is_kept = !self.reason.is_load_known && self.options.keeps_provisioned;
        if is_kept || is_paced {
            return Vec::new();
        }
        let mut ready: Plan =
            inputs.zones.iter().map(|(zone, capacity)| (zone.clone(), capacity.ready)).collect();
        let mut excesses: Vec<(bool, f64, &String, u32)> = Vec::new();
        for (zone, counts) in desired {
            let present = ready.get(zone).copied().unwrap_or_default();
            let price = inputs.limits.zone_prices.get(zone).copied().unwrap_or(1.0);
            let on_demand = present.on_demand.saturating_sub(counts.on_demand);
            let reclaimable = present.reclaimable.saturating_sub(counts.reclaimable);
            if now_ms >= self.keep_on_demand_until_ms {
                excesses.push((false, -price, zone, on_demand));
            }
            if now_ms >= self.keep_reclaimable_until_ms {
                excesses.push((true, -price, zone, reclaimable));
            }
        }
        let planned = total(desired);
        let reclaimable: u32 =
            excesses.iter().filter(|excess| excess.0).map(|excess| excess.3).sum();
        // A small excess is cheaper than a change, unless it is of the dearer kind.
        let threshold = (f64::from(planned) * self.options.shrink_threshold).max(1.0);
        if f64::from(reclaimable) <= threshold {
            excesses.retain(|excess| !excess.0);
        }
        let excess: u32 = excesses.iter().map(|excess| excess.3).sum();
        if excess == 0 {
            return Vec::new();
        }
        let part = (f64::from(excess) * self.options.shrink_part).ceil() as u32;
        let mut budget = part.max(planned / 5).min(excess);
        excesses.sort_by(|one, other| {
            one.0.cmp(&other.0).then(one.1.total_cmp(&other.1)).then(one.2.cmp(other.2))
        });
        let mut orders = Vec::new();
        for (is_reclaimable, _, zone, excess) in excesses {
            let Some(counts) = ready.get(zone).copied() else { continue };
            let mut left = counts;
            for _ in 0..excess.min(budget) {
                let mut next = left;
                match is_reclaimable {
                    true => next.reclaimable -= 1,
                    false => next.on_demand -= 1,
                }
                ready.insert(zone.clone(), next);
                let is_covered = f64::from(count_after_loss(&ready, cover)) >= needed
                    && next.total() >= inputs.limits.min;
                if !is_covered {
                    ready.insert(zone.clone(), left);
                    break;
                }
                left = next;
            }
            budget -= counts.total() - left.total();
            if left != counts {
                let count = if is_reclaimable { left.reclaimable } else { left.on_demand };
                let availability_zone = zone.clone();
                orders.push(CapacityOrder { availability_zone, is_reclaimable, count });
            }
        }
        orders
    }
}

impl PlanCapacity for ArrivalPlanner {
    fn plan(&mut self, inputs: &PlanInputs<'_>) -> Vec<CapacityOrder> {
        let now_ms = inputs.now_ms;
        let start_ms = inputs.limits.start_ms;
        let present = inputs.zones.values().map(|zone| zone.ready.total()).sum();
        let mut needed = self.update_needed(inputs, present);
        let cover = self.zones_to_cover(inputs);
        self.reason.covered_zones = cover;
        self.reason.present = present;
        let held_ms = now_ms.saturating_sub(self.first_plan_ms.unwrap_or(now_ms));
        if now_ms < self.settled_ms && inputs.reclaims.count_lost_within(held_ms, now_ms) == 0 {
            return Vec::new();
        }
        let expected = self.outstanding_counts(inputs);
        let observed_ms = self.options.observed_starts.saturating_sub(1) * start_ms;
        let is_load_seen = self.first_load_ms.is_some_and(|first| now_ms >= first + observed_ms);
        if !self.reason.is_load_known {
            // What is there stays until the load is known. Its replacement is ordered a start time
            // earlier, and before that only what is missing.
            let floor = f64::from(self.initial_count) * self.options.initial_part;
            let remaining = f64::from(count_after_loss(&expected, cover));
            let is_enough = remaining >= needed.0.max(floor);
            let keeps = self.options.keeps_provisioned;
            if keeps && !is_load_seen && is_enough {
                return Vec::new();
            }
            if !(keeps && is_enough) {
                needed = (needed.0.max(floor), needed.1.max(floor));
            }
        }
        self.reason.needed = needed.0;
        let desired = self.desired_counts(inputs, needed, cover);
        let additions = self.additions(inputs, &desired, &expected);
        if !additions.is_empty() {
            // An order isn't reversed within the time that its change costs.
            let until_ms = now_ms + self.options.reversal_starts * start_ms;
            for order in &additions {
                let kept_until_ms = match order.is_reclaimable {
                    true => &mut self.keep_reclaimable_until_ms,
                    false => &mut self.keep_on_demand_until_ms,
                };
                *kept_until_ms = until_ms.max(*kept_until_ms);
            }
            self.first_filled_ms.get_or_insert(now_ms + start_ms);
            return additions;
        }
        let removals = self.removals(inputs, &desired, needed.0, cover);
        if !removals.is_empty() {
            self.removed_ms = Some(now_ms);
        }
        removals
    }

    fn record_accepted(&mut self, order: &CapacityOrder, now_ms: u64) {
        let accepted = AcceptedOrder { count: order.count, at_ms: now_ms, is_filled: false };
        let key = (order.availability_zone.clone(), order.is_reclaimable);
        // The delay is kept until the order has been filled.
        if let Some(refused) = self.refused.get_mut(&key) {
            refused.retry_at_ms = 0;
        }
        self.accepted.insert(key, accepted);
    }

    fn record_refused(&mut self, order: &CapacityOrder, now_ms: u64) {
        self.refuse(&(order.availability_zone.clone(), order.is_reclaimable), now_ms);
    }

    fn record_reclaimed(&mut self, zone: &str) {
        self.accepted.remove(&(zone.to_owned(), true));
    }

    fn reason(&self) -> Option<PlanReason> {
        Some(self.reason)
    }

    fn replans_after_refusal(&self) -> bool {
        true
    }
}

fn total(plan: &Plan) -> u32 {
    plan.values().map(|counts| counts.total()).sum()
}

/// Returns the upstreams that remain after the `cover` zones with most reclaimable ones have lost
/// them.
fn count_after_loss(plan: &Plan, cover: u32) -> u32 {
    let mut reclaimable: Vec<u32> = plan.values().map(|counts| counts.reclaimable).collect();
    reclaimable.sort_unstable_by(|one, other| other.cmp(one));
    let lost: u32 = reclaimable.iter().take(cover as usize).sum();
    total(plan) - lost
}

/// Adds one upstream at a time to the zone with the fewest, the first of equal ones, while fewer than `needed`
/// remain after a loss and a zone is below `limit`.
fn add_while_short(
    plan: &mut Plan,
    zones: &[&String],
    limit: u32,
    needed: f64,
    cover: u32,
    add: impl Fn(&mut CapacityCounts),
) {
    while f64::from(count_after_loss(plan, cover)) < needed {
        let count = |zone: &&&String| plan.get(**zone).copied().unwrap_or_default().total();
        let below_limit = zones.iter().filter(|zone| count(zone) < limit);
        let Some(zone) = below_limit.min_by_key(count) else { return };
        add(plan.entry((*zone).clone()).or_default());
    }
}
