//! Frames between nodes, and how they are written as bytes.

use super::Msg;
use crate::base::{Incarnation, Micros, NodeId};
use displaydoc::Display;
use musli::{Decode, Encode};

/// The version of the peer protocol that stands at the head of each frame.
pub const WIRE: u8 = 3;
/// More bytes are no frame.
pub const LARGE: usize = 16 << 20;

/// A message with its sender and receiver.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Frame {
    pub from: NodeId,
    /// Nought where only the address is known.
    pub to: NodeId,
    pub incarnation: Incarnation,
    pub fleet: u64,
    pub sent: Micros,
    pub msg: Msg,
}

/// Why bytes are no frame of this fleet.
#[derive(Clone, Debug, PartialEq, Eq, Display, thiserror::Error)]
pub enum Garbled {
    /// the frame speaks version {0} of the peer protocol; run releases next to each other only
    Version(u8),
    /// the frame has {0} bytes; nothing that speaks this protocol sends so many, look who connects
    Large(usize),
    /// the frame is empty; look who connects to the peer address
    Empty,
    /// the frame can't be read: {0}; look who connects to the peer address
    Unread(String),
}

/// A frame as bytes.
pub fn pack(f: &Frame) -> Result<Vec<u8>, Garbled> {
    let mut b = vec![WIRE];
    b.extend(musli::wire::to_vec(f).map_err(|e| Garbled::Unread(e.to_string()))?);
    if b.len() > LARGE { Err(Garbled::Large(b.len())) } else { Ok(b) }
}

/// The frame that these bytes are.
pub fn unpack(b: &[u8]) -> Result<Frame, Garbled> {
    if b.len() > LARGE {
        return Err(Garbled::Large(b.len()));
    }
    match b.split_first() {
        None => Err(Garbled::Empty),
        Some((&WIRE, r)) => musli::wire::from_slice(r).map_err(|e| Garbled::Unread(e.to_string())),
        Some((v, _)) => Err(Garbled::Version(*v)),
    }
}
