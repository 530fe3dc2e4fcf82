//! What this instance knows of the platform's store: whether it answers, its era, and who reads it.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hickorycourse_clock::timeout;
use hickorycourse_digest::rank_aggregators;
use hickorycourse_duties::WindowCounts;
use rand::seq::{IndexedRandom, SliceRandom};
use serde_json::json;

use super::Relay;
use crate::members::MemberTable;
use crate::readers::{FollowTimings, select_readers};
use crate::view_search::ViewSource;

/// Longest use of an upstream whose entry was deleted during the grace period after an outage of the
/// store, in percent of `leaving_ms`. The upstream may be leaving, so its last requests must reach it
/// within `leaving_ms`.
const LAPSED_ENTRY_GRACE_PERCENT: u64 = 60;
/// Time for which an instance reads the store after the query of a follower that it could not answer.
const QUERIED_READER_MS: u64 = 2_000;
/// Instances that are asked at once for newer changes in the store.
const MAX_VIEW_CANDIDATES: usize = 2;
/// Committed usage reports that are kept; older windows are no longer reported.
const MAX_COMMITTED_WINDOWS: usize = 6;

/// Reachability of the platform's store.
#[derive(Debug, Default)]
pub struct StoreHealth {
    /// Time of the first response after the latest outage; absent before the first outage.
    recovered_at_ms: Option<u64>,
    is_unavailable: bool,
    /// Highest era that the store or another instance has shown; `None` before the first response.
    era: Option<u64>,
    /// Time at which what this instance has read from the store was last known to be current; `None`
    /// while it doesn't read the store.
    read_at_ms: Option<u64>,
    /// Latest time at which the changes in the log were proven to be all of the store's, by it or by
    /// another instance.
    log_attested_at_ms: Option<u64>,
    /// Latest time at which the known upstreams were proven to be those that the store lists, by it or
    /// by another instance.
    view_attested_at_ms: Option<u64>,
}

impl Relay {
    /// Time until which an upstream stays in use if its entry is deleted at this moment; `None` if
    /// it is removed at once. Upstreams whose leases expired during an outage of the store renew
    /// their entries shortly after its recovery.
    pub(super) fn grace_until_ms(&self) -> Option<u64> {
        let bounds = &self.settings.bounds;
        let now_ms = self.now_ms();
        let grace_end_ms = self.store.lock().recovered_at_ms? + bounds.doubt_ms;
        let leaving_ms = bounds.leaving_ms * LAPSED_ENTRY_GRACE_PERCENT / 100;
        (grace_end_ms > now_ms).then_some(grace_end_ms.min(now_ms + leaving_ms))
    }

    /// Records a query of a follower that this instance could not answer.
    pub fn record_unanswered_query(&self, now_ms: u64) {
        self.unanswered_query_at_ms.store(now_ms.max(1), Ordering::Relaxed);
    }

    /// Returns whether this instance is one of those that read the store for its availability zone.
    /// Others may select it while they know fewer instances.
    pub fn is_reader(&self, now_ms: u64) -> bool {
        let queried_at_ms = self.unanswered_query_at_ms.load(Ordering::Relaxed);
        if queried_at_ms > 0 && now_ms.saturating_sub(queried_at_ms) < QUERIED_READER_MS {
            return true;
        }
        let members = self.members.lock();
        let own = self.settings.instance.as_str();
        self.select_readers(&members, now_ms).contains(&own)
    }

    /// Timing with which this instance follows a reader.
    pub fn follow_timings(&self) -> FollowTimings {
        let bounds = &self.settings.bounds;
        let max_staleness_ms = match bounds.is_revocation_strict {
            true => bounds.max_staleness_ms(),
            false => u64::MAX,
        };
        FollowTimings::from_bounds(bounds.change_propagation_ms(), max_staleness_ms)
    }

    /// Returns whether other instances of this availability zone follow this one.
    pub fn has_followers(&self, now_ms: u64) -> bool {
        let members = self.members.lock();
        let others = members.responsive_names(&self.settings.availability_zone, now_ms).count();
        let readers = self.select_readers(&members, now_ms);
        others + 1 > readers.len() && readers.contains(&self.settings.instance.as_str())
    }

    /// Returns the other instances that read the store for this availability zone, with their peer
    /// addresses.
    pub fn other_readers(&self, now_ms: u64) -> Vec<(String, SocketAddr)> {
        let members = self.members.lock();
        let readers = self.select_readers(&members, now_ms);
        let address = |name: &str| Some((name.to_owned(), members.address(name)?));
        readers.into_iter().filter_map(address).collect()
    }

    fn select_readers<'a>(&'a self, members: &'a MemberTable, now_ms: u64) -> Vec<&'a str> {
        let own = std::iter::once(self.settings.instance.as_str());
        select_readers(
            own.chain(members.responsive_names(&self.settings.availability_zone, now_ms)),
        )
    }

    /// Returns the time at which what this instance has read from the store was last known to be
    /// current; `None` while it doesn't read the store.
    pub fn view_current_at_ms(&self) -> Option<u64> {
        self.store.lock().read_at_ms
    }

    /// Records that what this instance has read from the store was current at `at_ms`; `None` when it
    /// stops reading.
    pub fn set_view_current_at(&self, at_ms: Option<u64>) {
        let mut store = self.store.lock();
        store.read_at_ms = at_ms.map(|at_ms| at_ms.max(store.read_at_ms.unwrap_or(0)));
    }

    /// Records that all changes in the store up to `at_ms` are known, as it or another instance proves.
    pub fn attest_log(&self, at_ms: u64) {
        let mut store = self.store.lock();
        store.log_attested_at_ms = store.log_attested_at_ms.max(Some(at_ms));
        store.read_at_ms = store.read_at_ms.map(|read_at_ms| read_at_ms.max(at_ms));
        drop(store);
        self.log_attested.notify_waiters();
        if !self.is_listing_needed.load(Ordering::Relaxed) {
            self.attest_view(at_ms);
        }
        self.active_document.write().attest_by_store(at_ms);
    }

    /// Returns the time up to which all changes in the store are known; `None` before the first listing.
    pub fn log_attested_at_ms(&self) -> Option<u64> {
        self.store.lock().log_attested_at_ms
    }

    /// Waits until all changes in the store up to `since_ms` are known; returns false if they are not at `give_up_at_ms`.
    /// If this instance reads the store, it reads at once.
    pub async fn wait_for_log(&self, since_ms: u64, give_up_at_ms: u64) -> bool {
        let is_known = || self.log_attested_at_ms().is_some_and(|at_ms| at_ms >= since_ms);
        loop {
            let attested = self.log_attested.notified();
            if is_known() {
                return true;
            }
            self.reading_requested.notify_one();
            let left_ms = give_up_at_ms.saturating_sub(self.now_ms());
            if timeout(Duration::from_millis(left_ms), attested).await.is_err() {
                return is_known();
            }
        }
    }

    /// Returns the time until other instances are asked for changes, unless newer ones become known.
    pub fn until_view_late_ms(&self, now_ms: u64) -> u64 {
        let attested_at_ms = self.log_attested_at_ms().unwrap_or(now_ms);
        (attested_at_ms + self.follow_timings().late_age_ms).saturating_sub(now_ms)
    }

    /// Returns instances that may know newer changes: readers of other availability zones, or else
    /// instances of the own one.
    pub fn view_candidates(&self, now_ms: u64) -> Vec<ViewSource> {
        let own_zone = self.settings.availability_zone.as_str();
        let random = &mut rand::rng();
        let members = self.members.lock();
        let mut zones: Vec<String> = members.availability_zones(now_ms).into_iter().collect();
        zones.retain(|zone| zone != own_zone);
        zones.shuffle(random);
        let mut names: Vec<&str> = Vec::new();
        for zone in zones.iter().take(MAX_VIEW_CANDIDATES) {
            names.extend(select_readers(members.responsive_names(zone, now_ms)).choose(random));
        }
        let own = self.settings.instance.as_str();
        let readers = self.select_readers(&members, now_ms);
        if readers.contains(&own) {
            names.extend(readers.into_iter().filter(|name| *name != own));
        }
        let readers_count = names.len();
        let mut others: Vec<&str> = members.responsive_names(own_zone, now_ms).collect();
        others.shuffle(random);
        names.extend(others);
        names.truncate(MAX_VIEW_CANDIDATES);
        let sources = names.into_iter().enumerate().filter_map(|(index, name)| {
            Some(ViewSource { address: members.address(name)?, is_reader: index < readers_count })
        });
        sources.collect()
    }

    /// Returns for how long this instance goes on asking others when it has a cause to read the store.
    pub fn fall_back_delay_ms(&self, now_ms: u64) -> u64 {
        let members = self.members.lock();
        let own = self.settings.instance.as_str();
        let zone = members.responsive_names(&self.settings.availability_zone, now_ms);
        let ranked = rank_aggregators(zone.chain(std::iter::once(own)));
        let rank = ranked.iter().position(|name| *name == own).unwrap_or(0);
        self.follow_timings().fall_back_delay_ms(rank, ranked.len())
    }

    /// Records that the known upstreams were those that the store listed at `at_ms`.
    pub fn attest_view(&self, at_ms: u64) {
        let mut store = self.store.lock();
        store.view_attested_at_ms = store.view_attested_at_ms.max(Some(at_ms));
    }

    /// Returns the time since the known upstreams were last proven to be those that the store lists;
    /// `None` before the first proof.
    pub fn view_age_ms(&self, now_ms: u64) -> Option<u64> {
        self.store.lock().view_attested_at_ms.map(|at_ms| now_ms.saturating_sub(at_ms))
    }

    /// Returns the time since the end of the latest outage of the store; `None` without one.
    pub fn store_recovered_ago_ms(&self, now_ms: u64) -> Option<u64> {
        self.store.lock().recovered_at_ms.map(|at_ms| now_ms.saturating_sub(at_ms))
    }

    /// Records the end of an outage of the store that another instance has observed.
    pub fn record_store_recovery(&self, at_ms: u64) {
        let mut store = self.store.lock();
        store.recovered_at_ms = store.recovered_at_ms.max(Some(at_ms));
    }

    /// Returns the highest era of the store that is known; 0 before the first response.
    pub fn store_era(&self) -> u64 {
        self.store.lock().era.unwrap_or(0)
    }

    /// Records an era of the store, shown by the store itself or by another instance. If it has risen,
    /// the store was restored from a backup: its state is listed anew, this instance registers
    /// again, and nothing that depends on a lease of an earlier era goes on.
    pub fn observe_store_era(&self, era: u64, source: &str) {
        let now_ms = self.now_ms();
        {
            let mut store = self.store.lock();
            let previous = store.era;
            store.era = Some(era.max(previous.unwrap_or(0)));
            if previous.is_none_or(|previous| era <= previous) {
                return;
            }
            store.recovered_at_ms = Some(now_ms);
        }
        self.log.write("store_restored", || json!({ "era": era, "source": source }));
        self.duty_lease.lock().record_restore(now_ms);
        let doubtful_until_ms = now_ms + self.settings.bounds.doubt_ms;
        self.active_document.write().record_restore(doubtful_until_ms);
        self.registration_requested.notify_one();
        self.digest_requested.notify_one();
    }

    /// Keeps usage reports that were committed, so that a later holder of the duties sends the same
    /// counts even if the store has lost them.
    pub fn remember_committed_usage(&self, reports: &[WindowCounts]) {
        let mut committed = self.committed_usage.lock();
        for report in reports {
            committed.entry(report.window).or_insert_with(|| report.counts.clone());
        }
        while committed.len() > MAX_COMMITTED_WINDOWS {
            committed.pop_first();
        }
    }

    /// Records a failed call to the store; logs only the start of an outage.
    pub fn record_store_failure(&self, reason: &str) {
        let mut store = self.store.lock();
        if !std::mem::replace(&mut store.is_unavailable, true) {
            self.log.write("store_lost", || json!({ "reason": reason }));
        }
    }

    /// Records a successful call to the store; logs only the end of an outage.
    pub fn record_store_success(&self) {
        let mut store = self.store.lock();
        if std::mem::replace(&mut store.is_unavailable, false) {
            store.recovered_at_ms = Some(self.now_ms());
            self.log.write("store_regained", || json!({}));
        }
    }
}
