//! The channels into and out of the control thread; see the table in the module above.

use crate::shared::{Command, PublishedVersion};
use tokio::sync::{mpsc, watch};

/// How many commands may wait for the node.
pub const COMMAND_CAPACITY: usize = 4_096;

/// The ends that other threads hold.
pub struct ControlSenders {
    /// Commands of calls, operators and workers.
    pub commands: mpsc::Sender<Command>,
    /// Tokens of write jobs that are synced, from the thread `disk`.
    pub synced: mpsc::UnboundedSender<u64>,
    /// Sees each version of the configuration that comes into force.
    pub published_version: watch::Receiver<PublishedVersion>,
}

/// The ends that the control thread holds.
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
