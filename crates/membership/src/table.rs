//! The members as one entry sees them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::heartbeat::{Heartbeat, ServiceDemand};

#[derive(Clone, Debug)]
struct Member {
    availability_zone: String,
    peer_address: SocketAddr,
    heartbeat: Option<Heartbeat>,
    heard_at_ms: Option<u64>,
    is_leaving: bool,
}

/// What operators see of a member.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct MemberStatus {
    /// Its name.
    pub instance: String,
    /// Its availability zone.
    pub availability_zone: String,
    /// Whether it has been heard of lately.
    pub is_reachable: bool,
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// Digest of the settings in force there, if it was ever heard.
    pub settings_digest: Option<u64>,
}

/// The other entries, as one entry sees them.
#[derive(Clone, Debug)]
pub struct MemberTable {
    own_instance: String,
    own_zone: String,
    timeout_ms: u64,
    members: BTreeMap<String, Member>,
}

/// Entries of one availability zone that watch the platform's settings.
const WATCHERS_PER_ZONE: usize = 2;
/// Part of each limit that is split evenly, in thousandths; the rest follows demand.
const EVEN_PERMILLE: u64 = 300;
const PERMILLE: u64 = 1_000;

impl MemberTable {
    /// Creates a table that knows no other.
    pub fn new(own_instance: &str, own_zone: &str, timeout_ms: u64) -> Self {
        Self {
            own_instance: own_instance.to_owned(),
            own_zone: own_zone.to_owned(),
            timeout_ms,
            members: BTreeMap::new(),
        }
    }

    /// Learns of an entry from the platform's list.
    pub fn learn(&mut self, instance: &str, zone: &str, address: SocketAddr, is_leaving: bool) {
        if instance == self.own_instance {
            return;
        }
        let member = self.members.entry(instance.to_owned()).or_insert_with(|| Member {
            availability_zone: zone.to_owned(),
            peer_address: address,
            heartbeat: None,
            heard_at_ms: None,
            is_leaving,
        });
        member.peer_address = address;
        member.is_leaving |= is_leaving;
    }

    /// Forgets those that the platform's list no longer holds and that are silent.
    pub fn retain_listed(&mut self, listed: &BTreeSet<String>, now_ms: u64) {
        let timeout_ms = self.timeout_ms;
        self.members
            .retain(|name, member| listed.contains(name) || member.is_heard(now_ms, timeout_ms));
    }

    /// Takes a heartbeat. One of an older incarnation than the last is left out.
    pub fn hear(&mut self, heartbeat: Heartbeat, now_ms: u64) {
        if heartbeat.instance == self.own_instance {
            return;
        }
        let member = self.members.entry(heartbeat.instance.clone()).or_insert_with(|| Member {
            availability_zone: heartbeat.availability_zone.clone(),
            peer_address: heartbeat.peer_address,
            heartbeat: None,
            heard_at_ms: None,
            is_leaving: false,
        });
        let is_new_process =
            member.heartbeat.as_ref().is_none_or(|last| last.incarnation != heartbeat.incarnation);
        // A new process under the same name is a replacement, so an old notice doesn't bind it.
        member.is_leaving = heartbeat.is_leaving || (member.is_leaving && !is_new_process);
        member.availability_zone.clone_from(&heartbeat.availability_zone);
        member.peer_address = heartbeat.peer_address;
        member.heard_at_ms = Some(now_ms);
        member.heartbeat = Some(heartbeat);
    }

    /// Forgets a member that has said that it ends.
    pub fn forget(&mut self, instance: &str) {
        self.members.remove(instance);
    }

    /// The entries to hold links with, by name and peer address.
    pub fn list_peers(&self) -> Vec<PeerAddress> {
        let peer = |(instance, member): (&String, &Member)| PeerAddress {
            instance: instance.clone(),
            address: member.peer_address,
        };
        self.members.iter().map(peer).collect()
    }

    /// Whether this entry watches the settings for its availability zone: it is among the first
    /// few of the zone's reachable entries by a hash of the name.
    pub fn is_watcher(&self, now_ms: u64) -> bool {
        let own_weight = xxh3_64(self.own_instance.as_bytes());
        let before = self.members.iter().filter(|(name, member)| {
            member.availability_zone == self.own_zone
                && !member.is_leaving
                && member.is_heard(now_ms, self.timeout_ms)
                && xxh3_64(name.as_bytes()) > own_weight
        });
        before.count() < WATCHERS_PER_ZONE
    }

    /// This entry's part of each upstream's limit for a service, in thousandths.
    ///
    /// Each known entry keeps an even part; what is left goes by demand among those that are heard.
    /// A silent entry may still be serving behind a cut, so its even part of the whole stays
    /// reserved for it.
    pub fn share_permille(&self, service: &str, own_calls: u64, now_ms: u64) -> u64 {
        let staying = self.members.values().filter(|member| !member.is_leaving);
        let (heard, silent): (Vec<&Member>, Vec<&Member>) =
            staying.partition(|member| member.is_heard(now_ms, self.timeout_ms));
        let count = (heard.len() + silent.len() + 1) as u64;
        let reserved = silent.len() as u64 * PERMILLE / count;
        let open = PERMILLE - reserved;
        let even = open * EVEN_PERMILLE / PERMILLE / (heard.len() as u64 + 1);
        let by_demand = open - open * EVEN_PERMILLE / PERMILLE;
        let others: u64 = heard.iter().map(|member| member.demand(service)).sum();
        let total = others + own_calls;
        let own_part = match total {
            0 => by_demand / (heard.len() as u64 + 1),
            total => by_demand * own_calls / total,
        };
        (even + own_part).max(1)
    }

    /// The incarnation of a member's running process, if it was heard lately.
    pub fn incarnation(&self, instance: &str, now_ms: u64) -> Option<u64> {
        let member = self.members.get(instance)?;
        let heartbeat = member.heartbeat.as_ref()?;
        member.is_heard(now_ms, self.timeout_ms).then_some(heartbeat.incarnation)
    }

    /// Whether a member has been heard lately and is not leaving.
    pub fn stays(&self, instance: &str, now_ms: u64) -> bool {
        let member = self.members.get(instance);
        member.is_some_and(|m| !m.is_leaving && m.is_heard(now_ms, self.timeout_ms))
    }

    /// Chooses an entry to hold copies for this one: reachable, staying, in another availability
    /// zone where there is one.
    pub fn choose_copy_holder(&self, seed: u64, now_ms: u64) -> Option<String> {
        let usable = self
            .members
            .iter()
            .filter(|(_, member)| !member.is_leaving && member.is_heard(now_ms, self.timeout_ms));
        let best = usable.max_by_key(|(name, member)| {
            let is_elsewhere = member.availability_zone != self.own_zone;
            (is_elsewhere, xxh3_64(format!("{name}\n{seed}").as_bytes()))
        });
        best.map(|(name, _)| name.clone())
    }

    /// What operators see.
    pub fn list_status(&self, now_ms: u64) -> Vec<MemberStatus> {
        let status = |(instance, member): (&String, &Member)| MemberStatus {
            instance: instance.clone(),
            availability_zone: member.availability_zone.clone(),
            is_reachable: member.is_heard(now_ms, self.timeout_ms),
            is_leaving: member.is_leaving,
            settings_digest: member.heartbeat.as_ref().map(|last| last.settings_digest),
        };
        self.members.iter().map(status).collect()
    }
}

/// Where to reach an entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerAddress {
    /// Its name.
    pub instance: String,
    /// Its peer address.
    pub address: SocketAddr,
}

impl Member {
    fn is_heard(&self, now_ms: u64, timeout_ms: u64) -> bool {
        self.heard_at_ms.is_some_and(|heard_at_ms| now_ms < heard_at_ms + timeout_ms)
    }

    fn demand(&self, service: &str) -> u64 {
        let demands = self.heartbeat.iter().flat_map(|heartbeat| &heartbeat.demands);
        let found: Option<&ServiceDemand> = demands.into_iter().find(|d| d.service == service);
        found.map_or(0, |demand| demand.calls)
    }
}
