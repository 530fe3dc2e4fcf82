//! Replies of aggregators that arrive after the time for them.
//!
//! Load pattern: hundreds of instances with a small share of a processor each, in a growth of demand. An
//! aggregator with fifty members replies after 300 ms then. What it says is newer than anything that its
//! member knows, and the next report is 400 ms away.

use std::collections::BTreeMap;

use hickorycourse_digest::{FleetParts, PartMark, ZoneDigest};

/// Time after the report for which a reply is still used.
const MAX_DELAY_MS: u64 = 2_000;
/// Reports whose replies are awaited.
const MAX_AWAITED: usize = 8;

#[derive(Debug)]
struct AwaitedReply {
    aggregator: String,
    asked_at_ms: u64,
    parts: FleetParts,
}

/// Reports to which no complete reply has arrived in time, by nonce.
#[derive(Debug, Default)]
pub struct LateReplies {
    awaited: BTreeMap<u64, AwaitedReply>,
}

impl LateReplies {
    /// Expects the rest of the reply to a report, of which `parts` have arrived.
    pub fn expect(&mut self, nonce: u64, aggregator: &str, asked_at_ms: u64, parts: FleetParts) {
        self.awaited.retain(|_, reply| asked_at_ms < reply.asked_at_ms + MAX_DELAY_MS);
        if self.awaited.len() < MAX_AWAITED {
            let aggregator = aggregator.to_owned();
            self.awaited.insert(nonce, AwaitedReply { aggregator, asked_at_ms, parts });
        }
    }

    /// Returns whether the reply to a report is awaited.
    pub fn is_awaited(&self, nonce: u64) -> bool {
        self.awaited.contains_key(&nonce)
    }

    /// Adds a part. When the reply is complete, returns the name of the aggregator and the digests. The
    /// reply may have been in flight since the report was sent, which is added to the ages.
    pub fn add(
        &mut self,
        nonce: u64,
        part: PartMark,
        zones: Vec<ZoneDigest>,
        now_ms: u64,
    ) -> Option<(String, Vec<ZoneDigest>)> {
        let reply = self.awaited.get_mut(&nonce)?;
        let delay_ms = now_ms.saturating_sub(reply.asked_at_ms);
        let is_complete = reply.parts.add(part, delay_ms, zones);
        if !is_complete && delay_ms < MAX_DELAY_MS {
            return None;
        }
        let reply = self.awaited.remove(&nonce)?;
        if delay_ms >= MAX_DELAY_MS {
            return None;
        }
        let (mut zones, age_ms) = reply.parts.into_zones()?;
        for zone in &mut zones {
            zone.age_ms += age_ms;
        }
        Some((reply.aggregator, zones))
    }
}
