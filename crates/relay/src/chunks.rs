//! Division of encoded replies that do not fit a datagram.
//!
//! Load pattern: an instance without the store asks for the list of hundreds of upstreams, with a new
//! document. The list is of use only as a whole, so its encoding is divided, unlike that of a digest.

use std::collections::BTreeMap;

use hickorycourse_digest::PartMark;

/// Chunks of one reply.
const MAX_CHUNKS: u16 = 64;

/// Divides an encoded reply into chunks of at most `max_bytes`.
pub fn divide(bytes: &[u8], max_bytes: usize) -> impl Iterator<Item = (PartMark, &[u8])> {
    let count = u16::try_from(bytes.len().div_ceil(max_bytes.max(1))).unwrap_or(u16::MAX);
    let chunks = (0..count).zip(bytes.chunks(max_bytes.max(1)));
    chunks.map(move |(index, chunk)| (PartMark { index, count }, chunk))
}

/// Chunks that have arrived, by reply.
#[derive(Clone, Debug)]
pub struct ChunkBuffer<K> {
    replies: BTreeMap<K, Vec<Option<Vec<u8>>>>,
}

impl<K> Default for ChunkBuffer<K> {
    fn default() -> Self {
        Self { replies: BTreeMap::new() }
    }
}

impl<K: Copy + Ord> ChunkBuffer<K> {
    /// Discards replies that are not expected any more.
    pub fn retain(&mut self, is_expected: impl Fn(K) -> bool) {
        self.replies.retain(|reply, _| is_expected(*reply));
    }

    /// Adds a chunk; returns the encoded reply when it is complete.
    pub fn add(&mut self, reply: K, part: PartMark, bytes: Vec<u8>) -> Option<Vec<u8>> {
        if part.count > MAX_CHUNKS {
            return None;
        }
        let count = usize::from(part.count);
        let chunks = self.replies.entry(reply).or_default();
        if chunks.len() != count {
            *chunks = vec![None; count];
        }
        *chunks.get_mut(usize::from(part.index))? = Some(bytes);
        if chunks.iter().any(Option::is_none) {
            return None;
        }
        let chunks = self.replies.remove(&reply)?;
        Some(chunks.into_iter().flatten().flatten().collect())
    }
}
