//! How a changed set of voters takes over what the set before it granted.
//!
//! A voter of a new set grants nothing before it is *ready* for it. There are two ways:
//!
//! - it receives replies from a majority of the set before, or from one voter that is ready already;
//! - it has known the set for [`TAKEOVER_TIMEOUT`]. No lease of an earlier set is valid any more by then,
//!   and what remains of earlier grants is counted as spent or as in use.
//!
//! Why a majority of the set before is enough, whatever its members took over themselves: a set is changed
//! only once a majority of it is ready. What it granted is on the disks of a majority too, so any majority
//! contains a voter of each. A member that skipped versions adds what it knows, and hides nothing.
//!
//! Why time is enough: a voter that accepted a change of the set does not vote for a lease until it knows
//! whether that version was decided ([`Node::is_changing_voters`]), also after a start, as what it accepted
//! is on its disk. A majority of the set before accepted the change before any node could learn it, and
//! every lease needs the vote of one of that majority. So each lease of an earlier set was requested before
//! this node learned the new set, and has expired a lease's duration later.
//!
//! Why a lease of an earlier set and one of this set for the same role are never valid at once, though the
//! holder of the earlier one may not know this set: the voters of this set that voted in the earlier one
//! keep their entries of its leases, and a majority of them intersects each majority that granted one. A
//! voter that is new, or any voter once their number fell, does not vote for a new lease until those that
//! it knows nothing of have expired: a lease's duration after it learned the set.

use super::TakeoverReply;
use crate::base::{Incarnation, MS, Micros, NodeId, Version};
use crate::config::Limit;
use crate::consensus::{ConsensusState, DurableWrite, is_majority};
use crate::lease::{LEASE_DURATION, ReceivedGrant, epoch_base};
use crate::node::Node;
use crate::peers::FAILURE_TIMEOUT;
use crate::protocol::{MembershipMessage, Message, RegisteredIncarnation, WindowGrant};
use std::collections::{BTreeMap, BTreeSet};

/// How often the voters that can hand over are requested to, in microseconds.
const REQUEST_INTERVAL: Micros = 100 * MS;
/// How long after it learned the set a voter that nobody handed over to is ready anyway, in microseconds.
/// By then a voter that is lost has been detected too, so it is replaced no later.
const TAKEOVER_TIMEOUT: Micros = FAILURE_TIMEOUT;
/// The clocks of holders may run slower than this node's by a fiftieth.
const _: () = assert!(TAKEOVER_TIMEOUT > LEASE_DURATION + LEASE_DURATION / 50, "leases of earlier sets have expired");

/// What a voter has collected for the newest set.
#[derive(Clone, Debug, Default)]
pub(in crate::node) struct Takeover {
    /// The set that is taken over to, named by its version.
    voter_set: Option<Version>,
    /// Since when this incarnation knows the set, in microseconds of its monotonic clock.
    known_since: Micros,
    /// The nodes that replied.
    replied: BTreeSet<NodeId>,
    /// What they handed over of windows, by tenant and node that it was granted to.
    grants: BTreeMap<(String, NodeId), ReceivedGrant>,
    /// The registrations that they handed over.
    registered: BTreeMap<(NodeId, Incarnation), RegisteredIncarnation>,
    /// When the next requests are sent, in microseconds.
    next_request_at: Micros,
}

impl Takeover {
    /// Of two records of one grant the greater total counts, and the earlier start of its window.
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

    /// Takes the collected grants out, with the ages that their windows have now.
    fn drain_grants(&mut self, now: Micros) -> Vec<WindowGrant> {
        std::mem::take(&mut self.grants).into_values().map(|received| received.into_current(now)).collect()
    }
}

/// Whether this voter may know nothing of leases of earlier sets, by its newest version alone.
pub(in crate::node) fn may_miss_leases(consensus: &ConsensusState, own_id: NodeId) -> bool {
    consensus.newest().is_some_and(|entry| {
        let was_voter = entry.previous_voters.iter().any(|voter| voter.node_id == own_id);
        !entry.previous_voters.is_empty() && (!was_voter || entry.voters.len() < entry.previous_voters.len())
    })
}

impl Node {
    /// Records that a new set of voters is in force here. Under the set before it this node was a voter or
    /// not, among that many voters.
    pub(in crate::node) fn on_voters_changed(&mut self, was_voter: bool, previous_count: usize, now: Micros) {
        self.membership.voters_changed_at = now;
        let has_shrunk = self.consensus.state.voters().len() < previous_count;
        if !was_voter || has_shrunk || may_miss_leases(&self.consensus.state, self.settings.node_id) {
            self.leases.grantor.earlier_sets_until = now + LEASE_DURATION;
        }
    }

    /// The newest set of voters, named by the version that began it.
    pub(in crate::node) fn voter_set(&self) -> Version {
        self.consensus.state.newest().map_or(0, |entry| entry.voters_since)
    }

    /// Whether this voter may grant in the newest set.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.voter() && self.membership.ready_set == Some(self.voter_set())
    }

    /// Whether this voter accepted a change of the set and doesn't know whether it was decided.
    pub(in crate::node) fn is_changing_voters(&self) -> bool {
        self.consensus.state.accepted.as_ref().is_some_and(|a| a.1.voters_since != self.voter_set())
    }

    /// Makes this voter ready for the newest set: at once if no set came before it, else by requests to
    /// the voters of both sets, or by time.
    pub(in crate::node) fn tick_takeover(&mut self, now: Micros) {
        if !self.voter() || self.is_ready() {
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

    /// Hands over what this node knows. A node that does so acts under no earlier set any more, also after a
    /// start: so it replies only once the newest set is on its disk, and is requested again until then.
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

    /// Whether a majority of the newest set is ready, and so took over what was granted before.
    pub(in crate::node) fn is_taken_over(&self) -> bool {
        let voter_set = self.voter_set();
        let ready_sets = self.consensus.state.ready_sets.iter();
        let ready: BTreeSet<NodeId> = ready_sets.filter(|(_, set)| **set == voter_set).map(|(node, _)| *node).collect();
        is_majority(self.consensus.state.voters(), &ready)
    }

    /// Records that a voter is ready, which it announces only once that is on its disk.
    pub(in crate::node) fn on_ready(&mut self, from: NodeId, voter_set: Version) {
        if from == self.settings.node_id {
            self.membership.synced_ready_set = self.membership.synced_ready_set.max(Some(voter_set));
        }
        let newest = self.consensus.state.ready_sets.entry(from).or_insert(voter_set);
        *newest = (*newest).max(voter_set);
    }

    /// Collects what a voter handed over. One that is ready itself hands over everything; others count as
    /// one voter of the set before.
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

    /// Takes over where nobody is left to hand over. All open windows count as spent, and all shares of
    /// rates that nobody reports count as in use by an unknown incarnation that nobody can prove dead.
    fn take_over_by_timeout(&mut self, now: Micros) {
        self.counters.takeovers_by_timeout += 1;
        let grants = self.spent_windows();
        let unknown = RegisteredIncarnation { node_id: NodeId::default(), incarnation: 0, addr: String::new() };
        self.membership.takeover.registered.insert((unknown.node_id, unknown.incarnation), unknown);
        self.complete_takeover(grants, now);
    }

    /// A grant of the whole quota for each tenant with a window, numbered above all windows of earlier sets.
    fn spent_windows(&self) -> Vec<WindowGrant> {
        let window = epoch_base(self.voter_set());
        let spent = |tenant: &String, quota: &Limit| match quota {
            Limit::Window(limit) => Some(WindowGrant {
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

    /// Records what was taken over, and announces that this voter is ready once all of it is on its disk.
    fn complete_takeover(&mut self, grants: Vec<WindowGrant>, now: Micros) {
        let voter_set = self.voter_set();
        let new_grants = grants.into_iter().filter(|grant| self.record_grant(grant, now));
        let mut writes: Vec<_> = new_grants.map(DurableWrite::Grant).collect();
        // The majority of the set before that confirmed a registration did so before it saw this set, and one
        // of its members is among the voters that handed over: so a majority of this set has it now.
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
