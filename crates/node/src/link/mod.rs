//! TCP connections between nodes: one outbound link for each peer, used in that direction only.
//!
//! A frame is a length (`u32`, little-endian) and that many bytes. Delivery is not guaranteed: frames
//! are dropped when the queue is full, when they are older than a second, or when a connection breaks.
//! After a refused connection a link backs off from 10 ms to 160 ms.

mod inbound;
mod outbound;

pub use inbound::listen;
pub use outbound::{MAX_QUEUED_BYTES, OutboundLinks};

use std::sync::atomic::AtomicU64;

/// Counters of the links between nodes since the start.
#[derive(Debug, Default)]
pub struct LinkCounters {
    /// Bytes queued for other nodes, including the length prefix of each frame.
    pub bytes_sent: AtomicU64,
    /// The part of `bytes_sent` for nodes in other zones.
    pub cross_zone_bytes_sent: AtomicU64,
    /// Connections closed after an invalid frame.
    pub invalid_frames: AtomicU64,
    /// Frames of known peers that were skipped because this release can't decode them.
    pub skipped_frames: AtomicU64,
    /// Frames dropped before they were written, because a queue was full or the frame too old.
    pub dropped_frames: AtomicU64,
    /// Connections accepted from peers.
    pub accepted_connections: AtomicU64,
}
