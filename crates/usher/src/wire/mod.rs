//! Connections to workers: named, then open, then busy with one call. Between open
//! and busy nothing was sent, so that is where a call is judged for the last time.

use crate::clock;
use bytes::Bytes;
use futures::FutureExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use seating::base::{SEC, Shards, Us};
use std::net::SocketAddr;
use tokio::net::TcpStream;

const IDLE: Us = 20 * SEC;
const KEPT: usize = 64;

type Tx = SendRequest<Full<Bytes>>;

#[derive(Debug)]
pub struct Line<S> {
    to: SocketAddr,
    st: S,
}

#[derive(Debug)]
pub struct Named;

#[derive(Debug)]
pub struct Open {
    tx: Tx,
    old: bool,
}

#[derive(Debug)]
pub struct Busy {
    tx: Tx,
}

/// How a send failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failed {
    /// A connection that was kept had ended: nothing was written on it.
    Unsent,
    /// Nothing was written, though the connection is new.
    Refused,
    /// It may have been read.
    Lost,
}

/// Connections that were used and may be used again, by address.
#[derive(Debug, Default)]
pub struct Wires(Shards<Vec<(Us, Tx)>>);

impl Line<Named> {
    pub fn to(to: SocketAddr) -> Self {
        Line { to, st: Named }
    }

    /// Takes a connection that was kept, unless `fresh`, or makes one.
    pub async fn open(self, w: &Wires, fresh: bool) -> std::io::Result<Line<Open>> {
        let to = self.to;
        while let Some(mut tx) = w.take(to).filter(|_| !fresh) {
            if matches!(tx.ready().now_or_never(), Some(Ok(()))) {
                return Ok(Line { to, st: Open { tx, old: true } });
            }
        }
        let s = TcpStream::connect(to).await?;
        s.set_nodelay(true)?;
        let (tx, c) = handshake(TokioIo::new(s)).await.map_err(std::io::Error::other)?;
        tokio::spawn(async move {
            let _ = c.await;
        });
        Ok(Line { to, st: Open { tx, old: false } })
    }
}

impl Line<Open> {
    pub async fn send(mut self, r: Request<Full<Bytes>>) -> Result<(Response<Incoming>, Line<Busy>), Failed> {
        match self.st.tx.try_send_request(r).await {
            Ok(r) => Ok((r, Line { to: self.to, st: Busy { tx: self.st.tx } })),
            Err(mut e) => Err(match (e.take_message().is_some(), self.st.old) {
                (true, true) => Failed::Unsent,
                (true, false) => Failed::Refused,
                (false, _) => Failed::Lost,
            }),
        }
    }
}

impl Line<Busy> {
    /// The response ended properly: the next call may use this connection.
    pub fn keep(self, w: &Wires) {
        let now = clock::now();
        let k = self.to.to_string();
        let mut g = w.0.at(&k);
        let v = g.entry(k).or_default();
        v.retain(|(t, tx)| now.saturating_sub(*t) < IDLE && !tx.is_closed());
        if v.len() < KEPT {
            v.push((now, self.st.tx));
        }
    }
}

impl Wires {
    fn take(&self, to: SocketAddr) -> Option<Tx> {
        let k = to.to_string();
        let (t, tx) = self.0.at(&k).get_mut(&k)?.pop()?;
        (clock::now().saturating_sub(t) < IDLE).then_some(tx)
    }
}
