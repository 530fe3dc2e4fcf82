//! HTTP/1.1 connections to upstreams and other servers, with one exchange at a time on each.
//!
//! Built on hyper's connection handles rather than a pooling client: an exchange is tied to one
//! connection, the client reports whether a request was sent before the connection closed, and
//! bytes after a response close the connection instead of reaching the next exchange. A connection whose bytes
//! are part of no response ends, too.

mod bounded_stream;
mod client;
mod pool;
mod response_body;

pub use client::{HttpClient, OpenResponse, ends_with_connection, keeps_connection};
pub use pool::{Carrier, ConnectionPool, DIAL_TIMEOUT, ExchangeError, UpstreamConnection};
pub use response_body::ResponseBody;
