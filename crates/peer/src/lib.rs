//! Authenticated links between entries.
//!
//! Entries speak over WebSocket with CBOR messages. Both ends prove that they know the fleet's
//! secret before anything else is read ([`PeerError::NotAuthentic`] ends the link otherwise). Each
//! link carries heartbeats; one that is silent for the timeout is closed and dialled anew.
//!
//! [`PeerMesh`] keeps a link with every peer it is told of and hands messages to a [`PeerHandler`].

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
