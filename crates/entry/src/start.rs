//! Start-up and shutdown of the process: servers, peer mesh and background tasks.

use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;

use eyre::WrapErr;
use hickorycourse_clock::{TimerService, sleep};
use hickorycourse_peer::{PeerHandler, PeerMesh, PeerMessage, PeerOptions};
use hickorycourse_settings::{LogFormat, LogLevel, ProcessSettings};
use hickorycourse_store::{Fleet, FleetClient, GatewayClient, KeyValue};
use hickorycourse_telemetry::{LogOptions, Meter, init_logging};
use ntex::http::{HttpServiceConfig, KeepAlive};
use ntex::time::Seconds;
use ntex::web::{self, App, HttpServer};
use ntex::{SharedCfg, rt};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::mpsc;

use crate::peers::{EntryPeerHandler, JobHandover};
use crate::state::{Entry, TaskChannels};
use crate::{caller, claims, drain, jobs, operator, platform_tasks, reports, spans, usage_tasks};

/// Interval at which pools update their shares, expire and dispatch waiting requests.
const POOL_TICK_INTERVAL_MS: u64 = 50;
/// Time after which an idle connection of a caller is closed.
const KEEP_ALIVE_S: u16 = 30;
const OPERATOR_WORKERS: usize = 1;
/// Time after the drain in which requests on connections that are still open are refused. Callers
/// that have not used a connection by then close it themselves or find it closed.
const IDLE_CONNECTION_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(5_000);
/// Delay after the last request has completed, so that buffered response bytes are sent before the
/// servers stop.
const RESPONSE_FLUSH_DELAY: std::time::Duration = std::time::Duration::from_millis(300);
/// Timeout for closing connections; all of them are idle by then.
const SHUTDOWN_TIMEOUT_S: u16 = 1;

/// Runs the process until it has drained.
///
/// # Errors
/// The timer thread can't be started, or an address can't be bound.
pub async fn run(settings: ProcessSettings) -> eyre::Result<()> {
    init_logging(log_options(&settings));
    // Before anything listens, so that a signal during the start can't end the process under a
    // request or a peer's message.
    let signals = Signals::install().wrap_err("failed to install signal handlers")?;
    let meter = Meter::install();
    let timer = TimerService::start().wrap_err("failed to start the timer thread")?;
    let (claim_sender, claim_commands) = mpsc::unbounded_channel();
    let (forward_sender, forwarded_calls) = mpsc::unbounded_channel();
    let channels = TaskChannels { claim_commands: claim_sender, forwarded_calls: forward_sender };
    let entry = Entry::new(settings, meter, channels);
    let (key_value, fleet) = create_platform_clients(&entry).await;
    let handovers = start_peer_mesh(&entry, &timer)?;

    let claim_ticks = timer.subscribe(claims::TICK_INTERVAL_MS);
    let claim_task =
        claims::run_claim_task(entry.clone(), key_value.clone(), claim_commands, claim_ticks);
    rt::spawn(claim_task);
    rt::spawn(caller::run_forwarded_calls(entry.clone(), forwarded_calls));
    rt::spawn(jobs::run_job_task(
        entry.clone(),
        handovers,
        timer.subscribe(jobs::TICK_INTERVAL_MS),
    ));
    start_tasks(&entry, &timer, &key_value, &fleet);

    let caller_server = start_caller_server(&entry)?;
    let operator_server = start_operator_server(&entry)?;
    log::info!(
        target: "entry",
        "Instance {} in availability zone {} is listening for callers on {}.",
        entry.settings.instance,
        entry.settings.availability_zone,
        entry.settings.caller_address,
    );
    rt::spawn(drain_on_signal(entry.clone(), signals));
    drain::wait_until_drained(&entry).await;
    usage_tasks::send_copy(&entry);
    usage_tasks::flush_own(&entry, key_value.as_ref()).await;
    if let Some(mesh) = entry.mesh() {
        mesh.broadcast(&PeerMessage::Goodbye);
    }
    caller::wait_until_closed(&entry, IDLE_CONNECTION_TIMEOUT).await;
    sleep(RESPONSE_FLUSH_DELAY).await;
    caller_server.stop(true).await;
    operator_server.stop(true).await;
    log::info!(target: "entry", "Instance {} has stopped.", entry.settings.instance);
    Ok(())
}

fn log_options(settings: &ProcessSettings) -> LogOptions {
    let level = match settings.log.level {
        LogLevel::Error => log::LevelFilter::Error,
        LogLevel::Warn => log::LevelFilter::Warn,
        LogLevel::Info => log::LevelFilter::Info,
        LogLevel::Debug => log::LevelFilter::Debug,
    };
    LogOptions { level, is_json: settings.log.form == LogFormat::Json }
}

async fn create_platform_clients(entry: &Entry) -> (Rc<dyn KeyValue>, Rc<dyn Fleet>) {
    let addresses = &entry.settings.platform_addresses;
    let timeout_ms = entry.settings.timing.platform_timeout_ms;
    let key_value: Rc<dyn KeyValue> = Rc::new(GatewayClient::new(addresses, timeout_ms).await);
    let fleet: Rc<dyn Fleet> = Rc::new(FleetClient::new(addresses[0], timeout_ms).await);
    (key_value, fleet)
}

fn start_peer_mesh(
    entry: &Arc<Entry>,
    timer: &TimerService,
) -> eyre::Result<mpsc::UnboundedReceiver<JobHandover>> {
    let (sender, handovers) = mpsc::unbounded_channel();
    let handler: Arc<dyn PeerHandler> = EntryPeerHandler::new(entry, sender);
    let options = PeerOptions {
        instance: entry.settings.instance.clone(),
        incarnation: entry.incarnation,
        address: entry.settings.peer_address,
        secret: entry.settings.peer_secret.reveal().to_owned(),
        heartbeat_ms: entry.settings.timing.heartbeat_ms,
        timeout_ms: entry.settings.timing.peer_timeout_ms,
    };
    let mesh = PeerMesh::start(options, handler, timer).wrap_err_with(|| {
        format!("failed to listen on the peer address {}", entry.settings.peer_address)
    })?;
    entry.set_mesh(Arc::clone(&mesh));
    mesh.add_peers(&entry.settings.peer_addresses);
    Ok(handovers)
}

fn start_tasks(
    entry: &Arc<Entry>,
    timer: &TimerService,
    key_value: &Rc<dyn KeyValue>,
    fleet: &Rc<dyn Fleet>,
) {
    let timing = &entry.settings.timing;
    rt::spawn(platform_tasks::watch_settings(entry.clone(), key_value.clone()));
    let list_ticks = timer.subscribe(timing.instance_list_ms);
    rt::spawn(platform_tasks::poll_fleet(entry.clone(), fleet.clone(), list_ticks));
    let flush_ticks = timer.subscribe(timing.usage_flush_ms);
    rt::spawn(usage_tasks::flush_usage(entry.clone(), key_value.clone(), flush_ticks));
    rt::spawn(reports::poll_reports(entry.clone(), timer.subscribe(timing.load_report_ms)));
    rt::spawn(spans::export_spans(entry.clone(), timer.subscribe(spans::EXPORT_INTERVAL_MS)));
    let mut pool_ticks = timer.subscribe(POOL_TICK_INTERVAL_MS);
    let pool_entry = entry.clone();
    rt::spawn(async move {
        while pool_ticks.recv().await.is_some() {
            pool_entry.tick_pools();
        }
    });
}

fn start_caller_server(entry: &Arc<Entry>) -> eyre::Result<ntex::server::Server> {
    let address = entry.settings.caller_address;
    let listener = TcpListener::bind(address)
        .wrap_err_with(|| format!("failed to listen on the caller address {address}"))?;
    let limits = &entry.settings.limits;
    let config = HttpServiceConfig::new()
        .set_keepalive(KeepAlive::Timeout(Seconds(KEEP_ALIVE_S)))
        .set_client_timeout(Seconds(limits.header_timeout_s))
        .set_max_headers(limits.header_count)
        .set_max_buf_size(limits.header_bytes.max(4_096) * 2);
    let shared = Arc::clone(entry);
    let server = HttpServer::new(async move || {
        App::new()
            .state(Arc::clone(&shared))
            .default_service(web::route().to(caller::handle_request))
    })
    .workers(entry.settings.worker_threads)
    .maxconn(limits.connections)
    .config(SharedCfg::new("callers").add(config))
    // The HTTP library's own graceful stop aborts streams, so this process handles signals itself.
    .disable_signals()
    .shutdown_timeout(Seconds(SHUTDOWN_TIMEOUT_S))
    .listen(listener)?
    .run();
    Ok(server)
}

fn start_operator_server(entry: &Arc<Entry>) -> eyre::Result<ntex::server::Server> {
    let address = entry.settings.operator_address;
    let listener = TcpListener::bind(address)
        .wrap_err_with(|| format!("failed to listen on the operator address {address}"))?;
    let shared = Arc::clone(entry);
    let server = HttpServer::new(async move || {
        App::new()
            .state(Arc::clone(&shared))
            .default_service(web::route().to(operator::handle_request))
    })
    .workers(OPERATOR_WORKERS)
    .disable_signals()
    .shutdown_timeout(Seconds(SHUTDOWN_TIMEOUT_S))
    .listen(listener)?
    .run();
    Ok(server)
}

/// The handled signals. Once installed, a handler replaces the default action for as long as the
/// process runs, so that repeated signals don't interrupt a drain.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    fn install() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }
}

/// Starts the drain at the first SIGTERM or SIGINT. SIGHUP changes nothing: settings that can change
/// while the process runs come from the platform.
async fn drain_on_signal(entry: Arc<Entry>, mut signals: Signals) {
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => break,
            _ = signals.interrupt.recv() => break,
            _ = signals.hangup.recv() => log::info!(target: "entry", "Ignored SIGHUP."),
        }
    }
    drain::start_drain(&entry, "received SIGTERM or SIGINT");
}
