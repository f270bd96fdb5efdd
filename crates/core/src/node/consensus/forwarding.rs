//! Changes and questions of operators at a node that has no vote: handed on to a voter.

use super::proposer::PATIENCE;
use crate::base::{ChangeId, MS, Micros, NodeId, Version};
use crate::consensus::Requester;
use crate::node::dissemination::QUORUM_TIMEOUT;
use crate::node::{Effect, Node};
use crate::protocol::{Change, ChangeOutcome, ConsensusMessage, Message};
use std::collections::BTreeSet;

/// After so long another voter is asked, though the one that was asked is heard.
const AGAIN: Micros = 1_200 * MS;
/// A voter that answers nothing for so long is taken for out of reach.
const SILENT: Micros = 250 * MS;
/// Beyond a voter's own patience.
const MARGIN: Micros = 1_500 * MS;

/// A change that a core must settle for this node.
#[derive(Clone, Debug)]
pub(in crate::node) struct Forward {
    change_id: ChangeId,
    /// Nobody can have sent this change id before.
    fresh: bool,
    base: Version,
    change: Change,
    /// When its caller came.
    pub since: Micros,
    due: Micros,
    again: Micros,
    /// The voter that was asked last, and when.
    asked: Option<(NodeId, Micros)>,
    /// Voters that were asked and have not said that nothing was sent.
    open: BTreeSet<NodeId>,
    tried: BTreeSet<NodeId>,
    /// Voters that were asked more than once. What one of them says is about its last ask: it may
    /// have sent the change for an earlier one, also in a former life that it knows nothing of.
    asked_again: BTreeSet<NodeId>,
}

impl Forward {
    fn new(change_id: ChangeId, fresh: bool, base: Version, change: Change, now: Micros) -> Self {
        Forward {
            change_id,
            fresh,
            base,
            change,
            since: now,
            due: now + PATIENCE + MARGIN,
            again: now,
            asked: None,
            open: BTreeSet::new(),
            tried: BTreeSet::new(),
            asked_again: BTreeSet::new(),
        }
    }

    /// What its caller is told when it is given up: that nothing was sent only if each voter that
    /// was asked said so of its one ask.
    fn given_up(&self) -> ChangeOutcome {
        let unsent = self.open.is_empty() && self.asked_again.is_empty();
        if unsent || self.change.is_read() { ChangeOutcome::NoQuorum } else { ChangeOutcome::Unknown }
    }
}

impl Node {
    /// Takes a change or a question of a caller at this node.
    pub(in crate::node) fn submit_change(
        &mut self,
        req: u64,
        (change_id, fresh): (ChangeId, bool),
        base: Version,
        change: Change,
        now: Micros,
    ) {
        if self.voter() {
            self.accept_change(Requester::Local(req), (change_id, fresh), base, change, now);
            return;
        }
        self.counters.forwarded += 1;
        self.consensus.forwards.insert(req, Forward::new(change_id, fresh, base, change, now));
        self.tick_forward(now);
    }

    fn accept_change(&mut self, from: Requester, id: (ChangeId, bool), base: Version, change: Change, now: Micros) {
        if change == Change::ReadNewest {
            self.read_newest(from, now);
        } else {
            self.add_pending_change(from, id, base, change, now);
        }
    }

    pub(in crate::node) fn tick_forward(&mut self, now: Micros) {
        for (req, mut f) in std::mem::take(&mut self.consensus.forwards) {
            if now >= f.due || self.is_forward_cut_off(&f, now) {
                self.outbox.push(Effect::CompleteChange { request_id: req, outcome: f.given_up() });
                continue;
            }
            self.forward_to_voter(req, &mut f, now);
            self.consensus.forwards.insert(req, f);
        }
    }

    /// Whether no voter has said anything since the call came, or none is there to be asked.
    fn is_forward_cut_off(&self, f: &Forward, now: Micros) -> bool {
        let waited = now.saturating_sub(f.since);
        let voters = self.consensus.state.voters();
        if voters.is_empty() {
            return waited >= QUORUM_TIMEOUT && self.nearest_core(now, 0).is_none();
        }
        let heard = voters.iter().any(|c| self.has_core_replied(c.node_id, f.since));
        let silent = voters.iter().all(|c| self.is_core_silent(c.node_id, f.since, QUORUM_TIMEOUT, now));
        waited >= QUORUM_TIMEOUT && (!heard || silent)
    }

    /// Asks a voter, or the next one where the last one said no or nothing.
    fn forward_to_voter(&mut self, req: u64, f: &mut Forward, now: Micros) {
        let silent = f.asked.is_some_and(|(node_id, at)| self.is_core_silent(node_id, at, SILENT, now));
        if now < f.again && !silent {
            return;
        }
        let Some(voter) = self.next_voter(f, now) else { return };
        if silent && now < f.again && f.tried.contains(&voter) {
            return;
        }
        f.again = now + AGAIN;
        f.asked = Some((voter, now));
        f.open.insert(voter);
        let first = f.tried.is_empty();
        if !f.tried.insert(voter) {
            f.asked_again.insert(voter);
        }
        let (change_id, fresh) = (f.change_id, f.fresh && first);
        self.send(
            voter,
            Message::Consensus(ConsensusMessage::Forward {
                request_id: req,
                change_id,
                is_first_send: fresh,
                base: f.base,
                change: f.change.clone(),
            }),
            now,
        );
    }

    /// The voter to ask: the nearest one first, then one that was heard since the call came and
    /// was not asked yet.
    fn next_voter(&self, f: &Forward, now: Micros) -> Option<NodeId> {
        let nearest = self.nearest_core(now, 0)?;
        if f.tried.is_empty() {
            return Some(nearest);
        }
        let voters: Vec<_> =
            self.consensus.state.voters().iter().map(|c| c.node_id).filter(|n| *n != self.settings.node_id).collect();
        let live = |n: &&NodeId| self.dissemination.peers.is_alive(**n, now);
        let heard = |n: &&NodeId| self.has_core_replied(**n, f.since);
        let untried = voters.iter().filter(live).filter(|n| !f.tried.contains(n));
        let best = untried.clone().find(heard).or(untried.clone().next());
        best.or(voters.iter().filter(live).find(heard)).or(voters.iter().find(live)).copied()
    }

    pub(in crate::node) fn on_forward(
        &mut self,
        by: NodeId,
        n: u64,
        change_id: (ChangeId, bool),
        base: Version,
        change: Change,
        now: Micros,
    ) {
        if self.voter() {
            self.accept_change(Requester::Peer { node_id: by, request_id: n }, change_id, base, change, now);
        } else {
            self.send(
                by,
                Message::Consensus(ConsensusMessage::ForwardReply { request_id: n, outcome: ChangeOutcome::NoQuorum }),
                now,
            );
        }
    }

    pub(in crate::node) fn on_forwarded(&mut self, by: NodeId, n: u64, fate: ChangeOutcome, now: Micros) {
        let Some(f) = self.consensus.forwards.get_mut(&n) else { return };
        match fate {
            ChangeOutcome::NoQuorum => self.on_forward_declined(by, n, now),
            ChangeOutcome::Unknown if !f.change.is_read() => {}
            fate => {
                self.consensus.forwards.remove(&n);
                self.outbox.push(Effect::CompleteChange { request_id: n, outcome: fate });
            }
        }
    }

    /// A voter has sent nothing for this change: once all that live have said so, its caller
    /// is told.
    fn on_forward_declined(&mut self, by: NodeId, n: u64, now: Micros) {
        let Some(mut f) = self.consensus.forwards.remove(&n) else { return };
        f.open.remove(&by);
        f.again = now;
        let untried = |c: &NodeId| {
            *c != self.settings.node_id && !f.tried.contains(c) && self.dissemination.peers.is_alive(*c, now)
        };
        let more = self.consensus.state.voters().iter().any(|c| untried(&c.node_id));
        if f.open.is_empty() && !more {
            self.outbox.push(Effect::CompleteChange { request_id: n, outcome: f.given_up() });
            return;
        }
        if more {
            self.forward_to_voter(n, &mut f, now);
        } else {
            f.again = now + AGAIN;
        }
        self.consensus.forwards.insert(n, f);
    }
}
