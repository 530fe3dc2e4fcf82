//! The claims of one shard: mutations are batched into compare-and-swap writes of its value.
//!
//! At most one request to the key-value service is in flight for a shard. Mutations that arrive
//! meanwhile are batched into the next write. Safety depends on the compare-and-swap alone: a claim
//! is granted only when a write that contains it is known to have taken effect.
//!
//! A write whose response was lost may still take effect later. Two rules make that harmless:
//!
//! - An attempt keeps its token across retries, so finding the token in the stored value proves
//!   that the attempt holds the claim.
//! - When an attempt is abandoned after such a write, the value is written once more. That
//!   increments the revision, so the delayed write fails its comparison.

use std::collections::VecDeque;

use crate::record::{ClaimKey, ClaimOutcome, ClaimRecord, ClaimToken, ShardValue, StoredResponse};

/// A request to claim a call, called an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimRequest {
    /// Identifies the recipient of the outcome.
    pub waiter: u64,
    /// Identifies the call to claim.
    pub key: ClaimKey,
    /// Unique to this attempt.
    pub token: ClaimToken,
    /// Digest of the request.
    pub request_digest: u64,
    /// Monotonic time at which an attempt without an outcome fails with
    /// [`ClaimOutcome::Unavailable`].
    pub deadline_ms: u64,
}

/// The outcome of a read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReadOutcome {
    /// The stored value, or an empty one at revision 0 if the key is absent.
    Value {
        /// The revision of the value's last write.
        mod_revision: u64,
        /// The value.
        value: ShardValue,
    },
    /// The read failed or timed out.
    Failed,
}

/// The outcome of a compare-and-swap write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// It took effect.
    Swapped {
        /// The revision of the new value.
        mod_revision: u64,
    },
    /// The stored revision differs from the expected one; nothing was written.
    Conflict {
        /// The revision of the stored value.
        mod_revision: u64,
        /// The stored value.
        value: ShardValue,
    },
    /// It did not take effect and will not do so later.
    Refused,
    /// It may have taken effect or may still do so, for example after a timeout.
    Uncertain,
}

/// An input to [`ClaimShard::handle`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimEvent {
    /// A claim is requested.
    Begin(ClaimRequest),
    /// The waiter has stopped waiting; a claim that is recorded nevertheless is released.
    Cancel {
        /// The waiter of the attempt.
        waiter: u64,
    },
    /// A claimed call has finished.
    Finish {
        /// The call.
        key: ClaimKey,
        /// The token that holds the claim.
        token: ClaimToken,
        /// The response to store.
        response: StoredResponse,
    },
    /// A claimed call is known not to have run.
    Release {
        /// The call.
        key: ClaimKey,
        /// The token that holds the claim.
        token: ClaimToken,
    },
    /// The read requested by [`ClaimAction::Read`] has completed.
    ReadDone(ReadOutcome),
    /// The write requested by [`ClaimAction::Write`] has completed.
    WriteDone(WriteOutcome),
    /// Periodic timer for deadlines and backoff.
    Tick,
}

/// An operation that the owner of the shard has to carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimAction {
    /// Read the shard's value.
    Read,
    /// Write the shard's value if its revision still equals the expected one.
    Write {
        /// The expected revision; 0 for an absent key.
        expected_revision: u64,
        /// The new value.
        value: ShardValue,
    },
    /// Report the outcome of an attempt to its waiter.
    Complete {
        /// The waiter of the attempt.
        waiter: u64,
        /// The outcome.
        outcome: ClaimOutcome,
    },
}

#[derive(Clone, Debug)]
enum Mutation {
    /// `maybe_written`: a write of this claim may have taken effect or may still do so.
    /// `arrival`: the attempt's number in order of arrival.
    Begin {
        attempt: ClaimRequest,
        maybe_written: bool,
        arrival: u64,
    },
    Finish {
        key: ClaimKey,
        token: ClaimToken,
        response: StoredResponse,
    },
    /// `must_write`: the value is written even if it does not contain the claim, to make a delayed
    /// write of the claim fail its comparison.
    Release {
        key: ClaimKey,
        token: ClaimToken,
        must_write: bool,
    },
}

#[derive(Clone, Debug)]
struct Cached {
    mod_revision: u64,
    value: ShardValue,
    /// The number of attempts that had arrived when the value was requested.
    arrivals_at_request: u64,
}

#[derive(Clone, Debug)]
enum InFlight {
    Read { arrivals_at_request: u64 },
    Write { value: ShardValue, batch: usize, arrivals_at_request: u64 },
}

/// Delay after a failed request before the next one.
const BACKOFF_MS: u64 = 50;
/// Maximum number of records in a shard; keeps its value well below the platform's limit of one
/// megabyte per value.
const SHARD_RECORD_LIMIT: usize = 4_000;

/// The claims of one shard.
#[derive(Clone, Debug)]
pub struct ClaimShard {
    cached: Option<Cached>,
    mutations: VecDeque<Mutation>,
    in_flight: Option<InFlight>,
    arrivals: u64,
    backoff_until_ms: u64,
    retention_ms: u64,
}

impl ClaimShard {
    /// Creates a shard whose value has not been read yet.
    pub fn new(retention_ms: u64) -> Self {
        Self {
            cached: None,
            mutations: VecDeque::new(),
            in_flight: None,
            arrivals: 0,
            backoff_until_ms: 0,
            retention_ms,
        }
    }

    /// Whether no mutation is pending and no request is in flight.
    pub fn is_idle(&self) -> bool {
        self.mutations.is_empty() && self.in_flight.is_none()
    }

    /// Processes an event and returns the resulting actions.
    ///
    /// `now_ms` is monotonic time. `wall_ms` is time since the Unix epoch, used to timestamp
    /// records and to evict those past the retention period.
    pub fn handle(&mut self, event: ClaimEvent, now_ms: u64, wall_ms: u64) -> Vec<ClaimAction> {
        let mut actions = Vec::new();
        match event {
            ClaimEvent::Begin(attempt) => self.enqueue_attempt(attempt),
            ClaimEvent::Cancel { waiter } => self.cancel(waiter),
            ClaimEvent::Finish { key, token, response } => {
                self.mutations.push_back(Mutation::Finish { key, token, response });
            }
            ClaimEvent::Release { key, token } => {
                self.mutations.push_back(Mutation::Release { key, token, must_write: false });
            }
            ClaimEvent::ReadDone(outcome) => self.finish_read(outcome, now_ms, &mut actions),
            ClaimEvent::WriteDone(outcome) => self.finish_write(outcome, now_ms, &mut actions),
            ClaimEvent::Tick => {}
        }
        self.fail_overdue_attempts(now_ms, &mut actions);
        self.start_next_request(now_ms, wall_ms, &mut actions);
        actions
    }

    fn enqueue_attempt(&mut self, attempt: ClaimRequest) {
        self.arrivals += 1;
        let arrival = self.arrivals;
        self.mutations.push_back(Mutation::Begin { attempt, maybe_written: false, arrival });
    }

    fn cancel(&mut self, waiter: u64) {
        let position = self.mutations.iter().position(
            |mutation| matches!(mutation, Mutation::Begin { attempt, .. } if attempt.waiter == waiter),
        );
        if let Some(position) = position {
            self.abandon(position);
        }
    }

    /// Replaces an attempt with the release of its claim if the claim may have been written, and
    /// removes it otherwise.
    fn abandon(&mut self, position: usize) {
        let in_batch = position < self.in_flight_batch_len();
        let Mutation::Begin { attempt, maybe_written, .. } = &self.mutations[position] else {
            return;
        };
        let must_write = *maybe_written || in_batch;
        let release = Mutation::Release { key: attempt.key, token: attempt.token, must_write };
        if in_batch {
            // A batch is completed by position, so the mutation is replaced rather than removed.
            self.mutations[position] = release;
        } else if must_write {
            self.mutations[position] = release;
        } else {
            self.mutations.remove(position);
        }
    }

    fn in_flight_batch_len(&self) -> usize {
        match &self.in_flight {
            Some(InFlight::Write { batch, .. }) => *batch,
            _ => 0,
        }
    }

    fn fail_overdue_attempts(&mut self, now_ms: u64, actions: &mut Vec<ClaimAction>) {
        self.fail_attempts(actions, |attempt, _| now_ms >= attempt.deadline_ms);
    }

    /// Fails all matching attempts with [`ClaimOutcome::Unavailable`].
    fn fail_attempts(
        &mut self,
        actions: &mut Vec<ClaimAction>,
        should_fail: impl Fn(&ClaimRequest, bool) -> bool,
    ) {
        let mut position = 0;
        while position < self.mutations.len() {
            let waiter = match &self.mutations[position] {
                Mutation::Begin { attempt, maybe_written, .. }
                    if should_fail(attempt, *maybe_written) =>
                {
                    Some(attempt.waiter)
                }
                _ => None,
            };
            let Some(waiter) = waiter else {
                position += 1;
                continue;
            };
            actions.push(ClaimAction::Complete { waiter, outcome: ClaimOutcome::Unavailable });
            let len_before = self.mutations.len();
            self.abandon(position);
            if self.mutations.len() == len_before {
                position += 1;
            }
        }
    }

    fn finish_read(&mut self, outcome: ReadOutcome, now_ms: u64, actions: &mut Vec<ClaimAction>) {
        let Some(InFlight::Read { arrivals_at_request }) = self.in_flight.take() else {
            return;
        };
        match outcome {
            ReadOutcome::Value { mod_revision, value } => {
                self.cached = Some(Cached { mod_revision, value, arrivals_at_request });
            }
            ReadOutcome::Failed => {
                self.backoff_until_ms = now_ms + BACKOFF_MS;
                // Attempts that were never part of a write fail at once; the caller can retry.
                self.fail_attempts(actions, |_, maybe_written| !maybe_written);
            }
        }
    }

    fn finish_write(&mut self, outcome: WriteOutcome, now_ms: u64, actions: &mut Vec<ClaimAction>) {
        let Some(InFlight::Write { value, batch, arrivals_at_request }) = self.in_flight.take()
        else {
            return;
        };
        match outcome {
            WriteOutcome::Swapped { mod_revision } => {
                self.cached = Some(Cached { mod_revision, value, arrivals_at_request });
                self.complete_batch(batch, actions);
            }
            WriteOutcome::Conflict { mod_revision, value } => {
                self.cached = Some(Cached { mod_revision, value, arrivals_at_request });
            }
            WriteOutcome::Refused => {
                self.cached = None;
                self.backoff_until_ms = now_ms + BACKOFF_MS;
                self.fail_attempts(actions, |_, maybe_written| !maybe_written);
            }
            WriteOutcome::Uncertain => {
                self.cached = None;
                self.backoff_until_ms = now_ms + BACKOFF_MS;
                for mutation in self.mutations.iter_mut().take(batch) {
                    if let Mutation::Begin { maybe_written, .. } = mutation {
                        *maybe_written = true;
                    }
                }
            }
        }
    }

    fn complete_batch(&mut self, batch: usize, actions: &mut Vec<ClaimAction>) {
        let mut remaining = VecDeque::new();
        for mutation in self.mutations.drain(..batch) {
            match mutation {
                Mutation::Begin { attempt, .. } => {
                    let outcome = ClaimOutcome::Granted;
                    actions.push(ClaimAction::Complete { waiter: attempt.waiter, outcome });
                }
                // The attempt was abandoned while its write was in flight, so the claim is stored
                // and has to be released by another write.
                Mutation::Release { key, token, must_write: true } => {
                    remaining.push_back(Mutation::Release { key, token, must_write: false });
                }
                Mutation::Finish { .. } | Mutation::Release { .. } => {}
            }
        }
        remaining.append(&mut self.mutations);
        self.mutations = remaining;
    }

    fn start_next_request(&mut self, now_ms: u64, wall_ms: u64, actions: &mut Vec<ClaimAction>) {
        if self.in_flight.is_some() || self.mutations.is_empty() || now_ms < self.backoff_until_ms {
            return;
        }
        let Some(cached) = self.cached.take() else {
            self.start_read(actions);
            return;
        };
        let evaluation = self.evaluate(&cached, wall_ms, actions);
        match evaluation {
            Evaluation::Stale => self.start_read(actions),
            Evaluation::Unchanged => {
                self.cached = Some(cached);
            }
            Evaluation::Changed(value) => {
                let expected_revision = cached.mod_revision;
                self.in_flight = Some(InFlight::Write {
                    value: value.clone(),
                    batch: self.mutations.len(),
                    arrivals_at_request: self.arrivals,
                });
                actions.push(ClaimAction::Write { expected_revision, value });
            }
        }
    }

    fn start_read(&mut self, actions: &mut Vec<ClaimAction>) {
        self.in_flight = Some(InFlight::Read { arrivals_at_request: self.arrivals });
        actions.push(ClaimAction::Read);
    }

    /// Applies all pending mutations to a copy of the value. Those that leave it unchanged are
    /// completed and removed; the rest form the next batch.
    fn evaluate(
        &mut self,
        cached: &Cached,
        wall_ms: u64,
        actions: &mut Vec<ClaimAction>,
    ) -> Evaluation {
        let stale = self.mutations.iter().any(|mutation| is_stale(mutation, cached));
        if stale {
            return Evaluation::Stale;
        }
        let mut value = cached.value.clone();
        value.evict_expired(wall_ms, self.retention_ms);
        let mut batch = VecDeque::new();
        for mutation in self.mutations.drain(..) {
            if apply(&mutation, &mut value, wall_ms, actions) {
                batch.push_back(mutation);
            }
        }
        self.mutations = batch;
        if self.mutations.is_empty() { Evaluation::Unchanged } else { Evaluation::Changed(value) }
    }
}

enum Evaluation {
    Stale,
    Unchanged,
    Changed(ShardValue),
}

/// Whether the cached value is too old to decide a mutation: a claim found in a value that was
/// requested before the attempt arrived may have been released since.
fn is_stale(mutation: &Mutation, cached: &Cached) -> bool {
    match mutation {
        Mutation::Begin { attempt, arrival, .. } => {
            cached.arrivals_at_request < *arrival && cached.value.find(attempt.key).is_some()
        }
        _ => false,
    }
}

/// Applies one mutation to the value. Returns false if it does not require a write.
fn apply(
    mutation: &Mutation,
    value: &mut ShardValue,
    wall_ms: u64,
    actions: &mut Vec<ClaimAction>,
) -> bool {
    match mutation {
        Mutation::Begin { attempt, .. } => {
            let Some(outcome) = try_claim(attempt, value, wall_ms) else { return true };
            actions.push(ClaimAction::Complete { waiter: attempt.waiter, outcome });
            false
        }
        Mutation::Finish { key, token, response } => value.finish(*key, *token, response),
        Mutation::Release { key, token, must_write } => value.release(*key, *token) || *must_write,
    }
}

/// Inserts the claim and returns `None`, or returns the outcome if nothing has to be written.
fn try_claim(attempt: &ClaimRequest, value: &mut ShardValue, wall_ms: u64) -> Option<ClaimOutcome> {
    let Some(record) = value.find(attempt.key) else {
        if value.len() >= SHARD_RECORD_LIMIT {
            return Some(ClaimOutcome::Unavailable);
        }
        let record = ClaimRecord {
            token: attempt.token,
            request_digest: attempt.request_digest,
            claimed_at_ms: wall_ms,
            response: None,
        };
        value.insert(attempt.key, record);
        return None;
    };
    if record.token == attempt.token {
        return Some(ClaimOutcome::Granted);
    }
    if record.request_digest != attempt.request_digest {
        return Some(ClaimOutcome::KeyReused);
    }
    Some(match &record.response {
        Some(response) => ClaimOutcome::Finished(response.clone()),
        None => ClaimOutcome::InProgress,
    })
}
