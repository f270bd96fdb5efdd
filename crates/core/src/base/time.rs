//! The unit of time: microseconds.

/// A point in time or a duration, in whole microseconds. Points in time are readings of a monotonic clock that
/// also advances while the machine is suspended.
pub type Micros = u64;

/// One millisecond, in microseconds.
pub const MS: Micros = 1_000;
/// One second, in microseconds.
pub const SEC: Micros = 1_000_000;
