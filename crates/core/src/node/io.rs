//! The interface of a node: its settings, the events that it handles and the effects that it wants.
//!
//! A node does no I/O itself. Its host turns frames, timers and requests into [`Event`]s, and carries out
//! the [`Effect`]s of each step in their order.

use crate::base::{ChangeId, Incarnation, Micros, NodeId, Version};
use crate::config::ConfigReader;
use crate::consensus::DurableWrite;
use crate::node::View;
use crate::protocol::{Change, ChangeOutcome, Frame, WorkerReport};
use std::sync::Arc;

/// The settings of a node, fixed at its start except for its seeds.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// The node's id. A core keeps it on its disk; any other node makes one at every start.
    pub node_id: NodeId,
    /// The incarnation that starts now, greater than all earlier ones of this id.
    pub incarnation: Incarnation,
    /// Where the node listens for frames of other nodes.
    pub addr: String,
    /// Where the node serves the admin API.
    pub admin: String,
    /// The zone that the node runs in.
    pub zone: String,
    /// Addresses of nodes to contact first.
    pub seeds: Vec<String>,
    /// Whether the node has a disk and so may be a voter.
    pub is_core: bool,
    /// How the operator's documents are read.
    pub config_reader: ConfigReader,
    /// Whether this node may take part in the bootstrap of a fleet.
    pub may_bootstrap: bool,
    /// Whether cores change the set of voters without an operator.
    pub manages_voters: bool,
    /// How many machines with disks may be lost at once.
    pub tolerated_losses: u32,
    /// How often each worker reports, in microseconds.
    pub report_interval: Micros,
    /// Whether workers report to cores only, one at a time.
    pub reports_to_cores_only: bool,
}

/// An event that a node handles in one step.
#[derive(Clone, Debug)]
pub enum Event {
    /// The timer elapsed; the host ticks a node every 25 ms or so.
    Tick,
    /// A frame arrived from another node.
    Frame(Box<Frame>),
    /// All writes up to the one with this token are synced to disk.
    Synced(u64),
    /// A worker reported to this node.
    Report(WorkerReport),
    /// A worker reported and waits for [`Effect::AcknowledgeReport`].
    ReportWithAck {
        /// The number that the acknowledgement names.
        request_id: u64,
        /// The report.
        report: WorkerReport,
    },
    /// An operator submits a change; answered by [`Effect::CompleteChange`].
    SubmitChange {
        /// The number that the answer names.
        request_id: u64,
        /// The id that makes the change idempotent.
        change_id: ChangeId,
        /// Whether nobody can have sent this change id before.
        is_first_send: bool,
        /// The version or revision that the change is made to.
        base: Version,
        /// The change.
        change: Change,
    },
    /// Calls of a tenant wait for units of its quota.
    QuotaNeeded {
        /// The tenant.
        tenant: String,
        /// How many calls wait.
        waiting: u64,
    },
    /// The seeds are replaced by these addresses.
    SeedsChanged(Vec<String>),
    /// The node drains: the others are told so.
    Shutdown,
}

/// What a node wants its host to do.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send a frame.
    Send {
        /// The receiver's address.
        to: String,
        /// The frame.
        frame: Box<Frame>,
    },
    /// Connections to this address lead to a process that has ended: open a new one.
    Reconnect {
        /// The address.
        to: String,
    },
    /// Write to disk, and step the node with [`Event::Synced`] once that is synced.
    Write {
        /// The number of the write; later writes have greater ones.
        token: u64,
        /// What to write, all or nothing.
        writes: Vec<DurableWrite>,
    },
    /// Answer a submitted change.
    CompleteChange {
        /// The number that it was submitted under.
        request_id: u64,
        /// What became of it.
        outcome: ChangeOutcome,
    },
    /// Answer a worker's report.
    AcknowledgeReport {
        /// The number that it was reported under.
        request_id: u64,
        /// Whether it will be known in time wherever calls are accepted; if not, the worker is to report
        /// to another node.
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
