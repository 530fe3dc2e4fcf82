//! The other instances.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::Rng;
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};

/// Where the members' keys stand in the store.
pub const MEMBER_PREFIX: &str = "hickorycourse/members/";
/// Silence after which an instance that the store no longer lists does not count.
const MEMBER_TIMEOUT_MS: u64 = 8_000;

/// What an instance writes in the store about itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberRecord {
    /// Where its datagrams arrive.
    pub peer_address: SocketAddr,
    /// Its availability zone.
    pub availability_zone: String,
    /// The number of its start.
    pub boot: u64,
}

#[derive(Clone, Debug)]
struct Member {
    peer_address: SocketAddr,
    availability_zone: String,
    is_listed: bool,
    last_digest_at_ms: u64,
}

/// The other instances, as the store lists them and as they are heard.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    others: BTreeMap<String, Member>,
}

impl MemberTable {
    /// Takes a record from the store.
    pub fn apply_record(&mut self, instance: &str, record: &MemberRecord, now_ms: u64) {
        let member = self.others.entry(instance.to_owned()).or_insert_with(|| Member {
            peer_address: record.peer_address,
            availability_zone: record.availability_zone.clone(),
            is_listed: true,
            last_digest_at_ms: now_ms,
        });
        member.peer_address = record.peer_address;
        member.is_listed = true;
    }

    /// The store no longer lists an instance.
    pub fn mark_unlisted(&mut self, instance: &str) {
        if let Some(member) = self.others.get_mut(instance) {
            member.is_listed = false;
        }
    }

    /// The names of those listed.
    pub fn listed_names(&self) -> Vec<String> {
        let listed = self.others.iter().filter(|(_, member)| member.is_listed);
        listed.map(|(name, _)| name.clone()).collect()
    }

    /// A datagram has come from an instance.
    pub fn record_digest(
        &mut self,
        instance: &str,
        availability_zone: &str,
        peer_address: SocketAddr,
        now_ms: u64,
    ) {
        let member = self.others.entry(instance.to_owned()).or_insert_with(|| Member {
            peer_address,
            availability_zone: availability_zone.to_owned(),
            is_listed: false,
            last_digest_at_ms: now_ms,
        });
        member.peer_address = peer_address;
        member.last_digest_at_ms = now_ms;
    }

    /// Where datagrams to all instances go, or to those of one availability zone, in random order: a
    /// burst to a large fleet can overflow a link's queue, and what is dropped must not be what is
    /// for the same instances each time.
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

    /// How many instances there are, this one included.
    pub fn count(&self, now_ms: u64) -> usize {
        1 + self.active_members(now_ms).count()
    }

    /// Whether there are instances in other availability zones and none of them has been heard for
    /// this time.
    pub fn are_other_zones_silent(&self, own_zone: &str, silence_ms: u64, now_ms: u64) -> bool {
        let mut others =
            self.others.values().filter(|member| member.availability_zone != own_zone).peekable();
        others.peek().is_some()
            && others.all(|member| now_ms.saturating_sub(member.last_digest_at_ms) > silence_ms)
    }

    fn active_members(&self, now_ms: u64) -> impl Iterator<Item = &Member> {
        let is_active = move |member: &&Member| {
            member.is_listed || now_ms.saturating_sub(member.last_digest_at_ms) < MEMBER_TIMEOUT_MS
        };
        self.others.values().filter(is_active)
    }
}
