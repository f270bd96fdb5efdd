//! Frame delays: the transit time of a frame beyond that of the fastest frame from the same sender.
//!
//! The measurement needs no round trip, so it works from the second frame of an incarnation on. It cannot
//! show a delay that all frames have in common. Data that must not be taken for younger than it is uses
//! [`peer_clocks`](super::peer_clocks) instead.

use crate::base::{Incarnation, Micros, NodeId};
use crate::protocol::Frame;
use std::collections::BTreeMap;

/// The clocks of two nodes drift apart by at most one part in this many.
const DRIFT_DIVISOR: u64 = 5_000;

/// The smallest offset seen between this node's clock and one incarnation of a peer.
#[derive(Clone, Copy, Debug)]
struct SmallestOffset {
    incarnation: Incarnation,
    offset: i128,
    measured_at: Micros,
}

/// The smallest clock offset to each peer, from which the delays of frames follow.
#[derive(Clone, Debug, Default)]
pub(in crate::node) struct FrameDelays {
    smallest: BTreeMap<NodeId, SmallestOffset>,
}

impl FrameDelays {
    /// Returns the transit time of this frame beyond that of the fastest frame from this incarnation of its
    /// sender, in microseconds.
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
