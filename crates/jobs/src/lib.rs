//! Accepted asynchronous jobs: their replication, handover and failover between entries.
//!
//! A job is a call that was accepted with status 202 and runs in the background. It is accepted
//! only after a second entry, in another availability zone if there is one, has confirmed a copy of
//! it. The entry that executes a job is its *holder*. A holder that is being drained hands its jobs
//! over to other entries; when a holder fails, the entry with the copy takes over. Only calls that
//! may run more than once become jobs, so a holder that was merely partitioned does no harm: the
//! same response is computed again.
//!
//! [`JobTable`] is a state machine that performs no I/O: its methods return the actions to carry
//! out.
//!
//! ```
//! use hickorycourse_jobs::prelude::*;
//!
//! let mut table = JobTable::default();
//! table.add(JobCopy::new("job-1", "entry-1", 7), 0);
//! let view = FleetView {
//!     now_ms: 0,
//!     is_leaving: false,
//!     is_alive: &|_| true,
//!     is_available: &|_| true,
//!     copy_target: Some("entry-2"),
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
