//! Forwarding of changes and reads from nodes without a vote to a voter.
//!
//! A request goes to the nearest voter first, and to another one when that one declines or does not reply.
//! The caller is told that nothing was proposed only if every voter that was sent the request has declined
//! it, each after a single send; otherwise the outcome is unknown when the request is given up.

use super::admission::SubmittedChange;
use super::outcomes::CHANGE_TIMEOUT;
use crate::base::{MS, Micros, NodeId};
use crate::consensus::Requester;
use crate::node::dissemination::QUORUM_TIMEOUT;
use crate::node::{Effect, Node};
use crate::protocol::{Change, ChangeOutcome, ConsensusMessage};
use std::collections::BTreeSet;

/// After this time the request goes to another voter though the last one still replies to probes, in
/// microseconds.
const RESEND_INTERVAL: Micros = 1_200 * MS;
/// A voter that replies to nothing for so long is taken to be unreachable, in microseconds.
const UNRESPONSIVE_TIMEOUT: Micros = 250 * MS;
/// How much longer than a voter's own time-out the request is kept here, in microseconds.
const FORWARD_MARGIN: Micros = 1_500 * MS;

/// The last send of a forwarded request.
#[derive(Clone, Copy, Debug)]
struct LastSend {
    voter: NodeId,
    sent_at: Micros,
}

/// A change or read that a voter must complete for a caller at this node.
#[derive(Clone, Debug)]
pub(in crate::node) struct Forward {
    submitted: SubmittedChange,
    /// When the request was received, in microseconds of this node's clock.
    pub received_at: Micros,
    /// When the request is given up.
    deadline: Micros,
    /// When the request is sent again, also if the last voter is reachable.
    resend_at: Micros,
    last_send: Option<LastSend>,
    /// Voters that were sent the request and have not declined it. Invariant: a subset of `tried`.
    undeclined: BTreeSet<NodeId>,
    /// Voters that were sent the request.
    tried: BTreeSet<NodeId>,
    /// Voters that were sent the request more than once. If one of them declines, that is about the last
    /// send only: it may have proposed the change after an earlier one, also in an earlier incarnation of
    /// which it remembers nothing. Invariant: a subset of `tried`.
    sent_repeatedly: BTreeSet<NodeId>,
}

impl Forward {
    fn new(submitted: SubmittedChange, now: Micros) -> Self {
        Forward {
            submitted,
            received_at: now,
            deadline: now + CHANGE_TIMEOUT + FORWARD_MARGIN,
            resend_at: now,
            last_send: None,
            undeclined: BTreeSet::new(),
            tried: BTreeSet::new(),
            sent_repeatedly: BTreeSet::new(),
        }
    }

    /// The outcome when the request is given up.
    fn abandoned_outcome(&self) -> ChangeOutcome {
        let is_unproposed = self.undeclined.is_empty() && self.sent_repeatedly.is_empty();
        if is_unproposed || self.submitted.change.is_read() { ChangeOutcome::NoQuorum } else { ChangeOutcome::Unknown }
    }

    /// Notes that the request is sent to this voter now, and gives the message.
    fn send_to(&mut self, voter: NodeId, request_id: u64, now: Micros) -> ConsensusMessage {
        self.resend_at = now + RESEND_INTERVAL;
        self.last_send = Some(LastSend { voter, sent_at: now });
        self.undeclined.insert(voter);
        let is_first_voter = self.tried.is_empty();
        if !self.tried.insert(voter) {
            self.sent_repeatedly.insert(voter);
        }
        let SubmittedChange { change_id, is_first_send, base, change } = self.submitted.clone();
        let is_first_send = is_first_send && is_first_voter;
        ConsensusMessage::Forward { request_id, change_id, is_first_send, base, change }
    }
}

impl Node {
    /// Handles a change or read of a caller at this node.
    pub(in crate::node) fn submit_change(&mut self, request_id: u64, submitted: SubmittedChange, now: Micros) {
        if self.voter() {
            self.accept_change(Requester::Local(request_id), submitted, now);
            return;
        }
        self.counters.forwarded += 1;
        self.consensus.forwards.insert(request_id, Forward::new(submitted, now));
        self.tick_forward(now);
    }

    fn accept_change(&mut self, requester: Requester, submitted: SubmittedChange, now: Micros) {
        if submitted.change == Change::ReadNewest {
            self.read_newest(requester, now);
        } else {
            self.admit_change(requester, submitted, now);
        }
    }

    /// Gives up the forwarded requests that cannot be completed in time, and sends the others on.
    pub(in crate::node) fn tick_forward(&mut self, now: Micros) {
        for (request_id, mut forward) in std::mem::take(&mut self.consensus.forwards) {
            if now >= forward.deadline || self.should_abandon_forward(&forward, now) {
                self.complete_forward(request_id, forward.abandoned_outcome());
                continue;
            }
            self.forward_to_voter(request_id, &mut forward, now);
            self.consensus.forwards.insert(request_id, forward);
        }
    }

    fn complete_forward(&mut self, request_id: u64, outcome: ChangeOutcome) {
        self.outbox.push(Effect::CompleteChange { request_id, outcome });
    }

    /// Whether no voter has replied to anything since the request came, or no core is known.
    fn should_abandon_forward(&self, forward: &Forward, now: Micros) -> bool {
        let waited = now.saturating_sub(forward.received_at);
        let voters = self.consensus.state.voters();
        if voters.is_empty() {
            return waited >= QUORUM_TIMEOUT && self.nearest_core(now, 0).is_none();
        }
        let any_replied = voters.iter().any(|voter| self.has_core_replied(voter.node_id, forward.received_at));
        let all_unresponsive = voters
            .iter()
            .all(|voter| self.is_core_unresponsive(voter.node_id, forward.received_at, QUORUM_TIMEOUT, now));
        waited >= QUORUM_TIMEOUT && (!any_replied || all_unresponsive)
    }

    /// Sends the request to a voter, or to the next one where the last one declined or is silent.
    fn forward_to_voter(&mut self, request_id: u64, forward: &mut Forward, now: Micros) {
        let is_unresponsive = forward
            .last_send
            .is_some_and(|last| self.is_core_unresponsive(last.voter, last.sent_at, UNRESPONSIVE_TIMEOUT, now));
        if now < forward.resend_at && !is_unresponsive {
            return;
        }
        let Some(voter) = self.next_voter(forward, now) else { return };
        if is_unresponsive && now < forward.resend_at && forward.tried.contains(&voter) {
            return;
        }
        let message = forward.send_to(voter, request_id, now);
        self.send_consensus(voter, message, now);
    }

    /// The voter for the next send: the nearest core first, then a live voter that was not tried yet,
    /// preferably one that has replied since the request came; then any live voter in the same order.
    fn next_voter(&self, forward: &Forward, now: Micros) -> Option<NodeId> {
        let nearest = self.nearest_core(now, 0)?;
        if forward.tried.is_empty() {
            return Some(nearest);
        }
        let is_alive = |voter: &NodeId| self.dissemination.peers.is_alive(*voter, now);
        let has_replied = |voter: &&NodeId| self.has_core_replied(**voter, forward.received_at);
        let live: Vec<NodeId> = self.other_voters().filter(is_alive).collect();
        let mut untried = live.iter().filter(|voter| !forward.tried.contains(voter));
        let best_untried = untried.clone().find(has_replied).or(untried.next());
        best_untried.or_else(|| live.iter().find(has_replied)).or(live.first()).copied()
    }

    /// Handles a request that another node has forwarded; a node without a vote declines it.
    pub(super) fn on_forward(&mut self, sender: NodeId, request_id: u64, submitted: SubmittedChange, now: Micros) {
        if self.voter() {
            self.accept_change(Requester::Peer { node_id: sender, request_id }, submitted, now);
        } else {
            let declined = ConsensusMessage::ForwardReply { request_id, outcome: ChangeOutcome::NoQuorum };
            self.send_consensus(sender, declined, now);
        }
    }

    /// Handles a voter's reply to a forwarded request.
    pub(super) fn on_forward_reply(&mut self, sender: NodeId, request_id: u64, outcome: ChangeOutcome, now: Micros) {
        let Some(forward) = self.consensus.forwards.get(&request_id) else { return };
        match outcome {
            ChangeOutcome::NoQuorum => self.on_forward_declined(sender, request_id, now),
            ChangeOutcome::Unknown if !forward.submitted.change.is_read() => {}
            outcome => {
                self.consensus.forwards.remove(&request_id);
                self.complete_forward(request_id, outcome);
            }
        }
    }

    /// Handles a voter that has proposed nothing for this request. Once all that were sent the request have
    /// declined it and no other live voter is left, the caller is told.
    fn on_forward_declined(&mut self, sender: NodeId, request_id: u64, now: Micros) {
        let Some(mut forward) = self.consensus.forwards.remove(&request_id) else { return };
        forward.undeclined.remove(&sender);
        forward.resend_at = now;
        let is_untried =
            |voter: NodeId| !forward.tried.contains(&voter) && self.dissemination.peers.is_alive(voter, now);
        let has_untried = self.other_voters().any(is_untried);
        if forward.undeclined.is_empty() && !has_untried {
            self.complete_forward(request_id, forward.abandoned_outcome());
            return;
        }
        if has_untried {
            self.forward_to_voter(request_id, &mut forward, now);
        } else {
            forward.resend_at = now + RESEND_INTERVAL;
        }
        self.consensus.forwards.insert(request_id, forward);
    }
}
