//! Frames that other nodes send to this one.

use super::LinkCounters;
use crate::net;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use sumacvale_core::protocol::{Frame, FrameError, MAX_FRAME_BYTES, decode_frame};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

/// Takes frames from any node; what is no frame ends its connection and no other.
pub async fn listen(l: TcpListener, t: Arc<LinkCounters>, got: impl AsyncFn(Frame) + Clone + 'static) {
    let room = Arc::new(Semaphore::new(1024));
    loop {
        let Ok(p) = room.clone().acquire_owned().await else { return };
        let Ok((s, from)) = l.accept().await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let (t, got) = (t.clone(), got.clone());
        tokio::task::spawn_local(async move {
            let _p = p;
            if let Err(e) = read(s, &t, got).await
                && e.kind() == std::io::ErrorKind::InvalidData
            {
                t.invalid_frames.fetch_add(1, Ordering::Relaxed);
                tracing::warn!(%from, trouble = %e, "closed a peer connection");
            }
        });
    }
}

async fn read(mut s: TcpStream, t: &LinkCounters, got: impl AsyncFn(Frame)) -> std::io::Result<()> {
    net::tune(&s, net::PEER);
    t.accepted_connections.fetch_add(1, Ordering::Relaxed);
    let bad = |e: String| std::io::Error::new(std::io::ErrorKind::InvalidData, e);
    let mut buf = Vec::new();
    let mut peer_is_known = false;
    loop {
        let n = s.read_u32_le().await? as usize;
        if n > MAX_FRAME_BYTES {
            return Err(bad(format!("a frame of {n} bytes")));
        }
        buf.clear();
        let mut left = n;
        // Memory is taken as the bytes come, not as they are announced.
        while left > 0 {
            let part = left.min(64 << 10);
            let at = buf.len();
            buf.resize(at + part, 0);
            tokio::time::timeout(Duration::from_secs(10), s.read_exact(&mut buf[at..]))
                .await
                .map_err(|_| bad("a frame that does not end".into()))??;
            left -= part;
        }
        match decode_frame(&buf) {
            Ok(f) => {
                peer_is_known = true;
                got(f).await;
            }
            Err(e @ FrameError::Undecodable(_)) if peer_is_known => skip_unread(t, &e),
            Err(e) => return Err(bad(e.to_string())),
        }
        if buf.capacity() > 1 << 20 {
            buf = Vec::new();
        }
    }
}

/// A peer of another release may send messages that this one has no word for: the frame is whole,
/// so the ones behind it are read.
fn skip_unread(t: &LinkCounters, e: &FrameError) {
    if t.skipped_frames.fetch_add(1, Ordering::Relaxed) == 0 {
        tracing::warn!(trouble = %e, "skipped a peer's frame; later ones are only counted");
    }
}
