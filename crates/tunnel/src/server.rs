//! The carrying side of a tunnel.

use std::cell::Cell;
use std::io;
use std::pin::pin;
use std::time::Duration;

use futures_util::future::{Either, select};
use hickorycourse_clock::{sleep, timeout};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

use crate::chunks::{BROKEN_MARKER, END_MARKER, MAX_CHUNK_BYTES};
use crate::message::{
    MessageError, OpenReply, OpenRequest, PROTOCOL_VERSION, RefusalReason, read_message,
    write_message,
};

/// Time for the request of a new connection.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time for the sender to close its side after the end of a tunnel. Closing while bytes of the sender are
/// unread would reset the connection, and the sender could lose the last bytes.
const LINGER: Duration = Duration::from_millis(1_000);
/// Size of the buffer for bytes to the upstream.
const BUFFER_BYTES: usize = 16 * 1024;

/// Reads the request of a new connection.
///
/// # Errors
/// Describes why the request is not accepted.
pub async fn accept(stream: &mut TcpStream) -> Result<OpenRequest, String> {
    let request: OpenRequest = timeout(REQUEST_TIMEOUT, read_message(stream))
        .await
        .map_err(|_| format!("no request within {} ms", REQUEST_TIMEOUT.as_millis()))?
        .map_err(|error: MessageError| error.to_string())?;
    match request.protocol_version {
        PROTOCOL_VERSION => Ok(request),
        version => Err(format!("protocol version {version} is not supported")),
    }
}

/// Refuses a request and closes the connection.
pub async fn refuse(mut stream: TcpStream, reason: RefusalReason) {
    let reply = OpenReply::Refused(reason);
    if matches!(timeout(LINGER, write_message(&mut stream, &reply)).await, Ok(Ok(()))) {
        linger(stream.into_split()).await;
    }
}

/// Closes the own side, and discards what the sender still sends until it closes too.
async fn linger((mut reader, mut writer): (OwnedReadHalf, OwnedWriteHalf)) {
    let _ = writer.shutdown().await;
    let discard = async {
        let mut buffer = [0; 1_024];
        while matches!(reader.read(&mut buffer).await, Ok(read) if read > 0) {}
    };
    let _ = timeout(LINGER, discard).await;
}

/// How a tunnel has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TunnelEnd {
    /// The upstream has closed its connection in order.
    UpstreamEnded,
    /// The upstream's connection failed.
    UpstreamFailed,
    /// The sender has closed the tunnel, or can't be reached.
    SenderLeft,
    /// No bytes have come for the idle timeout.
    Idle,
}

impl TunnelEnd {
    /// Returns the name of the end in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::UpstreamEnded => "upstream_ended",
            Self::UpstreamFailed => "upstream_failed",
            Self::SenderLeft => "sender_left",
            Self::Idle => "idle",
        }
    }
}

/// Bytes that a tunnel has carried.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CarriedBytes {
    /// Bytes to the upstream.
    pub to_upstream_bytes: u64,
    /// Bytes from the upstream.
    pub from_upstream_bytes: u64,
}

/// What a tunnel carries, for its owner to observe.
#[derive(Debug, Default)]
pub struct TunnelActivity {
    carried: Cell<CarriedBytes>,
    is_awaiting_response: Cell<bool>,
}

impl TunnelActivity {
    /// Returns the bytes carried so far.
    pub fn carried(&self) -> CarriedBytes {
        self.carried.get()
    }

    /// Returns whether the last bytes went to the upstream, so that it has yet to respond.
    pub fn is_awaiting_response(&self) -> bool {
        self.is_awaiting_response.get()
    }

    fn add_to_upstream(&self, bytes: usize) {
        let mut carried = self.carried.get();
        carried.to_upstream_bytes += bytes as u64;
        self.carried.set(carried);
        self.is_awaiting_response.set(true);
    }

    fn add_from_upstream(&self, bytes: usize) {
        let mut carried = self.carried.get();
        carried.from_upstream_bytes += bytes as u64;
        self.carried.set(carried);
        self.is_awaiting_response.set(false);
    }
}

/// Tells the sender that the upstream is connected, and carries bytes until one side ends or none have come
/// for `idle_timeout`. Both connections are closed then.
pub async fn carry(
    mut sender: TcpStream,
    upstream: TcpStream,
    idle_timeout: Duration,
    activity: &TunnelActivity,
) -> TunnelEnd {
    if write_message(&mut sender, &OpenReply::Opened).await.is_err() {
        return TunnelEnd::SenderLeft;
    }
    let (mut sender_reader, mut sender_writer) = sender.into_split();
    let (mut upstream_reader, upstream_writer) = upstream.into_split();
    let end = {
        let forward = pin!(carry_to_upstream(&mut sender_reader, upstream_writer, activity));
        let back = pin!(carry_from_upstream(&mut upstream_reader, &mut sender_writer, activity));
        let idle = pin!(wait_until_idle(idle_timeout, activity));
        match select(select(forward, back), idle).await {
            Either::Left((Either::Left(((), _)), _)) => TunnelEnd::SenderLeft,
            Either::Left((Either::Right((end, _)), _)) => end,
            Either::Right(((), _)) => TunnelEnd::Idle,
        }
    };
    drop(upstream_reader);
    if matches!(end, TunnelEnd::UpstreamEnded | TunnelEnd::UpstreamFailed) {
        linger((sender_reader, sender_writer)).await;
    }
    end
}

/// Returns when the sender has left. An upstream that takes no more bytes may still send some.
async fn carry_to_upstream(
    sender: &mut (impl AsyncRead + Unpin),
    mut upstream: impl AsyncWrite + Unpin,
    activity: &TunnelActivity,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut is_writable = true;
    while let Ok(read @ 1..) = sender.read(&mut buffer).await {
        activity.add_to_upstream(read);
        is_writable = is_writable && upstream.write_all(&buffer[..read]).await.is_ok();
    }
}

async fn carry_from_upstream(
    upstream: &mut (impl AsyncRead + Unpin),
    sender: &mut (impl AsyncWrite + Unpin),
    activity: &TunnelActivity,
) -> TunnelEnd {
    const HEADER_BYTES: usize = 4;
    let mut buffer = vec![0; HEADER_BYTES + MAX_CHUNK_BYTES];
    loop {
        let read = match upstream.read(&mut buffer[HEADER_BYTES..]).await {
            Ok(0) => return end_chunks(sender, END_MARKER, TunnelEnd::UpstreamEnded).await,
            Ok(read) => read,
            Err(_) => return end_chunks(sender, BROKEN_MARKER, TunnelEnd::UpstreamFailed).await,
        };
        activity.add_from_upstream(read);
        buffer[..HEADER_BYTES].copy_from_slice(&(read as u32).to_be_bytes());
        if sender.write_all(&buffer[..HEADER_BYTES + read]).await.is_err() {
            return TunnelEnd::SenderLeft;
        }
    }
}

async fn end_chunks(
    sender: &mut (impl AsyncWrite + Unpin),
    marker: u32,
    end: TunnelEnd,
) -> TunnelEnd {
    let written: io::Result<()> = sender.write_all(&marker.to_be_bytes()).await;
    if written.is_ok() { end } else { TunnelEnd::SenderLeft }
}

async fn wait_until_idle(idle_timeout: Duration, activity: &TunnelActivity) {
    loop {
        let before = activity.carried();
        sleep(idle_timeout).await;
        if activity.carried() == before {
            return;
        }
    }
}
