//! `usher`: sockets, files and timers round the core.

pub mod admin;
pub mod brain;
pub mod clock;
pub mod disk;
pub mod env;
pub mod front;
pub mod hall;
pub mod import;
pub mod link;
pub mod serve;
