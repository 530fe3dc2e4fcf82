//! Responses of servers of all kinds (upstreams, store, duty service) that are no responses.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;

use hickorycourse_connections::{ExchangeError, HttpClient};
use http_body_util::Full;
use hyper::Request;
use hyper::body::Bytes;

const LIMIT: Duration = Duration::from_secs(5);

/// Starts a server that sends `response` on each connection and then keeps it open.
fn start_server(response: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("cannot bind a loopback port");
    let address = listener.local_addr().expect("the listener has no local address");
    thread::spawn(move || {
        let mut open = Vec::new();
        for mut connection in listener.incoming().flatten() {
            let _ = connection.read(&mut [0; 1_024]);
            let _ = connection.write_all(response.as_bytes());
            open.push(connection);
        }
    });
    address
}

#[ntex::test]
async fn fetch_invalid_status_is_invalid_response() {
    let responses = [
        "HTTP/1.1 000 Trouble\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 099 Trouble\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 600 Trouble\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 999 Trouble\r\nContent-Length: 0\r\n\r\n",
    ];
    for response in responses {
        let address = start_server(response);
        let client = HttpClient::<()>::default();
        let request = Request::get("/").body(Full::<Bytes>::default()).expect("a valid request");
        let result = client.fetch((), address, request, LIMIT, 1_024).await;
        assert!(
            matches!(result, Err(ExchangeError::InvalidResponse(_))),
            "{response:?}: {result:?}"
        );
    }
}

#[ntex::test]
async fn fetch_highest_status_is_response() {
    let address = start_server("HTTP/1.1 599 Unusual\r\nContent-Length: 0\r\n\r\n");
    let client = HttpClient::<()>::default();
    let request = Request::get("/").body(Full::<Bytes>::default()).expect("a valid request");
    let response = client.fetch((), address, request, LIMIT, 1_024).await;
    assert_eq!(response.expect("a valid response").status().as_u16(), 599);
}
