//! Allocation of the fleet's cost to organisations.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::counters::{UsageCount, UsageTable};

/// The usage and charge of one organisation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BillLine {
    /// The name of the organisation.
    pub organisation: String,
    /// Its usage.
    pub count: UsageCount,
    /// The number of tokens charged, see [`UsageCount::billed_tokens`].
    pub billed_tokens: u64,
    /// The charge, in cents.
    pub owed_cents: u64,
}

/// A cost allocated to organisations in proportion to their billed tokens.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Bill {
    /// The total cost, in cents.
    pub cost_cents: u64,
    /// One line per organisation, ordered by name. The charges sum to exactly the total cost, or to
    /// 0 if no tokens were billed.
    pub lines: Vec<BillLine>,
}

impl Bill {
    /// Allocates a cost in proportion to billed tokens. All charges are 0 if no tokens were billed.
    pub fn split(cost_cents: u64, usage: &UsageTable) -> Self {
        let mut counts: BTreeMap<String, UsageCount> = BTreeMap::new();
        for row in usage.list_rows() {
            counts.entry(row.key.organisation).or_default().add(&row.count);
        }
        let tokens: Vec<u64> = counts.values().map(UsageCount::billed_tokens).collect();
        let owed = split_cents(cost_cents, &tokens);
        let lines = counts.into_iter().zip(owed).map(|((organisation, count), owed_cents)| {
            BillLine { organisation, count, billed_tokens: count.billed_tokens(), owed_cents }
        });
        Self { cost_cents, lines: lines.collect() }
    }
}

/// Divides an amount in proportion to weights by the largest remainder method (Hamilton), so that
/// the parts sum to the amount. All parts are 0 if all weights are 0.
pub fn split_cents(amount_cents: u64, weights: &[u64]) -> Vec<u64> {
    let total: u128 = weights.iter().map(|weight| u128::from(*weight)).sum();
    if total == 0 {
        return vec![0; weights.len()];
    }
    let exact = |weight: &u64| u128::from(amount_cents) * u128::from(*weight);
    let mut parts: Vec<u64> = weights.iter().map(|w| (exact(w) / total) as u64).collect();
    let mut by_remainder: Vec<usize> = (0..weights.len()).collect();
    by_remainder.sort_by_key(|index| (std::cmp::Reverse(exact(&weights[*index]) % total), *index));
    let remaining_cents = amount_cents - parts.iter().sum::<u64>();
    for index in by_remainder.into_iter().take(remaining_cents as usize) {
        parts[index] += 1;
    }
    parts
}
