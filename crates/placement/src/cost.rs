//! How upstreams are compared.

/// What is known of one upstream for one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CandidateView {
    /// Expected time to the first byte, with the requests of all ranks that are there.
    pub load_ms: f64,
    /// Cost of the distance to it.
    pub distance_ms: f64,
    /// Cost of reading shared prompt parts once more.
    pub shared_ms: f64,
    /// Cost of its recent failures.
    pub failure_ms: f64,
    /// Estimated requests in flight of all instances.
    pub running: u64,
}

/// Compares upstreams; the one with the lowest cost takes the request.
pub trait CostRule: Send {
    /// The cost of sending the request there.
    fn cost(&self, candidate: &CandidateView) -> f64;
}

/// The shortest expected time to the first byte. Answers clumps of long prompts and hot prefixes,
/// under which counts of requests say little.
#[derive(Clone, Copy, Debug, Default)]
pub struct ExpectedWait;

impl CostRule for ExpectedWait {
    fn cost(&self, candidate: &CandidateView) -> f64 {
        candidate.load_ms + candidate.distance_ms + candidate.shared_ms + candidate.failure_ms
    }
}

/// The fewest requests in flight; the baseline.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastRequests;

impl CostRule for LeastRequests {
    fn cost(&self, candidate: &CandidateView) -> f64 {
        candidate.running as f64
    }
}
