//! Wall-clock estimate and usage per window.

use std::collections::BTreeMap;

use hickorycourse_duties::{
    FleetUsage, UsageSource, UsageWindows, WallClockEstimator, WindowCounts,
};

const START_MS: u64 = 1_700_000_000_000;

#[test]
fn estimate_ms_with_wrong_local_clock_uses_median() {
    let mut estimator = WallClockEstimator::new(START_MS + 2_000, 0);
    for (peer, error_ms) in [("a", 3), ("b", 0), ("c", 5), ("d", 2_000)] {
        estimator.record_peer(peer, START_MS + 1_000 + error_ms, 1_000);
    }
    assert_eq!(estimator.estimate_ms(1_000), START_MS + 1_005);
}

#[test]
fn estimate_ms_with_small_differences_uses_local_clock() {
    let mut estimator = WallClockEstimator::new(START_MS + 40, 0);
    estimator.record_peer("a", START_MS + 1_000, 1_000);
    estimator.record_peer("b", START_MS + 1_000, 1_000);
    assert_eq!(estimator.estimate_ms(1_000), START_MS + 1_040);
}

#[test]
fn estimate_ms_without_peers_uses_local_clock() {
    let estimator = WallClockEstimator::new(START_MS, 500);
    assert_eq!(estimator.estimate_ms(1_500), START_MS + 1_000);
}

fn counts(window: u64, count: u64) -> WindowCounts {
    WindowCounts { window, counts: BTreeMap::from([("dealer".to_owned(), count)]) }
}

fn process(instance: &str, boot: u64) -> UsageSource<'_> {
    UsageSource { availability_zone: "east", process: Some((instance, boot)) }
}

// Guards against counts that are forgotten, or counted twice, when processes report through an aggregator from
// now on, or to all again.
#[test]
fn total_over_change_of_grouping_keeps_counts() {
    let mut usage = FleetUsage::default();
    usage.merge(&process("a", 1), &[counts(7, 5)]);
    usage.merge(&process("ended", 1), &[counts(7, 3)]);
    let sum = UsageSource { availability_zone: "east", process: None };
    usage.merge(&sum, &[counts(7, 6)]);
    assert_eq!(
        usage.total(7).get("dealer"),
        Some(&8),
        "the aggregator does not know the ended one"
    );
    usage.merge(&sum, &[counts(7, 12)]);
    let other_zone = UsageSource { availability_zone: "west", process: None };
    usage.merge(&other_zone, &[counts(7, 1)]);
    assert_eq!(usage.total(7).get("dealer"), Some(&13));
    usage.merge(&process("a", 1), &[counts(7, 6)]);
    assert_eq!(usage.total(7).get("dealer"), Some(&13));
    usage.evict_before(8);
    assert_eq!(usage.newest_window(), None);
}

#[test]
fn total_ignores_duplicates_and_keeps_ended_process() {
    let mut usage = FleetUsage::default();
    usage.merge(&process("a", 1), &[counts(7, 5)]);
    usage.merge(&process("a", 1), &[counts(7, 9)]);
    usage.merge(&process("a", 1), &[counts(7, 8)]);
    usage.merge(&process("a", 2), &[counts(7, 2)]);
    usage.merge(&process("b", 1), &[counts(7, 4), counts(8, 1)]);
    assert_eq!(usage.total(7).get("dealer"), Some(&15));
    usage.evict_before(8);
    assert_eq!(usage.total(8).get("dealer"), Some(&1));
    assert_eq!(usage.total(7).get("dealer"), Some(&4));
}

#[test]
fn newest_returns_at_most_limit() {
    let mut windows = UsageWindows::new(5_000);
    windows.add("dealer", 4_999);
    windows.add("dealer", 5_000);
    windows.add("dealer", 9_999);
    assert_eq!(windows.newest(1), [counts(1, 2)]);
    assert_eq!(windows.newest(3), [counts(1, 2), counts(0, 1)]);
}
