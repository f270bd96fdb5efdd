//! The core of sumacvale: all state machines of the control plane and of a call.
//!
//! Nothing here opens a socket, a file or a timer: state machines receive events and the time, and return
//! what is to be done. So the same code runs in a process, in the simulator and in the model checker, and
//! the same events and seeds give the same decisions.
//!
//! - Control plane: [`node`] composes [`consensus`], [`freshness`], [`lease`], [`quota`], [`peers`] and
//!   [`workers`]; [`protocol`] has the messages between nodes.
//! - Data plane: [`call`] composes [`queue`], [`placement`], [`retry`], [`cache`] and [`stream`].
//! - Both: [`config`] and [`base`].

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
