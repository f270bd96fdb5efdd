//! Messages of gossip, of reports of workers, and of clocks.
//!
//! All types here are on the wire: the order of fields and the tags of variants are fixed by the golden
//! files. All times are in microseconds.

use super::LogEntry;
use crate::base::{Incarnation, Micros, NodeId, Version};
use musli::{Allocator, Decode, Decoder, Encode, Encoder};

/// What is known of one node.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct PeerRecord {
    /// The node.
    pub node_id: NodeId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its heartbeat counter, which only grows within an incarnation.
    pub heartbeat: u64,
    /// Where it listens for frames of other nodes.
    pub addr: String,
    /// Where it serves the admin API.
    pub admin: String,
    /// The zone that it runs in.
    pub zone: String,
    /// Whether it has a disk and so may be a voter.
    pub is_core: bool,
    /// Whether it shuts down.
    pub draining: bool,
    /// The newest version of the configuration that it holds; 0 also if it holds none.
    pub version: Version,
}

/// The part of a [`PeerRecord`] that changes all the time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[musli(packed)]
pub struct Heartbeat {
    /// The node.
    pub node_id: NodeId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its heartbeat counter.
    pub heartbeat: u64,
    /// The newest version of the configuration that it holds.
    pub version: Version,
    /// Whether it shuts down.
    pub draining: bool,
}

/// Stands for the incarnation of a worker that does not number its incarnations: the node that it
/// reports to assigns one.
pub const UNNUMBERED_INCARNATION: Incarnation = 0;

/// What a worker reported of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct WorkerReport {
    /// The worker's id, unique in the fleet.
    pub worker_id: String,
    /// The incarnation of the worker, or [`UNNUMBERED_INCARNATION`].
    pub incarnation: Incarnation,
    /// The number of the report within its incarnation.
    pub seq: u64,
    /// Where the worker serves requests.
    pub addr: String,
    /// The pool that it serves; empty in a removal that names only the worker.
    pub pool: String,
    /// The zone that it runs in.
    pub zone: String,
    /// How many requests it processes at once.
    pub slots: u32,
    /// How many of its slots are in use.
    pub busy: u32,
    /// Whether it accepts no new requests.
    pub draining: bool,
    /// How much longer it is slow after its start, in microseconds.
    pub warm_up_left: Micros,
    /// Whether it left in order: this incarnation never comes back.
    pub removed: bool,
    /// How long ago the worker made the report, in microseconds, when its frame was sent.
    pub age: Micros,
}

impl WorkerReport {
    /// Whether the worker itself reported that it accepts no requests any more.
    pub fn is_out_of_service(&self) -> bool {
        self.draining || self.removed
    }

    /// What tells this removal from those of other incarnations.
    pub fn removal_key(&self) -> RemovalKey {
        RemovalKey { worker_id: self.worker_id.clone(), incarnation: self.incarnation, removed: self.removed }
    }

    /// A removal that names only the worker: it takes precedence over every report of that incarnation.
    pub fn removal(worker_id: &str, incarnation: Incarnation) -> WorkerReport {
        WorkerReport { worker_id: worker_id.into(), incarnation, removed: true, ..WorkerReport::default() }
    }
}

/// The drain or removal of one incarnation of a worker. Of one worker, the greater key supersedes.
///
/// On the wire it is a sequence of its fields, as the tuple of them is: a derived form would be encoded to
/// other bytes than those of the golden files.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RemovalKey {
    /// The worker.
    pub worker_id: String,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Whether it left; if not, it only drains.
    pub removed: bool,
}

impl<M> Encode<M> for RemovalKey {
    type Encode = Self;

    fn encode<E: Encoder<Mode = M>>(&self, encoder: E) -> Result<(), E::Error> {
        (&self.worker_id, self.incarnation, self.removed).encode(encoder)
    }

    fn as_encode(&self) -> &Self::Encode {
        self
    }
}

impl<'de, M, A: Allocator> Decode<'de, M, A> for RemovalKey {
    fn decode<D: Decoder<'de, Mode = M, Allocator = A>>(decoder: D) -> Result<Self, D::Error> {
        let (worker_id, incarnation, removed) = Decode::decode(decoder)?;
        Ok(RemovalKey { worker_id, incarnation, removed })
    }
}

/// Messages by which heartbeats, updates and removals spread.
///
/// The number of each variant is its tag on the wire, unique among the variants of all these enums; see
/// [`Message`](super::Message).
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
#[musli(name(type = usize))]
pub enum DisseminationMessage {
    /// What the sender knows of nodes.
    #[musli(name = 0)]
    Gossip {
        /// Heartbeats of nodes whose incarnation the receiver is taken to know.
        heartbeats: Vec<Heartbeat>,
        /// Full records of nodes.
        records: Vec<PeerRecord>,
        /// Nodes whose records the sender requests.
        unknown_nodes: Vec<NodeId>,
        /// Whether the receiver is to gossip in reply.
        wants_reply: bool,
        /// A hash of the incarnations that the sender knows; 0 if the sender gives none.
        #[musli(default)]
        incarnation_set: u64,
        /// Two bytes of the heartbeat of each of these incarnations, for a receiver that knows the same.
        #[musli(default, bytes)]
        compact_heartbeats: Vec<u8>,
    },

    /// Requests updates on some topics.
    #[musli(name = 11)]
    Subscribe {
        /// The number of this request.
        seq: u64,
        /// One more than the version that the subscriber holds; 0 for none.
        next_version: Version,
        /// The change index up to which the subscriber has the publisher's changes.
        from_index: u64,
        /// The publisher's incarnation that counted this index.
        incarnation: Incarnation,
        /// The pools, and the configuration, that the subscriber wants.
        topics: Vec<String>,
    },

    /// What changed since the last update to a subscriber.
    #[musli(name = 12)]
    Update {
        /// The newest subscription, which this answers.
        request_seq: u64,
        /// How long after that subscription it was sent, in microseconds.
        answered_after: Micros,
        /// How long ago a majority confirmed the version, in microseconds; none if that is not known.
        confirmed_age: Option<Micros>,
        /// The publisher's version; 0 also if it has none.
        version: Version,
        /// The versions after the subscriber's, as patches, where they lead to `entry`.
        #[musli(default)]
        preceding: Vec<LogEntry>,
        /// The newest version, if the subscriber does not hold it.
        entry: Option<LogEntry>,
        /// The change index up to which the subscriber now has the publisher's changes.
        change_index: u64,
        /// Whether every live worker has reported to the publisher or to those it subscribes to.
        is_complete: bool,
        /// The reports that changed since the last update.
        reports: Vec<WorkerReport>,
    },

    /// Reports of workers, for the home nodes of their pools.
    #[musli(name = 13)]
    Reports {
        /// The reports, in the order in which they were received.
        reports: Vec<WorkerReport>,
    },

    /// Workers that accept no requests any more, for every live node at once.
    #[musli(name = 14)]
    Removals {
        /// Their last reports.
        reports: Vec<WorkerReport>,
    },

    /// Acknowledges removals.
    #[musli(name = 15)]
    RemovalsReceived {
        /// The removals that the sender knows now.
        keys: Vec<RemovalKey>,
    },

    /// All live nodes know these removals.
    #[musli(name = 16)]
    RemovalsKnownByAll {
        /// The removals.
        keys: Vec<RemovalKey>,
    },

    /// Requests a reading of the receiver's clock.
    #[musli(name = 43)]
    ClockRequest {
        /// The number of this request.
        request_id: u64,
    },

    /// Answers a [`ClockRequest`](DisseminationMessage::ClockRequest): the reading is the frame's
    /// `sent_at`.
    #[musli(name = 44)]
    ClockReply {
        /// The number of the request.
        request_id: u64,
    },
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
