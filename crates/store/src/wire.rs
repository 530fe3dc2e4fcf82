//! Shapes of the etcd v3 JSON gateway: 64-bit numbers are strings, keys and values are base64.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::{PlatformError, Stored, WatchEvent};

/// Writes bytes as the gateway wants them.
pub fn encode(bytes: &[u8]) -> String {
    STANDARD.encode(bytes)
}

/// Reads bytes as the gateway writes them.
pub fn decode(text: &str) -> Option<Vec<u8>> {
    STANDARD.decode(text).ok()
}

/// The end of the range of keys with a prefix.
pub(crate) fn range_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}

/// A key and its value on the wire.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct GatewayKeyValue {
    /// The key, base64.
    pub key: String,
    /// The value, base64.
    pub value: String,
    /// The revision of the last write.
    pub mod_revision: String,
}

impl GatewayKeyValue {
    /// Writes a stored value.
    pub fn from_stored(stored: &Stored) -> Self {
        Self {
            key: encode(stored.key.as_bytes()),
            value: encode(&stored.value),
            mod_revision: stored.mod_revision.to_string(),
        }
    }

    /// Reads a stored value.
    pub fn into_stored(self) -> Result<Stored, PlatformError> {
        let key = decode(&self.key).and_then(|bytes| String::from_utf8(bytes).ok());
        let value = decode(&self.value);
        let mod_revision = self.mod_revision.parse().ok();
        match (key, value, mod_revision) {
            (Some(key), Some(value), Some(mod_revision)) => Ok(Stored { key, value, mod_revision }),
            _ => Err(PlatformError::Nonsense("a key-value pair has a broken field".to_owned())),
        }
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct RangeAnswer {
    pub(crate) kvs: Vec<GatewayKeyValue>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Header {
    pub(crate) revision: String,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct TxnAnswer {
    pub(crate) header: Header,
    pub(crate) succeeded: bool,
    pub(crate) responses: Vec<TxnResponse>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct TxnResponse {
    pub(crate) response_range: Option<RangeAnswer>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct LeaseAnswer {
    #[serde(rename = "ID")]
    pub(crate) id: String,
    #[serde(rename = "TTL")]
    pub(crate) ttl_s: String,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct RenewAnswer {
    pub(crate) result: LeaseAnswer,
}

/// One line of a watch.
#[derive(Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct WatchFrame {
    /// The frame's content.
    pub result: WatchResult,
}

/// The content of one line of a watch.
#[derive(Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct WatchResult {
    /// True in the first frame.
    pub created: bool,
    /// The changes.
    pub events: Vec<GatewayEvent>,
}

/// A change on the wire; a missing kind stands for a write.
#[derive(Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct GatewayEvent {
    /// `PUT` or `DELETE`.
    #[serde(rename = "type")]
    pub kind: String,
    /// The pair after the change.
    pub kv: GatewayKeyValue,
}

impl GatewayEvent {
    pub(crate) fn into_event(self) -> Result<WatchEvent, PlatformError> {
        let stored = self.kv.into_stored()?;
        if self.kind == "DELETE" {
            return Ok(WatchEvent::Deleted { key: stored.key, mod_revision: stored.mod_revision });
        }
        Ok(WatchEvent::Put(stored))
    }
}

pub(crate) fn swap_request(
    key: &str,
    expected_revision: u64,
    value: &[u8],
    lease: Option<i64>,
) -> Value {
    let key = encode(key.as_bytes());
    let mut put = json!({ "key": key, "value": encode(value) });
    if let Some(lease) = lease {
        put["lease"] = json!(lease.to_string());
    }
    json!({
        "compare": [{
            "key": key,
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": expected_revision.to_string(),
        }],
        "success": [{ "request_put": put }],
        "failure": [{ "request_range": { "key": key } }],
    })
}
