//! Upstreams that request a backoff, and upstreams on slow hosts.

use hickorycourse_placement::{
    AdmitAll, Backoff, ExpectedWait, Pace, Placement, PlacementOptions, PlacementRequest,
    PlacementTable,
};
use hickorycourse_routes::UpstreamEntry;

fn table(count: usize) -> PlacementTable {
    let entries: Vec<UpstreamEntry> = (0..count)
        .map(|id| {
            let address = format!("127.0.0.1:{}", 9_000 + id).parse().expect("an address");
            UpstreamEntry::ready(&format!("i-{id}"), "advice", address, "east", 16)
        })
        .collect();
    let mut table = PlacementTable::new(
        "east",
        PlacementOptions::default(),
        Box::new(ExpectedWait),
        Box::new(AdmitAll),
    );
    table.set_upstreams(entries.iter());
    table
}

fn choose(table: &PlacementTable, now_ms: u64) -> Option<Placement> {
    table.choose(&PlacementRequest::default(), now_ms)
}

/// Sends a request every 10 ms to the only upstream, which rejects each with the same backoff; returns
/// the times of the requests.
fn send_for(duration_ms: u64, backoff_ms: u64) -> Vec<u64> {
    let mut table = table(1);
    let mut sent_at_ms = Vec::new();
    for now_ms in (0..duration_ms).step_by(10) {
        let Some(placement) = choose(&table, now_ms) else { continue };
        table.begin_attempt(&placement, &PlacementRequest::default(), now_ms);
        table.start_backoff(&placement.upstream, backoff_ms, now_ms);
        sent_at_ms.push(now_ms);
    }
    sent_at_ms
}

// Load pattern: callers go on arriving while the only upstream rejects everything.
#[test]
fn choose_within_backoff_sends_at_most_two_probes() {
    for backoff_ms in [1_000, 3_000, 20_000] {
        let sent_at_ms = send_for(60_000, backoff_ms);
        for refused_at_ms in &sent_at_ms {
            let window = refused_at_ms + 500..refused_at_ms + backoff_ms;
            let within = sent_at_ms.iter().filter(|at_ms| window.contains(at_ms)).count();
            assert!(within <= 2, "{within} requests within a backoff of {backoff_ms} ms");
        }
        assert!(sent_at_ms.len() as u64 >= 60_000 / backoff_ms, "{sent_at_ms:?}");
    }
}

#[test]
fn choose_with_another_upstream_avoids_backoff() {
    let mut table = table(2);
    let first = choose(&table, 0).expect("an upstream");
    table.start_backoff(&first.upstream, 2_000, 0);
    assert!(!table.is_open(&first, 1), "a request placed before the backoff must not be sent");
    for now_ms in (0..2_000).step_by(50) {
        assert_ne!(choose(&table, now_ms).expect("an upstream").upstream, first.upstream);
        assert_eq!(table.backoff_remaining_ms(&PlacementRequest::default(), now_ms), None);
    }
    let excluded = [choose(&table, 0).expect("an upstream").upstream];
    let request = PlacementRequest { excluded: &excluded, ..PlacementRequest::default() };
    assert_eq!(table.choose(&request, 100), None);
    assert_eq!(table.backoff_remaining_ms(&request, 100), Some(1_900));
    assert!(table.choose(&request, 2_000).is_some());
}

#[test]
fn backoff_shorter_does_not_replace_longer() {
    let mut backoff = Backoff::default();
    backoff.start(5_000, 0);
    backoff.start(0, 100);
    backoff.start(1_000, 200);
    assert!(backoff.is_active(4_999));
    assert!(!backoff.is_active(5_000));
    backoff.start(u64::MAX / 2, 6_000);
    assert!(!backoff.is_active(6_000 + 600_000));
}

// Load pattern: upstreams with the same load, one of them on a host that is busy with other work.
#[test]
fn choose_with_slow_host_prefers_other_upstream() {
    let mut table = table(2);
    for now_ms in 0..20 {
        // Reports of the usual pace change many times a second.
        table.record_pace("i-0", 250 + 60 * (now_ms % 3), now_ms);
        table.record_pace("i-1", 80 + 20 * (now_ms % 3), now_ms);
    }
    assert_eq!(choose(&table, 20).expect("an upstream").upstream, "i-1");
}

#[test]
fn pace_single_report_has_little_weight() {
    let mut pace = Pace::default();
    pace.record(800, 1_000);
    assert!(pace.factor(1_000) < 3.0);
    assert!(pace.factor(60_000) < 1.01);
    pace.record(u64::MAX, 60_000);
    assert!(pace.factor(60_000) <= 8.0);
}
