//! The choice of peers in a fleet of which a part is cut off.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

use hickorycourse_reach::{MAX_PEERS_PER_DIAL, PeerCandidate, PeerFault, PeerTable};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const ZONES: [&str; 3] = ["a", "b", "c"];

fn names(per_zone: usize) -> Vec<(String, &'static str)> {
    let names = ZONES
        .iter()
        .flat_map(|zone| (0..per_zone).map(move |number| (format!("{zone}-{number}"), *zone)));
    names.collect()
}

fn candidates<'a>(names: &'a [(String, &'static str)]) -> impl Iterator<Item = PeerCandidate<'a>> {
    names.iter().map(|(name, availability_zone)| PeerCandidate {
        name,
        availability_zone,
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 9)),
    })
}

/// Returns how often each peer is chosen in zone a.
fn count_choices(
    peers: &PeerTable,
    names: &[(String, &'static str)],
    dials: usize,
) -> BTreeMap<String, usize> {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut counts = BTreeMap::new();
    for _ in 0..dials {
        let chosen = peers.choose(candidates(names), "a", &mut random, 0);
        assert!(chosen.len() <= MAX_PEERS_PER_DIAL);
        for peer in chosen {
            *counts.entry(peer.name.to_owned()).or_default() += 1;
        }
    }
    counts
}

#[test]
fn choose_near_peer_first() {
    let names = names(4);
    let mut random = ChaCha8Rng::seed_from_u64(1);
    for _ in 0..100 {
        let chosen = PeerTable::default().choose(candidates(&names), "a", &mut random, 0);
        assert_eq!(chosen.len(), 2);
        assert_eq!(chosen[0].availability_zone, "a");
        assert_ne!(chosen[1].availability_zone, "a");
    }
}

#[test]
fn choose_spreads_the_dials() {
    let names = names(10);
    let counts = count_choices(&PeerTable::default(), &names, 1_000);
    assert_eq!(counts.len(), 30);
    let near = counts.iter().filter(|(name, _)| name.starts_with('a'));
    assert!(near.clone().all(|(_, count)| (60..140).contains(count)), "{counts:?}");
}

#[test]
fn choose_in_cut_zone_prefers_no_zone() {
    let names = names(10);
    let mut peers = PeerTable::default();
    peers.record_fault("a-0", PeerFault::LinksCut, 0);
    let counts = count_choices(&peers, &names, 1_000);
    assert!(!counts.contains_key("a-0"));
    let near: usize =
        counts.iter().filter(|(name, _)| name.starts_with('a')).map(|(_, count)| count).sum();
    // Nine of 29 peers that are left.
    assert!((520..720).contains(&near), "{near} of 2000");
    assert!(counts.values().all(|count| (30..120).contains(count)), "{counts:?}");
}

#[test]
fn choose_avoids_faulty_peers_for_a_while() {
    let names = names(1);
    let mut peers = PeerTable::default();
    let faults =
        [("a-0", PeerFault::NoReply), ("b-0", PeerFault::Busy), ("c-0", PeerFault::Stopping)];
    for (name, fault) in faults {
        peers.record_fault(name, fault, 0);
        assert_eq!(peers.fault(name, 900), Some(fault));
    }
    let mut random = ChaCha8Rng::seed_from_u64(1);
    assert!(peers.choose(candidates(&names), "a", &mut random, 0).is_empty());
    let chosen = peers.choose(candidates(&names), "a", &mut random, 1_500);
    assert_eq!(chosen.iter().map(|peer| peer.name).collect::<Vec<_>>(), ["b-0"]);
    assert_eq!(peers.choose(candidates(&names), "a", &mut random, 2_000).len(), 2);
}

#[test]
fn choose_without_near_peers_takes_two_others() {
    let names = [("b-0".to_owned(), "b"), ("b-1".to_owned(), "b")];
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let chosen = PeerTable::default().choose(candidates(&names), "a", &mut random, 0);
    assert_eq!(chosen.len(), 2);
    assert_ne!(chosen[0].name, chosen[1].name);
}
