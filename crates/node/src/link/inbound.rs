//! Frames that other nodes send to this one.

use super::LinkCounters;
use crate::net;
use std::io::{Error, ErrorKind};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use sumacvale_core::protocol::{Frame, FrameError, MAX_FRAME_BYTES, decode_frame};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

/// At most this many peers are connected at once; further ones wait to be accepted.
const MAX_CONNECTIONS: usize = 1_024;
/// Pause after a failed accept, as when file descriptors have run out.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Most bytes of a frame that are read, and allocated, at once.
const MAX_PART_BYTES: usize = 64 << 10;
/// How long each part of a frame may take.
const PART_TIMEOUT: Duration = Duration::from_secs(10);
/// A larger buffer is given back after its frame.
const MAX_KEPT_BUFFER_BYTES: usize = 1 << 20;

/// Accepts peers and passes their frames to `on_frame`, one at a time for each connection. Bytes that
/// are no frame close their connection and no other.
pub async fn listen(
    listener: TcpListener,
    counters: Arc<LinkCounters>,
    on_frame: impl AsyncFn(Frame) + Clone + 'static,
) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else { return };
        let Ok((stream, from)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await;
            continue;
        };
        let (counters, on_frame) = (counters.clone(), on_frame.clone());
        tokio::task::spawn_local(async move {
            let _permit = permit;
            if let Err(error) = read_frames(stream, &counters, on_frame).await
                && error.kind() == ErrorKind::InvalidData
            {
                counters.invalid_frames.fetch_add(1, Ordering::Relaxed);
                tracing::warn!(%from, trouble = %error, "closed a peer connection");
            }
        });
    }
}

/// Reads frames until the connection ends; an error of kind `InvalidData` is the peer's fault.
async fn read_frames(
    mut stream: TcpStream,
    counters: &LinkCounters,
    on_frame: impl AsyncFn(Frame),
) -> std::io::Result<()> {
    net::tune(&stream, net::PEER);
    counters.accepted_connections.fetch_add(1, Ordering::Relaxed);
    let mut buffer = Vec::new();
    let mut peer_is_known = false;
    loop {
        read_frame_bytes(&mut stream, &mut buffer).await?;
        match decode_frame(&buffer) {
            Ok(frame) => {
                peer_is_known = true;
                on_frame(frame).await;
            }
            Err(error @ FrameError::Undecodable(_)) if peer_is_known => count_skipped_frame(counters, &error),
            Err(error) => return Err(invalid_data(error.to_string())),
        }
        if buffer.capacity() > MAX_KEPT_BUFFER_BYTES {
            buffer = Vec::new();
        }
    }
}

/// Reads the length of a frame and its bytes into `buffer`.
async fn read_frame_bytes(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> std::io::Result<()> {
    let length = stream.read_u32_le().await? as usize;
    if length > MAX_FRAME_BYTES {
        return Err(invalid_data(format!("a frame of {length} bytes")));
    }
    buffer.clear();
    // Memory is allocated as bytes arrive, not by the announced length.
    while buffer.len() < length {
        let start = buffer.len();
        buffer.resize(start + (length - start).min(MAX_PART_BYTES), 0);
        tokio::time::timeout(PART_TIMEOUT, stream.read_exact(&mut buffer[start..]))
            .await
            .map_err(|_| invalid_data("a frame that does not end".into()))??;
    }
    Ok(())
}

fn invalid_data(reason: String) -> Error {
    Error::new(ErrorKind::InvalidData, reason)
}

/// A peer of another release may send messages that this one doesn't know: the frame is complete, so
/// the ones behind it are read.
fn count_skipped_frame(counters: &LinkCounters, error: &FrameError) {
    if counters.skipped_frames.fetch_add(1, Ordering::Relaxed) == 0 {
        tracing::warn!(trouble = %error, "skipped a peer's frame; later ones are only counted");
    }
}
