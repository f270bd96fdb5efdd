//! Removals for nodes that join or return after all live nodes knew them.
//!
//! Such a node may serve calls before any subscription of its own brings it a removal: both home nodes of its
//! zone may have joined with it, or were partitioned together with it. So each core sends every removal that it
//! still knows to each node that becomes live. One core does so at once; the others only if the node has not
//! confirmed the removals to that core soon.

use crate::base::{Incarnation, Micros, NodeId};
use crate::node::Node;
use crate::protocol::RemovalKey;
use crate::workers::removals::REMOVAL_TAKEOVER_DELAY;
use std::collections::{BTreeMap, BTreeSet};

/// The nodes that were live at the last tick, and their incarnations.
#[derive(Clone, Debug, Default)]
pub(in crate::node) struct RemovalCatchUp {
    live: BTreeMap<NodeId, Incarnation>,
}

/// A removal that is known already and has to reach a few more nodes.
struct KnownRemoval {
    key: RemovalKey,
    /// Whether all nodes that were live when the worker was removed know the removal.
    known_by_all: bool,
}

impl Node {
    /// Starts to send all known removals to the nodes that became live since the last tick.
    pub(in crate::node) fn tick_removal_catch_up(&mut self, now: Micros) {
        if !self.settings.is_core {
            return;
        }
        let joined = self.update_live_nodes(now);
        if joined.is_empty() {
            return;
        }
        let next_send_at = if self.is_first_live_core(now) { now } else { now + REMOVAL_TAKEOVER_DELAY };
        let live = self.dissemination.removal_catch_up.live.keys();
        let present: BTreeSet<NodeId> = live.filter(|node_id| !joined.contains(node_id)).copied().collect();
        for removal in self.known_removals() {
            self.send_removal_to_joined(&removal, &joined, &present, next_send_at, now);
        }
    }

    /// Records the nodes that are live now, and returns those that became live since the last tick.
    fn update_live_nodes(&mut self, now: Micros) -> BTreeSet<NodeId> {
        let live_before = &mut self.dissemination.removal_catch_up.live;
        let (mut joined, mut live_count) = (BTreeSet::new(), 0);
        for record in self.dissemination.peers.live(now) {
            live_count += 1;
            if live_before.get(&record.node_id) != Some(&record.incarnation) {
                joined.insert(record.node_id);
            }
        }
        if live_count != live_before.len() || !joined.is_empty() {
            let live = self.dissemination.peers.live(now).map(|record| (record.node_id, record.incarnation));
            *live_before = live.collect();
        }
        joined
    }

    fn is_first_live_core(&self, now: Micros) -> bool {
        let mut cores = self.dissemination.peers.live(now).filter(|record| record.is_core);
        cores.next().is_some_and(|record| record.node_id == self.settings.node_id)
    }

    fn known_removals(&self) -> Vec<KnownRemoval> {
        let entries = self.dissemination.workers.entries.values();
        entries
            .filter(|entry| entry.report.is_out_of_service())
            .map(|entry| KnownRemoval { key: entry.report.removal_key(), known_by_all: entry.known_by_all })
            .collect()
    }

    /// Sends a removal to the nodes that joined; if some nodes that were `present` before may not know it, to
    /// those as well.
    fn send_removal_to_joined(
        &mut self,
        removal: &KnownRemoval,
        joined: &BTreeSet<NodeId>,
        present: &BTreeSet<NodeId>,
        next_send_at: Micros,
        now: Micros,
    ) {
        let removals = &mut self.dissemination.workers.removals;
        let is_in_progress = removals.get(&removal.key).is_some();
        let Some(started) = removals.start(&removal.key, next_send_at, now) else { return };
        // What an earlier incarnation of a node knew may be lost.
        started.known_by.retain(|node_id| !joined.contains(node_id));
        if is_in_progress {
            return;
        }
        if removal.known_by_all {
            started.known_by.extend(present);
        }
        self.count_own_removal(removal.key.clone(), now);
    }
}
