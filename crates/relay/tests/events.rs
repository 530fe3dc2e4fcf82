//! Splitting of a stream into events.

use hickorycourse_relay::EventTracker;
use proptest::prelude::*;

fn event(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

#[test]
fn push_partial_event_buffered() {
    let mut tracker = EventTracker::default();
    assert_eq!(tracker.push(b"id: 1\nda").unwrap(), b"");
    assert!(tracker.has_partial());
    assert_eq!(tracker.push(b"ta: piece 1\n\nid: 2").unwrap(), event(1).as_bytes());
    assert_eq!(tracker.last_id(), Some(1));
}

#[test]
fn push_repeated_event_after_resumption_dropped() {
    let mut tracker = EventTracker::default();
    tracker.push(event(1).as_bytes()).unwrap();
    tracker.push(b"id: 2\ndata: pie").unwrap();
    // The first upstream fails within event 2; the second one repeats event 1.
    tracker.drop_partial();
    assert_eq!(tracker.push(event(1).as_bytes()).unwrap(), b"");
    assert_eq!(tracker.push(event(2).as_bytes()).unwrap(), event(2).as_bytes());
}

#[test]
fn push_crlf_lines_returned_unchanged() {
    let mut tracker = EventTracker::default();
    let bytes = b"id:4\r\ndata:x\r\n\r\n";
    assert_eq!(tracker.push(bytes).unwrap(), bytes);
    assert_eq!(tracker.last_id(), Some(4));
}

// Guards against events of another response that are taken for those of a stream without framing.
#[test]
fn push_unframed_other_response_dropped() {
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
    let bytes = format!("{}{head}{}", event(1), event(2));
    for cut in 0..=bytes.len() {
        let mut tracker = EventTracker::default();
        let (first, second) = bytes.split_at(cut);
        let mut passed = tracker.push_unframed(first.as_bytes()).unwrap();
        passed.extend(tracker.push_unframed(second.as_bytes()).unwrap());
        assert_eq!(passed, event(1).as_bytes(), "cut at {cut}");
        assert!(tracker.has_other_response(), "cut at {cut}");
        assert_eq!(tracker.last_id(), Some(1), "cut at {cut}");
        tracker.drop_partial();
        assert_eq!(tracker.push(event(2).as_bytes()).unwrap(), event(2).as_bytes());
    }
}

// Guards against the same where the stream has been cut within an event.
#[test]
fn push_unframed_other_response_within_event_dropped() {
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
    let bytes = format!("{}id: 2\n{head}{}", event(1), event(2));
    let mut tracker = EventTracker::default();
    assert_eq!(tracker.push_unframed(bytes.as_bytes()).unwrap(), event(1).as_bytes());
    assert!(tracker.has_other_response());
    assert_eq!(tracker.last_id(), Some(1));
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
            passed.extend(tracker.push(part).unwrap());
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

// Guards against bytes without the end of an event, which would fill the memory.
#[test]
fn push_without_event_end_is_limited() {
    let mut tracker = EventTracker::default();
    let block = [b'x'; 4_096];
    let accepted = (0..1_000).take_while(|_| tracker.push(&block).is_ok()).count();
    assert!(accepted < 100, "{} bytes accepted", accepted * block.len());
}

#[test]
fn push_line_by_line_returns_event_at_blank_line() {
    let mut tracker = EventTracker::default();
    for part in [&b"id: 1\r\n"[..], b"data: a", b"\r\n", b"\r"] {
        assert_eq!(tracker.push(part).unwrap(), b"");
    }
    assert_eq!(tracker.push(b"\n").unwrap(), b"id: 1\r\ndata: a\r\n\r\n");
    assert_eq!(tracker.push(b"\n").unwrap(), b"\n");
}

// Guards against the text of an error, and a missing or repeated event, in the middle of a resumed stream.
#[test]
fn push_after_resumption_takes_only_the_next_event() {
    let wrong = [
        event(1),
        event(2),
        event(4),
        "data: no id\n\n".to_owned(),
        "event: error\ndata: wrong\n\n".to_owned(),
        "{\"error\":\"wrong\"}\n\n".to_owned(),
        "\n".to_owned(),
    ];
    for first in wrong {
        let mut tracker = EventTracker::default();
        tracker.push(format!("{}{}id: 3\nda", event(1), event(2)).as_bytes()).unwrap();
        tracker.expect_next();
        assert!(tracker.push(first.as_bytes()).is_err(), "{first:?}");
    }
    let mut tracker = EventTracker::default();
    tracker.push(format!("{}{}", event(1), event(2)).as_bytes()).unwrap();
    tracker.expect_next();
    let next = format!(": wait\n\n{}", event(3));
    assert_eq!(tracker.push(next.as_bytes()).unwrap(), next.as_bytes());
    assert_eq!(tracker.last_id(), Some(3));
}

// Ids need not be consecutive.
#[test]
fn push_after_resumption_of_stream_with_steps_takes_a_later_event() {
    let mut tracker = EventTracker::default();
    tracker.push(format!("{}{}", event(10), event(20)).as_bytes()).unwrap();
    tracker.expect_next();
    assert_eq!(tracker.push(event(30).as_bytes()).unwrap(), event(30).as_bytes());
}

// Guards against the rest of another run, the text of an error and an event that the caller has, where an upstream does
// not go on after the caller's last event.
#[test]
fn push_for_caller_that_resumes_takes_only_a_later_event() {
    let wrong = [
        event(1),
        event(6),
        format!(": wait\n\n{}", event(5)),
        "data: no id\n\n".to_owned(),
        "event: error\ndata: wrong\n\n".to_owned(),
        "{\"error\":\"wrong\"}\n\n".to_owned(),
    ];
    for first in wrong {
        let mut tracker = EventTracker::resume_after(Some(6));
        let pushed = tracker.push(format!("{first}{}", event(7)).as_bytes());
        assert!(pushed.is_err(), "{first:?}");
        // Another upstream goes on.
        tracker.drop_partial();
        assert_eq!(tracker.push(event(7).as_bytes()).unwrap(), event(7).as_bytes(), "{first:?}");
    }
    // Ids need not be consecutive, and a time to reconnect is no event.
    for first in [event(7), event(30), format!(": wait\n\nretry: 500\n\n{}", event(7))] {
        let mut tracker = EventTracker::resume_after(Some(6));
        assert_eq!(tracker.push(first.as_bytes()).unwrap(), first.as_bytes());
    }
}

// Guards against a gap where an upstream breaks off after the first event since the caller has resumed: with the caller's
// last event, two ids are known.
#[test]
fn push_after_one_event_of_a_resumed_stream_takes_only_the_next_event() {
    let resume = |last: u64, first: u64, next: u64| {
        let mut tracker = EventTracker::resume_after(Some(last));
        tracker.push(event(first).as_bytes()).unwrap();
        tracker.expect_next();
        tracker.push(event(next).as_bytes())
    };
    assert!(resume(6, 7, 9).is_err());
    assert_eq!(resume(6, 7, 8).unwrap(), event(8).as_bytes());
    assert_eq!(resume(20, 30, 40).unwrap(), event(40).as_bytes());
}

// Guards against events that are recorded as passed on, and lost, as they arrive with the start of one that is too
// large.
#[test]
fn push_event_before_too_large_one_returned() {
    let mut tracker = EventTracker::default();
    let mut bytes = event(1).into_bytes();
    bytes.extend_from_slice("data: ".as_bytes());
    bytes.resize(300 * 1024, b'x');
    assert_eq!(tracker.push(&bytes).unwrap(), event(1).as_bytes());
    assert!(tracker.push(b"x").is_err());
    assert_eq!(tracker.last_id(), Some(1));
}

// Guards against time that grows with the square of an event's size. Load pattern: an event without end in small parts.
#[test]
fn push_large_event_in_small_parts_is_linear() {
    let mut tracker = EventTracker::default();
    let started = std::time::Instant::now();
    for _ in 0..250 * 1024 / 16 {
        tracker.push(b"0123456789abcdef").unwrap();
    }
    assert!(started.elapsed() < std::time::Duration::from_secs(1), "{:?}", started.elapsed());
    assert!(!tracker.push(b"\n\n").unwrap().is_empty());
}

proptest! {
    // An event ends at the same byte wherever its bytes are divided.
    #[test]
    fn push_divided_anywhere_returns_the_same_events(
        cuts in proptest::collection::vec(1_usize..9, 0..60),
        crlf in any::<bool>(),
    ) {
        let text: String = (1..=4).map(event).collect();
        let text = if crlf { text.replace('\n', "\r\n") } else { text };
        let mut tracker = EventTracker::default();
        let (mut returned, mut rest) = (Vec::new(), text.as_bytes());
        for cut in cuts {
            let (part, after) = rest.split_at(cut.min(rest.len()));
            returned.extend(tracker.push(part).unwrap());
            rest = after;
        }
        returned.extend(tracker.push(rest).unwrap());
        prop_assert_eq!(returned, text.into_bytes());
        prop_assert_eq!(tracker.last_id(), Some(4));
    }
}

fn push_all(tracker: &mut EventTracker, bytes: &[u8], part: usize) -> Vec<u8> {
    bytes.chunks(part).flat_map(|part| tracker.push(part).expect("the events are valid")).collect()
}

// Guards against events that are held back for ever, and against two that are taken for one: the second would come again
// after a resumption.
#[test]
fn push_lines_that_end_with_carriage_returns_returned_unchanged() {
    let forms = [
        "id: N\rdata: x\r\r",
        "id: N\rdata: x\r\r\n",
        "id: N\r\ndata: x\n\r\n",
        "id: N\ndata: x\rdata: y\n\n",
        "id: N\ndata: x\n\rdata: more\n\n",
    ];
    for form in forms {
        let text: String = (1..=3).map(|number| form.replace('N', &number.to_string())).collect();
        for part in [1, 2, 3, text.len()] {
            let mut tracker = EventTracker::default();
            let returned = push_all(&mut tracker, text.as_bytes(), part);
            assert_eq!(returned, text.as_bytes(), "{form:?} in parts of {part}");
            assert_eq!(tracker.last_id(), Some(3), "{form:?} in parts of {part}");
            assert!(!tracker.has_partial(), "{form:?} in parts of {part}");
        }
    }
}

// Guards against an event that is only passed on with the next one.
#[test]
fn push_event_with_carriage_returns_alone_returned_at_its_end() {
    let mut tracker = EventTracker::default();
    assert_eq!(tracker.push(b"id: 1\rdata: x\r").unwrap(), b"");
    assert_eq!(tracker.push(b"\r").unwrap(), b"id: 1\rdata: x\r\r");
}

// Guards against half of a line end that is taken for a blank line.
#[test]
fn push_line_end_divided_between_parts_kept_together() {
    let mut tracker = EventTracker::default();
    assert_eq!(tracker.push(b"id: 1\r\ndata: x\r\n\r").unwrap(), b"");
    assert!(tracker.has_partial());
    assert_eq!(tracker.push(b"\nid: 2\r").unwrap(), b"id: 1\r\ndata: x\r\n\r\n");
    assert_eq!(tracker.push(b"\ndata: y\r\n").unwrap(), b"");
    assert_eq!(tracker.push(b"\r\n").unwrap(), b"id: 2\r\ndata: y\r\n\r\n");
}

// Guards against an id that is not recognized, and against a mark within the caller's stream, where it would hide one.
#[test]
fn push_byte_order_mark_only_before_the_first_event() {
    let marked = |id: u64| format!("\u{feff}{}", event(id));
    for part in [1, 2, 100] {
        let mut tracker = EventTracker::default();
        assert_eq!(push_all(&mut tracker, marked(1).as_bytes(), part), marked(1).as_bytes());
        assert_eq!(tracker.last_id(), Some(1));
        tracker.expect_next();
        assert_eq!(push_all(&mut tracker, marked(2).as_bytes(), part), event(2).as_bytes());
        let mut tracker = EventTracker::resume_after(Some(6));
        assert_eq!(push_all(&mut tracker, marked(7).as_bytes(), part), marked(7).as_bytes());
    }
}
