//! HTTP listeners, whose shutdown completes every request that was read.

mod connection_limits;
mod connection_state;

pub use connection_limits::ConnectionLimits;

use crate::watched::ObservedSocket;
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

/// Serves connections until `stop` turns true, then completes the requests that were read.
pub async fn serve_listener(
    listener: TcpListener,
    routes: Router,
    max_connections: usize,
    limits: Arc<ConnectionLimits>,
    mut stop: watch::Receiver<bool>,
) {
    let tree = Arc::new(Tree::from(routes));
    let connection_permits = Arc::new(Semaphore::new(max_connections));
    // Every connection task holds a sender: the receiver ends once all tasks have ended.
    let (task_alive, mut all_tasks) = mpsc::channel::<()>(1);
    let accept = async || {
        let permit = connection_permits.clone().acquire_owned().await.map_err(std::io::Error::other)?;
        listener.accept().await.map(|accepted| (accepted, permit))
    };
    loop {
        let result = tokio::select! {
            biased;
            _ = stop.wait_for(|is_stopping| *is_stopping) => break,
            result = accept() => result,
        };
        let ((stream, remote_addr), permit) = match result {
            Ok(accepted) => accepted,
            Err(e) => {
                tracing::warn!(error = %e, "accept failed; raise the limit of open files");
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        let (tree, stop, task_alive, limits) = (tree.clone(), stop.clone(), task_alive.clone(), limits.clone());
        tokio::spawn(async move {
            let (_permit, _task_alive) = (permit, task_alive);
            serve_connection(stream, Responder::new(tree, Some(remote_addr)), &limits, stop).await;
        });
    }
    drop(listener);
    drop(task_alive);
    let _ = all_tasks.recv().await;
}

/// Serves the requests of one connection until it ends, times out or `stop` turns true.
async fn serve_connection(
    stream: TcpStream,
    responder: Responder<SocketAddr>,
    limits: &ConnectionLimits,
    mut stop: watch::Receiver<bool>,
) {
    net::set_socket_options(&stream, net::CLIENT_USER_TIMEOUT);
    let state = Arc::new(ConnectionState::default());
    let service = service_fn(|request| {
        state.begin_serving();
        let state = state.clone();
        responder.call(request).map_ok(move |response| response.map(|body| TrackedBody::new(body, state)))
    });
    let mut connection = http1::Builder::new()
        .max_buf_size(limits.max_header_bytes())
        .serve_connection(TokioIo::new(ObservedSocket::new(stream, state.clone())), service);
    // One timer serves all requests of a connection.
    let timed_out = async {
        loop {
            let now = clock::now();
            let Some(next_check) = state.next_check(limits, now) else { return };
            tokio::time::sleep(Duration::from_micros(next_check.saturating_sub(now).clamp(1_000, SEC * 60))).await;
        }
    };
    let result = tokio::select! {
        biased;
        result = poll_fn(|context| connection.poll_without_shutdown(context)) => Some(result),
        _ = stop.wait_for(|is_stopping| *is_stopping) => None,
        () = timed_out => return,
    };
    let result = match result {
        Some(result) => result,
        None => {
            std::pin::Pin::new(&mut connection).graceful_shutdown();
            poll_fn(|context| connection.poll_without_shutdown(context)).await
        }
    };
    if result.is_ok() && !state.is_read_closed.load(Ordering::Relaxed) {
        lingering_close(connection.into_parts().io.into_inner()).await;
    }
}

/// Closes a socket after the client has closed its side, or after 200 ms. A close with unread bytes would send a
/// reset, which can discard the response before the client reads it.
async fn lingering_close(mut socket: impl AsyncRead + AsyncWrite + Unpin) {
    if socket.shutdown().await.is_err() {
        return;
    }
    let mut buffer = [0; 4096];
    let drain = async { while socket.read(&mut buffer).await.is_ok_and(|count| count > 0) {} };
    let _ = tokio::time::timeout(Duration::from_millis(200), drain).await;
}
