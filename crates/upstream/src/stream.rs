//! Streamed responses over HTTP, as server-sent events.

use std::time::Duration;

use eventsource_stream::{EventStream, Eventsource};
use futures_util::StreamExt;
use hickorycourse_connections::{HttpClient, OpenResponse, UpstreamConnection};
use hickorycourse_store::LocalFuture;
use http_body_util::{BodyDataStream, BodyExt};
use hyper::body::Incoming;
use ntex::time::timeout;

use crate::attempt::{AttemptError, AttemptErrorKind, TokenStream};
use crate::chat::{Chunk, EngineEvent};

const END_MARKER: &str = "[DONE]";

/// Reads the server-sent events of one attempt.
pub(crate) struct HttpTokenStream {
    events: EventStream<BodyDataStream<Incoming>>,
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
        Self {
            events: open.response.into_body().into_data_stream().eventsource(),
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
const DRAIN_TIMEOUT: Duration = Duration::from_millis(20);

impl TokenStream for HttpTokenStream {
    fn next(&mut self) -> LocalFuture<'_, Result<EngineEvent, AttemptError>> {
        Box::pin(self.read_event())
    }
}
