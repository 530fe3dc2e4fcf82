//! The document that operators set.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Everything that operators have set for relayed requests.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RouteDocument {
    /// Rises with each change, in uneven steps.
    pub version: u64,
    /// Routes in no particular order.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: BTreeMap<String, Service>,
    /// Organisations with their keys; absent if requests need no key.
    pub organisations: Option<Vec<Organisation>>,
    /// Limits on what callers may send.
    pub limits: CallerLimits,
}

/// How often a request may run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RepeatRule {
    /// Any number of times.
    Idempotent,
    /// At most once for each attempt of the caller.
    AtMostOnce,
    /// An event stream that may not be resumed; runs at most once.
    Stream,
    /// An event stream that may go on at another upstream behind the last event seen.
    ResumableStream,
}

impl RepeatRule {
    /// Whether the request may reach a second upstream although the first may have run it.
    pub fn allows_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether the answer is an event stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// One of the services behind a route.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RouteTarget {
    /// The service's name.
    pub service: String,
    /// Its part of the route's requests, relative to the other targets.
    pub weight: u32,
}

/// A route.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// The route's name.
    pub name: String,
    /// The host that requests name.
    pub host: String,
    /// The start of the path, with a slash at both ends.
    pub path_prefix: String,
    /// How often a request may run.
    pub repeat: RepeatRule,
    /// Longest time that a caller is kept waiting.
    pub timeout_ms: u64,
    /// Time to the whole answer, or to the first event, that is worth most.
    pub target_ms: u64,
    /// Rank; 0 is the most urgent.
    pub urgency: u8,
    /// The services that take the requests.
    pub targets: Vec<RouteTarget>,
    /// Most upstreams that one attempt of a caller may be sent to.
    pub attempt_limit: u32,
    /// Whether no key is needed.
    pub is_public: bool,
    /// Whether requests name the parts of their prompt.
    pub has_prompt_parts: bool,
    /// Longest pause between two events.
    pub pause_target_ms: Option<u64>,
}

/// Shortest time for which callers wait for an event.
const PATIENCE_LEAST_MS: u64 = 2_000;
/// Time for which callers wait for an event, as a multiple of the target.
const PATIENCE_TARGETS: u64 = 4;
/// Time for which callers wait for an event, as a multiple of the longest pause.
const PATIENCE_PAUSES: u64 = 8;

impl Route {
    /// Time after which callers leave if nothing comes.
    pub fn patience_ms(&self) -> u64 {
        if !self.repeat.is_stream() {
            return self.timeout_ms;
        }
        PATIENCE_LEAST_MS
            .max(self.target_ms * PATIENCE_TARGETS)
            .max(self.pause_target_ms.unwrap_or(0) * PATIENCE_PAUSES)
    }
}

/// A service that routes lead to.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Service {
    /// The path of its health check.
    pub health_path: String,
    /// Connections that one upstream takes from all callers together.
    pub connection_limit: usize,
    /// What its model engines can do; absent for plain services.
    pub engine: Option<EngineTraits>,
    /// Bounds and prices of its capacity; absent if capacity can't be ordered.
    pub capacity: Option<CapacityLimits>,
}

/// What the model engines of a service can do.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EngineTraits {
    /// Requests run at once.
    pub slots: u64,
    /// Prompt tokens held in memory.
    pub cache_tokens: u64,
    /// Tokens in one event of a stream.
    pub event_tokens: u64,
}

/// Bounds and prices of a service's capacity. Bounds hold for each availability zone.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct CapacityLimits {
    /// Fewest upstreams.
    pub min: u32,
    /// Most upstreams.
    pub max: u32,
    /// Time until an ordered upstream serves.
    pub start_ms: u64,
    /// Price of a reclaimable upstream relative to one that is not.
    pub reclaimable_price: Option<f64>,
    /// Relative price by availability zone.
    pub zone_prices: BTreeMap<String, f64>,
}

/// An organisation that callers belong to.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Organisation {
    /// Its name.
    pub name: String,
    /// The keys of its callers.
    pub keys: Vec<String>,
    /// Its rank, which goes before the route's.
    pub urgency: Option<u8>,
    /// Its cap over all instances.
    pub cap: Option<UsageCap>,
}

/// What a cap counts.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CapUnit {
    /// Each request counts one.
    Requests,
    /// Each request counts its tokens in and its most tokens out.
    Tokens,
}

/// The cap on what an organisation may use.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct UsageCap {
    /// What is counted.
    pub unit: CapUnit,
    /// Units allowed a second.
    pub per_second: f64,
    /// Units that may be saved up.
    pub burst: f64,
    /// Units of a request that states no tokens.
    pub default_units: f64,
}

/// Limits on what callers may send.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallerLimits {
    /// Largest sum of header names and values.
    pub header_bytes: usize,
    /// Largest body.
    pub body_bytes: usize,
    /// Time for the headers to arrive.
    pub header_timeout_ms: u64,
    /// Time for which a connection may stay idle.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16_384,
            body_bytes: 4_194_304,
            header_timeout_ms: 5_000,
            idle_timeout_ms: 30_000,
        }
    }
}
