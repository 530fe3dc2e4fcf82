//! HTTP helpers shared by all stand-ins.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::pin::Pin;
use std::time::Duration;

use futures_util::Stream;
use ntex::SharedCfg;
use ntex::http::HttpServiceConfig;
use ntex::time::Seconds;
use ntex::util::{Bytes, BytesMut};
use ntex::web::{HttpRequest, HttpResponse, types};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Sleeps with tokio's timer; that of the HTTP library is too coarse for token intervals.
pub async fn sleep_us(time_us: u64) {
    if time_us > 0 {
        tokio::time::sleep(Duration::from_micros(time_us)).await;
    }
}

pub async fn sleep_ms(time_ms: u64) {
    sleep_us(time_ms * 1_000).await;
}

/// Streaming response body; an `Err` item closes the connection.
pub type BodyStream = Pin<Box<dyn Stream<Item = Result<Bytes, io::Error>>>>;

const HEAD_TIMEOUT: Seconds = Seconds(30);

/// Binds a listener and prints its address, so that tests can use port 0.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(address)?;
    println!("listening {}", listener.local_addr()?);
    Ok(listener)
}

/// The configuration of a stand-in's server. The library's default closes a connection whose first
/// request has not been read within a second, which happens on a busy machine.
pub fn server_config() -> SharedCfg {
    SharedCfg::new("standin").add(HttpServiceConfig::new().set_client_timeout(HEAD_TIMEOUT)).into()
}

/// Reads a whole request body; `None` if the connection fails first.
pub async fn read_body(mut payload: types::Payload) -> Option<Vec<u8>> {
    let mut body = BytesMut::new();
    while let Some(part) = payload.recv().await {
        body.extend_from_slice(&part.ok()?);
    }
    Some(body.to_vec())
}

/// Decodes a JSON request body; the error is a 400 response.
pub async fn read_json<T: DeserializeOwned>(payload: types::Payload) -> Result<T, HttpResponse> {
    let bytes = read_body(payload).await.unwrap_or_default();
    serde_json::from_slice(&bytes)
        .map_err(|error| HttpResponse::BadRequest().body(format!("{error}\n")))
}

/// Builds a 200 response with a JSON body.
pub fn json<T: Serialize>(value: &T) -> HttpResponse {
    HttpResponse::Ok().json(value)
}

/// The value of a header; `None` if it is absent or not visible ASCII.
pub fn header<'a>(request: &'a HttpRequest, name: &str) -> Option<&'a str> {
    request.headers().get(name).and_then(|value| value.to_str().ok())
}

/// Body item that closes the connection in the middle of a response.
pub fn body_interrupted() -> io::Error {
    io::Error::other("injected fault: response body interrupted")
}
