//! Directory of the upstreams that the platform lists.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Lifecycle phase of an upstream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum UpstreamPhase {
    /// It accepts requests.
    Ready,
    /// It drains: it finishes the requests in flight and accepts no new ones.
    Leaving,
}

/// Entry of an upstream in the platform's listing.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamEntry {
    /// Identifier of the upstream; most restarts change it.
    pub id: String,
    /// Service that the upstream belongs to.
    pub service: String,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Availability zone that it runs in.
    pub availability_zone: String,
    /// Requests that it processes concurrently.
    pub slots: u64,
    /// Lifecycle phase, which says whether it accepts requests.
    pub phase: UpstreamPhase,
    /// Remaining warm-up time, during which it is slower than usual.
    pub warm_up_left_ms: u64,
    /// Whether the platform may reclaim it.
    pub is_reclaimable: bool,
    /// Wall-clock time of its start, in milliseconds since the Unix epoch; `None` if not reported.
    pub started_at_ms: Option<u64>,
    /// Increases with each entry that the upstream writes between its start and its end.
    pub sequence: u64,
    /// Version of its software; `None` if not reported.
    #[serde(default)]
    pub version: Option<String>,
}

/// Effect of a directory update on request routing. Log lines contain the names of the variants.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DirectoryChange {
    /// Nothing changed that routing depends on.
    None,
    /// A new upstream was added.
    Added,
    /// An upstream started to drain.
    Leaving,
    /// An upstream is missing from the listing; it stays in use and may be listed again within the
    /// grace period.
    Doubted,
    /// An upstream was removed.
    Gone,
    /// The identifier belongs to another start of the upstream, another service, another address or another
    /// version than the known entry.
    Restarted,
}

impl UpstreamEntry {
    /// Creates the entry of an upstream that accepts requests and reports nothing else.
    pub fn ready(
        id: &str,
        service: &str,
        address: SocketAddr,
        availability_zone: &str,
        slots: u64,
    ) -> Self {
        Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address,
            availability_zone: availability_zone.to_owned(),
            slots,
            phase: UpstreamPhase::Ready,
            warm_up_left_ms: 0,
            is_reclaimable: false,
            started_at_ms: None,
            sequence: 1,
            version: None,
        }
    }

    /// Returns whether both entries were written by the same start of the upstream.
    fn is_same_start(&self, other: &Self) -> bool {
        self.started_at_ms == other.started_at_ms
            && self.address == other.address
            && self.service == other.service
            && self.version == other.version
    }

    /// Returns whether this entry was written before `known`, by the same start of the upstream or
    /// by an earlier one.
    fn is_older_than(&self, known: &Self) -> bool {
        match self.started_at_ms.cmp(&known.started_at_ms) {
            std::cmp::Ordering::Less => true,
            std::cmp::Ordering::Equal => self.sequence < known.sequence,
            std::cmp::Ordering::Greater => false,
        }
    }
}

#[derive(Clone, Debug)]
struct ListedUpstream {
    entry: UpstreamEntry,
    /// End of the grace period; set while the entry is missing although its upstream may be
    /// running.
    grace_until_ms: Option<u64>,
    /// Whether the upstream has announced in a response that it is leaving.
    is_departure_announced: bool,
}

/// Number of former upstreams whose last entries are kept.
const MAX_FORMER_UPSTREAMS: usize = 4_096;

/// The last entries of upstreams that are no longer listed. A store that is restored from a backup
/// lists some of them again.
#[derive(Clone, Debug, Default)]
struct FormerUpstreams {
    entries: BTreeMap<String, UpstreamEntry>,
    /// Identifiers in the order of their removal, for eviction.
    order: VecDeque<String>,
}

impl FormerUpstreams {
    fn add(&mut self, entry: UpstreamEntry) {
        let id = entry.id.clone();
        if self.entries.insert(id.clone(), entry).is_none() {
            self.order.push_back(id);
        }
        if self.order.len() > MAX_FORMER_UPSTREAMS
            && let Some(oldest) = self.order.pop_front()
        {
            self.entries.remove(&oldest);
        }
    }

    /// Returns whether `entry` was written before its upstream was removed.
    fn is_outdated(&self, entry: &UpstreamEntry) -> bool {
        self.entries.get(&entry.id).is_some_and(|last| {
            entry.is_older_than(last)
                || (entry.is_same_start(last) && entry.sequence == last.sequence)
        })
    }
}

/// The upstreams that the platform lists, and those in their grace period, whose entries are missing
/// and may have lapsed only because the platform's store had an outage.
#[derive(Clone, Debug, Default)]
pub struct UpstreamDirectory {
    upstreams: BTreeMap<String, ListedUpstream>,
    former: FormerUpstreams,
}

impl UpstreamDirectory {
    /// Adds or updates an entry. An entry older than the known one is ignored, also if its upstream
    /// was removed since. An upstream that has announced its departure by another way than its entry
    /// stays marked as leaving until its next start.
    pub fn put(&mut self, mut entry: UpstreamEntry) -> DirectoryChange {
        if self.former.is_outdated(&entry) {
            return DirectoryChange::None;
        }
        let announced = self
            .upstreams
            .get(&entry.id)
            .filter(|listed| listed.is_departure_announced && listed.entry.is_same_start(&entry));
        let is_departure_announced = announced.is_some();
        if is_departure_announced {
            entry.phase = UpstreamPhase::Leaving;
        }
        let change = match self.upstreams.get(&entry.id).map(|listed| &listed.entry) {
            None => DirectoryChange::Added,
            Some(known) if entry.is_older_than(known) => return DirectoryChange::None,
            Some(known) if !known.is_same_start(&entry) => DirectoryChange::Restarted,
            Some(known)
                if known.phase == UpstreamPhase::Ready && entry.phase == UpstreamPhase::Leaving =>
            {
                DirectoryChange::Leaving
            }
            Some(_) => DirectoryChange::None,
        };
        let listed = ListedUpstream { grace_until_ms: None, is_departure_announced, entry };
        self.upstreams.insert(listed.entry.id.clone(), listed);
        change
    }

    /// Returns whether an entry was written before the known one, also if its upstream was removed since.
    pub fn is_outdated(&self, entry: &UpstreamEntry) -> bool {
        let listed = self.upstreams.get(&entry.id);
        self.former.is_outdated(entry)
            || listed.is_some_and(|listed| entry.is_older_than(&listed.entry))
    }

    /// Returns whether an entry is only a heartbeat: it differs from the known one in nothing but its
    /// sequence number and the remaining warm-up time. The known phase may be that of an announcement,
    /// which says nothing of the entry.
    pub fn is_heartbeat(&self, entry: &UpstreamEntry) -> bool {
        self.upstreams.get(&entry.id).is_some_and(|listed| {
            let UpstreamEntry { sequence, warm_up_left_ms, .. } = listed.entry;
            let same = UpstreamEntry { sequence, warm_up_left_ms, ..entry.clone() };
            let is_as_listed = listed.grace_until_ms.is_none() && !listed.is_departure_announced;
            is_as_listed && same == listed.entry
        })
    }

    /// Marks an upstream as leaving because it has announced its departure in a response. With
    /// `started_at_ms` the announcement applies only to that start of the upstream.
    pub fn announce_departure(&mut self, id: &str, started_at_ms: Option<u64>) -> DirectoryChange {
        let Some(listed) = self.upstreams.get_mut(id) else { return DirectoryChange::None };
        if started_at_ms.is_some() && listed.entry.started_at_ms != started_at_ms {
            return DirectoryChange::None;
        }
        let was_ready = listed.entry.phase == UpstreamPhase::Ready;
        listed.is_departure_announced = true;
        listed.entry.phase = UpstreamPhase::Leaving;
        match was_ready {
            true => DirectoryChange::Leaving,
            false => DirectoryChange::None,
        }
    }

    /// Returns the upstreams that have announced their departure in a response, with the times of
    /// their starts.
    pub fn announced_departures(&self) -> impl Iterator<Item = (&str, Option<u64>)> {
        let announced = self.upstreams.values().filter(|listed| listed.is_departure_announced);
        announced.map(|listed| (listed.entry.id.as_str(), listed.entry.started_at_ms))
    }

    /// Removes an entry. With `grace_until_ms` a ready upstream stays in use until then, because
    /// its entry may have lapsed during an outage of the platform's store.
    pub fn remove(&mut self, id: &str, grace_until_ms: Option<u64>) -> DirectoryChange {
        let Some(listed) = self.upstreams.get_mut(id) else { return DirectoryChange::None };
        if listed.entry.phase == UpstreamPhase::Ready
            && let Some(until_ms) = grace_until_ms
        {
            listed.grace_until_ms.get_or_insert(until_ms);
            return DirectoryChange::Doubted;
        }
        if let Some(listed) = self.upstreams.remove(id) {
            self.former.add(listed.entry);
        }
        DirectoryChange::Gone
    }

    /// Applies a listing that another instance has told. What is missing from it may only be unknown to
    /// that instance, so a later listing of the same entry is not taken for an outdated one. Upstreams that
    /// leave stay known, so that an older entry doesn't bring them back.
    pub fn replace_from_peer(
        &mut self,
        mut entries: Vec<UpstreamEntry>,
    ) -> Vec<(String, DirectoryChange)> {
        let listed: BTreeSet<String> = entries.iter().map(|entry| entry.id.clone()).collect();
        let leaving = self
            .entries()
            .filter(|entry| entry.phase == UpstreamPhase::Leaving && !listed.contains(&entry.id));
        entries.extend(leaving.cloned().collect::<Vec<_>>());
        let former = self.former.clone();
        let changes = self.replace(entries, None);
        self.former = former;
        changes
    }

    /// Applies a complete listing. Upstreams missing from it are removed as by [`Self::remove`].
    /// Returns the change of each upstream by its identifier.
    pub fn replace(
        &mut self,
        entries: Vec<UpstreamEntry>,
        grace_until_ms: Option<u64>,
    ) -> Vec<(String, DirectoryChange)> {
        let present: BTreeSet<&str> = entries.iter().map(|entry| entry.id.as_str()).collect();
        let missing: Vec<String> =
            self.upstreams.keys().filter(|id| !present.contains(id.as_str())).cloned().collect();
        let mut changes = Vec::new();
        for id in missing {
            let change = self.remove(&id, grace_until_ms);
            changes.push((id, change));
        }
        for entry in entries {
            let id = entry.id.clone();
            let change = self.put(entry);
            changes.push((id, change));
        }
        changes
    }

    /// Removes entries whose grace period has ended and returns their identifiers.
    pub fn expire(&mut self, now_ms: u64) -> Vec<String> {
        let is_expired = |listed: &ListedUpstream| {
            listed.grace_until_ms.is_some_and(|until_ms| until_ms <= now_ms)
        };
        let expired: Vec<String> = self
            .upstreams
            .iter()
            .filter(|(_, listed)| is_expired(listed))
            .map(|(id, _)| id.clone())
            .collect();
        for listed in expired.iter().filter_map(|id| self.upstreams.remove(id)) {
            self.former.add(listed.entry);
        }
        expired
    }

    /// Returns the wall-clock time at which an upstream started; `None` if it is not listed or reports
    /// none.
    pub fn started_at_ms(&self, id: &str) -> Option<u64> {
        self.upstreams.get(id)?.entry.started_at_ms
    }

    /// Returns whether this start of an upstream is listed.
    pub fn lists_start(&self, id: &str, started_at_ms: Option<u64>) -> bool {
        self.upstreams.get(id).is_some_and(|listed| listed.entry.started_at_ms == started_at_ms)
    }

    /// Returns whether an upstream has announced its departure, also if it was removed since.
    pub fn is_leaving(&self, id: &str) -> bool {
        let listed = self.upstreams.get(id).map(|listed| &listed.entry);
        let entry = listed.or_else(|| self.former.entries.get(id));
        entry.is_some_and(|entry| entry.phase == UpstreamPhase::Leaving)
    }

    /// Returns the entry of an upstream; `None` if it is not listed.
    pub fn get(&self, id: &str) -> Option<&UpstreamEntry> {
        Some(&self.upstreams.get(id)?.entry)
    }

    /// Returns all entries, including those in their grace period.
    pub fn entries(&self) -> impl Iterator<Item = &UpstreamEntry> {
        self.upstreams.values().map(|listed| &listed.entry)
    }
}
