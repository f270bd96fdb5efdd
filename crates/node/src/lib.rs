//! `sumacvale`: sockets, files and timers round the core.

pub mod admin;
pub mod clock;
pub mod control;
pub mod disk;
pub mod front;
pub mod import;
pub mod link;
pub mod net;
pub mod ops;
pub mod protocol_adapter;
pub mod run;
pub mod serve;
pub mod settings;
pub mod shared;
pub mod upstream;
pub mod watched;

use std::io::Write;

/// A node that lost a thread it can't do without must not go on as if it had it.
pub fn fall(why: &str) -> ! {
    let _ = writeln!(std::io::stderr(), "sumacvale: {why}; this process ends with it, start it again");
    std::process::exit(70)
}
