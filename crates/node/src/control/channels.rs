//! The channels of the control thread; the documentation of [`crate::control`] lists them all.

use crate::shared::{Command, PublishedVersion};
use tokio::sync::{mpsc, watch};

/// Maximum number of queued commands.
pub const COMMAND_CAPACITY: usize = 4_096;

/// The channel ends that other threads hold.
pub struct ControlSenders {
    /// Sends commands of calls, operators and workers.
    pub commands: mpsc::Sender<Command>,
    /// Sends the token of the last synced write job; held by the thread `disk`.
    pub synced: mpsc::UnboundedSender<u64>,
    /// Receives each version of the configuration that comes into force.
    pub published_version: watch::Receiver<PublishedVersion>,
}

/// The channel ends that the control thread holds.
pub struct ControlReceivers {
    pub(super) commands: mpsc::Receiver<Command>,
    pub(super) synced: mpsc::UnboundedReceiver<u64>,
    pub(super) published_version: watch::Sender<PublishedVersion>,
}

/// Creates all channels of the control thread.
#[must_use]
pub fn channels() -> (ControlSenders, ControlReceivers) {
    let (synced_sender, synced) = mpsc::unbounded_channel();
    let (command_sender, commands) = mpsc::channel(COMMAND_CAPACITY);
    let (version_sender, published_version) = watch::channel(None);
    (
        ControlSenders { commands: command_sender, synced: synced_sender, published_version },
        ControlReceivers { commands, synced, published_version: version_sender },
    )
}
