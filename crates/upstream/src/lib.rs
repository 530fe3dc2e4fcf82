//! Clients for upstreams, that is language-model engines and plain HTTP services.
//!
//! Engines implement the chat-completions protocol. Resumable attempts are always streamed, even if
//! the caller requests a single response, so that an interrupted one can be resumed at another
//! engine from the tokens received so far. Plain services are called over HTTP without
//! interpretation of the body. An exchange has exclusive use of its connection; the connection
//! returns to the pool only after a complete response and is closed otherwise, so that late data of
//! one exchange can't reach another.
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
