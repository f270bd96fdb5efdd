//! Frames to other nodes.

use super::LinkCounters;
use crate::net;
use bytes::BytesMut;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::{Notify, mpsc};
use tokio::time::{Instant, sleep, timeout};

const ROOM: usize = 1024;
const OLD: Duration = Duration::from_secs(1);
const IDLE: Duration = Duration::from_secs(30);
const CONNECT: Duration = Duration::from_millis(300);
const BACK: Duration = Duration::from_millis(10);
const BACK_MOST: Duration = Duration::from_millis(160);
/// How much is put into one write.
const BATCH: usize = 64 << 10;

/// How many bytes may wait for all nodes together before large frames are dropped.
pub const MAX_QUEUED_BYTES: usize = 48 << 20;
/// Smaller frames, such as those by which nodes know each other alive, are never dropped for it.
const SMALL: usize = 64 << 10;

/// A frame that waits, counted for as long as it does.
struct Item {
    since: Instant,
    bytes: Vec<u8>,
    waiting: Arc<AtomicUsize>,
}

impl Item {
    fn new(bytes: Vec<u8>, waiting: &Arc<AtomicUsize>) -> Item {
        waiting.fetch_add(bytes.len(), Ordering::Relaxed);
        Item { since: Instant::now(), bytes, waiting: waiting.clone() }
    }
}

impl Drop for Item {
    fn drop(&mut self) {
        self.waiting.fetch_sub(self.bytes.len(), Ordering::Relaxed);
    }
}

/// What goes to one address: its queue, and the word that its connection is to be opened anew.
struct Link {
    queue: mpsc::Sender<Item>,
    reconnect: Arc<Notify>,
}

/// Connections to other nodes, one for each address, opened when needed.
pub struct OutboundLinks {
    to: HashMap<String, Link>,
    tally: Arc<LinkCounters>,
    waiting: Arc<AtomicUsize>,
}

impl OutboundLinks {
    /// No connections yet.
    pub fn new(tally: Arc<LinkCounters>) -> Self {
        OutboundLinks { to: HashMap::new(), tally, waiting: Arc::default() }
    }

    /// The bytes of all frames that wait.
    pub fn queued_bytes(&self) -> usize {
        self.waiting.load(Ordering::Relaxed)
    }

    /// Never waits: what finds no room is dropped, as on a broken wire.
    pub fn send(&mut self, to: &str, b: Vec<u8>, far: bool) {
        self.tally.bytes_sent.fetch_add(b.len() as u64 + 4, Ordering::Relaxed);
        if far {
            self.tally.cross_zone_bytes_sent.fetch_add(b.len() as u64 + 4, Ordering::Relaxed);
        }
        if b.len() > SMALL && self.queued_bytes() + b.len() > MAX_QUEUED_BYTES {
            self.tally.dropped_frames.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let mut b = Item::new(b, &self.waiting);
        if let Some(link) = self.to.get(to) {
            match link.queue.try_send(b) {
                Ok(()) => return,
                Err(mpsc::error::TrySendError::Full(_)) => {
                    self.tally.dropped_frames.fetch_add(1, Ordering::Relaxed);
                    return;
                }
                Err(mpsc::error::TrySendError::Closed(x)) => b = x,
            }
        }
        self.to.retain(|_, link| !link.queue.is_closed());
        let (tx, rx) = mpsc::channel(ROOM);
        let _ = tx.try_send(b);
        let reconnect = Arc::new(Notify::new());
        self.to.insert(to.to_owned(), Link { queue: tx, reconnect: reconnect.clone() });
        let q = Queue { rx, next: None, buf: BytesMut::new(), tally: self.tally.clone() };
        tokio::task::spawn_local(run(to.to_owned(), q, reconnect));
    }

    /// Opens the connection to this address anew, if there is one; what waits is kept.
    pub fn reconnect(&self, to: &str) {
        if let Some(link) = self.to.get(to) {
            link.reconnect.notify_one();
        }
    }
}

/// Frames on their way to one node.
struct Queue {
    rx: mpsc::Receiver<Item>,
    /// The oldest one that was taken out and not yet put into a write.
    next: Option<Item>,
    buf: BytesMut,
    tally: Arc<LinkCounters>,
}

impl Queue {
    fn drop_one(&self) {
        self.tally.dropped_frames.fetch_add(1, Ordering::Relaxed);
    }

    /// Leaves out what nobody needs any more; the rest stays.
    fn prune(&mut self) {
        loop {
            if self.next.is_none() {
                self.next = self.rx.try_recv().ok();
            }
            match &self.next {
                Some(item) if item.since.elapsed() > OLD => self.next = None,
                _ => return,
            }
            self.drop_one();
        }
    }

    /// Waits for something worth sending; false when nothing came for long.
    async fn some(&mut self) -> bool {
        loop {
            self.prune();
            if self.next.is_some() {
                return true;
            }
            match timeout(IDLE, self.rx.recv()).await {
                Ok(Some(x)) => self.next = Some(x),
                _ => return false,
            }
        }
    }

    /// Puts all that waits, up to a batch, into one piece.
    fn fill(&mut self) {
        self.buf.clear();
        loop {
            self.prune();
            let room = |item: &mut Item| self.buf.is_empty() || self.buf.len() + item.bytes.len() < BATCH;
            let Some(item) = self.next.take_if(room) else { return };
            let b = &item.bytes;
            self.buf.extend_from_slice(&u32::try_from(b.len()).unwrap_or(0).to_le_bytes());
            self.buf.extend_from_slice(b);
        }
    }
}

async fn run(to: String, mut q: Queue, reconnect: Arc<Notify>) {
    let mut wait = BACK;
    while q.some().await {
        let opened = tokio::select! {
            biased;
            () = reconnect.notified() => continue,
            opened = timeout(CONNECT, TcpStream::connect(&to)) => opened,
        };
        let mut s = match opened {
            Ok(Ok(s)) => s,
            // A node that says nothing has made us wait already.
            Err(_) => continue,
            Ok(Err(_)) => {
                sleep(wait).await;
                wait = (wait * 2).min(BACK_MOST);
                continue;
            }
        };
        wait = BACK;
        net::tune(&s, net::PEER);
        let mut b = [0; 1];
        loop {
            // The other side never writes: whatever comes from there is the end of this connection.
            let go = tokio::select! {
                biased;
                () = reconnect.notified() => None,
                _ = tokio::io::AsyncReadExt::read(&mut s, &mut b) => None,
                go = q.some() => Some(go),
            };
            match go {
                Some(true) => q.fill(),
                Some(false) => return,
                None => break,
            }
            let written = tokio::select! {
                biased;
                () = reconnect.notified() => break,
                written = timeout(net::PEER, s.write_all(&q.buf)) => written,
            };
            if !matches!(written, Ok(Ok(()))) {
                break;
            }
            if q.buf.capacity() > 4 * BATCH {
                q.buf = BytesMut::new();
            }
        }
    }
}
