//! Upstreams that fall silent for a while, and dead ones that look the same at first.

use hickorycourse_placement::{
    AdmitAll, AttemptOutcome, ExpectedWait, Health, Placement, PlacementOptions, PlacementRequest,
    PlacementTable,
};
use hickorycourse_routes::UpstreamEntry;

/// Time after which an attempt finds its upstream silent.
const TIMEOUT_MS: u64 = 250;

/// Plays requests every 20 ms to an upstream that makes no progress before `silent_until_ms`, with the
/// requests in flight given up as soon as they find it silent, if `are_dropped`. Returns the times at which
/// the upstream was ejected or being probed.
fn play_silence(silent_until_ms: u64, are_dropped: bool, end_ms: u64) -> Vec<u64> {
    let mut health = Health::default();
    let mut in_flight: Vec<(u64, bool)> = Vec::new();
    let mut unusable = Vec::new();
    for now_ms in (0..end_ms).step_by(10) {
        for (started_at_ms, is_silent) in &mut in_flight {
            if now_ms >= *started_at_ms + TIMEOUT_MS && !*is_silent {
                health.record_silence(*started_at_ms, now_ms);
                *is_silent = true;
            }
        }
        in_flight.retain(|(_, is_silent)| !are_dropped || !is_silent);
        if now_ms >= silent_until_ms {
            for _ in in_flight.drain(..) {
                health.record_progress();
                health.record(AttemptOutcome::Answered, now_ms);
            }
        }
        let has_probe = health.is_probing() && !in_flight.is_empty();
        if health.is_ejected(now_ms) || has_probe {
            unusable.push(now_ms);
        } else if now_ms % 20 == 0 {
            in_flight.push((now_ms, false));
        }
    }
    unusable
}

#[test]
fn silence_is_over_with_the_first_progress() {
    for silent_until_ms in [300, 800, 1_300, 1_600] {
        let unusable = play_silence(silent_until_ms, false, 6_000);
        assert!(unusable.iter().all(|at_ms| *at_ms < silent_until_ms), "{unusable:?}");
    }
}

// Guards against an ejection that outlasts a pause by seconds because the attempts that saw it were given up.
#[test]
fn silence_without_a_witness_is_probed_soon() {
    for silent_until_ms in [300, 800, 1_300, 1_600] {
        let unusable = play_silence(silent_until_ms, true, 6_000);
        let bound_ms = silent_until_ms + 500;
        assert!(unusable.iter().all(|at_ms| *at_ms <= bound_ms), "{bound_ms}: {unusable:?}");
    }
}

// A dead upstream is ejected as soon as two attempts have found it silent, and probed ever more rarely.
#[test]
fn silence_of_a_dead_upstream_ejects_it() {
    for are_dropped in [false, true] {
        let unusable = play_silence(u64::MAX, are_dropped, 20_000);
        assert_eq!(unusable.first(), Some(&(TIMEOUT_MS + 20)), "{are_dropped}");
        let late = unusable.iter().filter(|at_ms| **at_ms >= 10_000).count();
        assert!(late >= 990, "{are_dropped}: {late} of 1000");
    }
}

#[test]
fn silence_seen_by_many_attempts_is_one_piece_of_evidence() {
    let mut one = Health::default();
    one.record_silence(0, 300);
    let mut many = Health::default();
    for started_at_ms in 0..50 {
        many.record_silence(started_at_ms, 300 + started_at_ms);
    }
    assert_eq!(many.failure_rate(), one.failure_rate());
    assert!(!one.is_ejected(301) && many.is_ejected(350));
    assert!(!many.is_ejected(350 + 500), "the ejection grew with the attempts");
    many.record_progress();
    assert!(!many.is_ejected(350) && !many.is_probing());
}

// Progress of old connections does not prove that new ones can be opened.
#[test]
fn failed_connections_eject_despite_progress() {
    let mut health = Health::default();
    for now_ms in [0, 100] {
        health.record(AttemptOutcome::Unresponsive, now_ms);
        health.record_progress();
    }
    assert!(health.is_ejected(200) && health.is_probing());
}

fn begin(table: &mut PlacementTable, now_ms: u64) -> Placement {
    let request = PlacementRequest::default();
    let placement = table.choose(&request, now_ms).expect("an upstream");
    table.begin_attempt(&placement, &request, now_ms);
    placement
}

#[test]
fn table_avoids_silent_upstream_until_its_progress() {
    let address = "127.0.0.1:9000".parse().expect("an address");
    let entries =
        ["east", "west"].map(|zone| UpstreamEntry::ready(zone, "advice", address, zone, 16));
    // The upstream in the own zone is chosen whenever it is usable.
    let options = PlacementOptions { cross_zone_ms: 1_000.0, ..PlacementOptions::default() };
    let mut table =
        PlacementTable::new("east", options, Box::new(ExpectedWait), Box::new(AdmitAll));
    table.set_upstreams(entries.iter());
    let held: Vec<Placement> = (0..3).map(|_| begin(&mut table, 0)).collect();
    assert!(held.iter().all(|placement| placement.upstream == "east"), "{held:?}");
    for placement in &held {
        table.record_silence(placement, 300);
    }
    let elsewhere = begin(&mut table, 310);
    assert_eq!(elsewhere.upstream, "west");
    table.end_attempt(&elsewhere, false, AttemptOutcome::Answered, 320);
    // One that is given up is no new evidence.
    table.end_attempt(&held[0], false, AttemptOutcome::Silent, 330);
    table.record_progress(&held[1]);
    for placement in &held[1..] {
        table.end_attempt(placement, false, AttemptOutcome::Answered, 400);
    }
    assert_eq!(begin(&mut table, 410).upstream, "east");
}
