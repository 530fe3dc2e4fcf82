//! The requesting side of a tunnel.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use hickorycourse_clock::timeout;
use tokio::io::{AsyncRead, AsyncWrite, BufReader, ReadBuf};
use tokio::net::TcpStream;

use crate::chunks::ChunkReader;
use crate::message::{OpenReply, OpenRequest, RefusalReason, read_message, write_message};

/// Why no tunnel was opened.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum OpenError {
    /// The peer has refused.
    #[error("refused: {}", .0.as_str())]
    Refused(RefusalReason),
    /// The peer could not be reached, or has not replied properly.
    #[error("failed: {0}")]
    Failed(String),
}

/// Whether a tunnel has broken, as opposed to the connection that it carries. Clones share the state.
#[derive(Clone, Debug, Default)]
pub struct TunnelHealth {
    is_broken: Rc<Cell<bool>>,
}

impl TunnelHealth {
    /// Returns whether the tunnel has broken while the upstream's connection was open.
    pub fn is_broken(&self) -> bool {
        self.is_broken.get()
    }
}

/// A connection to an upstream that a peer carries. Dropping it closes both.
#[derive(Debug)]
pub struct TunnelStream {
    reader: ChunkReader<BufReader<TcpStream>>,
    health: TunnelHealth,
}

impl TunnelStream {
    /// Returns the shared state of the tunnel.
    pub fn health(&self) -> TunnelHealth {
        self.health.clone()
    }

    fn record<T>(&self, result: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        if matches!(result, Poll::Ready(Err(_))) && !self.reader.is_upstream_closed() {
            self.health.is_broken.set(true);
        }
        result
    }
}

/// Asks the peer at `peer_address` for a tunnel.
///
/// # Errors
/// The peer refuses, or has not replied within `limit`.
pub async fn open(
    peer_address: SocketAddr,
    request: &OpenRequest,
    limit: Duration,
) -> Result<TunnelStream, OpenError> {
    let exchange = async {
        let failed = |error: &dyn std::error::Error| OpenError::Failed(error.to_string());
        let stream = TcpStream::connect(peer_address).await.map_err(|error| failed(&error))?;
        stream.set_nodelay(true).map_err(|error| failed(&error))?;
        let mut stream = BufReader::new(stream);
        write_message(&mut stream, request).await.map_err(|error| failed(&error))?;
        match read_message(&mut stream).await.map_err(|error| failed(&error))? {
            OpenReply::Opened => Ok(TunnelStream {
                reader: ChunkReader::new(stream),
                health: TunnelHealth::default(),
            }),
            OpenReply::Refused(reason) => Err(OpenError::Refused(reason)),
        }
    };
    timeout(limit, exchange).await.unwrap_or_else(|_| {
        Err(OpenError::Failed(format!("no reply within {} ms", limit.as_millis())))
    })
}

impl AsyncRead for TunnelStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        output: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.reader).poll_read(context, output);
        self.record(result)
    }
}

impl AsyncWrite for TunnelStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(self.reader.get_mut()).poll_write(context, bytes);
        self.record(result)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(self.reader.get_mut()).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(self.reader.get_mut()).poll_shutdown(context)
    }
}
