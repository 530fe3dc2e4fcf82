//! Both ends prove that they know the fleet's secret.

use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

use crate::link::Connection;

/// Why a link ended or never opened.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// The connection failed.
    #[error("the connection failed: {0}")]
    Connection(String),
    /// Nothing was heard for the timeout.
    #[error("nothing was heard for {0} ms")]
    Silent(u64),
    /// The other end doesn't know the secret.
    #[error("the other end doesn't know the secret")]
    NotAuthentic,
    /// A message could not be understood.
    #[error("a message could not be understood: {0}")]
    Nonsense(String),
    /// The other end is this process itself.
    #[error("the other end is this process")]
    Itself,
}

/// Who is at one end of a link.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Hello {
    pub(crate) instance: String,
    pub(crate) incarnation: u64,
    pub(crate) nonce: [u8; NONCE_BYTES],
}

#[derive(Deserialize, Serialize)]
struct Proof {
    code: [u8; CODE_BYTES],
}

const NONCE_BYTES: usize = 16;
const CODE_BYTES: usize = 32;

impl Hello {
    pub(crate) fn new(instance: &str, incarnation: u64) -> Self {
        Self { instance: instance.to_owned(), incarnation, nonce: rand::random() }
    }
}

/// Exchanges hellos and proofs; returns the other end's hello. Each proof covers both nonces and the
/// prover's name, so it is of no use on another link or in the other direction.
pub(crate) async fn shake_hands(
    connection: &mut Connection,
    own: &Hello,
    secret: &str,
) -> Result<Hello, PeerError> {
    connection.send(own).await?;
    let other: Hello = connection.receive().await?;
    if other.instance == own.instance && other.incarnation == own.incarnation {
        return Err(PeerError::Itself);
    }
    let code: [u8; CODE_BYTES] = start_code(own, &other, secret).finalize().into_bytes().into();
    connection.send(&Proof { code }).await?;
    let proof: Proof = connection.receive().await?;
    start_code(&other, own, secret)
        .verify_slice(&proof.code)
        .map_err(|_| PeerError::NotAuthentic)?;
    Ok(other)
}

fn start_code(prover: &Hello, verifier: &Hello, secret: &str) -> Hmac<Sha256> {
    let mut mac =
        Hmac::<Sha256>::new_from_slice(secret.as_bytes()).expect("HMAC takes keys of any length");
    mac.update(prover.instance.as_bytes());
    mac.update(&prover.incarnation.to_be_bytes());
    mac.update(&prover.nonce);
    mac.update(&verifier.nonce);
    mac
}
