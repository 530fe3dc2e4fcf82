//! A streamed answer over HTTP.

use std::time::Duration;

use eventsource_stream::{EventStream, Eventsource};
use futures_util::StreamExt;
use hickorycourse_store::LocalFuture;
use ntex::client::ClientResponse;
use ntex::time::timeout;

use crate::attempt::{AttemptError, AttemptErrorKind, TokenStream};
use crate::chat::{Chunk, EngineEvent};

const END_MARKER: &str = "[DONE]";

/// Server-sent events of one attempt.
pub(crate) struct HttpTokenStream {
    events: EventStream<ClientResponse>,
    attempt_id: String,
    token_timeout_ms: u64,
}

impl HttpTokenStream {
    pub(crate) fn new(response: ClientResponse, attempt_id: &str, token_timeout_ms: u64) -> Self {
        Self { events: response.eventsource(), attempt_id: attempt_id.to_owned(), token_timeout_ms }
    }

    async fn read(&mut self) -> Result<EngineEvent, AttemptError> {
        let limit = Duration::from_millis(self.token_timeout_ms);
        let event = timeout(limit, self.events.next()).await.map_err(|_| {
            let detail = format!("nothing came for {} ms", self.token_timeout_ms);
            AttemptError::new(AttemptErrorKind::Silent, detail)
        })?;
        let event = match event {
            Some(Ok(event)) => event,
            Some(Err(error)) => {
                return Err(AttemptError::new(AttemptErrorKind::Broken, error.to_string()));
            }
            None => {
                let detail = "the stream ended without its end marker";
                return Err(AttemptError::new(AttemptErrorKind::Broken, detail));
            }
        };
        if event.data == END_MARKER {
            self.drain().await;
            return Ok(EngineEvent::End);
        }
        Chunk::parse(&event.data, &self.attempt_id).map(EngineEvent::Chunk)
    }

    /// Reads the end of the body, so that the connection can be used again.
    async fn drain(&mut self) {
        let _ = timeout(DRAIN_LIMIT, self.events.next()).await;
    }
}

const DRAIN_LIMIT: Duration = Duration::from_millis(20);

impl TokenStream for HttpTokenStream {
    fn next(&mut self) -> LocalFuture<'_, Result<EngineEvent, AttemptError>> {
        Box::pin(self.read())
    }
}
