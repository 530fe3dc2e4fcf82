//! API keys: stored as hashes, compared in constant time.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// The hash of a key as the settings hold it: `sha256:` and 64 hexadecimal digits.
///
/// Keys are long random strings, so a plain hash is enough; a slow password hash would only cost
/// time on every request.
pub fn hash_key(key: &str) -> String {
    format!("sha256:{}", hex::encode(Sha256::digest(key.as_bytes())))
}

/// Compares a stored hash with the hash of a presented key, in constant time.
pub fn key_matches(stored_hash: &str, presented_hash: &str) -> bool {
    stored_hash.as_bytes().ct_eq(presented_hash.as_bytes()).into()
}

/// Tells whether a stored hash has the right form.
pub(crate) fn is_key_hash(text: &str) -> bool {
    text.strip_prefix("sha256:")
        .is_some_and(|digits| digits.len() == 64 && digits.bytes().all(|b| b.is_ascii_hexdigit()))
}

/// A secret that is not printed.
#[derive(Clone, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Secret(String);

impl Secret {
    /// Wraps a secret.
    pub fn new(secret: impl Into<String>) -> Self {
        Self(secret.into())
    }

    /// The secret itself.
    pub fn reveal(&self) -> &str {
        &self.0
    }
}

impl std::fmt::Debug for Secret {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("Secret(..)")
    }
}
