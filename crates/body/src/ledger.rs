//! Decides which request bodies may be held in memory, apart from I/O.

use std::collections::HashMap;

/// Bytes up to which a body may use the last part of the limit.
const SMALL_BODY_BYTES: usize = 16 * 1024;
/// The part of the limit that is kept for small bodies: one in this many.
const SMALL_BODY_PART: usize = 8;
/// Time without progress before a response that is being read may be given up: its request has run.
const MIN_RESPONSE_IDLE_MS: u64 = 100;

/// What a [`BufferLedger`] decides on a body that grows.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum GrowDecision {
    /// The body may grow. These bodies must be given up first; the ledger no longer counts them.
    Granted {
        /// Numbers of the bodies that are given up.
        evicted: Vec<u64>,
    },
    /// The body must be given up itself; the ledger no longer counts it.
    Refused,
}

/// Counts the bytes that all bodies of a process hold.
///
/// If they reach the limit, the incomplete bodies that hold the most bytes for the longest time without progress are
/// given up: callers that stop short of the end of a body make room for those that go on. A complete body belongs to a
/// request that is served and is never given up. A body that is nearly alone may exceed the limit, so that a limit below
/// the largest permitted body rejects no request in calm.
#[derive(Clone, Debug)]
pub struct BufferLedger {
    limit_bytes: usize,
    held_bytes: usize,
    next_number: u64,
    bodies: HashMap<u64, HeldBody>,
}

#[derive(Clone, Copy, Debug)]
struct HeldBody {
    bytes: usize,
    is_complete: bool,
    is_response: bool,
    progress_at_ms: u64,
}

impl HeldBody {
    /// Whether it may be given up for others.
    fn is_evictable(&self, now_ms: u64) -> bool {
        let idle_ms = now_ms.saturating_sub(self.progress_at_ms);
        let is_idle = !self.is_response || idle_ms >= MIN_RESPONSE_IDLE_MS;
        !self.is_complete && self.bytes > 0 && is_idle
    }

    /// The memory that the body takes from others, in byte-milliseconds since its last progress.
    fn waste(&self, now_ms: u64) -> u64 {
        let idle_ms = now_ms.saturating_sub(self.progress_at_ms);
        (self.bytes as u64).saturating_mul(idle_ms + 1)
    }
}

impl BufferLedger {
    /// Creates a ledger for bodies of at most `limit_bytes` together.
    pub fn new(limit_bytes: usize) -> Self {
        Self { limit_bytes, held_bytes: 0, next_number: 0, bodies: HashMap::new() }
    }

    /// Returns the bytes that all bodies hold.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Adds a body without bytes; returns its number.
    pub fn open(&mut self, now_ms: u64) -> u64 {
        self.next_number += 1;
        let body =
            HeldBody { bytes: 0, is_complete: false, is_response: false, progress_at_ms: now_ms };
        self.bodies.insert(self.next_number, body);
        self.next_number
    }

    /// Records that bytes of the body have arrived.
    pub fn record_progress(&mut self, number: u64, now_ms: u64) {
        if let Some(body) = self.bodies.get_mut(&number) {
            body.progress_at_ms = now_ms;
        }
    }

    /// Decides on a body that is to hold `bytes` more.
    pub fn grow(&mut self, number: u64, bytes: usize, now_ms: u64) -> GrowDecision {
        let Some(own_bytes) = self.add(number, bytes, now_ms) else { return GrowDecision::Refused };
        let limit_bytes = match own_bytes <= SMALL_BODY_BYTES {
            true => self.limit_bytes,
            false => self.limit_bytes - self.limit_bytes / SMALL_BODY_PART,
        };
        let (evicted, remaining_bytes) = self.select_evicted(number, limit_bytes, now_ms);
        let others_bytes = remaining_bytes - own_bytes;
        if remaining_bytes > limit_bytes && others_bytes > self.limit_bytes / SMALL_BODY_PART {
            self.close(number);
            return GrowDecision::Refused;
        }
        for victim in &evicted {
            self.close(*victim);
        }
        GrowDecision::Granted { evicted }
    }

    /// Adds `bytes` of a response, which exist already, also if they exceed the limit; returns the numbers of those that
    /// must be given up.
    pub fn grow_beyond(&mut self, number: u64, bytes: usize, now_ms: u64) -> Vec<u64> {
        self.add(number, bytes, now_ms);
        if let Some(body) = self.bodies.get_mut(&number) {
            body.is_response = true;
        }
        let (evicted, _) = self.select_evicted(number, self.limit_bytes, now_ms);
        for victim in &evicted {
            self.close(*victim);
        }
        evicted
    }

    /// Returns the bytes that the body holds then; `None` if it has been given up.
    fn add(&mut self, number: u64, bytes: usize, now_ms: u64) -> Option<usize> {
        let body = self.bodies.get_mut(&number)?;
        body.bytes += bytes;
        body.progress_at_ms = now_ms;
        self.held_bytes += bytes;
        Some(body.bytes)
    }

    /// Selects those that waste more than `number`, the largest waste first, until the rest is within `limit_bytes`;
    /// returns them and the bytes of the rest.
    fn select_evicted(&self, number: u64, limit_bytes: usize, now_ms: u64) -> (Vec<u64>, usize) {
        let mut remaining_bytes = self.held_bytes;
        if remaining_bytes <= limit_bytes {
            return (Vec::new(), remaining_bytes);
        }
        let own_waste = self.bodies.get(&number).map_or(0, |body| body.waste(now_ms));
        let mut candidates: Vec<_> = self
            .bodies
            .iter()
            .filter(|(other, body)| body.is_evictable(now_ms) && **other != number)
            .map(|(other, body)| (body.waste(now_ms), *other, body.bytes))
            .filter(|(waste, ..)| *waste > own_waste)
            .collect();
        candidates.sort_unstable();
        let mut evicted = Vec::new();
        while remaining_bytes > limit_bytes
            && let Some((_, victim, bytes)) = candidates.pop()
        {
            remaining_bytes -= bytes;
            evicted.push(victim);
        }
        (evicted, remaining_bytes)
    }

    /// Records that the body is complete: it is not given up from then on.
    pub fn complete(&mut self, number: u64) {
        if let Some(body) = self.bodies.get_mut(&number) {
            body.is_complete = true;
        }
    }

    /// Removes a body; does nothing if it has been given up.
    pub fn close(&mut self, number: u64) {
        if let Some(body) = self.bodies.remove(&number) {
            self.held_bytes -= body.bytes;
        }
    }
}
