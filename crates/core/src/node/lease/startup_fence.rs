//! How a voter that has just started learns that no term of its earlier life runs any more.
//!
//! A voter keeps no term on its disk, so after a start it grants none until any that it granted
//! before has ended by time. Where every core that may hold one says that it holds none, such as
//! after a loss of power of all of them, there is nothing to wait for.

use crate::base::{Incarnation, MS, Micros, NodeId};
use crate::node::Node;
use crate::protocol::{LeaseMessage, Message};
use std::collections::{BTreeMap, BTreeSet};

const AGAIN: Micros = 50 * MS;

/// What a voter heard in its quiet time.
#[derive(Clone, Debug, Default)]
pub(in crate::node) struct StartupFence {
    due: Micros,
    /// Names the question of this life, so that answers to an earlier one say nothing.
    question: u64,
    /// Who said in this life that it holds no term.
    idle: BTreeSet<NodeId>,
    /// The lives of voters that were told that this core holds no term.
    lives: BTreeMap<NodeId, Incarnation>,
}

impl Node {
    /// All cores that an earlier life of this voter may have granted a term: it granted them under
    /// versions that it holds.
    fn possible_holders(&self) -> BTreeSet<NodeId> {
        let decrees = self.consensus.state.history.values();
        decrees
            .flat_map(|d| d.voters.iter().chain(&d.previous_voters))
            .map(|c| c.node_id)
            .filter(|n| *n != self.settings.node_id)
            .collect()
    }

    /// Asks all who may hold a term whether they do, until all said no or the time is over.
    pub(in crate::node) fn tick_startup_fence(&mut self, now: Micros) {
        if !self.voter() || now >= self.leases.grantor.fence_until || now < self.leases.startup_fence.due {
            return;
        }
        self.leases.startup_fence.due = now + AGAIN;
        if self.leases.startup_fence.question == 0 {
            self.leases.startup_fence.question = self.next_request_id();
        }
        let n = self.leases.startup_fence.question;
        let mut holders = self.possible_holders();
        if holders.is_empty() {
            self.leases.grantor.fence_until = now;
        }
        holders.retain(|core| !self.leases.startup_fence.idle.contains(core));
        for core in holders {
            self.send(core, Message::Lease(LeaseMessage::HeldLeasesQuery { query_id: n }), now);
        }
    }

    /// Says nothing where this core holds a term. What it asks for meanwhile is won without the
    /// votes of the voter's former lives, also those that are on their way.
    pub(in crate::node) fn on_held_leases_query(&mut self, by: (NodeId, Incarnation), n: u64, now: Micros) {
        let idle = self.leases.held.by_role.values().all(|h| h.expires_at <= now);
        if !self.settings.is_core || !idle || self.is_former_incarnation(by) {
            return;
        }
        if self.leases.startup_fence.lives.insert(by.0, by.1) != Some(by.1) {
            for (_, _, votes) in self.leases.held.by_role.values_mut().filter_map(|h| h.open_request.as_mut()) {
                votes.remove(&by.0);
            }
        }
        self.send(by.0, Message::Lease(LeaseMessage::NoHeldLeases { query_id: n }), now);
    }

    /// Whether this voter has asked since then in a newer life, which relies on the former votes
    /// not being counted.
    pub(in crate::node) fn is_former_incarnation(&self, by: (NodeId, Incarnation)) -> bool {
        self.leases.startup_fence.lives.get(&by.0).is_some_and(|incarnation| *incarnation > by.1)
    }

    pub(in crate::node) fn on_no_held_leases(&mut self, by: NodeId, n: u64, now: Micros) {
        if n != self.leases.startup_fence.question || now >= self.leases.grantor.fence_until {
            return;
        }
        self.leases.startup_fence.idle.insert(by);
        if self.possible_holders().is_subset(&self.leases.startup_fence.idle) {
            self.leases.grantor.fence_until = now;
        }
    }
}
