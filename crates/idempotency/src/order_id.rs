//! The text form of an order id that an instance issues.

use hmac::{Hmac, Mac};
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// An order id. It names the process that issued it and the caller it was issued to; a code made
/// with the fleet's secret keeps anyone else from making one up.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OrderId {
    /// The instance that issued it.
    pub instance: String,
    /// The incarnation of its process.
    pub incarnation: u64,
    /// The number within the incarnation.
    pub sequence: u64,
}

/// Why a text is no order id.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum OrderIdError {
    /// It has the form but not the code: made up, or issued to another caller.
    #[error("the order id was not issued to this caller")]
    NotIssuedToCaller,
}

const PREFIX: &str = "hc1";
const CODE_BYTES: usize = 12;

impl OrderId {
    /// Writes the id for the caller it is issued to.
    pub fn to_text(&self, organisation: &str, caller: &str, secret: &str) -> String {
        let body = self.to_body();
        let code = make_code(&body, organisation, caller, secret);
        format!("{body}.{code}")
    }

    /// Reads an idempotency key. `None` if it doesn't have the form of an order id, so that it is a
    /// key of the caller's own.
    ///
    /// # Errors
    /// [`OrderIdError::NotIssuedToCaller`] if it has the form but was not issued to this caller.
    pub fn from_text(
        text: &str,
        organisation: &str,
        caller: &str,
        secret: &str,
    ) -> Result<Option<Self>, OrderIdError> {
        let parts: Vec<&str> = text.split('.').collect();
        let [PREFIX, instance, incarnation, sequence, code] = parts.as_slice() else {
            return Ok(None);
        };
        let (Ok(incarnation), Ok(sequence)) =
            (u64::from_str_radix(incarnation, 16), sequence.parse())
        else {
            return Ok(None);
        };
        let id = Self { instance: (*instance).to_owned(), incarnation, sequence };
        let expected = make_code(&id.to_body(), organisation, caller, secret);
        if bool::from(expected.as_bytes().ct_eq(code.as_bytes())) {
            return Ok(Some(id));
        }
        Err(OrderIdError::NotIssuedToCaller)
    }

    fn to_body(&self) -> String {
        format!("{PREFIX}.{}.{:x}.{}", self.instance, self.incarnation, self.sequence)
    }
}

fn make_code(body: &str, organisation: &str, caller: &str, secret: &str) -> String {
    let mut mac =
        Hmac::<Sha256>::new_from_slice(secret.as_bytes()).expect("HMAC takes keys of any length");
    mac.update(format!("{body}\n{organisation}\n{caller}").as_bytes());
    hex::encode(&mac.finalize().into_bytes()[..CODE_BYTES])
}
