//! Simulation of upstreams that name rate limits, and of ways to divide a limit between instances.
//!
//! Callers press on all instances alike. With [`LimitPolicy::Issuer`], permits are granted by a
//! [`PermitIssuer`](hickorycourse_permits::PermitIssuer), the same code as in the relay process. Instances
//! differ in what they know of the fleet, as they do while it changes.

mod fleet;
mod simulation;

pub use simulation::run_limits;

/// Way to divide the limit of an upstream between instances.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitPolicy {
    /// One instance for each upstream grants permits to all.
    Issuer,
    /// As many instances as bursts of one request allow have a share each, chosen by rendezvous hashing.
    Holders,
    /// Each instance has an equal share, with a burst of one request.
    Even,
}

impl LimitPolicy {
    /// All policies with their names.
    pub fn list() -> [(&'static str, Self); 3] {
        [("issuer", Self::Issuer), ("holders", Self::Holders), ("even", Self::Even)]
    }
}

/// What disturbs the fleet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitTrouble {
    /// Nothing.
    None,
    /// Instances join, one each second.
    Joins,
    /// Instances end for good, one each second.
    Leaves,
    /// Instances restart in turn, one each second.
    Restarts,
    /// Instances freeze in turn for three seconds.
    Freezes,
    /// One of the zones is cut off for five seconds, twice.
    CutZone,
    /// A fifth of the datagrams is lost.
    Loss,
}

impl LimitTrouble {
    /// All troubles with their names.
    pub fn list() -> [(&'static str, Self); 7] {
        [
            ("none", Self::None),
            ("joins", Self::Joins),
            ("leaves", Self::Leaves),
            ("restarts", Self::Restarts),
            ("freezes", Self::Freezes),
            ("cut-zone", Self::CutZone),
            ("loss", Self::Loss),
        ]
    }
}

/// A fleet before upstreams that have named a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitPattern {
    /// Number of instances.
    pub instances: usize,
    /// Number of upstreams with a limit.
    pub upstreams: usize,
    /// Requests a second that each of them takes.
    pub per_second: f64,
    /// Requests that arrive, as a multiple of what the upstreams take together.
    pub demand: f64,
    /// What disturbs the fleet.
    pub trouble: LimitTrouble,
}

/// Outcome of a simulation.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimitReport {
    /// Most requests that one upstream received in four seconds from undisturbed instances.
    pub most_in_window: usize,
    /// Requests that are allowed in four seconds.
    pub allowed_in_window: f64,
    /// Share of the limits that was used.
    pub used_share: f64,
    /// Messages an instance sent, a second.
    pub messages_per_second: f64,
}

impl LimitReport {
    /// Returns whether the bound was kept.
    pub fn is_kept(&self) -> bool {
        self.most_in_window as f64 <= self.allowed_in_window
    }

    /// Formats the report as a line.
    pub fn format_line(&self, title: &str) -> String {
        format!(
            "{title}: most in 4 s {} of {:.0}, used {:.2}, messages {:.2} a second and instance{}",
            self.most_in_window,
            self.allowed_in_window,
            self.used_share,
            self.messages_per_second,
            if self.is_kept() { "" } else { " EXCEEDED" },
        )
    }
}
