//! Upstreams over HTTP.

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
    AttemptError, AttemptErrorKind, Engine, EngineCall, Service, ServiceAnswer, ServiceCall,
    TokenStream, UpstreamAddress,
};
use crate::load::UpstreamReport;
use crate::stream::HttpTokenStream;

/// Headers that belong to one hop (RFC 9110, 7.6.1) and are never passed on; the length is written anew.
pub const HOP_HEADERS: &[&str] = &[
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
const ANSWER_BYTES_LIMIT: usize = 16 * 1024 * 1024;
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_000);
const ERROR_BODY_BYTES: usize = 4_096;

struct PooledClient {
    generation: u64,
    client: Client,
}

/// Upstreams over HTTP, for one thread. Each upstream has a pool of its own.
pub struct HttpUpstreams {
    pools: RefCell<HashMap<SocketAddr, PooledClient>>,
}

impl HttpUpstreams {
    /// Creates it without connections.
    pub fn new() -> Self {
        Self { pools: RefCell::default() }
    }

    /// The pool of an upstream; a new one when the generation has gone up. Connections of the old
    /// pool that are in use stay open until their exchange ends.
    async fn pool(&self, upstream: UpstreamAddress) -> Client {
        let held =
            self.pools.borrow().get(&upstream.address).and_then(|pool| {
                (pool.generation >= upstream.generation).then(|| pool.client.clone())
            });
        if let Some(client) = held {
            return client;
        }
        let client = build_client().await;
        let pooled = PooledClient { generation: upstream.generation, client: client.clone() };
        self.pools.borrow_mut().insert(upstream.address, pooled);
        client
    }

    async fn post_chat(&self, call: &EngineCall<'_>) -> Result<ClientResponse, AttemptError> {
        let client = self.pool(call.upstream).await;
        let url = format!("http://{}/v1/chat/completions", call.upstream.address);
        let request = client
            .post(url)
            .set_header(REQUEST_ID_HEADER, call.attempt_id)
            .set_header("traceparent", call.traceparent);
        let limit = Duration::from_millis(call.first_byte_timeout_ms);
        let response = wait_for_head(request.send_json(call.body), limit).await?;
        check_status(response).await
    }
}

impl Default for HttpUpstreams {
    fn default() -> Self {
        Self::new()
    }
}

async fn wait_for_head(
    sending: impl Future<Output = Result<ClientResponse, ClientError>>,
    limit: Duration,
) -> Result<ClientResponse, AttemptError> {
    match timeout(limit, sending).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(error)) => Err(classify(&error)),
        Err(_) => {
            let detail = format!("no answer for {} ms", limit.as_millis());
            Err(AttemptError::new(AttemptErrorKind::Silent, detail))
        }
    }
}

fn classify(error: &ClientError) -> AttemptError {
    let kind = match error {
        // The client reports a refused connection so. Other reasons under the same variant may
        // stand for a connection that broke after the request had left.
        ClientError::Connect(ConnectError::Disconnected(Some(io)))
            if io.kind() == io::ErrorKind::ConnectionRefused =>
        {
            AttemptErrorKind::NotConnected
        }
        ClientError::Response(_) => AttemptErrorKind::Nonsense,
        _ => AttemptErrorKind::Broken,
    };
    AttemptError::new(kind, error.to_string())
}

async fn check_status(response: ClientResponse) -> Result<ClientResponse, AttemptError> {
    let status = response.status().as_u16();
    if (200..300).contains(&status) {
        return Ok(response);
    }
    let body = response.body().limit(ERROR_BODY_BYTES);
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
                return Err(AttemptError::new(AttemptErrorKind::Nonsense, detail));
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
            let limit = Duration::from_millis(call.first_byte_timeout_ms);
            let bytes = read_body(response, limit, ANSWER_BYTES_LIMIT).await?;
            let nonsense = |detail: &str| AttemptError::new(AttemptErrorKind::Nonsense, detail);
            let value: Value = serde_json::from_slice(&bytes)
                .map_err(|_| nonsense("the answer is not valid JSON"))?;
            let id = value.get("id").and_then(Value::as_str).unwrap_or("");
            if !id.ends_with(call.attempt_id) {
                let detail = format!("the answer of `{id}` came for `{}`", call.attempt_id);
                return Err(AttemptError::new(AttemptErrorKind::Crossed, detail));
            }
            if !value.get("choices").is_some_and(Value::is_array) {
                return Err(nonsense("the answer has no list of choices"));
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
            let response = wait_for_head(request.send(), REPORT_TIMEOUT).await?;
            let response = check_status(response).await?;
            let bytes = read_body(response, REPORT_TIMEOUT, ANSWER_BYTES_LIMIT).await?;
            serde_json::from_slice(&bytes)
                .map_err(|error| AttemptError::new(AttemptErrorKind::Nonsense, error.to_string()))
        })
    }
}

impl Service for HttpUpstreams {
    fn call<'a>(
        &'a self,
        call: ServiceCall<'a>,
    ) -> LocalFuture<'a, Result<ServiceAnswer, AttemptError>> {
        Box::pin(async move {
            let client = match call.is_non_idempotent {
                true => build_client().await,
                false => self.pool(call.upstream).await,
            };
            let request = prepare_service_request(&client, &call)?;
            let limit = Duration::from_millis(call.first_byte_timeout_ms);
            let response = wait_for_head(request.send_body(call.body.clone()), limit).await?;
            check_echo(&response, call.attempt_id)?;
            let status = response.status().as_u16();
            let headers = copy_end_to_end(response.headers());
            let body_limit = Duration::from_millis(call.body_timeout_ms);
            let body = read_body(response, body_limit, call.body_limit_bytes).await?;
            Ok(ServiceAnswer { status, headers, body })
        })
    }
}

fn prepare_service_request(
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

fn check_echo(response: &ClientResponse, attempt_id: &str) -> Result<(), AttemptError> {
    let Some(echo) = response.header(REQUEST_ID_HEADER) else { return Ok(()) };
    if echo.as_bytes() == attempt_id.as_bytes() {
        return Ok(());
    }
    let detail = "the answer belongs to another request";
    Err(AttemptError::new(AttemptErrorKind::Crossed, detail))
}

/// Copies headers without those of the hop, those that `Connection` names included.
pub fn copy_end_to_end(headers: &HeaderMap) -> HeaderMap {
    let named = headers.get(header::CONNECTION).and_then(|value| value.to_str().ok());
    let named: Vec<String> =
        named.unwrap_or("").split(',').map(|name| name.trim().to_ascii_lowercase()).collect();
    let mut copy = HeaderMap::new();
    for (name, value) in headers {
        let is_hop =
            HOP_HEADERS.contains(&name.as_str()) || named.iter().any(|n| n == name.as_str());
        if !is_hop {
            copy.append(name.clone(), value.clone());
        }
    }
    copy
}

fn has_content_type(response: &ClientResponse, wanted: &str) -> bool {
    let value = response.header(header::CONTENT_TYPE).and_then(|value| value.to_str().ok());
    value.is_some_and(|value| value.starts_with(wanted))
}

/// Reads a whole body. A body shorter than announced ends in an error of the client's decoder.
async fn read_body(
    mut response: ClientResponse,
    part_limit: Duration,
    limit_bytes: usize,
) -> Result<Bytes, AttemptError> {
    let mut body = BytesMut::new();
    loop {
        let part = timeout(part_limit, response.next())
            .await
            .map_err(|_| AttemptError::new(AttemptErrorKind::Silent, "the body stopped coming"))?;
        match part {
            None => return Ok(body.freeze()),
            Some(Err(error)) => {
                return Err(AttemptError::new(AttemptErrorKind::Broken, error.to_string()));
            }
            Some(Ok(bytes)) => body.extend_from_slice(&bytes),
        }
        if body.len() > limit_bytes {
            let detail = format!("the answer is larger than {limit_bytes} bytes");
            return Err(AttemptError::new(AttemptErrorKind::Nonsense, detail));
        }
    }
}
