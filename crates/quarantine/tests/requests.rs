//! Verdicts on whole requests, which come again and again with or without parts of prompts.

use hickorycourse_quarantine::{
    PartQuarantine, QuarantineChange, QuarantineOptions, RequestItems, SuspectAdmission,
};

const SERVICE: u64 = 0x5e;
const BAD: u64 = 0xbad;
const SOUND: u64 = 0x50;
const PART: u64 = 0xa;
const SETTLE_MS: u64 = 1_500;

fn quarantine() -> PartQuarantine {
    PartQuarantine::new(QuarantineOptions::default())
}

fn items(request: u64, parts: &[u64]) -> RequestItems<'_> {
    RequestItems { request: Some(request), parts }
}

fn plain(request: u64) -> RequestItems<'static> {
    items(request, &[])
}

fn quarantined(quarantine: &PartQuarantine) -> Vec<u64> {
    quarantine.quarantined().map(|(item, _)| item).collect()
}

fn tell(from: &PartQuarantine, to: &mut PartQuarantine, now_ms: u64) {
    to.merge(&from.digest(now_ms), now_ms).expect("an own digest is within the limits");
}

/// Lets a request end starts at these times.
fn end_starts(table: &mut PartQuarantine, request: u64, times_ms: &[u64]) {
    for at_ms in times_ms {
        table.record_broken_beginning(SERVICE, *at_ms, plain(request), *at_ms);
    }
}

#[test]
fn request_without_parts_under_three_ends_quarantined() {
    let mut table = quarantine();
    end_starts(&mut table, BAD, &[1_000, 1_100, 1_200]);
    assert_eq!(table.expire(1_199 + SETTLE_MS), [], "answers may still be told");
    let changes = table.expire(1_200 + SETTLE_MS);
    assert_eq!(changes, [QuarantineChange::Found { part: BAD, starts: 3, span_ms: 200 }]);
    assert_eq!(table.check(plain(BAD), 3_000), Some(BAD));
    assert_eq!(table.check(plain(SOUND), 3_000), None);
}

// Guards against a request being sent on while the evidence against it settles, and by all instances at
// once when it has.
#[test]
fn request_under_three_ends_held_and_then_probed() {
    let mut table = quarantine();
    end_starts(&mut table, BAD, &[1_000, 1_010]);
    assert_eq!(table.admit(BAD, 1_010), SuspectAdmission::Send);
    end_starts(&mut table, BAD, &[1_020]);
    assert_eq!(table.admit(BAD, 1_120), SuspectAdmission::Hold { hold_ms: SETTLE_MS - 100 });
    assert_eq!(table.admit(SOUND, 1_120), SuspectAdmission::Send);
    assert_eq!(table.admit(BAD, 1_020 + SETTLE_MS), SuspectAdmission::Probe);
}

#[test]
fn request_answered_before_is_probed_without_pause() {
    let mut table = quarantine();
    table.record_begun(SERVICE, plain(SOUND), 500, 510);
    end_starts(&mut table, SOUND, &[1_000, 1_010, 1_020]);
    assert_eq!(table.admit(SOUND, 1_030), SuspectAdmission::Probe);
    table.record_begun(SERVICE, plain(SOUND), 1_100, 1_110);
    assert_eq!(table.admit(SOUND, 1_120), SuspectAdmission::Send);
}

// Guards against upstreams that end together, and return together, each being lost twice more.
#[test]
fn request_ends_together_and_once_more_quarantined_at_once() {
    let mut table = quarantine();
    end_starts(&mut table, BAD, &[1_000, 1_010, 1_020, 1_030]);
    assert_eq!(table.expire(4_000), [], "they may have had a common cause");
    end_starts(&mut table, BAD, &[5_000]);
    assert_eq!(quarantined(&table), [BAD]);
}

#[test]
fn request_answered_since_not_quarantined() {
    let mut table = quarantine();
    end_starts(&mut table, SOUND, &[1_000, 1_200, 1_400]);
    table.record_begun(SERVICE, plain(SOUND), 1_500, 1_510);
    assert_eq!(table.admit(SOUND, 1_510), SuspectAdmission::Send);
    assert_eq!(table.expire(9_000), []);
}

// Guards against polls being blamed when all upstreams of their service end and stay away.
#[test]
fn request_answered_before_needs_answers_on_others_between_ends() {
    let mut table = quarantine();
    table.record_begun(SERVICE, plain(BAD), 500, 510);
    end_starts(&mut table, BAD, &[1_000, 1_100, 1_200, 1_300]);
    assert_eq!(table.expire(4_000), []);
    for begun_at_ms in [5_000, 5_100] {
        table.record_begun(SERVICE, plain(SOUND + begun_at_ms), begun_at_ms, begun_at_ms + 10);
    }
    assert_eq!(table.expire(6_000), [], "no further upstream has ended");
    end_starts(&mut table, BAD, &[6_500]);
    assert_eq!(table.expire(6_500 + SETTLE_MS), [], "all may have ended twice");
    end_starts(&mut table, BAD, &[8_500]);
    assert_eq!(quarantined(&table), [], "an answer on it may still be told");
    table.expire(8_500 + SETTLE_MS);
    assert_eq!(quarantined(&table), [BAD]);
}

#[test]
fn verdict_despite_answers_followed_by_instance_with_answers() {
    let (mut finder, mut other) = (quarantine(), quarantine());
    for table in [&mut finder, &mut other] {
        table.record_begun(SERVICE, plain(BAD), 500, 510);
    }
    end_starts(&mut finder, BAD, &[1_000, 1_300]);
    for begun_at_ms in [1_400, 1_500] {
        finder.record_begun(SERVICE, plain(SOUND + begun_at_ms), begun_at_ms, begun_at_ms + 10);
    }
    end_starts(&mut finder, BAD, &[1_600]);
    finder.expire(1_600 + SETTLE_MS);
    assert_eq!(quarantined(&finder), [BAD]);
    tell(&finder, &mut other, 3_200);
    assert_eq!(quarantined(&other), [BAD]);
}

#[test]
fn verdict_of_just_started_instance_not_followed_by_instance_with_answers() {
    let (mut started, mut other) = (quarantine(), quarantine());
    other.record_begun(SERVICE, plain(SOUND), 500, 510);
    end_starts(&mut started, SOUND, &[1_000, 1_200, 1_400]);
    started.expire(1_400 + SETTLE_MS);
    tell(&started, &mut other, 3_000);
    assert_eq!(quarantined(&other), []);
}

// The narrowest of several explanations is blamed.
#[test]
fn request_is_blamed_before_its_parts() {
    let mut table = quarantine();
    for at_ms in [1_000, 1_200, 1_400] {
        table.record_broken_beginning(SERVICE, at_ms, items(BAD, &[PART]), at_ms);
    }
    table.expire(4_000);
    assert_eq!(quarantined(&table), [BAD]);
}

#[test]
fn part_is_blamed_when_different_requests_share_it() {
    let mut table = quarantine();
    for at_ms in [1_000, 1_200, 1_400] {
        table.record_broken_beginning(SERVICE, at_ms, items(at_ms, &[PART]), at_ms);
    }
    table.expire(4_000);
    assert_eq!(quarantined(&table), [PART]);
}

// Guards against sound requests and parts being blamed for the ends under a request beside them.
#[test]
fn requests_and_parts_beside_crashing_request_not_blamed() {
    let mut table = quarantine();
    for at_ms in [1_000, 1_400, 1_800, 2_200] {
        table.record_broken_beginning(SERVICE, at_ms, plain(BAD), at_ms);
        table.record_broken_beginning(SERVICE, at_ms, items(SOUND, &[PART]), at_ms + 2);
    }
    // The sound request began in between, the bad one never.
    table.record_begun(SERVICE, items(SOUND, &[PART]), 2_300, 2_310);
    table.expire(5_000);
    assert_eq!(quarantined(&table), [BAD]);
}

// Guards against a sound request being blamed that was beside the bad one at each end.
#[test]
fn request_beside_another_at_all_ends_not_blamed() {
    let mut table = quarantine();
    table.record_begun(SERVICE, plain(SOUND), 500, 510);
    for at_ms in [1_000, 1_400, 1_800] {
        table.record_broken_beginning(SERVICE, at_ms, plain(SOUND), at_ms);
        table.record_broken_beginning(SERVICE, at_ms, plain(BAD), at_ms + 2);
    }
    table.expire(5_000);
    assert_eq!(quarantined(&table), [BAD]);
    let mut table = quarantine();
    for at_ms in [1_000, 1_400, 1_800] {
        table.record_broken_beginning(SERVICE, at_ms, plain(SOUND), at_ms);
        table.record_broken_beginning(SERVICE, at_ms, plain(BAD), at_ms + 2);
    }
    assert_eq!(table.expire(5_000), [], "either may be the cause");
    table.record_begun(SERVICE, plain(SOUND), 5_100, 5_110);
    table.expire(5_200);
    assert_eq!(quarantined(&table), [BAD]);
}

#[test]
fn two_crashing_requests_are_both_quarantined() {
    let mut table = quarantine();
    end_starts(&mut table, BAD, &[1_000, 1_400, 1_800]);
    end_starts(&mut table, BAD + 1, &[1_200, 1_600, 2_000]);
    table.expire(2_000 + SETTLE_MS);
    assert_eq!(quarantined(&table), [BAD, BAD + 1]);
}

// Guards against the knowledge of parts being displaced by requests that never come again.
#[test]
fn many_requests_do_not_displace_parts() {
    let mut table = quarantine();
    table.record_begun(SERVICE, &[PART], 100, 110);
    for request in 0..10_000 {
        table.record_begun(SERVICE, plain(request), 200, 210);
    }
    for start in 1_u64..4 {
        let at_ms = 1_000 + 300 * start;
        table.record_broken_beginning(SERVICE, start, items(20_000 + start, &[PART]), at_ms);
    }
    assert_eq!(table.expire(9_000), [], "answers have begun on the part before");
}

// Guards against answers of before becoming later as instances tell each other of them.
#[test]
fn answers_told_back_and_forth_do_not_clear_ends() {
    let mut tables = [quarantine(), quarantine()];
    tables[0].record_begun(SERVICE, plain(BAD), 900, 910);
    end_starts(&mut tables[0], BAD, &[1_000, 1_200, 1_400]);
    for round in 0..20 {
        let now_ms = 1_500 + 100 * round;
        let (from, to) = ((round % 2) as usize, 1 - (round % 2) as usize);
        // Each digest is under way for 60 ms.
        let digest = tables[from].digest(now_ms);
        tables[to].merge(&digest, now_ms + 60).expect("an own digest is within the limits");
    }
    for table in &tables {
        assert!(table.is_suspected(plain(BAD)));
        assert_eq!(quarantined(table), [], "no answers on others between the ends");
    }
}

// Guards against an instance that has not seen a poll answered taking it for a new request.
#[test]
fn request_answered_at_other_instance_not_blamed_by_simple_rule() {
    let (mut one, mut other) = (quarantine(), quarantine());
    one.record_begun(SERVICE, plain(SOUND), 500, 510);
    end_starts(&mut other, SOUND, &[1_000, 1_200, 1_400]);
    tell(&other, &mut one, 1_500);
    tell(&one, &mut other, 1_600);
    assert_eq!(other.expire(5_000), []);
}
