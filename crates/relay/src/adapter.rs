//! Traits and types that a platform's adapter implements and uses.

use std::collections::BTreeMap;
use std::rc::Rc;

use hickorycourse_duties::CapacityOrder;
use hickorycourse_permits::RateLimit;
use hickorycourse_placement::PromptPart;
use hickorycourse_routes::{RouteDocument, UpstreamEntry};
use hickorycourse_store::LocalFuture;
use http::{HeaderMap, Request};

/// Metadata in a caller's request headers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestMetadata {
    /// Identifier that the caller gave this request; a retry by the caller has another one.
    pub request_id: Option<String>,
    /// Time in milliseconds that the caller will wait; absent if not stated.
    pub deadline_ms: Option<u64>,
    /// The caller's API key.
    pub key: Option<String>,
    /// Parts of the prompt, in order.
    pub parts: Vec<PromptPart>,
    /// Token counts; absent if not stated.
    pub tokens: Option<TokenCounts>,
    /// The caller's estimate of the number of output tokens; absent if not stated, 0 if it can't be read.
    pub length_hint: Option<u64>,
    /// The last event that the caller has received, when it resumes an interrupted stream.
    pub last_event_id: Option<u64>,
    /// The request that brought the first event of that stream; absent if not stated.
    pub resumed_request_id: Option<String>,
}

impl RequestMetadata {
    /// Returns the hashes of the prompt's parts without the last one, which only this request has.
    pub fn shared_parts(&self) -> Rc<[u64]> {
        let shared = self.parts.len().saturating_sub(1);
        self.parts[..shared].iter().map(|part| part.hash).collect()
    }
}

/// Token counts of a request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TokenCounts {
    /// Prompt tokens.
    pub prompt: u64,
    /// Maximum number of tokens to generate.
    pub max_output: u64,
}

/// Metadata that is sent to an upstream in addition to the caller's headers.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamRequestMetadata<'a> {
    /// Milliseconds left until the deadline.
    pub deadline_ms: u64,
    /// The upstream that the request is intended for.
    pub upstream: &'a str,
    /// The caller's organisation; absent on routes without keys.
    pub organisation: Option<&'a str>,
    /// Urgency rank; 0 is the most urgent.
    pub urgency: u8,
    /// Whether the upstream is a language-model engine.
    pub is_engine: bool,
    /// The event after which the stream resumes.
    pub last_event_id: Option<u64>,
}

/// Metadata in the head of an upstream's response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseMetadata {
    /// The request that the response belongs to.
    pub request_id: Option<String>,
    /// Whether the upstream guarantees that the request has not run and never will.
    pub is_not_run: bool,
    /// The upstream's load; absent if not reported.
    pub load: Option<LoadReport>,
    /// Whether the upstream announces that it is leaving.
    pub is_leaving: bool,
    /// Time for which the upstream wants no further requests; absent if not stated.
    pub backoff: Option<BackoffRequest>,
    /// What the head says of the upstream's rate limit.
    pub limit: NamedLimit,
    /// What the head says of the requests a second that the upstream can turn away.
    pub tolerance: NamedLimit,
}

/// What the head of a response says of the requests a second that its upstream takes from all instances
/// together, or can turn away.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum NamedLimit {
    /// The response comes from another upstream, or from what rejects requests before the upstream.
    #[default]
    Unknown,
    /// There is no limit.
    Unlimited,
    /// There is a limit.
    Limited(RateLimit),
    /// A value that is no rate, for the log; it neither names nor ends a limit.
    Invalid(String),
}

/// What an upstream reports of itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamReport {
    /// It is the upstream that was asked, and runs since this wall-clock time in milliseconds since the Unix epoch.
    Running {
        /// Time of its start.
        started_at_ms: u64,
    },
    /// Another upstream listens at the address.
    OtherUpstream,
    /// The response does not tell.
    Unknown,
}

/// Time for which an upstream that has rejected a request wants no further ones.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BackoffRequest {
    /// Duration in milliseconds.
    DurationMs(u64),
    /// A value that is no duration, for the log; no backoff is observed.
    Invalid(String),
}

/// Load that an upstream reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadReport {
    /// Running requests.
    pub running: u64,
    /// Queued requests.
    pub waiting: u64,
    /// Time that work takes on the upstream's host at this moment, in percent of the usual time;
    /// absent if not reported.
    pub pace_percent: Option<u64>,
}

/// Decoded item of the platform's store.
#[derive(Clone, Debug, PartialEq)]
pub enum PlatformItem {
    /// The operators' document.
    Document(Box<RouteDocument>),
    /// An upstream.
    Upstream(UpstreamEntry),
    /// An item that the adapter does not define, such as those that the relays write.
    Other,
}

/// Kind of item that a store key identifies.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlatformKey<'a> {
    /// The operators' document.
    Document,
    /// The upstream with this id.
    Upstream(&'a str),
    /// A key that the adapter does not define.
    Other,
}

/// Translates between a platform's messages and this crate's types.
pub trait Protocol: Send + Sync {
    /// Reads the metadata in a caller's request headers.
    ///
    /// # Errors
    /// Describes the invalid header; the text is part of the response to the caller.
    fn read_request_headers(&self, headers: &HeaderMap) -> Result<RequestMetadata, String>;

    /// Replaces reserved headers, which callers may not set, by the metadata of the call.
    fn write_upstream_headers(&self, call: &UpstreamRequestMetadata<'_>, headers: &mut HeaderMap);

    /// Reads the metadata in the head of an upstream's response.
    fn read_response_head(&self, status: u16, headers: &HeaderMap) -> ResponseMetadata;

    /// Returns the request for the report of an upstream on itself.
    fn make_report_request(&self, upstream: &str) -> Request<()>;

    /// Reads the report of an upstream on itself.
    fn read_report(&self, status: u16, body: &[u8]) -> UpstreamReport;

    /// Formats the value of a `Retry-After` header.
    fn format_retry_after(&self, retry_after_ms: u64) -> String;

    /// Returns the kind of item that a key identifies.
    fn classify_key<'a>(&self, key: &'a str) -> PlatformKey<'a>;

    /// Decodes an item of the store.
    ///
    /// # Errors
    /// Describes why the item is invalid; the reason is logged, and an invalid upstream is not
    /// used.
    fn decode_item(&self, key: &str, value: &[u8]) -> Result<PlatformItem, String>;
}

/// Identity of the duty lease's holder, sent with each of its calls.
#[derive(Clone, Copy, Debug)]
pub struct DutyHolder<'a> {
    /// Name of the instance.
    pub instance: &'a str,
    /// Increases with each holder, so that the platform can reject calls of earlier holders.
    pub fencing_token: u64,
}

/// Failure of a duty's call to the platform.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum DutyError {
    /// The platform has no capacity of the ordered kind.
    #[error("no capacity of the ordered kind is available")]
    Unavailable,
    /// The call had no effect.
    #[error("rejected by the platform: {0}")]
    Refused(String),
    /// The call may have taken effect.
    #[error("unknown outcome: {0}")]
    Uncertain(String),
}

/// Calls to the platform that the holder of the duty lease makes.
pub trait DutyClient {
    /// Reports the number of requests that started to run in one usage window, by organisation.
    fn report_usage<'a>(
        &'a self,
        holder: DutyHolder<'a>,
        window: u64,
        counts: &'a BTreeMap<String, u64>,
    ) -> LocalFuture<'a, Result<(), DutyError>>;

    /// Orders a number of upstreams of a service.
    fn order_capacity<'a>(
        &'a self,
        holder: DutyHolder<'a>,
        service: &'a str,
        order: &'a CapacityOrder,
    ) -> LocalFuture<'a, Result<(), DutyError>>;
}
