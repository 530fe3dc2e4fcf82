//! What a platform's adapter brings.

use std::collections::BTreeMap;

use hickorycourse_duties::CapacityOrder;
use hickorycourse_placement::PromptPart;
use hickorycourse_routes::{RouteDocument, UpstreamEntry};
use hickorycourse_store::LocalFuture;
use http::HeaderMap;

/// What a caller's headers say.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestMetadata {
    /// Names one attempt of the caller.
    pub request_id: Option<String>,
    /// Time that the caller will wait.
    pub deadline_ms: Option<u64>,
    /// The key of the caller.
    pub key: Option<String>,
    /// The parts of the prompt in order.
    pub parts: Vec<PromptPart>,
    /// Prompt tokens and most tokens generated, if stated.
    pub tokens: Option<TokenCounts>,
    /// The last event that the caller has seen of a stream that broke off.
    pub last_event_id: Option<u64>,
}

/// The tokens of a request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TokenCounts {
    /// Prompt tokens.
    pub prompt: u64,
    /// Most tokens generated.
    pub max_output: u64,
}

/// What an upstream is told beside the caller's own headers.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamRequestMetadata<'a> {
    /// Time left.
    pub deadline_ms: u64,
    /// The upstream that the call is meant for.
    pub upstream: &'a str,
    /// The caller's organisation.
    pub organisation: Option<&'a str>,
    /// Rank; 0 is the most urgent.
    pub urgency: u8,
    /// Whether the upstream is a model engine.
    pub is_engine: bool,
    /// The event after which the stream goes on.
    pub last_event_id: Option<u64>,
}

/// What the head of an upstream's answer says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseMetadata {
    /// The request that it answers.
    pub request_id: Option<String>,
    /// The upstream states that the request has not run and never will.
    pub is_not_run: bool,
    /// Requests that run and wait there.
    pub load: Option<LoadReport>,
}

/// An upstream's word on its load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u64,
    /// Requests that wait.
    pub waiting: u64,
}

/// An item that others than this system keep in the platform's store.
#[derive(Clone, Debug, PartialEq)]
pub enum PlatformItem {
    /// What operators have set.
    Document(Box<RouteDocument>),
    /// An upstream.
    Upstream(UpstreamEntry),
    /// Nothing that concerns this system.
    Other,
}

/// What the key of a store item stands for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlatformKey<'a> {
    /// What operators have set.
    Document,
    /// The upstream with this id.
    Upstream(&'a str),
    /// Nothing that concerns this system.
    Other,
}

/// Translates between a platform's messages and this system's types.
pub trait Protocol: Send + Sync {
    /// Reads what a caller's headers say.
    ///
    /// # Errors
    /// What is wrong with them.
    fn read_request_headers(&self, headers: &HeaderMap) -> Result<RequestMetadata, String>;

    /// Removes from a caller's headers what only this system may set, and sets it.
    fn write_upstream_headers(&self, call: &UpstreamRequestMetadata<'_>, headers: &mut HeaderMap);

    /// Reads the head of an upstream's answer.
    fn read_response_head(&self, status: u16, headers: &HeaderMap) -> ResponseMetadata;

    /// Writes the value of `Retry-After`.
    fn format_retry_after(&self, retry_after_ms: u64) -> String;

    /// Tells what a key stands for.
    fn classify_key<'a>(&self, key: &'a str) -> PlatformKey<'a>;

    /// Decodes an item.
    ///
    /// # Errors
    /// Why the item can't be used.
    fn decode_item(&self, key: &str, value: &[u8]) -> Result<PlatformItem, String>;
}

/// Who carries out a duty.
#[derive(Clone, Copy, Debug)]
pub struct DutyHolder<'a> {
    /// The instance.
    pub instance: &'a str,
    /// Rises with each holder.
    pub fencing_token: u64,
}

/// Why a duty's call failed.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum DutyError {
    /// The platform has none of what was ordered.
    #[error("none are available")]
    Unavailable,
    /// The call had no effect.
    #[error("the platform refused the call: {0}")]
    Refused(String),
    /// The call may have had its effect.
    #[error("the outcome is not known: {0}")]
    Uncertain(String),
}

/// Calls of the duties that one instance carries out for all.
pub trait DutyClient {
    /// Reports the runs of one window.
    fn report_usage<'a>(
        &'a self,
        holder: DutyHolder<'a>,
        window: u64,
        counts: &'a BTreeMap<String, u64>,
    ) -> LocalFuture<'a, Result<(), DutyError>>;

    /// Orders a number of upstreams.
    fn order_capacity<'a>(
        &'a self,
        holder: DutyHolder<'a>,
        service: &'a str,
        order: &'a CapacityOrder,
    ) -> LocalFuture<'a, Result<(), DutyError>>;
}
