//! Validation errors in settings documents.

use serde::{Deserialize, Serialize};

/// A validation error in a settings document.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ValidationError {
    /// Path of the invalid value, such as `services.orders.path_prefix`; empty for the whole
    /// document.
    pub path: String,
    /// Line in the source text, starting from 1; 0 if there is no source text.
    pub line: usize,
    /// The value found and the values allowed.
    pub message: String,
}

impl ValidationError {
    /// Creates an error with line 0; [`parse_document`](crate::parse_document) sets the line.
    pub fn new(path: impl Into<String>, message: impl Into<String>) -> Self {
        Self { path: path.into(), line: 0, message: message.into() }
    }
}

impl std::fmt::Display for ValidationError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let path = if self.path.is_empty() { "." } else { &self.path };
        write!(formatter, "line {}: {}: {}", self.line, path, self.message)
    }
}
