//! Simulated requests and the sampling of their arrivals.

use hickorycourse_placement::{Placement, PromptPart};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::pattern::{CallerGroup, LoadPattern};

/// The engine that a request's attempt was sent to.
#[derive(Clone, Debug)]
pub struct Assignment {
    /// Index of the relay that sent the attempt.
    pub relay: usize,
    /// Index of the engine.
    pub engine: usize,
    /// The relay's placement decision.
    pub placement: Placement,
}

/// A caller's request and the state of its current attempt.
#[derive(Debug)]
pub struct Request {
    /// Index of the caller group.
    pub group: usize,
    /// Parts of the prompt: the shared prefix, if any, then the request's own part.
    pub parts: Vec<PromptPart>,
    /// Index of the caller's zone.
    pub zone: usize,
    /// Arrival of the first attempt; latency and patience count from here.
    pub first_arrival_ms: u64,
    /// Arrival of the current attempt. Relays know this time only, because each attempt has an id of its own.
    pub attempt_arrival_ms: u64,
    /// Number of the current attempt; 0 before the first arrival.
    pub attempt: u32,
    /// Ids of the engines that the current attempt has been sent to; placement excludes them.
    pub excluded: Vec<String>,
    /// The engine that the current attempt is at; `None` while it is at none.
    pub assignment: Option<Assignment>,
    /// Time of the first byte; `None` before it.
    pub first_byte_at_ms: Option<u64>,
    /// Whether an outcome has been recorded.
    pub is_ended: bool,
}

/// Final outcome of a request.
#[derive(Clone, Copy, Debug)]
pub enum Outcome {
    /// The answer was completed.
    Answered,
    /// Refused; the caller does not retry.
    Refused,
    /// The engine or the connection failed, or no engine was reachable.
    Failed,
    /// The caller timed out before the first byte.
    Abandoned,
}

/// Samples the requests of caller group `index` as a Poisson process. `first` is the index of the first
/// request.
pub fn sample_requests(
    pattern: &LoadPattern,
    index: usize,
    first: usize,
    rng: &mut ChaCha8Rng,
) -> Vec<Request> {
    let group = &pattern.groups[index];
    let mut requests = Vec::new();
    let mut at_ms = 0.0;
    loop {
        let uniform: f64 = rng.random();
        at_ms += -(1.0 - uniform).ln() / arrival_rate_per_s(group, at_ms) * 1_000.0;
        if at_ms >= pattern.duration_ms as f64 {
            return requests;
        }
        let prefix = rng.random_range(0..group.shared_prefixes.max(1));
        // The hash ranges of shared and own parts are disjoint.
        let shared =
            PromptPart { hash: (index as u64 + 1) << 32 | prefix, tokens: group.shared_tokens };
        let number = (first + requests.len()) as u64;
        let own = PromptPart { hash: 1 << 60 | number, tokens: group.own_tokens };
        requests.push(Request {
            group: index,
            parts: if group.shared_tokens > 0 { vec![shared, own] } else { vec![own] },
            zone: rng.random_range(0..pattern.zones),
            first_arrival_ms: at_ms as u64,
            attempt_arrival_ms: at_ms as u64,
            attempt: 0,
            excluded: Vec::new(),
            assignment: None,
            first_byte_at_ms: None,
            is_ended: false,
        });
    }
}

fn arrival_rate_per_s(group: &CallerGroup, at_ms: f64) -> f64 {
    let surge = group.surge.filter(|s| (s.from_ms as f64..s.until_ms as f64).contains(&at_ms));
    group.requests_per_second * surge.map_or(1.0, |surge| surge.rate_factor)
}
