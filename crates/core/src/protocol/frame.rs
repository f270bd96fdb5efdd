//! Frames between nodes, and their encoding as bytes.
//!
//! A frame is the version of the peer protocol in one byte, then the content in the wire format of musli.

use super::Message;
use crate::base::{Incarnation, Micros, NodeId};
use displaydoc::Display;
use musli::{Decode, Encode};

/// The version of the peer protocol, which is the first byte of each frame.
pub const PROTOCOL_VERSION: u8 = 3;
/// The most bytes that a frame may have, its first byte included.
pub const MAX_FRAME_BYTES: usize = 16 << 20;

/// A message with its sender and receiver.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Frame {
    /// The sender.
    pub from: NodeId,
    /// The receiver; 0 if the sender knows only its address.
    pub to: NodeId,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The sender's fleet; 0 if it belongs to none yet.
    pub fleet_id: u64,
    /// When the frame was sent, in microseconds of the sender's clock.
    pub sent_at: Micros,
    /// The message.
    pub message: Message,
}

/// Why bytes are not a valid frame.
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

/// Encodes a frame as bytes.
///
/// # Errors
/// [`FrameError::Undecodable`] if the frame cannot be encoded, [`FrameError::TooLarge`] if it has more than
/// [`MAX_FRAME_BYTES`].
pub fn encode_frame(frame: &Frame) -> Result<Vec<u8>, FrameError> {
    let mut bytes = vec![PROTOCOL_VERSION];
    bytes.extend(musli::wire::to_vec(frame).map_err(|error| FrameError::Undecodable(error.to_string()))?);
    if bytes.len() > MAX_FRAME_BYTES { Err(FrameError::TooLarge(bytes.len())) } else { Ok(bytes) }
}

/// Decodes a frame from its bytes.
///
/// # Errors
/// See [`FrameError`].
pub fn decode_frame(bytes: &[u8]) -> Result<Frame, FrameError> {
    if bytes.len() > MAX_FRAME_BYTES {
        return Err(FrameError::TooLarge(bytes.len()));
    }
    match bytes.split_first() {
        None => Err(FrameError::Empty),
        Some((&PROTOCOL_VERSION, content)) => {
            musli::wire::from_slice(content).map_err(|error| FrameError::Undecodable(error.to_string()))
        }
        Some((version, _)) => Err(FrameError::Version(*version)),
    }
}
