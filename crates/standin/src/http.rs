//! What all stand-ins share.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::pin::Pin;
use std::time::Duration;

use futures_util::Stream;
use ntex::util::{Bytes, BytesMut};
use ntex::web::{HttpRequest, HttpResponse, types};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Waits. The HTTP library's own timer is too coarse for tokens.
pub async fn pause_us(time_us: u64) {
    if time_us > 0 {
        tokio::time::sleep(Duration::from_micros(time_us)).await;
    }
}

/// Waits.
pub async fn pause_ms(time_ms: u64) {
    pause_us(time_ms * 1_000).await;
}

/// A streamed body.
pub type BodyStream = Pin<Box<dyn Stream<Item = Result<Bytes, io::Error>>>>;

/// Listens and says where, so that a test can ask for any free port.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(address)?;
    println!("listening {}", listener.local_addr()?);
    Ok(listener)
}

/// Reads a body whole.
pub async fn read_body(mut payload: types::Payload) -> Option<Vec<u8>> {
    let mut body = BytesMut::new();
    while let Some(part) = payload.recv().await {
        body.extend_from_slice(&part.ok()?);
    }
    Some(body.to_vec())
}

/// Reads a JSON body.
pub async fn read_json<T: DeserializeOwned>(payload: types::Payload) -> Result<T, HttpResponse> {
    let bytes = read_body(payload).await.unwrap_or_default();
    serde_json::from_slice(&bytes)
        .map_err(|error| HttpResponse::BadRequest().body(format!("{error}\n")))
}

/// Answers with JSON.
pub fn json<T: Serialize>(value: &T) -> HttpResponse {
    HttpResponse::Ok().json(value)
}

/// A header as text.
pub fn header<'a>(request: &'a HttpRequest, name: &str) -> Option<&'a str> {
    request.headers().get(name).and_then(|value| value.to_str().ok())
}

/// An error that breaks a connection off in the middle of a body.
pub fn broken() -> io::Error {
    io::Error::other("broken off on purpose")
}
