//! Reads request bodies of callers within a size and a time limit; shared by the entry and the relay.

use std::time::Duration;

use hickorycourse_clock::timeout;
use hickorycourse_codes::{ErrorCode, Problem};
use ntex::web::types::Payload;

/// Types that most users of this crate need.
pub mod prelude {
    pub use crate::read_body;
}

/// Reads a whole request body of at most `limit_bytes` bytes within `time_limit`. The time limit covers
/// the whole body, so a caller that sends slowly can't extend it.
///
/// # Errors
/// [`ErrorCode::BodyTooLarge`], [`ErrorCode::SlowRequest`] after `time_limit`, or
/// [`ErrorCode::BrokenBody`] if the connection ends before the body does.
pub async fn read_body(
    payload: Payload,
    limit_bytes: usize,
    time_limit: Duration,
) -> Result<Vec<u8>, Problem> {
    match timeout(time_limit, read_chunks(payload, limit_bytes)).await {
        Ok(result) => result,
        Err(_) => Err(ErrorCode::SlowRequest.into()),
    }
}

async fn read_chunks(mut payload: Payload, limit_bytes: usize) -> Result<Vec<u8>, Problem> {
    let mut body = Vec::new();
    while let Some(chunk) = payload.recv().await {
        let chunk = chunk.map_err(|_| Problem::new(ErrorCode::BrokenBody))?;
        if body.len() + chunk.len() > limit_bytes {
            let detail = format!("The body may have {limit_bytes} bytes.");
            return Err(Problem::new(ErrorCode::BodyTooLarge).with_detail(detail));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body)
}
