//! Simulation of instances that are cut off from all upstreams and ask peers to carry their requests.
//!
//! An instance learns of its cut by failed dials of its own. A peer that is cut off too refuses at once if
//! it knows of its cut, otherwise after a failed dial; one without room refuses at once. Refusals are
//! remembered for a while, and a request asks few peers.

mod simulation;

pub use simulation::run_partition;

/// Way to choose the peers that a request asks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerPolicy {
    /// All peers are equally likely.
    Uniform,
    /// Peers in the own zone, if any is not known to refuse.
    Near,
    /// First a peer in the own zone, then one in another; all are equally likely while a peer in the own
    /// zone is known to be cut off.
    NearThenFar,
    /// As `NearThenFar`, among the peers whose digests do not tell that they are cut off.
    Told,
}

impl PeerPolicy {
    /// All policies with their names.
    pub fn list() -> [(&'static str, Self); 4] {
        [
            ("uniform", Self::Uniform),
            ("near", Self::Near),
            ("near-then-far", Self::NearThenFar),
            ("told", Self::Told),
        ]
    }
}

/// Which instances are cut off.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CutScope {
    /// Each instance with this probability.
    Share(f64),
    /// All instances of one zone.
    Zone,
}

impl CutScope {
    /// Scopes with their names.
    pub fn list() -> [(&'static str, Self); 5] {
        [
            ("tenth", Self::Share(0.1)),
            ("two-fifths", Self::Share(0.4)),
            ("four-fifths", Self::Share(0.8)),
            ("nine-tenths", Self::Share(0.9)),
            ("zone", Self::Zone),
        ]
    }
}

/// A fleet of which a part is cut off for some seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PartitionPattern {
    /// Number of instances.
    pub instances: usize,
    /// Requests a second that arrive at each instance.
    pub per_second: f64,
    /// Requests of others that an instance carries at a time, at most.
    pub room: usize,
    /// Which instances are cut off.
    pub scope: CutScope,
}

/// Outcome of a simulation. Requests count from the time at which rules hold to the end of the cut.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PartitionReport {
    /// Number of instances that were cut off.
    pub cut_off: usize,
    /// Share of the requests at them that a peer carried.
    pub served_share: f64,
    /// Time until a request was with the peer that carried it, of the slowest in a hundred.
    pub p99_wait_ms: u64,
    /// Requests a second that a peer carried, on average.
    pub mean_carried: f64,
    /// Requests a second that the busiest peer carried.
    pub most_carried: f64,
    /// Share of the queried peers that refused as they were full.
    pub busy_share: f64,
    /// Time from the begin of the cut until half of the instances knew of it.
    pub p50_detected_ms: u64,
    /// Time until the last one knew; `None` if one did not learn of it.
    pub last_detected_ms: Option<u64>,
}

impl PartitionReport {
    /// Formats the report as a line.
    pub fn format_line(&self, title: &str) -> String {
        let last = self.last_detected_ms.map_or_else(|| "never".to_owned(), |ms| ms.to_string());
        format!(
            "{title}: {} cut off, served {:.3}, wait p99 {} ms, carried {:.1} a second and peer, most \
             {:.1}, busy {:.3}, detected p50 {} ms, last {last} ms",
            self.cut_off,
            self.served_share,
            self.p99_wait_ms,
            self.mean_carried,
            self.most_carried,
            self.busy_share,
            self.p50_detected_ms,
        )
    }
}
