//! Messages of gossip, worker reports and clock readings.
//!
//! All types of this module are sent on the wire: golden files fix the order of fields and the tags of
//! variants. All times are in microseconds.

use super::LogEntry;
use crate::base::{Incarnation, Micros, NodeId, Version};
use musli::{Allocator, Decode, Decoder, Encode, Encoder};

/// The known state of one node.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct PeerRecord {
    /// The ID of the node.
    pub node_id: NodeId,
    /// The incarnation of the node.
    pub incarnation: Incarnation,
    /// The heartbeat counter. Invariant: never decreases within an incarnation.
    pub heartbeat: u64,
    /// The address at which the node listens for frames of other nodes.
    pub addr: String,
    /// The address at which the node serves the admin API.
    pub admin: String,
    /// The zone that the node runs in.
    pub zone: String,
    /// Whether the node has a disk, so that it may be a voter.
    pub is_core: bool,
    /// Whether the node is shutting down.
    pub draining: bool,
    /// The newest version of the configuration on the node; 0 also if it holds none.
    pub version: Version,
}

/// The frequently changing part of a [`PeerRecord`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[musli(packed)]
pub struct Heartbeat {
    /// The ID of the node.
    pub node_id: NodeId,
    /// The incarnation of the node.
    pub incarnation: Incarnation,
    /// The heartbeat counter.
    pub counter: u64,
    /// The newest version of the configuration on the node.
    pub version: Version,
    /// Whether the node is shutting down.
    pub draining: bool,
}

/// The incarnation in reports of a worker that does not number its incarnations. The node that receives the
/// reports assigns one.
pub const UNKNOWN_INCARNATION: Incarnation = 0;

/// The state of a worker as the worker reported it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct WorkerReport {
    /// The ID of the worker, unique in the fleet.
    pub worker_id: String,
    /// The incarnation of the worker, or [`UNKNOWN_INCARNATION`].
    pub incarnation: Incarnation,
    /// The sequence number of the report within the incarnation.
    pub seq: u64,
    /// The address at which the worker serves requests.
    pub addr: String,
    /// The pool that the worker serves; empty in a removal that names only the worker.
    pub pool: String,
    /// The zone that the worker runs in.
    pub zone: String,
    /// The number of requests that the worker processes at once.
    pub slots: u32,
    /// The number of slots in use.
    pub busy: u32,
    /// Whether the worker accepts no new requests.
    pub draining: bool,
    /// The remaining warm-up time after the start, during which the worker is slow, in microseconds.
    pub warm_up_left: Micros,
    /// Whether the worker deregistered: this incarnation never returns.
    pub removed: bool,
    /// The age of the report when its frame was sent, in microseconds.
    pub age: Micros,
}

impl WorkerReport {
    /// Returns true if the worker itself reported that it accepts no more requests.
    pub fn is_out_of_service(&self) -> bool {
        self.draining || self.removed
    }

    /// Returns the key that tells this removal from those of other incarnations.
    pub fn removal_key(&self) -> RemovalKey {
        RemovalKey { worker_id: self.worker_id.clone(), incarnation: self.incarnation, removed: self.removed }
    }

    /// Creates a removal that names only the worker. It supersedes every report of the incarnation.
    pub fn removal(worker_id: &str, incarnation: Incarnation) -> WorkerReport {
        WorkerReport { worker_id: worker_id.into(), incarnation, removed: true, ..WorkerReport::default() }
    }
}

/// The identity of a drain or removal of one incarnation of a worker. Of two keys of the same worker, the
/// greater key supersedes the other.
///
/// A key is encoded as the tuple of its fields: a derived encoding would write other bytes than those of the
/// golden files.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RemovalKey {
    /// The ID of the worker.
    pub worker_id: String,
    /// The incarnation of the worker.
    pub incarnation: Incarnation,
    /// True for a removal, false for a drain.
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

/// Messages that disseminate heartbeats, updates, worker reports and removals.
///
/// The number of each variant is its tag on the wire, unique among the variants of all message enums; see
/// [`Message`](super::Message).
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
#[musli(name(type = usize))]
pub enum DisseminationMessage {
    /// The sender's knowledge of nodes.
    #[musli(name = 0)]
    Gossip {
        /// Heartbeats of nodes whose incarnation the receiver presumably knows.
        heartbeats: Vec<Heartbeat>,
        /// Full records of nodes.
        records: Vec<PeerRecord>,
        /// Nodes whose records the sender requests.
        unknown_nodes: Vec<NodeId>,
        /// Whether the receiver should gossip in reply.
        wants_reply: bool,
        /// A hash of the incarnations that the sender knows; 0 if the message carries no hash.
        #[musli(default)]
        incarnation_set: u64,
        /// The low two bytes of the heartbeat of each of these incarnations, for a receiver with the same hash.
        #[musli(default, bytes)]
        compact_heartbeats: Vec<u8>,
    },

    /// Subscribes to updates on some topics.
    #[musli(name = 11)]
    Subscribe {
        /// The sequence number of this subscription.
        seq: u64,
        /// One more than the version that the subscriber holds; 0 for none.
        next_version: Version,
        /// The change index up to which the subscriber has received the publisher's changes.
        from_index: u64,
        /// The publisher's incarnation that assigned this index.
        incarnation: Incarnation,
        /// The subscribed topics: pools and the configuration.
        topics: Vec<String>,
    },

    /// The changes since the last update to a subscriber.
    #[musli(name = 12)]
    Update {
        /// The sequence number of the newest subscription, which this update answers.
        request_seq: u64,
        /// The time from the receipt of that subscription to this update, in microseconds.
        answered_after: Micros,
        /// The time since a majority confirmed the version, in microseconds; none if unknown.
        confirmed_age: Option<Micros>,
        /// The newest version that the publisher holds; 0 also if it holds none.
        version: Version,
        /// The versions between the subscriber's and `entry`, as patches, if these lead to `entry`.
        #[musli(default)]
        preceding: Vec<LogEntry>,
        /// The newest entry, if the subscriber does not hold it.
        entry: Option<LogEntry>,
        /// The change index up to which the subscriber has the publisher's changes after this update.
        change_index: u64,
        /// Whether every live worker has reported to the publisher or to the nodes that it subscribes to.
        is_complete: bool,
        /// The reports that changed since the last update.
        reports: Vec<WorkerReport>,
    },

    /// Worker reports, for the home nodes of the workers' pools.
    #[musli(name = 13)]
    Reports {
        /// The reports, in the order in which they were received.
        reports: Vec<WorkerReport>,
    },

    /// Reports of workers that accept no more requests, sent to every live node at once.
    #[musli(name = 14)]
    Removals {
        /// The last reports of these workers.
        reports: Vec<WorkerReport>,
    },

    /// Acknowledges the receipt of removals.
    #[musli(name = 15)]
    RemovalsReceived {
        /// The keys of the received removals.
        keys: Vec<RemovalKey>,
    },

    /// Announces removals that all live nodes know.
    #[musli(name = 16)]
    RemovalsKnownByAll {
        /// The keys of these removals.
        keys: Vec<RemovalKey>,
    },

    /// Requests a reading of the receiver's clock.
    #[musli(name = 43)]
    ClockRequest {
        /// The ID of this request.
        request_id: u64,
    },

    /// Answers a [`ClockRequest`](DisseminationMessage::ClockRequest); the reading is `sent_at` of the frame.
    #[musli(name = 44)]
    ClockReply {
        /// The ID of the request.
        request_id: u64,
    },
}

impl DisseminationMessage {
    /// Returns the name of the message kind, for logs and traces.
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
