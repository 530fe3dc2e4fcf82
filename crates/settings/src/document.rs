//! The values that the platform's key-value service holds, and their changes.
//!
//! One value holds the site, one each organisation. A change names the revision that the operator
//! has read; another revision in store is a conflict and nothing is overwritten. Each change has an
//! id, and a short ring of past changes stands in the value itself: when the answer to a write is
//! lost, reading the value back and looking for the id tells whether the write took effect.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{Fault, Organisation, Site, parse_document};

/// Changes kept in a value.
pub const HISTORY_LENGTH: usize = 32;

/// The name of a document of the tree.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DocumentName {
    /// The site.
    Site,
    /// One organisation.
    Organisation(String),
}

/// The prefix of all documents in the key-value service.
pub const KEY_PREFIX: &str = "hickorycourse/settings/";

impl DocumentName {
    /// The key in the key-value service.
    pub fn to_key(&self) -> String {
        format!("{KEY_PREFIX}{self}")
    }

    /// Reads a key of the key-value service.
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

/// One change in the history.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Change {
    /// The change's id, unique for each try of an operator.
    pub id: String,
    /// The revision that it made.
    pub revision: u64,
    /// When, by the clock of the instance that wrote it, since the Unix epoch.
    pub at_ms: u64,
    /// Who, as the operator's tool named itself.
    pub operator: String,
    /// What, in a sentence.
    pub summary: String,
}

/// A value of the key-value service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Document {
    /// Counts the changes, from 1.
    pub revision: u64,
    /// The last changes, oldest first.
    pub changes: VecDeque<Change>,
    /// The text that the operators wrote, with their comments.
    pub text: String,
}

/// A change that an operator asks for.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Edit {
    /// The change's id.
    pub id: String,
    /// The revision that the operator has read; 0 for a document that is to be created.
    pub read_revision: u64,
    /// When, since the Unix epoch.
    pub at_ms: u64,
    /// Who.
    pub operator: String,
    /// What, in a sentence.
    pub summary: String,
    /// The new text.
    pub text: String,
}

/// Why a change is refused.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EditError {
    /// The document has another revision than the operator has read.
    Conflict {
        /// The revision in store.
        stored_revision: u64,
    },
    /// The new text is not valid.
    Invalid(Vec<Fault>),
}

impl Document {
    /// Applies a change to what is in store. A change that is already in the history is applied
    /// once only: the stored document comes back as it is.
    ///
    /// # Errors
    /// [`EditError::Conflict`] if the operator has read another revision, [`EditError::Invalid`] if
    /// the text is not a valid document of this name.
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

    /// Tells whether a change stands in the history.
    pub fn contains_change(&self, id: &str) -> bool {
        self.changes.iter().any(|change| change.id == id)
    }

    /// The document as JSON, for the key-value service.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a document has only text keys")
    }

    /// Reads a value of the key-value service.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(bytes)
    }
}

/// Checks a document's text by the rules for its name.
pub fn check_text(name: &DocumentName, text: &str) -> Result<(), Vec<Fault>> {
    match name {
        DocumentName::Site => parse_document::<Site>(text).map(|_| ()),
        DocumentName::Organisation(expected) => {
            let organisation = parse_document::<Organisation>(text)?;
            if &organisation.organisation == expected {
                return Ok(());
            }
            let message = format!("found `{}`, expected `{expected}`", organisation.organisation);
            Err(vec![Fault { path: "organisation".to_owned(), line: 1, message }])
        }
    }
}

/// Turns a part of a tree into the text of its document.
pub fn write_text<T: Serialize>(part: &T) -> String {
    let value: Value = serde_json::to_value(part).expect("settings have only text keys");
    let mut text = serde_json::to_string_pretty(&value).expect("a JSON value can be written");
    text.push('\n');
    text
}
