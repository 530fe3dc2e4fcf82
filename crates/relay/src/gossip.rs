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
const DIGEST_LEAST_MS: u64 = 300;
/// Added to that time for each instance, so that what an instance receives stays bounded.
const DIGEST_PER_INSTANCE_MS: u64 = 15;
/// Digests that may be sent in the time of one when much has changed.
const URGENT_DIGESTS: u64 = 5;
/// Instances above which the own availability zone is told more often than the others: most requests
/// stay in their zone, so old knowledge of its load costs most.
const INSTANCES_TOLD_ALIKE: usize = 16;
/// Digests to the own availability zone for each one to the others, in a fleet above that.
const ZONE_DIGESTS: u64 = 3;
/// Peers asked at a time.
const ASKED: usize = 3;
/// Time for which an answer to a question is accepted.
const ASK_VALID_MS: u64 = 2_000;
/// The largest datagram over IPv4.
const DATAGRAM_BYTES_MOST: usize = 65_507;

/// The time between two digests of an instance among this many.
pub fn digest_period_ms(instances: usize) -> u64 {
    DIGEST_LEAST_MS + DIGEST_PER_INSTANCE_MS * instances as u64
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
    own_time_ms: u64,
    /// Units used of the caps and asked for since its start.
    #[serde(rename = "c")]
    cap_totals: BTreeMap<String, (u64, u64)>,
    /// Its newest windows of usage.
    #[serde(rename = "u")]
    windows: Vec<WindowCounts>,
    /// What it has put on each service.
    #[serde(rename = "s")]
    services: BTreeMap<String, ToldService>,
}

/// Upstream, requests in flight, those whose answers have begun, those that wait by rank: rank,
/// requests, prompt tokens. An array rather than a map, as there is one for each upstream.
type ToldLoad = (String, u64, u64, Vec<(u8, u64, u64)>);

#[derive(Debug, Default, Deserialize, Serialize)]
struct ToldService {
    /// Prompt tokens a millisecond that its requests bring.
    #[serde(rename = "w")]
    arrived_tokens_per_ms: f64,
    /// Those of the requests that were sent, by rank.
    #[serde(rename = "r")]
    sent_tokens_per_ms: RankedRates,
    #[serde(rename = "l")]
    loads: Vec<ToldLoad>,
}

/// What an instance that reaches the store tells one that does not.
#[derive(Debug, Deserialize, Serialize)]
struct Proof {
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
    Proof(Box<Proof>),
}

/// The socket for datagrams and the questions on their way.
pub struct Gossip {
    relay: Arc<Relay>,
    socket: UdpSocket,
    /// When each question was sent.
    asked: Mutex<HashMap<u64, u64>>,
}

impl Gossip {
    /// Opens the socket.
    ///
    /// # Errors
    /// The address can't be used.
    pub async fn open(relay: &Arc<Relay>) -> std::io::Result<Arc<Self>> {
        let socket = UdpSocket::bind(relay.settings.peer_address).await?;
        Ok(Arc::new(Self { relay: Arc::clone(relay), socket, asked: Mutex::default() }))
    }

    /// Tells the others and asks them, for as long as the process lives.
    pub async fn tell(self: Arc<Self>) {
        for turn in 0_u64.. {
            let relay = &self.relay;
            let now_ms = relay.now_ms();
            let (all, zone) = {
                let members = relay.members.lock();
                let own_zone = &relay.settings.availability_zone;
                let zone = members.draw_addresses(Some(own_zone), &mut rand::rng(), now_ms);
                (members.draw_addresses(None, &mut rand::rng(), now_ms), zone)
            };
            let is_large = all.len() >= INSTANCES_TOLD_ALIKE;
            let is_for_all = !is_large || turn.is_multiple_of(ZONE_DIGESTS);
            let digest = Message::Digest(Box::new(self.make_digest(now_ms)));
            self.send_all(&digest, if is_for_all { &all } else { &zone }).await;
            self.ask_if_needed(&all, now_ms).await;
            relay.expire_upstreams();
            let period_ms = digest_period_ms(all.len() + 1);
            let pause_ms = if is_large { period_ms / ZONE_DIGESTS } else { period_ms };
            let least_ms = pause_ms / URGENT_DIGESTS;
            sleep(Duration::from_millis(least_ms)).await;
            let rest = Duration::from_millis(pause_ms - least_ms);
            select(pin!(sleep(rest)), pin!(relay.tell_now.notified())).await;
        }
    }

    /// Takes datagrams, for as long as the process lives.
    pub async fn listen(self: Arc<Self>) {
        let mut buffer = vec![0; DATAGRAM_BYTES_MOST];
        loop {
            let (length, source) = match self.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(error) => {
                    log_failure(&self.relay.log, &error.to_string());
                    continue;
                }
            };
            match ciborium::from_reader::<Message, _>(&buffer[..length]) {
                Ok(message) => self.take(message, source).await,
                Err(error) => log_failure(&self.relay.log, &error.to_string()),
            }
        }
    }

    fn make_digest(&self, now_ms: u64) -> Digest {
        let relay = &self.relay;
        let mut services = BTreeMap::new();
        for (service, book) in relay.books() {
            let book = book.lock();
            let loads = book.own_loads().map(|(upstream, load)| {
                let waiting = load.waiting.iter();
                let waiting =
                    waiting.map(|(rank, waiting)| (*rank, waiting.requests, waiting.tokens));
                (upstream.to_owned(), load.running, load.answering, waiting.collect())
            });
            let TokenDemand { arrived_tokens_per_ms, sent_tokens_per_ms } = book.own_demand(now_ms);
            let told =
                ToldService { arrived_tokens_per_ms, sent_tokens_per_ms, loads: loads.collect() };
            services.insert(service, told);
        }
        Digest {
            instance: relay.settings.instance.clone(),
            boot: relay.boot,
            availability_zone: relay.settings.availability_zone.clone(),
            peer_address: relay.settings.peer_address,
            own_time_ms: relay.time.lock().local_ms(now_ms),
            cap_totals: relay
                .tell_cap_totals()
                .into_iter()
                .map(|(organisation, totals)| {
                    (organisation, (totals.used as u64, totals.requested as u64))
                })
                .collect(),
            windows: relay.newest_windows(),
            services,
        }
    }

    async fn ask_if_needed(&self, addresses: &[SocketAddr], now_ms: u64) {
        let (version, age_ms) = {
            let in_force = self.relay.in_force.read();
            (in_force.version(), in_force.staleness_bound_ms(now_ms))
        };
        let asked_ms = self.relay.settings.bounds.proof_asked_ms();
        if age_ms.is_some_and(|age_ms| age_ms < asked_ms) {
            return;
        }
        let nonce = rand::random();
        {
            let mut asked = self.asked.lock();
            asked.retain(|_, at_ms| now_ms.saturating_sub(*at_ms) < ASK_VALID_MS);
            asked.insert(nonce, now_ms);
        }
        let chosen: Vec<SocketAddr> =
            addresses.choose_multiple(&mut rand::rng(), ASKED).copied().collect();
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

    async fn take(&self, message: Message, source: SocketAddr) {
        match message {
            Message::Digest(digest) => self.take_digest(&digest),
            Message::Ask { nonce, version } => {
                if let Some(proof) = self.make_proof(nonce, version) {
                    self.send_all(&Message::Proof(Box::new(proof)), &[source]).await;
                }
            }
            Message::Proof(proof) => self.take_proof(*proof, source),
        }
    }

    fn take_digest(&self, digest: &Digest) {
        let relay = &self.relay;
        if digest.instance == relay.settings.instance {
            return;
        }
        let now_ms = relay.now_ms();
        let name = &digest.instance;
        let zone = &digest.availability_zone;
        relay.members.lock().hear(name, zone, digest.peer_address, now_ms);
        relay.time.lock().record_peer(name, digest.own_time_ms, now_ms);
        let totals = digest.cap_totals.iter().map(|(organisation, (used, asked))| {
            (organisation.as_str(), CapTotals { used: *used as f64, requested: *asked as f64 })
        });
        relay.take_cap_totals(name, digest.boot, totals);
        relay.fleet_usage.lock().merge(name, digest.boot, &digest.windows);
        for (service, book) in relay.books() {
            let mut book = book.lock();
            book.clear_peer(name);
            let Some(told) = digest.services.get(&service) else { continue };
            let work = TokenDemand {
                arrived_tokens_per_ms: told.arrived_tokens_per_ms,
                sent_tokens_per_ms: told.sent_tokens_per_ms.clone(),
            };
            book.set_peer_demand(name, work);
            for (upstream, running, answering, waiting) in &told.loads {
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
                book.set_peer_load(name, upstream, load, now_ms);
            }
        }
    }

    fn make_proof(&self, nonce: u64, known: Option<u64>) -> Option<Proof> {
        let relay = &self.relay;
        let in_force = relay.in_force.read();
        let table = in_force.table()?;
        let version = table.document().version;
        let age_ms = in_force.staleness_bound_ms(relay.now_ms())?;
        let is_newer = known.is_none_or(|known| known < version);
        Some(Proof {
            nonce,
            version,
            age_ms,
            document: is_newer.then(|| table.document().clone()),
            upstreams: relay.directory.lock().entries().cloned().collect(),
        })
    }

    fn take_proof(&self, proof: Proof, peer: SocketAddr) {
        let relay = &self.relay;
        // The answer was made after the question, whatever time it took on its way.
        let Some(asked_at_ms) = self.asked.lock().get(&proof.nonce).copied() else { return };
        let Some(proven_at_ms) = asked_at_ms.checked_sub(proof.age_ms) else { return };
        let now_ms = relay.now_ms();
        let own_age_ms = relay.in_force.read().staleness_bound_ms(now_ms);
        let is_fresher =
            own_age_ms.is_none_or(|age_ms| now_ms.saturating_sub(proven_at_ms) < age_ms);
        if !is_fresher {
            return;
        }
        if let Some(document) = proof.document {
            relay.offer_document(document, "peer");
        }
        relay.replace_upstreams(proof.upstreams);
        relay.in_force.write().attest_freshness(proof.version, proven_at_ms);
        relay.log.write("proof_from_peer", || {
            json!({
                "peer": peer, "version": proof.version, "own_age_ms": own_age_ms,
                "age_ms": now_ms.saturating_sub(proven_at_ms),
            })
        });
    }
}

fn log_failure(log: &EventLog, reason: &str) {
    metrics::counter!("hickorycourse_datagram_failures_total").increment(1);
    log.write("datagram_failed", || json!({ "reason": reason }));
}
