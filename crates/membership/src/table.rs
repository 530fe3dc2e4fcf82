//! The members of the fleet from the point of view of one entry.

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
    last_heartbeat_ms: Option<u64>,
    is_leaving: bool,
}

/// The status of a member as reported to operators.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct MemberStatus {
    /// The name of the member.
    pub instance: String,
    /// Its availability zone.
    pub availability_zone: String,
    /// Whether its last heartbeat is more recent than the timeout.
    pub is_reachable: bool,
    /// Whether it is leaving the fleet.
    pub is_leaving: bool,
    /// Digest of its settings; `None` until its first heartbeat.
    pub settings_digest: Option<u64>,
}

/// The other entries of the fleet, as known to one entry.
#[derive(Clone, Debug)]
pub struct MemberTable {
    own_instance: String,
    own_zone: String,
    timeout_ms: u64,
    members: BTreeMap<String, Member>,
}

/// Number of entries per availability zone that watch the platform's settings.
const WATCHERS_PER_ZONE: usize = 2;
/// Part of a limit that the reachable entries divide evenly, in thousandths; they divide the rest in
/// proportion to demand.
const EVEN_SHARE_PERMILLE: u64 = 300;
const PERMILLE: u64 = 1_000;

impl MemberTable {
    /// Creates a table without other members. A member is unreachable when no heartbeat has been
    /// received for `timeout_ms`.
    pub fn new(own_instance: &str, own_zone: &str, timeout_ms: u64) -> Self {
        Self {
            own_instance: own_instance.to_owned(),
            own_zone: own_zone.to_owned(),
            timeout_ms,
            members: BTreeMap::new(),
        }
    }

    /// Adds or updates a member found in the platform's list of entries. `is_leaving` can mark
    /// the member as leaving, but false does not remove the mark.
    pub fn apply_listing(
        &mut self,
        instance: &str,
        zone: &str,
        address: SocketAddr,
        is_leaving: bool,
    ) {
        if instance == self.own_instance {
            return;
        }
        let member = self.members.entry(instance.to_owned()).or_insert_with(|| Member {
            availability_zone: zone.to_owned(),
            peer_address: address,
            heartbeat: None,
            last_heartbeat_ms: None,
            is_leaving,
        });
        member.peer_address = address;
        member.is_leaving |= is_leaving;
    }

    /// Removes the members that are unreachable and not in the platform's list of entries.
    pub fn retain_listed(&mut self, listed: &BTreeSet<String>, now_ms: u64) {
        let timeout_ms = self.timeout_ms;
        self.members.retain(|name, member| {
            listed.contains(name) || member.is_reachable(now_ms, timeout_ms)
        });
    }

    /// Records a heartbeat received at `now_ms` (monotonic). Heartbeats of this entry itself are
    /// ignored.
    pub fn record_heartbeat(&mut self, heartbeat: Heartbeat, now_ms: u64) {
        if heartbeat.instance == self.own_instance {
            return;
        }
        let member = self.members.entry(heartbeat.instance.clone()).or_insert_with(|| Member {
            availability_zone: heartbeat.availability_zone.clone(),
            peer_address: heartbeat.peer_address,
            heartbeat: None,
            last_heartbeat_ms: None,
            is_leaving: false,
        });
        let is_new_process =
            member.heartbeat.as_ref().is_none_or(|last| last.incarnation != heartbeat.incarnation);
        // A new process under the same name is a replacement, so it is not leaving just because the
        // previous process was.
        member.is_leaving = heartbeat.is_leaving || (member.is_leaving && !is_new_process);
        member.availability_zone.clone_from(&heartbeat.availability_zone);
        member.peer_address = heartbeat.peer_address;
        member.last_heartbeat_ms = Some(now_ms);
        member.heartbeat = Some(heartbeat);
    }

    /// Removes a member that has announced its termination.
    pub fn remove(&mut self, instance: &str) {
        self.members.remove(instance);
    }

    /// Returns the addresses of all members, to which this entry keeps peer connections.
    pub fn list_peers(&self) -> Vec<PeerAddress> {
        let peer = |(instance, member): (&String, &Member)| PeerAddress {
            instance: instance.clone(),
            address: member.peer_address,
        };
        self.members.iter().map(peer).collect()
    }

    /// Whether this entry watches the settings on behalf of its availability zone: it is among the
    /// `WATCHERS_PER_ZONE` reachable entries of the zone whose names have the highest hashes.
    pub fn is_watcher(&self, now_ms: u64) -> bool {
        let own_hash = xxh3_64(self.own_instance.as_bytes());
        let preceding = self.members.iter().filter(|(name, member)| {
            member.availability_zone == self.own_zone
                && !member.is_leaving
                && member.is_reachable(now_ms, self.timeout_ms)
                && xxh3_64(name.as_bytes()) > own_hash
        });
        preceding.count() < WATCHERS_PER_ZONE
    }

    /// This entry's share of each upstream's limit for a service, in thousandths; at least 1.
    ///
    /// An unreachable entry may still be serving on the other side of a network partition, so an
    /// even share of the whole limit stays reserved for it. Of the rest, `EVEN_SHARE_PERMILLE` is
    /// divided evenly among the reachable entries and the remainder in proportion to demand.
    pub fn share_permille(&self, service: &str, own_calls: u64, now_ms: u64) -> u64 {
        let remaining = self.members.values().filter(|member| !member.is_leaving);
        let (reachable, unreachable): (Vec<&Member>, Vec<&Member>) =
            remaining.partition(|member| member.is_reachable(now_ms, self.timeout_ms));
        let count = (reachable.len() + unreachable.len() + 1) as u64;
        let reserved = unreachable.len() as u64 * PERMILLE / count;
        let available = PERMILLE - reserved;
        let even = available * EVEN_SHARE_PERMILLE / PERMILLE / (reachable.len() as u64 + 1);
        let by_demand = available - available * EVEN_SHARE_PERMILLE / PERMILLE;
        let others: u64 = reachable.iter().map(|member| member.demand(service)).sum();
        let total = others + own_calls;
        let own_part = match total {
            0 => by_demand / (reachable.len() as u64 + 1),
            total => by_demand * own_calls / total,
        };
        (even + own_part).max(1)
    }

    /// The incarnation of a member's process; `None` if the member is unknown or unreachable.
    pub fn incarnation(&self, instance: &str, now_ms: u64) -> Option<u64> {
        let member = self.members.get(instance)?;
        let heartbeat = member.heartbeat.as_ref()?;
        member.is_reachable(now_ms, self.timeout_ms).then_some(heartbeat.incarnation)
    }

    /// Whether a member is reachable and not leaving.
    pub fn is_available(&self, instance: &str, now_ms: u64) -> bool {
        let member = self.members.get(instance);
        member.is_some_and(|m| !m.is_leaving && m.is_reachable(now_ms, self.timeout_ms))
    }

    /// Chooses the entry that receives copies from this one: reachable, not leaving, and in another
    /// availability zone if there is one. `seed` varies the choice among equal candidates.
    pub fn choose_copy_target(&self, seed: u64, now_ms: u64) -> Option<String> {
        let candidates = self.members.iter().filter(|(_, member)| {
            !member.is_leaving && member.is_reachable(now_ms, self.timeout_ms)
        });
        let best = candidates.max_by_key(|(name, member)| {
            let is_in_other_zone = member.availability_zone != self.own_zone;
            (is_in_other_zone, xxh3_64(format!("{name}\n{seed}").as_bytes()))
        });
        best.map(|(name, _)| name.clone())
    }

    /// Returns the status of all members, ordered by name.
    pub fn list_status(&self, now_ms: u64) -> Vec<MemberStatus> {
        let status = |(instance, member): (&String, &Member)| MemberStatus {
            instance: instance.clone(),
            availability_zone: member.availability_zone.clone(),
            is_reachable: member.is_reachable(now_ms, self.timeout_ms),
            is_leaving: member.is_leaving,
            settings_digest: member.heartbeat.as_ref().map(|last| last.settings_digest),
        };
        self.members.iter().map(status).collect()
    }
}

/// The address of a peer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerAddress {
    /// The name of the entry.
    pub instance: String,
    /// The address for peer connections.
    pub address: SocketAddr,
}

impl Member {
    fn is_reachable(&self, now_ms: u64, timeout_ms: u64) -> bool {
        self.last_heartbeat_ms
            .is_some_and(|last_heartbeat_ms| now_ms < last_heartbeat_ms + timeout_ms)
    }

    fn demand(&self, service: &str) -> u64 {
        let demands = self.heartbeat.iter().flat_map(|heartbeat| &heartbeat.demands);
        let found: Option<&ServiceDemand> = demands.into_iter().find(|d| d.service == service);
        found.map_or(0, |demand| demand.calls)
    }
}
