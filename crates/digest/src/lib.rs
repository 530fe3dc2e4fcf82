//! Load and usage that the instances of a fleet tell each other, and its aggregation.
//!
//! Free of I/O: the current time is an argument and nothing is sent. In a large fleet, members send a
//! [`MemberDigest`] to the aggregators of their availability zone, which are chosen by
//! [`rank_aggregators`]. A [`ZoneAggregator`] sums them to a [`ZoneDigest`]; so what an instance sends
//! and receives does not grow with the fleet, and its age is the same at every size. [`OwnDigests`]
//! takes an instance's own part out of the sums. [`split`] and [`encode_zones`] divide what is too large
//! for a datagram.

mod aggregator;
mod message;
mod own;
mod parts;
mod ranking;

/// Types that most users of this crate need.
pub mod prelude {
    pub use crate::{MemberDigest, OwnDigests, ZoneAggregator, ZoneDigest};
}

pub use aggregator::ZoneAggregator;
pub use message::{
    LoadCounts, MemberDigest, MemberMark, ServiceDigest, SpeedCounts, WaitingCounts, ZoneDigest,
};
pub use own::OwnDigests;
pub use parts::{
    Contents, Divisible, EncodeError, FleetParts, PartBuffer, PartMark, encode_zones, join_zones,
    split,
};
pub use ranking::{AGGREGATORS_PER_ZONE, rank_aggregators};
