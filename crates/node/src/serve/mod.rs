//! Listeners for HTTP, closed without dropping what was read.

mod connection_limits;
mod connection_state;

pub use connection_limits::ConnectionLimits;

use crate::watched::Watched;
use crate::{clock, net};
use connection_state::{ConnectionState, TrackedBody};
use futures::TryFutureExt;
use hyper::server::conn::http1;
use hyper::service::{Service, service_fn};
use hyper_util::rt::TokioIo;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use sumacvale_core::base::SEC;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, watch};
use viz::{Responder, Router, Tree};

/// Serves until `stop` turns true, then finishes the calls that were read.
pub async fn run(l: TcpListener, r: Router, conns: usize, lim: Arc<ConnectionLimits>, mut stop: watch::Receiver<bool>) {
    let tree = Arc::new(Tree::from(r));
    let room = Arc::new(Semaphore::new(conns));
    let (done, mut all) = mpsc::channel::<()>(1);
    let next = async || {
        let p = room.clone().acquire_owned().await.map_err(std::io::Error::other)?;
        l.accept().await.map(|a| (a, p))
    };
    loop {
        let got = tokio::select! {
            biased;
            _ = stop.wait_for(|s| *s) => break,
            x = next() => x,
        };
        let ((s, from), p) = match got {
            Ok(x) => x,
            Err(e) => {
                tracing::warn!(trouble = %e, "no connection could be taken; raise the limit of open files");
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        let (tree, stop, done, lim) = (tree.clone(), stop.clone(), done.clone(), lim.clone());
        tokio::spawn(async move {
            let (_p, _d) = (p, done);
            talk(s, Responder::new(tree, Some(from)), &lim, stop).await;
        });
    }
    drop(l);
    drop(done);
    let _ = all.recv().await;
}

async fn talk(s: TcpStream, r: Responder<SocketAddr>, lim: &ConnectionLimits, mut stop: watch::Receiver<bool>) {
    net::tune(&s, net::CLIENT);
    let at = Arc::new(ConnectionState::default());
    let says = service_fn(|q| {
        at.busy();
        let at = at.clone();
        r.call(q).map_ok(move |r| r.map(|b| TrackedBody::new(b, at)))
    });
    let mut c = http1::Builder::new()
        .max_buf_size(lim.max_header_bytes())
        .serve_connection(TokioIo::new(Watched::new(s, at.clone())), says);
    // One timer for a connection, however many requests it has.
    let late = async {
        loop {
            let now = clock::now();
            let Some(t) = at.due(lim, now) else { return };
            tokio::time::sleep(Duration::from_micros(t.saturating_sub(now).clamp(1_000, SEC * 60))).await;
        }
    };
    let ended = tokio::select! {
        biased;
        r = poll_fn(|cx| c.poll_without_shutdown(cx)) => Some(r),
        _ = stop.wait_for(|s| *s) => None,
        () = late => return,
    };
    let ended = match ended {
        Some(r) => r,
        None => {
            std::pin::Pin::new(&mut c).graceful_shutdown();
            poll_fn(|cx| c.poll_without_shutdown(cx)).await
        }
    };
    if ended.is_ok() && !at.eof.load(Ordering::Relaxed) {
        linger(c.into_parts().io.into_inner()).await;
    }
}

/// A close with bytes unread would take back what was answered, so the other side closes first, in a while.
async fn linger(mut s: impl AsyncRead + AsyncWrite + Unpin) {
    if s.shutdown().await.is_err() {
        return;
    }
    let mut b = [0; 4096];
    let rest = async { while s.read(&mut b).await.is_ok_and(|n| n > 0) {} };
    let _ = tokio::time::timeout(Duration::from_millis(200), rest).await;
}
