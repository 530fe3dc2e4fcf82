//! Responses and notices in various orders.

use hickorycourse_permits::{KnownLimit, LimitNotice, LimitTable, NoticeError, RateLimit};

const START: Option<u64> = Some(7);

fn limit(per_second: f64) -> RateLimit {
    RateLimit::new(per_second).expect("the limit is valid")
}

fn notice(per_second: Option<f64>, said_at_ms: u64) -> LimitNotice {
    LimitNotice { upstream: "i-1".to_owned(), started_at_ms: START, per_second, said_at_ms }
}

fn known(table: &LimitTable) -> Option<f64> {
    table.get("i-1").and_then(|known| known.limit).map(RateLimit::per_second)
}

#[test]
fn rate_limit_invalid_values_rejected() {
    for value in [-1.0, f64::NAN, f64::INFINITY, f64::NEG_INFINITY] {
        assert_eq!(RateLimit::new(value), None);
    }
    assert_eq!(limit(0.0).interval_ms(), 4_000.0);
    assert_eq!(limit(1e300).per_second(), 1_000_000.0);
}

#[test]
fn response_without_limit_ends_it() {
    let mut table = LimitTable::default();
    assert!(table.record_named("i-1", START, limit(1.0), 100).is_some());
    assert!(table.record_named("i-1", START, limit(1.0), 200).is_none());
    let change = table.record_unnamed("i-1", START, 201, 230).expect("the limit has ended");
    assert_eq!((change.before, change.after), (Some(limit(1.0)), None));
}

#[test]
fn response_to_earlier_request_does_not_end_limit() {
    let mut table = LimitTable::default();
    table.record_named("i-1", START, limit(1.0), 200);
    assert_eq!(table.record_unnamed("i-1", START, 190, 230), None);
    assert_eq!(known(&table), Some(1.0));
}

#[test]
fn response_of_other_start_does_not_end_limit() {
    let mut table = LimitTable::default();
    table.record_named("i-1", START, limit(1.0), 200);
    assert_eq!(table.record_unnamed("i-1", Some(6), 300, 330), None);
    assert_eq!(known(&table), Some(1.0));
}

#[test]
fn restart_ends_limit_and_outdates_notices() {
    let mut table = LimitTable::default();
    table.record_named("i-1", START, limit(1.0), 200);
    assert!(table.record_restart("i-1", START, 300).is_some());
    assert_eq!(table.merge(&notice(Some(1.0), 250), 400), Ok(None));
    assert_eq!(known(&table), None);
}

#[test]
fn notice_older_than_end_does_not_restore_limit() {
    let mut table = LimitTable::default();
    table.merge(&notice(Some(1.0), 100), 150).expect("the notice is valid");
    table.merge(&notice(None, 300), 350).expect("the notice is valid");
    assert_eq!(table.merge(&notice(Some(1.0), 200), 400), Ok(None));
    assert_eq!(known(&table), None);
    assert_eq!(table.notices(), vec![notice(None, 300)]);
}

#[test]
fn notice_passed_on_stays_the_same() {
    let mut tables = [LimitTable::default(), LimitTable::default()];
    tables[0].record_named("i-1", START, limit(0.2), 100);
    for round in 0..10 {
        let (from, to) = (round % 2, (round + 1) % 2);
        for notice in tables[from].notices() {
            let change = tables[to].merge(&notice, 100 + round as u64 * 500);
            assert_eq!(change.expect("the notice is valid").is_some(), round == 0);
        }
    }
    let known = KnownLimit { started_at_ms: START, limit: Some(limit(0.2)), said_at_ms: 100 };
    assert_eq!(tables[0].get("i-1"), Some(&known));
}

#[test]
fn notice_invalid_is_ignored() {
    let mut table = LimitTable::default();
    for per_second in [-1.0, f64::NAN, f64::INFINITY] {
        let merged = table.merge(&notice(Some(per_second), 100), 150);
        assert_eq!(merged, Err(NoticeError::InvalidLimit));
    }
    assert_eq!(table.merge(&notice(Some(1.0), 90_000), 150), Err(NoticeError::Future));
    assert_eq!(table.get("i-1"), None);
}

#[test]
fn table_full_stays_bounded() {
    let mut table = LimitTable::default();
    for index in 0..5_000 {
        table.record_named(&format!("i-{index}"), START, limit(1.0), index);
    }
    assert_eq!(table.limited().count(), 2_048);
    assert_eq!(table.notices().len(), 256);
}

#[test]
fn expire_forgets_ended_limits_and_former_starts() {
    let mut table = LimitTable::default();
    table.record_named("i-1", START, limit(1.0), 100);
    table.record_unnamed("i-1", START, 200, 300);
    table.record_named("i-2", START, limit(1.0), 100);
    table.expire(50_000, |_, _| true);
    assert!(table.get("i-1").is_some());
    table.expire(70_000, |upstream, _| upstream != "i-2");
    assert!(table.get("i-1").is_none() && table.get("i-2").is_none());
}
