//! Choice of the instances that act for their availability zone.

use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64;

/// Instances of an availability zone that aggregate its digests; the second one covers the loss of the
/// first.
pub const AGGREGATORS_PER_ZONE: usize = 2;

/// Orders the instances of one availability zone by rendezvous hashing (Thaler and Ravishankar, 1998):
/// the first ones act for the zone, and the loss of an instance does not change the order of the others.
pub fn rank_aggregators<'a>(instances: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let mut ranked: Vec<&str> = instances.collect();
    ranked.sort_unstable_by_key(|name| (Reverse(xxh3_64(name.as_bytes())), *name));
    ranked.dedup();
    ranked
}
