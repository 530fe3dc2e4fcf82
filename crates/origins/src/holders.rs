//! Choice of the instances that keep the origin of a stream.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::StreamKey;

/// Returns the instances in the order in which they keep the origin of a stream, by rendezvous hashing
/// (Thaler and Ravishankar, 1998): a change of the fleet moves only the instances that joined or left.
pub fn rank_holders<'a>(key: StreamKey, instances: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let mut ranked: Vec<_> = instances
        .map(|instance| (xxh3_64_with_seed(instance.as_bytes(), key.seed()), instance))
        .collect();
    ranked.sort_unstable_by(|one, other| other.cmp(one));
    ranked.into_iter().map(|(_, instance)| instance).collect()
}
