//! Admitted share of each class.

use std::collections::BTreeMap;

use crate::work::{ClassDemand, Demand, MAX_FIGURE, WorkClass};

/// Part of the slots that admitted requests fill; the choice among upstreams is not even.
const SLOT_FILL: f64 = 0.75;
/// Part of an upstream's time that prefill may take: each prompt delays the responses beside it.
const PREFILL_FILL: f64 = 0.65;
/// Part of the capacity that is kept for the most urgent rank, for what arrives between two reports.
const URGENT_RESERVE: f64 = 0.08;
/// How strongly the admitted work follows the slots in use: with all of them free, this much more than
/// the capacity is admitted.
const OCCUPANCY_GAIN: f64 = 1.0;
/// Range of that correction.
const CORRECTION_RANGE: (f64, f64) = (0.25, 1.5);
/// Range of the share of a size relative to the mean of its rank: small requests are preferred, as more of them
/// are served in the same time, but large ones are not left out.
const SIZE_PREFERENCE_RANGE: (f64, f64) = (0.65, 1.5);
/// Rounds in which what full shares leave over is given to the others.
const FILL_ROUNDS: usize = 8;

/// Capacity of the upstreams of a service, and its use.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Capacity {
    /// Slots of the usable upstreams.
    pub slots: f64,
    /// Number of the usable upstreams.
    pub upstreams: f64,
    /// Requests that run or wait there.
    pub occupied_slots: f64,
}

impl Capacity {
    /// Returns whether all figures are usable.
    fn is_known(&self) -> bool {
        let is_sound = |value: f64| value > 0.0 && value <= MAX_FIGURE;
        is_sound(self.slots) && is_sound(self.upstreams) && self.occupied_slots.is_finite()
    }

    /// Returns the factor by which more or less work is admitted than is served, so that the slots in use
    /// approach the intended number.
    fn correction(&self) -> f64 {
        let fill = self.occupied_slots.max(0.0) / (self.slots * SLOT_FILL);
        (1.0 + OCCUPANCY_GAIN * (1.0 - fill)).clamp(CORRECTION_RANGE.0, CORRECTION_RANGE.1)
    }
}

/// Share of the requests of each class that is admitted.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AdmittedShares {
    classes: BTreeMap<WorkClass, f64>,
    ranks: BTreeMap<u8, f64>,
}

impl AdmittedShares {
    /// Computes the shares: all requests of a rank, the most urgent first, while they fit into what is
    /// left of the capacity; of the first rank that does not fit, a part of each size; then none. Everything
    /// is admitted while the capacity is not known.
    pub fn compute(demand: &Demand, capacity: &Capacity) -> Self {
        let mut shares = Self::default();
        if !capacity.is_known() {
            return shares;
        }
        let correction = capacity.correction();
        let mut left = Work {
            slots: capacity.slots * SLOT_FILL * correction,
            prefill_upstreams: capacity.upstreams * PREFILL_FILL,
        };
        let reserve = left.scale(URGENT_RESERVE);
        let ranks: Vec<u8> = demand.keys().map(|class| class.rank).collect();
        let most_urgent = ranks.first().copied().unwrap_or_default();
        for rank in ranks {
            if shares.ranks.contains_key(&rank) {
                continue;
            }
            let available = if rank == most_urgent { left } else { left.minus(&reserve) };
            let admitted = shares.add_rank(rank, demand, &available);
            left = left.minus(&admitted);
        }
        shares
    }

    /// Adds the shares of a rank; returns the work that they admit.
    fn add_rank(&mut self, rank: u8, demand: &Demand, available: &Work) -> Work {
        let first = WorkClass { rank, size: 0 };
        let last = WorkClass { rank, size: u8::MAX };
        let classes: Vec<RankedClass> = demand
            .range(first..=last)
            .map(|(class, reported)| {
                let mut sound = ClassDemand::default();
                sound.add(reported, 1.0);
                let ClassDemand { arrivals_per_s, slots, prefill_upstreams } = sound;
                RankedClass {
                    class: *class,
                    arrivals_per_s,
                    work: Work { slots, prefill_upstreams },
                }
            })
            .collect();
        let total = classes.iter().fold(Work::default(), |sum, class| sum.plus(&class.work, 1.0));
        let arrivals_per_s = classes.iter().map(|class| class.arrivals_per_s).sum::<f64>();
        let scarce = Resource::scarcer(&total, available);
        let (asked, offered) = (scarce.of(&total), scarce.of(available));
        let mut admitted = Work::default();
        let mut admitted_per_s = 0.0;
        let scale = match asked <= offered {
            true => f64::INFINITY,
            false => find_scale(&classes, scarce, offered),
        };
        let mean_work = asked / arrivals_per_s.max(f64::MIN_POSITIVE);
        for class in &classes {
            let preference = class.preference(scarce, mean_work);
            let share = (preference * scale).min(1.0);
            admitted = admitted.plus(&class.work, share);
            admitted_per_s += class.arrivals_per_s * share;
            self.classes.insert(class.class, share);
        }
        let mean = if arrivals_per_s > 0.0 { admitted_per_s / arrivals_per_s } else { 1.0 };
        self.ranks.insert(rank, mean.min(1.0));
        admitted
    }

    /// Returns the share of a class. One that nobody has reported gets that of its rank, and a rank that
    /// nobody has reported at most that of the next more urgent one.
    pub fn share(&self, class: WorkClass) -> f64 {
        let of_rank = || self.ranks.range(..=class.rank).next_back().map(|(_, share)| *share);
        self.classes.get(&class).copied().or_else(of_rank).unwrap_or(1.0)
    }

    /// Returns whether requests of some class are refused.
    pub fn is_limited(&self) -> bool {
        self.ranks.values().any(|share| *share < 1.0)
    }

    /// Returns the mean share of each rank.
    pub fn by_rank(&self) -> &BTreeMap<u8, f64> {
        &self.ranks
    }
}

/// Work of requests, in slots and in upstreams that do nothing but prefill.
#[derive(Clone, Copy, Debug, Default)]
struct Work {
    slots: f64,
    prefill_upstreams: f64,
}

impl Work {
    fn scale(&self, factor: f64) -> Self {
        Self::default().plus(self, factor)
    }

    fn plus(&self, other: &Self, factor: f64) -> Self {
        Self {
            slots: self.slots + other.slots * factor,
            prefill_upstreams: self.prefill_upstreams + other.prefill_upstreams * factor,
        }
    }

    fn minus(&self, other: &Self) -> Self {
        Self {
            slots: (self.slots - other.slots).max(0.0),
            prefill_upstreams: (self.prefill_upstreams - other.prefill_upstreams).max(0.0),
        }
    }
}

/// What limits a rank.
#[derive(Clone, Copy, Debug)]
enum Resource {
    Slots,
    Prefill,
}

impl Resource {
    fn scarcer(asked: &Work, available: &Work) -> Self {
        let is_prefill =
            asked.prefill_upstreams * available.slots > asked.slots * available.prefill_upstreams;
        if is_prefill { Self::Prefill } else { Self::Slots }
    }

    fn of(self, work: &Work) -> f64 {
        match self {
            Self::Slots => work.slots,
            Self::Prefill => work.prefill_upstreams,
        }
    }
}

/// A class of the rank whose shares are computed.
struct RankedClass {
    class: WorkClass,
    arrivals_per_s: f64,
    work: Work,
}

impl RankedClass {
    /// Share relative to the mean of the rank, by the work of one request.
    fn preference(&self, scarce: Resource, mean_work: f64) -> f64 {
        let work = scarce.of(&self.work) / self.arrivals_per_s.max(f64::MIN_POSITIVE);
        let ratio = mean_work / work.max(f64::MIN_POSITIVE);
        ratio.sqrt().clamp(SIZE_PREFERENCE_RANGE.0, SIZE_PREFERENCE_RANGE.1)
    }
}

/// Finds the factor of the preferences at which the admitted work is `offered`. Classes whose share would
/// exceed 1 are admitted wholly, and leave the rest to the others.
fn find_scale(classes: &[RankedClass], scarce: Resource, offered: f64) -> f64 {
    let arrivals_per_s = classes.iter().map(|class| class.arrivals_per_s).sum::<f64>();
    let asked = classes.iter().map(|class| scarce.of(&class.work)).sum::<f64>();
    let mean_work = asked / arrivals_per_s.max(f64::MIN_POSITIVE);
    let mut scale = 0.0;
    for _ in 0..FILL_ROUNDS {
        let (mut whole, mut weighted) = (0.0, 0.0);
        for class in classes {
            let (work, preference) = (scarce.of(&class.work), class.preference(scarce, mean_work));
            match preference * scale >= 1.0 {
                true => whole += work,
                false => weighted += work * preference,
            }
        }
        if weighted <= 0.0 {
            break;
        }
        let next = (offered - whole).max(0.0) / weighted;
        if next <= scale {
            break;
        }
        scale = next;
    }
    scale
}
