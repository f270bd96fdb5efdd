//! Frames in flight between the machines of a model.
//!
//! [`FramesInFlight`] is the network of the models that explore the order of deliveries: any frame may be
//! delivered next, be lost, or be delivered twice. The frames are kept sorted, so that states that differ only
//! in the order of sending count as one state.

use std::fmt;
use std::ops::Index;
use std::sync::Arc;
use sumacvale_core::protocol::Frame;

/// A frame and its receiving machine.
#[derive(Clone, Debug)]
pub struct AddressedFrame {
    /// The index of the receiving machine, which may be outside the model.
    pub to: usize,
    /// The frame.
    pub frame: Frame,
}

/// A frame in flight whose delivery is a separate action.
#[derive(Clone)]
pub struct InFlightFrame {
    /// The index of the receiving machine.
    pub to: usize,
    /// The frame.
    pub frame: Arc<Frame>,
    /// The digest of the parts of the frame that affect the receiver.
    pub digest: u64,
    /// True if the frame was already delivered once.
    pub is_duplicate: bool,
}

impl InFlightFrame {
    /// Returns a frame that was just sent.
    #[must_use]
    pub fn new(sent: AddressedFrame, digest: u64) -> Self {
        InFlightFrame { to: sent.to, frame: Arc::new(sent.frame), digest, is_duplicate: false }
    }

    /// Returns the frame in the form that the receiving node accepts.
    #[must_use]
    pub fn to_addressed(&self) -> AddressedFrame {
        AddressedFrame { to: self.to, frame: (*self.frame).clone() }
    }

    /// Returns a second copy of the frame, to stay in flight after the first copy is delivered.
    #[must_use]
    pub fn duplicate(&self) -> Self {
        InFlightFrame { is_duplicate: true, ..self.clone() }
    }

    fn sort_key(&self) -> (u64, bool) {
        (self.digest, self.is_duplicate)
    }
}

/// Shows the receiver, the sender and the message in traces.
impl fmt::Display for InFlightFrame {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "to {} from {:?}: {:?}", self.to, self.frame.from, self.frame.message)
    }
}

/// The frames in flight. Invariant: sorted by digest whenever actions are listed or applied, because actions
/// refer to frames by index. [`FramesInFlight::sort`] restores the order after additions.
#[derive(Clone, Default)]
pub struct FramesInFlight(Vec<InFlightFrame>);

impl FramesInFlight {
    /// Adds a frame without sorting.
    pub fn push(&mut self, frame: InFlightFrame) {
        self.0.push(frame);
    }

    /// Removes a frame that is delivered or lost.
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

    /// Returns the index of the first frame that `is_wanted` accepts.
    pub fn position(&self, is_wanted: impl FnMut(&InFlightFrame) -> bool) -> Option<usize> {
        self.0.iter().position(is_wanted)
    }

    /// Removes all frames and returns them in their order.
    #[must_use]
    pub fn drain(&mut self) -> Vec<AddressedFrame> {
        std::mem::take(&mut self.0).iter().map(InFlightFrame::to_addressed).collect()
    }

    /// Returns the number of frames in flight.
    #[must_use]
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns true if no frame is in flight.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the sort keys of the frames, for the digest of a state.
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
