//! HTTP/1.1 connections to upstreams and other servers, with one exchange at a time on each.
//!
//! Built on hyper's connection handles rather than a pooling client: an exchange is tied to one
//! connection, the client reports whether a request was sent before the connection closed, and
//! bytes after a response close the connection instead of reaching the next exchange.

mod client;
mod pool;

pub use client::{HttpClient, OpenResponse, ends_with_connection};
pub use pool::{Carrier, ConnectionPool, DIAL_TIMEOUT, ExchangeError, UpstreamConnection};
