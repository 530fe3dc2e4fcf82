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
struct IssuedId {
    issued_at_ms: u64,
    state: State,
}

/// The order ids issued by this incarnation of the process, with the state of their calls.
///
/// All times come from the monotonic clock of this process, so clock skew between instances has no
/// effect.
#[derive(Clone, Debug)]
pub struct OrderIdTable {
    issued_ids: BTreeMap<u64, IssuedId>,
    next_sequence: u64,
    retention_ms: u64,
}

impl OrderIdTable {
    /// Creates an empty table that expires each id `retention_ms` after it was issued.
    pub fn new(retention_ms: u64) -> Self {
        Self { issued_ids: BTreeMap::new(), next_sequence: 1, retention_ms }
    }

    /// Issues an id and returns its sequence number. Sequence numbers start at 1.
    pub fn issue(&mut self, now_ms: u64) -> u64 {
        self.evict_expired(now_ms);
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.issued_ids.insert(sequence, IssuedId { issued_at_ms: now_ms, state: State::Issued });
        sequence
    }

    /// Claims an issued id for execution.
    ///
    /// An id that is unknown or past its retention period is [`ClaimOutcome::Expired`].
    pub fn begin(&mut self, sequence: u64, request_digest: u64, now_ms: u64) -> ClaimOutcome {
        self.evict_expired(now_ms);
        let Some(issued) = self.issued_ids.get_mut(&sequence) else {
            return ClaimOutcome::Expired;
        };
        match &issued.state {
            State::Issued => {
                issued.state = State::Running { request_digest };
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

    /// Stores the response of a call that has run. Does nothing unless the id is claimed.
    pub fn finish(&mut self, sequence: u64, response: StoredResponse) {
        let Some(issued) = self.issued_ids.get_mut(&sequence) else { return };
        if let State::Running { request_digest } = issued.state {
            issued.state = State::Finished { request_digest, response };
        }
    }

    /// Releases a claim whose call is known not to have run, so that the id can be claimed again.
    pub fn release(&mut self, sequence: u64) {
        let Some(issued) = self.issued_ids.get_mut(&sequence) else { return };
        if matches!(issued.state, State::Running { .. }) {
            issued.state = State::Issued;
        }
    }

    /// The number of issued ids within their retention period.
    pub fn len(&self) -> usize {
        self.issued_ids.len()
    }

    /// Whether no issued ids are within their retention period.
    pub fn is_empty(&self) -> bool {
        self.issued_ids.is_empty()
    }

    fn evict_expired(&mut self, now_ms: u64) {
        let retention_ms = self.retention_ms;
        while let Some(oldest) = self.issued_ids.first_entry() {
            if now_ms < oldest.get().issued_at_ms + retention_ms {
                break;
            }
            oldest.remove();
        }
    }
}
