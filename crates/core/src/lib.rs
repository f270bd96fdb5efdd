//! The core of sumacvale: the state machines of the control plane and of a call.
//!
//! This crate performs no I/O and starts no timers. Its state machines receive events and the current time and
//! return effects for the caller to perform. The same code therefore runs in a process, in the simulator and in
//! the model checker, and the same events and seeds give the same decisions.
//!
//! - Control plane: [`node`] composes [`consensus`], [`freshness`], [`lease`], [`quota`], [`peers`] and
//!   [`workers`]; [`protocol`] defines the messages between nodes.
//! - Data plane: [`call`] composes [`queue`], [`placement`], [`retry`], [`cache`] and [`stream`].
//! - Both: [`config`], [`json`] and [`base`].

pub mod base;
pub mod cache;
pub mod call;
pub mod config;
pub mod consensus;
pub mod freshness;
pub mod json;
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
