//! Choice of upstreams and admission decisions.

use std::collections::BTreeMap;

use hickorycourse_placement::{
    Admission, AdmissionRule, AdmitAll, AttemptOutcome, CostRule, ExpectedWait, Forecast,
    LeastRequests, PlacementOptions, PlacementRequest, PlacementTable, PromptPart, TargetAdmission,
    TokenDemand, UpstreamLoad, WaitingRequests,
};
use hickorycourse_routes::{UpstreamEntry, UpstreamPhase};

const OPTIONS: PlacementOptions = PlacementOptions {
    prefill_tokens_per_ms: 100.0,
    idle_first_byte_ms: 40.0,
    cross_zone_ms: 10.0,
    full_batch_ms: 60.0,
    shared_weight: 1.0,
};

fn entry(id: usize, zone: &str) -> UpstreamEntry {
    let address = format!("127.0.0.1:{}", 9_000 + id).parse().expect("an address");
    UpstreamEntry::ready(&format!("i-{id}"), "advice", address, zone, 16)
}

fn table(count: usize) -> (PlacementTable, Vec<UpstreamEntry>) {
    let entries: Vec<UpstreamEntry> =
        (0..count).map(|id| entry(id, if id < count / 2 { "east" } else { "west" })).collect();
    let mut table =
        PlacementTable::new("east", OPTIONS, Box::new(ExpectedWait), Box::new(AdmitAll));
    table.set_upstreams(entries.iter());
    (table, entries)
}

fn parts(prefix: u64, request: u64) -> [PromptPart; 2] {
    [
        PromptPart { hash: prefix, tokens: 5_000 },
        PromptPart { hash: 1_000_000 + request, tokens: 1_000 },
    ]
}

fn request<'a>(parts: &'a [PromptPart], excluded: &'a [String]) -> PlacementRequest<'a> {
    PlacementRequest {
        parts,
        prompt_tokens: 6_000,
        urgency: 1,
        seed: 0,
        excluded,
        ..PlacementRequest::default()
    }
}

#[test]
fn choose_when_idle_prefers_own_zone() {
    let (table, _) = table(4);
    let placement = table.choose(&PlacementRequest::default(), 0).expect("an upstream");
    assert!(["i-0", "i-1"].contains(&placement.upstream.as_str()));
}

#[test]
fn choose_at_two_instances_returns_same_affinity_upstream() {
    let (one, entries) = table(8);
    let mut other =
        PlacementTable::new("west", OPTIONS, Box::new(ExpectedWait), Box::new(AdmitAll));
    other.set_upstreams(entries.iter());
    for prefix in 0..200 {
        let parts = parts(prefix, prefix);
        let request = request(&parts, &[]);
        let chosen = one.choose(&request, 0).expect("an upstream").upstream;
        assert_eq!(chosen, other.choose(&request, 0).expect("an upstream").upstream);
    }
}

#[test]
fn choose_with_hot_prefix_spills_over() {
    // All requests share one prefix: they must spill over from its affinity upstream to others.
    let (mut table, _) = table(8);
    let mut counts = std::collections::BTreeMap::new();
    for number in 0..64 {
        let parts = parts(7, number);
        let request = request(&parts, &[]);
        let placement = table.choose(&request, 0).expect("an upstream");
        table.begin_attempt(&placement, &request, 0);
        *counts.entry(placement.upstream).or_insert(0) += 1;
    }
    let most = counts.values().max().copied().unwrap_or(0);
    assert!(most <= 24, "{counts:?}");
    assert!(counts.len() >= 4, "{counts:?}");
}

#[test]
fn choose_with_peer_load_avoids_upstream_until_report_is_stale() {
    let (mut table, _) = table(2);
    let waiting = WaitingRequests { requests: 12, tokens: 60_000 };
    let load = UpstreamLoad { running: 12, answering: 0, waiting: [(1, waiting)].into() };
    table.set_peer_load("peer", "i-0", load, 0);
    let parts = [PromptPart { hash: 1, tokens: 100 }];
    let placement = table.choose(&request(&parts, &[]), 0).expect("an upstream");
    assert_eq!(placement.upstream, "i-1");
    // By then the peer's report is stale.
    let later = table.choose(&request(&parts, &[]), 3_000).expect("an upstream");
    assert_eq!(later.upstream, "i-0");
}

#[test]
fn choose_after_failures_ejects_and_probes_upstream() {
    let (mut table, _) = table(2);
    let plain = PlacementRequest::default();
    let excluded = ["i-1".to_owned()];
    let only = PlacementRequest { excluded: &excluded, ..plain };
    for _ in 0..2 {
        let placement = table.choose(&only, 0).expect("an upstream");
        table.begin_attempt(&placement, &plain, 0);
        table.end_attempt(&placement, false, AttemptOutcome::Unresponsive, 0);
    }
    assert_eq!(table.choose(&plain, 10).expect("an upstream").upstream, "i-1");
    // An ejected upstream is used if there is no other.
    assert_eq!(table.choose(&only, 10).expect("an upstream").upstream, "i-0");
    // After the ejection one request probes it; a complete answer restores it.
    let probe = table.choose(&only, 2_000).expect("an upstream");
    table.begin_attempt(&probe, &plain, 0);
    assert_eq!(table.choose(&plain, 2_000).expect("an upstream").upstream, "i-1");
    table.end_attempt(&probe, false, AttemptOutcome::Answered, 2_000);
    assert_eq!(table.choose(&plain, 2_001).expect("an upstream").upstream, "i-0");
}

#[test]
fn choose_with_all_upstreams_leaving_returns_none() {
    let (mut table, entries) = table(2);
    let placement = table.choose(&PlacementRequest::default(), 0).expect("an upstream");
    assert!(table.is_open(&placement, 0));
    let leaving: Vec<UpstreamEntry> = entries
        .into_iter()
        .map(|entry| UpstreamEntry { phase: UpstreamPhase::Leaving, ..entry })
        .collect();
    table.set_upstreams(leaving.iter());
    assert!(table.choose(&PlacementRequest::default(), 0).is_none());
    assert!(!table.is_open(&placement, 0));
}

#[test]
fn end_attempt_releases_load() {
    let (mut table, _) = table(2);
    let parts = parts(1, 1);
    let request = request(&parts, &[]);
    for _ in 0..10 {
        let placement = table.choose(&request, 0).expect("an upstream");
        table.begin_attempt(&placement, &request, 0);
        table.record_first_byte(&placement, 100);
        table.end_attempt(&placement, true, AttemptOutcome::Answered, 100);
    }
    assert_eq!(table.own_loads().count(), 0);
    assert_eq!(table.count_answering(100), 0);
}

/// Sends bursts of twelve prompts, one of them ten times as long, to engines that prefill one prompt
/// at a time; returns the share of the short prompts whose first byte arrives within 150 ms.
fn simulate_bursts(cost_rule: Box<dyn CostRule>) -> f64 {
    let mut table = PlacementTable::new("east", OPTIONS, cost_rule, Box::new(AdmitAll));
    let entries: Vec<UpstreamEntry> = (0..4).map(|id| entry(id, "east")).collect();
    table.set_upstreams(entries.iter());
    let mut free_at_ms = std::collections::BTreeMap::<String, f64>::new();
    let mut waiting = Vec::new();
    let (mut short, mut on_time) = (0, 0);
    for number in 0..4_000_u64 {
        let now_ms = number / 12 * 150;
        let (done, left): (Vec<_>, Vec<_>) =
            waiting.into_iter().partition(|(at_ms, _)| *at_ms <= now_ms as f64);
        waiting = left;
        for (at_ms, placement) in done {
            table.record_first_byte(&placement, placement.placed_at_ms + 50);
            table.end_attempt(&placement, true, AttemptOutcome::Answered, at_ms as u64);
        }
        let tokens = if number % 12 == 0 { 20_000 } else { 2_000 };
        let parts = [PromptPart { hash: 1_000 + number, tokens }];
        let request = PlacementRequest { prompt_tokens: tokens, ..request(&parts, &[]) };
        let placement = table.choose(&request, now_ms).expect("an upstream");
        table.begin_attempt(&placement, &request, 0);
        let free = free_at_ms.entry(placement.upstream.clone()).or_default();
        *free = free.max(now_ms as f64) + tokens as f64 / OPTIONS.prefill_tokens_per_ms;
        if tokens == 2_000 {
            short += 1;
            on_time += u32::from(*free - now_ms as f64 <= 150.0);
        }
        waiting.push((*free, placement));
    }
    f64::from(on_time) / f64::from(short)
}

#[test]
fn choose_in_bursts_by_expected_wait_beats_least_requests() {
    let expected_wait = simulate_bursts(Box::new(ExpectedWait));
    let least_requests = simulate_bursts(Box::new(LeastRequests));
    assert!(expected_wait > 0.95, "{expected_wait} against {least_requests}");
    assert!(expected_wait > least_requests + 0.03, "{expected_wait} against {least_requests}");
}

fn forecast(first_byte_ms: u64) -> Forecast {
    Forecast {
        urgency: 1,
        first_byte_ms,
        queue_ms: first_byte_ms - 50,
        waited_ms: 100,
        target_ms: 400,
        patience_ms: 2_000,
        prefill_share_ms: 0,
    }
}

#[test]
fn decide_in_short_burst_sends_within_patience() {
    let mut rule = TargetAdmission::default();
    assert_eq!(rule.decide(&forecast(300), 0), Admission::Send);
    assert_eq!(rule.decide(&forecast(1_200), 0), Admission::Send);
    let refused = rule.decide(&forecast(3_000), 0);
    assert_eq!(refused, Admission::Refuse { retry_after_ms: 2_600 });
    assert_eq!(AdmitAll.decide(&forecast(3_000), 0), Admission::Send);
}

#[test]
fn decide_with_standing_queue_refuses_late_requests() {
    let mut rule = TargetAdmission::default();
    assert_eq!(rule.decide(&forecast(500), 0), Admission::Send);
    assert_eq!(rule.decide(&forecast(500), 399), Admission::Send);
    // The queueing delay has exceeded the target of 400 ms for 400 ms: only requests on time are sent.
    assert_eq!(rule.decide(&forecast(500), 400), Admission::Refuse { retry_after_ms: 200 });
    assert_eq!(rule.decide(&forecast(300), 410), Admission::Send);
    assert_eq!(rule.decide(&forecast(500), 420), Admission::Refuse { retry_after_ms: 200 });
    // Other ranks are not affected.
    assert_eq!(rule.decide(&Forecast { urgency: 0, ..forecast(500) }, 420), Admission::Send);
    // The standing queue is over once the queueing delay has been at most half the target for 400 ms.
    assert_eq!(rule.decide(&forecast(100), 430), Admission::Send);
    assert_eq!(rule.decide(&forecast(100), 830), Admission::Send);
    assert_eq!(rule.decide(&forecast(500), 840), Admission::Send);
}

#[test]
fn decide_for_many_callers_staggers_retries() {
    // A hundred callers are refused at once. Their retry delays must be staggered, as far as the retry
    // still falls within the caller's patience; with equal delays, all would retry together.
    let mut rule = TargetAdmission::default();
    let overload = Forecast { prefill_share_ms: 20, ..forecast(3_000) };
    let mut delays_ms = Vec::new();
    for _ in 0..100 {
        if let Admission::Refuse { retry_after_ms } = rule.decide(&overload, 0) {
            delays_ms.push(retry_after_ms);
        }
    }
    assert_eq!(delays_ms.len(), 100);
    assert_eq!(delays_ms[0], 2_600);
    let tolerant = Forecast { patience_ms: 12_000, target_ms: 1_000, ..overload };
    let mut rule = TargetAdmission::default();
    let delays_ms: Vec<Admission> =
        (0..3).map(|_| rule.decide(&Forecast { first_byte_ms: 9_000, ..tolerant }, 0)).collect();
    let expected = [8_000, 8_020, 8_040];
    assert_eq!(delays_ms, expected.map(|retry_after_ms| Admission::Refuse { retry_after_ms }));
}

#[test]
fn decide_for_slow_service_without_queue_sends() {
    // Every answer takes longer than the target without queueing delay: refusing requests would not
    // make any answer faster.
    let mut rule = TargetAdmission::default();
    for now_ms in (0..5_000).step_by(50) {
        let slow = Forecast { queue_ms: 30, ..forecast(700) };
        assert_eq!(rule.decide(&slow, now_ms), Admission::Send);
    }
}

#[test]
fn choose_with_less_urgent_requests_queued_forecasts_short_wait() {
    // Many requests of the least urgent rank, sent by a peer, are queued at all upstreams.
    let (mut table, entries) = table(2);
    let waiting = WaitingRequests { requests: 50, tokens: 300_000 };
    let load = UpstreamLoad { running: 66, answering: 16, waiting: [(2, waiting)].into() };
    for entry in &entries {
        table.set_peer_load("peer", &entry.id, load.clone(), 0);
    }
    let parts = [PromptPart { hash: 1, tokens: 1_000 }];
    let urgent = PlacementRequest { urgency: 0, prompt_tokens: 1_000, ..request(&parts, &[]) };
    let deferrable = PlacementRequest { urgency: 2, ..urgent };
    assert!(table.choose(&urgent, 0).expect("an upstream").first_byte_ms < 200);
    assert!(table.choose(&deferrable, 0).expect("an upstream").first_byte_ms > 2_000);
}

#[test]
fn choose_with_more_urgent_demand_forecasts_longer_wait() {
    let (mut table, _) = table(2);
    let parts = [PromptPart { hash: 1, tokens: 5_000 }];
    let deferrable = PlacementRequest { urgency: 2, prompt_tokens: 5_000, ..request(&parts, &[]) };
    let idle = table.choose(&deferrable, 0).expect("an upstream").first_byte_ms;
    let sent = [(0, 150.0)].into();
    table.set_peer_demand(
        "peer",
        TokenDemand { arrived_tokens_per_ms: 150.0, sent_tokens_per_ms: sent },
        1,
    );
    // Three quarters of the prefill throughput of both engines goes to more urgent requests.
    let busy = table.choose(&deferrable, 0).expect("an upstream").first_byte_ms;
    assert!(busy > 2 * idle, "{idle} and {busy}");
}

/// Places one request of each of `instances` instances that have the same reports: 20 upstreams with
/// equal loads but for the first one, which has a request less. Returns the requests by upstream.
fn place_with_same_reports(instances: usize) -> BTreeMap<String, usize> {
    let entries: Vec<UpstreamEntry> = (0..20).map(|id| entry(id, "east")).collect();
    let mut placed: BTreeMap<String, usize> = BTreeMap::new();
    for instance in 0..instances {
        let mut table =
            PlacementTable::new("east", OPTIONS, Box::new(ExpectedWait), Box::new(AdmitAll));
        table.set_upstreams(entries.iter());
        table.set_peer_demand("zone/east", TokenDemand::default(), instances - 1);
        for (number, entry) in entries.iter().enumerate() {
            let running = if number == 0 { 5 } else { 6 };
            let load = UpstreamLoad { running, ..UpstreamLoad::default() };
            table.set_peer_load("zone/east", &entry.id, load, 0);
        }
        let request = PlacementRequest { seed: instance as u64 * 7_919, ..Default::default() };
        let placement = table.choose(&request, 100).expect("an upstream");
        *placed.entry(placement.upstream).or_default() += 1;
    }
    placed
}

// Load pattern: hundreds of instances with the same reports, each placing a request before the next ones
// arrive.
#[test]
fn choose_at_many_instances_with_same_reports_spreads() {
    let placed = place_with_same_reports(300);
    let most = placed.values().max().copied().unwrap_or_default();
    assert!(most <= 60, "{placed:?}");
    assert!(placed.len() >= 15, "{placed:?}");
}

// An instance with a large part of the traffic compares all upstreams.
#[test]
fn choose_at_few_instances_finds_least_loaded() {
    assert_eq!(place_with_same_reports(4), BTreeMap::from([("i-0".to_owned(), 4)]));
}
