//! Drains of real processes: requests that arrive until the end of the process, and work that is
//! still running when the last request has ended.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use hickorycourse_testkit::fleet::{DEALER_KEY, poll_until};
use hickorycourse_testkit::prelude::*;

/// Longer than the grace period and everything that follows it.
const EXIT_TIMEOUT: Duration = Duration::from_secs(20);
const DRAINING: u64 = 2003;

/// A kept-alive connection of a caller.
struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    fn open(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(30))).unwrap();
        Self { reader: BufReader::new(stream) }
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
