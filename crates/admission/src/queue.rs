//! The border: what a queue takes and gives.

use hickorycourse_codes::{ErrorCode, Problem};
use serde::{Deserialize, Serialize};

/// A request that wants a place.
#[derive(Clone, Debug, PartialEq)]
pub struct Ticket {
    /// Names the request within its queue.
    pub id: u64,
    /// Whose request it is.
    pub organisation: String,
    /// Who asks.
    pub caller: String,
    /// Its rank's place in the order; 0 is the most urgent.
    pub urgency: u8,
    /// Estimated tokens: the prompt's and the answer's.
    pub cost_tokens: u64,
    /// The organisation's weight.
    pub share: u64,
    /// What the rank keeps in a flood of more urgent work.
    pub floor_percent: u64,
    /// Target for the first token, from arrival.
    pub target_ms: u64,
    /// Longest wait.
    pub queue_timeout_ms: u64,
    /// Requests of the rank that may wait.
    pub queue_limit: usize,
    /// When it came.
    pub arrived_at_ms: u64,
}

impl Ticket {
    /// Creates a ticket with wide limits.
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

    /// Sets the estimated tokens.
    pub fn with_cost(mut self, cost_tokens: u64) -> Self {
        self.cost_tokens = cost_tokens.max(1);
        self
    }

    /// Sets the target for the first token.
    pub fn with_target_ms(mut self, target_ms: u64) -> Self {
        self.target_ms = target_ms;
        self
    }

    /// Sets the organisation's weight.
    pub fn with_share(mut self, share: u64) -> Self {
        self.share = share.max(1);
        self
    }

    /// Sets the rank's floor.
    pub fn with_floor_percent(mut self, floor_percent: u64) -> Self {
        self.floor_percent = floor_percent;
        self
    }

    /// Sets when it came.
    pub fn with_arrival_ms(mut self, arrived_at_ms: u64) -> Self {
        self.arrived_at_ms = arrived_at_ms;
        self
    }

    /// Whether it has waited past its limit.
    pub fn is_expired(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.arrived_at_ms) >= self.queue_timeout_ms
    }
}

/// What serves the queue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Supply {
    /// Places at all upstreams that this instance may use.
    pub slots: u64,
    /// Those that are free.
    pub free_slots: u64,
    /// Time that one token of cost holds a place.
    pub ms_per_token: f64,
    /// Time from getting a place to the first token.
    pub first_token_ms: u64,
}

impl Supply {
    /// Time until so many tokens have been served.
    pub fn predict_wait_ms(&self, tokens_ahead: u64) -> u64 {
        if self.slots == 0 {
            return u64::MAX;
        }
        (tokens_ahead as f64 * self.ms_per_token / self.slots as f64) as u64
    }
}

/// Why a request is not taken in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// Too many of its rank wait.
    QueueFull {
        /// When a place should be free.
        retry_after_ms: u64,
    },
    /// It would miss its target.
    TargetMissed {
        /// The wait that was predicted.
        predicted_wait_ms: u64,
        /// When it should make it.
        retry_after_ms: u64,
    },
}

impl Refusal {
    /// The answer to the caller.
    pub fn to_problem(self) -> Problem {
        match self {
            Self::QueueFull { retry_after_ms } => {
                Problem::new(ErrorCode::QueueFull).with_retry_after_s(to_whole_s(retry_after_ms))
            }
            Self::TargetMissed { predicted_wait_ms, retry_after_ms } => {
                Problem::new(ErrorCode::TargetMissed)
                    .with_detail(format!("The wait would be {predicted_wait_ms} ms."))
                    .with_retry_after_s(to_whole_s(retry_after_ms))
            }
        }
    }
}

const RETRY_AFTER_MOST_S: u64 = 600;

fn to_whole_s(time_ms: u64) -> u64 {
    time_ms.div_ceil(1_000).clamp(1, RETRY_AFTER_MOST_S)
}

/// What a request has really used, to correct its charge.
#[derive(Clone, Debug, PartialEq)]
pub struct Settlement {
    /// Whose request it was.
    pub organisation: String,
    /// Who asked.
    pub caller: String,
    /// Its rank's place in the order.
    pub urgency: u8,
    /// The organisation's weight.
    pub share: u64,
    /// What was charged.
    pub charged_tokens: u64,
    /// What was used.
    pub used_tokens: u64,
}

/// How full a queue is.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct QueueSummary {
    /// Requests that wait.
    pub waiting: u64,
    /// Their estimated tokens.
    pub waiting_tokens: u64,
}

/// A rank whose target is in danger.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RankAtRisk {
    /// The rank's place in the order.
    pub urgency: u8,
    /// Its requests that wait.
    pub waiting: u64,
}

/// Requests that wait for a place.
pub trait AdmissionQueue: Send {
    /// Takes a request in or refuses it at once.
    ///
    /// # Errors
    /// [`Refusal`] with the time to come back.
    fn offer(&mut self, ticket: Ticket, now_ms: u64, supply: Supply) -> Result<(), Refusal>;

    /// Takes out the one that goes next and charges it.
    fn take_next(&mut self, now_ms: u64) -> Option<Ticket>;

    /// Removes a request whose caller has gone.
    fn cancel(&mut self, id: u64) -> bool;

    /// Removes those that have waited past their limit.
    fn expire(&mut self, now_ms: u64) -> Vec<Ticket>;

    /// Corrects a charge by what was used.
    fn settle(&mut self, settlement: &Settlement);

    /// How full it is.
    fn summary(&self) -> QueueSummary;

    /// The most urgent rank whose longest-waiting request has used up this part of its target, in
    /// percent, and how many of its requests wait. Work that can wait may be preempted for it.
    fn find_rank_at_risk(&self, now_ms: u64, target_percent: u64) -> Option<RankAtRisk>;
}
