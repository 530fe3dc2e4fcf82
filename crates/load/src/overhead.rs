//! What an entry adds to a direct call.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use hickorycourse_store::build_client;
use serde_json::{Value, json};

use crate::call::{Outcome, Target, Times, send};
use crate::report::{Group, GroupReport};

/// What is compared.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The engine.
    pub engine: SocketAddr,
    /// The entry.
    pub entry: SocketAddr,
    /// A caller's key.
    pub key: String,
    /// The model.
    pub model: String,
    /// Calls in flight.
    pub in_flight: usize,
    /// Calls of each kind.
    pub calls: usize,
    /// Tokens of each answer.
    pub tokens: u64,
}

const THREADS: usize = 3;
/// Both kinds take turns, so that both see the same machine.
const ROUNDS: usize = 4;

struct Measured {
    group: Group,
    busy: Duration,
}

/// Runs the comparison and prints it.
pub fn run(plan: &Plan) -> eyre::Result<()> {
    let target = |address: SocketAddr| Target {
        url: format!("http://{address}/v1/chat/completions"),
        key: plan.key.clone(),
        rank: None,
    };
    let direct = target(plan.engine);
    let entry = target(plan.entry);
    measure(plan, &direct, plan.in_flight)?;
    measure(plan, &entry, plan.in_flight)?;
    let mut sums = [Group::default(), Group::default()];
    let mut busy = [Duration::ZERO; 2];
    for _ in 0..ROUNDS {
        for (index, target) in [&direct, &entry].into_iter().enumerate() {
            let measured = measure(plan, target, plan.calls / ROUNDS)?;
            sums[index].merge(&measured.group);
            busy[index] += measured.busy;
        }
    }
    println!("{} in flight, {} calls of each kind", plan.in_flight, plan.calls);
    println!(
        "{:<8} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9} {:>7}",
        "", "first p50", "p95", "p99", "gap p50", "p95", "p99", "calls/s", "failed"
    );
    let [direct, entry] = [sums[0].report(), sums[1].report()];
    print_row("direct", &direct, busy[0]);
    print_row("entry", &entry, busy[1]);
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

fn print_row(name: &str, report: &GroupReport, busy: Duration) {
    let (first, gap) = (report.first_token, report.between_tokens);
    println!(
        "{name:<8} {:>9.3} {:>9.3} {:>9.3} {:>9.3} {:>9.3} {:>9.3} {:>9.0} {:>7}",
        first.p50_ms,
        first.p95_ms,
        first.p99_ms,
        gap.p50_ms,
        gap.p95_ms,
        gap.p99_ms,
        report.answered as f64 / busy.as_secs_f64(),
        report.failed + report.refused,
    );
}

/// Keeps so many calls in flight on several threads until all have ended.
fn measure(plan: &Plan, target: &Target, calls: usize) -> eyre::Result<Measured> {
    let left = Arc::new(AtomicUsize::new(calls));
    let started = Instant::now();
    let threads: Vec<_> = (0..THREADS)
        .map(|thread| {
            let (plan, target, left) = (plan.clone(), target.clone(), Arc::clone(&left));
            let share = (plan.in_flight + THREADS - 1 - thread) / THREADS;
            std::thread::spawn(move || {
                let system = ntex::rt::System::new("load", ntex::rt::DefaultRuntime);
                system.block_on(call_in_turn(plan, target, left, share))
            })
        })
        .collect();
    let mut group = Group::default();
    for thread in threads {
        let times = thread.join().map_err(|_| eyre::eyre!("a thread of callers failed"))?;
        for times in &times {
            group.add(times, Duration::MAX);
        }
    }
    Ok(Measured { group, busy: started.elapsed() })
}

async fn call_in_turn(
    plan: Plan,
    target: Target,
    left: Arc<AtomicUsize>,
    in_flight: usize,
) -> Vec<Times> {
    let client = build_client().await;
    let body: Value = json!({
        "model": plan.model,
        "messages": [{ "role": "user", "content": "What does a caster carry?" }],
        "max_tokens": plan.tokens,
        "ignore_eos": true,
        "stream": true,
    });
    let callers: Vec<_> = (0..in_flight)
        .map(|_| {
            let (client, target, body) = (client.clone(), target.clone(), body.clone());
            let left = Arc::clone(&left);
            ntex::rt::spawn(async move {
                let mut all = Vec::new();
                while take_one(&left) {
                    let times = send(&client, &target, &body).await;
                    debug_assert!(times.outcome != Outcome::Refused);
                    all.push(times);
                }
                all
            })
        })
        .collect();
    let mut all = Vec::new();
    for caller in callers {
        all.extend(caller.await.unwrap_or_default());
    }
    all
}

fn take_one(left: &AtomicUsize) -> bool {
    left.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |count| count.checked_sub(1)).is_ok()
}
