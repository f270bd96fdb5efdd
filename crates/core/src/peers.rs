//! Membership and failure detection: the nodes of a fleet as one of them knows them.
//!
//! Each node increments a heartbeat counter every [`GOSSIP_INTERVAL`] and gossips what it knows of all
//! nodes to a few peers (PAPER: van Renesse, Minsky and Hayden, "A Gossip-Style Failure Detection
//! Service"). A node whose heartbeat did not advance for [`FAILURE_TIMEOUT`] counts as failed. The table
//! guarantees that the heartbeat known of an incarnation never goes back, and that an incarnation whose
//! address a newer one took over does not return unless it advanced its heartbeat since.

use crate::base::{Incarnation, MS, Micros, NodeId, Rng, SEC, rendezvous_weight};
use crate::protocol::{Heartbeat, PeerRecord};
use std::collections::BTreeMap;

/// How often a node increments its heartbeat and gossips, in microseconds.
pub const GOSSIP_INTERVAL: Micros = 500 * MS;
/// A node whose heartbeat did not advance for so long, in microseconds, counts as failed.
pub const FAILURE_TIMEOUT: Micros = 2_500 * MS;
/// A node whose heartbeat did not advance for so long is removed from the table.
const FORGET_AFTER: Micros = 60 * SEC;
/// For so long after a change other than of its heartbeat, a node's full heartbeat is gossiped.
const RECENT_CHANGE: Micros = 3 * SEC;
/// Gossip targets in a node's own zone.
const TARGETS_IN_ZONE: usize = 2;
/// Gossip targets in other zones.
const TARGETS_ELSEWHERE: usize = 1;
/// The home node of a topic in a zone and its runner-up.
const HOME_NODES: usize = 2;
/// The bytes of each heartbeat in its compact form.
const COMPACT_BYTES: usize = 2;
/// The low bits of a heartbeat that its compact form holds.
const COMPACT_MASK: u64 = 0xffff;
/// A compact heartbeat that is ahead by so much or more counts as an older one.
const COMPACT_HALF: u64 = 0x8000;

/// How far an incarnation of a node has advanced: later incarnations first, then the heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct HeartbeatStamp {
    /// The incarnation of the node.
    pub incarnation: Incarnation,
    /// The heartbeat counter of that incarnation.
    pub heartbeat: u64,
}

impl From<&PeerRecord> for HeartbeatStamp {
    fn from(record: &PeerRecord) -> Self {
        HeartbeatStamp { incarnation: record.incarnation, heartbeat: record.heartbeat }
    }
}

impl From<&Heartbeat> for HeartbeatStamp {
    fn from(heartbeat: &Heartbeat) -> Self {
        HeartbeatStamp { incarnation: heartbeat.incarnation, heartbeat: heartbeat.heartbeat }
    }
}

/// What is known here of one node. All moments are by this node's own clock, in microseconds.
#[derive(Clone, Debug)]
pub struct PeerEntry {
    /// The newest record of the node.
    pub record: PeerRecord,
    /// When its heartbeat was last seen to advance.
    pub heartbeat_at: Micros,
    /// When it entered the table.
    pub discovered_at: Micros,
    /// When the last frame came from the node itself; 0 if none did.
    pub contacted_at: Micros,
    /// When something other than its heartbeat changed last.
    pub changed_at: Micros,
}

impl PeerEntry {
    fn new(record: PeerRecord, now: Micros) -> Self {
        PeerEntry { record, heartbeat_at: now, discovered_at: now, contacted_at: 0, changed_at: now }
    }

    fn heartbeat(&self) -> Heartbeat {
        Heartbeat {
            node_id: self.record.node_id,
            incarnation: self.record.incarnation,
            heartbeat: self.record.heartbeat,
            version: self.record.version,
            draining: self.record.draining,
        }
    }

    fn stamp(&self) -> HeartbeatStamp {
        HeartbeatStamp::from(&self.record)
    }

    fn has_advanced_lately(&self, now: Micros) -> bool {
        now.saturating_sub(self.heartbeat_at) < FAILURE_TIMEOUT
    }

    fn is_alive(&self, now: Micros) -> bool {
        !self.record.draining && self.has_advanced_lately(now)
    }
}

/// A node whose address a newer node has.
#[derive(Clone, Copy, Debug)]
struct ReplacedPeer {
    /// The last that was known of it.
    stamp: HeartbeatStamp,
    /// When its heartbeat was last seen to advance.
    heartbeat_at: Micros,
}

impl ReplacedPeer {
    fn covers(&self, stamp: HeartbeatStamp) -> bool {
        stamp <= self.stamp
    }
}

/// What a node gossips to a peer: only what the peer does not know yet.
#[derive(Clone, Debug, Default)]
pub struct Delta {
    /// Heartbeats of nodes whose incarnation the peer knows.
    pub heartbeats: Vec<Heartbeat>,
    /// Full records of nodes that are new to the peer.
    pub records: Vec<PeerRecord>,
}

/// The nodes of the fleet as this one knows them, itself among them.
#[derive(Clone, Debug, Default)]
pub struct PeerTable {
    /// Every node that is known, failed ones too until they are forgotten.
    pub entries: BTreeMap<NodeId, PeerEntry>,
    /// When this node gossips next, in microseconds.
    pub gossip_due: Micros,
    /// By peer: the newest stamp of each node that the peer is known to have. Only peers that are in
    /// `entries` are kept once a second has passed.
    sent_heartbeats: BTreeMap<NodeId, BTreeMap<NodeId, HeartbeatStamp>>,
    /// By peer: the set of incarnations that it last said it knows, see [`PeerTable::incarnation_set`].
    pub incarnation_sets: BTreeMap<NodeId, u64>,
    /// Nodes whose address a newer one has. Never holds a node that is in `entries`.
    replaced: BTreeMap<NodeId, ReplacedPeer>,
}

impl PeerTable {
    /// Merges a record of a node; true if it advanced what is known.
    pub fn merge(&mut self, record: &PeerRecord, now: Micros) -> bool {
        let stamp = HeartbeatStamp::from(record);
        match self.entries.get_mut(&record.node_id) {
            Some(entry) if stamp <= entry.stamp() => false,
            Some(entry) => {
                let known = &entry.record;
                if (record.incarnation, record.version, record.draining)
                    != (known.incarnation, known.version, known.draining)
                {
                    entry.changed_at = now;
                }
                entry.record = record.clone();
                entry.heartbeat_at = now;
                true
            }
            // Other nodes may keep it for longer; it counts only if its heartbeat advanced since.
            None if self.replaced.get(&record.node_id).is_some_and(|replaced| replaced.covers(stamp)) => false,
            None => {
                self.replaced.remove(&record.node_id);
                self.entries.insert(record.node_id, PeerEntry::new(record.clone(), now));
                true
            }
        }
    }

    /// Notes that a frame came from the node itself.
    pub fn record_contact(&mut self, node_id: NodeId, now: Micros) {
        if let Some(entry) = self.entries.get_mut(&node_id) {
            entry.contacted_at = now;
        }
    }

    /// Whether a node is neither failed nor draining.
    pub fn is_alive(&self, node_id: NodeId, now: Micros) -> bool {
        self.entries.get(&node_id).is_some_and(|entry| entry.is_alive(now))
    }

    /// All nodes that are neither failed nor draining, by their ids.
    pub fn live(&self, now: Micros) -> impl Iterator<Item = &PeerRecord> {
        self.entries.values().filter(move |entry| entry.is_alive(now)).map(|entry| &entry.record)
    }

    /// Whether a node is known and neither failed nor draining.
    pub fn is_live(&self, node_id: NodeId, now: Micros) -> bool {
        self.entries.get(&node_id).is_some_and(|entry| entry.is_alive(now))
    }

    /// The address at which a node listens.
    pub fn address(&self, node_id: NodeId) -> Option<&str> {
        self.entries.get(&node_id).map(|entry| entry.record.addr.as_str())
    }

    /// The few peers that this node gossips to, by rendezvous hashing: most of them in its own zone.
    pub fn gossip_targets(&self, own_id: NodeId, zone: &str, now: Micros) -> Vec<NodeId> {
        let mut ranked: Vec<_> = self
            .live(now)
            .filter(|record| record.node_id != own_id)
            .map(|record| {
                let weight = rendezvous_weight(record.node_id.0, &own_id.0.to_le_bytes());
                (weight, record.node_id, record.zone == zone)
            })
            .collect();
        ranked.sort_unstable_by(|first, second| second.cmp(first));
        let in_zone = ranked.iter().filter(|peer| peer.2).take(TARGETS_IN_ZONE);
        let elsewhere = ranked.iter().filter(|peer| !peer.2).take(TARGETS_ELSEWHERE);
        in_zone.chain(elsewhere).map(|peer| peer.1).collect()
    }

    /// The home node of a topic in a zone and then its runner-up, by rendezvous hashing.
    pub fn home_nodes(&self, topic: &str, zone: &str, now: Micros) -> Vec<NodeId> {
        let mut ranked: Vec<_> = self
            .live(now)
            .filter(|record| record.zone == zone)
            .map(|record| (rendezvous_weight(record.node_id.0, topic.as_bytes()), record.node_id))
            .collect();
        ranked.sort_unstable_by(|first, second| second.cmp(first));
        ranked.into_iter().take(HOME_NODES).map(|(_, node_id)| node_id).collect()
    }

    /// The zones of all live nodes, sorted, each once.
    pub fn zones(&self, now: Micros) -> Vec<String> {
        let mut zones: Vec<_> = self.live(now).map(|record| record.zone.clone()).collect();
        zones.sort_unstable();
        zones.dedup();
        zones
    }

    /// Removes nodes that failed long ago, and failed ones whose address a newer node has.
    pub fn expire(&mut self, now: Micros) {
        let newest_at = self.newest_by_address();
        let replaced = &mut self.replaced;
        self.entries.retain(|node_id, entry| {
            let silence = now.saturating_sub(entry.heartbeat_at);
            let has_address = || newest_at.get(&entry.record.addr).is_none_or(|newest| newest.1 == *node_id);
            let keep = silence < FORGET_AFTER && (silence < FAILURE_TIMEOUT || has_address());
            if !keep && silence < FORGET_AFTER {
                replaced.insert(*node_id, ReplacedPeer { stamp: entry.stamp(), heartbeat_at: entry.heartbeat_at });
            }
            keep
        });
        self.replaced.retain(|_, replaced| now.saturating_sub(replaced.heartbeat_at) < FORGET_AFTER);
        let entries = &self.entries;
        self.sent_heartbeats.retain(|peer, _| entries.contains_key(peer));
        self.incarnation_sets.retain(|peer, _| entries.contains_key(peer));
    }

    /// The node at each address whose heartbeat advanced last, and when.
    fn newest_by_address(&self) -> BTreeMap<String, (Micros, NodeId)> {
        let mut newest_at = BTreeMap::new();
        for entry in self.entries.values() {
            let candidate = (entry.heartbeat_at, entry.record.node_id);
            let newest = newest_at.entry(entry.record.addr.clone()).or_insert(candidate);
            *newest = (*newest).max(candidate);
        }
        newest_at
    }

    fn advanced_lately(&self, now: Micros) -> impl Iterator<Item = &PeerEntry> {
        self.entries.values().filter(move |entry| entry.has_advanced_lately(now))
    }

    /// A hash of the incarnations that this node knows and that did not fail; never 0.
    pub fn incarnation_set(&self, now: Micros) -> u64 {
        let add_hash = |sum: u64, entry: &PeerEntry| {
            sum.wrapping_add(rendezvous_weight(entry.record.node_id.0, &entry.record.incarnation.to_le_bytes()))
        };
        self.advanced_lately(now).fold(0, add_hash).max(1)
    }

    /// The compact form of all heartbeats, for a peer with the same incarnation set: the low two bytes
    /// of each, little-endian, in the order of the node ids.
    pub fn compact_heartbeats(&self, now: Micros) -> Vec<u8> {
        let low_bytes =
            |entry: &PeerEntry| u16::try_from(entry.record.heartbeat & COMPACT_MASK).unwrap_or(0).to_le_bytes();
        self.advanced_lately(now).flat_map(low_bytes).collect()
    }

    /// The full heartbeats of nodes that changed lately: compact heartbeats omit their versions.
    pub fn recent_changes(&self, now: Micros) -> Vec<Heartbeat> {
        self.advanced_lately(now)
            .filter(|entry| now.saturating_sub(entry.changed_at) < RECENT_CHANGE)
            .map(PeerEntry::heartbeat)
            .collect()
    }

    /// Merges compact heartbeats of an incarnation set; false, and nothing changes, if this node's set is
    /// another one. Each heartbeat is taken as the nearest one ahead, so it never goes back.
    pub fn merge_compact_heartbeats(
        &mut self,
        own_id: NodeId,
        incarnation_set: u64,
        compact_heartbeats: &[u8],
        now: Micros,
    ) -> bool {
        if incarnation_set != self.incarnation_set(now)
            || compact_heartbeats.len() != COMPACT_BYTES * self.advanced_lately(now).count()
        {
            return false;
        }
        let entries = self.entries.values_mut().filter(|entry| entry.has_advanced_lately(now));
        for (entry, bytes) in entries.zip(compact_heartbeats.chunks_exact(COMPACT_BYTES)) {
            let low_bits = u64::from(u16::from_le_bytes([bytes[0], bytes[1]]));
            let advance = low_bits.wrapping_sub(entry.record.heartbeat) & COMPACT_MASK;
            if entry.record.node_id != own_id && advance > 0 && advance < COMPACT_HALF {
                entry.record.heartbeat += advance;
                entry.heartbeat_at = now;
            }
        }
        true
    }

    /// Notes what a peer sent, so that it is not sent back.
    pub fn record_received(&mut self, from: NodeId, stamps: impl Iterator<Item = (NodeId, HeartbeatStamp)>) {
        let sent = self.sent_heartbeats.entry(from).or_default();
        for (node_id, stamp) in stamps {
            let newest = sent.entry(node_id).or_insert(stamp);
            *newest = (*newest).max(stamp);
        }
    }

    /// Forgets what a peer is known to have: the next delta to it holds every record.
    pub fn forget_sent(&mut self, peer: NodeId) {
        self.sent_heartbeats.remove(&peer);
    }

    /// Forgets that a peer has these nodes: the next delta to it holds their records.
    pub fn forget_sent_nodes(&mut self, peer: NodeId, nodes: &[NodeId]) {
        let Some(sent) = self.sent_heartbeats.get_mut(&peer) else { return };
        for node_id in nodes {
            sent.remove(node_id);
        }
    }

    /// Any other known node, failed ones too, so that the halves of a partition meet again.
    pub fn random_peer(&self, own_id: NodeId, rng: &mut Rng) -> Option<NodeId> {
        let peers: Vec<_> = self.entries.keys().filter(|node_id| **node_id != own_id).copied().collect();
        if peers.is_empty() {
            return None;
        }
        peers.get(usize::try_from(rng.below(peers.len() as u64)).unwrap_or(0)).copied()
    }

    /// What a peer does not know yet, and notes it as sent.
    pub fn delta(&mut self, peer: NodeId, now: Micros) -> Delta {
        let sent = self.sent_heartbeats.entry(peer).or_default();
        let mut delta = Delta::default();
        for (node_id, entry) in &self.entries {
            let stamp = entry.stamp();
            if !entry.has_advanced_lately(now) || sent.get(node_id).is_some_and(|known| *known >= stamp) {
                continue;
            }
            if sent.insert(*node_id, stamp).is_some_and(|known| known.incarnation == stamp.incarnation) {
                delta.heartbeats.push(entry.heartbeat());
            } else {
                delta.records.push(entry.record.clone());
            }
        }
        delta
    }

    /// Merges a heartbeat: whether it advanced what is known, or nothing if the node's record must be
    /// requested first, since that incarnation is not known here.
    pub fn merge_heartbeat(&mut self, heartbeat: &Heartbeat, now: Micros) -> Option<bool> {
        let stamp = HeartbeatStamp::from(heartbeat);
        if self.replaced.get(&heartbeat.node_id).is_some_and(|replaced| replaced.covers(stamp)) {
            return Some(false);
        }
        let entry = self.entries.get_mut(&heartbeat.node_id)?;
        if heartbeat.incarnation > entry.record.incarnation {
            return None;
        }
        // A compact heartbeat may have come before its version; versions only grow within an incarnation.
        let is_version_only = stamp == entry.stamp() && heartbeat.version > entry.record.version;
        if stamp <= entry.stamp() && !is_version_only {
            return Some(false);
        }
        if (heartbeat.version, heartbeat.draining) != (entry.record.version, entry.record.draining) {
            entry.changed_at = now;
        }
        entry.record.heartbeat = heartbeat.heartbeat;
        entry.record.version = heartbeat.version;
        entry.record.draining = heartbeat.draining;
        if !is_version_only {
            entry.heartbeat_at = now;
        }
        Some(true)
    }
}
