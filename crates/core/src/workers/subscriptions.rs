//! The progress of subscriptions to reports of workers and to the configuration.

use crate::base::{Incarnation, Micros};
use std::collections::BTreeMap;

/// The progress of this node's subscription to another node.
#[derive(Clone, Debug, Default)]
pub struct Upstream {
    /// The change index up to which this node has the upstream's changes.
    pub change_index: u64,
    /// The incarnation of the upstream that `change_index` belongs to.
    pub incarnation: Incarnation,
    /// Whether every live worker has reported to the upstream or to the nodes that the upstream subscribes to.
    pub is_complete: bool,
    /// The sending time of each recent request, by its number, in microseconds.
    pub sent_requests: BTreeMap<u64, Micros>,
}

/// The progress of another node's subscription to this node.
#[derive(Clone, Debug)]
pub struct Subscriber {
    /// The number of the subscriber's newest request.
    pub request_seq: u64,
    /// When that request was received, in microseconds.
    pub subscribed_at: Micros,
    /// The change index up to which this node's changes were sent to the subscriber.
    pub sent_index: u64,
    /// One more than the subscriber's configuration version; 0 for none.
    pub next_version: u64,
    /// The topics that the subscriber requested.
    pub topics: Vec<String>,
}
