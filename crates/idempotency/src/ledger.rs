//! Order ids that this process has issued.

use std::collections::BTreeMap;

use crate::{ClaimAnswer, StoredAnswer};

#[derive(Clone, Debug)]
enum State {
    Issued,
    Running { request_digest: u64 },
    Finished { request_digest: u64, answer: StoredAnswer },
}

#[derive(Clone, Debug)]
struct Entry {
    issued_at_ms: u64,
    state: State,
}

/// Decides on order ids of this process's own incarnation. Times are this process's monotonic ones,
/// so no other clock matters.
#[derive(Clone, Debug)]
pub struct IssuedLedger {
    entries: BTreeMap<u64, Entry>,
    next_sequence: u64,
    retention_ms: u64,
}

impl IssuedLedger {
    /// Creates an empty ledger that keeps ids for `retention_ms` from their issue.
    pub fn new(retention_ms: u64) -> Self {
        Self { entries: BTreeMap::new(), next_sequence: 1, retention_ms }
    }

    /// Issues an id.
    pub fn issue(&mut self, now_ms: u64) -> u64 {
        self.prune(now_ms);
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.entries.insert(sequence, Entry { issued_at_ms: now_ms, state: State::Issued });
        sequence
    }

    /// Tries to claim an issued id.
    pub fn begin(&mut self, sequence: u64, request_digest: u64, now_ms: u64) -> ClaimAnswer {
        self.prune(now_ms);
        let Some(entry) = self.entries.get_mut(&sequence) else {
            return ClaimAnswer::Expired;
        };
        match &entry.state {
            State::Issued => {
                entry.state = State::Running { request_digest };
                ClaimAnswer::Granted
            }
            State::Running { request_digest: digest }
            | State::Finished { request_digest: digest, .. }
                if *digest != request_digest =>
            {
                ClaimAnswer::KeyReused
            }
            State::Running { .. } => ClaimAnswer::InProgress,
            State::Finished { answer, .. } => ClaimAnswer::Finished(answer.clone()),
        }
    }

    /// Keeps the answer of a call that has run.
    pub fn finish(&mut self, sequence: u64, answer: StoredAnswer) {
        let Some(entry) = self.entries.get_mut(&sequence) else { return };
        if let State::Running { request_digest } = entry.state {
            entry.state = State::Finished { request_digest, answer };
        }
    }

    /// Gives a claim back whose call is proved not to have run.
    pub fn release(&mut self, sequence: u64) {
        let Some(entry) = self.entries.get_mut(&sequence) else { return };
        if matches!(entry.state, State::Running { .. }) {
            entry.state = State::Issued;
        }
    }

    /// How many ids it holds.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether it holds none.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn prune(&mut self, now_ms: u64) {
        let retention_ms = self.retention_ms;
        while let Some(first) = self.entries.first_entry() {
            if now_ms < first.get().issued_at_ms + retention_ms {
                break;
            }
            first.remove();
        }
    }
}
