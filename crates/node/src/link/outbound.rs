//! Frames to other nodes.

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

/// How many frames may wait for one peer.
const QUEUE_CAPACITY: usize = 1_024;
/// An older frame is dropped: its content is repeated by then.
const MAX_FRAME_AGE: Duration = Duration::from_secs(1);
/// A link with nothing to send is closed after this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Backoff after the first refused connection; it doubles up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(10);
const MAX_BACKOFF: Duration = Duration::from_millis(160);
/// Most bytes of frames in one write, unless one frame is larger.
const MAX_BATCH_BYTES: usize = 64 << 10;
/// A larger write buffer is given back after its write.
const MAX_KEPT_BUFFER_BYTES: usize = 4 * MAX_BATCH_BYTES;
/// The length before each frame, in bytes.
const LENGTH_BYTES: u64 = 4;

/// How many bytes may wait for all peers together before large frames are dropped.
pub const MAX_QUEUED_BYTES: usize = 48 << 20;
/// Frames up to this size, such as heartbeats, are never dropped for [`MAX_QUEUED_BYTES`].
const MAX_SMALL_FRAME_BYTES: usize = 64 << 10;

/// A frame that waits; its bytes are counted in `queued_bytes` until it is dropped.
struct QueuedFrame {
    queued_at: Instant,
    bytes: Vec<u8>,
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

/// The handle of the task that writes to one peer.
struct Link {
    queue: mpsc::Sender<QueuedFrame>,
    /// Notified when the connection is to be opened anew.
    reconnect: Arc<Notify>,
}

/// Links to other nodes by their address; each is opened when needed.
pub struct OutboundLinks {
    links: HashMap<String, Link>,
    counters: Arc<LinkCounters>,
    /// Bytes of all frames that wait, whichever their peer.
    queued_bytes: Arc<AtomicUsize>,
}

impl OutboundLinks {
    /// No links yet.
    pub fn new(counters: Arc<LinkCounters>) -> Self {
        OutboundLinks { links: HashMap::new(), counters, queued_bytes: Arc::default() }
    }

    /// The bytes of all frames that wait.
    pub fn queued_bytes(&self) -> usize {
        self.queued_bytes.load(Ordering::Relaxed)
    }

    /// Queues a frame for the peer at `addr`. Never waits: a frame that finds no room is dropped, as
    /// on a network that loses packets. Must be called within a `LocalSet`.
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
        let sent = length as u64 + LENGTH_BYTES;
        self.counters.bytes_sent.fetch_add(sent, Ordering::Relaxed);
        if is_cross_zone {
            self.counters.cross_zone_bytes_sent.fetch_add(sent, Ordering::Relaxed);
        }
    }

    /// Starts the task of a new link with its first frame, and forgets links that ended.
    fn open_link(&mut self, addr: &str, first: QueuedFrame) {
        self.links.retain(|_, link| !link.queue.is_closed());
        let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
        let _ = sender.try_send(first);
        let reconnect = Arc::new(Notify::new());
        self.links.insert(addr.to_owned(), Link { queue: sender, reconnect: reconnect.clone() });
        let queue = FrameQueue { receiver, next: None, buffer: BytesMut::new(), counters: self.counters.clone() };
        tokio::task::spawn_local(run_link(addr.to_owned(), queue, reconnect));
    }

    /// Opens the connection to this address anew, if there is one; frames that wait are kept.
    pub fn reconnect(&self, addr: &str) {
        if let Some(link) = self.links.get(addr) {
            link.reconnect.notify_one();
        }
    }
}

/// Frames on their way to one peer.
struct FrameQueue {
    receiver: mpsc::Receiver<QueuedFrame>,
    /// The oldest frame, received and not yet put into a write.
    next: Option<QueuedFrame>,
    /// The bytes of the next write.
    buffer: BytesMut,
    counters: Arc<LinkCounters>,
}

impl FrameQueue {
    /// Drops frames that are too old, up to the first that is not.
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

    /// Waits for a frame; false when none came for [`IDLE_TIMEOUT`].
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

    /// Puts the frames that wait, up to a batch, into the buffer.
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
enum Closed {
    /// Nothing was to be sent for [`IDLE_TIMEOUT`]: the link ends.
    Idle,
    /// It broke, or is to be opened anew.
    Broken,
}

/// The task of a link: connects, writes, and connects again while frames wait.
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
            // The time-out itself was the pause.
            Err(_timed_out) => continue,
            Ok(Err(_refused)) => {
                sleep(backoff).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
                continue;
            }
        };
        backoff = MIN_BACKOFF;
        net::tune(&stream, net::PEER);
        if let Closed::Idle = write_frames(stream, &mut queue, &reconnect).await {
            return;
        }
    }
}

async fn write_frames(mut stream: TcpStream, queue: &mut FrameQueue, reconnect: &Notify) -> Closed {
    let mut unexpected = [0; 1];
    loop {
        // The other side never writes: any byte from it, or its end, means that the connection is gone.
        let has_frame = tokio::select! {
            biased;
            () = reconnect.notified() => return Closed::Broken,
            _ = stream.read(&mut unexpected) => return Closed::Broken,
            has_frame = queue.wait_for_frame() => has_frame,
        };
        if !has_frame {
            return Closed::Idle;
        }
        queue.fill_buffer();
        let written = tokio::select! {
            biased;
            () = reconnect.notified() => return Closed::Broken,
            written = timeout(net::PEER, stream.write_all(&queue.buffer)) => written,
        };
        if !matches!(written, Ok(Ok(()))) {
            return Closed::Broken;
        }
        if queue.buffer.capacity() > MAX_KEPT_BUFFER_BYTES {
            queue.buffer = BytesMut::new();
        }
    }
}
