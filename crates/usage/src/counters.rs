//! Counters of one incarnation.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// What a counter counts for.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct UsageKey {
    /// The organisation.
    pub organisation: String,
    /// The caller.
    pub caller: String,
    /// The service.
    pub service: String,
    /// The rank.
    pub rank: String,
}

/// Numbers that only grow.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct UsageCount {
    /// Calls answered whole.
    pub answered: u64,
    /// Calls refused or failed.
    pub failed: u64,
    /// Tokens of prompts.
    pub prompt_tokens: u64,
    /// Tokens of prompts that came from an upstream's cache.
    pub cached_tokens: u64,
    /// Tokens of answers.
    pub answer_tokens: u64,
    /// Tokens computed again because an attempt was cut off.
    pub recomputed_tokens: u64,
}

impl UsageCount {
    /// Adds what one call has used.
    pub fn add(&mut self, other: &Self) {
        self.answered += other.answered;
        self.failed += other.failed;
        self.prompt_tokens += other.prompt_tokens;
        self.cached_tokens += other.cached_tokens;
        self.answer_tokens += other.answer_tokens;
        self.recomputed_tokens += other.recomputed_tokens;
    }

    /// Takes the larger of each number of two copies of the same counter.
    pub fn merge(&mut self, copy: &Self) {
        self.answered = self.answered.max(copy.answered);
        self.failed = self.failed.max(copy.failed);
        self.prompt_tokens = self.prompt_tokens.max(copy.prompt_tokens);
        self.cached_tokens = self.cached_tokens.max(copy.cached_tokens);
        self.answer_tokens = self.answer_tokens.max(copy.answer_tokens);
        self.recomputed_tokens = self.recomputed_tokens.max(copy.recomputed_tokens);
    }

    /// Tokens that are paid for.
    pub fn billed_tokens(&self) -> u64 {
        self.prompt_tokens - self.cached_tokens.min(self.prompt_tokens) + self.answer_tokens
    }
}

/// One counter with what it counts for.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UsageRow {
    /// What it counts for.
    pub key: UsageKey,
    /// The numbers.
    pub count: UsageCount,
}

/// All counters of one incarnation, or a sum over several.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "Vec<UsageRow>", into = "Vec<UsageRow>")]
pub struct UsageBook {
    counts: BTreeMap<UsageKey, UsageCount>,
}

impl UsageBook {
    /// Creates an empty book.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds what one call has used.
    pub fn add(&mut self, key: &UsageKey, count: &UsageCount) {
        match self.counts.get_mut(key) {
            Some(held) => held.add(count),
            None => {
                self.counts.insert(key.clone(), *count);
            }
        }
    }

    /// Merges another copy of the same incarnation's book.
    pub fn merge(&mut self, copy: &Self) {
        for (key, count) in &copy.counts {
            self.counts.entry(key.clone()).or_default().merge(count);
        }
    }

    /// Adds the book of another incarnation.
    pub fn add_book(&mut self, other: &Self) {
        for (key, count) in &other.counts {
            self.add(key, count);
        }
    }

    /// Lists the counters in the order of their keys.
    pub fn list_rows(&self) -> Vec<UsageRow> {
        self.clone().into()
    }
}

impl From<Vec<UsageRow>> for UsageBook {
    fn from(rows: Vec<UsageRow>) -> Self {
        Self { counts: rows.into_iter().map(|row| (row.key, row.count)).collect() }
    }
}

impl From<UsageBook> for Vec<UsageRow> {
    fn from(book: UsageBook) -> Self {
        book.counts.into_iter().map(|(key, count)| UsageRow { key, count }).collect()
    }
}
