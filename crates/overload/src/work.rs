//! Classes of requests, and the work that they ask for.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Cost of an output token in prompt tokens, by which requests are sorted into sizes.
const PROMPT_TOKENS_PER_OUTPUT_TOKEN: u64 = 10;
/// Binary logarithm of the ratio between two neighbouring sizes.
const SIZE_STEP_LOG2: u32 = 2;
/// Classes in a digest; those with the most work.
const MAX_REPORTED_CLASSES: usize = 24;
/// Largest figure that counts; above any fleet's.
pub(crate) const MAX_FIGURE: f64 = 1e9;

/// Requests of one rank and of a similar size.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct WorkClass {
    /// Rank; 0 is the most urgent.
    pub rank: u8,
    /// Size; each is four times the one before.
    pub size: u8,
}

impl WorkClass {
    /// Returns the class of a request by the tokens that its caller states.
    pub fn new(rank: u8, prompt_tokens: u64, output_tokens: u64) -> Self {
        let output = output_tokens.saturating_mul(PROMPT_TOKENS_PER_OUTPUT_TOKEN);
        let tokens = prompt_tokens.saturating_add(output).max(1);
        Self { rank, size: (tokens.ilog2() / SIZE_STEP_LOG2) as u8 }
    }
}

/// What one request asks for.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkRequest {
    /// Its class.
    pub class: WorkClass,
    /// Hash by which the share of its class is applied.
    pub hash: u64,
    /// Time to prefill its uncached prompt.
    pub prefill_ms: f64,
}

/// Demand of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ClassDemand {
    /// Requests a second that arrive, including refused ones.
    pub arrivals_per_s: f64,
    /// Slots that these requests would occupy on average if all were admitted.
    pub slots: f64,
    /// Upstreams that would do nothing but prefill their prompts.
    pub prefill_upstreams: f64,
}

impl ClassDemand {
    /// Adds another demand, `factor` times. Figures that are not finite, negative or beyond any fleet's count as 0.
    pub(crate) fn add(&mut self, other: &Self, factor: f64) {
        let sound = |value: f64| if (0.0..=MAX_FIGURE).contains(&value) { value } else { 0.0 };
        let factor = sound(factor);
        self.arrivals_per_s += sound(other.arrivals_per_s) * factor;
        self.slots += sound(other.slots) * factor;
        self.prefill_upstreams += sound(other.prefill_upstreams) * factor;
    }
}

/// Demand by class.
pub type Demand = BTreeMap<WorkClass, ClassDemand>;

/// Demand of one class in a digest: rank, size, then thousandths of requests a second, of slots and of
/// prefilling upstreams.
pub type ClassCounts = (u8, u8, u32, u32, u32);

/// Demand that an instance reports for itself, or that an aggregator reports for several.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct WorkCounts {
    /// Instances that the counts are of; those whose builds state no demand are left out.
    #[serde(rename = "n")]
    pub instances: usize,
    /// Demand by class.
    #[serde(rename = "c", default)]
    pub classes: Vec<ClassCounts>,
}

impl WorkCounts {
    /// Returns the counts of one instance. Of many classes, those with the most work are kept.
    pub fn of_instance(demand: &Demand) -> Self {
        let to_count = |value: f64| (value * 1_000.0).round() as u32;
        let mut classes: Vec<ClassCounts> = demand
            .iter()
            .map(|(class, demand)| {
                let slots = to_count(demand.slots);
                let prefill_upstreams = to_count(demand.prefill_upstreams);
                let arrivals = to_count(demand.arrivals_per_s);
                (class.rank, class.size, arrivals, slots, prefill_upstreams)
            })
            .collect();
        if classes.len() > MAX_REPORTED_CLASSES {
            classes.sort_by_key(|(_, _, _, slots, _)| std::cmp::Reverse(*slots));
            classes.truncate(MAX_REPORTED_CLASSES);
        }
        Self { instances: 1, classes }
    }

    /// Adds the counts of other instances. Classes beyond those that a digest holds are left out.
    pub fn add(&mut self, other: &Self) {
        self.instances = self.instances.saturating_add(other.instances);
        for (rank, size, arrivals, slots, prefill_upstreams) in &other.classes {
            let has_room = self.classes.len() < MAX_REPORTED_CLASSES;
            let known = self.classes.iter_mut().find(|sum| (sum.0, sum.1) == (*rank, *size));
            match known {
                Some(sum) => {
                    sum.2 = sum.2.saturating_add(*arrivals);
                    sum.3 = sum.3.saturating_add(*slots);
                    sum.4 = sum.4.saturating_add(*prefill_upstreams);
                }
                None if has_room => {
                    self.classes.push((*rank, *size, *arrivals, *slots, *prefill_upstreams));
                }
                None => {}
            }
        }
    }

    /// Takes the counts of one of the instances out again.
    pub fn subtract(&mut self, own: &Self) {
        self.instances = self.instances.saturating_sub(own.instances);
        for (rank, size, arrivals, slots, prefill_upstreams) in &own.classes {
            let known = self.classes.iter_mut().find(|sum| (sum.0, sum.1) == (*rank, *size));
            if let Some(sum) = known {
                sum.2 = sum.2.saturating_sub(*arrivals);
                sum.3 = sum.3.saturating_sub(*slots);
                sum.4 = sum.4.saturating_sub(*prefill_upstreams);
            }
        }
    }

    /// Returns the demand that the counts state.
    pub fn to_demand(&self) -> Demand {
        let from_count = |count: u32| f64::from(count) / 1_000.0;
        let mut sum = Demand::new();
        for (rank, size, arrivals, slots, prefill_upstreams) in &self.classes {
            let demand = ClassDemand {
                arrivals_per_s: from_count(*arrivals),
                slots: from_count(*slots),
                prefill_upstreams: from_count(*prefill_upstreams),
            };
            sum.entry(WorkClass { rank: *rank, size: *size }).or_default().add(&demand, 1.0);
        }
        sum
    }
}
