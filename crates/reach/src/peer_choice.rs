//! The peers that are asked for a tunnel.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::Rng;
use rand::seq::IndexedRandom;

/// Peers that are asked for one connection.
pub const MAX_PEERS_PER_DIAL: usize = 2;
/// Remembered faults from which those that are over are removed.
const MAX_REMEMBERED: usize = 64;

/// A peer that may be asked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PeerCandidate<'a> {
    /// Name of the peer.
    pub name: &'a str,
    /// Its availability zone.
    pub availability_zone: &'a str,
    /// Address at which it accepts tunnels.
    pub address: SocketAddr,
}

/// Why a peer is not asked for a while.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerFault {
    /// Its own links to upstreams are cut.
    LinksCut,
    /// It carries as many tunnels as it may.
    Busy,
    /// It is stopping.
    Stopping,
    /// It could not be reached, or did not reply.
    NoReply,
}

impl PeerFault {
    fn duration_ms(self) -> u64 {
        match self {
            Self::Busy => 1_000,
            Self::LinksCut => 1_500,
            Self::NoReply | Self::Stopping => 2_000,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct RememberedFault {
    fault: PeerFault,
    until_ms: u64,
}

/// Recent faults of peers.
#[derive(Clone, Debug, Default)]
pub struct PeerTable {
    faults: BTreeMap<String, RememberedFault>,
}

impl PeerTable {
    /// Chooses up to [`MAX_PEERS_PER_DIAL`] peers at random. The first is in `own_zone` and the second in
    /// another zone, unless a peer in the own zone is cut off too: then all are equally likely, so that a zone
    /// that is cut off as a whole does not ask within itself.
    pub fn choose<'a>(
        &self,
        candidates: impl Iterator<Item = PeerCandidate<'a>>,
        own_zone: &str,
        random: &mut impl Rng,
        now_ms: u64,
    ) -> Vec<PeerCandidate<'a>> {
        let (mut near, mut far) = (Vec::new(), Vec::new());
        let mut is_own_zone_cut = false;
        for candidate in candidates {
            let is_near = candidate.availability_zone == own_zone;
            match self.fault(candidate.name, now_ms) {
                None if is_near => near.push(candidate),
                None => far.push(candidate),
                Some(fault) => is_own_zone_cut |= is_near && fault == PeerFault::LinksCut,
            }
        }
        if is_own_zone_cut || near.is_empty() || far.is_empty() {
            near.append(&mut far);
            return near.choose_multiple(random, MAX_PEERS_PER_DIAL).copied().collect();
        }
        [near.choose(random), far.choose(random)].into_iter().flatten().copied().collect()
    }

    /// Records why a peer is not asked for a while.
    pub fn record_fault(&mut self, peer: &str, fault: PeerFault, now_ms: u64) {
        if self.faults.len() >= MAX_REMEMBERED {
            self.faults.retain(|_, remembered| remembered.until_ms > now_ms);
        }
        let until_ms = now_ms + fault.duration_ms();
        self.faults.insert(peer.to_owned(), RememberedFault { fault, until_ms });
    }

    /// Returns the recent fault of a peer; `None` without one.
    pub fn fault(&self, peer: &str, now_ms: u64) -> Option<PeerFault> {
        let remembered = self.faults.get(peer).filter(|remembered| remembered.until_ms > now_ms)?;
        Some(remembered.fault)
    }
}
