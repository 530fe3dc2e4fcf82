//! The route document: the settings for relayed requests that operators maintain.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// All settings for relayed requests, as one versioned document.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RouteDocument {
    /// Increases with each change, not necessarily by one.
    pub version: u64,
    /// Routes in no particular order.
    pub routes: Vec<Route>,
    /// Services that routes refer to, by name.
    pub services: BTreeMap<String, Service>,
    /// Organisations with their API keys; `None` if requests need no key.
    pub organisations: Option<Vec<Organisation>>,
    /// Limits on the size and timing of callers' requests.
    pub limits: CallerLimits,
}

/// How often a request may be executed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RetrySemantics {
    /// Any number of times, so it may be retried.
    Idempotent,
    /// At most once; a retry by the caller counts as a new request.
    AtMostOnce,
    /// An event stream that can't be resumed; executed at most once.
    Stream,
    /// An event stream that may be resumed at another upstream after the last event received.
    ResumableStream,
}

impl RetrySemantics {
    /// Returns whether the request may be sent to a second upstream after the first one may have
    /// executed it.
    pub fn allows_reexecution(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Returns whether the response is an event stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// One of the services that a route sends requests to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RouteTarget {
    /// Name of the service.
    pub service: String,
    /// Share of the route's requests, relative to the weights of the other targets.
    pub weight: u32,
}

/// Rule that sends requests for a host and path prefix to services.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host name that requests must have, compared without regard to case.
    pub host: String,
    /// Prefix of the request path, with a slash at both ends.
    pub path_prefix: String,
    /// How often a request may be executed.
    pub repeat: RetrySemantics,
    /// Deadline of a request, from its arrival.
    pub timeout_ms: u64,
    /// Latency target: time to the complete response, or to the first event of a stream.
    pub target_ms: u64,
    /// Priority rank; 0 is the most urgent.
    pub urgency: u8,
    /// Services that receive the requests, chosen by weight.
    pub targets: Vec<RouteTarget>,
    /// Maximum number of attempts to send a request to an upstream; a retry by the caller counts as a
    /// new request.
    pub attempt_limit: u32,
    /// Whether requests are accepted without a key.
    pub is_public: bool,
    /// Whether requests identify the parts of their prompt.
    pub has_prompt_parts: bool,
    /// Target for the longest pause between two events of a stream; `None` for no target.
    pub pause_target_ms: Option<u64>,
}

/// Minimum patience of callers of streams; see [`Route::patience_ms`].
const MIN_PATIENCE_MS: u64 = 2_000;
/// Patience of callers of streams, as a multiple of the latency target.
const PATIENCE_PER_TARGET: u64 = 4;
/// Patience of callers of streams, as a multiple of the pause target.
const PATIENCE_PER_PAUSE: u64 = 8;

impl Route {
    /// Returns the callers' patience, as queueing theory calls it: the time after which they are
    /// assumed to abandon a request without a response or, for a stream, without an event.
    pub fn patience_ms(&self) -> u64 {
        if !self.repeat.is_stream() {
            return self.timeout_ms;
        }
        MIN_PATIENCE_MS
            .max(self.target_ms * PATIENCE_PER_TARGET)
            .max(self.pause_target_ms.unwrap_or(0) * PATIENCE_PER_PAUSE)
    }
}

/// A set of interchangeable upstreams that routes send requests to.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Service {
    /// Path of the upstreams' health check.
    pub health_path: String,
    /// Maximum number of connections that one upstream accepts, over all of its clients.
    pub connection_limit: usize,
    /// Properties of its model engines; `None` for services that are not language models.
    pub engine: Option<EngineTraits>,
    /// Bounds and prices of its capacity; `None` if capacity can't be ordered.
    pub capacity: Option<CapacityLimits>,
}

/// Properties of the model engines of a service.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EngineTraits {
    /// Requests that one engine processes concurrently.
    pub slots: u64,
    /// Capacity of one engine's prefix cache, in tokens.
    pub cache_tokens: u64,
    /// Tokens in one event of a response stream.
    pub event_tokens: u64,
}

/// Bounds and prices of a service's capacity. Bounds apply to each availability zone.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct CapacityLimits {
    /// Minimum number of upstreams.
    pub min: u32,
    /// Maximum number of upstreams.
    pub max: u32,
    /// Duration from the order of an upstream until it accepts requests.
    pub start_ms: u64,
    /// Price of a reclaimable upstream relative to an on-demand one; `None` if there are no
    /// reclaimable ones.
    pub reclaimable_price: Option<f64>,
    /// Price multiplier by availability zone; 1 where absent.
    pub zone_prices: BTreeMap<String, f64>,
}

/// An organisation that callers belong to.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Organisation {
    /// Name of the organisation.
    pub name: String,
    /// API keys of its callers.
    pub keys: Vec<String>,
    /// Priority rank that overrides the route's; `None` to use the route's.
    pub urgency: Option<u8>,
    /// Usage cap over all instances; `None` if its usage is not capped.
    pub cap: Option<UsageCap>,
}

/// Unit that a usage cap counts.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CapUnit {
    /// Each request counts as one.
    Requests,
    /// Each request counts its prompt tokens plus its maximum number of response tokens.
    Tokens,
}

/// Rate limit on an organisation's usage, a token bucket.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct UsageCap {
    /// Unit that is counted.
    pub unit: CapUnit,
    /// Sustained rate, in units per second.
    pub per_second: f64,
    /// Bucket size: units that may accumulate unused and be spent at once.
    pub burst: f64,
    /// Units charged for a request that does not specify its number of tokens.
    pub default_units: f64,
}

/// Limits on the size and timing of callers' requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallerLimits {
    /// Maximum total size of header names and values.
    pub header_bytes: usize,
    /// Maximum size of a request body.
    pub body_bytes: usize,
    /// Timeout for receiving the headers.
    pub header_timeout_ms: u64,
    /// Time after which an idle connection is closed.
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
