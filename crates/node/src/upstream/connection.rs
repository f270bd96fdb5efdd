//! One connection to a worker from its naming to the end of an answer.

use super::keep_alive::KeepAliveHints;
use super::pool::UpstreamPool;
use super::socket::{self, Sender, SocketWatch};
use super::target::Target;
use crate::net;
use bytes::Bytes;
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

/// A connection to a worker; its state tells how far it has come.
#[derive(Debug)]
pub struct UpstreamConnection<S> {
    to: Target,
    state: S,
}

/// Only its target is known.
#[derive(Debug)]
pub struct Unconnected;

/// It stands and nothing was sent on it.
#[derive(Debug)]
pub struct Connected {
    tx: Sender,
    watch: Arc<SocketWatch>,
    old: bool,
}

/// A request was sent on it and the head of an answer came.
#[derive(Debug)]
pub struct Responding {
    tx: Sender,
    watch: Arc<SocketWatch>,
    told: KeepAliveHints,
}

/// What a request asks of its connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionRequirements {
    /// No kept one: one that was kept had ended.
    pub must_be_new: bool,
    /// The request can't be repeated, so only one that was busy a moment ago will do.
    pub is_non_idempotent: bool,
    /// How many connections this node may have to the worker, nought for any number.
    pub max_connections: usize,
}

/// Why there is no connection; nothing was sent.
#[derive(Debug)]
pub enum ConnectError {
    /// This node's part of the worker's connections is in use, which is no fault of the worker's.
    LimitReached,
    Io(std::io::Error),
}

/// How a send failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendError {
    /// A connection that was kept had ended: nothing was written on it.
    StaleConnection,
    /// Nothing was written, though the connection is new.
    NotSent,
    /// It may have been read.
    MaybeSent,
}

fn micros(t: Micros) -> Duration {
    Duration::from_micros(t)
}

impl UpstreamConnection<Unconnected> {
    /// A connection to this life of a worker, not yet made.
    pub fn to(to: Target) -> Self {
        UpstreamConnection { to, state: Unconnected }
    }

    /// Takes a connection that was kept and is quiet, or makes one.
    pub async fn open(
        self,
        w: &UpstreamPool,
        want: ConnectionRequirements,
    ) -> Result<UpstreamConnection<Connected>, ConnectError> {
        let to = self.to;
        let gate = w.gate(&to);
        let cap = if want.max_connections == 0 { usize::MAX } else { want.max_connections };
        let mut end = None;
        let slot = loop {
            let room = gate.room.notified();
            tokio::pin!(room);
            // It hears what comes free from here on.
            room.as_mut().enable();
            while let Some((mut tx, watch)) =
                (!want.must_be_new).then(|| w.reuse_idle(&to, want.is_non_idempotent)).flatten()
            {
                let ok = match tx.ready().now_or_never() {
                    Some(r) => r.is_ok(),
                    None => matches!(timeout(micros(2_000), tx.ready()).await, Ok(Ok(()))),
                };
                if ok {
                    return Ok(UpstreamConnection { to, state: Connected { tx, watch, old: true } });
                }
            }
            if let Some(s) = gate.enter(cap) {
                break s;
            }
            // Those left are too old for this request; one makes room for a new one.
            w.close_oldest_idle(&to);
            let end = *end.get_or_insert_with(|| Instant::now() + micros(w.timeouts.permit_wait));
            if timeout_at(end, room).await.is_err() {
                return Err(ConnectError::LimitReached);
            }
        };
        let no = |e| ConnectError::Io(std::io::Error::other(e));
        let s = match timeout(micros(w.timeouts.connect), TcpStream::connect(to.addr)).await {
            Ok(s) => s.map_err(ConnectError::Io)?,
            Err(_) => return Err(ConnectError::Io(std::io::ErrorKind::TimedOut.into())),
        };
        net::tune(&s, net::WORKER);
        let (s, watch) = socket::watch(s, slot);
        let (tx, c) = Builder::new().handshake(TokioIo::new(s)).await.map_err(no)?;
        tokio::spawn(async move {
            let _ = c.await;
        });
        Ok(UpstreamConnection { to, state: Connected { tx, watch, old: false } })
    }
}

impl UpstreamConnection<Connected> {
    /// Whether this connection had been used before.
    pub fn old(&self) -> bool {
        self.state.old
    }

    /// Sends a request and waits for the head of its answer.
    pub async fn send(
        mut self,
        r: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, UpstreamConnection<Responding>), SendError> {
        let gone = if self.state.old { SendError::StaleConnection } else { SendError::NotSent };
        if self.state.old {
            self.state.watch.request_begins();
        }
        match self.state.tx.try_send_request(r).await {
            Ok(r) => {
                let told = KeepAliveHints::from_headers(r.version(), r.headers());
                Ok((
                    r,
                    UpstreamConnection {
                        to: self.to,
                        state: Responding { tx: self.state.tx, watch: self.state.watch, told },
                    },
                ))
            }
            Err(mut e) => {
                Err(if e.take_message().is_some() || self.state.watch.withheld() { gone } else { SendError::MaybeSent })
            }
        }
    }
}

impl UpstreamConnection<Responding> {
    /// The response ended properly: the next call may use this connection.
    pub fn keep(self, w: &UpstreamPool) {
        w.return_idle(&self.to, self.state.told, self.state.tx, self.state.watch);
    }
}
