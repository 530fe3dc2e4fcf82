//! The decisions of one relay.

use std::collections::HashMap;

use hickorycourse_caps::{CapLimits, SharedCap};
use hickorycourse_placement::{
    AdmissionRule, AdmitAll, CostRule, ExpectedWait, LeastRequests, PlacementOptions,
    PlacementTable, TargetAdmission,
};
use hickorycourse_relay::digest_period_ms;
use hickorycourse_routes::UpstreamEntry;

use crate::engine::{IDLE_FIRST_BYTE_MS, READING_TOKENS_PER_MS, SLOTS};
use crate::pattern::LoadPattern;

/// Which decisions are made.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// Those of the product.
    Chosen,
    /// Fewest requests in flight, everything is sent, everybody comes back after the same time.
    Baseline,
}

/// Window of the caps in milliseconds, and the part and the units by which use may go beyond them.
const CAP_EXCESS: (u64, f64, f64) = (8_000, 0.1, 0.0);

/// A relay.
pub struct Relay {
    /// Number of its zone.
    pub zone: usize,
    /// The engines as it knows them.
    pub book: PlacementTable,
    /// Caps by organisation.
    pub caps: HashMap<&'static str, SharedCap>,
}

impl Relay {
    /// Creates a relay that knows all engines.
    pub fn new(pattern: &LoadPattern, zone: usize, policy: Policy) -> Self {
        let cost_rule: Box<dyn CostRule> = match policy {
            Policy::Chosen => Box::new(ExpectedWait),
            Policy::Baseline => Box::new(LeastRequests),
        };
        let admission_rule: Box<dyn AdmissionRule> = match policy {
            Policy::Chosen => Box::new(TargetAdmission::default()),
            Policy::Baseline => Box::new(AdmitAll),
        };
        let options = PlacementOptions {
            prefill_tokens_per_ms: READING_TOKENS_PER_MS,
            idle_first_byte_ms: IDLE_FIRST_BYTE_MS,
            ..PlacementOptions::default()
        };
        let caps = pattern.caps.iter().map(|cap| {
            let report_ms = digest_period_ms(pattern.relays);
            let limits = CapLimits::new(cap.per_second, cap.per_second, CAP_EXCESS, report_ms);
            (cap.organisation, SharedCap::new(limits, pattern.relays, 0))
        });
        Self {
            zone,
            book: PlacementTable::new(&zone_name(zone), options, cost_rule, admission_rule),
            caps: caps.collect(),
        }
    }

    /// Takes the list of engines that run.
    pub fn set_engines(&mut self, engines: impl Iterator<Item = (usize, usize)>) {
        let entries: Vec<UpstreamEntry> =
            engines.map(|(number, zone)| entry(number, zone)).collect();
        self.book.set_upstreams(entries.iter());
    }
}

/// The name of a zone.
fn zone_name(zone: usize) -> String {
    format!("zone-{zone}")
}

/// The id of an engine.
pub fn engine_id(number: usize) -> String {
    format!("engine-{number:03}")
}

fn entry(number: usize, zone: usize) -> UpstreamEntry {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 9_000 + number as u16));
    UpstreamEntry::ready(&engine_id(number), "desk", address, &zone_name(zone), SLOTS)
}
