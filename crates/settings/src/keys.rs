//! API keys, which are stored as hashes and compared in constant time.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// Hashes an API key into the form used in settings: `sha256:` and 64 hexadecimal digits.
///
/// Keys are long random strings, so a fast unsalted hash is sufficient; a slow password hash would
/// only add latency to every request.
pub fn hash_key(key: &str) -> String {
    format!("sha256:{}", hex::encode(Sha256::digest(key.as_bytes())))
}

/// Compares a stored key hash with the hash of a presented key in constant time.
pub fn key_matches(stored_hash: &str, presented_hash: &str) -> bool {
    stored_hash.as_bytes().ct_eq(presented_hash.as_bytes()).into()
}

/// Returns whether the text has the form that [`hash_key`] produces.
pub(crate) fn is_key_hash(text: &str) -> bool {
    text.strip_prefix("sha256:")
        .is_some_and(|digits| digits.len() == 64 && digits.bytes().all(|b| b.is_ascii_hexdigit()))
}

/// A secret string that is redacted in `Debug` output.
#[derive(Clone, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Secret(String);

impl Secret {
    /// Wraps a secret in plain text.
    pub fn new(secret: impl Into<String>) -> Self {
        Self(secret.into())
    }

    /// Returns the secret in plain text.
    pub fn reveal(&self) -> &str {
        &self.0
    }
}

impl std::fmt::Debug for Secret {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("Secret(..)")
    }
}
