//! The cap (rate limit) of one organisation, enforced by many instances with a replicated token bucket.

use std::collections::HashMap;

use crate::decaying_sum::DecayingSum;
use crate::epoch_counter::{CapTotals, EPOCH_MS, EpochCounter, EpochUsage, epoch_at};
use crate::lone_share::LoneShare;
use crate::reported_usage::{RATE_TIME_CONSTANT_MS, ReportedRates, UsageReport, ZoneUsage};
use crate::usage_window::{UncountedUse, UsageWindow};

/// Fraction of a full bucket that each rank reserves for the next more urgent one, so that the urgent
/// requests of an organisation over its cap take precedence.
const RESERVE_FRACTION: f64 = 0.1;
/// Number of ranks with increasing reserves; all less urgent ranks have the same reserve.
const RESERVE_RANKS: u8 = 3;
/// Fraction of a full bucket above which a request counts as large. Only large requests observe the
/// reserve.
const LARGE_REQUEST_FRACTION: f64 = 0.002;
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
    /// Length of the sliding window for which the cap holds.
    pub window_ms: u64,
}

/// What a replica knows of the usage in the present epoch and the one before.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReportSummary {
    /// Units used by this instance.
    pub own_used: u64,
    /// Units used by the peers, as far as it is known.
    pub peers_used: u64,
    /// Peers, or zones, that report.
    pub sources: usize,
    /// Age of the oldest of their latest reports.
    pub oldest_age_ms: u64,
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
/// Minimum time without a report after which a peer may be using its part of the bucket.
const MIN_RECENT_MS: u64 = 1_200;
/// Retry delay of a request that no other instance has decided on; another one may do so by then.
const ALONE_RETRY_AFTER_MS: u64 = 500;
/// Part of the demand that must arrive at peers for load shedding, as a divisor. Otherwise the level of this
/// replica tells all that is needed.
const MIN_PEER_DEMAND_DIVISOR: f64 = 5.0;
/// Age of an epoch, in epochs, above which its label is taken for one of another clock.
const MAX_LABEL_AGE: u64 = 64;
/// Time for which refunded units are not reported again when they are used.
const REFUND_VALIDITY_MS: u64 = 1_000;
/// Interval between removals of expired entries.
const EXPIRY_INTERVAL_MS: u64 = 1_000;

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
        Self {
            per_second,
            burst,
            allowance: in_window * overshoot + slack,
            report_interval_ms,
            window_ms,
        }
    }

    /// Time without reports after which a peer is stale: its share of the rate is reserved instead of
    /// its reported usage.
    fn stale_after_ms(&self) -> u64 {
        MIN_STALE_AFTER_MS.max(self.report_interval_ms * STALE_REPORT_INTERVALS)
    }

    /// Whether a full bucket, drained at the demanded rate, is empty before all instances have learned
    /// of a change in demand.
    fn has_slow_reports(&self, demand: f64) -> bool {
        let drain_time_ms = self.capacity() / self.per_second.max(demand).max(1e-9) * 1_000.0;
        (self.report_interval_ms * PROPAGATION_REPORT_INTERVALS) as f64 > drain_time_ms
    }

    /// Level of a full bucket, and units added per second.
    fn bucket(&self) -> (f64, f64) {
        (self.capacity(), self.per_second)
    }

    /// Level of a full bucket in units.
    fn capacity(&self) -> f64 {
        self.burst + self.allowance * ALLOWANCE_FRACTION
    }
}

/// This instance's replica of a token bucket shared by all instances. Its level is a function of the use that
/// is known: a replica that has just started knows what peers report of the time before, and what nobody
/// reports leaves it with an empty bucket at its start.
#[derive(Clone, Debug)]
pub struct SharedCap {
    limits: CapLimits,
    /// Units left at the last request.
    level: f64,
    window: UsageWindow,
    /// Number of instances at the last request.
    instances: usize,
    /// Time since which some instances have not reported.
    unreported_since_ms: u64,
    expired_at_ms: u64,
    /// Time at which a report has arrived last.
    report_arrived_at_ms: Option<u64>,
    wall_ms: u64,
    /// Units used and refused by this instance in each epoch.
    own: EpochCounter,
    /// Units used by this instance since its start, with those that were refunded and not used again.
    own_used: f64,
    /// Refunded units, which stay counted until they are used again, with the time until which they may be.
    refunded: (f64, u64),
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
    /// What this instance may use while the one that decides for all can't be reached.
    lone_share: LoneShare,
    /// Units that this instance had used at its last broadcast.
    broadcast_used: f64,
    /// The peers by availability zone.
    zones: HashMap<String, ZoneUsage>,
}

impl SharedCap {
    /// Creates the replica of a process that has just started as one of `instances` instances.
    pub fn new(limits: CapLimits, instances: usize, now_ms: u64) -> Self {
        let level = limits.capacity() * INITIAL_LEVEL_FRACTION / instances.max(1) as f64;
        Self {
            limits,
            level,
            window: UsageWindow::new(limits.window_ms, limits.bucket(), level, now_ms),
            instances,
            unreported_since_ms: now_ms,
            expired_at_ms: now_ms,
            report_arrived_at_ms: None,
            wall_ms: 0,
            own: EpochCounter::default(),
            own_used: 0.0,
            refunded: (0.0, 0),
            requested: DecayingSum::new(RATE_TIME_CONSTANT_MS),
            short_term_requests: DecayingSum::new(SHORT_TERM_TIME_CONSTANT_MS),
            long_term_requests: DecayingSum::new(LONG_TERM_TIME_CONSTANT_MS),
            is_shedding: false,
            admission_credit: 0.0,
            credit_phase: None,
            lone_share: LoneShare::new(level, 0.0, now_ms),
            broadcast_used: 0.0,
            zones: HashMap::new(),
        }
    }

    /// Sets the point in the cycle of shedding at which this instance begins, from 0 to 1. Instances with
    /// few requests admit the same fraction of them; with the same phase they would do so together.
    pub fn with_shedding_phase(mut self, phase: f64) -> Self {
        self.credit_phase = Some(phase.clamp(0.0, 1.0));
        self.lone_share.set_phase(phase.clamp(0.0, 1.0));
        self
    }

    /// Changes the limits from now on; the level is reduced to the new capacity if it exceeds it.
    pub fn set_limits(&mut self, limits: CapLimits) {
        self.limits = limits;
    }

    /// Sets the wall-clock time, which labels the usage from now on. It need not be exact, nor rise.
    pub fn set_wall_time(&mut self, wall_ms: u64) {
        self.wall_ms = wall_ms;
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
        let heard = self.heard_fraction(now_ms);
        // Others may be asked for as much as this instance.
        if self.level > 0.0 && demand > self.limits.per_second * heard {
            self.level *= heard;
        }
        self.is_shedding = self.peer_demand(now_ms) * MIN_PEER_DEMAND_DIVISOR > demand
            && self.limits.has_slow_reports(demand)
            && self.must_shed(demand, rate);
        let is_granted = match self.is_shedding {
            true => self.admit_fraction(units, reserve, demand, rate),
            // A request larger than the capacity is granted when the bucket is full.
            false => self.level >= (units + reserve).min(capacity),
        };
        if !is_granted {
            let refused = CapTotals { used: 0, refused: units.ceil() as u64 };
            self.own.add(epoch_at(self.wall_ms), refused, now_ms);
            let needed_units = (units + reserve).min(capacity);
            let (missing_units, least_ms) = match self.is_shedding {
                true => ((needed_units - self.level).max(units), MIN_RETRY_AFTER_MS),
                false => (needed_units - self.level, 0),
            };
            let missing_ms = (missing_units / self.limits.per_second.max(1e-9) * 1_000.0) as u64;
            return Err(missing_ms.max(least_ms));
        }
        self.level -= units;
        self.window.add(units, now_ms);
        self.count_used(units, now_ms);
        Ok(())
    }

    /// Acquires units while the instance that decides for all can't be reached, and other instances may
    /// be in the same position: each has its share of the bucket.
    ///
    /// # Errors
    /// Time in milliseconds after which it is worth to ask again.
    pub fn try_acquire_alone(
        &mut self,
        units: f64,
        urgency: u8,
        instances: usize,
        now_ms: u64,
    ) -> Result<(), u64> {
        self.instances = instances;
        self.refill(now_ms);
        let instances_f64 = instances.max(1) as f64;
        let (capacity, per_second) = self.limits.bucket();
        let bucket = (capacity / instances_f64, per_second / instances_f64);
        let available = self.level / instances_f64;
        if !self.lone_share.covers(units, bucket, available, now_ms) {
            let refused = CapTotals { used: 0, refused: units.ceil() as u64 };
            self.own.add(epoch_at(self.wall_ms), refused, now_ms);
            return Err(ALONE_RETRY_AFTER_MS);
        }
        self.try_acquire(units, urgency, instances, now_ms)?;
        self.lone_share.take(units);
        Ok(())
    }

    /// Counts used units that are to be reported. Refunded units have been reported before.
    fn count_used(&mut self, units: f64, now_ms: u64) {
        let (refunded, valid_until_ms) = self.refunded;
        let reported = if now_ms < valid_until_ms { refunded.min(units) } else { 0.0 };
        self.refunded.0 = if now_ms < valid_until_ms { refunded - reported } else { 0.0 };
        let used = units - reported;
        self.own_used += used;
        let used = CapTotals { used: used.ceil() as u64, refused: 0 };
        self.own.add(epoch_at(self.wall_ms), used, now_ms);
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
        self.requested.add(units, now_ms);
        self.short_term_requests.add(1.0, now_ms);
        self.long_term_requests.add(1.0, now_ms);
    }

    /// Estimated units per second requested from this instance and the peers that report.
    fn estimate_demand(&self, now_ms: u64) -> f64 {
        let growth = self.estimate_demand_growth(now_ms);
        self.requested.per_second(now_ms) + self.peer_demand(now_ms) * growth
    }

    /// Units per second requested from the peers, as they have reported.
    fn peer_demand(&self, now_ms: u64) -> f64 {
        self.fresh_rates(now_ms).map(|rates| rates.requested_rate).sum()
    }

    /// Units per second that are left for this instance and the peers that report; the others keep their
    /// share.
    fn available_rate(&self, instances: usize, now_ms: u64) -> f64 {
        let fresh = self.fresh_rates(now_ms);
        let reporting = 1 + fresh.map(|rates| rates.instances).sum::<usize>();
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

    fn fresh_rates(&self, now_ms: u64) -> impl Iterator<Item = &ReportedRates> {
        let rates = self.zones.values().flat_map(|zone| zone.rates.values());
        let stale_after_ms = self.limits.stale_after_ms();
        rates.filter(move |rates| !rates.is_stale(stale_after_ms, now_ms))
    }

    /// Refunds units that were acquired at `acquired_at_ms` for a request that did not run. Peers may know of their use
    /// already, so counters do not fall; the units are not reported when they are used again soon.
    pub fn refund(&mut self, units: f64, acquired_at_ms: u64, now_ms: u64) {
        self.level = (self.level + units).min(self.limits.capacity());
        // Counted at the present time, they would add to a bucket that has refilled since.
        self.window.add(-units, acquired_at_ms);
        let (refunded, valid_until_ms) = self.refunded;
        let still_valid = if now_ms < valid_until_ms { refunded } else { 0.0 };
        self.refunded = (still_valid + units, now_ms + REFUND_VALIDITY_MS);
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
        self.own_used - self.refunded.0
    }

    /// What peers have reported, for the log.
    pub fn reports(&self, now_ms: u64) -> ReportSummary {
        let epoch = epoch_at(self.wall_ms);
        let epochs = [epoch.wrapping_sub(1), epoch];
        let rates = self.zones.values().flat_map(|zone| zone.rates.values());
        ReportSummary {
            own_used: epochs.map(|epoch| self.own.totals(epoch).used).iter().sum(),
            peers_used: epochs.map(|epoch| self.peers_used(epoch)).iter().sum(),
            sources: rates.clone().count(),
            oldest_age_ms: rates
                .map(|rates| now_ms.saturating_sub(rates.reported_at_ms))
                .max()
                .unwrap_or_default(),
        }
    }

    /// Units used by the peers in one epoch, as far as it is known.
    pub fn peers_used(&self, epoch: u16) -> u64 {
        self.zones.values().map(|zone| zone.counted.totals(epoch).used).sum()
    }

    /// Whether enough units were used since the last broadcast to require one before its regular time.
    pub fn is_early_broadcast_due(&self) -> bool {
        self.own_used - self.broadcast_used > self.limits.capacity() * EARLY_BROADCAST_FRACTION
    }

    /// Returns the usage to broadcast, and marks it as broadcast.
    pub fn broadcast_usage(&mut self, now_ms: u64) -> Vec<EpochUsage> {
        self.broadcast_used = self.own_used;
        self.own.expire(now_ms);
        self.own.recent(self.limits.window_ms, now_ms)
    }

    /// Forgets the rates that peers have reported, when they report in other groups from now on. Their
    /// share of the rate is reserved until they do; what they have used stays known.
    pub fn clear_rates(&mut self) {
        self.zones.values_mut().for_each(|zone| zone.rates.clear());
    }

    /// Records that an instance of an availability zone has claimed units from this one, rather than decide by
    /// itself: the zone's share of the rate need not be reserved while its reports are late.
    pub fn record_claim(&mut self, availability_zone: &str, now_ms: u64) {
        if let Some(zone) = self.zones.get_mut(availability_zone) {
            zone.claimed_at_ms = Some(now_ms);
        }
    }

    /// Applies a report of peers. Reports may arrive repeatedly and in any order.
    pub fn apply_report(&mut self, report: &UsageReport<'_>, now_ms: u64) {
        self.advance(now_ms);
        self.report_arrived_at_ms = Some(now_ms);
        let zone = self.zones.entry(report.availability_zone.to_owned()).or_default();
        let source = report.peer.map(|(name, _)| name.to_owned());
        let rates = zone.rates.get(&source);
        let previous_at_ms = rates.map_or(0, |rates| rates.reported_at_ms);
        let latest_at_ms = report.reported_at_ms.max(previous_at_ms);
        let mut growth = CapTotals::default();
        for (epoch, grown) in zone.record(report, now_ms) {
            growth.used = growth.used.saturating_add(grown.used);
            growth.refused = growth.refused.saturating_add(grown.refused);
            let ended_at_ms = now_ms.saturating_sub(ended_ago_ms(epoch, self.wall_ms));
            // Clocks may differ: what a source has told before bounds the time of what it tells now.
            let used_at_ms = ended_at_ms.clamp(previous_at_ms, latest_at_ms);
            self.window.add(grown.used as f64, used_at_ms);
        }
        let stale_after_ms = self.limits.stale_after_ms();
        let rates = zone.rates.entry(source).or_insert_with(|| ReportedRates::new(report));
        rates.apply(report, growth, stale_after_ms);
    }

    /// Brings the level up to date.
    fn refill(&mut self, now_ms: u64) {
        if now_ms.saturating_sub(self.expired_at_ms) >= EXPIRY_INTERVAL_MS {
            self.expire(now_ms);
        }
        let uncounted = self.advance(now_ms);
        self.level = self.window.level(&uncounted, now_ms);
    }

    /// Whether the instances of a zone claim from this one within `within_ms`, so that what they use is known. A
    /// replica that has heard no report either may have stood still, while another one decided.
    fn is_claiming(&self, zone: &ZoneUsage, within_ms: u64, now_ms: u64) -> bool {
        let is_within = |at_ms: Option<u64>, within_ms| {
            at_ms.is_some_and(|at_ms| now_ms.saturating_sub(at_ms) <= within_ms)
        };
        is_within(zone.claimed_at_ms, within_ms)
            && is_within(self.report_arrived_at_ms, MIN_RECENT_MS)
    }

    /// Fraction of the instances that are known to use no more than they have reported or claimed. The others
    /// may be using their part of what is left.
    fn heard_fraction(&self, now_ms: u64) -> f64 {
        let recent_ms = self.limits.report_interval_ms.max(MIN_RECENT_MS);
        let is_recent = |at_ms: u64| now_ms.saturating_sub(at_ms) <= recent_ms;
        let (mut reported, mut late) = (0, 0);
        for zone in self.zones.values() {
            let is_claiming = self.is_claiming(zone, recent_ms, now_ms);
            for rates in zone.rates.values() {
                reported += rates.instances;
                if !is_claiming && !is_recent(rates.reported_at_ms) {
                    late += rates.instances;
                }
            }
        }
        let all = self.instances.max(1 + reported);
        (all - late) as f64 / all as f64
    }

    /// Goes on to the present time; returns the use that no report has counted yet.
    fn advance(&mut self, now_ms: u64) -> Vec<UncountedUse> {
        let growth = self.estimate_demand_growth(now_ms);
        let stale_after_ms = self.limits.stale_after_ms();
        let rates = self.zones.values().flat_map(|zone| zone.rates.values());
        let reported = rates.map(|rates| rates.instances).sum::<usize>();
        // Members that are listed late are known from reports first.
        let instances = self.instances.max(1 + reported);
        let share = self.limits.per_second / instances as f64;
        let mut uncounted = Vec::with_capacity(self.zones.len() + 1);
        for zone in self.zones.values() {
            let is_claiming = self.is_claiming(zone, stale_after_ms, now_ms);
            for rates in zone.rates.values() {
                let is_silent = rates.is_stale(stale_after_ms, now_ms) && !is_claiming;
                uncounted.push(UncountedUse {
                    per_second: match is_silent {
                        true => share * rates.instances as f64,
                        false => rates.used_rate * growth,
                    },
                    since_ms: rates.reported_at_ms,
                });
            }
        }
        let unreported = instances - 1 - reported;
        if unreported == 0 {
            self.unreported_since_ms = now_ms;
        }
        uncounted.push(UncountedUse {
            per_second: share * unreported as f64,
            since_ms: self.unreported_since_ms,
        });
        self.window.advance(self.limits.bucket(), &uncounted, now_ms);
        uncounted
    }

    fn expire(&mut self, now_ms: u64) {
        self.expired_at_ms = now_ms;
        for zone in self.zones.values_mut() {
            zone.rates
                .retain(|_, rates| now_ms.saturating_sub(rates.reported_at_ms) < PEER_EXPIRY_MS);
            zone.expire(now_ms);
        }
        self.zones.retain(|_, zone| !zone.is_empty());
    }
}

/// Time since the end of an epoch; 0 if it has not ended, or its label is not of the own clock.
fn ended_ago_ms(epoch: u16, wall_ms: u64) -> u64 {
    match u64::from(epoch_at(wall_ms).wrapping_sub(epoch)) {
        age @ 1..=MAX_LABEL_AGE => wall_ms % EPOCH_MS + (age - 1) * EPOCH_MS,
        _ => 0,
    }
}
