//! Framing of a connection: each binary WebSocket message holds one CBOR value.

use futures_util::{SinkExt, StreamExt};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

use crate::handshake::PeerError;

/// Maximum message size; large enough for several settings documents of a megabyte each.
const MESSAGE_BYTES_LIMIT: usize = 16 * 1024 * 1024;

/// WebSocket options of every link.
pub(crate) fn websocket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MESSAGE_BYTES_LIMIT))
        .max_frame_size(Some(MESSAGE_BYTES_LIMIT))
}

/// Encodes a message as CBOR.
pub(crate) fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, PeerError> {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes)
        .map_err(|error| PeerError::Codec(error.to_string()))?;
    Ok(bytes)
}

/// Decodes a message from CBOR.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, PeerError> {
    ciborium::from_reader(bytes).map_err(|error| PeerError::Codec(error.to_string()))
}

/// A connection that sends and receives typed messages.
pub(crate) struct Connection {
    pub(crate) stream: WebSocketStream<TcpStream>,
}

impl Connection {
    pub(crate) async fn send<T: Serialize>(&mut self, message: &T) -> Result<(), PeerError> {
        let bytes = encode(message)?;
        let sent = self.stream.send(Message::Binary(bytes.into())).await;
        sent.map_err(|error| PeerError::Connection(error.to_string()))
    }

    pub(crate) async fn receive<T: DeserializeOwned>(&mut self) -> Result<T, PeerError> {
        decode(&receive_bytes(&mut self.stream).await?)
    }
}

/// Receives the next binary message; pings and pongs are skipped.
pub(crate) async fn receive_bytes<S>(stream: &mut S) -> Result<Vec<u8>, PeerError>
where
    S: StreamExt<Item = Result<Message, tokio_tungstenite::tungstenite::Error>> + Unpin,
{
    loop {
        match stream.next().await {
            Some(Ok(Message::Binary(bytes))) => return Ok(bytes.into()),
            Some(Ok(Message::Ping(_) | Message::Pong(_))) => {}
            Some(Ok(_)) | None => return Err(PeerError::Connection("closed".to_owned())),
            Some(Err(error)) => return Err(PeerError::Connection(error.to_string())),
        }
    }
}
