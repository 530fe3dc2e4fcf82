//! The body of a response.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use hyper::body::{Body, Bytes, Frame, Incoming, SizeHint};

use crate::bounded_stream::Undelivered;

/// The body of a response. Its connection ends if many bytes bring no part of it.
#[derive(Debug)]
pub struct ResponseBody {
    incoming: Incoming,
    undelivered: Undelivered,
}

impl ResponseBody {
    pub(crate) fn new(incoming: Incoming, undelivered: Undelivered) -> Self {
        Self { incoming, undelivered }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.incoming).poll_frame(context));
        if frame.as_ref().is_some_and(|frame| frame.as_ref().is_ok_and(Frame::is_data)) {
            self.undelivered.clear();
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
