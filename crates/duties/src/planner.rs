//! Border between the duties and the planners of capacity.

use std::collections::BTreeMap;

use hickorycourse_routes::CapacityLimits;
use serde::Serialize;

use crate::{
    ArrivalSample, CapacityDemand, CapacityOrder, CapacityPlanner, DemandEstimate, ReclaimModel,
    ZoneCapacity,
};

/// What a plan is made from.
#[derive(Clone, Copy, Debug)]
pub struct PlanInputs<'a> {
    /// Limits that the operators set.
    pub limits: &'a CapacityLimits,
    /// Capacity present by availability zone.
    pub zones: &'a BTreeMap<String, ZoneCapacity>,
    /// Load by the responses in progress.
    pub demand: CapacityDemand,
    /// Arriving work; `None` while no request has arrived.
    pub arrivals: Option<ArrivalSample>,
    /// Reclaims that this instance has seen.
    pub reclaims: &'a ReclaimModel,
    /// Monotonic time in milliseconds.
    pub now_ms: u64,
}

/// Why a plan has its size, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct PlanReason {
    /// Demand of the last plan; `None` while no request has arrived.
    pub demand: Option<DemandEstimate>,
    /// Upstreams that the plan covers.
    pub needed: f64,
    /// Zones whose loss it covers.
    pub covered_zones: u32,
    /// Upstreams that accepted requests.
    pub present: u32,
    /// Whether the load has been seen for long enough to remove upstreams.
    pub is_load_known: bool,
}

/// Plans the capacity of one service.
pub trait PlanCapacity {
    /// Returns the orders that are due.
    fn plan(&mut self, inputs: &PlanInputs<'_>) -> Vec<CapacityOrder>;

    /// Records that an order was accepted.
    fn record_accepted(&mut self, order: &CapacityOrder, now_ms: u64);

    /// Records that an order was refused because no capacity was available.
    fn record_refused(&mut self, order: &CapacityOrder, now_ms: u64);

    /// Records that reclaimable upstreams of `zone` are leaving, which voids its order for them.
    fn record_reclaimed(&mut self, zone: &str);

    /// Returns the reason of the last plan; `None` if the planner states none.
    fn reason(&self) -> Option<PlanReason> {
        None
    }

    /// Whether a refusal is followed by another plan at once.
    fn replans_after_refusal(&self) -> bool {
        false
    }
}

impl PlanCapacity for CapacityPlanner {
    fn plan(&mut self, inputs: &PlanInputs<'_>) -> Vec<CapacityOrder> {
        Self::plan(self, inputs.limits, inputs.zones, inputs.demand, inputs.now_ms)
    }

    fn record_accepted(&mut self, order: &CapacityOrder, now_ms: u64) {
        Self::record_accepted(self, order, now_ms);
    }

    fn record_refused(&mut self, order: &CapacityOrder, now_ms: u64) {
        Self::record_refused(self, order, now_ms);
    }

    fn record_reclaimed(&mut self, zone: &str) {
        Self::record_reclaimed(self, zone);
    }
}
