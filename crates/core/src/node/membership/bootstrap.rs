//! The founding of a fleet by its seeds.

use crate::base::{ChangeId, MS, Micros, NodeId, SEC, Version, hash64};
use crate::consensus::DurableWrite;
use crate::node::Node;
use crate::protocol::{ConsensusMessage, LogEntry, MembershipMessage, Message, Voter};

const EVERY: Micros = 300 * MS;

/// What a seed said while there was no version yet.
#[derive(Clone, Debug)]
pub(in crate::node) struct BootstrapPeer {
    core: Voter,
    pledge: Vec<Voter>,
    at: Micros,
}

impl Node {
    /// A fleet is founded once: when all seeds are cores without a version,
    /// each pledges to the same set on disk, and all heard all pledges.
    pub(in crate::node) fn tick_bootstrap(&mut self, now: Micros) {
        if !self.settings.is_core || self.version().is_some() || now < self.membership.bootstrap_due {
            return;
        }
        self.membership.bootstrap_due = now + EVERY;
        let msg = Message::Membership(MembershipMessage::Bootstrap {
            sender: self.as_voter(),
            version: None,
            vote: self.synced_bootstrap_vote(),
            may_bootstrap: self.settings.may_bootstrap,
        });
        let mut to = self.settings.seeds.clone();
        to.extend(self.dissemination.peers.live(now).filter(|p| p.is_core).map(|p| p.addr.clone()));
        to.sort_unstable();
        to.dedup();
        for s in to {
            self.send_to_address(&s, msg.clone(), now);
        }
    }

    fn synced_bootstrap_vote(&self) -> Vec<Voter> {
        if self.outbox.is_synced() { self.consensus.state.bootstrap_vote.clone() } else { Vec::new() }
    }

    pub(in crate::node) fn on_bootstrap(
        &mut self,
        by: NodeId,
        core: Voter,
        version: Option<Version>,
        (pledge, first): (Vec<Voter>, bool),
        now: Micros,
    ) {
        if self.version().is_some() {
            if by != self.settings.node_id && version.is_none() {
                let decrees = self.consensus.state.newest_self_contained().into_iter().collect();
                self.send_to_address(
                    &core.addr.clone(),
                    Message::Consensus(ConsensusMessage::Replicate { entries: decrees }),
                    now,
                );
            }
            return;
        }
        if !self.settings.is_core
            || !self.settings.may_bootstrap
            || !first
            || core.node_id != by
            || !self.settings.seeds.contains(&core.addr)
        {
            return;
        }
        self.membership.bootstrap_peers.insert(core.addr.clone(), BootstrapPeer { core, pledge, at: now });
        self.membership.bootstrap_peers.retain(|_, h| now.saturating_sub(h.at) < 2 * SEC);
        if !self.settings.seeds.contains(&self.settings.addr)
            || self.membership.bootstrap_peers.len() < self.settings.seeds.len()
        {
            return;
        }
        let mut set: Vec<_> = self.membership.bootstrap_peers.values().map(|h| h.core.clone()).collect();
        set.sort();
        if self.consensus.state.bootstrap_vote.is_empty() {
            self.consensus.state.bootstrap_vote.clone_from(&set);
            self.persist(vec![DurableWrite::BootstrapVote(set)], Vec::new());
            return;
        }
        if self.consensus.state.bootstrap_vote != set {
            self.counters.bootstrap_split += 1;
            return;
        }
        if self.membership.bootstrap_peers.values().all(|h| h.pledge == set) {
            let text: String = set.iter().map(|c| format!("{}@{};", c.node_id, c.addr)).collect();
            let d = LogEntry {
                version: 0,
                change_id: ChangeId(0),
                fleet_id: hash64(text.as_bytes()).max(1),
                voters_since: 0,
                previous_voters: Vec::new(),
                voters: set,
                revision: 0,
                body: "{}".into(),
                patch: None,
                compressed: Vec::new(),
            };
            self.apply_entry(d, now);
        }
    }
}
