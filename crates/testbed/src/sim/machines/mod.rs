//! Simulated machines: clock, disk, and the process that starts, stops and stalls on them.

pub(super) mod disk;
pub(super) mod lifecycle;
pub(super) mod slot;
