//! State of the order ids that this process has issued.

use std::collections::BTreeMap;

use crate::{ClaimOutcome, StoredResponse};

#[derive(Clone, Debug)]
enum State {
    Issued,
    Running { request_digest: u64 },
    Finished { request_digest: u64, response: StoredResponse },
}

#[derive(Clone, Debug)]
struct Entry {
    issued_at_ms: u64,
    state: State,
}

/// The order ids issued by this incarnation of the process, with the state of their calls.
///
/// All times come from the monotonic clock of this process, so clock skew between instances has no
/// effect.
#[derive(Clone, Debug)]
pub struct OrderIdTable {
    entries: BTreeMap<u64, Entry>,
    next_sequence: u64,
    retention_ms: u64,
}

impl OrderIdTable {
    /// Creates an empty table that expires each id `retention_ms` after it was issued.
    pub fn new(retention_ms: u64) -> Self {
        Self { entries: BTreeMap::new(), next_sequence: 1, retention_ms }
    }

    /// Issues an id and returns its sequence number. Sequence numbers start at 1.
    pub fn issue(&mut self, now_ms: u64) -> u64 {
        self.evict_expired(now_ms);
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.entries.insert(sequence, Entry { issued_at_ms: now_ms, state: State::Issued });
        sequence
    }

    /// Claims an issued id for execution.
    ///
    /// An id that is unknown or past its retention period is [`ClaimOutcome::Expired`].
    pub fn begin(&mut self, sequence: u64, request_digest: u64, now_ms: u64) -> ClaimOutcome {
        self.evict_expired(now_ms);
        let Some(entry) = self.entries.get_mut(&sequence) else {
            return ClaimOutcome::Expired;
        };
        match &entry.state {
            State::Issued => {
                entry.state = State::Running { request_digest };
                ClaimOutcome::Granted
            }
            State::Running { request_digest: digest }
            | State::Finished { request_digest: digest, .. }
                if *digest != request_digest =>
            {
                ClaimOutcome::KeyReused
            }
            State::Running { .. } => ClaimOutcome::InProgress,
            State::Finished { response, .. } => ClaimOutcome::Finished(response.clone()),
        }
    }

    /// Stores the response of a call that has run. Does nothing unless the call is running.
    pub fn finish(&mut self, sequence: u64, response: StoredResponse) {
        let Some(entry) = self.entries.get_mut(&sequence) else { return };
        if let State::Running { request_digest } = entry.state {
            entry.state = State::Finished { request_digest, response };
        }
    }

    /// Releases a claim whose call is known not to have run, so that the id can be claimed again.
    pub fn release(&mut self, sequence: u64) {
        let Some(entry) = self.entries.get_mut(&sequence) else { return };
        if matches!(entry.state, State::Running { .. }) {
            entry.state = State::Issued;
        }
    }

    /// The number of ids that are retained.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no ids are retained.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn evict_expired(&mut self, now_ms: u64) {
        let retention_ms = self.retention_ms;
        while let Some(oldest) = self.entries.first_entry() {
            if now_ms < oldest.get().issued_at_ms + retention_ms {
                break;
            }
            oldest.remove();
        }
    }
}
