//! Arrivals of one instance, and how long the responses of each class take.

use std::collections::{BTreeMap, VecDeque};

use crate::work::{ClassDemand, Demand, WorkClass, WorkRequest};

/// Length of the sliding window.
const WINDOW_MS: u64 = 600;
/// Length of a bucket of the window.
const BUCKET_MS: u64 = 100;
/// Weight of the latest response in the average once there are several.
const RESPONSE_WEIGHT: f64 = 0.1;
/// Classes that are counted; further ones are left out.
const MAX_CLASSES: usize = 64;

#[derive(Clone, Copy, Debug, Default)]
struct ClassArrivals {
    requests: u64,
    prefill_ms: f64,
}

#[derive(Clone, Debug)]
struct Bucket {
    started_at_ms: u64,
    classes: BTreeMap<WorkClass, ClassArrivals>,
}

/// Requests that arrived within a sliding window of 600 ms, by class.
#[derive(Clone, Debug, Default)]
pub struct ArrivalMeter {
    buckets: VecDeque<Bucket>,
}

impl ArrivalMeter {
    /// Records a request, whether it is then admitted or refused.
    pub fn add(&mut self, request: &WorkRequest, now_ms: u64) {
        let started_at_ms = now_ms - now_ms % BUCKET_MS;
        while self.buckets.front().is_some_and(|bucket| !bucket.is_within_window(now_ms)) {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|bucket| bucket.started_at_ms < started_at_ms) {
            self.buckets.push_back(Bucket { started_at_ms, classes: BTreeMap::new() });
        }
        let Some(bucket) = self.buckets.back_mut() else { return };
        if bucket.classes.len() >= MAX_CLASSES && !bucket.classes.contains_key(&request.class) {
            return;
        }
        let arrivals = bucket.classes.entry(request.class).or_default();
        arrivals.requests += 1;
        if request.prefill_ms.is_finite() {
            arrivals.prefill_ms += request.prefill_ms.max(0.0);
        }
    }

    /// Returns the demand of these requests. `response_ms` is the time that responses of a class take from
    /// their first byte on.
    pub fn demand(&self, response_ms: impl Fn(WorkClass) -> f64, now_ms: u64) -> Demand {
        let mut sums = BTreeMap::<WorkClass, ClassArrivals>::new();
        for bucket in self.buckets.iter().filter(|bucket| bucket.is_within_window(now_ms)) {
            for (class, arrivals) in &bucket.classes {
                let sum = sums.entry(*class).or_default();
                sum.requests += arrivals.requests;
                sum.prefill_ms += arrivals.prefill_ms;
            }
        }
        // The latest bucket is half full on average.
        let window_ms = (WINDOW_MS - BUCKET_MS / 2) as f64;
        let to_demand = |(class, sum): (WorkClass, ClassArrivals)| {
            let requests = sum.requests as f64;
            let demand = ClassDemand {
                arrivals_per_s: requests * 1_000.0 / window_ms,
                slots: (requests * response_ms(class) + sum.prefill_ms) / window_ms,
                prefill_upstreams: sum.prefill_ms / window_ms,
            };
            (class, demand)
        };
        sums.into_iter().map(to_demand).collect()
    }
}

impl Bucket {
    fn is_within_window(&self, now_ms: u64) -> bool {
        self.started_at_ms + WINDOW_MS > now_ms
    }
}

/// Moving averages of the time from the first byte of a response to its end, by class.
#[derive(Clone, Debug, Default)]
pub struct ResponseTimes {
    classes: BTreeMap<WorkClass, (u64, f64)>,
}

impl ResponseTimes {
    /// Records a complete response.
    pub fn record(&mut self, class: WorkClass, response_ms: u64) {
        if self.classes.len() >= MAX_CLASSES && !self.classes.contains_key(&class) {
            return;
        }
        let (count, mean_ms) = self.classes.entry(class).or_default();
        *count += 1;
        let weight = (1.0 / *count as f64).max(RESPONSE_WEIGHT);
        *mean_ms += (response_ms as f64 - *mean_ms) * weight;
    }

    /// Returns the average of a class; `None` before its first response.
    pub fn mean_ms(&self, class: WorkClass) -> Option<f64> {
        self.classes.get(&class).map(|(_, mean_ms)| *mean_ms)
    }
}
