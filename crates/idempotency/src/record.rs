//! What a claim is.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_128};

/// Names a call: a hash of organisation, service and idempotency key.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ClaimKey(u128);

impl ClaimKey {
    /// Hashes the parts. They are joined by a byte that can't stand in a header or a name.
    pub fn new(organisation: &str, service: &str, key: &str) -> Self {
        Self(xxh3_128(format!("{organisation}\n{service}\n{key}").as_bytes()))
    }

    /// The shard that holds the claim.
    pub fn shard(self, shard_count: u32) -> u32 {
        (self.0 % u128::from(shard_count)) as u32
    }

    fn to_text(self) -> String {
        format!("{:032x}", self.0)
    }
}

/// Names one try to claim; unique for each.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct ClaimToken(pub u64);

/// A digest of a request's method, path and body, to tell a repeat from a reused key.
pub fn digest_request(method: &str, path_and_query: &str, body: &[u8]) -> u64 {
    let mut bytes = format!("{method}\n{path_and_query}\n").into_bytes();
    bytes.extend_from_slice(body);
    xxh3_64(&bytes)
}

/// The answer that a repeat gets.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The content type, if there was one.
    pub content_type: Option<String>,
    /// The body; nothing if it was too large to keep.
    pub body: Option<Vec<u8>>,
}

/// What a try to claim leads to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimAnswer {
    /// The call is ours to dispatch, once.
    Granted,
    /// The call has run; this was its answer.
    Finished(StoredAnswer),
    /// Another holds the claim, or held it when it was cut off.
    InProgress,
    /// The key was used with another request.
    KeyReused,
    /// The claim could not be recorded. Nothing was dispatched.
    Unavailable,
    /// The order id is older than claims are kept.
    Expired,
}

/// A claim in store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimRecord {
    /// Who claimed it.
    #[serde(rename = "t")]
    pub token: ClaimToken,
    /// Digest of the request.
    #[serde(rename = "d")]
    pub request_digest: u64,
    /// When, since the Unix epoch.
    #[serde(rename = "c")]
    pub claimed_at_ms: u64,
    /// The answer, once it is known.
    #[serde(default, rename = "a", skip_serializing_if = "Option::is_none")]
    pub answer: Option<StoredAnswer>,
}

/// The value of one shard.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ShardValue {
    records: BTreeMap<String, ClaimRecord>,
}

impl ShardValue {
    /// Looks up a claim.
    pub fn find(&self, key: ClaimKey) -> Option<&ClaimRecord> {
        self.records.get(&key.to_text())
    }

    /// Adds or replaces a claim.
    pub fn insert(&mut self, key: ClaimKey, record: ClaimRecord) {
        self.records.insert(key.to_text(), record);
    }

    /// Sets the answer of a claim that this token holds; false if it doesn't hold it.
    pub fn finish(&mut self, key: ClaimKey, token: ClaimToken, answer: &StoredAnswer) -> bool {
        match self.records.get_mut(&key.to_text()) {
            Some(record) if record.token == token => {
                record.answer = Some(answer.clone());
                true
            }
            _ => false,
        }
    }

    /// Removes a claim that this token holds; false if it doesn't hold it.
    pub fn release(&mut self, key: ClaimKey, token: ClaimToken) -> bool {
        let holds = self.find(key).is_some_and(|record| record.token == token);
        if holds {
            self.records.remove(&key.to_text());
        }
        holds
    }

    /// Removes claims that are older than they are kept.
    pub fn prune(&mut self, wall_ms: u64, retention_ms: u64) {
        self.records.retain(|_, record| wall_ms < record.claimed_at_ms + retention_ms);
    }

    /// How many claims it holds.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether it holds none.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
