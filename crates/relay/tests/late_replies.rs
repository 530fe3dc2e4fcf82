//! Replies of aggregators that arrive after the time for them.

use hickorycourse_digest::{FleetParts, PartMark, ZoneDigest};
use hickorycourse_relay::{LateReplies, choose_asked};

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

// Load pattern: one of two aggregators has been killed. Half of the members ask it usually; each of them must
// hear from the other one with every second report, before the lost one is suspected.
#[test]
fn aggregator_without_reply_is_not_asked_twice_in_a_row() {
    let aggregators = ["relay-a", "relay-b"];
    for (member, lost) in (0..40).flat_map(|member| aggregators.map(|lost| (member, lost))) {
        let instance = format!("relay-{member}");
        let mut unanswered = None;
        let mut asked_names = Vec::new();
        for sequence in 1..200 {
            let asked = choose_asked(&instance, sequence, unanswered, &aggregators);
            let asked = aggregators[asked.expect("there are aggregators")];
            assert!(unanswered != Some(asked), "{instance} asks {asked} again");
            unanswered = (asked == lost).then_some(asked);
            asked_names.push(asked);
        }
        assert!(aggregators.iter().all(|name| asked_names.contains(name)));
        assert_eq!(choose_asked(&instance, 1, Some("relay-a"), &["relay-a"]), Some(0));
        assert_eq!(choose_asked(&instance, 1, None, &[]), None);
    }
}
