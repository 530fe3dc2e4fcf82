//! Order ids, the idempotency keys that instances issue, and their text form.

use hmac::{Hmac, Mac};
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// An order id, which identifies the process that issued it.
///
/// Its text form contains a message authentication code over the id and the caller. The code is
/// keyed with a secret that all entries share and prevents forgery and use by another caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OrderId {
    /// The name of the issuing instance.
    pub instance: String,
    /// The incarnation of the issuing process.
    pub incarnation: u64,
    /// The sequence number within the incarnation.
    pub sequence: u64,
}

/// Why a text in the form of an order id was rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum OrderIdError {
    /// The authentication code does not match: the id was forged or issued to another caller.
    #[error("the order id was not issued to this caller")]
    NotIssuedToCaller,
}

const PREFIX: &str = "hc1";
const MAC_BYTES: usize = 12;

impl OrderId {
    /// Formats the id with the authentication code for the caller that it is issued to.
    pub fn to_text(&self, organisation: &str, caller: &str, secret: &str) -> String {
        let payload = self.to_payload();
        let mac_text = compute_mac(&payload, organisation, caller, secret);
        format!("{payload}.{mac_text}")
    }

    /// Parses and verifies an idempotency key. Returns `None` if it does not have the form of an
    /// order id and is therefore a key chosen by the caller.
    ///
    /// # Errors
    /// [`OrderIdError::NotIssuedToCaller`] if it has the form of an order id but was not issued to
    /// this caller.
    pub fn from_text(
        text: &str,
        organisation: &str,
        caller: &str,
        secret: &str,
    ) -> Result<Option<Self>, OrderIdError> {
        let parts: Vec<&str> = text.split('.').collect();
        let [PREFIX, instance, incarnation, sequence, mac_text] = parts.as_slice() else {
            return Ok(None);
        };
        let (Ok(incarnation), Ok(sequence)) =
            (u64::from_str_radix(incarnation, 16), sequence.parse())
        else {
            return Ok(None);
        };
        let id = Self { instance: (*instance).to_owned(), incarnation, sequence };
        let expected = compute_mac(&id.to_payload(), organisation, caller, secret);
        if bool::from(expected.as_bytes().ct_eq(mac_text.as_bytes())) {
            return Ok(Some(id));
        }
        Err(OrderIdError::NotIssuedToCaller)
    }

    fn to_payload(&self) -> String {
        format!("{PREFIX}.{}.{:x}.{}", self.instance, self.incarnation, self.sequence)
    }
}

fn compute_mac(payload: &str, organisation: &str, caller: &str, secret: &str) -> String {
    let mut mac =
        Hmac::<Sha256>::new_from_slice(secret.as_bytes()).expect("HMAC accepts keys of any length");
    mac.update(format!("{payload}\n{organisation}\n{caller}").as_bytes());
    hex::encode(&mac.finalize().into_bytes()[..MAC_BYTES])
}
