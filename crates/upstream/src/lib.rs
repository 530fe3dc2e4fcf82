//! Clients for upstreams, that is language-model engines and plain HTTP services.
//!
//! An attempt is one try of a request at one upstream. Engines implement the chat-completions
//! protocol. An attempt whose response another engine can continue is always streamed, even if the
//! caller requests a single response, so that after an interruption the response can be resumed
//! from the tokens received so far. Plain services are called over HTTP without interpretation of
//! the body. An attempt has exclusive use of its connection; the connection returns to the pool
//! only after a complete response and is closed otherwise, so that late data of one attempt can't
//! reach another.
//!
//! The traits [`Engine`] and [`Service`] are the interface to upstreams; [`HttpUpstreams`]
//! implements both over HTTP.

mod attempt;
mod chat;
mod http;
mod load;
mod stream;

/// The types most users of this crate need.
pub mod prelude {
    pub use crate::{
        AttemptError, AttemptErrorKind, Chunk, ChunkUsage, Engine, EngineCall, HttpUpstreams,
        Service, ServiceCall, ServiceResponse, TokenStream, UpstreamAddress,
    };
}

pub use attempt::{
    AttemptError, AttemptErrorKind, Engine, EngineCall, Service, ServiceCall, ServiceResponse,
    TokenStream, UpstreamAddress,
};
pub use chat::{Chunk, ChunkUsage, EngineEvent};
pub use http::{HOP_BY_HOP_HEADERS, HttpUpstreams, copy_end_to_end_headers};
pub use load::{CacheEvents, UpstreamReport};
