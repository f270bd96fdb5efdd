//! Keeps the connection to a worker that leaves a long request body unread.
//!
//! [`WORKER_USER_TIMEOUT`] ends a connection to an unreachable worker. The kernel also counts bytes towards it that it
//! may not send, because the receive window of a worker that reads nothing is closed. So while the worker answers the
//! probes of that window, the limit is lifted; what bounds the wait then are the time-outs of the call.

use super::socket::SocketMonitor;
use crate::net::WORKER_USER_TIMEOUT;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;

/// The size from which on a body may close the receive window of a worker that reads nothing, in bytes: half of the
/// window that a new connection has.
const LONG_BODY_BYTES: usize = 32 << 10;
/// The interval between two checks of the window.
const CHECK_INTERVAL: Duration = Duration::from_millis(WORKER_USER_TIMEOUT.as_millis() as u64 / 4);

/// The checks of the window of one connection, which end when this value is dropped.
#[derive(Debug)]
pub struct UnreadBodyWatch {
    monitor: Arc<SocketMonitor>,
    checks: JoinHandle<()>,
}

impl UnreadBodyWatch {
    /// Starts the checks for a request with a body of this size, if the body is long.
    pub fn start(monitor: &Arc<SocketMonitor>, body_bytes: usize) -> Option<Self> {
        if body_bytes < LONG_BODY_BYTES {
            return None;
        }
        let checks = tokio::spawn(check_window(monitor.clone()));
        Some(UnreadBodyWatch { monitor: monitor.clone(), checks })
    }
}

impl Drop for UnreadBodyWatch {
    fn drop(&mut self) {
        self.checks.abort();
        self.monitor.set_user_timeout(Some(WORKER_USER_TIMEOUT));
    }
}

/// Lifts and restores the limit as the window closes and opens, until the socket is closed.
async fn check_window(monitor: Arc<SocketMonitor>) {
    let mut is_lifted = false;
    while let Some(is_closed) = monitor.is_window_closed() {
        if is_closed != is_lifted {
            is_lifted = is_closed;
            monitor.set_user_timeout((!is_lifted).then_some(WORKER_USER_TIMEOUT));
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}
