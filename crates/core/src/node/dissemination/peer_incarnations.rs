//! Which life of each peer this node has heard itself.
//!
//! A process that starts anew knows nothing of the connections of its former life. Where that ended
//! by a loss of power, nobody was told, and what is written into such a connection is lost
//! until the sender's kernel gives it up, a second or more later. The first frame of the new life shows that it is dead.

use crate::base::{Incarnation, NodeId};
use crate::node::{Effect, Node};
use crate::peers::PeerTable;
use crate::protocol::{DisseminationMessage, Frame, Message};
use std::collections::BTreeMap;

/// The life that was last heard of each peer, and the peer that was last heard at each address.
#[derive(Clone, Debug, Default)]
pub(in crate::node) struct PeerIncarnations {
    heard: BTreeMap<NodeId, Incarnation>,
    at: BTreeMap<String, NodeId>,
}

impl PeerIncarnations {
    /// Notes that this life spoke; true where another one was known at its address before.
    fn replaces(&mut self, (node, life): (NodeId, Incarnation), address: &str, ring: &PeerTable) -> bool {
        let known = match self.at.get(address) {
            Some(before) if *before == node => self.heard.get(&node).is_some_and(|l| *l < life),
            Some(_) => true,
            None => {
                let at_address = ring.entries.values().filter(|s| s.record.addr == address);
                at_address.map(|s| (s.record.node_id, s.record.incarnation)).any(|other| other != (node, life))
            }
        };
        self.heard.insert(node, life);
        self.at.insert(address.to_owned(), node);
        known
    }

    /// Forgets whom the ring forgot.
    pub fn expire(&mut self, ring: &PeerTable) {
        self.heard.retain(|node, _| ring.entries.contains_key(node));
        self.at.retain(|_, node| self.heard.contains_key(node));
    }
}

impl Node {
    /// Has connections to a former life of the sender opened anew, before anything is answered.
    pub(in crate::node) fn on_frame_from_incarnation(&mut self, f: &Frame) {
        if self.dissemination.peer_incarnations.heard.get(&f.from).is_some_and(|life| *life >= f.incarnation) {
            return;
        }
        let Some((address, is_core)) = self.address_of_sender(f) else { return };
        if !self.dissemination.peer_incarnations.replaces((f.from, f.incarnation), &address, &self.dissemination.peers)
        {
            return;
        }
        self.counters.peers_restarted += 1;
        self.outbox.push(Effect::Reconnect { to: address });
        // What was asked of the former life is not answered any more.
        if is_core && !self.voter() {
            self.dissemination.workers.subscribe_due = 0;
        }
    }

    /// Where the sender of a frame listens, by its own word or as it was known, and whether it is a core.
    fn address_of_sender(&self, f: &Frame) -> Option<(String, bool)> {
        let own_row = match &f.message {
            Message::Dissemination(DisseminationMessage::Gossip { records: rows, .. }) => {
                rows.iter().find(|p| p.node_id == f.from)
            }
            _ => None,
        };
        let known = || self.dissemination.peers.entries.get(&f.from).map(|s| &s.record);
        own_row.or_else(known).map(|p| (p.addr.clone(), p.is_core))
    }
}
