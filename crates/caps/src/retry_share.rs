//! An instance's part of the retry budget of a service.

use std::collections::VecDeque;

/// A retry budget over all instances: in any window, repeats may reach `ratio` of the requests plus
/// `slack`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryShareLimits {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed besides.
    pub slack: f64,
    /// Length of the window.
    pub window_ms: u64,
}

/// Part of the budget that is used; the rest covers instances that start or stop meanwhile.
const USED_PART: f64 = 0.7;

/// Repeats of one instance within a sliding window.
#[derive(Clone, Debug)]
pub struct RetryShare {
    limits: RetryShareLimits,
    requests: VecDeque<u64>,
    repeats: VecDeque<u64>,
}

impl RetryShare {
    /// Creates a share without requests.
    pub fn new(limits: RetryShareLimits) -> Self {
        Self { limits, requests: VecDeque::new(), repeats: VecDeque::new() }
    }

    /// Counts a request of a caller.
    pub fn add_request(&mut self, now_ms: u64) {
        self.forget(now_ms);
        self.requests.push_back(now_ms);
    }

    /// Takes one repeat if this instance's part of the budget has it.
    pub fn try_take(&mut self, instances: usize, now_ms: u64) -> bool {
        self.forget(now_ms);
        let slack = self.limits.slack / instances.max(1) as f64;
        let allowed = (self.limits.ratio * self.requests.len() as f64 + slack) * USED_PART;
        if (self.repeats.len() + 1) as f64 > allowed {
            return false;
        }
        self.repeats.push_back(now_ms);
        true
    }

    fn forget(&mut self, now_ms: u64) {
        let oldest_ms = now_ms.saturating_sub(self.limits.window_ms);
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|at_ms| *at_ms < oldest_ms) {
                times.pop_front();
            }
        }
    }
}
