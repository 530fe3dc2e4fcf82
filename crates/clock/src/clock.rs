//! Clocks of the host and of tests.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

/// A source of monotonic and wall-clock time.
pub trait Clock: Send + Sync {
    /// Monotonic time in milliseconds since an arbitrary start.
    fn now_ms(&self) -> u64;

    /// Wall-clock time in milliseconds since the Unix epoch; not monotonic, as the host may step it.
    fn wall_ms(&self) -> u64;
}

/// The host's clocks. Monotonic time includes time during which the host was suspended.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock {
    started_ms: u64,
}

impl SystemClock {
    /// Creates a clock whose monotonic time starts at zero.
    pub fn new() -> Self {
        Self { started_ms: read_boot_clock_ms() }
    }
}

/// Reads the milliseconds since the host's boot. `CLOCK_BOOTTIME` is used because `CLOCK_MONOTONIC`
/// stops while the host is suspended, so that a lease would be held past its expiry.
fn read_boot_clock_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000
}

impl Default for SystemClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for SystemClock {
    fn now_ms(&self) -> u64 {
        read_boot_clock_ms().saturating_sub(self.started_ms)
    }

    fn wall_ms(&self) -> u64 {
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
    }
}

/// A clock that tests advance explicitly. Wall-clock and monotonic time are the same.
#[derive(Debug)]
pub struct ManualClock {
    now_ms: AtomicU64,
}

impl ManualClock {
    /// Creates a clock at the given time in milliseconds.
    pub fn new(now_ms: u64) -> Self {
        Self { now_ms: AtomicU64::new(now_ms) }
    }

    /// Advances the time by `by_ms` milliseconds.
    pub fn advance_ms(&self, by_ms: u64) {
        self.now_ms.fetch_add(by_ms, Ordering::SeqCst);
    }
}

impl Clock for ManualClock {
    fn now_ms(&self) -> u64 {
        self.now_ms.load(Ordering::SeqCst)
    }

    fn wall_ms(&self) -> u64 {
        self.now_ms()
    }
}
