//! The cap (rate limit) of one organisation, enforced by many instances with a replicated token bucket.

use std::collections::HashMap;

use crate::decaying_sum::DecayingSum;

/// Fraction of a full bucket that each rank reserves for the next more urgent one, so that the urgent
/// requests of an organisation over its cap take precedence.
const RESERVE_FRACTION: f64 = 0.1;
/// Number of ranks with increasing reserves; all less urgent ranks have the same reserve.
const RESERVE_RANKS: u8 = 3;
/// Fraction of a full bucket above which a request counts as large. Only large requests observe the
/// reserve.
const LARGE_REQUEST_FRACTION: f64 = 0.002;
/// Time constant of the averages of used and requested units per second. Long enough that a single
/// large request isn't mistaken for a sustained rate.
const RATE_TIME_CONSTANT_MS: f64 = 1_000.0;
/// Time without reports after which a peer is removed.
const PEER_EXPIRY_MS: u64 = 20_000;
/// Fraction of a full bucket that is available at process start, when the usage of the peers is unknown;
/// divided by the number of instances.
const INITIAL_LEVEL_FRACTION: f64 = 0.25;

/// Limits of a cap.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapLimits {
    /// Sustained rate in units per second.
    pub per_second: f64,
    /// Units that can accumulate in the bucket while usage is below the rate.
    pub burst: f64,
    /// Units that may be used beyond rate and burst in the window of the cap. They cover usage that
    /// peers have not reported yet.
    pub allowance: f64,
    /// Typical interval between two reports of a peer.
    pub report_interval_ms: u64,
}

/// Counters of one cap since the start of a process, broadcast to the peers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CapTotals {
    /// Units used.
    pub used: f64,
    /// Units requested, including refused ones.
    pub requested: f64,
}

/// Number of report intervals without a report after which a peer is stale.
const STALE_REPORT_INTERVALS: u64 = 2;
/// Minimum time without a report after which a peer is stale, if the report interval is short.
const MIN_STALE_AFTER_MS: u64 = 2_500;
/// Report intervals until peers have learned of a change in demand, allowing for lost reports.
const PROPAGATION_REPORT_INTERVALS: u64 = 2;
/// Fraction of the allowance that is added to the bucket's size; the rest covers unreported usage.
const ALLOWANCE_FRACTION: f64 = 0.5;
/// Multiples of the rate: load shedding starts above the first one and stops at or below the second one.
const SHEDDING_DEMAND_THRESHOLDS: (f64, f64) = (1.5, 1.1);
/// Fraction of a full bucket at or above which shedding does not start: the burst is meant to absorb
/// peaks.
const SHEDDING_LEVEL_FRACTION: f64 = 0.5;
/// Fraction of the allowance by which the bucket may be overdrawn during shedding.
const OVERDRAFT_FRACTION: f64 = 0.5;
/// Time constant of the long-term average of this instance's demand, the baseline for its growth.
const LONG_TERM_TIME_CONSTANT_MS: f64 = 4_000.0;
/// Time constant of the short-term average of this instance's demand.
const SHORT_TERM_TIME_CONSTANT_MS: f64 = 300.0;
/// Demand counts as grown if the requests within the short-term time constant reach the number expected
/// by the long-term average, times `MIN_GROWTH_FACTOR` plus `MIN_GROWTH_REQUESTS`. Fewer can coincide by
/// chance.
const MIN_GROWTH_FACTOR: f64 = 2.0;
/// See [`MIN_GROWTH_FACTOR`].
const MIN_GROWTH_REQUESTS: f64 = 8.0;
/// Upper bound of the growth factor of this instance's demand that is extrapolated to its peers.
const MAX_GROWTH_FACTOR: f64 = 10.0;
/// Minimum retry delay during shedding, so that demand has changed when the caller retries.
const MIN_RETRY_AFTER_MS: u64 = 150;
/// Fraction of a full bucket that, once used since the last broadcast, triggers an early one.
const EARLY_BROADCAST_FRACTION: f64 = 0.03;

impl CapLimits {
    /// Creates limits whose usage in any window of `window_ms` may exceed rate and burst by the fraction
    /// `overshoot` plus `slack` units.
    pub fn new(
        per_second: f64,
        burst: f64,
        (window_ms, overshoot, slack): (u64, f64, f64),
        report_interval_ms: u64,
    ) -> Self {
        let in_window = per_second * window_ms as f64 / 1_000.0 + burst;
        Self { per_second, burst, allowance: in_window * overshoot + slack, report_interval_ms }
    }

    /// Time without reports after which a peer is stale: its share of the rate is reserved instead of
    /// its reported usage.
    fn stale_after_ms(&self) -> u64 {
        MIN_STALE_AFTER_MS.max(self.report_interval_ms * STALE_REPORT_INTERVALS)
    }

    /// Whether a full bucket, drained at the sustained rate, is empty before all instances have learned
    /// of a change in demand.
    fn has_slow_reports(&self) -> bool {
        let drain_time_ms = self.capacity() / self.per_second.max(1e-9) * 1_000.0;
        (self.report_interval_ms * PROPAGATION_REPORT_INTERVALS) as f64 > drain_time_ms
    }

    /// Level of a full bucket in units.
    fn capacity(&self) -> f64 {
        self.burst + self.allowance * ALLOWANCE_FRACTION
    }
}

#[derive(Clone, Copy, Debug)]
struct PeerUsage {
    /// Identifier of the peer's process start.
    boot: u64,
    /// Instances whose usage the reports contain.
    instances: usize,
    /// Last reported counters since the peer's start.
    totals: CapTotals,
    /// Used units per second, averaged over the last reports.
    used_rate: f64,
    /// Requested units per second, averaged over the last reports.
    requested_rate: f64,
    reported_at_ms: u64,
    /// Extrapolated usage deducted from the level since the last report; the next report replaces it by
    /// the counted usage.
    extrapolated: f64,
}

/// This instance's replica of a token bucket shared by all instances. The level can go below zero by
/// usage that peers report late; it has to refill before units are granted again.
#[derive(Clone, Debug)]
pub struct SharedCap {
    limits: CapLimits,
    level: f64,
    updated_at_ms: u64,
    /// Number of instances at the last request.
    instances: usize,
    own: CapTotals,
    /// Units requested from this instance.
    requested: DecayingSum,
    /// Number of requests to this instance, over the short term.
    short_term_requests: DecayingSum,
    /// Number of requests to this instance, over the long term.
    long_term_requests: DecayingSum,
    is_shedding: bool,
    /// Difference between the units that shedding should have admitted and those it has admitted; carries
    /// the rounding error from request to request.
    admission_credit: f64,
    /// Initial value of the credit, as a fraction of the first request; differs between instances, so that
    /// not all admit and refuse at the same time.
    credit_phase: Option<f64>,
    /// Units that this instance had used at its last broadcast.
    broadcast_used: f64,
    peers: HashMap<String, PeerUsage>,
}

impl SharedCap {
    /// Creates the replica of a process that has just started as one of `instances` instances.
    pub fn new(limits: CapLimits, instances: usize, now_ms: u64) -> Self {
        let level = limits.capacity() * INITIAL_LEVEL_FRACTION / instances.max(1) as f64;
        Self {
            limits,
            level,
            updated_at_ms: now_ms,
            instances,
            own: CapTotals::default(),
            requested: DecayingSum::new(RATE_TIME_CONSTANT_MS),
            short_term_requests: DecayingSum::new(SHORT_TERM_TIME_CONSTANT_MS),
            long_term_requests: DecayingSum::new(LONG_TERM_TIME_CONSTANT_MS),
            is_shedding: false,
            admission_credit: 0.0,
            credit_phase: None,
            broadcast_used: 0.0,
            peers: HashMap::new(),
        }
    }

    /// Sets the point in the cycle of shedding at which this instance begins, from 0 to 1. Instances with
    /// few requests admit the same fraction of them; with the same phase they would do so together.
    pub fn with_shedding_phase(mut self, phase: f64) -> Self {
        self.credit_phase = Some(phase.clamp(0.0, 1.0));
        self
    }

    /// Changes the limits; the level is reduced to the new capacity if it exceeds it.
    pub fn set_limits(&mut self, limits: CapLimits) {
        self.limits = limits;
        self.level = self.level.min(limits.capacity());
    }

    /// Acquires units if the cap has them. Large requests leave a reserve in the bucket for more urgent
    /// ranks. `urgency` is the rank, 0 being the most urgent.
    ///
    /// When the total demand exceeds the rate and reports arrive too late to share a bucket, each
    /// instance admits the same fraction of its demand (Raghavan et al., Cloud Control with Distributed
    /// Rate Limiting, 2007). With a bucket alone, all instances would see it as full until the first
    /// reports arrive, overdraw it, and then refuse every request.
    ///
    /// # Errors
    /// Time in milliseconds after which the units are expected to be available.
    pub fn try_acquire(
        &mut self,
        units: f64,
        urgency: u8,
        instances: usize,
        now_ms: u64,
    ) -> Result<(), u64> {
        self.instances = instances;
        self.refill(now_ms);
        self.record_demand(units, now_ms);
        let capacity = self.limits.capacity().max(1.0);
        let is_large = units > capacity * LARGE_REQUEST_FRACTION;
        let reserved_ranks = if is_large { urgency.min(RESERVE_RANKS) } else { 0 };
        let reserve = capacity * RESERVE_FRACTION * f64::from(reserved_ranks);
        let demand = self.estimate_demand(now_ms);
        let rate = self.available_rate(instances, now_ms);
        self.is_shedding = self.limits.has_slow_reports() && self.must_shed(demand, rate);
        let is_granted = match self.is_shedding {
            true => self.admit_fraction(units, reserve, demand, rate),
            // A request larger than the capacity is granted when the bucket is full.
            false => self.level >= (units + reserve).min(capacity),
        };
        if !is_granted {
            let needed_units = (units + reserve).min(capacity);
            let (missing_units, least_ms) = match self.is_shedding {
                true => ((needed_units - self.level).max(units), MIN_RETRY_AFTER_MS),
                false => (needed_units - self.level, 0),
            };
            let missing_ms = (missing_units / self.limits.per_second.max(1e-9) * 1_000.0) as u64;
            return Err(missing_ms.max(least_ms));
        }
        self.level -= units;
        self.own.used += units;
        Ok(())
    }

    fn must_shed(&self, demand: f64, rate: f64) -> bool {
        let (begin, end) = SHEDDING_DEMAND_THRESHOLDS;
        match self.is_shedding {
            true => demand > rate * end,
            false => {
                demand > rate * begin
                    && self.level < self.limits.capacity() * SHEDDING_LEVEL_FRACTION
            }
        }
    }

    /// Decides whether to admit this request so that, over all requests, the admitted fraction of the
    /// demand is the one that the rate covers: more while the bucket has units, less while it is
    /// overdrawn.
    fn admit_fraction(&mut self, units: f64, reserve: f64, demand: f64, rate: f64) -> bool {
        if self.level < -self.limits.allowance * OVERDRAFT_FRACTION {
            return false;
        }
        // The control loop can't correct the level faster than reports of the peers arrive.
        let control_delay_s = self.limits.stale_after_ms() as f64 / 1_000.0;
        let rate = rate + (self.level - reserve) / control_delay_s;
        let admitted_fraction = (rate / demand.max(1e-9)).clamp(0.0, 1.0);
        if let Some(phase) = self.credit_phase.take() {
            self.admission_credit = units * (phase - 0.5);
        }
        self.admission_credit += units * admitted_fraction;
        if self.admission_credit < units / 2.0 {
            return false;
        }
        self.admission_credit -= units;
        true
    }

    fn record_demand(&mut self, units: f64, now_ms: u64) {
        self.own.requested += units;
        self.requested.add(units, now_ms);
        self.short_term_requests.add(1.0, now_ms);
        self.long_term_requests.add(1.0, now_ms);
    }

    /// Estimated units per second requested from this instance and the peers that report.
    fn estimate_demand(&self, now_ms: u64) -> f64 {
        let fresh = self.peers.values().filter(|peer| !self.is_stale(peer, now_ms));
        let peers = fresh.map(|peer| peer.requested_rate).sum::<f64>();
        self.requested.per_second(now_ms) + peers * self.estimate_demand_growth(now_ms)
    }

    /// Units per second that are left for this instance and the peers that report; the others keep their
    /// share.
    fn available_rate(&self, instances: usize, now_ms: u64) -> f64 {
        let fresh = self.peers.values().filter(|peer| !self.is_stale(peer, now_ms));
        let reporting = 1 + fresh.map(|peer| peer.instances).sum::<usize>();
        let all = instances.max(reporting).max(1);
        self.limits.per_second * reporting as f64 / all as f64
    }

    /// Recent growth factor of this instance's demand, at least 1. Reports of peers lag behind, so their
    /// demand is assumed to have grown by the same factor until they report.
    fn estimate_demand_growth(&self, now_ms: u64) -> f64 {
        let expected_requests =
            self.long_term_requests.per_second(now_ms) / 1_000.0 * SHORT_TERM_TIME_CONSTANT_MS;
        let recent_requests = self.short_term_requests.sum(now_ms);
        match recent_requests < expected_requests * MIN_GROWTH_FACTOR + MIN_GROWTH_REQUESTS {
            true => 1.0,
            false => (recent_requests / expected_requests.max(1.0)).min(MAX_GROWTH_FACTOR),
        }
    }

    fn is_stale(&self, peer: &PeerUsage, now_ms: u64) -> bool {
        now_ms.saturating_sub(peer.reported_at_ms) > self.limits.stale_after_ms()
    }

    /// Refunds units that were acquired for a request that did not run.
    pub fn refund(&mut self, units: f64) {
        self.level = (self.level + units).min(self.limits.capacity());
        self.own.used -= units;
    }

    /// Whether the last request was decided by shedding rather than by the level.
    pub fn is_shedding(&self) -> bool {
        self.is_shedding
    }

    /// Available units as known to this instance; negative if overdrawn.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Units used by this process since its start, less refunds.
    pub fn own_used(&self) -> f64 {
        self.own.used
    }

    /// Whether enough units were used since the last broadcast to require one before its regular time.
    pub fn is_early_broadcast_due(&self) -> bool {
        self.own.used - self.broadcast_used > self.limits.capacity() * EARLY_BROADCAST_FRACTION
    }

    /// Returns the counters to broadcast, and marks them as broadcast.
    pub fn broadcast_totals(&mut self) -> CapTotals {
        self.broadcast_used = self.own.used;
        self.own
    }

    /// Applies a report of a peer. `boot` identifies the start of the peer's process, at which its
    /// counters start from zero.
    pub fn apply_report(&mut self, peer: &str, boot: u64, totals: CapTotals, now_ms: u64) {
        let _ = self.apply_group_report(peer, boot, totals, 1, now_ms);
    }

    /// Forgets what peers have reported, when they report in other groups from now on. Their share of
    /// the rate is reserved until they do.
    pub fn clear_peers(&mut self) {
        self.peers.clear();
    }

    /// Applies a report with the sums of `instances` peers, made at `now_ms`. `boot` identifies the start
    /// of the process that sums them. A report that is not newer than the last one is ignored. Returns the
    /// difference to the former sum if this is the first one of another process, which is not deducted.
    pub fn apply_group_report(
        &mut self,
        peer: &str,
        boot: u64,
        totals: CapTotals,
        instances: usize,
        now_ms: u64,
    ) -> Option<f64> {
        let former = self.peers.get(peer).copied();
        let known = former.filter(|known| known.boot == boot);
        let Some(known) = known else {
            let new_peer = PeerUsage {
                boot,
                instances,
                totals,
                used_rate: 0.0,
                requested_rate: 0.0,
                reported_at_ms: now_ms,
                extrapolated: 0.0,
            };
            self.peers.insert(peer.to_owned(), new_peer);
            return former.map(|former| totals.used - former.totals.used);
        };
        // A report that is repeated must not replace the usage that was extrapolated since.
        let is_repeated = now_ms == known.reported_at_ms && totals == known.totals;
        if now_ms < known.reported_at_ms || is_repeated {
            return None;
        }
        // Where requests are rarer than reports, the level has to be brought up to date first: otherwise
        // the use in this report would be extrapolated once more at the next request.
        if now_ms.saturating_sub(self.updated_at_ms) > self.limits.report_interval_ms {
            self.refill(now_ms);
        }
        let known = self.peers.get(peer).copied().unwrap_or(known);
        let used = (totals.used - known.totals.used).max(0.0);
        let requested = (totals.requested - known.totals.requested).max(0.0);
        let elapsed_ms = now_ms.saturating_sub(known.reported_at_ms).max(1) as f64;
        let weight = 1.0 - (-elapsed_ms / RATE_TIME_CONSTANT_MS).exp();
        let average = |rate: f64, units: f64| rate + (units / elapsed_ms * 1_000.0 - rate) * weight;
        self.level = (self.level + known.extrapolated - used).min(self.limits.capacity());
        let updated = PeerUsage {
            boot,
            instances,
            totals: CapTotals {
                used: totals.used.max(known.totals.used),
                requested: totals.requested.max(known.totals.requested),
            },
            used_rate: average(known.used_rate, used),
            requested_rate: average(known.requested_rate, requested),
            reported_at_ms: now_ms,
            extrapolated: 0.0,
        };
        self.peers.insert(peer.to_owned(), updated);
        None
    }

    /// Refills the bucket for the time since the last call and deducts the extrapolated usage of peers.
    fn refill(&mut self, now_ms: u64) {
        let instances = self.instances;
        let elapsed_s = now_ms.saturating_sub(self.updated_at_ms) as f64 / 1_000.0;
        self.updated_at_ms = self.updated_at_ms.max(now_ms);
        let share = self.limits.per_second / instances.max(1) as f64;
        self.level += self.limits.per_second * elapsed_s;
        self.peers.retain(|_, peer| now_ms.saturating_sub(peer.reported_at_ms) < PEER_EXPIRY_MS);
        let (mut fresh_instances, mut known_instances) = (0, 0);
        let growth = self.estimate_demand_growth(now_ms);
        for peer in self.peers.values_mut() {
            let is_stale =
                now_ms.saturating_sub(peer.reported_at_ms) > self.limits.stale_after_ms();
            let rate = match is_stale {
                true => share * peer.instances as f64,
                false => peer.used_rate * growth,
            };
            known_instances += peer.instances;
            fresh_instances += if is_stale { 0 } else { peer.instances };
            let extrapolated = rate * elapsed_s;
            peer.extrapolated += extrapolated;
            self.level -= extrapolated;
        }
        // Instances that have never reported are counted with their share of the rate.
        let unreported = instances.saturating_sub(1 + fresh_instances.max(known_instances));
        self.level -= share * unreported as f64 * elapsed_s;
        self.level = self.level.min(self.limits.capacity());
    }
}
