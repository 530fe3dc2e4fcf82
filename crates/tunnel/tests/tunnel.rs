//! Tunnels over loopback connections, with a peer that carries them or misbehaves.

use std::net::SocketAddr;
use std::time::Duration;

use hickorycourse_clock::timeout;
use hickorycourse_tunnel::{
    ChunkReader, OpenError, OpenReply, OpenRequest, PROTOCOL_VERSION, RefusalReason,
    TunnelActivity, TunnelEnd, accept, carry, open, refuse, write_message,
};
use ntex::rt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

const LIMIT: Duration = Duration::from_millis(1_500);
const IDLE_TIMEOUT: Duration = Duration::from_millis(400);

fn request() -> OpenRequest {
    OpenRequest {
        protocol_version: PROTOCOL_VERSION,
        upstream: "u1".to_owned(),
        sender: "relay-1".to_owned(),
        remaining_ms: 1_000,
        is_for_reports: false,
    }
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("cannot bind a loopback port");
    let address = listener.local_addr().expect("the listener has no local address");
    (listener, address)
}

async fn accept_on(listener: &TcpListener) -> TcpStream {
    listener.accept().await.expect("cannot accept a connection").0
}

/// Starts a peer that carries one tunnel to an upstream, which the test plays.
async fn start_carrier() -> (SocketAddr, TcpListener, JoinHandle<TunnelEnd>) {
    let (listener, peer_address) = listen().await;
    let (upstreams, upstream_address) = listen().await;
    let carrier = tokio::task::spawn_local(async move {
        let mut sender = accept_on(&listener).await;
        accept(&mut sender).await.expect("the request is invalid");
        let upstream = TcpStream::connect(upstream_address).await.expect("cannot connect");
        carry(sender, upstream, IDLE_TIMEOUT, &TunnelActivity::default()).await
    });
    (peer_address, upstreams, carrier)
}

async fn end(carrier: JoinHandle<TunnelEnd>) -> TunnelEnd {
    let end = timeout(LIMIT + LIMIT, carrier).await.expect("the tunnel does not end");
    end.expect("the carrier panicked")
}

#[ntex::test]
async fn bytes_are_carried_both_ways_to_an_orderly_end() {
    let (peer_address, upstreams, carrier) = start_carrier().await;
    let mut tunnel = open(peer_address, &request(), LIMIT).await.expect("no tunnel");
    let mut upstream = accept_on(&upstreams).await;
    let sent = vec![7; 300_000];
    let echo = async {
        let mut received = vec![0; sent.len()];
        upstream.read_exact(&mut received).await.expect("bytes are missing");
        upstream.write_all(&received).await.expect("cannot write");
        drop(upstream);
    };
    let exchange = async {
        let (mut reader, mut writer) = tokio::io::split(&mut tunnel);
        let write = async { writer.write_all(&sent).await.expect("cannot write") };
        let read = async {
            let mut received = Vec::new();
            reader.read_to_end(&mut received).await.expect("the end is not orderly");
            received
        };
        futures_util::future::join(write, read).await.1
    };
    let (_, received) = futures_util::future::join(echo, exchange).await;
    assert_eq!(received, sent);
    assert!(!tunnel.health().is_broken());
    drop(tunnel);
    assert_eq!(end(carrier).await, TunnelEnd::UpstreamEnded);
}

// Guards against a response without a length that is cut off and looks complete.
#[ntex::test]
async fn reset_of_the_upstream_is_an_error() {
    let (peer_address, upstreams, carrier) = start_carrier().await;
    let mut tunnel = open(peer_address, &request(), LIMIT).await.expect("no tunnel");
    let mut upstream = accept_on(&upstreams).await;
    upstream.write_all(b"half").await.expect("cannot write");
    let mut received = [0; 4];
    tunnel.read_exact(&mut received).await.expect("bytes are missing");
    upstream.set_zero_linger().expect("cannot set SO_LINGER");
    drop(upstream);
    let error = tunnel.read(&mut received).await.expect_err("the reset looks like an end");
    assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
    assert!(!tunnel.health().is_broken());
    drop(tunnel);
    assert_eq!(end(carrier).await, TunnelEnd::UpstreamFailed);
}

#[ntex::test]
async fn end_of_the_peer_is_an_error() {
    let (peer_address, upstreams, carrier) = start_carrier().await;
    let mut tunnel = open(peer_address, &request(), LIMIT).await.expect("no tunnel");
    let _upstream = accept_on(&upstreams).await;
    carrier.abort();
    let error = tunnel.read(&mut [0; 4]).await.expect_err("the tunnel looks like an end");
    assert_eq!(error.kind(), std::io::ErrorKind::UnexpectedEof);
    assert!(tunnel.health().is_broken());
}

#[ntex::test]
async fn sender_that_leaves_closes_the_upstream() {
    let (peer_address, upstreams, carrier) = start_carrier().await;
    let tunnel = open(peer_address, &request(), LIMIT).await.expect("no tunnel");
    let mut upstream = accept_on(&upstreams).await;
    drop(tunnel);
    let read = timeout(Duration::from_millis(300), upstream.read(&mut [0; 4])).await;
    assert_eq!(read.expect("the upstream stays connected").expect("reset"), 0);
    assert_eq!(end(carrier).await, TunnelEnd::SenderLeft);
}

// Back-pressure: a sender that does not read must not make the carrier buffer without bound.
#[ntex::test]
async fn slow_sender_holds_back_the_upstream() {
    let (peer_address, upstreams, carrier) = start_carrier().await;
    let tunnel = open(peer_address, &request(), LIMIT).await.expect("no tunnel");
    let mut upstream = accept_on(&upstreams).await;
    let mut written = 0_usize;
    while let Ok(Ok(())) =
        timeout(Duration::from_millis(200), upstream.write_all(&[0; 65_536])).await
    {
        written += 65_536;
        assert!(written < 64 * 1024 * 1024, "the upstream is not held back");
    }
    drop(tunnel);
    assert_eq!(end(carrier).await, TunnelEnd::SenderLeft);
}

#[ntex::test]
async fn idle_tunnel_is_closed() {
    let (peer_address, upstreams, carrier) = start_carrier().await;
    let mut tunnel = open(peer_address, &request(), LIMIT).await.expect("no tunnel");
    let mut upstream = accept_on(&upstreams).await;
    assert_eq!(end(carrier).await, TunnelEnd::Idle);
    assert_eq!(upstream.read(&mut [0; 4]).await.expect("reset"), 0);
    assert!(tunnel.read(&mut [0; 4]).await.is_err());
}

#[ntex::test]
async fn refusals_carry_their_reason() {
    let (listener, address) = listen().await;
    drop(rt::spawn(async move {
        let mut sender = accept_on(&listener).await;
        accept(&mut sender).await.expect("the request is invalid");
        refuse(sender, RefusalReason::LinksCut).await;
    }));
    let error = open(address, &request(), LIMIT).await.expect_err("a tunnel is open");
    assert_eq!(error, OpenError::Refused(RefusalReason::LinksCut));
}

#[ntex::test]
async fn silent_peer_is_given_up() {
    let (listener, address) = listen().await;
    let error = open(address, &request(), Duration::from_millis(100)).await;
    assert!(matches!(error, Err(OpenError::Failed(_))), "{error:?}");
    drop(listener);
    let error = open(address, &request(), LIMIT).await;
    assert!(matches!(error, Err(OpenError::Failed(_))), "{error:?}");
}

#[ntex::test]
async fn invalid_requests_are_not_accepted() {
    let mut other_version = Vec::new();
    let request = OpenRequest { protocol_version: PROTOCOL_VERSION + 1, ..request() };
    write_message(&mut other_version, &request).await.expect("cannot encode");
    let inputs: [(&[u8], &str); 5] = [
        (b"", "the connection failed"),
        (&[0xff; 64], "too large"),
        (&[0, 2, 0xa0, 0xa0], "invalid message"),
        (&[0, 9, 0xa0], "no request within"),
        (&other_version, "not supported"),
    ];
    let (listener, address) = listen().await;
    for (input, expected) in inputs {
        let mut sender = TcpStream::connect(address).await.expect("cannot connect");
        sender.write_all(input).await.expect("cannot write");
        if input.is_empty() {
            sender.shutdown().await.expect("cannot shut down");
        }
        let mut accepted = accept_on(&listener).await;
        let detail = accept(&mut accepted).await.expect_err("the request is accepted");
        assert!(detail.contains(expected), "{input:?}: {detail}");
    }
}

#[ntex::test]
async fn oversized_message_is_not_written() {
    let request = OpenRequest { upstream: "u".repeat(2_000), ..request() };
    let written = write_message(&mut Vec::new(), &request).await;
    assert!(written.is_err());
    let mut reply = Vec::new();
    write_message(&mut reply, &OpenReply::Opened).await.expect("cannot encode");
    assert!(reply.len() < 32);
}

#[ntex::test]
async fn chunks_end_only_with_a_marker() {
    let chunk = [0, 0, 0, 2, b'o', b'k'];
    let read = async |bytes: &[u8]| {
        let mut content = Vec::new();
        let result = ChunkReader::new(bytes).read_to_end(&mut content).await;
        (content, result.err().map(|error| error.kind()))
    };
    let unexpected = Some(std::io::ErrorKind::UnexpectedEof);
    assert_eq!(read(&[&chunk[..], &[0; 4]].concat()).await, (b"ok".to_vec(), None));
    assert_eq!(read(&chunk).await, (b"ok".to_vec(), unexpected));
    assert_eq!(read(&[&chunk[..], &[0; 3]].concat()).await, (b"ok".to_vec(), unexpected));
    assert_eq!(read(&chunk[..5]).await, (b"o".to_vec(), unexpected));
    assert_eq!(read(&[]).await.1, unexpected);
    let reset = Some(std::io::ErrorKind::ConnectionReset);
    assert_eq!(read(&[&chunk[..], &[0xff; 4]].concat()).await, (b"ok".to_vec(), reset));
    let invalid = Some(std::io::ErrorKind::InvalidData);
    assert_eq!(read(&[0x7f, 0, 0, 0, 1]).await.1, invalid);
}
