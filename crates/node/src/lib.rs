//! `sumacvale`: sockets, files, timers and threads round the core, which is a pure state machine.
//!
//! Threads, tasks, channels and the order of a shutdown are documented in [`control`] and [`run`].

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

/// Exit code of a process that lost one of its threads (`EX_SOFTWARE` of `sysexits.h`).
const EXIT_LOST_THREAD: i32 = 70;

/// Ends the process: a node that lost a thread it needs must not go on as if it had it.
pub fn exit_after_lost_thread(reason: &str) -> ! {
    let _ = writeln!(std::io::stderr(), "sumacvale: {reason}; this process ends with it, start it again");
    std::process::exit(EXIT_LOST_THREAD)
}
