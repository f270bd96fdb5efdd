//! Frames under way between the machines of a model.
//!
//! [`FramesInFlight`] is the network of the models that explore the order of deliveries: any frame may be
//! delivered next, be lost, or be delivered twice. It is kept sorted, so that two states that differ only in
//! the order in which frames were sent are one state.

use std::fmt;
use std::ops::Index;
use std::sync::Arc;
use sumacvale_core::protocol::Frame;

/// A frame and the machine that it is for.
#[derive(Clone, Debug)]
pub struct AddressedFrame {
    /// The index of the receiving machine; it may be outside the model.
    pub to: usize,
    /// The frame.
    pub frame: Frame,
}

/// A frame under way whose delivery is an action of its own.
#[derive(Clone)]
pub struct InFlightFrame {
    /// The index of the receiving machine.
    pub to: usize,
    /// The frame.
    pub frame: Arc<Frame>,
    /// The digest of all of the frame that decides.
    pub digest: u64,
    /// Whether the frame was delivered once already.
    pub is_duplicate: bool,
}

impl InFlightFrame {
    /// A frame that was just sent.
    #[must_use]
    pub fn new(sent: AddressedFrame, digest: u64) -> Self {
        InFlightFrame { to: sent.to, frame: Arc::new(sent.frame), digest, is_duplicate: false }
    }

    /// The frame as the receiving node takes it.
    #[must_use]
    pub fn to_addressed(&self) -> AddressedFrame {
        AddressedFrame { to: self.to, frame: (*self.frame).clone() }
    }

    /// A second copy of the frame, which is under way after the first one was delivered.
    #[must_use]
    pub fn duplicate(&self) -> Self {
        InFlightFrame { is_duplicate: true, ..self.clone() }
    }

    fn sort_key(&self) -> (u64, bool) {
        (self.digest, self.is_duplicate)
    }
}

/// For traces: the receiver, the sender and the message.
impl fmt::Display for InFlightFrame {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "to {} from {:?}: {:?}", self.to, self.frame.from, self.frame.message)
    }
}

/// The frames under way. Invariant: sorted by their digests once [`FramesInFlight::sort`] was called after
/// the last change; actions name frames by their index in this order.
#[derive(Clone, Default)]
pub struct FramesInFlight(Vec<InFlightFrame>);

impl FramesInFlight {
    /// Adds a frame without sorting.
    pub fn push(&mut self, frame: InFlightFrame) {
        self.0.push(frame);
    }

    /// Removes a frame, to deliver it or to lose it.
    pub fn remove(&mut self, index: usize) -> InFlightFrame {
        self.0.remove(index)
    }

    /// Restores the order by digest.
    pub fn sort(&mut self) {
        self.0.sort_by_key(InFlightFrame::sort_key);
    }

    /// Keeps the frames that `is_kept` accepts.
    pub fn retain(&mut self, is_kept: impl FnMut(&InFlightFrame) -> bool) {
        self.0.retain(is_kept);
    }

    /// The index of the first frame that `is_wanted` accepts.
    pub fn position(&self, is_wanted: impl FnMut(&InFlightFrame) -> bool) -> Option<usize> {
        self.0.iter().position(is_wanted)
    }

    /// Removes all frames and returns them in their order.
    #[must_use]
    pub fn drain(&mut self) -> Vec<AddressedFrame> {
        std::mem::take(&mut self.0).iter().map(InFlightFrame::to_addressed).collect()
    }

    /// The number of frames under way.
    #[must_use]
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether no frame is under way.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// For the digest of a state: what tells the frames apart.
    #[must_use]
    pub fn digests(&self) -> Vec<(u64, bool)> {
        self.0.iter().map(InFlightFrame::sort_key).collect()
    }
}

impl Index<usize> for FramesInFlight {
    type Output = InFlightFrame;

    fn index(&self, index: usize) -> &InFlightFrame {
        &self.0[index]
    }
}
