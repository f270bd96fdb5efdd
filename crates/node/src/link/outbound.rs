//! Sends frames to other nodes.

use super::LinkCounters;
use crate::net;
use bytes::BytesMut;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{Notify, mpsc};
use tokio::time::{Instant, sleep, timeout};

/// Maximum number of queued frames for one peer.
const QUEUE_CAPACITY: usize = 1_024;
/// Maximum age of a queued frame; an older one is dropped, since its content was sent again by then.
const MAX_FRAME_AGE: Duration = Duration::from_secs(1);
/// Time without a frame to send after which a link is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time-out of an attempt to connect to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Backoff after the first refused connection; doubles with each further one up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(10);
/// Maximum backoff between attempts to connect.
const MAX_BACKOFF: Duration = Duration::from_millis(160);
/// Maximum size of a write in bytes, unless a single frame is larger.
const MAX_BATCH_BYTES: usize = 64 << 10;
/// Maximum size of the buffer that is reused for the next write; a larger one is freed.
const MAX_REUSED_BUFFER_BYTES: usize = 4 * MAX_BATCH_BYTES;
/// Size of the length prefix of each frame in bytes.
const LENGTH_PREFIX_BYTES: u64 = 4;

/// Number of queued bytes for all peers together above which large frames are dropped.
pub const MAX_QUEUED_BYTES: usize = 48 << 20;
/// Maximum size in bytes of frames, such as heartbeats, to which [`MAX_QUEUED_BYTES`] doesn't apply.
const MAX_SMALL_FRAME_BYTES: usize = 64 << 10;

/// A queued frame.
struct QueuedFrame {
    queued_at: Instant,
    bytes: Vec<u8>,
    /// Counter of [`OutboundLinks`]. Invariant: includes `bytes` until this frame is dropped.
    queued_bytes: Arc<AtomicUsize>,
}

impl QueuedFrame {
    fn new(bytes: Vec<u8>, queued_bytes: &Arc<AtomicUsize>) -> QueuedFrame {
        queued_bytes.fetch_add(bytes.len(), Ordering::Relaxed);
        QueuedFrame { queued_at: Instant::now(), bytes, queued_bytes: queued_bytes.clone() }
    }
}

impl Drop for QueuedFrame {
    fn drop(&mut self) {
        self.queued_bytes.fetch_sub(self.bytes.len(), Ordering::Relaxed);
    }
}

/// Handle of the task that writes to one peer.
struct Link {
    queue: mpsc::Sender<QueuedFrame>,
    /// Notified when the connection must be replaced by a new one.
    reconnect: Arc<Notify>,
}

/// The links to other nodes; each is opened with the first frame for its peer.
pub struct OutboundLinks {
    /// The links by the peer's address.
    links: HashMap<String, Link>,
    counters: Arc<LinkCounters>,
    /// The size of all queued frames for all peers, in bytes.
    queued_bytes: Arc<AtomicUsize>,
}

impl OutboundLinks {
    /// Creates an empty set of links.
    pub fn new(counters: Arc<LinkCounters>) -> Self {
        OutboundLinks { links: HashMap::new(), counters, queued_bytes: Arc::default() }
    }

    /// Returns the size of all queued frames for all peers, in bytes.
    pub fn queued_bytes(&self) -> usize {
        self.queued_bytes.load(Ordering::Relaxed)
    }

    /// Queues a frame for the peer at `addr`. Never waits: a frame is dropped and counted when the queue
    /// is full. Must be called within a `LocalSet`.
    pub fn send(&mut self, addr: &str, bytes: Vec<u8>, is_cross_zone: bool) {
        self.count_sent(bytes.len(), is_cross_zone);
        if bytes.len() > MAX_SMALL_FRAME_BYTES && self.queued_bytes() + bytes.len() > MAX_QUEUED_BYTES {
            self.counters.dropped_frames.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let mut frame = QueuedFrame::new(bytes, &self.queued_bytes);
        if let Some(link) = self.links.get(addr) {
            match link.queue.try_send(frame) {
                Ok(()) => return,
                Err(mpsc::error::TrySendError::Full(_)) => {
                    self.counters.dropped_frames.fetch_add(1, Ordering::Relaxed);
                    return;
                }
                Err(mpsc::error::TrySendError::Closed(unsent)) => frame = unsent,
            }
        }
        self.open_link(addr, frame);
    }

    fn count_sent(&self, length: usize, is_cross_zone: bool) {
        let sent = length as u64 + LENGTH_PREFIX_BYTES;
        self.counters.bytes_sent.fetch_add(sent, Ordering::Relaxed);
        if is_cross_zone {
            self.counters.cross_zone_bytes_sent.fetch_add(sent, Ordering::Relaxed);
        }
    }

    /// Starts the task of a new link with its first frame, and removes links whose task has ended.
    fn open_link(&mut self, addr: &str, first: QueuedFrame) {
        self.links.retain(|_, link| !link.queue.is_closed());
        let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
        let _ = sender.try_send(first);
        let reconnect = Arc::new(Notify::new());
        self.links.insert(addr.to_owned(), Link { queue: sender, reconnect: reconnect.clone() });
        let queue = FrameQueue { receiver, next: None, buffer: BytesMut::new(), counters: self.counters.clone() };
        tokio::task::spawn_local(run_link(addr.to_owned(), queue, reconnect));
    }

    /// Replaces the connection to this address, if there is a link, by a new one; queued frames are kept.
    pub fn reconnect(&self, addr: &str) {
        if let Some(link) = self.links.get(addr) {
            link.reconnect.notify_one();
        }
    }
}

/// The queued frames for one peer, as the link's task reads them.
struct FrameQueue {
    receiver: mpsc::Receiver<QueuedFrame>,
    /// The oldest queued frame, taken from `receiver` and not yet in `buffer`.
    next: Option<QueuedFrame>,
    /// The bytes of the next write.
    buffer: BytesMut,
    counters: Arc<LinkCounters>,
}

impl FrameQueue {
    /// Drops frames older than [`MAX_FRAME_AGE`] from the front of the queue.
    fn drop_expired(&mut self) {
        loop {
            if self.next.is_none() {
                self.next = self.receiver.try_recv().ok();
            }
            match &self.next {
                Some(frame) if frame.queued_at.elapsed() > MAX_FRAME_AGE => self.next = None,
                _ => return,
            }
            self.counters.dropped_frames.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits for a frame; returns false when none was queued for [`IDLE_TIMEOUT`].
    async fn wait_for_frame(&mut self) -> bool {
        loop {
            self.drop_expired();
            if self.next.is_some() {
                return true;
            }
            match timeout(IDLE_TIMEOUT, self.receiver.recv()).await {
                Ok(Some(frame)) => self.next = Some(frame),
                _ => return false,
            }
        }
    }

    /// Fills the buffer with queued frames, up to [`MAX_BATCH_BYTES`].
    fn fill_buffer(&mut self) {
        self.buffer.clear();
        loop {
            self.drop_expired();
            let fits = |frame: &mut QueuedFrame| {
                self.buffer.is_empty() || self.buffer.len() + frame.bytes.len() < MAX_BATCH_BYTES
            };
            let Some(frame) = self.next.take_if(fits) else { return };
            let length = u32::try_from(frame.bytes.len()).unwrap_or(0);
            self.buffer.extend_from_slice(&length.to_le_bytes());
            self.buffer.extend_from_slice(&frame.bytes);
        }
    }
}

/// Why a connection was closed.
enum CloseReason {
    /// No frame was queued for [`IDLE_TIMEOUT`], so the link ends.
    Idle,
    /// The connection failed or must be replaced.
    Broken,
}

/// Runs a link: connects, writes, and reconnects while frames are queued.
async fn run_link(addr: String, mut queue: FrameQueue, reconnect: Arc<Notify>) {
    let mut backoff = MIN_BACKOFF;
    while queue.wait_for_frame().await {
        let connected = tokio::select! {
            biased;
            () = reconnect.notified() => continue,
            connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(&addr)) => connected,
        };
        let stream = match connected {
            Ok(Ok(stream)) => stream,
            // No backoff, since the time-out was the pause.
            Err(_timed_out) => continue,
            Ok(Err(_refused)) => {
                sleep(backoff).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
                continue;
            }
        };
        backoff = MIN_BACKOFF;
        net::set_socket_options(&stream, net::PEER_USER_TIMEOUT);
        if let CloseReason::Idle = write_frames(stream, &mut queue, &reconnect).await {
            return;
        }
    }
}

/// Writes queued frames until the connection is closed.
async fn write_frames(mut stream: TcpStream, queue: &mut FrameQueue, reconnect: &Notify) -> CloseReason {
    let mut unexpected = [0; 1];
    loop {
        // The peer never writes, so a byte or the end of the stream means that the connection is lost.
        let has_frame = tokio::select! {
            biased;
            () = reconnect.notified() => return CloseReason::Broken,
            _ = stream.read(&mut unexpected) => return CloseReason::Broken,
            has_frame = queue.wait_for_frame() => has_frame,
        };
        if !has_frame {
            return CloseReason::Idle;
        }
        queue.fill_buffer();
        let written = tokio::select! {
            biased;
            () = reconnect.notified() => return CloseReason::Broken,
            written = timeout(net::PEER_USER_TIMEOUT, stream.write_all(&queue.buffer)) => written,
        };
        if !matches!(written, Ok(Ok(()))) {
            return CloseReason::Broken;
        }
        if queue.buffer.capacity() > MAX_REUSED_BUFFER_BYTES {
            queue.buffer = BytesMut::new();
        }
    }
}
