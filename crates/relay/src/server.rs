//! Startup and shutdown of the process.

use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use eyre::WrapErr;
use hickorycourse_store::KeyValue;
use hickorycourse_telemetry::{EventLog, Meter};
use ntex::http::{HttpServiceConfig, KeepAlive};
use ntex::io::IoConfig;
use ntex::server::Server;
use ntex::time::Seconds;
use ntex::web::{self, App, HttpRequest, HttpServer, types};
use ntex::{SharedCfg, rt};
use serde_json::json;
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::adapter::{DutyClient, Protocol};
use crate::broadcast::PeerBroadcast;
use crate::duty_tasks::DutyTasks;
use crate::forwarding::probe_cut_links;
use crate::management::start_management_server;
use crate::origin_records::{
    maintain_origin_segments, maintain_version_record, open_origin_searches, serve_origin_searches,
};
use crate::quarantine_record::maintain_quarantine_record;
use crate::settings::RelaySettings;
use crate::state::Relay;
use crate::version_marks::{open_version_marks, serve_version_marks};
use crate::{caller, drain, store_watch, tunnels};

/// Idle timeout of callers' connections. Callers close idle connections earlier, so none sends a
/// request on a connection that this process is closing.
const KEEP_ALIVE: Seconds = Seconds(60);
/// Timeout for a request's head.
const HEAD_TIMEOUT: Seconds = Seconds(5);
const MAX_HEADERS: usize = 96;
/// Buffer for a request's head; the limit in the document is checked afterwards.
const MAX_HEAD_BYTES: usize = 65_536;
/// Read buffer of a caller's connection. What it holds is decoded at once, and a chunk of one byte takes several times
/// its length then.
const READ_BUFFER_BYTES: usize = 4_096;
/// Free bytes below which a read buffer grows.
const MIN_READ_BYTES: usize = 512;
const CACHED_READ_BUFFERS: usize = 128;
/// Time for the last lines of the event log.
const LOG_FLUSH_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for the last bytes of a response to a slow caller before its connection is closed.
const FLUSH_TIMEOUT: Seconds = Seconds(30);

/// A platform's implementations of the traits in [`adapter`](crate::adapter), and the client of its
/// store.
pub struct PlatformAdapter {
    /// Translates messages.
    pub protocol: Arc<dyn Protocol>,
    /// Client of the platform's key-value store.
    pub key_value: Rc<dyn KeyValue>,
    /// Client for the calls of the duties; absent if the platform requires no duties.
    pub duty_client: Option<Rc<dyn DutyClient>>,
}

/// Runs the process until it has drained.
///
/// # Errors
/// An address can't be bound, or a thread can't be started.
pub async fn run(settings: RelaySettings, adapter: PlatformAdapter) -> eyre::Result<()> {
    let log = EventLog::start(settings.log.lines_per_second)
        .wrap_err("cannot start the event log's thread")?;
    let relay = Relay::new(settings, adapter.protocol, log, Meter::install());
    // Installed before the listeners: without a handler, a signal ends the process at once.
    rt::spawn(handle_signals(Arc::clone(&relay), install_signals()));
    let settings = &relay.settings;
    relay.log.write("started", || {
        json!({
            "instance": settings.instance, "availability_zone": settings.availability_zone,
            "boot": relay.boot, "version": env!("CARGO_PKG_VERSION"),
        })
    });
    let broadcast = PeerBroadcast::open(&relay)
        .await
        .wrap_err_with(|| format!("cannot bind the peer address {}", settings.peer_address))?;
    rt::spawn(Arc::clone(&broadcast).listen());
    rt::spawn(Arc::clone(&broadcast).broadcast_digests());
    rt::spawn(Arc::clone(&broadcast).send_claims(broadcast.open_claims()));
    rt::spawn(Arc::clone(&broadcast).send_cap_messages(broadcast.open_cap_messages()));
    rt::spawn(Arc::clone(&broadcast).send_origin_queries(broadcast.open_origin_queries()));
    match tokio::net::TcpListener::bind(settings.peer_address).await {
        Ok(listener) => drop(rt::spawn(tunnels::serve(Arc::clone(&relay), listener))),
        // Callers are served without tunnels for other instances.
        Err(error) => {
            let reason = error.to_string();
            relay.log.write("tunnels_unavailable", || json!({ "reason": reason }));
        }
    }
    rt::spawn(probe_cut_links(Arc::clone(&relay)));
    rt::spawn(store_watch::watch_store(
        Arc::clone(&relay),
        Rc::clone(&adapter.key_value),
        broadcast,
    ));
    rt::spawn(store_watch::maintain_membership(Arc::clone(&relay), Rc::clone(&adapter.key_value)));
    rt::spawn(maintain_quarantine_record(Arc::clone(&relay), Rc::clone(&adapter.key_value)));
    rt::spawn(maintain_version_record(Arc::clone(&relay), Rc::clone(&adapter.key_value)));
    rt::spawn(maintain_origin_segments(Arc::clone(&relay), Rc::clone(&adapter.key_value)));
    let marks = open_version_marks(&relay);
    rt::spawn(serve_version_marks(Arc::clone(&relay), Rc::clone(&adapter.key_value), marks));
    let searches = open_origin_searches(&relay);
    rt::spawn(serve_origin_searches(Arc::clone(&relay), Rc::clone(&adapter.key_value), searches));
    let duties = adapter
        .duty_client
        .map(|client| DutyTasks::new(&relay, Rc::clone(&adapter.key_value), client));
    if let Some(duties) = duties {
        rt::spawn(duties.run());
    }
    let _caller_server = start_caller_server(&relay)?;
    let _management_server = start_management_server(&relay)?;
    drain::wait_until_drained(&relay).await;
    // The servers are not stopped: until the process ends, they reject what arrives. ntex would close one
    // connection after another without reading from them.
    relay.log.flush(LOG_FLUSH_TIMEOUT);
    Ok(())
}

/// Returns the configuration of the connections to a listener of this process.
pub fn connection_config() -> IoConfig {
    IoConfig::new().set_disconnect_timeout(FLUSH_TIMEOUT).set_read_buf(
        READ_BUFFER_BYTES,
        MIN_READ_BYTES,
        CACHED_READ_BUFFERS,
    )
}

/// Returns the maximum number of connections of each thread. ntex has one limit for the threads of all servers.
pub fn connections_per_thread(settings: &RelaySettings) -> usize {
    settings.machine.connections_per_thread(settings.worker_threads)
}

/// Returns the configuration of a listener's HTTP messages.
pub fn http_config() -> HttpServiceConfig {
    HttpServiceConfig::new()
        .set_keepalive(KeepAlive::Timeout(KEEP_ALIVE))
        .set_client_timeout(HEAD_TIMEOUT)
        .set_max_headers(MAX_HEADERS)
        .set_max_buf_size(MAX_HEAD_BYTES)
}

/// Binds the listener of a server.
///
/// # Errors
/// The address can't be bound.
pub fn listen(address: SocketAddr) -> eyre::Result<TcpListener> {
    TcpListener::bind(address).wrap_err_with(|| format!("cannot listen on {address}"))
}

fn start_caller_server(relay: &Arc<Relay>) -> eyre::Result<Server> {
    let settings = &relay.settings;
    let shared = Arc::clone(relay);
    let server = HttpServer::new(async move || {
        let relay = Arc::clone(&shared);
        rt::spawn(drain::poll_after_drain(Arc::clone(&relay)));
        App::new().default_service(web::route().to(
            move |request: HttpRequest, payload: types::Payload| {
                caller::handle_request(Arc::clone(&relay), request, payload)
            },
        ))
    })
    .workers(settings.worker_threads)
    .maxconn(connections_per_thread(settings))
    .config(SharedCfg::new("callers").add(http_config()).add(connection_config()))
    // ntex's own graceful stop interrupts streams, so this process handles signals itself.
    .disable_signals()
    .listen(listen(settings.caller_address)?)?
    .run();
    Ok(server)
}

fn install_signals() -> std::io::Result<[Signal; 3]> {
    Ok([
        signal(SignalKind::terminate())?,
        signal(SignalKind::interrupt())?,
        signal(SignalKind::hangup())?,
    ])
}

/// Starts the shutdown at the first SIGTERM or SIGINT. SIGHUP changes nothing: all settings that
/// can change while the process runs come from the store.
async fn handle_signals(relay: Arc<Relay>, signals: std::io::Result<[Signal; 3]>) {
    let [mut terminate, mut interrupt, mut hangup] = match signals {
        Ok(signals) => signals,
        Err(error) => {
            let reason = error.to_string();
            relay.log.write("signals_failed", || json!({ "reason": reason }));
            return;
        }
    };
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => relay.log.write("reloaded", || json!({ "changed": false })),
        }
    }
    relay.drain.start(relay.now_ms());
}
