//! The document that tells a caller what went wrong.

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::ErrorCode;

/// What is known about the execution of a failed call.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Execution {
    /// Proved: the call did not run and never will.
    NotRun,
    /// The call may have run; only a repeat with the same idempotency key is safe.
    MayHaveRun,
    /// The call ran.
    Ran,
}

impl Execution {
    /// What is known after attempts of which some may have been worked on, or none.
    pub const fn after_attempts(has_possibly_run: bool) -> Self {
        if has_possibly_run { Self::MayHaveRun } else { Self::NotRun }
    }

    /// The word used in documents and headers.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::MayHaveRun => "may_have_run",
            Self::Ran => "ran",
        }
    }
}

/// A refusal or failure, in the shape of `application/problem+json` (RFC 9457) with the `error`
/// object that clients of the chat-completions protocol read.
#[derive(Clone, Debug, PartialEq)]
pub struct Problem {
    /// The numbered code.
    pub code: ErrorCode,
    /// One sentence on this occurrence.
    pub detail: String,
    /// What is known about the execution of the call.
    pub execution: Execution,
    /// When to come back.
    pub retry_after_ms: Option<u64>,
}

impl Problem {
    /// Starts a problem with what the code says by itself.
    pub fn new(code: ErrorCode) -> Self {
        Self {
            code,
            detail: code.title().to_owned(),
            execution: code.default_execution(),
            retry_after_ms: None,
        }
    }

    /// Replaces the sentence on this occurrence.
    pub fn with_detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = detail.into();
        self
    }

    /// States what is known about the execution.
    pub fn with_execution(mut self, execution: Execution) -> Self {
        self.execution = execution;
        self
    }

    /// Tells the caller when to come back.
    pub fn with_retry_after_s(self, retry_after_s: u64) -> Self {
        self.with_retry_after_ms(retry_after_s * 1_000)
    }

    /// Tells the caller when to come back.
    pub fn with_retry_after_ms(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }

    /// When to come back, in whole seconds, as `Retry-After` has it (RFC 9110, 10.2.3).
    pub fn retry_after_s(&self) -> Option<u64> {
        self.retry_after_ms.map(|retry_after_ms| retry_after_ms.div_ceil(1_000))
    }

    /// The HTTP status.
    pub fn status(&self) -> u16 {
        self.code.status()
    }

    /// The document's body.
    pub fn to_json(&self, request_id: &str) -> Value {
        json!({
            "type": format!("urn:hickorycourse:error:{}", self.code.number()),
            "title": self.code.title(),
            "status": self.status(),
            "detail": self.detail,
            "code": self.code.number(),
            "execution": self.execution,
            "request_id": request_id,
            "error": {
                "message": self.detail,
                "type": self.client_error_type(),
                "param": null,
                "code": self.code.number().to_string(),
            },
        })
    }

    fn client_error_type(&self) -> &'static str {
        match self.status() {
            401 => "authentication_error",
            403 => "permission_error",
            429 => "rate_limit_error",
            400..=499 => "invalid_request_error",
            _ => "server_error",
        }
    }
}

impl From<ErrorCode> for Problem {
    fn from(code: ErrorCode) -> Self {
        Self::new(code)
    }
}

impl std::fmt::Display for Problem {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "[{}] {}", self.code.number(), self.detail)
    }
}

impl std::error::Error for Problem {}
