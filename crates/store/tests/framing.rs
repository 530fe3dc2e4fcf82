//! Responses of the platform without a length: they end with their connection, and no byte of them
//! reaches another call.

#![allow(clippy::unwrap_used)]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use hickorycourse_store::{Fleet, FleetClient, GatewayClient, KeyValue};

/// Pause between the parts of a response, so that each arrives by itself.
const PAUSE: Duration = Duration::from_millis(60);
const TIMEOUT_MS: u64 = 1_000;

/// How an unframed response ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Ending {
    Closed,
    /// Without an end, with another response as its body.
    StrayResponse,
}

/// A response of the gateway with one record, whose key is `unframed`, `framed` or `stray`.
fn range_response(key: &str) -> String {
    let key = match key {
        "unframed" => "dW5mcmFtZWQ=",
        "framed" => "ZnJhbWVk",
        _ => "c3RyYXk=",
    };
    format!(r#"{{"kvs":[{{"key":"{key}","value":"","mod_revision":"1"}}]}}"#)
}

/// Starts a platform whose first response on its first connection is unframed.
fn start_platform(ending: Ending, body: fn(&str) -> String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for (connection, stream) in listener.incoming().flatten().enumerate() {
            std::thread::spawn(move || serve(stream, ending, body, connection == 0));
        }
    });
    address
}

fn serve(mut stream: TcpStream, ending: Ending, body: fn(&str) -> String, is_unframed: bool) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let framed =
        |body: String| format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    if is_unframed && read_request(&mut reader).is_some() {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n");
        std::thread::sleep(PAUSE);
        let body = match ending {
            Ending::Closed => body("unframed"),
            Ending::StrayResponse => framed(body("stray")),
        };
        let _ = stream.write_all(body.as_bytes());
        if ending == Ending::Closed {
            return;
        }
    }
    while read_request(&mut reader).is_some() {
        let _ = stream.write_all(framed(body("framed")).as_bytes());
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<()> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse().unwrap())
    });
    reader.read_exact(&mut vec![0; length.unwrap_or(0)]).ok()
}

fn notices(instance: &str) -> String {
    format!(r#"{{"leaving":["{instance}"]}}"#)
}

#[ntex::test]
async fn gateway_unframed_response_closed_is_complete() {
    let address = start_platform(Ending::Closed, range_response);
    let client = GatewayClient::new(&[address], TIMEOUT_MS).await;
    let record = client.get("unframed").await.unwrap().unwrap();
    assert_eq!(record.key, "unframed");
}

#[ntex::test]
async fn gateway_unframed_response_reaches_no_other_call() {
    for ending in [Ending::StrayResponse, Ending::Closed] {
        let address = start_platform(ending, range_response);
        let client = GatewayClient::new(&[address], TIMEOUT_MS).await;
        let _ = client.get("unframed").await;
        let record = client.get("framed").await.unwrap().unwrap();
        assert_eq!(record.key, "framed", "{ending:?}");
    }
}

#[ntex::test]
async fn fleet_unframed_response_closed_is_complete() {
    let client = FleetClient::new(start_platform(Ending::Closed, notices), TIMEOUT_MS).await;
    assert_eq!(client.list_notices().await, Ok(vec!["unframed".to_owned()]));
}

#[ntex::test]
async fn fleet_unframed_response_reaches_no_other_call() {
    for ending in [Ending::StrayResponse, Ending::Closed] {
        let client = FleetClient::new(start_platform(ending, notices), TIMEOUT_MS).await;
        let _ = client.list_notices().await;
        assert_eq!(client.list_notices().await, Ok(vec!["framed".to_owned()]), "{ending:?}");
    }
}
