//! One connection to a worker, with its state as a type parameter: [`Unconnected`], [`Connected`] or
//! [`Responding`].

use super::gate::ConnectionPermit;
use super::keep_alive::KeepAliveHints;
use super::pool::UpstreamPool;
use super::socket::{self, Sender, SocketMonitor};
use super::target::Target;
use super::unread_body::UnreadBodyWatch;
use crate::net;
use bytes::Bytes;
use displaydoc::Display;
use futures::FutureExt;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
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
    monitor: Arc<SocketMonitor>,
    is_reused: bool,
}

/// State: the request was sent and the head of a response was received.
#[derive(Debug)]
pub struct Responding {
    sender: Sender,
    monitor: Arc<SocketMonitor>,
    hints: KeepAliveHints,
    /// Runs while the worker may leave a long request body unread.
    _unread_body: Option<UnreadBodyWatch>,
}

/// What a request requires of its connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionRequirements {
    /// The connection must not be a reused one, as a reused one had been closed before this request was written.
    pub must_be_new: bool,
    /// The request can't be repeated, so an idle connection must have been used recently
    /// ([`super::Timeouts::non_idempotent_idle`]).
    pub is_non_idempotent: bool,
    /// The maximum number of connections from this node to the worker; 0 for no limit.
    pub max_connections: usize,
}

/// Why no connection was opened. Nothing was sent.
#[derive(Debug, Display, thiserror::Error)]
pub enum ConnectError {
    /// connection limit of this node to the worker reached; raise the worker's limit or add workers
    LimitReached,
    /// connection to the worker failed: {0}; check the worker and the network
    Io(std::io::Error),
}

/// Why a request got no response, and whether the worker may have read it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, thiserror::Error)]
pub enum SendError {
    /// idle connection was closed before the request was written; retry on a new connection
    StaleConnection,
    /// new connection failed before the request was written; retry at another worker
    NotSent,
    /// connection was lost after the request may have been read; retry only if the request is idempotent
    MaybeSent,
}

/// How long an idle connection may take to become ready for a request, in microseconds.
const READY_TIMEOUT: Micros = 2_000;

/// Converts microseconds to a [`Duration`].
fn micros(duration: Micros) -> Duration {
    Duration::from_micros(duration)
}

impl UpstreamConnection<Unconnected> {
    /// Creates a connection to an incarnation of a worker, not yet connected.
    pub fn to(target: Target) -> Self {
        UpstreamConnection { target, state: Unconnected }
    }

    /// Reuses an idle connection or establishes a new one. Waits up to [`super::Timeouts::permit_wait`] while the
    /// connection limit is reached.
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
            // Registered before the checks, so that no release between them and the wait is missed.
            released.as_mut().enable();
            if !requirements.must_be_new
                && let Some((sender, monitor)) = reuse(pool, &target, requirements.is_non_idempotent).await
            {
                let state = Connected { sender, monitor, is_reused: true };
                return Ok(UpstreamConnection { target, state });
            }
            if let Some(permit) = gate.try_acquire(max_connections) {
                break permit;
            }
            // The remaining idle connections are too old for this request: closing one frees its permit.
            pool.close_oldest_idle(&target);
            let deadline = *deadline.get_or_insert_with(|| Instant::now() + micros(pool.timeouts.permit_wait));
            if timeout_at(deadline, released).await.is_err() {
                return Err(ConnectError::LimitReached);
            }
        };
        let (sender, monitor) = connect(pool, &target, permit).await?;
        Ok(UpstreamConnection { target, state: Connected { sender, monitor, is_reused: false } })
    }
}

/// Returns the first idle connection that is ready for a request.
async fn reuse(pool: &UpstreamPool, target: &Target, is_non_idempotent: bool) -> Option<(Sender, Arc<SocketMonitor>)> {
    while let Some((mut sender, monitor)) = pool.reuse_idle(target, is_non_idempotent) {
        let is_ready = match sender.ready().now_or_never() {
            Some(result) => result.is_ok(),
            None => matches!(timeout(micros(READY_TIMEOUT), sender.ready()).await, Ok(Ok(()))),
        };
        if is_ready {
            return Some((sender, monitor));
        }
    }
    None
}

/// Establishes a connection, whose permit is released when its socket is closed.
async fn connect(
    pool: &UpstreamPool,
    target: &Target,
    permit: ConnectionPermit,
) -> Result<(Sender, Arc<SocketMonitor>), ConnectError> {
    let stream = match timeout(micros(pool.timeouts.connect), TcpStream::connect(target.addr)).await {
        Ok(connected) => connected.map_err(ConnectError::Io)?,
        Err(_timed_out) => return Err(ConnectError::Io(std::io::ErrorKind::TimedOut.into())),
    };
    net::set_socket_options(&stream, net::WORKER_USER_TIMEOUT);
    let (stream, monitor) = socket::observe(stream, permit);
    let handshake = Builder::new().handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(|error| ConnectError::Io(std::io::Error::other(error)))?;
    tokio::spawn(async move {
        let _ = connection.await;
    });
    Ok((sender, monitor))
}

impl UpstreamConnection<Connected> {
    /// Returns true if this connection served an earlier request.
    pub fn is_reused(&self) -> bool {
        self.state.is_reused
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    /// [`SendError`], which states whether the worker may have read the request.
    pub async fn send(
        self,
        request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, UpstreamConnection<Responding>), SendError> {
        let not_written = if self.state.is_reused { SendError::StaleConnection } else { SendError::NotSent };
        if self.state.is_reused {
            self.state.monitor.expect_request();
        }
        let Connected { mut sender, monitor, .. } = self.state;
        let body_bytes = usize::try_from(request.body().size_hint().lower()).unwrap_or(usize::MAX);
        let unread_body = UnreadBodyWatch::start(&monitor, body_bytes);
        match sender.try_send_request(request).await {
            Ok(response) => {
                let hints = KeepAliveHints::from_headers(response.version(), response.headers());
                let state = Responding { sender, monitor, hints, _unread_body: unread_body };
                Ok((response, UpstreamConnection { target: self.target, state }))
            }
            Err(mut error) => {
                let was_not_written = error.take_message().is_some() || monitor.is_withheld();
                Err(if was_not_written { not_written } else { SendError::MaybeSent })
            }
        }
    }
}

impl UpstreamConnection<Responding> {
    /// Returns the connection to the pool. Call this only after the response has ended properly.
    pub fn return_idle(self, pool: &UpstreamPool) {
        pool.return_idle(&self.target, self.state.hints, self.state.sender, self.state.monitor);
    }
}
