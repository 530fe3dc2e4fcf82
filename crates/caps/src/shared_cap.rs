//! One organisation's cap, kept by many instances.

use std::collections::HashMap;

/// Silence after which a peer's part of the rate is held back instead of its reported use: several
/// reports must have been lost by then.
const PEER_SILENT_MS: u64 = 2_500;
/// Part of a full bucket that each rank leaves to the next more urgent one. When an organisation asks
/// for more than its cap, its urgent requests go first.
const RESERVE_PART: f64 = 0.1;
/// Ranks that leave more than the one before; all later ones leave the same.
const RESERVED_RANKS: u8 = 3;
/// Part of a full bucket above which a request is large.
const LARGE_PART: f64 = 0.002;
/// Time over which a peer's rate is averaged. A single large request must not be taken for a rate
/// that goes on.
const RATE_TIME_MS: f64 = 1_000.0;
/// Time after which a silent peer is forgotten.
const PEER_FORGOTTEN_MS: u64 = 20_000;
/// Part of the burst that a process may use right after its start, when it knows nothing of what
/// others have used.
const START_PART: f64 = 0.25;

/// A cap.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapLimits {
    /// Units allowed a second.
    pub per_second: f64,
    /// Units that may be saved up.
    pub burst: f64,
    /// Units that may be used beyond these in the window of the cap. They cover what instances have
    /// not heard of each other yet.
    pub allowance: f64,
}

/// Part of the allowance that is granted like the burst; the rest covers use that is not heard of.
const ALLOWANCE_PART: f64 = 0.5;
/// Part of a full bucket that an instance uses before it tells the others without waiting.
const TELL_PART: f64 = 0.03;

impl CapLimits {
    /// The level of a full bucket.
    fn capacity(&self) -> f64 {
        self.burst + self.allowance * ALLOWANCE_PART
    }
}

#[derive(Clone, Copy, Debug)]
struct PeerUse {
    boot: u64,
    /// Units used since that process started.
    total: f64,
    /// Units a second, averaged over the last reports.
    rate: f64,
    heard_at_ms: u64,
    /// Units taken from the level since the last report, in place of what it has not told yet.
    assumed: f64,
}

/// A token bucket that all instances fill and empty together. The level may go below zero by what
/// others used before this instance heard of it; it is paid back before anything is granted.
#[derive(Clone, Debug)]
pub struct SharedCap {
    limits: CapLimits,
    level: f64,
    updated_at_ms: u64,
    own_total: f64,
    /// What the others have been told of `own_total`.
    told_total: f64,
    peers: HashMap<String, PeerUse>,
}

impl SharedCap {
    /// Creates the cap of a process that has just started among `instances` instances.
    pub fn new(limits: CapLimits, instances: usize, now_ms: u64) -> Self {
        let level = limits.capacity() * START_PART / instances.max(1) as f64;
        Self {
            limits,
            level,
            updated_at_ms: now_ms,
            own_total: 0.0,
            told_total: 0.0,
            peers: HashMap::new(),
        }
    }

    /// Changes the cap. A lower burst cuts what is saved up.
    pub fn set_limits(&mut self, limits: CapLimits) {
        self.limits = limits;
        self.level = self.level.min(limits.capacity());
    }

    /// Takes units if the cap has them. Large requests leave a part of the bucket to those of more
    /// urgent ranks.
    ///
    /// # Errors
    /// The time after which the units are expected to be there, in milliseconds.
    pub fn try_take(
        &mut self,
        units: f64,
        urgency: u8,
        instances: usize,
        now_ms: u64,
    ) -> Result<(), u64> {
        self.refill(instances, now_ms);
        let capacity = self.limits.capacity().max(1.0);
        let is_large = units > capacity * LARGE_PART;
        let ranks = if is_large { urgency.min(RESERVED_RANKS) } else { 0 };
        let reserve = capacity * RESERVE_PART * f64::from(ranks);
        // A request larger than what can ever be saved up passes when the bucket is full.
        let needed = (units + reserve).min(capacity);
        if self.level < needed {
            let missing = needed - self.level;
            return Err((missing / self.limits.per_second.max(1e-9) * 1_000.0) as u64);
        }
        self.level -= units;
        self.own_total += units;
        Ok(())
    }

    /// Gives units back that were taken for a request that did not run.
    pub fn give_back(&mut self, units: f64) {
        self.level = (self.level + units).min(self.limits.capacity());
        self.own_total -= units;
    }

    /// The units that are there, as far as this instance knows.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Units that this process has used since its start.
    pub fn own_total(&self) -> f64 {
        self.own_total
    }

    /// Whether so much was used since the others were told that they must be told now.
    pub fn must_tell(&self) -> bool {
        self.own_total - self.told_total > self.limits.capacity() * TELL_PART
    }

    /// The units to tell the others, who are told now.
    pub fn tell(&mut self) -> f64 {
        self.told_total = self.own_total;
        self.own_total
    }

    /// Takes a peer's report of what it has used since its start.
    pub fn take_report(&mut self, peer: &str, boot: u64, total: f64, now_ms: u64) {
        let known = self.peers.get(peer).copied().filter(|known| known.boot == boot);
        let Some(known) = known else {
            let fresh = PeerUse { boot, total, rate: 0.0, heard_at_ms: now_ms, assumed: 0.0 };
            self.peers.insert(peer.to_owned(), fresh);
            return;
        };
        let used = (total - known.total).max(0.0);
        let elapsed_ms = now_ms.saturating_sub(known.heard_at_ms).max(1) as f64;
        let weight = 1.0 - (-elapsed_ms / RATE_TIME_MS).exp();
        let seen_rate = used / elapsed_ms * 1_000.0;
        self.level = (self.level + known.assumed - used).min(self.limits.capacity());
        let heard = PeerUse {
            boot,
            total: total.max(known.total),
            rate: known.rate + (seen_rate - known.rate) * weight,
            heard_at_ms: now_ms,
            assumed: 0.0,
        };
        self.peers.insert(peer.to_owned(), heard);
    }

    /// Adds what has come in since the last look and takes what peers are assumed to have used.
    fn refill(&mut self, instances: usize, now_ms: u64) {
        let elapsed_s = now_ms.saturating_sub(self.updated_at_ms) as f64 / 1_000.0;
        self.updated_at_ms = now_ms;
        let share = self.limits.per_second / instances.max(1) as f64;
        self.level += self.limits.per_second * elapsed_s;
        self.peers.retain(|_, peer| now_ms.saturating_sub(peer.heard_at_ms) < PEER_FORGOTTEN_MS);
        let mut heard = 0;
        for peer in self.peers.values_mut() {
            let is_silent = now_ms.saturating_sub(peer.heard_at_ms) > PEER_SILENT_MS;
            let rate = if is_silent { share } else { peer.rate };
            heard += usize::from(!is_silent);
            let assumed = rate * elapsed_s;
            peer.assumed += assumed;
            self.level -= assumed;
        }
        // Instances that were never heard of hold their part of the rate.
        let unheard = instances.saturating_sub(1 + heard.max(self.peers.len()));
        self.level -= share * unheard as f64 * elapsed_s;
        self.level = self.level.min(self.limits.capacity());
    }
}
