//! Compares the policies with the baseline.

use std::path::Path;
use std::process::Command;
use std::time::Duration;

use eyre::ensure;
use hickorycourse_testkit::fleet::{CHAIN_KEY, DEALER_KEY, MODEL};
use hickorycourse_testkit::prelude::*;
use hickorycourse_testkit::process::binary_dir;

const DURATION_S: f64 = 12.0;
const URGENT_TARGET_MS: u64 = 810;
const STANDARD_TARGET_MS: u64 = 5_000;
const DEFERRABLE_TARGET_MS: u64 = 3_600_000;

const SCENARIOS: &[&str] = &["calm", "deferrable-flood", "urgent-flood", "zone-reclaim"];

/// Runs each scenario, or only the given one, once for each seed with the baseline and with the
/// policies, and draws a chart for each scenario.
pub fn run(output: &Path, seeds: u64, only: Option<&str>) -> eyre::Result<()> {
    std::fs::create_dir_all(output)?;
    let chosen = SCENARIOS.iter().filter(|scenario| only.is_none_or(|only| only == **scenario));
    for scenario in chosen {
        for seed in 1..=seeds {
            for policy in ["baseline", "policies"] {
                run_scenario(output, scenario, seed, policy)?;
            }
        }
        draw_chart(output, scenario, seeds)?;
    }
    Ok(())
}

fn make_fleet(policy: &str) -> Fleet {
    let (admission, router, retry) = match policy {
        "baseline" => ("first_in_first_out", "round_robin", "at_once"),
        _ => ("fair", "prefix_aware", "budget"),
    };
    let site = json!({
        "admission": admission,
        "router": router,
        "retry": retry,
        "ranks": {
            "urgent": { "urgency": 0, "policy": { "target_first_token_ms": URGENT_TARGET_MS } },
            "standard": { "urgency": 1, "policy": {
                "target_first_token_ms": STANDARD_TARGET_MS, "floor_percent": 10 } },
            "deferrable": { "urgency": 2, "policy": {
                "target_first_token_ms": DEFERRABLE_TARGET_MS, "floor_percent": 5,
                "queue_timeout_ms": 3_600_000, "queue_limit": 200 } },
        },
    });
    FleetBuilder::new()
        .with_zones(2)
        .with_per_zone(2, 1, 2)
        .with_concurrency(8)
        .with_engine_arguments(&["--cache-blocks", "600", "--prompt-token-us", "100"])
        .with_site_settings(site)
        .with_log_level("warn")
        .start()
}

fn run_scenario(output: &Path, scenario: &str, seed: u64, policy: &str) -> eyre::Result<()> {
    let mut fleet = make_fleet(policy);
    let name = format!("{scenario}-{policy}-{seed}");
    let workload = output.join(format!("{name}-workload.json"));
    std::fs::write(&workload, format!("{:#}\n", make_workload(&fleet, scenario)))?;
    let report = output.join(format!("{name}.json"));
    let mut load = Command::new(binary_dir().join("hickorycourse-load"))
        .args(["run", "--seed", &seed.to_string(), "--name", &name, "--output"])
        .arg(&report)
        .arg(&workload)
        .spawn()?;
    if scenario == "zone-reclaim" {
        reclaim_zone(&mut fleet);
    }
    ensure!(load.wait()?.success(), "hickorycourse-load run failed for {name}");
    print_engine_totals(&fleet);
    Ok(())
}

/// Sends a reclaim notice for all engines of one availability zone after 4 s and kills them two
/// seconds later.
fn reclaim_zone(fleet: &mut Fleet) {
    std::thread::sleep(Duration::from_secs(4));
    let names: Vec<String> = fleet.engines[..2].iter().map(|e| e.name.clone()).collect();
    names.iter().for_each(|name| fleet.send_reclaim_notice(name));
    std::thread::sleep(Duration::from_secs(2));
    for engine in &mut fleet.engines[..2] {
        engine.process.kill();
    }
}

fn print_engine_totals(fleet: &Fleet) {
    let sum = |field: &str| -> u64 {
        let stats = fleet.engines.iter().map(|engine| engine.stats());
        stats.map(|stats| stats["stats"][field].as_u64().unwrap_or(0)).sum()
    };
    let (prompt, cached) = (sum("prompt_tokens"), sum("cached_tokens"));
    println!(
        "engines: {prompt} prompt tokens, {} of them computed, {} answer tokens, {} cancelled\n",
        prompt - cached,
        sum("answer_tokens"),
        sum("cancelled"),
    );
}

/// Four engines with 8 concurrency slots each complete about 130 calls of 40 output tokens per
/// second.
fn make_workload(fleet: &Fleet, scenario: &str) -> Value {
    let factor = if scenario == "zone-reclaim" { 0.8 } else { 1.0 };
    let mut streams = vec![
        stream("chain", CHAIN_KEY, "urgent", 15.0 * factor),
        stream("dealers", DEALER_KEY, "urgent", 4.0 * factor),
        stream("chain", CHAIN_KEY, "standard", 15.0 * factor),
        stream("dealers", DEALER_KEY, "standard", 4.0 * factor),
        stream("chain", CHAIN_KEY, "deferrable", 8.0 * factor),
        stream("dealers", DEALER_KEY, "deferrable", 2.0 * factor),
    ];
    let flood = match scenario {
        "deferrable-flood" => Some(stream("chain", CHAIN_KEY, "deferrable", 1_300.0)),
        "urgent-flood" => Some(stream("chain", CHAIN_KEY, "urgent", 400.0)),
        _ => None,
    };
    if let Some(mut flood) = flood {
        flood["start_s"] = json!(2.0);
        flood["end_s"] = json!(10.0);
        streams.push(flood);
    }
    let entries: Vec<String> =
        fleet.entries.iter().map(|entry| entry.caller_address.to_string()).collect();
    json!({ "entries": entries, "model": MODEL, "seconds": DURATION_S, "streams": streams })
}

fn stream(organisation: &str, key: &str, rank: &str, calls_per_s: f64) -> Value {
    let target_ms = match rank {
        "urgent" => URGENT_TARGET_MS,
        "standard" => STANDARD_TARGET_MS,
        _ => DEFERRABLE_TARGET_MS,
    };
    json!({
        "organisation": organisation,
        "key": key,
        "rank": rank,
        "calls_per_s": calls_per_s,
        "shared_prefix_bytes": 1_600,
        "shared_prefixes": 24,
        "own_bytes": 200,
        "answer_tokens": 40,
        "target_ms": target_ms,
    })
}

fn draw_chart(output: &Path, scenario: &str, seeds: u64) -> eyre::Result<()> {
    let mut command = Command::new(binary_dir().join("hickorycourse-load"));
    command.arg("draw").arg("--output").arg(output.join(format!("{scenario}.svg")));
    for seed in 1..=seeds {
        for policy in ["baseline", "policies"] {
            command.arg(output.join(format!("{scenario}-{policy}-{seed}.json")));
        }
    }
    ensure!(command.status()?.success(), "hickorycourse-load draw failed for {scenario}");
    Ok(())
}
