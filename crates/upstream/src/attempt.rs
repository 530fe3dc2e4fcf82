//! The borders to engines and services.

use std::net::SocketAddr;

use hickorycourse_codes::{ErrorCode, Execution};
use hickorycourse_store::LocalFuture;
use ntex::http::HeaderMap;
use ntex::util::Bytes;
use serde_json::Value;

use crate::chat::EngineEvent;
use crate::load::UpstreamReport;

/// Why an attempt failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptErrorKind {
    /// No connection was made, so nothing of the request left.
    NotConnected,
    /// The connection broke before the answer was whole.
    Broken,
    /// Nothing came within the limit.
    Silent,
    /// The answer could not be understood.
    Nonsense,
    /// The answer belongs to another request.
    Crossed,
    /// The upstream answered with an error status.
    Rejected {
        /// The status.
        status: u16,
    },
}

/// A failed attempt.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{detail}")]
pub struct AttemptError {
    /// Why.
    pub kind: AttemptErrorKind,
    /// One sentence.
    pub detail: String,
}

impl AttemptError {
    /// Creates one.
    pub fn new(kind: AttemptErrorKind, detail: impl Into<String>) -> Self {
        Self { kind, detail: detail.into() }
    }

    /// What is known of the execution.
    pub fn execution(&self) -> Execution {
        match self.kind {
            AttemptErrorKind::NotConnected => Execution::NotRun,
            _ => Execution::MayHaveRun,
        }
    }

    /// The code that a caller gets if this attempt was the last.
    pub fn code(&self) -> ErrorCode {
        match self.kind {
            AttemptErrorKind::NotConnected => ErrorCode::UpstreamRefused,
            AttemptErrorKind::Broken | AttemptErrorKind::Rejected { .. } => {
                ErrorCode::UpstreamFailed
            }
            AttemptErrorKind::Silent => ErrorCode::UpstreamTimeout,
            AttemptErrorKind::Nonsense | AttemptErrorKind::Crossed => ErrorCode::UpstreamNonsense,
        }
    }

    /// Whether the request itself is at fault, so that another upstream would say the same.
    pub fn is_fault_of_request(&self) -> bool {
        matches!(self.kind, AttemptErrorKind::Rejected { status } if (400..500).contains(&status)
            && status != 408 && status != 429)
    }
}

/// Where an upstream is and which of its pooled connections may be used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UpstreamAddress {
    /// Its address.
    pub address: SocketAddr,
    /// Connections of older generations are not used again.
    pub generation: u64,
}

/// A call to an engine.
#[derive(Debug)]
pub struct EngineCall<'a> {
    /// Where.
    pub upstream: UpstreamAddress,
    /// Names the attempt; the engine puts it into each chunk's id.
    pub attempt_id: &'a str,
    /// The chat-completions request.
    pub body: &'a Value,
    /// The trace.
    pub traceparent: &'a str,
    /// Longest wait for the first byte.
    pub first_byte_timeout_ms: u64,
    /// Longest wait between two chunks.
    pub token_timeout_ms: u64,
}

/// An answer that comes in chunks. Dropping it cancels the attempt.
pub trait TokenStream {
    /// Waits for the next event. After [`EngineEvent::End`] or an error there is nothing more.
    fn next(&mut self) -> LocalFuture<'_, Result<EngineEvent, AttemptError>>;
}

/// Model engines.
pub trait Engine {
    /// Starts a streamed answer.
    fn stream<'a>(
        &'a self,
        call: EngineCall<'a>,
    ) -> LocalFuture<'a, Result<Box<dyn TokenStream>, AttemptError>>;

    /// Asks for a whole answer.
    fn complete<'a>(&'a self, call: EngineCall<'a>)
    -> LocalFuture<'a, Result<Value, AttemptError>>;

    /// Reads an engine's report on its load and its cache since the event `after`.
    fn read_report(
        &self,
        address: SocketAddr,
        after: u64,
    ) -> LocalFuture<'_, Result<UpstreamReport, AttemptError>>;
}

/// A call to a plain service.
#[derive(Debug)]
pub struct ServiceCall<'a> {
    /// Where.
    pub upstream: UpstreamAddress,
    /// Names the attempt; a service that echoes it must echo this one.
    pub attempt_id: &'a str,
    /// The method.
    pub method: &'a str,
    /// The path and query.
    pub path_and_query: &'a str,
    /// The headers, already without those of the hop.
    pub headers: &'a HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Whether a connection of its own is opened, so that a failure to connect proves that nothing
    /// was sent.
    pub is_non_idempotent: bool,
    /// Longest wait for the first byte.
    pub first_byte_timeout_ms: u64,
    /// Longest wait between two parts of the body.
    pub body_timeout_ms: u64,
    /// Largest body.
    pub body_limit_bytes: usize,
}

/// A whole answer of a plain service.
#[derive(Debug)]
pub struct ServiceAnswer {
    /// The status.
    pub status: u16,
    /// The headers, without those of the hop.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// Plain services.
pub trait Service {
    /// Sends a call and waits for the whole answer.
    fn call<'a>(
        &'a self,
        call: ServiceCall<'a>,
    ) -> LocalFuture<'a, Result<ServiceAnswer, AttemptError>>;
}
