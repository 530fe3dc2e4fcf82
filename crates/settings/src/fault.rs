//! What is wrong with a settings file.

use serde::{Deserialize, Serialize};

/// One fault in a document.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Fault {
    /// The path of the value, such as `services.orders.path_prefix`.
    pub path: String,
    /// The line in the text, from 1; 0 where the value does not stand in a text.
    pub line: usize,
    /// What was found and what is allowed.
    pub message: String,
}

impl Fault {
    /// Creates a fault whose line is not known yet.
    pub fn new(path: impl Into<String>, message: impl Into<String>) -> Self {
        Self { path: path.into(), line: 0, message: message.into() }
    }
}

impl std::fmt::Display for Fault {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let path = if self.path.is_empty() { "." } else { &self.path };
        write!(formatter, "line {}: {}: {}", self.line, path, self.message)
    }
}
