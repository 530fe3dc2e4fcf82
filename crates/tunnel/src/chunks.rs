//! Framing of the bytes from the upstream: chunks behind a length of four bytes.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, ReadBuf};

/// Largest chunk.
pub(crate) const MAX_CHUNK_BYTES: usize = 16 * 1024;
/// Stands for a length after the orderly end of the upstream's connection.
pub(crate) const END_MARKER: u32 = 0;
/// Stands for a length after the upstream's connection has failed.
pub(crate) const BROKEN_MARKER: u32 = u32::MAX;
const HEADER_BYTES: usize = 4;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    /// Reads the length of the next chunk, of which this many bytes have been read.
    Header(usize),
    /// Reads a chunk, of which this many bytes are left.
    Chunk(usize),
    /// The upstream's connection has ended in order.
    Ended,
    /// The upstream's connection has failed.
    Broken,
}

/// Reads the content of chunks. Only the end marker ends it; the end of the inner reader is an error.
#[derive(Debug)]
pub struct ChunkReader<R> {
    inner: R,
    state: State,
    header: [u8; HEADER_BYTES],
}

impl<R> ChunkReader<R> {
    /// Wraps a reader that is at the beginning of a chunk.
    pub fn new(inner: R) -> Self {
        Self { inner, state: State::Header(0), header: [0; HEADER_BYTES] }
    }

    /// Returns the inner reader, to write to a stream of both directions.
    pub fn get_mut(&mut self) -> &mut R {
        &mut self.inner
    }

    /// Returns whether the upstream's connection has ended or failed, as opposed to the tunnel.
    pub fn is_upstream_closed(&self) -> bool {
        matches!(self.state, State::Ended | State::Broken)
    }
}

fn broken_upstream() -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionReset, "the upstream's connection failed")
}

impl<R: AsyncRead + Unpin> AsyncRead for ChunkReader<R> {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        output: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        loop {
            match this.state {
                State::Ended => return Poll::Ready(Ok(())),
                State::Broken => return Poll::Ready(Err(broken_upstream())),
                State::Header(HEADER_BYTES) => {
                    this.state = match u32::from_be_bytes(this.header) {
                        END_MARKER => State::Ended,
                        BROKEN_MARKER => State::Broken,
                        length => match usize::try_from(length) {
                            Ok(length) if length <= MAX_CHUNK_BYTES => State::Chunk(length),
                            _ => return Poll::Ready(Err(io::ErrorKind::InvalidData.into())),
                        },
                    };
                }
                State::Header(filled) => {
                    let mut header = ReadBuf::new(&mut this.header[filled..]);
                    ready!(Pin::new(&mut this.inner).poll_read(context, &mut header))?;
                    let read = header.filled().len();
                    if read == 0 {
                        return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
                    }
                    this.state = State::Header(filled + read);
                }
                State::Chunk(0) => this.state = State::Header(0),
                State::Chunk(left) => {
                    if output.remaining() == 0 {
                        return Poll::Ready(Ok(()));
                    }
                    let length = left.min(output.remaining());
                    let mut limited = ReadBuf::new(output.initialize_unfilled_to(length));
                    ready!(Pin::new(&mut this.inner).poll_read(context, &mut limited))?;
                    let read = limited.filled().len();
                    if read == 0 {
                        return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
                    }
                    output.advance(read);
                    this.state = State::Chunk(left - read);
                    return Poll::Ready(Ok(()));
                }
            }
        }
    }
}
