//! The interface to engines and services, and the errors of an attempt.

use std::net::SocketAddr;

use hickorycourse_codes::{ErrorCode, Execution};
use hickorycourse_store::LocalFuture;
use ntex::http::HeaderMap;
use ntex::util::Bytes;
use serde_json::Value;

use crate::chat::EngineEvent;
use crate::load::UpstreamReport;

/// Why an attempt, that is one try of a request at one upstream, failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptErrorKind {
    /// No connection was established, so no part of the request was sent.
    NotConnected,
    /// The connection or the engine failed before the response was complete.
    Interrupted,
    /// No data was received within the timeout.
    TimedOut,
    /// The response is malformed or exceeds the size limit.
    InvalidResponse,
    /// The response carries the id of another attempt.
    IdMismatch,
    /// The upstream responded with a status outside 200 to 299.
    Rejected {
        /// HTTP status code.
        status: u16,
    },
}

/// A failed attempt.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{detail}")]
pub struct AttemptError {
    /// Kind of the failure.
    pub kind: AttemptErrorKind,
    /// Description of the failure, also the `Display` text.
    pub detail: String,
}

impl AttemptError {
    /// Creates an error of the given kind.
    pub fn new(kind: AttemptErrorKind, detail: impl Into<String>) -> Self {
        Self { kind, detail: detail.into() }
    }

    /// Whether the upstream may have executed the request.
    pub fn execution(&self) -> Execution {
        match self.kind {
            AttemptErrorKind::NotConnected => Execution::NotRun,
            _ => Execution::MayHaveRun,
        }
    }

    /// The error code returned to the caller if no further attempt is made.
    pub fn code(&self) -> ErrorCode {
        match self.kind {
            AttemptErrorKind::NotConnected => ErrorCode::UpstreamRefused,
            AttemptErrorKind::Interrupted | AttemptErrorKind::Rejected { .. } => {
                ErrorCode::UpstreamFailed
            }
            AttemptErrorKind::TimedOut => ErrorCode::UpstreamTimeout,
            AttemptErrorKind::InvalidResponse | AttemptErrorKind::IdMismatch => {
                ErrorCode::UpstreamNonsense
            }
        }
    }

    /// Whether the upstream rejected the request itself, so that a retry at another upstream would
    /// fail in the same way: a 4xx status except 408 and 429.
    pub fn is_request_rejected(&self) -> bool {
        matches!(self.kind, AttemptErrorKind::Rejected { status } if (400..500).contains(&status)
            && status != 408 && status != 429)
    }
}

/// Address of an upstream and the generation of its connection pool.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UpstreamAddress {
    /// Address that the upstream listens on.
    pub address: SocketAddr,
    /// Generation of the connection pool; pooled connections of older generations are not reused.
    pub generation: u64,
}

/// A call to an engine.
#[derive(Debug)]
pub struct EngineCall<'a> {
    /// Upstream that the call is sent to.
    pub upstream: UpstreamAddress,
    /// Id of the attempt, with which the id of every chunk must end.
    pub attempt_id: &'a str,
    /// Body of the chat-completions request.
    pub body: &'a Value,
    /// W3C trace context, the value of the `traceparent` header.
    pub traceparent: &'a str,
    /// Maximum wait for the response head; for a response that is not streamed, also the maximum
    /// interval between two parts of its body.
    pub first_byte_timeout_ms: u64,
    /// Maximum interval between two chunks of a streamed response.
    pub token_timeout_ms: u64,
}

/// A streamed response. Dropping it cancels the attempt.
pub trait TokenStream {
    /// Waits for the next event. No event follows [`EngineEvent::End`] or an error.
    fn next(&mut self) -> LocalFuture<'_, Result<EngineEvent, AttemptError>>;
}

/// Client for language-model engines.
pub trait Engine {
    /// Sends a call and returns its response as a stream.
    fn stream<'a>(
        &'a self,
        call: EngineCall<'a>,
    ) -> LocalFuture<'a, Result<Box<dyn TokenStream>, AttemptError>>;

    /// Sends a call and waits for the complete response.
    fn complete<'a>(&'a self, call: EngineCall<'a>)
    -> LocalFuture<'a, Result<Value, AttemptError>>;

    /// Fetches an upstream's report on its load and on the cache events since the last report.
    /// `after` is the [`next`](crate::CacheEvents::next) number of that report, 0 if there is none.
    fn read_report(
        &self,
        address: SocketAddr,
        after: u64,
    ) -> LocalFuture<'_, Result<UpstreamReport, AttemptError>>;
}

/// A call to a plain service.
#[derive(Debug)]
pub struct ServiceCall<'a> {
    /// Upstream that the call is sent to.
    pub upstream: UpstreamAddress,
    /// Id of the attempt, sent as request id; if the response carries a request id, it must be
    /// equal.
    pub attempt_id: &'a str,
    /// HTTP method.
    pub method: &'a str,
    /// Path and query of the URL.
    pub path_and_query: &'a str,
    /// Request headers, without hop-by-hop headers.
    pub headers: &'a HeaderMap,
    /// Request body.
    pub body: Bytes,
    /// Whether the call uses a new connection instead of a pooled one, so that a failure to connect
    /// proves that nothing was sent.
    pub is_non_idempotent: bool,
    /// Maximum wait for the response head.
    pub first_byte_timeout_ms: u64,
    /// Maximum interval between two parts of the response body.
    pub body_timeout_ms: u64,
    /// Maximum size of the response body.
    pub body_limit_bytes: usize,
}

/// A complete response of a plain service.
#[derive(Debug)]
pub struct ServiceResponse {
    /// HTTP status code.
    pub status: u16,
    /// Response headers, without hop-by-hop headers.
    pub headers: HeaderMap,
    /// Response body.
    pub body: Bytes,
}

/// Client for plain HTTP services.
pub trait Service {
    /// Sends a call and waits for the complete response, whatever its status.
    fn call<'a>(
        &'a self,
        call: ServiceCall<'a>,
    ) -> LocalFuture<'a, Result<ServiceResponse, AttemptError>>;
}
