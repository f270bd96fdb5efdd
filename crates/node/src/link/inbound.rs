//! Receives the frames that other nodes send to this one.

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

/// Maximum number of open connections of peers; further ones wait to be accepted.
const MAX_CONNECTIONS: usize = 1_024;
/// Pause after a failed accept, as when file descriptors have run out.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of bytes of a frame that are read, and allocated, at once.
const MAX_PART_BYTES: usize = 64 << 10;
/// Time-out for each part of a frame.
const PART_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum size of the buffer that is reused for the next frame; a larger one is freed.
const MAX_REUSED_BUFFER_BYTES: usize = 1 << 20;

/// Accepts connections of peers and passes their frames to `on_frame`, one at a time for each
/// connection. Invalid bytes close their own connection and no other.
pub async fn listen(
    listener: TcpListener,
    counters: Arc<LinkCounters>,
    on_frame: impl AsyncFn(Frame) + Clone + 'static,
) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else { return };
        let Ok((mut stream, from)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await;
            continue;
        };
        let (counters, on_frame) = (counters.clone(), on_frame.clone());
        tokio::task::spawn_local(async move {
            let _permit = permit;
            // The connection is closed after the frame was counted.
            if let Err(error) = read_frames(&mut stream, &counters, on_frame).await
                && error.kind() == ErrorKind::InvalidData
            {
                counters.invalid_frames.fetch_add(1, Ordering::Relaxed);
                tracing::warn!(%from, error = %error, "closed a peer connection after an invalid frame");
            }
        });
    }
}

/// Reads frames until the connection ends. An error of kind `InvalidData` means an invalid frame.
async fn read_frames(
    stream: &mut TcpStream,
    counters: &LinkCounters,
    on_frame: impl AsyncFn(Frame),
) -> std::io::Result<()> {
    net::set_socket_options(stream, net::PEER_USER_TIMEOUT);
    counters.accepted_connections.fetch_add(1, Ordering::Relaxed);
    let mut buffer = Vec::new();
    let mut is_known_peer = false;
    loop {
        read_frame_bytes(stream, &mut buffer).await?;
        match decode_frame(&buffer) {
            Ok(frame) => {
                is_known_peer = true;
                on_frame(frame).await;
            }
            Err(error @ FrameError::Invalid(_)) if is_known_peer => count_skipped_frame(counters, &error),
            Err(error) => return Err(invalid_data(error.to_string())),
        }
        if buffer.capacity() > MAX_REUSED_BUFFER_BYTES {
            buffer = Vec::new();
        }
    }
}

/// Reads the length of a frame and its bytes into `buffer`.
async fn read_frame_bytes(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> std::io::Result<()> {
    let length = stream.read_u32_le().await? as usize;
    if length > MAX_FRAME_BYTES {
        return Err(invalid_data(format!("the frame has {length} bytes; the maximum is {MAX_FRAME_BYTES}")));
    }
    buffer.clear();
    // Memory is allocated as bytes arrive, so that an announced length alone allocates none.
    while buffer.len() < length {
        let start = buffer.len();
        buffer.resize(start + (length - start).min(MAX_PART_BYTES), 0);
        tokio::time::timeout(PART_TIMEOUT, stream.read_exact(&mut buffer[start..]))
            .await
            .map_err(|_| invalid_data("the frame did not arrive in time".into()))??;
    }
    Ok(())
}

fn invalid_data(reason: String) -> Error {
    Error::new(ErrorKind::InvalidData, reason)
}

/// Counts a frame that this release can't decode, such as a new message of a peer of another release.
/// The frame is complete, so the connection stays open.
fn count_skipped_frame(counters: &LinkCounters, error: &FrameError) {
    if counters.skipped_frames.fetch_add(1, Ordering::Relaxed) == 0 {
        tracing::warn!(error = %error, "skipped a frame of a peer; further skipped frames are counted but not logged");
    }
}
