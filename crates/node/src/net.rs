//! Socket options: small writes are sent at once, and an unreachable peer is detected.

use std::os::fd::{AsRawFd, RawFd};
use std::time::Duration;

/// How long bytes sent to a worker may stay unacknowledged (`TCP_USER_TIMEOUT`).
pub const WORKER_USER_TIMEOUT: Duration = Duration::from_secs(2);
/// How long bytes sent to another node may stay unacknowledged. Messages between nodes are outdated after a
/// second, and a new connection is established sooner than TCP's next retransmission on a broken one.
pub const PEER_USER_TIMEOUT: Duration = Duration::from_secs(1);
/// How long bytes sent to a client may stay unacknowledged. Longer than for the others, as a client that reads
/// slowly is not unreachable.
pub const CLIENT_USER_TIMEOUT: Duration = Duration::from_secs(10);

/// Sets an integer option of a socket; a failure is ignored.
fn set_option(fd: RawFd, level: libc::c_int, name: libc::c_int, value: libc::c_int) {
    let length = libc::socklen_t::try_from(size_of::<libc::c_int>()).unwrap_or(4);
    // SAFETY: `value` outlives the call, which reads `length` bytes of it.
    unsafe {
        libc::setsockopt(fd, level, name, (&raw const value).cast(), length);
    }
}

/// Disables Nagle's algorithm, and closes the connection if sent bytes or keep-alive probes stay unacknowledged
/// for `user_timeout`.
pub fn set_socket_options(socket: &impl AsRawFd, user_timeout: Duration) {
    let fd = socket.as_raw_fd();
    let timeout_ms = libc::c_int::try_from(user_timeout.as_millis()).unwrap_or(libc::c_int::MAX);
    set_option(fd, libc::IPPROTO_TCP, libc::TCP_NODELAY, 1);
    set_option(fd, libc::IPPROTO_TCP, libc::TCP_USER_TIMEOUT, timeout_ms);
    set_option(fd, libc::SOL_SOCKET, libc::SO_KEEPALIVE, 1);
    set_option(fd, libc::IPPROTO_TCP, libc::TCP_KEEPIDLE, 1);
    set_option(fd, libc::IPPROTO_TCP, libc::TCP_KEEPINTVL, 1);
    // TCP_KEEPCNT is not set: TCP_USER_TIMEOUT overrides the number of unanswered probes.
}

/// Returns true if an idle connection is open and has received no unsolicited bytes.
pub fn is_reusable(fd: RawFd) -> bool {
    let mut byte = 0u8;
    // SAFETY: the call writes at most one byte, for which there is room.
    let count = unsafe { libc::recv(fd, (&raw mut byte).cast(), 1, libc::MSG_PEEK | libc::MSG_DONTWAIT) };
    count < 0 && std::io::Error::last_os_error().kind() == std::io::ErrorKind::WouldBlock
}
