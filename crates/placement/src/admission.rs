//! Admission control: refuses requests that can't be served in time.
//!
//! Under overload, when more prompt tokens arrive than the engines can prefill, each request that is
//! sent but misses its target takes engine time from one that could still meet its own.

use std::collections::BTreeMap;

use crate::retry_schedule::RetrySchedule;

/// Expected latency of a request at the upstream chosen for it; the input of an [`AdmissionRule`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Forecast {
    /// Rank; 0 is the most urgent.
    pub urgency: u8,
    /// Expected time from now to the first byte.
    pub first_byte_ms: u64,
    /// The part of `first_byte_ms` that is spent queued behind other requests.
    pub queue_ms: u64,
    /// Time since the request arrived.
    pub waited_ms: u64,
    /// Target for the time to the first byte, counted from arrival.
    pub target_ms: u64,
    /// The caller's patience: time from arrival after which it disconnects if it has received nothing.
    pub patience_ms: u64,
    /// Prefill time of the uncached prompt at this instance's share of the fleet's prefill throughput.
    pub prefill_share_ms: u64,
}

/// Decision on a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// Send it to the upstream.
    Send,
    /// Refuse it; the caller may retry after the given delay.
    Refuse {
        /// Delay until capacity for the request is expected.
        retry_after_ms: u64,
    },
}

/// Admission policy of a service.
pub trait AdmissionRule: Send {
    /// Decides whether to send or refuse one request; may update the policy's overload state.
    fn decide(&mut self, forecast: &Forecast, now_ms: u64) -> Admission;
}

/// Admits every request; the baseline that other policies are compared with.
#[derive(Clone, Copy, Debug, Default)]
pub struct AdmitAll;

impl AdmissionRule for AdmitAll {
    fn decide(&mut self, _forecast: &Forecast, _now_ms: u64) -> Admission {
        Admission::Send
    }
}

/// Share of the caller's patience that the forecast may use; the rest covers forecast error.
const PATIENCE_PERCENT: u64 = 70;
/// Queueing delay, as a percentage of the target, at or below which a standing queue is considered
/// over, and up to which a request that misses its target is sent while there is one.
const OVERLOAD_END_PERCENT: u64 = 50;
/// Minimum retry delay of a refused request, so that the load has changed when it is retried.
const MIN_RETRY_AFTER_MS: u64 = 200;

/// Refuses requests that can't be served in time.
///
/// A short burst is admitted as long as its callers would wait for the answers: it is over before many
/// of them are late. When the queueing delay of a rank exceeds the target for as long as the target,
/// there is a standing queue, which delays every answer without raising throughput. From then on,
/// requests that can meet the target are sent, and requests that already miss it only while the queue
/// is short (Nichols and Jacobson, Controlling Queue Delay, 2012).
#[derive(Clone, Debug, Default)]
pub struct TargetAdmission {
    ranks: BTreeMap<u8, RankQueueState>,
    retry_schedule: RetrySchedule,
}

/// Standing-queue detection for one rank.
#[derive(Clone, Copy, Debug, Default)]
struct RankQueueState {
    has_standing_queue: bool,
    /// Start of the current run of forecasts that contradict `has_standing_queue`; `None` without one.
    contradicted_since_ms: Option<u64>,
}

impl TargetAdmission {
    /// Whether the request's rank has a standing queue. Set once the queueing delay has exceeded the
    /// target for as long as the target; cleared once it has been at or below
    /// [`OVERLOAD_END_PERCENT`] of the target for as long.
    fn has_standing_queue(&mut self, forecast: &Forecast, now_ms: u64) -> bool {
        let state = self.ranks.entry(forecast.urgency).or_default();
        let is_contradicted = match state.has_standing_queue {
            true => forecast.queue_ms <= forecast.target_ms * OVERLOAD_END_PERCENT / 100,
            false => forecast.queue_ms > forecast.target_ms,
        };
        if !is_contradicted {
            state.contradicted_since_ms = None;
            return state.has_standing_queue;
        }
        let since_ms = *state.contradicted_since_ms.get_or_insert(now_ms);
        if now_ms.saturating_sub(since_ms) >= forecast.target_ms {
            *state = RankQueueState {
                has_standing_queue: !state.has_standing_queue,
                contradicted_since_ms: None,
            };
        }
        state.has_standing_queue
    }
}

impl AdmissionRule for TargetAdmission {
    fn decide(&mut self, forecast: &Forecast, now_ms: u64) -> Admission {
        let has_standing_queue = self.has_standing_queue(forecast, now_ms);
        let expected_ms = forecast.waited_ms + forecast.first_byte_ms;
        let is_on_time = expected_ms <= forecast.target_ms;
        // A request that misses the target is worth less than one that can meet it, so it only gets
        // the capacity left by requests on time.
        let is_admitted_late = match has_standing_queue {
            true => forecast.queue_ms <= forecast.target_ms * OVERLOAD_END_PERCENT / 100,
            false => expected_ms <= forecast.patience_ms * PATIENCE_PERCENT / 100,
        };
        if is_on_time || is_admitted_late {
            return Admission::Send;
        }
        let excess_ms = forecast.first_byte_ms.saturating_sub(forecast.target_ms);
        let earliest_ms = excess_ms.max(MIN_RETRY_AFTER_MS);
        let left_ms = forecast.patience_ms.saturating_sub(forecast.waited_ms);
        let retry_after_ms =
            self.retry_schedule.reserve(forecast.prefill_share_ms, earliest_ms, left_ms, now_ms);
        Admission::Refuse { retry_after_ms }
    }
}
