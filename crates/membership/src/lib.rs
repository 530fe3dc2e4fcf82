//! Fleet membership and replication of settings between entries.
//!
//! [`MemberTable`] records the heartbeats of the other entries. From them it derives whether this
//! entry watches the platform's settings on behalf of its availability zone, and its share of the
//! upstreams' concurrency limits. [`SettingsReplica`] holds the newest settings documents that this
//! entry has received. It applies higher revisions only, so settings never revert.
//!
//! ```
//! use hickorycourse_membership::prelude::*;
//!
//! let mut table = MemberTable::new("entry-1", "zone-a", 2_000);
//! assert!(table.is_watcher(0), "the only known entry of a zone is its watcher");
//! ```

mod heartbeat;
mod replica;
mod table;

/// The types most users of this crate need.
pub mod prelude {
    pub use crate::{
        ApplyOutcome, CallerIdentity, DocumentVersion, Heartbeat, MemberStatus, MemberTable,
        ServiceDemand, SettingsReplica, SettingsSnapshot, VersionedDocument,
    };
}

pub use heartbeat::{Heartbeat, ServiceDemand};
pub use replica::{
    ApplyOutcome, CallerIdentity, DocumentVersion, SettingsReplica, SettingsSnapshot,
    VersionedDocument,
};
pub use table::{MemberStatus, MemberTable, PeerAddress};
