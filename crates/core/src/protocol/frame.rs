//! Frames between nodes, and how they are written as bytes.

use super::Message;
use crate::base::{Incarnation, Micros, NodeId};
use displaydoc::Display;
use musli::{Decode, Encode};

/// The version of the peer protocol that stands at the head of each frame.
pub const PROTOCOL_VERSION: u8 = 3;
/// More bytes are no frame.
pub const MAX_FRAME_BYTES: usize = 16 << 20;

/// A message with its sender and receiver.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Frame {
    pub from: NodeId,
    /// Nought where only the address is known.
    pub to: NodeId,
    pub incarnation: Incarnation,
    pub fleet_id: u64,
    pub sent_at: Micros,
    pub message: Message,
}

/// Why bytes are no frame of this fleet.
#[derive(Clone, Debug, PartialEq, Eq, Display, thiserror::Error)]
pub enum FrameError {
    /// the frame speaks version {0} of the peer protocol; run releases next to each other only
    Version(u8),
    /// the frame has {0} bytes; nothing that speaks this protocol sends so many, look who connects
    TooLarge(usize),
    /// the frame is empty; look who connects to the peer address
    Empty,
    /// the frame can't be read: {0}; look who connects to the peer address
    Undecodable(String),
}

/// A frame as bytes.
pub fn encode_frame(f: &Frame) -> Result<Vec<u8>, FrameError> {
    let mut b = vec![PROTOCOL_VERSION];
    b.extend(musli::wire::to_vec(f).map_err(|e| FrameError::Undecodable(e.to_string()))?);
    if b.len() > MAX_FRAME_BYTES { Err(FrameError::TooLarge(b.len())) } else { Ok(b) }
}

/// The frame that these bytes are.
pub fn decode_frame(b: &[u8]) -> Result<Frame, FrameError> {
    if b.len() > MAX_FRAME_BYTES {
        return Err(FrameError::TooLarge(b.len()));
    }
    match b.split_first() {
        None => Err(FrameError::Empty),
        Some((&PROTOCOL_VERSION, r)) => musli::wire::from_slice(r).map_err(|e| FrameError::Undecodable(e.to_string())),
        Some((v, _)) => Err(FrameError::Version(*v)),
    }
}
