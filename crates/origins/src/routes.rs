//! Services that paths have led to lately.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use crate::versions::{CLOCK_ALLOWANCE_MS, FIRST_START_KNOWN_MS, LISTING_RETENTION_MS};
use crate::{OpenRouteRecord, RouteRecord, RouteTargetRecord};

/// Prefixes that are remembered. If there are more, nothing is known of the past.
const MAX_PREFIXES: usize = 16_384;

/// A route that is in force.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PresentRoute<'a> {
    /// The name of its prefix, see [`make_prefix`].
    pub prefix: String,
    /// The service of one of its targets.
    pub service: &'a str,
    /// Whether instances that are cut off from the store serve it, also when it has long had other targets.
    pub is_open: bool,
}

/// When each route last led to each service, and when there last was no such route. Times are relative to the start
/// of the process, so those of a record can be negative.
///
/// A route is *open* if instances that are cut off from the store serve it. They begin streams by former configurations and
/// listings for as long as they are cut off; at other routes that ends when the configuration has become stale.
#[derive(Clone, Debug, Default)]
pub struct RouteTargets {
    /// Time since which no target that a route has had is missing here; `None` if that is not known.
    complete_since_ms: Option<i64>,
    /// By host and path prefix. `None` stands for the absence of a route.
    prefixes: BTreeMap<String, BTreeMap<Option<String>, i64>>,
    /// When each route was last open, by host and path prefix.
    open: BTreeMap<String, i64>,
    /// Whether `prefixes` has been filled, so that a route that is not there is new.
    is_filled: bool,
}

impl RouteTargets {
    /// Records the routes in force at `now_ms`. A route with several targets is there once for each.
    pub fn observe<'a>(&mut self, routes: impl Iterator<Item = PresentRoute<'a>>, now_ms: u64) {
        let now_ms = now_ms as i64;
        let mut present = BTreeSet::new();
        for PresentRoute { prefix, service, is_open } in routes {
            if is_open {
                self.open.insert(prefix.clone(), now_ms);
            }
            let is_new = !self.prefixes.contains_key(&prefix);
            let targets = self.prefixes.entry(prefix.clone()).or_default();
            // Until now there was none.
            if is_new && self.is_filled {
                targets.insert(None, now_ms);
            }
            targets.insert(Some(service.to_owned()), now_ms);
            present.insert(prefix);
        }
        for (prefix, targets) in &mut self.prefixes {
            if !present.contains(prefix) {
                targets.insert(None, now_ms);
            }
        }
        self.is_filled = true;
        self.complete_since_ms.get_or_insert(now_ms);
        if self.prefixes.len() > MAX_PREFIXES {
            *self = Self::default();
        }
    }

    /// Forgets targets that routes have not had for long.
    pub fn expire(&mut self, now_ms: u64) {
        for targets in self.prefixes.values_mut() {
            targets.retain(|_, at_ms| now_ms as i64 - *at_ms <= LISTING_RETENTION_MS);
        }
        self.prefixes.retain(|_, targets| targets.keys().any(Option::is_some));
        self.open.retain(|_, at_ms| now_ms as i64 - *at_ms <= LISTING_RETENTION_MS);
    }

    /// Returns the service that alone has received the requests for a path since `since_ms`; `None` if there were
    /// several, or if the routes are not known for as long.
    pub fn sole_since(&self, host: &str, path: &str, since_ms: i64) -> Option<&str> {
        if !self.is_complete_since(since_ms) {
            return None;
        }
        let name = make_prefix(host, path);
        let mut services = BTreeSet::new();
        for (_, targets) in self.applied_since(&name, since_ms) {
            let lately = targets.iter().filter(|(_, at_ms)| **at_ms >= since_ms);
            services.extend(lately.filter_map(|(service, _)| service.as_deref()));
        }
        let service = services.pop_first()?;
        services.is_empty().then_some(service)
    }

    /// Returns whether an open route has led from a path since `since_ms`.
    pub fn is_open_since(&self, host: &str, path: &str, since_ms: i64) -> bool {
        self.has_open(&make_prefix(host, path), since_ms)
    }

    /// Returns the services to which open routes have led since `since_ms`, and those with which they share paths.
    pub fn open_since(&self, since_ms: i64) -> BTreeSet<&str> {
        let mut services = BTreeSet::new();
        for prefix in self.prefixes.keys().filter(|prefix| self.has_open(prefix, since_ms)) {
            for (_, targets) in self.applied_since(prefix, since_ms) {
                let lately = targets.iter().filter(|(_, at_ms)| **at_ms >= since_ms);
                services.extend(lately.filter_map(|(service, _)| service.as_deref()));
            }
        }
        services
    }

    fn has_open(&self, name: &str, since_ms: i64) -> bool {
        let is_open =
            |prefix: &String| self.open.get(prefix).is_some_and(|at_ms| *at_ms >= since_ms);
        self.applied_since(name, since_ms).any(|(prefix, _)| is_open(prefix))
    }

    /// Returns the prefixes that have applied to a path since `since_ms`, by its name, with the targets of their routes.
    /// Shorter prefixes have applied only while there was no route with a longer one.
    fn applied_since<'a, 'b>(
        &'a self,
        name: &'b str,
        since_ms: i64,
    ) -> impl Iterator<Item = (&'a String, &'a BTreeMap<Option<String>, i64>)> + use<'a, 'b> {
        let range = (Bound::Unbounded, Bound::Included(name));
        let longest_first = self.prefixes.range::<str, _>(range).rev();
        let mut matching = longest_first.filter(move |(prefix, _)| name.starts_with(*prefix));
        let mut is_last = false;
        std::iter::from_fn(move || {
            if is_last {
                return None;
            }
            let (prefix, targets) = matching.next()?;
            let absent_at_ms = targets.get(&None);
            is_last = absent_at_ms.is_none_or(|at_ms| *at_ms < since_ms);
            Some((prefix, targets))
        })
    }

    /// Returns the services that share paths with others since `since_ms`, so that a path does not tell which of them
    /// has begun a stream.
    pub fn shared_since(&self, since_ms: i64) -> BTreeSet<&str> {
        let mut services = BTreeSet::new();
        for (prefix, targets) in &self.prefixes {
            let lately = targets.iter().filter(|(_, at_ms)| **at_ms >= since_ms);
            let lately: Vec<Option<&str>> = lately.map(|(service, _)| service.as_deref()).collect();
            if lately.len() < 2 {
                continue;
            }
            services.extend(lately.iter().flatten());
            if !lately.contains(&None) {
                continue;
            }
            // Shorter prefixes have received its paths, too.
            let shorter = self.prefixes.range(..prefix.clone());
            let shorter = shorter.filter(|(name, _)| prefix.starts_with(*name));
            let targets = shorter.flat_map(|(_, targets)| targets);
            let targets = targets.filter(|(_, at_ms)| **at_ms >= since_ms);
            services.extend(targets.filter_map(|(service, _)| service.as_deref()));
        }
        services
    }

    /// Records that no instance has begun streams before `now_ms`, so that nothing is missing here.
    pub fn record_first_start(&mut self, now_ms: u64) {
        self.extend_to(now_ms as i64 - FIRST_START_KNOWN_MS);
    }

    /// Records that routes may have had targets until `now_ms` that are missing here.
    pub fn record_gap(&mut self, now_ms: u64) {
        if let Some(complete_since_ms) = &mut self.complete_since_ms {
            *complete_since_ms = now_ms as i64;
        }
    }

    /// Returns whether no target that a route has had since `since_ms` is missing here.
    pub fn is_complete_since(&self, since_ms: i64) -> bool {
        self.complete_since_ms.is_some_and(|complete_since_ms| since_ms >= complete_since_ms)
    }

    fn extend_to(&mut self, since_ms: i64) {
        let known_ms = self.complete_since_ms.get_or_insert(since_ms);
        *known_ms = (*known_ms).min(since_ms);
    }

    /// Returns the record for instances that start; `None` if no routes are known. Targets that routes had at `now_ms`
    /// are taken to be theirs still.
    pub fn make_record(&self, now_ms: u64) -> Option<RouteRecord> {
        if !self.is_filled {
            return None;
        }
        let now_ms = now_ms as i64;
        let elapsed_ms = |at_ms: i64| now_ms.saturating_sub(at_ms).max(0) as u64;
        let make_target = |(service, at_ms): (&Option<String>, &i64)| RouteTargetRecord {
            service: service.clone(),
            gone_for_ms: (*at_ms < now_ms).then(|| elapsed_ms(*at_ms)),
        };
        let prefixes = self.prefixes.iter();
        let prefixes = prefixes
            .map(|(prefix, targets)| (prefix.clone(), targets.iter().map(make_target).collect()));
        let open = self.open.iter().map(|(prefix, at_ms)| OpenRouteRecord {
            prefix: prefix.clone(),
            gone_for_ms: (*at_ms < now_ms).then(|| elapsed_ms(*at_ms)),
        });
        Some(RouteRecord {
            complete_for_ms: elapsed_ms(self.complete_since_ms?),
            prefixes: prefixes.collect(),
            open: open.collect(),
        })
    }

    /// Merges the record that is found at the start of the process, or after a gap, once. `age_ms` is its age by the
    /// clocks of the two instances.
    pub fn merge(&mut self, record: &RouteRecord, age_ms: i64, now_ms: u64) {
        let now_ms = now_ms as i64;
        let at_ms = |ago_ms: u64| {
            let ago_ms = i64::try_from(ago_ms).unwrap_or(i64::MAX / 4);
            (now_ms - age_ms.max(0) - ago_ms + CLOCK_ALLOWANCE_MS).min(now_ms)
        };
        // A route that is known to one side alone has come or gone since the write.
        for (prefix, targets) in &mut self.prefixes {
            if !record.prefixes.contains_key(prefix) {
                targets.insert(None, now_ms);
            }
        }
        for (prefix, recorded) in &record.prefixes {
            let known = self.prefixes.entry(prefix.clone()).or_default();
            if self.is_filled && known.is_empty() {
                known.insert(None, now_ms);
            }
            for target in recorded {
                // One that the route had may have gone since.
                let had_at_ms = target.gone_for_ms.map_or(now_ms, at_ms);
                let latest = known.entry(target.service.clone()).or_insert(had_at_ms);
                *latest = (*latest).max(had_at_ms);
            }
        }
        for route in &record.open {
            let open_at_ms = route.gone_for_ms.map_or(now_ms, at_ms);
            let latest = self.open.entry(route.prefix.clone()).or_insert(open_at_ms);
            *latest = (*latest).max(open_at_ms);
        }
        self.is_filled = true;
        self.extend_to(at_ms(record.complete_for_ms));
    }
}

/// Returns the name of the path prefix of a host.
pub fn make_prefix(host: &str, path_prefix: &str) -> String {
    let host = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
    format!("{host}{path_prefix}")
}
