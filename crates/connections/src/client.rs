//! HTTP client for servers that are known by their address.

use std::cell::Cell;
use std::future::ready;
use std::hash::Hash;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hickorycourse_clock::{Clock, SystemClock, timeout};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Bytes};
use hyper::header::{self, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, Version};

use crate::{ConnectionPool, ExchangeError, ResponseBody, UpstreamConnection};

/// Interval at which idle connections are checked.
const EVICTION_INTERVAL_MS: u64 = 1_000;

/// The head of a response, with the connection that its body arrives on. Dropping it closes the
/// connection.
#[derive(Debug)]
pub struct OpenResponse<K = ()> {
    /// Connection of the exchange.
    pub connection: UpstreamConnection<K>,
    /// Head of the response, with its body.
    pub response: Response<ResponseBody>,
}

/// HTTP client of one thread. `K` identifies a server beside its address. Clones share their idle
/// connections.
#[derive(Clone, Debug)]
pub struct HttpClient<K = ()> {
    pool: ConnectionPool<K>,
    clock: SystemClock,
    evicted_at_ms: Rc<Cell<u64>>,
}

impl<K> Default for HttpClient<K> {
    fn default() -> Self {
        Self {
            pool: ConnectionPool::default(),
            clock: SystemClock::new(),
            evicted_at_ms: Rc::default(),
        }
    }
}

impl<K: Clone + Eq + Hash> HttpClient<K> {
    /// Sends a request on an idle connection or a new one, and waits for the head of its response.
    /// A request that an idle connection did not send is sent on a new one.
    ///
    /// # Errors
    /// There is no response within `limit`, or an invalid one.
    pub async fn open(
        &self,
        server: K,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<OpenResponse<K>, ExchangeError> {
        let opened = self.open_after(ready(()), server, address, request, limit).await?;
        Ok(opened.0)
    }

    /// As [`open`](Self::open), where `prepare` runs once there is a connection, before the request is sent. Its output is
    /// `None` if the request was sent on a connection that was opened after it.
    ///
    /// # Errors
    /// There is no response within `limit`, or an invalid one.
    pub async fn open_after<T>(
        &self,
        prepare: impl Future<Output = T>,
        server: K,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<(OpenResponse<K>, Option<T>), ExchangeError> {
        let exchange = async {
            let now_ms = self.clock.now_ms();
            self.evict_expired(now_ms);
            let connection = self.pool.checkout(server.clone(), address, u64::MAX, now_ms).await?;
            let prepared = prepare.await;
            if !connection.is_reused() {
                return Ok((send_on(connection, request, limit).await?, Some(prepared)));
            }
            match send_on(connection, request.clone(), limit).await {
                Err(ExchangeError::NotSent(_)) => {
                    let connection = self.pool.open(server, address, self.clock.now_ms()).await?;
                    Ok((send_on(connection, request, limit).await?, None))
                }
                result => Ok((result?, Some(prepared))),
            }
        };
        within(limit, exchange).await
    }

    /// As [`open_after`](Self::open_after), on a new connection.
    ///
    /// # Errors
    /// There is no response within `limit`, or an invalid one.
    pub async fn open_on_new_connection_after<T>(
        &self,
        prepare: impl Future<Output = T>,
        server: K,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<(OpenResponse<K>, T), ExchangeError> {
        let exchange = async {
            let connection = self.pool.open(server, address, self.clock.now_ms()).await?;
            let prepared = prepare.await;
            Ok((send_on(connection, request, limit).await?, prepared))
        };
        within(limit, exchange).await
    }

    /// Returns an idle connection, or opens one, on which nothing is sent yet.
    ///
    /// # Errors
    /// There is no connection within `limit`.
    pub async fn checkout(
        &self,
        server: K,
        address: SocketAddr,
        limit: Duration,
    ) -> Result<UpstreamConnection<K>, ExchangeError> {
        let now_ms = self.clock.now_ms();
        within(limit, self.pool.checkout(server, address, u64::MAX, now_ms)).await
    }

    /// Opens a connection on which nothing is sent yet.
    ///
    /// # Errors
    /// There is no connection within `limit`.
    pub async fn connect(
        &self,
        server: K,
        address: SocketAddr,
        limit: Duration,
    ) -> Result<UpstreamConnection<K>, ExchangeError> {
        within(limit, self.pool.open(server, address, self.clock.now_ms())).await
    }

    /// Sends a request and reads its whole response, of which the body has up to `limit_bytes`.
    ///
    /// # Errors
    /// There is no complete response within `limit`, or an invalid one.
    pub async fn fetch(
        &self,
        server: K,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        limit: Duration,
        limit_bytes: usize,
    ) -> Result<Response<Bytes>, ExchangeError> {
        let exchange = async {
            let open = self.open(server, address, request, limit).await?;
            self.read_to_end(open, limit_bytes).await
        };
        within(limit, exchange).await
    }

    /// Reads the rest of a response, of which the body has up to `limit_bytes`, and keeps the
    /// connection for the next exchange.
    ///
    /// # Errors
    /// The response is not complete, or too large.
    pub async fn read_to_end(
        &self,
        open: OpenResponse<K>,
        limit_bytes: usize,
    ) -> Result<Response<Bytes>, ExchangeError> {
        let OpenResponse { connection, response } = open;
        let (head, mut incoming) = response.into_parts();
        let mut body = Vec::new();
        while let Some(frame) = incoming.frame().await {
            let frame = frame.map_err(|error| ExchangeError::Interrupted(error.to_string()))?;
            let Ok(part) = frame.into_data() else { continue };
            body.extend_from_slice(&part);
            if body.len() > limit_bytes {
                let detail = format!("the body is larger than {limit_bytes} bytes");
                return Err(ExchangeError::InvalidResponse(detail));
            }
        }
        self.check_in(connection);
        Ok(Response::from_parts(head, Bytes::from(body)))
    }

    /// Keeps a connection for the next exchange after a response that was read to its end.
    pub fn check_in(&self, connection: UpstreamConnection<K>) {
        self.pool.check_in(connection, self.clock.now_ms());
    }

    /// Keeps a connection on which nothing was sent for a later exchange, idle for `idle_timeout_ms` at most.
    pub fn check_in_unused(&self, connection: UpstreamConnection<K>, idle_timeout_ms: u64) {
        self.pool.check_in_unused(connection, idle_timeout_ms);
    }

    fn evict_expired(&self, now_ms: u64) {
        if now_ms.saturating_sub(self.evicted_at_ms.get()) >= EVICTION_INTERVAL_MS {
            self.evicted_at_ms.set(now_ms);
            self.pool.evict_expired(now_ms);
        }
    }
}

/// Returns whether the end of a response's body is marked only by the end of its connection. A server that
/// ends after the head leaves the same as one whose body is empty.
pub fn ends_with_connection(response: &Response<ResponseBody>) -> bool {
    let mut codings = response.headers().get_all(header::TRANSFER_ENCODING).iter();
    // hyper reads only a body whose last coding is chunked in chunks.
    let last_coding = codings.next_back().and_then(|value| value.to_str().ok());
    let last_coding = last_coding.and_then(|value| value.rsplit(',').next()).unwrap_or_default();
    let is_chunked = last_coding.trim().eq_ignore_ascii_case("chunked");
    !is_chunked && response.body().size_hint().exact().is_none()
}

/// Returns whether a server states that it keeps the connection open after a response.
pub fn keeps_connection(response: &Response<ResponseBody>) -> bool {
    let mut options = response
        .headers()
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(str::trim);
    match response.version() {
        Version::HTTP_11 => !options.any(|option| option.eq_ignore_ascii_case("close")),
        _ => options.any(|option| option.eq_ignore_ascii_case("keep-alive")),
    }
}

async fn within<T>(
    limit: Duration,
    exchange: impl Future<Output = Result<T, ExchangeError>>,
) -> Result<T, ExchangeError> {
    timeout(limit, exchange).await.unwrap_or_else(|_| {
        Err(ExchangeError::TimedOut(format!("no response within {} ms", limit.as_millis())))
    })
}

async fn send_on<K>(
    mut connection: UpstreamConnection<K>,
    mut request: Request<Full<Bytes>>,
    limit: Duration,
) -> Result<OpenResponse<K>, ExchangeError> {
    // hyper states no length for an empty body, without which some servers reject these methods.
    let is_body_expected = matches!(*request.method(), Method::PATCH | Method::POST | Method::PUT);
    if is_body_expected && request.body().is_end_stream() {
        request.headers_mut().insert(header::CONTENT_LENGTH, HeaderValue::from_static("0"));
    }
    let response = connection.send(request, limit).await?;
    if response.status() == StatusCode::SWITCHING_PROTOCOLS {
        let detail = "the server switched protocols without being asked";
        return Err(ExchangeError::InvalidResponse(detail.to_owned()));
    }
    Ok(OpenResponse { connection, response })
}
