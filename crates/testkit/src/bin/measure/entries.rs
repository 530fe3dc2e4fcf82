//! Measures the costs that grow with the number of entries.

use std::time::{Duration, Instant};

use hickorycourse_testkit::fleet::{DEALER_KEY, poll_until};
use hickorycourse_testkit::prelude::*;

const DEALERS: &str = "organisation/dealers";
const CHANGES: u64 = 20;
const IDLE_DURATION: Duration = Duration::from_secs(10);

/// Runs the measurement for each number of entries, spread over three availability zones.
pub fn run(counts: &[usize]) -> eyre::Result<()> {
    println!(
        "{:>7} {:>12} {:>12} {:>14} {:>14} {:>10} {:>10} {:>12}",
        "entries",
        "in force p50",
        "p99 ms",
        "calls/change",
        "idle calls/s",
        "KiB",
        "core %",
        "peer B/s"
    );
    for count in counts {
        measure(*count);
    }
    Ok(())
}

fn measure(count: usize) {
    let mut fleet = FleetBuilder::new()
        .with_zones(3)
        .with_per_zone(1, 1, 0)
        .with_log_level("warn")
        .start_without_settings();
    for index in 0..count {
        fleet.add_entry(["zone-a", "zone-b", "zone-c"][index % 3]);
    }
    fleet.load_settings();
    fleet.wait_until_ready();
    std::thread::sleep(Duration::from_secs(2));
    let idle = measure_idle(&fleet);
    let (mut times_ms, calls_per_change) = measure_changes(&fleet, idle.calls_per_s);
    times_ms.sort_by(f64::total_cmp);
    println!(
        "{count:>7} {:>12.0} {:>12.0} {calls_per_change:>14.1} {:>14.1} {:>10.0} {:>10.2} {:>12.0}",
        times_ms[times_ms.len() / 2],
        times_ms[times_ms.len() * 99 / 100],
        idle.calls_per_s,
        idle.memory_kib,
        idle.core_percent,
        idle.peer_bytes_per_s,
    );
}

/// Resource use without requests: platform calls of all entries, the rest for each entry.
struct IdleAverages {
    calls_per_s: f64,
    memory_kib: f64,
    core_percent: f64,
    peer_bytes_per_s: f64,
}

fn count_calls(fleet: &Fleet) -> u64 {
    fleet.platform.stats()["stats"]["calls"].as_u64().unwrap_or(0)
}

fn count_peer_bytes(entry: &Entry) -> u64 {
    let metrics = entry.send_operator_request("GET", "/metrics", None).body;
    let line = metrics.lines().find(|line| line.starts_with("hickorycourse_peer_sent_bytes_total"));
    line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0)
}

/// Measures averages over all entries while they receive no requests.
fn measure_idle(fleet: &Fleet) -> IdleAverages {
    let cpu_ms = || -> u64 { fleet.entries.iter().map(|e| e.process.read_cpu_ms()).sum() };
    let peer_bytes = || -> u64 { fleet.entries.iter().map(count_peer_bytes).sum() };
    let (calls, bytes, cpu) = (count_calls(fleet), peer_bytes(), cpu_ms());
    let started = Instant::now();
    std::thread::sleep(IDLE_DURATION);
    let cpu = cpu_ms() - cpu;
    let seconds = started.elapsed().as_secs_f64();
    let entries = fleet.entries.len() as f64;
    let memory: u64 = fleet.entries.iter().map(|e| e.process.read_memory_kib()).sum();
    IdleAverages {
        calls_per_s: (count_calls(fleet) - calls) as f64 / seconds,
        memory_kib: memory as f64 / entries,
        core_percent: cpu as f64 / 10.0 / seconds / entries,
        peer_bytes_per_s: (peer_bytes() - bytes) as f64 / seconds / entries,
    }
}

fn measure_changes(fleet: &Fleet, idle_calls_per_s: f64) -> (Vec<f64>, f64) {
    let calls = count_calls(fleet);
    let started = Instant::now();
    let mut times_ms = Vec::new();
    for revision in 1..=CHANGES {
        let mut value = Fleet::build_organisation_settings("dealers", "dealer-1", DEALER_KEY);
        value["policy"] = json!({ "share": revision });
        let changed = Instant::now();
        let entry = revision as usize % fleet.entries.len();
        let response = fleet.set_settings(entry, DEALERS, revision, &value);
        assert_eq!(response.status, 200, "{response:?}");
        poll_until("the change to be active at all entries", || {
            (0..fleet.entries.len()).all(|entry| fleet.active_revision(entry, DEALERS) > revision)
        });
        times_ms.push(changed.elapsed().as_secs_f64() * 1_000.0);
    }
    let idle_calls = idle_calls_per_s * started.elapsed().as_secs_f64();
    let calls = (count_calls(fleet) - calls) as f64 - idle_calls;
    (times_ms, calls / CHANGES as f64)
}
