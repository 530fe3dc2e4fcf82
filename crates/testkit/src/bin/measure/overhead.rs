//! Measures the latency that one entry adds to a call, and its memory with open streams.

use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use eyre::ensure;
use hickorycourse_testkit::fleet::{DEALER_KEY, MODEL, poll_until};
use hickorycourse_testkit::prelude::*;
use hickorycourse_testkit::process::binary_dir;

const OPEN_STREAMS: usize = 1_000;

/// Runs the load tool with and without an entry at several concurrencies, then measures memory.
pub fn run() -> eyre::Result<()> {
    let fleet = FleetBuilder::new()
        .with_zones(1)
        .with_concurrency(2_000)
        .with_engine_arguments(&["--token-us", "10000"])
        .start();
    for (in_flight, calls) in [("1", "100"), ("64", "4000"), ("512", "12000")] {
        let cpu_ms = fleet.entries[0].process.read_cpu_ms();
        let status = Command::new(binary_dir().join("hickorycourse-load"))
            .args(["overhead", "--engine", &fleet.engines[0].address.to_string()])
            .args(["--entry", &fleet.entries[0].caller_address.to_string()])
            .args(["--key", DEALER_KEY, "--model", MODEL])
            .args(["--in-flight", in_flight, "--calls", calls])
            .status()?;
        ensure!(status.success(), "hickorycourse-load overhead failed: {status}");
        let cpu_ms = fleet.entries[0].process.read_cpu_ms() - cpu_ms;
        println!("the entry used {cpu_ms} ms of processor time, warm-up included\n");
    }
    measure_memory(&fleet);
    Ok(())
}

fn measure_memory(fleet: &Fleet) {
    let entry = &fleet.entries[0];
    let before_kib = entry.process.read_memory_kib();
    let started = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        for _ in 0..OPEN_STREAMS {
            scope.spawn(|| {
                let body = chat_body(MODEL, "open", 1_500, true);
                entry.stream(&body, |count| {
                    if count == 2 {
                        started.fetch_add(1, Ordering::SeqCst);
                    }
                })
            });
        }
        poll_until("all streams to receive two chunks", || {
            started.load(Ordering::SeqCst) == OPEN_STREAMS
        });
        println!("memory with 0 streams {before_kib} KiB");
        for second in 0..5 {
            let kib = entry.process.read_memory_kib();
            println!("memory with {OPEN_STREAMS} streams after {second} s {kib} KiB");
            std::thread::sleep(Duration::from_secs(1));
        }
    });
}
