//! True time and usage by window.

use std::collections::BTreeMap;

use hickorycourse_duties::{FleetUsage, TrueTime, UsageWindows, WindowCounts};

const START_MS: u64 = 1_700_000_000_000;

#[test]
fn now_ms_with_one_clock_wrong() {
    let mut time = TrueTime::new(START_MS + 2_000, 0);
    for (peer, error_ms) in [("a", 3), ("b", 0), ("c", 5), ("d", 2_000)] {
        time.take_peer(peer, START_MS + 1_000 + error_ms, 1_000);
    }
    assert_eq!(time.now_ms(1_000), START_MS + 1_005);
}

#[test]
fn now_ms_with_small_differences() {
    let mut time = TrueTime::new(START_MS + 40, 0);
    time.take_peer("a", START_MS + 1_000, 1_000);
    time.take_peer("b", START_MS + 1_000, 1_000);
    assert_eq!(time.now_ms(1_000), START_MS + 1_040);
}

#[test]
fn now_ms_alone() {
    let time = TrueTime::new(START_MS, 500);
    assert_eq!(time.now_ms(1_500), START_MS + 1_000);
}

fn counts(window: u64, count: u64) -> WindowCounts {
    WindowCounts { window, counts: BTreeMap::from([("dealer".to_owned(), count)]) }
}

#[test]
fn total_with_repeats_and_an_ended_process() {
    let mut usage = FleetUsage::default();
    usage.take("a", 1, &[counts(7, 5)]);
    usage.take("a", 1, &[counts(7, 9)]);
    usage.take("a", 1, &[counts(7, 8)]);
    usage.take("a", 2, &[counts(7, 2)]);
    usage.take("b", 1, &[counts(7, 4), counts(8, 1)]);
    assert_eq!(usage.total(7).get("dealer"), Some(&15));
    usage.forget_before(8);
    assert_eq!(usage.total(8).get("dealer"), Some(&1));
    assert_eq!(usage.total(7).get("dealer"), Some(&4));
}

#[test]
fn newest_windows() {
    let mut windows = UsageWindows::new(5_000);
    windows.add("dealer", 4_999);
    windows.add("dealer", 5_000);
    windows.add("dealer", 9_999);
    assert_eq!(windows.newest(1), [counts(1, 2)]);
    assert_eq!(windows.newest(3), [counts(1, 2), counts(0, 1)]);
}
