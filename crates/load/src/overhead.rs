//! The command `overhead`: measures the latency that an entry adds to direct calls to an engine.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use hickorycourse_store::build_client;
use serde_json::{Value, json};

use crate::call::{CallTiming, Endpoint, Outcome, send};
use crate::report::{GroupReport, GroupStats};

/// Options of an overhead measurement.
#[derive(Clone, Debug)]
pub struct OverheadOptions {
    /// Address of the engine for the direct calls.
    pub engine: SocketAddr,
    /// Caller address of the entry.
    pub entry: SocketAddr,
    /// Caller key.
    pub key: String,
    /// Model name sent in each call.
    pub model: String,
    /// Number of concurrent calls, over all threads.
    pub in_flight: usize,
    /// Number of direct calls, and of calls through the entry.
    pub calls: usize,
    /// Length of each answer in tokens.
    pub tokens: u64,
}

const CLIENT_THREADS: usize = 3;
/// Direct calls and calls through the entry alternate in this many rounds, so that changes of the host's load
/// affect both alike.
const ROUNDS: usize = 4;

struct Measurement {
    group: GroupStats,
    elapsed: Duration,
}

/// Warms up the direct path and the path through the entry, measures them in alternating rounds and prints
/// the latencies and their difference.
pub fn run(options: &OverheadOptions) -> eyre::Result<()> {
    let endpoint = |address: SocketAddr| Endpoint {
        url: format!("http://{address}/v1/chat/completions"),
        key: options.key.clone(),
        rank: None,
    };
    let direct = endpoint(options.engine);
    let entry = endpoint(options.entry);
    measure(options, &direct, options.in_flight)?;
    measure(options, &entry, options.in_flight)?;
    let mut totals = [GroupStats::default(), GroupStats::default()];
    let mut elapsed = [Duration::ZERO; 2];
    for _ in 0..ROUNDS {
        for (index, endpoint) in [&direct, &entry].into_iter().enumerate() {
            let measured = measure(options, endpoint, options.calls / ROUNDS)?;
            totals[index].merge(&measured.group);
            elapsed[index] += measured.elapsed;
        }
    }
    println!("{} in flight, {} calls of each kind", options.in_flight, options.calls);
    println!(
        "{:<8} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9} {:>7}",
        "", "first p50", "p95", "p99", "gap p50", "p95", "p99", "calls/s", "failed"
    );
    let [direct, entry] = [totals[0].report(), totals[1].report()];
    print_row("direct", &direct, elapsed[0]);
    print_row("entry", &entry, elapsed[1]);
    println!(
        "added    {:>9.3} {:>9.3} {:>9.3} {:>9.3} {:>9.3} {:>9.3}",
        entry.first_token.p50_ms - direct.first_token.p50_ms,
        entry.first_token.p95_ms - direct.first_token.p95_ms,
        entry.first_token.p99_ms - direct.first_token.p99_ms,
        entry.between_tokens.p50_ms - direct.between_tokens.p50_ms,
        entry.between_tokens.p95_ms - direct.between_tokens.p95_ms,
        entry.between_tokens.p99_ms - direct.between_tokens.p99_ms,
    );
    Ok(())
}

fn print_row(name: &str, report: &GroupReport, elapsed: Duration) {
    let (first, gap) = (report.first_token, report.between_tokens);
    println!(
        "{name:<8} {:>9.3} {:>9.3} {:>9.3} {:>9.3} {:>9.3} {:>9.3} {:>9.0} {:>7}",
        first.p50_ms,
        first.p95_ms,
        first.p99_ms,
        gap.p50_ms,
        gap.p95_ms,
        gap.p99_ms,
        report.answered as f64 / elapsed.as_secs_f64(),
        report.failed + report.refused,
    );
}

/// Sends `calls` calls from several threads, with `in_flight` of them in flight at a time.
fn measure(
    options: &OverheadOptions,
    endpoint: &Endpoint,
    calls: usize,
) -> eyre::Result<Measurement> {
    let remaining = Arc::new(AtomicUsize::new(calls));
    let started = Instant::now();
    let threads: Vec<_> = (0..CLIENT_THREADS)
        .map(|thread| {
            let (options, endpoint, remaining) =
                (options.clone(), endpoint.clone(), Arc::clone(&remaining));
            let concurrency = (options.in_flight + CLIENT_THREADS - 1 - thread) / CLIENT_THREADS;
            std::thread::spawn(move || {
                let system = ntex::rt::System::new("load", ntex::rt::DefaultRuntime);
                system.block_on(run_callers(options, endpoint, remaining, concurrency))
            })
        })
        .collect();
    let mut group = GroupStats::default();
    for thread in threads {
        let timings = thread.join().map_err(|_| eyre::eyre!("a caller thread panicked"))?;
        for timing in &timings {
            group.add(timing, Duration::MAX);
        }
    }
    Ok(Measurement { group, elapsed: started.elapsed() })
}

async fn run_callers(
    options: OverheadOptions,
    endpoint: Endpoint,
    remaining: Arc<AtomicUsize>,
    in_flight: usize,
) -> Vec<CallTiming> {
    let client = build_client().await;
    let body: Value = json!({
        "model": options.model,
        "messages": [{ "role": "user", "content": "What does a caster carry?" }],
        "max_tokens": options.tokens,
        "ignore_eos": true,
        "stream": true,
    });
    let callers: Vec<_> = (0..in_flight)
        .map(|_| {
            let (client, endpoint, body) = (client.clone(), endpoint.clone(), body.clone());
            let remaining = Arc::clone(&remaining);
            ntex::rt::spawn(async move {
                let mut timings = Vec::new();
                while claim_call(&remaining) {
                    let timing = send(&client, &endpoint, &body).await;
                    debug_assert!(timing.outcome != Outcome::Refused);
                    timings.push(timing);
                }
                timings
            })
        })
        .collect();
    let mut timings = Vec::new();
    for caller in callers {
        timings.extend(caller.await.unwrap_or_default());
    }
    timings
}

fn claim_call(remaining: &AtomicUsize) -> bool {
    remaining.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |count| count.checked_sub(1)).is_ok()
}
