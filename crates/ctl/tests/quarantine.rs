//! `hickoryctl quarantine` against a stand-in for a relay's management endpoints.

#![allow(clippy::unwrap_used)]

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Command, Output};
use std::sync::{Arc, Mutex};
use std::thread;

use hickorycourse_testkit::process::binary_dir;

const LIST: &str = r#"{"parts":[
    {"part":"bad","is_request":true,"starts":3,"is_pinned":false,"age_ms":61500,"last_request_age_ms":1900},
    {"part":"f00d0000","starts":0,"is_pinned":true,"age_ms":5000,"last_request_age_ms":5000}]}"#;

/// Stand-in that responds with a status and a body, and records requests.
struct Relay {
    address: SocketAddr,
    /// Request lines and headers.
    requests: Arc<Mutex<Vec<Vec<String>>>>,
}

impl Relay {
    fn start(status: &'static str, body: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let requests: Arc<Mutex<Vec<Vec<String>>>> = Arc::default();
        let shared = Arc::clone(&requests);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                shared.lock().unwrap().push(respond(stream, status, body));
            }
        });
        Self { address, requests }
    }

    fn run(&self, arguments: &[&str]) -> Output {
        let mut command = Command::new(binary_dir().join("hickoryctl"));
        command.args(["--address", &self.address.to_string(), "--key", "secret", "quarantine"]);
        command.args(arguments).output().unwrap()
    }

    /// Returns the methods and paths of the requests, none of which may have the operator key.
    fn requests(&self) -> Vec<String> {
        let requests = self.requests.lock().unwrap();
        assert!(!requests.iter().flatten().any(|line| line.contains("secret")), "{requests:?}");
        let words = requests.iter().map(|lines| lines[0].split(' ').take(2).collect::<Vec<_>>());
        words.map(|words| words.join(" ")).collect()
    }
}

/// Reads a request without a body and responds; returns its lines.
fn respond(mut stream: TcpStream, status: &str, body: &str) -> Vec<String> {
    let lines: Vec<String> = BufReader::new(stream.try_clone().unwrap())
        .lines()
        .map_while(Result::ok)
        .take_while(|line| !line.is_empty())
        .collect();
    let length = body.len();
    let head =
        format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n");
    stream.write_all(format!("{head}{body}").as_bytes()).unwrap();
    lines
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn list_prints_table_or_json() {
    let relay = Relay::start("200 OK", LIST);
    let table = relay.run(&["list"]);
    assert_eq!(table.status.code(), Some(0), "{}", stderr(&table));
    let expected = "\
PART      KIND     ENDED_STARTS  PINNED  AGE_S  LAST_REQUEST_S
bad       request  3             false   61     1
f00d0000  part     0             true    5      5
";
    assert_eq!(stdout(&table), expected);
    let printed = stdout(&relay.run(&["list", "--json"]));
    let printed: serde_json::Value = serde_json::from_str(&printed).unwrap();
    assert_eq!(printed, serde_json::from_str::<serde_json::Value>(LIST).unwrap());
    assert_eq!(relay.requests(), ["GET /quarantine", "GET /quarantine"]);
}

#[test]
fn lift_and_pin_send_the_part() {
    let relay = Relay::start("204 No Content", "");
    for arguments in [["lift", "bad"], ["pin", "00BAD"]] {
        let output = relay.run(&arguments);
        assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
        assert!(stdout(&output).contains("Part bad is "), "{}", stdout(&output));
    }
    assert_eq!(relay.requests(), ["DELETE /quarantine/bad", "PUT /quarantine/bad"]);
}

#[test]
fn invalid_parts_exit_with_2_and_are_not_sent() {
    let relay = Relay::start("204 No Content", "");
    for command in ["lift", "pin"] {
        for part in ["", "g", "0x1", "+1", "1/2", "12345678901234567"] {
            let output = relay.run(&[command, part]);
            assert_eq!(output.status.code(), Some(2), "{command} {part}: {}", stderr(&output));
            assert!(stderr(&output).contains("hexadecimal"), "{}", stderr(&output));
        }
    }
    assert_eq!(relay.run(&["lift"]).status.code(), Some(1));
    assert_eq!(relay.requests(), Vec::<String>::new());
}

#[test]
fn failed_requests_exit_with_1_and_the_reason() {
    let cases = [
        ("403 Forbidden", "changes are only accepted from the instance's own host\n"),
        ("404 Not Found", "the part is not quarantined\n"),
        ("507 Insufficient Storage", "too many parts are quarantined\n"),
    ];
    for (status, body) in cases {
        let relay = Relay::start(status, body);
        for command in ["lift", "pin"] {
            let output = relay.run(&[command, "bad"]);
            assert_eq!(output.status.code(), Some(1), "{status}");
            assert_eq!(stderr(&output), body);
            assert_eq!(stdout(&output), "");
        }
    }
    // Not a relay, or an older one.
    let other = Relay::start("404 Not Found", "");
    let output = other.run(&["list"]);
    assert_eq!(output.status.code(), Some(1));
    assert!(stderr(&output).contains("404"), "{}", stderr(&output));
    let invalid = Relay::start("200 OK", "{}");
    assert_eq!(invalid.run(&["list"]).status.code(), Some(1));
}
