//! The voters see to their number and their places themselves, one change at a time.

use crate::base::{ChangeId, MS, Micros, NodeId, SEC, Version, rendezvous_weight};
use crate::consensus::{PendingChange, Requester, is_majority};
use crate::node::Node;
use crate::peers::{FAILURE_TIMEOUT, PeerEntry};
use crate::protocol::{Change, ConsensusMessage, Message, Voter};
use std::collections::{BTreeMap, BTreeSet};

/// A voter ranked later proposes so much later for each rank.
pub const STEP: Micros = 300 * MS;
/// A machine at an old address that speaks so long after the voter there last did has replaced it.
pub const REPLACED_AFTER: Micros = 300 * MS;
/// A silent voter is taken for gone after this when a machine came only lately.
pub const SILENT: Micros = 1_500 * MS;
const LATELY: Micros = 10 * SEC;
const EVERY: Micros = 50 * MS;
const PATIENCE: Micros = 2 * SEC;
/// How often a core that leaves asks voters what they hold.
const ASK_TO_END: Micros = 100 * MS;

/// How a voter stands, the most certain end last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum VoterStanding {
    Live,
    /// Silent, but not for long enough unless a machine came only lately.
    Silent,
    Failed,
    Draining,
    /// Another node lives at its address.
    Replaced,
}

/// A voter, its zone where it is known, and how it stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoterSlot {
    pub voter: Voter,
    pub zone: Option<String>,
    pub standing: VoterStanding,
}

/// A live core without a vote that holds the newest version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    pub node: Voter,
    pub zone: String,
    /// It came only lately, as one does that stands in for another.
    pub is_recent: bool,
}

/// A change of voters that is due, and since when.
#[derive(Clone, Debug)]
pub(in crate::node) struct PlannedChange {
    version: Version,
    since: Micros,
    look: Micros,
}

/// How many voters bear the loss of `lose`, of so many cores: an odd number.
pub fn target_voter_count(lose: u32, cores: usize) -> usize {
    let n = (2 * lose as usize + 1).min(cores);
    if n.is_multiple_of(2) { n.saturating_sub(1) } else { n }
}

/// Whether a node at the address of a voter came there after it, by when both were heard. Of a voter
/// that never spoke to this life of the node others may tell long after its end, so when it was
/// first told of says nothing then.
fn comes_after(other: &PeerEntry, voter: &PeerEntry) -> bool {
    let known_later = voter.contacted_at == 0 || other.first_heard_at >= voter.first_heard_at;
    known_later && other.contacted_at > voter.contacted_at.max(voter.first_heard_at) + REPLACED_AFTER
}

/// How a voter at `c` stands by what was heard.
pub fn state(c: &Voter, seen: &BTreeMap<NodeId, PeerEntry>, now: Micros) -> VoterStanding {
    let own = seen.get(&c.node_id);
    let replaces = |s: &PeerEntry| {
        let lives = !s.record.draining && now.saturating_sub(s.heard_at) < FAILURE_TIMEOUT;
        s.record.is_core
            && s.record.node_id != c.node_id
            && s.record.addr == c.addr
            && lives
            && own.is_none_or(|own| comes_after(s, own))
    };
    if seen.values().any(replaces) {
        return VoterStanding::Replaced;
    }
    let Some(s) = own else { return VoterStanding::Failed };
    let still = now.saturating_sub(s.heard_at.max(s.contacted_at));
    match still {
        _ if s.record.draining => VoterStanding::Draining,
        t if t >= FAILURE_TIMEOUT => VoterStanding::Failed,
        t if t >= SILENT => VoterStanding::Silent,
        _ => VoterStanding::Live,
    }
}

/// The next set of voters, if it should differ by one from this one.
pub fn choose_voters(seats: &[VoterSlot], spares: &[Candidate], lose: u32) -> Option<Vec<Voter>> {
    let young = spares.iter().any(|s| s.is_recent);
    let ended = |s: &&VoterSlot| s.standing > VoterStanding::Silent || (s.standing == VoterStanding::Silent && young);
    let out = seats.iter().filter(ended).max_by_key(|s| (s.standing, s.voter.node_id));
    let rest: Vec<_> = seats.iter().filter(|s| out.is_none_or(|o| o.voter != s.voter)).collect();
    if out.is_none() && seats.len() >= target_voter_count(lose, seats.len() + spares.len()) {
        return None;
    }
    let count = |z: &str| rest.iter().filter(|s| s.zone.as_deref() == Some(z)).count();
    let only = out.is_some_and(|o| o.standing == VoterStanding::Silent);
    let best = spares.iter().filter(|s| s.is_recent || !only).min_by_key(|s| {
        let away = out.is_none_or(|o| o.voter.addr != s.node.addr);
        (
            count(&s.zone),
            away,
            std::cmp::Reverse(rendezvous_weight(s.node.node_id.0, s.zone.as_bytes())),
            s.node.node_id,
        )
    })?;
    let mut v: Vec<_> = rest.iter().map(|s| s.voter.clone()).collect();
    v.push(best.node.clone());
    v.sort();
    Some(v)
}

/// How long a voter waits before it proposes: the live ones by rendezvous, anew for each version.
pub fn proposal_delay(me: NodeId, seats: &[VoterSlot], version: Version) -> Micros {
    let mut v: Vec<_> = seats
        .iter()
        .filter(|s| s.standing <= VoterStanding::Silent)
        .map(|s| {
            (
                s.standing == VoterStanding::Silent,
                std::cmp::Reverse(rendezvous_weight(s.voter.node_id.0, &version.to_le_bytes())),
                s.voter.node_id,
            )
        })
        .collect();
    v.sort_unstable();
    STEP * v.iter().position(|x| x.2 == me).unwrap_or(v.len()) as u64
}

impl Node {
    fn voter_slots(&self, now: Micros) -> Vec<VoterSlot> {
        let seat = |c: &Voter| {
            let zone = self.dissemination.peers.entries.get(&c.node_id).map(|s| s.record.zone.clone());
            let mine = c.node_id == self.settings.node_id;
            let state = match mine {
                true if self.draining => VoterStanding::Draining,
                true => VoterStanding::Live,
                false => state(c, &self.dissemination.peers.entries, now),
            };
            VoterSlot { voter: c.clone(), zone, standing: state }
        };
        self.consensus.state.voters().iter().map(seat).collect()
    }

    fn candidates(&self, version: Version, now: Micros) -> Vec<Candidate> {
        let live = self
            .dissemination
            .peers
            .entries
            .values()
            .filter(|s| s.record.is_core && self.dissemination.peers.is_alive(s.record.node_id, now));
        let idle = live.filter(|s| !self.consensus.state.is_voter(s.record.node_id));
        // The newer of two at one address is the one that lives.
        let last = |s: &&PeerEntry| {
            let after = |o: &PeerEntry| {
                o.record.node_id != s.record.node_id && o.record.addr == s.record.addr && o.heard_at > s.heard_at
            };
            !self.dissemination.peers.entries.values().any(after)
        };
        idle.filter(last)
            .filter(|s| {
                s.record.version.max(self.consensus.state.synced_versions.get(&s.record.node_id).copied().unwrap_or(0))
                    >= version
            })
            .map(|s| Candidate {
                node: Voter { node_id: s.record.node_id, addr: s.record.addr.clone() },
                zone: s.record.zone.clone(),
                is_recent: now.saturating_sub(s.first_heard_at) < LATELY
                    && s.first_heard_at > self.clock.started_at + SEC,
            })
            .collect()
    }

    /// Whether a majority without this node, all heard of lately, has on its disks what this one holds, so that it may
    /// end. While it votes and a core lives that could take its place, it waits for that.
    pub fn may_stop(&self, now: Micros) -> bool {
        let Some(version) = self.version().filter(|_| self.settings.is_core) else { return true };
        let mut others =
            self.dissemination.peers.live(now).filter(|p| p.is_core && p.node_id != self.settings.node_id).peekable();
        if others.peek().is_none() {
            return true;
        }
        if self.voter() && self.settings.manages_voters && others.any(|p| !self.consensus.state.is_voter(p.node_id)) {
            return false;
        }
        let set = self.voter_set();
        let held_by = |n: NodeId| {
            let heard = self
                .dissemination
                .peers
                .entries
                .get(&n)
                .is_some_and(|s| now.saturating_sub(s.heard_at) < FAILURE_TIMEOUT);
            let has = self.consensus.state.synced_versions.get(&n).is_some_and(|v| *v >= version);
            n != self.settings.node_id && heard && has && self.consensus.state.ready_sets.get(&n) == Some(&set)
        };
        let held: BTreeSet<NodeId> =
            self.consensus.state.voters().iter().map(|c| c.node_id).filter(|n| held_by(*n)).collect();
        self.consensus.state.accepted.is_none() && is_majority(self.consensus.state.voters(), &held)
    }

    /// A core that leaves and has no vote any more is told by nobody what voters hold.
    fn probe_before_stop(&mut self, now: Micros) {
        let Some(version) = self.version().filter(|_| self.draining && self.settings.is_core && !self.voter()) else {
            return;
        };
        if now >= self.consensus.freshness.probe_due {
            self.consensus.freshness.probe_due = now + ASK_TO_END;
            self.broadcast_to_voters(&Message::Consensus(ConsensusMessage::FreshnessProbe { seq: 0, version }), now);
        }
    }

    /// Proposes the change of voters that is due, if this voter's turn has come.
    pub(in crate::node) fn tick_voters(&mut self, now: Micros) {
        self.probe_before_stop(now);
        // Who leaves proposes too, after all others: there may be no other voter.
        if !self.settings.manages_voters || !self.voter() {
            return;
        }
        let Some(version) = self.version() else { return };
        if self.membership.planned_change.as_ref().is_some_and(|n| n.version == version && now < n.look) {
            return;
        }
        let since = self.membership.planned_change.as_ref().filter(|n| n.version == version).map_or(now, |n| n.since);
        self.membership.planned_change = Some(PlannedChange { version, since, look: now + EVERY });
        let mut seats = self.voter_slots(now);
        // Who just started or woke has heard of nobody for a while.
        if now.saturating_sub(self.clock.started_at.max(self.clock.resumed_at)) <= FAILURE_TIMEOUT {
            for s in &mut seats {
                s.standing = if matches!(s.standing, VoterStanding::Failed | VoterStanding::Silent) {
                    VoterStanding::Live
                } else {
                    s.standing
                };
            }
        }
        let Some(set) = choose_voters(&seats, &self.candidates(version, now), self.settings.tolerated_losses) else {
            self.membership.planned_change = Some(PlannedChange { version, since: now, look: now + EVERY });
            return;
        };
        let open = self.consensus.state.pending_changes.iter().any(|w| w.requester == Requester::Internal);
        if open || !self.is_taken_over() || now < since + proposal_delay(self.settings.node_id, &seats, version) {
            return;
        }
        self.counters.voter_changes_proposed += 1;
        let change_id = ChangeId(self.rng.next_u64().max(1));
        let change = Change::Voters(set);
        let due = now + PATIENCE;
        self.consensus.state.pending_changes.push(PendingChange {
            requester: Requester::Internal,
            change_id,
            is_first_send: true,
            base: version,
            change,
            deadline: due,
            was_proposed: false,
            decided_version: None,
        });
    }
}
