//! What an instance knows of each upstream: its load with the age of each report, and its speed.
//!
//! Free of I/O: the current time is an argument, in milliseconds of the instance's clock. Load comes from
//! three sources: the instance's own requests, digests of other instances, and reports of the upstream.
//! Only the first is exact; the others are as old as their messages.

mod load;
mod speed;

pub use load::{
    IgnoredReport, LoadEstimate, LoadFacts, LoadReport, LoadSource, PresentLoad,
    REPORT_STALE_AFTER_MS, UpstreamLoad, WaitingRequests,
};
pub use speed::{PaceWindow, SpeedEstimate, SpeedFacts, SpeedShare};

/// Types that most users of this crate need.
pub mod prelude {
    pub use crate::{LoadEstimate, UpstreamFacts, UpstreamLoad};
}

/// What is known of one upstream.
#[derive(Clone, Debug, Default)]
pub struct UpstreamFacts {
    /// Requests in flight there.
    pub load: LoadFacts,
    /// Speed at which it works.
    pub speed: SpeedFacts,
}

impl UpstreamFacts {
    /// Discards what belongs to one start of the upstream, after it has started again. Requests of this
    /// instance and those reported by others are kept: they end one by one.
    pub fn reset(&mut self) {
        self.load.reset();
        self.speed.reset();
    }
}
