//! How long the latest requests of each route took.

use std::collections::HashMap;

use parking_lot::Mutex;

/// Period after which the durations of the period before are forgotten.
const PERIOD_MS: u64 = 60_000;
/// Buckets for each doubling of the duration.
const BUCKETS_PER_DOUBLING: f64 = 4.0;
const BUCKETS: usize = 80;
/// Requests from which a share is meaningful.
const MIN_REQUESTS: u32 = 20;

/// Counts by duration; the last bucket also counts all that are longer.
type Counts = [u32; BUCKETS];

#[derive(Debug)]
struct RouteDurations {
    period: u64,
    current: Counts,
    previous: Counts,
}

impl RouteDurations {
    fn new(period: u64) -> Self {
        Self { period, current: [0; BUCKETS], previous: [0; BUCKETS] }
    }

    fn advance_to(&mut self, period: u64) {
        if period > self.period {
            let is_next = period == self.period + 1;
            self.previous = if is_next { self.current } else { [0; BUCKETS] };
            self.current = [0; BUCKETS];
            self.period = period;
        }
    }
}

/// Durations of the requests of the last one to two periods, by route.
#[derive(Debug, Default)]
pub struct DurationTable {
    routes: Mutex<HashMap<String, RouteDurations>>,
}

impl DurationTable {
    /// Records that a request of a route took `took_ms`.
    pub fn record(&self, route: &str, took_ms: u64, now_ms: u64) {
        let period = now_ms / PERIOD_MS;
        let mut routes = self.routes.lock();
        if !routes.contains_key(route) {
            // Operators rename and remove routes.
            routes.retain(|_, durations| durations.period + 1 >= period);
            routes.insert(route.to_owned(), RouteDurations::new(period));
        }
        if let Some(durations) = routes.get_mut(route) {
            durations.advance_to(period);
            let count = &mut durations.current[find_bucket(took_ms)];
            *count = count.saturating_add(1);
        }
    }

    /// Returns the share of a route's requests that took at most `limit_ms`, rounded down to whole
    /// buckets; `None` if there were too few.
    pub fn share_within(&self, route: &str, limit_ms: u64, now_ms: u64) -> Option<f64> {
        let mut routes = self.routes.lock();
        let durations = routes.get_mut(route)?;
        durations.advance_to(now_ms / PERIOD_MS);
        let (mut total, mut within) = (0_u32, 0_u32);
        let limit_bucket = find_bucket(limit_ms);
        for (bucket, counts) in durations.current.iter().zip(durations.previous).enumerate() {
            let count = counts.0.saturating_add(counts.1);
            total = total.saturating_add(count);
            if bucket < limit_bucket {
                within = within.saturating_add(count);
            }
        }
        (total >= MIN_REQUESTS).then(|| f64::from(within) / f64::from(total))
    }
}

fn find_bucket(duration_ms: u64) -> usize {
    let doublings = (duration_ms as f64 + 1.0).log2();
    ((doublings * BUCKETS_PER_DOUBLING) as usize).min(BUCKETS - 1)
}
