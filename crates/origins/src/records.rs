//! What instances write to the platform's store for those that start.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{StreamBeginning, StreamKey, StreamOrigin};

/// Interval at which a [`VersionRecord`] is written again although nothing has changed.
const VERSION_REFRESH_MS: u64 = 20_000;
/// Age up to which a record of a version that is not known need not be written again; well below the allowance for
/// clocks with which instances that start read it.
const UNKNOWN_REFRESH_MS: u64 = 3_000;

/// A version of a service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceVersion {
    /// The version; `None` if it is not known.
    #[serde(rename = "v")]
    pub version: Option<String>,
    /// Time since it was last listed, when the record was written; `None` if it was listed then.
    #[serde(rename = "g")]
    pub gone_for_ms: Option<u64>,
}

/// A service to which a route has led.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RouteTargetRecord {
    /// The service; `None` stands for the absence of the route.
    #[serde(rename = "s")]
    pub service: Option<String>,
    /// Time since the route last led to it, when the record was written; `None` if it did then.
    #[serde(default, rename = "g", skip_serializing_if = "Option::is_none")]
    pub gone_for_ms: Option<u64>,
}

/// A route that instances serve, or have served, while they are cut off from the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OpenRouteRecord {
    /// The host and the path prefix of the route.
    #[serde(rename = "p")]
    pub prefix: String,
    /// Time since it last was open, when the record was written; `None` if it was open then.
    #[serde(default, rename = "g", skip_serializing_if = "Option::is_none")]
    pub gone_for_ms: Option<u64>,
}

/// Services to which routes have led lately, and for how long this is known.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RouteRecord {
    /// Time up to the write of which all targets are known.
    pub complete_for_ms: u64,
    /// Targets by the host and the path prefix of the route.
    pub prefixes: BTreeMap<String, Vec<RouteTargetRecord>>,
    /// Routes that were open; earlier builds neither write nor read them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub open: Vec<OpenRouteRecord>,
}

impl RouteRecord {
    fn has_other_targets(&self, other: &Self) -> bool {
        let present = |record: &Self| -> BTreeSet<(String, String)> {
            let targets = record.prefixes.iter().flat_map(|(prefix, targets)| {
                let present = targets.iter().filter(|target| target.gone_for_ms.is_none());
                present.filter_map(|target| Some((prefix.clone(), target.service.clone()?)))
            });
            targets.collect()
        };
        let open = |record: &Self| -> BTreeSet<String> {
            let open = record.open.iter().filter(|route| route.gone_for_ms.is_none());
            open.map(|route| route.prefix.clone()).collect()
        };
        present(self) != present(other) || open(self) != open(other)
    }
}

/// Versions of services that were listed lately, and for how long this is known.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct VersionRecord {
    /// Wall-clock time of the write.
    pub written_at_wall_ms: u64,
    /// Era of the store in which it was written.
    pub store_era: u64,
    /// Time up to the write of which all versions are known, but for `unread_for_ms`.
    pub complete_for_ms: u64,
    /// Time before the write in which the writer had not read the store, so that it may miss changes; earlier builds
    /// neither write nor read it.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub unread_for_ms: u64,
    /// Versions by service.
    pub services: BTreeMap<String, Vec<ServiceVersion>>,
    /// Targets of routes; `None` if the writer does not know them or is of an earlier build.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub routes: Option<RouteRecord>,
}

fn is_zero(value: &u64) -> bool {
    *value == 0
}

impl VersionRecord {
    /// Returns whether instances that start learn from this record that a version of the service was not known at
    /// `wall_ms`.
    pub fn has_unknown_version(&self, service: &str, store_era: u64, wall_ms: u64) -> bool {
        let age_ms = wall_ms.abs_diff(self.written_at_wall_ms);
        let mut versions = self.services.get(service).into_iter().flatten();
        self.store_era == store_era
            && versions.any(|seen| {
                let gone_for_ms = seen.gone_for_ms.unwrap_or_default();
                seen.version.is_none() && age_ms.saturating_add(gone_for_ms) <= UNKNOWN_REFRESH_MS
            })
    }

    /// Returns whether `newer` has to be written in the place of this record.
    pub fn is_outdated_by(&self, newer: &Self) -> bool {
        let age_ms = newer.written_at_wall_ms.abs_diff(self.written_at_wall_ms);
        let listed = |record: &Self| -> Vec<(String, Option<String>)> {
            let versions = record.services.iter().flat_map(|(service, versions)| {
                let listed = versions.iter().filter(|seen| seen.gone_for_ms.is_none());
                listed.map(|seen| (service.clone(), seen.version.clone()))
            });
            versions.collect()
        };
        let has_other_routes = match (&self.routes, &newer.routes) {
            (Some(known), Some(routes)) => known.has_other_targets(routes),
            (None, Some(_)) => true,
            (_, None) => false,
        };
        age_ms >= VERSION_REFRESH_MS
            || has_other_routes
            || self.store_era != newer.store_era
            || listed(self) != listed(newer)
    }
}

/// Where streams of an instance began, while the versions of those starts were not known.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct BeginningSegment(pub Vec<(StreamBeginning, Vec<StreamKey>)>);

impl BeginningSegment {
    /// Returns where each stream began.
    pub fn beginnings(&self) -> impl Iterator<Item = (StreamKey, &StreamBeginning)> {
        self.0.iter().flat_map(|(beginning, keys)| keys.iter().map(move |key| (*key, beginning)))
    }
}

/// Origins of streams that an instance has begun.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct OriginSegment(pub Vec<(StreamOrigin, Vec<StreamKey>)>);

impl OriginSegment {
    /// Returns the origin of each stream.
    pub fn origins(&self) -> impl Iterator<Item = (StreamKey, &StreamOrigin)> {
        self.0.iter().flat_map(|(origin, keys)| keys.iter().map(move |key| (*key, origin)))
    }
}
