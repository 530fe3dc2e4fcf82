//! Starts the system of `examples/local` on loopback addresses, sends one call of each kind and
//! checks the responses.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use bpaf::Bpaf;
use eyre::{WrapErr, ensure, eyre};
use hickorycourse_testkit::http::{HttpResponse, chat_body, read_stream, send_request};
use hickorycourse_testkit::process::{Process, binary_dir};
use serde_json::{Value, json};
use tokio::signal::unix::{SignalKind, signal};

/// Starts two entries with fake upstreams and a fake platform on loopback and sends one call of
/// each kind.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
struct Options {
    /// Keep the processes running until Ctrl-C or SIGTERM
    keep: bool,
}

const PLATFORM: &str = "127.0.20.10:2379";
const ENTRY_A: &str = "127.0.20.1";
const ENTRY_B: &str = "127.0.20.2";
const CALLER_KEY: &str = "local-caller-key";
const OPERATOR_KEY: &str = "local-operator-key";
const MODEL: &str = "order-desk-v1";
const START_TIMEOUT: Duration = Duration::from_secs(20);

fn main() -> eyre::Result<()> {
    let options = options().run();
    let log_dir = std::env::temp_dir().join(format!("hickorycourse-local-{}", std::process::id()));
    std::fs::create_dir_all(&log_dir)?;
    let processes = start_all(&log_dir)?;
    let result = load_settings().and_then(|()| send_calls());
    if let Err(error) = &result {
        eprintln!("run-local failed: {error:#}\nlogs are in {}", log_dir.display());
    } else if options.keep {
        print_hints(&log_dir);

        wait_for_signal()?;
    }
    drop(processes);
    if result.is_ok() {
        std::fs::remove_dir_all(&log_dir)?;
    }
    result
}

fn start_all(log_dir: &Path) -> eyre::Result<Vec<Process>> {
    let examples = Path::new("examples/local");
    ensure!(
        examples.is_dir(),
        "examples/local not found: run this from the root of the repository"
    );
    let start_fake_server = |name: &str, arguments: &[&str]| {
        let arguments: Vec<String> = arguments.iter().map(|&text| text.to_owned()).collect();
        Process::start("hickorycourse-standin", &arguments, name, log_dir)
    };
    let mut processes = vec![
        start_fake_server("platform", &["platform", "--listen", PLATFORM]),
        start_fake_server("engine-a", &["engine", "--listen", "127.0.20.11:8000"]),
        start_fake_server("engine-b", &["engine", "--listen", "127.0.20.12:8000"]),
        start_fake_server("service-a", &["service", "--listen", "127.0.20.13:8000"]),
    ];
    poll_until("the platform to respond", || {
        get(&format!("http://{PLATFORM}/stats"), "").status == 200
    })?;
    for (name, role, zone, address) in [
        ("entry-a", "entry", "zone-a", "127.0.20.1:7080"),
        ("entry-b", "entry", "zone-b", "127.0.20.2:7080"),
        ("engine-a", "order-desk", "zone-a", "127.0.20.11:8000"),
        ("engine-b", "order-desk", "zone-b", "127.0.20.12:8000"),
        ("service-a", "orders", "zone-a", "127.0.20.13:8000"),
    ] {
        let instance = json!({
            "instance": name,
            "role": role,
            "availability_zone": zone,
            "address": address,
            "state": "live",
        });
        let body = instance.to_string();
        send_request("POST", &format!("http://{PLATFORM}/instances"), &[], Some(body.as_bytes()));
    }
    for name in ["entry-a", "entry-b"] {
        let file: PathBuf = examples.join(format!("{name}.jsonc"));
        let arguments = vec![file.display().to_string()];
        processes.push(Process::start("hickorycourse-entry", &arguments, name, log_dir));
    }
    Ok(processes)
}

fn load_settings() -> eyre::Result<()> {
    let status = format!("http://{ENTRY_A}:9080/v1/status");
    poll_until("the first entry to respond", || get(&status, OPERATOR_KEY).status == 200)?;
    let output = std::process::Command::new(binary_dir().join("hickoryctl"))
        .args(["--address", &format!("{ENTRY_A}:9080"), "--key", OPERATOR_KEY])
        .args(["settings", "load", "examples/local/tree.jsonc"])
        .output()
        .wrap_err("cannot start hickoryctl")?;
    print!("{}", String::from_utf8_lossy(&output.stdout));
    ensure!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    for entry in [ENTRY_A, ENTRY_B] {
        let url = format!("http://{entry}:8080/readyz");
        poll_until(&format!("{entry} to be ready"), || get(&url, "").status == 200)?;
        let models = format!("http://{entry}:8080/v1/models");
        poll_until("the caller's key to be accepted", || get(&models, CALLER_KEY).status == 200)?;
    }
    Ok(())
}

fn send_calls() -> eyre::Result<()> {
    let prompt = "How many bearings fit a 5 inch caster?";
    let completion = call(ENTRY_A, "POST", "/v1/chat/completions", &[], &chat(prompt, false))?;
    let text = completion.json()["choices"][0]["message"]["content"]
        .as_str()
        .ok_or_else(|| {
            eyre!("the completion that is not streamed has no text: {}", completion.body)
        })?
        .to_owned();
    println!("plain model call     {text}");
    let url = format!("http://{ENTRY_B}:8080/v1/chat/completions");
    let authorization = format!("Bearer {CALLER_KEY}");
    let streamed =
        read_stream(&url, &[("authorization", &authorization)], &chat(prompt, true), |_| {});
    println!("streamed model call  {} in {} chunks", streamed.text, streamed.chunks.len());
    ensure!(streamed.is_complete, "the stream has no end marker: {:?}", streamed.problem);
    ensure!(
        streamed.text == text,
        "the streamed and the plain completion of the same prompt differ"
    );
    let stock = call(ENTRY_A, "GET", "/orders/stock?part=c-5", &[], &Value::Null)?;
    println!("plain service call   {}", stock.body.trim());
    ensure!(stock.json()["query"] == "part=c-5", "the service did not receive the query string");
    let key = [("idempotency-key", "order-1")];
    let order = call(ENTRY_A, "POST", "/orders", &key, &json!({ "part": "c-5", "count": 40 }))?;
    println!("order                {}", order.body.trim());
    let repeated = call(ENTRY_B, "POST", "/orders", &key, &json!({ "part": "c-5", "count": 40 }))?;
    println!("the same order again {}", repeated.body.trim());
    ensure!(order.json()["executions"] == 1, "the order was not executed exactly once");
    ensure!(repeated.body == order.body, "the repeated order got a different response");
    println!("all answers were whole and right");
    Ok(())
}

fn chat(prompt: &str, is_streaming: bool) -> Value {
    chat_body(MODEL, prompt, 12, is_streaming)
}

fn call(
    entry: &str,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &Value,
) -> eyre::Result<HttpResponse> {
    let authorization = format!("Bearer {CALLER_KEY}");
    let mut all_headers = vec![("authorization", authorization.as_str())];
    all_headers.extend_from_slice(headers);
    let text = body.to_string();
    let bytes = (!body.is_null()).then_some(text.as_bytes());
    let response = send_request(method, &format!("http://{entry}:8080{path}"), &all_headers, bytes);
    ensure!(
        response.status == 200,
        "{method} {path} at {entry}: status {}, {}",
        response.status,
        response.body
    );
    Ok(response)
}

fn get(url: &str, key: &str) -> HttpResponse {
    let authorization = format!("Bearer {key}");
    send_request("GET", url, &[("authorization", &authorization)], None)
}

fn poll_until(what: &str, mut condition: impl FnMut() -> bool) -> eyre::Result<()> {
    let started = Instant::now();
    while !condition() {
        ensure!(
            started.elapsed() < START_TIMEOUT,
            "timed out after {START_TIMEOUT:?} waiting for {what}"
        );
        std::thread::sleep(Duration::from_millis(50));
    }
    Ok(())
}

fn print_hints(log_dir: &Path) {
    println!(
        "
callers     http://{ENTRY_A}:8080 and http://{ENTRY_B}:8080, key {CALLER_KEY}
operators   http://{ENTRY_A}:9080 and http://{ENTRY_B}:9080, key {OPERATOR_KEY}
logs        {}

Try:
  curl -N http://{ENTRY_A}:8080/v1/chat/completions -H 'authorization: Bearer {CALLER_KEY}' \\
    -d '{{\"model\":\"{MODEL}\",\"stream\":true,\"messages\":[{{\"role\":\"user\",\"content\":\"hello\"}}]}}'
  target/debug/hickoryctl --address {ENTRY_A}:9080 --key {OPERATOR_KEY} status
  target/debug/hickoryctl --address {ENTRY_A}:9080 --key {OPERATOR_KEY} usage
  curl -X POST http://127.0.20.11:8000/faults -d '{{\"break_after_tokens\":3}}'

Ctrl-C ends it all.",
        log_dir.display()
    );
}

/// Waits for SIGINT or SIGTERM. The processes are killed when `main` drops them.
fn wait_for_signal() -> eyre::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_io().build()?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        Ok(())
    })
}
