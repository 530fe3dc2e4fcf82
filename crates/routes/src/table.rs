//! Lookup of a request's route and organisation.

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::{Organisation, Route, RouteDocument};

/// Result of the access check for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Access<'a> {
    /// Access is granted without a key.
    Open,
    /// Access is granted by a key of this organisation.
    Organisation(&'a Organisation),
    /// Access is denied: a key is required and it is missing or unknown.
    Denied,
}

/// A route document with the indices for request lookups.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    document: RouteDocument,
    /// Indices into the document's routes by lower-case host, longest path prefix first.
    by_host: HashMap<String, Vec<usize>>,
    /// Indices into the document's organisations by API key.
    organisation_by_key: HashMap<String, usize>,
}

impl RouteTable {
    /// Builds the indices of a document.
    pub fn new(document: RouteDocument) -> Self {
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in document.routes.iter().enumerate() {
            by_host.entry(route.host.to_ascii_lowercase()).or_default().push(index);
        }
        for indices in by_host.values_mut() {
            indices
                .sort_by_key(|index| std::cmp::Reverse(document.routes[*index].path_prefix.len()));
        }
        let mut organisation_by_key = HashMap::new();
        for (index, organisation) in document.organisations.iter().flatten().enumerate() {
            for key in &organisation.keys {
                organisation_by_key.insert(key.clone(), index);
            }
        }
        Self { document, by_host, organisation_by_key }
    }

    /// Returns the indexed document.
    pub fn document(&self) -> &RouteDocument {
        &self.document
    }

    /// Returns the route of `host` with the longest prefix of `path`. The port and the case of the
    /// host are ignored.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        let indices = self.by_host.get(&host)?;
        let routes = indices.iter().map(|index| &self.document.routes[*index]);
        routes.into_iter().find(|route| path.starts_with(&route.path_prefix))
    }

    /// Checks whether a request with this key may use the route, and for which organisation.
    pub fn check_access(&self, route: &Route, key: Option<&str>) -> Access<'_> {
        let Some(organisations) = &self.document.organisations else { return Access::Open };
        let found = key.and_then(|key| self.organisation_by_key.get(key));
        match found {
            Some(index) => Access::Organisation(&organisations[*index]),
            None if route.is_public => Access::Open,
            None => Access::Denied,
        }
    }

    /// Chooses the service of a request by the weights of the route's targets. The choice is a hash
    /// of the request's id, so the same request always gets the same service.
    pub fn choose_service<'a>(route: &'a Route, request_id: &str) -> Option<&'a str> {
        let total: u64 = route.targets.iter().map(|target| u64::from(target.weight)).sum();
        if total == 0 {
            return route.targets.first().map(|target| target.service.as_str());
        }
        let mut point = xxh3_64(request_id.as_bytes()) % total;
        for target in &route.targets {
            let weight = u64::from(target.weight);
            if point < weight {
                return Some(&target.service);
            }
            point -= weight;
        }
        None
    }
}
