//! Frames between nodes, and their encoding as bytes.
//!
//! A frame consists of one byte with the version of the peer protocol and the content in musli's wire format.

use super::Message;
use crate::base::{Incarnation, Micros, NodeId};
use displaydoc::Display;
use musli::{Decode, Encode};

/// The version of the peer protocol, which is the first byte of each frame.
pub const PROTOCOL_VERSION: u8 = 3;
/// The maximum size of an encoded frame in bytes, including the version byte.
pub const MAX_FRAME_BYTES: usize = 16 << 20;

/// A message with its sender, receiver and time of sending.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Frame {
    /// The ID of the sender.
    pub from: NodeId,
    /// The ID of the receiver; 0 if the sender knows only the receiver's address.
    pub to: NodeId,
    /// The incarnation of the sender.
    pub incarnation: Incarnation,
    /// The fleet of the sender; 0 if the sender belongs to none yet.
    pub fleet_id: u64,
    /// When the frame was sent, in microseconds of the sender's clock.
    pub sent_at: Micros,
    /// The message.
    pub message: Message,
}

/// An error in encoding or decoding a frame.
#[derive(Clone, Debug, PartialEq, Eq, Display, thiserror::Error)]
pub enum FrameError {
    /// unsupported peer protocol version {0}; run only adjacent releases in one fleet
    UnsupportedVersion(u8),
    /// frame of {0} bytes exceeds the maximum of the peer protocol; check which client connects to the peer address
    TooLarge(usize),
    /// empty frame; check which client connects to the peer address
    Empty,
    /// invalid frame: {0}; check which client connects to the peer address
    Invalid(String),
}

/// Encodes a frame as bytes.
///
/// # Errors
/// [`FrameError::Invalid`] if the frame cannot be encoded, [`FrameError::TooLarge`] if it has more than
/// [`MAX_FRAME_BYTES`].
pub fn encode_frame(frame: &Frame) -> Result<Vec<u8>, FrameError> {
    let mut bytes = vec![PROTOCOL_VERSION];
    bytes.extend(musli::wire::to_vec(frame).map_err(|error| FrameError::Invalid(error.to_string()))?);
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
            musli::wire::from_slice(content).map_err(|error| FrameError::Invalid(error.to_string()))
        }
        Some((version, _)) => Err(FrameError::UnsupportedVersion(*version)),
    }
}
