//! Who holds the duties.
//!
//! The holder's name stands in the store under one key that is bound to a lease. Whoever creates the
//! key holds the duties; the revision of that write is the fencing token, so it rises with each
//! holder. Not all receivers check the token, so the holder also stops by its own clock before the
//! store can have let the lease lapse, and a new holder waits before it acts.

/// Times of the lease.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseOptions {
    /// Time that the store keeps the lease after a renewal.
    pub ttl_ms: u64,
    /// Part of the lease's time during which the holder acts; the rest covers a call on its way.
    pub acting_ms: u64,
    /// Wait of a new holder before it acts, so that calls of the one before have ended and two
    /// changes of the holder never fall within one lease.
    pub settle_ms: u64,
    /// Between two renewals.
    pub renew_ms: u64,
}

impl LeaseOptions {
    /// Derives the times from the lease's.
    pub fn from_ttl(ttl_ms: u64) -> Self {
        Self {
            ttl_ms,
            acting_ms: ttl_ms * 2 / 3,
            settle_ms: ttl_ms * 11 / 20,
            renew_ms: ttl_ms / 4,
        }
    }
}

/// What is to be done about the lease now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaseStep {
    /// Nothing.
    Wait,
    /// Ask for a lease and create the key with it.
    Claim,
    /// Renew the lease.
    Renew,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Held {
    fence: u64,
    acquired_at_ms: u64,
    /// Start of the last call that renewed the lease.
    renewed_at_ms: u64,
    /// Start of the last attempt to renew.
    tried_at_ms: u64,
}

/// This instance's view of who holds the duties.
#[derive(Clone, Debug)]
pub struct DutyLease {
    options: LeaseOptions,
    held: Option<Held>,
    /// Set while the store shows no holder: the time from which this instance may claim.
    claim_from_ms: Option<u64>,
}

impl DutyLease {
    /// Creates the view of an instance that knows nothing yet.
    pub fn new(options: LeaseOptions) -> Self {
        Self { options, held: None, claim_from_ms: None }
    }

    /// The store shows that nobody holds the duties since `revision`; none for a listing, whose
    /// revision is not known. `delay_ms` spreads the instances' claims.
    pub fn note_vacant(&mut self, revision: Option<u64>, delay_ms: u64, now_ms: u64) {
        if let Some(held) = self.held {
            if revision.is_none_or(|revision| revision < held.fence) {
                return;
            }
            self.held = None;
        }
        self.claim_from_ms.get_or_insert(now_ms + delay_ms);
    }

    /// The store shows a holder's key that was written at `revision`.
    pub fn note_holder(&mut self, revision: u64) {
        self.claim_from_ms = None;
        if self.held.is_some_and(|held| held.fence != revision) {
            self.held = None;
        }
    }

    /// A claim has succeeded. `started_at_ms` is the time before the lease was asked for.
    pub fn note_claimed(&mut self, fence: u64, started_at_ms: u64, now_ms: u64) {
        self.claim_from_ms = None;
        self.held = Some(Held {
            fence,
            acquired_at_ms: now_ms,
            renewed_at_ms: started_at_ms,
            tried_at_ms: started_at_ms,
        });
    }

    /// A claim has failed or its outcome is not known; the store will show who holds the duties.
    pub fn note_claim_failed(&mut self, delay_ms: u64, now_ms: u64) {
        self.held = None;
        self.claim_from_ms = Some(now_ms + delay_ms);
    }

    /// A renewal that started at `started_at_ms` has succeeded.
    pub fn note_renewed(&mut self, started_at_ms: u64) {
        if let Some(held) = &mut self.held {
            held.renewed_at_ms = held.renewed_at_ms.max(started_at_ms);
        }
    }

    /// The store says that the lease has ended.
    pub fn note_lost(&mut self) {
        self.held = None;
    }

    /// What is to be done now.
    pub fn step(&mut self, now_ms: u64) -> LeaseStep {
        let Some(held) = &mut self.held else {
            let is_due = self.claim_from_ms.is_some_and(|from_ms| from_ms <= now_ms);
            return if is_due { LeaseStep::Claim } else { LeaseStep::Wait };
        };
        if now_ms >= held.renewed_at_ms + self.options.ttl_ms {
            self.held = None;
            return LeaseStep::Wait;
        }
        if now_ms >= held.tried_at_ms + self.options.renew_ms {
            held.tried_at_ms = now_ms;
            return LeaseStep::Renew;
        }
        LeaseStep::Wait
    }

    /// The fencing token, if this instance may act now.
    pub fn fence(&self, now_ms: u64) -> Option<u64> {
        let held = self.held?;
        let has_settled = now_ms >= held.acquired_at_ms + self.options.settle_ms;
        let is_fresh = now_ms < held.renewed_at_ms + self.options.acting_ms;
        (has_settled && is_fresh).then_some(held.fence)
    }

    /// Whether this instance holds the duties, as far as it knows.
    pub fn is_holder(&self) -> bool {
        self.held.is_some()
    }
}
