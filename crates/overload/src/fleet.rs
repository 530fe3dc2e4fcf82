//! Demand of all instances, as one of them knows it.

use std::collections::HashMap;

use crate::work::{Demand, WorkClass, WorkCounts};

/// Age at which a peer's report no longer counts. Until then the demand of an instance that has ended is
/// counted beside that of those which have taken over its callers.
const REPORT_STALE_AFTER_MS: u64 = 5_000;
/// Peers that are known; more than a fleet reports through aggregators or directly.
const MAX_PEERS: usize = 1_024;

#[derive(Clone, Debug)]
struct PeerReport {
    /// Instances that the report is of, with those whose builds state no demand.
    instances: usize,
    /// Those of them that state their demand.
    reporting: usize,
    demand: Demand,
    at_ms: u64,
}

/// Demand that peers have reported, with the age of each report.
#[derive(Clone, Debug, Default)]
pub struct FleetDemand {
    peers: HashMap<String, PeerReport>,
}

impl FleetDemand {
    /// Records the report of a peer for itself, or for `instances` instances. `counts` is `None` if it states
    /// no demand, as earlier builds do.
    pub fn set_peer(
        &mut self,
        peer: &str,
        instances: usize,
        counts: Option<&WorkCounts>,
        now_ms: u64,
    ) {
        if self.peers.len() >= MAX_PEERS && !self.peers.contains_key(peer) {
            self.peers.retain(|_, report| report.is_fresh(now_ms));
            if self.peers.len() >= MAX_PEERS {
                return;
            }
        }
        let reporting = counts.map_or(0, |counts| counts.instances.min(instances));
        let demand = counts.map(WorkCounts::to_demand).unwrap_or_default();
        self.peers
            .insert(peer.to_owned(), PeerReport { instances, reporting, demand, at_ms: now_ms });
    }

    /// Discards the report of a peer.
    pub fn clear_peer(&mut self, peer: &str) {
        self.peers.remove(peer);
    }

    /// Discards all reports.
    pub fn clear(&mut self) {
        self.peers.clear();
    }

    /// Returns the demand of all instances. Those that state none are taken to have the mean of the others.
    pub fn total(&self, own: &Demand, now_ms: u64) -> Demand {
        let (mut instances, mut reporting) = (1_usize, 1_usize);
        let mut sum = own.clone();
        for report in self.fresh_reports(now_ms) {
            instances = instances.saturating_add(report.instances);
            reporting = reporting.saturating_add(report.reporting);
            for (class, demand) in &report.demand {
                sum.entry(*class).or_default().add(demand, 1.0);
            }
        }
        let silent_factor = (instances - reporting) as f64 / reporting as f64;
        for demand in sum.values_mut() {
            demand.add(&demand.clone(), silent_factor);
        }
        sum
    }

    /// Returns whether at least half of the instances state their demand. Aggregators of earlier builds drop
    /// what their members state, and one instance says little about all others.
    pub fn is_covered(&self, now_ms: u64) -> bool {
        let (mut instances, mut reporting) = (1_usize, 1_usize);
        for report in self.fresh_reports(now_ms) {
            instances = instances.saturating_add(report.instances);
            reporting = reporting.saturating_add(report.reporting);
        }
        reporting.saturating_mul(2) >= instances
    }

    /// Returns the mean time that responses of a class take at the peers; `None` if none has measured it.
    pub fn mean_response_ms(&self, class: WorkClass, now_ms: u64) -> Option<f64> {
        let demands = self.fresh_reports(now_ms).filter_map(|report| report.demand.get(&class));
        let (arrivals_per_s, slots) = demands.fold((0.0, 0.0), |(arrivals, slots), demand| {
            (arrivals + demand.arrivals_per_s, slots + demand.slots - demand.prefill_upstreams)
        });
        (arrivals_per_s > 0.0).then(|| (slots * 1_000.0 / arrivals_per_s).max(0.0))
    }

    /// Returns the age of the oldest report that counts.
    pub fn oldest_report_ms(&self, now_ms: u64) -> u64 {
        let ages = self.fresh_reports(now_ms).map(|report| now_ms.saturating_sub(report.at_ms));
        ages.max().unwrap_or(0)
    }

    fn fresh_reports(&self, now_ms: u64) -> impl Iterator<Item = &PeerReport> {
        self.peers.values().filter(move |report| report.is_fresh(now_ms))
    }
}

impl PeerReport {
    fn is_fresh(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.at_ms) < REPORT_STALE_AFTER_MS
    }
}
