//! The active route document and the bound on its staleness.

use std::sync::Arc;

use crate::{RouteDocument, RouteTable};

/// Result of [`ActiveDocument::apply`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ApplyOutcome {
    /// The document is now active.
    Applied,
    /// The active document has the same or a higher version, so it is kept.
    NotNewer,
}

/// The route document that requests are served by. Its version only increases during the life of
/// the process.
#[derive(Clone, Debug, Default)]
pub struct ActiveDocument {
    table: Option<Arc<RouteTable>>,
    /// Latest time at which the active document was attested to be the newest one; `None` if there
    /// has been no attestation.
    attested_at_ms: Option<u64>,
}

impl ActiveDocument {
    /// Activates a document if it is newer than the active one.
    pub fn apply(&mut self, document: RouteDocument) -> ApplyOutcome {
        if self.version().is_some_and(|version| version >= document.version) {
            return ApplyOutcome::NotNewer;
        }
        self.table = Some(Arc::new(RouteTable::new(document)));
        ApplyOutcome::Applied
    }

    /// Records an attestation, by the platform's store or a peer instance, that no version newer than
    /// `version` existed at `at_ms`. It is ignored unless `version` is active.
    pub fn attest_freshness(&mut self, version: u64, at_ms: u64) {
        if self.version() == Some(version) {
            self.attested_at_ms = Some(self.attested_at_ms.map_or(at_ms, |known| known.max(at_ms)));
        }
    }

    /// Returns the route table of the active document; `None` before the first one.
    pub fn table(&self) -> Option<Arc<RouteTable>> {
        self.table.clone()
    }

    /// Returns the active version; `None` before the first document.
    pub fn version(&self) -> Option<u64> {
        self.table.as_ref().map(|table| table.document().version)
    }

    /// Returns the time since the active version was last attested to be the newest, in
    /// milliseconds; `None` if there has been no attestation.
    pub fn staleness_bound_ms(&self, now_ms: u64) -> Option<u64> {
        self.attested_at_ms.map(|at_ms| now_ms.saturating_sub(at_ms))
    }
}
