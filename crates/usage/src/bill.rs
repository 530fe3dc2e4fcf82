//! Splitting the fleet's cost.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::counters::{UsageBook, UsageCount};

/// What one organisation owes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BillLine {
    /// The organisation.
    pub organisation: String,
    /// What it used.
    pub count: UsageCount,
    /// Tokens that are paid for.
    pub billed_tokens: u64,
    /// What it owes.
    pub owed_cents: u64,
}

/// The split of a cost by tokens.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Bill {
    /// The cost that is split.
    pub cost_cents: u64,
    /// One line for each organisation, by name. Their sum is the cost, to the cent.
    pub lines: Vec<BillLine>,
}

impl Bill {
    /// Splits a cost by billed tokens. Nothing is owed if nothing was used.
    pub fn split(cost_cents: u64, usage: &UsageBook) -> Self {
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

/// Splits an amount by weights so that the parts add up, by the largest remainder (Hamilton).
pub fn split_cents(amount_cents: u64, weights: &[u64]) -> Vec<u64> {
    let total: u128 = weights.iter().map(|weight| u128::from(*weight)).sum();
    if total == 0 {
        return vec![0; weights.len()];
    }
    let exact = |weight: &u64| u128::from(amount_cents) * u128::from(*weight);
    let mut parts: Vec<u64> = weights.iter().map(|w| (exact(w) / total) as u64).collect();
    let mut order: Vec<usize> = (0..weights.len()).collect();
    order.sort_by_key(|index| (std::cmp::Reverse(exact(&weights[*index]) % total), *index));
    let left = amount_cents - parts.iter().sum::<u64>();
    for index in order.into_iter().take(left as usize) {
        parts[index] += 1;
    }
    parts
}
