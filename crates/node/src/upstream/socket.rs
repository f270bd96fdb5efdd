//! The socket of a connection to a worker, and a look at it from outside its task.

use super::gate::ConnectionPermit;
use crate::net;
use crate::watched::{Watch, Watched};
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use std::io::Result;
use std::os::fd::{AsRawFd, RawFd};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::net::TcpStream;

/// Hands requests to the task of a connection.
pub type Sender = SendRequest<Full<Bytes>>;

/// Looks at a connection that another task owns; sees nothing once that has closed it.
#[derive(Debug)]
pub struct SocketWatch {
    descriptor: Mutex<Option<RawFd>>,
    /// The next bytes to be written begin a request, and go out only if nobody said anything.
    begins: AtomicBool,
    /// They did not go out.
    withheld: AtomicBool,
}

impl SocketWatch {
    fn new(descriptor: RawFd) -> Self {
        let (begins, withheld) = (AtomicBool::new(false), AtomicBool::new(false));
        SocketWatch { descriptor: Mutex::new(Some(descriptor)), begins, withheld }
    }

    fn descriptor(&self) -> MutexGuard<'_, Option<RawFd>> {
        match self.descriptor.lock() {
            Ok(g) => g,
            Err(e) => e.into_inner(),
        }
    }

    /// Whether it is open and holds nothing that nobody asked for.
    pub fn quiet(&self) -> bool {
        self.descriptor().is_some_and(net::quiet)
    }

    /// A request follows on a connection that was used before.
    pub fn request_begins(&self) {
        self.begins.store(true, Ordering::Release);
    }

    /// Nothing of that request was written, since bytes or the end had come before it.
    pub fn withheld(&self) -> bool {
        self.withheld.load(Ordering::Acquire)
    }

    /// Looks once more at the very moment of a request's first write.
    fn may_write(&self) -> Result<()> {
        if !self.begins.swap(false, Ordering::AcqRel) || self.quiet() {
            return Ok(());
        }
        self.withheld.store(true, Ordering::Release);
        Err(std::io::ErrorKind::ConnectionAborted.into())
    }
}

/// What looks on at a connection to a worker, which counts among that worker's until it closes.
pub struct WorkerWatch {
    shared: Arc<SocketWatch>,
    _slot: ConnectionPermit,
}

/// Wraps a connection, which takes up `slot` until it closes.
pub fn watch(stream: TcpStream, slot: ConnectionPermit) -> (Watched<WorkerWatch>, Arc<SocketWatch>) {
    let shared = Arc::new(SocketWatch::new(stream.as_raw_fd()));
    (Watched::new(stream, WorkerWatch { shared: shared.clone(), _slot: slot }), shared)
}

impl Watch for WorkerWatch {
    fn before_write(&self) -> Result<()> {
        self.shared.may_write()
    }

    fn before_close(&self) {
        *self.shared.descriptor() = None;
    }
}
