//! Staggered retry delays for refused callers.
//!
//! Avoids a thundering herd after an overload: callers that are refused at the same moment with the
//! same retry delay would retry together and be refused together.

/// Reserves consecutive periods of prefill time for the retries of refused callers.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetrySchedule {
    /// End of the last reserved period.
    free_at_ms: u64,
}

impl RetrySchedule {
    /// Returns the retry delay of a refused caller in milliseconds: after all reservations made before
    /// it, and at least `earliest_ms`. Its request occupies `duration_ms` of the schedule. A caller
    /// that disconnects after `time_left_ms` can't use a later period, so none is reserved for it and
    /// other callers aren't delayed.
    pub fn reserve(
        &mut self,
        duration_ms: u64,
        earliest_ms: u64,
        time_left_ms: u64,
        now_ms: u64,
    ) -> u64 {
        let start_ms = self.free_at_ms.max(now_ms + earliest_ms);
        let delay_ms = start_ms - now_ms;
        if delay_ms < time_left_ms {
            self.free_at_ms = start_ms + duration_ms;
        }
        delay_ms
    }
}
