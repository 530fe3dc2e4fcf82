//! Which document is in force and how fresh the proof of that is.

use std::sync::Arc;

use crate::{RouteDocument, RouteTable};

/// What became of an offered document.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OfferOutcome {
    /// It is in force now.
    Applied,
    /// The one in force is as new or newer.
    NotNewer,
}

/// The document in force. Versions only rise while the process lives.
#[derive(Clone, Debug, Default)]
pub struct InForce {
    table: Option<Arc<RouteTable>>,
    /// At this time the document in force was the newest one.
    proven_at_ms: Option<u64>,
}

impl InForce {
    /// Takes a document if it is newer than the one in force.
    pub fn offer(&mut self, document: RouteDocument) -> OfferOutcome {
        if self.version().is_some_and(|version| version >= document.version) {
            return OfferOutcome::NotNewer;
        }
        self.table = Some(Arc::new(RouteTable::new(document)));
        OfferOutcome::Applied
    }

    /// Notes that no version newer than `version` existed at `at_ms`. Ignored unless that version is
    /// in force.
    pub fn prove(&mut self, version: u64, at_ms: u64) {
        if self.version() == Some(version) {
            self.proven_at_ms = Some(self.proven_at_ms.map_or(at_ms, |known| known.max(at_ms)));
        }
    }

    /// The table of the document in force.
    pub fn table(&self) -> Option<Arc<RouteTable>> {
        self.table.clone()
    }

    /// The version in force.
    pub fn version(&self) -> Option<u64> {
        self.table.as_ref().map(|table| table.document().version)
    }

    /// Time since the version in force was known to be the newest.
    pub fn proof_age_ms(&self, now_ms: u64) -> Option<u64> {
        self.proven_at_ms.map(|at_ms| now_ms.saturating_sub(at_ms))
    }
}
