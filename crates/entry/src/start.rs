//! Setting up and ending the process.

use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;

use eyre::WrapErr;
use hickorycourse_clock::TimerService;
use hickorycourse_jobs::JobCopy;
use hickorycourse_peer::{PeerHandler, PeerMesh, PeerMessage, PeerOptions};
use hickorycourse_settings::{LogFormat, LogLevel, ProcessSettings};
use hickorycourse_store::{Fleet, FleetClient, GatewayClient, KeyValue};
use hickorycourse_telemetry::{LogOptions, Meter, init_logging};
use ntex::http::{HttpServiceConfig, KeepAlive};
use ntex::time::{Seconds, sleep};
use ntex::web::{self, App, HttpServer};
use ntex::{SharedCfg, rt};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;

use crate::peers::EntryPeers;
use crate::state::{Entry, TaskChannels};
use crate::{caller, claims, drain, jobs, operator, platform_tasks, reports, spans, usage_tasks};

const POOL_TICK_MS: u64 = 50;
const KEEP_ALIVE_S: u16 = 30;
const OPERATOR_WORKERS: usize = 1;
/// Time for the last bytes to leave after the last request has ended.
const LAST_BYTES_WAIT: std::time::Duration = std::time::Duration::from_millis(300);
/// Time for connections to close; none of them has a request any more.
const SHUTDOWN_TIMEOUT_S: u16 = 1;

/// Runs the process until it has drained.
pub async fn run(settings: ProcessSettings) -> eyre::Result<()> {
    init_logging(log_options(&settings));
    let meter = Meter::install();
    let timer = TimerService::start().wrap_err("the timer thread can't be started")?;
    let (claim_sender, claim_queue) = mpsc::unbounded_channel();
    let (forward_sender, forward_queue) = mpsc::unbounded_channel();
    let channels = TaskChannels { claims: claim_sender, forwarded: forward_sender };
    let entry = Entry::new(settings, meter, channels);
    let (key_value, fleet) = connect_platform(&entry).await;
    let handovers = start_peers(&entry, &timer)?;

    let claim_ticks = timer.subscribe(claims::TICK_MS);
    let recording =
        claims::record_claims(entry.clone(), key_value.clone(), claim_queue, claim_ticks);
    rt::spawn(recording);
    rt::spawn(caller::run_forwarded_calls(entry.clone(), forward_queue));
    rt::spawn(jobs::keep_jobs(entry.clone(), handovers, timer.subscribe(jobs::TICK_MS)));
    start_tasks(&entry, &timer, &key_value, &fleet);

    let callers = start_callers(&entry)?;
    let operators = start_operators(&entry)?;
    log::info!(
        target: "entry",
        "{} in {} serves callers at {}.",
        entry.settings.instance,
        entry.settings.availability_zone,
        entry.settings.caller_address,
    );
    rt::spawn(follow_signals(entry.clone()));
    drain::wait_until_drained(&entry).await;
    usage_tasks::flush_own(&entry, key_value.as_ref()).await;
    if let Some(mesh) = entry.mesh() {
        mesh.broadcast(&PeerMessage::Goodbye);
    }
    sleep(LAST_BYTES_WAIT).await;
    callers.stop(true).await;
    operators.stop(true).await;
    log::info!(target: "entry", "{} has ended.", entry.settings.instance);
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

async fn connect_platform(entry: &Entry) -> (Rc<dyn KeyValue>, Rc<dyn Fleet>) {
    let addresses = &entry.settings.platform_addresses;
    let timeout_ms = entry.settings.timing.platform_timeout_ms;
    let key_value: Rc<dyn KeyValue> = Rc::new(GatewayClient::new(addresses, timeout_ms).await);
    let fleet: Rc<dyn Fleet> = Rc::new(FleetClient::new(addresses[0], timeout_ms).await);
    (key_value, fleet)
}

fn start_peers(
    entry: &Arc<Entry>,
    timer: &TimerService,
) -> eyre::Result<mpsc::UnboundedReceiver<JobCopy>> {
    let (sender, handovers) = mpsc::unbounded_channel();
    let handler: Arc<dyn PeerHandler> = EntryPeers::new(entry, sender);
    let options = PeerOptions {
        instance: entry.settings.instance.clone(),
        incarnation: entry.incarnation,
        address: entry.settings.peer_address,
        secret: entry.settings.peer_secret.reveal().to_owned(),
        heartbeat_ms: entry.settings.timing.heartbeat_ms,
        timeout_ms: entry.settings.timing.peer_timeout_ms,
    };
    let mesh = PeerMesh::start(options, handler, timer).wrap_err_with(|| {
        format!("the peer address {} can't be listened on", entry.settings.peer_address)
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
    rt::spawn(platform_tasks::follow_fleet(entry.clone(), fleet.clone(), list_ticks));
    let flush_ticks = timer.subscribe(timing.usage_flush_ms);
    rt::spawn(usage_tasks::flush_usage(entry.clone(), key_value.clone(), flush_ticks));
    rt::spawn(reports::read_reports(entry.clone(), timer.subscribe(timing.load_report_ms)));
    rt::spawn(spans::export_spans(entry.clone(), timer.subscribe(spans::EXPORT_MS)));
    let mut pool_ticks = timer.subscribe(POOL_TICK_MS);
    let pools = entry.clone();
    rt::spawn(async move {
        while pool_ticks.recv().await.is_some() {
            pools.tick_pools();
        }
    });
}

fn start_callers(entry: &Arc<Entry>) -> eyre::Result<ntex::server::Server> {
    let address = entry.settings.caller_address;
    let listener = TcpListener::bind(address)
        .wrap_err_with(|| format!("the callers' address {address} can't be listened on"))?;
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
    // The library's own graceful stop cuts streams, so signals are this process's business.
    .disable_signals()
    .shutdown_timeout(Seconds(SHUTDOWN_TIMEOUT_S))
    .listen(listener)?
    .run();
    Ok(server)
}

fn start_operators(entry: &Arc<Entry>) -> eyre::Result<ntex::server::Server> {
    let address = entry.settings.operator_address;
    let listener = TcpListener::bind(address)
        .wrap_err_with(|| format!("the operators' address {address} can't be listened on"))?;
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

/// Drains at the first signal.
async fn follow_signals(entry: Arc<Entry>) {
    let terminate = signal(SignalKind::terminate());
    let interrupt = signal(SignalKind::interrupt());
    let (Ok(mut terminate), Ok(mut interrupt)) = (terminate, interrupt) else {
        log::error!(target: "entry", "Signals can't be received.");
        return;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    drain::start_drain(&entry, "a signal asked for it");
}
