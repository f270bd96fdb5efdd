//! Forwarding of changes and reads from nodes without a vote to a voter.
//!
//! A request goes to the nearest voter first, and to another one if that voter declines or does not reply.
//! The caller is told that nothing was proposed only if every voter that was sent the request has declined
//! it, each after a single send; otherwise the outcome of an abandoned request is unknown.
//!
//! A request is sent under a number of this node, not under the number by which the caller's connection waits:
//! a core keeps its identifier over a restart, and numbers that begin anew would match late replies to its earlier
//! incarnation. The numbers of the node begin at a random one.

use super::admission::SubmittedChange;
use super::outcomes::CHANGE_TIMEOUT;
use crate::base::{MS, Micros, NodeId};
use crate::consensus::Requester;
use crate::node::dissemination::QUORUM_TIMEOUT;
use crate::node::{Effect, Node};
use crate::protocol::{Change, ChangeOutcome, ConsensusMessage};
use std::collections::BTreeSet;

/// The time after which a request is sent to another voter although the last one still replies to probes, in
/// microseconds.
const RESEND_INTERVAL: Micros = 1_200 * MS;
/// The time without any reply after which a voter counts as unreachable, in microseconds.
const UNRESPONSIVE_TIMEOUT: Micros = 250 * MS;
/// The time that a request is kept here beyond a voter's own time-out, in microseconds.
const FORWARD_MARGIN: Micros = 1_500 * MS;

/// The last attempt to send a forwarded request.
#[derive(Clone, Copy, Debug)]
struct LastSend {
    voter: NodeId,
    sent_at: Micros,
}

/// A change or read that this node forwards to a voter for a caller.
#[derive(Clone, Debug)]
pub(in crate::node) struct Forward {
    /// The identifier of the caller's request on this node.
    request_id: u64,
    submitted: SubmittedChange,
    /// When the request was received, in microseconds of this node's clock.
    pub received_at: Micros,
    /// When the request is abandoned.
    deadline: Micros,
    /// When the request is sent again even if the last voter is reachable.
    resend_at: Micros,
    last_send: Option<LastSend>,
    /// The voters that were sent the request and have not declined it. Invariant: a subset of `tried`.
    undeclined: BTreeSet<NodeId>,
    /// The voters that were sent the request.
    tried: BTreeSet<NodeId>,
    /// The voters that were sent the request more than once. If one of them declines, the reply covers the
    /// last send only: the voter may have proposed the change after an earlier send, possibly in an earlier
    /// incarnation of which it remembers nothing. Invariant: a subset of `tried`.
    sent_repeatedly: BTreeSet<NodeId>,
}

impl Forward {
    fn new(request_id: u64, submitted: SubmittedChange, now: Micros) -> Self {
        Forward {
            request_id,
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

    /// Returns the outcome for the caller if the request is abandoned now.
    fn abandoned_outcome(&self) -> ChangeOutcome {
        let is_unproposed = self.undeclined.is_empty() && self.sent_repeatedly.is_empty();
        if is_unproposed || self.submitted.change.is_read() { ChangeOutcome::NoQuorum } else { ChangeOutcome::Unknown }
    }

    /// Records that the request is sent to this voter now, and returns the message.
    fn send_to(&mut self, voter: NodeId, forward_id: u64, now: Micros) -> ConsensusMessage {
        self.resend_at = now + RESEND_INTERVAL;
        self.last_send = Some(LastSend { voter, sent_at: now });
        self.undeclined.insert(voter);
        let is_first_voter = self.tried.is_empty();
        if !self.tried.insert(voter) {
            self.sent_repeatedly.insert(voter);
        }
        let SubmittedChange { change_id, is_first_send, base, change } = self.submitted.clone();
        let is_first_send = is_first_send && is_first_voter;
        ConsensusMessage::Forward { request_id: forward_id, change_id, is_first_send, base, change }
    }
}

impl Node {
    /// Handles a change or read of a caller at this node: admits it as a voter, or forwards it.
    pub(in crate::node) fn submit_change(&mut self, request_id: u64, submitted: SubmittedChange, now: Micros) {
        if self.is_voter() {
            self.accept_change(Requester::Local(request_id), submitted, now);
            return;
        }
        self.counters.forwarded += 1;
        let forward_id = self.next_request_id();
        self.consensus.forwards.insert(forward_id, Forward::new(request_id, submitted, now));
        self.tick_forward(now);
    }

    fn accept_change(&mut self, requester: Requester, submitted: SubmittedChange, now: Micros) {
        if submitted.change == Change::ReadNewest {
            self.read_newest(requester, now);
        } else {
            self.admit_change(requester, submitted, now);
        }
    }

    /// Abandons the forwarded requests that cannot be completed in time, and sends those that are due.
    pub(in crate::node) fn tick_forward(&mut self, now: Micros) {
        for (forward_id, mut forward) in std::mem::take(&mut self.consensus.forwards) {
            if now >= forward.deadline || self.should_abandon_forward(&forward, now) {
                self.complete_forward(&forward, forward.abandoned_outcome());
                continue;
            }
            self.forward_to_voter(forward_id, &mut forward, now);
            self.consensus.forwards.insert(forward_id, forward);
        }
    }

    fn complete_forward(&mut self, forward: &Forward, outcome: ChangeOutcome) {
        self.outbox.push(Effect::CompleteChange { request_id: forward.request_id, outcome });
    }

    /// Returns whether a request must be abandoned: no voter has replied since it was received, all voters
    /// have become unresponsive, or no core is known.
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

    /// Sends the request to the next voter if a send is due or the last voter is unresponsive.
    fn forward_to_voter(&mut self, forward_id: u64, forward: &mut Forward, now: Micros) {
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
        let message = forward.send_to(voter, forward_id, now);
        self.send_consensus(voter, message, now);
    }

    /// Returns the voter for the next send: the nearest core first, then a live voter that was not tried yet,
    /// preferably one that has replied since the request was received; then any live voter in the same order.
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

    /// Handles a request that another node has forwarded. A node without a vote declines the request.
    pub(super) fn on_forward(&mut self, sender: NodeId, request_id: u64, submitted: SubmittedChange, now: Micros) {
        if self.is_voter() {
            self.accept_change(Requester::Peer { node_id: sender, request_id }, submitted, now);
        } else {
            let declined = ConsensusMessage::ForwardReply { request_id, outcome: ChangeOutcome::NoQuorum };
            self.send_consensus(sender, declined, now);
        }
    }

    /// Handles a voter's reply to a forwarded request. A node that was not sent the request has no say.
    pub(super) fn on_forward_reply(&mut self, sender: NodeId, forward_id: u64, outcome: ChangeOutcome, now: Micros) {
        let forward = self.consensus.forwards.get(&forward_id).filter(|forward| forward.tried.contains(&sender));
        let Some(forward) = forward else { return };
        match outcome {
            ChangeOutcome::NoQuorum => self.on_forward_declined(sender, forward_id, now),
            ChangeOutcome::Unknown if !forward.submitted.change.is_read() => {}
            outcome => {
                let Some(forward) = self.consensus.forwards.remove(&forward_id) else { return };
                self.complete_forward(&forward, outcome);
            }
        }
    }

    /// Handles a voter's reply that it has proposed nothing for this request. Completes the request once
    /// every voter that was sent it has declined and no other live voter is left.
    fn on_forward_declined(&mut self, sender: NodeId, forward_id: u64, now: Micros) {
        let Some(mut forward) = self.consensus.forwards.remove(&forward_id) else { return };
        forward.undeclined.remove(&sender);
        forward.resend_at = now;
        let is_untried =
            |voter: NodeId| !forward.tried.contains(&voter) && self.dissemination.peers.is_alive(voter, now);
        let has_untried = self.other_voters().any(is_untried);
        if forward.undeclined.is_empty() && !has_untried {
            self.complete_forward(&forward, forward.abandoned_outcome());
            return;
        }
        if has_untried {
            self.forward_to_voter(forward_id, &mut forward, now);
        } else {
            forward.resend_at = now + RESEND_INTERVAL;
        }
        self.consensus.forwards.insert(forward_id, forward);
    }
}
