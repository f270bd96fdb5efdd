//! The interface of a node: its settings, the events that it handles and the effects that it emits.
//!
//! A node does no I/O itself. Its host converts frames, timers and requests into [`Event`]s, and carries out
//! the [`Effect`]s of each step in order.

use crate::base::{ChangeId, Incarnation, Micros, NodeId, Version};
use crate::config::ConfigReader;
use crate::consensus::DurableWrite;
use crate::node::View;
use crate::protocol::{Change, ChangeOutcome, Frame, WorkerReport};
use std::sync::Arc;

/// The settings of a node. Only the seeds may change while the node runs.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// The node's identifier. A core keeps it on its disk; any other node draws a new one at every start.
    pub node_id: NodeId,
    /// The incarnation that starts now. Invariant: greater than all earlier incarnations of this node.
    pub incarnation: Incarnation,
    /// The address where the node listens for frames of other nodes.
    pub addr: String,
    /// The address where the node serves the admin API.
    pub admin_addr: String,
    /// The zone that the node runs in.
    pub zone: String,
    /// The addresses of nodes that this node contacts first, to join the fleet.
    pub seeds: Vec<String>,
    /// Whether the node is a core: it has a disk and may be a voter.
    pub is_core: bool,
    /// The parser for the operator's configuration documents.
    pub config_reader: ConfigReader,
    /// Whether this node may take part in the bootstrap of a fleet.
    pub may_bootstrap: bool,
    /// Whether cores propose changes of the set of voters themselves, without an operator.
    pub manages_voters: bool,
    /// The number of cores that may be lost at once.
    pub tolerated_losses: u32,
    /// The interval between reports of each worker, in microseconds.
    pub report_interval: Micros,
    /// Whether each worker reports to one core at a time and to no other node.
    pub workers_report_to_cores_only: bool,
}

/// An event that a node handles in one step.
#[derive(Clone, Debug)]
pub enum Event {
    /// The timer elapsed. The host ticks a node about every 25 ms.
    Tick,
    /// A frame arrived from another node.
    Frame(Box<Frame>),
    /// All writes up to the one with this token are synced to disk.
    Synced(u64),
    /// A worker reported to this node.
    Report(WorkerReport),
    /// A worker reported to this node and waits for [`Effect::AcknowledgeReport`].
    ReportWithAck {
        /// The identifier of the request, repeated in the acknowledgement.
        request_id: u64,
        /// The report.
        report: WorkerReport,
    },
    /// An operator submits a change or a read, which [`Effect::CompleteChange`] answers.
    SubmitChange {
        /// The identifier of the request, repeated in the answer.
        request_id: u64,
        /// The identifier of the change, which makes retries idempotent.
        change_id: ChangeId,
        /// Whether no node can have been sent this change identifier before.
        is_first_send: bool,
        /// The version (for documents and patches: the revision) that the change is built on.
        base: Version,
        /// The change.
        change: Change,
    },
    /// Calls of a tenant wait for units of the tenant's quota.
    QuotaNeeded {
        /// The tenant.
        tenant: String,
        /// The number of waiting calls.
        waiting: u64,
    },
    /// The operator replaced the seeds by these addresses.
    SeedsChanged(Vec<String>),
    /// The node starts to drain and notifies the live nodes.
    Shutdown,
}

/// An action that a node requests from its host.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send a frame.
    Send {
        /// The receiver's address.
        to: String,
        /// The frame.
        frame: Box<Frame>,
    },
    /// Open a new connection to this address: the process behind the current ones has ended.
    Reconnect {
        /// The address.
        to: String,
    },
    /// Write to disk. Once the write is synced, the host steps the node with [`Event::Synced`].
    Write {
        /// The token of the write. Tokens increase with each write.
        token: u64,
        /// The records to write, atomically.
        writes: Vec<DurableWrite>,
    },
    /// Answer a submitted change.
    CompleteChange {
        /// The identifier of the request that submitted the change.
        request_id: u64,
        /// The outcome of the change.
        outcome: ChangeOutcome,
    },
    /// Answer a worker's report.
    AcknowledgeReport {
        /// The identifier of the request that carried the report.
        request_id: u64,
        /// Whether the report will reach every node that accepts calls in time. If false, the worker must
        /// report to another node.
        is_accepted: bool,
    },
    /// Replace the view that the data plane reads.
    Publish(Arc<View>),
    /// Retry the calls of a tenant that wait for its quota.
    WakeTenant {
        /// The tenant.
        tenant: String,
    },
}
