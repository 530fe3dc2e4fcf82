//! Admission of requests to the upstreams of one service.
//!
//! A pool holds the upstreams of a service and the requests that wait for a concurrency slot at one
//! of them, under one lock. A request that acquires a slot receives a [`Grant`]; dropping the grant
//! releases the slot and dispatches the next waiting request.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

use hickorycourse_admission::{
    AdmissionQueue, ChargeCorrection, FairQueue, FifoQueue, QueueSummary, QueuedRequest,
    ServiceTimeEstimate, UpstreamCapacity,
};
use hickorycourse_clock::Clock;
use hickorycourse_codes::{ErrorCode, Problem};
use hickorycourse_routing::{
    AttemptOutcome, LoadReport, PrefixBlocks, PrefixRouter, RetryBudget, RoundRobinRouter, Router,
    UpstreamStatus, UpstreamTable,
};
use hickorycourse_settings::{AdmissionKind, RouterKind, Site, UpstreamSettings};
use hickorycourse_upstream::{CacheEvents, UpstreamAddress, UpstreamReport};
use parking_lot::Mutex;
use tokio::sync::oneshot;

/// Part of a waiting request's target time that may elapse before preemptible calls are preempted,
/// in percent.
const AT_RISK_PERCENT: u64 = 25;

type GrantSender = oneshot::Sender<Result<Grant, Problem>>;

struct Waiter {
    sender: GrantSender,
    prefix: Arc<PrefixBlocks>,
}

/// A call in flight that waits for a slot after a failed attempt. Retries precede all queued
/// requests.
struct RetryWaiter {
    sender: GrantSender,
    prefix: Arc<PrefixBlocks>,
    excluded: Vec<usize>,
    request: QueuedRequest,
}

/// A call in flight that can be cancelled and resumed later.
struct Preemptible {
    urgency: u8,
    floor_percent: u64,
    sender: oneshot::Sender<()>,
}

struct Inner {
    /// Preemptible calls in flight, by the number of their grant.
    preemptible: BTreeMap<u64, Preemptible>,
    /// Numbers of the grants whose calls have been signalled to stop and still hold their slot.
    preempted: BTreeSet<u64>,
    next_grant_number: u64,
    queue: Box<dyn AdmissionQueue>,
    queue_kind: AdmissionKind,
    router: Box<dyn Router>,
    router_kind: RouterKind,
    upstreams: UpstreamTable,
    waiters: HashMap<u64, Waiter>,
    retry_waiters: VecDeque<RetryWaiter>,
    service_time: ServiceTimeEstimate,
    /// Time from the grant of a slot to the first token; each call is added as one token.
    first_token_time: ServiceTimeEstimate,
    retry_budget: RetryBudget,
    next_request_id: u64,
}

/// The upstreams of one service and the requests that wait for a slot at one of them.
pub struct ServicePool {
    service: String,
    clock: Arc<dyn Clock>,
    inner: Mutex<Inner>,
}

/// Initial estimate of the time that one token of cost occupies a slot, until calls have completed.
const INITIAL_MS_PER_TOKEN: f64 = 5.0;

impl ServicePool {
    /// Creates a pool without upstreams. `own_zone` is the availability zone of this entry.
    pub fn new(service: &str, own_zone: &str, clock: Arc<dyn Clock>) -> Arc<Self> {
        let inner = Inner {
            preemptible: BTreeMap::new(),
            preempted: BTreeSet::new(),
            next_grant_number: 1,
            queue: make_queue(AdmissionKind::default()),
            queue_kind: AdmissionKind::default(),
            router: make_router(RouterKind::default()),
            router_kind: RouterKind::default(),
            upstreams: UpstreamTable::new(own_zone),
            waiters: HashMap::new(),
            retry_waiters: VecDeque::new(),
            service_time: ServiceTimeEstimate::new(INITIAL_MS_PER_TOKEN),
            first_token_time: ServiceTimeEstimate::new(0.0),
            retry_budget: RetryBudget::new(0),
            next_request_id: 1,
        };
        Arc::new(Self { service: service.to_owned(), clock, inner: Mutex::new(inner) })
    }

    /// Applies new settings. If the admission kind changes, waiting requests move to the new queue.
    pub fn configure(self: &Arc<Self>, site: &Site, retry_budget_percent: u64) {
        let mut inner = self.inner.lock();
        let list: Vec<UpstreamSettings> =
            site.upstreams.iter().filter(|u| u.service == self.service).cloned().collect();
        inner.upstreams.set_upstreams(&list);
        inner.retry_budget.set_percent(retry_budget_percent);
        if inner.queue_kind != site.admission {
            inner.replace_queue(site.admission, self.clock.now_ms());
        }
        if inner.router_kind != site.router {
            inner.router = make_router(site.router);
            inner.router_kind = site.router;
        }
        self.dispatch_waiting(&mut inner);
    }

    /// Waits for a slot for a new request. Dropping the future cancels the request.
    ///
    /// # Errors
    /// No upstream is usable, the queue refused the request, or the request expired in the queue.
    pub async fn acquire(
        self: &Arc<Self>,
        mut request: QueuedRequest,
        prefix: &Arc<PrefixBlocks>,
    ) -> Result<Grant, Problem> {
        let (id, receiver) = {
            let mut inner = self.inner.lock();
            let now_ms = self.clock.now_ms();
            if inner.upstreams.count_usable(now_ms) == 0 {
                return Err(Problem::new(ErrorCode::NoUpstream).with_retry_after_s(1));
            }
            let id = inner.next_request_id;
            inner.next_request_id += 1;
            request.id = id;
            let capacity = inner.capacity(now_ms);
            inner.queue.try_enqueue(request, now_ms, capacity).map_err(|r| r.to_problem())?;
            let (sender, receiver) = oneshot::channel();
            inner.waiters.insert(id, Waiter { sender, prefix: Arc::clone(prefix) });
            self.dispatch_waiting(&mut inner);
            (id, receiver)
        };
        let guard = WaitGuard { pool: self, id };
        let result = receiver.await;
        std::mem::forget(guard);
        result.unwrap_or_else(|_| Err(ErrorCode::Internal.into()))
    }

    /// Waits for a slot for a call whose last attempt failed. Upstreams in `excluded` are used only
    /// if no other has a free slot.
    ///
    /// # Errors
    /// No upstream is usable.
    pub async fn acquire_for_retry(
        self: &Arc<Self>,
        request: &QueuedRequest,
        prefix: &Arc<PrefixBlocks>,
        excluded: &[usize],
    ) -> Result<Grant, Problem> {
        let receiver = {
            let mut inner = self.inner.lock();
            let now_ms = self.clock.now_ms();
            if inner.upstreams.count_usable(now_ms) == 0 {
                return Err(Problem::new(ErrorCode::NoUpstream).with_retry_after_s(1));
            }
            let (sender, receiver) = oneshot::channel();
            inner.retry_waiters.push_back(RetryWaiter {
                sender,
                prefix: Arc::clone(prefix),
                excluded: excluded.to_vec(),
                request: request.clone(),
            });
            self.dispatch_waiting(&mut inner);
            receiver
        };
        receiver.await.unwrap_or_else(|_| Err(ErrorCode::Internal.into()))
    }

    /// Waits for a slot for a preempted call, in the queue of its rank, without target, timeout or
    /// queue limit.
    ///
    /// # Errors
    /// No upstream is usable.
    pub async fn acquire_after_preemption(
        self: &Arc<Self>,
        request: &QueuedRequest,
        prefix: &Arc<PrefixBlocks>,
    ) -> Result<Grant, Problem> {
        let mut request = request.clone();
        request.target_ms = u64::MAX;
        request.queue_timeout_ms = u64::MAX;
        request.queue_limit = usize::MAX;
        self.acquire(request, prefix).await
    }

    /// Consumes one retry of the retry budget; false if the budget is exhausted.
    pub fn try_acquire_retry(&self) -> bool {
        self.inner.lock().retry_budget.try_acquire()
    }

    /// Sets this entry's share of each upstream's concurrency in thousandths, expires requests that
    /// exceeded their queue timeout, and dispatches waiting requests.
    pub fn tick(self: &Arc<Self>, share_permille: u64) {
        let mut inner = self.inner.lock();
        let now_ms = self.clock.now_ms();
        inner.upstreams.set_share_permille(share_permille);
        if inner.waiters.is_empty() && inner.retry_waiters.is_empty() {
            return;
        }
        for request in inner.queue.expire(now_ms) {
            if let Some(waiter) = inner.waiters.remove(&request.id) {
                let problem = Problem::new(ErrorCode::WaitedTooLong).with_retry_after_s(1);
                let _ = waiter.sender.send(Err(problem));
            }
        }
        if inner.upstreams.count_usable(now_ms) == 0 {
            inner.refuse_retries();
        }
        self.dispatch_waiting(&mut inner);
    }

    /// Sets which upstreams are leaving; returns those that were not marked before.
    pub fn set_leaving(self: &Arc<Self>, is_leaving: impl Fn(&str) -> bool) -> Vec<String> {
        let mut inner = self.inner.lock();
        let newly_leaving = inner.upstreams.set_leaving(is_leaving);
        self.dispatch_waiting(&mut inner);
        newly_leaving
    }

    /// Records an upstream's report on load and cache. `cursor` is the number that follows the last
    /// cache event received from the upstream; 0 if none has been received.
    pub fn record_report(&self, instance: &str, report: &UpstreamReport, cursor: u64) {
        let mut inner = self.inner.lock();
        let now_ms = self.clock.now_ms();
        let load =
            LoadReport { running: report.running, waiting: report.waiting, age_ms: report.age_ms };
        inner.upstreams.record_load_report(instance, load, now_ms);
        let CacheEvents { first, stored, removed, .. } = &report.cache;
        let has_gap = cursor > 0 && *first > cursor;
        inner.upstreams.record_cache_events(instance, stored, removed, has_gap);
    }

    /// Returns the status of all upstreams.
    pub fn list_upstreams(&self) -> Vec<UpstreamStatus> {
        self.inner.lock().upstreams.list_status(self.clock.now_ms())
    }

    /// Length of the queue, for operators.
    pub fn queue_summary(&self) -> QueueSummary {
        self.inner.lock().queue.summary()
    }

    /// Number of this entry's calls in flight and waiting. The upstreams' concurrency is divided
    /// among the entries according to this demand.
    pub fn count_demand(&self) -> u64 {
        let inner = self.inner.lock();
        let waiting = inner.queue.summary().waiting + inner.retry_waiters.len() as u64;
        inner.upstreams.count_own_in_flight() + waiting
    }

    fn cancel(&self, id: u64) {
        let mut inner = self.inner.lock();
        inner.queue.cancel(id);
        inner.waiters.remove(&id);
    }

    /// Grants free slots to waiting calls, retries first; then preempts calls for a rank at risk.
    fn dispatch_waiting(self: &Arc<Self>, inner: &mut Inner) {
        let now_ms = self.clock.now_ms();
        while self.grant_retry(inner, now_ms) {}
        while inner.upstreams.count_free_slots(now_ms) > 0 {
            let Some(request) = inner.queue.dequeue(now_ms) else { return };
            let Some(waiter) = inner.waiters.remove(&request.id) else { continue };
            let Inner { upstreams, router, .. } = inner;
            let Some(index) = upstreams.acquire_slot(router.as_mut(), &waiter.prefix, &[], now_ms)
            else {
                return;
            };
            self.send_grant(inner, waiter.sender, request, index, now_ms);
        }
        inner.preempt_for_rank_at_risk(now_ms);
    }

    fn grant_retry(self: &Arc<Self>, inner: &mut Inner, now_ms: u64) -> bool {
        let Some(waiter) = inner.retry_waiters.front() else { return false };
        let Inner { upstreams, router, .. } = inner;
        let Some(index) =
            upstreams.acquire_slot(router.as_mut(), &waiter.prefix, &waiter.excluded, now_ms)
        else {
            return false;
        };
        let Some(waiter) = inner.retry_waiters.pop_front() else { return false };
        self.send_grant(inner, waiter.sender, waiter.request, index, now_ms);
        true
    }

    fn send_grant(
        self: &Arc<Self>,
        inner: &mut Inner,
        sender: GrantSender,
        request: QueuedRequest,
        index: usize,
        now_ms: u64,
    ) {
        let settings = inner.upstreams.settings(index);
        let upstream = UpstreamAddress {
            address: settings.address,
            generation: inner.upstreams.connection_generation(index),
        };
        let number = inner.next_grant_number;
        inner.next_grant_number += 1;
        let grant = Grant {
            number,
            pool: Arc::clone(self),
            instance: settings.instance.clone(),
            upstream,
            index,
            used_tokens: request.cost_tokens,
            request,
            granted_at_ms: now_ms,
            outcome: AttemptOutcome::Cancelled,
            is_released: false,
        };
        if let Err(Ok(mut grant)) = sender.send(Ok(grant)) {
            // The receiver has been dropped. The lock is held, so the slot is released here instead
            // of in the destructor of the grant.
            grant.is_released = true;
            inner.upstreams.release_slot(index, AttemptOutcome::Cancelled, now_ms);
        }
    }

    fn release(self: &Arc<Self>, grant: &Grant) {
        let mut inner = self.inner.lock();
        let now_ms = self.clock.now_ms();
        inner.upstreams.release_slot(grant.index, grant.outcome, now_ms);
        inner.preemptible.remove(&grant.number);
        inner.preempted.remove(&grant.number);
        if grant.outcome == AttemptOutcome::Answered {
            let held_ms = now_ms.saturating_sub(grant.granted_at_ms);
            inner.service_time.add_sample(held_ms, grant.request.cost_tokens);
            inner.retry_budget.record_success();
        }
        inner.queue.correct_charge(&ChargeCorrection {
            organisation: grant.request.organisation.clone(),
            caller: grant.request.caller.clone(),
            urgency: grant.request.urgency,
            share: grant.request.share,
            charged_tokens: grant.request.cost_tokens,
            used_tokens: grant.used_tokens,
        });
        self.dispatch_waiting(&mut inner);
    }
}

impl Inner {
    fn capacity(&self, now_ms: u64) -> UpstreamCapacity {
        let waiting = self.queue.summary().waiting + self.retry_waiters.len() as u64;
        UpstreamCapacity {
            slots: self.upstreams.count_slots(now_ms),
            free_slots: self.upstreams.count_free_slots(now_ms).saturating_sub(waiting),
            ms_per_token: self.service_time.ms_per_token(),
            first_token_ms: self.first_token_time.ms_per_token() as u64,
        }
    }

    /// Preempts calls when a more urgent rank (priority class) is about to miss its target: the
    /// least urgent call first, among equals the one granted last. No rank is preempted below its
    /// floor.
    fn preempt_for_rank_at_risk(&mut self, now_ms: u64) {
        let Some(at_risk) = self.queue.find_rank_at_risk(now_ms, AT_RISK_PERCENT) else { return };
        let slots = self.upstreams.count_slots(now_ms);
        while (self.preempted.len() as u64) < at_risk.waiting {
            let Some(number) = self.choose_victim(at_risk.urgency, slots) else { return };
            let Some(victim) = self.preemptible.remove(&number) else { return };
            self.preempted.insert(number);
            let _ = victim.sender.send(());
            metrics::counter!("hickorycourse_preempted_total").increment(1);
        }
    }

    fn choose_victim(&self, urgency: u8, slots: u64) -> Option<u64> {
        let running =
            |rank: u8| self.preemptible.values().filter(|call| call.urgency == rank).count() as u64;
        let less_urgent = self.preemptible.iter().filter(|(_, call)| call.urgency > urgency);
        let above_floor = less_urgent
            .filter(|(_, call)| running(call.urgency) * 100 > slots * call.floor_percent);
        above_floor.max_by_key(|(number, call)| (call.urgency, **number)).map(|(number, _)| *number)
    }

    /// Moves all queued requests to a queue of another kind. A request that the new queue refuses
    /// fails with that refusal.
    fn replace_queue(&mut self, kind: AdmissionKind, now_ms: u64) {
        let mut next = make_queue(kind);
        let capacity = UpstreamCapacity {
            slots: 1,
            free_slots: u64::MAX,
            ms_per_token: 0.0,
            first_token_ms: 0,
        };
        while let Some(request) = self.queue.dequeue(now_ms) {
            let id = request.id;
            if let Err(refusal) = next.try_enqueue(request, now_ms, capacity)
                && let Some(waiter) = self.waiters.remove(&id)
            {
                let _ = waiter.sender.send(Err(refusal.to_problem()));
            }
        }
        self.queue = next;
        self.queue_kind = kind;
    }

    fn refuse_retries(&mut self) {
        for waiter in self.retry_waiters.drain(..) {
            let problem = Problem::new(ErrorCode::NoUpstream).with_retry_after_s(1);
            let _ = waiter.sender.send(Err(problem));
        }
    }
}

fn make_queue(kind: AdmissionKind) -> Box<dyn AdmissionQueue> {
    match kind {
        AdmissionKind::Fair => Box::new(FairQueue::new()),
        AdmissionKind::FirstInFirstOut => Box::new(FifoQueue::new()),
    }
}

fn make_router(kind: RouterKind) -> Box<dyn Router> {
    match kind {
        RouterKind::PrefixAware => Box::new(PrefixRouter::new()),
        RouterKind::RoundRobin => Box::new(RoundRobinRouter::new()),
    }
}

/// Removes a request from the queue when its caller disconnects.
struct WaitGuard<'a> {
    pool: &'a Arc<ServicePool>,
    id: u64,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.pool.cancel(self.id);
    }
}

/// A concurrency slot at an upstream. Dropping it releases the slot.
pub struct Grant {
    number: u64,
    pool: Arc<ServicePool>,
    /// Name of the upstream.
    pub instance: String,
    /// Address of the upstream, and the generation of connections that may be reused.
    pub upstream: UpstreamAddress,
    /// Index of the upstream in the pool's table.
    pub index: usize,
    /// The request that the slot was granted to.
    pub request: QueuedRequest,
    /// Tokens that the call used, to correct its charge; the estimated cost until it is set.
    pub used_tokens: u64,
    granted_at_ms: u64,
    outcome: AttemptOutcome,
    is_released: bool,
}

impl Grant {
    /// Marks the call as preemptible. The receiver is signalled when the call has to stop and
    /// release its slot.
    pub fn allow_preemption(&self) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        let call = Preemptible {
            urgency: self.request.urgency,
            floor_percent: self.request.floor_percent,
            sender,
        };
        self.pool.inner.lock().preemptible.insert(self.number, call);
        receiver
    }

    /// Records the arrival of the first token, for the estimate of the time to the first token.
    pub fn record_first_token(&self) {
        let mut inner = self.pool.inner.lock();
        let waited_ms = self.pool.clock.now_ms().saturating_sub(self.granted_at_ms);
        inner.first_token_time.add_sample(waited_ms, 1);
    }

    /// Ends the attempt with a complete response and releases the slot.
    pub fn finish(mut self) {
        self.outcome = AttemptOutcome::Answered;
    }

    /// Ends the attempt with a failure of the upstream and releases the slot. After a timeout,
    /// pooled connections to the upstream are not reused.
    pub fn fail(mut self, was_timeout: bool) {
        self.outcome = AttemptOutcome::Failed;
        if was_timeout {
            self.pool.inner.lock().upstreams.invalidate_connections(self.index);
        }
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        if !self.is_released {
            self.is_released = true;
            let pool = Arc::clone(&self.pool);
            pool.release(self);
        }
    }
}
