//! Why a node can't start.

use crate::disk::DiskError;
use displaydoc::Display;
use std::net::SocketAddr;

/// An error of the start; its text names the remedy.
#[derive(Debug, Display, thiserror::Error)]
pub enum StartError {
    /// this machine gives no random numbers: {0}
    NoRandomNumbers(getrandom::Error),
    /// {0}
    Disk(DiskError),
    /// /{setting}: {addr} can't be opened: {reason}; choose an address of this machine that is free
    Listen {
        /// Name of the setting that holds the address.
        setting: &'static str,
        /// The address.
        addr: SocketAddr,
        /// The error of the operating system.
        reason: std::io::Error,
    },
    /// no thread for {name}: {reason}
    NoThread {
        /// What the thread is for.
        name: &'static str,
        /// The error of the operating system.
        reason: std::io::Error,
    },
    /// signals can't be received: {0}
    Signals(std::io::Error),
}

impl StartError {
    /// The exit code of the process: 2 where its data folder can't be used, else 1.
    #[must_use]
    pub fn exit_code(&self) -> i32 {
        match self {
            StartError::Disk(_) => 2,
            _ => 1,
        }
    }
}
