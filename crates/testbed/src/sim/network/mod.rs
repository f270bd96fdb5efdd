//! The network between simulated machines: connections, and the delivery of frames.

pub(super) mod connections;
pub(super) mod delivery;
