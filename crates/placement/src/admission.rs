//! Refusing what can't be served in time.
//!
//! Answers floods: when more arrives than engines can read, each request that is sent in vain takes
//! time from one that could still be on time.

use std::collections::BTreeMap;

use crate::return_schedule::ReturnSchedule;

/// What is known when a request is to be sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Forecast {
    /// Rank; 0 is the most urgent.
    pub urgency: u8,
    /// Expected time from now to the first byte.
    pub first_byte_ms: u64,
    /// The part of it that is spent behind other requests.
    pub queue_ms: u64,
    /// Time that has passed since the request came.
    pub waited_ms: u64,
    /// Time to the first byte that is worth most.
    pub target_ms: u64,
    /// Time after which the caller leaves if nothing has come.
    pub patience_ms: u64,
    /// Time that its prompt takes of what all upstreams read for this instance.
    pub share_ms: u64,
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It is sent now.
    Send,
    /// It is refused; it may be served if it comes back after this time.
    Refuse {
        /// When a place is expected.
        retry_after_ms: u64,
    },
}

/// Decides whether a request is sent.
pub trait AdmissionRule: Send {
    /// Decides for one request.
    fn decide(&mut self, forecast: &Forecast, now_ms: u64) -> Admission;
}

/// Sends everything; the baseline.
#[derive(Clone, Copy, Debug, Default)]
pub struct AdmitAll;

impl AdmissionRule for AdmitAll {
    fn decide(&mut self, _forecast: &Forecast, _now_ms: u64) -> Admission {
        Admission::Send
    }
}

/// Part of the caller's patience that the forecast may fill; the rest covers its error.
const PATIENCE_PERCENT: u64 = 70;
/// Part of the target below which a wait tells that an overload is over.
const CALM_PERCENT: u64 = 50;
/// Shortest time until a refused request comes back, so that it finds another state.
const RETRY_AFTER_LEAST_MS: u64 = 200;

/// Refuses what can't be served in time.
///
/// A short clump is let through as long as callers wait for it: it is over before many of them are
/// late. When a rank's queue stays longer than the target for as long as the target, a queue stands
/// that makes every answer late without making any sooner; then what can be on time is sent, and
/// what is late already only if there is room (Nichols and Jacobson, Controlling Queue Delay, 2012).
#[derive(Clone, Debug, Default)]
pub struct TargetAdmission {
    ranks: BTreeMap<u8, RankState>,
    returns: ReturnSchedule,
}

/// What the forecasts of one rank have told.
#[derive(Clone, Copy, Debug, Default)]
struct RankState {
    is_standing: bool,
    /// Since when forecasts have spoken against that.
    changing_since_ms: Option<u64>,
}

impl TargetAdmission {
    /// Whether a queue stands for this rank. It does once the wait in it was above the target for
    /// as long as the target, and no longer once it was far below for as long.
    fn is_standing(&mut self, forecast: &Forecast, now_ms: u64) -> bool {
        let state = self.ranks.entry(forecast.urgency).or_default();
        let speaks_against = match state.is_standing {
            true => forecast.queue_ms <= forecast.target_ms * CALM_PERCENT / 100,
            false => forecast.queue_ms > forecast.target_ms,
        };
        if !speaks_against {
            state.changing_since_ms = None;
            return state.is_standing;
        }
        let since_ms = *state.changing_since_ms.get_or_insert(now_ms);
        if now_ms.saturating_sub(since_ms) >= forecast.target_ms {
            *state = RankState { is_standing: !state.is_standing, changing_since_ms: None };
        }
        state.is_standing
    }
}

impl AdmissionRule for TargetAdmission {
    fn decide(&mut self, forecast: &Forecast, now_ms: u64) -> Admission {
        let is_standing = self.is_standing(forecast, now_ms);
        let expected_ms = forecast.waited_ms + forecast.first_byte_ms;
        let is_on_time = expected_ms <= forecast.target_ms;
        // What is late already is worth less than what can still be on time, and takes what that
        // leaves.
        let is_worth_it = match is_standing {
            true => forecast.queue_ms <= forecast.target_ms * CALM_PERCENT / 100,
            false => expected_ms <= forecast.patience_ms * PATIENCE_PERCENT / 100,
        };
        if is_on_time || is_worth_it {
            return Admission::Send;
        }
        let excess_ms = forecast.first_byte_ms.saturating_sub(forecast.target_ms);
        let earliest_ms = excess_ms.max(RETRY_AFTER_LEAST_MS);
        let left_ms = forecast.patience_ms.saturating_sub(forecast.waited_ms);
        let retry_after_ms = self.returns.promise(forecast.share_ms, earliest_ms, left_ms, now_ms);
        Admission::Refuse { retry_after_ms }
    }
}
