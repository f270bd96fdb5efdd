//! Frame delays: how much longer a frame was under way than the quickest one from its sender.
//!
//! Needs no round trip, so it works from the second frame of an incarnation on; it cannot show a delay that
//! all frames have in common. What must not be taken for too young uses
//! [`peer_clocks`](super::peer_clocks) instead.

use crate::base::{Incarnation, Micros, NodeId};
use crate::protocol::Frame;
use std::collections::BTreeMap;

/// Clocks of two nodes drift apart by one part in so many at most.
const DRIFT_DIVISOR: u64 = 5_000;

/// The smallest difference seen between this node's clock and one incarnation of a peer.
#[derive(Clone, Copy, Debug)]
struct SmallestOffset {
    incarnation: Incarnation,
    offset: i128,
    measured_at: Micros,
}

/// The smallest clock offset to each peer, by which delays of frames show.
#[derive(Clone, Debug, Default)]
pub(in crate::node) struct FrameDelays {
    smallest: BTreeMap<NodeId, SmallestOffset>,
}

impl FrameDelays {
    /// How much longer this frame was under way than the quickest one from this incarnation of its sender,
    /// in microseconds.
    pub fn measure(&mut self, frame: &Frame, now: Micros) -> Micros {
        let offset = i128::from(now) - i128::from(frame.sent_at);
        let first = SmallestOffset { incarnation: frame.incarnation, offset, measured_at: now };
        let known = self.smallest.entry(frame.from).or_insert(first);
        if known.incarnation != frame.incarnation {
            *known = first;
        }
        let drift = i128::from(now.saturating_sub(known.measured_at) / DRIFT_DIVISOR);
        known.offset = (known.offset + drift).min(offset);
        known.measured_at = now;
        Micros::try_from(offset - known.offset).unwrap_or(0)
    }
}
