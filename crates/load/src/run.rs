//! The command `run`: sends a workload in an open loop.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

use eyre::WrapErr;
use hickorycourse_clock::sleep;
use hickorycourse_store::build_client;
use ntex::client::Client;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};

use crate::call::{CallTiming, Endpoint, send};
use crate::report::{GroupStats, Report};
use crate::workload::{CallStream, Workload};

/// A call with its start time, relative to the start of the run.
struct ScheduledCall {
    at: Duration,
    stream: usize,
    prompt: String,
}

struct RunResults {
    groups: BTreeMap<String, GroupStats>,
}

/// Runs the workload of a file, prints its report and writes it to `output`, if given.
pub fn run(seed: u64, name: &str, output: Option<&Path>, path: &Path) -> eyre::Result<()> {
    let text = std::fs::read_to_string(path).wrap_err_with(|| path.display().to_string())?;
    let workload: Workload =
        serde_json::from_str(&text).wrap_err_with(|| path.display().to_string())?;
    let calls = schedule_calls(&workload, seed);
    let system = ntex::rt::System::new("load", ntex::rt::DefaultRuntime);
    let results = system.block_on(run_open_loop(workload, calls));
    let groups = results.groups.iter().map(|(name, group)| (name.clone(), group.report()));
    let report = Report { name: name.to_owned(), seed, groups: groups.collect() };
    report.print();
    if let Some(output) = output {
        std::fs::write(output, serde_json::to_vec_pretty(&report)?)?;
    }
    Ok(())
}

/// Generates all calls before the run, so that the same seed gives the same calls.
fn schedule_calls(workload: &Workload, seed: u64) -> Vec<ScheduledCall> {
    let mut calls = Vec::new();
    for (index, stream) in workload.streams.iter().enumerate() {
        let mut rng =
            ChaCha8Rng::seed_from_u64(seed.wrapping_mul(1_000).wrapping_add(index as u64));
        let end_s = stream.end_s.unwrap_or(workload.seconds).min(workload.seconds);
        let mut at_s = stream.start_s;
        loop {
            let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
            at_s += -uniform.ln() / stream.calls_per_s.max(f64::EPSILON);
            if at_s >= end_s {
                break;
            }
            let prompt = generate_prompt(stream, &mut rng);
            calls.push(ScheduledCall { at: Duration::from_secs_f64(at_s), stream: index, prompt });
        }
    }
    calls.sort_by_key(|call| call.at);
    calls
}

fn generate_prompt(stream: &CallStream, rng: &mut ChaCha8Rng) -> String {
    let shared = rng.random_range(0..stream.shared_prefixes.max(1));
    let sentence = format!("{} sheet {shared} says more. ", stream.organisation);
    let mut prompt = sentence.repeat(stream.shared_prefix_bytes / sentence.len() + 1);
    prompt.truncate(stream.shared_prefix_bytes);
    while prompt.len() < stream.shared_prefix_bytes + stream.own_bytes {
        prompt.push_str(&format!(" {:08x}", rng.random::<u32>()));
    }
    prompt
}

async fn run_open_loop(workload: Workload, calls: Vec<ScheduledCall>) -> RunResults {
    let client = build_client().await;
    let workload = Rc::new(workload);
    let results = Rc::new(RefCell::new(RunResults { groups: BTreeMap::new() }));
    let started = Instant::now();
    let mut tasks = Vec::new();
    for (number, call) in calls.into_iter().enumerate() {
        let wait = call.at.saturating_sub(started.elapsed());
        if wait > Duration::from_millis(1) {
            sleep(wait).await;
        }
        let client = client.clone();
        let workload = Rc::clone(&workload);
        let results = Rc::clone(&results);
        tasks.push(ntex::rt::spawn(async move {
            let stream = &workload.streams[call.stream];
            let timing = send_call(&client, &workload, stream, &call.prompt, number).await;
            results.borrow_mut().add(stream, &timing);
        }));
    }
    for task in tasks {
        let _ = task.await;
    }
    Rc::try_unwrap(results)
        .map(RefCell::into_inner)
        .unwrap_or_else(|shared| RunResults { groups: shared.borrow().groups.clone() })
}

async fn send_call(
    client: &Client,
    workload: &Workload,
    stream: &CallStream,
    prompt: &str,
    number: usize,
) -> CallTiming {
    let entry = &workload.entries[number % workload.entries.len()];
    let endpoint = Endpoint {
        url: format!("http://{entry}/v1/chat/completions"),
        key: stream.key.clone(),
        rank: Some(stream.rank.clone()),
    };
    let body: Value = json!({
        "model": workload.model,
        "messages": [{ "role": "user", "content": prompt }],
        "max_tokens": stream.answer_tokens,
        "ignore_eos": true,
        "stream": true,
    });
    send(client, &endpoint, &body).await
}

impl RunResults {
    fn add(&mut self, stream: &CallStream, timing: &CallTiming) {
        let target = Duration::from_millis(stream.target_ms);
        for name in [
            format!("rank {}", stream.rank),
            format!("organisation {}", stream.organisation),
            format!("{} {}", stream.organisation, stream.rank),
        ] {
            self.groups.entry(name).or_default().add(timing, target);
        }
    }
}
