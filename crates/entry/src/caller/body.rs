//! Reading a caller's body within the limits.

use std::time::Duration;

use hickorycourse_codes::{ErrorCode, Problem};
use hickorycourse_settings::Limits;
use ntex::time::timeout;
use ntex::util::{Bytes, BytesMut};
use ntex::web::types::Payload;

/// Reads a whole body. The time limit holds for all of it, so a slow sender can't stretch it.
pub async fn read(payload: Payload, limits: &Limits) -> Result<Bytes, Problem> {
    let limit = Duration::from_millis(limits.body_timeout_ms);
    match timeout(limit, read_parts(payload, limits.body_bytes)).await {
        Ok(result) => result,
        Err(_) => Err(ErrorCode::SlowRequest.into()),
    }
}

async fn read_parts(mut payload: Payload, limit_bytes: usize) -> Result<Bytes, Problem> {
    let mut body = BytesMut::new();
    while let Some(part) = payload.recv().await {
        let part = part.map_err(|_| Problem::new(ErrorCode::BrokenBody))?;
        if body.len() + part.len() > limit_bytes {
            let detail = format!("The body may have {limit_bytes} bytes.");
            return Err(Problem::new(ErrorCode::BodyTooLarge).with_detail(detail));
        }
        body.extend_from_slice(&part);
    }
    Ok(body.freeze())
}
