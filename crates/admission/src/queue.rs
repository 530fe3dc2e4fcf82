//! The queue interface and its input and output types.

use hickorycourse_codes::{ErrorCode, Problem};
use serde::{Deserialize, Serialize};

/// A request that waits for a concurrency slot at an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedRequest {
    /// Identifies the request; unique within its queue.
    pub id: u64,
    /// The organisation that the request is charged to.
    pub organisation: String,
    /// The caller within the organisation.
    pub caller: String,
    /// Priority of the request's rank (priority class); 0 is the most urgent.
    pub urgency: u8,
    /// Estimated tokens of prompt and answer together; at least 1.
    pub cost_tokens: u64,
    /// The organisation's weight in fair queueing; at least 1.
    pub share: u64,
    /// Part of the capacity reserved for the rank under load from more urgent ranks, in percent.
    pub floor_percent: u64,
    /// Target for the time from arrival to the first token.
    pub target_ms: u64,
    /// Time from arrival after which the request expires.
    pub queue_timeout_ms: u64,
    /// Maximum number of waiting requests of the rank.
    pub queue_limit: usize,
    /// Arrival time, on the same clock as the `now_ms` parameters of the queue.
    pub arrived_at_ms: u64,
}

impl QueuedRequest {
    /// Creates a request with weight 1, a cost of 1 token, no floor and unlimited target, timeout
    /// and queue length.
    pub fn new(id: u64, organisation: &str, caller: &str, urgency: u8) -> Self {
        Self {
            id,
            organisation: organisation.to_owned(),
            caller: caller.to_owned(),
            urgency,
            cost_tokens: 1,
            share: 1,
            floor_percent: 0,
            target_ms: u64::MAX,
            queue_timeout_ms: u64::MAX,
            queue_limit: usize::MAX,
            arrived_at_ms: 0,
        }
    }

    /// Sets the estimated tokens; 0 counts as 1.
    pub fn with_cost(mut self, cost_tokens: u64) -> Self {
        self.cost_tokens = cost_tokens.max(1);
        self
    }

    /// Sets the target for the first token.
    pub fn with_target_ms(mut self, target_ms: u64) -> Self {
        self.target_ms = target_ms;
        self
    }

    /// Sets the organisation's weight; 0 counts as 1.
    pub fn with_share(mut self, share: u64) -> Self {
        self.share = share.max(1);
        self
    }

    /// Sets the part of the capacity reserved for the rank, in percent.
    pub fn with_floor_percent(mut self, floor_percent: u64) -> Self {
        self.floor_percent = floor_percent;
        self
    }

    /// Sets the arrival time.
    pub fn with_arrival_ms(mut self, arrived_at_ms: u64) -> Self {
        self.arrived_at_ms = arrived_at_ms;
        self
    }

    /// Whether the request has waited for its queue timeout or longer.
    pub fn is_expired(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.arrived_at_ms) >= self.queue_timeout_ms
    }
}

/// Upstream capacity available to the queue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpstreamCapacity {
    /// Concurrency slots that this instance may use, over all upstreams.
    pub slots: u64,
    /// Slots of these that are free.
    pub free_slots: u64,
    /// Time that one token of cost occupies a slot.
    pub ms_per_token: f64,
    /// Time from the assignment of a slot to the first token.
    pub first_token_ms: u64,
}

impl UpstreamCapacity {
    /// Predicts the time until `tokens_ahead` tokens have been served; `u64::MAX` without slots.
    pub fn predict_wait_ms(&self, tokens_ahead: u64) -> u64 {
        if self.slots == 0 {
            return u64::MAX;
        }
        (tokens_ahead as f64 * self.ms_per_token / self.slots as f64) as u64
    }
}

/// Why a request was not enqueued.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The queue of the request's rank is at its limit.
    QueueFull {
        /// Predicted time until the requests ahead of this one have been served.
        retry_after_ms: u64,
    },
    /// The request would miss its target for the first token.
    TargetMissed {
        /// Predicted wait for a slot.
        predicted_wait_ms: u64,
        /// Predicted time until the wait is short enough to meet the target.
        retry_after_ms: u64,
    },
}

impl Refusal {
    /// Converts to the problem document for the caller; `retry_after_ms` is rounded up to whole
    /// seconds, from 1 to 600.
    pub fn to_problem(self) -> Problem {
        match self {
            Self::QueueFull { retry_after_ms } => Problem::new(ErrorCode::QueueFull)
                .with_retry_after_s(to_retry_after_s(retry_after_ms)),
            Self::TargetMissed { predicted_wait_ms, retry_after_ms } => {
                Problem::new(ErrorCode::TargetMissed)
                    .with_detail(format!("The wait would be {predicted_wait_ms} ms."))
                    .with_retry_after_s(to_retry_after_s(retry_after_ms))
            }
        }
    }
}

const MAX_RETRY_AFTER_S: u64 = 600;

fn to_retry_after_s(time_ms: u64) -> u64 {
    time_ms.div_ceil(1_000).clamp(1, MAX_RETRY_AFTER_S)
}

/// Actual usage of a finished request, to correct the estimate it was charged.
#[derive(Clone, Debug, PartialEq)]
pub struct ChargeCorrection {
    /// The organisation that was charged.
    pub organisation: String,
    /// The caller within the organisation.
    pub caller: String,
    /// Priority of the request's rank; 0 is the most urgent.
    pub urgency: u8,
    /// The organisation's weight.
    pub share: u64,
    /// The estimate charged when the request was dequeued.
    pub charged_tokens: u64,
    /// Tokens that the request used.
    pub used_tokens: u64,
}

/// Length of a queue.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct QueueSummary {
    /// Waiting requests.
    pub waiting: u64,
    /// Estimated tokens of the waiting requests.
    pub waiting_tokens: u64,
}

/// A rank with a waiting request that is close to missing its target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RankAtRisk {
    /// Priority of the rank; 0 is the most urgent.
    pub urgency: u8,
    /// Waiting requests of the rank.
    pub waiting: u64,
}

/// A queue of requests that wait for a concurrency slot.
pub trait AdmissionQueue: Send {
    /// Enqueues a request, or refuses it immediately.
    ///
    /// # Errors
    /// [`Refusal`] with the time after which a retry may succeed.
    fn try_enqueue(
        &mut self,
        request: QueuedRequest,
        now_ms: u64,
        capacity: UpstreamCapacity,
    ) -> Result<(), Refusal>;

    /// Removes the next request in service order and charges its cost to its organisation and
    /// caller; `None` if the queue is empty.
    fn dequeue(&mut self, now_ms: u64) -> Option<QueuedRequest>;

    /// Removes a request whose caller has disconnected; false if it is not in the queue.
    fn cancel(&mut self, id: u64) -> bool;

    /// Removes and returns the requests whose queue timeout has passed.
    fn expire(&mut self, now_ms: u64) -> Vec<QueuedRequest>;

    /// Replaces the estimated charge of a finished request by its actual usage.
    fn correct_charge(&mut self, correction: &ChargeCorrection);

    /// Numbers of waiting requests and of their estimated tokens.
    fn summary(&self) -> QueueSummary;

    /// Returns the most urgent rank with waiting requests if its oldest request has waited for at
    /// least `target_percent` of its target. Preemptible work may be stopped to serve it.
    fn find_rank_at_risk(&self, now_ms: u64, target_percent: u64) -> Option<RankAtRisk>;
}
