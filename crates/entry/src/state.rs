//! State shared by all threads and tasks of an entry.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use hickorycourse_body::BodyBudget;
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

use crate::claims::GuardedCommand;
use crate::drain::{DrainState, RequestKind};
use crate::peers::{ForwardRequest, PendingForwards, PendingJobQueries};
use crate::pool::ServicePool;

/// State shared by all threads and tasks of an entry. Each mutable field has its own lock.
pub struct Entry {
    /// The settings file of this process; does not change at run time.
    pub settings: ProcessSettings,
    /// Memory that callers' request bodies share.
    pub bodies: Arc<BodyBudget>,
    /// Identifies this run of the process; a random number chosen at each start.
    pub incarnation: u64,
    /// Monotonic and wall clock.
    pub clock: Arc<dyn Clock>,
    /// Recorder of the process's metrics.
    pub meter: Meter,
    /// Buffer of finished trace spans until their export.
    pub spans: SpanCollector,
    /// The newest settings documents received, and the settings in force.
    pub replica: RwLock<SettingsReplica>,
    /// Membership and liveness of the other entries.
    pub members: Mutex<MemberTable>,
    /// Upstream pool of each service, by the name of the service.
    pub pools: RwLock<BTreeMap<String, Arc<ServicePool>>>,
    /// Order ids issued by this incarnation.
    pub order_ids: Mutex<OrderIdTable>,
    /// Usage counters of this incarnation.
    pub usage: Mutex<UsageTable>,
    /// Copies of the usage counters of other processes, flushed here if their process ends without
    /// a final flush.
    pub usage_copies: Mutex<HashMap<UsageOwner, UsageTable>>,
    /// Jobs held by this entry and copies of jobs held by other entries.
    pub jobs: Mutex<JobTable>,
    /// Calls forwarded to the entries that issued their order ids, awaiting a response.
    pub pending_forwards: PendingForwards,
    /// Job queries broadcast to peers, awaiting replies.
    pub pending_job_queries: PendingJobQueries,
    /// Notifies callers that their job is accepted; by job id.
    pub job_waiters: Mutex<HashMap<String, oneshot::Sender<()>>>,
    /// Names of the instances known to be leaving.
    pub leaving_instances: Mutex<BTreeSet<String>>,
    /// The phase of the drain and the number of requests in flight.
    pub drain: DrainState,
    /// Number of callers' open connections on which a request has been received.
    pub open_connections: AtomicU64,
    /// Whether the last claim access or settings watch at the platform's key-value service
    /// succeeded.
    pub is_platform_up: AtomicBool,
    /// Passes commands to the claim task.
    pub claim_commands: mpsc::UnboundedSender<GuardedCommand>,
    /// Passes calls forwarded by peers to the task that executes them.
    pub forwarded_calls: mpsc::UnboundedSender<ForwardRequest>,
    mesh: RwLock<Option<Arc<PeerMesh>>>,
    next_number: AtomicU64,
}

/// The process that a set of usage counters belongs to.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct UsageOwner {
    /// Name of the instance.
    pub instance: String,
    /// Incarnation of its process.
    pub incarnation: u64,
}

/// Channels to the tasks of the main thread.
pub struct TaskChannels {
    /// Passes commands to the claim task.
    pub claim_commands: mpsc::UnboundedSender<GuardedCommand>,
    /// Passes calls forwarded by peers to the task that executes them.
    pub forwarded_calls: mpsc::UnboundedSender<ForwardRequest>,
}

impl Entry {
    /// Creates the initial state, without settings documents, members or pools.
    pub fn new(settings: ProcessSettings, meter: Meter, channels: TaskChannels) -> Arc<Self> {
        let clock: Arc<dyn Clock> = Arc::new(SystemClock::new());
        let timing = &settings.timing;
        let members = MemberTable::new(
            &settings.instance,
            &settings.availability_zone,
            timing.peer_timeout_ms,
        );
        Arc::new(Self {
            bodies: BodyBudget::new(settings.limits.buffer_bytes),
            incarnation: rand::random::<u64>() >> 1,
            meter,
            spans: SpanCollector::new(settings.trace_address.is_some()),
            replica: RwLock::default(),
            members: Mutex::new(members),
            pools: RwLock::default(),
            order_ids: Mutex::new(OrderIdTable::new(timing.claim_retention_ms)),
            usage: Mutex::default(),
            usage_copies: Mutex::default(),
            jobs: Mutex::default(),
            pending_forwards: PendingForwards::default(),
            pending_job_queries: PendingJobQueries::default(),
            job_waiters: Mutex::default(),
            leaving_instances: Mutex::default(),
            drain: DrainState::default(),
            open_connections: AtomicU64::new(0),
            is_platform_up: AtomicBool::new(false),
            claim_commands: channels.claim_commands,
            forwarded_calls: channels.forwarded_calls,
            mesh: RwLock::new(None),
            next_number: AtomicU64::new(1),
            clock,
            settings,
        })
    }

    /// Sets the peer mesh after its start; the mesh's handler needs the state to exist first.
    pub fn set_mesh(&self, mesh: Arc<PeerMesh>) {
        *self.mesh.write() = Some(mesh);
    }

    /// The links to other entries; `None` until the mesh has started.
    pub fn mesh(&self) -> Option<Arc<PeerMesh>> {
        self.mesh.read().clone()
    }

    /// The settings in force.
    pub fn snapshot(&self) -> Arc<SettingsSnapshot> {
        self.replica.read().snapshot()
    }

    /// Returns a number that is unique within this incarnation.
    pub fn next_number(&self) -> u64 {
        self.next_number.fetch_add(1, Ordering::Relaxed)
    }

    /// Generates an id for a request, attempt or job that is unique in the fleet.
    pub fn generate_id(&self) -> String {
        format!("{:x}-{:x}", self.incarnation, self.next_number())
    }

    /// The pool of a service; `None` for an unknown service.
    pub fn pool(&self, service: &str) -> Option<Arc<ServicePool>> {
        self.pools.read().get(service).cloned()
    }

    /// Applies documents, broadcasts those with a newer revision than held so far to the peers, and
    /// returns them.
    pub fn apply_documents(&self, documents: &[VersionedDocument]) -> Vec<VersionedDocument> {
        use hickorycourse_membership::ApplyOutcome;
        let mut applied = Vec::new();
        {
            let mut replica = self.replica.write();
            for versioned in documents {
                let name = &versioned.name;
                match replica.apply(name, &versioned.document) {
                    ApplyOutcome::Stale => continue,
                    ApplyOutcome::Applied => {}
                    ApplyOutcome::Unreadable(error) => {
                        log::error!(
                            target: "settings",
                            "Failed to parse settings document {name}: {error}; \
                             keeping the previous revision.",
                        );
                    }
                }
                let revision = versioned.document.revision;
                log::info!(
                    target: "settings",
                    "Received settings document {name} revision {revision}.",
                );
                applied.push(versioned.clone());
            }
        }
        if !applied.is_empty() {
            self.configure_pools();
            self.broadcast_documents(&applied);
        }
        applied
    }

    fn broadcast_documents(&self, documents: &[VersionedDocument]) {
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

    /// Marks instances as leaving; returns the upstreams among them that were not marked before.
    pub fn mark_leaving(&self, instances: &[String]) -> Vec<String> {
        let leaving = {
            let mut leaving = self.leaving_instances.lock();
            leaving.extend(instances.iter().cloned());
            leaving.clone()
        };
        let mut newly_leaving = Vec::new();
        for pool in self.pools.read().values() {
            newly_leaving.extend(pool.set_leaving(|instance| leaving.contains(instance)));
        }
        for instance in &newly_leaving {
            log::info!(
                target: "route",
                "Upstream {instance} is leaving; no new calls are dispatched to it.",
            );
        }
        newly_leaving
    }

    /// Removes the leaving mark from all instances that do not satisfy the predicate.
    pub fn retain_leaving(&self, is_leaving: impl Fn(&str) -> bool) {
        self.leaving_instances.lock().retain(|instance| is_leaving(instance));
        self.mark_leaving(&[]);
    }

    /// Creates the heartbeat that reports this entry's state to its peers.
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
            leaving_instances: self.leaving_instances.lock().iter().cloned().collect(),
        }
    }

    /// Adds the usage of one call to the counters of this incarnation.
    pub fn add_usage(&self, key: &UsageKey, count: &UsageCount) {
        self.usage.lock().add(key, count);
    }

    /// Updates this entry's share of each service's upstream concurrency, then expires and
    /// dispatches waiting requests.
    pub fn tick_pools(&self) {
        let now_ms = self.clock.now_ms();
        for (service, pool) in self.pools.read().iter() {
            let demand = pool.count_demand();
            let share_permille = self.members.lock().share_permille(service, demand, now_ms);
            pool.tick(share_permille);
        }
    }
}

/// Counts a request as in flight until the guard is dropped.
pub struct InFlightGuard {
    entry: Arc<Entry>,
    kind: RequestKind,
}

impl InFlightGuard {
    /// Admits a new request; `None` if the drain refuses it.
    pub fn try_admit(entry: &Arc<Entry>, kind: RequestKind) -> Option<Self> {
        let is_admitted = entry.drain.try_admit(kind, entry.clock.now_ms());
        is_admitted.then(|| Self { entry: Arc::clone(entry), kind })
    }
}

impl Clone for InFlightGuard {
    /// Counts further work of the same request, which the drain waits for too.
    fn clone(&self) -> Self {
        self.entry.drain.extend(self.kind);
        Self { entry: Arc::clone(&self.entry), kind: self.kind }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.entry.drain.end(self.kind);
    }
}
