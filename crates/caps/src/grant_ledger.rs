//! Units that were granted to other instances, so that unused ones can be returned once.

use std::collections::{HashMap, VecDeque};

/// Time for which a grant can be returned.
const RETURNABLE_MS: u64 = 5_000;
/// Grants that are kept.
const MAX_GRANTS: usize = 8_192;

/// Units granted to another instance.
#[derive(Clone, Debug, PartialEq)]
pub struct GrantedUnits {
    /// Organisation that they count for.
    pub organisation: String,
    /// Number of units.
    pub units: f64,
    /// Time of the grant.
    pub granted_at_ms: u64,
}

/// The grants of the last seconds by the identifiers of their claims. A claim that arrives twice is granted
/// once, and a grant that is returned twice is returned once.
#[derive(Clone, Debug, Default)]
pub struct GrantLedger {
    /// `None` for a claim that was returned.
    grants: HashMap<u64, Option<GrantedUnits>>,
    order: VecDeque<(u64, u64)>,
}

impl GrantLedger {
    /// Returns whether the claim was granted and not returned.
    pub fn is_granted(&self, claim: u64) -> bool {
        self.grants.get(&claim).is_some_and(Option::is_some)
    }

    /// Returns whether the claim was returned; its return may have arrived first.
    pub fn is_returned(&self, claim: u64) -> bool {
        self.grants.get(&claim).is_some_and(Option::is_none)
    }

    /// Records a grant.
    pub fn record(&mut self, claim: u64, granted: GrantedUnits) {
        let now_ms = granted.granted_at_ms;
        self.insert(claim, Some(granted), now_ms);
    }

    fn insert(&mut self, claim: u64, granted: Option<GrantedUnits>, now_ms: u64) {
        self.order.push_back((now_ms, claim));
        self.grants.insert(claim, granted);
        let is_over = |granted_at_ms: u64| now_ms.saturating_sub(granted_at_ms) > RETURNABLE_MS;
        while self.order.len() > MAX_GRANTS
            || self.order.front().is_some_and(|(at, _)| is_over(*at))
        {
            let Some((_, claim)) = self.order.pop_front() else { break };
            self.grants.remove(&claim);
        }
    }

    /// Takes back a grant; `None` if it is not known, or was taken back.
    pub fn take(&mut self, claim: u64, now_ms: u64) -> Option<GrantedUnits> {
        match self.grants.get_mut(&claim) {
            Some(granted) => granted.take(),
            None => {
                self.insert(claim, None, now_ms);
                None
            }
        }
    }
}
