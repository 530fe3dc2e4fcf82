//! All links of one entry.

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

use crate::handshake::{Hello, PeerError, shake_hands};
use crate::link::{Connection, decode, encode, receive_bytes, websocket_config};
use crate::message::PeerMessage;

/// What an entry tells its mesh.
#[derive(Clone, Debug)]
pub struct PeerOptions {
    /// The entry's name.
    pub instance: String,
    /// Drawn anew at each start.
    pub incarnation: u64,
    /// Where to listen.
    pub address: SocketAddr,
    /// The fleet's secret.
    pub secret: String,
    /// Between two heartbeats.
    pub heartbeat_ms: u64,
    /// Silence after which a link is closed.
    pub timeout_ms: u64,
}

/// What an entry does with messages.
pub trait PeerHandler: Send + Sync {
    /// Takes a message; returns what goes back on the same link.
    fn handle(&self, from: &str, message: PeerMessage) -> Vec<PeerMessage>;

    /// The entry's current heartbeat.
    fn make_heartbeat(&self) -> PeerMessage;

    /// A link has been opened; returns what is sent first.
    fn open(&self, peer: &str) -> Vec<PeerMessage>;

    /// The last link with a peer has been closed.
    fn close(&self, peer: &str);
}

/// Bytes that have gone over all links.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PeerTraffic {
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Bytes received.
    pub received_bytes: u64,
    /// Messages sent.
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

/// Messages that may wait on one link; a peer that lets more pile up is dropped.
const OUTBOUND_LIMIT: usize = 1_024;
const REDIAL_LEAST_MS: u64 = 50;
const REDIAL_MOST_MS: u64 = 1_000;

/// All links of one entry. Dropping it ends them.
pub struct PeerMesh {
    options: PeerOptions,
    handler: Arc<dyn PeerHandler>,
    links: Mutex<BTreeMap<String, Vec<Link>>>,
    dialled: Mutex<BTreeSet<SocketAddr>>,
    /// Who was met at the addresses that were dialled.
    met: Mutex<BTreeMap<SocketAddr, String>>,
    next_link_id: AtomicU64,
    traffic: TrafficCounters,
    runtime: tokio::runtime::Handle,
    is_closed: std::sync::atomic::AtomicBool,
}

impl PeerMesh {
    /// Listens and starts the mesh on a thread of its own.
    ///
    /// # Errors
    /// The address can't be listened on, or the thread can't be started.
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
            dialled: Mutex::default(),
            met: Mutex::default(),
            next_link_id: AtomicU64::new(1),
            traffic: TrafficCounters::default(),
            runtime: runtime.handle().clone(),
            is_closed: std::sync::atomic::AtomicBool::new(false),
            options,
        });
        let heartbeats = timer.subscribe(mesh.options.heartbeat_ms);
        let main = Arc::clone(&mesh);
        thread::Builder::new().name("peers".to_owned()).spawn(move || {
            runtime.block_on(async move {
                let accepting = tokio::spawn(accept_links(Arc::clone(&main), listener));
                send_heartbeats(main, heartbeats).await;
                accepting.abort();
            });
        })?;
        Ok(mesh)
    }

    /// Keeps a link with the peer at each of these addresses from now on.
    pub fn add_peers(self: &Arc<Self>, addresses: &[SocketAddr]) {
        for address in addresses {
            if *address == self.options.address || !self.dialled.lock().insert(*address) {
                continue;
            }
            self.runtime.spawn(keep_dialling(Arc::clone(self), *address));
        }
    }

    /// Stops dialling addresses that are not among these.
    pub fn retain_peers(&self, addresses: &BTreeSet<SocketAddr>) {
        self.dialled.lock().retain(|address| addresses.contains(address));
    }

    /// Sends to one peer; false if there is no link with it.
    pub fn send(&self, peer: &str, message: &PeerMessage) -> bool {
        let Ok(bytes) = encode(message) else { return false };
        let bytes = Arc::new(bytes);
        let links = self.links.lock();
        let peer_links = links.get(peer).into_iter().flatten();
        peer_links.rev().any(|link| link.outbound.try_send(Arc::clone(&bytes)).is_ok())
    }

    /// Sends to all peers; the message is written once.
    pub fn broadcast(&self, message: &PeerMessage) {
        let Ok(bytes) = encode(message) else { return };
        let bytes = Arc::new(bytes);
        let mut links = self.links.lock();
        for peer_links in links.values_mut() {
            let Some(link) = peer_links.last() else { continue };
            if link.outbound.try_send(Arc::clone(&bytes)).is_err() {
                // Closing the channel ends the link's task.
                peer_links.pop();
            }
        }
    }

    /// Names the peers with an open link.
    pub fn list_linked(&self) -> Vec<String> {
        self.links.lock().keys().cloned().collect()
    }

    /// Bytes so far.
    pub fn traffic(&self) -> PeerTraffic {
        PeerTraffic {
            sent_bytes: self.traffic.sent_bytes.load(Ordering::Relaxed),
            received_bytes: self.traffic.received_bytes.load(Ordering::Relaxed),
            sent_messages: self.traffic.sent_messages.load(Ordering::Relaxed),
        }
    }

    /// Closes all links and takes no new ones.
    pub fn close(&self) {
        self.is_closed.store(true, Ordering::SeqCst);
        self.dialled.lock().clear();
        self.links.lock().clear();
        self.met.lock().clear();
    }

    fn is_open(&self) -> bool {
        !self.is_closed.load(Ordering::SeqCst)
    }

    fn has_link_to(&self, address: SocketAddr) -> bool {
        let met = self.met.lock().get(&address).cloned();
        met.is_some_and(|peer| self.links.lock().contains_key(&peer))
    }

    /// Adds a link; false if another one is to be used instead. When both ends dial, the link of
    /// the one whose name comes first stays, so that both drop the same one.
    fn add_link(&self, peer: &str, link: Link, was_dialled: bool) -> bool {
        let mut links = self.links.lock();
        let peer_links = links.entry(peer.to_owned()).or_default();
        let is_first = self.options.instance.as_str() < peer;
        if was_dialled && !peer_links.is_empty() {
            if !is_first {
                return false;
            }
            // Closing their channels ends the links' tasks.
            peer_links.clear();
        }
        peer_links.push(link);
        true
    }

    /// Removes a link; true if it was the peer's last.
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
            log::error!(target: "peer", "Can't listen: {error}.");
            return;
        }
    };
    while mesh.is_open() {
        let Ok((stream, from)) = listener.accept().await else { continue };
        let mesh = Arc::clone(&mesh);
        tokio::spawn(async move {
            if let Err(error) = accept_link(&mesh, stream).await {
                log::debug!(target: "peer", "Link from {from} ended: {error}.");
            }
        });
    }
}

async fn accept_link(mesh: &Arc<PeerMesh>, stream: TcpStream) -> Result<(), PeerError> {
    let limit = Duration::from_millis(mesh.options.timeout_ms);
    let opening = async {
        stream.set_nodelay(true).map_err(|error| PeerError::Connection(error.to_string()))?;
        let config = Some(websocket_config());
        let stream = tokio_tungstenite::accept_async_with_config(stream, config)
            .await
            .map_err(|error| PeerError::Connection(error.to_string()))?;
        open_connection(mesh, stream).await
    };
    let (connection, peer) =
        timeout(limit, opening).await.map_err(|_| PeerError::Silent(mesh.options.timeout_ms))??;
    run_link(mesh, connection, &peer, false).await
}

async fn open_connection(
    mesh: &PeerMesh,
    stream: WebSocketStream<TcpStream>,
) -> Result<(Connection, Hello), PeerError> {
    let mut connection = Connection { stream };
    let own = Hello::new(&mesh.options.instance, mesh.options.incarnation);
    let peer = shake_hands(&mut connection, &own, &mesh.options.secret).await?;
    Ok((connection, peer))
}

async fn keep_dialling(mesh: Arc<PeerMesh>, address: SocketAddr) {
    let mut wait_ms = REDIAL_LEAST_MS;
    while mesh.is_open() && mesh.dialled.lock().contains(&address) {
        if !mesh.has_link_to(address) {
            match dial(&mesh, address).await {
                Ok(()) => wait_ms = REDIAL_LEAST_MS,
                Err(PeerError::Itself) => return,
                Err(error) => {
                    log::debug!(target: "peer", "Link to {address} ended: {error}.");
                    wait_ms = (wait_ms * 2).min(REDIAL_MOST_MS);
                }
            }
        }
        let jittered_ms = rand::rng().random_range(wait_ms / 2..=wait_ms);
        tokio::time::sleep(Duration::from_millis(jittered_ms)).await;
    }
}

async fn dial(mesh: &Arc<PeerMesh>, address: SocketAddr) -> Result<(), PeerError> {
    let limit = Duration::from_millis(mesh.options.timeout_ms);
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
    let (connection, peer) =
        timeout(limit, opening).await.map_err(|_| PeerError::Silent(mesh.options.timeout_ms))??;
    mesh.met.lock().insert(address, peer.instance.clone());
    run_link(mesh, connection, &peer, true).await
}

/// Serves a link until it ends.
async fn run_link(
    mesh: &Arc<PeerMesh>,
    connection: Connection,
    peer: &Hello,
    was_dialled: bool,
) -> Result<(), PeerError> {
    let (outbound, queue) = mpsc::channel(OUTBOUND_LIMIT);
    let id = mesh.next_link_id.fetch_add(1, Ordering::Relaxed);
    for message in mesh.handler.open(&peer.instance) {
        // The channel is new, so it has room.
        let _ = outbound.try_send(Arc::new(encode(&message)?));
    }
    // Only the mesh keeps a sender, so that removing the link there ends its writer.
    let replies = outbound.downgrade();
    if !mesh.add_link(&peer.instance, Link { id, outbound }, was_dialled) {
        return Ok(());
    }
    log::info!(target: "peer", "Link with {} opened.", peer.instance);
    let (sink, stream) = connection.stream.split();
    let result = tokio::select! {
        result = write_link(mesh, sink, queue) => result,
        result = read_link(mesh, stream, &peer.instance, replies) => result,
    };
    if mesh.remove_link(&peer.instance, id) {
        mesh.handler.close(&peer.instance);
        log::info!(target: "peer", "Link with {} closed.", peer.instance);
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
            .map_err(|_| PeerError::Silent(timeout_ms))??;
        mesh.traffic.received_bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        let message: PeerMessage = decode(&bytes)?;
        for reply in mesh.handler.handle(peer, message) {
            let Some(outbound) = replies.upgrade() else { return Ok(()) };
            let _ = outbound.try_send(Arc::new(encode(&reply)?));
        }
    }
}
