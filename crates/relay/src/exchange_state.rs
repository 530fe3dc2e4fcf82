//! What an instance knows for the exchange of digests through aggregators.

use std::collections::BTreeMap;
use std::sync::Arc;

use hickorycourse_digest::{MemberDigest, OwnDigests, PartBuffer, ZoneAggregator, ZoneDigest};

use crate::late_replies::LateReplies;

/// Time without a digest after which another zone's aggregator is replaced by one that sends.
const ZONE_SOURCE_SILENCE_MS: u64 = 1_200;
/// Age above which the digest of another zone is not passed on.
const MAX_ZONE_AGE_MS: u64 = 10_000;

/// Sums that are returned to members, encoded in parts.
#[derive(Debug)]
pub struct EncodedSums {
    pub parts: Arc<[Vec<u8>]>,
    pub made_at_ms: u64,
}

/// State of the exchange through aggregators.
#[derive(Debug, Default)]
pub struct ExchangeState {
    pub is_aggregated: bool,
    pub sequence: u64,
    pub own: OwnDigests,
    pub aggregator: ZoneAggregator,
    /// The latest digest of each other zone, with the time of its arrival.
    pub zones: BTreeMap<String, (ZoneDigest, u64)>,
    pub encoded: Option<EncodedSums>,
    /// Start of the aggregator and sequence number of the digest that was applied last, by zone.
    pub applied: BTreeMap<String, (u64, u64)>,
    /// Digests of members of which parts are missing.
    pub member_parts: PartBuffer<MemberDigest>,
    /// The aggregator that has not replied in time to the last report.
    pub unanswered: Option<String>,
    /// Replies that have not arrived in time.
    pub late_replies: LateReplies,
    /// Digests of other zones of which parts are missing.
    pub zone_parts: PartBuffer<ZoneDigest>,
}

impl ExchangeState {
    /// Returns whether digests are aggregated, rather than sent from each instance to all others.
    pub fn is_aggregated(&self) -> bool {
        self.is_aggregated
    }

    pub fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Records the digest of another zone, made at `at_ms`; returns false if it is old, or from another
    /// aggregator than the one that sends for that zone.
    pub fn record_zone(&mut self, zone: ZoneDigest, at_ms: u64) -> bool {
        if let Some((known, received_at_ms)) = self.zones.get(&zone.availability_zone) {
            let is_same_source =
                (known.aggregator.as_str(), known.boot) == (zone.aggregator.as_str(), zone.boot);
            let is_accepted = match is_same_source {
                true => zone.sequence > known.sequence,
                false => at_ms.saturating_sub(*received_at_ms) > ZONE_SOURCE_SILENCE_MS,
            };
            if !is_accepted {
                return false;
            }
        }
        self.zones.insert(zone.availability_zone.clone(), (zone, at_ms));
        true
    }

    /// Records the digest of another zone that the other aggregator of the own zone has returned.
    pub fn record_returned_zone(&mut self, mut zone: ZoneDigest, own_zone: &str, now_ms: u64) {
        if zone.availability_zone != own_zone {
            let age_ms = std::mem::take(&mut zone.age_ms);
            self.record_zone(zone, now_ms.saturating_sub(age_ms));
        }
    }

    /// Returns whether no digest of another zone has arrived recently.
    pub fn is_zone_silent(&self, availability_zone: &str, now_ms: u64) -> bool {
        self.zones.get(availability_zone).is_none_or(|(_, received_at_ms)| {
            now_ms.saturating_sub(*received_at_ms) > ZONE_SOURCE_SILENCE_MS
        })
    }

    /// Records that the digest of a zone is applied; returns false if it is not newer than the one that was
    /// applied last.
    pub fn start_applying(&mut self, zone: &ZoneDigest) -> bool {
        let applied = self.applied.entry(zone.availability_zone.clone()).or_default();
        let is_new = applied.0 != zone.boot || applied.1 < zone.sequence;
        if is_new {
            *applied = (zone.boot, zone.sequence);
        }
        is_new
    }

    /// Returns the digests of the other zones with their present age.
    pub fn other_zones(&self, now_ms: u64) -> impl Iterator<Item = ZoneDigest> {
        let known = self.zones.values().filter_map(move |(zone, received_at_ms)| {
            let age_ms = zone.age_ms + now_ms.saturating_sub(*received_at_ms);
            (age_ms < MAX_ZONE_AGE_MS).then(|| ZoneDigest { age_ms, ..zone.clone() })
        });
        known.collect::<Vec<_>>().into_iter()
    }
}
