//! Streamed responses over HTTP, as server-sent events.

use std::time::Duration;

use eventsource_stream::{EventStream, Eventsource};
use futures_util::StreamExt;
use hickorycourse_store::LocalFuture;
use ntex::client::ClientResponse;
use ntex::time::timeout;

use crate::attempt::{AttemptError, AttemptErrorKind, TokenStream};
use crate::chat::{Chunk, EngineEvent};

const END_MARKER: &str = "[DONE]";

/// Reads the server-sent events of one attempt.
pub(crate) struct HttpTokenStream {
    events: EventStream<ClientResponse>,
    attempt_id: String,
    token_timeout_ms: u64,
}

impl HttpTokenStream {
    pub(crate) fn new(response: ClientResponse, attempt_id: &str, token_timeout_ms: u64) -> Self {
        Self { events: response.eventsource(), attempt_id: attempt_id.to_owned(), token_timeout_ms }
    }

    async fn read_event(&mut self) -> Result<EngineEvent, AttemptError> {
        let token_timeout = Duration::from_millis(self.token_timeout_ms);
        let event = timeout(token_timeout, self.events.next()).await.map_err(|_| {
            let detail = format!("nothing came for {} ms", self.token_timeout_ms);
            AttemptError::new(AttemptErrorKind::TimedOut, detail)
        })?;
        let event = match event {
            Some(Ok(event)) => event,
            Some(Err(error)) => {
                return Err(AttemptError::new(AttemptErrorKind::Interrupted, error.to_string()));
            }
            None => {
                let detail = "the stream ended without its end marker";
                return Err(AttemptError::new(AttemptErrorKind::Interrupted, detail));
            }
        };
        if event.data == END_MARKER {
            self.drain().await;
            return Ok(EngineEvent::End);
        }
        Chunk::parse(&event.data, &self.attempt_id).map(EngineEvent::Chunk)
    }

    /// Reads the remainder of the body, so that the connection returns to the pool.
    async fn drain(&mut self) {
        let _ = timeout(DRAIN_TIMEOUT, self.events.next()).await;
    }
}

/// Timeout for reading the remainder of the body; after it the connection is closed.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(20);

impl TokenStream for HttpTokenStream {
    fn next(&mut self) -> LocalFuture<'_, Result<EngineEvent, AttemptError>> {
        Box::pin(self.read_event())
    }
}
