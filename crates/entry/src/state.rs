//! What all parts of an entry share.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use hickorycourse_clock::{Clock, SystemClock};
use hickorycourse_idempotency::OrderIdTable;
use hickorycourse_jobs::JobTable;
use hickorycourse_membership::{
    Heartbeat, MemberTable, ServiceDemand, SettingsReplica, SettingsSnapshot, VersionedDocument,
};
use hickorycourse_peer::{PeerMesh, PeerMessage};
use hickorycourse_settings::{EffectivePolicy, ProcessSettings};
use hickorycourse_telemetry::{Meter, SpanCollector};
use hickorycourse_usage::{UsageCount, UsageKey, UsageTable};
use parking_lot::{Mutex, RwLock};
use tokio::sync::{mpsc, oneshot};

use crate::claims::ClaimCommand;
use crate::drain::DrainState;
use crate::peers::{ForwardRequest, PendingForwards, PendingJobQueries};
use crate::pool::ServicePool;

/// What all parts of an entry share. Each field with changing content has a lock of its own.
pub struct Entry {
    /// The settings of this process.
    pub settings: ProcessSettings,
    /// Drawn anew at each start.
    pub incarnation: u64,
    /// Time.
    pub clock: Arc<dyn Clock>,
    /// Metrics.
    pub meter: Meter,
    /// Spans.
    pub spans: SpanCollector,
    /// Settings in force.
    pub replica: RwLock<SettingsReplica>,
    /// The other entries.
    pub members: Mutex<MemberTable>,
    /// One pool for each service.
    pub pools: RwLock<BTreeMap<String, Arc<ServicePool>>>,
    /// Order ids issued here.
    pub ledger: Mutex<OrderIdTable>,
    /// Usage of this incarnation.
    pub usage: Mutex<UsageTable>,
    /// Usage of other incarnations, for the case that they end before their flush.
    pub usage_copies: Mutex<HashMap<UsageOwner, UsageTable>>,
    /// Accepted jobs and copies of others' jobs.
    pub jobs: Mutex<JobTable>,
    /// Calls on their way to the owners of their order ids.
    pub forwards: PendingForwards,
    /// Questions for jobs.
    pub job_queries: PendingJobQueries,
    /// Callers that wait to hear that their job is accepted.
    pub job_waiters: Mutex<HashMap<String, oneshot::Sender<()>>>,
    /// Instances known to be leaving.
    pub leaving: Mutex<BTreeSet<String>>,
    /// Whether this entry takes new work.
    pub drain: DrainState,
    /// Requests in flight.
    pub in_flight: AtomicU64,
    /// Whether the platform answered its last call.
    pub is_platform_up: AtomicBool,
    /// Claims are recorded by one task.
    pub claims: mpsc::UnboundedSender<ClaimCommand>,
    /// Calls forwarded by peers are run by one task.
    pub forwarded: mpsc::UnboundedSender<ForwardRequest>,
    mesh: RwLock<Option<Arc<PeerMesh>>>,
    next_id: AtomicU64,
}

/// The process that usage belongs to.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct UsageOwner {
    /// Its instance.
    pub instance: String,
    /// Its incarnation.
    pub incarnation: u64,
}

/// Channels into the tasks of the main thread.
pub struct TaskChannels {
    /// To the task that records claims.
    pub claims: mpsc::UnboundedSender<ClaimCommand>,
    /// To the task that runs forwarded calls.
    pub forwarded: mpsc::UnboundedSender<ForwardRequest>,
}

impl Entry {
    /// Creates the state of a process that has just started.
    pub fn new(settings: ProcessSettings, meter: Meter, channels: TaskChannels) -> Arc<Self> {
        let clock: Arc<dyn Clock> = Arc::new(SystemClock::new());
        let timing = &settings.timing;
        let members = MemberTable::new(
            &settings.instance,
            &settings.availability_zone,
            timing.peer_timeout_ms,
        );
        Arc::new(Self {
            incarnation: rand::random::<u64>() >> 1,
            meter,
            spans: SpanCollector::new(settings.trace_address.is_some()),
            replica: RwLock::default(),
            members: Mutex::new(members),
            pools: RwLock::default(),
            ledger: Mutex::new(OrderIdTable::new(timing.claim_retention_ms)),
            usage: Mutex::default(),
            usage_copies: Mutex::default(),
            jobs: Mutex::default(),
            forwards: PendingForwards::default(),
            job_queries: PendingJobQueries::default(),
            job_waiters: Mutex::default(),
            leaving: Mutex::default(),
            drain: DrainState::default(),
            in_flight: AtomicU64::new(0),
            is_platform_up: AtomicBool::new(false),
            claims: channels.claims,
            forwarded: channels.forwarded,
            mesh: RwLock::new(None),
            next_id: AtomicU64::new(1),
            clock,
            settings,
        })
    }

    /// Sets the mesh, which needs the state to be there first.
    pub fn set_mesh(&self, mesh: Arc<PeerMesh>) {
        *self.mesh.write() = Some(mesh);
    }

    /// The links with other entries.
    pub fn mesh(&self) -> Option<Arc<PeerMesh>> {
        self.mesh.read().clone()
    }

    /// The settings in force.
    pub fn snapshot(&self) -> Arc<SettingsSnapshot> {
        self.replica.read().snapshot()
    }

    /// A number that is unique in this incarnation.
    pub fn draw_number(&self) -> u64 {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }

    /// Names a request or an attempt; unique in the fleet.
    pub fn draw_id(&self) -> String {
        format!("{:x}-{:x}", self.incarnation, self.draw_number())
    }

    /// The pool of a service.
    pub fn pool(&self, service: &str) -> Option<Arc<ServicePool>> {
        self.pools.read().get(service).cloned()
    }

    /// Takes documents in; those that are new here are passed on to the peers.
    pub fn apply_documents(&self, documents: &[VersionedDocument]) -> Vec<VersionedDocument> {
        use hickorycourse_membership::ApplyOutcome;
        let mut fresh = Vec::new();
        {
            let mut replica = self.replica.write();
            for versioned in documents {
                let name = &versioned.name;
                match replica.apply(name, &versioned.document) {
                    ApplyOutcome::Stale => continue,
                    ApplyOutcome::Applied => {}
                    ApplyOutcome::Unreadable(fault) => {
                        log::error!(target: "settings", "Can't read {name}: {fault}.");
                    }
                }
                let revision = versioned.document.revision;
                log::info!(target: "settings", "Applied {name} revision {revision}.");
                fresh.push(versioned.clone());
            }
        }
        if !fresh.is_empty() {
            self.configure_pools();
            self.pass_on(&fresh);
        }
        fresh
    }

    fn pass_on(&self, documents: &[VersionedDocument]) {
        if let Some(mesh) = self.mesh() {
            mesh.broadcast(&PeerMessage::Documents(documents.to_vec()));
        }
    }

    fn configure_pools(&self) {
        let snapshot = self.snapshot();
        let Some(site) = &snapshot.site else { return };
        let mut pools = self.pools.write();
        for name in site.services.keys() {
            let pool = pools.entry(name.clone()).or_insert_with(|| {
                let zone = &self.settings.availability_zone;
                ServicePool::new(name, zone, Arc::clone(&self.clock))
            });
            let values = EffectivePolicy::explain(site, None, name, "");
            let budget = values.iter().find(|value| value.name == "retry_budget_percent");
            pool.configure(site, budget.map_or(0, |value| value.value));
        }
        drop(pools);
        self.mark_leaving(&[]);
    }

    /// Learns that instances are leaving; returns those that are news.
    pub fn mark_leaving(&self, instances: &[String]) -> Vec<String> {
        let leaving = {
            let mut leaving = self.leaving.lock();
            leaving.extend(instances.iter().cloned());
            leaving.clone()
        };
        let mut started = Vec::new();
        for pool in self.pools.read().values() {
            started.extend(pool.set_leaving(|instance| leaving.contains(instance)));
        }
        for instance in &started {
            log::info!(target: "route", "{instance} is leaving, no new work goes there.");
        }
        started
    }

    /// Forgets instances that the platform no longer lists as leaving.
    pub fn retain_leaving(&self, is_leaving: impl Fn(&str) -> bool) {
        self.leaving.lock().retain(|instance| is_leaving(instance));
        self.mark_leaving(&[]);
    }

    /// This entry's heartbeat.
    pub fn make_heartbeat(&self) -> Heartbeat {
        let demand = |(service, pool): (&String, &Arc<ServicePool>)| ServiceDemand {
            service: service.clone(),
            calls: pool.count_demand(),
        };
        let demands: Vec<ServiceDemand> = self.pools.read().iter().map(demand).collect();
        Heartbeat {
            instance: self.settings.instance.clone(),
            incarnation: self.incarnation,
            availability_zone: self.settings.availability_zone.clone(),
            peer_address: self
                .settings
                .advertised_peer_address
                .unwrap_or(self.settings.peer_address),
            is_leaving: self.drain.is_leaving(),
            settings_digest: self.snapshot().digest,
            demands,
            leaving_instances: self.leaving.lock().iter().cloned().collect(),
        }
    }

    /// Adds what a call has used.
    pub fn add_usage(&self, key: &UsageKey, count: &UsageCount) {
        self.usage.lock().add(key, count);
    }

    /// Lets the pools drop and let in what is due.
    pub fn tick_pools(&self) {
        let now_ms = self.clock.now_ms();
        for (service, pool) in self.pools.read().iter() {
            let demand = pool.count_demand();
            let share_permille = self.members.lock().share_permille(service, demand, now_ms);
            pool.tick(share_permille);
        }
    }
}

/// Counts a request as in flight until it is dropped.
pub struct InFlightGuard {
    entry: Arc<Entry>,
}

impl InFlightGuard {
    /// Counts one more.
    pub fn new(entry: &Arc<Entry>) -> Self {
        entry.in_flight.fetch_add(1, Ordering::SeqCst);
        Self { entry: Arc::clone(entry) }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.entry.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}
