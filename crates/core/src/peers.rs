//! Membership and failure detection: a node's view of the nodes of its fleet.
//!
//! Each node increments a heartbeat counter every [`GOSSIP_INTERVAL`] and gossips its view of all nodes to a
//! few peers (PAPER: van Renesse, Minsky and Hayden, "A Gossip-Style Failure Detection
//! Service"). A node whose heartbeat did not advance for [`FAILURE_TIMEOUT`] counts as failed. The table
//! guarantees that the known heartbeat of an incarnation never decreases, and that a removed incarnation
//! whose address a newer node took over is added again only if its heartbeat has advanced since.

use crate::base::{Incarnation, MS, Micros, NodeId, Rng, SEC, rendezvous_weight};
use crate::protocol::{Heartbeat, PeerRecord};
use std::collections::BTreeMap;

/// The interval at which a node increments its heartbeat and gossips, in microseconds.
pub const GOSSIP_INTERVAL: Micros = 500 * MS;
/// The time without an advance of its heartbeat after which a node counts as failed, in microseconds.
pub const FAILURE_TIMEOUT: Micros = 2_500 * MS;
/// The time without an advance of its heartbeat after which a node is removed, in microseconds.
const FORGET_AFTER: Micros = 60 * SEC;
/// The time for which a node's full heartbeat is gossiped after a change of its other fields, in microseconds.
const RECENT_CHANGE_PERIOD: Micros = 3 * SEC;
/// The number of gossip targets in a node's own zone.
const TARGETS_IN_ZONE: usize = 2;
/// The number of gossip targets in other zones.
const TARGETS_ELSEWHERE: usize = 1;
/// The number of home nodes of a topic in a zone: the first choice and its backup.
const HOME_NODES_PER_TOPIC: usize = 2;
/// The size of a compact heartbeat, in bytes.
const COMPACT_BYTES: usize = 2;
/// The mask of the low bits of a heartbeat that a compact heartbeat holds.
const COMPACT_MASK: u64 = 0xffff;
/// The advance from which on a compact heartbeat counts as an older one: half of its range.
const COMPACT_ADVANCE_LIMIT: u64 = 0x8000;

/// The progress of a node, ordered by the incarnation and then by the heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct HeartbeatStamp {
    /// The incarnation of the node.
    pub incarnation: Incarnation,
    /// The heartbeat counter of that incarnation.
    pub counter: u64,
}

impl From<&PeerRecord> for HeartbeatStamp {
    fn from(record: &PeerRecord) -> Self {
        HeartbeatStamp { incarnation: record.incarnation, counter: record.heartbeat }
    }
}

impl From<&Heartbeat> for HeartbeatStamp {
    fn from(heartbeat: &Heartbeat) -> Self {
        HeartbeatStamp { incarnation: heartbeat.incarnation, counter: heartbeat.counter }
    }
}

/// The known state of one node. All times are in microseconds of the clock of the node that owns the table.
#[derive(Clone, Debug)]
pub struct PeerEntry {
    /// The newest record of the node.
    pub record: PeerRecord,
    /// When the node's heartbeat was last seen to advance.
    pub heartbeat_at: Micros,
    /// When the node entered the table.
    pub discovered_at: Micros,
    /// When the last frame arrived from the node itself; 0 if none has.
    pub last_contact_at: Micros,
    /// When a field other than the heartbeat last changed.
    pub last_change_at: Micros,
}

impl PeerEntry {
    fn new(record: PeerRecord, now: Micros) -> Self {
        PeerEntry { record, heartbeat_at: now, discovered_at: now, last_contact_at: 0, last_change_at: now }
    }

    fn heartbeat(&self) -> Heartbeat {
        Heartbeat {
            node_id: self.record.node_id,
            incarnation: self.record.incarnation,
            counter: self.record.heartbeat,
            version: self.record.version,
            draining: self.record.draining,
        }
    }

    fn stamp(&self) -> HeartbeatStamp {
        HeartbeatStamp::from(&self.record)
    }

    /// Returns true if the node has not failed.
    fn has_advanced_recently(&self, now: Micros) -> bool {
        now.saturating_sub(self.heartbeat_at) < FAILURE_TIMEOUT
    }

    /// Returns true if the node is neither failed nor draining.
    fn is_alive(&self, now: Micros) -> bool {
        !self.record.draining && self.has_advanced_recently(now)
    }
}

/// A removed node whose address a newer node took over.
#[derive(Clone, Copy, Debug)]
struct ReplacedPeer {
    /// The newest known stamp of the node.
    stamp: HeartbeatStamp,
    /// When the node's heartbeat was last seen to advance.
    heartbeat_at: Micros,
}

impl ReplacedPeer {
    /// Returns true if a stamp shows no advance since the node was removed.
    fn covers(&self, stamp: HeartbeatStamp) -> bool {
        stamp <= self.stamp
    }
}

/// The state of nodes that a peer does not know yet, to be gossiped to it.
#[derive(Clone, Debug, Default)]
pub struct Delta {
    /// The heartbeats of nodes whose incarnation the peer knows.
    pub heartbeats: Vec<Heartbeat>,
    /// The full records of nodes and incarnations that are new to the peer.
    pub records: Vec<PeerRecord>,
}

/// The nodes of the fleet that this node knows, including itself.
#[derive(Clone, Debug, Default)]
pub struct PeerTable {
    /// Every known node, including failed nodes until they are removed.
    pub entries: BTreeMap<NodeId, PeerEntry>,
    /// When this node gossips next, in microseconds.
    pub next_gossip_at: Micros,
    /// By peer: the newest stamp of each node that was sent to the peer or received from it. Peers that are not
    /// in `entries` are removed every second, by [`PeerTable::expire`].
    sent_stamps: BTreeMap<NodeId, BTreeMap<NodeId, HeartbeatStamp>>,
    /// By peer: the hash of the incarnations that the peer last reported, see [`PeerTable::incarnation_set`].
    pub incarnation_sets: BTreeMap<NodeId, u64>,
    /// Removed nodes whose address a newer node took over. Invariant: holds no node that is in `entries`.
    replaced: BTreeMap<NodeId, ReplacedPeer>,
}

impl PeerTable {
    /// Merges a record of a node and returns whether it was newer than the known state.
    pub fn merge(&mut self, record: &PeerRecord, now: Micros) -> bool {
        let stamp = HeartbeatStamp::from(record);
        match self.entries.get_mut(&record.node_id) {
            Some(entry) if stamp <= entry.stamp() => false,
            Some(entry) => {
                let known = &entry.record;
                if (record.incarnation, record.version, record.draining)
                    != (known.incarnation, known.version, known.draining)
                {
                    entry.last_change_at = now;
                }
                entry.record = record.clone();
                entry.heartbeat_at = now;
                true
            }
            // Other nodes may remove the node later; its record counts only if its heartbeat has advanced since.
            None if self.replaced.get(&record.node_id).is_some_and(|replaced| replaced.covers(stamp)) => false,
            None => {
                self.replaced.remove(&record.node_id);
                self.entries.insert(record.node_id, PeerEntry::new(record.clone(), now));
                true
            }
        }
    }

    /// Records that a frame arrived from the node itself.
    pub fn record_contact(&mut self, node_id: NodeId, now: Micros) {
        if let Some(entry) = self.entries.get_mut(&node_id) {
            entry.last_contact_at = now;
        }
    }

    /// Returns true if a node is known and neither failed nor draining.
    pub fn is_alive(&self, node_id: NodeId, now: Micros) -> bool {
        self.entries.get(&node_id).is_some_and(|entry| entry.is_alive(now))
    }

    /// Returns all nodes that are neither failed nor draining, in the order of their IDs.
    pub fn live(&self, now: Micros) -> impl Iterator<Item = &PeerRecord> {
        self.entries.values().filter(move |entry| entry.is_alive(now)).map(|entry| &entry.record)
    }

    /// Returns the address at which a node listens.
    pub fn address(&self, node_id: NodeId) -> Option<&str> {
        self.entries.get(&node_id).map(|entry| entry.record.addr.as_str())
    }

    /// Returns the few peers that this node gossips to, by rendezvous hashing; most of them are in its own zone.
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

    /// Returns the home node of a topic in a zone and then its backup, by rendezvous hashing.
    pub fn home_nodes(&self, topic: &str, zone: &str, now: Micros) -> Vec<NodeId> {
        let mut ranked: Vec<_> = self
            .live(now)
            .filter(|record| record.zone == zone)
            .map(|record| (rendezvous_weight(record.node_id.0, topic.as_bytes()), record.node_id))
            .collect();
        ranked.sort_unstable_by(|first, second| second.cmp(first));
        ranked.into_iter().take(HOME_NODES_PER_TOPIC).map(|(_, node_id)| node_id).collect()
    }

    /// Returns the zones of all live nodes, sorted and without duplicates.
    pub fn zones(&self, now: Micros) -> Vec<String> {
        let mut zones: Vec<_> = self.live(now).map(|record| record.zone.clone()).collect();
        zones.sort_unstable();
        zones.dedup();
        zones
    }

    /// Removes nodes that failed long ago, and failed nodes whose address a newer node took over.
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
        self.sent_stamps.retain(|peer, _| entries.contains_key(peer));
        self.incarnation_sets.retain(|peer, _| entries.contains_key(peer));
    }

    /// Returns, for each address, the node whose heartbeat advanced last, and when it did.
    fn newest_by_address(&self) -> BTreeMap<String, (Micros, NodeId)> {
        let mut newest_at = BTreeMap::new();
        for entry in self.entries.values() {
            let candidate = (entry.heartbeat_at, entry.record.node_id);
            let newest = newest_at.entry(entry.record.addr.clone()).or_insert(candidate);
            *newest = (*newest).max(candidate);
        }
        newest_at
    }

    /// Returns the entries of all nodes that have not failed, in the order of their IDs.
    fn recently_advanced(&self, now: Micros) -> impl Iterator<Item = &PeerEntry> {
        self.entries.values().filter(move |entry| entry.has_advanced_recently(now))
    }

    /// Returns a hash of the known incarnations that have not failed; never 0.
    pub fn incarnation_set(&self, now: Micros) -> u64 {
        let add_hash = |sum: u64, entry: &PeerEntry| {
            sum.wrapping_add(rendezvous_weight(entry.record.node_id.0, &entry.record.incarnation.to_le_bytes()))
        };
        self.recently_advanced(now).fold(0, add_hash).max(1)
    }

    /// Returns the compact heartbeats for a peer with the same incarnation set: the low two bytes of each
    /// heartbeat, little-endian, in the order of the node IDs.
    pub fn compact_heartbeats(&self, now: Micros) -> Vec<u8> {
        let low_bytes =
            |entry: &PeerEntry| u16::try_from(entry.record.heartbeat & COMPACT_MASK).unwrap_or(0).to_le_bytes();
        self.recently_advanced(now).flat_map(low_bytes).collect()
    }

    /// Returns the full heartbeats of nodes that changed recently: compact heartbeats omit the versions.
    pub fn recent_changes(&self, now: Micros) -> Vec<Heartbeat> {
        self.recently_advanced(now)
            .filter(|entry| now.saturating_sub(entry.last_change_at) < RECENT_CHANGE_PERIOD)
            .map(PeerEntry::heartbeat)
            .collect()
    }

    /// Merges the compact heartbeats of an incarnation set. Returns false and changes nothing if this node's
    /// set differs. Each compact heartbeat is read as the next higher heartbeat with these low bytes, so a known
    /// heartbeat never decreases.
    pub fn merge_compact_heartbeats(
        &mut self,
        own_id: NodeId,
        incarnation_set: u64,
        compact_heartbeats: &[u8],
        now: Micros,
    ) -> bool {
        if incarnation_set != self.incarnation_set(now)
            || compact_heartbeats.len() != COMPACT_BYTES * self.recently_advanced(now).count()
        {
            return false;
        }
        let entries = self.entries.values_mut().filter(|entry| entry.has_advanced_recently(now));
        for (entry, bytes) in entries.zip(compact_heartbeats.chunks_exact(COMPACT_BYTES)) {
            let low_bits = u64::from(u16::from_le_bytes([bytes[0], bytes[1]]));
            let advance = low_bits.wrapping_sub(entry.record.heartbeat) & COMPACT_MASK;
            if entry.record.node_id != own_id && advance > 0 && advance < COMPACT_ADVANCE_LIMIT {
                entry.record.heartbeat += advance;
                entry.heartbeat_at = now;
            }
        }
        true
    }

    /// Records the stamps that a peer sent, so that they are not sent back.
    pub fn record_received(&mut self, from: NodeId, stamps: impl Iterator<Item = (NodeId, HeartbeatStamp)>) {
        let sent = self.sent_stamps.entry(from).or_default();
        for (node_id, stamp) in stamps {
            let newest = sent.entry(node_id).or_insert(stamp);
            *newest = (*newest).max(stamp);
        }
    }

    /// Forgets all stamps that a peer is known to have: the next delta to it holds every record.
    pub fn reset_peer(&mut self, peer: NodeId) {
        self.sent_stamps.remove(&peer);
    }

    /// Forgets the stamps of these nodes that a peer is known to have: the next delta to it holds their records.
    pub fn forget_sent_nodes(&mut self, peer: NodeId, nodes: &[NodeId]) {
        let Some(sent) = self.sent_stamps.get_mut(&peer) else { return };
        for node_id in nodes {
            sent.remove(node_id);
        }
    }

    /// Returns a random other known node, possibly a failed one, so that gossip resumes after a partition heals.
    pub fn random_peer(&self, own_id: NodeId, rng: &mut Rng) -> Option<NodeId> {
        let peers: Vec<_> = self.entries.keys().filter(|node_id| **node_id != own_id).copied().collect();
        if peers.is_empty() {
            return None;
        }
        peers.get(usize::try_from(rng.next_below(peers.len() as u64)).unwrap_or(0)).copied()
    }

    /// Returns the state that a peer does not know yet, and records it as sent.
    pub fn delta(&mut self, peer: NodeId, now: Micros) -> Delta {
        let sent = self.sent_stamps.entry(peer).or_default();
        let mut delta = Delta::default();
        for (node_id, entry) in &self.entries {
            let stamp = entry.stamp();
            if !entry.has_advanced_recently(now) || sent.get(node_id).is_some_and(|known| *known >= stamp) {
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

    /// Merges a heartbeat and returns whether it was newer than the known state. Returns `None` if the
    /// incarnation is not known, so that the node's record must be requested first.
    pub fn merge_heartbeat(&mut self, heartbeat: &Heartbeat, now: Micros) -> Option<bool> {
        let stamp = HeartbeatStamp::from(heartbeat);
        if self.replaced.get(&heartbeat.node_id).is_some_and(|replaced| replaced.covers(stamp)) {
            return Some(false);
        }
        let entry = self.entries.get_mut(&heartbeat.node_id)?;
        if heartbeat.incarnation > entry.record.incarnation {
            return None;
        }
        // A compact heartbeat may have arrived before the version; versions only increase within an incarnation.
        let is_version_only = stamp == entry.stamp() && heartbeat.version > entry.record.version;
        if stamp <= entry.stamp() && !is_version_only {
            return Some(false);
        }
        if (heartbeat.version, heartbeat.draining) != (entry.record.version, entry.record.draining) {
            entry.last_change_at = now;
        }
        entry.record.heartbeat = heartbeat.counter;
        entry.record.version = heartbeat.version;
        entry.record.draining = heartbeat.draining;
        if !is_version_only {
            entry.heartbeat_at = now;
        }
        Some(true)
    }
}
