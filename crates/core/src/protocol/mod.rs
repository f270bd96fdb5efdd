//! What nodes say to each other.

mod compression;
mod digest;
mod frame;
mod message;

pub use digest::EntryDigest;
pub use frame::{Frame, FrameError, MAX_FRAME_BYTES, PROTOCOL_VERSION, decode_frame, encode_frame};
pub use message::*;
