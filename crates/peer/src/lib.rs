//! Authenticated links between entries, which are the peers of each other.
//!
//! Entries exchange CBOR messages over WebSocket. In a handshake both ends prove knowledge of the
//! shared secret before any other message is processed; the link is closed with
//! [`PeerError::NotAuthentic`] otherwise. Each link carries heartbeats; a link on which no message
//! is received within the timeout is closed and reconnected.
//!
//! [`PeerMesh`] maintains a link to every peer address that it is given and passes received
//! messages to a [`PeerHandler`].

mod handshake;
mod link;
mod mesh;
mod message;

/// The types most users of this crate need.
pub mod prelude {
    pub use crate::{
        ForwardAnswer, ForwardedCall, HeaderField, PeerHandler, PeerMesh, PeerMessage, PeerOptions,
    };
}

pub use handshake::PeerError;
pub use mesh::{PeerHandler, PeerMesh, PeerOptions, PeerTraffic};
pub use message::{ForwardAnswer, ForwardedCall, HeaderField, PeerMessage};
