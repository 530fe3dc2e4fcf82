//! Which instances read the platform's store, and from where the others learn its state.
//!
//! Load pattern: hundreds of instances, each of which has to apply a change within seconds and to
//! prove that its keys are current, before a store that bills each call and limits their rate. A few
//! readers in each availability zone watch the store; the others follow a reader, and read the store
//! themselves only while no reader's word is fresh enough.

use xxhash_rust::xxh3::xxh3_64;

/// Largest number of instances of an availability zone that read the store; the second one covers the
/// loss of the first.
pub const MAX_READERS_PER_ZONE: usize = 2;
/// Instances of an availability zone up to which one reader is enough: when it is lost, they read the
/// store themselves until there is another, which are few calls.
const ONE_READER_MAX_INSTANCES: usize = 5;
/// Interval between two queries of a follower, in percent of the shortest bound within which changes
/// must be applied.
const QUERY_INTERVAL_PERCENT: u64 = 10;
/// Age of the state, in percent of that bound, above which a follower reads the store itself.
const MAX_FOLLOWED_AGE_PERCENT: u64 = 50;
/// Time for which an instance that is not selected reads the store before it follows again.
const MIN_READING_MS: u64 = 4_000;

/// Selects the readers among the instances of one availability zone, by rendezvous hashing (Thaler and
/// Ravishankar, 1998): the loss of an instance changes the selection only if it was selected.
pub fn select_readers<'a>(instances: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let mut ranked: Vec<&str> = instances.collect();
    ranked.sort_unstable_by_key(|name| (std::cmp::Reverse(xxh3_64(name.as_bytes())), *name));
    ranked.dedup();
    ranked.truncate(match ranked.len() <= ONE_READER_MAX_INSTANCES {
        true => 1,
        false => MAX_READERS_PER_ZONE,
    });
    ranked
}

/// Timing of a follower.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FollowTimings {
    /// Interval between two queries.
    pub query_interval_ms: u64,
    /// Age of the state above which the store is read.
    pub max_age_ms: u64,
    /// Shortest time for which the store is then read.
    pub min_reading_ms: u64,
}

impl FollowTimings {
    /// Derives the timings from the shortest bound within which changes must be applied.
    pub fn from_bound(change_propagation_ms: u64) -> Self {
        Self {
            query_interval_ms: change_propagation_ms * QUERY_INTERVAL_PERCENT / 100,
            max_age_ms: change_propagation_ms * MAX_FOLLOWED_AGE_PERCENT / 100,
            min_reading_ms: MIN_READING_MS,
        }
    }

    /// Returns whether an instance that reads the store goes over to following. `is_selected` tells
    /// whether it is one of the readers.
    pub fn may_follow(&self, is_selected: bool, reading_since_ms: u64, now_ms: u64) -> bool {
        !is_selected && now_ms.saturating_sub(reading_since_ms) >= self.min_reading_ms
    }

    /// Returns whether a follower reads the store itself: it has been selected, or what it last heard
    /// of the store's state is too old. `current_at_ms` is the time at which its state was last proven
    /// to be current.
    pub fn must_read(&self, is_selected: bool, current_at_ms: u64, now_ms: u64) -> bool {
        is_selected || now_ms.saturating_sub(current_at_ms) > self.max_age_ms
    }
}
