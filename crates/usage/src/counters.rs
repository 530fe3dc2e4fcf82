//! Usage counters and their merging.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// The dimensions by which usage is counted.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct UsageKey {
    /// The name of the organisation.
    pub organisation: String,
    /// The name of the caller within the organisation.
    pub caller: String,
    /// The name of the service.
    pub service: String,
    /// The name of the priority rank.
    pub rank: String,
}

/// Usage counters of one key, which never decrease within an incarnation.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct UsageCount {
    /// Calls with a complete response.
    pub answered: u64,
    /// Calls that were rejected or failed.
    pub failed: u64,
    /// Prompt tokens, including cached ones.
    pub prompt_tokens: u64,
    /// Prompt tokens served from an upstream's cache.
    pub cached_tokens: u64,
    /// Generated tokens.
    pub answer_tokens: u64,
    /// Tokens computed again because an attempt was interrupted.
    pub recomputed_tokens: u64,
}

impl UsageCount {
    /// Adds other usage, such as that of a single call.
    pub fn add(&mut self, other: &Self) {
        self.answered += other.answered;
        self.failed += other.failed;
        self.prompt_tokens += other.prompt_tokens;
        self.cached_tokens += other.cached_tokens;
        self.answer_tokens += other.answer_tokens;
        self.recomputed_tokens += other.recomputed_tokens;
    }

    /// Merges a copy of the same counters by taking the maximum of each number.
    pub fn merge(&mut self, copy: &Self) {
        self.answered = self.answered.max(copy.answered);
        self.failed = self.failed.max(copy.failed);
        self.prompt_tokens = self.prompt_tokens.max(copy.prompt_tokens);
        self.cached_tokens = self.cached_tokens.max(copy.cached_tokens);
        self.answer_tokens = self.answer_tokens.max(copy.answer_tokens);
        self.recomputed_tokens = self.recomputed_tokens.max(copy.recomputed_tokens);
    }

    /// The number of tokens charged: uncached prompt tokens and generated tokens.
    pub fn billed_tokens(&self) -> u64 {
        self.prompt_tokens - self.cached_tokens.min(self.prompt_tokens) + self.answer_tokens
    }
}

/// The counters for one key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UsageRow {
    /// The dimensions of the counters.
    pub key: UsageKey,
    /// The counters.
    pub count: UsageCount,
}

/// The counters of one incarnation by key, or the sum over several incarnations. Serialized as a
/// list of [`UsageRow`].
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "Vec<UsageRow>", into = "Vec<UsageRow>")]
pub struct UsageTable {
    counts: BTreeMap<UsageKey, UsageCount>,
}

impl UsageTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the usage of one call.
    pub fn add(&mut self, key: &UsageKey, count: &UsageCount) {
        match self.counts.get_mut(key) {
            Some(held) => held.add(count),
            None => {
                self.counts.insert(key.clone(), *count);
            }
        }
    }

    /// Merges a copy of the table of the same incarnation, by the maximum of each number.
    pub fn merge(&mut self, copy: &Self) {
        for (key, count) in &copy.counts {
            self.counts.entry(key.clone()).or_default().merge(count);
        }
    }

    /// Adds the usage in the table of another incarnation.
    pub fn add_table(&mut self, other: &Self) {
        for (key, count) in &other.counts {
            self.add(key, count);
        }
    }

    /// Returns the counters, ordered by key.
    pub fn list_rows(&self) -> Vec<UsageRow> {
        self.clone().into()
    }
}

impl From<Vec<UsageRow>> for UsageTable {
    fn from(rows: Vec<UsageRow>) -> Self {
        Self { counts: rows.into_iter().map(|row| (row.key, row.count)).collect() }
    }
}

impl From<UsageTable> for Vec<UsageRow> {
    fn from(table: UsageTable) -> Self {
        table.counts.into_iter().map(|(key, count)| UsageRow { key, count }).collect()
    }
}
