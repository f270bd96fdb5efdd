//! The start-up fence: a restarted voter proves that no lease of its earlier incarnations is valid.
//!
//! A voter keeps no leases on its disk, so after a start it grants no new lease until every lease that it may
//! have granted before has expired: the start-up fence, [`LeaseGrantor::startup_fence_until`]. If every core that may
//! hold a lease replies that it holds none, for example after a power loss of all cores, the fence is lifted
//! early.
//!
//! Why this is safe: after such a reply, a core counts no vote of the voter's former incarnations, neither
//! those already counted for an open request nor those in transit. It can win a lease only by votes that the
//! new incarnation knows of.
//!
//! [`LeaseGrantor::startup_fence_until`]: crate::lease::LeaseGrantor::startup_fence_until

use crate::base::{Incarnation, MS, Micros, NodeId};
use crate::node::Node;
use crate::protocol::{LeaseMessage, Message};
use std::collections::{BTreeMap, BTreeSet};

/// The interval at which possible holders that have not replied are queried again, in microseconds.
const QUERY_INTERVAL: Micros = 50 * MS;

/// The state of the start-up fence: as the voter that queries, and as a possible holder that replies.
#[derive(Clone, Debug, Default)]
pub(in crate::node) struct StartupFence {
    /// When the next queries are sent, in microseconds.
    next_query_at: Micros,
    /// The identifier of this incarnation's query, by which replies to an earlier incarnation are ignored; 0
    /// before the first query.
    query_id: u64,
    /// The nodes that told this incarnation that they hold no lease.
    without_leases: BTreeSet<NodeId>,
    /// The incarnations of voters that this node told that it holds no lease. Invariant: no vote of an
    /// earlier incarnation of these voters is counted.
    answered: BTreeMap<NodeId, Incarnation>,
}

impl Node {
    /// Returns all other cores to which an earlier incarnation of this voter may have granted a lease: the
    /// voters of every version in the log.
    fn possible_holders(&self) -> BTreeSet<NodeId> {
        let entries = self.consensus.state.history.values();
        entries
            .flat_map(|entry| entry.voters.iter().chain(&entry.previous_voters))
            .map(|voter| voter.node_id)
            .filter(|node| *node != self.settings.node_id)
            .collect()
    }

    /// Queries the possible holders until all have replied that they hold no lease, or the fence expires.
    pub(in crate::node) fn tick_startup_fence(&mut self, now: Micros) {
        let is_fenced = now < self.leases.grantor.startup_fence_until;
        if !self.is_voter() || !is_fenced || now < self.leases.startup_fence.next_query_at {
            return;
        }
        self.leases.startup_fence.next_query_at = now + QUERY_INTERVAL;
        if self.leases.startup_fence.query_id == 0 {
            self.leases.startup_fence.query_id = self.next_request_id();
        }
        let query_id = self.leases.startup_fence.query_id;
        let mut holders = self.possible_holders();
        if holders.is_empty() {
            self.leases.grantor.startup_fence_until = now;
        }
        holders.retain(|node| !self.leases.startup_fence.without_leases.contains(node));
        for node in holders {
            self.send(node, Message::Lease(LeaseMessage::HeldLeasesQuery { query_id }), now);
        }
    }

    /// Replies that this core holds no lease; sends no reply if it holds one. Open requests drop the votes of
    /// the voter's former incarnations, and later ones ignore those still in transit.
    pub(super) fn on_held_leases_query(&mut self, from: (NodeId, Incarnation), query_id: u64, now: Micros) {
        let holds_none = self.leases.held.by_role.values().all(|lease| lease.expires_at <= now);
        if !self.settings.is_core || !holds_none || self.is_former_incarnation(from) {
            return;
        }
        let (voter, incarnation) = from;
        if self.leases.startup_fence.answered.insert(voter, incarnation) != Some(incarnation) {
            for pending_request in
                self.leases.held.by_role.values_mut().filter_map(|lease| lease.pending_request.as_mut())
            {
                pending_request.granted_by.remove(&voter);
            }
        }
        self.send(voter, Message::Lease(LeaseMessage::NoHeldLeases { query_id }), now);
    }

    /// Returns whether this core told a newer incarnation of the voter that it holds no lease. Votes of the
    /// given incarnation must then be ignored.
    pub(super) fn is_former_incarnation(&self, (voter, incarnation): (NodeId, Incarnation)) -> bool {
        self.leases.startup_fence.answered.get(&voter).is_some_and(|answered| *answered > incarnation)
    }

    /// Records a core's reply that it holds no lease. Lifts the fence once all possible holders have replied.
    pub(super) fn on_no_held_leases(&mut self, from: NodeId, query_id: u64, now: Micros) {
        if query_id != self.leases.startup_fence.query_id || now >= self.leases.grantor.startup_fence_until {
            return;
        }
        self.leases.startup_fence.without_leases.insert(from);
        if self.possible_holders().is_subset(&self.leases.startup_fence.without_leases) {
            self.leases.grantor.startup_fence_until = now;
        }
    }
}
