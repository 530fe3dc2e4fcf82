//! One instance's share of the retry budget of a service.

use std::collections::VecDeque;

/// A retry budget over all instances: in any window, retries may reach `ratio` times the requests plus
/// `slack`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetLimits {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Additional retries allowed per window, divided among the instances.
    pub slack: f64,
    /// Length of the sliding window.
    pub window_ms: u64,
}

/// Fraction of an instance's share that it may use; the rest covers instances that start or stop within
/// a window.
const USABLE_FRACTION: f64 = 0.7;

/// Counts the requests and retries of one instance within a sliding window.
#[derive(Clone, Debug)]
pub struct RetryBudgetShare {
    limits: RetryBudgetLimits,
    requests: VecDeque<u64>,
    retries: VecDeque<u64>,
}

impl RetryBudgetShare {
    /// Creates a share with an empty window.
    pub fn new(limits: RetryBudgetLimits) -> Self {
        Self { limits, requests: VecDeque::new(), retries: VecDeque::new() }
    }

    /// Counts a request received from a caller; retries aren't counted here.
    pub fn add_request(&mut self, now_ms: u64) {
        self.evict_expired(now_ms);
        self.requests.push_back(now_ms);
    }

    /// Acquires one retry if this instance's share of the budget allows it. `instances` is the number of
    /// instances that share the budget.
    pub fn try_acquire(&mut self, instances: usize, now_ms: u64) -> bool {
        self.evict_expired(now_ms);
        let slack = self.limits.slack / instances.max(1) as f64;
        let allowed = (self.limits.ratio * self.requests.len() as f64 + slack) * USABLE_FRACTION;
        if (self.retries.len() + 1) as f64 > allowed {
            return false;
        }
        self.retries.push_back(now_ms);
        true
    }

    fn evict_expired(&mut self, now_ms: u64) {
        let oldest_ms = now_ms.saturating_sub(self.limits.window_ms);
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|at_ms| *at_ms < oldest_ms) {
                times.pop_front();
            }
        }
    }
}
