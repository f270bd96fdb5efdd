//! What goes into a node and what comes out of it.

use crate::base::{ChangeId, Incarnation, Micros, NodeId, Version};
use crate::config::Reader;
use crate::consensus::DurableWrite;
use crate::node::View;
use crate::protocol::{Change, ChangeOutcome, Frame, WorkerReport};
use std::sync::Arc;

/// What a node is told at its start.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    pub node_id: NodeId,
    pub incarnation: Incarnation,
    pub addr: String,
    pub admin: String,
    pub zone: String,
    pub seeds: Vec<String>,
    pub is_core: bool,
    /// How the operator's documents are read.
    pub config_reader: Reader,
    /// Whether this node may take part in founding a fleet.
    pub may_bootstrap: bool,
    /// Whether cores see to their membership without an operator.
    pub manages_voters: bool,
    /// How many machines with disks may be lost at once.
    pub tolerated_losses: u32,
    /// How often each worker reports.
    pub report_interval: Micros,
    /// Workers report to cores only, one at a time.
    pub reports_to_cores_only: bool,
}

/// What happens to a node.
#[derive(Clone, Debug)]
pub enum Event {
    Tick,
    Frame(Box<Frame>),
    /// All writes up to this one are on disk.
    Synced(u64),
    Report(WorkerReport),
    /// As a report, but the worker waits to hear that it counts: see `Effect::Heard`.
    ReportWithAck {
        request_id: u64,
        report: WorkerReport,
    },
    /// `fresh` says that nobody can have sent this change id before.
    SubmitChange {
        request_id: u64,
        change_id: ChangeId,
        is_first_send: bool,
        base: Version,
        change: Change,
    },
    /// Calls of a tenant wait for a unit of its quota.
    QuotaNeeded {
        tenant: String,
        waiting: u64,
    },
    /// The first contacts are others from now on.
    SeedsChanged(Vec<String>),
    /// Tell the others that this node stops.
    Shutdown,
}

/// What a node wants done.
#[derive(Clone, Debug)]
pub enum Effect {
    Send {
        to: String,
        frame: Box<Frame>,
    },
    /// Connections to this address lead to a process that has ended: open a new one.
    Reconnect {
        to: String,
    },
    Write {
        token: u64,
        writes: Vec<DurableWrite>,
    },
    CompleteChange {
        request_id: u64,
        outcome: ChangeOutcome,
    },
    /// What was told under this number is known in time wherever calls are taken;
    /// if not `ok`, tell another node.
    AcknowledgeReport {
        request_id: u64,
        is_accepted: bool,
    },
    Publish(Arc<View>),
    WakeTenant {
        tenant: String,
    },
}
