//! Choosing among candidates.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::prefix::{BLOCK_BYTES, BYTES_PER_TOKEN, PrefixBlocks};

/// A call that wants an upstream.
#[derive(Clone, Debug)]
pub struct RouteRequest<'a> {
    /// Its prompt; empty for plain services.
    pub prefix: &'a PrefixBlocks,
}

/// An upstream that could take the call.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Its place in the book.
    pub index: usize,
    /// A hash of its name.
    pub name_hash: u64,
    /// Whether it is in the instance's own availability zone.
    pub is_same_zone: bool,
    /// Calls in flight there, as far as known.
    pub in_flight: u64,
    /// Calls it works on at once.
    pub concurrency: u64,
    /// Leading blocks of the prompt that it is believed to hold.
    pub cached_blocks: usize,
}

/// Chooses an upstream.
pub trait Router: Send {
    /// Chooses among the candidates; `None` only if there are none.
    fn choose(&mut self, request: &RouteRequest<'_>, candidates: &[Candidate]) -> Option<usize>;
}

/// One after the other.
#[derive(Debug, Default)]
pub struct RoundRobinRouter {
    next: usize,
}

impl RoundRobinRouter {
    /// Starts with the first.
    pub fn new() -> Self {
        Self::default()
    }
}

impl Router for RoundRobinRouter {
    fn choose(&mut self, _request: &RouteRequest<'_>, candidates: &[Candidate]) -> Option<usize> {
        let following = candidates.iter().find(|candidate| candidate.index >= self.next);
        let chosen = following.or(candidates.first())?.index;
        self.next = chosen + 1;
        Some(chosen)
    }
}

/// Weighs the tokens that need no computing against the load, the own availability zone first.
///
/// The score is a time in token equivalents: tokens of the prompt to compute, plus the upstream's
/// load by its part in use. Among equals, rendezvous hashing on the prompt's start decides, so that
/// prompts that share it meet at the same upstream from every entry.
#[derive(Debug, Default)]
pub struct PrefixRouter;

/// Cost of a full upstream against an empty one, in tokens.
const LOAD_WEIGHT_TOKENS: f64 = 512.0;
/// Cost of leaving the availability zone, in tokens.
const ZONE_WEIGHT_TOKENS: f64 = 96.0;
/// Advantage of the upstream that the prompt's start hashes to, in tokens.
const HOME_WEIGHT_TOKENS: f64 = 48.0;

impl PrefixRouter {
    /// Creates the router.
    pub fn new() -> Self {
        Self
    }
}

impl Router for PrefixRouter {
    fn choose(&mut self, request: &RouteRequest<'_>, candidates: &[Candidate]) -> Option<usize> {
        let affinity = request.prefix.affinity_key();
        let home = candidates
            .iter()
            .filter(|candidate| candidate.is_same_zone)
            .max_by_key(|candidate| rendezvous_weight(candidate.name_hash, affinity))
            .map(|candidate| candidate.index);
        let blocks = request.prefix.hashes().len();
        let best = candidates.iter().min_by(|a, b| {
            let score_a = score(a, blocks, home);
            let score_b = score(b, blocks, home);
            score_a.total_cmp(&score_b).then_with(|| {
                let weight_a = rendezvous_weight(a.name_hash, affinity);
                let weight_b = rendezvous_weight(b.name_hash, affinity);
                weight_b.cmp(&weight_a)
            })
        });
        best.map(|candidate| candidate.index)
    }
}

fn score(candidate: &Candidate, blocks: usize, home: Option<usize>) -> f64 {
    let uncached_blocks = blocks.saturating_sub(candidate.cached_blocks);
    let uncached_tokens = (uncached_blocks * BLOCK_BYTES / BYTES_PER_TOKEN) as f64;
    let used_part = candidate.in_flight as f64 / candidate.concurrency.max(1) as f64;
    let zone = if candidate.is_same_zone { 0.0 } else { ZONE_WEIGHT_TOKENS };
    let home = if home == Some(candidate.index) { HOME_WEIGHT_TOKENS } else { 0.0 };
    uncached_tokens + used_part * LOAD_WEIGHT_TOKENS + zone - home
}

/// Weight of a node for a key; the highest wins (Thaler and Ravishankar, 1998).
fn rendezvous_weight(name_hash: u64, key: u64) -> u64 {
    xxh3_64_with_seed(&key.to_le_bytes(), name_hash)
}
