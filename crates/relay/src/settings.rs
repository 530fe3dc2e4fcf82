//! Settings of a relay process.

use std::net::SocketAddr;

use hickorycourse_duties::CapacityPlannerOptions;
use hickorycourse_placement::PlacementOptions;
use hickorycourse_settings::{Check, ValidationError};
use serde::{Deserialize, Serialize};

/// The settings of one relay process, in JSON with comments.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RelaySettings {
    /// This instance's name.
    pub instance: String,
    /// Its availability zone.
    pub availability_zone: String,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where the balancer asks for readiness.
    pub ready_address: SocketAddr,
    /// Where metrics are served.
    #[serde(default)]
    pub metrics_address: Option<SocketAddr>,
    /// Where datagrams of other instances arrive.
    pub peer_address: SocketAddr,
    /// The platform's key-value service.
    pub store_address: SocketAddr,
    /// Receives the calls of the duties.
    #[serde(default)]
    pub duty_address: Option<SocketAddr>,
    /// Duties that the platform asks for.
    #[serde(default)]
    pub duties: Vec<Duty>,
    /// Threads that serve callers.
    #[serde(default = "default_worker_threads")]
    pub worker_threads: usize,
    /// Times and bounds that the operators promise or ask for.
    #[serde(default)]
    pub bounds: Bounds,
    /// How requests are admitted and placed.
    #[serde(default)]
    pub policy: PolicySettings,
    /// Logs.
    #[serde(default)]
    pub log: EventLogSettings,
}

fn default_worker_threads() -> usize {
    2
}

/// A duty that one instance carries out for all.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Duty {
    /// Reporting usage by window.
    Usage,
    /// Ordering upstreams.
    Capacity,
}

/// Times and bounds that the operators promise or ask for.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Bounds {
    /// A changed document is in force by then.
    pub apply_ms: u64,
    /// A key that was taken away is refused by then, also by an instance that is cut off.
    pub revocation_ms: u64,
    /// Whether a key counts only while the document is known to be the newest.
    pub is_revocation_strict: bool,
    /// An upstream that is known to leave gets no request after this time.
    pub leaving_ms: u64,
    /// Entries that lapsed during an outage of the store are back by then, or gone.
    pub doubt_ms: u64,
    /// Time from the signal to stop until the process is ended.
    pub stop_ms: u64,
    /// Repeats for each request.
    pub retry_ratio: f64,
    /// Repeats besides, over all instances.
    pub retry_slack: f64,
    /// Window in which repeats are counted.
    pub retry_window_ms: u64,
    /// Window in which an organisation's use is held against its cap.
    pub cap_window_ms: u64,
    /// Part of a window's cap that may be used beyond it.
    pub cap_overshoot: f64,
    /// Units that may be used in a window beyond its cap and that part.
    pub cap_slack: f64,
    /// Time of the lease of the duties' holder.
    pub lease_ms: u64,
    /// Shortest lease that the store grants.
    pub lease_least_ms: u64,
    /// Length of a usage window.
    pub usage_window_ms: u64,
    /// A window's usage is due this long after its end.
    pub usage_delay_ms: u64,
}

/// The age of the proof that keys are current may use up to this part of the revocation's bound; the
/// rest covers a store that tells of changes late.
const MAX_STALENESS_PERCENT: u64 = 65;
/// Longest wait of a watch: each return shows that the store is there.
const MAX_WATCH_TIMEOUT_MS: u64 = 1_000;
/// Shortest wait of a watch; calls to the store are paid for.
const MIN_WATCH_TIMEOUT_MS: u64 = 100;
/// Waits of a watch, each with the rest behind it, that fit into the age that a proof may have: the proof
/// is as old as one wait when it comes and as two when the next one does.
const WATCHES_PER_STALENESS_LIMIT: u64 = 3;
/// Part of the age that a proof may have from which others are asked for theirs.
const FRESHNESS_QUERY_PERCENT: u64 = 60;

impl Bounds {
    /// Age up to which a proof that the document is the newest allows the use of keys.
    pub fn max_staleness_ms(&self) -> u64 {
        self.revocation_ms * MAX_STALENESS_PERCENT / 100
    }

    /// Age of the own proof from which others are asked for theirs.
    pub fn freshness_query_after_ms(&self) -> u64 {
        self.max_staleness_ms() * FRESHNESS_QUERY_PERCENT / 100
    }

    /// The shorter of the bounds within which changes must be known.
    pub fn change_propagation_ms(&self) -> u64 {
        self.apply_ms.min(self.leaving_ms)
    }

    /// Time for which a watch waits for a change, so that proofs don't grow too old in a quiet store.
    pub fn watch_timeout_ms(&self) -> u64 {
        if !self.is_revocation_strict {
            return MAX_WATCH_TIMEOUT_MS;
        }
        (self.max_staleness_ms() / WATCHES_PER_STALENESS_LIMIT)
            .clamp(MIN_WATCH_TIMEOUT_MS, MAX_WATCH_TIMEOUT_MS)
    }
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            apply_ms: 2_000,
            revocation_ms: 5_000,
            is_revocation_strict: true,
            leaving_ms: 2_000,
            doubt_ms: 2_000,
            stop_ms: 8_000,
            retry_ratio: 0.2,
            retry_slack: 50.0,
            retry_window_ms: 10_000,
            cap_window_ms: 8_000,
            cap_overshoot: 0.1,
            cap_slack: 0.0,
            lease_ms: 3_000,
            lease_least_ms: 1_000,
            usage_window_ms: 5_000,
            usage_delay_ms: 10_000,
        }
    }
}

/// How requests are admitted.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AdmissionPolicy {
    /// Everything is sent; the baseline.
    AdmitAll,
    /// What can't be served in time is refused at once.
    #[default]
    Target,
}

/// How an upstream is chosen.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PlacementPolicy {
    /// The shortest expected time to the first byte.
    #[default]
    ExpectedWait,
    /// The fewest requests in flight; the baseline.
    LeastRequests,
}

/// How requests are admitted and placed.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PolicySettings {
    /// How requests are admitted.
    pub admission: AdmissionPolicy,
    /// How an upstream is chosen.
    pub placement: PlacementPolicy,
    /// Prompt tokens that an engine reads in a millisecond, until it has been measured.
    pub reading_tokens_per_ms: f64,
    /// Time to the first byte at an idle engine, until it has been measured.
    pub idle_first_byte_ms: f64,
    /// Delay by which an upstream in the own availability zone is preferred.
    pub cross_zone_ms: f64,
    /// Delay of a full batch against an empty one.
    pub full_batch_ms: f64,
    /// How much dearer it is to read a shared prompt part once more than to read other tokens.
    pub shared_weight: f64,
    /// Part of an upstream's places that may be taken while events still come in time.
    pub places_fill: f64,
    /// Part of an engine's time that may go into reading prompts: prompts come in clumps, and each
    /// delays the events of the streams beside it.
    pub reading_fill: f64,
    /// How capacity is planned.
    pub capacity: CapacityPlannerOptions,
}

impl Default for PolicySettings {
    fn default() -> Self {
        let placement = PlacementOptions::default();
        Self {
            admission: AdmissionPolicy::default(),
            placement: PlacementPolicy::default(),
            reading_tokens_per_ms: placement.prefill_tokens_per_ms,
            idle_first_byte_ms: placement.idle_first_byte_ms,
            cross_zone_ms: placement.cross_zone_ms,
            full_batch_ms: placement.full_batch_ms,
            shared_weight: placement.shared_weight,
            places_fill: 0.7,
            reading_fill: 0.75,
            capacity: CapacityPlannerOptions::default(),
        }
    }
}

/// Logs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EventLogSettings {
    /// Lines a second; those above are counted and left out.
    pub lines_per_second: u64,
}

impl Default for EventLogSettings {
    fn default() -> Self {
        Self { lines_per_second: 200 }
    }
}

const MAX_WORKER_THREADS: usize = 256;

impl Check for RelaySettings {
    fn check(&self) -> Vec<ValidationError> {
        let mut errors = Vec::new();
        let mut require = |is_met: bool, path: &str, message: &str| {
            if !is_met {
                errors.push(ValidationError::new(path, message));
            }
        };
        let bounds = &self.bounds;
        require(!self.instance.is_empty(), "instance", "must not be empty");
        require(!self.availability_zone.is_empty(), "availability_zone", "must not be empty");
        require(
            (1..=MAX_WORKER_THREADS).contains(&self.worker_threads),
            "worker_threads",
            "must be from 1 to 256",
        );
        require(
            self.duties.is_empty() || self.duty_address.is_some(),
            "duty_address",
            "must be set where there are duties",
        );
        require(bounds.usage_window_ms > 0, "bounds.usage_window_ms", "must be above 0");
        require(
            bounds.lease_ms >= bounds.lease_least_ms,
            "bounds.lease_ms",
            "must not be below lease_least_ms",
        );
        require(
            bounds.retry_ratio >= 0.0 && bounds.retry_slack >= 0.0,
            "bounds.retry_ratio",
            "must not be below 0, nor retry_slack",
        );
        let policy = &self.policy;
        let positive = [
            (policy.reading_tokens_per_ms, "policy.reading_tokens_per_ms"),
            (policy.places_fill, "policy.places_fill"),
            (policy.reading_fill, "policy.reading_fill"),
        ];
        for (value, path) in positive {
            require(value > 0.0, path, "must be above 0");
        }
        errors
    }
}
