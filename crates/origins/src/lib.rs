//! Origins of streams: the service, and the version of its software, that began them.
//!
//! Free of I/O: the current time is an argument and nothing is sent. The instance that begins a stream
//! records its [`StreamOrigin`] in its own [`OriginTable`] and tells a few others, which are chosen by
//! [`choose_holders`] from the stream's [`StreamKey`]. An instance that is to resume a stream asks the same
//! ones. An origin that none of them knows is unknown, and such a stream is not resumed, unless
//! [`RouteTargets`] shows that only one service can have begun it, and [`ListedVersions`] only one version of it.
//!
//! What instances remember ends with them. While a service has several versions, each instance therefore
//! writes the origins in its [`OriginJournal`] to the platform's store, and one writes the [`VersionRecord`] of
//! what has been listed, from which instances that start know the same. Streams that begin at a start whose version is
//! not known are in the [`BeginningJournal`], and the record says that there are some.

mod beginnings;
mod holders;
mod journal;
mod records;
mod routes;
mod table;
mod versions;

/// Types that most users of this crate need.
pub mod prelude {
    pub use crate::{
        ListedVersions, OriginJournal, OriginTable, RouteTargets, StreamBeginning, StreamKey,
        StreamOrigin,
    };
}

pub use beginnings::BeginningJournal;
pub use holders::choose_holders;
pub use journal::{OriginJournal, SegmentWrite, write_interval_ms};
pub use records::{
    BeginningSegment, OpenRouteRecord, OriginSegment, RouteRecord, RouteTargetRecord,
    ServiceVersion, VersionRecord,
};
pub use routes::{PresentRoute, RouteTargets, make_prefix};
pub use table::{OriginTable, StreamBeginning, StreamKey, StreamOrigin};
pub use versions::{LISTING_RETENTION_MS, ListedVersions};
