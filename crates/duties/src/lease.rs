//! Leader election for the duties.
//!
//! The holder's name is stored under one key that is bound to a lease. The instance that creates
//! the key holds the duties; the revision of that write is the fencing token, so it increases with
//! each holder. Not all receivers check the token, so the holder also stops by its own clock before
//! the lease can have expired in the store, and a new holder waits before it acts.

/// Timing of the lease.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseOptions {
    /// Time to live of the lease in the store after a renewal.
    pub ttl_ms: u64,
    /// Time after a renewal during which the holder may act, shorter than `ttl_ms`; the rest covers
    /// calls that are in flight.
    pub valid_ms: u64,
    /// Delay before a new holder acts, so that its predecessor's calls have ended and the holder
    /// changes at most once within one time to live.
    pub takeover_delay_ms: u64,
    /// Interval between two renewals.
    pub renew_interval_ms: u64,
}

impl LeaseOptions {
    /// Derives all times from the time to live.
    pub fn from_ttl(ttl_ms: u64) -> Self {
        Self {
            ttl_ms,
            valid_ms: ttl_ms * 2 / 3,
            takeover_delay_ms: ttl_ms * 11 / 20,
            renew_interval_ms: ttl_ms / 4,
        }
    }
}

/// Next action to take on the lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaseAction {
    /// Nothing is due.
    Wait,
    /// Request a lease from the store and create the holder's key bound to it.
    Acquire,
    /// Send a renewal of the held lease.
    Renew,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct HeldLease {
    fencing_token: u64,
    acquired_at_ms: u64,
    /// Start of the latest call that renewed the lease successfully.
    renewed_at_ms: u64,
    /// Start of the latest renewal attempt.
    attempted_at_ms: u64,
}

/// One instance's view of the lease that elects the holder of the duties.
#[derive(Clone, Debug)]
pub struct DutyLease {
    options: LeaseOptions,
    held: Option<HeldLease>,
    /// Time from which this instance may try to acquire the lease; set while the store shows no
    /// holder, or after a failed attempt.
    acquire_from_ms: Option<u64>,
    /// Time until which a lease of an earlier era of the store may be valid for its holder, although
    /// the store does not know it any more.
    earlier_era_until_ms: u64,
}

impl DutyLease {
    /// Creates the state of an instance that has not observed the store yet.
    pub fn new(options: LeaseOptions) -> Self {
        Self { options, held: None, acquire_from_ms: None, earlier_era_until_ms: 0 }
    }

    /// Records that the store was restored from a backup, which may lack the lease and its key. The
    /// own lease ends. Another instance that does not know of the restore may act under its lease for
    /// a whole time to live.
    pub fn record_restore(&mut self, now_ms: u64) {
        self.held = None;
        self.acquire_from_ms = None;
        self.earlier_era_until_ms = now_ms + self.options.ttl_ms;
    }

    /// Records that the store has had no holder since `revision`; `None` for a listing, whose
    /// revision is not known. A revision older than the own fencing token is ignored. `delay_ms`
    /// spreads the instances' attempts to acquire the lease.
    pub fn observe_vacant(&mut self, revision: Option<u64>, delay_ms: u64, now_ms: u64) {
        if let Some(held) = self.held {
            if revision.is_none_or(|revision| revision < held.fencing_token) {
                return;
            }
            self.held = None;
        }
        self.acquire_from_ms.get_or_insert(now_ms + delay_ms);
    }

    /// Records that the store shows a holder's key that was written at `revision`. Any revision
    /// other than the own fencing token ends the own lease.
    pub fn observe_holder(&mut self, revision: u64) {
        self.acquire_from_ms = None;
        if self.held.is_some_and(|held| held.fencing_token != revision) {
            self.held = None;
        }
    }

    /// Records that the lease was acquired. `started_at_ms` is the time before it was requested.
    pub fn record_acquired(&mut self, fencing_token: u64, started_at_ms: u64, now_ms: u64) {
        self.acquire_from_ms = None;
        self.held = Some(HeldLease {
            fencing_token,
            acquired_at_ms: now_ms,
            renewed_at_ms: started_at_ms,
            attempted_at_ms: started_at_ms,
        });
    }

    /// Records that an attempt to acquire the lease failed or has an unknown outcome. The next attempt
    /// is due after `delay_ms`, unless the store shows a holder before then.
    pub fn record_acquire_failed(&mut self, delay_ms: u64, now_ms: u64) {
        self.held = None;
        self.acquire_from_ms = Some(now_ms + delay_ms);
    }

    /// Records a successful renewal that was sent at `started_at_ms`.
    pub fn record_renewed(&mut self, started_at_ms: u64) {
        if let Some(held) = &mut self.held {
            held.renewed_at_ms = held.renewed_at_ms.max(started_at_ms);
        }
    }

    /// Records that the lease has ended in the store.
    pub fn record_lost(&mut self) {
        self.held = None;
    }

    /// Returns the action that is due, and gives up the lease if its time to live has passed since
    /// the last renewal.
    pub fn next_action(&mut self, now_ms: u64) -> LeaseAction {
        let Some(held) = &mut self.held else {
            let is_due = self.acquire_from_ms.is_some_and(|from_ms| from_ms <= now_ms);
            return if is_due { LeaseAction::Acquire } else { LeaseAction::Wait };
        };
        if now_ms >= held.renewed_at_ms + self.options.ttl_ms {
            self.held = None;
            return LeaseAction::Wait;
        }
        if now_ms >= held.attempted_at_ms + self.options.renew_interval_ms {
            held.attempted_at_ms = now_ms;
            return LeaseAction::Renew;
        }
        LeaseAction::Wait
    }

    /// Returns the fencing token if this instance may act as the holder now.
    pub fn fencing_token(&self, now_ms: u64) -> Option<u64> {
        let held = self.held?;
        let takeover_at_ms = held.acquired_at_ms + self.options.takeover_delay_ms;
        let is_past_takeover = now_ms >= takeover_at_ms.max(self.earlier_era_until_ms);
        let is_fresh = now_ms < held.renewed_at_ms + self.options.valid_ms;
        (is_past_takeover && is_fresh).then_some(held.fencing_token)
    }

    /// Returns whether this instance holds the lease, as far as it knows. It may act only while
    /// [`Self::fencing_token`] returns a token.
    pub fn is_holder(&self) -> bool {
        self.held.is_some()
    }
}
