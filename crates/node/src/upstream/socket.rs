//! The socket of a connection to a worker, and the check whether it can be reused.

use super::gate::ConnectionPermit;
use crate::net;
use crate::watched::{ObservedSocket, SocketObserver};
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use std::io::Result;
use std::os::fd::{AsRawFd, RawFd};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::TcpStream;

/// Sends requests to the task of a connection.
pub type Sender = SendRequest<Full<Bytes>>;

/// Checks a socket that the task of a connection owns.
#[derive(Debug)]
pub struct SocketMonitor {
    /// `None` once the socket is closed, so that a reused descriptor number is never read.
    descriptor: Mutex<Option<RawFd>>,
    /// Set until the first write of a request on a reused connection. That write is withheld if the worker has sent
    /// bytes or closed the connection.
    is_request_pending: AtomicBool,
    /// Set once the first write of a request was withheld; never cleared.
    is_withheld: AtomicBool,
}

impl SocketMonitor {
    fn new(descriptor: RawFd) -> Self {
        let (is_request_pending, is_withheld) = (AtomicBool::new(false), AtomicBool::new(false));
        SocketMonitor { descriptor: Mutex::new(Some(descriptor)), is_request_pending, is_withheld }
    }

    fn descriptor(&self) -> MutexGuard<'_, Option<RawFd>> {
        match self.descriptor.lock() {
            Ok(guard) => guard,
            Err(poisoned) => poisoned.into_inner(),
        }
    }

    /// Returns true if the socket is open and has received no unsolicited bytes.
    pub fn is_reusable(&self) -> bool {
        self.descriptor().is_some_and(net::is_reusable)
    }

    /// Returns whether bytes wait because the worker reads none, although it is reachable; `None` once the socket is
    /// closed.
    pub fn is_window_closed(&self) -> Option<bool> {
        self.descriptor().map(net::is_window_closed)
    }

    /// Sets how long sent bytes may stay unacknowledged, if the socket is open; `None` for no limit.
    pub fn set_user_timeout(&self, user_timeout: Option<Duration>) {
        if let Some(descriptor) = *self.descriptor() {
            net::set_user_timeout(descriptor, user_timeout);
        }
    }

    /// Marks that a request follows on a reused connection.
    pub fn expect_request(&self) {
        self.is_request_pending.store(true, Ordering::Release);
    }

    /// Returns true if no byte of the request was written, as the worker had sent bytes or closed the connection
    /// before.
    pub fn is_withheld(&self) -> bool {
        self.is_withheld.load(Ordering::Acquire)
    }

    /// Checks the socket again immediately before the first write of a request.
    fn check_first_write(&self) -> Result<()> {
        if !self.is_request_pending.swap(false, Ordering::AcqRel) || self.is_reusable() {
            return Ok(());
        }
        self.is_withheld.store(true, Ordering::Release);
        Err(std::io::ErrorKind::ConnectionAborted.into())
    }
}

/// Observes a connection to a worker and holds its permit until the socket is closed.
pub struct WorkerSocketObserver {
    monitor: Arc<SocketMonitor>,
    _permit: ConnectionPermit,
}

/// Wraps the socket of a connection, which holds `permit` until it is closed.
pub fn observe(
    stream: TcpStream,
    permit: ConnectionPermit,
) -> (ObservedSocket<WorkerSocketObserver>, Arc<SocketMonitor>) {
    let monitor = Arc::new(SocketMonitor::new(stream.as_raw_fd()));
    (ObservedSocket::new(stream, WorkerSocketObserver { monitor: monitor.clone(), _permit: permit }), monitor)
}

impl SocketObserver for WorkerSocketObserver {
    fn before_write(&self) -> Result<()> {
        self.monitor.check_first_write()
    }

    fn before_close(&self) {
        *self.monitor.descriptor() = None;
    }
}
