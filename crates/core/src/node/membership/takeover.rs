//! How a changed set of voters takes over what the set before it granted.
//!
//! A voter of a new set grants nothing before it is *ready* for it. There are two ways:
//!
//! - it hears from a majority of the set before, or from one voter that is ready already;
//! - it has known the set for [`ALONE`]. Nobody holds a term of an earlier set any more by
//!   then, and what is left of earlier grants is counted as spent or as held.
//!
//! Why a majority of the set before is enough, whatever its members took over themselves: a
//! set is changed only once a majority of it is ready. What it granted is on the disks of a
//! majority too, so any majority holds a voter of each. A member that skipped versions adds
//! what it knows, and hides nothing.
//!
//! Why time is enough: a voter that accepted a change of the set gives no vote for a term
//! until it knows how that version ended (`changing`), also after a start, as what it accepted
//! is on its disk. A majority of the set before accepted the change before anybody could learn
//! it, and every term needs one of that majority. So each term of an earlier set was asked
//! for before this node learned the new one, and has ended a term later.
//!
//! Why a term of an earlier set and one of this set for the same duty never run at once, though the
//! holder of the earlier one may not know this set: the voters of this set that voted in the earlier
//! one keep their rows of its terms, and a majority of them meets each majority that granted one.
//! A voter that is new, or any voter once their number fell, gives no vote for a new term until
//! what it knows nothing of has ended: a term after it learned the set.

use crate::base::{Incarnation, MS, Micros, NodeId, Version};
use crate::config::Limit;
use crate::consensus::{ConsensusState, DurableWrite, is_majority};
use crate::lease::{LEASE_DURATION, epoch_base};
use crate::node::Node;
use crate::peers::FAILURE_TIMEOUT;
use crate::protocol::{MembershipMessage, Message, RegisteredIncarnation, WindowGrant};
use std::collections::{BTreeMap, BTreeSet};

/// How often those who can hand over are asked.
const ASK_EVERY: Micros = 100 * MS;
/// A voter that found nobody to take over from takes over alone after it knew the set for so
/// long. By then a voter that is lost has been found out too, so it is replaced no later.
pub const ALONE: Micros = FAILURE_TIMEOUT;
/// The clocks of holders may run slower than this node's by a fiftieth.
const _: () = assert!(ALONE > LEASE_DURATION + LEASE_DURATION / 50, "terms of earlier sets have ended");

/// What a voter has gathered for the newest set.
#[derive(Clone, Debug, Default)]
pub(in crate::node) struct Takeover {
    /// The set, named by its version, and since when this life knows it by its steady clock.
    set: Option<Version>,
    since: Micros,
    got: BTreeSet<NodeId>,
    /// What was handed over, and when each was heard.
    rows: BTreeMap<(String, NodeId), (Micros, WindowGrant)>,
    lives: BTreeMap<(NodeId, Incarnation), RegisteredIncarnation>,
    due: Micros,
}

impl Takeover {
    /// Of two words on one grant the greater counts, and the earlier beginning of its window.
    fn gather(&mut self, mut g: WindowGrant, now: Micros) {
        let key = (g.tenant.clone(), g.node_id);
        if let Some((heard, old)) = self.rows.get(&key) {
            let old = old.clone().aged_by(now.saturating_sub(*heard));
            if old.window > g.window {
                return;
            }
            if old.window == g.window {
                g.granted_total = g.granted_total.max(old.granted_total);
                g.age = g.age.max(old.age);
            }
        }
        self.rows.insert(key, (now, g));
    }
}

/// Whether this voter may know nothing of terms of earlier sets, by its newest version alone.
pub(in crate::node) fn may_miss_leases(agree: &ConsensusState, me: NodeId) -> bool {
    agree.newest().is_some_and(|d| {
        let voted = d.previous_voters.iter().any(|c| c.node_id == me);
        !d.previous_voters.is_empty() && (!voted || d.voters.len() < d.previous_voters.len())
    })
}

impl Node {
    /// A new set of voters is in force here. Before it this node had a vote, or had none, among so
    /// many voters.
    pub(in crate::node) fn on_voters_changed(&mut self, voted: bool, voters: usize, now: Micros) {
        let fewer = self.consensus.state.voters().len() < voters;
        if !voted || fewer || may_miss_leases(&self.consensus.state, self.settings.node_id) {
            self.leases.grantor.earlier_sets_until = now + LEASE_DURATION;
        }
    }

    /// The newest set of voters, named by the version that began it.
    pub(in crate::node) fn voter_set(&self) -> Version {
        self.consensus.state.newest().map_or(0, |d| d.voters_since)
    }

    /// Whether this voter may grant in the newest set.
    pub fn is_ready(&self) -> bool {
        self.voter() && self.membership.ready_set == Some(self.voter_set())
    }

    /// Whether this voter accepted a change of the set whose end it doesn't know.
    pub(in crate::node) fn is_changing_voters(&self) -> bool {
        self.consensus.state.accepted.as_ref().is_some_and(|a| a.1.voters_since != self.voter_set())
    }

    pub(in crate::node) fn tick_takeover(&mut self, now: Micros) {
        if !self.voter() || self.is_ready() {
            return;
        }
        let Some(d) = self.consensus.state.newest() else { return };
        let set = d.voters_since;
        if d.previous_voters.is_empty() {
            // The set that founded the fleet comes after nobody.
            return self.take_over(Vec::new(), now);
        }
        let all: BTreeSet<_> = d.previous_voters.iter().chain(&d.voters).map(|c| c.node_id).collect();
        if self.membership.takeover.set != Some(set) {
            self.membership.takeover = Takeover { set: Some(set), since: now, ..Takeover::default() };
        }
        if now >= self.membership.takeover.since + ALONE {
            return self.take_over_alone(now);
        }
        if now < self.membership.takeover.due {
            return;
        }
        self.membership.takeover.due = now + ASK_EVERY;
        for n in all {
            self.send(n, Message::Membership(MembershipMessage::TakeoverRequest { voter_set: set }), now);
        }
    }

    /// Who hands over acts for no earlier set any more, also after a start: it waits until the
    /// newest set is on its disk, and is asked again.
    pub(in crate::node) fn on_takeover_request(&mut self, by: NodeId, set: Version, now: Micros) {
        let Some(d) = self.consensus.state.newest() else { return };
        let full = self.membership.ready_set == Some(set);
        let before = d.previous_voters.iter().any(|c| c.node_id == self.settings.node_id);
        let synced = self.consensus.synced_version.is_some_and(|v| v >= set);
        if d.voters_since != set || !synced || !(full || before) {
            return;
        }
        let rows = self.grants_of(|_| true, now);
        let lives = self.registered_incarnations();
        self.send(
            by,
            Message::Membership(MembershipMessage::TakeoverReply {
                voter_set: set,
                is_complete: full,
                grants: rows,
                registered: lives,
            }),
            now,
        );
    }

    /// Whether a majority of the newest set took over what was granted before.
    pub(in crate::node) fn is_taken_over(&self) -> bool {
        let set = self.voter_set();
        let got: BTreeSet<NodeId> =
            self.consensus.state.ready_sets.iter().filter(|r| *r.1 == set).map(|r| *r.0).collect();
        is_majority(self.consensus.state.voters(), &got)
    }

    /// That a core took over is told only once it is on its disk.
    pub(in crate::node) fn on_ready(&mut self, by: NodeId, set: Version) {
        if by == self.settings.node_id {
            self.membership.synced_ready_set = self.membership.synced_ready_set.max(Some(set));
        }
        let e = self.consensus.state.ready_sets.entry(by).or_insert(set);
        *e = (*e).max(set);
    }

    /// One who took all over can hand all on; others are one voice of the set before.
    pub(in crate::node) fn on_takeover_reply(
        &mut self,
        by: NodeId,
        set: Version,
        full: bool,
        (rows, lives): (Vec<WindowGrant>, Vec<RegisteredIncarnation>),
        lag: Micros,
        now: Micros,
    ) {
        if self.is_ready() || self.membership.takeover.set != Some(set) || set != self.voter_set() {
            return;
        }
        self.membership.takeover.got.insert(by);
        self.membership.takeover.lives.extend(lives.into_iter().map(|l| ((l.node_id, l.incarnation), l)));
        for g in rows {
            self.membership.takeover.gather(g.aged_by(lag), now);
        }
        let old = self.consensus.state.newest().map(|d| d.previous_voters.clone()).unwrap_or_default();
        if full || is_majority(&old, &self.membership.takeover.got) {
            let rows = std::mem::take(&mut self.membership.takeover.rows).into_values();
            let rows = rows.map(|(heard, g)| g.aged_by(now.saturating_sub(heard))).collect();
            self.take_over(rows, now);
        }
    }

    /// Nobody is left to take over from. All windows of now count as spent, and of the rates
    /// all counts as held that is not heard of: by a life that nobody can prove dead.
    fn take_over_alone(&mut self, now: Micros) {
        self.counters.takeovers_by_timeout += 1;
        let window = epoch_base(self.voter_set());
        let spent = |(t, quota): (&String, &Limit)| match quota {
            Limit::Window(q) => Some(WindowGrant {
                tenant: t.clone(),
                window,
                node_id: NodeId::default(),
                granted_total: q.calls,
                age: 0,
            }),
            _ => None,
        };
        let rows = self.config.tenants.iter().map(|(t, x)| (t, &x.quota)).filter_map(spent).collect();
        let unknown = RegisteredIncarnation { node_id: NodeId::default(), incarnation: 0, addr: String::new() };
        self.membership.takeover.lives.insert((unknown.node_id, unknown.incarnation), unknown);
        self.take_over(rows, now);
    }

    fn take_over(&mut self, rows: Vec<WindowGrant>, now: Micros) {
        let set = self.voter_set();
        let mut ops: Vec<_> = rows.into_iter().filter(|g| self.record_grant(g, now)).map(DurableWrite::Grant).collect();
        // A registration was confirmed by a majority of the old set before it saw this one, and
        // one of those is among those who handed over: so a majority of this set has it now.
        ops.push(DurableWrite::Register(std::mem::take(&mut self.membership.takeover.lives).into_values().collect()));
        self.record_registrations(&ops, now);
        ops.push(DurableWrite::Ready(set));
        let to: Vec<_> = self.consensus.state.voters().iter().map(|c| c.node_id).collect();
        let then = to
            .into_iter()
            .filter_map(|n| self.send_effect(n, Message::Membership(MembershipMessage::Ready { voter_set: set }), now))
            .collect();
        self.persist(ops, then);
        self.membership.ready_set = Some(set);
    }
}
