//! Changes to the claims of one shard, batched into compare-and-swaps of one value.
//!
//! At most one call to the key-value service is in flight for a shard. Changes that arrive
//! meanwhile go out together in the next write. Safety rests on the compare-and-swap alone: a claim
//! is granted only when a write that contains it is known to have taken effect.
//!
//! A write whose answer was lost may still take effect later. Two rules make that harmless:
//!
//! - A try keeps its token, so reading it back in the stored value proves the claim.
//! - When a try is given up after such a write, the value is written once more. That moves the
//!   revision on, so the late write fails its comparison.

use std::collections::VecDeque;

use crate::record::{ClaimAnswer, ClaimKey, ClaimRecord, ClaimToken, ShardValue, StoredAnswer};

/// A try to claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BeginClaim {
    /// Names the one who waits for the answer.
    pub waiter: u64,
    /// The call.
    pub key: ClaimKey,
    /// Unique for this try.
    pub token: ClaimToken,
    /// Digest of the request.
    pub request_digest: u64,
    /// When the waiter is told `Unavailable`, by the monotonic clock.
    pub deadline_ms: u64,
}

/// What a read found.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReadOutcome {
    /// The value, or an empty one at revision 0 if the key is absent.
    Value {
        /// The revision of the value's last write.
        mod_revision: u64,
        /// The value.
        value: ShardValue,
    },
    /// No answer.
    Failed,
}

/// What became of a write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// It took effect.
    Swapped {
        /// Its revision.
        mod_revision: u64,
    },
    /// Another value stands there; nothing was written.
    Conflict {
        /// The revision of the value that stands there.
        mod_revision: u64,
        /// The value that stands there.
        value: ShardValue,
    },
    /// It did not take effect and never will.
    Refused,
    /// It may have taken effect, or may later.
    Uncertain,
}

/// Something that happened.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimEvent {
    /// A call wants its claim.
    Begin(BeginClaim),
    /// The one who waits has gone; a claim that comes through later is given back.
    Cancel {
        /// Whose wait ended.
        waiter: u64,
    },
    /// A claimed call has run.
    Finish {
        /// The call.
        key: ClaimKey,
        /// The token that holds it.
        token: ClaimToken,
        /// Its answer.
        answer: StoredAnswer,
    },
    /// A claimed call is proved not to have run.
    Release {
        /// The call.
        key: ClaimKey,
        /// The token that holds it.
        token: ClaimToken,
    },
    /// The read that was asked for has ended.
    ReadDone(ReadOutcome),
    /// The write that was asked for has ended.
    WriteDone(WriteOutcome),
    /// Time has passed.
    Tick,
}

/// Something to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimAction {
    /// Read the shard's value.
    Read,
    /// Write the shard's value if its revision is still the expected one.
    Write {
        /// The expected revision; 0 for an absent key.
        expected_revision: u64,
        /// The new value.
        value: ShardValue,
    },
    /// Tell the one who waits.
    Answer {
        /// Who waits.
        waiter: u64,
        /// What came of it.
        answer: ClaimAnswer,
    },
}

#[derive(Clone, Debug)]
enum Mutation {
    Begin { begin: BeginClaim, maybe_written: bool, arrival: u64 },
    Finish { key: ClaimKey, token: ClaimToken, answer: StoredAnswer },
    Release { key: ClaimKey, token: ClaimToken, must_write: bool },
}

#[derive(Clone, Debug)]
struct Cached {
    mod_revision: u64,
    value: ShardValue,
    /// Arrivals up to this one came before the value was asked for.
    asked_after_arrival: u64,
}

#[derive(Clone, Debug)]
enum InFlight {
    Read { asked_after_arrival: u64 },
    Write { value: ShardValue, batch: usize, asked_after_arrival: u64 },
}

/// Waits after a failed call before the next one.
const BACKOFF_MS: u64 = 50;
/// Records of one shard; keeps its value well below the megabyte that the platform takes.
const SHARD_RECORD_LIMIT: usize = 4_000;

/// The claims of one shard.
#[derive(Clone, Debug)]
pub struct ClaimShard {
    cached: Option<Cached>,
    mutations: VecDeque<Mutation>,
    in_flight: Option<InFlight>,
    arrivals: u64,
    not_before_ms: u64,
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
            not_before_ms: 0,
            retention_ms,
        }
    }

    /// Whether it has nothing left to write or to answer.
    pub fn is_idle(&self) -> bool {
        self.mutations.is_empty() && self.in_flight.is_none()
    }

    /// Takes an event and says what to do. `wall_ms` stamps and ages records.
    pub fn handle(&mut self, event: ClaimEvent, now_ms: u64, wall_ms: u64) -> Vec<ClaimAction> {
        let mut actions = Vec::new();
        match event {
            ClaimEvent::Begin(begin) => self.add_begin(begin),
            ClaimEvent::Cancel { waiter } => self.cancel(waiter),
            ClaimEvent::Finish { key, token, answer } => {
                self.mutations.push_back(Mutation::Finish { key, token, answer });
            }
            ClaimEvent::Release { key, token } => {
                self.mutations.push_back(Mutation::Release { key, token, must_write: false });
            }
            ClaimEvent::ReadDone(outcome) => self.finish_read(outcome, now_ms, &mut actions),
            ClaimEvent::WriteDone(outcome) => self.finish_write(outcome, now_ms, &mut actions),
            ClaimEvent::Tick => {}
        }
        self.give_up_late(now_ms, &mut actions);
        self.pump(now_ms, wall_ms, &mut actions);
        actions
    }

    fn add_begin(&mut self, begin: BeginClaim) {
        self.arrivals += 1;
        let arrival = self.arrivals;
        self.mutations.push_back(Mutation::Begin { begin, maybe_written: false, arrival });
    }

    fn cancel(&mut self, waiter: u64) {
        let position = self.mutations.iter().position(
            |mutation| matches!(mutation, Mutation::Begin { begin, .. } if begin.waiter == waiter),
        );
        if let Some(position) = position {
            self.abandon(position);
        }
    }

    /// Turns a try into the clean-up of what it may have written.
    fn abandon(&mut self, position: usize) {
        let in_batch = position < self.batch_length();
        let Mutation::Begin { begin, maybe_written, .. } = &self.mutations[position] else {
            return;
        };
        let must_write = *maybe_written || in_batch;
        let release = Mutation::Release { key: begin.key, token: begin.token, must_write };
        if in_batch {
            // The write in flight is answered for the whole batch, so the place is kept.
            self.mutations[position] = release;
        } else if must_write {
            self.mutations[position] = release;
        } else {
            self.mutations.remove(position);
        }
    }

    fn batch_length(&self) -> usize {
        match &self.in_flight {
            Some(InFlight::Write { batch, .. }) => *batch,
            _ => 0,
        }
    }

    fn give_up_late(&mut self, now_ms: u64, actions: &mut Vec<ClaimAction>) {
        self.answer_begins(actions, |begin, _| now_ms >= begin.deadline_ms);
    }

    /// Tells those who wait and match that the claim can't be had.
    fn answer_begins(
        &mut self,
        actions: &mut Vec<ClaimAction>,
        matches: impl Fn(&BeginClaim, bool) -> bool,
    ) {
        let mut position = 0;
        while position < self.mutations.len() {
            let waiter = match &self.mutations[position] {
                Mutation::Begin { begin, maybe_written, .. } if matches(begin, *maybe_written) => {
                    Some(begin.waiter)
                }
                _ => None,
            };
            let Some(waiter) = waiter else {
                position += 1;
                continue;
            };
            actions.push(ClaimAction::Answer { waiter, answer: ClaimAnswer::Unavailable });
            let before = self.mutations.len();
            self.abandon(position);
            if self.mutations.len() == before {
                position += 1;
            }
        }
    }

    fn finish_read(&mut self, outcome: ReadOutcome, now_ms: u64, actions: &mut Vec<ClaimAction>) {
        let Some(InFlight::Read { asked_after_arrival }) = self.in_flight.take() else {
            return;
        };
        match outcome {
            ReadOutcome::Value { mod_revision, value } => {
                self.cached = Some(Cached { mod_revision, value, asked_after_arrival });
            }
            ReadOutcome::Failed => {
                self.not_before_ms = now_ms + BACKOFF_MS;
                // Tries that never left this process are refused at once; the caller can come back.
                self.answer_begins(actions, |_, maybe_written| !maybe_written);
            }
        }
    }

    fn finish_write(&mut self, outcome: WriteOutcome, now_ms: u64, actions: &mut Vec<ClaimAction>) {
        let Some(InFlight::Write { value, batch, asked_after_arrival }) = self.in_flight.take()
        else {
            return;
        };
        match outcome {
            WriteOutcome::Swapped { mod_revision } => {
                self.cached = Some(Cached { mod_revision, value, asked_after_arrival });
                self.settle_batch(batch, actions);
            }
            WriteOutcome::Conflict { mod_revision, value } => {
                self.cached = Some(Cached { mod_revision, value, asked_after_arrival });
            }
            WriteOutcome::Refused => {
                self.cached = None;
                self.not_before_ms = now_ms + BACKOFF_MS;
                self.answer_begins(actions, |_, maybe_written| !maybe_written);
            }
            WriteOutcome::Uncertain => {
                self.cached = None;
                self.not_before_ms = now_ms + BACKOFF_MS;
                for mutation in self.mutations.iter_mut().take(batch) {
                    if let Mutation::Begin { maybe_written, .. } = mutation {
                        *maybe_written = true;
                    }
                }
            }
        }
    }

    fn settle_batch(&mut self, batch: usize, actions: &mut Vec<ClaimAction>) {
        let mut kept = VecDeque::new();
        for mutation in self.mutations.drain(..batch) {
            match mutation {
                Mutation::Begin { begin, .. } => {
                    let answer = ClaimAnswer::Granted;
                    actions.push(ClaimAction::Answer { waiter: begin.waiter, answer });
                }
                // A try given up while its write was in flight: the write wrote the claim.
                Mutation::Release { key, token, must_write: true } => {
                    kept.push_back(Mutation::Release { key, token, must_write: false });
                }
                Mutation::Finish { .. } | Mutation::Release { .. } => {}
            }
        }
        kept.append(&mut self.mutations);
        self.mutations = kept;
    }

    fn pump(&mut self, now_ms: u64, wall_ms: u64, actions: &mut Vec<ClaimAction>) {
        if self.in_flight.is_some() || self.mutations.is_empty() || now_ms < self.not_before_ms {
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
                    asked_after_arrival: self.arrivals,
                });
                actions.push(ClaimAction::Write { expected_revision, value });
            }
        }
    }

    fn start_read(&mut self, actions: &mut Vec<ClaimAction>) {
        self.in_flight = Some(InFlight::Read { asked_after_arrival: self.arrivals });
        actions.push(ClaimAction::Read);
    }

    /// Works all waiting changes into a copy of the value. Those that change nothing are answered
    /// and dropped; what is left is the batch.
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
        value.prune(wall_ms, self.retention_ms);
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

/// A claim found in a value that was read before the try arrived may have been released since.
fn is_stale(mutation: &Mutation, cached: &Cached) -> bool {
    match mutation {
        Mutation::Begin { begin, arrival, .. } => {
            cached.asked_after_arrival < *arrival && cached.value.find(begin.key).is_some()
        }
        _ => false,
    }
}

/// Works one change into the value; false if nothing of it has to be written.
fn apply(
    mutation: &Mutation,
    value: &mut ShardValue,
    wall_ms: u64,
    actions: &mut Vec<ClaimAction>,
) -> bool {
    match mutation {
        Mutation::Begin { begin, .. } => {
            let Some(answer) = try_claim(begin, value, wall_ms) else { return true };
            actions.push(ClaimAction::Answer { waiter: begin.waiter, answer });
            false
        }
        Mutation::Finish { key, token, answer } => value.finish(*key, *token, answer),
        Mutation::Release { key, token, must_write } => value.release(*key, *token) || *must_write,
    }
}

/// Inserts the claim (`None`) or tells what stands in its way.
fn try_claim(begin: &BeginClaim, value: &mut ShardValue, wall_ms: u64) -> Option<ClaimAnswer> {
    let Some(record) = value.find(begin.key) else {
        if value.len() >= SHARD_RECORD_LIMIT {
            return Some(ClaimAnswer::Unavailable);
        }
        let record = ClaimRecord {
            token: begin.token,
            request_digest: begin.request_digest,
            claimed_at_ms: wall_ms,
            answer: None,
        };
        value.insert(begin.key, record);
        return None;
    };
    if record.token == begin.token {
        return Some(ClaimAnswer::Granted);
    }
    if record.request_digest != begin.request_digest {
        return Some(ClaimAnswer::KeyReused);
    }
    Some(match &record.answer {
        Some(answer) => ClaimAnswer::Finished(answer.clone()),
        None => ClaimAnswer::InProgress,
    })
}
