//! Which instances read the platform's store, and from where the others learn its state.
//!
//! Load pattern: hundreds of instances, each of which has to apply a change within seconds and to
//! prove that its keys are current, before a store that bills each call and limits their rate. A few
//! readers in each availability zone watch the store; the others follow a reader, and read the store
//! themselves only while no reader's word is fresh enough.

use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Largest number of instances of an availability zone that read the store; the second one covers the
/// loss of the first.
pub const MAX_READERS_PER_ZONE: usize = 2;
/// Instances of an availability zone up to which one reader is enough: when it is lost, they read the
/// store themselves until there is another, which are few calls.
const ONE_READER_MAX_INSTANCES: usize = 5;
/// Seed of the ranking. Aggregators are ranked otherwise: their replies can fill their links, and what waits behind
/// them is late.
const RANKING_SEED: u64 = 1;
/// Interval between two queries of a follower, in percent of the shortest bound within which changes
/// must be applied.
const QUERY_INTERVAL_PERCENT: u64 = 10;
/// Age of the state, in percent of that bound, above which a follower reads the store itself.
const MAX_FOLLOWED_AGE_PERCENT: u64 = 70;
/// Time without a reply of any reader, in percent of that bound, after which it does.
const MAX_SILENCE_PERCENT: u64 = 35;
/// Age of the state, in percent of the age above which a follower reads the store, above which it asks
/// other instances too.
const LATE_PERCENT: u64 = 50;
/// Time over which the instances of a zone begin to read the store for the same cause, in percent of that
/// bound.
const FALL_BACK_SPREAD_PERCENT: u64 = 15;
/// Part of the largest staleness with which keys are accepted, in percent, that the age may reach.
const MAX_STALENESS_PERCENT: u64 = 80;
/// Time for which an instance that is not selected reads the store before it follows again.
const MIN_READING_MS: u64 = 1_500;

/// Selects the readers among the instances of one availability zone. The loss of an instance changes the
/// selection only if it was selected.
pub fn select_readers<'a>(instances: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let mut ranked: Vec<&str> = instances.collect();
    let rank = |name: &str| Reverse(xxh3_64_with_seed(name.as_bytes(), RANKING_SEED));
    ranked.sort_unstable_by_key(|name| (rank(name), *name));
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
    /// Time without a reply of any reader after which the store is read.
    pub max_silence_ms: u64,
    /// Shortest time for which the store is then read.
    pub min_reading_ms: u64,
    /// Age of the state above which other instances are asked.
    pub late_age_ms: u64,
    /// Time over which the instances of a zone begin to read the store.
    pub fall_back_spread_ms: u64,
}

impl FollowTimings {
    /// Derives the timings from the shortest bound within which changes must be applied, and the largest
    /// staleness with which keys are accepted.
    pub fn from_bounds(change_propagation_ms: u64, max_staleness_ms: u64) -> Self {
        let max_age_ms = (change_propagation_ms * MAX_FOLLOWED_AGE_PERCENT / 100)
            .min(max_staleness_ms.saturating_mul(MAX_STALENESS_PERCENT) / 100);
        Self {
            query_interval_ms: change_propagation_ms * QUERY_INTERVAL_PERCENT / 100,
            max_age_ms,
            late_age_ms: max_age_ms * LATE_PERCENT / 100,
            fall_back_spread_ms: change_propagation_ms * FALL_BACK_SPREAD_PERCENT / 100,
            max_silence_ms: change_propagation_ms * MAX_SILENCE_PERCENT / 100,
            min_reading_ms: MIN_READING_MS,
        }
    }

    /// Returns whether an instance that reads the store goes over to following. `is_selected` tells
    /// whether it is one of the readers.
    pub fn may_follow(&self, is_selected: bool, reading_since_ms: u64, now_ms: u64) -> bool {
        !is_selected && now_ms.saturating_sub(reading_since_ms) >= self.min_reading_ms
    }

    /// Returns why a follower reads the store itself: it has been selected, no reader replies, or what
    /// it last heard of the store's state is too old, as its reader has lost the store.
    pub fn read_cause(
        &self,
        is_selected: bool,
        heard: LastHeard,
        now_ms: u64,
    ) -> Option<ReadCause> {
        if is_selected {
            Some(ReadCause::Selected)
        } else if now_ms.saturating_sub(heard.replied_at_ms) > self.max_silence_ms {
            Some(ReadCause::Silence)
        } else if now_ms.saturating_sub(heard.current_at_ms) > self.max_age_ms {
            Some(ReadCause::Age)
        } else {
            None
        }
    }

    /// Returns for how long the instance at the position `rank` among the `instances` of a zone goes on
    /// asking others when it has a cause to read the store.
    pub fn fall_back_delay_ms(&self, rank: usize, instances: usize) -> u64 {
        self.fall_back_spread_ms * rank as u64 / instances.max(1) as u64
    }

    /// Returns whether a follower reads the store itself for one of these causes.
    pub fn must_read(&self, is_selected: bool, heard: LastHeard, now_ms: u64) -> bool {
        self.read_cause(is_selected, heard, now_ms).is_some()
    }
}

/// Why a follower reads the store itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadCause {
    /// It is one of the readers now.
    Selected,
    /// No reader replies.
    Silence,
    /// What was last heard is too old.
    Age,
    /// No reader can tell the changes since the known revision.
    ChangesUnavailable,
    /// The upstreams were told as a list, without a revision.
    ListingNeeded,
    /// This instance stops and may no longer be told.
    Stopping,
}

impl ReadCause {
    /// Returns the name in the log.
    pub fn name(self) -> &'static str {
        match self {
            Self::Selected => "selected",
            Self::Silence => "silence",
            Self::Age => "age",
            Self::ChangesUnavailable => "changes_unavailable",
            Self::ListingNeeded => "listing_needed",
            Self::Stopping => "stopping",
        }
    }
}

/// What a follower has heard last.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LastHeard {
    /// Time of the last reply of a reader.
    pub replied_at_ms: u64,
    /// Time at which the state was last proven to be that of the store.
    pub current_at_ms: u64,
}
