//! Replies of aggregators that arrive after the time for them.

use hickorycourse_digest::{FleetParts, PartMark, ZoneDigest};
use hickorycourse_relay::LateReplies;

fn zone(name: &str, age_ms: u64) -> ZoneDigest {
    ZoneDigest { age_ms, ..ZoneDigest::new(name, "relay-0", 1) }
}

fn part(index: u16) -> PartMark {
    PartMark { index, count: 2 }
}

// Load pattern: an aggregator without enough processor replies 300 ms after the report, of 250.
#[test]
fn late_reply_is_used_with_its_age() {
    let mut late = LateReplies::default();
    late.expect(1, "relay-0", 10_000, FleetParts::default());
    assert!(late.is_awaited(1) && !late.is_awaited(2));
    assert_eq!(late.add(2, PartMark::default(), vec![zone("east", 0)], 10_300), None);
    let added = late.add(1, PartMark::default(), vec![zone("east", 100)], 10_300);
    assert_eq!(added, Some(("relay-0".to_owned(), vec![zone("east", 400)])));
    assert!(!late.is_awaited(1));
}

#[test]
fn rest_of_reply_is_joined_with_what_arrived_in_time() {
    let mut late = LateReplies::default();
    let mut parts = FleetParts::default();
    assert!(!parts.add(part(1), 20, vec![zone("west", 0)]));
    late.expect(1, "relay-0", 10_000, parts);
    let (_, zones) =
        late.add(1, part(0), vec![zone("east", 0)], 10_260).expect("the reply is complete");
    assert_eq!(zones, [zone("east", 260), zone("west", 260)]);
}

#[test]
fn old_reply_is_not_used() {
    let mut late = LateReplies::default();
    late.expect(1, "relay-0", 10_000, FleetParts::default());
    assert_eq!(late.add(1, PartMark::default(), vec![zone("east", 0)], 12_000), None);
    assert!(!late.is_awaited(1));
    for report in 0..100 {
        late.expect(report, "relay-0", 20_000 + 400 * report, FleetParts::default());
    }
    assert_eq!((0..100).filter(|nonce| late.is_awaited(*nonce)).count(), 5);
}
