//! The links of an entry to its peers.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use hickorycourse_clock::TimerService;
use parking_lot::Mutex;
use rand::Rng;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;

use crate::handshake::{Hello, PeerError, perform_handshake};
use crate::link::{Connection, decode, encode, receive_bytes, websocket_config};
use crate::message::PeerMessage;

/// Options of a [`PeerMesh`].
#[derive(Clone, Debug)]
pub struct PeerOptions {
    /// Name of this entry.
    pub instance: String,
    /// Identifies this run of the process; differs at each start.
    pub incarnation: u64,
    /// Address to listen on.
    pub address: SocketAddr,
    /// Shared secret of all entries.
    pub secret: String,
    /// Interval between two heartbeats.
    pub heartbeat_ms: u64,
    /// Idle timeout after which a link is closed, also the timeout for opening one.
    pub timeout_ms: u64,
}

/// Callbacks for received messages and changes of links.
pub trait PeerHandler: Send + Sync {
    /// Processes a message from the peer `from`; returns the replies to send on the same link.
    fn handle_message(&self, from: &str, message: PeerMessage) -> Vec<PeerMessage>;

    /// Creates the heartbeat to broadcast.
    fn make_heartbeat(&self) -> PeerMessage;

    /// Called when a link has been opened; returns the messages to send first.
    fn on_link_opened(&self, peer: &str) -> Vec<PeerMessage>;

    /// Called when the last link to a peer has been closed.
    fn on_peer_disconnected(&self, peer: &str);
}

/// Traffic on all links since the start of the mesh.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PeerTraffic {
    /// Bytes of encoded messages sent.
    pub sent_bytes: u64,
    /// Bytes of encoded messages received.
    pub received_bytes: u64,
    /// Number of messages sent.
    pub sent_messages: u64,
}

#[derive(Default)]
struct TrafficCounters {
    sent_bytes: AtomicU64,
    received_bytes: AtomicU64,
    sent_messages: AtomicU64,
}

struct Link {
    id: u64,
    outbound: mpsc::Sender<Arc<Vec<u8>>>,
}

/// Capacity of a link's outbound queue; a broadcast closes a link whose queue is full.
const OUTBOUND_LIMIT_MESSAGES: usize = 1_024;
/// Bounds of the delay before a lost peer is dialled again; it doubles after each failure.
const REDIAL_DELAY_MIN_MS: u64 = 50;
const REDIAL_DELAY_MAX_MS: u64 = 1_000;

/// The links of an entry to its peers. [`PeerMesh::close`] closes them.
pub struct PeerMesh {
    options: PeerOptions,
    handler: Arc<dyn PeerHandler>,
    links: Mutex<BTreeMap<String, Vec<Link>>>,
    dial_targets: Mutex<BTreeSet<SocketAddr>>,
    /// Names of the peers found at the dialled addresses.
    peer_names: Mutex<BTreeMap<SocketAddr, String>>,
    next_link_id: AtomicU64,
    traffic: TrafficCounters,
    runtime: tokio::runtime::Handle,
    is_closed: std::sync::atomic::AtomicBool,
}

impl PeerMesh {
    /// Starts the mesh: binds the listener and spawns a thread that runs all links.
    ///
    /// # Errors
    /// The listener can't be bound, or the runtime or its thread can't be started.
    pub fn start(
        options: PeerOptions,
        handler: Arc<dyn PeerHandler>,
        timer: &TimerService,
    ) -> io::Result<Arc<Self>> {
        let listener = std::net::TcpListener::bind(options.address)?;
        listener.set_nonblocking(true)?;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let mesh = Arc::new(Self {
            handler,
            links: Mutex::default(),
            dial_targets: Mutex::default(),
            peer_names: Mutex::default(),
            next_link_id: AtomicU64::new(1),
            traffic: TrafficCounters::default(),
            runtime: runtime.handle().clone(),
            is_closed: std::sync::atomic::AtomicBool::new(false),
            options,
        });
        let heartbeats = timer.subscribe(mesh.options.heartbeat_ms);
        let thread_mesh = Arc::clone(&mesh);
        thread::Builder::new().name("peers".to_owned()).spawn(move || {
            runtime.block_on(async move {
                let accept_task = tokio::spawn(accept_links(Arc::clone(&thread_mesh), listener));
                send_heartbeats(thread_mesh, heartbeats).await;
                accept_task.abort();
            });
        })?;
        Ok(mesh)
    }

    /// Adds peer addresses; a link to each is established and re-established when it is lost.
    /// Addresses that are already dialled and the own listening address are ignored.
    pub fn add_peers(self: &Arc<Self>, addresses: &[SocketAddr]) {
        for address in addresses {
            if *address == self.options.address || !self.dial_targets.lock().insert(*address) {
                continue;
            }
            self.runtime.spawn(maintain_link(Arc::clone(self), *address));
        }
    }

    /// Removes all dialled addresses except these; open links stay open.
    pub fn retain_peers(&self, addresses: &BTreeSet<SocketAddr>) {
        self.dial_targets.lock().retain(|address| addresses.contains(address));
    }

    /// Queues a message to one peer; returns false if no link to it accepts the message.
    pub fn send(&self, peer: &str, message: &PeerMessage) -> bool {
        let Ok(bytes) = encode(message) else { return false };
        let bytes = Arc::new(bytes);
        let links = self.links.lock();
        let peer_links = links.get(peer).into_iter().flatten();
        peer_links.rev().any(|link| link.outbound.try_send(Arc::clone(&bytes)).is_ok())
    }

    /// Queues a message to all peers; it is encoded only once. A link whose queue is full is
    /// closed.
    pub fn broadcast(&self, message: &PeerMessage) {
        let Ok(bytes) = encode(message) else { return };
        let bytes = Arc::new(bytes);
        let mut links = self.links.lock();
        for peer_links in links.values_mut() {
            let Some(link) = peer_links.last() else { continue };
            if link.outbound.try_send(Arc::clone(&bytes)).is_err() {
                // Closing the channel terminates the link's writer, and so the link.
                peer_links.pop();
            }
        }
    }

    /// Returns the names of the peers with an open link.
    pub fn list_connected_peers(&self) -> Vec<String> {
        self.links.lock().keys().cloned().collect()
    }

    /// Returns the traffic since the start of the mesh.
    pub fn traffic(&self) -> PeerTraffic {
        PeerTraffic {
            sent_bytes: self.traffic.sent_bytes.load(Ordering::Relaxed),
            received_bytes: self.traffic.received_bytes.load(Ordering::Relaxed),
            sent_messages: self.traffic.sent_messages.load(Ordering::Relaxed),
        }
    }

    /// Closes all links and stops accepting and dialling new ones.
    pub fn close(&self) {
        self.is_closed.store(true, Ordering::SeqCst);
        self.dial_targets.lock().clear();
        self.links.lock().clear();
        self.peer_names.lock().clear();
    }

    fn is_open(&self) -> bool {
        !self.is_closed.load(Ordering::SeqCst)
    }

    fn has_link_to(&self, address: SocketAddr) -> bool {
        let peer_name = self.peer_names.lock().get(&address).cloned();
        peer_name.is_some_and(|peer| self.links.lock().contains_key(&peer))
    }

    /// Adds a link; returns false if an existing link is kept instead. When both ends dial each
    /// other, the link dialled by the end whose name sorts first is kept, so that both ends close
    /// the same one.
    fn add_link(&self, peer: &str, link: Link, is_outgoing: bool) -> bool {
        let mut links = self.links.lock();
        let peer_links = links.entry(peer.to_owned()).or_default();
        let is_own_name_first = self.options.instance.as_str() < peer;
        if is_outgoing && !peer_links.is_empty() {
            if !is_own_name_first {
                return false;
            }
            // Closing their channels terminates the links' writers, and so the links.
            peer_links.clear();
        }
        peer_links.push(link);
        true
    }

    /// Removes a link; returns true if it was the last one to the peer.
    fn remove_link(&self, peer: &str, id: u64) -> bool {
        let mut links = self.links.lock();
        let Some(peer_links) = links.get_mut(peer) else { return false };
        peer_links.retain(|link| link.id != id);
        let was_last = peer_links.is_empty();
        if was_last {
            links.remove(peer);
        }
        was_last
    }
}

async fn send_heartbeats(
    mesh: Arc<PeerMesh>,
    mut ticks: mpsc::Receiver<hickorycourse_clock::Tick>,
) {
    while ticks.recv().await.is_some() && mesh.is_open() {
        mesh.broadcast(&mesh.handler.make_heartbeat());
    }
}

async fn accept_links(mesh: Arc<PeerMesh>, listener: std::net::TcpListener) {
    let listener = match TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => {
            log::error!(
                target: "peer",
                "Failed to register the peer listener: {error}; no incoming links are accepted.",
            );
            return;
        }
    };
    while mesh.is_open() {
        let Ok((stream, from)) = listener.accept().await else { continue };
        let mesh = Arc::clone(&mesh);
        tokio::spawn(async move {
            if let Err(error) = accept_link(&mesh, stream).await {
                log::debug!(
                    target: "peer",
                    "Incoming link from {from} failed or was closed: {error}.",
                );
            }
        });
    }
}

async fn accept_link(mesh: &Arc<PeerMesh>, stream: TcpStream) -> Result<(), PeerError> {
    let opening_timeout = Duration::from_millis(mesh.options.timeout_ms);
    let opening = async {
        stream.set_nodelay(true).map_err(|error| PeerError::Connection(error.to_string()))?;
        let config = Some(websocket_config());
        let stream = tokio_tungstenite::accept_async_with_config(stream, config)
            .await
            .map_err(|error| PeerError::Connection(error.to_string()))?;
        open_connection(mesh, stream).await
    };
    let (connection, peer) = timeout(opening_timeout, opening)
        .await
        .map_err(|_| PeerError::TimedOut(mesh.options.timeout_ms))??;
    run_link(mesh, connection, &peer, false).await
}

async fn open_connection(
    mesh: &PeerMesh,
    stream: WebSocketStream<TcpStream>,
) -> Result<(Connection, Hello), PeerError> {
    let mut connection = Connection { stream };
    let own = Hello::new(&mesh.options.instance, mesh.options.incarnation);
    let peer = perform_handshake(&mut connection, &own, &mesh.options.secret).await?;
    Ok((connection, peer))
}

async fn maintain_link(mesh: Arc<PeerMesh>, address: SocketAddr) {
    let mut delay_ms = REDIAL_DELAY_MIN_MS;
    while mesh.is_open() && mesh.dial_targets.lock().contains(&address) {
        if !mesh.has_link_to(address) {
            match dial(&mesh, address).await {
                Ok(()) => delay_ms = REDIAL_DELAY_MIN_MS,
                Err(PeerError::SelfConnection) => return,
                Err(error) => {
                    log::debug!(
                        target: "peer",
                        "Outgoing link to {address} failed or was closed: {error}.",
                    );
                    delay_ms = (delay_ms * 2).min(REDIAL_DELAY_MAX_MS);
                }
            }
        }
        let jittered_ms = rand::rng().random_range(delay_ms / 2..=delay_ms);
        tokio::time::sleep(Duration::from_millis(jittered_ms)).await;
    }
}

async fn dial(mesh: &Arc<PeerMesh>, address: SocketAddr) -> Result<(), PeerError> {
    let opening_timeout = Duration::from_millis(mesh.options.timeout_ms);
    let opening = async {
        let stream = TcpStream::connect(address)
            .await
            .map_err(|error| PeerError::Connection(error.to_string()))?;
        stream.set_nodelay(true).map_err(|error| PeerError::Connection(error.to_string()))?;
        let url = format!("ws://{address}/peer");
        let config = Some(websocket_config());
        let (stream, _) = tokio_tungstenite::client_async_with_config(url, stream, config)
            .await
            .map_err(|error| PeerError::Connection(error.to_string()))?;
        open_connection(mesh, stream).await
    };
    let (connection, peer) = timeout(opening_timeout, opening)
        .await
        .map_err(|_| PeerError::TimedOut(mesh.options.timeout_ms))??;
    mesh.peer_names.lock().insert(address, peer.instance.clone());
    run_link(mesh, connection, &peer, true).await
}

/// Registers a link and runs its reader and writer until one of them terminates.
async fn run_link(
    mesh: &Arc<PeerMesh>,
    connection: Connection,
    peer: &Hello,
    is_outgoing: bool,
) -> Result<(), PeerError> {
    let (outbound, queue) = mpsc::channel(OUTBOUND_LIMIT_MESSAGES);
    let id = mesh.next_link_id.fetch_add(1, Ordering::Relaxed);
    for message in mesh.handler.on_link_opened(&peer.instance) {
        // The channel is new and has free capacity.
        let _ = outbound.try_send(Arc::new(encode(&message)?));
    }
    // Only the mesh holds a strong sender, so that removing the link there terminates its writer.
    let replies = outbound.downgrade();
    if !mesh.add_link(&peer.instance, Link { id, outbound }, is_outgoing) {
        return Ok(());
    }
    log::info!(target: "peer", "Link to peer {} opened.", peer.instance);
    let (sink, stream) = connection.stream.split();
    let result = tokio::select! {
        result = write_link(mesh, sink, queue) => result,
        result = read_link(mesh, stream, &peer.instance, replies) => result,
    };
    if mesh.remove_link(&peer.instance, id) {
        mesh.handler.on_peer_disconnected(&peer.instance);
        log::info!(target: "peer", "Last link to peer {} closed.", peer.instance);
    }
    result
}

async fn write_link(
    mesh: &PeerMesh,
    mut sink: SplitSink<WebSocketStream<TcpStream>, Message>,
    mut queue: mpsc::Receiver<Arc<Vec<u8>>>,
) -> Result<(), PeerError> {
    while let Some(bytes) = queue.recv().await {
        mesh.traffic.sent_bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        mesh.traffic.sent_messages.fetch_add(1, Ordering::Relaxed);
        sink.send(Message::Binary(Vec::clone(&bytes).into()))
            .await
            .map_err(|error| PeerError::Connection(error.to_string()))?;
    }
    let _ = sink.close().await;
    Ok(())
}

async fn read_link(
    mesh: &PeerMesh,
    mut stream: SplitStream<WebSocketStream<TcpStream>>,
    peer: &str,
    replies: mpsc::WeakSender<Arc<Vec<u8>>>,
) -> Result<(), PeerError> {
    let timeout_ms = mesh.options.timeout_ms;
    loop {
        let bytes = timeout(Duration::from_millis(timeout_ms), receive_bytes(&mut stream))
            .await
            .map_err(|_| PeerError::TimedOut(timeout_ms))??;
        mesh.traffic.received_bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        let message: PeerMessage = decode(&bytes)?;
        for reply in mesh.handler.handle_message(peer, message) {
            let Some(outbound) = replies.upgrade() else { return Ok(()) };
            let _ = outbound.try_send(Arc::new(encode(&reply)?));
        }
    }
}
