//! HTTP client for upstreams.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hickorycourse_clock::timeout;
use hickorycourse_connections::{
    ExchangeError, HttpClient, OpenResponse, ResponseBody, UpstreamConnection,
    ends_with_connection, keeps_connection,
};
use hickorycourse_store::LocalFuture;
use http::header::{self, HeaderName, HeaderValue};
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request};
use ntex::http::HeaderMap;
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
/// Time for which a request waits for the connection of a witness.
const WITNESS_TIMEOUT: Duration = Duration::from_millis(100);
/// Shortest time between two dials of a witness after one that has failed.
const WITNESS_RETRY_INTERVAL: Duration = Duration::from_millis(2_000);

/// How the responses of a service end, as far as is known.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Framing {
    #[default]
    Unknown,
    /// They are framed, and the connection stays open.
    Kept,
    /// They are framed, and the connection is closed.
    Closing,
    /// Some end with their connection.
    Unframed,
}

impl Framing {
    /// Returns what is known after another response; `is_kept` is `None` if the connection was to be closed.
    fn after_response(self, is_unframed: bool, is_kept: Option<bool>) -> Self {
        match (self, is_unframed, is_kept) {
            (Self::Unframed, _, _) | (_, true, _) => Self::Unframed,
            (Self::Kept, _, None) | (_, _, Some(true)) => Self::Kept,
            (_, _, Some(false) | None) => Self::Closing,
        }
    }
}

/// What is known of the process at an address.
#[derive(Clone, Copy, Debug, Default)]
struct KnownUpstream {
    /// The latest generation of connections.
    generation: u64,
    framing: Framing,
    /// Time before which no witness is dialled.
    witness_after: Option<Instant>,
}

/// HTTP client for upstreams, to be used by one thread. Each upstream has its own idle connections.
#[derive(Default)]
pub struct HttpUpstreams {
    /// Client whose connections are of a generation.
    client: HttpClient<u64>,
    /// By address.
    known: RefCell<HashMap<SocketAddr, KnownUpstream>>,
}

impl HttpUpstreams {
    /// Creates a client without open connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the generation of connections to use. Once a generation is known, connections of
    /// older ones are not reused; those in use stay open until their exchange ends.
    fn latest_generation(&self, upstream: UpstreamAddress) -> u64 {
        let mut known = self.known.borrow_mut();
        let latest = known.entry(upstream.address).or_default();
        if upstream.generation > latest.generation {
            *latest = KnownUpstream { generation: upstream.generation, ..KnownUpstream::default() };
        }
        latest.generation
    }

    fn known(&self, address: SocketAddr) -> KnownUpstream {
        self.known.borrow().get(&address).copied().unwrap_or_default()
    }

    /// Sends a request and waits for the head of its response.
    async fn send(
        &self,
        upstream: UpstreamAddress,
        request: Request<Full<hyper::body::Bytes>>,
        limit: Duration,
    ) -> Result<OpenResponse<u64>, AttemptError> {
        let generation = self.latest_generation(upstream);
        let opened = self.client.open(generation, upstream.address, request, limit).await;
        opened.map_err(classify_exchange_error)
    }

    /// As [`send`](Self::send), on a new connection if `is_non_idempotent`. Returns also the witness that had been accepted
    /// before the request was sent.
    async fn send_witnessed(
        &self,
        call: &ServiceCall<'_>,
        request: Request<Full<hyper::body::Bytes>>,
    ) -> Result<(OpenResponse<u64>, Option<UpstreamConnection<u64>>), AttemptError> {
        let generation = self.latest_generation(call.upstream);
        let (client, address) = (&self.client, call.upstream.address);
        let limit = Duration::from_millis(call.first_byte_timeout_ms);
        // After the connection of the request: a service may serve one after the other.
        let witness = self.open_witness(generation, address);
        let result = match call.is_non_idempotent {
            true => {
                client
                    .open_on_new_connection_after(witness, generation, address, request, limit)
                    .await
            }
            false => {
                let opened = client.open_after(witness, generation, address, request, limit).await;
                // A witness that is older than the connection may belong to the process before.
                opened.map(|(open, witness)| (open, witness.flatten()))
            }
        };
        result.map_err(classify_exchange_error)
    }

    async fn post_chat(&self, call: &EngineCall<'_>) -> Result<OpenResponse<u64>, AttemptError> {
        let body = serde_json::to_vec(call.body).map_err(not_sent)?;
        let request = Request::post("/v1/chat/completions")
            .header(header::HOST, call.upstream.address.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .header(REQUEST_ID_HEADER, call.attempt_id)
            .header("traceparent", call.traceparent)
            .body(Full::from(body))
            .map_err(not_sent)?;
        let first_byte_timeout = Duration::from_millis(call.first_byte_timeout_ms);
        let open = self.send(call.upstream, request, first_byte_timeout).await?;
        self.check_status(open).await
    }

    /// Fails unless the status is a success, with the start of the body as detail.
    async fn check_status(
        &self,
        open: OpenResponse<u64>,
    ) -> Result<OpenResponse<u64>, AttemptError> {
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

    /// Returns a connection to the process that will answer a request: if the request is sent later, and answered, then one
    /// process has accepted both. `None` for a service whose responses are framed on connections that it closes.
    async fn open_witness(
        &self,
        generation: u64,
        address: SocketAddr,
    ) -> Option<UpstreamConnection<u64>> {
        let known = self.known(address);
        if known.witness_after.is_some_and(|after| Instant::now() < after) {
            return None;
        }
        let opened = match known.framing {
            Framing::Closing => return None,
            Framing::Unknown | Framing::Kept => {
                self.client.checkout(generation, address, WITNESS_TIMEOUT).await
            }
            // An idle one may be closed before the response ends.
            Framing::Unframed => self.client.connect(generation, address, WITNESS_TIMEOUT).await,
        };
        if opened.is_err()
            && let Some(known) = self.known.borrow_mut().get_mut(&address)
        {
            known.witness_after = Some(Instant::now() + WITNESS_RETRY_INTERVAL);
        }
        opened.ok()
    }

    /// Records how a response ends. Returns what is known of its service.
    fn record_framing(&self, call: &ServiceCall<'_>, open: &OpenResponse<u64>) -> Framing {
        let mut known = self.known.borrow_mut();
        let known = known.entry(call.upstream.address).or_default();
        let is_kept = (!call.is_non_idempotent).then(|| keeps_connection(&open.response));
        known.framing = known.framing.after_response(ends_with_connection(&open.response), is_kept);
        known.framing
    }

    /// Reads a complete body, after which the connection may serve the next exchange.
    async fn read_to_end(
        &self,
        open: OpenResponse<u64>,
        part_timeout: Duration,
        limit_bytes: usize,
    ) -> Result<Bytes, AttemptError> {
        let OpenResponse { connection, response } = open;
        let body = read_body(response.into_body(), part_timeout, limit_bytes).await?;
        self.client.check_in(connection);
        Ok(body)
    }
}

/// Returns whether a process still answers, whatever it does, on a connection that it has accepted.
async fn is_answered(mut connection: UpstreamConnection<u64>, address: SocketAddr) -> bool {
    let request = make_report_request(address, 0);
    let Ok(request) = request else { return false };
    connection.send(request, REPORT_TIMEOUT).await.is_ok()
}

fn make_report_request(
    address: SocketAddr,
    after: u64,
) -> Result<Request<Full<hyper::body::Bytes>>, AttemptError> {
    Request::get(format!("/load?after={after}"))
        .header(header::HOST, address.to_string())
        .body(Full::default())
        .map_err(not_sent)
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
            let client = self.client.clone();
            let stream: Box<dyn TokenStream> = Box::new(HttpTokenStream::new(
                open,
                client,
                call.attempt_id,
                call.token_timeout_ms,
            ));
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
            let request = make_report_request(address, after)?;
            let upstream = UpstreamAddress { address, generation: 0 };
            let open = self.send(upstream, request, REPORT_TIMEOUT).await?;
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
            let (open, mut witness) = self.send_witnessed(&call, request).await?;
            check_request_id(&open, call.attempt_id)?;
            let status = open.response.status().as_u16();
            let is_unframed = ends_with_connection(&open.response);
            let must_have_body = open.response.status().is_success() && is_unframed;
            let framing = self.record_framing(&call, &open);
            if !is_unframed
                && let Some(unused) = witness.take().filter(|_| framing == Framing::Kept)
            {
                self.client.check_in_unused(unused, open.connection.idle_timeout_ms());
            }
            let headers =
                copy_end_to_end_headers(&HeaderMap::from(open.response.headers().clone()));
            let body_timeout = Duration::from_millis(call.body_timeout_ms);
            let body = self.read_to_end(open, body_timeout, call.body_limit_bytes).await?;
            if must_have_body && body.is_empty() {
                let detail = "the connection ended after the head of the answer";
                return Err(AttemptError::new(AttemptErrorKind::Interrupted, detail));
            }
            // A killed process closes its connections in order, as one does that has sent a whole response.
            let is_proven = match witness {
                Some(witness) => is_answered(witness, call.upstream.address).await,
                None => !is_unframed,
            };
            if !is_proven {
                let detail = "the upstream ended with the connection";
                return Err(AttemptError::new(AttemptErrorKind::Interrupted, detail));
            }
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
    let attempt_id = HeaderValue::from_str(call.attempt_id).map_err(not_sent)?;
    headers.insert(HeaderName::from_static(REQUEST_ID_HEADER), attempt_id);
    if call.is_non_idempotent {
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(request)
}

fn check_request_id(open: &OpenResponse<u64>, attempt_id: &str) -> Result<(), AttemptError> {
    let Some(response_id) = open.response.headers().get(REQUEST_ID_HEADER) else { return Ok(()) };
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

fn has_content_type(open: &OpenResponse<u64>, expected: &str) -> bool {
    let value =
        open.response.headers().get(header::CONTENT_TYPE).and_then(|value| value.to_str().ok());
    value.is_some_and(|value| value.starts_with(expected))
}

/// Reads a complete body. One that ends before its declared length, its last chunk, or by a reset is
/// an error.
async fn read_body(
    mut incoming: ResponseBody,
    part_timeout: Duration,
    limit_bytes: usize,
) -> Result<Bytes, AttemptError> {
    let mut body = BytesMut::new();
    loop {
        let frame = timeout(part_timeout, incoming.frame()).await.map_err(|_| {
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
