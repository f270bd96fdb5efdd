//! The phases of client connections, by which their time-outs are chosen.

use super::ConnectionLimits;
use crate::clock;
use crate::watched::SocketObserver;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering};
use std::task::{Context, Poll};
use sumacvale_core::base::Micros;

/// Phase: no request has begun.
const IDLE: u8 = 0;
/// Phase: the head of a request is being read.
const READING_HEAD: u8 = 1;
/// Phase: a request is being served.
const SERVING: u8 = 2;

/// The phase of a client connection and the time at which it began.
#[derive(Debug)]
pub struct ConnectionState {
    phase: AtomicU8,
    /// The time at which an idle phase or the reading of a head began, in microseconds of the clock; not updated
    /// for [`SERVING`], which has no time-out.
    since: AtomicU64,
    /// Set once the client has closed its side of the connection.
    pub is_read_closed: AtomicBool,
}

impl Default for ConnectionState {
    fn default() -> Self {
        ConnectionState { phase: IDLE.into(), since: clock::now().into(), is_read_closed: AtomicBool::new(false) }
    }
}

impl ConnectionState {
    /// Starts a phase that has a time-out.
    fn enter(&self, phase: u8) {
        self.since.store(clock::now(), Ordering::Relaxed);
        self.phase.store(phase, Ordering::Release);
    }

    /// Marks that a request is being served.
    pub fn begin_serving(&self) {
        self.phase.store(SERVING, Ordering::Release);
    }

    /// Returns the time of the next check, or `None` if the connection has timed out.
    pub fn next_check(&self, limits: &ConnectionLimits, now: Micros) -> Option<Micros> {
        let since = self.since.load(Ordering::Relaxed);
        let deadline = match self.phase.load(Ordering::Acquire) {
            IDLE => since + limits.idle_timeout(),
            READING_HEAD => since + limits.header_timeout(),
            _ => return Some(now + limits.idle_timeout().min(limits.header_timeout())),
        };
        // An idle connection may begin a head at any time, so the shorter time-out bounds each wait.
        (now < deadline).then_some(deadline.min(now + limits.idle_timeout().min(limits.header_timeout())))
    }
}

impl SocketObserver for Arc<ConnectionState> {
    fn after_read(&self, bytes: usize) {
        if bytes == 0 {
            self.is_read_closed.store(true, Ordering::Relaxed);
        } else if self.phase.load(Ordering::Acquire) == IDLE {
            self.enter(READING_HEAD);
        }
    }
}

/// A response body that marks its connection as idle when it is dropped.
pub struct TrackedBody {
    body: viz::Body,
    connection: Arc<ConnectionState>,
}

impl TrackedBody {
    /// Wraps the body of a response on a connection.
    pub fn new(body: viz::Body, connection: Arc<ConnectionState>) -> Self {
        TrackedBody { body, connection }
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.connection.enter(IDLE);
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = <viz::Body as Body>::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<Bytes>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
