//! Grants of permits.
//!
//! Load pattern: all instances press on a limited upstream at once, callers of all ranks and
//! organisations, with more requests than it takes. Permits go to the most urgent first, then to the
//! organisation that has had the fewest.

use std::collections::BTreeMap;

use crate::rate_limit::RateLimit;

/// Time from the moment at which an instance becomes the issuer of an upstream to its first grant. Until
/// then, other instances may still ask the issuer before it.
pub const HANDOVER_MS: u64 = 1_500;
/// Time for which unused permits accumulate. They are used while requests arrive unevenly.
const ACCUMULATION_MS: f64 = 500.0;
/// Time for which a claim that was denied takes precedence over less urgent ones.
const PRECEDENCE_MS: u64 = 1_000;
/// Time for which a permit that is due is left to a claim that takes precedence.
const YIELD_MS: f64 = 100.0;
/// Time constant with which the permits granted to an organisation are forgotten.
const GRANTED_TIME_CONSTANT_MS: f64 = 4_000.0;
/// Claims and organisations that are remembered for an upstream.
const MAX_CLAIMANTS: usize = 64;
/// Upstreams whose permits one instance grants.
const MAX_SCHEDULES: usize = 2_048;
/// Time without a claim after which an upstream is forgotten.
const IDLE_MS: u64 = 60_000;

/// A request for a permit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Claim {
    /// Rank; 0 is the most urgent.
    pub urgency: u8,
    /// Hash of the organisation.
    pub organisation: u64,
    /// Longest time that the request can wait for its permit.
    pub max_wait_ms: u64,
}

/// Response to a claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Grant {
    /// The request may be sent after this time.
    Granted {
        /// Time until the permit is valid.
        wait_ms: u64,
    },
    /// No permit is free in time.
    Denied {
        /// Time until the next permit is expected.
        available_in_ms: u64,
    },
}

/// The permits of one upstream.
#[derive(Clone, Debug)]
struct Schedule {
    started_at_ms: Option<u64>,
    /// Time at which the next permit is due.
    next_at_ms: f64,
    last_claim_at_ms: u64,
    /// Permits granted by organisation, with decay, at `decayed_at_ms`.
    granted: BTreeMap<u64, f64>,
    decayed_at_ms: u64,
    /// Times of denied claims by rank and organisation.
    denied: BTreeMap<(u8, u64), u64>,
}

impl Schedule {
    fn new(started_at_ms: Option<u64>, now_ms: u64) -> Self {
        Self {
            started_at_ms,
            next_at_ms: (now_ms + HANDOVER_MS) as f64,
            last_claim_at_ms: now_ms,
            granted: BTreeMap::new(),
            decayed_at_ms: now_ms,
            denied: BTreeMap::new(),
        }
    }

    fn decay(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.decayed_at_ms) as f64;
        let factor = (-elapsed_ms / GRANTED_TIME_CONSTANT_MS).exp();
        self.granted.values_mut().for_each(|granted| *granted *= factor);
        self.granted.retain(|_, granted| *granted > 0.01);
        self.denied.retain(|_, at_ms| now_ms.saturating_sub(*at_ms) < PRECEDENCE_MS);
        self.decayed_at_ms = now_ms;
    }

    /// Returns whether a claim that was denied takes precedence.
    fn must_yield(&self, claim: &Claim) -> bool {
        let granted = |organisation| self.granted.get(&organisation).copied().unwrap_or(0.0);
        let own = granted(claim.organisation);
        self.denied.keys().any(|(urgency, organisation)| {
            *urgency < claim.urgency
                || (*urgency == claim.urgency && granted(*organisation) + 1.0 <= own)
        })
    }

    fn claim(&mut self, limit: RateLimit, claim: &Claim, now_ms: u64) -> Grant {
        self.decay(now_ms);
        self.last_claim_at_ms = now_ms;
        let now = now_ms as f64;
        let interval_ms = limit.interval_ms();
        // After a low limit, the next permit may be far away.
        let latest_next_ms = now + interval_ms.max(HANDOVER_MS as f64) + claim.max_wait_ms as f64;
        self.next_at_ms = self.next_at_ms.clamp(now - ACCUMULATION_MS, latest_next_ms);
        let key = (claim.urgency, claim.organisation);
        let wait_ms = (self.next_at_ms - now).max(0.0);
        let is_granted = match self.must_yield(claim) {
            true => self.next_at_ms + YIELD_MS <= now,
            false => wait_ms <= claim.max_wait_ms as f64,
        };
        if !is_granted {
            if self.denied.len() < MAX_CLAIMANTS || self.denied.contains_key(&key) {
                self.denied.insert(key, now_ms);
            }
            let available_in_ms = wait_ms.max(YIELD_MS).ceil() as u64;
            return Grant::Denied { available_in_ms };
        }
        self.next_at_ms += interval_ms;
        self.denied.remove(&key);
        if self.granted.len() < MAX_CLAIMANTS || self.granted.contains_key(&claim.organisation) {
            *self.granted.entry(claim.organisation).or_default() += 1.0;
        }
        Grant::Granted { wait_ms: wait_ms.ceil() as u64 }
    }
}

/// The permits that an instance grants as the issuer of some upstreams.
#[derive(Clone, Debug, Default)]
pub struct PermitIssuer {
    schedules: BTreeMap<String, Schedule>,
}

impl PermitIssuer {
    /// Decides on a claim for a permit of the start of an upstream at which this instance is the issuer.
    pub fn claim(
        &mut self,
        upstream: &str,
        started_at_ms: Option<u64>,
        limit: RateLimit,
        claim: &Claim,
        now_ms: u64,
    ) -> Grant {
        if !self.schedules.contains_key(upstream) && self.schedules.len() >= MAX_SCHEDULES {
            return Grant::Denied { available_in_ms: HANDOVER_MS };
        }
        let schedule = self
            .schedules
            .entry(upstream.to_owned())
            .or_insert_with(|| Schedule::new(started_at_ms, now_ms));
        if schedule.started_at_ms != started_at_ms {
            *schedule = Schedule::new(started_at_ms, now_ms);
        }
        schedule.claim(limit, claim, now_ms)
    }

    /// Takes back a permit that was granted and not used.
    pub fn take_back(&mut self, upstream: &str, limit: RateLimit) {
        if let Some(schedule) = self.schedules.get_mut(upstream) {
            schedule.next_at_ms -= limit.interval_ms();
        }
    }

    /// Forgets the upstreams of which this instance is no longer the issuer, and those without claims. An
    /// upstream of which it becomes the issuer again is handed over anew.
    pub fn retain(&mut self, now_ms: u64, is_issuer: impl Fn(&str, Option<u64>) -> bool) {
        self.schedules.retain(|upstream, schedule| {
            now_ms.saturating_sub(schedule.last_claim_at_ms) < IDLE_MS
                && is_issuer(upstream, schedule.started_at_ms)
        });
    }
}
