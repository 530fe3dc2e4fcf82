//! A TCP proxy that injects network faults between two processes.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

#[derive(Default)]
struct FaultState {
    is_disconnected: AtomicBool,
    /// Data on connections of an epoch below this one is discarded.
    blackhole_below_epoch: AtomicU64,
    epoch: AtomicU64,
    /// Whether data from the target is discarded.
    is_dropping_responses: AtomicBool,
    delay_ms: AtomicU64,
    is_stopped: AtomicBool,
}

/// Forwards TCP connections to a target. Dropping it closes the connections and the listener.
pub struct FaultProxy {
    /// The address on which it listens.
    pub address: SocketAddr,
    state: Arc<FaultState>,
}

const POLL_INTERVAL: Duration = Duration::from_millis(20);

impl FaultProxy {
    /// Starts a proxy that listens on `address`; port 0 selects a free port.
    ///
    /// # Panics
    /// If it cannot listen on the address.
    pub fn start(address: SocketAddr, target: SocketAddr) -> Self {
        let listener =
            TcpListener::bind(address).expect("the fault proxy cannot listen on its address");
        let address = listener
            .local_addr()
            .expect("cannot determine the address of the fault proxy's listener");
        let state = Arc::new(FaultState::default());
        let shared = Arc::clone(&state);
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                if shared.is_stopped.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                if shared.is_disconnected.load(Ordering::SeqCst) {
                    continue;
                }
                forward_connection(stream, target, &shared);
            }
        });
        Self { address, state }
    }

    /// Closes all connections and closes new ones on accept, or forwards new ones again. The change
    /// is in effect when this returns.
    pub fn set_disconnected(&self, is_disconnected: bool) {
        self.state.is_disconnected.store(is_disconnected, Ordering::SeqCst);
        std::thread::sleep(3 * POLL_INTERVAL);
    }

    /// Discards all data on the connections that are open at this time; they stay open. New
    /// connections are not affected.
    pub fn blackhole_open_connections(&self) {
        let epoch = self.state.epoch.fetch_add(1, Ordering::SeqCst) + 1;
        self.state.blackhole_below_epoch.store(epoch, Ordering::SeqCst);
    }
}

impl FaultProxy {
    /// Discards all data that the target sends, or forwards it again. Connections stay open.
    pub fn set_dropping_responses(&self, is_dropping_responses: bool) {
        self.state.is_dropping_responses.store(is_dropping_responses, Ordering::SeqCst);
    }

    /// Delays each block of data by this time before it is forwarded.
    pub fn set_delay_ms(&self, delay_ms: u64) {
        self.state.delay_ms.store(delay_ms, Ordering::SeqCst);
    }

    /// Removes all faults, except on blackholed connections, which stay blackholed.
    pub fn clear_faults(&self) {
        self.set_dropping_responses(false);
        self.set_delay_ms(0);
        self.state.is_disconnected.store(false, Ordering::SeqCst);
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.state.is_stopped.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
    }
}

fn forward_connection(client: TcpStream, target: SocketAddr, state: &Arc<FaultState>) {
    let Ok(server) = TcpStream::connect(target) else { return };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let epoch = state.epoch.load(Ordering::SeqCst);
    let pairs = [(&client, &server, false), (&server, &client, true)];
    for (from, to, is_response) in pairs {
        let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else { return };
        let state = Arc::clone(state);
        std::thread::spawn(move || forward_bytes(from, to, &state, (epoch, is_response)));
    }
}

fn forward_bytes(
    mut from: TcpStream,
    mut to: TcpStream,
    state: &FaultState,
    direction: (u64, bool),
) {
    let (epoch, is_response) = direction;
    let _ = from.set_read_timeout(Some(POLL_INTERVAL));
    let mut buffer = [0; 16 * 1024];
    loop {
        if state.is_disconnected.load(Ordering::SeqCst) || state.is_stopped.load(Ordering::SeqCst) {
            break;
        }
        let is_blackholed = epoch < state.blackhole_below_epoch.load(Ordering::SeqCst);
        match from.read(&mut buffer) {
            Ok(0) => {
                if is_blackholed {
                    return;
                }
                break;
            }
            Ok(count) => {
                let delay_ms = state.delay_ms.load(Ordering::SeqCst);
                std::thread::sleep(Duration::from_millis(delay_ms));
                let is_dropped = is_response && state.is_dropping_responses.load(Ordering::SeqCst);
                if !is_blackholed && !is_dropped && to.write_all(&buffer[..count]).is_err() {
                    break;
                }
            }
            Err(error) if is_timeout(&error) => {}
            Err(_) => break,
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}

fn is_timeout(error: &std::io::Error) -> bool {
    matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut)
}
