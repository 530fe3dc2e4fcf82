//! Freshness attestations: an instance that can't reach the store asks others how long ago its document
//! was known to be the newest one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hickorycourse_clock::sleep;
use ntex::rt;
use rand::seq::IndexedRandom;
use serde_json::json;

use crate::broadcast::PeerBroadcast;
use crate::datagrams::{FreshnessAttestation, Message};

/// Number of instances that receive a freshness query.
const FRESHNESS_QUERY_FANOUT: usize = 3;
/// Age at which a pending query is discarded, checked when the next one is sent; responses to a
/// discarded query are ignored.
const FRESHNESS_QUERY_TIMEOUT_MS: u64 = 2_000;
/// Interval between two queries for newer versions after the start.
const VERSION_QUERY_INTERVAL: Duration = Duration::from_millis(100);
/// Queries that may await a response at the same time.
const MAX_PENDING_QUERIES: usize = 16;

impl PeerBroadcast {
    /// Asks some instances for a fresher attestation if the own one is old.
    pub async fn query_freshness_if_stale(&self, addresses: &[SocketAddr], now_ms: u64) {
        let (version, staleness_ms) = {
            let active_document = self.relay.active_document.read();
            (active_document.version(), active_document.staleness_bound_ms(now_ms))
        };
        // What a follower knows of a quiet store is usually older than what a reader knows.
        let query_after_ms = self
            .relay
            .settings
            .bounds
            .freshness_query_after_ms()
            .max(self.relay.follow_timings().max_age_ms);
        if staleness_ms.is_some_and(|staleness_ms| staleness_ms < query_after_ms) {
            return;
        }
        let chosen: Vec<SocketAddr> =
            addresses.choose_multiple(&mut rand::rng(), FRESHNESS_QUERY_FANOUT).copied().collect();
        self.query_freshness(version, &chosen, now_ms).await;
    }

    async fn query_freshness(&self, version: Option<u64>, addresses: &[SocketAddr], now_ms: u64) {
        let nonce = rand::random();
        {
            let mut pending_queries = self.pending_queries.lock();
            pending_queries
                .retain(|_, at_ms| now_ms.saturating_sub(*at_ms) < FRESHNESS_QUERY_TIMEOUT_MS);
            if pending_queries.len() >= MAX_PENDING_QUERIES {
                return;
            }
            pending_queries.insert(nonce, now_ms);
        }
        self.send_all(&Message::Ask { nonce, version }, addresses).await;
    }

    /// Asks another instance for its document if that is newer: a store that was restored from a
    /// backup may list an older one until the operators have written the newer one again.
    pub async fn query_newer_document(&self, version: Option<u64>, address: SocketAddr) {
        let known = self.relay.active_document.read().version();
        if version > known {
            self.query_freshness(known, &[address], self.relay.now_ms()).await;
        }
    }

    /// Begins to ask other instances for newer versions, at the first listing of the store.
    pub fn begin_version_check(self: &Arc<Self>) {
        let relay = &self.relay;
        let now_ms = relay.now_ms();
        let instances = relay.members.lock().shuffled_addresses(None, &mut rand::rng(), now_ms);
        if relay.settings.bounds.is_revocation_strict
            && relay.version_check.lock().begin(instances, now_ms)
        {
            rt::spawn(Arc::clone(self).check_versions(now_ms));
        }
    }

    async fn check_versions(self: Arc<Self>, begun_at_ms: u64) {
        let relay = &self.relay;
        loop {
            let now_ms = relay.now_ms();
            if !relay.version_check.lock().is_pending(now_ms) {
                relay.log.write(
                    "versions_checked",
                    || json!({ "waited_ms": now_ms.saturating_sub(begun_at_ms) }),
                );
                return;
            }
            let asked = relay.version_check.lock().choose_asked();
            let version = relay.active_document.read().version();
            self.query_freshness(version, &asked, now_ms).await;
            sleep(VERSION_QUERY_INTERVAL).await;
        }
    }

    /// Returns what this instance knows of the newest document, for one that asks.
    pub fn make_attestation(
        &self,
        nonce: u64,
        known_version: Option<u64>,
    ) -> Option<FreshnessAttestation> {
        let relay = &self.relay;
        let active_document = relay.active_document.read();
        let table = active_document.table()?;
        let version = table.document().version;
        let now_ms = relay.now_ms();
        // It attests the document and the list of upstreams.
        let view_age_ms = relay.view_age_ms(now_ms)?;
        let age_ms = active_document.staleness_bound_ms(now_ms)?.max(view_age_ms);
        let is_newer = known_version.is_none_or(|known| known < version);
        Some(FreshnessAttestation {
            nonce,
            version,
            age_ms,
            document: is_newer.then(|| table.document().clone()),
            upstreams: relay.directory.lock().entries().cloned().collect(),
            store_era: relay.store_era(),
        })
    }

    /// Applies the reply to a freshness query.
    pub fn apply_attestation(&self, attestation: FreshnessAttestation, peer: SocketAddr) {
        let relay = &self.relay;
        let Some(queried_at_ms) = self.pending_queries.lock().get(&attestation.nonce).copied()
        else {
            return;
        };
        self.observe_peer_era(attestation.store_era);
        // A newer document was acknowledged by the store, whatever the era and age of the attestation.
        if let Some(document) = attestation.document {
            relay.apply_document(document, "peer");
        }
        relay.version_check.lock().record_answer(peer);
        if attestation.store_era < relay.store_era() {
            return;
        }
        // The response was made after the query was sent. Whatever the network delay was, the
        // version was therefore still the newest at the time of the query minus the reported age,
        // which may be before the start of this process.
        let Some(attested_at_ms) = queried_at_ms.checked_sub(attestation.age_ms) else { return };
        let now_ms = relay.now_ms();
        let own_age_ms = relay.active_document.read().staleness_bound_ms(now_ms);
        let is_fresher =
            own_age_ms.is_none_or(|age_ms| now_ms.saturating_sub(attested_at_ms) < age_ms);
        if !is_fresher {
            return;
        }
        // The list has no revision, so the store has to be listed after it. It is a way out only for one
        // whose own view is old and that nobody tells the changes.
        let max_age_ms = relay.follow_timings().max_age_ms;
        let is_view_old = relay.view_age_ms(now_ms).is_none_or(|age_ms| age_ms >= max_age_ms);
        if is_view_old {
            relay.replace_upstreams_from_peer(attestation.upstreams);
            relay.attest_view(attested_at_ms);
        }
        relay.active_document.write().attest_freshness(attestation.version, attested_at_ms);
        relay.log.write("proof_from_peer", || {
            json!({
                "peer": peer, "version": attestation.version, "own_age_ms": own_age_ms,
                "age_ms": now_ms.saturating_sub(attested_at_ms),
            })
        });
    }
}
