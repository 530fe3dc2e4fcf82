//! Cost functions by which candidate upstreams are compared.

/// Cost components of one candidate upstream for one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CostComponents {
    /// Expected time to the first byte in milliseconds, counting queued requests of all ranks.
    pub load_ms: f64,
    /// Penalty in milliseconds for an upstream in another availability zone than this instance's; else 0.
    pub distance_ms: f64,
    /// Penalty in milliseconds for shared prompt parts that the upstream has to prefill because they
    /// aren't in its prefix cache.
    pub shared_ms: f64,
    /// Expected time lost to an end after the deadline, and to requests that need this upstream more, in
    /// milliseconds; 0 where the end of the response doesn't count.
    pub completion_ms: f64,
    /// Expected time lost to a failed attempt, in milliseconds, from the recent failure rate.
    pub failure_ms: f64,
    /// Estimated requests in flight from all instances.
    pub running: u64,
}

/// Cost function over upstreams; the one with the lowest cost receives the request.
pub trait CostRule: Send {
    /// Cost of sending the request to this candidate; only compared with costs of the same rule.
    fn cost(&self, candidate: &CostComponents) -> f64;
}

/// Prefers the shortest expected time to the first byte, including the penalties. Under bursts of long prompts and hot
/// prefixes, the number of requests is a poor measure of load.
#[derive(Clone, Copy, Debug, Default)]
pub struct ExpectedWait;

impl CostRule for ExpectedWait {
    fn cost(&self, candidate: &CostComponents) -> f64 {
        candidate.load_ms
            + candidate.distance_ms
            + candidate.shared_ms
            + candidate.completion_ms
            + candidate.failure_ms
    }
}

/// Prefers the fewest requests in flight; the baseline that other rules are compared with.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastRequests;

impl CostRule for LeastRequests {
    fn cost(&self, candidate: &CostComponents) -> f64 {
        candidate.running as f64
    }
}
