//! What connections of clients are at.

use super::ConnectionLimits;
use crate::clock;
use crate::watched::Watch;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering};
use std::task::{Context, Poll};
use sumacvale_core::base::Micros;

const IDLE: u8 = 0;
const HEAD: u8 = 1;
const BUSY: u8 = 2;

/// What a connection of a client is at, and since when.
#[derive(Debug)]
pub struct ConnectionState {
    is: AtomicU8,
    since: AtomicU64,
    pub eof: AtomicBool,
}

impl Default for ConnectionState {
    fn default() -> Self {
        ConnectionState { is: IDLE.into(), since: clock::now().into(), eof: AtomicBool::new(false) }
    }
}

impl ConnectionState {
    fn enter(&self, s: u8) {
        self.since.store(clock::now(), Ordering::Relaxed);
        self.is.store(s, Ordering::Release);
    }

    /// A request is being served.
    pub fn busy(&self) {
        self.is.store(BUSY, Ordering::Release);
    }

    /// When to look again, or nothing when its time is over.
    pub fn due(&self, l: &ConnectionLimits, now: Micros) -> Option<Micros> {
        let since = self.since.load(Ordering::Relaxed);
        let may = match self.is.load(Ordering::Acquire) {
            IDLE => since + l.idle_timeout(),
            HEAD => since + l.header_timeout(),
            _ => return Some(now + l.idle_timeout().min(l.header_timeout())),
        };
        // An idle one may begin a head at any time.
        (now < may).then_some(may.min(now + l.idle_timeout().min(l.header_timeout())))
    }
}

impl Watch for Arc<ConnectionState> {
    fn after_read(&self, bytes: usize) {
        if bytes == 0 {
            self.eof.store(true, Ordering::Relaxed);
        } else if self.is.load(Ordering::Acquire) == IDLE {
            self.enter(HEAD);
        }
    }
}

/// A response's body; when it goes, its connection is idle.
pub struct TrackedBody {
    b: viz::Body,
    at: Arc<ConnectionState>,
}

impl TrackedBody {
    /// A body on the connection with this state.
    pub fn new(b: viz::Body, at: Arc<ConnectionState>) -> Self {
        TrackedBody { b, at }
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.at.enter(IDLE);
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = <viz::Body as Body>::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<Bytes>, Self::Error>>> {
        Pin::new(&mut self.b).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.b.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.b.size_hint()
    }
}
