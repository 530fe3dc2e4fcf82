//! Choice of the instances that keep the origin of a stream.

use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::StreamKey;

/// Returns the `count` instances that keep the origin of a stream, in the order in which they are chosen, by
/// rendezvous hashing (Thaler and Ravishankar, 1998): a change of the fleet moves only the instances that
/// joined or left.
pub fn choose_holders<'a>(
    key: StreamKey,
    instances: impl Iterator<Item = &'a str>,
    count: usize,
) -> Vec<&'a str> {
    let hash = |instance: &str| xxh3_64_with_seed(instance.as_bytes(), key.seed());
    let mut ranked: Vec<_> =
        instances.map(|instance| (Reverse(hash(instance)), instance)).collect();
    if ranked.len() > count {
        ranked.select_nth_unstable(count);
        ranked.truncate(count);
    }
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, instance)| instance).collect()
}
