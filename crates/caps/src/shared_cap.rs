//! One organisation's cap, kept by many instances.

use std::collections::HashMap;

use crate::decaying_sum::DecayingSum;

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
    /// Usual time between two reports of a peer.
    pub report_ms: u64,
}

/// What a process has counted of one cap since its start, for the others.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CapTotals {
    /// Units used.
    pub used: f64,
    /// Units asked for, those that were refused included.
    pub asked: f64,
}

/// Reports of a peer that are lost in a row before it counts as silent, and the shortest such silence.
const SILENT_REPORTS: u64 = 2;
const SILENT_LEAST_MS: u64 = 2_500;
/// Reports until a change of demand has been heard of, as some are lost.
const HEARD_REPORTS: u64 = 2;
/// Part of the allowance that is granted like the burst; the rest covers use that is not heard of.
const ALLOWANCE_PART: f64 = 0.5;
/// Demand, as a multiple of the rate, from which requests are thinned out, and below which they no
/// longer are.
const THIN_DEMAND: (f64, f64) = (1.5, 1.1);
/// Part of a full bucket above which thinning out does not begin: it is there for peaks.
const THIN_LEVEL_PART: f64 = 0.5;
/// Part of the allowance by which the bucket may be overdrawn while requests are thinned out.
const OVERDRAFT_PART: f64 = 0.5;
/// Time over which the own demand is averaged, to compare it with that of now.
const USUAL_TIME_MS: f64 = 4_000.0;
/// Time over which the demand of now is averaged.
const NOW_TIME_MS: f64 = 300.0;
/// Requests within that time, as a multiple of the usual number and beyond it, from which they tell that
/// demand has grown; fewer come together by chance.
const GROWTH_LEAST: f64 = 2.0;
const GROWTH_REQUESTS_LEAST: f64 = 8.0;
/// Largest growth of the own demand that others are believed to see as well.
const GROWTH_MOST: f64 = 10.0;
/// Shortest time until a caller comes back while requests are thinned out: the demand that it met has to
/// change first.
const RETRY_LEAST_MS: u64 = 150;
/// Part of a full bucket that an instance uses before it tells the others without waiting.
const TELL_PART: f64 = 0.03;

impl CapLimits {
    /// A cap whose use in any window of `window_ms` may go beyond it by a part `overshoot` and by
    /// `slack` units.
    pub fn new(
        per_second: f64,
        burst: f64,
        (window_ms, overshoot, slack): (u64, f64, f64),
        report_ms: u64,
    ) -> Self {
        let in_window = per_second * window_ms as f64 / 1_000.0 + burst;
        Self { per_second, burst, allowance: in_window * overshoot + slack, report_ms }
    }

    /// Silence after which a peer's part of the rate is held back instead of its reported use.
    fn silent_ms(&self) -> u64 {
        SILENT_LEAST_MS.max(self.report_ms * SILENT_REPORTS)
    }

    /// Whether a flood would empty a full bucket before instances have heard of it.
    fn is_slow(&self) -> bool {
        let lasting_ms = self.capacity() / self.per_second.max(1e-9) * 1_000.0;
        (self.report_ms * HEARD_REPORTS) as f64 > lasting_ms
    }

    /// The level of a full bucket.
    fn capacity(&self) -> f64 {
        self.burst + self.allowance * ALLOWANCE_PART
    }
}

#[derive(Clone, Copy, Debug)]
struct PeerUse {
    boot: u64,
    /// What it has told of its time since it started.
    totals: CapTotals,
    /// Units used a second, averaged over the last reports.
    rate: f64,
    /// Units asked for a second, averaged over the last reports.
    asked_rate: f64,
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
    own: CapTotals,
    /// Own demand in units, and in requests of now and as usual.
    asked: DecayingSum,
    requests_now: DecayingSum,
    requests_usually: DecayingSum,
    is_thinning: bool,
    /// What thinning out has let through less what it has stopped, in units.
    thinned: f64,
    /// What the others have been told of the own use.
    told_used: f64,
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
            own: CapTotals::default(),
            asked: DecayingSum::new(RATE_TIME_MS),
            requests_now: DecayingSum::new(NOW_TIME_MS),
            requests_usually: DecayingSum::new(USUAL_TIME_MS),
            is_thinning: false,
            thinned: 0.0,
            told_used: 0.0,
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
    /// When all instances together are asked for more than the rate, and hear of each other too late
    /// to share a bucket, each lets the same part of what it is asked for through (Raghavan et al.,
    /// Cloud Control with Distributed Rate Limiting, 2007). A bucket alone would be seen as full by
    /// all of them until they hear of each other, and then be overdrawn and refuse everybody.
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
        self.note_asked(units, now_ms);
        let capacity = self.limits.capacity().max(1.0);
        let is_large = units > capacity * LARGE_PART;
        let ranks = if is_large { urgency.min(RESERVED_RANKS) } else { 0 };
        let reserve = capacity * RESERVE_PART * f64::from(ranks);
        let demand = self.count_demand(instances, now_ms);
        self.is_thinning = self.limits.is_slow() && self.must_thin_out(demand);
        let is_granted = match self.is_thinning {
            true => self.thin_out(units, reserve, demand),
            // A request larger than what can ever be saved up passes when the bucket is full.
            false => self.level >= (units + reserve).min(capacity),
        };
        if !is_granted {
            let needed = (units + reserve).min(capacity);
            let (missing, least_ms) = match self.is_thinning {
                true => ((needed - self.level).max(units), RETRY_LEAST_MS),
                false => (needed - self.level, 0),
            };
            let missing_ms = (missing / self.limits.per_second.max(1e-9) * 1_000.0) as u64;
            return Err(missing_ms.max(least_ms));
        }
        self.level -= units;
        self.own.used += units;
        Ok(())
    }

    fn must_thin_out(&self, demand: f64) -> bool {
        let (begin, end) = THIN_DEMAND;
        match self.is_thinning {
            true => demand > self.limits.per_second * end,
            false => {
                demand > self.limits.per_second * begin
                    && self.level < self.limits.capacity() * THIN_LEVEL_PART
            }
        }
    }

    /// Lets through that part of the demand that the rate covers, more while the bucket has units
    /// and less while it is overdrawn.
    fn thin_out(&mut self, units: f64, reserve: f64, demand: f64) -> bool {
        if self.level < -self.limits.allowance * OVERDRAFT_PART {
            return false;
        }
        // Faster than the others are heard the bucket can't be steered.
        let steering_s = self.limits.silent_ms() as f64 / 1_000.0;
        let rate = self.limits.per_second + (self.level - reserve) / steering_s;
        let part = (rate / demand).clamp(0.0, 1.0);
        self.thinned += units * part;
        if self.thinned < units / 2.0 {
            return false;
        }
        self.thinned -= units;
        true
    }

    fn note_asked(&mut self, units: f64, now_ms: u64) {
        self.own.asked += units;
        self.asked.add(units, now_ms);
        self.requests_now.add(1.0, now_ms);
        self.requests_usually.add(1.0, now_ms);
    }

    /// Units a second that all instances are asked for.
    fn count_demand(&self, instances: usize, now_ms: u64) -> f64 {
        let share = self.limits.per_second / instances.max(1) as f64;
        let peers = self.peers.values().map(|peer| match self.is_silent(peer, now_ms) {
            true => share,
            false => peer.asked_rate,
        });
        self.asked.per_second(now_ms) + peers.sum::<f64>() * self.find_growth(now_ms)
    }

    /// How much the own demand has just grown. What others have told is older than what this instance
    /// sees; theirs is taken to have grown alike, until they tell.
    fn find_growth(&self, now_ms: u64) -> f64 {
        let usual = self.requests_usually.per_second(now_ms) / 1_000.0 * NOW_TIME_MS;
        let seen = self.requests_now.sum(now_ms);
        match seen < usual * GROWTH_LEAST + GROWTH_REQUESTS_LEAST {
            true => 1.0,
            false => (seen / usual.max(1.0)).min(GROWTH_MOST),
        }
    }

    fn is_silent(&self, peer: &PeerUse, now_ms: u64) -> bool {
        now_ms.saturating_sub(peer.heard_at_ms) > self.limits.silent_ms()
    }

    /// Gives units back that were taken for a request that did not run.
    pub fn give_back(&mut self, units: f64) {
        self.level = (self.level + units).min(self.limits.capacity());
        self.own.used -= units;
    }

    /// Whether the last request was answered by thinning out rather than by the level.
    pub fn is_thinning(&self) -> bool {
        self.is_thinning
    }

    /// The units that are there, as far as this instance knows.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Units that this process has used since its start.
    pub fn own_used(&self) -> f64 {
        self.own.used
    }

    /// Whether so much was used since the others were told that they must be told now.
    pub fn must_tell(&self) -> bool {
        self.own.used - self.told_used > self.limits.capacity() * TELL_PART
    }

    /// What to tell the others, who are told now.
    pub fn tell(&mut self) -> CapTotals {
        self.told_used = self.own.used;
        self.own
    }

    /// Takes a peer's report of its time since its start.
    pub fn take_report(&mut self, peer: &str, boot: u64, totals: CapTotals, now_ms: u64) {
        let known = self.peers.get(peer).copied().filter(|known| known.boot == boot);
        let Some(known) = known else {
            let fresh = PeerUse {
                boot,
                totals,
                rate: 0.0,
                asked_rate: 0.0,
                heard_at_ms: now_ms,
                assumed: 0.0,
            };
            self.peers.insert(peer.to_owned(), fresh);
            return;
        };
        let used = (totals.used - known.totals.used).max(0.0);
        let asked = (totals.asked - known.totals.asked).max(0.0);
        let elapsed_ms = now_ms.saturating_sub(known.heard_at_ms).max(1) as f64;
        let weight = 1.0 - (-elapsed_ms / RATE_TIME_MS).exp();
        let average = |rate: f64, units: f64| rate + (units / elapsed_ms * 1_000.0 - rate) * weight;
        self.level = (self.level + known.assumed - used).min(self.limits.capacity());
        let heard = PeerUse {
            boot,
            totals: CapTotals {
                used: totals.used.max(known.totals.used),
                asked: totals.asked.max(known.totals.asked),
            },
            rate: average(known.rate, used),
            asked_rate: average(known.asked_rate, asked),
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
        let growth = self.find_growth(now_ms);
        for peer in self.peers.values_mut() {
            let is_silent = now_ms.saturating_sub(peer.heard_at_ms) > self.limits.silent_ms();
            let rate = if is_silent { share } else { peer.rate * growth };
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
