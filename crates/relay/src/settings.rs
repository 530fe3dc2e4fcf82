//! Settings of a relay process, and the timings derived from them.

use std::net::SocketAddr;

use hickorycourse_duties::{ArrivalPlannerOptions, CapacityPlannerOptions};
use hickorycourse_placement::PlacementOptions;
use hickorycourse_settings::{Check, ValidationError};
use serde::{Deserialize, Serialize};

/// Settings of a relay process, JSON with comments.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RelaySettings {
    /// Name of this instance, unique in the fleet.
    pub instance: String,
    /// Availability zone of this instance.
    pub availability_zone: String,
    /// Address that listens for callers.
    pub caller_address: SocketAddr,
    /// Address of the balancer's readiness check.
    pub ready_address: SocketAddr,
    /// Additional address that serves metrics; without it, they are served on `ready_address`
    /// alone.
    #[serde(default)]
    pub metrics_address: Option<SocketAddr>,
    /// Address that receives datagrams and connections of other instances.
    pub peer_address: SocketAddr,
    /// Address of the platform's key-value store.
    pub store_address: SocketAddr,
    /// Address of the platform's duty service; required if there are duties.
    #[serde(default)]
    pub duty_address: Option<SocketAddr>,
    /// Duties that the platform requires.
    #[serde(default)]
    pub duties: Vec<Duty>,
    /// Threads that serve callers.
    #[serde(default = "default_worker_threads")]
    pub worker_threads: usize,
    /// Limits and timings that the operators guarantee or require.
    #[serde(default)]
    pub bounds: Bounds,
    /// Admission, placement and capacity planning.
    #[serde(default)]
    pub policy: PolicySettings,
    /// Event log.
    #[serde(default)]
    pub log: EventLogSettings,
    /// What this process may use of its machine.
    #[serde(default)]
    pub machine: MachineLimits,
}

fn default_worker_threads() -> usize {
    2
}

/// A duty that one instance performs for the fleet.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Duty {
    /// Reports usage by window.
    Usage,
    /// Orders upstreams.
    Capacity,
}

/// Limits and timings that the operators guarantee or require.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Bounds {
    /// Time within which a changed document is applied.
    pub apply_ms: u64,
    /// Time within which a revoked key is rejected, also by an isolated instance.
    pub revocation_ms: u64,
    /// Whether keys are rejected when the document may be stale.
    pub is_revocation_strict: bool,
    /// Time after which an upstream that is known to be leaving gets no requests.
    pub leaving_ms: u64,
    /// Grace period after an outage of the store, within which upstreams renew entries that lapsed;
    /// later they are removed.
    pub doubt_ms: u64,
    /// Time from the stop signal until the process is killed.
    pub stop_ms: u64,
    /// Retries granted per request.
    pub retry_ratio: f64,
    /// Retries granted in addition to the ratio, over all instances.
    pub retry_slack: f64,
    /// Window of the retry budget.
    pub retry_window_ms: u64,
    /// Window in which an organisation's usage is compared with its cap.
    pub cap_window_ms: u64,
    /// Permitted excess over a window's cap, as a fraction of the cap.
    pub cap_overshoot: f64,
    /// Permitted excess in addition to that fraction, in units per window.
    pub cap_slack: f64,
    /// TTL of the duty lease.
    pub lease_ms: u64,
    /// Shortest lease that the store grants.
    pub lease_least_ms: u64,
    /// Length of a usage window.
    pub usage_window_ms: u64,
    /// Time after its end at which a window's usage report is due.
    pub usage_delay_ms: u64,
}

/// Largest accepted staleness of keys, in percent of `revocation_ms`; the rest covers a store that
/// reports changes late.
const MAX_STALENESS_PERCENT: u64 = 65;
/// Longest timeout of a watch request: each response shows that the store is reachable.
const MAX_WATCH_TIMEOUT_MS: u64 = 1_000;
/// Timeout of a watch request of an instance that others follow, in percent of the shortest bound within
/// which changes must be applied. What is known of a quiet store is up to two timeouts old.
const FOLLOWED_WATCH_TIMEOUT_PERCENT: u64 = 18;
/// Shortest timeout of a watch request; calls to the store are billed.
const MIN_WATCH_TIMEOUT_MS: u64 = 100;
/// Number of watch requests, each with the pause after it, that fit into the largest accepted
/// staleness. The document's staleness is one such duration when a response arrives, and two just
/// before the next response.
const WATCHES_PER_STALENESS_LIMIT: u64 = 3;
/// Staleness at which peers are queried, in percent of the largest accepted staleness.
const FRESHNESS_QUERY_PERCENT: u64 = 60;

impl Bounds {
    /// Largest staleness of the document, in milliseconds, with which keys are accepted.
    pub fn max_staleness_ms(&self) -> u64 {
        self.revocation_ms * MAX_STALENESS_PERCENT / 100
    }

    /// Staleness, in milliseconds, from which peers are queried for a fresher document.
    pub fn freshness_query_after_ms(&self) -> u64 {
        self.max_staleness_ms() * FRESHNESS_QUERY_PERCENT / 100
    }

    /// The shortest bound, in milliseconds, within which changes in the store must be applied.
    pub fn change_propagation_ms(&self) -> u64 {
        self.apply_ms.min(self.leaving_ms)
    }

    /// Timeout of a watch request, in milliseconds; short enough that the document does not become
    /// stale while nothing changes in the store.
    pub fn watch_timeout_ms(&self) -> u64 {
        if !self.is_revocation_strict {
            return MAX_WATCH_TIMEOUT_MS;
        }
        (self.max_staleness_ms() / WATCHES_PER_STALENESS_LIMIT)
            .clamp(MIN_WATCH_TIMEOUT_MS, MAX_WATCH_TIMEOUT_MS)
    }

    /// Timeout of a watch request, in milliseconds, of an instance that others follow: they learn of its
    /// responses later.
    pub fn followed_watch_timeout_ms(&self) -> u64 {
        let timeout_ms = self.change_propagation_ms() * FOLLOWED_WATCH_TIMEOUT_PERCENT / 100;
        timeout_ms.max(MIN_WATCH_TIMEOUT_MS).min(self.watch_timeout_ms())
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

/// Admission policy.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AdmissionPolicy {
    /// Admits every request; the baseline.
    AdmitAll,
    /// Rejects requests at once that are forecast to miss their target.
    #[default]
    Target,
}

/// Placement policy.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PlacementPolicy {
    /// `Even` for services without prefix caches, `ExpectedWait` for language-model engines.
    Auto,
    /// As `ExpectedWait`, but spreads requests over upstreams that list their slots in proportion to the
    /// room that is left there by reports of known age.
    Even,
    /// Selects the upstream with the shortest expected time to the first byte.
    #[default]
    ExpectedWait,
    /// Selects the upstream with the fewest requests in flight; the baseline.
    LeastRequests,
}

/// When the expected end of a streamed response counts in placement.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CompletionPolicy {
    /// Where upstreams report the pace of their hosts, or have shown uneven speeds.
    Auto,
    /// Never; the baseline.
    #[default]
    Off,
}

/// Overload control over all instances.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OverloadPolicy {
    /// On for services whose capacity can be ordered, whose upstreams state their slots, and that requests
    /// of several ranks share.
    Auto,
    /// Off; the baseline.
    #[default]
    Off,
}

/// How instances tell each other of their load and use.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ExchangePolicy {
    /// `Mesh` in a small fleet, `Aggregated` in a large one.
    #[default]
    Auto,
    /// Each instance sends its digest to all others; the baseline.
    Mesh,
    /// Aggregators sum the digests of their availability zone.
    Aggregated,
}

/// Which planner orders the capacity of a service.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CapacityPolicy {
    /// By arrivals where the service has a price for reclaimable upstreams, by responses in progress
    /// elsewhere.
    Auto,
    /// From arriving work and the reclaims that were seen.
    Arrivals,
    /// From the responses in progress; the baseline.
    #[default]
    InProgress,
}

/// Admission, placement and capacity planning.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PolicySettings {
    /// How instances tell each other of their load and use.
    pub exchange: ExchangePolicy,
    /// Admission policy.
    pub admission: AdmissionPolicy,
    /// Overload control over all instances.
    pub overload: OverloadPolicy,
    /// Placement policy.
    pub placement: PlacementPolicy,
    /// When the expected end of a streamed response counts in placement.
    pub completion: CompletionPolicy,
    /// Prefill rate of an engine in prompt tokens per millisecond, until it has been measured.
    pub reading_tokens_per_ms: f64,
    /// Time to the first byte at an idle engine, until it has been measured.
    pub idle_first_byte_ms: f64,
    /// Latency penalty of upstreams in other availability zones.
    pub cross_zone_ms: f64,
    /// Additional latency of a full batch over an empty one.
    pub full_batch_ms: f64,
    /// Cost of prefilling a shared prompt part once more, relative to other tokens.
    pub shared_weight: f64,
    /// Largest fraction of an upstream's slots that can be in use while events still arrive on
    /// time.
    pub places_fill: f64,
    /// Largest fraction of an engine's time that can go into prefill: prompts arrive in bursts, and
    /// each delays the events of concurrent streams.
    pub reading_fill: f64,
    /// Which planner orders capacity.
    pub capacity_planner: CapacityPolicy,
    /// Options of the planner by responses in progress.
    pub capacity: CapacityPlannerOptions,
    /// Options of the planner by arrivals.
    pub arrival_capacity: ArrivalPlannerOptions,
}

impl Default for PolicySettings {
    fn default() -> Self {
        let placement = PlacementOptions::default();
        Self {
            exchange: ExchangePolicy::default(),
            admission: AdmissionPolicy::default(),
            overload: OverloadPolicy::default(),
            placement: PlacementPolicy::default(),
            completion: CompletionPolicy::default(),
            reading_tokens_per_ms: placement.prefill_tokens_per_ms,
            idle_first_byte_ms: placement.idle_first_byte_ms,
            cross_zone_ms: placement.cross_zone_ms,
            full_batch_ms: placement.full_batch_ms,
            shared_weight: placement.shared_weight,
            places_fill: 0.7,
            reading_fill: 0.75,
            capacity_planner: CapacityPolicy::default(),
            capacity: CapacityPlannerOptions::default(),
            arrival_capacity: ArrivalPlannerOptions::default(),
        }
    }
}

/// Event log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EventLogSettings {
    /// Rate limit in lines per second; lines above it are counted and dropped.
    pub lines_per_second: u64,
}

impl Default for EventLogSettings {
    fn default() -> Self {
        Self { lines_per_second: 200 }
    }
}

/// What this process may use of its machine. The defaults are for machines whose limits are not known.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct MachineLimits {
    /// Memory in MiB.
    pub memory_mib: usize,
    /// Number of file descriptors.
    pub descriptors: usize,
}

/// Part of the memory that callers' request bodies may hold, in percent.
const BODY_MEMORY_PERCENT: usize = 25;
/// Part of the descriptors for accepted connections, in percent.
const ACCEPTED_DESCRIPTORS_PERCENT: usize = 75;

impl MachineLimits {
    /// Bytes that all request bodies together may hold.
    pub fn body_budget_bytes(&self) -> usize {
        self.memory_mib * 1024 * 1024 / 100 * BODY_MEMORY_PERCENT
    }

    /// Maximum number of connections that each of `threads` accepts.
    pub fn connections_per_thread(&self, threads: usize) -> usize {
        (self.descriptors * ACCEPTED_DESCRIPTORS_PERCENT / 100 / threads.max(1)).max(1)
    }
}

impl Default for MachineLimits {
    fn default() -> Self {
        Self { memory_mib: 1_024, descriptors: 32_768 }
    }
}

const MIN_MEMORY_MIB: usize = 16;
const MIN_DESCRIPTORS: usize = 64;
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
            "must be set if `duties` is not empty",
        );
        require(bounds.usage_window_ms > 0, "bounds.usage_window_ms", "must be above 0");
        require(
            bounds.lease_ms >= bounds.lease_least_ms,
            "bounds.lease_ms",
            "must not be below `lease_least_ms`",
        );
        require(
            bounds.retry_ratio >= 0.0 && bounds.retry_slack >= 0.0,
            "bounds.retry_ratio",
            "must be 0 or above, and so must `retry_slack`",
        );
        require(
            self.machine.memory_mib >= MIN_MEMORY_MIB,
            "machine.memory_mib",
            "must be 16 or above",
        );
        require(
            self.machine.descriptors >= MIN_DESCRIPTORS,
            "machine.descriptors",
            "must be 64 or above",
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
