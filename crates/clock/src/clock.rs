//! Sources of time.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A source of time.
pub trait Clock: Send + Sync {
    /// Milliseconds since an arbitrary start; never goes back.
    fn now_ms(&self) -> u64;

    /// Milliseconds since the Unix epoch; may be stepped by the host.
    fn wall_ms(&self) -> u64;
}

/// The host's clocks.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock {
    started: Instant,
}

impl SystemClock {
    /// Starts at zero.
    pub fn new() -> Self {
        Self { started: Instant::now() }
    }
}

impl Default for SystemClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for SystemClock {
    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
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
