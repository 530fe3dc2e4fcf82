//! Eras of a key-value service that can be restored from a backup.
//!
//! After a restore, revisions go back and are given out again, so a revision orders changes only
//! within one era. Clients of such a service combine both numbers into one that rises with each
//! change in any era, and use it wherever this crate speaks of a revision.

use std::cell::Cell;
use std::rc::Rc;

/// Bits of the combined number that hold the revision; the era is in the bits above. Combined numbers
/// stay below 2^53, up to which all JSON implementations keep integers exact, for 8,191 eras.
const REVISION_BITS: u32 = 40;
const MAX_REVISION: u64 = (1 << REVISION_BITS) - 1;

/// Combines an era with a revision of that era.
pub fn combine_revision(era: u64, revision: u64) -> u64 {
    (era << REVISION_BITS) | revision.min(MAX_REVISION)
}

/// Splits a combined number into the era and the revision of that era.
pub fn split_revision(combined: u64) -> (u64, u64) {
    (combined >> REVISION_BITS, combined & MAX_REVISION)
}

/// The highest era that has been observed; clones share it.
#[derive(Clone, Debug, Default)]
pub struct EraTracker {
    era: Rc<Cell<u64>>,
}

impl EraTracker {
    /// Returns the highest era that has been observed; 0 before the first one.
    pub fn era(&self) -> u64 {
        self.era.get()
    }

    /// Records an era. Returns false if a higher one has been observed, so that what came with this
    /// one is stale.
    pub fn observe(&self, era: u64) -> bool {
        if era < self.era.get() {
            return false;
        }
        self.era.set(era);
        true
    }
}
