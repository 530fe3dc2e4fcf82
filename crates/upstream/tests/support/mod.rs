//! An upstream whose responses are written byte by byte, and calls to it.

#![allow(clippy::unwrap_used, dead_code)]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hickorycourse_upstream::prelude::*;
use ntex::http::HeaderMap;
use ntex::util::Bytes;
use serde_json::Value;
use socket2::SockRef;

/// Time within which the closing of a connection must be seen.
const CLOSE_LIMIT: Duration = Duration::from_secs(2);

/// A request as an upstream received it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ReceivedRequest {
    /// Number of the connection, from 0 in the order of their first requests.
    pub connection: usize,
    /// First line and headers.
    pub head: String,
    /// Request body.
    pub body: Vec<u8>,
}

impl ReceivedRequest {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (found, value) = line.split_once(':')?;
            found.eq_ignore_ascii_case(name).then_some(value.trim())
        })
    }
}

/// What happens to the connection after a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AfterResponse {
    /// The next request is read.
    KeepOpen,
    /// The connection is closed in order.
    Close,
    /// The connection is reset.
    Reset,
}

/// Writes the response to a request.
type Respond = dyn Fn(&mut TcpStream, &ReceivedRequest) -> AfterResponse + Send + Sync;

/// Requests and closed connections, in the order in which they were seen.
#[derive(Default)]
struct Record {
    accepted: usize,
    /// Connections on which a request was received.
    used: usize,
    requests: Vec<ReceivedRequest>,
    closed: Vec<usize>,
}

/// An upstream whose responses are written by a function.
#[derive(Clone)]
pub struct RawUpstream {
    /// Address that it listens on.
    pub address: SocketAddr,
    record: Arc<Mutex<Record>>,
}

impl RawUpstream {
    /// Starts an upstream.
    pub fn start(
        respond: impl Fn(&mut TcpStream, &ReceivedRequest) -> AfterResponse + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let upstream = Self { address: listener.local_addr().unwrap(), record: Arc::default() };
        let shared = upstream.clone();
        let respond: Arc<Respond> = Arc::new(respond);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let upstream = shared.clone();
                let respond = Arc::clone(&respond);
                upstream.record.lock().unwrap().accepted += 1;
                std::thread::spawn(move || {
                    let connection = upstream.serve(stream, &*respond);
                    upstream.record.lock().unwrap().closed.extend(connection);
                });
            }
        });
        upstream
    }

    /// Starts an upstream that writes the same bytes in response to each request.
    pub fn start_with(response: impl Into<String>, after: AfterResponse) -> Self {
        let response = response.into();
        Self::start(move |stream, _| {
            let _ = stream.write_all(response.as_bytes());
            after
        })
    }

    /// Serves a connection; returns its number, if it has one, as it is closed.
    fn serve(&self, mut stream: TcpStream, respond: &Respond) -> Option<usize> {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut number = None;
        while let Some(mut request) = read_request(&mut reader) {
            {
                let mut record = self.record.lock().unwrap();
                let next = record.used;
                request.connection = *number.get_or_insert(next);
                record.used = record.used.max(request.connection + 1);
                record.requests.push(request.clone());
            }
            match respond(&mut stream, &request) {
                AfterResponse::KeepOpen => {}
                AfterResponse::Close => return number,
                AfterResponse::Reset => {
                    SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
                    return number;
                }
            }
        }
        number
    }

    /// Returns the number of connections accepted so far, with those on which nothing was sent.
    pub fn accepted(&self) -> usize {
        self.record.lock().unwrap().accepted
    }

    /// Returns the requests received so far.
    pub fn requests(&self) -> Vec<ReceivedRequest> {
        self.record.lock().unwrap().requests.clone()
    }

    /// Returns the connection of each request received so far.
    pub fn connections(&self) -> Vec<usize> {
        self.requests().iter().map(|request| request.connection).collect()
    }

    /// Waits until a connection has been closed; returns false if it stays open.
    pub async fn is_closed_soon(&self, connection: usize) -> bool {
        let started_at = Instant::now();
        while started_at.elapsed() < CLOSE_LIMIT {
            if self.record.lock().unwrap().closed.contains(&connection) {
                return true;
            }
            hickorycourse_clock::sleep(Duration::from_millis(5)).await;
        }
        false
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<ReceivedRequest> {
    let mut request = ReceivedRequest::default();
    while !request.head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut request.head).ok()? == 0 {
            return None;
        }
    }
    let length = request.header("content-length").map_or(0, |value| value.parse().unwrap());
    request.body = vec![0; length];
    reader.read_exact(&mut request.body).ok()?;
    Some(request)
}

/// A call to a plain service, with limits that a test may change.
#[derive(Clone, Copy, Debug)]
pub struct PlainCall {
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Generation of the connection pool.
    pub generation: u64,
    /// Whether the call may run at most once.
    pub is_non_idempotent: bool,
    /// Maximum wait for the response head.
    pub first_byte_timeout_ms: u64,
    /// Maximum interval between two parts of the body.
    pub body_timeout_ms: u64,
    /// Maximum size of the body.
    pub body_limit_bytes: usize,
}

impl PlainCall {
    /// Creates an idempotent call with generous limits.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            generation: 0,
            is_non_idempotent: false,
            first_byte_timeout_ms: 5_000,
            body_timeout_ms: 5_000,
            body_limit_bytes: 1_000_000,
        }
    }

    /// Sends the call.
    pub async fn send(self, upstreams: &HttpUpstreams) -> Result<ServiceResponse, AttemptError> {
        let headers = HeaderMap::new();
        let call = ServiceCall {
            upstream: UpstreamAddress { address: self.address, generation: self.generation },
            attempt_id: "a1",
            method: if self.is_non_idempotent { "POST" } else { "GET" },
            path_and_query: "/orders/1?full=1",
            headers: &headers,
            body: Bytes::new(),
            is_non_idempotent: self.is_non_idempotent,
            first_byte_timeout_ms: self.first_byte_timeout_ms,
            body_timeout_ms: self.body_timeout_ms,
            body_limit_bytes: self.body_limit_bytes,
        };
        upstreams.call(call).await
    }

    /// Sends the call; returns the body, or the kind of the failure.
    pub async fn fetch(self, upstreams: &HttpUpstreams) -> Result<String, AttemptErrorKind> {
        let response = self.send(upstreams).await.map_err(|error| error.kind)?;
        Ok(String::from_utf8(response.body.to_vec()).unwrap())
    }
}

/// Creates a call to an engine.
pub fn engine_call(address: SocketAddr, body: &Value) -> EngineCall<'_> {
    EngineCall {
        upstream: UpstreamAddress { address, generation: 0 },
        attempt_id: "a1",
        body,
        traceparent: "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
        first_byte_timeout_ms: 5_000,
        token_timeout_ms: 5_000,
    }
}
