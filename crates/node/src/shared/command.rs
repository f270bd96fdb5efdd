//! Commands of other tasks for the control thread.

use sumacvale_core::base::{ChangeId, Version};
use sumacvale_core::protocol::{Change, ChangeOutcome, WorkerReport};
use tokio::sync::oneshot;

/// A command for the node, which the control thread translates into an event.
#[derive(Debug)]
pub enum Command {
    /// A worker's report without acknowledgement.
    Report(WorkerReport),
    /// The settings file was reloaded and has these seeds.
    SeedsChanged(Vec<String>),
    /// A worker's report that is acknowledged once a majority of the cores knows it.
    ReportWithAck {
        /// The report.
        report: WorkerReport,
        /// Receives true once a majority knows the report, false otherwise.
        reply: oneshot::Sender<bool>,
    },
    /// A change of the configuration or a linearizable read.
    SubmitChange {
        /// Identifies the change, so that a retry is recognised; 0 for reads.
        change_id: ChangeId,
        /// True if the id was created for this request, so that the request is no retry.
        is_first_send: bool,
        /// The version on which the change is based.
        base: Version,
        /// The change.
        change: Change,
        /// Receives the outcome.
        reply: oneshot::Sender<ChangeOutcome>,
    },
    /// Calls of a tenant are queued for units of its quota.
    QuotaNeeded {
        /// The tenant.
        tenant: String,
        /// The number of units that the queued calls need.
        waiting: u64,
    },
    /// The process shuts down, so the node must drain.
    Shutdown,
}
