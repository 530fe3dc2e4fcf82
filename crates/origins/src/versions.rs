//! Versions of services that have been listed lately.

use std::collections::BTreeMap;

use crate::{ServiceVersion, VersionRecord};

/// Time for which a version that is no longer listed, or a target that a route no longer has, is remembered; longer than
/// any stream lasts. What is asked of an earlier time may be missing.
pub const LISTING_RETENTION_MS: i64 = 300_000;
/// Time before the first start of a fleet that is known. Each merge takes the allowance for clocks from it, so that it is
/// longer than the retention.
pub(crate) const FIRST_START_KNOWN_MS: i64 = 86_400_000;
/// Age up to which a record is merged. Whoever lived longer than its interval of writing would have written a
/// newer one.
const MAX_RECORD_AGE_MS: u64 = 60_000;
/// Allowance for the clocks of two instances, by which what a record says is taken to be more recent.
pub(crate) const CLOCK_ALLOWANCE_MS: i64 = 10_000;

/// When each version of each service was last listed. Times are relative to the start of the process, so those
/// of a record can be negative.
///
/// A store without a record says nothing of the past: it may have come back from a copy of before the first start of the
/// fleet. Only one that has never come back from a copy shows that this is the first start.
#[derive(Clone, Debug, Default)]
pub struct ListedVersions {
    /// Time since which nothing that was listed is missing here.
    complete_since_ms: i64,
    /// End of the latest gap; `None` if there was none.
    gap_end_ms: Option<i64>,
    services: BTreeMap<String, BTreeMap<Option<String>, i64>>,
    has_merged: bool,
}

impl ListedVersions {
    /// Records that an upstream of this version is listed; `None` if its version is not known.
    pub fn record(&mut self, service: &str, version: Option<&str>, now_ms: u64) {
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), BTreeMap::new());
        }
        if let Some(versions) = self.services.get_mut(service) {
            versions.insert(version.map(str::to_owned), now_ms as i64);
        }
    }

    /// Forgets versions that have not been listed for long.
    pub fn expire(&mut self, now_ms: u64) {
        for versions in self.services.values_mut() {
            versions
                .retain(|_, listed_at_ms| now_ms as i64 - *listed_at_ms <= LISTING_RETENTION_MS);
        }
        self.services.retain(|_, versions| !versions.is_empty());
    }

    /// Returns the version of a service that alone has been listed since `since_ms`; `None` if there were
    /// several, or one that is not known, or if what was listed is not known for as long.
    pub fn sole_since(&self, service: &str, since_ms: i64) -> Option<&str> {
        if !self.is_complete_since(since_ms) {
            return None;
        }
        let versions = self.services.get(service)?;
        let mut listed = versions.iter().filter(|(_, listed_at_ms)| **listed_at_ms >= since_ms);
        match (listed.next(), listed.next()) {
            (Some((version, _)), None) => version.as_deref(),
            _ => None,
        }
    }

    /// Returns whether several versions of a service, or one that is not known, have been listed since
    /// `since_ms`.
    pub fn is_mixed_since(&self, service: &str, since_ms: i64) -> bool {
        let versions = self.services.get(service).into_iter().flatten();
        let mut listed = versions.filter(|(_, listed_at_ms)| **listed_at_ms >= since_ms);
        listed.next().is_some_and(|(version, _)| version.is_none() || listed.next().is_some())
    }

    /// Returns the services of which several versions, or one that is not known, have been listed since `since_ms`.
    pub fn mixed_since(&self, since_ms: i64) -> Vec<&str> {
        let services = self.services.keys().map(String::as_str);
        services.filter(|service| self.is_mixed_since(service, since_ms)).collect()
    }

    /// Records that no instance has begun streams before `now_ms`, so that nothing is missing here.
    pub fn record_first_start(&mut self, now_ms: u64) {
        self.complete_since_ms = self.complete_since_ms.min(now_ms as i64 - FIRST_START_KNOWN_MS);
    }

    /// Records the first listing: what was listed before is not known, unless a record tells it.
    pub fn record_first_listing(&mut self, now_ms: u64) {
        self.complete_since_ms = self.complete_since_ms.max(now_ms as i64);
    }

    /// Records that versions may have been listed and have gone until `now_ms` that are missing here. A record whose writer
    /// knew what has been listed until then is merged again.
    pub fn record_gap(&mut self, now_ms: u64) {
        self.complete_since_ms = now_ms as i64;
        self.gap_end_ms = Some(now_ms as i64);
        self.has_merged = false;
    }

    /// Returns whether nothing that has been listed since `since_ms` is missing here.
    pub fn is_complete_since(&self, since_ms: i64) -> bool {
        since_ms >= self.complete_since_ms
    }

    /// Returns the record for instances that start. Those listed at `now_ms` are taken to be listed still.
    pub fn make_record(&self, wall_ms: u64, store_era: u64, now_ms: u64) -> VersionRecord {
        let now_ms = now_ms as i64;
        let elapsed_ms = |at_ms: i64| now_ms.saturating_sub(at_ms).max(0) as u64;
        let make_version = |(version, listed_at_ms): (&Option<String>, &i64)| ServiceVersion {
            version: version.clone(),
            gone_for_ms: (*listed_at_ms < now_ms).then(|| elapsed_ms(*listed_at_ms)),
        };
        let services = self.services.iter().map(|(service, versions)| {
            (service.clone(), versions.iter().map(make_version).collect())
        });
        VersionRecord {
            written_at_wall_ms: wall_ms,
            store_era,
            complete_for_ms: elapsed_ms(self.complete_since_ms),
            unread_for_ms: 0,
            services: services.collect(),
            routes: None,
        }
    }

    /// Merges the first record after the start of the process, or after a gap, that tells more of the past than is known
    /// here. Returns whether it was used: not if it is too old, or written before the store came back from a copy.
    pub fn merge(
        &mut self,
        record: &VersionRecord,
        wall_ms: u64,
        store_era: u64,
        now_ms: u64,
    ) -> bool {
        let age_ms = wall_ms as i64 - record.written_at_wall_ms as i64;
        let unread_for_ms = i64::try_from(record.unread_for_ms).unwrap_or(i64::MAX / 4);
        let known_ago_ms = age_ms + unread_for_ms;
        let now_ms = now_ms as i64;
        let is_valid = known_ago_ms.unsigned_abs() <= MAX_RECORD_AGE_MS
            && record.store_era == store_era
            && self.gap_end_ms.is_none_or(|gap_end_ms| now_ms - known_ago_ms >= gap_end_ms);
        if self.has_merged || !is_valid {
            return false;
        }
        let at_ms = |ago_ms: u64| {
            let ago_ms = i64::try_from(ago_ms).unwrap_or(i64::MAX / 4);
            (now_ms - age_ms.max(0) - ago_ms + CLOCK_ALLOWANCE_MS).min(now_ms)
        };
        let complete_since_ms = at_ms(record.complete_for_ms);
        if complete_since_ms >= self.complete_since_ms {
            return false;
        }
        self.has_merged = true;
        self.complete_since_ms = complete_since_ms;
        for (service, versions) in &record.services {
            let known = self.services.entry(service.clone()).or_default();
            for seen in versions {
                // One that was listed may have left since.
                let listed_at_ms = seen.gone_for_ms.map_or(now_ms, at_ms);
                let latest = known.entry(seen.version.clone()).or_insert(listed_at_ms);
                *latest = (*latest).max(listed_at_ms);
            }
        }
        true
    }

    /// Merges the versions that are not known to the writer of a record, whenever it was written: another instance may
    /// have sent streams to a start that is not listed yet.
    pub fn merge_unknown(
        &mut self,
        record: &VersionRecord,
        wall_ms: u64,
        store_era: u64,
        now_ms: u64,
    ) {
        let age_ms = wall_ms as i64 - record.written_at_wall_ms as i64;
        if age_ms.unsigned_abs() > MAX_RECORD_AGE_MS || record.store_era != store_era {
            return;
        }
        let now_ms = now_ms as i64;
        for (service, versions) in &record.services {
            let Some(unknown) = versions.iter().find(|seen| seen.version.is_none()) else {
                continue;
            };
            let listed_at_ms = unknown.gone_for_ms.map_or(now_ms, |gone_for_ms| {
                let gone_for_ms = i64::try_from(gone_for_ms).unwrap_or(i64::MAX / 4);
                now_ms - age_ms.max(0) - gone_for_ms
            });
            let known = self.services.entry(service.clone()).or_default();
            let latest = known.entry(None).or_insert(listed_at_ms);
            // Smaller differences are those of clocks; records that repeat one another must not renew it.
            if unknown.gone_for_ms.is_none() || listed_at_ms > *latest + CLOCK_ALLOWANCE_MS {
                *latest = (*latest).max(listed_at_ms);
            }
        }
    }
}
