//! Clients for engines and services.
//!
//! Engines speak the chat-completions protocol; an attempt is always a stream, so that one that
//! breaks off can go on at another engine from the tokens already received. Plain services speak
//! HTTP. Each exchange has a connection to itself until it has ended whole; one that was cut short
//! closes its connection, so that nothing late can reach another call.
//!
//! [`Engine`] and [`Service`] are the borders; [`HttpUpstreams`] is both, over HTTP.

mod attempt;
mod chat;
mod http;
mod load;
mod stream;

/// The types most users of this crate need.
pub mod prelude {
    pub use crate::{
        AttemptError, AttemptErrorKind, Chunk, ChunkUsage, Engine, EngineCall, HttpUpstreams,
        Service, ServiceAnswer, ServiceCall, TokenStream, UpstreamAddress,
    };
}

pub use attempt::{
    AttemptError, AttemptErrorKind, Engine, EngineCall, Service, ServiceAnswer, ServiceCall,
    TokenStream, UpstreamAddress,
};
pub use chat::{Chunk, ChunkUsage, EngineEvent};
pub use http::{HOP_HEADERS, HttpUpstreams, copy_end_to_end};
pub use load::{CacheEvents, UpstreamReport};
