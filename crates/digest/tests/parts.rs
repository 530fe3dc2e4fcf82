//! Digests that are too large for a datagram.

use std::collections::BTreeMap;

use hickorycourse_digest::{
    FleetParts, MemberDigest, PartBuffer, PartMark, ServiceDigest, ZoneAggregator, ZoneDigest,
    encode_zones, join_zones, split,
};
use hickorycourse_duties::WindowCounts;
use hickorycourse_permits::LimitNotice;
use proptest::prelude::*;

/// Largest UDP payload over IPv4, without the fields around the digests in a message.
const MAX_BYTES: usize = 65_000;
const ZONES: usize = 6;
const ORGANISATIONS: usize = 40;

/// A site at the moment at which much changes.
#[derive(Clone, Copy, Debug)]
struct Site {
    instances: usize,
    upstreams: usize,
    epochs: u16,
}

fn upstream(number: usize) -> String {
    format!("i-{:010x}", number * 7_919)
}

fn member(
    site: Site,
    zone: usize,
    number: usize,
    loads: impl Iterator<Item = usize>,
) -> MemberDigest {
    let epochs: Vec<_> = (0..site.epochs).map(|epoch| (epoch, 9_000_000, 90_000)).collect();
    let organisations = (0..ORGANISATIONS).map(|number| format!("hule9{number:02}"));
    let counts = organisations.clone().map(|name| (name, 1_000)).collect();
    let mut services: BTreeMap<String, ServiceDigest> = BTreeMap::new();
    for load in loads {
        let service = services.entry(format!("service-{}", load % 5)).or_default();
        service.arrived_tokens_per_ms = 12.5;
        service.sent_tokens_per_ms = BTreeMap::from([(0, 2.5), (1, 5.0), (2, 5.0)]);
        service.loads.push((upstream(load), 3, 2, vec![(0, 1, 5_000), (1, 1, 9_000)]));
    }
    for service in services.values_mut() {
        service.loads.sort();
    }
    MemberDigest {
        instance: format!("edge-brazos-{zone}-{number}"),
        boot: 1 << 60,
        availability_zone: format!("brazos-{zone}"),
        peer_address: "127.0.0.1:7000".parse().expect("an address"),
        sender_wall_ms: 1_700_000_000_000,
        cap_usage: organisations.map(|name| (name, epochs.clone())).collect(),
        windows: vec![WindowCounts { window: 41_000, counts }],
        services,
        store_era: 1,
        version: Some(3),
        departures: (0..32).map(|number| (upstream(number), Some(1_700_000_000_000))).collect(),
        committed_usage: Vec::new(),
        sequence: 1,
        quarantine: Default::default(),
        limits: (0..60)
            .map(|number| LimitNotice {
                upstream: upstream(number),
                started_at_ms: Some(1_700_000_000_000),
                per_second: Some(4.5),
                said_at_ms: 1_700_000_000_000,
            })
            .collect(),
        tolerances: Vec::new(),
        is_stopping: false,
        decides_caps: true,
        part: PartMark::default(),
    }
}

/// Sums of a zone with load on all upstreams.
fn zone(site: Site, zone: usize) -> ZoneDigest {
    let members = site.instances / ZONES + 1;
    let mut aggregator = ZoneAggregator::default();
    for number in 0..members {
        let loads = (0..site.upstreams).filter(|upstream| upstream % members == number);
        assert!(aggregator.record(member(site, zone, number, loads), 0));
    }
    let mut digest =
        ZoneDigest::new(&format!("brazos-{zone}"), &format!("edge-brazos-{zone}-0"), 1 << 60);
    digest.sequence = 7;
    digest.limits = member(site, zone, 0, 0..0).limits;
    aggregator.sum_into(&mut digest, 0);
    digest
}

fn sites() -> impl Iterator<Item = Site> {
    let sizes = [(295, 250), (295, 2_000), (1_100, 250), (1_100, 2_000)];
    sizes.into_iter().flat_map(|(instances, upstreams)| {
        [3, 6].map(|epochs| Site { instances, upstreams, epochs })
    })
}

fn encoded_bytes<T: serde::Serialize>(value: &T) -> usize {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("it is encoded");
    bytes.len()
}

/// The digests as a member of the first zone gets them.
fn fleet(site: Site) -> Vec<ZoneDigest> {
    let mut zones: Vec<ZoneDigest> = (0..ZONES).map(|number| zone(site, number)).collect();
    for zone in &mut zones[1..] {
        zone.members.clear();
    }
    zones
}

fn decode(list: &[u8]) -> Vec<ZoneDigest> {
    ciborium::from_reader(list).expect("a part is a list of digests")
}

// Guards against digests of a large site that do not fit a datagram, at the moment at which most changes:
// those who should hear of it hear nothing.
#[test]
fn encode_zones_of_large_site_fit_datagrams() {
    for site in sites() {
        let zones = fleet(site);
        let whole = encoded_bytes(&zones);
        let lists = encode_zones(zones.clone(), MAX_BYTES).expect("they are encoded");
        let sizes: Vec<usize> = lists.iter().map(Vec::len).collect();
        println!("{site:?}: {whole} bytes as a whole, parts of {sizes:?}");
        assert!(sizes.iter().all(|bytes| *bytes <= MAX_BYTES), "{site:?}: {sizes:?}");
        let mut parts: Vec<ZoneDigest> = lists.iter().flat_map(|list| decode(list)).collect();
        parts.reverse();
        assert_eq!(join_zones(parts), zones, "{site:?}");
        for lost in 0..lists.len() {
            let left = lists.iter().enumerate().filter(|(index, _)| *index != lost);
            let joined = join_zones(left.flat_map(|(_, list)| decode(list)).collect());
            for zone in &joined {
                assert!(zones.contains(zone), "{site:?}: a digest without its lost part");
            }
            let lost: Vec<String> =
                decode(&lists[lost]).into_iter().map(|zone| zone.availability_zone).collect();
            let is_lost = |zone: &&ZoneDigest| lost.contains(&zone.availability_zone);
            assert_eq!(joined.len(), ZONES - zones.iter().filter(is_lost).count(), "{site:?}");
        }
    }
}

#[test]
fn split_zone_and_member_of_large_site_fit_datagrams() {
    for site in sites() {
        let told = zone(site, 0);
        let report = member(site, 0, 0, 0..site.upstreams);
        println!(
            "{site:?}: zone {} bytes, report {} bytes",
            encoded_bytes(&told),
            encoded_bytes(&report)
        );
        let mut zone_parts = split(told.clone(), MAX_BYTES);
        assert!(zone_parts.iter().all(|part| encoded_bytes(part) <= MAX_BYTES), "{site:?}");
        zone_parts.reverse();
        let mut buffer = PartBuffer::default();
        let last = zone_parts.pop().expect("a part");
        for part in zone_parts {
            assert_eq!(buffer.add(part.clone()), None);
            assert_eq!(buffer.add(part), None, "a part that arrives twice");
        }
        assert_eq!(buffer.add(last), Some(told));
        let parts = split(report.clone(), MAX_BYTES);
        assert!(parts.iter().all(|part| encoded_bytes(part) <= MAX_BYTES), "{site:?}");
        let mut buffer = PartBuffer::default();
        let joined: Vec<MemberDigest> =
            parts.into_iter().filter_map(|part| buffer.add(part)).collect();
        assert_eq!(joined, [report]);
    }
}

// Guards against a digest that is put together from two, or from an older one.
#[test]
fn part_buffer_joins_only_parts_of_one_digest() {
    let old = member(Site { instances: 6, upstreams: 0, epochs: 3 }, 0, 0, 0..300);
    let new = MemberDigest { sequence: 2, ..old.clone() };
    let restarted = MemberDigest { boot: 5, ..old.clone() };
    let [old, new, restarted] = [old, new, restarted].map(|digest| split(digest, 12_000));
    assert!(old.len() > 1);
    let mut buffer = PartBuffer::default();
    assert_eq!(buffer.add(old[0].clone()), None);
    for part in &new[1..] {
        assert_eq!(buffer.add(part.clone()), None);
    }
    for part in &old[1..] {
        assert_eq!(buffer.add(part.clone()), None, "an older digest");
    }
    assert_eq!(buffer.add(new[0].clone()).map(|digest| digest.sequence), Some(2));
    for part in &restarted[1..] {
        assert_eq!(buffer.add(part.clone()), None);
    }
    assert_eq!(buffer.add(restarted[0].clone()).map(|digest| digest.boot), Some(5));
}

// Load pattern: a reply in three datagrams of which one is lost, one arrives twice, and none is in order.
#[test]
fn fleet_parts_use_what_has_arrived() {
    let site = Site { instances: 60, upstreams: 250, epochs: 3 };
    let zones = fleet(site);
    let lists = encode_zones(zones.clone(), 30_000).expect("they are encoded");
    let count = u16::try_from(lists.len()).expect("few parts");
    assert!(count >= 3, "{count} parts");
    let add = |parts: &mut FleetParts, index: u16| {
        parts.add(PartMark { index, count }, 30, decode(&lists[usize::from(index)]))
    };
    assert_eq!(FleetParts::default().into_zones(), None);
    let mut parts = FleetParts::default();
    for index in (1..count).rev() {
        assert!(!add(&mut parts, index) && !add(&mut parts, index));
    }
    let (arrived, age_ms) = parts.into_zones().expect("parts have arrived");
    assert_eq!(age_ms, 30);
    assert!(!arrived.is_empty() && arrived.len() < ZONES);
    assert!(arrived.iter().all(|zone| zones.contains(zone)));
    let mut parts = FleetParts::default();
    let added: Vec<bool> = (0..count).rev().map(|index| add(&mut parts, index)).collect();
    assert_eq!(added.iter().filter(|is_last| **is_last).count(), 1);
    assert_eq!(parts.into_zones(), Some((zones, 30)));
}

// An older build neither sends nor reads the mark: what it sends is whole.
#[test]
fn digest_without_mark_is_whole() {
    let whole = zone(Site { instances: 12, upstreams: 10, epochs: 3 }, 0);
    let mut bytes = Vec::new();
    ciborium::into_writer(&whole, &mut bytes).expect("it is encoded");
    let value: ciborium::Value = ciborium::from_reader(bytes.as_slice()).expect("it is decoded");
    let fields = value.as_map().expect("a map");
    assert!(fields.iter().all(|(name, _)| name.as_text() != Some("y")));
    assert!(
        decode(&encode_zones(vec![whole], MAX_BYTES).expect("it is encoded")[0])[0].part.is_whole()
    );
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(60) })]

    // Whatever the size of the parts and their order, and whichever are lost: what is joined is whole.
    #[test]
    fn joined_digests_are_whole(
        upstreams in 0_usize..300,
        max_bytes in 9_000_usize..40_000,
        keys in proptest::collection::vec(any::<u32>(), 64),
        lost in proptest::collection::vec(any::<bool>(), 64),
    ) {
        let site = Site { instances: 24, upstreams, epochs: 4 };
        let zones = fleet(site);
        let lists = encode_zones(zones.clone(), max_bytes).expect("they are encoded");
        prop_assert!(lists.iter().all(|list| list.len() <= max_bytes));
        let mut order: Vec<usize> = (0..lists.len()).collect();
        order.sort_by_key(|index| keys[index % keys.len()]);
        order.retain(|index| !lost[index % lost.len()]);
        let is_all = order.len() == lists.len();
        let joined = join_zones(order.into_iter().flat_map(|index| decode(&lists[index])).collect());
        prop_assert!(joined.iter().all(|zone| zones.contains(zone)));
        prop_assert!(!is_all || joined == zones);
    }
}
