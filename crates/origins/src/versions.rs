//! Versions of services that have been listed lately.

use std::collections::BTreeMap;

/// Time after which a version that is no longer listed is forgotten; longer than any stream lasts.
const RETENTION_MS: u64 = 300_000;

/// When each version of each service was last listed.
#[derive(Clone, Debug, Default)]
pub struct ListedVersions {
    services: BTreeMap<String, BTreeMap<Option<String>, u64>>,
}

impl ListedVersions {
    /// Records that an upstream of this version is listed; `None` if its version is not known.
    pub fn record(&mut self, service: &str, version: Option<&str>, now_ms: u64) {
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), BTreeMap::new());
        }
        if let Some(versions) = self.services.get_mut(service) {
            versions.insert(version.map(str::to_owned), now_ms);
        }
    }

    /// Forgets versions that have not been listed for long.
    pub fn expire(&mut self, now_ms: u64) {
        for versions in self.services.values_mut() {
            versions.retain(|_, listed_at_ms| now_ms.saturating_sub(*listed_at_ms) < RETENTION_MS);
        }
        self.services.retain(|_, versions| !versions.is_empty());
    }

    /// Returns the version of a service that alone has been listed since `since_ms`; `None` if there were
    /// several, or one that is not known.
    pub fn sole_since(&self, service: &str, since_ms: u64) -> Option<&str> {
        let versions = self.services.get(service)?;
        let mut listed = versions.iter().filter(|(_, listed_at_ms)| **listed_at_ms >= since_ms);
        match (listed.next(), listed.next()) {
            (Some((version, _)), None) => version.as_deref(),
            _ => None,
        }
    }
}
