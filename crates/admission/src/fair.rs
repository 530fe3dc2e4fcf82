//! Ranks by urgency above floors; inside a rank, fair shares by tokens.
//!
//! Fairness is that of the virtual token counter (Sheng et al., "Fairness in Serving Large Language
//! Models", OSDI 2024): whoever has been charged the fewest tokens, divided by its share, goes next;
//! one that comes back after a pause starts from the least counter of those that wait, so that a
//! pause saves up nothing. It is applied twice: across organisations, then across the callers of
//! one.
//!
//! A rank's floor is a credit: of every token served while the rank waits, the floor's part is
//! added; a rank whose credit covers its next request goes before more urgent ones.

use std::collections::{BTreeMap, VecDeque};

use crate::queue::{AdmissionQueue, QueueSummary, RankAtRisk, Refusal, Settlement, Supply, Ticket};

#[derive(Debug, Default)]
struct CallerQueue {
    charged: f64,
    tickets: VecDeque<Ticket>,
}

#[derive(Debug, Default)]
struct OrganisationQueue {
    charged: f64,
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
    floor_credit: f64,
    organisations: BTreeMap<String, OrganisationQueue>,
}

/// Ranks with floors, fair shares, refusals by predicted wait.
#[derive(Debug, Default)]
pub struct FairQueue {
    ranks: BTreeMap<u8, RankQueue>,
}

/// A rank saves up at most this many tokens of floor, so that an old credit is no burst.
const FLOOR_CREDIT_MOST_TOKENS: f64 = 8_192.0;
/// Floors that add up to all of the capacity would leave nothing to predict with.
const PERCENT_KEPT_BY_FLOORS_MOST: u64 = 95;
/// Organisations that don't wait are forgotten above this many.
const IDLE_ORGANISATIONS_MOST: usize = 1_024;

impl FairQueue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Predicts the tokens that are served before a new ticket: all of more urgent ranks, and of its
    /// own rank what each organisation may take by its share until the ticket's own turn comes.
    pub fn predict_tokens_ahead(&self, ticket: &Ticket) -> u64 {
        let urgent: u64 =
            self.ranks.range(..ticket.urgency).map(|(_, rank)| rank.waiting_tokens).sum();
        let Some(rank) = self.ranks.get(&ticket.urgency) else {
            return urgent;
        };
        // The floor of this rank bounds what more urgent work can take before it.
        let own = rank.tokens_ahead(ticket);
        let ahead = (urgent + own) * 100 / self.percent_left_by_floors(ticket.urgency);
        match ticket.floor_percent {
            0 => ahead,
            floor => ahead.min((own + ticket.cost_tokens) * 100 / floor),
        }
    }

    /// Part of the capacity that less urgent ranks leave by their floors while they wait.
    fn percent_left_by_floors(&self, urgency: u8) -> u64 {
        let less_urgent = self.ranks.range(urgency.saturating_add(1)..);
        let floors: u64 = less_urgent
            .filter(|(_, rank)| rank.waiting > 0)
            .map(|(_, rank)| rank.floor_percent)
            .sum();
        100 - floors.min(PERCENT_KEPT_BY_FLOORS_MOST)
    }

    fn choose_rank(&self) -> Option<u8> {
        let by_floor = self.ranks.iter().find(|(_, rank)| {
            rank.waiting > 0 && rank.floor_percent > 0 && rank.floor_credit >= rank.next_cost()
        });
        let by_urgency = self.ranks.iter().find(|(_, rank)| rank.waiting > 0);
        by_floor.or(by_urgency).map(|(urgency, _)| *urgency)
    }

    fn add_floor_credit(&mut self, served: u8, cost_tokens: u64) {
        for (urgency, rank) in &mut self.ranks {
            if rank.waiting == 0 {
                rank.floor_credit = 0.0;
                continue;
            }
            rank.floor_credit += cost_tokens as f64 * rank.floor_percent as f64 / 100.0;
            if *urgency == served {
                rank.floor_credit = (rank.floor_credit - cost_tokens as f64).max(0.0);
            }
            rank.floor_credit = rank.floor_credit.min(FLOOR_CREDIT_MOST_TOKENS);
        }
    }
}

impl RankQueue {
    fn tokens_ahead(&self, ticket: &Ticket) -> u64 {
        let own_organisation = self.organisations.get(&ticket.organisation);
        let own_waiting = own_organisation.map_or(0, |own| own.tokens_ahead(ticket));
        let share = ticket.share.max(1);
        let others: u64 = self
            .organisations
            .iter()
            .filter(|(name, _)| **name != ticket.organisation)
            .map(|(_, other)| {
                let fair = (own_waiting + ticket.cost_tokens) * other.share.max(1) / share;
                other.waiting_tokens.min(fair)
            })
            .sum();
        own_waiting + others
    }

    /// The request of each caller that waits longest.
    fn list_first(&self) -> impl Iterator<Item = &Ticket> {
        let callers = self.organisations.values().flat_map(|queue| queue.callers.values());
        callers.filter_map(|caller| caller.tickets.front())
    }

    fn next_cost(&self) -> f64 {
        self.peek().map_or(0.0, |ticket| ticket.cost_tokens as f64)
    }

    fn choose_organisation(&self) -> Option<&str> {
        let waiting = self.organisations.iter().filter(|(_, queue)| queue.waiting > 0);
        let first = waiting.min_by(|a, b| a.1.charged.total_cmp(&b.1.charged));
        first.map(|(name, _)| name.as_str())
    }

    fn peek(&self) -> Option<&Ticket> {
        let organisation = self.organisations.get(self.choose_organisation()?)?;
        let caller = organisation.callers.get(organisation.choose_caller()?)?;
        caller.tickets.front()
    }

    /// The least charge among those that wait, for one that comes back after a pause.
    fn least_charge(&self) -> Option<f64> {
        let waiting = self.organisations.values().filter(|queue| queue.waiting > 0);
        waiting.map(|queue| queue.charged).min_by(f64::total_cmp)
    }

    fn push(&mut self, ticket: Ticket) {
        let least_charge = self.least_charge();
        self.floor_percent = ticket.floor_percent;
        self.waiting += 1;
        self.waiting_tokens += ticket.cost_tokens;
        let organisation = self.organisations.entry(ticket.organisation.clone()).or_default();
        if organisation.waiting == 0
            && let Some(least) = least_charge
        {
            organisation.charged = organisation.charged.max(least);
        }
        organisation.push(ticket);
    }

    fn take(&mut self) -> Option<Ticket> {
        let name = self.choose_organisation()?.to_owned();
        let organisation = self.organisations.get_mut(&name)?;
        let ticket = organisation.take()?;
        self.forget(&ticket);
        self.drop_idle();
        Some(ticket)
    }

    fn forget(&mut self, ticket: &Ticket) {
        self.waiting -= 1;
        self.waiting_tokens -= ticket.cost_tokens;
    }

    fn drop_idle(&mut self) {
        if self.organisations.len() > IDLE_ORGANISATIONS_MOST {
            self.organisations.retain(|_, queue| queue.waiting > 0);
        }
    }

    fn remove_where(&mut self, matches: impl Fn(&Ticket) -> bool) -> Vec<Ticket> {
        let mut removed = Vec::new();
        for organisation in self.organisations.values_mut() {
            removed.extend(organisation.remove_where(&matches));
        }
        for ticket in &removed {
            self.forget(ticket);
        }
        removed
    }
}

impl OrganisationQueue {
    /// Tokens of the organisation's own that go before a new ticket, by turns among its callers.
    fn tokens_ahead(&self, ticket: &Ticket) -> u64 {
        let own: u64 = self
            .callers
            .get(&ticket.caller)
            .map_or(0, |caller| caller.tickets.iter().map(|t| t.cost_tokens).sum());
        let others: u64 = self
            .callers
            .iter()
            .filter(|(name, _)| **name != ticket.caller)
            .map(|(_, caller)| {
                let waiting: u64 = caller.tickets.iter().map(|t| t.cost_tokens).sum();
                waiting.min(own + ticket.cost_tokens)
            })
            .sum();
        own + others
    }

    fn choose_caller(&self) -> Option<&str> {
        let waiting = self.callers.iter().filter(|(_, caller)| !caller.tickets.is_empty());
        let first = waiting.min_by(|a, b| a.1.charged.total_cmp(&b.1.charged));
        first.map(|(name, _)| name.as_str())
    }

    fn push(&mut self, ticket: Ticket) {
        let waiting = self.callers.values().filter(|caller| !caller.tickets.is_empty());
        let least_charge = waiting.map(|caller| caller.charged).min_by(f64::total_cmp);
        self.share = ticket.share.max(1);
        self.waiting += 1;
        self.waiting_tokens += ticket.cost_tokens;
        let caller = self.callers.entry(ticket.caller.clone()).or_default();
        if caller.tickets.is_empty()
            && let Some(least) = least_charge
        {
            caller.charged = caller.charged.max(least);
        }
        caller.tickets.push_back(ticket);
    }

    fn take(&mut self) -> Option<Ticket> {
        let name = self.choose_caller()?.to_owned();
        let caller = self.callers.get_mut(&name)?;
        let ticket = caller.tickets.pop_front()?;
        caller.charged += ticket.cost_tokens as f64;
        self.charged += ticket.cost_tokens as f64 / self.share as f64;
        self.forget(&ticket);
        if self.callers.len() > IDLE_ORGANISATIONS_MOST {
            self.callers.retain(|_, caller| !caller.tickets.is_empty());
        }
        Some(ticket)
    }

    fn forget(&mut self, ticket: &Ticket) {
        self.waiting -= 1;
        self.waiting_tokens -= ticket.cost_tokens;
    }

    fn remove_where(&mut self, matches: &impl Fn(&Ticket) -> bool) -> Vec<Ticket> {
        let mut removed = Vec::new();
        for caller in self.callers.values_mut() {
            let (gone, kept) = caller.tickets.drain(..).partition::<Vec<_>, _>(matches);
            caller.tickets = kept.into();
            removed.extend(gone);
        }
        for ticket in &removed {
            self.forget(ticket);
        }
        removed
    }
}

impl AdmissionQueue for FairQueue {
    fn offer(&mut self, ticket: Ticket, now_ms: u64, supply: Supply) -> Result<(), Refusal> {
        let tokens_ahead = self.predict_tokens_ahead(&ticket);
        let predicted_wait_ms = match supply.free_slots {
            0 => supply.predict_wait_ms(tokens_ahead + ticket.cost_tokens),
            _ => supply.predict_wait_ms(tokens_ahead),
        };
        let waited_ms = now_ms.saturating_sub(ticket.arrived_at_ms);
        let left_ms = ticket.target_ms.saturating_sub(waited_ms + supply.first_token_ms);
        let rank_waiting = self.ranks.get(&ticket.urgency).map_or(0, |rank| rank.waiting);
        if rank_waiting as usize >= ticket.queue_limit {
            return Err(Refusal::QueueFull { retry_after_ms: predicted_wait_ms });
        }
        if predicted_wait_ms > left_ms {
            let retry_after_ms = predicted_wait_ms - left_ms;
            return Err(Refusal::TargetMissed { predicted_wait_ms, retry_after_ms });
        }
        self.ranks.entry(ticket.urgency).or_default().push(ticket);
        Ok(())
    }

    fn take_next(&mut self, _now_ms: u64) -> Option<Ticket> {
        let urgency = self.choose_rank()?;
        let ticket = self.ranks.get_mut(&urgency)?.take()?;
        self.add_floor_credit(urgency, ticket.cost_tokens);
        Some(ticket)
    }

    fn cancel(&mut self, id: u64) -> bool {
        self.ranks.values_mut().any(|rank| !rank.remove_where(|ticket| ticket.id == id).is_empty())
    }

    fn expire(&mut self, now_ms: u64) -> Vec<Ticket> {
        let ranks = self.ranks.values_mut();
        ranks.flat_map(|rank| rank.remove_where(|ticket| ticket.is_expired(now_ms))).collect()
    }

    fn settle(&mut self, settlement: &Settlement) {
        let Some(rank) = self.ranks.get_mut(&settlement.urgency) else { return };
        let Some(organisation) = rank.organisations.get_mut(&settlement.organisation) else {
            return;
        };
        let correction = settlement.used_tokens as f64 - settlement.charged_tokens as f64;
        organisation.charged += correction / settlement.share.max(1) as f64;
        if let Some(caller) = organisation.callers.get_mut(&settlement.caller) {
            caller.charged += correction;
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
        let oldest = rank.list_first().min_by_key(|ticket| ticket.arrived_at_ms)?;
        let waited_ms = now_ms.saturating_sub(oldest.arrived_at_ms);
        let limit_ms = oldest.target_ms.saturating_mul(target_percent) / 100;
        let at_risk = RankAtRisk { urgency: *urgency, waiting: rank.waiting };
        (waited_ms >= limit_ms).then_some(at_risk)
    }
}
