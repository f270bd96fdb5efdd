//! Changes of the set of voters, which the voters propose themselves, one voter at a time.
//!
//! Guarantees that each change adds one voter or replaces one, and is an ordinary log entry, so all nodes
//! agree on it. A voter that failed, drains or was replaced is removed only if a core is available to replace
//! it, so losses never shrink the set. The next change is proposed only once a majority of the newest set is
//! ready (see [`takeover`](super::takeover)).
//!
//! Backoff: the voters propose in an order that rendezvous hashing draws for each version, so that they do
//! not compete. A node that has just started or resumed counts no unresponsive voter as failed.

use crate::base::{ChangeId, MS, Micros, NodeId, SEC, Version, rendezvous_weight};
use crate::consensus::{PendingChange, Requester, is_majority};
use crate::node::Node;
use crate::peers::{FAILURE_TIMEOUT, PeerEntry};
use crate::protocol::{Change, ConsensusMessage, Message, Voter};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// The delay by which each voter proposes after the voter ranked before it, in microseconds.
pub const PROPOSAL_RANK_DELAY: Micros = 300 * MS;
/// The minimum time between the last contact with a voter and a contact with another node at its address for
/// that node to count as its replacement, in microseconds.
pub const REPLACEMENT_MARGIN: Micros = 300 * MS;
/// The time without contact after which a voter is suspected and may be replaced by a recent candidate, in
/// microseconds.
pub const SUSPECT_TIMEOUT: Micros = 1_500 * MS;
/// The time after its discovery for which a candidate counts as recent, in microseconds.
const RECENT_PERIOD: Micros = 10 * SEC;
/// The time after its own start for which a node counts no newly discovered candidate as recent, in
/// microseconds: it discovers all nodes then.
const DISCOVERY_PERIOD: Micros = SEC;
/// The interval at which a voter checks whether a change is due, in microseconds.
const CHECK_INTERVAL: Micros = 50 * MS;
/// The time after which a proposed change times out, in microseconds.
const PROPOSAL_TIMEOUT: Micros = 2 * SEC;
/// The interval at which a draining core without a vote probes the versions of the voters, in microseconds.
const PROBE_INTERVAL: Micros = 100 * MS;

/// The status of a voter, in ascending order of the priority of its replacement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum VoterStatus {
    /// The last contact was less than [`SUSPECT_TIMEOUT`] ago.
    Live,
    /// The last contact was less than [`FAILURE_TIMEOUT`] ago; only a recent candidate may replace the voter.
    Suspect,
    /// The voter is unknown, or there was no contact for [`FAILURE_TIMEOUT`].
    Failed,
    /// The voter is draining.
    Draining,
    /// Another node runs at the voter's address.
    Replaced,
}

/// A voter with its zone and its status.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoterSlot {
    /// The voter.
    pub voter: Voter,
    /// The voter's zone, if known.
    pub zone: Option<String>,
    /// The voter's status.
    pub status: VoterStatus,
}

/// A live core without a vote that has the newest version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The core.
    pub node: Voter,
    /// The core's zone.
    pub zone: String,
    /// Whether the core was discovered only recently, as a machine that replaces another is.
    pub is_recent: bool,
}

/// A change of voters that is due.
#[derive(Clone, Debug)]
pub(in crate::node) struct PlannedChange {
    /// The version on which the change is based.
    version: Version,
    /// Since when the change is due, in microseconds.
    due_since: Micros,
    /// When the change is checked again, in microseconds.
    next_check_at: Micros,
}

/// Returns the number of voters, out of this many cores, that tolerates the given losses. The number is odd.
#[must_use]
pub fn target_voter_count(tolerated_losses: u32, cores: usize) -> usize {
    let count = (2 * tolerated_losses as usize + 1).min(cores);
    if count.is_multiple_of(2) { count.saturating_sub(1) } else { count }
}

/// Returns whether a node at a voter's address started there after the voter, judged by when both were in
/// contact. A voter that never contacted this incarnation may still be reported by other nodes long after its
/// loss, so the time of its first report proves nothing.
fn is_successor(other: &PeerEntry, voter: &PeerEntry) -> bool {
    let is_known_later = voter.last_contact_at == 0 || other.discovered_at >= voter.discovered_at;
    is_known_later && other.last_contact_at > voter.last_contact_at.max(voter.discovered_at) + REPLACEMENT_MARGIN
}

/// Returns whether `other` runs at the address of a voter now and replaces it. `own` is the voter's own
/// entry.
fn replaces(other: &PeerEntry, voter: &Voter, own: Option<&PeerEntry>, now: Micros) -> bool {
    let is_live = !other.record.draining && now.saturating_sub(other.heartbeat_at) < FAILURE_TIMEOUT;
    other.record.is_core
        && other.record.node_id != voter.node_id
        && other.record.addr == voter.addr
        && is_live
        && own.is_none_or(|own| is_successor(other, own))
}

/// Returns the status of a voter from the entries of the peer table.
#[must_use]
pub fn voter_status(voter: &Voter, peers: &BTreeMap<NodeId, PeerEntry>, now: Micros) -> VoterStatus {
    let own = peers.get(&voter.node_id);
    if peers.values().any(|other| replaces(other, voter, own, now)) {
        return VoterStatus::Replaced;
    }
    let Some(own) = own else { return VoterStatus::Failed };
    match now.saturating_sub(own.heartbeat_at.max(own.last_contact_at)) {
        _ if own.record.draining => VoterStatus::Draining,
        silence if silence >= FAILURE_TIMEOUT => VoterStatus::Failed,
        silence if silence >= SUSPECT_TIMEOUT => VoterStatus::Suspect,
        _ => VoterStatus::Live,
    }
}

/// Returns the next set of voters if a voter must be replaced or added.
#[must_use]
pub fn choose_voters(slots: &[VoterSlot], candidates: &[Candidate], tolerated_losses: u32) -> Option<Vec<Voter>> {
    let removed = voter_to_replace(slots, candidates);
    if removed.is_none() && slots.len() >= target_voter_count(tolerated_losses, slots.len() + candidates.len()) {
        return None;
    }
    let remaining: Vec<_> =
        slots.iter().filter(|slot| removed.is_none_or(|removed| removed.voter != slot.voter)).collect();
    let added = best_candidate(candidates, &remaining, removed)?;
    let mut voters: Vec<_> = remaining.iter().map(|slot| slot.voter.clone()).collect();
    voters.push(added.node.clone());
    voters.sort();
    Some(voters)
}

/// Returns the voter with the highest priority of replacement, if any.
fn voter_to_replace<'a>(slots: &'a [VoterSlot], candidates: &[Candidate]) -> Option<&'a VoterSlot> {
    let has_recent = candidates.iter().any(|candidate| candidate.is_recent);
    let must_be_replaced = |slot: &&VoterSlot| match slot.status {
        VoterStatus::Live => false,
        VoterStatus::Suspect => has_recent,
        VoterStatus::Failed | VoterStatus::Draining | VoterStatus::Replaced => true,
    };
    slots.iter().filter(must_be_replaced).max_by_key(|slot| (slot.status, slot.voter.node_id))
}

/// Returns the candidate in the zone with the fewest remaining voters; among those the one at the address of
/// the removed voter, then the first by rendezvous hashing. A suspected voter is replaced only by a recent
/// candidate.
fn best_candidate<'a>(
    candidates: &'a [Candidate],
    remaining: &[&VoterSlot],
    removed: Option<&VoterSlot>,
) -> Option<&'a Candidate> {
    let voters_in = |zone: &str| remaining.iter().filter(|slot| slot.zone.as_deref() == Some(zone)).count();
    let must_be_recent = removed.is_some_and(|removed| removed.status == VoterStatus::Suspect);
    candidates.iter().filter(|candidate| candidate.is_recent || !must_be_recent).min_by_key(|candidate| {
        let node_id = candidate.node.node_id;
        let is_elsewhere = removed.is_none_or(|removed| removed.voter.addr != candidate.node.addr);
        let weight = rendezvous_weight(node_id.0, candidate.zone.as_bytes());
        (voters_in(&candidate.zone), is_elsewhere, Reverse(weight), node_id)
    })
}

/// Returns the delay before a voter proposes a change, in microseconds: first the live voters in an order by
/// rendezvous hashing that differs by version, then the suspected voters, then all others.
#[must_use]
pub fn proposal_delay(own_id: NodeId, slots: &[VoterSlot], version: Version) -> Micros {
    let mut ranked: Vec<_> = slots
        .iter()
        .filter(|slot| slot.status <= VoterStatus::Suspect)
        .map(|slot| {
            let node_id = slot.voter.node_id;
            let weight = rendezvous_weight(node_id.0, &version.to_le_bytes());
            (slot.status == VoterStatus::Suspect, Reverse(weight), node_id)
        })
        .collect();
    ranked.sort_unstable();
    let rank = ranked.iter().position(|(_, _, node_id)| *node_id == own_id).unwrap_or(ranked.len());
    PROPOSAL_RANK_DELAY * rank as u64
}

/// Returns whether no other node at the same address was seen later. Of two nodes at one address, the later
/// one is running.
fn is_latest_at_address(peer: &PeerEntry, peers: &BTreeMap<NodeId, PeerEntry>) -> bool {
    !peers.values().any(|other| {
        other.record.node_id != peer.record.node_id
            && other.record.addr == peer.record.addr
            && other.heartbeat_at > peer.heartbeat_at
    })
}

impl Node {
    fn voter_slots(&self, now: Micros) -> Vec<VoterSlot> {
        self.consensus.state.voters().iter().map(|voter| self.voter_slot(voter, now)).collect()
    }

    fn voter_slot(&self, voter: &Voter, now: Micros) -> VoterSlot {
        let peers = &self.dissemination.peers.entries;
        let is_self = voter.node_id == self.settings.node_id;
        let status = match is_self {
            true if self.is_draining => VoterStatus::Draining,
            true => VoterStatus::Live,
            false => voter_status(voter, peers, now),
        };
        let zone = peers.get(&voter.node_id).map(|peer| peer.record.zone.clone());
        VoterSlot { voter: voter.clone(), zone, status }
    }

    fn candidates(&self, version: Version, now: Micros) -> Vec<Candidate> {
        let peers = &self.dissemination.peers;
        peers
            .entries
            .values()
            .filter(|peer| peer.record.is_core && peers.is_alive(peer.record.node_id, now))
            .filter(|peer| !self.consensus.state.is_voter(peer.record.node_id))
            .filter(|peer| is_latest_at_address(peer, &peers.entries))
            .filter(|peer| self.known_version(peer) >= version)
            .map(|peer| self.candidate(peer, now))
            .collect()
    }

    /// Returns the newest version that a core is known to have.
    fn known_version(&self, peer: &PeerEntry) -> Version {
        let synced = self.consensus.state.synced_versions.get(&peer.record.node_id).copied();
        peer.record.version.max(synced.unwrap_or(0))
    }

    fn candidate(&self, peer: &PeerEntry, now: Micros) -> Candidate {
        let is_new = now.saturating_sub(peer.discovered_at) < RECENT_PERIOD;
        Candidate {
            node: Voter { node_id: peer.record.node_id, addr: peer.record.addr.clone() },
            zone: peer.record.zone.clone(),
            is_recent: is_new && peer.discovered_at > self.clock.started_at + DISCOVERY_PERIOD,
        }
    }

    /// Returns whether this node may stop: a majority that does not count it, and was seen recently, has on
    /// its disks all that this node has. A voter also waits for its replacement while a live core could
    /// replace it.
    #[must_use]
    pub fn may_stop(&self, now: Micros) -> bool {
        let Some(version) = self.version().filter(|_| self.settings.is_core) else { return true };
        let own_id = self.settings.node_id;
        let live_cores = self.dissemination.peers.live(now).filter(|peer| peer.is_core);
        let mut other_cores = live_cores.filter(|peer| peer.node_id != own_id).peekable();
        if other_cores.peek().is_none() {
            return true;
        }
        let awaits_replacement = self.is_voter() && self.settings.manages_voters;
        if awaits_replacement && other_cores.any(|peer| !self.consensus.state.is_voter(peer.node_id)) {
            return false;
        }
        let voters = self.consensus.state.voters();
        let others = voters.iter().map(|voter| voter.node_id).filter(|node| *node != own_id);
        let up_to_date: BTreeSet<NodeId> = others.filter(|node| self.is_up_to_date(*node, version, now)).collect();
        self.consensus.state.accepted.is_none() && is_majority(voters, &up_to_date)
    }

    /// Returns whether a voter was seen recently, has this version on its disk, and is ready for the newest
    /// set.
    fn is_up_to_date(&self, node: NodeId, version: Version, now: Micros) -> bool {
        let peer = self.dissemination.peers.entries.get(&node);
        let is_live = peer.is_some_and(|peer| now.saturating_sub(peer.heartbeat_at) < FAILURE_TIMEOUT);
        let has_version = self.consensus.state.synced_versions.get(&node).is_some_and(|synced| *synced >= version);
        is_live && has_version && self.consensus.state.ready_sets.get(&node) == Some(&self.voter_set())
    }

    /// Probes the voters' versions for [`Node::may_stop`]: a draining core without a vote learns them in no
    /// other way.
    fn probe_before_stop(&mut self, now: Micros) {
        let is_leaving = self.is_draining && self.settings.is_core && !self.is_voter();
        let Some(version) = self.version().filter(|_| is_leaving) else { return };
        if now >= self.consensus.freshness.next_probe_at {
            self.consensus.freshness.next_probe_at = now + PROBE_INTERVAL;
            self.broadcast_to_voters(&Message::Consensus(ConsensusMessage::FreshnessProbe { seq: 0, version }), now);
        }
    }

    /// Proposes the change of voters that is due, if it is this voter's turn.
    pub(in crate::node) fn tick_voters(&mut self, now: Micros) {
        self.probe_before_stop(now);
        // A draining voter proposes too, after all others: there may be no other voter.
        if !self.settings.manages_voters || !self.is_voter() {
            return;
        }
        let Some(version) = self.version() else { return };
        let planned = self.membership.planned_change.as_ref().filter(|planned| planned.version == version);
        if planned.is_some_and(|planned| now < planned.next_check_at) {
            return;
        }
        let planned_since = planned.map_or(now, |planned| planned.due_since);
        let slots = self.voter_slots_after_grace(now);
        let next_voters = choose_voters(&slots, &self.candidates(version, now), self.settings.tolerated_losses);
        let due_since = if next_voters.is_some() { planned_since } else { now };
        let next_check_at = now + CHECK_INTERVAL;
        self.membership.planned_change = Some(PlannedChange { version, due_since, next_check_at });
        let Some(voters) = next_voters else { return };
        if self.may_propose_voters() && now >= due_since + proposal_delay(self.settings.node_id, &slots, version) {
            self.propose_voters(version, voters, now);
        }
    }

    /// Returns the voters with their status. Just after a start or a resumption, when this node has been in
    /// contact with no peer for a while, no voter counts as suspected or failed.
    fn voter_slots_after_grace(&self, now: Micros) -> Vec<VoterSlot> {
        let mut slots = self.voter_slots(now);
        if now.saturating_sub(self.clock.started_at.max(self.clock.resumed_at)) <= FAILURE_TIMEOUT {
            for slot in &mut slots {
                if matches!(slot.status, VoterStatus::Failed | VoterStatus::Suspect) {
                    slot.status = VoterStatus::Live;
                }
            }
        }
        slots
    }

    /// Returns whether no change of voters is pending here and the newest set has taken over.
    fn may_propose_voters(&self) -> bool {
        let pending = &self.consensus.state.pending_changes;
        !pending.iter().any(|change| change.requester == Requester::Internal) && self.is_taken_over()
    }

    fn propose_voters(&mut self, version: Version, voters: Vec<Voter>, now: Micros) {
        self.counters.voter_changes_proposed += 1;
        let change_id = ChangeId(self.rng.next_u64().max(1));
        self.consensus.state.pending_changes.push(PendingChange {
            requester: Requester::Internal,
            change_id,
            is_first_send: true,
            base: version,
            change: Change::Voters(voters),
            deadline: now + PROPOSAL_TIMEOUT,
            was_proposed: false,
            decided_version: None,
        });
    }
}
