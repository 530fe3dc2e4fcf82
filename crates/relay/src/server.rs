//! Setting up and ending the process.

use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use eyre::WrapErr;
use hickorycourse_store::KeyValue;
use hickorycourse_telemetry::{EventLog, Meter};
use ntex::http::{HttpServiceConfig, KeepAlive};
use ntex::server::Server;
use ntex::time::{Seconds, sleep};
use ntex::web::{self, App, HttpRequest, HttpResponse, HttpServer, types};
use ntex::{SharedCfg, rt};
use serde_json::json;
use tokio::signal::unix::{SignalKind, signal};

use crate::adapter::{DutyClient, Protocol};
use crate::broadcast::PeerBroadcast;
use crate::duty_tasks::DutyTasks;
use crate::node::Relay;
use crate::settings::RelaySettings;
use crate::{caller, drain, store_watch};

/// Time for which an idle connection of a caller is kept: longer than callers reuse one.
const KEEP_ALIVE: Seconds = Seconds(60);
/// Time for a request's head to arrive.
const HEAD_TIMEOUT: Seconds = Seconds(5);
const MAX_HEADERS: usize = 96;
/// Room for a request's head; the document's own limit is checked afterwards.
const MAX_HEAD_BYTES: usize = 65_536;
/// Time for connections to close; none has a request any more.
const SHUTDOWN_TIMEOUT: Seconds = Seconds(1);
/// Time for the last bytes to leave after the last request has ended.
const FLUSH_DELAY: Duration = Duration::from_millis(100);

/// What a platform's adapter brings.
pub struct PlatformAdapter {
    /// Translates messages.
    pub protocol: Arc<dyn Protocol>,
    /// The platform's key-value service.
    pub key_value: Rc<dyn KeyValue>,
    /// The duties' calls, where the platform asks for duties.
    pub duty_client: Option<Rc<dyn DutyClient>>,
}

/// Runs the process until it has drained.
///
/// # Errors
/// An address can't be listened on, or a thread can't be started.
pub async fn run(settings: RelaySettings, adapter: PlatformAdapter) -> eyre::Result<()> {
    let log = EventLog::start(settings.log.lines_per_second)
        .wrap_err("the log's thread can't be started")?;
    let relay = Relay::new(settings, adapter.protocol, log, Meter::install());
    let settings = &relay.settings;
    relay.log.write("started", || {
        json!({
            "instance": settings.instance, "availability_zone": settings.availability_zone,
            "boot": relay.boot, "version": env!("CARGO_PKG_VERSION"),
        })
    });
    let broadcast = PeerBroadcast::open(&relay)
        .await
        .wrap_err_with(|| format!("{} can't be listened on", settings.peer_address))?;
    rt::spawn(Arc::clone(&broadcast).listen());
    rt::spawn(broadcast.broadcast_digests());
    rt::spawn(store_watch::watch_store(Arc::clone(&relay), Rc::clone(&adapter.key_value)));
    rt::spawn(store_watch::maintain_membership(Arc::clone(&relay), Rc::clone(&adapter.key_value)));
    let duties = adapter
        .duty_client
        .map(|calls| DutyTasks::new(&relay, Rc::clone(&adapter.key_value), calls));
    if let Some(duties) = duties {
        rt::spawn(duties.run());
    }
    let caller_server = start_caller_server(&relay)?;
    let management_server = start_management_server(&relay)?;
    rt::spawn(handle_signals(Arc::clone(&relay)));
    drain::wait_until_drained(&relay).await;
    sleep(FLUSH_DELAY).await;
    caller_server.stop(true).await;
    management_server.stop(true).await;
    Ok(())
}

fn listen(address: SocketAddr) -> eyre::Result<TcpListener> {
    TcpListener::bind(address).wrap_err_with(|| format!("{address} can't be listened on"))
}

fn start_caller_server(relay: &Arc<Relay>) -> eyre::Result<Server> {
    let config = HttpServiceConfig::new()
        .set_keepalive(KeepAlive::Timeout(KEEP_ALIVE))
        .set_client_timeout(HEAD_TIMEOUT)
        .set_max_headers(MAX_HEADERS)
        .set_max_buf_size(MAX_HEAD_BYTES);
    let shared = Arc::clone(relay);
    let server = HttpServer::new(async move || {
        let relay = Arc::clone(&shared);
        App::new().default_service(web::route().to(
            move |request: HttpRequest, payload: types::Payload| {
                caller::handle_request(Arc::clone(&relay), request, payload)
            },
        ))
    })
    .workers(relay.settings.worker_threads)
    .config(SharedCfg::new("callers").add(config))
    // The library's own graceful stop cuts streams, so signals are this process's business.
    .disable_signals()
    .shutdown_timeout(SHUTDOWN_TIMEOUT)
    .listen(listen(relay.settings.caller_address)?)?
    .run();
    Ok(server)
}

fn start_management_server(relay: &Arc<Relay>) -> eyre::Result<Server> {
    let shared = Arc::clone(relay);
    let mut server = HttpServer::new(async move || {
        let relay = Arc::clone(&shared);
        App::new().default_service(web::route().to(move |request: HttpRequest| {
            let relay = Arc::clone(&relay);
            async move {
                match request.path() {
                    "/readyz" => caller::readiness_response(&relay),
                    "/metrics" => HttpResponse::Ok().body(relay.meter.render()),
                    _ => HttpResponse::NotFound().finish(),
                }
            }
        }))
    })
    .workers(1)
    .disable_signals()
    .shutdown_timeout(SHUTDOWN_TIMEOUT)
    .listen(listen(relay.settings.ready_address)?)?;
    if let Some(address) = relay.settings.metrics_address {
        server = server.listen(listen(address)?)?;
    }
    Ok(server.run())
}

/// Stops at the first signal that asks for it; a hang-up changes nothing, as each setting that can
/// change while the process runs comes from the store.
async fn handle_signals(relay: Arc<Relay>) {
    let kinds = [SignalKind::terminate(), SignalKind::interrupt(), SignalKind::hangup()];
    let [Ok(mut terminate), Ok(mut interrupt), Ok(mut hangup)] = kinds.map(signal) else {
        relay.log.write("signals_failed", || json!({}));
        return;
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
