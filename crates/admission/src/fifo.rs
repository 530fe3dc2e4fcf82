//! The baseline: first in, first out.

use std::collections::VecDeque;

use crate::queue::{AdmissionQueue, QueueSummary, RankAtRisk, Refusal, Settlement, Supply, Ticket};

/// First in, first out, without ranks, shares or refusals by target.
#[derive(Debug, Default)]
pub struct FifoQueue {
    tickets: VecDeque<Ticket>,
}

impl FifoQueue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }
}

impl AdmissionQueue for FifoQueue {
    fn offer(&mut self, ticket: Ticket, _now_ms: u64, supply: Supply) -> Result<(), Refusal> {
        if self.tickets.len() >= ticket.queue_limit {
            let retry_after_ms = supply.predict_wait_ms(self.summary().waiting_tokens);
            return Err(Refusal::QueueFull { retry_after_ms });
        }
        self.tickets.push_back(ticket);
        Ok(())
    }

    fn take_next(&mut self, _now_ms: u64) -> Option<Ticket> {
        self.tickets.pop_front()
    }

    fn cancel(&mut self, id: u64) -> bool {
        let before = self.tickets.len();
        self.tickets.retain(|ticket| ticket.id != id);
        self.tickets.len() < before
    }

    fn expire(&mut self, now_ms: u64) -> Vec<Ticket> {
        let (expired, kept) =
            self.tickets.drain(..).partition::<Vec<_>, _>(|ticket| ticket.is_expired(now_ms));
        self.tickets = kept.into();
        expired
    }

    fn settle(&mut self, _settlement: &Settlement) {}

    fn summary(&self) -> QueueSummary {
        QueueSummary {
            waiting: self.tickets.len() as u64,
            waiting_tokens: self.tickets.iter().map(|ticket| ticket.cost_tokens).sum(),
        }
    }

    fn find_rank_at_risk(&self, _now_ms: u64, _target_percent: u64) -> Option<RankAtRisk> {
        None
    }
}
