//! Detection of restarted peers by the incarnation of their frames.
//!
//! A restarted process knows nothing of the connections of its former incarnation. If that incarnation ended
//! by a loss of power, no peer was notified, and data written into such a connection is lost until the
//! sender's kernel gives the connection up, a second or more later. The first frame of the new incarnation
//! shows that the old connection is dead.

use crate::base::{Incarnation, NodeId};
use crate::node::{Effect, Node};
use crate::peers::PeerTable;
use crate::protocol::{DisseminationMessage, Frame, Message};
use std::collections::BTreeMap;

/// The newest incarnation of each peer that sent a frame, and the last peer that sent a frame from each
/// address.
#[derive(Clone, Debug, Default)]
pub(in crate::node) struct PeerIncarnations {
    newest: BTreeMap<NodeId, Incarnation>,
    /// Invariant: every peer here is also in `newest`.
    by_address: BTreeMap<String, NodeId>,
}

impl PeerIncarnations {
    /// Records that an incarnation sent a frame. Returns whether another incarnation or node was known at its
    /// address before.
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

    /// Drops peers that are no longer in the table.
    pub fn expire(&mut self, peers: &PeerTable) {
        self.newest.retain(|node_id, _| peers.entries.contains_key(node_id));
        self.by_address.retain(|_, node_id| self.newest.contains_key(node_id));
    }
}

impl Node {
    /// Requests new connections to a peer whose new incarnation sent this frame, before any message is
    /// answered.
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
        // Requests to the former incarnation will not be answered.
        if is_core && !self.is_voter() {
            self.dissemination.workers.next_subscribe_at = 0;
        }
    }

    /// Returns the address where the sender of a frame listens, from its own record or the known one, and
    /// whether the sender is a core.
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
