//! Requests of callers.

use hickorycourse_placement::{Placement, PromptPart};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::pattern::{CallerGroup, LoadPattern};

/// A request's place at an engine.
#[derive(Clone, Debug)]
pub struct Place {
    /// Number of the relay that sent it.
    pub relay: usize,
    /// Number of the engine.
    pub engine: usize,
    /// Where and with what forecast it was placed.
    pub placement: Placement,
}

/// One request of a caller, with all its attempts.
#[derive(Debug)]
pub struct Request {
    /// Number of its group.
    pub group: usize,
    /// The prompt's parts.
    pub parts: Vec<PromptPart>,
    /// Its caller's zone.
    pub zone: usize,
    /// When its first attempt came.
    pub first_at_ms: u64,
    /// When its present attempt came; relays know no more, as each attempt has an id of its own.
    pub arrived_at_ms: u64,
    /// Attempts so far.
    pub attempt: u32,
    /// Engines that the present attempt was sent to.
    pub excluded: Vec<String>,
    /// Its place, while it is at an engine.
    pub place: Option<Place>,
    /// When its first byte came.
    pub first_byte_at_ms: Option<u64>,
    /// Whether its outcome is known.
    pub is_ended: bool,
}

/// What becomes of a request in the end.
#[derive(Clone, Copy, Debug)]
pub enum Outcome {
    /// A whole answer.
    Answered,
    /// A last refusal.
    Refused,
    /// Its engine or connection failed.
    Failed,
    /// Its caller left before the first byte.
    Left,
}

/// Draws the requests of a group: independent of each other, so many a second on average. `first` is
/// the number of the first one.
pub fn draw_requests(
    pattern: &LoadPattern,
    index: usize,
    first: usize,
    random: &mut ChaCha8Rng,
) -> Vec<Request> {
    let group = &pattern.groups[index];
    let mut requests = Vec::new();
    let mut at_ms = 0.0;
    loop {
        let uniform: f64 = random.random();
        at_ms += -(1.0 - uniform).ln() / count_per_second(group, at_ms) * 1_000.0;
        if at_ms >= pattern.length_ms as f64 {
            return requests;
        }
        let subject = random.random_range(0..group.subjects.max(1));
        // Hashes of shared parts and of own ones lie apart.
        let shared =
            PromptPart { hash: (index as u64 + 1) << 32 | subject, tokens: group.shared_tokens };
        let number = (first + requests.len()) as u64;
        let own = PromptPart { hash: 1 << 60 | number, tokens: group.own_tokens };
        requests.push(Request {
            group: index,
            parts: if group.shared_tokens > 0 { vec![shared, own] } else { vec![own] },
            zone: random.random_range(0..pattern.zones),
            first_at_ms: at_ms as u64,
            arrived_at_ms: at_ms as u64,
            attempt: 0,
            excluded: Vec::new(),
            place: None,
            first_byte_at_ms: None,
            is_ended: false,
        });
    }
}

fn count_per_second(group: &CallerGroup, at_ms: f64) -> f64 {
    let surge = group.surge.filter(|s| (s.from_ms as f64..s.until_ms as f64).contains(&at_ms));
    group.per_second * surge.map_or(1.0, |surge| surge.times)
}
