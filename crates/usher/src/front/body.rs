use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use seating::call::{Bad, Held};
use std::time::Duration;
use viz::Body;

const SLOW: Duration = Duration::from_secs(10);

/// Reads a body whole, up to `most` bytes and as far as there is room for all bodies.
pub async fn read(mut b: Body, most: usize, held: &mut Held) -> Result<Bytes, Bad> {
    let mut out = BytesMut::new();
    loop {
        let d: Bytes = match tokio::time::timeout(SLOW, b.next()).await {
            Err(_) => return Err(Bad::Slow),
            Ok(None) => return Ok(out.freeze()),
            Ok(Some(Err(_))) => return Err(Bad::Broke),
            Ok(Some(Ok(d))) => d,
        };
        if out.len() + d.len() > most {
            return Err(Bad::Large);
        }
        if !held.grow(d.len()) {
            return Err(Bad::NoRoom);
        }
        out.extend_from_slice(&d);
    }
}
