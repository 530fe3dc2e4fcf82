//! Holding the lease of an availability zone.

/// Longest time from the check before an order until the upstream has taken or refused it. Orders
/// are given up after it.
pub const ORDER_FLIGHT_MS: u64 = 1_000;
/// Part of the lease that is not used, against clocks that run at different speeds, in percent.
const MARGIN_PERCENT: u64 = 10;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Held {
    fencing: u64,
    since_ms: u64,
    valid_until_ms: u64,
}

/// One process's hold on a lease, by its own monotonic clock.
///
/// The lease counts from the moment *before* a renewal was sent, so it ends here no later than at
/// the platform. Upstreams that refuse old fencing numbers take orders at once. For those that don't,
/// a new holder waits until the last order of the one before has come to its end: an old holder
/// starts none after its lease, and none is under way longer than [`ORDER_FLIGHT_MS`].
#[derive(Clone, Debug)]
pub struct LeaseTenure {
    ttl_ms: u64,
    held: Option<Held>,
}

impl LeaseTenure {
    /// Creates a tenure that holds nothing.
    pub fn new(ttl_ms: u64) -> Self {
        Self { ttl_ms, held: None }
    }

    /// The lease was won by a request sent at this time. The fencing number is the revision of the
    /// write, which only grows.
    pub fn start(&mut self, sent_at_ms: u64, fencing: u64) {
        let valid_until_ms = self.end_of(sent_at_ms);
        self.held = Some(Held { fencing, since_ms: sent_at_ms, valid_until_ms });
    }

    /// The lease was renewed by a request sent at this time. A renewal that comes back after the
    /// lease has ended here doesn't revive it.
    pub fn renew(&mut self, sent_at_ms: u64, now_ms: u64) {
        let valid_until_ms = self.end_of(sent_at_ms);
        match &mut self.held {
            Some(held) if now_ms < held.valid_until_ms => {
                held.valid_until_ms = held.valid_until_ms.max(valid_until_ms);
            }
            _ => self.held = None,
        }
    }

    /// The lease is lost.
    pub fn end(&mut self) {
        self.held = None;
    }

    /// Whether it is held now.
    pub fn is_held(&self, now_ms: u64) -> bool {
        self.held.is_some_and(|held| now_ms < held.valid_until_ms)
    }

    /// The fencing number of the hold.
    pub fn fencing(&self) -> Option<u64> {
        self.held.map(|held| held.fencing)
    }

    /// Whether an order may be started now.
    pub fn may_order(&self, now_ms: u64, checks_fencing: bool) -> bool {
        let Some(held) = self.held else { return false };
        let is_clear = now_ms >= held.since_ms + ORDER_FLIGHT_MS;
        now_ms < held.valid_until_ms && (checks_fencing || is_clear)
    }

    fn end_of(&self, sent_at_ms: u64) -> u64 {
        sent_at_ms + self.ttl_ms * (100 - MARGIN_PERCENT) / 100
    }
}
