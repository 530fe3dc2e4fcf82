//! Block hashes of prompts and an index of cached prefixes.

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A prompt as a chain of block hashes: each hash identifies the whole prompt up to the end of its
/// block.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PrefixBlocks {
    hashes: Vec<u64>,
}

/// Size of a block; holds about 16 tokens of English text.
pub const BLOCK_BYTES: usize = 64;
/// Estimated bytes per token.
pub const BYTES_PER_TOKEN: usize = 4;
/// Maximum number of hashed blocks; the tail of longer prompts is ignored.
const MAX_PROMPT_BLOCKS: usize = 512;

impl PrefixBlocks {
    /// Splits a prompt into blocks and hashes them; an incomplete last block is ignored.
    pub fn from_prompt(prompt: &[u8]) -> Self {
        let mut seed = 0;
        let chunks = prompt.chunks_exact(BLOCK_BYTES).take(MAX_PROMPT_BLOCKS);
        let hashes = chunks.map(|block| {
            seed = xxh3_64_with_seed(block, seed);
            seed
        });
        Self { hashes: hashes.collect() }
    }

    /// The block hashes, from the start of the prompt.
    pub fn hashes(&self) -> &[u64] {
        &self.hashes
    }

    /// Key of the start of the prompt for rendezvous hashing, which routes prompts with the same
    /// start to the same upstream; 0 if the prompt has no full block.
    pub fn affinity_key(&self) -> u64 {
        self.hashes
            .get(self.hashes.len().min(AFFINITY_BLOCKS).wrapping_sub(1))
            .copied()
            .unwrap_or(0)
    }
}

/// Leading blocks that the affinity key covers.
const AFFINITY_BLOCKS: usize = 4;

/// Estimate of the prefix blocks in an upstream's cache, with eviction of the least recently used.
/// Blocks of prompts sent to the upstream are added; the upstream's cache events, which arrive late
/// and with gaps, correct the estimate.
#[derive(Clone, Debug)]
pub struct PrefixIndex {
    /// The value of `uses` at the last use of each block.
    used_at: HashMap<u64, u64>,
    /// Number of calls of [`Self::add`]; orders the uses of blocks.
    uses: u64,
    capacity_blocks: usize,
}

impl PrefixIndex {
    /// Creates an empty index of at most `capacity_blocks` blocks.
    pub fn new(capacity_blocks: usize) -> Self {
        Self { used_at: HashMap::new(), uses: 0, capacity_blocks }
    }

    /// Adds cached blocks, or marks them as recently used.
    pub fn add(&mut self, hashes: &[u64]) {
        self.uses += 1;
        for hash in hashes {
            self.used_at.insert(*hash, self.uses);
        }
        if self.used_at.len() > self.capacity_blocks {
            self.evict_least_recently_used();
        }
    }

    /// Removes blocks that the upstream has evicted.
    pub fn remove(&mut self, hashes: &[u64]) {
        for hash in hashes {
            self.used_at.remove(hash);
        }
    }

    /// Removes all blocks, for instance after a gap in the cache events.
    pub fn clear(&mut self) {
        self.used_at.clear();
    }

    /// Counts the leading blocks of a prompt that are in the index.
    pub fn count_leading(&self, blocks: &PrefixBlocks) -> usize {
        blocks.hashes.iter().take_while(|hash| self.used_at.contains_key(hash)).count()
    }

    /// Whether the block is in the index.
    pub fn contains(&self, hash: u64) -> bool {
        self.used_at.contains_key(&hash)
    }

    /// Number of blocks.
    pub fn len(&self) -> usize {
        self.used_at.len()
    }

    /// Whether the index has no blocks.
    pub fn is_empty(&self) -> bool {
        self.used_at.is_empty()
    }

    /// Evicts the least recently used blocks until about an eighth of the capacity is free. Evicting many
    /// at a time amortises the cost of sorting over many additions.
    fn evict_least_recently_used(&mut self) {
        let mut uses: Vec<u64> = self.used_at.values().copied().collect();
        uses.sort_unstable();
        let evict_count = self.used_at.len() - self.capacity_blocks + self.capacity_blocks / 8;
        let Some(limit) = uses.get(evict_count.min(uses.len() - 1)) else { return };
        let limit = *limit;
        self.used_at.retain(|_, used_at| *used_at >= limit);
    }
}
