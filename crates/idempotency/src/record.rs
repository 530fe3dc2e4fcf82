//! Claim records and the stored value of a shard.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_128};

/// Identifies a call: a 128-bit hash of organisation, service and idempotency key.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ClaimKey(u128);

impl ClaimKey {
    /// Hashes the parts, separated by a line feed, which cannot occur in a header or a name.
    pub fn new(organisation: &str, service: &str, key: &str) -> Self {
        Self(xxh3_128(format!("{organisation}\n{service}\n{key}").as_bytes()))
    }

    /// The index of the shard that stores the claim, in `0..shard_count`.
    pub fn shard(self, shard_count: u32) -> u32 {
        (self.0 % u128::from(shard_count)) as u32
    }

    fn to_text(self) -> String {
        format!("{:032x}", self.0)
    }
}

/// Identifies one claim attempt.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct ClaimToken(pub u64);

/// Digests a request's method, path and body. The digest distinguishes a retry from another request
/// that reuses its idempotency key.
pub fn digest_request(method: &str, path_and_query: &str, body: &[u8]) -> u64 {
    let mut bytes = format!("{method}\n{path_and_query}\n").into_bytes();
    bytes.extend_from_slice(body);
    xxh3_64(&bytes)
}

/// The response that is replayed to retries.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredResponse {
    /// The HTTP status.
    pub status: u16,
    /// The `content-type` header; `None` if the response had none.
    pub content_type: Option<String>,
    /// The body; `None` if it exceeded the size limit for stored responses.
    pub body: Option<Vec<u8>>,
}

/// The outcome of a claim attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimOutcome {
    /// The claim was recorded for this attempt, which may dispatch the call once.
    Granted,
    /// The call has already run, with this response.
    Finished(StoredResponse),
    /// Another attempt holds the claim and has stored no response: its call may still be running, or
    /// its process has failed or been partitioned.
    InProgress,
    /// The key was already used for a different request.
    KeyReused,
    /// The claim could not be recorded, so the call was not dispatched.
    Unavailable,
    /// The order id is past the retention period of claims.
    Expired,
}

/// A stored claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimRecord {
    /// The claim attempt that holds it.
    #[serde(rename = "t")]
    pub token: ClaimToken,
    /// Digest of the request, see [`digest_request`].
    #[serde(rename = "d")]
    pub request_digest: u64,
    /// Time of the claim, in milliseconds since the Unix epoch.
    #[serde(rename = "c")]
    pub claimed_at_ms: u64,
    /// The response; `None` until the call has finished.
    #[serde(default, rename = "a", skip_serializing_if = "Option::is_none")]
    pub response: Option<StoredResponse>,
}

/// The stored value of one shard: its claims by key.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ShardValue {
    records: BTreeMap<String, ClaimRecord>,
}

impl ShardValue {
    /// Returns the claim with this key.
    pub fn find(&self, key: ClaimKey) -> Option<&ClaimRecord> {
        self.records.get(&key.to_text())
    }

    /// Inserts a claim, or replaces the one with the same key.
    pub fn insert(&mut self, key: ClaimKey, record: ClaimRecord) {
        self.records.insert(key.to_text(), record);
    }

    /// Sets the response of a claim. Returns false if `token` does not hold the claim.
    pub fn finish(&mut self, key: ClaimKey, token: ClaimToken, response: &StoredResponse) -> bool {
        match self.records.get_mut(&key.to_text()) {
            Some(record) if record.token == token => {
                record.response = Some(response.clone());
                true
            }
            _ => false,
        }
    }

    /// Removes a claim. Returns false if `token` does not hold the claim.
    pub fn release(&mut self, key: ClaimKey, token: ClaimToken) -> bool {
        let is_held = self.find(key).is_some_and(|record| record.token == token);
        if is_held {
            self.records.remove(&key.to_text());
        }
        is_held
    }

    /// Removes claims that are past the retention period.
    pub fn evict_expired(&mut self, wall_ms: u64, retention_ms: u64) {
        self.records.retain(|_, record| wall_ms < record.claimed_at_ms + retention_ms);
    }

    /// The number of claims.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no claims.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
