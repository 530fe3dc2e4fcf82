//! The formats: what instances send each other and write into the store.

use std::collections::BTreeMap;
use std::fmt::Debug;

use ciborium::Value;
use hickorycourse_digest::ZoneDigest;
use hickorycourse_relay::MemberRecord;
use hickorycourse_relay::wire::{Message, QuarantineRecord};
use hickorycourse_tunnel::{OpenReply, OpenRequest};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// A format of one type.
pub struct Format {
    /// Name in the files of samples.
    pub name: &'static str,
    /// Whether it is encoded in JSON, otherwise in CBOR.
    pub is_json: bool,
    /// Encodes a value that is given in JSON.
    pub encode: fn(&serde_json::Value) -> Result<Vec<u8>, String>,
    /// Decodes a sample.
    pub decode: fn(&[u8]) -> Result<Decoded, String>,
}

/// A decoded sample.
pub struct Decoded {
    /// Its content as the type prints it.
    pub text: String,
    /// The value, encoded again.
    pub encoded: Vec<u8>,
}

/// All formats. The duty lease holds the name of an instance, without an encoding.
pub const FORMATS: [Format; 7] = [
    cbor::<Message>("message"),
    cbor::<Vec<ZoneDigest>>("zones"),
    cbor::<OpenRequest>("open_request"),
    cbor::<OpenReply>("open_reply"),
    json::<MemberRecord>("member_record"),
    json::<QuarantineRecord>("quarantine_record"),
    json::<BTreeMap<String, u64>>("committed_usage"),
];

const fn cbor<T: Debug + DeserializeOwned + Serialize>(name: &'static str) -> Format {
    Format {
        name,
        is_json: false,
        encode: |value| to_cbor(&serde_json::from_value::<T>(value.clone()).map_err(describe)?),
        decode: |bytes| {
            let value: T = ciborium::from_reader(bytes).map_err(describe)?;
            Ok(Decoded { text: format!("{value:?}"), encoded: to_cbor(&value)? })
        },
    }
}

const fn json<T: Debug + DeserializeOwned + Serialize>(name: &'static str) -> Format {
    Format {
        name,
        is_json: true,
        encode: |value| {
            let value: T = serde_json::from_value(value.clone()).map_err(describe)?;
            serde_json::to_vec(&value).map_err(describe)
        },
        decode: |bytes| {
            let value: T = serde_json::from_slice(bytes).map_err(describe)?;
            let encoded = serde_json::to_vec(&value).map_err(describe)?;
            Ok(Decoded { text: format!("{value:?}"), encoded })
        },
    }
}

impl Format {
    /// Decodes bytes without regard to the type.
    pub fn parse(&self, bytes: &[u8]) -> Result<Value, String> {
        match self.is_json {
            true => serde_json::from_slice(bytes).map_err(describe),
            false => ciborium::from_reader(bytes).map_err(describe),
        }
    }

    /// Encodes what [`parse`](Self::parse) has returned.
    pub fn format(&self, value: &Value) -> Result<Vec<u8>, String> {
        match self.is_json {
            true => serde_json::to_vec(value).map_err(describe),
            false => to_cbor(value),
        }
    }
}

fn to_cbor<T: Serialize>(value: &T) -> Result<Vec<u8>, String> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).map_err(describe)?;
    Ok(bytes)
}

fn describe(error: impl ToString) -> String {
    error.to_string()
}
