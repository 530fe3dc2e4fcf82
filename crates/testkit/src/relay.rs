//! A relay between two processes that can cut or silence connections.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

#[derive(Default)]
struct State {
    is_cut: AtomicBool,
    /// Connections of an epoch below this one carry nothing any more.
    silent_below: AtomicU64,
    epoch: AtomicU64,
    /// Whether what the target sends is swallowed.
    is_one_way: AtomicBool,
    delay_ms: AtomicU64,
    is_stopped: AtomicBool,
}

/// Passes connections on to a target. Dropping it takes no new ones.
pub struct Relay {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<State>,
}

const POLL: Duration = Duration::from_millis(20);

impl Relay {
    /// Starts a relay; with port 0 at a port that is free.
    ///
    /// # Panics
    /// If the address can't be listened on.
    pub fn start(address: SocketAddr, target: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).expect("the relay's address is free");
        let address = listener.local_addr().expect("a listener has an address");
        let state = Arc::new(State::default());
        let shared = Arc::clone(&state);
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                if shared.is_stopped.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                if shared.is_cut.load(Ordering::SeqCst) {
                    continue;
                }
                pass_on(stream, target, &shared);
            }
        });
        Self { address, state }
    }

    /// Closes all connections and refuses new ones, or lets them through again. The change holds
    /// when this returns.
    pub fn set_cut(&self, is_cut: bool) {
        self.state.is_cut.store(is_cut, Ordering::SeqCst);
        std::thread::sleep(3 * POLL);
    }

    /// Lets the connections that are open now carry nothing any more; new ones work.
    pub fn silence_open(&self) {
        let epoch = self.state.epoch.fetch_add(1, Ordering::SeqCst) + 1;
        self.state.silent_below.store(epoch, Ordering::SeqCst);
    }
}

impl Relay {
    /// Swallows all that the target sends, or lets it through again. Connections stay open.
    pub fn set_one_way(&self, is_one_way: bool) {
        self.state.is_one_way.store(is_one_way, Ordering::SeqCst);
    }

    /// Passes everything on later by this time.
    pub fn set_delay_ms(&self, delay_ms: u64) {
        self.state.delay_ms.store(delay_ms, Ordering::SeqCst);
    }

    /// Takes back all faults. Connections that were silenced stay silent.
    pub fn heal(&self) {
        self.set_one_way(false);
        self.set_delay_ms(0);
        self.state.is_cut.store(false, Ordering::SeqCst);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.state.is_stopped.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
    }
}

fn pass_on(caller: TcpStream, target: SocketAddr, state: &Arc<State>) {
    let Ok(called) = TcpStream::connect(target) else { return };
    let _ = caller.set_nodelay(true);
    let _ = called.set_nodelay(true);
    let epoch = state.epoch.load(Ordering::SeqCst);
    let pairs = [(&caller, &called, false), (&called, &caller, true)];
    for (from, to, is_answer) in pairs {
        let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else { return };
        let state = Arc::clone(state);
        std::thread::spawn(move || copy(from, to, &state, (epoch, is_answer)));
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream, state: &State, kind: (u64, bool)) {
    let (epoch, is_answer) = kind;
    let _ = from.set_read_timeout(Some(POLL));
    let mut buffer = [0; 16 * 1024];
    loop {
        if state.is_cut.load(Ordering::SeqCst) || state.is_stopped.load(Ordering::SeqCst) {
            break;
        }
        let is_silent = epoch < state.silent_below.load(Ordering::SeqCst);
        match from.read(&mut buffer) {
            Ok(0) => {
                if is_silent {
                    return;
                }
                break;
            }
            Ok(count) => {
                let delay_ms = state.delay_ms.load(Ordering::SeqCst);
                std::thread::sleep(Duration::from_millis(delay_ms));
                let is_swallowed = is_answer && state.is_one_way.load(Ordering::SeqCst);
                if !is_silent && !is_swallowed && to.write_all(&buffer[..count]).is_err() {
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
