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

/// The number of unanswered probes of a closed window up to which the peer counts as reachable: the newest one may
/// still be answered.
const MAX_UNANSWERED_PROBES: u8 = 1;

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
    set_option(fd, libc::IPPROTO_TCP, libc::TCP_NODELAY, 1);
    set_user_timeout(fd, Some(user_timeout));
    set_option(fd, libc::SOL_SOCKET, libc::SO_KEEPALIVE, 1);
    set_option(fd, libc::IPPROTO_TCP, libc::TCP_KEEPIDLE, 1);
    set_option(fd, libc::IPPROTO_TCP, libc::TCP_KEEPINTVL, 1);
    // TCP_KEEPCNT is not set: TCP_USER_TIMEOUT overrides the number of unanswered probes.
}

/// Sets how long sent bytes may stay unacknowledged; `None` for no limit of this program's.
pub fn set_user_timeout(fd: RawFd, user_timeout: Option<Duration>) {
    let timeout_ms =
        user_timeout.map_or(0, |timeout| libc::c_int::try_from(timeout.as_millis()).unwrap_or(libc::c_int::MAX));
    set_option(fd, libc::IPPROTO_TCP, libc::TCP_USER_TIMEOUT, timeout_ms);
}

/// Returns true if bytes wait to be sent because the peer reads none, although it is reachable: everything sent is
/// acknowledged, and the peer answers the probes of its closed window.
pub fn is_window_closed(fd: RawFd) -> bool {
    let Some(info) = tcp_info(fd) else { return false };
    info.tcpi_unacked == 0 && info.tcpi_probes <= MAX_UNANSWERED_PROBES && unacknowledged_bytes(fd) > 0
}

/// Returns the kernel's state of a connection; `None` where there is none.
fn tcp_info(fd: RawFd) -> Option<libc::tcp_info> {
    // SAFETY: all fields are integers, for which zero is a valid value.
    let mut info: libc::tcp_info = unsafe { std::mem::zeroed() };
    let mut length = libc::socklen_t::try_from(size_of::<libc::tcp_info>()).ok()?;
    // SAFETY: the call writes at most `length` bytes, for which there is room.
    let result =
        unsafe { libc::getsockopt(fd, libc::IPPROTO_TCP, libc::TCP_INFO, (&raw mut info).cast(), &raw mut length) };
    (result == 0).then_some(info)
}

/// Returns the number of bytes in the send queue that the peer has not acknowledged; 0 if it can't be read.
fn unacknowledged_bytes(fd: RawFd) -> libc::c_int {
    let mut bytes: libc::c_int = 0;
    // SAFETY: `bytes` outlives the call, which writes one integer.
    let result = unsafe { libc::ioctl(fd, libc::TIOCOUTQ, &raw mut bytes) };
    if result == 0 { bytes } else { 0 }
}

/// Returns true if an idle connection is open and has received no unsolicited bytes.
pub fn is_reusable(fd: RawFd) -> bool {
    let mut byte = 0u8;
    // SAFETY: the call writes at most one byte, for which there is room.
    let count = unsafe { libc::recv(fd, (&raw mut byte).cast(), 1, libc::MSG_PEEK | libc::MSG_DONTWAIT) };
    count < 0 && std::io::Error::last_os_error().kind() == std::io::ErrorKind::WouldBlock
}
