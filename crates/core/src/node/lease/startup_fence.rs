//! How a voter that has just started learns that no lease of its earlier incarnation is valid any more.
//!
//! A voter keeps no lease on its disk, so after a start it grants no new one until any that it granted
//! before must have expired: the start-up fence, [`LeaseGrantor::fence_until`]. Where every core that may
//! hold a lease replies that it holds none, such as after a loss of power of all of them, there is nothing
//! to wait for, and the fence is lifted early.
//!
//! Why that is safe: a core that replied so counts no vote of the voter's former incarnations from then on,
//! neither those that it has counted for an open request nor those that are in transit. So it can win a
//! lease only by votes that the new incarnation knows of.
//!
//! [`LeaseGrantor::fence_until`]: crate::lease::LeaseGrantor::fence_until

use crate::base::{Incarnation, MS, Micros, NodeId};
use crate::node::Node;
use crate::protocol::{LeaseMessage, Message};
use std::collections::{BTreeMap, BTreeSet};

/// How often the possible holders that have not replied are queried again, in microseconds.
const QUERY_INTERVAL: Micros = 50 * MS;

/// What a node learned of leases that former incarnations of voters granted: as the voter, and as a
/// possible holder.
#[derive(Clone, Debug, Default)]
pub(in crate::node) struct StartupFence {
    /// When the possible holders are queried next, in microseconds.
    next_query_at: Micros,
    /// Identifies the query of this incarnation, so that replies to an earlier one don't count; 0 until
    /// the first query.
    query_id: u64,
    /// The nodes that replied to this incarnation that they hold no lease.
    without_leases: BTreeSet<NodeId>,
    /// The incarnations of voters that this node replied to that it holds no lease. Invariant: no vote of
    /// an earlier incarnation of these voters is counted.
    answered: BTreeMap<NodeId, Incarnation>,
}

impl Node {
    /// All other cores to which an earlier incarnation of this voter may have granted a lease: it granted
    /// them under versions that it has in its log.
    fn possible_holders(&self) -> BTreeSet<NodeId> {
        let entries = self.consensus.state.history.values();
        entries
            .flat_map(|entry| entry.voters.iter().chain(&entry.previous_voters))
            .map(|voter| voter.node_id)
            .filter(|node| *node != self.settings.node_id)
            .collect()
    }

    /// Queries all possible holders, until all have replied that they hold no lease or the fence expires.
    pub(in crate::node) fn tick_startup_fence(&mut self, now: Micros) {
        let is_fenced = now < self.leases.grantor.fence_until;
        if !self.voter() || !is_fenced || now < self.leases.startup_fence.next_query_at {
            return;
        }
        self.leases.startup_fence.next_query_at = now + QUERY_INTERVAL;
        if self.leases.startup_fence.query_id == 0 {
            self.leases.startup_fence.query_id = self.next_request_id();
        }
        let query_id = self.leases.startup_fence.query_id;
        let mut holders = self.possible_holders();
        if holders.is_empty() {
            self.leases.grantor.fence_until = now;
        }
        holders.retain(|node| !self.leases.startup_fence.without_leases.contains(node));
        for node in holders {
            self.send(node, Message::Lease(LeaseMessage::HeldLeasesQuery { query_id }), now);
        }
    }

    /// Replies that this core holds no lease, or not at all. What it has requested meanwhile is won without
    /// the votes of the voter's former incarnations, including those in transit.
    pub(super) fn on_held_leases_query(&mut self, from: (NodeId, Incarnation), query_id: u64, now: Micros) {
        let holds_none = self.leases.held.by_role.values().all(|lease| lease.expires_at <= now);
        if !self.settings.is_core || !holds_none || self.is_former_incarnation(from) {
            return;
        }
        let (voter, incarnation) = from;
        if self.leases.startup_fence.answered.insert(voter, incarnation) != Some(incarnation) {
            for open_request in self.leases.held.by_role.values_mut().filter_map(|lease| lease.open_request.as_mut()) {
                open_request.granted_by.remove(&voter);
            }
        }
        self.send(voter, Message::Lease(LeaseMessage::NoHeldLeases { query_id }), now);
    }

    /// Whether a newer incarnation of this voter was told that this core holds no lease, so that votes of
    /// the given one don't count.
    pub(super) fn is_former_incarnation(&self, (voter, incarnation): (NodeId, Incarnation)) -> bool {
        self.leases.startup_fence.answered.get(&voter).is_some_and(|answered| *answered > incarnation)
    }

    /// A core replied that it holds no lease: once all did, the fence is lifted.
    pub(super) fn on_no_held_leases(&mut self, from: NodeId, query_id: u64, now: Micros) {
        if query_id != self.leases.startup_fence.query_id || now >= self.leases.grantor.fence_until {
            return;
        }
        self.leases.startup_fence.without_leases.insert(from);
        if self.possible_holders().is_subset(&self.leases.startup_fence.without_leases) {
            self.leases.grantor.fence_until = now;
        }
    }
}
