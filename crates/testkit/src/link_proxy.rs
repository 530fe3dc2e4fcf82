//! A TCP proxy for the link between one client and one server, with faults of the network between them.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::runtime::{Builder, Handle};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::address::allocate_listen_address;

const BACKLOG: u32 = 1_024;
/// Time for a connection to the proxy's own listener.
const FILL_TIMEOUT: Duration = Duration::from_millis(200);
/// Interval between two attempts to listen again.
const BIND_INTERVAL: Duration = Duration::from_millis(5);
const BUFFER_BYTES: usize = 16 * 1024;

/// Fault of a link.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LinkFault {
    /// All bytes are forwarded.
    #[default]
    None,
    /// Packets are lost in both directions: open connections are silent and new ones are not
    /// established. What was sent arrives after the fault, as with retransmissions.
    Lossy,
    /// As `Lossy`, for packets to the server only.
    RequestsLost,
    /// As `Lossy`, for packets from the server only.
    ResponsesLost,
    /// The server accepts connections and reads requests; what it sends arrives after the fault.
    Silent,
    /// New connections are refused, and open ones are reset.
    Refused,
    /// New connections are refused, and open ones go on.
    NewRefused,
    /// New connections are reset after they were accepted, and open ones are reset.
    Reset,
}

/// What happens to a new connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Admission {
    Accept,
    Ignore,
    Refuse,
    Reset,
}

impl LinkFault {
    fn admission(self) -> Admission {
        match self {
            Self::None | Self::Silent => Admission::Accept,
            Self::Lossy | Self::RequestsLost | Self::ResponsesLost => Admission::Ignore,
            Self::Refused | Self::NewRefused => Admission::Refuse,
            Self::Reset => Admission::Reset,
        }
    }

    fn holds_requests(self) -> bool {
        matches!(self, Self::Lossy | Self::RequestsLost)
    }

    fn holds_responses(self) -> bool {
        matches!(self, Self::Lossy | Self::ResponsesLost | Self::Silent)
    }

    fn resets_open(self) -> bool {
        matches!(self, Self::Refused | Self::Reset)
    }
}

#[derive(Default)]
struct Counters {
    connections: AtomicU64,
    request_bytes: AtomicU64,
}

/// Forwards TCP connections to a server. Dropping it closes the connections and the listener.
pub struct LinkProxy {
    /// The address on which it listens.
    pub address: SocketAddr,
    fault: watch::Sender<LinkFault>,
    counters: Arc<Counters>,
}

impl LinkProxy {
    /// Starts a proxy before `server` that listens on an address of its own.
    ///
    /// # Panics
    /// If it cannot listen.
    pub fn start(server: SocketAddr) -> Self {
        let address = allocate_listen_address();
        let (fault, faults) = watch::channel(LinkFault::None);
        let counters = Arc::new(Counters::default());
        let runtime = runtime();
        let entered = runtime.enter();
        let listener = listen(address).expect("the link proxy cannot listen on its address");
        drop(entered);
        let link = Link { address, server, faults, counters: Arc::clone(&counters) };
        runtime.spawn(link.run(listener));
        Self { address, fault, counters }
    }

    /// Sets the fault, which is in effect some milliseconds later.
    pub fn set_fault(&self, fault: LinkFault) {
        self.fault.send_if_modified(|current| std::mem::replace(current, fault) != fault);
    }

    /// Returns the number of connections that were accepted so far.
    pub fn connections(&self) -> u64 {
        self.counters.connections.load(Ordering::SeqCst)
    }

    /// Returns the number of bytes that were forwarded to the server so far.
    pub fn request_bytes(&self) -> u64 {
        self.counters.request_bytes.load(Ordering::SeqCst)
    }
}

/// Returns the runtime of all proxies of this process.
fn runtime() -> &'static Handle {
    static RUNTIME: OnceLock<Handle> = OnceLock::new();
    RUNTIME.get_or_init(|| {
        let runtime = Builder::new_current_thread().enable_all().build();
        let runtime = runtime.expect("cannot start the runtime of the link proxies");
        let handle = runtime.handle().clone();
        std::thread::spawn(move || runtime.block_on(std::future::pending::<()>()));
        handle
    })
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address.is_ipv4() {
        true => TcpSocket::new_v4()?,
        false => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// The task that accepts connections.
struct Link {
    address: SocketAddr,
    server: SocketAddr,
    faults: watch::Receiver<LinkFault>,
    counters: Arc<Counters>,
}

impl Link {
    async fn run(mut self, listener: TcpListener) {
        let mut listener = Some(listener);
        loop {
            let admission = self.faults.borrow_and_update().admission();
            let is_open = match (admission, listener.take()) {
                (Admission::Refuse, closed) => {
                    drop(closed);
                    self.faults.changed().await.is_ok()
                }
                (_, None) => {
                    listener = listen(self.address).ok();
                    if listener.is_none() {
                        sleep(BIND_INTERVAL).await;
                    }
                    true
                }
                (Admission::Ignore, Some(open)) => {
                    let is_open = self.ignore_connections(&open).await;
                    listener = Some(open);
                    is_open
                }
                (Admission::Accept | Admission::Reset, Some(open)) => {
                    let is_open = self.accept_connections(&open, admission).await;
                    listener = Some(open);
                    is_open
                }
            };
            if !is_open {
                return;
            }
        }
    }

    /// Handles connections until the fault changes; returns false when the proxy is dropped.
    async fn accept_connections(&mut self, listener: &TcpListener, admission: Admission) -> bool {
        loop {
            let accepted = tokio::select! {
                biased;
                changed = self.faults.changed() => return changed.is_ok(),
                accepted = listener.accept() => accepted,
            };
            let Ok((client, _)) = accepted else { continue };
            self.counters.connections.fetch_add(1, Ordering::SeqCst);
            if admission == Admission::Reset {
                reset(&client);
                continue;
            }
            let (server, faults) = (self.server, self.faults.clone());
            let counters = Arc::clone(&self.counters);
            tokio::spawn(async move { forward(client, server, faults, &counters).await });
        }
    }

    /// Establishes no connection until the fault changes: the kernel drops the first packet of a
    /// connection while the queue of those that wait to be accepted is full.
    async fn ignore_connections(&mut self, listener: &TcpListener) -> bool {
        let _ = SockRef::from(listener).listen(0);
        let filler = timeout(FILL_TIMEOUT, TcpStream::connect(self.address)).await;
        let filler = filler.ok().and_then(Result::ok);
        let is_open = self.faults.changed().await.is_ok();
        let _ = SockRef::from(listener).listen(BACKLOG as i32);
        if filler.is_some() {
            let _ = timeout(FILL_TIMEOUT, listener.accept()).await;
        }
        is_open
    }
}

/// Resets a connection when it is dropped.
fn reset(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

async fn forward(
    mut client: TcpStream,
    server: SocketAddr,
    mut faults: watch::Receiver<LinkFault>,
    counters: &Counters,
) {
    let Ok(mut server) = TcpStream::connect(server).await else {
        reset(&client);
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let is_reset = {
        let (client_reader, client_writer) = client.split();
        let (server_reader, server_writer) = server.split();
        let requests = Direction {
            faults: faults.clone(),
            is_held: LinkFault::holds_requests,
            bytes: Some(&counters.request_bytes),
        };
        let responses =
            Direction { faults: faults.clone(), is_held: LinkFault::holds_responses, bytes: None };
        let both = async {
            tokio::try_join!(
                requests.copy(client_reader, server_writer),
                responses.copy(server_reader, client_writer)
            )
        };
        tokio::select! {
            _ = both => false,
            is_reset = async { faults.wait_for(|fault| fault.resets_open()).await.is_ok() } => is_reset,
        }
    };
    if is_reset {
        reset(&client);
        reset(&server);
    }
}

/// One direction of a connection.
struct Direction<'a> {
    faults: watch::Receiver<LinkFault>,
    is_held: fn(LinkFault) -> bool,
    bytes: Option<&'a AtomicU64>,
}

impl Direction<'_> {
    /// Forwards bytes to the end of the connection.
    async fn copy(mut self, mut from: ReadHalf<'_>, mut to: WriteHalf<'_>) -> io::Result<()> {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let is_held = self.is_held;
            let is_forwarding = self.faults.wait_for(|fault| !is_held(*fault)).await.is_ok();
            if !is_forwarding {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            let count = tokio::select! {
                biased;
                _ = self.faults.changed() => continue,
                count = from.read(&mut buffer) => count?,
            };
            if count == 0 {
                return to.shutdown().await;
            }
            to.write_all(&buffer[..count]).await?;
            if let Some(bytes) = self.bytes {
                bytes.fetch_add(count as u64, Ordering::SeqCst);
            }
        }
    }
}
