//! The other instances, as listed in the store and as observed through the digests that they
//! broadcast.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use hickorycourse_reach::PeerCandidate;
use rand::Rng;
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};

/// Prefix of the members' keys in the store.
pub const MEMBER_PREFIX: &str = "hickorycourse/members/";
/// Time without a digest after which an instance that the store does not list is not active.
const MEMBER_TIMEOUT_MS: u64 = 8_000;

/// Requests in a row without a reply after which an instance is suspected of having failed; a single
/// datagram may be lost.
const SUSPICION_MISSED_REPLIES: u32 = 2;
/// Time for which an instance is suspected before it is asked again.
const SUSPICION_MS: u64 = 3_000;

/// Record of an instance in the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberRecord {
    /// Address that receives its datagrams and accepts tunnels.
    pub peer_address: SocketAddr,
    /// Its availability zone.
    pub availability_zone: String,
    /// Random identifier of its start.
    pub boot: u64,
    /// Whether it writes the versions that are listed to the store; earlier builds don't.
    #[serde(default)]
    pub writes_versions: bool,
}

#[derive(Clone, Debug)]
struct Member {
    peer_address: SocketAddr,
    availability_zone: String,
    is_listed: bool,
    last_digest_at_ms: u64,
    /// Requests in a row that it has not answered.
    missed_replies: u32,
    /// Time until which it is not expected to act for its availability zone.
    suspected_until_ms: u64,
    is_stopping: bool,
}

impl Member {
    fn new(peer_address: SocketAddr, availability_zone: &str, now_ms: u64) -> Self {
        Self {
            peer_address,
            availability_zone: availability_zone.to_owned(),
            is_listed: false,
            last_digest_at_ms: now_ms,
            missed_replies: 0,
            suspected_until_ms: 0,
            is_stopping: false,
        }
    }

    fn is_active(&self, now_ms: u64) -> bool {
        self.is_listed || now_ms.saturating_sub(self.last_digest_at_ms) < MEMBER_TIMEOUT_MS
    }
}

/// The other instances, as listed in the store and as observed through digests.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    others: BTreeMap<String, Member>,
}

impl MemberTable {
    /// Applies a member record from the store.
    pub fn apply_record(&mut self, instance: &str, record: &MemberRecord, now_ms: u64) {
        let member = self
            .others
            .entry(instance.to_owned())
            .or_insert_with(|| Member::new(record.peer_address, &record.availability_zone, now_ms));
        member.peer_address = record.peer_address;
        member.is_listed = true;
    }

    /// Marks an instance as absent from the store; it stays active while its digests arrive.
    pub fn mark_unlisted(&mut self, instance: &str) {
        if let Some(member) = self.others.get_mut(instance) {
            member.is_listed = false;
        }
    }

    /// Returns the names of the instances that the store lists.
    pub fn listed_names(&self) -> Vec<String> {
        let listed = self.others.iter().filter(|(_, member)| member.is_listed);
        listed.map(|(name, _)| name.clone()).collect()
    }

    /// Records that a digest of an instance has been received.
    pub fn record_digest(
        &mut self,
        instance: &str,
        availability_zone: &str,
        peer_address: SocketAddr,
        now_ms: u64,
    ) {
        let member = self
            .others
            .entry(instance.to_owned())
            .or_insert_with(|| Member::new(peer_address, availability_zone, now_ms));
        member.peer_address = peer_address;
        member.last_digest_at_ms = now_ms;
    }

    /// Returns the peer addresses of all active instances, or of those in one availability zone, in
    /// random order: a burst to a large fleet can overflow a link's queue, and the dropped
    /// datagrams must not be for the same instances each time.
    pub fn shuffled_addresses(
        &self,
        availability_zone: Option<&str>,
        random: &mut impl Rng,
        now_ms: u64,
    ) -> Vec<SocketAddr> {
        let mut addresses: Vec<SocketAddr> = self
            .active_members(now_ms)
            .filter(|member| availability_zone.is_none_or(|zone| zone == member.availability_zone))
            .map(|member| member.peer_address)
            .collect();
        addresses.shuffle(random);
        addresses
    }

    /// Records whether an instance is stopping, from its digest.
    pub fn record_stopping(&mut self, instance: &str, is_stopping: bool) {
        if let Some(member) = self.others.get_mut(instance) {
            member.is_stopping = is_stopping;
        }
    }

    /// Returns the names of the instances that are expected to grant permits. With `silence_ms`, those of
    /// which nothing was heard for that time are left out: in the availability zone `zone`, or in all.
    pub fn issuer_candidates<'a>(
        &'a self,
        zone: Option<&'a str>,
        silence_ms: u64,
        now_ms: u64,
    ) -> impl Iterator<Item = &'a str> {
        let expected = self.others.iter().filter(move |(_, member)| {
            let is_judged = zone.is_none_or(|zone| zone == member.availability_zone);
            let is_silent = now_ms.saturating_sub(member.last_digest_at_ms) > silence_ms;
            member.is_active(now_ms)
                && !member.is_stopping
                && member.suspected_until_ms <= now_ms
                && !(is_judged && is_silent)
        });
        expected.map(|(name, _)| name.as_str())
    }

    /// Records that another instance has heard of an instance at `at_ms`; has no effect on an unknown
    /// one.
    pub fn record_heard(&mut self, instance: &str, at_ms: u64) {
        if let Some(member) = self.others.get_mut(instance) {
            member.last_digest_at_ms = member.last_digest_at_ms.max(at_ms);
        }
    }

    /// Records whether an instance has replied to a request. One that misses several in a row is not
    /// expected to act for its availability zone for a while.
    pub fn record_reply(&mut self, instance: &str, has_replied: bool, now_ms: u64) {
        let Some(member) = self.others.get_mut(instance) else { return };
        match has_replied {
            true => {
                member.missed_replies = 0;
                member.last_digest_at_ms = member.last_digest_at_ms.max(now_ms);
            }
            false => member.missed_replies += 1,
        }
        if member.missed_replies >= SUSPICION_MISSED_REPLIES {
            member.missed_replies = 0;
            member.suspected_until_ms = now_ms + SUSPICION_MS;
        }
    }

    /// Returns the names of the active instances in an availability zone that are expected to reply.
    pub fn responsive_names<'a>(
        &'a self,
        availability_zone: &'a str,
        now_ms: u64,
    ) -> impl Iterator<Item = &'a str> {
        let responsive = self.others.iter().filter(move |(_, member)| {
            member.availability_zone == availability_zone
                && member.is_active(now_ms)
                && member.suspected_until_ms <= now_ms
        });
        responsive.map(|(name, _)| name.as_str())
    }

    /// Returns the instances that are expected to open tunnels.
    pub fn tunnel_candidates(&self, now_ms: u64) -> impl Iterator<Item = PeerCandidate<'_>> {
        let expected = self.others.iter().filter(move |(_, member)| {
            member.is_active(now_ms) && !member.is_stopping && member.suspected_until_ms <= now_ms
        });
        expected.map(|(name, member)| PeerCandidate {
            name,
            availability_zone: &member.availability_zone,
            address: member.peer_address,
        })
    }

    /// Returns whether an instance is stopping.
    pub fn is_stopping(&self, instance: &str) -> bool {
        self.others.get(instance).is_some_and(|member| member.is_stopping)
    }

    /// Returns the names of the active instances, or of those in one availability zone. Instances that are
    /// only suspected of having failed are among them: others may not suspect them.
    pub fn active_names<'a>(
        &'a self,
        availability_zone: Option<&'a str>,
        now_ms: u64,
    ) -> impl Iterator<Item = &'a str> {
        let active = self.others.iter().filter(move |(_, member)| {
            member.is_active(now_ms)
                && availability_zone.is_none_or(|zone| zone == member.availability_zone)
        });
        active.map(|(name, _)| name.as_str())
    }

    /// Returns the availability zones of the active instances.
    pub fn availability_zones(&self, now_ms: u64) -> BTreeSet<String> {
        self.active_members(now_ms).map(|member| member.availability_zone.clone()).collect()
    }

    /// Returns the peer address of an instance.
    pub fn address(&self, instance: &str) -> Option<SocketAddr> {
        self.others.get(instance).map(|member| member.peer_address)
    }

    /// Returns the number of active instances, including this one.
    pub fn count(&self, now_ms: u64) -> usize {
        1 + self.active_members(now_ms).count()
    }

    /// Returns whether there are instances in other availability zones and none of them has sent a
    /// digest for `silence_ms`.
    pub fn are_other_zones_silent(&self, own_zone: &str, silence_ms: u64, now_ms: u64) -> bool {
        let mut others =
            self.others.values().filter(|member| member.availability_zone != own_zone).peekable();
        others.peek().is_some()
            && others.all(|member| now_ms.saturating_sub(member.last_digest_at_ms) > silence_ms)
    }

    fn active_members(&self, now_ms: u64) -> impl Iterator<Item = &Member> {
        self.others.values().filter(move |member| member.is_active(now_ms))
    }
}
