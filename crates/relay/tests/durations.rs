//! The latest durations by route, which decide whether a stopping instance admits a request.

use hickorycourse_relay::DurationTable;

const MINUTE_MS: u64 = 60_000;

fn record_all(table: &DurationTable, route: &str, durations_ms: &[u64], now_ms: u64) {
    for took_ms in durations_ms {
        table.record(route, *took_ms, now_ms);
    }
}

#[test]
fn share_within_of_few_requests_unknown() {
    let table = DurationTable::default();
    record_all(&table, "chat", &[100; 19], 0);
    assert_eq!(table.share_within("chat", 5_000, 0), None);
    assert_eq!(table.share_within("order", 5_000, 0), None);
    table.record("chat", 100, 0);
    assert_eq!(table.share_within("chat", 5_000, 0), Some(1.0));
}

#[test]
fn share_within_counts_longer_requests_of_that_route() {
    let table = DurationTable::default();
    record_all(&table, "chat", &[1_000; 30], 0);
    record_all(&table, "chat", &[9_000; 10], 0);
    record_all(&table, "look", &[5; 40], 0);
    assert_eq!(table.share_within("chat", 5_000, 0), Some(0.75));
    assert_eq!(table.share_within("chat", 20_000, 0), Some(1.0));
    assert_eq!(table.share_within("chat", 500, 0), Some(0.0));
    assert_eq!(table.share_within("look", 5_000, 0), Some(1.0));
}

#[test]
fn share_within_of_longer_than_all_buckets_not_within() {
    let table = DurationTable::default();
    record_all(&table, "chat", &[u64::MAX; 20], 0);
    assert_eq!(table.share_within("chat", u64::MAX, 0), Some(0.0));
}

#[test]
fn share_within_forgets_after_two_periods() {
    let table = DurationTable::default();
    record_all(&table, "chat", &[9_000; 40], 0);
    assert_eq!(table.share_within("chat", 5_000, MINUTE_MS), Some(0.0));
    record_all(&table, "chat", &[1_000; 40], MINUTE_MS);
    assert_eq!(table.share_within("chat", 5_000, MINUTE_MS), Some(0.5));
    assert_eq!(table.share_within("chat", 5_000, 2 * MINUTE_MS), Some(1.0));
    assert_eq!(table.share_within("chat", 5_000, 4 * MINUTE_MS), None);
}
