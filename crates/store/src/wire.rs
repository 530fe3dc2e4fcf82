//! Messages of the etcd v3 JSON gateway: 64-bit numbers are strings, keys and values are base64.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::{KeyValueRecord, PlatformError, WatchEvent};

/// Encodes bytes in base64, as the gateway requires for keys and values.
pub fn encode_base64(bytes: &[u8]) -> String {
    STANDARD.encode(bytes)
}

/// Decodes base64; `None` if the text is invalid.
pub fn decode_base64(text: &str) -> Option<Vec<u8>> {
    STANDARD.decode(text).ok()
}

/// Returns the exclusive end of the range of keys with a prefix; a single zero byte means no upper
/// bound.
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

/// A key-value pair in the gateway's encoding.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct GatewayKeyValue {
    /// The key in base64.
    pub key: String,
    /// The value in base64.
    pub value: String,
    /// The revision of the last write, in decimal.
    pub mod_revision: String,
}

impl GatewayKeyValue {
    /// Encodes a record.
    pub fn from_record(record: &KeyValueRecord) -> Self {
        Self {
            key: encode_base64(record.key.as_bytes()),
            value: encode_base64(&record.value),
            mod_revision: record.mod_revision.to_string(),
        }
    }

    /// Decodes a record.
    ///
    /// # Errors
    /// [`PlatformError::InvalidResponse`] if a field can't be decoded.
    pub fn into_record(self) -> Result<KeyValueRecord, PlatformError> {
        let key = decode_base64(&self.key).and_then(|bytes| String::from_utf8(bytes).ok());
        let value = decode_base64(&self.value);
        let mod_revision = self.mod_revision.parse().ok();
        match (key, value, mod_revision) {
            (Some(key), Some(value), Some(mod_revision)) => {
                Ok(KeyValueRecord { key, value, mod_revision })
            }
            _ => Err(PlatformError::InvalidResponse(
                "a key-value pair has a field that can't be decoded".to_owned(),
            )),
        }
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct RangeResponse {
    pub(crate) kvs: Vec<GatewayKeyValue>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Header {
    pub(crate) revision: String,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct TxnResponse {
    pub(crate) header: Header,
    pub(crate) succeeded: bool,
    pub(crate) responses: Vec<ResponseOp>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct ResponseOp {
    pub(crate) response_range: Option<RangeResponse>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct LeaseResponse {
    #[serde(rename = "ID")]
    pub(crate) id: String,
    #[serde(rename = "TTL")]
    pub(crate) ttl_s: String,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct RenewResponse {
    pub(crate) result: LeaseResponse,
}

/// One line of a watch response.
#[derive(Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct WatchFrame {
    /// Content of the line.
    pub result: WatchResult,
}

/// Content of one line of a watch response.
#[derive(Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct WatchResult {
    /// True in the first line, which confirms the watch.
    pub created: bool,
    /// Changes to the watched keys.
    pub events: Vec<GatewayEvent>,
}

/// A change in the gateway's encoding. The gateway leaves out the `type` of a write.
#[derive(Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct GatewayEvent {
    /// `DELETE` for a deletion; `PUT` or empty for a write.
    #[serde(rename = "type")]
    pub kind: String,
    /// The key-value pair after the change.
    pub kv: GatewayKeyValue,
}

impl GatewayEvent {
    pub(crate) fn into_event(self) -> Result<WatchEvent, PlatformError> {
        let record = self.kv.into_record()?;
        if self.kind == "DELETE" {
            return Ok(WatchEvent::Deleted { key: record.key, mod_revision: record.mod_revision });
        }
        Ok(WatchEvent::Put(record))
    }
}

/// Builds a transaction that writes the key if its revision is the expected one and otherwise reads
/// the current value.
pub(crate) fn compare_and_swap_request(
    key: &str,
    expected_revision: u64,
    value: &[u8],
    lease: Option<i64>,
) -> Value {
    let key = encode_base64(key.as_bytes());
    let mut put = json!({ "key": key, "value": encode_base64(value) });
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
