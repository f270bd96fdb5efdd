//! Errors of the start of a node.

use crate::disk::DiskError;
use displaydoc::Display;
use std::net::SocketAddr;

/// Why a node can't start; the message names the remedy where there is one.
#[derive(Debug, Display, thiserror::Error)]
pub enum StartError {
    /// the operating system provides no random numbers: {0}
    NoRandomNumbers(getrandom::Error),
    /// {0}
    Disk(DiskError),
    /// /{setting}: can't listen on {addr}: {reason}; choose a free address of this machine
    Listen {
        /// Name of the setting that holds the address.
        setting: &'static str,
        /// The address.
        addr: SocketAddr,
        /// The error of the operating system.
        reason: std::io::Error,
    },
    /// can't start the thread {name}: {reason}
    NoThread {
        /// Name of the thread.
        name: &'static str,
        /// The error of the operating system.
        reason: std::io::Error,
    },
    /// can't install the signal handlers: {0}
    Signals(std::io::Error),
}

impl StartError {
    /// Returns the exit code of the process: 2 where its data folder can't be used, else 1.
    #[must_use]
    pub fn exit_code(&self) -> i32 {
        match self {
            StartError::Disk(_) => 2,
            _ => 1,
        }
    }
}
