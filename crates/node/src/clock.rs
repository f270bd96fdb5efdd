//! The monotonic clock of this process.

use sumacvale_core::base::Micros;

/// Returns the time in microseconds since boot. The clock includes the time for which the machine was
/// suspended, and steps of the time of day don't move it.
pub fn now() -> Micros {
    let mut time = libc::timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: `time` is valid for writes and outlives the call.
    let result = unsafe { libc::clock_gettime(libc::CLOCK_BOOTTIME, &raw mut time) };
    if result != 0 {
        return 0;
    }
    Micros::try_from(time.tv_sec).unwrap_or(0) * 1_000_000 + Micros::try_from(time.tv_nsec).unwrap_or(0) / 1_000
}
