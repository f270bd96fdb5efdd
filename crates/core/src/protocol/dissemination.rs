//! Messages of gossip, of reports of workers, and of clocks.

use super::LogEntry;
use crate::base::{Incarnation, Micros, NodeId, Version};
use musli::{Decode, Encode};

/// What is known of one node.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct PeerRecord {
    pub node_id: NodeId,
    pub incarnation: Incarnation,
    pub heartbeat: u64,
    pub addr: String,
    pub admin: String,
    pub zone: String,
    pub is_core: bool,
    pub draining: bool,
    pub version: Version,
}

/// The part of what is known of a node that changes all the time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[musli(packed)]
pub struct Heartbeat {
    pub node_id: NodeId,
    pub incarnation: Incarnation,
    pub heartbeat: u64,
    pub version: Version,
    pub draining: bool,
}

/// In the place of a worker's incarnation where the worker doesn't number its lives: the node
/// that it reports to does.
pub const UNNUMBERED_INCARNATION: Incarnation = 0;

/// What a worker said of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct WorkerReport {
    pub worker_id: String,
    pub incarnation: Incarnation,
    pub seq: u64,
    pub addr: String,
    pub pool: String,
    pub zone: String,
    pub slots: u32,
    pub busy: u32,
    pub draining: bool,
    /// How much longer it is slow after its start.
    pub warm_up_left: Micros,
    /// It left in order; this life never comes back.
    pub removed: bool,
    pub age: Micros,
}

impl WorkerReport {
    /// Takes no calls any more, by its own word.
    pub fn is_out_of_service(&self) -> bool {
        self.draining || self.removed
    }

    /// What tells this row from those of other lives.
    pub fn removal_key(&self) -> RemovalKey {
        (self.worker_id.clone(), self.incarnation, self.removed)
    }

    /// A leave that names nothing but the worker: it counts more than any report of that life.
    pub fn removal(worker_id: &str, incarnation: Incarnation) -> WorkerReport {
        WorkerReport { worker_id: worker_id.into(), incarnation, removed: true, ..WorkerReport::default() }
    }
}

/// Whose end it is, and whether it left or only drains.
pub type RemovalKey = (String, Incarnation, bool);

/// Messages that spread what is known of nodes and workers.
///
/// The number of each variant is its tag on the wire, unique among the variants of all these enums; see
/// [`Message`](super::Message).
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
#[musli(name(type = usize))]
pub enum DisseminationMessage {
    #[musli(name = 0)]
    Gossip {
        heartbeats: Vec<Heartbeat>,
        records: Vec<PeerRecord>,
        unknown_nodes: Vec<NodeId>,
        wants_reply: bool,
        /// Names the lives that the sender knows; nought says nothing.
        #[musli(default)]
        incarnation_set: u64,
        /// Two bytes of each of these lives' beats, to one who knows the same.
        #[musli(default, bytes)]
        compact_heartbeats: Vec<u8>,
    },

    #[musli(name = 11)]
    Subscribe { seq: u64, next_version: Version, from_index: u64, incarnation: Incarnation, topics: Vec<String> },

    /// `whole`: the teller was heard of by every worker that lives.
    #[musli(name = 12)]
    Update {
        request_seq: u64,
        answered_after: Micros,
        confirmed_age: Option<Micros>,
        version: Version,
        /// The versions from the asker's on, as patches, where they lead to the one told.
        #[musli(default)]
        preceding: Vec<LogEntry>,
        entry: Option<LogEntry>,
        change_index: u64,
        is_complete: bool,
        reports: Vec<WorkerReport>,
    },

    #[musli(name = 13)]
    Reports { reports: Vec<WorkerReport> },

    /// Workers that take no calls any more, to every live node at once.
    #[musli(name = 14)]
    Removals { reports: Vec<WorkerReport> },

    #[musli(name = 15)]
    RemovalsReceived { keys: Vec<RemovalKey> },

    /// All live nodes have these.
    #[musli(name = 16)]
    RemovalsKnownByAll { keys: Vec<RemovalKey> },

    /// What does your clock show?
    #[musli(name = 43)]
    ClockRequest { request_id: u64 },

    /// What the frame says that it was sent at, after it was asked for.
    #[musli(name = 44)]
    ClockReply { request_id: u64 },
}

impl DisseminationMessage {
    /// The name of its kind, for logs and traces.
    pub fn name(&self) -> &'static str {
        match self {
            DisseminationMessage::Gossip { .. } => "Gossip",
            DisseminationMessage::Subscribe { .. } => "Subscribe",
            DisseminationMessage::Update { .. } => "Update",
            DisseminationMessage::Reports { .. } => "Reports",
            DisseminationMessage::Removals { .. } => "Removals",
            DisseminationMessage::RemovalsReceived { .. } => "RemovalsReceived",
            DisseminationMessage::RemovalsKnownByAll { .. } => "RemovalsKnownByAll",
            DisseminationMessage::ClockRequest { .. } => "ClockRequest",
            DisseminationMessage::ClockReply { .. } => "ClockReply",
        }
    }
}
