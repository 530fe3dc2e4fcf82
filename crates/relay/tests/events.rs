//! Splitting of a stream into events.

use hickorycourse_relay::EventTracker;
use proptest::prelude::*;

fn event(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

#[test]
fn push_partial_event_buffered() {
    let mut tracker = EventTracker::default();
    assert_eq!(tracker.push(b"id: 1\nda"), b"");
    assert!(tracker.has_partial());
    assert_eq!(tracker.push(b"ta: piece 1\n\nid: 2"), event(1).as_bytes());
    assert_eq!(tracker.last_id(), Some(1));
}

#[test]
fn push_repeated_event_after_resumption_dropped() {
    let mut tracker = EventTracker::default();
    tracker.push(event(1).as_bytes());
    tracker.push(b"id: 2\ndata: pie");
    // The first upstream fails within event 2; the second one repeats event 1.
    tracker.drop_partial();
    assert_eq!(tracker.push(event(1).as_bytes()), b"");
    assert_eq!(tracker.push(event(2).as_bytes()), event(2).as_bytes());
}

#[test]
fn push_crlf_lines_returned_unchanged() {
    let mut tracker = EventTracker::default();
    let bytes = b"id:4\r\ndata:x\r\n\r\n";
    assert_eq!(tracker.push(bytes), bytes);
    assert_eq!(tracker.last_id(), Some(4));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(128) })]

    #[test]
    fn push_in_any_parts_keeps_all_bytes(count in 1_u64..20, cuts in prop::collection::vec(1_usize..40, 1..40)) {
        let stream: String = (1..=count).map(event).collect();
        let mut tracker = EventTracker::default();
        let mut rest = stream.as_bytes();
        let mut passed = Vec::new();
        for cut in cuts.iter().cycle() {
            let (part, left) = rest.split_at((*cut).min(rest.len()));
            passed.extend(tracker.push(part));
            rest = left;
            if rest.is_empty() {
                break;
            }
        }
        prop_assert_eq!(passed, stream.as_bytes());
        prop_assert_eq!(tracker.last_id(), Some(count));
        prop_assert!(!tracker.has_partial());
    }
}
