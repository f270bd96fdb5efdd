//! Bodies of calls.

use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use hyper::body::Body as _;
use std::time::Duration;
use sumacvale_core::call::{BodyError, BodyReservation};
use viz::Body;

const SLOW: Duration = Duration::from_secs(10);

/// Reads a body whole, up to `most` bytes and as far as there is room for all bodies.
pub async fn read(mut b: Body, most: usize, held: &mut BodyReservation) -> Result<Bytes, BodyError> {
    let told = b.size_hint().lower();
    if told > most as u64 {
        return Err(BodyError::TooLarge);
    }
    // Memory is taken as the bytes come, not as they are announced.
    let mut out = BytesMut::with_capacity(usize::try_from(told.min(16 << 10)).unwrap_or(0));
    loop {
        let d: Bytes = match tokio::time::timeout(SLOW, b.next()).await {
            Err(_) => return Err(BodyError::TimedOut),
            Ok(None) => return Ok(out.freeze()),
            Ok(Some(Err(_))) => return Err(BodyError::Aborted),
            Ok(Some(Ok(d))) => d,
        };
        if out.len() + d.len() > most {
            return Err(BodyError::TooLarge);
        }
        if !held.grow(d.len()) {
            return Err(BodyError::NoCapacity);
        }
        out.extend_from_slice(&d);
    }
}
