//! Listeners for HTTP, closed without dropping what was read.

use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, mpsc, watch};
use viz::{Responder, Router, Tree};

const HEAD: Duration = Duration::from_secs(15);
const HEAD_BYTES: usize = 32 << 10;

/// Serves until `stop` turns true, then finishes the calls that were read.
pub async fn run(l: TcpListener, r: Router, conns: usize, mut stop: watch::Receiver<bool>) {
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
        let _ = s.set_nodelay(true);
        let (tree, mut stop, done) = (tree.clone(), stop.clone(), done.clone());
        tokio::spawn(async move {
            let (_p, _d) = (p, done);
            let c = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD)
                .max_buf_size(HEAD_BYTES)
                .serve_connection(TokioIo::new(s), Responder::<SocketAddr>::new(tree, Some(from)));
            tokio::pin!(c);
            tokio::select! {
                _ = c.as_mut() => return,
                _ = stop.wait_for(|s| *s) => {}
            }
            c.as_mut().graceful_shutdown();
            let _ = c.await;
        });
    }
    drop(l);
    drop(done);
    let _ = all.recv().await;
}
