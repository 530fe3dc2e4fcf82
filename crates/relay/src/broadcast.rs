//! Datagrams between instances: what changes too often for the store, and proofs that the document
//! in force is the newest, for instances that can't reach the store.
//!
//! Datagrams rather than links: each tells cumulative figures, so a lost one is made up by the next,
//! and there is no connection that could go silent.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::select;
use hickorycourse_caps::CapTotals;
use hickorycourse_duties::WindowCounts;
use hickorycourse_placement::{RankedRates, TokenDemand, UpstreamLoad, WaitingRequests};
use hickorycourse_routes::{RouteDocument, UpstreamEntry};
use hickorycourse_telemetry::EventLog;
use ntex::time::sleep;
use parking_lot::Mutex;
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::net::UdpSocket;

use crate::node::Relay;

/// Shortest time between two digests.
const MIN_DIGEST_PERIOD_MS: u64 = 300;
/// Added to that time for each instance, so that what an instance receives stays bounded.
const DIGEST_PERIOD_PER_INSTANCE_MS: u64 = 15;
/// Digests that may be sent in the time of one when much has changed.
const MAX_URGENT_DIGESTS_PER_PERIOD: u64 = 5;
/// Instances above which the own availability zone is told more often than the others: most requests
/// stay in their zone, so old knowledge of its load costs most.
const UNIFORM_BROADCAST_MAX_INSTANCES: usize = 16;
/// Digests to the own availability zone for each one to the others, in a fleet above that.
const ZONE_DIGESTS_PER_FLEET_DIGEST: u64 = 3;
/// Peers asked at a time.
const FRESHNESS_QUERY_FANOUT: usize = 3;
/// Time for which an answer to a question is accepted.
const FRESHNESS_QUERY_TIMEOUT_MS: u64 = 2_000;
/// The largest datagram over IPv4.
const MAX_DATAGRAM_BYTES: usize = 65_507;

/// The time between two digests of an instance among this many.
pub fn digest_period_ms(instances: usize) -> u64 {
    MIN_DIGEST_PERIOD_MS + DIGEST_PERIOD_PER_INSTANCE_MS * instances as u64
}

/// What an instance tells all others. Fields have short names, as each datagram goes to everybody.
#[derive(Debug, Deserialize, Serialize)]
struct Digest {
    #[serde(rename = "n")]
    instance: String,
    #[serde(rename = "b")]
    boot: u64,
    #[serde(rename = "z")]
    availability_zone: String,
    #[serde(rename = "a")]
    peer_address: SocketAddr,
    /// Its own time of day.
    #[serde(rename = "t")]
    sender_wall_ms: u64,
    /// Units used of the caps and asked for since its start.
    #[serde(rename = "c")]
    cap_totals: BTreeMap<String, (u64, u64)>,
    /// Its newest windows of usage.
    #[serde(rename = "u")]
    windows: Vec<WindowCounts>,
    /// What it has put on each service.
    #[serde(rename = "s")]
    services: BTreeMap<String, ServiceDigest>,
}

/// Upstream, requests in flight, those whose answers have begun, those that wait by rank: rank,
/// requests, prompt tokens. An array rather than a map, as there is one for each upstream.
type UpstreamLoadRow = (String, u64, u64, Vec<(u8, u64, u64)>);

#[derive(Debug, Default, Deserialize, Serialize)]
struct ServiceDigest {
    /// Prompt tokens a millisecond that its requests bring.
    #[serde(rename = "w")]
    arrived_tokens_per_ms: f64,
    /// Those of the requests that were sent, by rank.
    #[serde(rename = "r")]
    sent_tokens_per_ms: RankedRates,
    #[serde(rename = "l")]
    loads: Vec<UpstreamLoadRow>,
}

/// What an instance that reaches the store tells one that does not.
#[derive(Debug, Deserialize, Serialize)]
struct FreshnessAttestation {
    nonce: u64,
    version: u64,
    /// The version was the newest this long before the answer was sent.
    age_ms: u64,
    /// The document, if it is newer than the one that the asker has.
    document: Option<RouteDocument>,
    upstreams: Vec<UpstreamEntry>,
}

#[derive(Debug, Deserialize, Serialize)]
enum Message {
    Digest(Box<Digest>),
    Ask { nonce: u64, version: Option<u64> },
    Proof(Box<FreshnessAttestation>),
}

/// The socket for datagrams and the questions on their way.
pub struct PeerBroadcast {
    relay: Arc<Relay>,
    socket: UdpSocket,
    /// When each question was sent.
    pending_queries: Mutex<HashMap<u64, u64>>,
}

impl PeerBroadcast {
    /// Opens the socket.
    ///
    /// # Errors
    /// The address can't be used.
    pub async fn open(relay: &Arc<Relay>) -> std::io::Result<Arc<Self>> {
        let socket = UdpSocket::bind(relay.settings.peer_address).await?;
        Ok(Arc::new(Self { relay: Arc::clone(relay), socket, pending_queries: Mutex::default() }))
    }

    /// Tells the others and asks them, for as long as the process lives.
    pub async fn broadcast_digests(self: Arc<Self>) {
        for round in 0_u64.. {
            let relay = &self.relay;
            let now_ms = relay.now_ms();
            let (all, zone) = {
                let members = relay.members.lock();
                let own_zone = &relay.settings.availability_zone;
                let zone = members.shuffled_addresses(Some(own_zone), &mut rand::rng(), now_ms);
                (members.shuffled_addresses(None, &mut rand::rng(), now_ms), zone)
            };
            let is_large = all.len() >= UNIFORM_BROADCAST_MAX_INSTANCES;
            let is_for_all = !is_large || round.is_multiple_of(ZONE_DIGESTS_PER_FLEET_DIGEST);
            let digest = Message::Digest(Box::new(self.make_digest(now_ms)));
            self.send_all(&digest, if is_for_all { &all } else { &zone }).await;
            self.query_freshness_if_stale(&all, now_ms).await;
            relay.expire_upstreams();
            let period_ms = digest_period_ms(all.len() + 1);
            let pause_ms =
                if is_large { period_ms / ZONE_DIGESTS_PER_FLEET_DIGEST } else { period_ms };
            let min_pause_ms = pause_ms / MAX_URGENT_DIGESTS_PER_PERIOD;
            sleep(Duration::from_millis(min_pause_ms)).await;
            let remaining_pause = Duration::from_millis(pause_ms - min_pause_ms);
            select(pin!(sleep(remaining_pause)), pin!(relay.digest_requested.notified())).await;
        }
    }

    /// Takes datagrams, for as long as the process lives.
    pub async fn listen(self: Arc<Self>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let (length, source) = match self.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(error) => {
                    log_failure(&self.relay.log, &error.to_string());
                    continue;
                }
            };
            match ciborium::from_reader::<Message, _>(&buffer[..length]) {
                Ok(message) => self.handle_message(message, source).await,
                Err(error) => log_failure(&self.relay.log, &error.to_string()),
            }
        }
    }

    fn make_digest(&self, now_ms: u64) -> Digest {
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
            let service_digest =
                ServiceDigest { arrived_tokens_per_ms, sent_tokens_per_ms, loads: loads.collect() };
            services.insert(service, service_digest);
        }
        Digest {
            instance: relay.settings.instance.clone(),
            boot: relay.boot,
            availability_zone: relay.settings.availability_zone.clone(),
            peer_address: relay.settings.peer_address,
            sender_wall_ms: relay.wall_clock.lock().local_ms(now_ms),
            cap_totals: relay
                .broadcast_cap_totals()
                .into_iter()
                .map(|(organisation, totals)| {
                    (organisation, (totals.used as u64, totals.requested as u64))
                })
                .collect(),
            windows: relay.newest_windows(),
            services,
        }
    }

    async fn query_freshness_if_stale(&self, addresses: &[SocketAddr], now_ms: u64) {
        let (version, age_ms) = {
            let active_document = self.relay.active_document.read();
            (active_document.version(), active_document.staleness_bound_ms(now_ms))
        };
        let query_after_ms = self.relay.settings.bounds.freshness_query_after_ms();
        if age_ms.is_some_and(|age_ms| age_ms < query_after_ms) {
            return;
        }
        let nonce = rand::random();
        {
            let mut pending_queries = self.pending_queries.lock();
            pending_queries
                .retain(|_, at_ms| now_ms.saturating_sub(*at_ms) < FRESHNESS_QUERY_TIMEOUT_MS);
            pending_queries.insert(nonce, now_ms);
        }
        let chosen: Vec<SocketAddr> =
            addresses.choose_multiple(&mut rand::rng(), FRESHNESS_QUERY_FANOUT).copied().collect();
        self.send_all(&Message::Ask { nonce, version }, &chosen).await;
    }

    async fn send_all(&self, message: &Message, addresses: &[SocketAddr]) {
        let mut bytes = Vec::new();
        if let Err(error) = ciborium::into_writer(message, &mut bytes) {
            log_failure(&self.relay.log, &error.to_string());
            return;
        }
        for address in addresses {
            if let Err(error) = self.socket.send_to(&bytes, address).await {
                log_failure(&self.relay.log, &error.to_string());
            }
        }
    }

    async fn handle_message(&self, message: Message, source: SocketAddr) {
        match message {
            Message::Digest(digest) => self.apply_digest(&digest),
            Message::Ask { nonce, version } => {
                if let Some(attestation) = self.make_attestation(nonce, version) {
                    self.send_all(&Message::Proof(Box::new(attestation)), &[source]).await;
                }
            }
            Message::Proof(attestation) => self.apply_attestation(*attestation, source),
        }
    }

    fn apply_digest(&self, digest: &Digest) {
        let relay = &self.relay;
        if digest.instance == relay.settings.instance {
            return;
        }
        let now_ms = relay.now_ms();
        let name = &digest.instance;
        let zone = &digest.availability_zone;
        relay.members.lock().record_digest(name, zone, digest.peer_address, now_ms);
        relay.wall_clock.lock().record_peer(name, digest.sender_wall_ms, now_ms);
        let totals = digest.cap_totals.iter().map(|(organisation, (used, requested))| {
            (organisation.as_str(), CapTotals { used: *used as f64, requested: *requested as f64 })
        });
        relay.apply_cap_totals(name, digest.boot, totals);
        relay.fleet_usage.lock().merge(name, digest.boot, &digest.windows);
        for (service, placement_table) in relay.placement_tables() {
            let mut placement_table = placement_table.lock();
            placement_table.clear_peer(name);
            let Some(service_digest) = digest.services.get(&service) else { continue };
            let demand = TokenDemand {
                arrived_tokens_per_ms: service_digest.arrived_tokens_per_ms,
                sent_tokens_per_ms: service_digest.sent_tokens_per_ms.clone(),
            };
            placement_table.set_peer_demand(name, demand);
            for (upstream, running, answering, waiting) in &service_digest.loads {
                let load = UpstreamLoad {
                    running: *running,
                    answering: *answering,
                    waiting: waiting
                        .iter()
                        .map(|(rank, requests, tokens)| {
                            (*rank, WaitingRequests { requests: *requests, tokens: *tokens })
                        })
                        .collect(),
                };
                placement_table.set_peer_load(name, upstream, load, now_ms);
            }
        }
    }

    fn make_attestation(
        &self,
        nonce: u64,
        known_version: Option<u64>,
    ) -> Option<FreshnessAttestation> {
        let relay = &self.relay;
        let active_document = relay.active_document.read();
        let table = active_document.table()?;
        let version = table.document().version;
        let age_ms = active_document.staleness_bound_ms(relay.now_ms())?;
        let is_newer = known_version.is_none_or(|known| known < version);
        Some(FreshnessAttestation {
            nonce,
            version,
            age_ms,
            document: is_newer.then(|| table.document().clone()),
            upstreams: relay.directory.lock().entries().cloned().collect(),
        })
    }

    fn apply_attestation(&self, attestation: FreshnessAttestation, peer: SocketAddr) {
        let relay = &self.relay;
        // The answer was made after the question, whatever time it took on its way.
        let Some(queried_at_ms) = self.pending_queries.lock().get(&attestation.nonce).copied()
        else {
            return;
        };
        let Some(attested_at_ms) = queried_at_ms.checked_sub(attestation.age_ms) else { return };
        let now_ms = relay.now_ms();
        let own_age_ms = relay.active_document.read().staleness_bound_ms(now_ms);
        let is_fresher =
            own_age_ms.is_none_or(|age_ms| now_ms.saturating_sub(attested_at_ms) < age_ms);
        if !is_fresher {
            return;
        }
        if let Some(document) = attestation.document {
            relay.apply_document(document, "peer");
        }
        relay.replace_upstreams(attestation.upstreams);
        relay.active_document.write().attest_freshness(attestation.version, attested_at_ms);
        relay.log.write("proof_from_peer", || {
            json!({
                "peer": peer, "version": attestation.version, "own_age_ms": own_age_ms,
                "age_ms": now_ms.saturating_sub(attested_at_ms),
            })
        });
    }
}

fn log_failure(log: &EventLog, reason: &str) {
    metrics::counter!("hickorycourse_datagram_failures_total").increment(1);
    log.write("datagram_failed", || json!({ "reason": reason }));
}
