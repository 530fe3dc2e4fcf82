//! Refusing what can't be served in time.
//!
//! Answers floods: when more arrives than engines can read, each request that is sent in vain takes
//! time from one that could still be on time.

/// What is known when a request is to be sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Forecast {
    /// Expected time from now to the first byte.
    pub first_byte_ms: u64,
    /// Time that has passed since the request came.
    pub waited_ms: u64,
    /// Time to the first byte that is worth most.
    pub target_ms: u64,
    /// Time after which the caller leaves if nothing has come.
    pub patience_ms: u64,
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
    fn decide(&self, forecast: &Forecast) -> Admission;
}

/// Sends everything; the baseline.
#[derive(Clone, Copy, Debug, Default)]
pub struct AdmitAll;

impl AdmissionRule for AdmitAll {
    fn decide(&self, _forecast: &Forecast) -> Admission {
        Admission::Send
    }
}

/// Part of the caller's patience that the forecast may fill; the rest covers its error.
const PATIENCE_PERCENT: u64 = 70;
/// Shortest time until a refused request comes back, so that it finds another state.
const RETRY_AFTER_LEAST_MS: u64 = 200;

/// Refuses what the caller would leave before its first byte.
#[derive(Clone, Copy, Debug, Default)]
pub struct TargetAdmission;

impl AdmissionRule for TargetAdmission {
    fn decide(&self, forecast: &Forecast) -> Admission {
        let limit_ms = (forecast.patience_ms * PATIENCE_PERCENT / 100).max(forecast.target_ms);
        let expected_ms = forecast.waited_ms + forecast.first_byte_ms;
        if expected_ms <= limit_ms {
            return Admission::Send;
        }
        let excess_ms = expected_ms - forecast.target_ms.min(expected_ms);
        Admission::Refuse { retry_after_ms: excess_ms.max(RETRY_AFTER_LEAST_MS) }
    }
}
