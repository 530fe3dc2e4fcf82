//! A simulated relay: the placement, admission and cap code of the relay process with its state.

use std::collections::HashMap;

use hickorycourse_caps::{CapLimits, SharedCap};
use hickorycourse_placement::{
    AdmissionRule, AdmitAll, CostRule, ExpectedWait, LeastRequests, PlacementOptions,
    PlacementTable, TargetAdmission,
};
use hickorycourse_relay::digest_period_ms;
use hickorycourse_routes::UpstreamEntry;

use crate::engine::{BATCH_SLOTS, IDLE_FIRST_BYTE_MS, PREFILL_TOKENS_PER_MS};
use crate::pattern::LoadPattern;

/// Which placement, admission and retry policies the relays use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// The policies that the relay process uses without overload control.
    Chosen,
    /// Those policies with overload control over all instances.
    FleetAdmission,
    /// Least-requests placement without admission control, and a fixed retry delay.
    Baseline,
}

/// Parameters of the caps: window in milliseconds, allowed overshoot as a fraction, slack in tokens.
const CAP_WINDOW_OVERSHOOT_SLACK: (u64, f64, f64) = (8_000, 0.1, 0.0);

/// A simulated relay.
pub struct Relay {
    /// Index of the relay's zone.
    pub zone: usize,
    /// The relay's view of the engines and their load.
    pub placement_table: PlacementTable,
    /// The relay's replicas of the caps, by organisation.
    pub caps: HashMap<&'static str, SharedCap>,
}

impl Relay {
    /// Creates a relay without upstreams. [`Self::set_engines`] adds the engines as its upstreams.
    pub fn new(pattern: &LoadPattern, zone: usize, policy: Policy) -> Self {
        let cost_rule: Box<dyn CostRule> = match policy {
            Policy::Chosen | Policy::FleetAdmission => Box::new(ExpectedWait),
            Policy::Baseline => Box::new(LeastRequests),
        };
        let admission_rule: Box<dyn AdmissionRule> = match policy {
            Policy::Chosen | Policy::FleetAdmission => Box::new(TargetAdmission::default()),
            Policy::Baseline => Box::new(AdmitAll),
        };
        let options = PlacementOptions {
            prefill_tokens_per_ms: PREFILL_TOKENS_PER_MS,
            idle_first_byte_ms: IDLE_FIRST_BYTE_MS,
            ..PlacementOptions::default()
        };
        let caps = pattern.caps.iter().map(|cap| {
            let report_interval_ms = digest_period_ms(pattern.relays);
            let limits = CapLimits::new(
                cap.tokens_per_second,
                cap.tokens_per_second,
                CAP_WINDOW_OVERSHOOT_SLACK,
                report_interval_ms,
            );
            (cap.organisation, SharedCap::new(limits, pattern.relays, 0))
        });
        let mut placement_table =
            PlacementTable::new(&zone_name(zone), options, cost_rule, admission_rule);
        placement_table.set_fleet_admission(policy == Policy::FleetAdmission);
        Self { zone, placement_table, caps: caps.collect() }
    }

    /// Replaces the list of upstreams by the given engines, as pairs of index and zone.
    pub fn set_engines(&mut self, engines: impl Iterator<Item = (usize, usize)>) {
        let entries: Vec<UpstreamEntry> =
            engines.map(|(number, zone)| upstream_entry(number, zone)).collect();
        self.placement_table.set_upstreams(entries.iter());
    }
}

/// Returns the name of a zone.
pub fn zone_name(zone: usize) -> String {
    format!("zone-{zone}")
}

/// The upstream id of an engine.
pub fn engine_id(number: usize) -> String {
    format!("engine-{number:03}")
}

fn upstream_entry(number: usize, zone: usize) -> UpstreamEntry {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 9_000 + number as u16));
    UpstreamEntry::ready(&engine_id(number), "desk", address, &zone_name(zone), BATCH_SLOTS)
}
