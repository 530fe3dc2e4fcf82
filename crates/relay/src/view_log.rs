//! Recent changes in the platform's store, as one reader has seen them, for the instances that follow
//! it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

/// Changes that are kept. A follower that is further behind lists the store.
const MAX_CHANGES: usize = 4_096;
/// Bytes of keys and values that are kept.
const MAX_BYTES: usize = 1024 * 1024;

/// A change in the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoreChange {
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// The value that was written; `None` for a deletion.
    #[serde(rename = "v", with = "serde_bytes")]
    pub value: Option<Vec<u8>>,
    /// Revision of the change.
    #[serde(rename = "r")]
    pub revision: u64,
}

impl StoreChange {
    fn size_bytes(&self) -> usize {
        self.key.len() + self.value.as_ref().map_or(0, Vec::len)
    }
}

/// Answer to a follower that knows all changes up to some revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ViewChanges {
    /// The changes since then, in order; with them, the follower's state is that of the reader.
    Complete(Vec<StoreChange>),
    /// The first of the changes since then; the follower asks again for the rest.
    Partial(Vec<StoreChange>),
    /// The changes since then are not kept, or don't fit into an answer.
    Unavailable,
}

/// Recent changes in the store.
#[derive(Clone, Debug, Default)]
pub struct ViewLog {
    /// Revision after which all changes are kept; `None` before the first listing.
    covered_after: Option<u64>,
    /// Revision up to which the store has been read.
    revision: u64,
    changes: VecDeque<StoreChange>,
    size_bytes: usize,
    /// Keys that the store lists.
    keys: BTreeSet<String>,
    /// The latest heartbeats of upstreams, which change nothing that followers need to know. A
    /// deletion is preceded by the last one, so that followers know it too.
    heartbeats: BTreeMap<String, StoreChange>,
}

impl ViewLog {
    /// Revision up to which the store has been read.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Applies a complete listing of the relevant items at `revision`. Followers that know the state
    /// before it get the differences.
    pub fn apply_listing(&mut self, items: Vec<StoreChange>, revision: u64) {
        let listed: BTreeSet<String> = items.iter().map(|item| item.key.clone()).collect();
        if self.covered_after.is_none() || self.revision > revision {
            *self =
                Self { covered_after: Some(revision), revision, keys: listed, ..Self::default() };
            return;
        }
        let since = self.revision;
        for key in self.keys.difference(&listed).cloned().collect::<Vec<_>>() {
            self.append(StoreChange { key, value: None, revision });
        }
        // Later ones are returned by the watch, too.
        let mut changed: Vec<StoreChange> = items
            .into_iter()
            .filter(|item| item.revision > since && item.revision <= revision)
            .collect();
        changed.sort_by_key(|item| item.revision);
        for item in changed {
            self.append(StoreChange { revision, ..item });
        }
        self.keys = listed;
        self.revision = revision;
    }

    /// Appends a change.
    pub fn append(&mut self, change: StoreChange) {
        let heartbeat = self.heartbeats.remove(&change.key);
        match &change.value {
            Some(_) => self.keys.insert(change.key.clone()),
            None => self.keys.remove(&change.key),
        };
        if let Some(heartbeat) = heartbeat.filter(|_| change.value.is_none()) {
            self.push(StoreChange { revision: change.revision, ..heartbeat });
        }
        self.push(change);
        while self.changes.len() > MAX_CHANGES || self.size_bytes > MAX_BYTES {
            let Some(oldest) = self.changes.pop_front() else { break };
            self.size_bytes -= oldest.size_bytes();
            self.covered_after = Some(oldest.revision);
        }
    }

    fn push(&mut self, change: StoreChange) {
        self.revision = self.revision.max(change.revision);
        self.size_bytes += change.size_bytes();
        self.changes.push_back(change);
    }

    /// Records a heartbeat of an upstream.
    pub fn record_heartbeat(&mut self, heartbeat: StoreChange) {
        self.keys.insert(heartbeat.key.clone());
        self.heartbeats.insert(heartbeat.key.clone(), heartbeat);
    }

    /// Records that the store has been read up to `revision`.
    pub fn advance(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Discards everything, as changes may be missed from now on.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Returns the changes after the revision that a follower knows, up to `max_bytes`.
    pub fn changes_after(&self, known: u64, max_bytes: usize) -> ViewChanges {
        if self.covered_after.is_none_or(|covered_after| known < covered_after) {
            return ViewChanges::Unavailable;
        }
        let start = self.changes.partition_point(|change| change.revision <= known);
        let mut size_bytes = 0;
        let fitting = self.changes.range(start..).take_while(|change| {
            size_bytes += change.size_bytes();
            size_bytes <= max_bytes
        });
        let mut changes: Vec<StoreChange> = fitting.cloned().collect();
        let Some(first_left_out) = self.changes.get(start + changes.len()) else {
            return ViewChanges::Complete(changes);
        };
        // Changes of one revision are told together.
        changes.retain(|change| change.revision < first_left_out.revision);
        match changes.is_empty() {
            true => ViewChanges::Unavailable,
            false => ViewChanges::Partial(changes),
        }
    }
}
