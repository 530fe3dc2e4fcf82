//! Digests between instances: directly in small fleets, through an aggregator of each zone in large ones.

use std::rc::Rc;

use hickorycourse_quarantine::QuarantineDigest;
use rand::Rng;

use super::fleet::MadeDigest;
use super::simulation::{Event, Simulation};

/// Largest fleet in which instances send their digests to all others.
const MESH_MAX_INSTANCES: usize = 16;
/// Time between two digests of an instance, and so the delay of each hop.
const EXCHANGE_INTERVAL_MS: std::ops::RangeInclusive<u64> = 100..=400;
/// Time for which an aggregator sends the same reply.
const REPLY_TTL_MS: u64 = 120;
/// Time after which the digest of another zone is no longer forwarded.
const MAX_ZONE_AGE_MS: u64 = 10_000;

/// A digest in flight.
pub struct Delivery {
    from: usize,
    to: usize,
    digest: Rc<QuarantineDigest>,
    /// Time for which the sender held it.
    held_ms: u64,
    /// Whether the sender awaits the digest of the receiver.
    wants_reply: bool,
}

impl Simulation<'_> {
    /// Schedules the next digest of an instance.
    pub fn schedule_exchange(&mut self, instance: usize) {
        let delay_ms = self.rng.random_range(EXCHANGE_INTERVAL_MS);
        self.schedule_in(delay_ms, Event::Exchange { instance });
    }

    /// Sends the digest of an instance.
    pub fn handle_exchange(&mut self, instance: usize) {
        if self.policy.quarantine.is_none() || !self.is_running() {
            return;
        }
        let now_ms = self.now_ms;
        let changes = self.instances[instance].quarantine.expire(now_ms);
        self.record_verdicts(instance, &changes);
        let digest = Rc::new(self.instances[instance].quarantine.digest(now_ms));
        let zones = self.pattern.zones();
        if self.instances.len() <= MESH_MAX_INSTANCES {
            for to in (0..self.instances.len()).filter(|to| *to != instance) {
                self.deliver(instance, to, &(Rc::clone(&digest), now_ms), false);
            }
        } else if instance < zones {
            for to in (0..zones).filter(|to| *to != instance) {
                self.deliver(instance, to, &(Rc::clone(&digest), now_ms), false);
            }
        } else {
            let aggregator = self.instances[instance].zone;
            self.deliver(instance, aggregator, &(digest, now_ms), true);
        }
        self.schedule_exchange(instance);
    }

    fn deliver(&mut self, from: usize, to: usize, digest: &MadeDigest, wants_reply: bool) {
        let (digest, made_at_ms) = digest;
        if digest.is_empty() && !wants_reply {
            return;
        }
        let held_ms = self.now_ms - made_at_ms;
        let delay_ms = self.rng.random_range(1..=20);
        let delivery = Delivery { from, to, digest: Rc::clone(digest), held_ms, wants_reply };
        self.schedule_in(delay_ms, Event::Delivery(delivery));
    }

    /// Merges a digest, and replies if the sender awaits that.
    pub fn handle_delivery(&mut self, delivery: Delivery) {
        let Delivery { from, to, digest, held_ms, wants_reply } = delivery;
        let is_cut = |instance: usize| self.cut_zone == Some(self.instances[instance].zone);
        if is_cut(from) != is_cut(to) {
            return;
        }
        if !digest.is_empty() {
            self.merge(to, &digest, held_ms);
        }
        let zones = self.pattern.zones();
        let is_aggregated = self.instances.len() > MESH_MAX_INSTANCES;
        if is_aggregated && from < zones && to < zones {
            let made_at_ms = self.now_ms.saturating_sub(held_ms);
            self.instances[to].zone_digests[from] = Some((digest, made_at_ms));
        }
        if wants_reply {
            self.reply(to, from);
        }
    }

    /// Merges a digest that was under way or stored for `held_ms`.
    pub fn merge(&mut self, instance: usize, digest: &QuarantineDigest, held_ms: u64) {
        let quarantine = &mut self.instances[instance].quarantine;
        let merged = if held_ms == 0 {
            quarantine.merge(digest, self.now_ms)
        } else {
            let mut digest = digest.clone();
            digest.add_age(held_ms);
            quarantine.merge(&digest, self.now_ms)
        };
        let changes = merged.unwrap_or_default();
        self.record_verdicts(instance, &changes);
    }

    /// Sends the digests of all zones from an aggregator to a member of its zone.
    fn reply(&mut self, aggregator: usize, member: usize) {
        let now_ms = self.now_ms;
        let known = &mut self.instances[aggregator];
        let fresh =
            known.reply.clone().filter(|(_, made_at_ms)| now_ms < made_at_ms + REPLY_TTL_MS);
        let own = fresh.unwrap_or_else(|| (Rc::new(known.quarantine.digest(now_ms)), now_ms));
        known.reply = Some(own.clone());
        let others: Vec<MadeDigest> = known.zone_digests.iter().flatten().cloned().collect();
        self.deliver(aggregator, member, &own, false);
        for zone in others.iter().filter(|(_, made_at_ms)| now_ms < made_at_ms + MAX_ZONE_AGE_MS) {
            self.deliver(aggregator, member, zone, false);
        }
    }
}
