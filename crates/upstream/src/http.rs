//! HTTP client for upstreams.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use hickorycourse_clock::{Clock, SystemClock};
use hickorycourse_connections::{ConnectionPool, ExchangeError, UpstreamConnection};
use hickorycourse_store::LocalFuture;
use http::header::{self, HeaderName, HeaderValue};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use ntex::http::HeaderMap;
use ntex::time::timeout;
use ntex::util::{Bytes, BytesMut};
use serde_json::Value;

use crate::attempt::{
    AttemptError, AttemptErrorKind, Engine, EngineCall, Service, ServiceCall, ServiceResponse,
    TokenStream, UpstreamAddress,
};
use crate::load::UpstreamReport;
use crate::stream::HttpTokenStream;

/// Hop-by-hop headers (RFC 9110, 7.6.1), which are never forwarded, and `content-length`, which is
/// computed for each hop.
pub const HOP_BY_HOP_HEADERS: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];

const REQUEST_ID_HEADER: &str = "x-request-id";
/// Maximum size of a response that is not streamed, and of a load report.
const RESPONSE_LIMIT_BYTES: usize = 16 * 1024 * 1024;
/// Timeout for a load report, and for the body of an error response.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_000);
const ERROR_BODY_LIMIT_BYTES: usize = 4_096;
/// Interval at which idle connections are checked.
const EVICTION_INTERVAL_MS: u64 = 1_000;

/// The idle connections of one thread, by the generation and address of their upstream.
#[derive(Clone, Default)]
pub(crate) struct IdleConnections {
    pool: ConnectionPool<u64>,
    clock: SystemClock,
}

impl IdleConnections {
    /// Keeps a connection for the next exchange after a response that was read to its end.
    pub(crate) fn check_in(&self, connection: UpstreamConnection<u64>) {
        self.pool.check_in(connection, self.clock.now_ms());
    }
}

/// The head of a response, with the connection that its body arrives on. Dropping it closes the
/// connection.
pub(crate) struct OpenResponse {
    pub(crate) connection: UpstreamConnection<u64>,
    pub(crate) response: Response<Incoming>,
}

impl OpenResponse {
    fn header(&self, name: &str) -> Option<&HeaderValue> {
        self.response.headers().get(name)
    }
}

/// HTTP client for upstreams, to be used by one thread. Each upstream has its own idle connections.
#[derive(Default)]
pub struct HttpUpstreams {
    idle: IdleConnections,
    /// The latest generation of connections to each address.
    generations: RefCell<HashMap<SocketAddr, u64>>,
    evicted_at_ms: Cell<u64>,
}

impl HttpUpstreams {
    /// Creates a client without open connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the generation of connections to use. Once a generation is known, connections of
    /// older ones are not reused; those in use stay open until their exchange ends.
    fn latest_generation(&self, upstream: UpstreamAddress) -> u64 {
        let mut generations = self.generations.borrow_mut();
        let latest = generations.entry(upstream.address).or_default();
        *latest = upstream.generation.max(*latest);
        *latest
    }

    fn evict_expired(&self, now_ms: u64) {
        if now_ms.saturating_sub(self.evicted_at_ms.get()) >= EVICTION_INTERVAL_MS {
            self.evicted_at_ms.set(now_ms);
            self.idle.pool.evict_expired(now_ms);
        }
    }

    /// Sends a request, on a new connection if `is_non_idempotent`, and waits for the head of its
    /// response.
    async fn send(
        &self,
        upstream: UpstreamAddress,
        request: Request<Full<hyper::body::Bytes>>,
        is_non_idempotent: bool,
        first_byte_timeout: Duration,
    ) -> Result<OpenResponse, AttemptError> {
        let exchange = async {
            let pool = &self.idle.pool;
            let generation = self.latest_generation(upstream);
            if is_non_idempotent {
                let connection = pool.open(generation, upstream.address).await?;
                return send_on(connection, request, first_byte_timeout).await;
            }
            let now_ms = self.idle.clock.now_ms();
            self.evict_expired(now_ms);
            let connection = pool.checkout(generation, upstream.address, u64::MAX, now_ms).await?;
            if !connection.is_reused() {
                return send_on(connection, request, first_byte_timeout).await;
            }
            match send_on(connection, request.clone(), first_byte_timeout).await {
                // The idle connection was closed before the request was sent.
                Err(ExchangeError::NotSent(_)) => {
                    let connection = pool.open(generation, upstream.address).await?;
                    send_on(connection, request, first_byte_timeout).await
                }
                result => result,
            }
        };
        let result = timeout(first_byte_timeout, exchange).await.unwrap_or_else(|()| {
            let detail = format!("no response within {} ms", first_byte_timeout.as_millis());
            Err(ExchangeError::TimedOut(detail))
        });
        result.map_err(classify_exchange_error)
    }

    async fn post_chat(&self, call: &EngineCall<'_>) -> Result<OpenResponse, AttemptError> {
        let body = serde_json::to_vec(call.body).map_err(not_sent)?;
        let request = Request::post("/v1/chat/completions")
            .header(header::HOST, call.upstream.address.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .header(REQUEST_ID_HEADER, call.attempt_id)
            .header("traceparent", call.traceparent)
            .body(Full::from(body))
            .map_err(not_sent)?;
        let first_byte_timeout = Duration::from_millis(call.first_byte_timeout_ms);
        let open = self.send(call.upstream, request, false, first_byte_timeout).await?;
        self.check_status(open).await
    }

    /// Fails unless the status is a success, with the start of the body as detail.
    async fn check_status(&self, open: OpenResponse) -> Result<OpenResponse, AttemptError> {
        let status = open.response.status().as_u16();
        if (200..300).contains(&status) {
            return Ok(open);
        }
        let body = self.read_to_end(open, REPORT_TIMEOUT, ERROR_BODY_LIMIT_BYTES);
        let text = match timeout(REPORT_TIMEOUT, body).await {
            Ok(Ok(bytes)) => String::from_utf8_lossy(&bytes).into_owned(),
            _ => String::new(),
        };
        let detail = format!("the upstream answered {status}: {text}");
        Err(AttemptError::new(AttemptErrorKind::Rejected { status }, detail))
    }

    /// Reads a complete body, after which the connection may serve the next exchange.
    async fn read_to_end(
        &self,
        open: OpenResponse,
        part_timeout: Duration,
        limit_bytes: usize,
    ) -> Result<Bytes, AttemptError> {
        let OpenResponse { connection, response } = open;
        let body = read_body(response.into_body(), part_timeout, limit_bytes).await?;
        self.idle.check_in(connection);
        Ok(body)
    }
}

async fn send_on(
    mut connection: UpstreamConnection<u64>,
    request: Request<Full<hyper::body::Bytes>>,
    first_byte_timeout: Duration,
) -> Result<OpenResponse, ExchangeError> {
    let response = connection.send(request, first_byte_timeout).await?;
    if response.status() == StatusCode::SWITCHING_PROTOCOLS {
        let detail = "the upstream switched protocols without being asked";
        return Err(ExchangeError::InvalidResponse(detail.to_owned()));
    }
    Ok(OpenResponse { connection, response })
}

/// The error of a request that can't be sent as it is.
fn not_sent(error: impl std::error::Error) -> AttemptError {
    AttemptError::new(AttemptErrorKind::NotConnected, error.to_string())
}

fn classify_exchange_error(error: ExchangeError) -> AttemptError {
    let (kind, detail) = match error {
        ExchangeError::NotSent(detail) => (AttemptErrorKind::NotConnected, detail),
        ExchangeError::TimedOut(detail) => (AttemptErrorKind::TimedOut, detail),
        ExchangeError::Interrupted(detail) => (AttemptErrorKind::Interrupted, detail),
        ExchangeError::InvalidResponse(detail) => (AttemptErrorKind::InvalidResponse, detail),
    };
    AttemptError::new(kind, detail)
}

impl Engine for HttpUpstreams {
    fn stream<'a>(
        &'a self,
        call: EngineCall<'a>,
    ) -> LocalFuture<'a, Result<Box<dyn TokenStream>, AttemptError>> {
        Box::pin(async move {
            let open = self.post_chat(&call).await?;
            if !has_content_type(&open, "text/event-stream") {
                let detail = "the answer is no event stream";
                return Err(AttemptError::new(AttemptErrorKind::InvalidResponse, detail));
            }
            let idle = self.idle.clone();
            let stream: Box<dyn TokenStream> =
                Box::new(HttpTokenStream::new(open, idle, call.attempt_id, call.token_timeout_ms));
            Ok(stream)
        })
    }

    fn complete<'a>(
        &'a self,
        call: EngineCall<'a>,
    ) -> LocalFuture<'a, Result<Value, AttemptError>> {
        Box::pin(async move {
            let open = self.post_chat(&call).await?;
            let first_byte_timeout = Duration::from_millis(call.first_byte_timeout_ms);
            let bytes = self.read_to_end(open, first_byte_timeout, RESPONSE_LIMIT_BYTES).await?;
            let invalid_response =
                |detail: &str| AttemptError::new(AttemptErrorKind::InvalidResponse, detail);
            let value: Value = serde_json::from_slice(&bytes)
                .map_err(|_| invalid_response("the answer is not valid JSON"))?;
            let id = value.get("id").and_then(Value::as_str).unwrap_or("");
            if !id.ends_with(call.attempt_id) {
                let detail = format!("the answer of `{id}` came for `{}`", call.attempt_id);
                return Err(AttemptError::new(AttemptErrorKind::IdMismatch, detail));
            }
            if !value.get("choices").is_some_and(Value::is_array) {
                return Err(invalid_response("the answer has no list of choices"));
            }
            Ok(value)
        })
    }

    fn read_report(
        &self,
        address: SocketAddr,
        after: u64,
    ) -> LocalFuture<'_, Result<UpstreamReport, AttemptError>> {
        Box::pin(async move {
            let request = Request::get(format!("/load?after={after}"))
                .header(header::HOST, address.to_string())
                .body(Full::default())
                .map_err(not_sent)?;
            let upstream = UpstreamAddress { address, generation: 0 };
            let open = self.send(upstream, request, false, REPORT_TIMEOUT).await?;
            let open = self.check_status(open).await?;
            let bytes = self.read_to_end(open, REPORT_TIMEOUT, RESPONSE_LIMIT_BYTES).await?;
            serde_json::from_slice(&bytes).map_err(|error| {
                AttemptError::new(AttemptErrorKind::InvalidResponse, error.to_string())
            })
        })
    }
}

impl Service for HttpUpstreams {
    fn call<'a>(
        &'a self,
        call: ServiceCall<'a>,
    ) -> LocalFuture<'a, Result<ServiceResponse, AttemptError>> {
        Box::pin(async move {
            let request = build_service_request(&call)?;
            let first_byte_timeout = Duration::from_millis(call.first_byte_timeout_ms);
            let open = self
                .send(call.upstream, request, call.is_non_idempotent, first_byte_timeout)
                .await?;
            check_request_id(&open, call.attempt_id)?;
            let status = open.response.status().as_u16();
            let headers =
                copy_end_to_end_headers(&HeaderMap::from(open.response.headers().clone()));
            let body_timeout = Duration::from_millis(call.body_timeout_ms);
            let body = self.read_to_end(open, body_timeout, call.body_limit_bytes).await?;
            Ok(ServiceResponse { status, headers, body })
        })
    }
}

fn build_service_request(
    call: &ServiceCall<'_>,
) -> Result<Request<Full<hyper::body::Bytes>>, AttemptError> {
    let method = Method::from_bytes(call.method.as_bytes()).map_err(not_sent)?;
    let body = hyper::body::Bytes::copy_from_slice(&call.body);
    let mut request = Request::builder()
        .method(method)
        .uri(call.path_and_query)
        .body(Full::new(body))
        .map_err(not_sent)?;
    let headers = request.headers_mut();
    for (name, value) in call.headers {
        let value = HeaderValue::from_bytes(value.as_bytes()).map_err(not_sent)?;
        headers.append(name.clone(), value);
    }
    if !headers.contains_key(header::HOST) {
        let host = call.upstream.address.to_string();
        headers.insert(header::HOST, HeaderValue::try_from(host).map_err(not_sent)?);
    }
    // hyper states no length for an empty body, without which some servers reject these methods.
    let expects_body = matches!(call.method, "PATCH" | "POST" | "PUT");
    if call.body.is_empty() && expects_body {
        headers.insert(header::CONTENT_LENGTH, HeaderValue::from_static("0"));
    }
    let attempt_id = HeaderValue::from_str(call.attempt_id).map_err(not_sent)?;
    headers.insert(HeaderName::from_static(REQUEST_ID_HEADER), attempt_id);
    if call.is_non_idempotent {
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(request)
}

fn check_request_id(open: &OpenResponse, attempt_id: &str) -> Result<(), AttemptError> {
    let Some(response_id) = open.header(REQUEST_ID_HEADER) else { return Ok(()) };
    if response_id.as_bytes() == attempt_id.as_bytes() {
        return Ok(());
    }
    let detail = "the answer belongs to another request";
    Err(AttemptError::new(AttemptErrorKind::IdMismatch, detail))
}

/// Copies the end-to-end headers, that is all except [`HOP_BY_HOP_HEADERS`] and those listed in the
/// `Connection` header.
pub fn copy_end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let listed = headers.get(ntex::http::header::CONNECTION).and_then(|value| value.to_str().ok());
    let listed: Vec<String> =
        listed.unwrap_or("").split(',').map(|name| name.trim().to_ascii_lowercase()).collect();
    let mut copy = HeaderMap::new();
    for (name, value) in headers {
        let is_hop = HOP_BY_HOP_HEADERS.contains(&name.as_str())
            || listed.iter().any(|n| n == name.as_str());
        if !is_hop {
            copy.append(name.clone(), value.clone());
        }
    }
    copy
}

fn has_content_type(open: &OpenResponse, expected: &str) -> bool {
    let value = open.header("content-type").and_then(|value| value.to_str().ok());
    value.is_some_and(|value| value.starts_with(expected))
}

/// Reads a complete body. One that ends before its declared length, its last chunk, or by a reset is
/// an error.
async fn read_body(
    mut incoming: Incoming,
    part_timeout: Duration,
    limit_bytes: usize,
) -> Result<Bytes, AttemptError> {
    let mut body = BytesMut::new();
    loop {
        let frame = timeout(part_timeout, incoming.frame()).await.map_err(|()| {
            AttemptError::new(AttemptErrorKind::TimedOut, "the body stopped coming")
        })?;
        let Some(frame) = frame else { return Ok(body.freeze()) };
        let frame = frame
            .map_err(|error| AttemptError::new(AttemptErrorKind::Interrupted, error.to_string()))?;
        let Ok(part) = frame.into_data() else { continue };
        body.extend_from_slice(&part);
        if body.len() > limit_bytes {
            let detail = format!("the answer is larger than {limit_bytes} bytes");
            return Err(AttemptError::new(AttemptErrorKind::InvalidResponse, detail));
        }
    }
}
