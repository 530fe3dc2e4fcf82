//! The upstreams that the platform lists.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Whether an upstream takes requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum UpstreamPhase {
    /// It takes requests.
    Ready,
    /// It finishes what it has and takes nothing new.
    Leaving,
}

/// An upstream as the platform lists it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamEntry {
    /// Its id, new at most starts.
    pub id: String,
    /// The service that it belongs to.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub availability_zone: String,
    /// Requests that it runs at once.
    pub slots: u64,
    /// Whether it takes requests.
    pub phase: UpstreamPhase,
    /// Time for which it stays slow after its start.
    pub warm_up_left_ms: u64,
    /// Whether the platform may take it back.
    pub is_reclaimable: bool,
    /// Wall time of its start, in Unix milliseconds, if it says.
    pub started_at_ms: Option<u64>,
    /// Rises with each entry that the same start of the upstream writes.
    pub sequence: u64,
}

/// What a change means for requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DirectoryChange {
    /// Nothing that requests depend on.
    None,
    /// An upstream came, or came back.
    Added,
    /// An upstream started to leave.
    Leaving,
    /// An upstream is no longer listed; it may come back within the time of doubt.
    Doubted,
    /// An upstream is gone.
    Gone,
    /// The same id runs another process or at another address.
    Restarted,
}

impl UpstreamEntry {
    /// An upstream that takes requests and says no more of itself.
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
        }
    }

    /// Whether this was written before `known`, by the same upstream or an earlier start of it.
    fn is_older_than(&self, known: &Self) -> bool {
        match self.started_at_ms.cmp(&known.started_at_ms) {
            std::cmp::Ordering::Less => true,
            std::cmp::Ordering::Equal => self.sequence < known.sequence,
            std::cmp::Ordering::Greater => false,
        }
    }
}

#[derive(Clone, Debug)]
struct Listed {
    entry: UpstreamEntry,
    /// Set while the entry is missing although its upstream may live.
    missing_until_ms: Option<u64>,
}

/// The upstreams that the platform lists, with those whose entries lapsed during an outage.
#[derive(Clone, Debug, Default)]
pub struct UpstreamDirectory {
    listed: BTreeMap<String, Listed>,
}

impl UpstreamDirectory {
    /// Takes an entry as the platform lists it now.
    pub fn put(&mut self, entry: UpstreamEntry) -> DirectoryChange {
        let change = match self.listed.get(&entry.id).map(|listed| &listed.entry) {
            None => DirectoryChange::Added,
            Some(known) if entry.is_older_than(known) => return DirectoryChange::None,
            Some(known)
                if known.address != entry.address
                    || known.service != entry.service
                    || known.started_at_ms != entry.started_at_ms =>
            {
                DirectoryChange::Restarted
            }
            Some(known)
                if known.phase == UpstreamPhase::Ready && entry.phase == UpstreamPhase::Leaving =>
            {
                DirectoryChange::Leaving
            }
            Some(_) => DirectoryChange::None,
        };
        self.listed.insert(entry.id.clone(), Listed { entry, missing_until_ms: None });
        change
    }

    /// Takes the removal of an entry. With `doubt_until_ms` the upstream stays in use until then,
    /// because the entry may have lapsed during an outage of the platform's store.
    pub fn remove(&mut self, id: &str, doubt_until_ms: Option<u64>) -> DirectoryChange {
        let Some(listed) = self.listed.get_mut(id) else { return DirectoryChange::None };
        if listed.entry.phase == UpstreamPhase::Ready
            && let Some(until_ms) = doubt_until_ms
        {
            listed.missing_until_ms.get_or_insert(until_ms);
            return DirectoryChange::Doubted;
        }
        self.listed.remove(id);
        DirectoryChange::Gone
    }

    /// Takes a whole listing; what is missing from it is removed as by [`Self::remove`].
    pub fn replace(
        &mut self,
        entries: Vec<UpstreamEntry>,
        doubt_until_ms: Option<u64>,
    ) -> Vec<(String, DirectoryChange)> {
        let present: BTreeSet<&str> = entries.iter().map(|entry| entry.id.as_str()).collect();
        let missing: Vec<String> =
            self.listed.keys().filter(|id| !present.contains(id.as_str())).cloned().collect();
        let mut changes = Vec::new();
        for id in missing {
            let change = self.remove(&id, doubt_until_ms);
            changes.push((id, change));
        }
        for entry in entries {
            let id = entry.id.clone();
            let change = self.put(entry);
            changes.push((id, change));
        }
        changes
    }

    /// Drops entries whose time of doubt is over; returns their ids.
    pub fn expire(&mut self, now_ms: u64) -> Vec<String> {
        let is_over =
            |listed: &Listed| listed.missing_until_ms.is_some_and(|until_ms| until_ms <= now_ms);
        let over: Vec<String> = self
            .listed
            .iter()
            .filter(|(_, listed)| is_over(listed))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &over {
            self.listed.remove(id);
        }
        over
    }

    /// All entries, those in doubt included.
    pub fn entries(&self) -> impl Iterator<Item = &UpstreamEntry> {
        self.listed.values().map(|listed| &listed.entry)
    }
}
