//! Model checker for the control plane, for development only.
//!
//! The core's own [`Node`](sumacvale_core::node::Node), not a copy of it, is stepped through every order of
//! events within small bounds. Safety rules are checked in each state, and recovery from many states. See `docs/notes/control-safety.md`, section 7.
//!
//! [`explore`] searches the states of a [`Model`](explore::Model). There are three models: [`agreement`],
//! [`fleet`] and [`quota`]; [`scenarios`] lists their bounds. [`planted`] removes guards from a copy of the
//! core, to show that the checker detects the resulting faults.

#![warn(missing_docs)]

pub mod agreement;
pub mod explore;
pub mod fleet;
pub mod frames;
pub mod judge;
pub mod machine;
pub mod planted;
pub mod quota;
pub mod requesters;
pub mod scenarios;
