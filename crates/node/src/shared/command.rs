//! What other tasks ask of the control thread.

use sumacvale_core::base::{ChangeId, Version};
use sumacvale_core::protocol::{Change, ChangeOutcome, WorkerReport};
use tokio::sync::oneshot;

/// A command for the node, which the control thread turns into an event.
#[derive(Debug)]
pub enum Command {
    /// A worker's report; nobody waits for its effect.
    Report(WorkerReport),
    /// The settings file was read anew and names these seeds.
    SeedsChanged(Vec<String>),
    /// A worker's report that must be known to a majority of the cores.
    ReportWithAck {
        /// The report.
        report: WorkerReport,
        /// Gets true once a majority knows the report, else false.
        reply: oneshot::Sender<bool>,
    },
    /// A change of the configuration or a linearizable read.
    SubmitChange {
        /// By it a repeated change is recognised; nought for reads.
        change_id: ChangeId,
        /// Whether the id was made for this request, so that it can't be a repetition.
        is_first_send: bool,
        /// The version that the change is built on.
        base: Version,
        /// The change.
        change: Change,
        /// Gets the outcome.
        reply: oneshot::Sender<ChangeOutcome>,
    },
    /// Calls of a tenant wait for units of its quota.
    QuotaNeeded {
        /// The tenant.
        tenant: String,
        /// How many units its waiting calls need.
        waiting: u64,
    },
    /// The process shuts down: the node drains.
    Shutdown,
}
