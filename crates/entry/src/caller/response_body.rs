//! Response bodies that keep their request in flight until the last byte is in the socket.

use std::error::Error;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use hickorycourse_clock::{Sleep, sleep};
use ntex::http::body::{Body, BodySize, MessageBody};
use ntex::io::IoRef;
use ntex::util::Bytes;

use crate::state::InFlightGuard;

const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A response body that ends only once the connection's write buffer is empty. The HTTP library
/// drops a body when it has buffered its last byte, which a slow caller may not receive for long,
/// and aborts the rest of the buffer when the connection or the process shuts down.
pub struct FlushedBody {
    body: Body,
    io: IoRef,
    flush_timer: Option<Pin<Box<Sleep>>>,
    is_body_sent: bool,
    _guard: InFlightGuard,
}

impl FlushedBody {
    /// Wraps the body of a response on the connection `io`.
    pub fn new(body: Body, io: IoRef, guard: InFlightGuard) -> Self {
        Self { body, io, flush_timer: None, is_body_sent: false, _guard: guard }
    }

    fn is_flushed(&self) -> bool {
        while !self.io.is_closed() {
            let unsent_bytes = self.io.with_write_dst_buf(|buffer| buffer.len());
            if unsent_bytes == 0 {
                return true;
            }
            // Writes what the socket accepts, instead of waiting for the library's next write.
            let _ = self.io.send_buf();
            if self.io.with_write_dst_buf(|buffer| buffer.len()) == unsent_bytes {
                return false;
            }
        }
        true
    }

    fn poll_flush(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        while !self.is_flushed() {
            let timer =
                self.flush_timer.get_or_insert_with(|| Box::pin(sleep(FLUSH_POLL_INTERVAL)));
            ready!(timer.as_mut().poll(cx));
            self.flush_timer = None;
        }
        Poll::Ready(())
    }
}

impl MessageBody for FlushedBody {
    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next_chunk(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Rc<dyn Error>>>> {
        if !self.is_body_sent {
            if let Some(chunk) = ready!(self.body.poll_next_chunk(cx)) {
                return Poll::Ready(Some(chunk));
            }
            self.is_body_sent = true;
        }
        ready!(self.poll_flush(cx));
        Poll::Ready(None)
    }
}
