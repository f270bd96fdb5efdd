//! The nodes of a fleet as one of them knows them.

use crate::base::{Incarnation, MS, Micros, NodeId, Rng, SEC, rendezvous_weight};
use crate::protocol::{Heartbeat, PeerRecord};
use std::collections::BTreeMap;

/// How often a node tells its beat.
pub const EVERY: Micros = 500 * MS;
/// A node whose beat stood still this long is taken for gone.
pub const FAILURE_TIMEOUT: Micros = 2_500 * MS;
const FORGET: Micros = 60 * SEC;
/// What changed of a node beside its beat is told in full for this long.
const TURNED: Micros = 3 * SEC;
const NEAR: usize = 2;
const FAR: usize = 1;

/// A node as it was heard of here.
#[derive(Clone, Debug)]
pub struct PeerEntry {
    pub record: PeerRecord,
    pub heard_at: Micros,
    /// When it was first heard of here.
    pub first_heard_at: Micros,
    /// When it last spoke to this node itself.
    pub contacted_at: Micros,
    /// When more than its beat was news here.
    pub changed_at: Micros,
}

impl PeerEntry {
    fn heartbeat(&self) -> Heartbeat {
        let p = &self.record;
        Heartbeat {
            node_id: p.node_id,
            incarnation: p.incarnation,
            heartbeat: p.heartbeat,
            version: p.version,
            draining: p.draining,
        }
    }
}

/// The nodes as this one knows them.
#[derive(Clone, Debug, Default)]
pub struct PeerTable {
    pub entries: BTreeMap<NodeId, PeerEntry>,
    pub gossip_due: Micros,
    pub sent_heartbeats: BTreeMap<NodeId, BTreeMap<NodeId, (Incarnation, u64)>>,
    /// The set of lives that each peer last said it knows.
    pub incarnation_sets: BTreeMap<NodeId, u64>,
    /// The last that was known of lives whose address a newer one has, and when that was heard.
    replaced: BTreeMap<NodeId, (Incarnation, u64, Micros)>,
}

impl PeerTable {
    /// Merges what is told of a node; true if it was news.
    pub fn merge(&mut self, p: &PeerRecord, now: Micros) -> bool {
        match self.entries.get_mut(&p.node_id) {
            Some(s) if (p.incarnation, p.heartbeat) <= (s.record.incarnation, s.record.heartbeat) => false,
            Some(s) => {
                if (p.incarnation, p.version, p.draining) != (s.record.incarnation, s.record.version, s.record.draining)
                {
                    s.changed_at = now;
                }
                s.record = p.clone();
                s.heard_at = now;
                true
            }
            // Others may know it for longer; it is news only if it spoke since.
            None if self.replaced.get(&p.node_id).is_some_and(|o| (p.incarnation, p.heartbeat) <= (o.0, o.1)) => false,
            None => {
                self.replaced.remove(&p.node_id);
                self.entries.insert(
                    p.node_id,
                    PeerEntry {
                        record: p.clone(),
                        heard_at: now,
                        first_heard_at: now,
                        contacted_at: 0,
                        changed_at: now,
                    },
                );
                true
            }
        }
    }

    /// A frame came from the node itself.
    pub fn record_contact(&mut self, n: NodeId, now: Micros) {
        if let Some(s) = self.entries.get_mut(&n) {
            s.contacted_at = now;
        }
    }

    /// Whether it was heard of lately.
    pub fn is_alive(&self, n: NodeId, now: Micros) -> bool {
        self.entries.get(&n).is_some_and(|s| !s.record.draining && now.saturating_sub(s.heard_at) < FAILURE_TIMEOUT)
    }

    /// All nodes that were heard of lately.
    pub fn live(&self, now: Micros) -> impl Iterator<Item = &PeerRecord> {
        self.entries
            .values()
            .filter(move |s| !s.record.draining && now.saturating_sub(s.heard_at) < FAILURE_TIMEOUT)
            .map(|s| &s.record)
    }

    /// Where a node lives.
    pub fn address(&self, n: NodeId) -> Option<&str> {
        self.entries.get(&n).map(|s| s.record.addr.as_str())
    }

    /// The few that this node watches, by rendezvous: most of them in its own zone.
    pub fn gossip_targets(&self, me: NodeId, zone: &str, now: Micros) -> Vec<NodeId> {
        let mut v: Vec<_> = self
            .live(now)
            .filter(|p| p.node_id != me)
            .map(|p| (rendezvous_weight(p.node_id.0, &me.0.to_le_bytes()), p.node_id, p.zone == zone))
            .collect();
        v.sort_unstable_by(|a, b| b.cmp(a));
        let near = v.iter().filter(|x| x.2).take(NEAR);
        near.chain(v.iter().filter(|x| !x.2).take(FAR)).map(|x| x.1).collect()
    }

    /// The home of a service in a zone, and then its runner-up.
    pub fn home_nodes(&self, svc: &str, zone: &str, now: Micros) -> Vec<NodeId> {
        let mut v: Vec<_> = self
            .live(now)
            .filter(|p| p.zone == zone)
            .map(|p| (rendezvous_weight(p.node_id.0, svc.as_bytes()), p.node_id))
            .collect();
        v.sort_unstable_by(|a, b| b.cmp(a));
        v.into_iter().take(2).map(|x| x.1).collect()
    }

    /// The zones of all live nodes.
    pub fn zones(&self, now: Micros) -> Vec<String> {
        let mut v: Vec<_> = self.live(now).map(|p| p.zone.clone()).collect();
        v.sort_unstable();
        v.dedup();
        v
    }

    /// Ended lives are forgotten, and a newer life at an address ends the older one.
    pub fn expire(&mut self, now: Micros) {
        let at: BTreeMap<String, (Micros, NodeId)> = self.entries.values().fold(BTreeMap::new(), |mut m, s| {
            let e = m.entry(s.record.addr.clone()).or_insert((s.heard_at, s.record.node_id));
            *e = (*e).max((s.heard_at, s.record.node_id));
            m
        });
        let over = &mut self.replaced;
        self.entries.retain(|n, s| {
            let old = now.saturating_sub(s.heard_at);
            let keep = old < FORGET && (old < FAILURE_TIMEOUT || at.get(&s.record.addr).is_none_or(|x| x.1 == *n));
            if !keep && old < FORGET {
                over.insert(*n, (s.record.incarnation, s.record.heartbeat, s.heard_at));
            }
            keep
        });
        self.replaced.retain(|_, o| now.saturating_sub(o.2) < FORGET);
        let k: Vec<_> = self.sent_heartbeats.keys().filter(|n| !self.entries.contains_key(n)).copied().collect();
        for n in k {
            self.sent_heartbeats.remove(&n);
        }
        let seen = &self.entries;
        self.incarnation_sets.retain(|n, _| seen.contains_key(n));
    }

    fn recently_heard(&self, now: Micros) -> impl Iterator<Item = &PeerEntry> {
        self.entries.values().filter(move |s| now.saturating_sub(s.heard_at) < FAILURE_TIMEOUT)
    }

    /// Names the lives that this node knows; never nought.
    pub fn incarnation_set(&self, now: Micros) -> u64 {
        let f = |n: u64, s: &PeerEntry| {
            n.wrapping_add(rendezvous_weight(s.record.node_id.0, &s.record.incarnation.to_le_bytes()))
        };
        self.recently_heard(now).fold(0, f).max(1)
    }

    /// Where both know the same lives, their beats are told without their names: the low
    /// two bytes of each, in the order of the ids.
    pub fn compact_heartbeats(&self, now: Micros) -> Vec<u8> {
        let low = |s: &PeerEntry| u16::try_from(s.record.heartbeat & 0xffff).unwrap_or(0).to_le_bytes();
        self.recently_heard(now).flat_map(low).collect()
    }

    /// What a pulse leaves out, of those of whom it was news lately.
    pub fn recent_changes(&self, now: Micros) -> Vec<Heartbeat> {
        self.recently_heard(now)
            .filter(|s| now.saturating_sub(s.changed_at) < TURNED)
            .map(PeerEntry::heartbeat)
            .collect()
    }

    /// Takes a pulse told of the set `of`; false if this node knows another one.
    pub fn merge_compact_heartbeats(&mut self, me: NodeId, of: u64, pulse: &[u8], now: Micros) -> bool {
        if of != self.incarnation_set(now) || pulse.len() != 2 * self.recently_heard(now).count() {
            return false;
        }
        let ss = self.entries.values_mut().filter(|s| now.saturating_sub(s.heard_at) < FAILURE_TIMEOUT);
        for (s, b) in ss.zip(pulse.chunks_exact(2)) {
            let up = u64::from(u16::from_le_bytes([b[0], b[1]])).wrapping_sub(s.record.heartbeat) & 0xffff;
            if s.record.node_id != me && up > 0 && up < 0x8000 {
                s.record.heartbeat += up;
                s.heard_at = now;
            }
        }
        true
    }

    /// Notes what a peer told, so that it isn't told it in turn.
    pub fn record_received(&mut self, by: NodeId, lives: impl Iterator<Item = (NodeId, Incarnation, u64)>) {
        let m = self.sent_heartbeats.entry(by).or_default();
        for (n, incarnation, beat) in lives {
            let e = m.entry(n).or_insert((incarnation, beat));
            *e = (*e).max((incarnation, beat));
        }
    }

    /// Any other known node, gone ones too, so that split halves meet again.
    pub fn random_peer(&self, me: NodeId, r: &mut Rng) -> Option<NodeId> {
        let v: Vec<_> = self.entries.keys().filter(|n| **n != me).copied().collect();
        if v.is_empty() { None } else { v.get(usize::try_from(r.below(v.len() as u64)).unwrap_or(0)).copied() }
    }

    /// What a peer has not been told by this node: who is new to it, whole; of the
    /// others only the beat.
    pub fn delta(&mut self, to: NodeId, now: Micros) -> (Vec<Heartbeat>, Vec<PeerRecord>) {
        let m = self.sent_heartbeats.entry(to).or_default();
        let (mut beats, mut rows) = (Vec::new(), Vec::new());
        for (n, s) in &self.entries {
            let k = (s.record.incarnation, s.record.heartbeat);
            if now.saturating_sub(s.heard_at) >= FAILURE_TIMEOUT || m.get(n).is_some_and(|o| *o >= k) {
                continue;
            }
            if m.insert(*n, k).is_some_and(|o| o.0 == s.record.incarnation) {
                beats.push(s.heartbeat());
            } else {
                rows.push(s.record.clone());
            }
        }
        (beats, rows)
    }

    /// Merges a beat; none if the node that it tells of must be asked for.
    pub fn merge_heartbeat(&mut self, b: &Heartbeat, now: Micros) -> Option<bool> {
        if self.replaced.get(&b.node_id).is_some_and(|o| (b.incarnation, b.heartbeat) <= (o.0, o.1)) {
            return Some(false);
        }
        let s = self.entries.get_mut(&b.node_id)?;
        if b.incarnation > s.record.incarnation {
            return None;
        }
        // A pulse may have told the beat before; versions only grow within a life.
        let late =
            (b.incarnation, b.heartbeat) == (s.record.incarnation, s.record.heartbeat) && b.version > s.record.version;
        if (b.incarnation, b.heartbeat) <= (s.record.incarnation, s.record.heartbeat) && !late {
            return Some(false);
        }
        if (b.version, b.draining) != (s.record.version, s.record.draining) {
            s.changed_at = now;
        }
        s.record.heartbeat = b.heartbeat;
        s.record.version = b.version;
        s.record.draining = b.draining;
        if !late {
            s.heard_at = now;
        }
        Some(true)
    }
}
