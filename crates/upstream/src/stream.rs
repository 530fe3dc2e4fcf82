//! Streamed responses over HTTP, as server-sent events.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use eventsource_stream::{EventStream, EventStreamError, Eventsource};
use futures_util::StreamExt;
use futures_util::stream::LocalBoxStream;
use hickorycourse_clock::timeout;
use hickorycourse_connections::{HttpClient, OpenResponse, ResponseBody, UpstreamConnection};
use hickorycourse_store::LocalFuture;
use http_body_util::BodyExt;
use hyper::body::Bytes;

use crate::attempt::{AttemptError, AttemptErrorKind, TokenStream};
use crate::chat::{Chunk, EngineEvent};

const END_MARKER: &str = "[DONE]";
/// Largest event; bytes without an event's end may come without limit.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Why no more bytes of a stream are read.
#[derive(Debug, thiserror::Error)]
enum BodyError {
    #[error("{0}")]
    Interrupted(hyper::Error),
    #[error("an event exceeds the limit of {MAX_EVENT_BYTES} bytes")]
    EventTooLarge,
}

/// Splits a body into events. `event_bytes` counts the bytes received since it was last reset.
fn split_events(
    body: ResponseBody,
    event_bytes: Rc<Cell<usize>>,
) -> EventStream<LocalBoxStream<'static, Result<Bytes, BodyError>>> {
    let parts = body.into_data_stream().map(move |part| {
        let part = part.map_err(BodyError::Interrupted)?;
        event_bytes.set(event_bytes.get() + part.len());
        match event_bytes.get() > MAX_EVENT_BYTES {
            true => Err(BodyError::EventTooLarge),
            false => Ok(part),
        }
    });
    parts.boxed_local().eventsource()
}

/// Reads the server-sent events of one attempt.
pub(crate) struct HttpTokenStream {
    events: EventStream<LocalBoxStream<'static, Result<Bytes, BodyError>>>,
    /// Bytes received since the last event.
    event_bytes: Rc<Cell<usize>>,
    /// The connection that the events arrive on, until the body has ended.
    connection: Option<UpstreamConnection<u64>>,
    client: HttpClient<u64>,
    attempt_id: String,
    token_timeout_ms: u64,
}

impl HttpTokenStream {
    pub(crate) fn new(
        open: OpenResponse<u64>,
        client: HttpClient<u64>,
        attempt_id: &str,
        token_timeout_ms: u64,
    ) -> Self {
        let event_bytes = Rc::new(Cell::new(0));
        Self {
            events: split_events(open.response.into_body(), Rc::clone(&event_bytes)),
            event_bytes,
            connection: Some(open.connection),
            client,
            attempt_id: attempt_id.to_owned(),
            token_timeout_ms,
        }
    }

    async fn read_event(&mut self) -> Result<EngineEvent, AttemptError> {
        let token_timeout = Duration::from_millis(self.token_timeout_ms);
        let event = timeout(token_timeout, self.events.next()).await.map_err(|_| {
            let detail = format!("nothing came for {} ms", self.token_timeout_ms);
            AttemptError::new(AttemptErrorKind::TimedOut, detail)
        })?;
        let event = match event {
            Some(Ok(event)) => event,
            Some(Err(error @ EventStreamError::Transport(BodyError::EventTooLarge))) => {
                let detail = error.to_string();
                return Err(AttemptError::new(AttemptErrorKind::InvalidResponse, detail));
            }
            Some(Err(error)) => {
                return Err(AttemptError::new(AttemptErrorKind::Interrupted, error.to_string()));
            }
            None => {
                let detail = "the stream ended without its end marker";
                return Err(AttemptError::new(AttemptErrorKind::Interrupted, detail));
            }
        };
        self.event_bytes.set(0);
        if event.data == END_MARKER {
            self.drain().await;
            return Ok(EngineEvent::End);
        }
        Chunk::parse(&event.data, &self.attempt_id).map(EngineEvent::Chunk)
    }

    /// Reads the remainder of the body and returns the connection to the pool, or closes it if
    /// anything follows the end marker.
    async fn drain(&mut self) {
        let rest = timeout(DRAIN_TIMEOUT, self.events.next()).await;
        let connection = self.connection.take();
        if let (Ok(None), Some(connection)) = (rest, connection) {
            self.client.check_in(connection);
        }
    }
}

/// Timeout for reading the remainder of the body; after it the connection is closed.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(32);

impl TokenStream for HttpTokenStream {
    fn next(&mut self) -> LocalFuture<'_, Result<EngineEvent, AttemptError>> {
        Box::pin(self.read_event())
    }
}
