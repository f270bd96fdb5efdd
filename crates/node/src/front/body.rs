//! Reads the request bodies of calls.

use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use hyper::body::Body as _;
use std::time::Duration;
use sumacvale_core::call::{BodyError, BodyReservation};
use viz::Body;

/// How long the next chunk of a body may take.
const CHUNK_TIMEOUT: Duration = Duration::from_secs(10);

/// Reads a whole body of at most `max_bytes`, and reserves its memory in the body budget.
///
/// # Errors
/// [`BodyError`]; the bytes that were read until then stay reserved until `reservation` is dropped.
pub async fn read(mut body: Body, max_bytes: usize, reservation: &mut BodyReservation) -> Result<Bytes, BodyError> {
    let announced = body.size_hint().lower();
    if announced > max_bytes as u64 {
        return Err(BodyError::TooLarge);
    }
    // Memory is reserved as the bytes arrive, not as they are announced.
    let mut buffer = BytesMut::with_capacity(usize::try_from(announced.min(16 << 10)).unwrap_or(0));
    loop {
        let chunk: Bytes = match tokio::time::timeout(CHUNK_TIMEOUT, body.next()).await {
            Err(_) => return Err(BodyError::TimedOut),
            Ok(None) => return Ok(buffer.freeze()),
            Ok(Some(Err(_))) => return Err(BodyError::Aborted),
            Ok(Some(Ok(chunk))) => chunk,
        };
        if buffer.len() + chunk.len() > max_bytes {
            return Err(BodyError::TooLarge);
        }
        if !reservation.grow(chunk.len()) {
            return Err(BodyError::NoCapacity);
        }
        buffer.extend_from_slice(&chunk);
    }
}
