//! Sources of time.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

/// A source of time.
pub trait Clock: Send + Sync {
    /// Milliseconds since an arbitrary start; never goes back.
    fn now_ms(&self) -> u64;

    /// Milliseconds since the Unix epoch; may be stepped by the host.
    fn wall_ms(&self) -> u64;
}

/// The host's clocks. Time during which the host was suspended counts.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock {
    started_ms: u64,
}

impl SystemClock {
    /// Starts at zero.
    pub fn new() -> Self {
        Self { started_ms: read_boot_clock_ms() }
    }
}

/// Milliseconds since the host's start. The monotonic clock would stand still while it is suspended,
/// and a lease would outlive its time.
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

/// A clock that a test moves by hand. Wall time and monotonic time are the same.
#[derive(Debug)]
pub struct ManualClock {
    now_ms: AtomicU64,
}

impl ManualClock {
    /// Starts at the given time.
    pub fn new(now_ms: u64) -> Self {
        Self { now_ms: AtomicU64::new(now_ms) }
    }

    /// Moves time forward.
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
