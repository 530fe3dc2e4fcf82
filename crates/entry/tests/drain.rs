//! Drains of real processes: requests that arrive until the end of the process, and work that is
//! still running when the last request has ended.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use hickorycourse_testkit::fleet::{DEALER_KEY, MODEL, poll_until};
use hickorycourse_testkit::prelude::*;

/// Longer than the grace period and everything that follows it.
const EXIT_TIMEOUT: Duration = Duration::from_secs(20);
const DRAINING: u64 = 2003;

/// What a caller got on a kept-alive connection.
#[derive(Debug)]
enum Outcome {
    /// A response with its whole body.
    Whole { status: u16, closes_connection: bool, body: String },
    /// The connection had been closed before the request was sent.
    ClosedBefore,
}

/// A kept-alive connection of a caller.
struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    /// Connects and exchanges one request, so that a worker of the entry has the connection.
    fn open(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(30))).unwrap();
        let mut connection = Self { reader: BufReader::new(stream) };
        let outcome = connection.exchange("GET", "/healthz", &[], "");
        assert!(matches!(outcome, Ok(Outcome::Whole { status: 200, .. })), "{outcome:?}");
        connection
    }

    fn is_closed(&self) -> bool {
        let stream = self.reader.get_ref();
        stream.set_nonblocking(true).unwrap();
        let peeked = stream.peek(&mut [0]);
        stream.set_nonblocking(false).unwrap();
        match peeked {
            Ok(length) => length == 0,
            Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
        }
    }

    /// Sends a request and reads its response; an error if there is no whole response.
    fn exchange(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> std::io::Result<Outcome> {
        let mut text = format!("{method} {path} HTTP/1.1\r\nhost: entry\r\n");
        text.push_str(&format!("authorization: Bearer {DEALER_KEY}\r\n"));
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str(&format!("content-length: {}\r\n\r\n{body}", body.len()));
        if self.is_closed() {
            return Ok(Outcome::ClosedBefore);
        }
        self.reader.get_mut().write_all(text.as_bytes())?;
        self.read_response()
    }

    fn read_head(&mut self) -> std::io::Result<(u16, BTreeMap<String, String>)> {
        let mut line = String::new();
        if self.reader.read_line(&mut line)? == 0 {
            return Err(std::io::Error::other("closed without a response"));
        }
        let status = line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
        let mut headers = BTreeMap::new();
        loop {
            line.clear();
            self.reader.read_line(&mut line)?;
            match line.trim_end().split_once(':') {
                Some((name, value)) => {
                    headers.insert(name.to_ascii_lowercase(), value.trim().to_owned())
                }
                None => return Ok((status, headers)),
            };
        }
    }

    fn read_response(&mut self) -> std::io::Result<Outcome> {
        let (status, headers) = self.read_head()?;
        let mut body = Vec::new();
        match headers.get("content-length") {
            Some(length) => {
                body.resize(length.parse().unwrap(), 0);
                self.reader.read_exact(&mut body)?;
            }
            None => self.read_chunks(&mut body)?,
        }
        let connection = headers.get("connection").map_or("", String::as_str);
        Ok(Outcome::Whole {
            status,
            closes_connection: connection.eq_ignore_ascii_case("close"),
            body: String::from_utf8_lossy(&body).into_owned(),
        })
    }

    fn read_chunks(&mut self, body: &mut Vec<u8>) -> std::io::Result<()> {
        loop {
            let mut line = String::new();
            self.reader.read_line(&mut line)?;
            let length = usize::from_str_radix(line.trim_end(), 16)
                .map_err(|_| std::io::Error::other("a chunk is missing"))?;
            let mut chunk = vec![0; length + 2];
            self.reader.read_exact(&mut chunk)?;
            if length == 0 {
                return Ok(());
            }
            body.extend_from_slice(&chunk[..length]);
        }
    }
}

/// Whether the response is the whole answer, or a truthful rejection after which the connection is
/// closed.
fn is_answered(outcome: &std::io::Result<Outcome>, kind: usize) -> bool {
    let Ok(outcome) = outcome else { return false };
    match outcome {
        Outcome::ClosedBefore => true,
        Outcome::Whole { status: 200, body, .. } => kind != 1 || body.ends_with("data: [DONE]\n\n"),
        Outcome::Whole { status, closes_connection, body } => {
            let problem: Value = serde_json::from_str(body).unwrap_or_default();
            *status == 503
                && *closes_connection
                && problem["code"] == DRAINING
                && problem["execution"] == "not_run"
        }
    }
}

/// Sends a plain call, a stream, a complete chat or an order, by turns.
fn exchange_in_turn(connection: &mut Connection, number: usize) -> std::io::Result<Outcome> {
    match number % 4 {
        0 => connection.exchange("GET", &format!("/orders/{number}"), &[], ""),
        1 => {
            // From a few milliseconds to most of a second.
            let tokens = [2, 20, 120][number % 3];
            let body = chat_body(MODEL, &format!("drain {number}"), tokens, true).to_string();
            connection.exchange("POST", "/v1/chat/completions", &[], &body)
        }
        2 => {
            let body = chat_body(MODEL, &format!("drain {number}"), 3, false).to_string();
            connection.exchange("POST", "/v1/chat/completions", &[], &body)
        }
        _ => {
            let key = format!("drain-{number}");
            connection.exchange("POST", "/orders/new", &[("idempotency-key", &key)], "x")
        }
    }
}

#[test]
fn drain_kept_alive_connections_used_until_exit_all_answered() {
    /// Requests in the grace period, in which they are served.
    const SERVED_COUNT: u32 = 200;
    const SERVED_INTERVAL: Duration = Duration::from_millis(10);
    /// Requests after it, which are refused.
    const REFUSED_COUNT: u32 = 600;
    const REFUSED_INTERVAL: Duration = Duration::from_millis(4);
    // Admission is not to reject requests on a busy machine.
    let policy = json!({ "target_first_token_ms": 60_000, "queue_timeout_ms": 60_000 });
    let mut fleet = FleetBuilder::new().with_concurrency(64).with_policy(policy).start();
    for service in &fleet.services {
        service.set_faults(&json!({ "delay_before_ms": 150 }));
    }
    let address = fleet.entries[0].caller_address;
    let connections: Vec<Connection> =
        (0..SERVED_COUNT + REFUSED_COUNT).map(|_| Connection::open(address)).collect();
    fleet.entries[0].process.send_sigterm();
    let started = Instant::now();
    let is_exited = AtomicBool::new(false);
    let outcomes: Vec<(usize, Duration, std::io::Result<Outcome>)> = std::thread::scope(|scope| {
        let mut callers = Vec::new();
        let exited = &is_exited;
        let process = &mut fleet.entries[0].process;
        scope.spawn(move || {
            let status = process.wait(EXIT_TIMEOUT);
            exited.store(true, Ordering::SeqCst);
            assert!(status.is_some_and(|status| status.success()), "{status:?}");
        });
        for (number, mut connection) in connections.into_iter().enumerate() {
            let count = u32::try_from(number).unwrap();
            let due = SERVED_INTERVAL * count.min(SERVED_COUNT)
                + REFUSED_INTERVAL * count.saturating_sub(SERVED_COUNT);
            std::thread::sleep(due.saturating_sub(started.elapsed()));
            if is_exited.load(Ordering::SeqCst) {
                break;
            }
            let sent_at = started.elapsed();
            callers.push(scope.spawn(move || {
                let outcome = exchange_in_turn(&mut connection, number);
                (number, sent_at, outcome)
            }));
        }
        callers.into_iter().map(|caller| caller.join().unwrap()).collect()
    });
    assert!(is_exited.load(Ordering::SeqCst), "the connections did not last until the exit");
    let unanswered: Vec<_> =
        outcomes.iter().filter(|(number, _, outcome)| !is_answered(outcome, number % 4)).collect();
    assert!(unanswered.is_empty(), "{} of {}: {unanswered:?}", unanswered.len(), outcomes.len());
    let rejected = outcomes
        .iter()
        .filter(|(.., outcome)| matches!(outcome, Ok(Outcome::Whole { status: 503, .. })));
    assert!(rejected.count() > 10, "requests arrived after the grace period");
}

#[test]
fn drain_pipelined_requests_first_answered_before_close() {
    let fleet = FleetBuilder::new().with_zones(1).start();
    for service in &fleet.services {
        service.set_faults(&json!({ "delay_before_ms": 200 }));
    }
    let entry = &fleet.entries[0];
    let mut connections: Vec<Connection> =
        (0..20).map(|_| Connection::open(entry.caller_address)).collect();
    entry.process.send_sigterm();
    poll_until("readiness to fail", || !entry.is_ready());
    let request = format!(
        "GET /orders/1 HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {DEALER_KEY}\r\n\r\n"
    );
    for connection in &mut connections {
        let stream = connection.reader.get_mut();
        stream.write_all(request.as_bytes()).unwrap();
    }
    // The other requests arrive while the first one of each connection is served.
    std::thread::sleep(Duration::from_millis(50));
    for connection in &mut connections {
        let stream = connection.reader.get_mut();
        stream.write_all(request.repeat(3).as_bytes()).unwrap();
    }
    for connection in &mut connections {
        let outcome = connection.read_response();
        // The connection's end after this response tells that the others were not served.
        assert!(
            matches!(outcome, Ok(Outcome::Whole { status: 200, closes_connection: true, .. })),
            "{outcome:?}"
        );
    }
}

#[test]
fn drain_orders_forwarded_until_exit_none_cut_off() {
    const INTERVAL: Duration = Duration::from_millis(20);
    /// A little longer than the grace period.
    const SLOW_AFTER: Duration = Duration::from_millis(2_100);
    let mut fleet = FleetBuilder::new().start();
    let ids: Vec<String> = (0..150)
        .map(|_| fleet.entries[0].send_request("POST", "/v1/order-ids", DEALER_KEY, &[], None))
        .map(|issued| issued.json()["order_id"].as_str().unwrap().to_owned())
        .collect();
    fleet.entries[0].process.send_sigterm();
    let started = Instant::now();
    let other = &fleet.entries[1];
    let mut is_slow = false;
    let responses: Vec<(&String, HttpResponse)> = std::thread::scope(|scope| {
        let mut callers = Vec::new();
        for (number, id) in ids.iter().enumerate() {
            let due = INTERVAL * u32::try_from(number).unwrap();
            std::thread::sleep(due.saturating_sub(started.elapsed()));
            if !is_slow && started.elapsed() >= SLOW_AFTER {
                for service in &fleet.services {
                    service.set_faults(&json!({ "delay_after_ms": 2_500 }));
                }
                is_slow = true;
            }
            callers.push(scope.spawn(move || (id, other.post_order(Some(id), "x"))));
        }
        callers.into_iter().map(|caller| caller.join().unwrap()).collect()
    });
    let status = fleet.entries[0].process.wait(EXIT_TIMEOUT);
    assert!(status.is_some_and(|status| status.success()), "{status:?}");
    let cut: Vec<_> = responses
        .iter()
        .filter(|(id, response)| response.status != 200 && fleet.count_executions(id) > 0)
        .collect();
    assert!(cut.is_empty(), "{} executed without an answer: {cut:?}", cut.len());
    let answered = responses.iter().filter(|(_, response)| response.status == 200);
    assert!(answered.count() > 50, "orders were forwarded in the grace period");
    let rejected = responses.iter().filter(|(_, response)| response.problem_code() == DRAINING);
    assert!(rejected.count() > 0, "orders were forwarded after the grace period");
}

#[test]
fn drain_outcome_of_order_recorded_before_exit() {
    let timing = json!({ "usage_flush_ms": 60_000 });
    let mut fleet = FleetBuilder::new().with_timing(timing).start();
    for service in &fleet.services {
        service.set_faults(&json!({ "delay_before_ms": 2_500 }));
    }
    let response = std::thread::scope(|scope| {
        let entry = &fleet.entries[0];
        let caller = scope.spawn(|| entry.post_order(Some("last"), "x"));
        poll_until("the order to reach a service", || {
            fleet.services.iter().any(|service| service.stats()["calls"] == 1)
        });
        entry.process.send_sigterm();
        fleet.platform.set_faults(&json!({ "down": true }));
        caller.join().unwrap()
    });
    assert_eq!(response.status, 200, "{response:?}");
    std::thread::sleep(Duration::from_millis(2_500));
    fleet.platform.set_faults(&json!({}));
    let status = fleet.entries[0].process.wait(EXIT_TIMEOUT);
    assert!(status.is_some_and(|status| status.success()), "{status:?}");
    let mut repeat = None;
    poll_until("the other entry to reach the platform", || {
        let response = fleet.entries[1].post_order(Some("last"), "x");
        let is_claim_read = response.problem_code() != 4001;
        repeat = Some(response);
        is_claim_read
    });
    let repeat = repeat.unwrap();
    assert_eq!((repeat.status, repeat.execution().as_str()), (200, "ran"), "{repeat:?}");
    assert_eq!(fleet.count_executions("last"), 1);
}

#[test]
fn drain_response_read_slowly_sent_completely() {
    const BODY_BYTES: usize = 7 * 1024 * 1024;
    let limits = json!({ "body_bytes": BODY_BYTES });
    let mut fleet = FleetBuilder::new().with_zones(1).with_limits(limits).start();
    let address = fleet.entries[0].caller_address;
    let head = format!(
        "PUT /orders/large HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {DEALER_KEY}\r\n\
         content-length: {BODY_BYTES}\r\n\r\n"
    );
    let start_response = |mut connection: Connection| {
        let stream = connection.reader.get_mut();
        stream.write_all(head.as_bytes()).unwrap();
        stream.write_all(&vec![b'a'; BODY_BYTES]).unwrap();
        let (status, headers) = connection.read_head().unwrap();
        assert_eq!(status, 200);
        let length: usize = headers["content-length"].parse().unwrap();
        (connection, length)
    };
    let other = Connection::open(address);
    let before_drain = start_response(Connection::open(address));
    fleet.entries[0].process.send_sigterm();
    poll_until("readiness to fail", || !fleet.entries[0].is_ready());
    // This response closes its connection.
    let during_drain = start_response(other);
    std::thread::sleep(Duration::from_secs(6));
    for (case, (mut connection, length)) in [("before", before_drain), ("during", during_drain)] {
        let result = connection.reader.read_exact(&mut vec![0; length]);
        assert!(result.is_ok(), "{case}: {result:?}");
    }
    let status = fleet.entries[0].process.wait(EXIT_TIMEOUT);
    assert!(status.is_some_and(|status| status.success()), "{status:?}");
}

#[test]
fn drain_request_body_sent_slowly_rejection_received() {
    const PART_BYTES: usize = 512 * 1024;
    let fleet = FleetBuilder::new().with_zones(1).start();
    let entry = &fleet.entries[0];
    let mut connection = Connection::open(entry.caller_address);
    entry.process.send_sigterm();
    std::thread::sleep(Duration::from_millis(2_300));
    let head = format!(
        "POST /orders/new HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {DEALER_KEY}\r\n\
         content-length: {}\r\n\r\n",
        2 * PART_BYTES
    );
    let stream = connection.reader.get_mut();
    stream.write_all(head.as_bytes()).unwrap();
    for _ in 0..2 {
        stream.write_all(&vec![b'a'; PART_BYTES]).unwrap();
        std::thread::sleep(Duration::from_millis(300));
    }
    let outcome = connection.read_response();
    assert!(matches!(outcome, Ok(Outcome::Whole { status: 503, .. })), "{outcome:?}");
    assert!(is_answered(&outcome, 3), "{outcome:?}");
}

#[test]
fn drain_settings_change_in_progress_answered() {
    let timing = json!({ "platform_timeout_ms": 5_000 });
    let mut fleet = FleetBuilder::new().with_timing(timing).start();
    let site = fleet.build_site_settings();
    let revision = fleet.active_revision(0, "site");
    fleet.platform.set_faults(&json!({ "slow_ms": 1_500 }));
    fleet.entries[0].process.send_sigterm();
    std::thread::sleep(Duration::from_millis(1_500));
    // A read and a write at the platform: the response is due about a second and a half after the
    // grace period.
    let changed = fleet.set_settings(0, "site", revision, &site);
    assert_eq!(changed.status, 200, "{changed:?}");
    fleet.platform.set_faults(&json!({}));
    let status = fleet.entries[0].process.wait(EXIT_TIMEOUT);
    assert!(status.is_some_and(|status| status.success()), "{status:?}");
}

#[test]
fn drain_platform_down_usage_flushed_by_peer() {
    let timing = json!({ "usage_flush_ms": 8_000, "platform_timeout_ms": 300 });
    let mut fleet = FleetBuilder::new().with_timing(timing).start();
    fleet.platform.set_faults(&json!({ "down": true }));
    fleet.entries[0].process.send_sigterm();
    let mut answered = 0;
    while fleet.entries[0].chat(&chat_body(MODEL, "count", 3, false)).status == 200 {
        answered += 1;
    }
    assert!(answered > 10);
    let status = fleet.entries[0].process.wait(EXIT_TIMEOUT);
    assert!(status.is_some_and(|status| status.success()), "{status:?}");
    fleet.platform.set_faults(&json!({}));
    let mut seen = 0;
    let started = Instant::now();
    while seen != answered && started.elapsed() < EXIT_TIMEOUT {
        std::thread::sleep(Duration::from_millis(100));
        let rows = fleet.entries[1].send_operator_request("GET", "/v1/usage", None).json();
        seen = rows[0]["count"]["answered"].as_u64().unwrap_or(0);
    }
    assert_eq!(seen, answered);
}

#[test]
fn drain_signals_repeated_interrupt_no_stream() {
    let mut fleet = FleetBuilder::new().start();
    let is_running = AtomicBool::new(false);
    let entry = &fleet.entries[0];
    let response = std::thread::scope(|scope| {
        let caller = scope.spawn(|| {
            let body = chat_body(MODEL, "signals", 600, true);
            entry.stream(&body, |count| is_running.store(count > 5, Ordering::SeqCst))
        });
        poll_until("the stream to run", || is_running.load(Ordering::SeqCst));
        entry.process.send_sighup();
        std::thread::sleep(Duration::from_millis(200));
        assert!(entry.is_ready(), "a hangup starts no drain");
        for _ in 0..3 {
            entry.process.send_sigterm();
            entry.process.send_sigint();
            entry.process.send_sighup();
            std::thread::sleep(Duration::from_millis(700));
        }
        caller.join().unwrap()
    });
    assert!(response.is_complete, "{:?}", response.problem);
    let status = fleet.entries[0].process.wait(EXIT_TIMEOUT);
    assert!(status.is_some_and(|status| status.success()), "{status:?}");
}

#[test]
fn drain_signal_during_start_exits_with_success() {
    let mut fleet = FleetBuilder::new().with_zones(1).start();
    for round in 0..3 {
        fleet.restart_entry(0);
        let entry = &mut fleet.entries[0];
        // The peer address is the first one that a process listens on.
        while TcpStream::connect(entry.peer_address).is_err() {
            std::thread::yield_now();
        }
        entry.process.send_sigterm();
        let status = entry.process.wait(EXIT_TIMEOUT);
        assert!(status.is_some_and(|status| status.success()), "round {round}: {status:?}");
    }
}
