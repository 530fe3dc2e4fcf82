//! Selection of an upstream among candidates.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::prefix::{BLOCK_BYTES, BYTES_PER_TOKEN, PrefixBlocks};

/// Properties of a call that routing considers.
#[derive(Clone, Debug)]
pub struct RouteRequest<'a> {
    /// Block hashes of the prompt; empty for services of kind `plain`, which have no prompts.
    pub prefix: &'a PrefixBlocks,
}

/// An upstream with a free concurrency slot for the call.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Index in the upstream table.
    pub index: usize,
    /// Hash of the upstream's name, for rendezvous hashing.
    pub name_hash: u64,
    /// Whether the upstream is in this instance's availability zone.
    pub is_same_zone: bool,
    /// Estimated calls in flight from all instances.
    pub in_flight: u64,
    /// Calls that the upstream executes concurrently.
    pub concurrency: u64,
    /// Leading blocks of the prompt that are probably in the upstream's cache.
    pub cached_blocks: usize,
}

/// A strategy to select an upstream.
pub trait Router: Send {
    /// Returns the `index` of the selected candidate; `None` only if there are no candidates.
    fn choose(&mut self, request: &RouteRequest<'_>, candidates: &[Candidate]) -> Option<usize>;
}

/// Selects the candidates in turn, in order of their indexes.
#[derive(Debug, Default)]
pub struct RoundRobinRouter {
    next: usize,
}

impl RoundRobinRouter {
    /// Creates a router that starts with the first candidate.
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

/// Weighs cached prompt tokens against load and prefers this instance's availability zone.
///
/// The score is a cost in tokens, and the lowest wins: uncached tokens of the prompt, plus the
/// upstream's utilisation times a weight, plus a penalty for another availability zone, minus a bonus
/// for the upstream of this zone that rendezvous hashing selects for the prompt's start. Rendezvous
/// hashing also resolves ties. It makes all instances of a zone send prompts with the same start to
/// the same upstream.
#[derive(Debug, Default)]
pub struct PrefixRouter;

/// Cost of a fully utilised upstream compared with an idle one, in tokens.
const LOAD_WEIGHT_TOKENS: f64 = 512.0;
/// Cost of a call to another availability zone, in tokens.
const ZONE_WEIGHT_TOKENS: f64 = 96.0;
/// Bonus for the upstream that rendezvous hashing selects for the prompt's start, in tokens.
const AFFINITY_WEIGHT_TOKENS: f64 = 48.0;

impl PrefixRouter {
    /// Creates the router.
    pub fn new() -> Self {
        Self
    }
}

impl Router for PrefixRouter {
    fn choose(&mut self, request: &RouteRequest<'_>, candidates: &[Candidate]) -> Option<usize> {
        let key = request.prefix.affinity_key();
        let affinity_index = candidates
            .iter()
            .filter(|candidate| candidate.is_same_zone)
            .max_by_key(|candidate| rendezvous_weight(candidate.name_hash, key))
            .map(|candidate| candidate.index);
        let blocks = request.prefix.hashes().len();
        let best = candidates.iter().min_by(|a, b| {
            let score_a = score(a, blocks, affinity_index);
            let score_b = score(b, blocks, affinity_index);
            score_a.total_cmp(&score_b).then_with(|| {
                let weight_a = rendezvous_weight(a.name_hash, key);
                let weight_b = rendezvous_weight(b.name_hash, key);
                weight_b.cmp(&weight_a)
            })
        });
        best.map(|candidate| candidate.index)
    }
}

fn score(candidate: &Candidate, blocks: usize, affinity_index: Option<usize>) -> f64 {
    let uncached_blocks = blocks.saturating_sub(candidate.cached_blocks);
    let uncached_tokens = (uncached_blocks * BLOCK_BYTES / BYTES_PER_TOKEN) as f64;
    let utilisation = candidate.in_flight as f64 / candidate.concurrency.max(1) as f64;
    let zone = if candidate.is_same_zone { 0.0 } else { ZONE_WEIGHT_TOKENS };
    let affinity =
        if affinity_index == Some(candidate.index) { AFFINITY_WEIGHT_TOKENS } else { 0.0 };
    uncached_tokens + utilisation * LOAD_WEIGHT_TOKENS + zone - affinity
}

/// Weight of an upstream for a key in rendezvous hashing; the highest wins (Thaler and Ravishankar, 1998).
fn rendezvous_weight(name_hash: u64, key: u64) -> u64 {
    xxh3_64_with_seed(&key.to_le_bytes(), name_hash)
}
