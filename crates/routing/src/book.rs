//! What is known of the upstreams of one service.

use std::net::SocketAddr;

use hickorycourse_settings::UpstreamSettings;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::load_estimate::{LoadEstimate, LoadReport};
use crate::prefix::{PrefixBlocks, PrefixIndex};
use crate::router::{Candidate, RouteRequest, Router};

/// How an attempt ended, as far as the upstream's health goes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// A whole answer.
    Answered,
    /// Refused, broken off, silent or nonsense.
    Failed,
    /// The caller went away; says nothing about the upstream.
    Cancelled,
}

/// What operators see of an upstream.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct UpstreamStatus {
    /// Its name.
    pub instance: String,
    /// Its availability zone.
    pub availability_zone: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Calls of this entry in flight there.
    pub own_in_flight: u64,
    /// All calls in flight there, as far as known.
    pub in_flight: u64,
    /// Calls of this entry that may be in flight there.
    pub own_limit: u64,
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// Whether failures keep it out for now.
    pub is_ejected: bool,
}

#[derive(Debug)]
struct Upstream {
    settings: UpstreamSettings,
    name_hash: u64,
    load: LoadEstimate,
    prefixes: PrefixIndex,
    is_leaving: bool,
    /// No longer in the settings; the place stays because indexes are stable.
    is_removed: bool,
    failures_in_row: u32,
    ejected_until_ms: u64,
    /// Connections made before a silent one was found are not used again.
    connection_generation: u64,
}

/// The upstreams of one service, as one instance sees them.
#[derive(Debug)]
pub struct UpstreamBook {
    own_zone: String,
    upstreams: Vec<Upstream>,
    /// This instance's part of each upstream's concurrency, in thousandths.
    share_permille: u64,
}

/// Failures in a row before an upstream is kept out.
const FAILURES_TO_EJECT: u32 = 3;
/// Time that it is kept out first; doubled for each further failure.
const EJECTION_START_MS: u64 = 1_000;
const EJECTION_MOST_MS: u64 = 30_000;
/// At most this part is kept out at once, in percent; beyond it failures are taken as our own.
const EJECTED_MOST_PERCENT: usize = 50;
/// Blocks remembered of each upstream.
const PREFIX_BLOCKS_MOST: usize = 16_384;
const PERMILLE: u64 = 1_000;

impl UpstreamBook {
    /// Creates an empty book for an instance in this availability zone.
    pub fn new(own_zone: &str) -> Self {
        Self { own_zone: own_zone.to_owned(), upstreams: Vec::new(), share_permille: PERMILLE }
    }

    /// Takes over a new list; what is known of those that stay is kept. Places in the book are
    /// stable: those that left stay in it, closed, until nothing is in flight there.
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

    /// Marks those that leave; returns the names of those that started to.
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

    /// Places that are open for this instance at all upstreams.
    pub fn count_slots(&self, now_ms: u64) -> u64 {
        self.list_usable(now_ms).map(|upstream| upstream.own_limit(self.share_permille)).sum()
    }

    /// Places that are free.
    pub fn count_free_slots(&self, now_ms: u64) -> u64 {
        self.list_usable(now_ms).map(|upstream| upstream.free_slots(self.share_permille)).sum()
    }

    /// Calls of this instance in flight at all upstreams.
    pub fn count_own_in_flight(&self) -> u64 {
        self.upstreams.iter().map(|upstream| upstream.load.own_in_flight()).sum()
    }

    /// Upstreams that may take work, full or not.
    pub fn count_usable(&self, now_ms: u64) -> usize {
        self.list_usable(now_ms).count()
    }

    fn list_usable(&self, now_ms: u64) -> impl Iterator<Item = &Upstream> {
        let holds = self.do_ejections_hold(now_ms);
        self.upstreams.iter().filter(move |upstream| upstream.is_usable(now_ms, holds))
    }

    /// Ejections are void while they would keep out more than the cap, as when the healthy ones
    /// leave: a doubtful upstream is better than none.
    fn do_ejections_hold(&self, now_ms: u64) -> bool {
        let open = self.upstreams.iter().filter(|upstream| upstream.is_open()).count();
        self.count_ejected(now_ms) * 100 <= open * EJECTED_MOST_PERCENT
    }

    fn count_ejected(&self, now_ms: u64) -> usize {
        let ejected = |u: &&Upstream| u.is_open() && u.ejected_until_ms > now_ms;
        self.upstreams.iter().filter(ejected).count()
    }

    /// Chooses an upstream with a free place that is not among the excluded, and takes the place.
    pub fn take(
        &mut self,
        router: &mut dyn Router,
        prefix: &PrefixBlocks,
        excluded: &[usize],
        now_ms: u64,
    ) -> Option<usize> {
        let mut candidates = self.list_candidates(prefix, excluded, now_ms);
        if candidates.is_empty() && !excluded.is_empty() {
            // Better the same upstream again than none.
            candidates = self.list_candidates(prefix, &[], now_ms);
        }
        let chosen = router.choose(&RouteRequest { prefix }, &candidates)?;
        let upstream = &mut self.upstreams[chosen];
        upstream.load.start(now_ms);
        upstream.prefixes.add(prefix.hashes());
        Some(chosen)
    }

    /// Gives a place back.
    pub fn finish(&mut self, index: usize, outcome: AttemptOutcome, now_ms: u64) {
        let can_eject = self.can_eject(now_ms);
        let upstream = &mut self.upstreams[index];
        upstream.load.end(now_ms);
        match outcome {
            AttemptOutcome::Answered => upstream.failures_in_row = 0,
            AttemptOutcome::Failed => upstream.add_failure(now_ms, can_eject),
            AttemptOutcome::Cancelled => {}
        }
    }

    /// Takes a load report.
    pub fn report_load(&mut self, instance: &str, report: LoadReport, now_ms: u64) {
        if let Some(upstream) = self.find(instance) {
            upstream.load.report(report, now_ms);
        }
    }

    /// Takes an upstream's events on its cache; a gap makes everything known of it doubtful.
    pub fn report_cache(&mut self, instance: &str, stored: &[u64], removed: &[u64], gap: bool) {
        let Some(upstream) = self.find(instance) else { return };
        if gap {
            upstream.prefixes.clear();
        }
        upstream.prefixes.add(stored);
        upstream.prefixes.remove(removed);
    }

    /// Gives up all connections to an upstream because one of them went silent.
    pub fn renew_connections(&mut self, index: usize) {
        self.upstreams[index].connection_generation += 1;
    }

    /// The generation of connections that may be used.
    pub fn connection_generation(&self, index: usize) -> u64 {
        self.upstreams[index].connection_generation
    }

    /// The settings of an upstream.
    pub fn settings(&self, index: usize) -> &UpstreamSettings {
        &self.upstreams[index].settings
    }

    /// What operators see.
    pub fn list_status(&self, now_ms: u64) -> Vec<UpstreamStatus> {
        let share_permille = self.share_permille;
        let holds = self.do_ejections_hold(now_ms);
        let status = |upstream: &Upstream| UpstreamStatus {
            instance: upstream.settings.instance.clone(),
            availability_zone: upstream.settings.availability_zone.clone(),
            address: upstream.settings.address,
            own_in_flight: upstream.load.own_in_flight(),
            in_flight: upstream.load.in_flight(),
            own_limit: upstream.own_limit(share_permille),
            is_leaving: !upstream.is_open(),
            is_ejected: holds && upstream.ejected_until_ms > now_ms,
        };
        self.upstreams.iter().map(status).collect()
    }

    fn find(&mut self, instance: &str) -> Option<&mut Upstream> {
        self.upstreams.iter_mut().find(|upstream| upstream.settings.instance == instance)
    }

    fn can_eject(&self, now_ms: u64) -> bool {
        let open = self.upstreams.iter().filter(|upstream| upstream.is_open()).count();
        (self.count_ejected(now_ms) + 1) * 100 <= open * EJECTED_MOST_PERCENT
    }

    fn list_candidates(
        &self,
        prefix: &PrefixBlocks,
        excluded: &[usize],
        now_ms: u64,
    ) -> Vec<Candidate> {
        let holds = self.do_ejections_hold(now_ms);
        let mut candidates = Vec::new();
        for (index, upstream) in self.upstreams.iter().enumerate() {
            let is_eligible = upstream.is_usable(now_ms, holds) && !excluded.contains(&index);
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
            prefixes: PrefixIndex::new(PREFIX_BLOCKS_MOST),
            is_leaving: false,
            is_removed: false,
            failures_in_row: 0,
            ejected_until_ms: 0,
            connection_generation: 0,
        }
    }

    fn is_open(&self) -> bool {
        !self.is_leaving && !self.is_removed
    }

    fn is_usable(&self, now_ms: u64, do_ejections_hold: bool) -> bool {
        self.is_open() && (!do_ejections_hold || self.ejected_until_ms <= now_ms)
    }

    /// At least one place, so that a small part is never nothing.
    fn own_limit(&self, share_permille: u64) -> u64 {
        (u64::from(self.settings.concurrency) * share_permille / PERMILLE).max(1)
    }

    fn free_slots(&self, share_permille: u64) -> u64 {
        self.own_limit(share_permille).saturating_sub(self.load.own_in_flight())
    }

    fn add_failure(&mut self, now_ms: u64, can_eject: bool) {
        self.failures_in_row += 1;
        if self.failures_in_row < FAILURES_TO_EJECT || !can_eject {
            return;
        }
        let doublings = (self.failures_in_row - FAILURES_TO_EJECT).min(8);
        let kept_out_ms = (EJECTION_START_MS << doublings).min(EJECTION_MOST_MS);
        self.ejected_until_ms = now_ms + kept_out_ms;
    }
}
