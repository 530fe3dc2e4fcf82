//! Ranks by urgency with reserved floors; fair shares by tokens within a rank.
//!
//! Fairness follows the virtual token counter (Sheng et al., "Fairness in Serving Large Language
//! Models", OSDI 2024): the client with the lowest counter of charged tokens, divided by its share,
//! is served next. A client that was idle starts from the lowest counter among the waiting ones, so
//! that it accumulates no credit while idle. The scheme is applied twice: across organisations, then
//! across the callers of one organisation.
//!
//! A rank's floor (the part of the capacity reserved for it) is enforced by a credit in tokens. While
//! the rank has waiting requests, its credit grows by the floor's percentage of all tokens served and
//! shrinks by the rank's own. A rank whose credit covers its next request precedes more urgent ranks.

use std::collections::{BTreeMap, VecDeque};

use crate::queue::{
    AdmissionQueue, ChargeCorrection, QueueSummary, QueuedRequest, RankAtRisk, Refusal,
    UpstreamCapacity,
};

#[derive(Debug, Default)]
struct CallerQueue {
    /// Tokens charged to the caller.
    virtual_tokens: f64,
    requests: VecDeque<QueuedRequest>,
}

#[derive(Debug, Default)]
struct OrganisationQueue {
    /// Tokens charged to the organisation, divided by its share at the time of each charge.
    virtual_tokens: f64,
    share: u64,
    waiting: u64,
    waiting_tokens: u64,
    callers: BTreeMap<String, CallerQueue>,
}

#[derive(Debug, Default)]
struct RankQueue {
    waiting: u64,
    waiting_tokens: u64,
    floor_percent: u64,
    floor_credit_tokens: f64,
    organisations: BTreeMap<String, OrganisationQueue>,
}

/// A queue with ranks, floors and fair shares that refuses requests by their predicted wait.
#[derive(Debug, Default)]
pub struct FairQueue {
    ranks: BTreeMap<u8, RankQueue>,
}

/// Cap on a rank's floor credit, so that credit from a long wait causes no burst.
const MAX_FLOOR_CREDIT_TOKENS: f64 = 8_192.0;
/// Cap on the sum of floors in predictions; floors of 100 % would leave no capacity to divide by.
const MAX_RESERVED_PERCENT: u64 = 95;
/// Number of counters (organisations of a rank, callers of an organisation) above which idle ones
/// are evicted.
const IDLE_EVICTION_THRESHOLD: usize = 1_024;

impl FairQueue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Predicts the tokens served before a new request: all tokens of more urgent ranks and, in its
    /// own rank, what each organisation may use by its share until the request is served. The floors
    /// of less urgent ranks increase the result; the floor of the request's own rank limits it.
    pub fn predict_tokens_ahead(&self, request: &QueuedRequest) -> u64 {
        let urgent: u64 =
            self.ranks.range(..request.urgency).map(|(_, rank)| rank.waiting_tokens).sum();
        let Some(rank) = self.ranks.get(&request.urgency) else {
            return urgent;
        };
        let own = rank.tokens_ahead(request);
        let ahead = (urgent + own) * 100 / self.unreserved_percent(request.urgency);
        // The floor of this rank bounds the tokens of more urgent work served before it.
        match request.floor_percent {
            0 => ahead,
            floor => ahead.min((own + request.cost_tokens) * 100 / floor),
        }
    }

    /// Part of the capacity not reserved by the floors of less urgent ranks with waiting requests.
    fn unreserved_percent(&self, urgency: u8) -> u64 {
        let less_urgent = self.ranks.range(urgency.saturating_add(1)..);
        let floors: u64 = less_urgent
            .filter(|(_, rank)| rank.waiting > 0)
            .map(|(_, rank)| rank.floor_percent)
            .sum();
        100 - floors.min(MAX_RESERVED_PERCENT)
    }

    fn select_rank(&self) -> Option<u8> {
        let by_floor = self.ranks.iter().find(|(_, rank)| {
            rank.waiting > 0
                && rank.floor_percent > 0
                && rank.floor_credit_tokens >= rank.next_cost()
        });
        let by_urgency = self.ranks.iter().find(|(_, rank)| rank.waiting > 0);
        by_floor.or(by_urgency).map(|(urgency, _)| *urgency)
    }

    fn add_floor_credit(&mut self, served_urgency: u8, cost_tokens: u64) {
        for (urgency, rank) in &mut self.ranks {
            if rank.waiting == 0 {
                rank.floor_credit_tokens = 0.0;
                continue;
            }
            rank.floor_credit_tokens += cost_tokens as f64 * rank.floor_percent as f64 / 100.0;
            if *urgency == served_urgency {
                rank.floor_credit_tokens = (rank.floor_credit_tokens - cost_tokens as f64).max(0.0);
            }
            rank.floor_credit_tokens = rank.floor_credit_tokens.min(MAX_FLOOR_CREDIT_TOKENS);
        }
    }
}

impl RankQueue {
    fn tokens_ahead(&self, request: &QueuedRequest) -> u64 {
        let own_organisation = self.organisations.get(&request.organisation);
        let own_tokens = own_organisation.map_or(0, |own| own.tokens_ahead(request));
        let share = request.share.max(1);
        let others: u64 = self
            .organisations
            .iter()
            .filter(|(name, _)| **name != request.organisation)
            .map(|(_, other)| {
                let fair = (own_tokens + request.cost_tokens) * other.share.max(1) / share;
                other.waiting_tokens.min(fair)
            })
            .sum();
        own_tokens + others
    }

    /// The oldest waiting request of each caller.
    fn queue_heads(&self) -> impl Iterator<Item = &QueuedRequest> {
        let callers = self.organisations.values().flat_map(|queue| queue.callers.values());
        callers.filter_map(|caller| caller.requests.front())
    }

    fn next_cost(&self) -> f64 {
        self.peek().map_or(0.0, |request| request.cost_tokens as f64)
    }

    fn select_organisation(&self) -> Option<&str> {
        let waiting = self.organisations.iter().filter(|(_, queue)| queue.waiting > 0);
        let first = waiting.min_by(|a, b| a.1.virtual_tokens.total_cmp(&b.1.virtual_tokens));
        first.map(|(name, _)| name.as_str())
    }

    fn peek(&self) -> Option<&QueuedRequest> {
        let organisation = self.organisations.get(self.select_organisation()?)?;
        let caller = organisation.callers.get(organisation.select_caller()?)?;
        caller.requests.front()
    }

    /// The lowest counter among organisations with waiting requests; the starting value for an
    /// organisation that was idle.
    fn least_counter(&self) -> Option<f64> {
        let waiting = self.organisations.values().filter(|queue| queue.waiting > 0);
        waiting.map(|queue| queue.virtual_tokens).min_by(f64::total_cmp)
    }

    fn push(&mut self, request: QueuedRequest) {
        let least_counter = self.least_counter();
        self.floor_percent = request.floor_percent;
        self.waiting += 1;
        self.waiting_tokens += request.cost_tokens;
        let organisation = self.organisations.entry(request.organisation.clone()).or_default();
        if organisation.waiting == 0
            && let Some(least) = least_counter
        {
            organisation.virtual_tokens = organisation.virtual_tokens.max(least);
        }
        organisation.push(request);
    }

    fn dequeue(&mut self) -> Option<QueuedRequest> {
        let name = self.select_organisation()?.to_owned();
        let organisation = self.organisations.get_mut(&name)?;
        let request = organisation.dequeue()?;
        self.subtract_waiting(&request);
        self.evict_idle();
        Some(request)
    }

    fn subtract_waiting(&mut self, request: &QueuedRequest) {
        self.waiting -= 1;
        self.waiting_tokens -= request.cost_tokens;
    }

    fn evict_idle(&mut self) {
        if self.organisations.len() > IDLE_EVICTION_THRESHOLD {
            self.organisations.retain(|_, queue| queue.waiting > 0);
        }
    }

    fn remove_matching(&mut self, matches: impl Fn(&QueuedRequest) -> bool) -> Vec<QueuedRequest> {
        let mut removed = Vec::new();
        for organisation in self.organisations.values_mut() {
            removed.extend(organisation.remove_matching(&matches));
        }
        for request in &removed {
            self.subtract_waiting(request);
        }
        removed
    }
}

impl OrganisationQueue {
    /// The organisation's own tokens served before a new request, with its callers served evenly.
    fn tokens_ahead(&self, request: &QueuedRequest) -> u64 {
        let own: u64 = self
            .callers
            .get(&request.caller)
            .map_or(0, |caller| caller.requests.iter().map(|queued| queued.cost_tokens).sum());
        let others: u64 = self
            .callers
            .iter()
            .filter(|(name, _)| **name != request.caller)
            .map(|(_, caller)| {
                let waiting: u64 = caller.requests.iter().map(|queued| queued.cost_tokens).sum();
                waiting.min(own + request.cost_tokens)
            })
            .sum();
        own + others
    }

    fn select_caller(&self) -> Option<&str> {
        let waiting = self.callers.iter().filter(|(_, caller)| !caller.requests.is_empty());
        let first = waiting.min_by(|a, b| a.1.virtual_tokens.total_cmp(&b.1.virtual_tokens));
        first.map(|(name, _)| name.as_str())
    }

    fn push(&mut self, request: QueuedRequest) {
        let waiting = self.callers.values().filter(|caller| !caller.requests.is_empty());
        let least_counter = waiting.map(|caller| caller.virtual_tokens).min_by(f64::total_cmp);
        self.share = request.share.max(1);
        self.waiting += 1;
        self.waiting_tokens += request.cost_tokens;
        let caller = self.callers.entry(request.caller.clone()).or_default();
        if caller.requests.is_empty()
            && let Some(least) = least_counter
        {
            caller.virtual_tokens = caller.virtual_tokens.max(least);
        }
        caller.requests.push_back(request);
    }

    fn dequeue(&mut self) -> Option<QueuedRequest> {
        let name = self.select_caller()?.to_owned();
        let caller = self.callers.get_mut(&name)?;
        let request = caller.requests.pop_front()?;
        caller.virtual_tokens += request.cost_tokens as f64;
        self.virtual_tokens += request.cost_tokens as f64 / self.share as f64;
        self.subtract_waiting(&request);
        if self.callers.len() > IDLE_EVICTION_THRESHOLD {
            self.callers.retain(|_, caller| !caller.requests.is_empty());
        }
        Some(request)
    }

    fn subtract_waiting(&mut self, request: &QueuedRequest) {
        self.waiting -= 1;
        self.waiting_tokens -= request.cost_tokens;
    }

    fn remove_matching(&mut self, matches: &impl Fn(&QueuedRequest) -> bool) -> Vec<QueuedRequest> {
        let mut removed = Vec::new();
        for caller in self.callers.values_mut() {
            let (matching, kept) = caller.requests.drain(..).partition::<Vec<_>, _>(matches);
            caller.requests = kept.into();
            removed.extend(matching);
        }
        for request in &removed {
            self.subtract_waiting(request);
        }
        removed
    }
}

impl AdmissionQueue for FairQueue {
    fn try_enqueue(
        &mut self,
        request: QueuedRequest,
        now_ms: u64,
        capacity: UpstreamCapacity,
    ) -> Result<(), Refusal> {
        let tokens_ahead = self.predict_tokens_ahead(&request);
        let predicted_wait_ms = match capacity.free_slots {
            0 => capacity.predict_wait_ms(tokens_ahead + request.cost_tokens),
            _ => capacity.predict_wait_ms(tokens_ahead),
        };
        let waited_ms = now_ms.saturating_sub(request.arrived_at_ms);
        let remaining_ms = request.target_ms.saturating_sub(waited_ms + capacity.first_token_ms);
        let rank_waiting = self.ranks.get(&request.urgency).map_or(0, |rank| rank.waiting);
        if rank_waiting as usize >= request.queue_limit {
            return Err(Refusal::QueueFull { retry_after_ms: predicted_wait_ms });
        }
        if predicted_wait_ms > remaining_ms {
            let retry_after_ms = predicted_wait_ms - remaining_ms;
            return Err(Refusal::TargetMissed { predicted_wait_ms, retry_after_ms });
        }
        self.ranks.entry(request.urgency).or_default().push(request);
        Ok(())
    }

    fn dequeue(&mut self, _now_ms: u64) -> Option<QueuedRequest> {
        let urgency = self.select_rank()?;
        let request = self.ranks.get_mut(&urgency)?.dequeue()?;
        self.add_floor_credit(urgency, request.cost_tokens);
        Some(request)
    }

    fn cancel(&mut self, id: u64) -> bool {
        self.ranks
            .values_mut()
            .any(|rank| !rank.remove_matching(|request| request.id == id).is_empty())
    }

    fn expire(&mut self, now_ms: u64) -> Vec<QueuedRequest> {
        let ranks = self.ranks.values_mut();
        ranks.flat_map(|rank| rank.remove_matching(|request| request.is_expired(now_ms))).collect()
    }

    fn correct_charge(&mut self, correction: &ChargeCorrection) {
        let Some(rank) = self.ranks.get_mut(&correction.urgency) else { return };
        let Some(organisation) = rank.organisations.get_mut(&correction.organisation) else {
            return;
        };
        let delta_tokens = correction.used_tokens as f64 - correction.charged_tokens as f64;
        organisation.virtual_tokens += delta_tokens / correction.share.max(1) as f64;
        if let Some(caller) = organisation.callers.get_mut(&correction.caller) {
            caller.virtual_tokens += delta_tokens;
        }
    }

    fn summary(&self) -> QueueSummary {
        QueueSummary {
            waiting: self.ranks.values().map(|rank| rank.waiting).sum(),
            waiting_tokens: self.ranks.values().map(|rank| rank.waiting_tokens).sum(),
        }
    }

    fn find_rank_at_risk(&self, now_ms: u64, target_percent: u64) -> Option<RankAtRisk> {
        let (urgency, rank) = self.ranks.iter().find(|(_, rank)| rank.waiting > 0)?;
        let oldest = rank.queue_heads().min_by_key(|request| request.arrived_at_ms)?;
        let waited_ms = now_ms.saturating_sub(oldest.arrived_at_ms);
        let limit_ms = oldest.target_ms.saturating_mul(target_percent) / 100;
        let at_risk = RankAtRisk { urgency: *urgency, waiting: rank.waiting };
        (waited_ms >= limit_ms).then_some(at_risk)
    }
}
