//! HTTP client for upstreams.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use futures_util::StreamExt;
use hickorycourse_store::{LocalFuture, build_client};
use ntex::client::error::{ClientError, ConnectError};
use ntex::client::{Client, ClientRequest, ClientResponse};
use ntex::http::{HeaderMap, Method, header};
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

struct ClientPool {
    generation: u64,
    client: Client,
}

/// HTTP client for upstreams, to be used by one thread. Each upstream has its own connection pool.
pub struct HttpUpstreams {
    pools: RefCell<HashMap<SocketAddr, ClientPool>>,
}

impl HttpUpstreams {
    /// Creates a client without open connections.
    pub fn new() -> Self {
        Self { pools: RefCell::default() }
    }

    /// Returns the connection pool of an upstream, which is replaced when the generation has
    /// increased. Connections of the old pool that are in use stay open until their exchange ends.
    async fn pool(&self, upstream: UpstreamAddress) -> Client {
        let current =
            self.pools.borrow().get(&upstream.address).and_then(|pool| {
                (pool.generation >= upstream.generation).then(|| pool.client.clone())
            });
        if let Some(client) = current {
            return client;
        }
        let client = build_client().await;
        let new_pool = ClientPool { generation: upstream.generation, client: client.clone() };
        self.pools.borrow_mut().insert(upstream.address, new_pool);
        client
    }

    async fn post_chat(&self, call: &EngineCall<'_>) -> Result<ClientResponse, AttemptError> {
        let client = self.pool(call.upstream).await;
        let url = format!("http://{}/v1/chat/completions", call.upstream.address);
        let request = client
            .post(url)
            .set_header(REQUEST_ID_HEADER, call.attempt_id)
            .set_header("traceparent", call.traceparent);
        let first_byte_timeout = Duration::from_millis(call.first_byte_timeout_ms);
        let response = receive_head(request.send_json(call.body), first_byte_timeout).await?;
        check_status(response).await
    }
}

impl Default for HttpUpstreams {
    fn default() -> Self {
        Self::new()
    }
}

async fn receive_head(
    response: impl Future<Output = Result<ClientResponse, ClientError>>,
    first_byte_timeout: Duration,
) -> Result<ClientResponse, AttemptError> {
    match timeout(first_byte_timeout, response).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(error)) => Err(classify_client_error(&error)),
        Err(_) => {
            let detail = format!("no answer for {} ms", first_byte_timeout.as_millis());
            Err(AttemptError::new(AttemptErrorKind::TimedOut, detail))
        }
    }
}

fn classify_client_error(error: &ClientError) -> AttemptError {
    let kind = match error {
        // The client reports a refused connection with this error. Other errors of the same variant
        // may mean that the connection was lost after the request had been sent.
        ClientError::Connect(ConnectError::Disconnected(Some(io)))
            if io.kind() == io::ErrorKind::ConnectionRefused =>
        {
            AttemptErrorKind::NotConnected
        }
        ClientError::Response(_) => AttemptErrorKind::InvalidResponse,
        _ => AttemptErrorKind::Interrupted,
    };
    AttemptError::new(kind, error.to_string())
}

async fn check_status(response: ClientResponse) -> Result<ClientResponse, AttemptError> {
    let status = response.status().as_u16();
    if (200..300).contains(&status) {
        return Ok(response);
    }
    let body = response.body().limit(ERROR_BODY_LIMIT_BYTES);
    let text = match timeout(REPORT_TIMEOUT, body).await {
        Ok(Ok(bytes)) => String::from_utf8_lossy(&bytes).into_owned(),
        _ => String::new(),
    };
    let detail = format!("the upstream answered {status}: {text}");
    Err(AttemptError::new(AttemptErrorKind::Rejected { status }, detail))
}

impl Engine for HttpUpstreams {
    fn stream<'a>(
        &'a self,
        call: EngineCall<'a>,
    ) -> LocalFuture<'a, Result<Box<dyn TokenStream>, AttemptError>> {
        Box::pin(async move {
            let response = self.post_chat(&call).await?;
            if !has_content_type(&response, "text/event-stream") {
                let detail = "the answer is no event stream";
                return Err(AttemptError::new(AttemptErrorKind::InvalidResponse, detail));
            }
            let stream: Box<dyn TokenStream> =
                Box::new(HttpTokenStream::new(response, call.attempt_id, call.token_timeout_ms));
            Ok(stream)
        })
    }

    fn complete<'a>(
        &'a self,
        call: EngineCall<'a>,
    ) -> LocalFuture<'a, Result<Value, AttemptError>> {
        Box::pin(async move {
            let response = self.post_chat(&call).await?;
            let first_byte_timeout = Duration::from_millis(call.first_byte_timeout_ms);
            let bytes = read_body(response, first_byte_timeout, RESPONSE_LIMIT_BYTES).await?;
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
            let client = self.pool(UpstreamAddress { address, generation: 0 }).await;
            let request = client.get(format!("http://{address}/load?after={after}"));
            let response = receive_head(request.send(), REPORT_TIMEOUT).await?;
            let response = check_status(response).await?;
            let bytes = read_body(response, REPORT_TIMEOUT, RESPONSE_LIMIT_BYTES).await?;
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
            let client = match call.is_non_idempotent {
                true => build_client().await,
                false => self.pool(call.upstream).await,
            };
            let request = build_service_request(&client, &call)?;
            let first_byte_timeout = Duration::from_millis(call.first_byte_timeout_ms);
            let response =
                receive_head(request.send_body(call.body.clone()), first_byte_timeout).await?;
            check_request_id(&response, call.attempt_id)?;
            let status = response.status().as_u16();
            let headers = copy_end_to_end_headers(response.headers());
            let body_timeout = Duration::from_millis(call.body_timeout_ms);
            let body = read_body(response, body_timeout, call.body_limit_bytes).await?;
            Ok(ServiceResponse { status, headers, body })
        })
    }
}

fn build_service_request(
    client: &Client,
    call: &ServiceCall<'_>,
) -> Result<ClientRequest, AttemptError> {
    let url = format!("http://{}{}", call.upstream.address, call.path_and_query);
    let method = Method::from_bytes(call.method.as_bytes())
        .map_err(|error| AttemptError::new(AttemptErrorKind::NotConnected, error.to_string()))?;
    let mut request = client.request(method, url).no_decompress();
    for (name, value) in call.headers {
        request = request.header(name.clone(), value.clone());
    }
    request = request.set_header(REQUEST_ID_HEADER, call.attempt_id);
    Ok(if call.is_non_idempotent { request.force_close() } else { request })
}

fn check_request_id(response: &ClientResponse, attempt_id: &str) -> Result<(), AttemptError> {
    let Some(response_id) = response.header(REQUEST_ID_HEADER) else { return Ok(()) };
    if response_id.as_bytes() == attempt_id.as_bytes() {
        return Ok(());
    }
    let detail = "the answer belongs to another request";
    Err(AttemptError::new(AttemptErrorKind::IdMismatch, detail))
}

/// Copies the end-to-end headers, that is all except [`HOP_BY_HOP_HEADERS`] and those listed in the
/// `Connection` header.
pub fn copy_end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let listed = headers.get(header::CONNECTION).and_then(|value| value.to_str().ok());
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

fn has_content_type(response: &ClientResponse, expected: &str) -> bool {
    let value = response.header(header::CONTENT_TYPE).and_then(|value| value.to_str().ok());
    value.is_some_and(|value| value.starts_with(expected))
}

/// Reads a complete body. A body shorter than its declared length is reported as an error by the
/// client's decoder.
async fn read_body(
    mut response: ClientResponse,
    part_timeout: Duration,
    limit_bytes: usize,
) -> Result<Bytes, AttemptError> {
    let mut body = BytesMut::new();
    loop {
        let part = timeout(part_timeout, response.next()).await.map_err(|_| {
            AttemptError::new(AttemptErrorKind::TimedOut, "the body stopped coming")
        })?;
        match part {
            None => return Ok(body.freeze()),
            Some(Err(error)) => {
                return Err(AttemptError::new(AttemptErrorKind::Interrupted, error.to_string()));
            }
            Some(Ok(bytes)) => body.extend_from_slice(&bytes),
        }
        if body.len() > limit_bytes {
            let detail = format!("the answer is larger than {limit_bytes} bytes");
            return Err(AttemptError::new(AttemptErrorKind::InvalidResponse, detail));
        }
    }
}
