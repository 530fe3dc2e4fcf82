//! Connections to upstreams that another instance opens and carries ("tunnels").
//!
//! The requesting instance connects to the peer address of another one, names the upstream, and exchanges
//! bytes with it after a positive reply. The peer resolves the upstream in its own directory and only
//! dials directly, so tunnels cannot form loops. Bytes from the upstream come in chunks with an explicit
//! end, so that a tunnel that breaks is never taken for the end of an upstream's connection.

mod chunks;
mod client;
mod message;
mod server;

pub use chunks::ChunkReader;
pub use client::{OpenError, TunnelHealth, TunnelStream, open};
pub use message::{
    MAX_MESSAGE_BYTES, MessageError, OpenReply, OpenRequest, PROTOCOL_VERSION, RefusalReason,
    read_message, write_message,
};
pub use server::{CarriedBytes, TunnelActivity, TunnelEnd, accept, carry, refuse};
