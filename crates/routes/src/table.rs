//! Finding the route and the organisation of a request.

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::{Organisation, Route, RouteDocument};

/// Whether a request may use its route.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Access<'a> {
    /// No key is needed.
    Open,
    /// The key belongs to this organisation.
    Organisation(&'a Organisation),
    /// The key is missing or not known.
    Denied,
}

/// A document with the indices that requests need.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    document: RouteDocument,
    /// Routes of a host, longest prefix first.
    by_host: HashMap<String, Vec<usize>>,
    organisation_by_key: HashMap<String, usize>,
}

impl RouteTable {
    /// Indexes a document.
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

    /// The document.
    pub fn document(&self) -> &RouteDocument {
        &self.document
    }

    /// Finds the route with the longest prefix among those of the host.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        let indices = self.by_host.get(&host)?;
        let routes = indices.iter().map(|index| &self.document.routes[*index]);
        routes.into_iter().find(|route| path.starts_with(&route.path_prefix))
    }

    /// Finds who sends a request with this key on this route.
    pub fn check_access(&self, route: &Route, key: Option<&str>) -> Access<'_> {
        let Some(organisations) = &self.document.organisations else { return Access::Open };
        let found = key.and_then(|key| self.organisation_by_key.get(key));
        match found {
            Some(index) => Access::Organisation(&organisations[*index]),
            None if route.is_public => Access::Open,
            None => Access::Denied,
        }
    }

    /// Chooses the service of a request by the weights of the route's targets. The same request
    /// always gets the same one.
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
