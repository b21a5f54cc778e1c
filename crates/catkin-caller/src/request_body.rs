//! Reads the bodies of requests, within limits on size, time and memory.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::timeout;

use crate::CallerLimits;
use crate::body_budget::BodyReservation;
use crate::check_error::CallCheckError;

/// Reads a body to its end. Its bytes are added to `reservation`.
pub(crate) async fn read_body(
    body: Incoming,
    limits: &CallerLimits,
    reservation: &mut BodyReservation,
) -> Result<Bytes, CallCheckError> {
    let limit_bytes = limits.max_body_bytes;
    if body.size_hint().lower() > limit_bytes as u64 {
        return Err(CallCheckError::BodyTooLarge { limit_bytes });
    }
    let limit_millis = limits.body_timeout.as_millis();
    timeout(limits.body_timeout, collect_body(body, limit_bytes, reservation))
        .await
        .map_err(|_| CallCheckError::BodyTooSlow { limit_millis })?
}

async fn collect_body(
    mut body: Incoming,
    limit_bytes: usize,
    reservation: &mut BodyReservation,
) -> Result<Bytes, CallCheckError> {
    let mut collected = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| CallCheckError::BodyTruncated)?;
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        if collected.len() + bytes.len() > limit_bytes {
            return Err(CallCheckError::BodyTooLarge { limit_bytes });
        }
        if !reservation.grow(bytes.len()) {
            return Err(CallCheckError::BodyBudgetExceeded);
        }
        collected.extend_from_slice(&bytes);
    }
    Ok(collected.freeze())
}
