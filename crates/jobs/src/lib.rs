//! Accepted jobs, their copies and who works on them.
//!
//! A job is a call that was answered with 202. Its caller is told so only when a second entry, in
//! another availability zone where there is one, holds a copy. The entry that works on it is its
//! *holder*. A holder that leaves hands its jobs on; when a holder is lost, the entry with the copy
//! takes over. Jobs are calls that may run twice, so a holder that was only cut off does no harm:
//! the same answer is computed again.
//!
//! [`JobTable`] is a state machine without input or output.
//!
//! ```
//! use hickorycourse_jobs::prelude::*;
//!
//! let mut table = JobTable::default();
//! table.add(JobCopy::new("job-1", "entry-1", 7), 0);
//! let view = FleetView {
//!     now_ms: 0,
//!     is_leaving: false,
//!     alive: &|_| true,
//!     stays: &|_| true,
//!     other: Some("entry-2"),
//! };
//! let actions = table.tick(&view);
//! assert!(matches!(&actions[0], JobAction::SendCopy { to, .. } if to == "entry-2"));
//! ```

mod copy;
mod table;

/// The types most users of this crate need.
pub mod prelude {
    pub use crate::{FleetView, HolderId, JobAction, JobCopy, JobState, JobTable};
}

pub use copy::{JobCopy, JobState};
pub use table::{FleetView, HolderId, JobAction, JobTable};
