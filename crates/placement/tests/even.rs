//! Even load by reports that are old, replayed without a network.

mod replay;

use hickorycourse_placement::{
    AdmitAll, ChoiceCandidate, ChoiceRule, EvenLoad, ExpectedWait, LoadEvidence, LoadSource,
    LowestKnownCost, PlacementOptions, PlacementRequest, PlacementTable, PromptPart, TokenDemand,
    UpstreamLoad,
};
use hickorycourse_routes::UpstreamEntry;
use proptest::prelude::*;
use replay::{BURST_MS, Failure, Outcome, Replay, Rule, Step, entries, play};

// Load pattern: engines with batches, and requests of a second.
const BATCHES: Replay = Replay {
    instances: 60,
    upstreams: 20,
    slots: 24,
    work_ms: 1_000.0,
    fill: 0.6,
    age_ms: 500,
    duration_ms: 6_000,
    step: Step::None,
    failure: Failure::None,
    rule: Rule::Even,
};
// Load pattern: plain services with few slots, and requests that end before a digest arrives.
const PLAIN: Replay = Replay { upstreams: 12, slots: 6, work_ms: 35.0, ..BATCHES };

/// Plays a pattern by the rule before and by this one.
fn play_both(replay: Replay) -> (Outcome, Outcome) {
    (play(Replay { rule: Rule::Before, ..replay }), play(Replay { rule: Rule::Even, ..replay }))
}

/// Prints the figures of the design note.
#[test]
#[ignore = "prints a table"]
fn play_all_sizes_and_ages() {
    println!("pattern, instances, age: before, lowest known cost, even");
    println!("busiest over mean at an instant; of a digest interval; deviation of first byte, ms");
    for (name, pattern) in [("batches", BATCHES), ("plain", PLAIN)] {
        for instances in [6, 60, 300] {
            for age_ms in [100, 500, 2_000] {
                print!("| {name} | {instances} | {age_ms} ");
                let rules = [Rule::Before, Rule::LowestKnownCost, Rule::Even];
                let outcomes =
                    rules.map(|rule| play(Replay { instances, age_ms, rule, ..pattern }));
                let row = |figure: fn(&Outcome) -> f64| {
                    let [before, lowest, even] = outcomes.each_ref().map(figure);
                    print!("| {before:.2}, {lowest:.2}, {even:.2} ");
                };
                row(|outcome| outcome.busiest_over_mean);
                row(|outcome| outcome.busiest_over_mean_of_interval);
                row(|outcome| outcome.first_byte_deviation_ms);
                println!("|");
            }
        }
    }
}

/// Checks the excess of the busiest upstream over the mean, and the deviation of the time to the first byte,
/// over all sizes and ages together, against half of those by the rule before.
fn check_half(pattern: Replay) {
    let (mut excesses, mut deviations_ms) = ((0.0, 0.0), (0.0, 0.0));
    for instances in [6, 60, 300] {
        for age_ms in [100, 500, 2_000] {
            let (before, even) = play_both(Replay { instances, age_ms, ..pattern });
            excesses = (excesses.0 + before.excess(), excesses.1 + even.excess());
            deviations_ms.0 += before.first_byte_deviation_ms;
            deviations_ms.1 += even.first_byte_deviation_ms;
        }
    }
    println!("excess {excesses:?} deviation {deviations_ms:?}");
    assert!(excesses.1 <= excesses.0 / 2.0, "excess {excesses:?}");
    assert!(deviations_ms.1 <= deviations_ms.0 / 2.0, "deviation {deviations_ms:?}");
}

#[test]
fn choose_by_old_reports_of_batches_halves_excess() {
    check_half(BATCHES);
}

#[test]
fn choose_by_old_reports_of_plain_service_halves_excess() {
    check_half(PLAIN);
}

#[test]
fn choose_with_added_upstream_does_not_flood_it() {
    check_fits(Replay { step: Step::Added, ..BATCHES });
    check_fits(Replay { step: Step::Added, instances: 300, ..BATCHES });
    check_fits(Replay { step: Step::Added, ..PLAIN });
}

#[test]
fn choose_with_half_of_upstreams_removed_overruns_none() {
    check_fits(Replay { fill: 0.3, step: Step::HalfRemoved, ..BATCHES });
    check_fits(Replay { fill: 0.3, step: Step::HalfRemoved, ..PLAIN });
}

#[test]
fn choose_after_burst_overruns_none() {
    for pattern in [BATCHES, PLAIN] {
        let replay = Replay { fill: 0.4, step: Step::Burst, ..pattern };
        let (before, even) = play_both(replay);
        let during = (before.most_after_step(0), even.most_after_step(0));
        assert!(during.1 <= during.0, "{during:?} at {replay:?}");
        let most = even.most_after_step(BURST_MS + replay.work_ms as u64);
        assert!(most <= replay.slots as f64, "{most} at {replay:?}");
    }
}

/// Checks that no upstream has, over an interval of digests, more requests than slots after the step.
fn check_fits(replay: Replay) {
    let most = play(replay).most_after_step(0);
    assert!(most <= replay.slots as f64, "{most} at {replay:?}");
}

// A quarter of the instances sends no digests, one is frozen and back, or half of them choose by the
// rule before.
#[test]
fn choose_under_failure_is_not_less_even_than_before() {
    for failure in [Failure::SilentQuarter, Failure::FrozenInstance, Failure::EarlierBuild] {
        let (before, even) = play_both(Replay { failure, ..BATCHES });
        assert!(even.excess() <= before.excess(), "{failure:?} {even:?} {before:?}");
        assert!(
            even.first_byte_deviation_ms <= before.first_byte_deviation_ms,
            "{failure:?} {even:?} {before:?}"
        );
    }
}

fn candidate(load_ms: f64) -> ChoiceCandidate {
    ChoiceCandidate { load_ms, step_ms: 10.0, saved_ms: 0.0 }
}

#[test]
fn shares_with_nothing_unreported_go_to_lowest_load() {
    let candidates = [candidate(30.0), candidate(10.0), candidate(25.0)];
    assert_eq!(EvenLoad.shares(&candidates, 0.0), [0.0, 1.0, 0.0]);
    assert_eq!(LowestKnownCost.shares(&candidates, 100.0), [0.0, 1.0, 0.0]);
}

#[test]
fn shares_with_much_unreported_follow_room() {
    let shares = EvenLoad.shares(&[candidate(0.0), candidate(20.0)], 9.0);
    // Ten requests and the two that are there make six at each.
    assert_eq!(shares, [0.6, 0.4]);
}

#[test]
fn shares_with_prefix_cache_go_there_while_it_pays() {
    let cached = |load_ms: f64| ChoiceCandidate { saved_ms: 50.0, ..candidate(load_ms) };
    assert_eq!(EvenLoad.shares(&[candidate(0.0), cached(45.0)], 0.0), [0.0, 1.0]);
    assert_eq!(EvenLoad.shares(&[candidate(0.0), cached(65.0)], 0.0), [1.0, 0.0]);
}

#[test]
fn shares_without_candidates_are_empty() {
    assert!(EvenLoad.shares(&[], 5.0).is_empty());
}

/// Table of two upstreams with four slots each, of which others are reported to use some.
fn table() -> PlacementTable {
    let rules = (Box::new(ExpectedWait), Box::new(AdmitAll));
    let mut table = PlacementTable::new("east", PlacementOptions::default(), rules.0, rules.1)
        .with_choice_rule(Some(Box::new(EvenLoad)));
    table.set_upstreams(entries(2, 4).iter());
    table
}

fn evidence_of_choice(table: &PlacementTable, now_ms: u64) -> (String, LoadEvidence) {
    let placement = table.choose(&PlacementRequest::default(), now_ms).expect("an upstream");
    (placement.upstream, *placement.evidence.expect("evidence"))
}

#[test]
fn choose_with_younger_report_prefers_it_to_digests() {
    let mut table = table();
    table.set_peer_demand("peer", TokenDemand::default(), 1);
    let load = UpstreamLoad { running: 4, ..UpstreamLoad::default() };
    table.set_peer_load("peer", "i-000", load, 0);
    let (upstream, evidence) = evidence_of_choice(&table, 100);
    assert_eq!((upstream.as_str(), evidence.source), ("i-001", LoadSource::Digests));
    table.record_load_report("i-000", 0, 0, 100);
    table.record_load_report("i-001", 4, 2, 100);
    let (upstream, evidence) = evidence_of_choice(&table, 101);
    assert_eq!((upstream.as_str(), evidence.source), ("i-000", LoadSource::Upstream));
    assert_eq!(evidence.age_ms, Some(1));
}

#[test]
fn choose_without_recent_report_goes_by_own_requests() {
    let mut table = table();
    table.record_load_report("i-000", 1, 0, 0);
    let (_, evidence) = evidence_of_choice(&table, 1_500);
    assert_eq!((evidence.source, evidence.age_ms), (LoadSource::Unknown, None));
}

#[test]
fn choose_without_listed_slots_applies_no_rule() {
    let rules = (Box::new(ExpectedWait), Box::new(AdmitAll));
    let mut table = PlacementTable::new("east", PlacementOptions::default(), rules.0, rules.1)
        .with_choice_rule(Some(Box::new(EvenLoad)));
    let unlisted: Vec<UpstreamEntry> = entries(2, 0);
    table.set_upstreams(unlisted.iter());
    let placement = table.choose(&PlacementRequest::default(), 0).expect("an upstream");
    assert_eq!(placement.evidence, None);
}

#[test]
fn choose_with_many_upstreams_includes_affinity_upstream() {
    let rules = (Box::new(ExpectedWait), Box::new(AdmitAll));
    let mut table = PlacementTable::new("east", PlacementOptions::default(), rules.0, rules.1)
        .with_choice_rule(Some(Box::new(EvenLoad)));
    table.set_upstreams(entries(1_000, 24).iter());
    let parts = [PromptPart { hash: 7, tokens: 5_000 }, PromptPart { hash: 8, tokens: 100 }];
    let chosen: Vec<String> = (0..20)
        .map(|seed| {
            let request = PlacementRequest {
                parts: &parts,
                prompt_tokens: 5_100,
                seed,
                ..Default::default()
            };
            table.choose(&request, 0).expect("an upstream").upstream
        })
        .collect();
    assert!(chosen.iter().all(|upstream| *upstream == chosen[0]), "{chosen:?}");
}

#[test]
fn record_load_report_with_absurd_load_keeps_last_one() {
    let mut table = table();
    assert_eq!(table.record_load_report("i-000", 3, 1, 0), None);
    let ignored = table.record_load_report("i-000", 17, 0, 10).expect("ignored");
    assert!(ignored.is_first);
    let ignored = table.record_load_report("i-000", u64::MAX, u64::MAX, 10).expect("ignored");
    assert!(!ignored.is_first);
    table.record_load_report("i-001", 4, 4, 10);
    let (upstream, evidence) = evidence_of_choice(&table, 20);
    assert_eq!((upstream.as_str(), evidence.age_ms), ("i-000", Some(20)));
}

// Guards against the load of an upstream without listed slots being ignored.
#[test]
fn record_load_report_without_listed_slots_is_used() {
    let rules = (Box::new(ExpectedWait), Box::new(AdmitAll));
    let mut table = PlacementTable::new("east", PlacementOptions::default(), rules.0, rules.1);
    let unlisted: Vec<UpstreamEntry> = entries(2, 0);
    table.set_upstreams(unlisted.iter());
    assert_eq!(table.record_load_report("i-000", 12, 3, 0), None);
    assert!(table.record_load_report("i-000", u64::MAX, 0, 10).is_some());
}

proptest! {
    // Reports and digests with any numbers, at any time.
    #[test]
    fn choose_with_wild_reports_finds_upstream(
        reports in prop::collection::vec((0..2_usize, any::<u64>(), any::<u64>(), 0..10_000_u64), 0..20),
        digests in prop::collection::vec((0..2_usize, any::<u64>(), 0..10_000_u64), 0..20),
        now_ms in 0..10_000_u64,
    ) {
        let mut table = table();
        let id = |number: usize| format!("i-{number:03}");
        for (number, running, waiting, at_ms) in reports {
            let is_absurd = running > 16 || waiting > 100_000;
            let ignored = table.record_load_report(&id(number), running, waiting, at_ms);
            prop_assert_eq!(ignored.is_some(), is_absurd);
        }
        for (number, running, at_ms) in digests {
            let load = UpstreamLoad { running, ..UpstreamLoad::default() };
            table.set_peer_load("peer", &id(number), load, at_ms);
        }
        let (_, evidence) = evidence_of_choice(&table, now_ms);
        prop_assert!(evidence.expected_requests.is_finite());
        prop_assert!(evidence.deviation_requests.is_finite());
    }
}
