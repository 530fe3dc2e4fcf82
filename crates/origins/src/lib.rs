//! Origins of streams: the service, and the version of its software, that began them.
//!
//! Free of I/O: the current time is an argument and nothing is sent. The instance that begins a stream
//! records its [`StreamOrigin`] in its own [`OriginTable`] and tells a few others, which are chosen by
//! [`choose_holders`] from the stream's [`StreamKey`]. An instance that is to resume a stream asks the same
//! ones. An origin that none of them knows is unknown, and such a stream is not resumed, unless
//! [`ListedVersions`] shows that only one version can have begun it.

mod holders;
mod table;
mod versions;

/// Types that most users of this crate need.
pub mod prelude {
    pub use crate::{ListedVersions, OriginTable, StreamKey, StreamOrigin};
}

pub use holders::choose_holders;
pub use table::{OriginTable, StreamKey, StreamOrigin};
pub use versions::ListedVersions;
