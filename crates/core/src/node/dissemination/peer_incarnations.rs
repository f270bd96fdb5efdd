//! Which incarnation of each peer sent frames to this node.
//!
//! A process that restarts knows nothing of the connections of its former incarnation. If that ended by a
//! loss of power, no peer was notified, and what is written into such a connection is lost until the
//! sender's kernel gives it up, a second or more later. The first frame of the new incarnation shows that
//! the old connection is dead.

use crate::base::{Incarnation, NodeId};
use crate::node::{Effect, Node};
use crate::peers::PeerTable;
use crate::protocol::{DisseminationMessage, Frame, Message};
use std::collections::BTreeMap;

/// The newest incarnation that sent a frame, of each peer, and the peer that sent the last one from each
/// address.
#[derive(Clone, Debug, Default)]
pub(in crate::node) struct PeerIncarnations {
    newest: BTreeMap<NodeId, Incarnation>,
    /// Every peer here is in `newest` too.
    by_address: BTreeMap<String, NodeId>,
}

impl PeerIncarnations {
    /// Notes that an incarnation sent a frame; whether another one was known at its address before.
    fn record(&mut self, node_id: NodeId, incarnation: Incarnation, address: &str, peers: &PeerTable) -> bool {
        let replaces_another =
            match self.by_address.get(address) {
                Some(known) if *known == node_id => self.newest.get(&node_id).is_some_and(|known| *known < incarnation),
                Some(_) => true,
                None => peers.entries.values().map(|entry| &entry.record).any(|record| {
                    record.addr == address && (record.node_id, record.incarnation) != (node_id, incarnation)
                }),
            };
        self.newest.insert(node_id, incarnation);
        self.by_address.insert(address.to_owned(), node_id);
        replaces_another
    }

    /// Forgets peers that are not in the table any more.
    pub fn expire(&mut self, peers: &PeerTable) {
        self.newest.retain(|node_id, _| peers.entries.contains_key(node_id));
        self.by_address.retain(|_, node_id| self.newest.contains_key(node_id));
    }
}

impl Node {
    /// Has connections to a former incarnation of the sender opened anew, before anything is answered.
    pub(in crate::node) fn on_frame_from_incarnation(&mut self, frame: &Frame) {
        let newest = self.dissemination.peer_incarnations.newest.get(&frame.from);
        if newest.is_some_and(|incarnation| *incarnation >= frame.incarnation) {
            return;
        }
        let Some((address, is_core)) = self.address_of_sender(frame) else { return };
        let dissemination = &mut self.dissemination;
        let replaces_another =
            dissemination.peer_incarnations.record(frame.from, frame.incarnation, &address, &dissemination.peers);
        if !replaces_another {
            return;
        }
        self.counters.peers_restarted += 1;
        self.outbox.push(Effect::Reconnect { to: address });
        // Requests to the former incarnation are not answered any more.
        if is_core && !self.voter() {
            self.dissemination.workers.subscribe_due = 0;
        }
    }

    /// Where the sender of a frame listens, by its own record or as it was known, and whether it is a core.
    fn address_of_sender(&self, frame: &Frame) -> Option<(String, bool)> {
        let own_record = match &frame.message {
            Message::Dissemination(DisseminationMessage::Gossip { records, .. }) => {
                records.iter().find(|record| record.node_id == frame.from)
            }
            _ => None,
        };
        let known_record = || self.dissemination.peers.entries.get(&frame.from).map(|entry| &entry.record);
        own_record.or_else(known_record).map(|record| (record.addr.clone(), record.is_core))
    }
}
