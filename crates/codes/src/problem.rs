//! The problem document returned to callers on errors.

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::ErrorCode;

/// Whether a failed call has run, as far as it is known.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Execution {
    /// The call certainly has not run and never will.
    NotRun,
    /// The call may have run; only a retry with the same idempotency key is safe.
    MayHaveRun,
    /// The call has run.
    Ran,
}

impl Execution {
    /// Execution state of a failed call: `MayHaveRun` if one of its attempts may have run, else `NotRun`.
    pub const fn after_attempts(has_possibly_run: bool) -> Self {
        if has_possibly_run { Self::MayHaveRun } else { Self::NotRun }
    }

    /// The value in problem documents and headers.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::MayHaveRun => "may_have_run",
            Self::Ran => "ran",
        }
    }
}

/// A refusal or failure, serialized as `application/problem+json` (RFC 9457) with the `error` object
/// that clients of the chat-completions protocol expect.
#[derive(Clone, Debug, PartialEq)]
pub struct Problem {
    /// The error code.
    pub code: ErrorCode,
    /// Human-readable explanation of this occurrence; the code's title by default.
    pub detail: String,
    /// Whether the call has run.
    pub execution: Execution,
    /// Recommended delay before a retry; `None` without a recommendation.
    pub retry_after_ms: Option<u64>,
}

impl Problem {
    /// Creates a problem with the title and execution state of the code.
    pub fn new(code: ErrorCode) -> Self {
        Self {
            code,
            detail: code.title().to_owned(),
            execution: code.default_execution(),
            retry_after_ms: None,
        }
    }

    /// Sets the explanation of this occurrence.
    pub fn with_detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = detail.into();
        self
    }

    /// Sets whether the call has run.
    pub fn with_execution(mut self, execution: Execution) -> Self {
        self.execution = execution;
        self
    }

    /// Sets the delay before a retry, in seconds.
    pub fn with_retry_after_s(self, retry_after_s: u64) -> Self {
        self.with_retry_after_ms(retry_after_s * 1_000)
    }

    /// Sets the delay before a retry, in milliseconds.
    pub fn with_retry_after_ms(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }

    /// Delay before a retry, rounded up to whole seconds, for the `Retry-After` header (RFC 9110,
    /// 10.2.3).
    pub fn retry_after_s(&self) -> Option<u64> {
        self.retry_after_ms.map(|retry_after_ms| retry_after_ms.div_ceil(1_000))
    }

    /// The HTTP status of the response.
    pub fn status(&self) -> u16 {
        self.code.status()
    }

    /// Serializes the problem document; `request_id` is included in it.
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
