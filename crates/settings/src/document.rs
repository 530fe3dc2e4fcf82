//! Versioned settings documents in the platform's key-value service, and edits to them.
//!
//! The site and each organisation are stored under one key each. Edits use optimistic concurrency
//! control: an edit carries the revision that it is based on, and is rejected as a conflict if the
//! stored revision differs. Each edit also has an id, and the stored value includes a bounded
//! history of past edits. When the response to a write is lost, the writer reads the value back and
//! looks the id up in the history to find out whether the write took effect.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{Organisation, Site, ValidationError, parse_document};

/// Maximum number of changes in a document's history; the oldest is evicted first.
pub const HISTORY_LENGTH: usize = 32;

/// Identifies a document of the settings tree. The text form is `site` or `organisation/NAME`.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DocumentName {
    /// The site, which is common to all organisations.
    Site,
    /// The organisation of this name.
    Organisation(String),
}

/// Prefix of the keys of all documents in the key-value service.
pub const KEY_PREFIX: &str = "hickorycourse/settings/";

impl DocumentName {
    /// Returns the document's key in the key-value service.
    pub fn to_key(&self) -> String {
        format!("{KEY_PREFIX}{self}")
    }

    /// Parses a key of the key-value service; `None` if it is not the key of a document.
    pub fn from_key(key: &str) -> Option<Self> {
        key.strip_prefix(KEY_PREFIX)?.parse().ok()
    }
}

impl std::fmt::Display for DocumentName {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Site => formatter.write_str("site"),
            Self::Organisation(name) => write!(formatter, "organisation/{name}"),
        }
    }
}

impl std::str::FromStr for DocumentName {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text.split_once('/') {
            None if text == "site" => Ok(Self::Site),
            Some(("organisation", name)) if !name.is_empty() => {
                Ok(Self::Organisation(name.to_owned()))
            }
            _ => Err(format!("found `{text}`, allowed is `site` or `organisation/NAME`")),
        }
    }
}

/// An entry in a document's history.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Change {
    /// Id of the edit; the same when the edit is repeated, so that it is applied only once.
    pub id: String,
    /// Revision of the document after this change.
    pub revision: u64,
    /// Time of the change in milliseconds since the Unix epoch, by the clock of the instance that
    /// wrote it.
    pub at_ms: u64,
    /// Name of the operator, as reported by the operator's tool.
    pub operator: String,
    /// Description of the change in one sentence.
    pub summary: String,
}

/// A settings document as stored in the key-value service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Document {
    /// Incremented by each change; the first revision is 1.
    pub revision: u64,
    /// The most recent changes, oldest first, at most [`HISTORY_LENGTH`].
    pub changes: VecDeque<Change>,
    /// Source text in JSON with comments, as written by the operators.
    pub text: String,
}

/// A request to replace the text of a document.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Edit {
    /// Id of the edit; an edit whose id is already in the history is not applied again.
    pub id: String,
    /// Revision that the edit is based on; 0 to create the document.
    pub read_revision: u64,
    /// Time of the edit in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Name of the operator.
    pub operator: String,
    /// Description of the change in one sentence.
    pub summary: String,
    /// New source text of the document.
    pub text: String,
}

/// Why an edit is rejected.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EditError {
    /// The stored revision differs from the one that the edit is based on.
    Conflict {
        /// Current revision of the document; 0 if it does not exist.
        stored_revision: u64,
    },
    /// The new text fails validation.
    Invalid(Vec<ValidationError>),
}

impl Document {
    /// Applies an edit to the stored document and returns the new document. Idempotent: if the
    /// history already contains the edit's id, the stored document is returned unchanged.
    ///
    /// # Errors
    /// [`EditError::Conflict`] if the edit is based on another revision than the stored one,
    /// [`EditError::Invalid`] if the text is not a valid document of this name.
    pub fn apply(
        stored: Option<&Self>,
        name: &DocumentName,
        edit: &Edit,
    ) -> Result<Self, EditError> {
        if let Some(document) = stored
            && document.contains_change(&edit.id)
        {
            return Ok(document.clone());
        }
        let stored_revision = stored.map_or(0, |document| document.revision);
        if stored_revision != edit.read_revision {
            return Err(EditError::Conflict { stored_revision });
        }
        check_text(name, &edit.text).map_err(EditError::Invalid)?;
        let mut changes = stored.map(|document| document.changes.clone()).unwrap_or_default();
        changes.push_back(Change {
            id: edit.id.clone(),
            revision: stored_revision + 1,
            at_ms: edit.at_ms,
            operator: edit.operator.clone(),
            summary: edit.summary.clone(),
        });
        while changes.len() > HISTORY_LENGTH {
            changes.pop_front();
        }
        Ok(Self { revision: stored_revision + 1, changes, text: edit.text.clone() })
    }

    /// Returns whether the history contains the change with this id.
    pub fn contains_change(&self, id: &str) -> bool {
        self.changes.iter().any(|change| change.id == id)
    }

    /// Serializes the document as JSON for the key-value service.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("documents have only string keys")
    }

    /// Deserializes a value of the key-value service.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(bytes)
    }
}

/// Validates the text of the document of this name. An organisation's text must define
/// the organisation that the name refers to.
pub fn check_text(name: &DocumentName, text: &str) -> Result<(), Vec<ValidationError>> {
    match name {
        DocumentName::Site => parse_document::<Site>(text).map(|_| ()),
        DocumentName::Organisation(expected) => {
            let organisation = parse_document::<Organisation>(text)?;
            if &organisation.organisation == expected {
                return Ok(());
            }
            let message = format!("found `{}`, expected `{expected}`", organisation.organisation);
            Err(vec![ValidationError { path: "organisation".to_owned(), line: 1, message }])
        }
    }
}

/// Serializes a part of the settings tree as indented JSON with a final newline.
pub fn to_document_text<T: Serialize>(part: &T) -> String {
    let value: Value = serde_json::to_value(part).expect("settings have only string keys");
    let mut text = serde_json::to_string_pretty(&value).expect("JSON values are serializable");
    text.push('\n');
    text
}
