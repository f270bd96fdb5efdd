//! The core of sumacvale. Nothing here opens a socket, a file or a timer.

pub mod base;
pub mod cache;
pub mod call;
pub mod config;
pub mod consensus;
pub mod freshness;
pub mod lease;
pub mod node;
pub mod peers;
pub mod placement;
pub mod protocol;
pub mod queue;
pub mod quota;
pub mod retry;
pub mod stream;
pub mod workers;
