//! The baseline queue: first in, first out.

use std::collections::VecDeque;

use crate::queue::{
    AdmissionQueue, ChargeCorrection, QueueSummary, QueuedRequest, RankAtRisk, Refusal,
    UpstreamCapacity,
};

/// A first-in, first-out queue without ranks, shares or refusals by target.
#[derive(Debug, Default)]
pub struct FifoQueue {
    requests: VecDeque<QueuedRequest>,
}

impl FifoQueue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }
}

impl AdmissionQueue for FifoQueue {
    fn try_enqueue(
        &mut self,
        request: QueuedRequest,
        _now_ms: u64,
        capacity: UpstreamCapacity,
    ) -> Result<(), Refusal> {
        if self.requests.len() >= request.queue_limit {
            let retry_after_ms = capacity.predict_wait_ms(self.summary().waiting_tokens);
            return Err(Refusal::QueueFull { retry_after_ms });
        }
        self.requests.push_back(request);
        Ok(())
    }

    fn dequeue(&mut self, _now_ms: u64) -> Option<QueuedRequest> {
        self.requests.pop_front()
    }

    fn cancel(&mut self, id: u64) -> bool {
        let before = self.requests.len();
        self.requests.retain(|request| request.id != id);
        self.requests.len() < before
    }

    fn expire(&mut self, now_ms: u64) -> Vec<QueuedRequest> {
        let (expired, kept) =
            self.requests.drain(..).partition::<Vec<_>, _>(|request| request.is_expired(now_ms));
        self.requests = kept.into();
        expired
    }

    fn correct_charge(&mut self, _correction: &ChargeCorrection) {}

    fn summary(&self) -> QueueSummary {
        QueueSummary {
            waiting: self.requests.len() as u64,
            waiting_tokens: self.requests.iter().map(|request| request.cost_tokens).sum(),
        }
    }

    fn find_rank_at_risk(&self, _now_ms: u64, _target_percent: u64) -> Option<RankAtRisk> {
        None
    }
}
