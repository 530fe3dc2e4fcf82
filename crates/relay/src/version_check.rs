//! The versions of other instances, which are asked before keys are accepted for the first time.
//!
//! A store that was restored from a backup may list an older document than the one that the other
//! instances have in force. An instance that has just started knows of no restore, and would accept keys
//! that the newer document has revoked.

use std::collections::VecDeque;
use std::net::SocketAddr;

/// Instances that are asked at once.
const ASKED_AT_ONCE: usize = 3;
/// Answers that are enough.
const ENOUGH_ANSWERS: usize = 3;
/// Longest wait for more than one answer.
const FURTHER_ANSWERS_WITHIN_MS: u64 = 300;
/// Longest wait for an answer. An availability zone that is cut off has to serve, and earlier builds may
/// not answer.
const FIRST_ANSWER_WITHIN_MS: u64 = 1_000;

/// Which instances have answered since the first listing of the store.
#[derive(Clone, Debug, Default)]
pub struct VersionCheck {
    begun_at_ms: Option<u64>,
    /// Instances that have not answered; the next ones to be asked are first.
    unanswered: VecDeque<SocketAddr>,
    answers: usize,
}

impl VersionCheck {
    /// Begins with the instances that are known at the first listing; returns whether any is asked. Later
    /// calls have no effect.
    pub fn begin(&mut self, instances: Vec<SocketAddr>, now_ms: u64) -> bool {
        if self.begun_at_ms.is_some() {
            return false;
        }
        self.begun_at_ms = Some(now_ms);
        self.unanswered = instances.into();
        self.is_pending(now_ms)
    }

    /// Returns the instances that are asked next. Those that don't answer are asked again after the others.
    pub fn choose_asked(&mut self) -> Vec<SocketAddr> {
        let count = self.unanswered.len().min(ASKED_AT_ONCE);
        let asked = self.unanswered.iter().take(count).copied().collect();
        self.unanswered.rotate_left(count);
        asked
    }

    /// Records an answer, after a newer document in it has been applied.
    pub fn record_answer(&mut self, instance: SocketAddr) {
        let before = self.unanswered.len();
        self.unanswered.retain(|unanswered| *unanswered != instance);
        self.answers += before - self.unanswered.len();
    }

    /// Returns whether keys are not accepted yet.
    pub fn is_pending(&self, now_ms: u64) -> bool {
        let Some(begun_at_ms) = self.begun_at_ms else { return false };
        let within_ms = match self.answers {
            0 => FIRST_ANSWER_WITHIN_MS,
            _ => FURTHER_ANSWERS_WITHIN_MS,
        };
        !self.unanswered.is_empty()
            && self.answers < ENOUGH_ANSWERS
            && now_ms.saturating_sub(begun_at_ms) < within_ms
    }
}
