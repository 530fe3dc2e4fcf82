//! Sums of digests, and the part of one instance in them.

use std::collections::BTreeMap;

use hickorycourse_digest::{
    MemberDigest, OwnDigests, ServiceDigest, ZoneAggregator, ZoneDigest, rank_aggregators,
};
use hickorycourse_duties::WindowCounts;
use proptest::prelude::*;

fn digest(instance: &str, boot: u64, sequence: u64, used: u64) -> MemberDigest {
    let service = ServiceDigest {
        arrived_tokens_per_ms: used as f64,
        sent_tokens_per_ms: BTreeMap::from([(1, used as f64)]),
        loads: vec![("i-1".to_owned(), used, used / 2, vec![(1, used, 10 * used)])],
        speeds: vec![("i-1".to_owned(), used as u32, -(used as i32))],
        work: None,
    };
    MemberDigest {
        instance: instance.to_owned(),
        boot,
        availability_zone: "east".to_owned(),
        peer_address: "127.0.0.1:7000".parse().expect("an address"),
        sender_wall_ms: 0,
        cap_usage: BTreeMap::from([("dealer".to_owned(), vec![(3, used, 2 * used)])]),
        windows: vec![WindowCounts {
            window: 7,
            counts: BTreeMap::from([("dealer".to_owned(), used)]),
        }],
        services: BTreeMap::from([("desk".to_owned(), service)]),
        store_era: 1,
        version: Some(3),
        departures: Vec::new(),
        committed_usage: Vec::new(),
        sequence,
        quarantine: Default::default(),
        limits: Vec::new(),
        tolerances: Vec::new(),
        decides_caps: false,
        is_stopping: false,
        part: Default::default(),
    }
}

fn sums(aggregator: &ZoneAggregator, now_ms: u64) -> ZoneDigest {
    let mut zone = ZoneDigest::new("east", "relay-0", 1);
    aggregator.sum_into(&mut zone, now_ms);
    zone
}

fn used(zone: &ZoneDigest) -> u64 {
    let epochs = zone.cap_usage.get("dealer").into_iter().flatten();
    epochs.map(|(_, used, _)| used).sum()
}

#[test]
fn sum_into_adds_members() {
    let mut aggregator = ZoneAggregator::default();
    assert!(aggregator.record(digest("a", 1, 1, 10), 0));
    assert!(aggregator.record(digest("b", 1, 1, 20), 0));
    let zone = sums(&aggregator, 100);
    assert_eq!(zone.instances, 2);
    assert_eq!(zone.cap_usage["dealer"], vec![(3, 30, 60)]);
    assert_eq!(zone.windows[0].counts["dealer"], 30);
    let service = &zone.services["desk"];
    assert_eq!(service.loads, vec![("i-1".to_owned(), 30, 15, vec![(1, 30, 300)])]);
    assert_eq!(service.sent_tokens_per_ms[&1], 30.0);
}

// Guards against digests that are repeated, or that arrive after those of a later start.
#[test]
fn record_replayed_or_old_digest_is_ignored() {
    let mut aggregator = ZoneAggregator::default();
    assert!(aggregator.record(digest("a", 1, 2, 10), 0));
    assert!(!aggregator.record(digest("a", 1, 2, 10), 10));
    assert!(!aggregator.record(digest("a", 1, 1, 5), 10));
    assert!(aggregator.record(digest("a", 2, 1, 3), 20));
    // The use of the earlier start stays in the sums, also when its last digest arrives late.
    assert_eq!(used(&sums(&aggregator, 30)), 13);
    assert!(aggregator.record(digest("a", 1, 3, 12), 40));
    assert!(aggregator.record(digest("a", 2, 2, 4), 50));
    assert_eq!(used(&sums(&aggregator, 50)), 16);
}

// Guards against use of a cap that disappears with the instance, which would be granted again: it is told
// until all have heard of it.
#[test]
fn sum_into_keeps_cap_usage_of_silent_member() {
    let mut aggregator = ZoneAggregator::default();
    aggregator.record(digest("a", 1, 1, 10), 50_000);
    aggregator.record(digest("b", 1, 1, 20), 58_000);
    let silent = sums(&aggregator, 59_000);
    assert_eq!((silent.instances, used(&silent)), (1, 30));
    assert_eq!(silent.services["desk"].loads[0].1, 20);
    aggregator.expire(59_000);
    assert_eq!(used(&sums(&aggregator, 59_000)), 30);
    assert_eq!(used(&sums(&aggregator, 65_000)), 20);
}

#[test]
fn subtract_from_removes_own_part() {
    let mut aggregator = ZoneAggregator::default();
    let mut own = OwnDigests::default();
    aggregator.record(digest("b", 1, 1, 20), 0);
    let mut without = sums(&aggregator, 0);
    assert!(own.subtract_from(&mut without, "a"), "the sums don't contain this instance");
    assert_eq!(used(&without), 20);
    for sequence in 1..6 {
        let digest = digest("a", 1, sequence, 10 * sequence);
        own.record(digest.clone());
        if sequence <= 3 {
            aggregator.record(digest, 0);
        }
    }
    // The aggregator lags behind by two digests.
    let mut zone = sums(&aggregator, 0);
    assert_eq!(used(&zone), 50);
    assert!(own.subtract_from(&mut zone, "a"));
    assert_eq!((zone.instances, used(&zone)), (1, 20));
    assert_eq!(zone.services["desk"].loads, vec![("i-1".to_owned(), 20, 10, vec![(1, 20, 200)])]);
    aggregator.record(digest("a", 2, 9, 1), 0);
    let mut unknown = sums(&aggregator, 0);
    assert!(!own.subtract_from(&mut unknown, "a"));
}

#[test]
fn rank_aggregators_loss_keeps_order_of_others() {
    let names: Vec<String> = (0..50).map(|number| format!("relay-{number}")).collect();
    let ranked = rank_aggregators(names.iter().map(String::as_str));
    for lost in &names {
        let left = names.iter().filter(|name| *name != lost).map(String::as_str);
        let expected: Vec<&str> =
            ranked.iter().copied().filter(|name| *name != lost.as_str()).collect();
        assert_eq!(rank_aggregators(left), expected);
    }
}

// Load pattern: zones of any size with the organisations and upstreams of a large site. What a member
// sends and receives must not grow with the fleet, and must fit one datagram.
#[test]
fn encoded_sizes_stay_within_datagram() {
    for members in [3_usize, 50, 123] {
        let mut aggregator = ZoneAggregator::default();
        for number in 0..members {
            let mut report = digest(&format!("edge-brazos-a-{number}"), 1, 1, 100_000);
            let epochs = vec![(41_000, 9_000_000, 90_000); 3];
            report.cap_usage =
                (0..40).map(|org| (format!("hule9{org:02}"), epochs.clone())).collect();
            report.windows.clear();
            let loads = (0..12).map(|upstream| {
                let id = format!("i-{:010x}", (number * 7 + upstream) % 171);
                (id, 3, 2, vec![(0, 1, 5_000), (1, 1, 9_000)])
            });
            report.services.entry("desk".to_owned()).or_default().loads = loads.collect();
            let mut bytes = Vec::new();
            ciborium::into_writer(&report, &mut bytes).expect("a digest is encoded");
            assert!(bytes.len() < 3_000, "{} bytes from a member", bytes.len());
            assert!(aggregator.record(report, 0));
        }
        let zone = sums(&aggregator, 0);
        let remote = ZoneDigest { members: Vec::new(), ..zone.clone() };
        let mut zones = vec![zone];
        zones.extend(std::iter::repeat_n(remote, 8));
        let mut bytes = Vec::new();
        ciborium::into_writer(&zones, &mut bytes).expect("digests are encoded");
        assert!(bytes.len() < 65_000, "{} bytes to a member of {members}", bytes.len());
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(300) })]

    // The sums contain each unit once, whatever is lost, repeated or reordered, and they never fall.
    #[test]
    fn cap_usage_never_falls(
        steps in proptest::collection::vec((0_usize..4, 0_u8..6, 1_u64..50), 1..200),
    ) {
        let mut aggregator = ZoneAggregator::default();
        let mut boots = [1_u64; 4];
        let mut sequences = [0_u64; 4];
        let mut totals = [0_u64; 4];
        let mut delivered: BTreeMap<(usize, u64), u64> = BTreeMap::new();
        let mut sent: Vec<MemberDigest> = Vec::new();
        let mut last = 0;
        for (now, (member, action, units)) in steps.into_iter().enumerate() {
            let name = format!("relay-{member}");
            match action {
                0 => {
                    boots[member] += 1;
                    sequences[member] = 0;
                    totals[member] = 0;
                }
                1 => {
                    if let Some(old) = sent.get(units as usize % sent.len().max(1)) {
                        aggregator.record(old.clone(), now as u64);
                    }
                }
                _ => {
                    totals[member] += units;
                    sequences[member] += 1;
                    let digest = digest(&name, boots[member], sequences[member], totals[member]);
                    sent.push(digest.clone());
                    if action > 2 {
                        prop_assert!(aggregator.record(digest, now as u64));
                        delivered.insert((member, boots[member]), totals[member]);
                    }
                }
            }
            let sum = used(&sums(&aggregator, now as u64));
            prop_assert!(sum >= last);
            last = sum;
        }
        // A lost digest may have been delivered later by its repetition, so the sum is at least this.
        prop_assert!(last >= delivered.values().sum::<u64>());
        prop_assert!(last <= sent.iter().map(|digest| digest.cap_usage["dealer"][0].1).sum::<u64>());
    }
}
