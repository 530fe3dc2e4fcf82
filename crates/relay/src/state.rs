//! State that all parts of the process share.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use hickorycourse_caps::{CapLimits, CapTotals, RetryBudgetLimits, RetryBudgetShare, SharedCap};
use hickorycourse_clock::{Clock, SystemClock};
use hickorycourse_duties::{
    DutyLease, FleetUsage, LeaseOptions, UsageWindows, WallClockEstimator, WindowCounts,
};
use hickorycourse_placement::{
    AdmissionRule, AdmitAll, CostRule, ExpectedWait, LeastRequests, PlacementOptions,
    PlacementTable, TargetAdmission,
};
use hickorycourse_routes::{
    ActiveDocument, ApplyOutcome, DirectoryChange, RouteDocument, RouteTable, UpstreamDirectory,
    UpstreamEntry, UsageCap,
};
use hickorycourse_telemetry::{EventLog, Meter};
use parking_lot::{Mutex, RwLock};
use serde_json::json;
use tokio::sync::Notify;

use crate::adapter::Protocol;
use crate::drain::DrainState;
use crate::exchange::{ExchangeState, report_interval_ms};
use crate::members::MemberTable;
use crate::readers::{FollowTimings, select_readers};
use crate::settings::{AdmissionPolicy, PlacementPolicy, RelaySettings};
use crate::view_log::ViewLog;

/// The upstreams of one service with their load, behind one lock.
pub type SharedPlacementTable = Arc<Mutex<PlacementTable>>;

/// Usage windows in each digest. Counts are cumulative, so the next digest makes up for a lost one.
const WINDOWS_PER_DIGEST: usize = 3;
/// Time for which an instance reads the store after the query of a follower that it could not answer.
const QUERIED_READER_MS: u64 = 2_000;
/// Committed usage reports that are kept; older windows are no longer reported.
const MAX_COMMITTED_WINDOWS: usize = 6;
/// Longest use of an upstream whose entry was deleted during the grace period after an outage of the
/// store, in percent of `leaving_ms`. The upstream may be leaving, so its last requests must reach it
/// within `leaving_ms`.
const LAPSED_ENTRY_GRACE_PERCENT: u64 = 60;
/// Digest periods without a digest from any other availability zone after which this instance
/// considers itself isolated.
const ISOLATION_MISSED_DIGESTS: u64 = 4;

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
}

/// State that all parts of the process share. Each mutable part has its own lock.
pub struct Relay {
    /// Settings of this process.
    pub settings: RelaySettings,
    /// Monotonic clock that also counts while the host is suspended.
    pub clock: Arc<dyn Clock>,
    /// Translates the platform's messages.
    pub protocol: Arc<dyn Protocol>,
    /// Structured log; one line per event.
    pub log: EventLog,
    /// Exporter of metrics.
    pub meter: Meter,
    /// Random identifier of this start of the process.
    pub boot: u64,
    /// The active document, with a bound on its staleness.
    pub active_document: RwLock<ActiveDocument>,
    /// Upstreams that the store lists.
    pub directory: Mutex<UpstreamDirectory>,
    /// The other instances.
    pub members: Mutex<MemberTable>,
    /// Shutdown state.
    pub drain: DrainState,
    /// Number of requests in flight.
    pub in_flight: AtomicU64,
    /// Time of the latest query of a follower that this instance could not answer; 0 without one.
    unanswered_query_at_ms: AtomicU64,
    /// This instance's view of the lease on the duties: usage reports and capacity orders, which
    /// one instance performs for the fleet.
    pub duty_lease: Mutex<DutyLease>,
    /// Estimate of the wall-clock time from the clocks of all instances.
    pub wall_clock: Mutex<WallClockEstimator>,
    /// Triggers a digest before its period has elapsed.
    pub digest_requested: Notify,
    /// Exchange of digests in a large fleet.
    pub exchange: Mutex<ExchangeState>,
    /// Changes in the store that this instance has read, for those that follow it.
    pub view_log: Mutex<ViewLog>,
    /// Triggers a new registration of this instance in the store.
    pub registration_requested: Notify,
    /// Usage reports that were committed in the store before they were sent, by window. A store that
    /// is restored from a backup may lack them.
    pub committed_usage: Mutex<BTreeMap<u64, BTreeMap<String, u64>>>,
    /// Usage counts of all instances.
    pub fleet_usage: Mutex<FleetUsage>,
    placement_tables: RwLock<BTreeMap<String, SharedPlacementTable>>,
    caps: Mutex<HashMap<String, SharedCap>>,
    retry_budgets: Mutex<HashMap<String, RetryBudgetShare>>,
    usage: Mutex<UsageWindows>,
    store: Mutex<StoreHealth>,
}

impl Relay {
    /// Creates the state of a process that has just started.
    pub fn new(
        settings: RelaySettings,
        protocol: Arc<dyn Protocol>,
        log: EventLog,
        meter: Meter,
    ) -> Arc<Self> {
        let clock: Arc<dyn Clock> = Arc::new(SystemClock::new());
        let now_ms = clock.now_ms();
        let bounds = &settings.bounds;
        Arc::new(Self {
            boot: rand::random::<u64>() >> 1,
            protocol,
            log,
            meter,
            active_document: RwLock::default(),
            directory: Mutex::default(),
            members: Mutex::default(),
            drain: DrainState::default(),
            in_flight: AtomicU64::new(0),
            unanswered_query_at_ms: AtomicU64::new(0),
            duty_lease: Mutex::new(DutyLease::new(LeaseOptions::from_ttl(bounds.lease_ms))),
            wall_clock: Mutex::new(WallClockEstimator::new(clock.wall_ms(), now_ms)),
            digest_requested: Notify::new(),
            exchange: Mutex::default(),
            view_log: Mutex::default(),
            registration_requested: Notify::new(),
            committed_usage: Mutex::default(),
            fleet_usage: Mutex::default(),
            placement_tables: RwLock::default(),
            caps: Mutex::default(),
            retry_budgets: Mutex::default(),
            usage: Mutex::new(UsageWindows::new(bounds.usage_window_ms)),
            store: Mutex::default(),
            clock,
            settings,
        })
    }

    /// Milliseconds since the start of the process.
    pub fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Returns the active routes; `None` until a document has been received.
    pub fn route_table(&self) -> Option<Arc<RouteTable>> {
        self.active_document.read().table()
    }

    /// Returns whether the active document is fresh enough to accept API keys. With strict
    /// revocation, its staleness must be within
    /// [`Bounds::max_staleness_ms`](crate::settings::Bounds::max_staleness_ms).
    pub fn is_document_fresh(&self, now_ms: u64) -> bool {
        let bounds = &self.settings.bounds;
        if !bounds.is_revocation_strict {
            return true;
        }
        let max_staleness_ms = bounds.max_staleness_ms();
        let staleness_ms = self.active_document.read().staleness_bound_ms(now_ms);
        staleness_ms.is_some_and(|staleness_ms| staleness_ms <= max_staleness_ms)
    }

    /// Returns whether this instance is cut off from both the store and all other availability
    /// zones, so that other instances serve callers better. An outage of the store alone does not
    /// count.
    pub fn is_isolated(&self, now_ms: u64) -> bool {
        let staleness_ms = self.active_document.read().staleness_bound_ms(now_ms);
        let members = self.members.lock();
        let silence_ms = ISOLATION_MISSED_DIGESTS * self.report_interval_ms(members.count(now_ms));
        staleness_ms.is_none_or(|staleness_ms| staleness_ms > silence_ms)
            && members.are_other_zones_silent(&self.settings.availability_zone, silence_ms, now_ms)
    }

    /// Applies a document if its version is newer than the active one. `source` names its origin in
    /// the log.
    pub fn apply_document(&self, document: RouteDocument, source: &str) {
        let version = document.version;
        let mut active_document = self.active_document.write();
        let before = active_document.version();
        if active_document.apply(document) == ApplyOutcome::NotNewer {
            return;
        }
        drop(active_document);
        self.log.write(
            "document_applied",
            || json!({ "version": version, "before": before, "source": source }),
        );
        self.refresh_caps();
    }

    /// Adds or updates an upstream from its entry in the store.
    pub fn put_upstream(&self, entry: UpstreamEntry) {
        let id = entry.id.clone();
        let change = self.directory.lock().put(entry);
        self.apply_changes(&[(id, change)]);
    }

    /// Records that an upstream has announced its departure: in a response to this instance, or to
    /// another one that has told so. `started_at_ms` limits the announcement to that start of the
    /// upstream. The other instances are told at once.
    pub fn announce_departure(&self, id: &str, started_at_ms: Option<u64>, source: &str) {
        let change = self.directory.lock().announce_departure(id, started_at_ms);
        if change == DirectoryChange::None {
            return;
        }
        self.log.write(
            "departure_announced",
            || json!({ "upstream": id, "started_at_ms": started_at_ms, "source": source }),
        );
        self.apply_changes(&[(id.to_owned(), change)]);
        self.digest_requested.notify_one();
    }

    /// Applies the deletion of an upstream's entry, after the grace period if the store has just
    /// recovered.
    pub fn remove_upstream(&self, id: &str) {
        let grace_until_ms = self.grace_until_ms();
        let change = self.directory.lock().remove(id, grace_until_ms);
        self.apply_changes(&[(id.to_owned(), change)]);
    }

    /// Applies a complete listing of the upstreams.
    pub fn replace_upstreams(&self, entries: Vec<UpstreamEntry>) {
        let grace_until_ms = self.grace_until_ms();
        let changes = self.directory.lock().replace(entries, grace_until_ms);
        self.apply_changes(&changes);
    }

    /// Removes upstreams whose entries have been absent for longer than their grace period.
    pub fn expire_upstreams(&self) {
        let expired = self.directory.lock().expire(self.now_ms());
        let gone = expired.into_iter().map(|id| (id, DirectoryChange::Gone));
        self.apply_changes(&gone.collect::<Vec<_>>());
    }

    fn apply_changes(&self, changes: &[(String, DirectoryChange)]) {
        let mut changed =
            changes.iter().filter(|(_, change)| *change != DirectoryChange::None).peekable();
        if changed.peek().is_none() {
            return;
        }
        for (id, change) in changed {
            self.log.write(
                "upstream_changed",
                || json!({ "upstream": id, "change": format!("{change:?}") }),
            );
            if *change == DirectoryChange::Restarted {
                for placement_table in self.placement_tables.read().values() {
                    placement_table.lock().reset_upstream(id);
                }
            }
        }
        self.refresh_placement_tables();
    }

    /// Time until which an upstream stays in use if its entry is deleted at this moment; `None` if
    /// it is removed at once. Upstreams whose leases expired during an outage of the store renew
    /// their entries shortly after its recovery.
    fn grace_until_ms(&self) -> Option<u64> {
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
        self.store.lock().read_at_ms = at_ms;
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

    fn refresh_placement_tables(&self) {
        let directory = self.directory.lock();
        let mut placement_tables = self.placement_tables.write();
        let mut services: Vec<String> = placement_tables.keys().cloned().collect();
        services.extend(directory.entries().map(|entry| entry.service.clone()));
        services.sort_unstable();
        services.dedup();
        for service in services {
            let placement_table = placement_tables.entry(service.clone()).or_insert_with(|| {
                let zone = &self.settings.availability_zone;
                let cost_rule: Box<dyn CostRule> = match self.settings.policy.placement {
                    PlacementPolicy::ExpectedWait => Box::new(ExpectedWait),
                    PlacementPolicy::LeastRequests => Box::new(LeastRequests),
                };
                let admission_rule: Box<dyn AdmissionRule> = match self.settings.policy.admission {
                    AdmissionPolicy::AdmitAll => Box::new(AdmitAll),
                    AdmissionPolicy::Target => Box::new(TargetAdmission::default()),
                };
                let options = self.placement_options();
                let placement_table = PlacementTable::new(zone, options, cost_rule, admission_rule);
                Arc::new(Mutex::new(placement_table))
            });
            let entries = directory.entries().filter(|entry| entry.service == service);
            placement_table.lock().set_upstreams(entries);
        }
    }

    fn placement_options(&self) -> PlacementOptions {
        let policy = &self.settings.policy;
        PlacementOptions {
            prefill_tokens_per_ms: policy.reading_tokens_per_ms,
            idle_first_byte_ms: policy.idle_first_byte_ms,
            cross_zone_ms: policy.cross_zone_ms,
            full_batch_ms: policy.full_batch_ms,
            shared_weight: policy.shared_weight,
        }
    }

    /// Returns the placement table of a service; `None` if no upstream of it has been listed.
    pub fn placement_table(&self, service: &str) -> Option<SharedPlacementTable> {
        self.placement_tables.read().get(service).cloned()
    }

    /// Returns all placement tables with the names of their services.
    pub fn placement_tables(&self) -> Vec<(String, SharedPlacementTable)> {
        self.placement_tables
            .read()
            .iter()
            .map(|(name, placement_table)| (name.clone(), Arc::clone(placement_table)))
            .collect()
    }

    fn refresh_caps(&self) {
        let Some(table) = self.route_table() else { return };
        let mut caps = self.caps.lock();
        let organisations = table.document().organisations.iter().flatten();
        let mut retained = HashMap::new();
        let now_ms = self.now_ms();
        let instances = self.members.lock().count(now_ms);
        for organisation in organisations {
            let Some(cap) = organisation.cap else { continue };
            let limits = self.cap_limits(&cap, instances);
            let shared = caps.remove(&organisation.name).map(|mut shared| {
                shared.set_limits(limits);
                shared
            });
            let shared = shared.unwrap_or_else(|| self.new_cap(limits, instances, now_ms));
            retained.insert(organisation.name.clone(), shared);
        }
        *caps = retained;
    }

    fn new_cap(&self, limits: CapLimits, instances: usize, now_ms: u64) -> SharedCap {
        // The boot identifier is random below 2^63.
        let phase = self.boot as f64 / (u64::MAX >> 1) as f64;
        SharedCap::new(limits, instances, now_ms).with_shedding_phase(phase)
    }

    /// Typical time in milliseconds between two reports of another instance, in a fleet of this size.
    pub fn report_interval_ms(&self, instances: usize) -> u64 {
        report_interval_ms(self.settings.policy.exchange, instances)
    }

    fn cap_limits(&self, cap: &UsageCap, instances: usize) -> CapLimits {
        let bounds = &self.settings.bounds;
        let excess = (bounds.cap_window_ms, bounds.cap_overshoot, bounds.cap_slack);
        CapLimits::new(cap.per_second, cap.burst, excess, self.report_interval_ms(instances))
    }

    /// Acquires units from an organisation's usage cap.
    ///
    /// # Errors
    /// The time in milliseconds after which the units are expected to be available.
    pub fn acquire_cap(
        &self,
        organisation: &str,
        cap: &UsageCap,
        units: f64,
        urgency: u8,
    ) -> Result<(), u64> {
        let now_ms = self.now_ms();
        let instances = self.members.lock().count(now_ms);
        let limits = self.cap_limits(cap, instances);
        let mut caps = self.caps.lock();
        let shared = caps
            .entry(organisation.to_owned())
            .or_insert_with(|| self.new_cap(limits, instances, now_ms));
        shared.set_limits(limits);
        let acquired = shared.try_acquire(units, urgency, instances, now_ms);
        if shared.is_early_broadcast_due() {
            self.digest_requested.notify_one();
        }
        if let Err(retry_after_ms) = acquired {
            let (level, is_shedding) = (shared.level(), shared.is_shedding());
            self.log.write("cap_refused", || {
                json!({
                    "organisation": organisation, "units": units, "level": level,
                    "per_second": cap.per_second, "burst": cap.burst, "instances": instances,
                    "is_thinned": is_shedding, "process_age_ms": now_ms,
                    "retry_after_ms": retry_after_ms,
                })
            });
        }
        acquired
    }

    /// Returns units of a request that did not run.
    pub fn refund_cap(&self, organisation: &str, units: f64) {
        if let Some(shared) = self.caps.lock().get_mut(organisation) {
            shared.refund(units);
        }
    }

    /// Returns the cap usage of this process since its start, for a digest, and marks it as sent.
    pub fn cap_totals_for_digest(&self) -> BTreeMap<String, CapTotals> {
        let mut caps = self.caps.lock();
        caps.iter_mut().map(|(name, shared)| (name.clone(), shared.broadcast_totals())).collect()
    }

    /// Applies the cap usage that `instances` other instances have reported as `peer`. `boot` identifies
    /// the start of the process that reports it.
    pub fn apply_cap_totals<'a>(
        &self,
        peer: &str,
        boot: u64,
        totals: impl Iterator<Item = (&'a str, CapTotals)>,
        instances: usize,
        reported_at_ms: u64,
    ) {
        let mut caps = self.caps.lock();
        for (organisation, totals) in totals {
            if let Some(shared) = caps.get_mut(organisation) {
                shared.apply_group_report(peer, boot, totals, instances, reported_at_ms);
            }
        }
    }

    /// Forgets what other instances have reported of their load and use, when they report in other
    /// groups from now on.
    pub fn clear_reports(&self) {
        for shared in self.caps.lock().values_mut() {
            shared.clear_peers();
        }
        for (_, placement_table) in self.placement_tables() {
            placement_table.lock().clear_peers();
        }
        *self.fleet_usage.lock() = FleetUsage::default();
    }

    /// Records a request to a service; the retry budget grows with the number of requests.
    pub fn record_request(&self, service: &str) {
        let now_ms = self.now_ms();
        self.with_retry_budget(service, |share| share.add_request(now_ms));
    }

    /// Acquires one retry from the retry budget of a service; returns whether it was granted.
    pub fn try_acquire_retry(&self, service: &str) -> bool {
        let now_ms = self.now_ms();
        let instances = self.members.lock().count(now_ms);
        let is_granted =
            self.with_retry_budget(service, |share| share.try_acquire(instances, now_ms));
        let name = if is_granted { "granted" } else { "denied" };
        metrics::counter!("hickorycourse_retries_total", "outcome" => name).increment(1);
        is_granted
    }

    fn with_retry_budget<T>(
        &self,
        service: &str,
        update: impl FnOnce(&mut RetryBudgetShare) -> T,
    ) -> T {
        let bounds = &self.settings.bounds;
        let limits = RetryBudgetLimits {
            ratio: bounds.retry_ratio,
            slack: bounds.retry_slack,
            window_ms: bounds.retry_window_ms,
        };
        let mut retry_budgets = self.retry_budgets.lock();
        update(
            retry_budgets
                .entry(service.to_owned())
                .or_insert_with(|| RetryBudgetShare::new(limits)),
        )
    }

    /// Records in the current usage window that a request of this organisation has started to run.
    pub fn record_run(&self, organisation: &str) {
        let now_ms = self.now_ms();
        let wall_ms = self.wall_clock.lock().estimate_ms(now_ms);
        let mut usage = self.usage.lock();
        usage.add(organisation, wall_ms);
        let windows = usage.newest(1);
        drop(usage);
        // In a large fleet, the sums of the availability zones contain the own usage.
        if self.exchange.lock().is_aggregated() {
            return;
        }
        self.fleet_usage.lock().merge(&self.settings.instance, self.boot, &windows);
    }

    /// Returns the newest usage windows of this process, for the digest.
    pub fn newest_windows(&self) -> Vec<WindowCounts> {
        self.usage.lock().newest(WINDOWS_PER_DIGEST)
    }
}

/// Counts a request as in flight until dropped.
pub struct InFlightGuard {
    relay: Arc<Relay>,
}

impl InFlightGuard {
    /// Increments the counter.
    pub fn new(relay: &Arc<Relay>) -> Self {
        relay.in_flight.fetch_add(1, Ordering::SeqCst);
        Self { relay: Arc::clone(relay) }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.relay.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}
