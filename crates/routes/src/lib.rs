//! Routes, organisations and upstreams in force for relayed requests.
//!
//! A [`RouteDocument`] is what operators have set, whole and versioned. [`InForce`] holds the
//! newest one and the age of its proof. [`RouteTable`] finds routes and keys in it.
//! [`UpstreamDirectory`] holds the upstreams that the platform lists, and what became of those that
//! it no longer lists.

mod directory;
mod document;
mod in_force;
mod table;

/// The types most users of this crate need.
pub mod prelude {
    pub use crate::{
        InForce, Organisation, RepeatRule, Route, RouteDocument, RouteTable, UpstreamDirectory,
        UpstreamEntry, UpstreamPhase,
    };
}

pub use directory::{DirectoryChange, UpstreamDirectory, UpstreamEntry, UpstreamPhase};
pub use document::{
    CallerLimits, CapUnit, CapacityLimits, EngineTraits, Organisation, RepeatRule, Route,
    RouteDocument, RouteTarget, Service, UsageCap,
};
pub use in_force::{InForce, OfferOutcome};
pub use table::{Access, RouteTable};
