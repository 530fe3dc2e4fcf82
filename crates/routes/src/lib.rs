//! Routes, organisations and upstreams for relayed requests.
//!
//! A [`RouteDocument`] is a versioned document with all settings that operators maintain.
//! [`ActiveDocument`] holds the newest one received and a bound on its staleness. [`RouteTable`]
//! indexes it by host, path and API key. [`UpstreamDirectory`] holds the upstreams that the
//! platform lists, including, for a grace period, those whose entries lapsed during an outage.

mod active_document;
mod directory;
mod document;
mod table;

/// The types most users of this crate need.
pub mod prelude {
    pub use crate::{
        ActiveDocument, Organisation, RetrySemantics, Route, RouteDocument, RouteTable,
        UpstreamDirectory, UpstreamEntry, UpstreamPhase,
    };
}

pub use active_document::{ActiveDocument, ApplyOutcome};
pub use directory::{DirectoryChange, UpstreamDirectory, UpstreamEntry, UpstreamPhase};
pub use document::{
    CallerLimits, CapUnit, CapacityLimits, EngineTraits, Organisation, RetrySemantics, Route,
    RouteDocument, RouteTarget, Service, UsageCap,
};
pub use table::{Access, RouteTable};
