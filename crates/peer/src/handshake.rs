//! Mutual authentication with a shared secret, by challenge and response.

use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

use crate::link::Connection;

/// Why a link was closed or could not be opened.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// The connection failed or was closed by the peer.
    #[error("the connection failed: {0}")]
    Connection(String),
    /// The peer did not respond within the timeout, in milliseconds.
    #[error("the peer did not respond within {0} ms")]
    TimedOut(u64),
    /// The peer's proof is invalid, so it doesn't know the shared secret.
    #[error("authentication failed: the peer doesn't know the shared secret")]
    NotAuthentic,
    /// A message could not be encoded or decoded.
    #[error("a message could not be encoded or decoded: {0}")]
    Codec(String),
    /// The connection leads to this process itself.
    #[error("the connection leads to this process itself")]
    SelfConnection,
}

/// First message of the handshake: identifies the sender and carries its challenge.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Hello {
    pub(crate) instance: String,
    pub(crate) incarnation: u64,
    pub(crate) nonce: [u8; NONCE_BYTES],
}

#[derive(Deserialize, Serialize)]
struct Proof {
    code: [u8; MAC_BYTES],
}

const NONCE_BYTES: usize = 16;
const MAC_BYTES: usize = 32;

impl Hello {
    pub(crate) fn new(instance: &str, incarnation: u64) -> Self {
        Self { instance: instance.to_owned(), incarnation, nonce: rand::random() }
    }
}

/// Exchanges hellos and proofs, and returns the peer's hello. Each proof covers both nonces and the
/// prover's name and incarnation, so it can't be replayed on another link or reflected to the
/// prover.
pub(crate) async fn perform_handshake(
    connection: &mut Connection,
    own: &Hello,
    secret: &str,
) -> Result<Hello, PeerError> {
    connection.send(own).await?;
    let other: Hello = connection.receive().await?;
    if other.instance == own.instance && other.incarnation == own.incarnation {
        return Err(PeerError::SelfConnection);
    }
    let code: [u8; MAC_BYTES] = start_proof_mac(own, &other, secret).finalize().into_bytes().into();
    connection.send(&Proof { code }).await?;
    let proof: Proof = connection.receive().await?;
    start_proof_mac(&other, own, secret)
        .verify_slice(&proof.code)
        .map_err(|_| PeerError::NotAuthentic)?;
    Ok(other)
}

fn start_proof_mac(prover: &Hello, verifier: &Hello, secret: &str) -> Hmac<Sha256> {
    let mut mac =
        Hmac::<Sha256>::new_from_slice(secret.as_bytes()).expect("HMAC accepts keys of any length");
    mac.update(prover.instance.as_bytes());
    mac.update(&prover.incarnation.to_be_bytes());
    mac.update(&prover.nonce);
    mac.update(&verifier.nonce);
    mac
}
