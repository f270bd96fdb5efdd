//! Who lives: beats and rows of nodes, passed on among all.

use crate::base::{MS, Micros, NodeId, SEC};
use crate::node::Node;
use crate::peers;
use crate::protocol::{DisseminationMessage, Heartbeat, Message, PeerRecord};

/// Every so many beats one node is drawn among all, so that parted halves meet again.
const FAR_EVERY: u64 = 4;
/// A restarted node without a configuration serves nobody, so it looks for the cores this often.
const GREETING: Micros = 100 * MS;
/// For so long after its start a core greets the nodes that it knows from its disk: they may not
/// notice by themselves that their connections to its former life are dead.
const RETURN: Micros = 2 * SEC;

impl Node {
    fn own_record(&self) -> PeerRecord {
        PeerRecord {
            node_id: self.settings.node_id,
            incarnation: self.settings.incarnation,
            heartbeat: self.dissemination.heartbeat,
            addr: self.settings.addr.clone(),
            admin: self.settings.admin.clone(),
            zone: self.settings.zone.clone(),
            is_core: self.settings.is_core,
            draining: self.draining,
            version: self.version().unwrap_or(0),
        }
    }

    fn advance_heartbeat(&mut self, now: Micros) {
        self.dissemination.heartbeat += 1;
        let p = self.own_record();
        self.dissemination.peers.merge(&p, now);
    }

    pub(in crate::node) fn tick_gossip(&mut self, now: Micros) {
        if now < self.dissemination.peers.gossip_due {
            return;
        }
        let greets = self.version().is_none() && !self.settings.may_bootstrap;
        self.dissemination.peers.gossip_due = now + if greets { GREETING } else { peers::EVERY };
        self.advance_heartbeat(now);
        let mut to = self.dissemination.peers.gossip_targets(self.settings.node_id, &self.settings.zone, now);
        if self.dissemination.heartbeat.is_multiple_of(FAR_EVERY) {
            to.extend(self.dissemination.peers.random_peer(self.settings.node_id, &mut self.rng));
        }
        to.sort_unstable();
        to.dedup();
        for n in to {
            self.gossip_to(n, true, Vec::new(), now);
        }
        // Seeds may be addresses of machines that were replaced; the version names the cores of now.
        let mut first = self.settings.seeds.clone();
        first.extend(self.consensus.state.voters().iter().map(|c| c.addr.clone()));
        if now < self.clock.started_at + RETURN {
            first.extend(self.registered_incarnations().into_iter().map(|life| life.addr));
        }
        first.sort_unstable();
        first.dedup();
        for s in first {
            let known = s == self.settings.addr || self.needs_no_greeting(&s, now);
            if !known {
                let rows = vec![self.own_record()];
                let set = self.dissemination.peers.incarnation_set(now);
                let m = Message::Dissemination(DisseminationMessage::Gossip {
                    heartbeats: Vec::new(),
                    records: rows,
                    unknown_nodes: Vec::new(),
                    wants_reply: true,
                    incarnation_set: set,
                    compact_heartbeats: Vec::new(),
                });
                self.send_to_address(&s, m, now);
            }
        }
    }

    /// Whether the node at this address need not be greeted. A core whose voice is missing may
    /// have been replaced by one that knows nobody.
    fn needs_no_greeting(&self, addr: &str, now: Micros) -> bool {
        let mut at = self.dissemination.peers.entries.values().filter(|s| s.record.addr == addr);
        let core = self.settings.manages_voters
            && self.voter()
            && self.consensus.state.voters().iter().any(|c| c.addr == addr);
        let quiet = |s: &peers::PeerEntry| core && now.saturating_sub(s.contacted_at) > 2 * peers::EVERY;
        at.any(|s| self.dissemination.peers.is_alive(s.record.node_id, now) && !quiet(s))
    }

    fn gossip_to(&mut self, to: NodeId, reply: bool, ask: Vec<NodeId>, now: Micros) {
        let set = self.dissemination.peers.incarnation_set(now);
        let (beats, rows, pulse) = if self.dissemination.peers.incarnation_sets.get(&to) == Some(&set) {
            (self.dissemination.peers.recent_changes(now), Vec::new(), self.dissemination.peers.compact_heartbeats(now))
        } else {
            let (b, r) = self.dissemination.peers.delta(to, now);
            (b, r, Vec::new())
        };
        if reply || !(beats.is_empty() && rows.is_empty() && ask.is_empty() && pulse.is_empty()) {
            self.send(
                to,
                Message::Dissemination(DisseminationMessage::Gossip {
                    heartbeats: beats,
                    records: rows,
                    unknown_nodes: ask,
                    wants_reply: reply,
                    incarnation_set: set,
                    compact_heartbeats: pulse,
                }),
                now,
            );
        }
    }

    /// A frame that names no receiver is a greeting: its sender knows nobody at this address.
    /// What this node told it before was lost, or was told to one that has forgotten it, so all
    /// is told anew. Without that neither side would name this node again: one takes it for
    /// known, and the other has no address to ask at.
    pub(in crate::node) fn on_greeting(&mut self, by: NodeId) {
        self.dissemination.peers.sent_heartbeats.remove(&by);
        self.dissemination.peers.incarnation_sets.remove(&by);
    }

    pub(in crate::node) fn on_gossip(
        &mut self,
        by: NodeId,
        (beats, rows): (&[Heartbeat], &[PeerRecord]),
        asked: &[NodeId],
        reply: bool,
        (set, pulse): (u64, &[u8]),
        now: Micros,
    ) {
        let strange = !self.dissemination.peers.entries.contains_key(&by);
        let mine = self.version();
        let (mut ask, mut newer) = (Vec::new(), false);
        for p in rows.iter().filter(|p| p.node_id != self.settings.node_id) {
            newer |= self.dissemination.peers.merge(p, now) && mine.is_none_or(|v| p.version > v);
        }
        for b in beats.iter().filter(|b| b.node_id != self.settings.node_id) {
            match self.dissemination.peers.merge_heartbeat(b, now) {
                None => ask.push(b.node_id),
                Some(n) => newer |= n && mine.is_none_or(|v| b.version > v),
            }
        }
        self.dissemination.peers.record_contact(by, now);
        if !pulse.is_empty() {
            self.dissemination.peers.merge_compact_heartbeats(self.settings.node_id, set, pulse, now);
        }
        self.dissemination.peers.incarnation_sets.insert(by, set);
        if newer && !self.voter() {
            self.dissemination.workers.subscribe_due = now;
        }
        if strange {
            self.dissemination.peers.sent_heartbeats.remove(&by);
        } else if let Some(m) = self.dissemination.peers.sent_heartbeats.get_mut(&by) {
            for n in asked {
                m.remove(n);
            }
        }
        let lives = beats.iter().map(|b| (b.node_id, b.incarnation, b.heartbeat));
        let lives = lives.filter(|b| self.dissemination.peers.entries.contains_key(&b.0)).collect::<Vec<_>>();
        self.dissemination
            .peers
            .record_received(by, lives.into_iter().chain(rows.iter().map(|p| (p.node_id, p.incarnation, p.heartbeat))));
        if reply || !ask.is_empty() || !asked.is_empty() {
            self.gossip_to(by, false, ask, now);
        }
    }

    pub(in crate::node) fn shut_down(&mut self, now: Micros) {
        self.draining = true;
        self.advance_heartbeat(now);
        let all: Vec<_> =
            self.dissemination.peers.live(now).map(|p| p.node_id).filter(|n| *n != self.settings.node_id).collect();
        for n in all {
            self.gossip_to(n, false, Vec::new(), now);
        }
    }
}
