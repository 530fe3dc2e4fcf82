//! Members of the fleet and the settings they agree on.
//!
//! [`MemberTable`] holds what each entry has heard of the others, says which of them watch the
//! settings for their availability zone, and splits the upstreams' limits among them.
//! [`SettingsReplica`] holds the newest settings that have reached this instance; it applies only
//! higher revisions, so nothing reverts.
//!
//! ```
//! use hickorycourse_membership::prelude::*;
//!
//! let mut table = MemberTable::new("entry-1", "zone-a", 2_000);
//! assert!(table.is_watcher(0), "an entry that knows no other watches itself");
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
