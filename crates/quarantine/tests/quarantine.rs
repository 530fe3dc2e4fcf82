//! Verdicts from recorded evidence, and the merge of what instances tell each other.

use hickorycourse_quarantine::{
    EndDigest, MergeError, PartQuarantine, QuarantineChange, QuarantineDigest, QuarantineOptions,
    QuarantinedDigest,
};

const SERVICE: u64 = 0x5e;
const OTHER_SERVICE: u64 = 0x5f;
const FIRST: u64 = 0xf;
const BAD: u64 = 0xbad;

/// Time from which an end counts.
const SETTLE_MS: u64 = 300;

fn quarantine() -> PartQuarantine {
    PartQuarantine::new(QuarantineOptions { settle_ms: SETTLE_MS, ..QuarantineOptions::default() })
}

/// Lets all ends until `now_ms` count.
fn settle(quarantine: &mut PartQuarantine, now_ms: u64) -> Vec<QuarantineChange> {
    quarantine.expire(now_ms + SETTLE_MS)
}

fn quarantined(quarantine: &PartQuarantine) -> Vec<u64> {
    quarantine.quarantined().map(|(part, _)| part).collect()
}

/// Sends the state of `from` to `to`, without a delay.
fn tell(from: &PartQuarantine, to: &mut PartQuarantine, now_ms: u64) -> Vec<QuarantineChange> {
    to.merge(&from.digest(now_ms), now_ms).expect("an own digest is within the limits")
}

#[test]
fn part_under_three_ends_quarantined() {
    let mut table = quarantine();
    assert_eq!(table.record_broken_beginning(SERVICE, 1, &[FIRST, BAD], 1_000), []);
    table.record_begun(SERVICE, &[FIRST, 0xa], 1_100, 1_250);
    assert_eq!(table.record_broken_beginning(SERVICE, 2, &[FIRST, BAD], 1_300), []);
    table.record_begun(SERVICE, &[FIRST, 0xb], 1_400, 1_550);
    assert_eq!(table.record_broken_beginning(SERVICE, 3, &[FIRST, BAD], 1_600), []);
    assert_eq!(table.expire(1_899), [], "an answer on it may still be told");
    let changes = table.expire(1_900);
    assert_eq!(changes, [QuarantineChange::Found { part: BAD, starts: 3, span_ms: 600 }]);
    assert_eq!(table.check(&[0xa, BAD], 1_950), Some(BAD));
    assert_eq!(table.check(&[FIRST, 0xa], 1_950), None);
}

#[test]
fn part_with_an_answer_since_not_quarantined() {
    let mut table = quarantine();
    table.record_broken_beginning(SERVICE, 1, &[FIRST, BAD], 1_000);
    table.record_broken_beginning(SERVICE, 2, &[FIRST, BAD], 1_300);
    table.record_begun(SERVICE, &[BAD], 1_400, 1_550);
    table.record_broken_beginning(SERVICE, 3, &[FIRST, 0xa], 1_600);
    table.expire(2_000);
    assert_eq!(quarantined(&table), [FIRST], "no answer has begun on this one");
}

#[test]
fn part_with_an_answer_before_quarantined() {
    let mut table = quarantine();
    table.record_begun(SERVICE, &[FIRST, BAD], 900, 1_050);
    for start in 1..6 {
        let now_ms = 1_000 + 200 * start;
        table.record_broken_beginning(SERVICE, start, &[FIRST, BAD], now_ms);
        table.record_begun(SERVICE, &[FIRST], now_ms + 50, now_ms + 199);
    }
    assert_eq!(settle(&mut table, 2_300), [], "its upstreams may all have ended");
    for now_ms in [2_310, 2_370] {
        table.record_begun(SERVICE, &[FIRST], now_ms, now_ms + 150);
    }
    settle(&mut table, 2_300);
    assert_eq!(quarantined(&table), [BAD]);
}

#[test]
fn ends_at_the_same_moment_not_sufficient() {
    let mut table = quarantine();
    for start in 1..20 {
        assert_eq!(table.record_broken_beginning(SERVICE, start, &[FIRST, 0xa], 1_000 + start), []);
    }
    table.record_begun(SERVICE, &[FIRST, 0xa], 1_100, 1_250);
    assert_eq!(table.record_broken_beginning(SERVICE, 30, &[FIRST, 0xa], 1_500), []);
}

#[test]
fn one_start_counts_once() {
    let mut table = quarantine();
    for now_ms in (1_000..3_000).step_by(100) {
        table.record_broken_beginning(SERVICE, 1, &[FIRST, BAD], now_ms);
    }
    assert_eq!(quarantined(&table), []);
}

#[test]
fn start_that_goes_on_is_no_evidence() {
    let mut table = quarantine();
    for (start, now_ms) in [(1, 1_000), (2, 2_000), (3, 3_000), (4, 4_000)] {
        assert_eq!(table.record_broken_beginning(SERVICE, start, &[FIRST, 0xa], now_ms), []);
        table.record_progress(start, now_ms + 400);
    }
    assert_eq!(quarantined(&table), []);
}

#[test]
fn bytes_read_after_the_end_leave_the_evidence() {
    let mut table = quarantine();
    for (start, now_ms) in [(1, 1_000), (2, 2_000), (3, 3_000)] {
        table.record_broken_beginning(SERVICE, start, &[BAD], now_ms);
        table.record_progress(start, now_ms + 2);
    }
    table.expire(3_300);
    assert_eq!(quarantined(&table), [BAD]);
}

#[test]
fn tied_parts_the_later_in_the_prompt_quarantined() {
    let mut table = quarantine();
    for (start, now_ms) in [(1, 1_000), (2, 1_200), (3, 1_400)] {
        table.record_broken_beginning(SERVICE, start, &[FIRST, BAD], now_ms);
    }
    table.expire(1_700);
    assert_eq!(quarantined(&table), [BAD]);
    // The ends that it explains are no evidence against the first part.
    assert_eq!(table.record_broken_beginning(SERVICE, 4, &[FIRST, 0xa], 1_600), []);
}

#[test]
fn first_part_that_crashes_quarantined() {
    let mut table = quarantine();
    for (start, now_ms) in [(1, 1_000), (2, 1_200), (3, 1_400)] {
        table.record_broken_beginning(SERVICE, start, &[BAD, 0xa0 + start], now_ms);
    }
    table.expire(1_700);
    assert_eq!(quarantined(&table), [BAD]);
}

#[test]
fn two_parts_each_quarantined() {
    let mut table = quarantine();
    for (start, part) in [(1, 0xb1), (2, 0xb2), (3, 0xb1), (4, 0xb2), (5, 0xb1), (6, 0xb2)] {
        table.record_broken_beginning(SERVICE, start, &[FIRST, part], 1_000 + 150 * start);
        table.record_begun(SERVICE, &[FIRST], 1_010 + 150 * start, 1_100 + 150 * start);
    }
    table.expire(2_200);
    assert_eq!(quarantined(&table), [0xb1, 0xb2]);
}

/// Load pattern: two parts crash all upstreams within a second, so that no answer begins on the part that
/// all requests share.
#[test]
fn first_part_of_all_requests_not_quarantined_while_nothing_begins() {
    let mut table = quarantine();
    table.record_begun(SERVICE, &[FIRST, 0xa], 990, 1_140);
    for start in 1..8 {
        table.record_broken_beginning(
            SERVICE,
            start,
            &[FIRST, 0xb1 + start % 2],
            1_000 + 165 * start,
        );
        table.expire(1_100 + 165 * start);
    }
    for now_ms in (2_200..8_000).step_by(100) {
        table.expire(now_ms);
    }
    assert_eq!(quarantined(&table), [0xb1, 0xb2]);
}

#[test]
fn instances_that_see_one_end_each_agree() {
    let mut tables = [quarantine(), quarantine(), quarantine()];
    for (index, table) in tables.iter_mut().enumerate() {
        let now_ms = 1_000 + 300 * index as u64;
        table.record_broken_beginning(
            SERVICE,
            index as u64,
            &[FIRST, 0xa + index as u64, BAD],
            now_ms,
        );
    }
    let [first, second, third] = &mut tables;
    tell(first, second, 1_650);
    tell(second, third, 1_700);
    third.expire(1_900);
    assert_eq!(quarantined(third), [BAD]);
    let told = tell(third, first, 1_950);
    assert_eq!(told, [QuarantineChange::Told { part: BAD }]);
    assert_eq!(tell(third, first, 2_000), [], "a second copy changes nothing");
}

#[test]
fn answer_at_another_instance_clears_a_part() {
    let (mut first, mut second) = (quarantine(), quarantine());
    first.record_broken_beginning(SERVICE, 1, &[FIRST], 1_000);
    first.record_broken_beginning(SERVICE, 2, &[FIRST], 1_500);
    tell(&first, &mut second, 1_600);
    second.record_begun(SERVICE, &[FIRST], 1_700, 1_850);
    tell(&second, &mut first, 1_900);
    assert_eq!(first.record_broken_beginning(SERVICE, 3, &[FIRST], 2_000), []);
}

#[test]
fn answer_before_the_digest_clears_a_part() {
    let (mut first, mut second) = (quarantine(), quarantine());
    first.record_broken_beginning(SERVICE, 1, &[FIRST], 1_000);
    first.record_broken_beginning(SERVICE, 2, &[FIRST], 1_500);
    second.record_begun(SERVICE, &[FIRST], 1_550, 1_700);
    tell(&first, &mut second, 1_750);
    tell(&second, &mut first, 1_800);
    assert_eq!(first.record_broken_beginning(SERVICE, 3, &[FIRST], 2_000), []);
}

#[test]
fn lifted_part_stays_lifted() {
    let (mut first, mut second) = (quarantine(), quarantine());
    for (start, now_ms) in [(1, 1_000), (2, 1_200), (3, 1_400)] {
        first.record_broken_beginning(SERVICE, start, &[BAD], now_ms);
    }
    first.expire(1_700);
    tell(&first, &mut second, 1_750);
    assert!(second.lift(BAD, 2_000));
    tell(&first, &mut second, 2_100);
    assert_eq!(quarantined(&second), []);
    assert_eq!(tell(&second, &mut first, 2_200), [QuarantineChange::Lifted { part: BAD }]);
    assert_eq!(quarantined(&first), []);
    for start in 4..9 {
        second.record_broken_beginning(SERVICE, start, &[BAD], 3_000 + 100 * start);
    }
    // Answers on other parts begin meanwhile.
    for now_ms in (3_850..4_100).step_by(50) {
        for table in [&mut first, &mut second] {
            table.record_begun(SERVICE, &[0xa], now_ms, now_ms + 100);
        }
    }
    second.expire(4_200);
    tell(&second, &mut first, 4_300);
    assert_eq!(quarantined(&first), [BAD], "it crashes upstreams again");
}

#[test]
fn idle_part_lifted_pinned_part_kept() {
    let options = QuarantineOptions::default();
    let mut table = quarantine();
    for (start, now_ms) in [(1, 1_000), (2, 1_200), (3, 1_400)] {
        table.record_broken_beginning(SERVICE, start, &[BAD], now_ms);
    }
    table.expire(1_700);
    table.pin(0xa, 1_700);
    table.check(&[BAD], 5_000);
    assert_eq!(table.expire(4_999 + options.idle_lift_ms), []);
    let lifted = table.expire(5_000 + options.idle_lift_ms);
    assert_eq!(lifted, [QuarantineChange::Lifted { part: BAD }]);
    assert_eq!(quarantined(&table), [0xa]);
}

#[test]
fn digests_out_of_bounds_rejected() {
    let end = |parts: usize| EndDigest {
        service: SERVICE,
        start: 1,
        age_ms: 0,
        parts: (0..parts as u64).map(|part| (part, 0)).collect(),
    };
    let told = |starts| QuarantinedDigest {
        part: BAD,
        age_ms: 0,
        last_request_age_ms: 0,
        starts,
        is_pinned: false,
        is_request: false,
        had_answers: false,
    };
    let cases = [
        (QuarantineDigest { ends: vec![end(257)], ..Default::default() }, MergeError::TooLong),
        (
            QuarantineDigest { ends: vec![end(129), end(128)], ..Default::default() },
            MergeError::TooLong,
        ),
        (QuarantineDigest { ends: vec![end(1); 17], ..Default::default() }, MergeError::TooLong),
        (QuarantineDigest { cleared: vec![(1, 1); 33], ..Default::default() }, MergeError::TooLong),
        (
            QuarantineDigest { quarantined: vec![told(3); 65], ..Default::default() },
            MergeError::TooLong,
        ),
        (
            QuarantineDigest { quarantined: vec![told(2)], ..Default::default() },
            MergeError::Unfounded,
        ),
    ];
    for (digest, error) in cases {
        let mut table = quarantine();
        assert_eq!(table.merge(&digest, 1_000_000), Err(error));
        assert_eq!(quarantined(&table), []);
    }
}

#[test]
fn ages_of_any_size_accepted() {
    let digest = QuarantineDigest {
        ends: vec![EndDigest {
            service: SERVICE,
            start: 1,
            age_ms: u64::MAX,
            parts: vec![(BAD, 255)],
        }],
        cleared: vec![(BAD, u64::MAX)],
        begun: Vec::new(),
        answers: Vec::new(),
        alive: vec![(1, u64::MAX)],
        lifted: vec![(BAD, u64::MAX)],
        quarantined: vec![QuarantinedDigest {
            part: BAD,
            age_ms: u64::MAX,
            last_request_age_ms: u64::MAX,
            starts: u64::MAX,
            is_pinned: false,
            is_request: false,
            had_answers: false,
        }],
    };
    let mut aged = digest.clone();
    aged.add_age(u64::MAX);
    assert_eq!(aged, digest);
    let mut table = quarantine();
    assert_eq!(table.merge(&digest, 10), Ok(Vec::new()));
    assert_eq!(quarantined(&table), []);
}

/// Load pattern: three waves of crashes, none caused by a request, under parts that are asked for more or
/// less often.
#[test]
fn waves_of_crashes_popular_parts_not_quarantined() {
    let mut table = quarantine();
    let mut start = 0;
    for wave in 0..3_u64 {
        let at_ms = 1_000 + 4_000 * wave;
        for _ in 0..6 {
            start += 1;
            let subject = 0x100 + start % 5;
            assert_eq!(
                table.record_broken_beginning(SERVICE, start, &[FIRST, subject], at_ms + start),
                []
            );
        }
        // Each part is answered again before the next wave.
        for subject in 0x100..0x105 {
            table.record_begun(SERVICE, &[FIRST, subject], at_ms + 500, at_ms + 700);
        }
        table.expire(at_ms + 1_000);
    }
    assert_eq!(quarantined(&table), []);
}

#[test]
fn start_told_alive_before_its_end_remains_evidence() {
    let (mut first, mut second) = (quarantine(), quarantine());
    first.record_broken_beginning(SERVICE, 1, &[0xa], 1_000);
    first.record_progress(1, 1_400);
    for (start, now_ms) in [(1, 3_000), (2, 3_200), (3, 3_400)] {
        second.record_broken_beginning(SERVICE, start, &[BAD], now_ms);
    }
    tell(&first, &mut second, 3_450);
    second.expire(3_700);
    assert_eq!(quarantined(&second), [BAD]);
}

#[test]
fn told_part_with_an_answer_since_not_quarantined() {
    let (mut first, mut second) = (quarantine(), quarantine());
    for (start, now_ms) in [(1, 1_000), (2, 1_200), (3, 1_400)] {
        first.record_broken_beginning(SERVICE, start, &[FIRST], now_ms);
    }
    first.expire(1_700);
    assert_eq!(quarantined(&first), [FIRST], "no answer on it is known here");
    second.record_begun(SERVICE, &[FIRST], 1_750, 1_900);
    tell(&first, &mut second, 1_950);
    assert_eq!(quarantined(&second), [], "an answer on it has begun since");
    assert_eq!(tell(&second, &mut first, 2_000), [QuarantineChange::Lifted { part: FIRST }]);
    assert_eq!(quarantined(&first), []);
}

#[test]
fn quarantined_part_lifted_by_an_answer_since() {
    let (mut first, mut second) = (quarantine(), quarantine());
    for (start, now_ms) in [(1, 1_000), (2, 1_200), (3, 1_400)] {
        first.record_broken_beginning(SERVICE, start, &[FIRST], now_ms);
    }
    first.expire(1_700);
    first.pin(0xa, 1_700);
    tell(&first, &mut second, 1_710);
    assert_eq!(second.record_begun(SERVICE, &[FIRST], 1_690, 1_850), [], "it began before");
    let lifted = second.record_begun(SERVICE, &[FIRST, 0xa], 1_750, 1_900);
    assert_eq!(lifted, [QuarantineChange::Lifted { part: FIRST }]);
    assert_eq!(tell(&first, &mut second, 1_910), [], "told again by an instance behind");
    assert_eq!(tell(&second, &mut first, 1_920), [QuarantineChange::Lifted { part: FIRST }]);
    assert_eq!((quarantined(&first), quarantined(&second)), (vec![0xa], vec![0xa]));
}

/// Load pattern: all upstreams of one service are lost to other causes, and another service goes on.
#[test]
fn first_part_of_service_without_upstreams_not_quarantined() {
    let mut table = quarantine();
    table.record_begun(SERVICE, &[FIRST, 0xa], 990, 1_140);
    for start in 1..7 {
        table.record_broken_beginning(SERVICE, start, &[FIRST, 0xa0 + start], 1_000 + 100 * start);
    }
    table.record_begun(OTHER_SERVICE, &[0x0ff], 1_700, 1_850);
    table.expire(2_000);
    assert_eq!(quarantined(&table), []);
}

#[test]
fn open_ends_behind_cleared_ends_told() {
    let (mut first, mut second) = (quarantine(), quarantine());
    for (start, now_ms) in [(1, 1_000), (2, 1_200)] {
        first.record_broken_beginning(SERVICE, start, &[BAD], now_ms);
    }
    for start in 10..30 {
        first.record_broken_beginning(SERVICE, start, &[0xa], 1_300 + start);
    }
    first.record_begun(SERVICE, &[0xa], 1_400, 1_550);
    tell(&first, &mut second, 1_600);
    second.record_broken_beginning(SERVICE, 3, &[BAD], 1_700);
    second.expire(2_000);
    assert_eq!(quarantined(&second), [BAD]);
}

/// Load pattern: each end takes many waiting requests with parts that no other request has.
#[test]
fn part_of_ends_with_many_parts_found() {
    let mut tables = [quarantine(), quarantine(), quarantine()];
    for (index, table) in tables.iter_mut().enumerate() {
        let start = index as u64 + 1;
        let at_ms = 1_000 + 300 * index as u64;
        for waiting in 0..12 {
            let unique = start * 0x1000 + waiting * 2;
            table.record_broken_beginning(SERVICE, start, &[FIRST, unique, unique + 1], at_ms);
        }
        table.record_broken_beginning(SERVICE, start, &[BAD, start * 0x1000 + 0xff], at_ms);
        table.record_begun(SERVICE, &[FIRST], at_ms + 50, at_ms + 200);
    }
    for now_ms in (1_900..4_000).step_by(300) {
        for from in 0..tables.len() {
            let told = tables[from].digest(now_ms);
            for table in &mut tables {
                table.merge(&told, now_ms).expect("an own digest is within the limits");
                table.expire(now_ms);
            }
        }
    }
    for table in &tables {
        assert_eq!(quarantined(table), [BAD]);
    }
}

/// The instance that sees the other attempts at the engines that end does not blame what they share.
#[test]
fn part_in_attempts_beside_the_crashing_one_not_quarantined() {
    let (mut first, mut second) = (quarantine(), quarantine());
    for (start, now_ms) in [(1, 1_000), (2, 1_200), (3, 1_400)] {
        let beside = [FIRST, 0xa + start];
        assert_eq!(first.record_broken_beginning(SERVICE, start, &beside, now_ms), []);
        assert_eq!(second.record_broken_beginning(SERVICE, start, &[FIRST, BAD], now_ms), []);
    }
    tell(&second, &mut first, 1_500);
    tell(&first, &mut second, 1_500);
    settle(&mut first, 1_400);
    settle(&mut second, 1_400);
    assert_eq!(quarantined(&first), [BAD]);
    assert_eq!(quarantined(&second), [BAD]);
}

/// An instance that knows the quarantined part, but not that a start ended under it, is told.
#[test]
fn ends_after_the_verdict_explained_by_others() {
    let (mut first, mut second) = (quarantine(), quarantine());
    for (start, now_ms) in [(1, 1_000), (2, 1_200), (3, 1_400)] {
        first.record_broken_beginning(SERVICE, start, &[FIRST, BAD], now_ms);
    }
    settle(&mut first, 1_400);
    assert_eq!(tell(&first, &mut second, 1_750).len(), 1);
    // Requests that were under way as the part was quarantined.
    for (start, now_ms) in [(4, 1_800), (5, 2_000), (6, 2_200)] {
        second.record_broken_beginning(SERVICE, start, &[FIRST, 0xa + start], now_ms);
        first.record_broken_beginning(SERVICE, start, &[FIRST, BAD], now_ms);
    }
    tell(&first, &mut second, 2_300);
    tell(&second, &mut first, 2_350);
    assert_eq!(settle(&mut first, 2_200), []);
    assert_eq!(settle(&mut second, 2_200), []);
}

/// Load pattern: many engines crash within 600 ms; a part of few requests is in flight at three of them,
/// and no request with it comes for a while.
#[test]
fn part_in_few_of_the_ends_of_a_wave_not_quarantined() {
    let mut table = quarantine();
    for start in 0..20_u64 {
        let subject = if start % 7 == 0 { 0xa } else { 0x100 + start };
        table.record_broken_beginning(SERVICE, start, &[FIRST, subject], 1_000 + 30 * start);
        table.record_begun(SERVICE, &[FIRST], 1_001 + 30 * start, 1_151 + 30 * start);
    }
    assert_eq!(settle(&mut table, 2_000), []);
}

/// The ends of a wave do not hide a part that crashes engines before and after it.
#[test]
fn part_under_ends_beside_a_wave_quarantined() {
    let mut table = quarantine();
    for (start, now_ms) in [(100, 1_000), (101, 1_500), (102, 2_750), (103, 3_000)] {
        table.record_broken_beginning(SERVICE, start, &[FIRST, BAD], now_ms);
    }
    for start in 0..20_u64 {
        let parts = [FIRST, 0x100 + start];
        table.record_broken_beginning(SERVICE, start, &parts, 1_900 + 20 * start);
    }
    table.record_begun(SERVICE, &[FIRST], 3_050, 3_200);
    settle(&mut table, 3_000);
    assert_eq!(quarantined(&table), [BAD]);
}

/// An instance that has just started knows no answers. The others do, and don't follow it.
#[test]
fn verdict_of_an_instance_without_answers_not_followed() {
    let (mut started, mut second) = (quarantine(), quarantine());
    second.record_begun(SERVICE, &[FIRST, 0xa], 900, 1_050);
    for start in 1..6 {
        started.record_broken_beginning(
            SERVICE,
            start,
            &[FIRST, 0xa0 + start],
            1_000 + 100 * start,
        );
    }
    settle(&mut started, 1_500);
    assert_eq!(quarantined(&started), [FIRST]);
    assert_eq!(tell(&started, &mut second, 1_850), []);
    settle(&mut second, 2_000);
    assert_eq!(quarantined(&second), []);
    second.record_begun(SERVICE, &[FIRST], 2_400, 2_550);
    tell(&started, &mut second, 2_600);
    assert_eq!(tell(&second, &mut started, 2_650), [QuarantineChange::Lifted { part: FIRST }]);
}

/// Load pattern: all upstreams of a service end one after the other and start again after a second. One of
/// the parts that many requests share has no luck.
#[test]
fn popular_part_in_a_wave_of_crashes_not_quarantined() {
    const OTHER: u64 = 0x07;
    let mut table = quarantine();
    table.record_begun(SERVICE, &[FIRST, 0xa], 990, 1_140);
    for start in 1..7 {
        let now_ms = 1_000 + 120 * start;
        table.record_broken_beginning(SERVICE, start, &[FIRST, 0xa], now_ms);
        table.record_begun(SERVICE, &[FIRST, OTHER], now_ms + 10, now_ms + 100);
        table.expire(now_ms + 110);
    }
    for now_ms in (1_900..2_400).step_by(100) {
        table.expire(now_ms);
    }
    // The first upstream is back.
    table.record_begun(SERVICE, &[FIRST, OTHER], 2_300, 2_450);
    table.expire(2_450);
    assert_eq!(quarantined(&table), []);
}
