//! Connections to upstreams that this instance carries for others, which can't reach them.

use std::cell::Cell;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::{Either, select};
use hickorycourse_clock::{sleep, timeout};
use hickorycourse_connections::ConnectionPool;
use hickorycourse_reach::{DialPlan, LinkScope, UpstreamView};
use hickorycourse_routes::{UpstreamEntry, UpstreamPhase};
use hickorycourse_tunnel::{
    OpenRequest, RefusalReason, TunnelActivity, TunnelEnd, accept, carry, refuse,
};
use ntex::rt;
use serde_json::json;
use tokio::net::{TcpListener, TcpStream};

use crate::forwarding::{DialTarget, spawn_probe};
use crate::in_flight::InFlightGuard;
use crate::state::Relay;

/// Timeout for the connection to the upstream. The sender has waited for its own dial before.
const DIAL_TIMEOUT: Duration = Duration::from_millis(250);
/// Tunnels that this instance carries at a time.
const MAX_TUNNELS: usize = 512;
/// Connections of other instances from which new ones are closed without a reply.
const MAX_CONNECTIONS: usize = 2 * MAX_TUNNELS;
/// Time without bytes after which a tunnel is closed. The sender closes it when its call ends.
const IDLE_TIMEOUT: Duration = Duration::from_secs(300);
/// Time without bytes after which a tunnel whose upstream owes no response does not hold up a shutdown:
/// longer than an upstream pauses within a response, and than a sender keeps an idle tunnel.
const QUIET_MS: u64 = 4_000;
/// Interval at which the activity of a tunnel is observed.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(100);
/// Pause after a connection could not be accepted, for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Counts a connection until dropped.
struct ConnectionSlot {
    connections: Rc<Cell<usize>>,
}

impl ConnectionSlot {
    fn new(connections: &Rc<Cell<usize>>) -> Self {
        connections.set(connections.get() + 1);
        Self { connections: Rc::clone(connections) }
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.connections.set(self.connections.get().saturating_sub(1));
    }
}

/// Accepts tunnels until the process ends.
pub async fn serve(relay: Arc<Relay>, listener: TcpListener) {
    let connections = Rc::new(Cell::new(0));
    loop {
        let Ok((stream, peer_address)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let count = connections.get();
        if count >= MAX_CONNECTIONS {
            log_refusal(&relay, RefusalReason::Busy, peer_address, None, "closed without a reply");
            continue;
        }
        let slot = ConnectionSlot::new(&connections);
        let relay = Arc::clone(&relay);
        drop(rt::spawn(async move {
            let _slot = slot;
            let is_busy = count >= MAX_TUNNELS;
            handle_connection(&relay, stream, peer_address, is_busy).await;
        }));
    }
}

async fn handle_connection(
    relay: &Arc<Relay>,
    mut stream: TcpStream,
    peer_address: SocketAddr,
    is_busy: bool,
) {
    let is_set = stream.set_nodelay(true);
    let accepted = match is_set {
        Ok(()) => accept(&mut stream).await,
        Err(error) => Err(error.to_string()),
    };
    let request = match accepted {
        Ok(request) => request,
        Err(detail) => {
            log_refusal(relay, RefusalReason::Malformed, peer_address, None, &detail);
            return refuse(stream, RefusalReason::Malformed).await;
        }
    };
    let started_at_ms = relay.now_ms();
    let dialled = match is_busy {
        true => Err(RefusalReason::Busy),
        false => dial(relay, &request).await,
    };
    match dialled {
        Ok(upstream) => {
            let took_ms = relay.now_ms().saturating_sub(started_at_ms);
            carry_logged(relay, &request, stream, upstream, took_ms).await;
        }
        Err(reason) => {
            log_refusal(relay, reason, peer_address, Some(&request), "");
            refuse(stream, reason).await;
        }
    }
}

fn log_refusal(
    relay: &Relay,
    reason: RefusalReason,
    peer_address: SocketAddr,
    request: Option<&OpenRequest>,
    detail: &str,
) {
    let name = reason.as_str();
    metrics::counter!("hickorycourse_tunnels_total", "outcome" => name).increment(1);
    relay.log.write("tunnel_refused", || {
        json!({
            "reason": name, "detail": detail, "address": peer_address.to_string(),
            "upstream": request.map(|request| &request.upstream),
            "peer": request.map(|request| &request.sender),
        })
    });
}

/// A connection to an upstream that this instance opened for another.
struct CarriedConnection {
    stream: TcpStream,
    target: DialTarget,
    dialled_at_ms: u64,
}

/// Dials the upstream of a request, directly.
async fn dial(
    relay: &Arc<Relay>,
    request: &OpenRequest,
) -> Result<CarriedConnection, RefusalReason> {
    if relay.drain.is_stopping() {
        return Err(RefusalReason::Stopping);
    }
    let entry = relay.directory.lock().get(&request.upstream).cloned();
    let entry = entry.ok_or(RefusalReason::UnknownUpstream)?;
    if entry.phase == UpstreamPhase::Leaving && !request.is_for_reports {
        return Err(RefusalReason::Leaving);
    }
    check_own_links(relay, &entry)?;
    let limit = DIAL_TIMEOUT.min(Duration::from_millis(request.remaining_ms));
    let dialled_at_ms = relay.now_ms();
    let dialled = timeout(limit, TcpStream::connect(entry.address)).await;
    let now_ms = relay.now_ms();
    match dialled {
        Ok(Ok(stream)) if stream.set_nodelay(true).is_ok() => {
            let settle_ms = {
                let links = &mut relay.reach.lock().links;
                links.record_dial_success(&view(&entry), now_ms);
                links.settle_ms(&view(&entry))
            };
            if settle_ms > 0 && ends_within(&stream, settle_ms).await {
                relay
                    .update_links(|links, now_ms| links.record_dial_failure(&view(&entry), now_ms));
                return Err(RefusalReason::PathCut);
            }
            Ok(CarriedConnection { stream, target: DialTarget::from(&entry), dialled_at_ms })
        }
        _ => {
            if relay.reach.lock().links.is_sound(&view(&entry), now_ms) {
                return Err(RefusalReason::Unreachable);
            }
            relay.update_links(|links, _| links.record_dial_failure(&view(&entry), now_ms));
            Err(RefusalReason::PathCut)
        }
    }
}

/// Returns whether a connection over which nothing was sent ends within some time.
async fn ends_within(stream: &TcpStream, limit_ms: u64) -> bool {
    let first = timeout(Duration::from_millis(limit_ms), stream.peek(&mut [0])).await;
    matches!(first, Ok(Ok(0) | Err(_)))
}

/// Refuses what the own links do not reach. The request of another instance is no probe: it may run once.
fn check_own_links(relay: &Arc<Relay>, entry: &UpstreamEntry) -> Result<(), RefusalReason> {
    let now_ms = relay.now_ms();
    let (plan, cut) = {
        let links = &mut relay.reach.lock().links;
        let plan = links.plan(&view(entry), true, false, &mut rand::rng(), now_ms);
        (plan, links.find_cut(&view(entry)))
    };
    let DialPlan::PeerFirst { is_probe_due, may_dial_directly } = plan else { return Ok(()) };
    if is_probe_due && may_dial_directly {
        return Ok(());
    }
    if is_probe_due {
        spawn_probe(relay, &ConnectionPool::default(), &DialTarget::from(entry));
    }
    match cut {
        Some(LinkScope::All) => Err(RefusalReason::LinksCut),
        _ => Err(RefusalReason::PathCut),
    }
}

fn view(entry: &UpstreamEntry) -> UpstreamView<'_> {
    UpstreamView {
        id: &entry.id,
        service: &entry.service,
        availability_zone: &entry.availability_zone,
    }
}

async fn carry_logged(
    relay: &Arc<Relay>,
    request: &OpenRequest,
    sender: TcpStream,
    upstream: CarriedConnection,
    dial_ms: u64,
) {
    let CarriedConnection { stream: upstream, target, dialled_at_ms } = upstream;
    metrics::counter!("hickorycourse_tunnels_total", "outcome" => "opened").increment(1);
    relay.log.write(
        "tunnel_opened",
        || json!({ "upstream": request.upstream, "peer": request.sender, "took_ms": dial_ms }),
    );
    let opened_at_ms = relay.now_ms();
    let activity = TunnelActivity::default();
    let carried = pin!(carry(sender, upstream, IDLE_TIMEOUT, &activity));
    let has_responded = Cell::new(false);
    let on_first_bytes = || {
        if !has_responded.replace(true) {
            relay.record_link_response(&target.view(), dialled_at_ms);
        }
    };
    let held = pin!(hold_up_shutdown(relay, &activity, &on_first_bytes));
    let end = match select(carried, held).await {
        Either::Left((end, _)) => Some(end),
        Either::Right(((), _)) => None,
    };
    let carried = activity.carried();
    if carried.from_upstream_bytes > 0 {
        on_first_bytes();
    } else if matches!(end, Some(TunnelEnd::UpstreamEnded | TunnelEnd::UpstreamFailed)) {
        relay.update_links(|links, now_ms| {
            links.record_break(&target.view(), dialled_at_ms, now_ms)
        });
    }
    let end = end.map_or("stopped", TunnelEnd::as_str);
    relay.log.write("tunnel_closed", || {
        json!({
            "upstream": request.upstream, "peer": request.sender, "end": end,
            "open_ms": relay.now_ms().saturating_sub(opened_at_ms),
            "to_upstream_bytes": carried.to_upstream_bytes,
            "from_upstream_bytes": carried.from_upstream_bytes,
        })
    });
}

/// Holds up a shutdown while a tunnel carries something. Returns when it is used after the shutdown has
/// closed the process for requests. Calls `on_first_bytes` when the upstream has begun to respond.
async fn hold_up_shutdown(
    relay: &Arc<Relay>,
    activity: &TunnelActivity,
    on_first_bytes: impl Fn(),
) {
    let mut in_flight = InFlightGuard::try_new(relay);
    let mut carried = activity.carried();
    let mut carried_at_ms = relay.now_ms();
    loop {
        sleep(OBSERVATION_INTERVAL).await;
        let now_ms = relay.now_ms();
        if activity.carried() != carried {
            if carried.from_upstream_bytes == 0 && activity.carried().from_upstream_bytes > 0 {
                on_first_bytes();
            }
            carried = activity.carried();
            carried_at_ms = now_ms;
        }
        let is_quiet = now_ms.saturating_sub(carried_at_ms) >= QUIET_MS;
        if is_quiet && !activity.is_awaiting_response() {
            in_flight = None;
        } else if in_flight.is_none() {
            in_flight = InFlightGuard::try_new(relay);
            if in_flight.is_none() {
                return;
            }
        }
    }
}
