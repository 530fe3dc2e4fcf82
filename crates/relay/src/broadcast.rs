//! The socket for datagrams between instances, and the digests that each instance of a small fleet sends
//! to all others.
//!
//! [`crate::exchange`] replaces these digests in a large fleet. Datagrams are used rather than
//! connections: a digest carries cumulative counts, so the next one makes up for a lost one, and
//! there is no connection that could stall unnoticed.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::select;
use hickorycourse_caps::UsageReport;
use hickorycourse_clock::sleep;
use hickorycourse_digest::{MemberDigest, PartMark, ServiceDigest, SpeedCounts, split};
use hickorycourse_duties::{UsageSource, WindowCounts};
use hickorycourse_placement::{SpeedShare, TokenDemand, UpstreamLoad, WaitingRequests};
use parking_lot::Mutex;
use serde_json::json;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use crate::chunks::ChunkBuffer;
use crate::datagrams::{MAX_DATAGRAM_BYTES, MAX_DIGEST_BYTES, Message};
use crate::exchange::EXCHANGE_INTERVAL_MS;
use crate::follow::{ViewQuery, ViewReply, make_reply};
use crate::state::Relay;
use crate::view_search::ViewSource;

/// Shortest period between two digests.
const MIN_DIGEST_PERIOD_MS: u64 = 300;
/// Added to the period for each instance, to bound the rate at which an instance receives digests.
const DIGEST_PERIOD_PER_INSTANCE_MS: u64 = 15;
/// Maximum number of digests per period, including those sent early because other instances need a
/// change at once.
const MAX_URGENT_DIGESTS_PER_PERIOD: u64 = 5;
/// Largest fleet in which all availability zones get digests at the same rate. In a larger one, the
/// own zone gets them more often: most requests stay in their zone, so a stale view of its load is
/// the most costly.
const UNIFORM_BROADCAST_MAX_INSTANCES: usize = 16;
/// Digests to the own availability zone for each digest to the whole fleet, in a fleet above that
/// size.
const ZONE_DIGESTS_PER_FLEET_DIGEST: u64 = 3;
/// Announced departures in a digest.
const MAX_DEPARTURES_PER_DIGEST: usize = 32;
/// Largest difference between the known era and one that another instance reports.
const MAX_ERA_STEP: u64 = 64;

/// Returns the period in milliseconds between two digests of an instance, in a fleet of this size.
pub fn digest_period_ms(instances: usize) -> u64 {
    MIN_DIGEST_PERIOD_MS + DIGEST_PERIOD_PER_INSTANCE_MS * instances as u64
}

/// The socket for datagrams, with the freshness queries that await a response.
pub struct PeerBroadcast {
    /// State that all parts of the process share.
    pub relay: Arc<Relay>,
    socket: Arc<UdpSocket>,
    /// Time at which each freshness query was sent, by nonce.
    pub pending_queries: Mutex<HashMap<u64, u64>>,
    /// Parts of replies to freshness queries, by nonce and sender.
    pub attestation_parts: Mutex<ChunkBuffer<(u64, SocketAddr)>>,
    /// Tasks that wait for replies, by nonce.
    pub pending_replies: Mutex<HashMap<u64, mpsc::Sender<Message>>>,
}

impl PeerBroadcast {
    /// Binds the socket.
    ///
    /// # Errors
    /// The peer address can't be bound.
    pub async fn open(relay: &Arc<Relay>) -> std::io::Result<Arc<Self>> {
        let socket = Arc::new(UdpSocket::bind(relay.settings.peer_address).await?);
        // A process binds its socket once.
        let _ = relay.peer_socket.set(Arc::clone(&socket));
        Ok(Arc::new(Self {
            relay: Arc::clone(relay),
            socket,
            pending_queries: Mutex::default(),
            attestation_parts: Mutex::default(),
            pending_replies: Mutex::default(),
        }))
    }

    /// Sends digests, and freshness queries when needed, until the process ends.
    pub async fn broadcast_digests(self: Arc<Self>) {
        for round in 0_u64.. {
            let relay = &self.relay;
            let now_ms = relay.now_ms();
            let all = relay.members.lock().shuffled_addresses(None, &mut rand::rng(), now_ms);
            let pause_ms = match self.update_exchange(all.len() + 1) {
                true => {
                    self.exchange_through_aggregators(now_ms).await;
                    EXCHANGE_INTERVAL_MS
                }
                false => self.broadcast_to_all(&all, round, now_ms).await,
            };
            self.query_freshness_if_stale(&all, now_ms).await;
            relay.expire_upstreams();
            relay.expire_quarantine();
            relay.expire_limits();
            relay.cap_deciders.lock().expire(now_ms);
            relay.expire_tolerances();
            relay.expire_origins();
            let pause_ms = pause_ms.saturating_sub(relay.now_ms().saturating_sub(now_ms));
            let min_pause_ms = pause_ms / MAX_URGENT_DIGESTS_PER_PERIOD;
            sleep(Duration::from_millis(min_pause_ms)).await;
            let remaining_pause = Duration::from_millis(pause_ms - min_pause_ms);
            select(pin!(sleep(remaining_pause)), pin!(relay.digest_requested.notified())).await;
        }
    }

    /// Sends the digest to all other instances, or to those of the own availability zone; returns the
    /// time until the next one.
    async fn broadcast_to_all(&self, all: &[SocketAddr], round: u64, now_ms: u64) -> u64 {
        let relay = &self.relay;
        let is_large = all.len() >= UNIFORM_BROADCAST_MAX_INSTANCES;
        let is_for_all = !is_large || round.is_multiple_of(ZONE_DIGESTS_PER_FLEET_DIGEST);
        let own_zone = Some(relay.settings.availability_zone.as_str());
        let zone = || relay.members.lock().shuffled_addresses(own_zone, &mut rand::rng(), now_ms);
        let recipients = if is_for_all { all.to_vec() } else { zone() };
        let digest = self.make_digest(now_ms, round + 1);
        self.record_decider(&digest, now_ms);
        for part in split(digest, MAX_DIGEST_BYTES) {
            self.send_all(&Message::Digest(Box::new(part)), &recipients).await;
        }
        let period_ms = digest_period_ms(all.len() + 1);
        if is_large { period_ms / ZONE_DIGESTS_PER_FLEET_DIGEST } else { period_ms }
    }

    /// Receives and handles datagrams until the process ends.
    pub async fn listen(self: Arc<Self>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let (length, source) = match self.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(error) => {
                    self.record_receive_failure(&error.to_string());
                    continue;
                }
            };
            match ciborium::from_reader::<Message, _>(&buffer[..length]) {
                Ok(message) => self.handle_message(message, source).await,
                Err(error) => {
                    count_dropped("malformed");
                    self.record_receive_failure(&error.to_string());
                }
            }
        }
    }

    /// Asks an instance for the changes in the store; `None` if it doesn't reply in time.
    pub async fn query_view(
        &self,
        source: ViewSource,
        query: ViewQuery,
        reply_timeout: Duration,
    ) -> Option<ViewReply> {
        let nonce = rand::random();
        let message = match source.is_reader {
            true => Message::Follow { nonce, query },
            false => Message::Search { nonce, query },
        };
        match self.request(source.address, &message, nonce, reply_timeout).await? {
            Message::View { reply, .. } => Some(*reply),
            _ => None,
        }
    }

    /// Returns the digest of this instance.
    pub fn make_digest(&self, now_ms: u64, sequence: u64) -> MemberDigest {
        let relay = &self.relay;
        let mut services = BTreeMap::new();
        for (service, placement_table) in relay.placement_tables() {
            let placement_table = placement_table.lock();
            let loads = placement_table.own_loads().map(|(upstream, load)| {
                let waiting = load.waiting.iter();
                let waiting =
                    waiting.map(|(rank, waiting)| (*rank, waiting.requests, waiting.tokens));
                (upstream.to_owned(), load.running, load.answering, waiting.collect())
            });
            let TokenDemand { arrived_tokens_per_ms, sent_tokens_per_ms } =
                placement_table.own_demand(now_ms);
            let speeds = placement_table.own_speeds(now_ms).into_iter().map(speed_counts);
            let service_digest = ServiceDigest {
                arrived_tokens_per_ms,
                sent_tokens_per_ms,
                loads: loads.collect(),
                speeds: speeds.collect(),
                work: placement_table.own_work(now_ms),
            };
            services.insert(service, service_digest);
        }
        MemberDigest {
            instance: relay.settings.instance.clone(),
            boot: relay.boot,
            availability_zone: relay.settings.availability_zone.clone(),
            peer_address: relay.settings.peer_address,
            sender_wall_ms: relay.wall_clock.lock().local_ms(now_ms),
            cap_usage: relay.cap_usage_for_digest(),
            windows: relay.newest_windows(),
            services,
            store_era: relay.store_era(),
            version: relay.active_document.read().version(),
            departures: relay
                .directory
                .lock()
                .announced_departures()
                .take(MAX_DEPARTURES_PER_DIGEST)
                .map(|(id, started_at_ms)| (id.to_owned(), started_at_ms))
                .collect(),
            committed_usage: self.committed_usage_for_digest(),
            sequence,
            quarantine: relay.quarantine.lock().digest(now_ms),
            limits: relay.limits.lock().notices(),
            tolerances: relay.tolerances.lock().notices(),
            is_stopping: relay.drain.is_stopping(),
            decides_caps: relay.decides_caps(),
            part: PartMark::default(),
        }
    }

    /// Returns the committed usage reports if this instance holds the duties; the others only keep
    /// them.
    fn committed_usage_for_digest(&self) -> Vec<WindowCounts> {
        if !self.relay.duty_lease.lock().is_holder() {
            return Vec::new();
        }
        let committed = self.relay.committed_usage.lock();
        committed
            .iter()
            .map(|(window, counts)| WindowCounts { window: *window, counts: counts.clone() })
            .collect()
    }

    /// Sends a message to each address.
    pub async fn send_all(&self, message: &Message, addresses: &[SocketAddr]) {
        if addresses.is_empty() {
            return;
        }
        let kind = message.kind();
        let mut bytes = Vec::new();
        if let Err(error) = ciborium::into_writer(message, &mut bytes) {
            self.record_send_failure(kind, 0, None, &error.to_string());
            return;
        }
        metrics::histogram!("hickorycourse_datagram_bytes", "kind" => kind)
            .record(bytes.len() as f64);
        for address in addresses {
            if let Err(error) = self.socket.send_to(&bytes, address).await {
                self.record_send_failure(kind, bytes.len(), Some(*address), &error.to_string());
            }
        }
    }

    /// Records a datagram that could not be received or read.
    pub fn record_receive_failure(&self, reason: &str) {
        metrics::counter!("hickorycourse_datagram_failures_total", "kind" => "received")
            .increment(1);
        self.relay.log.write("datagram_failed", || json!({ "reason": reason, "kind": "received" }));
    }

    /// Records a datagram that could not be encoded or sent.
    pub fn record_send_failure(
        &self,
        kind: &'static str,
        size_bytes: usize,
        recipient: Option<SocketAddr>,
        reason: &str,
    ) {
        metrics::counter!("hickorycourse_datagram_failures_total", "kind" => kind).increment(1);
        self.relay.log.write("datagram_failed", || {
            json!({
                "reason": reason, "kind": kind, "size_bytes": size_bytes, "recipient": recipient,
            })
        });
    }

    async fn handle_message(&self, message: Message, source: SocketAddr) {
        match message {
            Message::Digest(part) => {
                let digest = self.relay.exchange.lock().member_parts.add(*part);
                let Some(digest) = digest else { return };
                self.apply_digest(&digest);
                self.query_newer_document(digest.version, digest.peer_address).await;
            }
            Message::Ask { nonce, version } => {
                if let Some(attestation) = self.make_attestation(nonce, version) {
                    self.send_attestation(attestation, source).await;
                }
            }
            Message::Proof(attestation) => self.apply_attestation(*attestation, source),
            Message::ProofPart { nonce, part, bytes } => {
                if let Some(attestation) = self.join_attestation((nonce, source), part, bytes) {
                    self.apply_attestation(attestation, source);
                }
            }
            Message::Follow { nonce, query } | Message::Search { nonce, query } => {
                if let Some(reply) = make_reply(&self.relay, query) {
                    let reply = Message::View { nonce, reply: Box::new(reply) };
                    self.send_all(&reply, &[source]).await;
                }
            }
            Message::Fleet { nonce, part, zones, .. } if !self.is_reply_awaited(nonce) => {
                if !self.handle_late_reply(nonce, part, &zones, source).await {
                    count_dropped("late_reply");
                }
            }
            Message::View { nonce, .. }
            | Message::Fleet { nonce, .. }
            | Message::FoundOrigin { nonce, .. }
            | Message::Grant { nonce, .. }
            | Message::GrantUnits { nonce, .. } => self.deliver_reply(nonce, message),
            Message::Origin { key, origin } => self.relay.apply_stream_origin(key, origin),
            Message::Beginning { key, beginning } => {
                self.relay.apply_stream_beginning(key, beginning);
            }
            Message::FindOrigin { nonce, key } => {
                self.send_all(&self.find_own_origin(nonce, key), &[source]).await;
            }
            Message::Claim { nonce, claim } => {
                let reply = self.handle_claim(&claim);
                self.send_all(&Message::Grant { nonce, reply }, &[source]).await;
            }
            Message::ClaimUnits { nonce, claim } => {
                let reply = self.relay.handle_unit_claim(nonce, &claim);
                self.send_all(&Message::GrantUnits { nonce, reply }, &[source]).await;
            }
            Message::ReturnUnits { nonce } => self.relay.take_back_units(nonce),
            Message::Report { nonce, wanted, digest } => {
                self.handle_report(nonce, wanted, *digest, source).await;
            }
            Message::Zone(zone) => self.handle_zone(*zone).await,
        }
    }

    fn apply_digest(&self, digest: &MemberDigest) {
        let relay = &self.relay;
        if digest.instance == relay.settings.instance {
            return;
        }
        let now_ms = relay.now_ms();
        let name = &digest.instance;
        self.apply_member_state(digest, now_ms);
        // In a large fleet, the sums of the availability zones contain its load and use.
        if relay.exchange.lock().is_aggregated() {
            return;
        }
        let report = UsageReport {
            availability_zone: &digest.availability_zone,
            peer: Some((name, digest.boot)),
            instances: 1,
            usage: &[],
            reported_at_ms: now_ms,
        };
        relay.apply_cap_usage(&digest.cap_usage, &report);
        self.record_decider(digest, now_ms);
        let source = UsageSource {
            availability_zone: &digest.availability_zone,
            process: Some((name, digest.boot)),
        };
        relay.fleet_usage.lock().merge(&source, &digest.windows);
        apply_services(relay, name, &digest.services, 1, now_ms);
    }

    /// Records whether the sender of a digest decides on caps, in a fleet without aggregators.
    fn record_decider(&self, digest: &MemberDigest, now_ms: u64) {
        let mut cap_deciders = self.relay.cap_deciders.lock();
        match digest.decides_caps {
            true => {
                let decider = (digest.instance.clone(), digest.peer_address);
                cap_deciders.record(&digest.instance, vec![decider], now_ms);
            }
            false => cap_deciders.remove(&digest.instance),
        }
    }

    /// Applies what a digest says of its sender and of the store, but not its load and use.
    pub fn apply_member_state(&self, digest: &MemberDigest, now_ms: u64) {
        let relay = &self.relay;
        let name = &digest.instance;
        let zone = &digest.availability_zone;
        {
            let mut members = relay.members.lock();
            members.record_digest(name, zone, digest.peer_address, now_ms);
            members.record_stopping(name, digest.is_stopping);
        }
        relay.wall_clock.lock().record_peer(name, digest.sender_wall_ms, now_ms);
        self.apply_notices(&digest.departures, &digest.committed_usage, digest.store_era);
        relay.merge_quarantine(&digest.quarantine, name);
        relay.merge_limits(&digest.limits, name);
        relay.merge_tolerances(&digest.tolerances, name);
    }

    /// Applies what others have learned of upstreams and of the store.
    pub fn apply_notices(
        &self,
        departures: &[(String, Option<u64>)],
        committed_usage: &[WindowCounts],
        store_era: u64,
    ) {
        self.relay.remember_committed_usage(committed_usage);
        for (upstream, started_at_ms) in departures {
            self.relay.announce_departure(upstream, *started_at_ms, "peer");
        }
        self.observe_peer_era(store_era);
    }

    /// Applies an era that another instance reports. One far above the known era is not plausible, as
    /// eras rise by one.
    pub fn observe_peer_era(&self, era: u64) {
        let known = self.relay.store_era();
        if era > known && era - known <= MAX_ERA_STEP {
            self.relay.observe_store_era(era, "peer");
        }
    }
}

/// Applies the load that a peer has reported for itself, or as the sum of `instances` instances.
pub fn apply_services(
    relay: &Relay,
    peer: &str,
    services: &BTreeMap<String, ServiceDigest>,
    instances: usize,
    reported_at_ms: u64,
) {
    for (service, placement_table) in relay.placement_tables() {
        let mut placement_table = placement_table.lock();
        placement_table.clear_peer(peer);
        let Some(digest) = services.get(&service) else { continue };
        let demand = TokenDemand {
            arrived_tokens_per_ms: digest.arrived_tokens_per_ms,
            sent_tokens_per_ms: digest.sent_tokens_per_ms.clone(),
        };
        placement_table.set_peer_demand(peer, demand, instances);
        let work = digest.work.as_ref();
        placement_table.set_peer_work(peer, instances, work, reported_at_ms);
        for (upstream, running, answering, waiting) in &digest.loads {
            let waiting = waiting.iter().map(|(rank, requests, tokens)| {
                (*rank, WaitingRequests { requests: *requests, tokens: *tokens })
            });
            let load = UpstreamLoad {
                running: *running,
                answering: *answering,
                waiting: waiting.collect(),
            };
            placement_table.set_peer_load(peer, upstream, load, reported_at_ms);
        }
        for (upstream, weight, log_sum) in &digest.speeds {
            let share = SpeedShare {
                weight: f64::from(*weight) / SPEED_UNITS,
                log_sum: f64::from(*log_sum) / SPEED_UNITS,
            };
            if !placement_table.set_peer_speed(peer, upstream, share, reported_at_ms) {
                count_ignored("speed");
            }
        }
    }
}

/// Values per unit in the digests' counts of speeds.
const SPEED_UNITS: f64 = 100.0;

fn speed_counts((upstream, share): (&str, SpeedShare)) -> SpeedCounts {
    // Rounded towards 0, so that the sum stays within what its weight allows.
    let weight = (share.weight * SPEED_UNITS).ceil() as u32;
    (upstream.to_owned(), weight, (share.log_sum * SPEED_UNITS) as i32)
}

/// Counts a value about the ends of responses that can't be right and is ignored.
pub fn count_ignored(kind: &'static str) {
    metrics::counter!("hickorycourse_completion_ignored_total", "kind" => kind).increment(1);
}

/// Counts a datagram that was received and not used.
pub fn count_dropped(reason: &'static str) {
    metrics::counter!("hickorycourse_datagrams_dropped_total", "reason" => reason).increment(1);
}
