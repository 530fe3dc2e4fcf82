//! The upstreams of one service and the requests that wait for them.
//!
//! A pool is one shard of the entry's state, under one lock. A request asks for a place and waits
//! for its [`Grant`]; dropping the grant gives the place back and lets the next one in.

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

/// Part of a target that may pass before calls that can wait are preempted, in percent.
const AT_RISK_PERCENT: u64 = 25;

type GrantSender = oneshot::Sender<Result<Grant, Problem>>;

struct Waiter {
    sender: GrantSender,
    prefix: Arc<PrefixBlocks>,
}

/// A call in flight whose upstream failed; it goes before all that have not started.
struct Resume {
    sender: GrantSender,
    prefix: Arc<PrefixBlocks>,
    excluded: Vec<usize>,
    ticket: QueuedRequest,
}

/// A call in flight that can go on later.
struct Preemptible {
    urgency: u8,
    floor_percent: u64,
    sender: oneshot::Sender<()>,
}

struct Inner {
    /// Calls in flight that can go on later, by the number of their grant.
    preemptible: BTreeMap<u64, Preemptible>,
    /// Calls that were told to make room and have not yet.
    preempted: BTreeSet<u64>,
    next_grant: u64,
    queue: Box<dyn AdmissionQueue>,
    queue_kind: AdmissionKind,
    router: Box<dyn Router>,
    router_kind: RouterKind,
    book: UpstreamTable,
    waiters: HashMap<u64, Waiter>,
    resumes: VecDeque<Resume>,
    service_time: ServiceTimeEstimate,
    /// From getting a place to the first token; one call counts as one token.
    first_token_time: ServiceTimeEstimate,
    retry_budget: RetryBudget,
    next_ticket: u64,
}

/// The upstreams of one service and the requests that wait for them.
pub struct ServicePool {
    service: String,
    clock: Arc<dyn Clock>,
    inner: Mutex<Inner>,
}

/// Guess of the time that a token of cost holds a place, until calls have been measured.
const FIRST_MS_PER_TOKEN: f64 = 5.0;

impl ServicePool {
    /// Creates a pool without upstreams.
    pub fn new(service: &str, own_zone: &str, clock: Arc<dyn Clock>) -> Arc<Self> {
        let inner = Inner {
            preemptible: BTreeMap::new(),
            preempted: BTreeSet::new(),
            next_grant: 1,
            queue: make_queue(AdmissionKind::default()),
            queue_kind: AdmissionKind::default(),
            router: make_router(RouterKind::default()),
            router_kind: RouterKind::default(),
            book: UpstreamTable::new(own_zone),
            waiters: HashMap::new(),
            resumes: VecDeque::new(),
            service_time: ServiceTimeEstimate::new(FIRST_MS_PER_TOKEN),
            first_token_time: ServiceTimeEstimate::new(0.0),
            retry_budget: RetryBudget::new(0),
            next_ticket: 1,
        };
        Arc::new(Self { service: service.to_owned(), clock, inner: Mutex::new(inner) })
    }

    /// Takes over new settings.
    pub fn configure(self: &Arc<Self>, site: &Site, retry_budget_percent: u64) {
        let mut inner = self.inner.lock();
        let list: Vec<UpstreamSettings> =
            site.upstreams.iter().filter(|u| u.service == self.service).cloned().collect();
        inner.book.set_upstreams(&list);
        inner.retry_budget.set_percent(retry_budget_percent);
        if inner.queue_kind != site.admission {
            inner.replace_queue(site.admission, self.clock.now_ms());
        }
        if inner.router_kind != site.router {
            inner.router = make_router(site.router);
            inner.router_kind = site.router;
        }
        self.pump(&mut inner);
    }

    /// Waits for a place for a new request.
    ///
    /// # Errors
    /// The refusal that the caller gets.
    pub async fn acquire(
        self: &Arc<Self>,
        mut ticket: QueuedRequest,
        prefix: &Arc<PrefixBlocks>,
    ) -> Result<Grant, Problem> {
        let (id, receiver) = {
            let mut inner = self.inner.lock();
            let now_ms = self.clock.now_ms();
            if inner.book.count_usable(now_ms) == 0 {
                return Err(Problem::new(ErrorCode::NoUpstream).with_retry_after_s(1));
            }
            let id = inner.next_ticket;
            inner.next_ticket += 1;
            ticket.id = id;
            let supply = inner.supply(now_ms);
            inner.queue.try_enqueue(ticket, now_ms, supply).map_err(|r| r.to_problem())?;
            let (sender, receiver) = oneshot::channel();
            inner.waiters.insert(id, Waiter { sender, prefix: Arc::clone(prefix) });
            self.pump(&mut inner);
            (id, receiver)
        };
        let guard = WaitGuard { pool: self, id };
        let result = receiver.await;
        std::mem::forget(guard);
        result.unwrap_or_else(|_| Err(ErrorCode::Internal.into()))
    }

    /// Waits for a place for a call whose upstream failed.
    ///
    /// # Errors
    /// The refusal that the caller gets.
    pub async fn acquire_again(
        self: &Arc<Self>,
        ticket: &QueuedRequest,
        prefix: &Arc<PrefixBlocks>,
        excluded: &[usize],
    ) -> Result<Grant, Problem> {
        let receiver = {
            let mut inner = self.inner.lock();
            let now_ms = self.clock.now_ms();
            if inner.book.count_usable(now_ms) == 0 {
                return Err(Problem::new(ErrorCode::NoUpstream).with_retry_after_s(1));
            }
            let (sender, receiver) = oneshot::channel();
            inner.resumes.push_back(Resume {
                sender,
                prefix: Arc::clone(prefix),
                excluded: excluded.to_vec(),
                ticket: ticket.clone(),
            });
            self.pump(&mut inner);
            receiver
        };
        receiver.await.unwrap_or_else(|_| Err(ErrorCode::Internal.into()))
    }

    /// Waits for a place for a call that was preempted. It waits with the others of its rank and
    /// is not refused.
    ///
    /// # Errors
    /// No upstream is left.
    pub async fn acquire_preempted(
        self: &Arc<Self>,
        ticket: &QueuedRequest,
        prefix: &Arc<PrefixBlocks>,
    ) -> Result<Grant, Problem> {
        let mut ticket = ticket.clone();
        ticket.target_ms = u64::MAX;
        ticket.queue_timeout_ms = u64::MAX;
        ticket.queue_limit = usize::MAX;
        self.acquire(ticket, prefix).await
    }

    /// Takes one retry from the budget.
    pub fn try_take_retry(&self) -> bool {
        self.inner.lock().retry_budget.try_acquire()
    }

    /// Drops what has waited too long, lets in what can go.
    pub fn tick(self: &Arc<Self>, share_permille: u64) {
        let mut inner = self.inner.lock();
        let now_ms = self.clock.now_ms();
        inner.book.set_share_permille(share_permille);
        if inner.waiters.is_empty() && inner.resumes.is_empty() {
            return;
        }
        for ticket in inner.queue.expire(now_ms) {
            if let Some(waiter) = inner.waiters.remove(&ticket.id) {
                let problem = Problem::new(ErrorCode::WaitedTooLong).with_retry_after_s(1);
                let _ = waiter.sender.send(Err(problem));
            }
        }
        if inner.book.count_usable(now_ms) == 0 {
            inner.refuse_resumes();
        }
        self.pump(&mut inner);
    }

    /// Marks upstreams that leave; returns those that started to.
    pub fn set_leaving(self: &Arc<Self>, is_leaving: impl Fn(&str) -> bool) -> Vec<String> {
        let mut inner = self.inner.lock();
        let started = inner.book.set_leaving(is_leaving);
        self.pump(&mut inner);
        started
    }

    /// Takes an upstream's report. `seen_events` is the number after the last cache event seen.
    pub fn take_report(&self, instance: &str, report: &UpstreamReport, seen_events: u64) {
        let mut inner = self.inner.lock();
        let now_ms = self.clock.now_ms();
        let load =
            LoadReport { running: report.running, waiting: report.waiting, age_ms: report.age_ms };
        inner.book.record_load_report(instance, load, now_ms);
        let CacheEvents { first, stored, removed, .. } = &report.cache;
        let has_gap = seen_events > 0 && *first > seen_events;
        inner.book.record_cache_events(instance, stored, removed, has_gap);
    }

    /// The upstreams as operators see them.
    pub fn list_upstreams(&self) -> Vec<UpstreamStatus> {
        self.inner.lock().book.list_status(self.clock.now_ms())
    }

    /// The queue as operators see it.
    pub fn summary(&self) -> QueueSummary {
        self.inner.lock().queue.summary()
    }

    /// Calls in flight and waiting, for the split of limits.
    pub fn count_demand(&self) -> u64 {
        let inner = self.inner.lock();
        let waiting = inner.queue.summary().waiting + inner.resumes.len() as u64;
        inner.book.count_own_in_flight() + waiting
    }

    fn cancel(&self, id: u64) {
        let mut inner = self.inner.lock();
        inner.queue.cancel(id);
        inner.waiters.remove(&id);
    }

    fn pump(self: &Arc<Self>, inner: &mut Inner) {
        let now_ms = self.clock.now_ms();
        while self.grant_resume(inner, now_ms) {}
        while inner.book.count_free_slots(now_ms) > 0 {
            let Some(ticket) = inner.queue.dequeue(now_ms) else { return };
            let Some(waiter) = inner.waiters.remove(&ticket.id) else { continue };
            let Inner { book, router, .. } = inner;
            let Some(index) = book.acquire_slot(router.as_mut(), &waiter.prefix, &[], now_ms)
            else {
                return;
            };
            self.send_grant(inner, waiter.sender, ticket, index, now_ms);
        }
        inner.preempt_for_rank_at_risk(now_ms);
    }

    fn grant_resume(self: &Arc<Self>, inner: &mut Inner, now_ms: u64) -> bool {
        let Some(resume) = inner.resumes.front() else { return false };
        let Inner { book, router, .. } = inner;
        let Some(index) =
            book.acquire_slot(router.as_mut(), &resume.prefix, &resume.excluded, now_ms)
        else {
            return false;
        };
        let Some(resume) = inner.resumes.pop_front() else { return false };
        self.send_grant(inner, resume.sender, resume.ticket, index, now_ms);
        true
    }

    fn send_grant(
        self: &Arc<Self>,
        inner: &mut Inner,
        sender: GrantSender,
        ticket: QueuedRequest,
        index: usize,
        now_ms: u64,
    ) {
        let settings = inner.book.settings(index);
        let upstream = UpstreamAddress {
            address: settings.address,
            generation: inner.book.connection_generation(index),
        };
        let number = inner.next_grant;
        inner.next_grant += 1;
        let grant = Grant {
            number,
            pool: Arc::clone(self),
            instance: settings.instance.clone(),
            upstream,
            index,
            used_tokens: ticket.cost_tokens,
            ticket,
            granted_at_ms: now_ms,
            outcome: AttemptOutcome::Cancelled,
            is_returned: false,
        };
        if let Err(Ok(mut grant)) = sender.send(Ok(grant)) {
            // The one who waited has gone. The lock is held, so the place is given back here.
            grant.is_returned = true;
            inner.book.release_slot(index, AttemptOutcome::Cancelled, now_ms);
        }
    }

    fn give_back(self: &Arc<Self>, grant: &Grant) {
        let mut inner = self.inner.lock();
        let now_ms = self.clock.now_ms();
        inner.book.release_slot(grant.index, grant.outcome, now_ms);
        inner.preemptible.remove(&grant.number);
        inner.preempted.remove(&grant.number);
        if grant.outcome == AttemptOutcome::Answered {
            let held_ms = now_ms.saturating_sub(grant.granted_at_ms);
            inner.service_time.add_sample(held_ms, grant.ticket.cost_tokens);
            inner.retry_budget.record_success();
        }
        inner.queue.correct_charge(&ChargeCorrection {
            organisation: grant.ticket.organisation.clone(),
            caller: grant.ticket.caller.clone(),
            urgency: grant.ticket.urgency,
            share: grant.ticket.share,
            charged_tokens: grant.ticket.cost_tokens,
            used_tokens: grant.used_tokens,
        });
        self.pump(&mut inner);
    }
}

impl Inner {
    fn supply(&self, now_ms: u64) -> UpstreamCapacity {
        let waiting = self.queue.summary().waiting + self.resumes.len() as u64;
        UpstreamCapacity {
            slots: self.book.count_slots(now_ms),
            free_slots: self.book.count_free_slots(now_ms).saturating_sub(waiting),
            ms_per_token: self.service_time.ms_per_token(),
            first_token_ms: self.first_token_time.ms_per_token() as u64,
        }
    }

    /// Preempts calls that can wait when a more urgent rank is about to miss its target: the
    /// least urgent first, of those the one that started last. A rank keeps its floor.
    fn preempt_for_rank_at_risk(&mut self, now_ms: u64) {
        let Some(at_risk) = self.queue.find_rank_at_risk(now_ms, AT_RISK_PERCENT) else { return };
        let slots = self.book.count_slots(now_ms);
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
        let candidates = self.preemptible.iter().filter(|(_, call)| call.urgency > urgency);
        let above_floor =
            candidates.filter(|(_, call)| running(call.urgency) * 100 > slots * call.floor_percent);
        above_floor.max_by_key(|(number, call)| (call.urgency, **number)).map(|(number, _)| *number)
    }

    /// Moves all that wait into a queue of another kind.
    fn replace_queue(&mut self, kind: AdmissionKind, now_ms: u64) {
        let mut next = make_queue(kind);
        let supply = UpstreamCapacity {
            slots: 1,
            free_slots: u64::MAX,
            ms_per_token: 0.0,
            first_token_ms: 0,
        };
        while let Some(ticket) = self.queue.dequeue(now_ms) {
            let id = ticket.id;
            if let Err(refusal) = next.try_enqueue(ticket, now_ms, supply)
                && let Some(waiter) = self.waiters.remove(&id)
            {
                let _ = waiter.sender.send(Err(refusal.to_problem()));
            }
        }
        self.queue = next;
        self.queue_kind = kind;
    }

    fn refuse_resumes(&mut self) {
        for resume in self.resumes.drain(..) {
            let problem = Problem::new(ErrorCode::NoUpstream).with_retry_after_s(1);
            let _ = resume.sender.send(Err(problem));
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

/// Takes a request out of the queue when its caller goes away.
struct WaitGuard<'a> {
    pool: &'a Arc<ServicePool>,
    id: u64,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.pool.cancel(self.id);
    }
}

/// A place at an upstream. Dropping it gives the place back.
pub struct Grant {
    number: u64,
    pool: Arc<ServicePool>,
    /// The upstream's name.
    pub instance: String,
    /// Where it is.
    pub upstream: UpstreamAddress,
    /// Its place in the book.
    pub index: usize,
    /// The ticket that was granted.
    pub ticket: QueuedRequest,
    /// Tokens used, to correct the charge.
    pub used_tokens: u64,
    granted_at_ms: u64,
    outcome: AttemptOutcome,
    is_returned: bool,
}

impl Grant {
    /// Declares that the call can go on later. The receiver gets a message when it is to make room.
    pub fn allow_preemption(&self) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        let call = Preemptible {
            urgency: self.ticket.urgency,
            floor_percent: self.ticket.floor_percent,
            sender,
        };
        self.pool.inner.lock().preemptible.insert(self.number, call);
        receiver
    }

    /// The first token has come.
    pub fn note_first_token(&self) {
        let mut inner = self.pool.inner.lock();
        let waited_ms = self.pool.clock.now_ms().saturating_sub(self.granted_at_ms);
        inner.first_token_time.add_sample(waited_ms, 1);
    }

    /// Ends the attempt with a whole answer.
    pub fn finish(mut self) {
        self.outcome = AttemptOutcome::Answered;
    }

    /// Ends the attempt with a failure of the upstream. After a silent one, no pooled connection to
    /// it is used again.
    pub fn fail(mut self, was_silent: bool) {
        self.outcome = AttemptOutcome::Failed;
        if was_silent {
            self.pool.inner.lock().book.invalidate_connections(self.index);
        }
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        if !self.is_returned {
            self.is_returned = true;
            let pool = Arc::clone(&self.pool);
            pool.give_back(self);
        }
    }
}
