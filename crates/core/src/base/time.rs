//! Times in microseconds.

/// A moment or a span in whole microseconds. Moments are by a monotonic clock that also counts while the
/// machine is suspended.
pub type Micros = u64;

/// One millisecond, in microseconds.
pub const MS: Micros = 1_000;
/// One second, in microseconds.
pub const SEC: Micros = 1_000_000;
