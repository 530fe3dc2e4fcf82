//! What instances tell each other. Times are ages, as the clocks of instances differ; serialized field
//! names are short, as every instance receives them several times a second.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Ends in a digest.
pub const MAX_ENDS: usize = 16;
/// Parts of all ends in a digest.
pub const MAX_PARTS: usize = 256;
/// Quarantined parts in a digest.
pub const MAX_QUARANTINED: usize = 64;
/// Cleared and lifted parts, and starts found alive, in a digest.
pub const MAX_NOTICES: usize = 32;

/// A part and the age of what is known of it, in milliseconds.
pub type AgedPart = (u64, u64);
/// A start of an upstream and the age of what is known of it, in milliseconds.
pub type AgedStart = (u64, u64);

/// The end of a start of an upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndDigest {
    /// Hash of the service of the upstream.
    #[serde(rename = "b")]
    pub service: u64,
    /// Hash of the upstream and its start.
    #[serde(rename = "s")]
    pub start: u64,
    /// Time since it ended.
    #[serde(rename = "a")]
    pub age_ms: u64,
    /// Parts of the attempts that broke before their answer was well begun, with their positions.
    #[serde(rename = "p")]
    pub parts: Vec<(u64, u8)>,
}

/// A quarantined part.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuarantinedDigest {
    /// Hash of the part.
    #[serde(rename = "p")]
    pub part: u64,
    /// Time since it was quarantined.
    #[serde(rename = "a")]
    pub age_ms: u64,
    /// Time since the latest request with it.
    #[serde(rename = "r")]
    pub last_request_age_ms: u64,
    /// Starts of upstreams that ended under it.
    #[serde(rename = "n")]
    pub starts: u64,
    /// Whether an operator keeps it.
    #[serde(rename = "k", default)]
    pub is_pinned: bool,
    /// Whether it is a whole request.
    #[serde(rename = "w", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_request: bool,
    /// Whether it was found although answers had begun on it before.
    #[serde(rename = "h", default, skip_serializing_if = "std::ops::Not::not")]
    pub had_answers: bool,
}

/// State of a [`PartQuarantine`](crate::PartQuarantine) for other instances.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuarantineDigest {
    /// Ends that no quarantined part explains.
    #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
    pub ends: Vec<EndDigest>,
    /// Parts on which answers have begun after an end under them.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub cleared: Vec<AgedPart>,
    /// Items under several ends on which answers have begun at any time. An instance that has not seen these
    /// answers would take the items for new.
    #[serde(rename = "b", default, skip_serializing_if = "Vec::is_empty")]
    pub begun: Vec<AgedPart>,
    /// Services of these ends, with the ages of their latest answers.
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    pub answers: Vec<AgedPart>,
    /// Starts that went on after an attempt had broken.
    #[serde(rename = "v", default, skip_serializing_if = "Vec::is_empty")]
    pub alive: Vec<AgedStart>,
    /// Quarantined parts.
    #[serde(rename = "q", default, skip_serializing_if = "Vec::is_empty")]
    pub quarantined: Vec<QuarantinedDigest>,
    /// Parts whose quarantine was lifted by an operator.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub lifted: Vec<AgedPart>,
}

/// Why a digest was not merged.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum MergeError {
    /// A list is longer than any instance sends.
    #[error("a list of the digest is too long")]
    TooLong,
    /// A quarantined part has fewer ends than a quarantine takes.
    #[error("a quarantined part has too few ends")]
    Unfounded,
}

impl QuarantineDigest {
    /// Returns whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self == &Self::default()
    }

    /// Adds `age_ms` to all ages, for a digest that was under way or stored for that time.
    pub fn add_age(&mut self, age_ms: u64) {
        let aged = self.cleared.iter_mut().chain(&mut self.alive).chain(&mut self.lifted);
        let aged = aged.chain(&mut self.begun).chain(&mut self.answers);
        let ages = aged.map(|(_, age_ms)| age_ms);
        let ages = ages.chain(self.ends.iter_mut().map(|end| &mut end.age_ms));
        for known in ages {
            *known = known.saturating_add(age_ms);
        }
        for quarantined in &mut self.quarantined {
            quarantined.age_ms = quarantined.age_ms.saturating_add(age_ms);
            quarantined.last_request_age_ms =
                quarantined.last_request_age_ms.saturating_add(age_ms);
        }
    }

    /// Returns whether the quarantined parts of `current` have to be stored in the place of these: they
    /// are others, another one is pinned, or requests with them came more than `max_lag_ms` later than
    /// is known here. Both have to be of the same age.
    pub fn is_outdated_by(&self, current: &Self, max_lag_ms: u64) -> bool {
        let stored: BTreeMap<u64, &QuarantinedDigest> =
            self.quarantined.iter().map(|known| (known.part, known)).collect();
        let is_current = |part: &QuarantinedDigest| {
            stored.get(&part.part).is_some_and(|known| {
                let lag_ms = known.last_request_age_ms.saturating_sub(part.last_request_age_ms);
                known.is_pinned == part.is_pinned && (part.is_pinned || lag_ms <= max_lag_ms)
            })
        };
        stored.len() != current.quarantined.len() || !current.quarantined.iter().all(is_current)
    }

    /// Checks the digest against the limits that each instance keeps.
    ///
    /// # Errors
    /// The first limit that it breaks.
    pub fn check(&self, min_starts: usize) -> Result<(), MergeError> {
        let is_short = self.ends.len() <= MAX_ENDS
            && self.ends.iter().map(|end| end.parts.len()).sum::<usize>() <= MAX_PARTS
            && self.quarantined.len() <= MAX_QUARANTINED
            && [&self.cleared, &self.alive, &self.lifted, &self.begun, &self.answers]
                .iter()
                .all(|list| list.len() <= MAX_NOTICES);
        if !is_short {
            return Err(MergeError::TooLong);
        }
        let is_founded =
            |part: &QuarantinedDigest| part.is_pinned || part.starts >= min_starts as u64;
        match self.quarantined.iter().all(is_founded) {
            true => Ok(()),
            false => Err(MergeError::Unfounded),
        }
    }
}
