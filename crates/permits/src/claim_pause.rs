//! Time between claims that are denied.
//!
//! Load pattern: a large fleet presses on a few limited upstreams. If each request claimed a permit at
//! each of them, the claims would cost more than the requests.

use crate::rate_limit::RateLimit;

/// Claims that the issuer of an upstream gets, as a multiple of the permits that it can grant.
const CLAIMS_PER_PERMIT: f64 = 4.0;
/// Shortest and longest pause.
const PAUSE_MS: (f64, f64) = (20.0, 1_000.0);

/// Returns the time in milliseconds until an instance claims a permit of an upstream again, after a denied
/// claim that could have waited for `max_wait_ms`.
pub fn claim_pause_ms(
    limit: RateLimit,
    instances: usize,
    available_in_ms: u64,
    max_wait_ms: u64,
) -> u64 {
    let pause_ms = limit.interval_ms() * instances as f64 / CLAIMS_PER_PERMIT;
    let pause_ms = pause_ms.clamp(PAUSE_MS.0, PAUSE_MS.1) as u64;
    pause_ms.max(available_in_ms.saturating_sub(max_wait_ms))
}
