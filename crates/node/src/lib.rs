//! The I/O of a node: sockets, files, timers and threads around `sumacvale_core`, which is a pure state
//! machine.
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

/// Exit code of a process in which a thread failed (`EX_SOFTWARE` of `sysexits.h`).
const EXIT_THREAD_FAILED: i32 = 70;

/// Exits the process, because a node must not serve without one of its threads.
pub fn exit_after_thread_failure(reason: &str) -> ! {
    let _ = writeln!(std::io::stderr(), "sumacvale: {reason}; the process exits, restart it");
    std::process::exit(EXIT_THREAD_FAILED)
}
