//! The takeover of the previous set's grants by a new set of voters.
//!
//! A voter of a new set grants nothing before it is *ready* for that set, in one of two ways:
//!
//! - it receives replies from a majority of the previous set, or from one voter that is ready already;
//! - it has known the set for [`TAKEOVER_TIMEOUT`]. By then no lease of an earlier set is valid, and whatever
//!   may remain of earlier grants is counted as spent or as in use.
//!
//! Why a majority of the previous set is enough, whatever its members took over themselves: a set is changed
//! only once a majority of it is ready. Its grants are on the disks of a majority too, so any majority
//! contains a voter of each. A member that skipped versions adds what it knows and hides nothing.
//!
//! Why the time-out is enough: a voter that accepted a change of the set does not vote for a lease until it
//! knows whether that version was decided ([`Node::is_changing_voters`]). This holds across a restart, as the
//! accepted entry is on the voter's disk. A majority of the previous set accepted the change before any node
//! could learn it, and every lease needs the vote of one voter of that majority. Therefore each lease of an
//! earlier set was requested before this node learned the new set, and has expired a lease's duration later.
//!
//! Why a lease of an earlier set and a lease of this set for the same role are never valid at once, even if
//! the holder of the earlier one does not know this set: the voters of this set that voted in the earlier one
//! keep their records of its leases, and a majority of them intersects each majority that granted one. A
//! voter that is new, or any voter of a set that has shrunk, does not vote for a new lease until the leases
//! that it does not know have expired: a lease's duration after it learned the set.

use super::TakeoverReply;
use crate::base::{Incarnation, MS, Micros, NodeId, Version};
use crate::config::QuotaLimit;
use crate::consensus::{ConsensusState, DurableWrite, is_majority};
use crate::lease::{LEASE_DURATION, ReceivedGrant, epoch_base};
use crate::node::Node;
use crate::peers::FAILURE_TIMEOUT;
use crate::protocol::{MembershipMessage, Message, RegisteredIncarnation, WindowGrant};
use std::collections::{BTreeMap, BTreeSet};

/// The interval between requests to the voters that can hand over, in microseconds.
const REQUEST_INTERVAL: Micros = 100 * MS;
/// The time after it learned the set when a voter becomes ready without any handover, in microseconds. By
/// then the failure of a lost voter has been detected too, so the time-out does not delay that voter's
/// replacement.
const TAKEOVER_TIMEOUT: Micros = FAILURE_TIMEOUT;
/// Clocks of lease holders may run slower than this node's by one part in 50.
const _: () = assert!(TAKEOVER_TIMEOUT > LEASE_DURATION + LEASE_DURATION / 50, "leases of earlier sets have expired");

/// The replies that a voter has collected for the newest set.
#[derive(Clone, Debug, Default)]
pub(in crate::node) struct Takeover {
    /// The set that takes over, identified by its version.
    voter_set: Option<Version>,
    /// When this incarnation learned the set, in microseconds of its monotonic clock.
    known_since: Micros,
    /// The nodes that replied.
    replied: BTreeSet<NodeId>,
    /// The grants of windows that were handed over, by tenant and by the node that they were granted to.
    grants: BTreeMap<(String, NodeId), ReceivedGrant>,
    /// The registrations that were handed over.
    registered: BTreeMap<(NodeId, Incarnation), RegisteredIncarnation>,
    /// When the next requests are sent, in microseconds.
    next_request_at: Micros,
}

impl Takeover {
    /// Adds a grant. Of two records of the same grant, the greater total and the earlier start of the window
    /// are kept.
    fn merge_grant(&mut self, mut grant: WindowGrant, now: Micros) {
        let key = (grant.tenant.clone(), grant.node_id);
        if let Some(known) = self.grants.get(&key) {
            let known = known.clone().into_current(now);
            if known.window > grant.window {
                return;
            }
            if known.window == grant.window {
                grant.granted_total = grant.granted_total.max(known.granted_total);
                grant.age = grant.age.max(known.age);
            }
        }
        self.grants.insert(key, ReceivedGrant { received_at: now, grant });
    }

    /// Removes and returns the collected grants, with the current ages of their windows.
    fn drain_grants(&mut self, now: Micros) -> Vec<WindowGrant> {
        std::mem::take(&mut self.grants).into_values().map(|received| received.into_current(now)).collect()
    }
}

/// Returns whether leases of earlier sets may exist that this voter does not know, judged by its newest
/// version alone.
pub(in crate::node) fn may_miss_leases(consensus: &ConsensusState, own_id: NodeId) -> bool {
    consensus.newest().is_some_and(|entry| {
        let was_voter = entry.previous_voters.iter().any(|voter| voter.node_id == own_id);
        !entry.previous_voters.is_empty() && (!was_voter || entry.voters.len() < entry.previous_voters.len())
    })
}

impl Node {
    /// Records that a new set of voters is in force on this node. `was_voter` and `previous_count` describe
    /// the set before it: whether this node was a voter, and the number of voters.
    pub(in crate::node) fn on_voters_changed(&mut self, was_voter: bool, previous_count: usize, now: Micros) {
        self.membership.voters_changed_at = now;
        let has_shrunk = self.consensus.state.voters().len() < previous_count;
        if !was_voter || has_shrunk || may_miss_leases(&self.consensus.state, self.settings.node_id) {
            self.leases.grantor.earlier_sets_fence_until = now + LEASE_DURATION;
        }
    }

    /// Returns the newest set of voters, identified by the version that introduced it.
    pub(in crate::node) fn voter_set(&self) -> Version {
        self.consensus.state.newest().map_or(0, |entry| entry.voters_since)
    }

    /// Returns whether this voter may grant in the newest set.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.is_voter() && self.membership.ready_set == Some(self.voter_set())
    }

    /// Returns whether this voter accepted a change of the set and does not know whether it was decided.
    pub(in crate::node) fn is_changing_voters(&self) -> bool {
        self.consensus.state.accepted.as_ref().is_some_and(|a| a.1.voters_since != self.voter_set())
    }

    /// Makes this voter ready for the newest set: at once if the set has no predecessor, otherwise by
    /// requests to the voters of both sets, or by time-out.
    pub(in crate::node) fn tick_takeover(&mut self, now: Micros) {
        if !self.is_voter() || self.is_ready() {
            return;
        }
        let Some(entry) = self.consensus.state.newest() else { return };
        if entry.previous_voters.is_empty() {
            // The set that founded the fleet has no predecessor.
            return self.complete_takeover(Vec::new(), now);
        }
        let voter_set = entry.voters_since;
        if self.membership.takeover.voter_set != Some(voter_set) {
            self.membership.takeover = Takeover { voter_set: Some(voter_set), known_since: now, ..Takeover::default() };
        }
        if now >= self.membership.takeover.known_since + TAKEOVER_TIMEOUT {
            return self.take_over_by_timeout(now);
        }
        if now >= self.membership.takeover.next_request_at {
            self.membership.takeover.next_request_at = now + REQUEST_INTERVAL;
            self.request_takeover(voter_set, now);
        }
    }

    fn request_takeover(&mut self, voter_set: Version, now: Micros) {
        let Some(entry) = self.consensus.state.newest() else { return };
        let nodes: BTreeSet<_> = entry.previous_voters.iter().chain(&entry.voters).map(|voter| voter.node_id).collect();
        for node in nodes {
            self.send(node, Message::Membership(MembershipMessage::TakeoverRequest { voter_set }), now);
        }
    }

    /// Hands over the grants and registrations of this node. After its reply the node must not act under an
    /// earlier set, not even after a restart. So it replies only once the newest set is on its disk, and is
    /// requested again until then.
    pub(super) fn on_takeover_request(&mut self, from: NodeId, voter_set: Version, now: Micros) {
        let Some(entry) = self.consensus.state.newest() else { return };
        let is_complete = self.membership.ready_set == Some(voter_set);
        let was_voter = entry.previous_voters.iter().any(|voter| voter.node_id == self.settings.node_id);
        let is_synced = self.consensus.synced_version.is_some_and(|version| version >= voter_set);
        if entry.voters_since != voter_set || !is_synced || !(is_complete || was_voter) {
            return;
        }
        let grants = self.grants_of(|_| true, now);
        let registered = self.registered_incarnations();
        let reply = MembershipMessage::TakeoverReply { voter_set, is_complete, grants, registered };
        self.send(from, Message::Membership(reply), now);
    }

    /// Returns whether a majority of the newest set is ready, and so has taken over the earlier grants.
    pub(in crate::node) fn is_taken_over(&self) -> bool {
        let voter_set = self.voter_set();
        let ready_sets = self.consensus.state.ready_sets.iter();
        let ready: BTreeSet<NodeId> = ready_sets.filter(|(_, set)| **set == voter_set).map(|(node, _)| *node).collect();
        is_majority(self.consensus.state.voters(), &ready)
    }

    /// Records that a voter is ready. A voter announces this only once it is on its disk.
    pub(in crate::node) fn on_ready(&mut self, from: NodeId, voter_set: Version) {
        if from == self.settings.node_id {
            self.membership.synced_ready_set = self.membership.synced_ready_set.max(Some(voter_set));
        }
        let newest = self.consensus.state.ready_sets.entry(from).or_insert(voter_set);
        *newest = (*newest).max(voter_set);
    }

    /// Collects a voter's handover. A voter that is ready hands over everything; any other voter counts as
    /// one of the previous set.
    pub(super) fn on_takeover_reply(&mut self, from: NodeId, reply: TakeoverReply, delay: Micros, now: Micros) {
        let TakeoverReply { voter_set, is_complete, grants, registered } = reply;
        let takeover = &self.membership.takeover;
        if self.is_ready() || takeover.voter_set != Some(voter_set) || voter_set != self.voter_set() {
            return;
        }
        let takeover = &mut self.membership.takeover;
        takeover.replied.insert(from);
        takeover.registered.extend(registered.into_iter().map(|row| ((row.node_id, row.incarnation), row)));
        for grant in grants {
            takeover.merge_grant(grant.aged_by(delay), now);
        }
        let previous = self.consensus.state.newest().map_or(&[][..], |entry| &entry.previous_voters);
        if is_complete || is_majority(previous, &takeover.replied) {
            let grants = takeover.drain_grants(now);
            self.complete_takeover(grants, now);
        }
    }

    /// Takes over by time-out, without a handover. All open windows count as spent. All shares of rates that
    /// no node reports count as in use by an unknown incarnation, which cannot be proved dead.
    fn take_over_by_timeout(&mut self, now: Micros) {
        self.counters.takeovers_by_timeout += 1;
        let grants = self.spent_windows();
        let unknown = RegisteredIncarnation { node_id: NodeId::default(), incarnation: 0, addr: String::new() };
        self.membership.takeover.registered.insert((unknown.node_id, unknown.incarnation), unknown);
        self.complete_takeover(grants, now);
    }

    /// Returns a grant of the whole quota for each tenant with a window, numbered above all windows of
    /// earlier sets.
    fn spent_windows(&self) -> Vec<WindowGrant> {
        let window = epoch_base(self.voter_set());
        let spent = |tenant: &String, quota: &QuotaLimit| match quota {
            QuotaLimit::Window(limit) => Some(WindowGrant {
                tenant: tenant.clone(),
                window,
                node_id: NodeId::default(),
                granted_total: limit.calls,
                age: 0,
            }),
            _ => None,
        };
        self.config.tenants.iter().filter_map(|(name, tenant)| spent(name, &tenant.quota)).collect()
    }

    /// Records the state that was taken over, and announces that this voter is ready once all of it is on its
    /// disk.
    fn complete_takeover(&mut self, grants: Vec<WindowGrant>, now: Micros) {
        let voter_set = self.voter_set();
        let new_grants = grants.into_iter().filter(|grant| self.record_grant(grant, now));
        let mut writes: Vec<_> = new_grants.map(DurableWrite::Grant).collect();
        // The majority of the previous set that confirmed a registration did so before it learned this set,
        // and one of its members is among the voters that handed over. So a majority of this set has the
        // registration now.
        let registered = std::mem::take(&mut self.membership.takeover.registered);
        writes.push(DurableWrite::Register(registered.into_values().collect()));
        self.record_registrations(&writes, now);
        writes.push(DurableWrite::Ready(voter_set));
        let ready = Message::Membership(MembershipMessage::Ready { voter_set });
        let voters = self.consensus.state.voters().iter().map(|voter| voter.node_id);
        let announcements = voters.filter_map(|node| self.send_effect(node, ready.clone(), now)).collect();
        self.persist(writes, announcements);
        self.membership.ready_set = Some(voter_set);
    }
}
