//! When refused callers come back.
//!
//! Answers the crowd that a flood leaves behind: callers that were refused at the same moment and told
//! the same time come back together, and are refused together.

use std::collections::VecDeque;

/// Time after its due time for which a promise is kept for its caller.
const KEEP_MS: u64 = 500;
/// Promises remembered; those of a longer crowd are told a time without a place being kept.
const PROMISES_MOST: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct Promise {
    due_ms: u64,
    work: f64,
}

/// The places promised to refused callers, one behind the other.
#[derive(Clone, Debug, Default)]
pub struct ReturnSchedule {
    promises: VecDeque<Promise>,
    /// Time at which the last promised place is used up.
    free_at_ms: f64,
}

impl ReturnSchedule {
    /// Tells a refused caller when to come back: behind all that were refused before it, and not
    /// before `earliest_ms` from now. Its `work` takes `work / work_per_ms` of the time. A caller
    /// that leaves after `left_ms` can't use a later place; none is kept for it, so that others
    /// don't wait for it.
    pub fn promise(
        &mut self,
        work: f64,
        work_per_ms: f64,
        earliest_ms: u64,
        left_ms: u64,
        now_ms: u64,
    ) -> u64 {
        self.forget(now_ms);
        let start_ms = self.free_at_ms.max((now_ms + earliest_ms) as f64);
        let wait_ms = start_ms as u64 - now_ms;
        if wait_ms < left_ms && self.promises.len() < PROMISES_MOST {
            self.free_at_ms = start_ms + work / work_per_ms.max(f64::MIN_POSITIVE);
            self.promises.push_back(Promise { due_ms: start_ms as u64, work });
        }
        wait_ms
    }

    /// Work promised to callers that are due within the next `within_ms`. A first-timer leaves it
    /// to them.
    pub fn count_due(&mut self, within_ms: u64, now_ms: u64) -> f64 {
        self.forget(now_ms);
        let due = self.promises.iter().take_while(|promise| promise.due_ms <= now_ms + within_ms);
        due.map(|promise| promise.work).sum()
    }

    /// Notes that a caller has come back and was taken: the oldest promise that is due is kept.
    pub fn redeem(&mut self, now_ms: u64) {
        self.forget(now_ms);
        if self.promises.front().is_some_and(|promise| promise.due_ms <= now_ms) {
            self.promises.pop_front();
        }
    }

    fn forget(&mut self, now_ms: u64) {
        while self.promises.front().is_some_and(|promise| promise.due_ms + KEEP_MS < now_ms) {
            self.promises.pop_front();
        }
    }
}
