//! The bootstrap of a fleet by its seeds.
//!
//! Guarantees that the seeds found at most one fleet. Each seed votes once, on its disk, for the set of nodes
//! that it found at the addresses of the seeds, and announces the vote only once it is synced. A node that
//! received the same vote from every seed founds the fleet, so no two different sets can both found one.
//! While seeds are missing, or voted for different sets, no fleet is founded; a split vote is counted in
//! `bootstrap_split` and must be resolved by the operator.

use super::BootstrapAnnouncement;
use crate::base::{ChangeId, MS, Micros, NodeId, SEC, Version, hash64};
use crate::consensus::DurableWrite;
use crate::node::Node;
use crate::protocol::{ConsensusMessage, LogEntry, MembershipMessage, Message, Voter};

/// The interval at which a core without a version announces its vote, in microseconds.
const ANNOUNCE_INTERVAL: Micros = 300 * MS;
/// The time for which an announcement is valid, in microseconds.
const ANNOUNCEMENT_TIMEOUT: Micros = 2 * SEC;
/// The first version of a fleet.
const FIRST_VERSION: Version = 0;

/// A seed's announcement from before the first version.
#[derive(Clone, Debug)]
pub(in crate::node) struct BootstrapPeer {
    /// The seed.
    voter: Voter,
    /// The set of voters that the seed voted for; empty if the seed has not voted or its vote is not synced.
    vote: Vec<Voter>,
    /// When the announcement was received, in microseconds.
    received_at: Micros,
}

impl Node {
    /// Announces this core's vote to all seeds and all live cores, as long as it has no version.
    pub(in crate::node) fn tick_bootstrap(&mut self, now: Micros) {
        if !self.settings.is_core || self.version().is_some() || now < self.membership.bootstrap_due {
            return;
        }
        self.membership.bootstrap_due = now + ANNOUNCE_INTERVAL;
        let announcement = Message::Membership(MembershipMessage::Bootstrap {
            sender: self.as_voter(),
            version: None,
            vote: self.synced_bootstrap_vote(),
            may_bootstrap: self.settings.may_bootstrap,
        });
        let mut addresses = self.settings.seeds.clone();
        let live_cores = self.dissemination.peers.live(now).filter(|peer| peer.is_core);
        addresses.extend(live_cores.map(|peer| peer.addr.clone()));
        addresses.sort_unstable();
        addresses.dedup();
        for address in addresses {
            self.send_to_address(&address, announcement.clone(), now);
        }
    }

    fn synced_bootstrap_vote(&self) -> Vec<Voter> {
        if self.outbox.is_synced() { self.consensus.state.bootstrap_vote.clone() } else { Vec::new() }
    }

    /// Replicates the newest version to a node that has none or, without a version here, records a seed's
    /// announcement.
    pub(super) fn on_bootstrap(&mut self, from: NodeId, announcement: BootstrapAnnouncement, now: Micros) {
        if self.version().is_some() {
            if from != self.settings.node_id && announcement.version.is_none() {
                self.replicate_newest_to(&announcement.sender.addr, now);
            }
        } else if self.is_bootstrap_peer(from, &announcement) {
            self.record_bootstrap_peer(announcement, now);
            self.advance_bootstrap(now);
        }
    }

    fn replicate_newest_to(&mut self, address: &str, now: Micros) {
        let entries = self.consensus.state.newest_self_contained().into_iter().collect();
        self.send_to_address(address, Message::Consensus(ConsensusMessage::Replicate { entries }), now);
    }

    /// Returns whether the announcement is from a seed with which this core may found a fleet.
    fn is_bootstrap_peer(&self, from: NodeId, announcement: &BootstrapAnnouncement) -> bool {
        let BootstrapAnnouncement { sender, may_bootstrap, .. } = announcement;
        let is_seed = sender.node_id == from && self.settings.seeds.contains(&sender.addr);
        self.settings.is_core && self.settings.may_bootstrap && *may_bootstrap && is_seed
    }

    fn record_bootstrap_peer(&mut self, announcement: BootstrapAnnouncement, now: Micros) {
        let BootstrapAnnouncement { sender: voter, vote, .. } = announcement;
        let peers = &mut self.membership.bootstrap_peers;
        peers.insert(voter.addr.clone(), BootstrapPeer { voter, vote, received_at: now });
        peers.retain(|_, peer| now.saturating_sub(peer.received_at) < ANNOUNCEMENT_TIMEOUT);
    }

    /// Votes once all seeds have announced themselves, and founds the fleet once all of them voted for the
    /// same set.
    fn advance_bootstrap(&mut self, now: Micros) {
        let seeds = &self.settings.seeds;
        if !seeds.contains(&self.settings.addr) || self.membership.bootstrap_peers.len() < seeds.len() {
            return;
        }
        let mut voters: Vec<_> = self.membership.bootstrap_peers.values().map(|peer| peer.voter.clone()).collect();
        voters.sort();
        if self.consensus.state.bootstrap_vote.is_empty() {
            self.consensus.state.bootstrap_vote.clone_from(&voters);
            self.persist(vec![DurableWrite::BootstrapVote(voters)], Vec::new());
            return;
        }
        if self.consensus.state.bootstrap_vote != voters {
            self.counters.bootstrap_split += 1;
            return;
        }
        if self.membership.bootstrap_peers.values().all(|peer| peer.vote == voters) {
            self.apply_entry(first_entry(voters), now);
        }
    }
}

/// Returns the log entry that founds a fleet. Every seed derives the same entry from the set of voters.
fn first_entry(voters: Vec<Voter>) -> LogEntry {
    let text: String = voters.iter().map(|voter| format!("{}@{};", voter.node_id, voter.addr)).collect();
    LogEntry {
        version: FIRST_VERSION,
        change_id: ChangeId(0),
        fleet_id: hash64(text.as_bytes()).max(1),
        voters_since: FIRST_VERSION,
        previous_voters: Vec::new(),
        voters,
        revision: 0,
        body: "{}".into(),
        patch: None,
        compressed: Vec::new(),
    }
}
