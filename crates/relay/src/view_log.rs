//! Recent changes in the platform's store, as one reader has seen them, for the instances that follow
//! it.

use std::collections::{BTreeMap, VecDeque};
use std::mem;

use serde::{Deserialize, Serialize};

/// Changes that are kept. A follower that is further behind lists the store.
const MAX_CHANGES: usize = 4_096;
/// Bytes of keys and values that are kept.
const MAX_BYTES: usize = 1024 * 1024;

/// Gaps that are kept. A follower that knows less than the end of an earlier one lists the store.
const MAX_GAPS: usize = 16;

/// Bytes that a change takes in a reply beside its key and its value, at most.
const CHANGE_OVERHEAD_BYTES: usize = 24;

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

/// Revisions whose changes an instance has missed and then learnt as the differences of a listing. Of a key
/// that was written and deleted meanwhile it knows nothing.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ViewGap {
    /// Revision up to which all changes are known.
    #[serde(rename = "a")]
    pub after: u64,
    /// Revision of the listing; all differences have it.
    #[serde(rename = "l")]
    pub listed_at: u64,
}

impl ViewGap {
    fn contains(&self, revision: u64) -> bool {
        self.after < revision && revision < self.listed_at
    }
}

/// Place in the log of one instance, after which a follower that it has told a part asks for the rest.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ViewCursor {
    /// Start of the instance; 0 before the first part.
    #[serde(rename = "b")]
    pub boot: u64,
    /// Number of the next change in its log.
    #[serde(rename = "n")]
    pub sequence: u64,
    /// Bytes of that change's value that have been told.
    #[serde(rename = "o")]
    pub offset_bytes: u64,
}

/// Part of the changes that a follower doesn't know.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ViewPart {
    /// Bytes of the first change's value that were told before.
    pub offset_bytes: u64,
    /// The changes, in order.
    pub changes: Vec<StoreChange>,
    /// Bytes of the last change's value that are still to be told.
    pub remaining_bytes: u64,
    /// Revision up to which the follower knows all changes with this part.
    pub revision: u64,
    /// Where the next part begins; `None` if there is none.
    pub next: Option<ViewCursor>,
}

/// Recent changes in the store.
#[derive(Clone, Debug, Default)]
pub struct ViewLog {
    /// Revision after which all changes are kept; `None` before the first listing.
    covered_after: Option<u64>,
    /// Revision up to which the store has been read.
    revision: u64,
    changes: VecDeque<StoreChange>,
    /// Number of the first change that is kept; numbers are not used twice.
    first_sequence: u64,
    size_bytes: usize,
    /// Gaps after `covered_after`, in order.
    gaps: VecDeque<ViewGap>,
    /// Keys that the store lists, with a revision at or after the one that wrote them last.
    keys: BTreeMap<String, u64>,
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
        let listed: BTreeMap<String, u64> =
            items.iter().map(|item| (item.key.clone(), item.revision)).collect();
        if self.covered_after.is_none() || self.revision > revision {
            *self = Self {
                covered_after: Some(revision),
                revision,
                keys: listed,
                first_sequence: self.unused_sequence(),
                ..Self::default()
            };
            return;
        }
        let since = self.revision;
        self.push_gap(ViewGap { after: since, listed_at: revision });
        let is_gone = |key: &&String| !listed.contains_key(*key);
        for key in self.keys.keys().filter(is_gone).cloned().collect::<Vec<_>>() {
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

    /// Takes changes that another instance has told, with the gaps in its log and the revision up to which all
    /// are known with them; `held` keeps those after it until the rest is told. Returns the changes to be
    /// applied, before [`Self::advance`]; `None` if a key that is known here may be gone without the other
    /// instance's knowledge.
    pub fn take_told(
        &mut self,
        changes: Vec<StoreChange>,
        gaps: &[ViewGap],
        revision: u64,
        held: &mut Vec<StoreChange>,
    ) -> Option<Vec<StoreChange>> {
        let known = self.revision;
        held.extend(changes);
        let (mut changes, later): (Vec<StoreChange>, Vec<StoreChange>) =
            mem::take(held).into_iter().partition(|change| change.revision <= revision);
        *held = later;
        let ended = gaps.iter().filter(|gap| gap.listed_at <= revision);
        if let Some(gap) = ended.clone().find(|gap| gap.contains(known))
            // All items that were written in the gap and are still listed are among the differences.
            && self.keys_written_after(gap.after).any(|key| changes.iter().all(|told| told.key != key))
        {
            return None;
        }
        changes.retain(|change| change.revision > known);
        for change in &changes {
            self.append_told(change.clone());
        }
        for gap in ended {
            self.push_gap(ViewGap { after: gap.after.max(known), ..*gap });
        }
        Some(changes)
    }

    fn keys_written_after(&self, revision: u64) -> impl Iterator<Item = &str> {
        self.keys
            .iter()
            .filter(move |(_, written_at)| **written_at > revision)
            .map(|(key, _)| key.as_str())
    }

    /// Returns the gaps of which a follower that knows all changes up to the revision `known` has to be told.
    pub fn gaps_after(&self, known: u64) -> Vec<ViewGap> {
        self.gaps.iter().filter(|gap| gap.listed_at > known).copied().collect()
    }

    /// Returns whether a follower that knows the state at the revision `known` may know keys of whose deletion
    /// it can't be told.
    pub fn is_in_gap(&self, known: u64) -> bool {
        self.gaps.iter().any(|gap| gap.contains(known))
    }

    fn push_gap(&mut self, gap: ViewGap) {
        // Nobody can know a state in between.
        if gap.after + 1 >= gap.listed_at {
            return;
        }
        self.gaps.push_back(gap);
        if self.gaps.len() > MAX_GAPS
            && let Some(oldest) = self.gaps.pop_front()
        {
            self.covered_after = self.covered_after.max(Some(oldest.listed_at));
        }
    }

    /// Appends a change that another instance has told. It becomes known with the revision that
    /// [`Self::advance`] records, as more changes of the same revision may follow.
    pub fn append_told(&mut self, change: StoreChange) {
        let known_revision = self.revision;
        self.append(change);
        self.revision = known_revision;
    }

    /// Appends a change.
    pub fn append(&mut self, change: StoreChange) {
        let heartbeat = self.heartbeats.remove(&change.key);
        match &change.value {
            Some(_) => self.keys.insert(change.key.clone(), change.revision),
            None => self.keys.remove(&change.key),
        };
        if let Some(heartbeat) = heartbeat.filter(|_| change.value.is_none()) {
            self.push(StoreChange { revision: change.revision, ..heartbeat });
        }
        self.push(change);
        while self.changes.len() > MAX_CHANGES || self.size_bytes > MAX_BYTES {
            let Some(oldest) = self.changes.pop_front() else { break };
            self.size_bytes -= oldest.size_bytes();
            self.first_sequence += 1;
            self.covered_after = self.covered_after.max(Some(oldest.revision));
        }
        while self.gaps.front().is_some_and(|gap| Some(gap.listed_at) <= self.covered_after) {
            self.gaps.pop_front();
        }
    }

    fn push(&mut self, change: StoreChange) {
        self.revision = self.revision.max(change.revision);
        self.size_bytes += change.size_bytes();
        self.changes.push_back(change);
    }

    /// Records a heartbeat of an upstream.
    pub fn record_heartbeat(&mut self, heartbeat: StoreChange) {
        self.keys.insert(heartbeat.key.clone(), heartbeat.revision);
        self.heartbeats.insert(heartbeat.key.clone(), heartbeat);
    }

    /// Records that the store has been read up to `revision`.
    pub fn advance(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Discards everything, as changes may be missed from now on.
    pub fn clear(&mut self) {
        *self = Self { first_sequence: self.unused_sequence(), ..Self::default() };
    }

    /// Returns a number that no change has and no cursor points to.
    fn unused_sequence(&self) -> u64 {
        self.first_sequence + self.changes.len() as u64 + 1
    }

    /// Returns whether changes are kept since a listing.
    pub fn is_covered(&self) -> bool {
        self.covered_after.is_some()
    }

    /// Returns the next part of the changes for a follower that knows all changes up to the revision
    /// `known` and has been told those before `cursor`; `None` if they are not kept. A part has about
    /// `max_bytes`; a value above that is told in pieces. `boot` identifies this start of the instance.
    pub fn part_after(
        &self,
        known: u64,
        cursor: ViewCursor,
        boot: u64,
        max_bytes: usize,
    ) -> Option<ViewPart> {
        let kept = self.first_sequence..=self.first_sequence + self.changes.len() as u64;
        let (start, mut offset) = if cursor.boot == boot && kept.contains(&cursor.sequence) {
            ((cursor.sequence - self.first_sequence) as usize, cursor.offset_bytes as usize)
        } else if self.covered_after.is_some_and(|covered_after| known >= covered_after) {
            (self.changes.partition_point(|change| change.revision <= known), 0)
        } else {
            return None;
        };
        let mut part = ViewPart {
            offset_bytes: offset as u64,
            changes: Vec::new(),
            remaining_bytes: 0,
            revision: self.revision.max(known),
            next: None,
        };
        let mut left_bytes = max_bytes;
        for (index, change) in self.changes.iter().enumerate().skip(start) {
            let rest = change.value.as_deref().map(|value| value.get(offset..).unwrap_or_default());
            let rest_bytes = rest.map_or(0, <[u8]>::len);
            let size_bytes = change.key.len() + rest_bytes + CHANGE_OVERHEAD_BYTES;
            let is_fitting = size_bytes <= left_bytes;
            let told_bytes = match (is_fitting, part.changes.is_empty()) {
                (true, _) => rest_bytes,
                (false, true) => rest_bytes.min(max_bytes.max(1)),
                (false, false) => 0,
            };
            if is_fitting || part.changes.is_empty() {
                let value = rest.map(|rest| rest[..told_bytes].to_vec());
                let (key, revision) = (change.key.clone(), change.revision);
                part.changes.push(StoreChange { key, value, revision });
                left_bytes = left_bytes.saturating_sub(size_bytes);
                if told_bytes == rest_bytes {
                    offset = 0;
                    continue;
                }
                part.remaining_bytes = (rest_bytes - told_bytes) as u64;
                offset += told_bytes;
            }
            // All changes of earlier revisions have been told, except those that were missed.
            let before = change.revision.saturating_sub(1);
            let gap = self.gaps.iter().find(|gap| gap.contains(before));
            part.revision = known.max(gap.map_or(before, |gap| gap.after));
            let sequence = self.first_sequence + index as u64;
            part.next = Some(ViewCursor { boot, sequence, offset_bytes: offset as u64 });
            break;
        }
        Some(part)
    }

    /// Returns the changes after the revision that a follower of a build without gaps knows, up to `max_bytes`.
    pub fn changes_after(&self, known: u64, max_bytes: usize) -> ViewChanges {
        if self.covered_after.is_none_or(|covered_after| known < covered_after)
            || self.is_in_gap(known)
        {
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
