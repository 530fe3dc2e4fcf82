//! Messages at the beginning of a tunnel: CBOR documents behind a length of two bytes.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Version of the protocol.
pub const PROTOCOL_VERSION: u32 = 1;
/// Largest message.
pub const MAX_MESSAGE_BYTES: usize = 1_024;

/// Request for a tunnel.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OpenRequest {
    /// Version of the protocol that the sender speaks.
    pub protocol_version: u32,
    /// Identifier of the upstream.
    pub upstream: String,
    /// Name of the sending instance.
    pub sender: String,
    /// Time that the sender's call has left.
    pub remaining_ms: u64,
    /// Whether the upstream is only asked for its report, which one that leaves still gives.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_for_reports: bool,
}

/// Reply to an [`OpenRequest`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OpenReply {
    /// The upstream is connected; its bytes follow.
    Opened,
    /// There is no tunnel.
    Refused(RefusalReason),
}

/// Why an instance opens no tunnel.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RefusalReason {
    /// It does not know the upstream.
    UnknownUpstream,
    /// The upstream is leaving.
    Leaving,
    /// It cannot reach the upstream, but reaches others.
    Unreachable,
    /// Its own links to all upstreams are cut.
    LinksCut,
    /// It cannot reach the upstream, perhaps because of its own link.
    PathCut,
    /// It carries as many tunnels as it may.
    Busy,
    /// It is stopping.
    Stopping,
    /// The request is invalid, too large, too slow or of another protocol version.
    Malformed,
}

impl RefusalReason {
    /// Returns the name of the reason in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::UnknownUpstream => "unknown_upstream",
            Self::Leaving => "leaving",
            Self::Unreachable => "unreachable",
            Self::LinksCut => "links_cut",
            Self::PathCut => "path_cut",
            Self::Busy => "busy",
            Self::Stopping => "stopping",
            Self::Malformed => "malformed",
        }
    }
}

/// Why a message could not be read.
#[derive(Debug, thiserror::Error)]
pub enum MessageError {
    /// The connection failed or ended.
    #[error("the connection failed: {0}")]
    Connection(#[from] std::io::Error),
    /// The message is larger than [`MAX_MESSAGE_BYTES`].
    #[error("a message of {bytes} bytes is too large")]
    TooLarge {
        /// Length that the sender states.
        bytes: usize,
    },
    /// The message is no valid CBOR document of its type.
    #[error("invalid message: {0}")]
    Invalid(String),
}

/// Reads a message. Cancelling the read loses bytes; the connection must not be used afterwards.
///
/// # Errors
/// The connection ends, or the message is too large or invalid.
pub async fn read_message<T: DeserializeOwned>(
    reader: &mut (impl AsyncRead + Unpin),
) -> Result<T, MessageError> {
    let bytes = usize::from(reader.read_u16().await?);
    if bytes > MAX_MESSAGE_BYTES {
        return Err(MessageError::TooLarge { bytes });
    }
    let mut buffer = vec![0; bytes];
    reader.read_exact(&mut buffer).await?;
    ciborium::from_reader(buffer.as_slice())
        .map_err(|error| MessageError::Invalid(error.to_string()))
}

/// Writes a message.
///
/// # Errors
/// The connection fails, or the message is larger than [`MAX_MESSAGE_BYTES`].
pub async fn write_message<T: Serialize>(
    writer: &mut (impl AsyncWrite + Unpin),
    message: &T,
) -> Result<(), MessageError> {
    let mut buffer = vec![0; 2];
    ciborium::into_writer(message, &mut buffer)
        .map_err(|error| MessageError::Invalid(error.to_string()))?;
    let bytes = buffer.len() - 2;
    let length = u16::try_from(bytes)
        .ok()
        .filter(|_| bytes <= MAX_MESSAGE_BYTES)
        .ok_or(MessageError::TooLarge { bytes })?;
    buffer[..2].copy_from_slice(&length.to_be_bytes());
    writer.write_all(&buffer).await?;
    Ok(())
}
