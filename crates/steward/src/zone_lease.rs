//! The lease that elects one steward per availability zone.

/// Maximum time from the [`ZoneLease::may_order`] check before an order until the upstream has
/// accepted or rejected it. Orders are abandoned after this timeout.
pub const ORDER_TIMEOUT_MS: u64 = 1_000;
/// Part of the lease that is left unused, in percent, to allow for clocks that run at different
/// rates.
const CLOCK_DRIFT_MARGIN_PERCENT: u64 = 10;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct HeldLease {
    fencing_token: u64,
    acquired_at_ms: u64,
    valid_until_ms: u64,
}

/// One process's view of the lease of its zone, timed by its own monotonic clock.
///
/// The validity counts from the time *before* a renewal was sent, so the lease expires here no
/// later than in the key-value service. Upstreams that reject outdated fencing tokens receive orders
/// as soon as the lease is acquired. Before it sends orders to the others, a new holder waits until
/// the last order of its predecessor has completed: a holder starts no order after its lease has
/// expired, and no order is in flight for longer than [`ORDER_TIMEOUT_MS`].
#[derive(Clone, Debug)]
pub struct ZoneLease {
    ttl_ms: u64,
    held: Option<HeldLease>,
}

impl ZoneLease {
    /// Creates the state of a process that doesn't hold the lease. `ttl_ms` is the lease's time to
    /// live in the key-value service.
    pub fn new(ttl_ms: u64) -> Self {
        Self { ttl_ms, held: None }
    }

    /// Records that the lease was acquired by a request sent at `sent_at_ms`. The fencing token is
    /// the revision of the write, which only increases.
    pub fn record_acquired(&mut self, sent_at_ms: u64, fencing_token: u64) {
        let valid_until_ms = self.expiry_ms(sent_at_ms);
        self.held = Some(HeldLease { fencing_token, acquired_at_ms: sent_at_ms, valid_until_ms });
    }

    /// Records that the lease was renewed by a request sent at `sent_at_ms`. A response received
    /// after the lease has expired by the local clock doesn't renew it.
    pub fn record_renewed(&mut self, sent_at_ms: u64, now_ms: u64) {
        let valid_until_ms = self.expiry_ms(sent_at_ms);
        match &mut self.held {
            Some(held) if now_ms < held.valid_until_ms => {
                held.valid_until_ms = held.valid_until_ms.max(valid_until_ms);
            }
            _ => self.held = None,
        }
    }

    /// Records that the lease is not held, whether it was lost or never acquired.
    pub fn record_lost(&mut self) {
        self.held = None;
    }

    /// Returns whether the lease is held and has not expired by the local clock.
    pub fn is_held(&self, now_ms: u64) -> bool {
        self.held.is_some_and(|held| now_ms < held.valid_until_ms)
    }

    /// Returns the fencing token of the lease that was acquired last, even if the lease has expired;
    /// `None` after it was recorded as lost.
    pub fn fencing_token(&self) -> Option<u64> {
        self.held.map(|held| held.fencing_token)
    }

    /// Returns whether an order may be sent now. `checks_fencing` is whether its receiver rejects
    /// outdated fencing tokens.
    pub fn may_order(&self, now_ms: u64, checks_fencing: bool) -> bool {
        let Some(held) = self.held else { return false };
        let is_predecessor_done = now_ms >= held.acquired_at_ms + ORDER_TIMEOUT_MS;
        now_ms < held.valid_until_ms && (checks_fencing || is_predecessor_done)
    }

    fn expiry_ms(&self, sent_at_ms: u64) -> u64 {
        sent_at_ms + self.ttl_ms * (100 - CLOCK_DRIFT_MARGIN_PERCENT) / 100
    }
}
