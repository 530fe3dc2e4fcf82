//! A stream that ends when its bytes are part of no response.
//!
//! Load pattern: a faulty server sends informational responses, zeros of a chunk size or the like without end.
//! The HTTP library reads on for as long as there are bytes, so no timer beside it fires, and other connections
//! wait.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes that are read without a head or a part of a body that they bring. The largest head and the bytes that are
/// read ahead are fewer.
const MAX_UNDELIVERED_BYTES: usize = 160 * 1024;
/// Bytes for which an informational response counts; a server sends few, and each has to be parsed.
const INFORMATIONAL_BYTES: usize = 16 * 1024;
/// Undelivered bytes from which on the connection is read in turns, so that others come first.
const FREE_BYTES: usize = 4 * 1024;
/// Bytes that are read in a turn.
const TURN_BYTES: usize = 2 * 1024;

/// A stream of bytes in both directions.
pub(crate) trait ByteStream: AsyncRead + AsyncWrite + Unpin {}

impl<S: AsyncRead + AsyncWrite + Unpin> ByteStream for S {}

/// Bytes that a connection has received since it last brought a head or a part of a body.
#[derive(Clone, Debug, Default)]
pub(crate) struct Undelivered(Arc<AtomicUsize>);

impl Undelivered {
    /// Records a head or a part of a body.
    pub(crate) fn clear(&self) {
        self.0.store(0, Ordering::Relaxed);
    }

    /// Records an informational response, which is not the head that is awaited.
    pub(crate) fn add_informational(&self) {
        self.add(INFORMATIONAL_BYTES);
    }

    fn bytes(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    fn add(&self, bytes: usize) -> usize {
        self.0.fetch_add(bytes, Ordering::Relaxed) + bytes
    }
}

/// A stream of which reads fail once too many bytes are undelivered.
#[derive(Debug)]
pub(crate) struct BoundedStream<S> {
    stream: S,
    undelivered: Undelivered,
    has_had_turn: bool,
}

impl<S> BoundedStream<S> {
    pub(crate) fn new(stream: S, undelivered: Undelivered) -> Self {
        Self { stream, undelivered, has_had_turn: false }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for BoundedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let is_in_turns = self.undelivered.bytes() >= FREE_BYTES;
        if is_in_turns && std::mem::replace(&mut self.has_had_turn, false) {
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let read = if is_in_turns {
            let length = buffer.remaining().min(TURN_BYTES);
            let mut part = ReadBuf::new(buffer.initialize_unfilled_to(length));
            ready!(Pin::new(&mut self.stream).poll_read(context, &mut part))?;
            let read = part.filled().len();
            buffer.advance(read);
            self.has_had_turn = true;
            read
        } else {
            let before = buffer.filled().len();
            ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
            buffer.filled().len() - before
        };
        if self.undelivered.add(read) > MAX_UNDELIVERED_BYTES {
            let detail = format!("{MAX_UNDELIVERED_BYTES} bytes are part of no response");
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, detail)));
        }
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for BoundedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }
}
