//! Service levels under each load pattern, with the chosen policies and with the baseline.

use hickorycourse_model::prelude::*;
use hickorycourse_model::{Fault, GroupReport};

const SEEDS: std::ops::RangeInclusive<u64> = 1..=5;

/// Simulates a pattern with the chosen policies and the baseline; checks that every request has one outcome.
fn run_policies(name: &str, seed: u64) -> (Report, Report) {
    let pattern = find_pattern(name).expect("the pattern is predefined");
    let chosen = run(&pattern, Policy::Chosen, seed).expect("the simulation runs");
    let baseline = run(&pattern, Policy::Baseline, seed).expect("the simulation runs");
    for report in [&chosen, &baseline] {
        for (name, group) in &report.groups {
            assert_eq!(group.requests, group.ended_requests(), "{name}");
        }
    }
    println!("{}", chosen.format_table(&format!("{name} seed {seed} chosen")));
    println!("{}", baseline.format_table(&format!("{name} seed {seed} baseline")));
    (chosen, baseline)
}

fn group<'a>(report: &'a Report, name: &str) -> &'a GroupReport {
    report.groups.get(name).expect("the group is in the report")
}

fn on_time(report: &Report) -> u64 {
    report.groups.values().map(|group| group.on_time).sum()
}

fn served(report: &Report) -> u64 {
    report.groups.values().map(|group| group.on_time + group.late).sum()
}

#[test]
fn run_calm_meets_targets_and_reuses_prefixes() {
    // Guards against refusals or misses of the target without overload, and against placement that ignores
    // cached prefixes.
    for seed in SEEDS {
        let (chosen, baseline) = run_policies("calm", seed);
        for (name, group) in &chosen.groups {
            assert!(group.on_time_ratio() >= 0.99, "{name}");
        }
        assert!(chosen.shared_tokens * 10 <= baseline.shared_tokens * 7);
    }
}

#[test]
fn run_deferrable_flood_delays_no_other_rank() {
    // Guards against a surge of deferrable requests delaying the urgent and the standard rank.
    for seed in SEEDS {
        let (chosen, baseline) = run_policies("deferrable-flood", seed);
        for name in ["urgent", "standard"] {
            assert!(group(&chosen, name).on_time_ratio() >= 0.99, "{name}");
        }
        assert!(on_time(&chosen) > on_time(&baseline));
        assert!(served(&chosen) as f64 >= 0.97 * served(&baseline) as f64);
    }
}

#[test]
fn run_urgent_flood_refuses_instead_of_timing_out() {
    // Guards against overload of the urgent rank admitting requests that can't meet their target: admitted
    // requests are answered on time, the rest is refused immediately instead of timing out in a queue.
    for seed in SEEDS {
        let (chosen, baseline) = run_policies("urgent-flood", seed);
        let (urgent, baseline_group) = (group(&chosen, "urgent"), group(&baseline, "urgent"));
        assert!(urgent.on_time >= 2 * baseline_group.on_time);
        assert!(urgent.on_time + urgent.late >= baseline_group.on_time + baseline_group.late);
        assert!(
            urgent.abandoned * 20 <= baseline_group.abandoned,
            "too many callers timed out without a first byte"
        );
        assert!(group(&chosen, "standard").abandoned < group(&baseline, "standard").abandoned);
    }
}

#[test]
fn run_hot_prefix_meets_targets_with_fewer_prefills() {
    // Guards against one popular prefix overloading the engine that has it in its cache.
    let (mut requests, mut on_time) = (0, 0);
    for seed in SEEDS {
        let (chosen, baseline) = run_policies("hot-prefix", seed);
        for (name, group) in &chosen.groups {
            assert!(group.on_time_ratio() >= 0.8, "{name}");
        }
        requests += group(&chosen, "hot").requests;
        on_time += group(&chosen, "hot").on_time;
        assert!(chosen.shared_tokens < baseline.shared_tokens);
    }
    assert!(on_time * 10 >= requests * 9, "{on_time} of {requests}");
}

#[test]
fn run_hot_organisation_is_limited_to_its_cap() {
    // Guards against an organisation that requests a multiple of its cap either slowing other organisations
    // or getting more or much less than its cap.
    for seed in SEEDS {
        let (chosen, baseline) = run_policies("hot-organisation", seed);
        for name in ["urgent", "deferrable"] {
            assert!(group(&chosen, name).on_time_ratio() >= 0.99, "{name}");
        }
        let (hot, baseline_group) = (group(&chosen, "standard"), group(&baseline, "standard"));
        assert!(hot.on_time * 10 >= 11 * baseline_group.on_time);
        assert!(hot.served_ratio() >= 0.9 * baseline_group.served_ratio());
        let cap = find_pattern("hot-organisation").expect("the pattern is predefined").caps[0];
        let seconds: Vec<f64> =
            chosen.cap_tokens_by_second[cap.organisation].values().copied().collect();
        // In eight seconds, the cap allows eight seconds' tokens and a burst of one second's, and may be
        // exceeded by a tenth.
        let max_tokens = 9.0 * cap.tokens_per_second * 1.1;
        for window in seconds.windows(8) {
            assert!(window.iter().sum::<f64>() <= max_tokens, "{seconds:?}");
        }
        let tokens_in_surge: f64 = seconds[4..12].iter().sum();
        assert!(tokens_in_surge >= 0.85 * 8.0 * cap.tokens_per_second, "{seconds:?}");
    }
}

#[test]
fn run_retry_at_once_delays_no_other_rank() {
    // Guards against callers that retry immediately gaining an advantage over those that wait as advised: the
    // ranks that wait must still be answered on time.
    for seed in SEEDS {
        let (chosen, _) = run_policies("retry-at-once", seed);
        for name in ["urgent", "standard"] {
            assert!(group(&chosen, name).on_time_ratio() >= 0.99, "{name}");
        }
    }
}

#[test]
fn run_urgent_flood_spreads_retries() {
    // Guards against refused callers all retrying in the same 100 ms: advised delays must spread the retries.
    for seed in SEEDS {
        let (chosen, _) = run_policies("urgent-flood", seed);
        let retries: u64 = chosen.retries_per_100ms.values().sum();
        let mean = retries as f64 / chosen.retries_per_100ms.len() as f64;
        assert!(chosen.peak_retries() as f64 <= 4.0 * mean.max(1.0));
    }
}

#[test]
fn run_wave_in_flood_serves_no_less_than_baseline() {
    // Guards against congestion collapse when engines crash during a surge.
    for seed in SEEDS {
        let (chosen, baseline) = run_policies("wave-in-flood", seed);
        let (urgent, baseline_group) = (group(&chosen, "urgent"), group(&baseline, "urgent"));
        assert!(urgent.on_time * 2 >= 3 * baseline_group.on_time);
        assert!(
            urgent.abandoned * 20 <= baseline_group.abandoned,
            "too many callers timed out without a first byte"
        );
        assert!(served(&chosen) >= served(&baseline));
    }
}

#[test]
fn run_zone_cut_meets_targets() {
    // Guards against relays still choosing engines that a zone partition has made unreachable.
    for seed in SEEDS {
        let (chosen, baseline) = run_policies("zone-cut", seed);
        assert!(on_time(&chosen) >= on_time(&baseline));
        for (name, group) in &chosen.groups {
            assert!(group.on_time_ratio() >= 0.95, "{name}");
        }
    }
}

#[test]
fn run_store_outage_in_flood_serves_no_less_than_baseline() {
    // Guards against relays sending requests to crashed engines that the list of upstreams still contains
    // because the store is down: the outcomes of earlier attempts must exclude those engines.
    for seed in SEEDS {
        let (chosen, baseline) = run_policies("store-outage-in-flood", seed);
        let (urgent, baseline_group) = (group(&chosen, "urgent"), group(&baseline, "urgent"));
        assert!(urgent.on_time * 2 >= 3 * baseline_group.on_time);
        assert!(
            urgent.abandoned * 20 <= baseline_group.abandoned,
            "too many callers timed out without a first byte"
        );
        assert!(served(&chosen) >= served(&baseline));
    }
}

#[test]
fn run_same_seed_gives_same_report() {
    // Guards against state outside the seed, such as hash order, changing a simulation's result.
    let pattern = find_pattern("wave-in-flood").expect("the pattern is predefined");
    assert!(pattern.faults.iter().any(|fault| matches!(fault, Fault::EngineCrash { .. })));
    let tables = [0, 1]
        .map(|_| run(&pattern, Policy::Chosen, 7).expect("the simulation runs").format_table(""));
    assert_eq!(tables[0], tables[1]);
}
