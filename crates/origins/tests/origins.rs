//! Origins of streams, their holders, and versions that are listed.

use hickorycourse_origins::{
    BeginningJournal, LISTING_RETENTION_MS, ListedVersions, OriginJournal, OriginTable,
    StreamBeginning, StreamKey, StreamOrigin, VersionRecord, choose_holders, write_interval_ms,
};
use proptest::prelude::*;

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin { service: "desk".to_owned(), version: version.to_owned() }
}

// Guards against ids of one organisation that name the streams of another, or join with its name.
#[test]
fn stream_key_of_other_organisation_differs() {
    let key = StreamKey::new(Some("dealer"), "1a");
    assert_ne!(key, StreamKey::new(Some("other"), "1a"));
    assert_ne!(key, StreamKey::new(None, "1a"));
    assert_ne!(key, StreamKey::new(Some("dealer1"), "a"));
    assert_ne!(StreamKey::new(Some(""), "a"), StreamKey::new(None, "a"));
    assert_eq!(key, StreamKey::new(Some("dealer"), "1a"));
}

#[test]
fn find_conflicting_origin_is_unknown() {
    let mut table = OriginTable::default();
    let key = StreamKey::new(Some("dealer"), "1a");
    table.record(key, origin("v1"), 0);
    table.record(key, origin("v1"), 10);
    assert_eq!(table.find(key, 20), Some(&origin("v1")));
    table.record(key, origin("v2"), 30);
    assert_eq!(table.find(key, 40), None);
    table.record(key, origin("v1"), 50);
    assert_eq!(table.find(key, 60), None, "what began it is still not known");
}

#[test]
fn find_expired_origin_is_unknown() {
    let mut table = OriginTable::default();
    let (old, renewed) = (StreamKey::new(None, "old"), StreamKey::new(None, "renewed"));
    table.record(old, origin("v1"), 0);
    table.record(renewed, origin("v1"), 0);
    table.record(renewed, origin("v1"), 30_000);
    assert_eq!(table.find(old, 60_000), None);
    table.expire(60_000);
    assert_eq!((table.find(renewed, 60_000), table.len()), (Some(&origin("v1")), 1));
    table.expire(90_000);
    assert!(table.is_empty());
}

// Load pattern: streams of more callers than the table holds.
#[test]
fn record_beyond_capacity_forgets_the_oldest() {
    let mut table = OriginTable::default();
    for number in 0..70_000_u64 {
        table.record(StreamKey::new(None, &number.to_string()), origin("v1"), number / 10);
    }
    assert_eq!(table.len(), 65_536);
    assert_eq!(table.find(StreamKey::new(None, "0"), 7_000), None);
    assert_eq!(table.find(StreamKey::new(None, "69999"), 7_000), Some(&origin("v1")));
}

// Load pattern: a release: two versions side by side, then the new one alone.
#[test]
fn sole_since_release_has_no_sole_version() {
    let mut listed = ListedVersions::default();
    listed.record("desk", Some("v1"), 10_000);
    assert_eq!(listed.sole_since("desk", 6_000), Some("v1"));
    assert_eq!(listed.sole_since("other", 6_000), None);
    listed.record("desk", Some("v2"), 11_000);
    assert_eq!(listed.sole_since("desk", 6_000), None);
    listed.record("desk", Some("v2"), 20_000);
    assert_eq!(listed.sole_since("desk", 10_500), Some("v2"));
    listed.record("desk", None, 21_000);
    assert_eq!(listed.sole_since("desk", 10_500), None, "one upstream's version is not known");
    listed.expire(400_000);
    assert_eq!(listed.sole_since("desk", 0), None);
}

fn beginning(started_at_ms: u64) -> StreamBeginning {
    let (service, upstream) = ("desk".to_owned(), "i-1".to_owned());
    let started_at_ms = Some(started_at_ms);
    StreamBeginning { service, upstream, started_at_ms, presumed_start_ms: None }
}

// Guards against beginnings that are not in the store, are written again and again, or stay there for ever.
#[test]
fn next_write_of_beginnings_has_all_live_streams_once() {
    let mut journal = BeginningJournal::default();
    let key = |number: u64| StreamKey::new(None, &number.to_string());
    assert_eq!(journal.next_write(0), None);
    journal.record(key(1), beginning(5), 10_000);
    journal.record(key(2), beginning(5), 20_000);
    journal.record(key(3), beginning(6), 20_000);
    let segment = journal.next_write(100).expect("streams are unwritten");
    assert_eq!(segment.0.len(), 2);
    assert_eq!(segment.beginnings().count(), 3);
    assert_eq!(journal.next_write(200), None);
    journal.record_lost();
    assert_eq!(journal.next_write(300), Some(segment));
    journal.record(key(4), beginning(6), 20_000);
    let segment = journal.next_write(10_000).expect("a stream is unwritten");
    assert_eq!(
        segment.beginnings().map(|(key, _)| key).collect::<Vec<_>>(),
        [key(2), key(3), key(4)]
    );
    journal.record_lost();
    assert_eq!(journal.next_write(20_000), None, "all have ended");
    for number in 0..2_000 {
        journal.record(key(number), beginning(7), 40_000);
    }
    let segment = journal.next_write(30_000).expect("streams are unwritten");
    assert_eq!(segment.beginnings().count(), 1_024);
}

// Guards against a table that fills as the same segments are read again and again.
#[test]
fn learn_beginnings_known_one_is_not_renewed() {
    let mut table = OriginTable::default();
    let key = StreamKey::new(None, "a");
    for now_ms in [0, 30_000, 59_000] {
        table.learn_beginnings([(key, &beginning(5))].into_iter(), now_ms);
        assert_eq!(table.find_beginning(key), Some(&beginning(5)));
        assert_eq!(table.beginning_known_at_ms(key), Some(0));
    }
    table.expire(60_000);
    assert_eq!(table.find_beginning(key), None);
}

const WALL_MS: u64 = 1_700_000_000_000;
const TIMEOUT_MS: i64 = 15_000;

/// Versions as an instance knows them that starts `down_ms` after this record was written.
fn start_after(lived: &ListedVersions, lived_ms: u64, down_ms: u64, era: u64) -> ListedVersions {
    let record = lived.make_record(WALL_MS, 0, lived_ms);
    let mut started = ListedVersions::default();
    started.merge(&record, WALL_MS + down_ms, era, 100);
    started.record("desk", Some("v2"), 100);
    started
}

// Guards against a sole version that is not believed, as all instances have started lately.
#[test]
fn merge_after_restart_of_all_knows_sole_version() {
    let mut lived = ListedVersions::default();
    lived.record("desk", Some("v2"), 40_000);
    let started = start_after(&lived, 40_000, 700, 0);
    assert_eq!(started.sole_since("desk", 100 - TIMEOUT_MS), Some("v2"));
    assert!(!started.is_mixed_since("desk", 100 - TIMEOUT_MS));
}

// Guards against a guess: another version was listed when the record was written, has gone since or only lately, or
// the record is too old, or from before the store came back from a copy.
#[test]
fn merge_uncertain_record_knows_no_sole_version() {
    let mut lived = ListedVersions::default();
    lived.record("desk", Some("v2"), 40_000);
    let sole =
        |started: &ListedVersions| started.sole_since("desk", 100 - TIMEOUT_MS).map(str::to_owned);
    assert_eq!(sole(&start_after(&lived, 40_000, 61_000, 0)), None);
    assert_eq!(sole(&start_after(&lived, 40_000, 700, 1)), None);
    assert_eq!(sole(&start_after(&lived, 10_000, 700, 0)), None, "it is not known for long enough");
    lived.record("desk", Some("v1"), 40_000);
    assert_eq!(sole(&start_after(&lived, 40_000, 700, 0)), None);
    lived.record("desk", Some("v2"), 60_000);
    assert_eq!(sole(&start_after(&lived, 60_000, 700, 0)), None, "clocks may differ");
    lived.record("desk", Some("v2"), 70_000);
    assert_eq!(sole(&start_after(&lived, 70_000, 700, 0)), Some("v2".to_owned()));
}

/// Versions as an instance knows them that starts `down_ms` after another one has written a mark of a version that
/// is not known, which `lived` knows of.
fn start_after_mark(lived: &ListedVersions, lived_ms: u64, down_ms: u64) -> ListedVersions {
    let mut started = start_after(lived, lived_ms, down_ms, 0);
    started.record("desk", Some("v2"), 100 + TIMEOUT_MS as u64);
    started
}

// Guards against the listed version being believed by instances that start after others have sent streams to a start
// that is not listed.
#[test]
fn merge_mark_of_unknown_version_knows_no_sole_version() {
    let mut lived = ListedVersions::default();
    lived.record_first_start(0);
    lived.record("desk", Some("v2"), 40_000);
    assert!(!lived.make_record(WALL_MS, 0, 40_000).has_unknown_version("desk", 0, WALL_MS));
    lived.record("desk", None, 40_000);
    let record = lived.make_record(WALL_MS, 0, 40_000);
    assert!(record.has_unknown_version("desk", 0, WALL_MS + 3_000));
    assert!(
        !record.has_unknown_version("desk", 0, WALL_MS + 3_001),
        "streams begin later than that"
    );
    assert!(!record.has_unknown_version("desk", 1, WALL_MS), "the store has lost it");
    assert!(!record.has_unknown_version("other", 0, WALL_MS));
    let started = start_after_mark(&lived, 40_000, 700);
    assert_eq!(started.sole_since("desk", 100), None);
    assert_eq!(started.sole_since("desk", 101), Some("v2"));
    // The writer of the record does not see the start itself.
    lived.record("desk", Some("v2"), 43_000);
    assert!(lived.make_record(WALL_MS, 0, 43_000).has_unknown_version("desk", 0, WALL_MS));
    assert_eq!(start_after_mark(&lived, 43_000, 700).sole_since("desk", 100), None);
}

// Guards against instances that live on and don't see the start: they believe the listed version, and the one that
// writes the record removes the mark.
#[test]
fn merge_unknown_mark_of_another_instance_is_kept_until_it_is_old() {
    let mut marking = ListedVersions::default();
    marking.record("desk", Some("v1"), 40_000);
    marking.record("desk", None, 40_000);
    let mark = marking.make_record(WALL_MS, 0, 40_000);
    let mut other = ListedVersions::default();
    other.record_first_start(0);
    other.merge(&VersionRecord::default(), 0, 0, 0);
    other.record("desk", Some("v1"), 70_000);
    other.merge_unknown(&mark, WALL_MS, 1, 70_000);
    assert_eq!(
        other.sole_since("desk", 60_000),
        Some("v1"),
        "from before the store's return from a copy"
    );
    other.merge_unknown(&mark, WALL_MS, 0, 70_000);
    assert_eq!(other.sole_since("desk", 70_000), None);
    assert!(other.is_mixed_since("desk", 60_000));
    // What it writes from then on is read again, also by itself.
    for now_ms in (70_250..110_000).step_by(250) {
        other.record("desk", Some("v1"), now_ms);
        let wall_ms = WALL_MS + now_ms - 70_000;
        let written = other.make_record(wall_ms, 0, now_ms);
        other.merge_unknown(&written, wall_ms + 200, 0, now_ms + 200);
        other.merge_unknown(&written, wall_ms - 5_000, 0, now_ms + 200);
    }
    assert_eq!(other.sole_since("desk", 70_001), Some("v1"), "the mark renews itself");
    assert_eq!(other.sole_since("desk", 70_000), None);
}

// Guards against a mark that is missed while it is the latest write: the next record says since when it has gone.
#[test]
fn merge_unknown_mark_that_has_gone_is_known() {
    let mut marking = ListedVersions::default();
    marking.record("desk", None, 40_000);
    marking.record("desk", Some("v1"), 45_000);
    let record = marking.make_record(WALL_MS, 0, 45_000);
    let mut other = ListedVersions::default();
    other.record_first_start(0);
    other.record("desk", Some("v1"), 70_000);
    other.merge_unknown(&record, WALL_MS, 0, 70_000);
    assert_eq!(other.sole_since("desk", 65_000), None);
    assert_eq!(other.sole_since("desk", 65_001), Some("v1"));
}

// Guards against a store that has come back from a copy of before the fleet's first start: no record says what was listed
// before, which is no proof that nothing was.
#[test]
fn sole_since_start_without_record_knows_no_sole_version_of_the_past() {
    let mut listed = ListedVersions::default();
    listed.record("desk", Some("v1"), 100);
    assert_eq!(listed.sole_since("desk", 100 - TIMEOUT_MS), None);
    assert!(!listed.is_complete_since(100 - TIMEOUT_MS), "origins have to be written");
    listed.record("desk", Some("v1"), 100 + TIMEOUT_MS as u64);
    assert_eq!(listed.sole_since("desk", 100), Some("v1"));
    assert!(listed.is_complete_since(100));
    let started = start_after(&listed, 100 + TIMEOUT_MS as u64, 700, 0);
    assert_eq!(started.sole_since("desk", 100 - TIMEOUT_MS), None, "nor do those that start later");
}

// Guards against versions of before the first listing being taken for known, as the process had started earlier.
#[test]
fn record_first_listing_knows_nothing_of_before() {
    let mut listed = ListedVersions::default();
    listed.record_first_listing(40_000);
    listed.record("desk", Some("v1"), 40_000);
    assert_eq!(listed.sole_since("desk", 39_999), None);
    assert_eq!(listed.sole_since("desk", 40_000), Some("v1"));
}

// Guards against a record of a writer that had not read the store for as long as records are believed.
#[test]
fn merge_unread_record_knows_no_sole_version() {
    let mut lived = ListedVersions::default();
    lived.record_first_start(0);
    lived.record("desk", Some("v2"), 100_000);
    let record = lived.make_record(WALL_MS, 0, 100_000);
    for (unread_for_ms, is_merged) in [(0, true), (59_000, true), (61_000, false)] {
        let record = VersionRecord { unread_for_ms, ..record.clone() };
        let merged = ListedVersions::default().merge(&record, WALL_MS + 700, 0, 100);
        assert_eq!(merged, is_merged, "{unread_for_ms}");
    }
}

// Guards against a version that was listed only while the log had a gap being taken for one that never was.
#[test]
fn record_gap_knows_sole_version_once_another_instance_tells() {
    let mut lived = ListedVersions::default();
    lived.record_first_start(0);
    lived.record("desk", Some("v1"), 100_000);
    let known = lived.make_record(WALL_MS, 0, 100_000);
    let mut listed = ListedVersions::default();
    listed.record("desk", Some("v1"), 100_000);
    assert!(listed.merge(&known, WALL_MS, 0, 100_000), "the first record");
    listed.record_gap(130_000);
    listed.record("desk", Some("v1"), 130_000);
    let since_ms = 130_000 - TIMEOUT_MS;
    assert_eq!(listed.sole_since("desk", since_ms), None);
    assert!(!listed.is_complete_since(since_ms), "origins have to be written");
    assert_eq!(listed.sole_since("desk", 130_000), Some("v1"));
    // One that has read all changes has seen another version.
    let mut other = ListedVersions::default();
    other.record_first_start(0);
    other.record("desk", Some("v1"), 130_000);
    let sound = other.make_record(WALL_MS + 30_000, 0, 130_000);
    other.record("desk", Some("v2"), 128_000);
    let mixed = other.make_record(WALL_MS + 30_000, 0, 130_000);
    // One whose writer had not read the store since before the end of the gap tells nothing of it.
    let unread = VersionRecord { unread_for_ms: 1, ..sound.clone() };
    assert!(!listed.merge(&unread, WALL_MS + 30_000, 0, 130_000));
    // One that has the gap, too, tells nothing, and does not stand in for the next one.
    let incomplete = listed.make_record(WALL_MS + 30_000, 0, 130_000);
    assert!(!listed.merge(&incomplete, WALL_MS + 30_000, 0, 130_000));
    for (record, sole) in [(sound, Some("v1")), (mixed, None)] {
        let mut told = listed.clone();
        assert!(
            told.merge(&record, WALL_MS + 30_000, 0, 130_000),
            "the first record after the gap"
        );
        assert!(told.is_complete_since(since_ms));
        assert_eq!(told.sole_since("desk", since_ms), sole);
    }
}

#[test]
fn record_first_start_knows_sole_version() {
    let mut listed = ListedVersions::default();
    listed.record_first_start(50);
    listed.record("desk", Some("v1"), 100);
    assert_eq!(listed.sole_since("desk", 100 - TIMEOUT_MS), Some("v1"));
}

// Guards against a former version that is forgotten while instances that are cut off from the store can begin streams there,
// and against windows that are never known.
#[test]
fn sole_since_retention_is_known_after_first_start_and_restarts() {
    let since_ms = |now_ms: u64| now_ms as i64 - LISTING_RETENTION_MS;
    let mut listed = ListedVersions::default();
    listed.record_first_start(50);
    for _ in 0..20 {
        listed.record("desk", Some("v2"), 100);
        assert_eq!(listed.sole_since("desk", since_ms(100)), Some("v2"));
        listed = start_after(&listed, 100, 700, 0);
    }
    listed.record("desk", Some("v2"), 1_000);
    let gone_at_ms = 1_000 + LISTING_RETENTION_MS as u64;
    for (now_ms, sole) in [(gone_at_ms, None), (gone_at_ms + 1, Some("v3"))] {
        listed.record("desk", Some("v3"), now_ms);
        listed.expire(now_ms);
        assert_eq!(listed.sole_since("desk", since_ms(now_ms)), sole);
        assert_eq!(listed.is_mixed_since("desk", since_ms(now_ms)), sole.is_none());
    }
}

#[test]
fn is_outdated_by_change_or_age() {
    let mut listed = ListedVersions::default();
    listed.record("desk", Some("v1"), 1_000);
    let record = listed.make_record(WALL_MS, 0, 1_000);
    listed.record("desk", Some("v1"), 2_000);
    assert!(!record.is_outdated_by(&listed.make_record(WALL_MS + 1_000, 0, 2_000)));
    assert!(record.is_outdated_by(&listed.make_record(WALL_MS + 1_000, 1, 2_000)), "another era");
    assert!(record.is_outdated_by(&listed.make_record(WALL_MS + 20_000, 0, 21_000)));
    listed.record("desk", Some("v2"), 2_000);
    assert!(record.is_outdated_by(&listed.make_record(WALL_MS + 1_000, 0, 2_000)));
}

// Load pattern: streams begin while one version is listed, then two.
#[test]
fn next_write_of_mixed_service_has_all_live_streams() {
    let mut journal = OriginJournal::default();
    let key = |number: u64| StreamKey::new(None, &number.to_string());
    journal.record(key(1), origin("v1"), 1_000);
    journal.record(key(2), origin("v1"), 30_000);
    assert_eq!(journal.next_write(500, |_| false), None);
    let write = journal.next_write(2_000, |_| true).expect("streams are unwritten");
    assert_eq!((write.sequence, write.revision), (0, 0));
    assert_eq!(write.segment.origins().collect::<Vec<_>>(), [(key(2), &origin("v1"))]);
    journal.record_written(7, 2_000);
    assert_eq!(journal.next_write(2_100, |_| true), None);
    journal.record(key(3), origin("v2"), 30_000);
    let write = journal.next_write(2_200, |_| true).expect("a stream is unwritten");
    assert_eq!((write.sequence, write.revision), (0, 7));
    assert_eq!(write.segment.origins().count(), 2, "the segment is rewritten");
    journal.record_written(9, 13_000);
    journal.record(key(4), origin("v2"), 30_000);
    let write = journal.next_write(13_100, |_| true).expect("a stream is unwritten");
    assert_eq!((write.sequence, write.revision), (1, 0), "the segment before is too old");
    assert_eq!(write.segment.origins().count(), 1);
}

// Guards against origins that are taken for written although their write failed, or the store has lost them.
#[test]
fn next_write_after_failure_has_the_same_streams() {
    let mut journal = OriginJournal::default();
    let key = |number: u64| StreamKey::new(None, &number.to_string());
    journal.record(key(1), origin("v1"), 30_000);
    let first = journal.next_write(100, |_| true).expect("a stream is unwritten");
    journal.record_failed();
    let second = journal.next_write(200, |_| true).expect("the write has failed");
    assert_eq!((first.sequence, second.sequence), (0, 1));
    assert_eq!(first.segment, second.segment);
    journal.record_written(5, 200);
    assert_eq!(journal.next_write(300, |_| true), None);
    journal.record_lost();
    let third = journal.next_write(400, |_| true).expect("the store has lost it");
    assert_eq!((third.sequence, third.revision, &third.segment), (2, 0, &first.segment));
}

#[test]
fn learn_known_origin_is_not_renewed() {
    let mut table = OriginTable::default();
    let key = StreamKey::new(None, "1a");
    table.learn(key, &origin("v1"), 0);
    table.learn(key, &origin("v1"), 50_000);
    assert_eq!(table.find(key, 59_000), Some(&origin("v1")));
    assert_eq!(table.find(key, 60_000), None);
    table.learn(key, &origin("v2"), 55_000);
    assert_eq!(table.find(key, 56_000), None, "two origins");
}

#[test]
fn write_interval_ms_of_large_fleet_is_longer() {
    assert_eq!([7, 60, 295, 1_100].map(write_interval_ms), [250, 250, 250, 550]);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(200) })]

    // The instance that resumes a stream asks as many as it was told to, and a few more for those that have
    // left since: it asks one that knows as long as one of them is left.
    #[test]
    fn choose_holders_finds_those_that_are_left(
        instances in 2_usize..40,
        id in "[0-9a-f]{1,16}",
        lost in proptest::collection::vec(any::<bool>(), 40),
    ) {
        let names: Vec<String> = (0..instances).map(|number| format!("relay-{number}")).collect();
        let key = StreamKey::new(Some("dealer"), &id);
        let told = choose_holders(key, names.iter().map(String::as_str), 4);
        let left = names.iter().zip(&lost).filter(|(_, is_lost)| !**is_lost);
        let left: Vec<&str> = left.map(|(name, _)| name.as_str()).collect();
        let asked = choose_holders(key, left.iter().copied(), 4);
        let expected: Vec<&str> =
            told.iter().copied().filter(|name| left.contains(name)).collect();
        prop_assert_eq!(told.len(), names.len().min(4));
        prop_assert_eq!(&asked[..expected.len()], expected.as_slice());
    }
}

// Guards against a stream of a start that is not listed yet being taken for one of the listed version.
#[test]
fn find_beginning_is_known_until_the_origin_is() {
    let mut table = OriginTable::default();
    let key = StreamKey::new(None, "a");
    let beginning = StreamBeginning {
        service: "desk".to_owned(),
        upstream: "i-1".to_owned(),
        started_at_ms: Some(2),
        presumed_start_ms: None,
    };
    table.record_beginning(key, beginning.clone(), 10);
    assert_eq!((table.find(key, 20), table.find_beginning(key)), (None, Some(&beginning)));
    table.record(key, origin("v2"), 30);
    assert_eq!((table.find(key, 40), table.find_beginning(key)), (Some(&origin("v2")), None));
    let other = StreamKey::new(None, "b");
    table.record_beginning(other, beginning, 50);
    table.expire(60_050);
    assert_eq!(table.find_beginning(other), None);
}
