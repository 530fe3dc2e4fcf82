//! Pools of connections.

use std::cell::RefCell;
use std::collections::HashMap;
use std::hash::Hash;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hickorycourse_clock::timeout;
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::ext::on_informational;
use hyper::{Request, Response, header};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::task::{JoinHandle, spawn_local};

use crate::ResponseBody;
use crate::bounded_stream::{BoundedStream, ByteStream, Undelivered};

/// Timeout for a new connection. Network latency is a few milliseconds; the retransmission of a
/// lost SYN takes a second, so trying another upstream is faster.
pub const DIAL_TIMEOUT: Duration = Duration::from_millis(400);
/// Idle timeout of a connection if the upstream states none.
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 3_000;
/// Part of the stated idle timeout for which a connection is reused, in percent, so that the
/// upstream does not close the connection while a request is in transit.
const IDLE_TIMEOUT_PERCENT: u64 = 60;
/// Longest idle time of a connection that another process carries; that process may stop.
const MAX_TUNNEL_IDLE_MS: u64 = 1_000;
/// Largest head of a response; one that never ends must not fill the memory.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Highest status of a response (RFC 9110, section 15).
const MAX_STATUS: u16 = 599;
/// Idle connections in the pool for each upstream.
const MAX_IDLE_PER_UPSTREAM: usize = 64;

/// Why an exchange failed.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ExchangeError {
    /// No part of the request was sent.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The response did not start before the timeout.
    #[error("silent: {0}")]
    TimedOut(String),
    /// The connection closed before the response.
    #[error("broken: {0}")]
    Interrupted(String),
    /// The response is not valid HTTP.
    #[error("invalid: {0}")]
    InvalidResponse(String),
}

/// Destination of a connection. An upstream that restarts under its id may have another address.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct PoolKey<K> {
    upstream: K,
    address: SocketAddr,
    is_tunnelled: bool,
}

/// The other process that carries a connection.
pub trait Carrier: std::fmt::Debug {
    /// Name of the process.
    fn name(&self) -> &str;

    /// Returns whether the way to the upstream has broken rather than the upstream's connection.
    fn is_broken(&self) -> bool;
}

/// Aborts the task that drives a connection, which closes the connection.
#[derive(Debug)]
struct ConnectionTask(JoinHandle<()>);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Starts the task that drives a connection over this stream.
async fn drive(
    stream: BoundedStream<Box<dyn ByteStream>>,
) -> Result<(SendRequest<Full<Bytes>>, ConnectionTask), ExchangeError> {
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|error| ExchangeError::NotSent(error.to_string()))?;
    let task = spawn_local(async move {
        // The waiting sender receives the error too.
        let _ = connection.await;
    });
    Ok((sender, ConnectionTask(task)))
}

/// A connection to an upstream. Dropping it closes it.
#[derive(Debug)]
pub struct UpstreamConnection<K = String> {
    sender: SendRequest<Full<Bytes>>,
    _task: ConnectionTask,
    pool_key: PoolKey<K>,
    /// Absent if the connection is direct.
    carrier: Option<Rc<dyn Carrier>>,
    is_reused: bool,
    dialled_at_ms: u64,
    opened_at_ms: u64,
    /// Start of the upstream that it has reported on this connection.
    reported_start_ms: Option<u64>,
    idle_since_ms: u64,
    idle_timeout_ms: u64,
    undelivered: Undelivered,
}

impl<K> UpstreamConnection<K> {
    async fn open(pool_key: PoolKey<K>, now_ms: u64) -> Result<Self, ExchangeError> {
        let not_sent = |detail: String| ExchangeError::NotSent(detail);
        let dialled = Instant::now();
        let stream = timeout(DIAL_TIMEOUT, TcpStream::connect(pool_key.address))
            .await
            .map_err(|_| not_sent(format!("no connection within {} ms", DIAL_TIMEOUT.as_millis())))?
            .map_err(|error| not_sent(error.to_string()))?;
        stream.set_nodelay(true).map_err(|error| not_sent(error.to_string()))?;
        let opened_at_ms = now_ms + dialled.elapsed().as_millis() as u64 + 1;
        Self::open_over(stream, pool_key, None, now_ms, opened_at_ms).await
    }

    async fn open_over(
        stream: impl AsyncRead + AsyncWrite + Unpin + 'static,
        pool_key: PoolKey<K>,
        carrier: Option<Rc<dyn Carrier>>,
        dialled_at_ms: u64,
        opened_at_ms: u64,
    ) -> Result<Self, ExchangeError> {
        let undelivered = Undelivered::default();
        let stream =
            BoundedStream::new(Box::new(stream) as Box<dyn ByteStream>, undelivered.clone());
        let (sender, task) = drive(stream).await?;
        Ok(Self {
            sender,
            _task: task,
            pool_key,
            carrier,
            is_reused: false,
            dialled_at_ms,
            opened_at_ms,
            reported_start_ms: None,
            idle_since_ms: dialled_at_ms,
            idle_timeout_ms: DEFAULT_IDLE_TIMEOUT_MS,
            undelivered,
        })
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    /// The connection must not be used again after any error.
    pub async fn send(
        &mut self,
        mut request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Response<ResponseBody>, ExchangeError> {
        let undelivered = self.undelivered.clone();
        on_informational(&mut request, move |_| undelivered.add_informational());
        match timeout(limit, self.sender.try_send_request(request)).await {
            Ok(Ok(response)) => {
                let status = response.status().as_u16();
                if status > MAX_STATUS {
                    let detail = format!("{status} is no status of HTTP");
                    return Err(ExchangeError::InvalidResponse(detail));
                }
                self.undelivered.clear();
                self.idle_timeout_ms = read_idle_timeout_ms(&response);
                if self.carrier.is_some() {
                    self.idle_timeout_ms = self.idle_timeout_ms.min(MAX_TUNNEL_IDLE_MS);
                }
                let undelivered = self.undelivered.clone();
                Ok(response.map(|body| ResponseBody::new(body, undelivered)))
            }
            Ok(Err(mut error)) => {
                let is_unsent = error.take_message().is_some();
                let error = error.into_error();
                let detail = error.to_string();
                Err(match is_unsent {
                    true => ExchangeError::NotSent(detail),
                    false if error.is_parse() => ExchangeError::InvalidResponse(detail),
                    false => ExchangeError::Interrupted(detail),
                })
            }
            Err(_) => {
                Err(ExchangeError::TimedOut(format!("no response within {} ms", limit.as_millis())))
            }
        }
    }

    /// Waits until another request can be sent after a complete response.
    ///
    /// # Errors
    /// The connection has ended, or is not ready within `limit`.
    pub async fn ready(&mut self, limit: Duration) -> Result<(), ExchangeError> {
        self.is_reused = true;
        match timeout(limit, self.sender.ready()).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(error)) => Err(ExchangeError::NotSent(error.to_string())),
            Err(_) => Err(ExchangeError::NotSent("the connection is not ready".to_owned())),
        }
    }

    /// Returns whether the connection comes from the pool, so that the upstream may have closed it.
    pub fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Time at which the connection was dialled.
    pub fn dialled_at_ms(&self) -> u64 {
        self.dialled_at_ms
    }

    /// Time at which the connection had been accepted.
    pub fn opened_at_ms(&self) -> u64 {
        self.opened_at_ms
    }

    /// Wall-clock time of the upstream's start that it has reported on this connection, in milliseconds since the
    /// Unix epoch; `None` if it has reported none. Only that start sends anything on the connection.
    pub fn reported_start_ms(&self) -> Option<u64> {
        self.reported_start_ms
    }

    /// Records the start that the upstream has reported on this connection.
    pub fn record_reported_start(&mut self, started_at_ms: u64) {
        self.reported_start_ms = Some(started_at_ms);
    }

    /// Time in milliseconds for which the connection may be idle, with a margin to what the upstream has stated.
    pub fn idle_timeout_ms(&self) -> u64 {
        self.idle_timeout_ms
    }

    /// Returns whether the connection has ended, as far as is known.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Returns the process that carries the connection; `None` if it is direct.
    pub fn carrier(&self) -> Option<&dyn Carrier> {
        self.carrier.as_deref()
    }

    fn is_reusable(&self, now_ms: u64) -> bool {
        let idle_ms = now_ms.saturating_sub(self.idle_since_ms);
        idle_ms < self.idle_timeout_ms && self.sender.is_ready() && !self.sender.is_closed()
    }
}

/// Returns the idle timeout from the response's `Keep-Alive: timeout=SECONDS`, less a margin.
fn read_idle_timeout_ms(response: &Response<Incoming>) -> u64 {
    let value = response.headers().get(header::HeaderName::from_static("keep-alive"));
    let stated_s = value
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.split(',').find_map(|part| part.trim().strip_prefix("timeout=")))
        .and_then(|seconds| seconds.trim().parse::<u64>().ok());
    stated_s.map_or(DEFAULT_IDLE_TIMEOUT_MS, |seconds| seconds * 1_000 * IDLE_TIMEOUT_PERCENT / 100)
}

/// Idle connections by destination; the most recently used is the last.
type IdleConnections<K> = HashMap<PoolKey<K>, Vec<UpstreamConnection<K>>>;

/// The idle connections of one thread. `K` identifies an upstream beside its address.
#[derive(Debug)]
pub struct ConnectionPool<K = String> {
    idle: Rc<RefCell<IdleConnections<K>>>,
}

impl<K> Clone for ConnectionPool<K> {
    fn clone(&self) -> Self {
        Self { idle: Rc::clone(&self.idle) }
    }
}

impl<K> Default for ConnectionPool<K> {
    fn default() -> Self {
        Self { idle: Rc::default() }
    }
}

impl<K: Clone + Eq + Hash> ConnectionPool<K> {
    /// Returns the most recently used idle connection, or opens a new one. A connection that has been
    /// idle for `max_idle_ms` or longer is not used.
    ///
    /// # Errors
    /// No connection could be opened; nothing was sent.
    pub async fn checkout(
        &self,
        upstream: K,
        address: SocketAddr,
        max_idle_ms: u64,
        now_ms: u64,
    ) -> Result<UpstreamConnection<K>, ExchangeError> {
        let used_since_ms = now_ms.saturating_sub(max_idle_ms.saturating_sub(1));
        match self.take_idle(upstream.clone(), address, used_since_ms, now_ms) {
            Some(connection) => Ok(connection),
            None => self.open(upstream, address, now_ms).await,
        }
    }

    /// Returns the most recently used idle direct connection, if it was last used at `used_since_ms` or
    /// later.
    pub fn take_idle(
        &self,
        upstream: K,
        address: SocketAddr,
        used_since_ms: u64,
        now_ms: u64,
    ) -> Option<UpstreamConnection<K>> {
        let pool_key = PoolKey { upstream, address, is_tunnelled: false };
        self.take_idle_if(&pool_key, now_ms, |connection| connection.idle_since_ms >= used_since_ms)
    }

    /// As [`take_idle`](Self::take_idle), for connections of carriers that `is_accepted` names.
    pub fn take_idle_tunnel(
        &self,
        upstream: K,
        address: SocketAddr,
        now_ms: u64,
        is_accepted: impl Fn(&str) -> bool,
    ) -> Option<UpstreamConnection<K>> {
        let pool_key = PoolKey { upstream, address, is_tunnelled: true };
        self.take_idle_if(&pool_key, now_ms, |connection| {
            connection.carrier().is_some_and(|carrier| is_accepted(carrier.name()))
        })
    }

    fn take_idle_if(
        &self,
        pool_key: &PoolKey<K>,
        now_ms: u64,
        is_accepted: impl Fn(&UpstreamConnection<K>) -> bool,
    ) -> Option<UpstreamConnection<K>> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(pool_key)?;
        connections.retain(|connection| connection.is_reusable(now_ms));
        connections.pop_if(|connection| is_accepted(connection))
    }

    /// Returns whether there is an idle direct connection to an upstream that had been accepted by `until_ms`.
    pub fn has_idle(&self, upstream: &K, address: SocketAddr, until_ms: u64, now_ms: u64) -> bool {
        let pool_key = PoolKey { upstream: upstream.clone(), address, is_tunnelled: false };
        self.idle
            .borrow()
            .get(&pool_key)
            .into_iter()
            .flatten()
            .any(|connection| connection.opened_at_ms <= until_ms && connection.is_reusable(now_ms))
    }

    /// Opens a connection without regard to idle ones.
    ///
    /// # Errors
    /// No connection could be opened; nothing was sent.
    pub async fn open(
        &self,
        upstream: K,
        address: SocketAddr,
        now_ms: u64,
    ) -> Result<UpstreamConnection<K>, ExchangeError> {
        UpstreamConnection::open(PoolKey { upstream, address, is_tunnelled: false }, now_ms).await
    }

    /// Opens a connection over a stream to the upstream that `carrier` carries and has dialled since `dialled_at_ms`.
    ///
    /// # Errors
    /// No connection could be opened; nothing was sent.
    pub async fn open_over(
        &self,
        stream: impl AsyncRead + AsyncWrite + Unpin + 'static,
        upstream: K,
        address: SocketAddr,
        carrier: Rc<dyn Carrier>,
        dialled_at_ms: u64,
        now_ms: u64,
    ) -> Result<UpstreamConnection<K>, ExchangeError> {
        let pool_key = PoolKey { upstream, address, is_tunnelled: true };
        let carrier = Some(carrier);
        UpstreamConnection::open_over(stream, pool_key, carrier, dialled_at_ms, now_ms).await
    }

    /// Returns a connection to the pool after a complete response.
    pub fn check_in(&self, mut connection: UpstreamConnection<K>, now_ms: u64) {
        if connection.sender.is_closed() {
            return;
        }
        connection.is_reused = true;
        connection.idle_since_ms = now_ms;
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(connection.pool_key.clone()).or_default();
        if connections.len() < MAX_IDLE_PER_UPSTREAM {
            connections.push(connection);
        }
    }

    /// Returns a connection on which nothing was sent to the pool. It is idle since its last use, as its upstream sees it, and
    /// may be for `idle_timeout_ms` at most.
    pub fn check_in_unused(&self, mut connection: UpstreamConnection<K>, idle_timeout_ms: u64) {
        if connection.sender.is_closed() {
            return;
        }
        connection.is_reused = true;
        connection.idle_timeout_ms = connection.idle_timeout_ms.min(idle_timeout_ms);
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(connection.pool_key.clone()).or_default();
        if connections.len() < MAX_IDLE_PER_UPSTREAM {
            let since_ms = connection.idle_since_ms;
            let position = connections.partition_point(|other| other.idle_since_ms <= since_ms);
            connections.insert(position, connection);
        }
    }

    /// Closes idle connections that have expired or that the upstream has closed.
    pub fn evict_expired(&self, now_ms: u64) {
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|connection| connection.is_reusable(now_ms));
            !connections.is_empty()
        });
    }
}
