//! Streams for callers that speak HTTP/1.0.
//!
//! Such a caller can't read chunks, and to it the end of a connection is that of a response without a length: one that is
//! interrupted, also by the end of this process, would look complete. Its stream is sent with a length,
//! after its end.

use std::pin::pin;

use futures_util::StreamExt;
use hickorycourse_codes::{ErrorCode, Problem};
use http::HeaderMap;
use hyper::body::Bytes;

use crate::buffered_response::{BufferReservation, BufferedResponse};
use crate::stream::{RelayedStream, into_body};

/// Reads a stream to its end.
///
/// # Errors
/// It is interrupted, or too large.
pub async fn collect(mut relayed: Box<RelayedStream>) -> Result<BufferedResponse, Problem> {
    let headers: HeaderMap = std::mem::take(&mut relayed.headers);
    let status = relayed.status;
    let upstream = relayed.upstream().to_owned();
    let mut parts = pin!(into_body(relayed, None));
    let mut reservation = BufferReservation::default();
    let mut body = Vec::new();
    while let Some(part) = parts.next().await {
        let part = part.map_err(|error| failure(error.to_string()))?;
        if !reservation.grow(part.len()) {
            return Err(failure(format!(
                "the stream is too large for HTTP/1.0: {} bytes",
                body.len()
            )));
        }
        body.extend_from_slice(&part);
    }
    Ok(BufferedResponse { status, headers, body: Bytes::from(body), upstream })
}

fn failure(detail: String) -> Problem {
    Problem::new(ErrorCode::UpstreamFailed).with_detail(detail)
}
