//! What nodes say to each other.

mod digest;
mod frame;
mod msg;
mod packed;

pub use digest::Digest;
pub use frame::{Frame, Garbled, LARGE, WIRE, pack, unpack};
pub use msg::*;
