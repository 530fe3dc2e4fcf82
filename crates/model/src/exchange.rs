//! What simulated relays tell each other of their load: directly in a small fleet, as sums of the
//! availability zones in a larger one.

use std::collections::BTreeMap;

use hickorycourse_overload::WorkCounts;
use hickorycourse_placement::{PlacementTable, TokenDemand, UpstreamLoad};
use hickorycourse_relay::digest_period_ms;

/// Largest fleet whose relays send their digests to all others.
const MAX_MESH_RELAYS: usize = 16;
/// Interval at which the relays of a larger one report to an aggregator and get the sums of all zones.
const AGGREGATED_PERIOD_MS: u64 = 400;

/// Returns the period of a relay's digests in a fleet of this size.
pub fn exchange_period_ms(relays: usize) -> u64 {
    match relays > MAX_MESH_RELAYS {
        true => AGGREGATED_PERIOD_MS,
        false => digest_period_ms(relays),
    }
}

/// Load and demand of one relay, or of several.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    zone: usize,
    instances: usize,
    demand: TokenDemand,
    loads: BTreeMap<String, UpstreamLoad>,
    work: Option<WorkCounts>,
}

impl Snapshot {
    /// Returns what a relay reports.
    pub fn of(table: &PlacementTable, zone: usize, now_ms: u64) -> Self {
        Self {
            zone,
            instances: 1,
            demand: table.own_demand(now_ms),
            loads: table.own_loads().map(|(id, load)| (id.to_owned(), load)).collect(),
            work: table.own_work(now_ms),
        }
    }

    /// Applies it as the report of a peer.
    pub fn apply(&self, peer: &str, table: &mut PlacementTable, now_ms: u64) {
        table.clear_peer(peer);
        table.set_peer_demand(peer, self.demand.clone(), self.instances);
        table.set_peer_work(peer, self.instances, self.work.as_ref(), now_ms);
        for (id, load) in &self.loads {
            table.set_peer_load(peer, id, load.clone(), now_ms);
        }
    }

    fn add(&mut self, other: &Self) {
        self.instances += other.instances;
        self.demand.arrived_tokens_per_ms += other.demand.arrived_tokens_per_ms;
        for (rank, rate) in &other.demand.sent_tokens_per_ms {
            *self.demand.sent_tokens_per_ms.entry(*rank).or_default() += rate;
        }
        for (id, load) in &other.loads {
            let sum = self.loads.entry(id.clone()).or_default();
            sum.running += load.running;
            sum.answering += load.answering;
            for (rank, waiting) in &load.waiting {
                let sum = sum.waiting.entry(*rank).or_default();
                sum.requests += waiting.requests;
                sum.tokens += waiting.tokens;
            }
        }
        if let Some(work) = &other.work {
            self.work.get_or_insert_default().add(work);
        }
    }
}

/// The latest report of each relay, as the aggregators of its zone know it.
#[derive(Debug)]
pub struct Exchange {
    reports: Vec<Option<Snapshot>>,
}

impl Exchange {
    /// Creates an exchange without reports.
    pub fn new(relays: usize) -> Self {
        Self { reports: vec![None; relays] }
    }

    /// Returns whether zones are told as sums.
    pub fn is_aggregated(&self) -> bool {
        self.reports.len() > MAX_MESH_RELAYS
    }

    /// Records the report of a relay.
    pub fn record(&mut self, relay: usize, snapshot: Snapshot) {
        self.reports[relay] = Some(snapshot);
    }

    /// Returns the sum of the reports of a zone without that of the relay which receives it.
    pub fn sum_zone(&self, zone: usize, receiver: usize) -> Snapshot {
        let mut sum = Snapshot { zone, ..Snapshot::default() };
        for (relay, report) in self.reports.iter().enumerate() {
            let Some(report) = report else { continue };
            if report.zone == zone && relay != receiver {
                sum.add(report);
            }
        }
        sum
    }
}
