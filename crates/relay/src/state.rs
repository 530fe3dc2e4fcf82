//! State that all parts of the process share.

mod limits;
mod store;

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};

use hickorycourse_body::BodyBudget;
use hickorycourse_caps::{DeciderTable, GrantLedger, RetryBudgetShare, SharedCap};
use hickorycourse_clock::{Clock, SystemClock};
use hickorycourse_duties::{
    DutyLease, FleetUsage, LeaseOptions, UsageSource, UsageWindows, WallClockEstimator,
    WindowCounts,
};
use hickorycourse_origins::{
    BeginningJournal, ListedVersions, OriginJournal, OriginTable, RouteTargets,
};
use hickorycourse_permits::{LimitTable, PermitIssuer};
use hickorycourse_placement::{
    AdmissionRule, AdmitAll, ChoiceRule, CompletionRule, CostRule, EvenLoad, ExpectedWait,
    LeastRequests, PlacementOptions, PlacementTable, TargetAdmission,
};
use hickorycourse_quarantine::{PartQuarantine, QuarantineOptions};
use hickorycourse_routes::{
    ActiveDocument, ApplyOutcome, DirectoryChange, Route, RouteDocument, RouteTable,
    UpstreamDirectory, UpstreamEntry,
};
use hickorycourse_starts::{ListedStart, StartTable};
use hickorycourse_telemetry::{EventLog, Meter};
use parking_lot::{Mutex, RwLock};
use serde_json::json;
use tokio::net::UdpSocket;
use tokio::sync::{Notify, mpsc};

pub use self::limits::{CapDecision, CapRequest};
use self::store::StoreHealth;
use crate::adapter::Protocol;
use crate::cap_claims::CapMessage;
use crate::drain::{DrainState, DrainTimings, RequestForecast};
use crate::durations::DurationTable;
use crate::exchange_state::ExchangeState;
use crate::forwarding::ReachState;
use crate::limits::RemoteClaim;
use crate::members::MemberTable;
use crate::origin_records::{OriginSearch, StoredVersions};
use crate::origins::OriginQuery;
use crate::quarantine_record::StoredQuarantine;
use crate::settings::{AdmissionPolicy, CompletionPolicy, PlacementPolicy, RelaySettings};
use crate::start_proofs::WantedProofs;
use crate::upstream_reports::UnreportedUpstreams;
use crate::version_check::VersionCheck;
use crate::version_marks::VersionMark;
use crate::view_gate::ViewGate;
use crate::view_log::ViewLog;

/// The upstreams of one service with their load, behind one lock.
pub type SharedPlacementTable = Arc<Mutex<PlacementTable>>;

/// Usage windows in each digest. Counts are cumulative, so the next digest makes up for a lost one.
const WINDOWS_PER_DIGEST: usize = 3;
/// Digest periods without a digest from any other availability zone after which this instance
/// considers itself isolated.
const ISOLATION_MISSED_DIGESTS: u64 = 4;

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
    /// Versions of other instances, asked after the start.
    pub version_check: Mutex<VersionCheck>,
    /// Upstreams that the store lists.
    pub directory: Mutex<UpstreamDirectory>,
    /// The other instances.
    pub members: Mutex<MemberTable>,
    /// Shutdown state, with the number of requests in flight.
    pub drain: DrainState,
    /// How long the latest requests took.
    pub durations: DurationTable,
    /// Whether the state of the store has to be listed before its changes are followed.
    pub is_listing_needed: AtomicBool,
    /// Time of the latest query of a follower that this instance could not answer; 0 without one.
    unanswered_query_at_ms: AtomicU64,
    /// This instance's view of the lease on the duties: usage reports and capacity orders, which
    /// one instance performs for the fleet.
    pub duty_lease: Mutex<DutyLease>,
    /// Estimate of the wall-clock time from the clocks of all instances.
    pub wall_clock: Mutex<WallClockEstimator>,
    /// Memory that callers' request bodies share.
    pub bodies: Arc<BodyBudget>,
    /// Triggers a digest before its period has elapsed.
    pub digest_requested: Notify,
    /// Exchange of digests in a large fleet.
    pub exchange: Mutex<ExchangeState>,
    /// Changes in the store that this instance has read, for those that follow it.
    pub view_log: Mutex<ViewLog>,
    /// Decides whether requests wait for newer changes in the store.
    pub view_gate: Mutex<ViewGate>,
    /// Triggers a search for newer changes in the store.
    pub view_search_requested: Notify,
    /// Wakes those that wait for the end of a search.
    pub view_searched: Notify,
    /// Triggers a new registration of this instance in the store.
    pub registration_requested: Notify,
    /// Notified when the changes in the store have to be known up to the present.
    pub reading_requested: Notify,
    /// Notified when the changes in the store are known up to a later time.
    pub log_attested: Notify,
    /// Usage reports that were committed in the store before they were sent, by window. A store that
    /// is restored from a backup may lack them.
    pub committed_usage: Mutex<BTreeMap<u64, BTreeMap<String, u64>>>,
    /// Parts of prompts that crash upstreams.
    pub quarantine: Mutex<PartQuarantine>,
    /// The record of the quarantined parts in the store.
    pub stored_quarantine: Mutex<StoredQuarantine>,
    /// Rate limits that upstreams have named.
    pub limits: Mutex<LimitTable>,
    /// Requests a second that upstreams can turn away, as far as they have named a number.
    pub tolerances: Mutex<LimitTable>,
    /// Whether another instance has told which limits it knows.
    pub are_limits_told: AtomicBool,
    /// Permits that this instance grants to all.
    pub permit_issuer: Mutex<PermitIssuer>,
    /// Queue of claims for permits that other instances grant.
    pub remote_claims: OnceLock<mpsc::Sender<RemoteClaim>>,
    /// Instances that decide on caps.
    pub cap_deciders: Mutex<DeciderTable>,
    /// Units of caps that this instance has granted to others.
    pub cap_grants: Mutex<GrantLedger>,
    /// Queue of messages to the instances that decide on caps.
    pub cap_messages: OnceLock<mpsc::Sender<CapMessage>>,
    /// Origins of streams that this instance or others have begun.
    pub origins: Mutex<OriginTable>,
    /// Versions of services that have been listed lately.
    pub listed_versions: Mutex<ListedVersions>,
    /// Services that routes have led to lately.
    pub route_targets: Mutex<RouteTargets>,
    /// Versions of services as the store holds them.
    pub stored_versions: Mutex<StoredVersions>,
    /// Revision at the end of the latest gap in the changes that are known; 0 if there was none.
    pub log_gap_revision: AtomicU64,
    /// Origins of the streams that this instance has begun.
    pub origin_journal: Mutex<OriginJournal>,
    /// Beginnings of the streams of this instance whose origins are not known yet.
    pub beginning_journal: Mutex<BeginningJournal>,
    /// Queue of searches for origins in the store.
    pub origin_searches: OnceLock<mpsc::Sender<OriginSearch>>,
    /// Queue of marks in the store of versions that are not known.
    pub version_marks: OnceLock<mpsc::Sender<VersionMark>>,
    /// Whether the store has not taken such marks in time.
    pub are_version_marks_late: AtomicBool,
    /// Queue of queries for origins.
    pub origin_queries: OnceLock<mpsc::Sender<OriginQuery>>,
    /// Starts of upstreams, with their versions.
    pub starts: Mutex<StartTable>,
    /// Upstreams whose starts others are asked about.
    pub wanted_proofs: Mutex<WantedProofs>,
    /// Upstreams that do not report their starts.
    pub unreported: Mutex<UnreportedUpstreams>,
    /// What is known of this instance's links to upstreams, and of peers that carry connections.
    pub reach: Mutex<ReachState>,
    /// Notified when links are taken for cut.
    pub link_cut: Notify,
    /// Socket for datagrams to other instances.
    pub peer_socket: OnceLock<Arc<UdpSocket>>,
    /// Notified when an upstream leaves, is no longer listed or has not reported its start.
    pub witness_needed: Notify,
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
            bodies: BodyBudget::new(settings.machine.body_budget_bytes()),
            protocol,
            log,
            meter,
            active_document: RwLock::default(),
            version_check: Mutex::default(),
            directory: Mutex::default(),
            members: Mutex::default(),
            drain: DrainState::default(),
            durations: DurationTable::default(),
            is_listing_needed: AtomicBool::new(false),
            unanswered_query_at_ms: AtomicU64::new(0),
            duty_lease: Mutex::new(DutyLease::new(LeaseOptions::from_ttl(bounds.lease_ms))),
            wall_clock: Mutex::new(WallClockEstimator::new(clock.wall_ms(), now_ms)),
            digest_requested: Notify::new(),
            exchange: Mutex::default(),
            view_log: Mutex::default(),
            view_gate: Mutex::default(),
            view_search_requested: Notify::new(),
            view_searched: Notify::new(),
            registration_requested: Notify::new(),
            reading_requested: Notify::new(),
            log_attested: Notify::new(),
            committed_usage: Mutex::default(),
            quarantine: Mutex::new(PartQuarantine::new(QuarantineOptions::default())),
            stored_quarantine: Mutex::default(),
            limits: Mutex::default(),
            tolerances: Mutex::default(),
            are_limits_told: AtomicBool::new(false),
            permit_issuer: Mutex::default(),
            remote_claims: OnceLock::new(),
            cap_deciders: Mutex::default(),
            cap_grants: Mutex::default(),
            cap_messages: OnceLock::new(),
            origins: Mutex::default(),
            listed_versions: Mutex::default(),
            route_targets: Mutex::default(),
            stored_versions: Mutex::default(),
            log_gap_revision: AtomicU64::new(0),
            origin_journal: Mutex::default(),
            beginning_journal: Mutex::default(),
            origin_searches: OnceLock::new(),
            version_marks: OnceLock::new(),
            are_version_marks_late: AtomicBool::new(false),
            origin_queries: OnceLock::new(),
            starts: Mutex::default(),
            wanted_proofs: Mutex::default(),
            unreported: Mutex::default(),
            reach: Mutex::default(),
            link_cut: Notify::new(),
            peer_socket: OnceLock::new(),
            witness_needed: Notify::new(),
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

    /// Times of a shutdown.
    pub fn drain_timings(&self) -> DrainTimings {
        DrainTimings::from_stop_ms(self.settings.bounds.stop_ms)
    }

    /// Decides whether a request that arrives now is likely to be finished before this process ends.
    pub fn is_finishable(&self, route: &Route, deadline_at_ms: u64) -> bool {
        let now_ms = self.now_ms();
        let Some(spent_ms) = self.drain.stopping_for_ms(now_ms) else { return true };
        let timings = self.drain_timings();
        let left_ms = timings.left_ms(spent_ms);
        let forecast = RequestForecast {
            deadline_in_ms: deadline_at_ms.saturating_sub(now_ms),
            finished_share: self.durations.share_within(&route.name, left_ms, now_ms),
            is_idempotent: route.repeat.allows_reexecution(),
        };
        timings.is_finishable(spent_ms, &forecast)
    }

    /// Records how long a request of a route took that is complete now.
    pub fn record_duration(&self, route: &str, arrived_at_ms: u64) {
        let now_ms = self.now_ms();
        self.durations.record(route, now_ms.saturating_sub(arrived_at_ms), now_ms);
    }

    /// Returns the active routes; `None` until a document has been received.
    pub fn route_table(&self) -> Option<Arc<RouteTable>> {
        self.active_document.read().table()
    }

    /// Returns whether the active document is fresh enough to accept API keys. With strict
    /// revocation, its staleness must be within
    /// [`Bounds::max_staleness_ms`](crate::settings::Bounds::max_staleness_ms), and after the start other
    /// instances are asked for a newer one first.
    pub fn is_document_fresh(&self, now_ms: u64) -> bool {
        let bounds = &self.settings.bounds;
        if !bounds.is_revocation_strict {
            return true;
        }
        if self.version_check.lock().is_pending(now_ms) {
            return false;
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
        // The former routes have been in force until now.
        self.observe_routes(self.now_ms());
        let mut active_document = self.active_document.write();
        let before = active_document.version();
        if active_document.apply(document) == ApplyOutcome::NotNewer {
            return;
        }
        drop(active_document);
        self.observe_routes(self.now_ms());
        self.log.write(
            "document_applied",
            || json!({ "version": version, "before": before, "source": source }),
        );
        self.refresh_caps();
        self.refresh_choice_rules();
        self.refresh_overload_control();
    }

    /// Adds or updates an upstream from its entry in the store, which was written after `written_after_ms` if that is known.
    pub fn put_upstream(&self, entry: UpstreamEntry, written_after_ms: Option<u64>) {
        let id = entry.id.clone();
        self.record_listed_version(&entry);
        self.record_listed_start(&entry, written_after_ms);
        let change = self.directory.lock().put(entry);
        self.apply_changes(&[(id, change)]);
    }

    fn record_listed(&self, entries: &[UpstreamEntry]) {
        for entry in entries {
            self.record_listed_version(entry);
            self.record_listed_start(entry, None);
        }
    }

    /// Records the version of an entry, which may be gone before all that are listed are looked at again.
    fn record_listed_version(&self, entry: &UpstreamEntry) {
        let now_ms = self.now_ms();
        self.listed_versions.lock().record(&entry.service, entry.version.as_deref(), now_ms);
    }

    /// Records the start that wrote an entry. Heartbeats alone prove that it has run since it started.
    fn record_listed_start(&self, entry: &UpstreamEntry, written_after_ms: Option<u64>) {
        let directory = self.directory.lock();
        if directory.is_outdated(entry) {
            return;
        }
        let is_rewritten = directory.get(&entry.id).is_some_and(|known| {
            known.started_at_ms == entry.started_at_ms && known.sequence < entry.sequence
        });
        drop(directory);
        let written_after_ms = written_after_ms.filter(|_| is_rewritten);
        let listed = ListedStart {
            upstream: &entry.id,
            started_at_ms: entry.started_at_ms,
            version: entry.version.as_deref(),
        };
        self.starts.lock().record_listed(&listed, written_after_ms, self.now_ms());
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
        self.record_listed(&entries);
        let changes = self.directory.lock().replace(entries, grace_until_ms);
        self.apply_changes(&changes);
    }

    /// Applies a listing of the upstreams that another instance has told. The state of the store has to be
    /// listed anew before changes to it are followed again: the other instance may have been behind.
    pub fn replace_upstreams_from_peer(&self, entries: Vec<UpstreamEntry>) {
        self.record_listed(&entries);
        let changes = self.directory.lock().replace_from_peer(entries);
        self.apply_changes(&changes);
        self.is_listing_needed.store(true, Ordering::Relaxed);
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
            if matches!(change, DirectoryChange::Gone | DirectoryChange::Restarted) {
                self.update_links(|links, _| links.forget(id));
            }
            if *change == DirectoryChange::Restarted {
                for placement_table in self.placement_tables.read().values() {
                    placement_table.lock().reset_upstream(id);
                }
                self.record_limit_restart(id);
                self.record_tolerance_restart(id);
            }
        }
        self.witness_needed.notify_waiters();
        self.refresh_placement_tables();
        self.apply_limits();
        self.apply_tolerances();
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
                    PlacementPolicy::Auto
                    | PlacementPolicy::Even
                    | PlacementPolicy::ExpectedWait => Box::new(ExpectedWait),
                    PlacementPolicy::LeastRequests => Box::new(LeastRequests),
                };
                let admission_rule: Box<dyn AdmissionRule> = match self.settings.policy.admission {
                    AdmissionPolicy::AdmitAll => Box::new(AdmitAll),
                    AdmissionPolicy::Target => Box::new(TargetAdmission::default()),
                };
                let options = self.placement_options();
                let mut placement_table =
                    PlacementTable::new(zone, options, cost_rule, admission_rule);
                placement_table.set_completion_rule(match self.settings.policy.completion {
                    CompletionPolicy::Auto => CompletionRule::Auto,
                    CompletionPolicy::Off => CompletionRule::Off,
                });
                Arc::new(Mutex::new(placement_table))
            });
            let entries = directory.entries().filter(|entry| entry.service == service);
            placement_table.lock().set_upstreams(entries);
        }
        drop((directory, placement_tables));
        self.refresh_choice_rules();
        self.refresh_overload_control();
    }

    /// Sets the rule by which the upstreams of each service are chosen, by the active document.
    fn refresh_choice_rules(&self) {
        let table = self.route_table();
        for (service, placement_table) in self.placement_tables() {
            let has_prefix_caches = table.as_ref().is_some_and(|table| {
                let settings = table.document().services.get(&service);
                settings.is_some_and(|settings| settings.engine.is_some())
            });
            let is_even = match self.settings.policy.placement {
                PlacementPolicy::Even => true,
                PlacementPolicy::Auto => table.is_some() && !has_prefix_caches,
                PlacementPolicy::ExpectedWait | PlacementPolicy::LeastRequests => false,
            };
            let choice_rule = is_even.then(|| Box::new(EvenLoad) as Box<dyn ChoiceRule>);
            placement_table.lock().set_choice_rule(choice_rule);
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
        let source = UsageSource {
            availability_zone: &self.settings.availability_zone,
            process: Some((&self.settings.instance, self.boot)),
        };
        self.fleet_usage.lock().merge(&source, &windows);
    }

    /// Returns the newest usage windows of this process, for the digest.
    pub fn newest_windows(&self) -> Vec<WindowCounts> {
        self.usage.lock().newest(WINDOWS_PER_DIGEST)
    }
}
