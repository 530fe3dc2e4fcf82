//! The event log's lines reach standard output before the process ends.

use std::process::{Command, Stdio};
use std::time::Duration;

use hickorycourse_telemetry::EventLog;
use serde_json::json;

/// Set in the child process that writes the lines.
const CHILD_VARIABLE: &str = "HICKORYCOURSE_TEST_EVENTS_CHILD";
const LINES: u64 = 300;
const LINES_PER_SECOND: u64 = 100;
const FLUSH_LIMIT: Duration = Duration::from_secs(5);

/// Runs the test `name` in a child process; returns the events that it logged.
fn run_child(name: &str) -> Vec<String> {
    let program = std::env::current_exe().expect("the test has a program");
    let output = Command::new(program)
        .args(["--exact", name, "--nocapture", "--test-threads", "1"])
        .env(CHILD_VARIABLE, name)
        .stderr(Stdio::null())
        .output()
        .expect("cannot start the child");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let lines = text.lines().filter_map(|line| serde_json::from_str(line).ok());
    lines.filter_map(|line: serde_json::Value| Some(line["event"].as_str()?.to_owned())).collect()
}

fn is_child(name: &str) -> bool {
    std::env::var(CHILD_VARIABLE).is_ok_and(|value| value == name)
}

// Guards against the last lines of a process being lost as it ends.
#[test]
fn flush_before_exit_writes_all_lines() {
    const NAME: &str = "flush_before_exit_writes_all_lines";
    if is_child(NAME) {
        let log = EventLog::start(LINES + 1).expect("cannot start the log");
        // The first line of the output would follow the name of the test.
        println!();
        for _ in 0..LINES {
            log.write("line", || json!({}));
        }
        log.write("last", || json!({}));
        let is_flushed = log.flush(FLUSH_LIMIT);
        std::process::exit(i32::from(!is_flushed));
    }
    let events = run_child(NAME);
    assert_eq!(events.len() as u64, LINES + 1);
    assert_eq!(events.last().map(String::as_str), Some("last"));
}

// Guards against the end of a busy process being left out of its log.
#[test]
fn write_unlimited_over_rate_limit_written() {
    const NAME: &str = "write_unlimited_over_rate_limit_written";
    if is_child(NAME) {
        let log = EventLog::start(LINES_PER_SECOND).expect("cannot start the log");
        println!();
        for _ in 0..LINES {
            log.write("line", || json!({}));
        }
        log.write_unlimited("last", || json!({}));
        let is_flushed = log.flush(FLUSH_LIMIT);
        std::process::exit(i32::from(!is_flushed));
    }
    let events = run_child(NAME);
    assert!(events.len() as u64 <= LINES_PER_SECOND + 1, "{} lines", events.len());
    assert_eq!(events.last().map(String::as_str), Some("last"));
}
