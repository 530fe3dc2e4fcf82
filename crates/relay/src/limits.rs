//! Rate limits that upstreams name for all instances together: what is known of them, and the permits for
//! requests to them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hickorycourse_permits::{
    Claim, Grant, LimitChange, LimitNotice, NoticeError, RateLimit, choose_issuer, claim_pause_ms,
};
use ntex::rt;
use serde_json::json;
use tokio::sync::{mpsc, oneshot};

use crate::adapter::NamedLimit;
use crate::broadcast::{PeerBroadcast, count_dropped};
use crate::datagrams::{Message, PermitClaim, PermitReply};
use crate::state::Relay;

/// Time without a sign of an instance after which it is not expected to grant permits.
const ISSUER_SILENCE_MS: u64 = 2_500;
/// Time for the reply to a claim.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(200);
/// Time until the next claim after one without a reply.
const UNANSWERED_CLAIM_MS: u64 = 250;
/// Rate at which all instances together try a suspected request.
const PROBES_PER_SECOND: f64 = 1.0;
/// Prefix of the names under which permits for suspected requests are claimed; no upstream has it.
const PROBE_PREFIX: &str = "request/";
/// Claims that wait to be sent.
const MAX_QUEUED_CLAIMS: usize = 256;
/// Time after the start of the process for which it waits to be told the limits that others know.
const LIMITS_TOLD_WITHIN_MS: u64 = 1_500;

/// A claim for another instance.
pub struct RemoteClaim {
    issuer: String,
    address: SocketAddr,
    claim: PermitClaim,
    reply: oneshot::Sender<PermitReply>,
}

/// The instance that grants the permits of an upstream.
enum Issuer {
    /// This instance.
    Own,
    /// Another one.
    Other { name: String, address: SocketAddr },
    /// None is known.
    Unknown,
}

impl Relay {
    pub(crate) fn wall_ms(&self) -> u64 {
        self.wall_clock.lock().estimate_ms(self.now_ms())
    }

    /// Records what the head of a response says of its upstream's limit. The request was sent at `sent_at_ms`
    /// to the start of the upstream at `started_at_ms`.
    pub fn record_limit(
        &self,
        upstream: &str,
        started_at_ms: Option<u64>,
        sent_at_ms: u64,
        named: &NamedLimit,
    ) {
        let wall_ms = self.wall_ms();
        let sent_wall_ms = wall_ms.saturating_sub(self.now_ms().saturating_sub(sent_at_ms));
        let change = match named {
            NamedLimit::Unknown => return,
            NamedLimit::Invalid(value) => {
                self.log.write("limit_ignored", || json!({ "upstream": upstream, "value": value }));
                return;
            }
            NamedLimit::Limited(limit) => {
                self.limits.lock().record_named(upstream, started_at_ms, *limit, wall_ms)
            }
            NamedLimit::Unlimited => {
                let mut limits = self.limits.lock();
                limits.record_unnamed(upstream, started_at_ms, sent_wall_ms, wall_ms)
            }
        };
        if matches!(named, NamedLimit::Limited(_)) || change.is_some() {
            self.apply_limit(upstream);
        }
        self.publish_limit_change(change, "response");
    }

    /// Records that an upstream has started anew.
    pub fn record_limit_restart(&self, upstream: &str) {
        let started_at_ms = self.directory.lock().started_at_ms(upstream);
        let wall_ms = self.wall_ms();
        let change = self.limits.lock().record_restart(upstream, started_at_ms, wall_ms);
        self.publish_limit_change(change, "restart");
    }

    /// Merges what another instance tells. `source` names its origin in the log.
    pub fn merge_limits(&self, notices: &[LimitNotice], source: &str) {
        self.are_limits_told.store(true, Ordering::Relaxed);
        for notice in notices {
            if let Err(error) = self.merge_limit(notice, source) {
                count_dropped("limit");
                self.log.write("limit_notice_ignored", || {
                    json!({
                        "source": source, "upstream": notice.upstream, "reason": error.to_string(),
                    })
                });
            }
        }
    }

    fn merge_limit(&self, notice: &LimitNotice, source: &str) -> Result<(), NoticeError> {
        // A start that the store has not listed yet, or no longer lists, gets no requests.
        let is_listed = self.directory.lock().lists_start(&notice.upstream, notice.started_at_ms);
        if !is_listed {
            return Ok(());
        }
        let wall_ms = self.wall_ms();
        let change = {
            let mut limits = self.limits.lock();
            let said_at_ms = limits.get(&notice.upstream).map(|known| known.said_at_ms);
            let change = limits.merge(notice, wall_ms)?;
            if limits.get(&notice.upstream).map(|known| known.said_at_ms) == said_at_ms {
                return Ok(());
            }
            change
        };
        self.apply_limit(&notice.upstream);
        self.publish_limit_change(change, source);
        Ok(())
    }

    fn publish_limit_change(&self, change: Option<LimitChange>, source: &str) {
        let Some(LimitChange { upstream, before, after }) = change else { return };
        self.log.write("limit_changed", || {
            json!({
                "upstream": upstream, "source": source,
                "before": before.map(RateLimit::per_second),
                "after": after.map(RateLimit::per_second),
            })
        });
        metrics::gauge!("hickorycourse_limited_upstreams")
            .set(self.limits.lock().limited().count() as f64);
        self.digest_requested.notify_one();
    }

    /// Applies the known limit of an upstream to placement.
    fn apply_limit(&self, upstream: &str) {
        let (now_ms, wall_ms) = (self.now_ms(), self.wall_ms());
        let known = self.limits.lock().get(upstream).copied();
        let limit = known.and_then(|known| {
            let said_at_ms = now_ms.saturating_sub(wall_ms.saturating_sub(known.said_at_ms));
            known.limit.map(|limit| (limit.granted_per_second(), said_at_ms))
        });
        for (_, placement_table) in self.placement_tables() {
            placement_table.lock().set_limit(upstream, limit);
        }
    }

    /// Applies all known limits to placement, after a change of the upstreams.
    pub fn apply_limits(&self) {
        let limited: Vec<String> =
            self.limits.lock().limited().map(|(upstream, _)| upstream.to_owned()).collect();
        for upstream in limited {
            self.apply_limit(&upstream);
        }
    }

    /// Forgets the limits of former upstreams, and the schedules of permits that other instances grant now.
    pub fn expire_limits(&self) {
        let wall_ms = self.wall_ms();
        {
            let directory = self.directory.lock();
            let is_listed =
                |upstream: &str, started_at_ms| directory.lists_start(upstream, started_at_ms);
            self.limits.lock().expire(wall_ms, is_listed);
        }
        let is_issuer = |upstream: &str, started_at_ms| {
            matches!(self.find_issuer(upstream, started_at_ms), Issuer::Own)
        };
        self.permit_issuer.lock().retain(self.now_ms(), is_issuer);
    }

    /// Returns whether another instance may know of limits that this one has not been told yet.
    pub fn awaits_limits(&self, now_ms: u64) -> bool {
        now_ms < LIMITS_TOLD_WITHIN_MS
            && !self.are_limits_told.load(Ordering::Relaxed)
            && self.members.lock().count(now_ms) > 1
    }

    fn find_issuer(&self, upstream: &str, started_at_ms: Option<u64>) -> Issuer {
        let now_ms = self.now_ms();
        let own = self.settings.instance.as_str();
        let own_candidate = (!self.drain.is_stopping()).then_some(own);
        // Members of a large fleet only hear of those of their own zone, and of aggregators.
        let is_aggregated = self.exchange.lock().is_aggregated();
        let judged_zone = is_aggregated.then_some(self.settings.availability_zone.as_str());
        let members = self.members.lock();
        let others = members.issuer_candidates(judged_zone, ISSUER_SILENCE_MS, now_ms);
        match choose_issuer(upstream, started_at_ms, own_candidate.into_iter().chain(others)) {
            Some(name) if name == own => Issuer::Own,
            Some(name) => match members.address(name) {
                Some(address) => Issuer::Other { name: name.to_owned(), address },
                None => Issuer::Unknown,
            },
            None => Issuer::Unknown,
        }
    }

    /// Claims a permit to send a request to an upstream. An upstream whose limit has ended needs none.
    pub async fn claim_permit(&self, upstream: &str, claim: Claim) -> PermitReply {
        let known = self.limits.lock().get(upstream).copied();
        let Some((known, limit)) = known.and_then(|known| Some((known, known.limit?))) else {
            return PermitReply::Granted { wait_ms: 0 };
        };
        self.claim_from_issuer(LimitNotice::new(upstream, &known), limit, claim).await
    }

    /// Claims a permit to try a suspected request.
    pub async fn claim_probe(&self, item: &str) -> PermitReply {
        let Some(limit) = RateLimit::new(PROBES_PER_SECOND) else {
            return PermitReply::NotIssuer;
        };
        let notice = LimitNotice {
            upstream: format!("{PROBE_PREFIX}{item}"),
            started_at_ms: None,
            per_second: Some(PROBES_PER_SECOND),
            said_at_ms: self.wall_ms(),
        };
        let claim = Claim { urgency: 0, organisation: 0, max_wait_ms: 0 };
        self.claim_from_issuer(notice, limit, claim).await
    }

    async fn claim_from_issuer(
        &self,
        notice: LimitNotice,
        limit: RateLimit,
        claim: Claim,
    ) -> PermitReply {
        let started_at_ms = notice.started_at_ms;
        let reply = match self.find_issuer(&notice.upstream, started_at_ms) {
            Issuer::Unknown => PermitReply::NotIssuer,
            Issuer::Own => self.grant(&notice.upstream, started_at_ms, limit, &claim),
            Issuer::Other { name, address } => {
                let claim = PermitClaim {
                    limit: notice,
                    urgency: claim.urgency,
                    organisation: claim.organisation,
                    max_wait_ms: claim.max_wait_ms,
                };
                self.claim_remotely(name, address, claim).await
            }
        };
        let outcome = match reply {
            PermitReply::Granted { .. } => "granted",
            PermitReply::Denied { .. } => "denied",
            PermitReply::NotIssuer => "not_issuer",
        };
        metrics::counter!("hickorycourse_permit_claims_total", "outcome" => outcome).increment(1);
        reply
    }

    /// Returns the time until the next claim of a permit that was denied.
    pub fn claim_pause_ms(&self, upstream: &str, available_in_ms: u64, max_wait_ms: u64) -> u64 {
        let known = self.limits.lock().get(upstream).and_then(|known| known.limit);
        let instances = self.members.lock().count(self.now_ms());
        known.map_or(available_in_ms, |limit| {
            claim_pause_ms(limit, instances, available_in_ms, max_wait_ms)
        })
    }

    async fn claim_remotely(
        &self,
        issuer: String,
        address: SocketAddr,
        claim: PermitClaim,
    ) -> PermitReply {
        let unanswered = PermitReply::Denied { available_in_ms: UNANSWERED_CLAIM_MS };
        let Some(claims) = self.remote_claims.get() else { return unanswered };
        let (reply, receiver) = oneshot::channel();
        if claims.try_send(RemoteClaim { issuer, address, claim, reply }).is_err() {
            return unanswered;
        }
        receiver.await.unwrap_or(unanswered)
    }

    fn grant(
        &self,
        upstream: &str,
        started_at_ms: Option<u64>,
        limit: RateLimit,
        claim: &Claim,
    ) -> PermitReply {
        let now_ms = self.now_ms();
        let mut issuer = self.permit_issuer.lock();
        match issuer.claim(upstream, started_at_ms, limit, claim, now_ms) {
            Grant::Granted { wait_ms } => PermitReply::Granted { wait_ms },
            Grant::Denied { available_in_ms } => PermitReply::Denied { available_in_ms },
        }
    }
}

impl PeerBroadcast {
    /// Returns the queue of claims for other instances, to be passed to
    /// [`send_claims`](Self::send_claims).
    pub fn open_claims(&self) -> mpsc::Receiver<RemoteClaim> {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_CLAIMS);
        // A process opens the queue once.
        let _ = self.relay.remote_claims.set(sender);
        receiver
    }

    /// Sends claims to other instances until the queue is closed.
    pub async fn send_claims(self: Arc<Self>, mut claims: mpsc::Receiver<RemoteClaim>) {
        while let Some(claim) = claims.recv().await {
            rt::spawn(Arc::clone(&self).send_claim(claim));
        }
    }

    async fn send_claim(self: Arc<Self>, remote: RemoteClaim) {
        let nonce = rand::random();
        let message = Message::Claim { nonce, claim: remote.claim };
        let received = self.request(remote.address, &message, nonce, CLAIM_TIMEOUT).await;
        let now_ms = self.relay.now_ms();
        self.relay.members.lock().record_reply(&remote.issuer, received.is_some(), now_ms);
        let reply = match received {
            Some(Message::Grant { reply, .. }) => reply,
            _ => PermitReply::Denied { available_in_ms: UNANSWERED_CLAIM_MS },
        };
        // The caller may have left meanwhile; the permit then expires.
        let _ = remote.reply.send(reply);
    }

    /// Decides on the claim of another instance.
    pub fn handle_claim(&self, claim: &PermitClaim) -> PermitReply {
        let relay = &self.relay;
        let LimitNotice { upstream, started_at_ms, per_second, .. } = &claim.limit;
        relay.merge_limits(std::slice::from_ref(&claim.limit), "claim");
        // What this instance knows may be later than the claim.
        let known = relay.limits.lock().get(upstream).and_then(|known| known.limit);
        let Some(limit) = known.or_else(|| per_second.and_then(RateLimit::new)) else {
            return PermitReply::NotIssuer;
        };
        match relay.find_issuer(upstream, *started_at_ms) {
            Issuer::Own => {
                let claim = Claim {
                    urgency: claim.urgency,
                    organisation: claim.organisation,
                    max_wait_ms: claim.max_wait_ms,
                };
                relay.grant(upstream, *started_at_ms, limit, &claim)
            }
            Issuer::Other { .. } | Issuer::Unknown => PermitReply::NotIssuer,
        }
    }
}
