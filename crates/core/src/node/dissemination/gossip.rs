//! Gossip: the spread of heartbeats and records of nodes among all nodes.
//!
//! Each node gossips every [`GOSSIP_INTERVAL`](peers::GOSSIP_INTERVAL) to a few targets and requests their
//! gossip in reply. Two nodes that know the same incarnations exchange compact heartbeats of two bytes per
//! node; others exchange deltas. A node without a configuration contacts its seeds more often.

use crate::base::{MS, Micros, NodeId, SEC};
use crate::node::Node;
use crate::peers::{self, Delta, HeartbeatStamp};
use crate::protocol::{DisseminationMessage, Heartbeat, Message, PeerRecord};

/// The number of heartbeats after which one target is drawn among all nodes, so that partitions merge again.
const RANDOM_TARGET_INTERVAL: u64 = 4;
/// The interval at which a restarted node without a configuration contacts the seeds, in microseconds: it
/// serves no calls until then.
const GREETING_INTERVAL: Micros = 100 * MS;
/// The time after its start for which a core greets the nodes that are registered on its disk, in
/// microseconds: they may not detect by themselves that their connections to its former incarnation are dead.
const REGISTERED_GREETING_PERIOD: Micros = 2 * SEC;
/// The time without a frame after which a core is greeted again, in microseconds: it may have been replaced.
const CORE_FRAME_TIMEOUT: Micros = 2 * peers::GOSSIP_INTERVAL;

/// A gossip message from a peer.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReceivedGossip<'a> {
    /// The node that sent it.
    pub from: NodeId,
    /// Heartbeats of nodes that the sender assumes this node to know.
    pub heartbeats: &'a [Heartbeat],
    /// Full records of nodes.
    pub records: &'a [PeerRecord],
    /// Nodes whose records the sender requests.
    pub unknown_nodes: &'a [NodeId],
    /// Whether the sender requests this node's gossip in reply.
    pub wants_reply: bool,
    /// The hash of all incarnations that the sender knows.
    pub incarnation_set: u64,
    /// Compact heartbeats of those incarnations; empty if the sender sent a delta.
    pub compact_heartbeats: &'a [u8],
}

impl Node {
    fn own_record(&self) -> PeerRecord {
        PeerRecord {
            node_id: self.settings.node_id,
            incarnation: self.settings.incarnation,
            heartbeat: self.dissemination.heartbeat,
            addr: self.settings.addr.clone(),
            admin: self.settings.admin_addr.clone(),
            zone: self.settings.zone.clone(),
            is_core: self.settings.is_core,
            draining: self.is_draining,
            version: self.version().unwrap_or(0),
        }
    }

    fn advance_heartbeat(&mut self, now: Micros) {
        self.dissemination.heartbeat += 1;
        let record = self.own_record();
        self.dissemination.peers.merge(&record, now);
    }

    /// Advances this node's heartbeat and gossips, if that is due.
    pub(in crate::node) fn tick_gossip(&mut self, now: Micros) {
        if now < self.dissemination.peers.next_gossip_at {
            return;
        }
        let seeks_configuration = self.version().is_none() && !self.settings.may_bootstrap;
        let interval = if seeks_configuration { GREETING_INTERVAL } else { peers::GOSSIP_INTERVAL };
        self.dissemination.peers.next_gossip_at = now + interval;
        self.advance_heartbeat(now);
        for target in self.draw_gossip_targets(now) {
            self.gossip_to(target, true, Vec::new(), now);
        }
        for address in self.greeting_addresses(now) {
            if address != self.settings.addr && !self.needs_no_greeting(&address, now) {
                self.greet(&address, now);
            }
        }
    }

    /// Draws the gossip targets of this round, sorted and without duplicates.
    fn draw_gossip_targets(&mut self, now: Micros) -> Vec<NodeId> {
        let own_id = self.settings.node_id;
        let mut targets = self.dissemination.peers.gossip_targets(own_id, &self.settings.zone, now);
        if self.dissemination.heartbeat.is_multiple_of(RANDOM_TARGET_INTERVAL) {
            targets.extend(self.dissemination.peers.random_peer(own_id, &mut self.rng));
        }
        targets.sort_unstable();
        targets.dedup();
        targets
    }

    /// Returns the addresses whose nodes this node should know, sorted and without duplicates.
    fn greeting_addresses(&self, now: Micros) -> Vec<String> {
        // Seeds may be addresses of replaced machines; the newest version names the current cores.
        let mut addresses = self.settings.seeds.clone();
        addresses.extend(self.consensus.state.voters().iter().map(|voter| voter.addr.clone()));
        if now < self.clock.started_at + REGISTERED_GREETING_PERIOD {
            addresses.extend(self.registered_incarnations().into_iter().map(|registered| registered.addr));
        }
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }

    /// Sends this node's own record to the node at an address, whichever node that is.
    fn greet(&mut self, address: &str, now: Micros) {
        let greeting = DisseminationMessage::Gossip {
            heartbeats: Vec::new(),
            records: vec![self.own_record()],
            unknown_nodes: Vec::new(),
            wants_reply: true,
            incarnation_set: self.dissemination.peers.incarnation_set(now),
            compact_heartbeats: Vec::new(),
        };
        self.send_to_address(address, Message::Dissemination(greeting), now);
    }

    /// Returns whether the node at this address need not be greeted. A core that sends no frames may have
    /// been replaced by a node that knows no peers.
    fn needs_no_greeting(&self, addr: &str, now: Micros) -> bool {
        let mut at_address = self.dissemination.peers.entries.values().filter(|entry| entry.record.addr == addr);
        let is_voter_address = self.settings.manages_voters
            && self.is_voter()
            && self.consensus.state.voters().iter().any(|voter| voter.addr == addr);
        let is_unresponsive_core = |entry: &peers::PeerEntry| {
            is_voter_address && now.saturating_sub(entry.last_contact_at) > CORE_FRAME_TIMEOUT
        };
        at_address
            .any(|entry| self.dissemination.peers.is_alive(entry.record.node_id, now) && !is_unresponsive_core(entry))
    }

    fn gossip_to(&mut self, to: NodeId, wants_reply: bool, unknown_nodes: Vec<NodeId>, now: Micros) {
        let peers = &mut self.dissemination.peers;
        let incarnation_set = peers.incarnation_set(now);
        let (delta, compact_heartbeats) = if peers.incarnation_sets.get(&to) == Some(&incarnation_set) {
            let delta = Delta { heartbeats: peers.recent_changes(now), records: Vec::new() };
            (delta, peers.compact_heartbeats(now))
        } else {
            (peers.delta(to, now), Vec::new())
        };
        let is_empty = delta.heartbeats.is_empty()
            && delta.records.is_empty()
            && unknown_nodes.is_empty()
            && compact_heartbeats.is_empty();
        if is_empty && !wants_reply {
            return;
        }
        let gossip = DisseminationMessage::Gossip {
            heartbeats: delta.heartbeats,
            records: delta.records,
            unknown_nodes,
            wants_reply,
            incarnation_set,
            compact_heartbeats,
        };
        self.send(to, Message::Dissemination(gossip), now);
    }

    /// Handles a greeting: a frame that names no receiver, because its sender knows no node at this address.
    ///
    /// Earlier records for the sender were lost, or went to an incarnation that has forgotten them, so all
    /// records are sent again. Otherwise neither side would send this node's record: this node assumes that
    /// the sender has it, and the sender has no address to request it from.
    pub(in crate::node) fn on_greeting(&mut self, from: NodeId) {
        self.dissemination.peers.reset_peer(from);
        self.dissemination.peers.incarnation_sets.remove(&from);
    }

    /// Merges the gossip of a peer, and replies if the peer requests it or either side lacks records.
    pub(super) fn on_gossip(&mut self, gossip: &ReceivedGossip<'_>, now: Micros) {
        let from = gossip.from;
        let is_new_peer = !self.dissemination.peers.entries.contains_key(&from);
        let (has_newer_version, unknown_here) = self.merge_gossip(gossip, now);
        self.dissemination.peers.record_contact(from, now);
        if !gossip.compact_heartbeats.is_empty() {
            self.dissemination.peers.merge_compact_heartbeats(
                self.settings.node_id,
                gossip.incarnation_set,
                gossip.compact_heartbeats,
                now,
            );
        }
        self.dissemination.peers.incarnation_sets.insert(from, gossip.incarnation_set);
        if has_newer_version && !self.is_voter() {
            self.dissemination.workers.next_subscribe_at = now;
        }
        if is_new_peer {
            self.dissemination.peers.reset_peer(from);
        } else {
            self.dissemination.peers.forget_sent_nodes(from, gossip.unknown_nodes);
        }
        self.record_received_gossip(gossip);
        if gossip.wants_reply || !unknown_here.is_empty() || !gossip.unknown_nodes.is_empty() {
            self.gossip_to(from, false, unknown_here, now);
        }
    }

    /// Merges records and heartbeats of other nodes. Returns whether one of them has a newer version than
    /// this node, and the nodes whose records must be requested.
    fn merge_gossip(&mut self, gossip: &ReceivedGossip<'_>, now: Micros) -> (bool, Vec<NodeId>) {
        let own_id = self.settings.node_id;
        let own_version = self.version();
        let is_newer = |version| own_version.is_none_or(|own| version > own);
        let (mut has_newer_version, mut unknown_here) = (false, Vec::new());
        for record in gossip.records.iter().filter(|record| record.node_id != own_id) {
            has_newer_version |= self.dissemination.peers.merge(record, now) && is_newer(record.version);
        }
        for heartbeat in gossip.heartbeats.iter().filter(|heartbeat| heartbeat.node_id != own_id) {
            match self.dissemination.peers.merge_heartbeat(heartbeat, now) {
                None => unknown_here.push(heartbeat.node_id),
                Some(has_advanced) => has_newer_version |= has_advanced && is_newer(heartbeat.version),
            }
        }
        (has_newer_version, unknown_here)
    }

    /// Records which heartbeats the sender knows. The heartbeat of a node that is unknown here does not
    /// count, since the record of that node is still to be received.
    fn record_received_gossip(&mut self, gossip: &ReceivedGossip<'_>) {
        let peers = &mut self.dissemination.peers;
        let heartbeats: Vec<_> = gossip
            .heartbeats
            .iter()
            .filter(|heartbeat| peers.entries.contains_key(&heartbeat.node_id))
            .map(|heartbeat| (heartbeat.node_id, HeartbeatStamp::from(heartbeat)))
            .collect();
        let records = gossip.records.iter().map(|record| (record.node_id, HeartbeatStamp::from(record)));
        peers.record_received(gossip.from, heartbeats.into_iter().chain(records));
    }

    /// Starts to drain and notifies all live nodes, so that they no longer rely on this node.
    pub(in crate::node) fn shut_down(&mut self, now: Micros) {
        self.is_draining = true;
        self.advance_heartbeat(now);
        let own_id = self.settings.node_id;
        let others: Vec<_> =
            self.dissemination.peers.live(now).map(|record| record.node_id).filter(|id| *id != own_id).collect();
        for node_id in others {
            self.gossip_to(node_id, false, Vec::new(), now);
        }
    }
}
