//! Reads request bodies of callers within a size and a time limit and a memory budget of the process; shared by the
//! entry and the relay.

mod budget;
mod ledger;

use std::collections::TryReserveError;
use std::task::Poll;
use std::time::Duration;

use hickorycourse_clock::timeout;
use hickorycourse_codes::{ErrorCode, Problem};
use ntex::util::Bytes;
use ntex::web::HttpRequest;
use ntex::web::types::Payload;

/// Types that most users of this crate need.
pub mod prelude {
    pub use crate::{
        BodyBudget, BodyLimits, BodyReservation, ReceivedBody, discard_body, read_body,
    };
}

pub use budget::{BodyBudget, BodyReservation};
pub use ledger::{BufferLedger, GrowDecision};

/// Bytes by which the buffer of a body grows at least.
const MIN_GROWTH_BYTES: usize = 4 * 1024;
/// Memory of one header of a request, beside its bytes, at the caller's and the upstream's side.
pub const FIELD_BYTES: usize = 192;
/// Memory of a chunk in the queue of the HTTP library, whatever its length.
const QUEUED_CHUNK_BYTES: usize = size_of::<Bytes>();
/// Time for the rest of a body that had no room.
const REFUSED_TIME_LIMIT: Duration = Duration::from_secs(1);
/// Delay for callers whose body had no room.
const RETRY_AFTER_S: u64 = 1;

/// Limits of a request body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BodyLimits {
    /// Maximum size.
    pub body_bytes: usize,
    /// Time for the whole body, which a caller that sends slowly can't extend.
    pub time_limit: Duration,
}

/// A complete request body; returns its memory to the budget when dropped.
pub struct ReceivedBody {
    bytes: Vec<u8>,
    reservation: BodyReservation,
}

impl ReceivedBody {
    /// Returns the bytes, and the reservation that must be kept as long as they are.
    pub fn into_parts(self) -> (Vec<u8>, BodyReservation) {
        (self.bytes, self.reservation)
    }
}

impl AsRef<[u8]> for ReceivedBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Returns the length that a request's head declares; `None` for a body in chunks.
pub fn declared_length(request: &HttpRequest) -> Option<usize> {
    request.headers().get("content-length")?.to_str().ok()?.parse().ok()
}

/// Reads a whole request body. Its memory is added to `reservation` before it is filled.
///
/// # Errors
/// [`ErrorCode::BodyTooLarge`], before anything is read if the declared length shows it;
/// [`ErrorCode::SlowRequest`] after the time limit; [`ErrorCode::BrokenBody`] if the connection ends before the body
/// does; [`ErrorCode::TooManyRequests`] if the body has no room in the budget.
pub async fn read_body(
    payload: Payload,
    declared_bytes: Option<usize>,
    limits: BodyLimits,
    reservation: BodyReservation,
) -> Result<ReceivedBody, Problem> {
    check_declared(declared_bytes, limits)?;
    let mut reader = BodyReader::new(payload, limits, reservation);
    let reading = reader.read(declared_bytes.unwrap_or(limits.body_bytes));
    match timeout(limits.time_limit, reading).await {
        Ok(Ok(())) => Ok(reader.finish()),
        Ok(Err(problem)) => Err(problem),
        Err(_) => Err(ErrorCode::SlowRequest.into()),
    }
}

/// Reads a body whose request is rejected without keeping it. If the connection were closed while the body arrives, it
/// would be reset, and the caller could lose the response.
///
/// # Errors
/// As for [`read_body`].
pub async fn discard_body(
    payload: Payload,
    declared_bytes: Option<usize>,
    limits: BodyLimits,
    reservation: BodyReservation,
) -> Result<(), Problem> {
    check_declared(declared_bytes, limits)?;
    let mut reader = BodyReader::new(payload, limits, reservation);
    match timeout(limits.time_limit, reader.discard()).await {
        Ok(result) => result,
        Err(_) => Err(ErrorCode::SlowRequest.into()),
    }
}

fn check_declared(declared_bytes: Option<usize>, limits: BodyLimits) -> Result<(), Problem> {
    match declared_bytes {
        Some(bytes) if bytes > limits.body_bytes => Err(too_large_problem(limits)),
        _ => Ok(()),
    }
}

fn too_large_problem(limits: BodyLimits) -> Problem {
    let detail = format!("The body may have {} bytes.", limits.body_bytes);
    Problem::new(ErrorCode::BodyTooLarge).with_detail(detail)
}

/// Returns the problem of a request that has no room in the budget.
pub fn no_room_problem() -> Problem {
    Problem::new(ErrorCode::TooManyRequests)
        .with_detail("The memory for requests is in use.")
        .with_retry_after_s(RETRY_AFTER_S)
}

struct BodyReader {
    payload: Payload,
    limits: BodyLimits,
    reservation: BodyReservation,
    bytes: Vec<u8>,
    received_bytes: usize,
    /// Chunks that have arrived together, and the most that have: the queue keeps the memory for them.
    queued_chunks: usize,
    charged_chunks: usize,
}

impl BodyReader {
    fn new(payload: Payload, limits: BodyLimits, reservation: BodyReservation) -> Self {
        Self {
            payload,
            limits,
            reservation,
            bytes: Vec::new(),
            received_bytes: 0,
            queued_chunks: 0,
            charged_chunks: 0,
        }
    }

    async fn read(&mut self, most_bytes: usize) -> Result<(), Problem> {
        while let Some(chunk) = self.next_chunk().await? {
            if let Err(problem) = self.make_room(chunk.len(), most_bytes) {
                self.bytes = Vec::new();
                // The caller is still sending, and could lose the response if its connection were closed.
                let _ = timeout(REFUSED_TIME_LIMIT, self.skip()).await;
                return Err(problem);
            }
            self.bytes.extend_from_slice(&chunk);
        }
        Ok(())
    }

    /// Reads the rest of a body that has no room.
    async fn skip(&mut self) {
        while let Some(Ok(chunk)) = self.payload.recv().await {
            self.received_bytes += chunk.len();
            if self.received_bytes > self.limits.body_bytes {
                break;
            }
        }
    }

    async fn discard(&mut self) -> Result<(), Problem> {
        while self.next_chunk().await?.is_some() {}
        Ok(())
    }

    fn finish(self) -> ReceivedBody {
        self.reservation.complete();
        ReceivedBody { bytes: self.bytes, reservation: self.reservation }
    }

    /// Returns the next chunk; `None` at the end.
    async fn next_chunk(&mut self) -> Result<Option<Bytes>, Problem> {
        let Self { payload, reservation, queued_chunks, .. } = self;
        let receive = std::future::poll_fn(|context| {
            let polled = payload.poll_recv(context);
            match polled {
                Poll::Ready(_) => *queued_chunks += 1,
                Poll::Pending => *queued_chunks = 0,
            }
            polled
        });
        let chunk = tokio::select! {
            biased;
            () = reservation.wait_until_evicted() => {
                return Err(no_room_problem());
            }
            chunk = receive => chunk,
        };
        let Some(chunk) = chunk else { return Ok(None) };
        let chunk = chunk.map_err(|_| Problem::new(ErrorCode::BrokenBody))?;
        self.received_bytes += chunk.len();
        if self.received_bytes > self.limits.body_bytes {
            return Err(too_large_problem(self.limits));
        }
        self.charge_queue()?;
        Ok(Some(chunk))
    }

    /// Charges the queue of chunks, whose memory the HTTP library doubles as it grows.
    fn charge_queue(&mut self) -> Result<(), Problem> {
        if self.queued_chunks <= self.charged_chunks {
            return Ok(());
        }
        let chunks = self.queued_chunks.next_power_of_two();
        let bytes = (chunks - self.charged_chunks) * QUEUED_CHUNK_BYTES;
        self.charged_chunks = chunks;
        self.reserve(bytes)
    }

    fn make_room(&mut self, bytes: usize, most_bytes: usize) -> Result<(), Problem> {
        let needed_bytes = self.bytes.len() + bytes;
        let capacity = self.bytes.capacity();
        if needed_bytes <= capacity {
            self.reservation.record_progress();
            return Ok(());
        }
        let grown_bytes = (capacity + capacity / 2).max(MIN_GROWTH_BYTES).min(most_bytes);
        let target_bytes = grown_bytes.max(needed_bytes);
        self.reserve(target_bytes - capacity)?;
        let reserved: Result<(), TryReserveError> =
            self.bytes.try_reserve_exact(target_bytes - self.bytes.len());
        reserved.map_err(|_| no_room_problem())
    }

    fn reserve(&mut self, bytes: usize) -> Result<(), Problem> {
        match self.reservation.grow(bytes) {
            true => Ok(()),
            false => Err(no_room_problem()),
        }
    }
}
