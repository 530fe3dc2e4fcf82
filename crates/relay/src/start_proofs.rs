//! Proofs of starts that instances tell each other: until when an upstream's listed start is known to have run.
//!
//! Heartbeats are not told to followers of the store. A follower names the upstreams whose starts it can't prove on
//! its connections; the reply tells the age of the latest proof, so that no clocks are compared.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::state::Relay;

/// Longest time for which a stream waits until the start of an upstream is proven.
pub const MAX_PROOF_WAIT_MS: u64 = 2_000;
/// Upstreams in one query, and proofs in its reply.
const MAX_PROOFS: usize = 16;
/// Upstreams that are remembered.
const MAX_WANTED: usize = 1_024;
/// Time for which a proof is asked for after a connection has lacked it.
const WANTED_PERIOD_MS: u64 = 3_000;

/// Proof that a start of an upstream ran at some time.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StartProof {
    /// Id of the upstream.
    #[serde(rename = "u")]
    pub upstream: String,
    /// Wall-clock time of the start, in milliseconds since the Unix epoch; `None` if it is not listed.
    #[serde(rename = "s")]
    pub started_at_ms: Option<u64>,
    /// Time before the reply until which it ran, at least.
    #[serde(rename = "a")]
    pub ran_ago_ms: u64,
}

/// Upstreams with connections whose start is not proven.
#[derive(Debug, Default)]
pub struct WantedProofs {
    wanted_at_ms: HashMap<String, u64>,
}

impl WantedProofs {
    /// Records that the start of a connection is not proven.
    pub fn record(&mut self, upstream: &str, now_ms: u64) {
        if let Some(wanted_at_ms) = self.wanted_at_ms.get_mut(upstream) {
            *wanted_at_ms = now_ms;
        } else if self.wanted_at_ms.len() < MAX_WANTED {
            self.wanted_at_ms.insert(upstream.to_owned(), now_ms);
        }
    }

    /// Returns the upstreams to ask for, the latest ones first.
    pub fn names(&mut self, now_ms: u64) -> Vec<String> {
        self.wanted_at_ms.retain(|_, wanted_at_ms| now_ms < *wanted_at_ms + WANTED_PERIOD_MS);
        let mut names: Vec<_> = self.wanted_at_ms.iter().collect();
        names.sort_by(|first, second| second.1.cmp(first.1).then_with(|| first.0.cmp(second.0)));
        names.into_iter().take(MAX_PROOFS).map(|(upstream, _)| upstream.clone()).collect()
    }
}

impl Relay {
    /// Returns what is known of the starts of these upstreams.
    pub fn make_start_proofs(&self, upstreams: &[String]) -> Vec<StartProof> {
        let now_ms = self.now_ms();
        let starts = self.starts.lock();
        let proofs = upstreams.iter().take(MAX_PROOFS).filter_map(|upstream| {
            let (started_at_ms, ran_until_ms) = starts.latest_run(upstream)?;
            let ran_ago_ms = now_ms.saturating_sub(ran_until_ms);
            Some(StartProof { upstream: upstream.clone(), started_at_ms, ran_ago_ms })
        });
        proofs.collect()
    }

    /// Applies the proofs of a reply to a query that was sent at `queried_at_ms`, before the reply was made.
    pub fn apply_start_proofs(&self, proofs: &[StartProof], queried_at_ms: u64) {
        let now_ms = self.now_ms();
        let mut starts = self.starts.lock();
        for StartProof { upstream, started_at_ms, ran_ago_ms } in proofs.iter().take(MAX_PROOFS) {
            if let Some(ran_until_ms) = queried_at_ms.checked_sub(*ran_ago_ms) {
                starts.record_told_run(upstream, *started_at_ms, ran_until_ms, now_ms);
            }
        }
    }
}
