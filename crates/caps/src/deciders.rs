//! Choice of the instance that decides on the requests of an organisation.
//!
//! Load pattern: demand of an organisation grows manifold within less time than reports take, at hundreds of
//! instances, each of which sees a request in several seconds. What each of them decides by itself is
//! bounded only by what all have heard; so one instance decides for all.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use hickorycourse_permits::choose_issuer;

/// Instances of an availability zone that decide.
pub const DECIDERS_PER_ZONE: usize = 4;
/// Time without a word of an availability zone after which its instances are not asked any more.
const HEARD_WITHIN_MS: u64 = 6_000;
/// Claims in a row without a reply after which an instance is not asked for a while; a single datagram may be
/// lost.
const MAX_MISSED_REPLIES: u32 = 2;
/// Time after the start of the process, or a change of the way in which they announce themselves, within which
/// those that decide are heard of.
const HEARD_FIRST_WITHIN_MS: u64 = 3_000;
/// Time for which it is not asked.
const SUSPICION_MS: u64 = 3_000;

/// Who decides on the requests of an organisation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decider {
    /// No instance is known to; each decides by itself.
    Nobody,
    /// Nobody has been heard yet.
    Unheard,
    /// Another instance.
    Other {
        /// Its name.
        name: String,
        /// Address that receives its datagrams.
        address: SocketAddr,
    },
    /// This instance.
    Own,
}

#[derive(Clone, Debug)]
struct Announcement {
    deciders: Vec<(String, SocketAddr)>,
    heard_at_ms: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Misses {
    in_a_row: u32,
    suspected_until_ms: u64,
}

/// The instances that decide on caps, as their availability zones have announced.
#[derive(Clone, Debug, Default)]
pub struct DeciderTable {
    /// By zone, or by instance where each speaks for itself.
    announcements: BTreeMap<String, Announcement>,
    misses: BTreeMap<String, Misses>,
    /// Time since which announcements are expected.
    expected_since_ms: u64,
}

impl DeciderTable {
    /// Records the deciders that a zone or instance has announced at `heard_at_ms`. None means that it can't
    /// tell.
    pub fn record(&mut self, source: &str, deciders: Vec<(String, SocketAddr)>, heard_at_ms: u64) {
        let known = self.announcements.get(source);
        if deciders.is_empty() {
            return;
        }
        if known.is_none_or(|known| known.heard_at_ms <= heard_at_ms) {
            let announcement = Announcement { deciders, heard_at_ms };
            self.announcements.insert(source.to_owned(), announcement);
        }
    }

    /// Records that a zone or instance does not decide any more.
    pub fn remove(&mut self, source: &str) {
        self.announcements.remove(source);
    }

    /// Records whether a decider has replied to a claim.
    pub fn record_reply(&mut self, name: &str, has_replied: bool, now_ms: u64) {
        if has_replied {
            self.misses.remove(name);
            return;
        }
        let misses = self.misses.entry(name.to_owned()).or_default();
        misses.in_a_row += 1;
        if misses.in_a_row >= MAX_MISSED_REPLIES {
            misses.suspected_until_ms = now_ms + SUSPICION_MS;
        }
    }

    /// Records that a decider can't decide yet.
    pub fn record_unable(&mut self, name: &str, now_ms: u64) {
        let suspected_until_ms = now_ms + SUSPICION_MS;
        let in_a_row = MAX_MISSED_REPLIES;
        self.misses.insert(name.to_owned(), Misses { in_a_row, suspected_until_ms });
    }

    /// Forgets zones and instances that have been silent for long.
    pub fn expire(&mut self, now_ms: u64) {
        self.announcements
            .retain(|_, known| now_ms.saturating_sub(known.heard_at_ms) <= HEARD_WITHIN_MS);
        let announcements = &self.announcements;
        self.misses.retain(|name, _| {
            announcements.values().flat_map(|known| &known.deciders).any(|(known, _)| known == name)
        });
    }

    /// Forgets all announcements, when they are made in other groups from now on.
    pub fn clear(&mut self, now_ms: u64) {
        self.announcements.clear();
        self.expected_since_ms = now_ms;
    }

    /// Chooses who decides on the requests of an organisation. Instances that have heard the same choose the
    /// same one. Those that are `asked` already are left out. `now_ms` counts from the start of the process.
    pub fn choose(&self, organisation: &str, own: &str, asked: &[String], now_ms: u64) -> Decider {
        let is_expected = |name: &str| {
            self.misses.get(name).is_none_or(|misses| misses.suspected_until_ms <= now_ms)
        };
        let expected: BTreeMap<&str, SocketAddr> = self
            .announcements
            .values()
            .filter(|known| now_ms.saturating_sub(known.heard_at_ms) <= HEARD_WITHIN_MS)
            .flat_map(|known| &known.deciders)
            .map(|(name, address)| (name.as_str(), *address))
            .filter(|(name, _)| is_expected(name) && !asked.iter().any(|asked| asked == name))
            .collect();
        let is_early = now_ms.saturating_sub(self.expected_since_ms) < HEARD_FIRST_WITHIN_MS;
        if is_early && expected.keys().all(|name| *name == own) {
            return Decider::Unheard;
        }
        match choose_issuer(organisation, None, expected.keys().copied()) {
            Some(name) if name == own => Decider::Own,
            Some(name) => Decider::Other { name: name.to_owned(), address: expected[name] },
            None => Decider::Nobody,
        }
    }
}
