//! Load, health and cache state of the upstreams of one service.

use std::net::SocketAddr;

use hickorycourse_settings::UpstreamSettings;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::load_estimate::{LoadEstimate, LoadReport};
use crate::prefix::{PrefixBlocks, PrefixIndex};
use crate::router::{Candidate, RouteRequest, Router};

/// Result of an attempt, as it counts for the upstream's health.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// The response was complete.
    Answered,
    /// The attempt was refused, aborted or timed out, or its response was invalid.
    Failed,
    /// The caller disconnected; not counted for or against the upstream.
    Cancelled,
}

/// Status of an upstream, as shown to operators.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct UpstreamStatus {
    /// Name of the upstream.
    pub instance: String,
    /// Availability zone of the upstream.
    pub availability_zone: String,
    /// Address that the upstream listens on.
    pub address: SocketAddr,
    /// This instance's calls in flight.
    pub own_in_flight: u64,
    /// Estimated calls in flight from all instances.
    pub in_flight: u64,
    /// Maximum number of this instance's calls in flight.
    pub own_limit: u64,
    /// Whether the upstream accepts no calls: it is leaving or absent from the settings.
    pub is_leaving: bool,
    /// Whether the upstream is currently ejected after failures.
    pub is_ejected: bool,
}

#[derive(Debug)]
struct Upstream {
    settings: UpstreamSettings,
    name_hash: u64,
    load: LoadEstimate,
    prefixes: PrefixIndex,
    is_leaving: bool,
    /// Absent from the settings; the element stays because indexes are stable.
    is_removed: bool,
    consecutive_failures: u32,
    ejected_until_ms: u64,
    /// Incremented when a connection stops responding; connections of earlier generations are not
    /// reused.
    connection_generation: u64,
}

/// One instance's view of the upstreams of one service.
#[derive(Debug)]
pub struct UpstreamTable {
    own_zone: String,
    upstreams: Vec<Upstream>,
    /// This instance's part of each upstream's concurrency, in thousandths.
    share_permille: u64,
}

/// Consecutive failures after which an upstream is ejected.
const CONSECUTIVE_FAILURES_TO_EJECT: u32 = 3;
/// Duration of the first ejection; doubled for each further failure.
const INITIAL_EJECTION_MS: u64 = 1_000;
const MAX_EJECTION_MS: u64 = 30_000;
/// Maximum part of upstreams ejected at the same time; beyond it the fault is assumed to be on this
/// instance's side.
const MAX_EJECTED_PERCENT: usize = 50;
/// Capacity of each upstream's prefix index.
const MAX_PREFIX_BLOCKS: usize = 16_384;
const PERMILLE: u64 = 1_000;

impl UpstreamTable {
    /// Creates an empty table for an instance in the availability zone `own_zone`.
    pub fn new(own_zone: &str) -> Self {
        Self { own_zone: own_zone.to_owned(), upstreams: Vec::new(), share_permille: PERMILLE }
    }

    /// Applies a new list of upstreams and keeps the state of those with an unchanged address.
    /// Indexes are stable: upstreams missing from the list stay in the table and accept no calls, so
    /// that calls in flight can finish.
    pub fn set_upstreams(&mut self, list: &[UpstreamSettings]) {
        for upstream in &mut self.upstreams {
            let listed =
                list.iter().find(|settings| upstream.settings.instance == settings.instance);
            match listed {
                Some(settings) if upstream.settings.address == settings.address => {
                    upstream.settings = settings.clone();
                    upstream.is_removed = false;
                }
                Some(settings) => *upstream = Upstream::new(settings),
                None => upstream.is_removed = true,
            }
        }
        for settings in list {
            let known = self.upstreams.iter().any(|u| u.settings.instance == settings.instance);
            if !known {
                self.upstreams.push(Upstream::new(settings));
            }
        }
    }

    /// Updates which upstreams are leaving; returns the names of those that were not leaving before.
    pub fn set_leaving(&mut self, is_leaving: impl Fn(&str) -> bool) -> Vec<String> {
        let mut started = Vec::new();
        for upstream in &mut self.upstreams {
            let leaving = is_leaving(&upstream.settings.instance);
            if leaving && !upstream.is_leaving {
                started.push(upstream.settings.instance.clone());
            }
            upstream.is_leaving = leaving;
        }
        started
    }

    /// Sets this instance's part of each upstream's concurrency.
    pub fn set_share_permille(&mut self, share_permille: u64) {
        self.share_permille = share_permille.clamp(1, PERMILLE);
    }

    /// Concurrency slots of this instance over all usable upstreams.
    pub fn count_slots(&self, now_ms: u64) -> u64 {
        self.list_usable(now_ms).map(|upstream| upstream.own_limit(self.share_permille)).sum()
    }

    /// Free slots of this instance over all usable upstreams.
    pub fn count_free_slots(&self, now_ms: u64) -> u64 {
        self.list_usable(now_ms).map(|upstream| upstream.free_slots(self.share_permille)).sum()
    }

    /// This instance's calls in flight at all upstreams.
    pub fn count_own_in_flight(&self) -> u64 {
        self.upstreams.iter().map(|upstream| upstream.load.own_in_flight()).sum()
    }

    /// Upstreams that accept calls and are not ejected, with or without free slots.
    pub fn count_usable(&self, now_ms: u64) -> usize {
        self.list_usable(now_ms).count()
    }

    fn list_usable(&self, now_ms: u64) -> impl Iterator<Item = &Upstream> {
        let ejections_apply = self.ejections_apply(now_ms);
        self.upstreams.iter().filter(move |upstream| upstream.is_usable(now_ms, ejections_apply))
    }

    /// Whether ejections are respected. They are ignored while they exceed
    /// `MAX_EJECTED_PERCENT`, for instance after healthy upstreams have left: a possibly unhealthy
    /// upstream is better than none.
    fn ejections_apply(&self, now_ms: u64) -> bool {
        let accepting = self.upstreams.iter().filter(|upstream| upstream.accepts_calls()).count();
        self.count_ejected(now_ms) * 100 <= accepting * MAX_EJECTED_PERCENT
    }

    fn count_ejected(&self, now_ms: u64) -> usize {
        let ejected = |u: &&Upstream| u.accepts_calls() && u.ejected_until_ms > now_ms;
        self.upstreams.iter().filter(ejected).count()
    }

    /// Selects an upstream with a free slot, acquires the slot and returns the upstream's index;
    /// `None` if no slot is free. Excluded upstreams are used only if no other has a free slot.
    pub fn acquire_slot(
        &mut self,
        router: &mut dyn Router,
        prefix: &PrefixBlocks,
        excluded: &[usize],
        now_ms: u64,
    ) -> Option<usize> {
        let mut candidates = self.list_candidates(prefix, excluded, now_ms);
        if candidates.is_empty() && !excluded.is_empty() {
            // Retrying an excluded upstream is better than failing the call.
            candidates = self.list_candidates(prefix, &[], now_ms);
        }
        let chosen = router.choose(&RouteRequest { prefix }, &candidates)?;
        let upstream = &mut self.upstreams[chosen];
        upstream.load.start_call(now_ms);
        upstream.prefixes.add(prefix.hashes());
        Some(chosen)
    }

    /// Releases a slot and updates the upstream's health by the outcome of the attempt.
    pub fn release_slot(&mut self, index: usize, outcome: AttemptOutcome, now_ms: u64) {
        let can_eject = self.can_eject(now_ms);
        let upstream = &mut self.upstreams[index];
        upstream.load.end_call(now_ms);
        match outcome {
            AttemptOutcome::Answered => upstream.consecutive_failures = 0,
            AttemptOutcome::Failed => upstream.record_failure(now_ms, can_eject),
            AttemptOutcome::Cancelled => {}
        }
    }

    /// Records a load report; ignored for unknown upstreams.
    pub fn record_load_report(&mut self, instance: &str, report: LoadReport, now_ms: u64) {
        if let Some(upstream) = self.find(instance) {
            upstream.load.apply_report(report, now_ms);
        }
    }

    /// Applies an upstream's cache events. A gap in the events clears its prefix index first,
    /// because evictions may have been missed.
    pub fn record_cache_events(
        &mut self,
        instance: &str,
        stored: &[u64],
        removed: &[u64],
        gap: bool,
    ) {
        let Some(upstream) = self.find(instance) else { return };
        if gap {
            upstream.prefixes.clear();
        }
        upstream.prefixes.add(stored);
        upstream.prefixes.remove(removed);
    }

    /// Invalidates all connections to an upstream after one of them stopped responding.
    pub fn invalidate_connections(&mut self, index: usize) {
        self.upstreams[index].connection_generation += 1;
    }

    /// The current generation of connections; older ones must not be reused.
    pub fn connection_generation(&self, index: usize) -> u64 {
        self.upstreams[index].connection_generation
    }

    /// Settings of the upstream at `index`.
    pub fn settings(&self, index: usize) -> &UpstreamSettings {
        &self.upstreams[index].settings
    }

    /// Status of all upstreams, for operators.
    pub fn list_status(&self, now_ms: u64) -> Vec<UpstreamStatus> {
        let share_permille = self.share_permille;
        let ejections_apply = self.ejections_apply(now_ms);
        let status = |upstream: &Upstream| UpstreamStatus {
            instance: upstream.settings.instance.clone(),
            availability_zone: upstream.settings.availability_zone.clone(),
            address: upstream.settings.address,
            own_in_flight: upstream.load.own_in_flight(),
            in_flight: upstream.load.in_flight(),
            own_limit: upstream.own_limit(share_permille),
            is_leaving: !upstream.accepts_calls(),
            is_ejected: ejections_apply && upstream.ejected_until_ms > now_ms,
        };
        self.upstreams.iter().map(status).collect()
    }

    fn find(&mut self, instance: &str) -> Option<&mut Upstream> {
        self.upstreams.iter_mut().find(|upstream| upstream.settings.instance == instance)
    }

    /// Whether another ejection stays within `MAX_EJECTED_PERCENT`.
    fn can_eject(&self, now_ms: u64) -> bool {
        let accepting = self.upstreams.iter().filter(|upstream| upstream.accepts_calls()).count();
        (self.count_ejected(now_ms) + 1) * 100 <= accepting * MAX_EJECTED_PERCENT
    }

    fn list_candidates(
        &self,
        prefix: &PrefixBlocks,
        excluded: &[usize],
        now_ms: u64,
    ) -> Vec<Candidate> {
        let ejections_apply = self.ejections_apply(now_ms);
        let mut candidates = Vec::new();
        for (index, upstream) in self.upstreams.iter().enumerate() {
            let is_eligible =
                upstream.is_usable(now_ms, ejections_apply) && !excluded.contains(&index);
            if !is_eligible || upstream.free_slots(self.share_permille) == 0 {
                continue;
            }
            candidates.push(Candidate {
                index,
                name_hash: upstream.name_hash,
                is_same_zone: upstream.settings.availability_zone == self.own_zone,
                in_flight: upstream.load.in_flight(),
                concurrency: u64::from(upstream.settings.concurrency),
                cached_blocks: upstream.prefixes.count_leading(prefix),
            });
        }
        candidates
    }
}

impl Upstream {
    fn new(settings: &UpstreamSettings) -> Self {
        Self {
            settings: settings.clone(),
            name_hash: xxh3_64(settings.instance.as_bytes()),
            load: LoadEstimate::default(),
            prefixes: PrefixIndex::new(MAX_PREFIX_BLOCKS),
            is_leaving: false,
            is_removed: false,
            consecutive_failures: 0,
            ejected_until_ms: 0,
            connection_generation: 0,
        }
    }

    fn accepts_calls(&self) -> bool {
        !self.is_leaving && !self.is_removed
    }

    fn is_usable(&self, now_ms: u64, ejections_apply: bool) -> bool {
        self.accepts_calls() && (!ejections_apply || self.ejected_until_ms <= now_ms)
    }

    /// This instance's part of the concurrency; at least one slot, so that a small share doesn't round
    /// down to none.
    fn own_limit(&self, share_permille: u64) -> u64 {
        (u64::from(self.settings.concurrency) * share_permille / PERMILLE).max(1)
    }

    fn free_slots(&self, share_permille: u64) -> u64 {
        self.own_limit(share_permille).saturating_sub(self.load.own_in_flight())
    }

    fn record_failure(&mut self, now_ms: u64, can_eject: bool) {
        self.consecutive_failures += 1;
        if self.consecutive_failures < CONSECUTIVE_FAILURES_TO_EJECT || !can_eject {
            return;
        }
        let doublings = (self.consecutive_failures - CONSECUTIVE_FAILURES_TO_EJECT).min(8);
        let ejection_ms = (INITIAL_EJECTION_MS << doublings).min(MAX_EJECTION_MS);
        self.ejected_until_ms = now_ms + ejection_ms;
    }
}
