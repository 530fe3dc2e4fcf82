//! The decision on one request.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::fleet::FleetDemand;
use crate::meter::{ArrivalMeter, ResponseTimes};
use crate::shares::{AdmittedShares, Capacity};
use crate::work::{Demand, WorkClass, WorkCounts, WorkRequest};

/// Time for which computed shares are used.
const REFRESH_MS: u64 = 50;
/// Part of the slots in use up to which no request is refused: few arrivals say little about the load.
const MAX_IDLE_FILL: f64 = 0.5;
/// Separates the draw of a request from other uses of its hash.
const DRAW_SEED: u64 = 0x6f76_6572_6c6f_6164;

/// Decision on a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OverloadDecision {
    /// The fleet has capacity for all requests of its class.
    Unlimited,
    /// It is among the share of its class that is admitted.
    Admitted,
    /// It is not among that share.
    BeyondShare,
    /// It is among that share, but can't be served in time any more.
    Late,
}

impl OverloadDecision {
    /// Returns whether the request is refused.
    pub fn is_refusal(self) -> bool {
        matches!(self, Self::BeyondShare | Self::Late)
    }

    /// Returns its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Unlimited => "unlimited",
            Self::Admitted => "admitted",
            Self::BeyondShare => "beyond_share",
            Self::Late => "late",
        }
    }
}

/// What the latest shares were computed from, for logs and metrics.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OverloadState {
    /// Capacity of the upstreams and its use.
    pub capacity: Capacity,
    /// Slots that the requests of all ranks ask for.
    pub demand_slots: f64,
    /// Upstreams that would do nothing but prefill their prompts.
    pub demand_prefill_upstreams: f64,
    /// Age of the oldest report of a peer that counted.
    pub oldest_report_ms: u64,
    /// Mean admitted share of each rank.
    pub shares: BTreeMap<u8, f64>,
    /// Whether enough instances state their demand; else all requests are admitted.
    pub is_covered: bool,
}

/// Overload control of one service at one instance.
#[derive(Clone, Debug, Default)]
pub struct OverloadControl {
    arrivals: ArrivalMeter,
    response_times: ResponseTimes,
    fleet: FleetDemand,
    shares: AdmittedShares,
    state: OverloadState,
    computed_at_ms: Option<u64>,
}

impl OverloadControl {
    /// Records a request that has arrived.
    pub fn record_arrival(&mut self, request: &WorkRequest, now_ms: u64) {
        self.arrivals.add(request, now_ms);
    }

    /// Records how long a complete response took from its first byte on.
    pub fn record_response(&mut self, class: WorkClass, response_ms: u64) {
        self.response_times.record(class, response_ms);
    }

    /// Reports that peers have sent.
    pub fn fleet_mut(&mut self) -> &mut FleetDemand {
        &mut self.fleet
    }

    /// Returns the demand of this instance for its digest.
    pub fn own_counts(&self, now_ms: u64) -> WorkCounts {
        WorkCounts::of_instance(&self.own_demand(now_ms))
    }

    fn own_demand(&self, now_ms: u64) -> Demand {
        self.arrivals.demand(|class| self.response_ms(class, now_ms), now_ms)
    }

    /// Expected time from the first byte of a response to its end; 0 if nobody has measured it.
    pub fn response_ms(&self, class: WorkClass, now_ms: u64) -> f64 {
        let own = self.response_times.mean_ms(class);
        own.or_else(|| self.fleet.mean_response_ms(class, now_ms)).unwrap_or(0.0)
    }

    /// Returns whether the shares are due to be computed again.
    pub fn is_due(&self, now_ms: u64) -> bool {
        self.computed_at_ms.is_none_or(|at_ms| now_ms.saturating_sub(at_ms) >= REFRESH_MS)
    }

    /// Computes the shares again.
    pub fn update(&mut self, capacity: &Capacity, now_ms: u64) {
        let demand = self.fleet.total(&self.own_demand(now_ms), now_ms);
        self.shares = AdmittedShares::compute(&demand, capacity);
        self.computed_at_ms = Some(now_ms);
        self.state = OverloadState {
            capacity: *capacity,
            demand_slots: demand.values().map(|class| class.slots).sum(),
            demand_prefill_upstreams: demand.values().map(|class| class.prefill_upstreams).sum(),
            oldest_report_ms: self.fleet.oldest_report_ms(now_ms),
            shares: self.shares.by_rank().clone(),
            is_covered: self.fleet.is_covered(now_ms),
        };
    }

    /// Decides on a request by the latest shares. `is_on_time` is whether its forecast meets its target.
    pub fn decide(&self, request: &WorkRequest, is_on_time: bool) -> OverloadDecision {
        let share = self.shares.share(request.class);
        let is_idle =
            self.state.capacity.occupied_slots < self.state.capacity.slots * MAX_IDLE_FILL;
        if share >= 1.0 || is_idle || !self.state.is_covered {
            return OverloadDecision::Unlimited;
        }
        match (draw(request.hash) < share, is_on_time) {
            (false, _) => OverloadDecision::BeyondShare,
            (true, false) => OverloadDecision::Late,
            (true, true) => OverloadDecision::Admitted,
        }
    }

    /// Returns what the latest shares were computed from.
    pub fn state(&self) -> &OverloadState {
        &self.state
    }
}

/// Maps a hash to a number from 0 to below 1, the same at all instances.
fn draw(hash: u64) -> f64 {
    let mixed = xxh3_64_with_seed(&hash.to_le_bytes(), DRAW_SEED);
    (mixed >> 11) as f64 / (1_u64 << 53) as f64
}
