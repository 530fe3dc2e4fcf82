//! Reads callers' bodies within limits; shared by all programs that serve callers.

use std::time::Duration;

use hickorycourse_codes::{ErrorCode, Problem};
use ntex::time::timeout;
use ntex::web::types::Payload;

/// The types most users of this crate need.
pub mod prelude {
    pub use crate::read_body;
}

/// Reads a whole body. The time limit holds for all of it, so a slow sender can't stretch it.
///
/// # Errors
/// The body is too large, too slow, or breaks off.
pub async fn read_body(
    payload: Payload,
    limit_bytes: usize,
    limit: Duration,
) -> Result<Vec<u8>, Problem> {
    match timeout(limit, read_parts(payload, limit_bytes)).await {
        Ok(result) => result,
        Err(()) => Err(ErrorCode::SlowRequest.into()),
    }
}

async fn read_parts(mut payload: Payload, limit_bytes: usize) -> Result<Vec<u8>, Problem> {
    let mut body = Vec::new();
    while let Some(part) = payload.recv().await {
        let part = part.map_err(|_| Problem::new(ErrorCode::BrokenBody))?;
        if body.len() + part.len() > limit_bytes {
            let detail = format!("The body may have {limit_bytes} bytes.");
            return Err(Problem::new(ErrorCode::BodyTooLarge).with_detail(detail));
        }
        body.extend_from_slice(&part);
    }
    Ok(body)
}
