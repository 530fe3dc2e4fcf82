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
    /// Version that the store lists; `None` if it lists none or has not been read.
    stored_version: Option<u64>,
    restore: Option<StoreRestore>,
}

/// A restore of the store from a backup, after which versions that it had acknowledged may be missing
/// until the operators have written them again.
#[derive(Clone, Copy, Debug)]
struct StoreRestore {
    /// The active version at the restore.
    version: Option<u64>,
    /// Time until which the operators may still have to write a version again that is not known here.
    doubtful_until_ms: u64,
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

    /// Records the version that the store lists; `None` if it lists none.
    pub fn record_stored_version(&mut self, version: Option<u64>) {
        self.stored_version = version;
    }

    /// Records a response of the store to a call that began at `at_ms`. It attests the active version
    /// if the store lists that version. After a restore, an unchanged version is attested only once
    /// the operators have had time to write a newer one again.
    pub fn attest_by_store(&mut self, at_ms: u64) {
        let Some(version) = self.version().filter(|version| self.stored_version == Some(*version))
        else {
            return;
        };
        if let Some(restore) = self.restore {
            let is_written_again = restore.version.is_some_and(|known| known < version);
            if !is_written_again && at_ms < restore.doubtful_until_ms {
                return;
            }
            self.restore = None;
        }
        self.attest_freshness(version, at_ms);
    }

    /// Records that the store was restored from a backup. The active version stays in force.
    pub fn record_restore(&mut self, doubtful_until_ms: u64) {
        self.stored_version = None;
        self.restore = Some(StoreRestore { version: self.version(), doubtful_until_ms });
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
