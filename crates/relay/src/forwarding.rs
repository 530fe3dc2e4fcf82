//! Connections to upstreams: directly, or carried by another instance while this one can't reach them.

use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::{Either, select};
use hickorycourse_clock::sleep;
use hickorycourse_connections::{
    Carrier, ConnectionPool, DIAL_TIMEOUT, ExchangeError, UpstreamConnection,
};
use hickorycourse_placement::{AttemptOutcome, Placement};
use hickorycourse_reach::{
    DialPlan, HOLD_MS, LinkChange, LinkTable, PeerFault, PeerTable, SETTLE_MS, UpstreamView,
};
use hickorycourse_routes::{UpstreamEntry, UpstreamPhase};
use hickorycourse_tunnel::{OpenError, OpenRequest, PROTOCOL_VERSION, RefusalReason, TunnelHealth};
use ntex::rt;
use serde_json::json;

use crate::call::Call;
use crate::state::Relay;
use crate::upstream_reports::{OtherAnswer, ask};

/// Time after which a second peer is asked.
const SECOND_PEER_DELAY: Duration = Duration::from_millis(100);
/// Time for a peer to connect to the upstream and reply.
const TUNNEL_TIMEOUT: Duration = DIAL_TIMEOUT.saturating_add(Duration::from_millis(50));

/// What is known of this instance's links to upstreams, and of peers that carry connections.
#[derive(Debug, Default)]
pub struct ReachState {
    /// This instance's own links.
    pub links: LinkTable,
    /// Peers that did not carry a connection lately.
    pub peers: PeerTable,
}

/// An upstream to connect to.
#[derive(Clone, Debug)]
pub struct DialTarget {
    upstream: String,
    address: SocketAddr,
    service: String,
    availability_zone: String,
    /// Whether the upstream is only asked for its report: it may have announced its departure.
    is_for_reports: bool,
}

impl From<&UpstreamEntry> for DialTarget {
    fn from(entry: &UpstreamEntry) -> Self {
        Self {
            upstream: entry.id.clone(),
            address: entry.address,
            service: entry.service.clone(),
            availability_zone: entry.availability_zone.clone(),
            is_for_reports: false,
        }
    }
}

impl DialTarget {
    /// Id of the upstream.
    pub fn upstream(&self) -> &str {
        &self.upstream
    }

    /// Address of the upstream.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the target of connections on which the upstream is only asked for its report.
    pub fn for_reports(&self) -> Self {
        Self { is_for_reports: true, ..self.clone() }
    }

    /// The upstream, as far as its links depend on it.
    pub fn view(&self) -> UpstreamView<'_> {
        UpstreamView {
            id: &self.upstream,
            service: &self.service,
            availability_zone: &self.availability_zone,
        }
    }
}

/// Why there is no connection to an upstream; nothing was sent.
#[derive(Clone, Debug, thiserror::Error)]
pub enum DialError {
    /// The upstream can't be reached, as far as can be told.
    #[error("the upstream is not reached: {0}")]
    Upstream(String),
    /// This instance's links are cut, and no peer carries the connection.
    #[error("no way to the upstream: {0}")]
    Links(String),
}

impl DialError {
    /// The outcome of the attempt for the health of the upstream.
    pub fn outcome(&self) -> AttemptOutcome {
        match self {
            Self::Upstream(_) => AttemptOutcome::Unresponsive,
            Self::Links(_) => AttemptOutcome::Cancelled,
        }
    }
}

/// The peer that carries a connection.
#[derive(Debug)]
struct PeerCarrier {
    name: String,
    health: TunnelHealth,
}

impl Carrier for PeerCarrier {
    fn name(&self) -> &str {
        &self.name
    }

    fn is_broken(&self) -> bool {
        self.health.is_broken()
    }
}

/// Why no peer carries a connection.
#[derive(Debug)]
pub(crate) struct TunnelFailure {
    /// Whether a peer says that the upstream can't be reached.
    is_upstream_unreachable: bool,
    detail: String,
}

impl TunnelFailure {
    fn merge(self, other: Self) -> Self {
        Self {
            is_upstream_unreachable: self.is_upstream_unreachable || other.is_upstream_unreachable,
            detail: format!("{}; {}", self.detail, other.detail),
        }
    }
}

impl Call {
    /// Returns what is needed to connect to the upstream of a placement.
    pub fn dial_target(&self, placement: &Placement) -> DialTarget {
        let directory = self.relay.directory.lock();
        let entry = directory.get(&placement.upstream);
        DialTarget {
            upstream: placement.upstream.clone(),
            address: placement.address,
            service: self.service.clone(),
            availability_zone: entry
                .map(|entry| entry.availability_zone.clone())
                .unwrap_or_default(),
            is_for_reports: false,
        }
    }

    /// Returns an idle connection to an upstream, or opens one: directly or through a peer.
    ///
    /// # Errors
    /// There is no connection; nothing was sent.
    pub async fn connect(
        &self,
        target: &DialTarget,
        max_idle_ms: u64,
    ) -> Result<UpstreamConnection, DialError> {
        let relay = &self.relay;
        let now_ms = relay.now_ms();
        let may_repeat = self.route.repeat.allows_reexecution();
        let has_peers = relay.members.lock().tunnel_candidates(now_ms).next().is_some();
        let plan = {
            let links = &mut relay.reach.lock().links;
            // A silent connection costs an idempotent request only a short response timeout.
            let must_be_proven = self.route.repeat.is_stream() || !may_repeat;
            // What has broken one connection of a call may be about to break others.
            let is_usable = !has_peers
                || (!self.has_broken.get()
                    && (!must_be_proven || links.is_proven(&target.view(), now_ms)));
            let since_ms = links.usable_idle_since_ms(&target.view()).filter(|_| is_usable);
            if let Some(since_ms) = since_ms {
                let since_ms = since_ms.max(now_ms.saturating_sub(max_idle_ms.saturating_sub(1)));
                let (upstream, address) = (target.upstream.clone(), target.address);
                let idle = self.connections.take_idle(upstream, address, since_ms, now_ms);
                if let Some(idle) = idle {
                    return Ok(idle);
                }
            }
            links.plan(&target.view(), has_peers, may_repeat, &mut rand::rng(), now_ms)
        };
        match plan {
            DialPlan::Direct => {
                let error = match self.dial_directly(target).await {
                    Ok(connection) => return Ok(connection),
                    Err(error) => error.to_string(),
                };
                // Without peers to compare with, the upstream is held to be the cause.
                Err(DialError::Upstream(error))
            }
            DialPlan::DirectThenPeer { delay_ms } | DialPlan::Trial { delay_ms } => {
                self.dial_with_peers(target, Duration::from_millis(delay_ms)).await
            }
            DialPlan::PeerFirst { is_probe_due, may_dial_directly } => {
                if is_probe_due {
                    spawn_probe(&self.relay, &self.connections, target);
                }
                let failure = match self.open_tunnel(target).await {
                    Ok(connection) => return Ok(connection),
                    Err(failure) => failure,
                };
                if !failure.is_upstream_unreachable && may_dial_directly {
                    return self
                        .dial_settled(target)
                        .await
                        .map_err(|error| DialError::Links(format!("{error}; {}", failure.detail)));
                }
                Err(self.classify_failure(target, failure))
            }
        }
    }

    async fn dial_with_peers(
        &self,
        target: &DialTarget,
        delay: Duration,
    ) -> Result<UpstreamConnection, DialError> {
        let relay = &self.relay;
        let direct = self.dial_settled(target);
        let tunnel = self.open_tunnel(target);
        match first_success(direct, delay, tunnel).await {
            Ok(connection) => {
                if connection.carrier().is_some() {
                    relay.record_dial_failure(target);
                }
                Ok(connection)
            }
            Err((error, failure)) => {
                if !failure.is_upstream_unreachable {
                    relay.record_dial_failure(target);
                }
                let detail = format!("{error}; {}", failure.detail);
                Err(self.classify_failure(target, TunnelFailure { detail, ..failure }))
            }
        }
    }

    fn classify_failure(&self, target: &DialTarget, failure: TunnelFailure) -> DialError {
        let relay = &self.relay;
        if failure.is_upstream_unreachable {
            relay.update_links(|links, now_ms| links.record_unreachable(&target.view(), now_ms));
            return DialError::Upstream(failure.detail);
        }
        match relay.reach.lock().links.find_cut(&target.view()) {
            Some(_) => DialError::Links(failure.detail),
            None => DialError::Upstream(failure.detail),
        }
    }

    async fn dial_directly(
        &self,
        target: &DialTarget,
    ) -> Result<UpstreamConnection, ExchangeError> {
        let relay = &self.relay;
        let (upstream, address) = (target.upstream.clone(), target.address);
        let connection = self.connections.open(upstream, address, relay.now_ms()).await?;
        relay.record_dial_success(target);
        Ok(connection)
    }

    /// As [`dial_directly`](Self::dial_directly). While links are doubtful, or if a connection of this call has broken,
    /// waits to see whether the new one is reset, which counts as a failed dial.
    async fn dial_settled(&self, target: &DialTarget) -> Result<UpstreamConnection, ExchangeError> {
        let connection = self.dial_directly(target).await?;
        let settle_ms = match self.has_broken.get() {
            true => SETTLE_MS,
            false => self.relay.reach.lock().links.settle_ms(&target.view()),
        };
        if settle_ms == 0 {
            return Ok(connection);
        }
        sleep(Duration::from_millis(settle_ms)).await;
        if connection.is_closed() {
            self.relay.record_dial_failure(target);
            let detail = "the connection was closed before it was used";
            return Err(ExchangeError::NotSent(detail.to_owned()));
        }
        Ok(connection)
    }

    /// Returns an idle connection that a peer carries, or asks peers for a new one.
    pub(crate) async fn open_tunnel(
        &self,
        target: &DialTarget,
    ) -> Result<UpstreamConnection, TunnelFailure> {
        let relay = &self.relay;
        let now_ms = relay.now_ms();
        let (upstream, address) = (target.upstream.clone(), target.address);
        let is_accepted = |peer: &str| !relay.members.lock().is_stopping(peer);
        if let Some(idle) =
            self.connections.take_idle_tunnel(upstream, address, now_ms, is_accepted)
        {
            return Ok(idle);
        }
        let chosen: Vec<(String, SocketAddr)> = {
            let members = relay.members.lock();
            let zone = &relay.settings.availability_zone;
            let peers = &relay.reach.lock().peers;
            let candidates = members.tunnel_candidates(now_ms);
            let chosen = peers.choose(candidates, zone, &mut rand::rng(), now_ms);
            chosen.iter().map(|peer| (peer.name.to_owned(), peer.address)).collect()
        };
        match chosen.as_slice() {
            [] => Err(TunnelFailure {
                is_upstream_unreachable: false,
                detail: "no peer to ask".to_owned(),
            }),
            [only] => self.ask_peer(target, only).await,
            [first, second, ..] => {
                let first = self.ask_peer(target, first);
                let second = self.ask_peer(target, second);
                let result = first_success(first, SECOND_PEER_DELAY, second).await;
                result.map_err(|(first, second)| first.merge(second))
            }
        }
    }

    async fn ask_peer(
        &self,
        target: &DialTarget,
        (peer, address): &(String, SocketAddr),
    ) -> Result<UpstreamConnection, TunnelFailure> {
        let relay = &self.relay;
        let started_at_ms = relay.now_ms();
        let request = OpenRequest {
            protocol_version: PROTOCOL_VERSION,
            upstream: target.upstream.clone(),
            sender: relay.settings.instance.clone(),
            remaining_ms: self.remaining_ms(),
            is_for_reports: target.is_for_reports,
        };
        let opened = hickorycourse_tunnel::open(*address, &request, TUNNEL_TIMEOUT).await;
        let took_ms = relay.now_ms().saturating_sub(started_at_ms);
        let outcome = match &opened {
            Ok(_) => "opened",
            Err(OpenError::Refused(reason)) => reason.as_str(),
            Err(OpenError::Failed(_)) => "failed",
        };
        metrics::counter!("hickorycourse_tunnel_dials_total", "outcome" => outcome).increment(1);
        let failure = opened.as_ref().err().map(ToString::to_string);
        relay.log.write("dialled_through_peer", || {
            json!({
                "request": self.request_id, "upstream": target.upstream, "peer": peer,
                "outcome": outcome, "failure": failure, "took_ms": took_ms,
            })
        });
        let stream = match opened {
            Ok(stream) => stream,
            Err(error) => {
                if let Some(fault) = peer_fault(&error) {
                    relay.reach.lock().peers.record_fault(peer, fault, relay.now_ms());
                }
                return Err(TunnelFailure {
                    is_upstream_unreachable: is_upstream_unreachable(&error),
                    detail: format!("{peer}: {error}"),
                });
            }
        };
        let carrier = Rc::new(PeerCarrier { name: peer.clone(), health: stream.health() });
        let (upstream, address) = (target.upstream.clone(), target.address);
        let now_ms = relay.now_ms();
        let opened = self
            .connections
            .open_over(stream, upstream, address, carrier, started_at_ms, now_ms)
            .await;
        opened.map_err(|error| TunnelFailure {
            is_upstream_unreachable: false,
            detail: format!("{peer}: {error}"),
        })
    }
}

/// Probes the links that are held cut until the process ends, so that a cut ends without a request that finds it.
pub async fn probe_cut_links(relay: Arc<Relay>) {
    let connections = ConnectionPool::default();
    loop {
        let due_at_ms = relay.reach.lock().links.next_probe_at_ms();
        let Some(due_at_ms) = due_at_ms else {
            relay.link_cut.notified().await;
            continue;
        };
        sleep(Duration::from_millis(due_at_ms.saturating_sub(relay.now_ms()).max(1))).await;
        if let Some(target) = choose_probed(&relay) {
            spawn_probe(&relay, &connections, &target);
        }
    }
}

fn choose_probed(relay: &Relay) -> Option<DialTarget> {
    let directory = relay.directory.lock();
    let ready: Vec<DialTarget> = directory
        .entries()
        .filter(|entry| entry.phase == UpstreamPhase::Ready)
        .map(DialTarget::from)
        .collect();
    drop(directory);
    let views: Vec<UpstreamView<'_>> = ready.iter().map(DialTarget::view).collect();
    let links = &mut relay.reach.lock().links;
    let probed = links.take_due_probe(&views, &mut rand::rng(), relay.now_ms())?;
    ready.iter().find(|target| target.upstream == probed.id).cloned()
}

/// Asks an upstream for its report over a link that is held cut. Any answer ends the cut, as it shows that a new connection
/// is neither reset nor silent. Returns false if a connection was opened that brought none.
async fn probe_by_report(relay: &Relay, connections: &ConnectionPool, target: &DialTarget) -> bool {
    let upstream = target.upstream.as_str();
    if !matches!(relay.other_answer(upstream), None | Some(OtherAnswer::Kept)) {
        return false;
    }
    let dialled_at_ms = relay.now_ms();
    let opened = connections.open(upstream.to_owned(), target.address, dialled_at_ms).await;
    let Ok(mut connection) = opened else {
        relay.record_dial_failure(target);
        return true;
    };
    let is_answered = ask(relay, &mut connection, upstream).await.is_ok();
    if is_answered {
        relay.record_link_response(&target.view(), dialled_at_ms);
    }
    is_answered
}

/// Probes a link that is held cut, in the background: asks the upstream for its report and, if that stays unanswered, dials
/// it once more and sends nothing, as what has been accepted may be reset.
pub fn spawn_probe(relay: &Arc<Relay>, connections: &ConnectionPool, target: &DialTarget) {
    let (relay, connections) = (Arc::clone(relay), connections.clone());
    let target = target.clone();
    drop(rt::spawn(async move {
        if probe_by_report(&relay, &connections, &target).await {
            return;
        }
        let dialled_at_ms = relay.now_ms();
        let opened = connections.open(target.upstream.clone(), target.address, dialled_at_ms).await;
        sleep(Duration::from_millis(SETTLE_MS)).await;
        let Some(connection) = opened.ok().filter(|connection| !connection.is_closed()) else {
            relay.record_dial_failure(&target);
            return;
        };
        relay.reach.lock().links.record_settled(&target.view());
        sleep(Duration::from_millis(HOLD_MS)).await;
        if !connection.is_closed() {
            relay.record_link_response(&target.view(), dialled_at_ms);
        }
    }));
}

/// Returns why a peer is not asked for a while after it has opened no tunnel.
fn peer_fault(error: &OpenError) -> Option<PeerFault> {
    match error {
        OpenError::Failed(_) => Some(PeerFault::NoReply),
        OpenError::Refused(RefusalReason::Busy) => Some(PeerFault::Busy),
        OpenError::Refused(RefusalReason::LinksCut) => Some(PeerFault::LinksCut),
        OpenError::Refused(RefusalReason::Malformed) => Some(PeerFault::NoReply),
        OpenError::Refused(RefusalReason::Stopping) => Some(PeerFault::Stopping),
        OpenError::Refused(
            RefusalReason::Leaving
            | RefusalReason::PathCut
            | RefusalReason::Unreachable
            | RefusalReason::UnknownUpstream,
        ) => None,
    }
}

fn is_upstream_unreachable(error: &OpenError) -> bool {
    matches!(
        error,
        OpenError::Refused(
            RefusalReason::Leaving | RefusalReason::Unreachable | RefusalReason::UnknownUpstream
        )
    )
}

/// Runs `first`, and also `second` once `first` has failed or `delay` has passed. Returns the first success,
/// or both failures.
async fn first_success<T, E, F>(
    first: impl Future<Output = Result<T, E>>,
    delay: Duration,
    second: impl Future<Output = Result<T, F>>,
) -> Result<T, (E, F)> {
    let first = pin!(first);
    let second = pin!(second);
    let first = match select(first, pin!(sleep(delay))).await {
        Either::Left((Ok(value), _)) => return Ok(value),
        Either::Left((Err(error), _)) => return second.await.map_err(|other| (error, other)),
        Either::Right(((), first)) => first,
    };
    match select(first, second).await {
        Either::Left((Ok(value), _)) | Either::Right((Ok(value), _)) => Ok(value),
        Either::Left((Err(error), second)) => second.await.map_err(|other| (error, other)),
        Either::Right((Err(other), first)) => first.await.map_err(|error| (error, other)),
    }
}

impl Relay {
    /// Changes what is known of the own links, and logs what follows from it.
    pub fn update_links(&self, update: impl FnOnce(&mut LinkTable, u64) -> Vec<LinkChange>) {
        let changes = update(&mut self.reach.lock().links, self.now_ms());
        for change in changes {
            let (event, scope) = match &change {
                LinkChange::Cut(scope) => ("link_cut", scope),
                LinkChange::Restored(scope) => ("link_restored", scope),
            };
            if matches!(change, LinkChange::Cut(_)) {
                self.link_cut.notify_one();
            }
            let (kind, name) = scope.labels();
            metrics::counter!("hickorycourse_link_changes_total", "event" => event).increment(1);
            self.log.write(event, || json!({ "scope": kind, "name": name }));
        }
    }

    fn record_dial_failure(&self, target: &DialTarget) {
        self.update_links(|links, now_ms| links.record_dial_failure(&target.view(), now_ms));
    }

    fn record_dial_success(&self, target: &DialTarget) {
        let now_ms = self.now_ms();
        self.reach.lock().links.record_dial_success(&target.view(), now_ms);
    }

    /// Records that a direct connection that was dialled at `dialled_at_ms` works.
    pub fn record_link_response(&self, upstream: &UpstreamView<'_>, dialled_at_ms: u64) {
        self.update_links(|links, now_ms| links.record_response(upstream, dialled_at_ms, now_ms));
    }

    /// Records that a response has begun, which shows that a direct connection works.
    pub fn record_direct_response(&self, target: &DialTarget, connection: &UpstreamConnection) {
        if connection.carrier().is_none() {
            self.record_link_response(&target.view(), connection.dialled_at_ms());
        }
    }

    /// Records that a connection broke before it brought a response. A new direct one may have been accepted
    /// and reset by its link. Returns whether the link was held cut already, so that it is the likely cause.
    pub fn record_broken_link(&self, target: &DialTarget, connection: &UpstreamConnection) -> bool {
        if connection.carrier().is_some() || connection.is_reused() {
            return false;
        }
        let was_cut = self.reach.lock().links.find_cut(&target.view()).is_some();
        let dialled_at_ms = connection.dialled_at_ms();
        self.update_links(|links, now_ms| {
            links.record_break(&target.view(), dialled_at_ms, now_ms)
        });
        was_cut
    }

    /// Records that no response has come in time on a direct connection. Returns whether the own link may be
    /// the cause.
    pub fn record_direct_silence(&self, target: &DialTarget) -> bool {
        let links = &mut self.reach.lock().links;
        links.record_silence(&target.view(), self.now_ms());
        links.is_doubtful(&target.view())
    }
}
