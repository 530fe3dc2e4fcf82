//! Cached prompt prefixes.

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A prompt as a chain of block hashes: each names the whole prompt up to its end.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PrefixBlocks {
    hashes: Vec<u64>,
}

/// Bytes of one block, about 16 tokens of English text.
pub const BLOCK_BYTES: usize = 64;
/// Estimated bytes of one token.
pub const BYTES_PER_TOKEN: usize = 4;
/// Blocks looked at; longer prompts differ in their tails.
const BLOCKS_MOST: usize = 512;

impl PrefixBlocks {
    /// Cuts a prompt into blocks; a last block that is not full is left out.
    pub fn from_prompt(prompt: &[u8]) -> Self {
        let mut seed = 0;
        let chunks = prompt.chunks_exact(BLOCK_BYTES).take(BLOCKS_MOST);
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

    /// Names the start of the prompt, to send prompts that share it to the same upstream.
    pub fn affinity_key(&self) -> u64 {
        self.hashes
            .get(self.hashes.len().min(AFFINITY_BLOCKS).wrapping_sub(1))
            .copied()
            .unwrap_or(0)
    }
}

/// Blocks that name the start of a prompt.
const AFFINITY_BLOCKS: usize = 4;

/// The blocks that an upstream is believed to hold, with the least recently used dropped first. What
/// we send there is added; the upstream's own events correct it, late and with gaps.
#[derive(Clone, Debug)]
pub struct PrefixIndex {
    used_at: HashMap<u64, u64>,
    uses: u64,
    capacity_blocks: usize,
}

impl PrefixIndex {
    /// Creates an empty index.
    pub fn new(capacity_blocks: usize) -> Self {
        Self { used_at: HashMap::new(), uses: 0, capacity_blocks }
    }

    /// Adds blocks that the upstream holds now.
    pub fn add(&mut self, hashes: &[u64]) {
        self.uses += 1;
        for hash in hashes {
            self.used_at.insert(*hash, self.uses);
        }
        if self.used_at.len() > self.capacity_blocks {
            self.drop_oldest();
        }
    }

    /// Removes blocks that the upstream has dropped.
    pub fn remove(&mut self, hashes: &[u64]) {
        for hash in hashes {
            self.used_at.remove(hash);
        }
    }

    /// Forgets everything, as after a gap in the events.
    pub fn clear(&mut self) {
        self.used_at.clear();
    }

    /// Counts the leading blocks of a prompt that it holds.
    pub fn count_leading(&self, blocks: &PrefixBlocks) -> usize {
        blocks.hashes.iter().take_while(|hash| self.used_at.contains_key(hash)).count()
    }

    /// Whether it holds this block.
    pub fn holds(&self, hash: u64) -> bool {
        self.used_at.contains_key(&hash)
    }

    /// How many blocks it holds.
    pub fn len(&self) -> usize {
        self.used_at.len()
    }

    /// Whether it holds none.
    pub fn is_empty(&self) -> bool {
        self.used_at.is_empty()
    }

    /// Drops the oldest eighth at once, so that the cost of sorting is spread over many additions.
    fn drop_oldest(&mut self) {
        let mut uses: Vec<u64> = self.used_at.values().copied().collect();
        uses.sort_unstable();
        let drop_count = self.used_at.len() - self.capacity_blocks + self.capacity_blocks / 8;
        let Some(limit) = uses.get(drop_count.min(uses.len() - 1)) else { return };
        let limit = *limit;
        self.used_at.retain(|_, used_at| *used_at >= limit);
    }
}
