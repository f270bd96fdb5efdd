//! One connection to a worker; its type tells its state: unconnected, connected, responding.

use super::gate::ConnectionPermit;
use super::keep_alive::KeepAliveHints;
use super::pool::UpstreamPool;
use super::socket::{self, Sender, SocketWatch};
use super::target::Target;
use crate::net;
use bytes::Bytes;
use displaydoc::Display;
use futures::FutureExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::Builder;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::sync::Arc;
use std::time::Duration;
use sumacvale_core::base::Micros;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout, timeout_at};

/// A connection to a worker in the state `S`.
#[derive(Debug)]
pub struct UpstreamConnection<S> {
    target: Target,
    state: S,
}

/// State: only the target is known.
#[derive(Debug)]
pub struct Unconnected;

/// State: connected, and the request was not sent yet.
#[derive(Debug)]
pub struct Connected {
    sender: Sender,
    watch: Arc<SocketWatch>,
    is_reused: bool,
}

/// State: the request was sent and the head of a response was received.
#[derive(Debug)]
pub struct Responding {
    sender: Sender,
    watch: Arc<SocketWatch>,
    hints: KeepAliveHints,
}

/// What a request requires of its connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionRequirements {
    /// Not an idle one, as one that was reused for this request had ended.
    pub must_be_new: bool,
    /// The request can't be repeated, so an idle connection must have been used a moment ago
    /// ([`super::Timeouts::non_idempotent_idle`]).
    pub is_non_idempotent: bool,
    /// How many connections this node may have to the worker; nought for any number.
    pub max_connections: usize,
}

/// Why there is no connection; nothing was sent.
#[derive(Debug, Display, thiserror::Error)]
pub enum ConnectError {
    /// this node's share of the worker's connections is in use; raise the worker's limit or add workers
    LimitReached,
    /// the worker can't be connected: {0}; look at the worker and the network
    Io(std::io::Error),
}

/// How a send failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, thiserror::Error)]
pub enum SendError {
    /// the idle connection had ended and nothing was written; send again on a new one
    StaleConnection,
    /// nothing was written, though the connection is new; try another worker
    NotSent,
    /// the connection broke and the worker may have read the request; repeat it only if it is idempotent
    MaybeSent,
}

/// How long an idle connection may take to accept a request, in microseconds.
const READY_TIMEOUT: Micros = 2_000;

fn micros(duration: Micros) -> Duration {
    Duration::from_micros(duration)
}

impl UpstreamConnection<Unconnected> {
    /// A connection to this incarnation of a worker, not yet made.
    pub fn to(target: Target) -> Self {
        UpstreamConnection { target, state: Unconnected }
    }

    /// Reuses an idle connection, or makes one; waits for [`super::Timeouts::permit_wait`] while there
    /// are as many as may be.
    ///
    /// # Errors
    /// [`ConnectError`]; nothing was sent.
    pub async fn open(
        self,
        pool: &UpstreamPool,
        requirements: ConnectionRequirements,
    ) -> Result<UpstreamConnection<Connected>, ConnectError> {
        let target = self.target;
        let gate = pool.gate(&target);
        let max_connections = match requirements.max_connections {
            0 => usize::MAX,
            limit => limit,
        };
        let mut deadline = None;
        let permit = loop {
            let released = gate.released.notified();
            tokio::pin!(released);
            // Registered before looking, so that no release in between is missed.
            released.as_mut().enable();
            if !requirements.must_be_new
                && let Some((sender, watch)) = reuse(pool, &target, requirements.is_non_idempotent).await
            {
                let state = Connected { sender, watch, is_reused: true };
                return Ok(UpstreamConnection { target, state });
            }
            if let Some(permit) = gate.try_acquire(max_connections) {
                break permit;
            }
            // Idle ones that are left are too old for this request: one makes room for a new one.
            pool.close_oldest_idle(&target);
            let deadline = *deadline.get_or_insert_with(|| Instant::now() + micros(pool.timeouts.permit_wait));
            if timeout_at(deadline, released).await.is_err() {
                return Err(ConnectError::LimitReached);
            }
        };
        let (sender, watch) = connect(pool, &target, permit).await?;
        Ok(UpstreamConnection { target, state: Connected { sender, watch, is_reused: false } })
    }
}

/// The first idle connection that takes a request.
async fn reuse(pool: &UpstreamPool, target: &Target, is_non_idempotent: bool) -> Option<(Sender, Arc<SocketWatch>)> {
    while let Some((mut sender, watch)) = pool.reuse_idle(target, is_non_idempotent) {
        let is_ready = match sender.ready().now_or_never() {
            Some(result) => result.is_ok(),
            None => matches!(timeout(micros(READY_TIMEOUT), sender.ready()).await, Ok(Ok(()))),
        };
        if is_ready {
            return Some((sender, watch));
        }
    }
    None
}

/// Makes a connection, whose permit is released when its socket closes.
async fn connect(
    pool: &UpstreamPool,
    target: &Target,
    permit: ConnectionPermit,
) -> Result<(Sender, Arc<SocketWatch>), ConnectError> {
    let stream = match timeout(micros(pool.timeouts.connect), TcpStream::connect(target.addr)).await {
        Ok(connected) => connected.map_err(ConnectError::Io)?,
        Err(_timed_out) => return Err(ConnectError::Io(std::io::ErrorKind::TimedOut.into())),
    };
    net::tune(&stream, net::WORKER);
    let (stream, watch) = socket::watch(stream, permit);
    let handshake = Builder::new().handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(|error| ConnectError::Io(std::io::Error::other(error)))?;
    tokio::spawn(async move {
        let _ = connection.await;
    });
    Ok((sender, watch))
}

impl UpstreamConnection<Connected> {
    /// Whether this connection had been used before.
    pub fn is_reused(&self) -> bool {
        self.state.is_reused
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    /// [`SendError`], which tells whether the worker may have read the request.
    pub async fn send(
        self,
        request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, UpstreamConnection<Responding>), SendError> {
        let not_written = if self.state.is_reused { SendError::StaleConnection } else { SendError::NotSent };
        if self.state.is_reused {
            self.state.watch.request_begins();
        }
        let Connected { mut sender, watch, .. } = self.state;
        match sender.try_send_request(request).await {
            Ok(response) => {
                let hints = KeepAliveHints::from_headers(response.version(), response.headers());
                Ok((response, UpstreamConnection { target: self.target, state: Responding { sender, watch, hints } }))
            }
            Err(mut error) => {
                let was_not_written = error.take_message().is_some() || watch.withheld();
                Err(if was_not_written { not_written } else { SendError::MaybeSent })
            }
        }
    }
}

impl UpstreamConnection<Responding> {
    /// Returns the connection to the pool: its response ended properly.
    pub fn return_idle(self, pool: &UpstreamPool) {
        pool.return_idle(&self.target, self.state.hints, self.state.sender, self.state.watch);
    }
}
