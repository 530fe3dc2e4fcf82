//! When refused callers come back.
//!
//! Answers the crowd that a flood leaves behind: callers that were refused at the same moment and told
//! the same time come back together, and are refused together.

/// The places promised to refused callers, one behind the other.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReturnSchedule {
    /// Time at which the last promised place is used up.
    free_at_ms: u64,
}

impl ReturnSchedule {
    /// Tells a refused caller in how many milliseconds to come back: behind all that were refused
    /// before it, and not before `earliest_ms`. Its request takes `share_ms` of the time. A caller
    /// that leaves after `left_ms` can't use a later place; none is kept for it, so that others
    /// don't wait for it.
    pub fn promise(&mut self, share_ms: u64, earliest_ms: u64, left_ms: u64, now_ms: u64) -> u64 {
        let start_ms = self.free_at_ms.max(now_ms + earliest_ms);
        let wait_ms = start_ms - now_ms;
        if wait_ms < left_ms {
            self.free_at_ms = start_ms + share_ms;
        }
        wait_ms
    }
}
