//! Exchange of digests in a large fleet: members report to the aggregators of their availability zone,
//! which exchange the sums between zones and return them.
//!
//! Load pattern: hundreds of instances with small hosts. What a member sends and receives is the same at
//! every size, and so is the age of what it knows. All of it is soft state, and no rule depends on who
//! aggregates: two instances that both do so only cost traffic.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hickorycourse_caps::UsageReport;
use hickorycourse_digest::{
    AGGREGATORS_PER_ZONE, MemberDigest, PartMark, ZoneDigest, encode_zones, rank_aggregators, split,
};
use hickorycourse_duties::UsageSource;
use hickorycourse_quarantine::QuarantineDigest;
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use serde_json::json;
use xxhash_rust::xxh3::xxh3_64;

use crate::broadcast::{PeerBroadcast, apply_services, count_dropped, digest_period_ms};
use crate::datagrams::{MAX_DIGEST_BYTES, Message};
use crate::exchange_state::EncodedSums;
use crate::settings::ExchangePolicy;

/// Interval between two reports of a member, and between two digests of a zone.
pub const EXCHANGE_INTERVAL_MS: u64 = 400;
/// Typical time until other instances know of a change: to the aggregator, to another zone's, and from
/// there to its members.
const AGGREGATED_REPORT_INTERVAL_MS: u64 = 3 * EXCHANGE_INTERVAL_MS;
/// Size of the fleet from which digests are aggregated.
const AGGREGATED_MIN_INSTANCES: usize = 17;
/// Size of the fleet below which they are no longer aggregated.
const MESH_BELOW_INSTANCES: usize = 12;
/// Reports after which the aggregator that is not asked usually is asked once.
const OTHER_ASKED_INTERVAL: u64 = 10;
/// Time for the reply of an aggregator.
const REPLY_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for which the sums that are returned to members are kept.
const SUMS_TTL_MS: u64 = 120;
/// Instances of a zone without recent digests that get a digest in addition to its aggregators.
const FORWARDERS_PER_SILENT_ZONE: usize = 3;

/// Returns the typical time in milliseconds between two reports of another instance, in a fleet of this
/// size.
pub fn report_interval_ms(policy: ExchangePolicy, instances: usize) -> u64 {
    let is_aggregated = match policy {
        ExchangePolicy::Mesh => false,
        ExchangePolicy::Aggregated => true,
        ExchangePolicy::Auto => instances >= AGGREGATED_MIN_INSTANCES,
    };
    if is_aggregated { AGGREGATED_REPORT_INTERVAL_MS } else { digest_period_ms(instances) }
}

/// What a member expects as a reply to its report.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum WantedReply {
    /// Only the sign that the aggregator works.
    Acknowledgement,
    /// The sums of all availability zones.
    Sums,
    /// The sums with the usage windows, for the holder of the duties.
    SumsWithUsage,
}

/// The instances that act for an availability zone.
struct Aggregators {
    /// Whether this instance is the first of them, which sends the digests of the zone to the others.
    is_first: bool,
    /// Whether this instance is one of them.
    is_aggregator: bool,
    /// The others with their peer addresses.
    others: Vec<(String, SocketAddr)>,
}

impl PeerBroadcast {
    /// Chooses between the mesh and aggregators by the size of the fleet; returns whether aggregators
    /// are used.
    pub fn update_exchange(&self, instances: usize) -> bool {
        let relay = &self.relay;
        let mut exchange = relay.exchange.lock();
        let is_aggregated = match relay.settings.policy.exchange {
            ExchangePolicy::Mesh => false,
            ExchangePolicy::Aggregated => true,
            ExchangePolicy::Auto if exchange.is_aggregated => instances >= MESH_BELOW_INSTANCES,
            ExchangePolicy::Auto => instances >= AGGREGATED_MIN_INSTANCES,
        };
        if std::mem::replace(&mut exchange.is_aggregated, is_aggregated) != is_aggregated {
            drop(exchange);
            relay.clear_reports();
            relay.log.write(
                "exchange_changed",
                || json!({ "instances": instances, "is_aggregated": is_aggregated }),
            );
        }
        is_aggregated
    }

    fn own_aggregators(&self, now_ms: u64) -> Aggregators {
        let settings = &self.relay.settings;
        let members = self.relay.members.lock();
        let own = settings.instance.as_str();
        let candidates = members.responsive_names(&settings.availability_zone, now_ms);
        let mut ranked = rank_aggregators(std::iter::once(own).chain(candidates));
        ranked.truncate(AGGREGATORS_PER_ZONE);
        let others = ranked.iter().filter(|name| **name != own);
        Aggregators {
            is_first: ranked.first() == Some(&own),
            is_aggregator: ranked.contains(&own),
            others: others
                .filter_map(|name| Some(((*name).to_owned(), members.address(name)?)))
                .collect(),
        }
    }

    /// Returns the addresses of the instances that aggregate for the other zones: those that are
    /// expected to, and those that have sent the latest digests. From a zone without recent digests some
    /// other instances are added, as all of its aggregators may be lost; they forward the digest.
    fn remote_aggregators(&self, now_ms: u64) -> Vec<SocketAddr> {
        let own_zone = &self.relay.settings.availability_zone;
        let mut addresses = Vec::new();
        {
            let members = self.relay.members.lock();
            for zone in members.availability_zones(now_ms).iter().filter(|zone| *zone != own_zone) {
                let ranked = rank_aggregators(members.responsive_names(zone, now_ms));
                let others = match self.relay.exchange.lock().is_zone_silent(zone, now_ms) {
                    true => FORWARDERS_PER_SILENT_ZONE,
                    false => 0,
                };
                let (expected, rest) = ranked.split_at(ranked.len().min(AGGREGATORS_PER_ZONE));
                let others = rest.choose_multiple(&mut rand::rng(), others);
                let chosen = expected.iter().chain(others);
                addresses.extend(chosen.filter_map(|name| members.address(name)));
            }
        }
        let exchange = self.relay.exchange.lock();
        addresses.extend(exchange.zones.values().filter_map(|(zone, _)| zone.peer_address));
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }

    /// Reports to the aggregators of the own zone and applies what they return. An aggregator applies
    /// its own sums.
    pub async fn exchange_through_aggregators(&self, now_ms: u64) {
        let sequence = self.relay.exchange.lock().next_sequence();
        let digest = self.make_digest(now_ms, sequence);
        {
            let mut exchange = self.relay.exchange.lock();
            exchange.own.record(digest.clone());
            exchange.aggregator.record(digest.clone(), now_ms);
            exchange.aggregator.expire(now_ms);
        }
        let aggregators = self.own_aggregators(now_ms);
        if aggregators.is_aggregator {
            self.act_as_aggregator(&aggregators, digest, now_ms).await;
            return;
        }
        self.report_as_member(&aggregators, digest, sequence).await;
    }

    async fn act_as_aggregator(
        &self,
        aggregators: &Aggregators,
        digest: MemberDigest,
        now_ms: u64,
    ) {
        let zone = self.sum_own_zone(now_ms);
        if aggregators.is_first {
            let told = ZoneDigest { members: Vec::new(), ..zone.clone() };
            let addresses = self.remote_aggregators(now_ms);
            for part in split(told, MAX_DIGEST_BYTES) {
                self.send_all(&Message::Zone(Box::new(part)), &addresses).await;
            }
        }
        let mut zones = vec![zone];
        zones.extend(self.relay.exchange.lock().other_zones(now_ms));
        for zone in zones {
            self.apply_zone(zone, None, now_ms).await;
        }
        let own_zone = self.relay.settings.availability_zone.clone();
        // The other aggregator may have heard of zones that expect this instance not to aggregate.
        for (name, address) in &aggregators.others {
            let wanted = WantedReply::SumsWithUsage;
            let Some((zones, age_ms)) = self.report(name, *address, wanted, digest.clone()).await
            else {
                continue;
            };
            let now_ms = self.relay.now_ms();
            for mut zone in zones {
                zone.age_ms += age_ms;
                self.relay.exchange.lock().record_returned_zone(zone, &own_zone, now_ms);
            }
        }
    }

    /// Reports to both aggregators, so that each can replace the other, and asks one for the sums.
    async fn report_as_member(
        &self,
        aggregators: &Aggregators,
        digest: MemberDigest,
        sequence: u64,
    ) {
        let relay = &self.relay;
        let names: Vec<&str> = aggregators.others.iter().map(|(name, _)| name.as_str()).collect();
        let unanswered = relay.exchange.lock().unanswered.take();
        let own = &relay.settings.instance;
        let Some(asked) = choose_asked(own, sequence, unanswered.as_deref(), &names) else {
            return;
        };
        let wanted = match relay.duty_lease.lock().is_holder() {
            true => WantedReply::SumsWithUsage,
            false => WantedReply::Sums,
        };
        for (index, (_, address)) in aggregators.others.iter().enumerate() {
            if index != asked {
                for report in make_reports(None, WantedReply::Acknowledgement, digest.clone()) {
                    self.send_all(&report, &[*address]).await;
                }
            }
        }
        let (name, address) = &aggregators.others[asked];
        let reply = self.report(name, *address, wanted, digest).await;
        relay.exchange.lock().unanswered = reply.is_none().then(|| name.clone());
        let Some((zones, age_ms)) = reply else { return };
        let now_ms = relay.now_ms();
        for mut zone in zones {
            zone.age_ms += age_ms;
            self.apply_zone(zone, Some(*address), now_ms).await;
        }
    }

    /// Sends a report and waits for the reply: the digests of the zones, and the time since they were
    /// encoded.
    async fn report(
        &self,
        name: &str,
        address: SocketAddr,
        wanted: WantedReply,
        digest: MemberDigest,
    ) -> Option<(Vec<ZoneDigest>, u64)> {
        let nonce = rand::random();
        let reports = make_reports(Some(nonce), wanted, digest);
        let asked_at_ms = self.relay.now_ms();
        let (parts, is_complete) =
            self.request_fleet(address, &reports, nonce, REPLY_TIMEOUT).await;
        let now_ms = self.relay.now_ms();
        self.relay.members.lock().record_reply(name, !parts.is_empty(), now_ms);
        if !is_complete {
            let mut exchange = self.relay.exchange.lock();
            exchange.late_replies.expect(nonce, name, asked_at_ms, parts.clone());
            self.relay.log.write(
                "report_unanswered",
                || json!({ "peer": name, "waited_ms": now_ms.saturating_sub(asked_at_ms) }),
            );
        }
        parts.into_zones()
    }

    /// Handles a reply of an aggregator for which nobody waits any more; returns whether it was expected.
    pub async fn handle_late_reply(
        &self,
        nonce: u64,
        part: PartMark,
        zones: &[u8],
        source: SocketAddr,
    ) -> bool {
        let relay = &self.relay;
        if !relay.exchange.lock().late_replies.is_awaited(nonce) {
            return false;
        }
        let Some(zones) = self.decode_zones(zones) else { return true };
        let now_ms = relay.now_ms();
        let added = relay.exchange.lock().late_replies.add(nonce, part, zones, now_ms);
        let Some((aggregator, zones)) = added else { return true };
        relay.members.lock().record_reply(&aggregator, true, now_ms);
        let is_aggregator = self.own_aggregators(now_ms).is_aggregator;
        let own_zone = relay.settings.availability_zone.clone();
        for zone in zones {
            // An aggregator has the sums of its own zone, and tells its members those of the others.
            match is_aggregator {
                true => relay.exchange.lock().record_returned_zone(zone, &own_zone, now_ms),
                false => self.apply_zone(zone, Some(source), now_ms).await,
            }
        }
        true
    }

    /// Handles the report of a member.
    pub async fn handle_report(
        &self,
        nonce: Option<u64>,
        wanted: WantedReply,
        digest: MemberDigest,
        source: SocketAddr,
    ) {
        let relay = &self.relay;
        let now_ms = relay.now_ms();
        let settings = &relay.settings;
        let is_own_zone = digest.availability_zone == settings.availability_zone;
        if !is_own_zone || digest.instance == settings.instance {
            count_dropped("misdirected");
            return;
        }
        let Some(digest) = relay.exchange.lock().member_parts.add(digest) else { return };
        if !relay.exchange.lock().aggregator.record(digest.clone(), now_ms) {
            count_dropped("old");
            return;
        }
        self.apply_member_state(&digest, now_ms);
        self.query_newer_document(digest.version, digest.peer_address).await;
        let Some(nonce) = nonce else { return };
        let Some((parts, age_ms)) = self.encode_sums(wanted, now_ms) else { return };
        let count = u16::try_from(parts.len()).unwrap_or(u16::MAX);
        for (index, zones) in (0..count).zip(parts.iter()) {
            let part = PartMark { index, count };
            let reply = Message::Fleet { nonce, age_ms, part, zones: zones.clone() };
            self.send_all(&reply, &[source]).await;
        }
    }

    /// Handles the digest of another zone. An instance that is not an aggregator forwards it to those of
    /// its zone, which rank before it, so that it does not come back.
    pub async fn handle_zone(&self, zone: ZoneDigest) {
        let relay = &self.relay;
        if zone.availability_zone == relay.settings.availability_zone {
            count_dropped("misdirected");
            return;
        }
        let now_ms = relay.now_ms();
        self.apply_notices(&zone.departures, &zone.committed_usage, zone.store_era);
        self.merge_zone_quarantine(&zone);
        relay.merge_limits(&zone.limits, &zone.aggregator);
        relay.merge_tolerances(&zone.tolerances, &zone.aggregator);
        let aggregators = self.own_aggregators(now_ms);
        if !aggregators.is_aggregator {
            let addresses: Vec<SocketAddr> =
                aggregators.others.iter().map(|(_, address)| *address).collect();
            self.send_all(&Message::Zone(Box::new(zone)), &addresses).await;
            return;
        }
        let mut exchange = relay.exchange.lock();
        let Some(zone) = exchange.zone_parts.add(zone) else { return };
        if !exchange.record_zone(zone, now_ms) {
            count_dropped("old");
        }
    }

    /// Merges what a zone tells of parts of prompts that crash upstreams.
    fn merge_zone_quarantine(&self, zone: &ZoneDigest) {
        let mut quarantine = zone.quarantine.clone();
        quarantine.add_age(zone.age_ms);
        self.relay.merge_quarantine(&quarantine, &zone.aggregator);
    }

    /// Returns the sums of the own zone.
    fn sum_own_zone(&self, now_ms: u64) -> ZoneDigest {
        let relay = &self.relay;
        let settings = &relay.settings;
        let mut zone = ZoneDigest::new(&settings.availability_zone, &settings.instance, relay.boot);
        zone.peer_address = Some(settings.peer_address);
        zone.sender_wall_ms = relay.wall_clock.lock().local_ms(now_ms);
        zone.version = relay.active_document.read().version();
        zone.quarantine = relay.quarantine.lock().digest(now_ms);
        zone.limits = relay.limits.lock().notices();
        zone.tolerances = relay.tolerances.lock().notices();
        let mut exchange = relay.exchange.lock();
        zone.sequence = exchange.next_sequence();
        exchange.aggregator.sum_into(&mut zone, now_ms);
        zone
    }

    /// Encodes the sums of all zones in parts; returns them with the time since they were made.
    fn encode_sums(&self, wanted: WantedReply, now_ms: u64) -> Option<(Arc<[Vec<u8>]>, u64)> {
        match wanted {
            WantedReply::Acknowledgement => return Some((Arc::new([Vec::new()]), 0)),
            WantedReply::Sums => {
                let exchange = self.relay.exchange.lock();
                let fresh = exchange.encoded.as_ref().and_then(|encoded| {
                    let age_ms = now_ms.saturating_sub(encoded.made_at_ms);
                    (age_ms < SUMS_TTL_MS).then(|| (Arc::clone(&encoded.parts), age_ms))
                });
                if fresh.is_some() {
                    return fresh;
                }
            }
            WantedReply::SumsWithUsage => {}
        }
        let mut zones = vec![self.sum_own_zone(now_ms)];
        let other_zones: Vec<ZoneDigest> = self.relay.exchange.lock().other_zones(now_ms).collect();
        // The own digest has what the others tell of quarantined parts and limits.
        let without_merged = |zone| ZoneDigest {
            quarantine: QuarantineDigest::default(),
            limits: Vec::new(),
            tolerances: Vec::new(),
            ..zone
        };
        zones.extend(other_zones.into_iter().map(without_merged));
        if wanted == WantedReply::Sums {
            zones.iter_mut().for_each(|zone| zone.windows.clear());
        }
        // An older build uses only the first part that arrives.
        let first = rand::random_range(0..zones.len());
        zones.rotate_left(first);
        let parts: Arc<[Vec<u8>]> = match encode_zones(zones, MAX_DIGEST_BYTES) {
            Ok(parts) => parts.into(),
            Err(error) => {
                self.record_send_failure("fleet", 0, None, &error.to_string());
                return None;
            }
        };
        if wanted == WantedReply::Sums {
            let encoded = EncodedSums { parts: Arc::clone(&parts), made_at_ms: now_ms };
            self.relay.exchange.lock().encoded = Some(encoded);
        }
        Some((parts, 0))
    }

    /// Applies the digest of a zone, without the own part of it. `source` is the aggregator that has
    /// returned it.
    async fn apply_zone(&self, mut zone: ZoneDigest, source: Option<SocketAddr>, now_ms: u64) {
        let relay = &self.relay;
        let settings = &relay.settings;
        let reported_at_ms = now_ms.saturating_sub(zone.age_ms);
        if !relay.exchange.lock().start_applying(&zone) {
            return;
        }
        metrics::histogram!("hickorycourse_zone_digest_age_seconds")
            .record(zone.age_ms as f64 / 1_000.0);
        if zone.availability_zone == settings.availability_zone {
            if !relay.exchange.lock().own.subtract_from(&mut zone, &settings.instance) {
                count_dropped("old");
                return;
            }
            let mut members = relay.members.lock();
            for (name, _, age_ms) in &zone.members {
                members.record_heard(name, reported_at_ms.saturating_sub(*age_ms));
            }
        }
        relay.members.lock().record_heard(&zone.aggregator, reported_at_ms);
        if zone.aggregator != settings.instance {
            let wall_ms = zone.sender_wall_ms + zone.age_ms;
            relay.wall_clock.lock().record_peer(&zone.aggregator, wall_ms, now_ms);
        }
        let instances = zone.instances as usize;
        let peer = format!("zone/{}", zone.availability_zone);
        let report = UsageReport {
            availability_zone: &zone.availability_zone,
            peer: None,
            instances,
            usage: &[],
            reported_at_ms,
        };
        relay.apply_cap_usage(&zone.cap_usage, &report);
        let deciders = std::mem::take(&mut zone.deciders);
        relay.cap_deciders.lock().record(&zone.availability_zone, deciders, reported_at_ms);
        let sum = UsageSource { availability_zone: &zone.availability_zone, process: None };
        relay.fleet_usage.lock().merge(&sum, &zone.windows);
        apply_services(relay, &peer, &zone.services, instances, reported_at_ms);
        self.apply_notices(&zone.departures, &zone.committed_usage, zone.store_era);
        self.merge_zone_quarantine(&zone);
        relay.merge_limits(&zone.limits, &zone.aggregator);
        relay.merge_tolerances(&zone.tolerances, &zone.aggregator);
        if let Some(source) = source {
            self.query_newer_document(zone.version, source).await;
        }
    }
}

/// Returns the index of the aggregator that a member asks for the sums; `None` if there is none. Members are
/// spread over the aggregators. The other one is asked now and then, which shows whether it works, and
/// after a report to `unanswered` without a reply.
pub fn choose_asked(
    instance: &str,
    sequence: u64,
    unanswered: Option<&str>,
    aggregators: &[&str],
) -> Option<usize> {
    let count = aggregators.len();
    let usual = xxh3_64(instance.as_bytes()).checked_rem(count as u64)? as usize;
    let asked = (usual + usize::from(sequence.is_multiple_of(OTHER_ASKED_INTERVAL))) % count;
    let is_unanswered = unanswered == Some(aggregators[asked]);
    Some((asked + usize::from(is_unanswered)) % count)
}

/// Returns the messages that report a digest.
fn make_reports(nonce: Option<u64>, wanted: WantedReply, digest: MemberDigest) -> Vec<Message> {
    let parts = split(digest, MAX_DIGEST_BYTES).into_iter();
    parts.map(|part| Message::Report { nonce, wanted, digest: Box::new(part) }).collect()
}
