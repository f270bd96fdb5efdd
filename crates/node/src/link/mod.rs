//! Connections between nodes.

mod inbound;
mod outbound;

pub use inbound::listen;
pub use outbound::{MAX_QUEUED_BYTES, OutboundLinks};

use std::sync::atomic::AtomicU64;

/// Counters of the links between nodes.
#[derive(Debug, Default)]
pub struct LinkCounters {
    pub bytes_sent: AtomicU64,
    pub cross_zone_bytes_sent: AtomicU64,
    /// Connections closed since what came on them was no frame.
    pub invalid_frames: AtomicU64,
    /// Frames of known peers that were skipped, as this release can't read them.
    pub skipped_frames: AtomicU64,
    pub dropped_frames: AtomicU64,
    pub accepted_connections: AtomicU64,
}
