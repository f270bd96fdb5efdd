//! Contact with the voters: whether this node exchanges messages with a majority of them.
//!
//! Contact is measured by replies to this node's own freshness probes, since only a round trip shows that
//! frames pass in both directions. Two times are kept for each core: when the newest probe that it replied to
//! was sent, on which promises may be based, and when its newest reply was received, from which the time
//! without a reply counts. Nothing here is needed for safety: contact decides how soon callers are
//! redirected, never which state is valid.

use crate::base::{MS, Micros, NodeId};
use crate::consensus::{PendingChange, Requester};
use crate::node::Node;
use std::collections::BTreeMap;

/// The time within which a majority must have replied to a probe to count as reached, in microseconds: one
/// round of probes, and some time for the replies.
const MAJORITY_CONTACT_TIMEOUT: Micros = 650 * MS;
/// The time without replies of a majority after which the majority counts as lost, in microseconds.
const MAJORITY_LOST_TIMEOUT: Micros = 1_200 * MS;
/// The maximum time that a caller waits while no majority replies, in microseconds.
pub(in crate::node) const QUORUM_TIMEOUT: Micros = 400 * MS;
/// The maximum time that a caller waits while the majority is known to be lost, in microseconds: the time for
/// the replies to one more probe, as the majority may be reachable again.
const LAST_PROBE_TIMEOUT: Micros = 50 * MS;
/// The time that a caller has waited when the voters are probed again, in microseconds.
const CALLER_WAIT_BEFORE_PROBE: Micros = 75 * MS;
/// The interval between probes of the voters while callers wait, in microseconds.
const CALLER_PROBE_INTERVAL: Micros = 100 * MS;
/// The interval between probes of the voters while no majority has replied recently, in microseconds.
const NO_MAJORITY_PROBE_INTERVAL: Micros = 200 * MS;
/// The time without a step after which a node counts as stalled, in microseconds: replies may have been
/// queued during that time.
const STALL_THRESHOLD: Micros = 150 * MS;
/// The shortest interval between two probes, in microseconds.
const MIN_PROBE_INTERVAL: Micros = 20 * MS;
/// The maximum number of probes that are remembered so that their replies count.
const MAX_REMEMBERED_PROBES: usize = 64;

/// The newest contact with one core.
#[derive(Clone, Copy, Debug, Default)]
struct LastReply {
    /// When the newest probe that the core replied to was sent.
    probed_at: Micros,
    /// When the core's newest reply was received.
    received_at: Micros,
}

/// This node's probes to the cores, and their replies.
#[derive(Clone, Debug, Default)]
pub(in crate::node) struct Contact {
    /// When each of the newest probes was sent, by sequence number.
    sent_probes: BTreeMap<u64, Micros>,
    /// The newest contact with each core.
    last_replies: BTreeMap<NodeId, LastReply>,
    /// When the last probe was sent.
    last_probe_at: Micros,
    /// The earliest time from which the absence of replies counts: the start, or the end of the last stall.
    running_since: Micros,
}

impl Contact {
    /// Creates the state of a node that starts at `now`.
    pub fn new(now: Micros) -> Self {
        Contact { running_since: now, ..Contact::default() }
    }

    /// Records a step of the node. The absence of replies during a stall proves nothing.
    pub fn record_step(&mut self, last_step: Micros, now: Micros) {
        if now.saturating_sub(last_step) > STALL_THRESHOLD {
            self.running_since = now;
        }
    }

    fn record_probe(&mut self, seq: u64, now: Micros) {
        self.last_probe_at = now;
        self.sent_probes.insert(seq, now);
        while self.sent_probes.len() > MAX_REMEMBERED_PROBES {
            self.sent_probes.pop_first();
        }
    }

    fn record_reply(&mut self, from: NodeId, seq: u64, now: Micros) {
        let Some(probed_at) = self.sent_probes.get(&seq).copied() else { return };
        let last_reply = self.last_replies.entry(from).or_default();
        last_reply.probed_at = last_reply.probed_at.max(probed_at);
        last_reply.received_at = now;
    }

    /// Returns when a core's newest reply was received; 0 if there was none.
    fn last_reply_at(&self, node_id: NodeId) -> Micros {
        self.last_replies.get(&node_id).map_or(0, |reply| reply.received_at)
    }
}

impl Node {
    /// Records a probe that is sent to the cores now.
    pub(in crate::node) fn record_probe(&mut self, seq: u64, now: Micros) {
        self.dissemination.contact.record_probe(seq, now);
    }

    /// Records a core's reply to a probe.
    pub(in crate::node) fn record_probe_reply(&mut self, from: NodeId, seq: u64, now: Micros) {
        self.dissemination.contact.record_reply(from, seq, now);
    }

    /// Returns the newest time that a majority of the voters, this node included, has reached.
    fn majority_time(&self, time_of: impl Fn(&LastReply) -> Micros, now: Micros) -> Micros {
        let time = |node_id: &NodeId| match self.dissemination.contact.last_replies.get(node_id) {
            _ if *node_id == self.settings.node_id => now,
            Some(reply) => time_of(reply),
            None => 0,
        };
        let mut times: Vec<Micros> = self.consensus.state.voters().iter().map(|voter| time(&voter.node_id)).collect();
        times.sort_unstable_by(|first, second| second.cmp(first));
        times.get(times.len() / 2).copied().unwrap_or(0)
    }

    /// Returns when the newest probe that a majority replied to was sent.
    pub(in crate::node) fn majority_reached_at(&self, now: Micros) -> Micros {
        self.majority_time(|reply| reply.probed_at, now)
    }

    /// Returns when the reply was received with which a majority had last replied.
    fn majority_replied_at(&self, now: Micros) -> Micros {
        self.majority_time(|reply| reply.received_at, now)
    }

    /// Returns for how long no majority has replied, counted from `since` at the earliest.
    fn time_without_majority(&self, since: Micros, now: Micros) -> Micros {
        let replied_at = self.majority_replied_at(now);
        now.saturating_sub(replied_at.max(self.dissemination.contact.running_since).max(since))
    }

    /// Returns whether a majority replied recently to a probe.
    pub(in crate::node) fn is_majority_reached(&self, now: Micros) -> bool {
        now.saturating_sub(self.majority_reached_at(now)) <= MAJORITY_CONTACT_TIMEOUT
    }

    /// Returns whether no majority has replied to a round of probes.
    pub(in crate::node) fn is_majority_unresponsive(&self, now: Micros) -> bool {
        self.time_without_majority(0, now) > MAJORITY_CONTACT_TIMEOUT
    }

    /// Returns whether this voter knows that it has lost the majority.
    pub(in crate::node) fn is_majority_lost(&self, now: Micros) -> bool {
        self.is_voter() && self.time_without_majority(0, now) >= MAJORITY_LOST_TIMEOUT
    }

    /// Returns whether a caller that has waited here since `since` must be redirected to another core.
    pub(in crate::node) fn should_redirect(&self, since: Micros, now: Micros) -> bool {
        let timeout = if self.is_majority_lost(now) { LAST_PROBE_TIMEOUT } else { QUORUM_TIMEOUT };
        self.is_voter() && self.time_without_majority(since, now) >= timeout
    }

    /// Returns whether a change that was received at `since` must be abandoned, since no majority replies.
    /// Changes that the voters propose themselves have their own time-out.
    pub(in crate::node) fn should_abandon_change(&self, pending: &PendingChange, since: Micros, now: Micros) -> bool {
        pending.requester != Requester::Internal && self.should_redirect(since, now)
    }

    /// Returns whether a core has replied to a probe since `since`.
    pub(in crate::node) fn has_core_replied(&self, node_id: NodeId, since: Micros) -> bool {
        self.dissemination.contact.last_replies.get(&node_id).is_some_and(|reply| reply.received_at > since)
    }

    /// Returns whether a core has sent no reply for `timeout`, counted from `since` at the earliest.
    pub(in crate::node) fn is_core_unresponsive(
        &self,
        node_id: NodeId,
        since: Micros,
        timeout: Micros,
        now: Micros,
    ) -> bool {
        let contact = &self.dissemination.contact;
        now.saturating_sub(contact.last_reply_at(node_id).max(contact.running_since).max(since)) >= timeout
    }

    /// Returns when the waiting callers or the loss of a majority require the next probe; `Micros::MAX` if
    /// they require none.
    pub(in crate::node) fn next_probe_at(&self, now: Micros) -> Micros {
        let last_probe_at = self.dissemination.contact.last_probe_at;
        let is_in_contact = now.saturating_sub(self.majority_replied_at(now)) <= MAJORITY_CONTACT_TIMEOUT;
        let is_unprobed = |since: Micros| since > last_probe_at;
        if self.consensus.reads.iter().any(|read| is_unprobed(read.received_at))
            || (!is_in_contact && self.waiting_since().any(is_unprobed))
        {
            return last_probe_at + MIN_PROBE_INTERVAL;
        }
        if self.waiting_since().any(|since| now.saturating_sub(since) >= CALLER_WAIT_BEFORE_PROBE) {
            return last_probe_at + CALLER_PROBE_INTERVAL;
        }
        if is_in_contact { Micros::MAX } else { last_probe_at + NO_MAJORITY_PROBE_INTERVAL }
    }

    /// Returns whether any caller waits for an answer.
    pub(in crate::node) fn has_waiting_callers(&self) -> bool {
        self.waiting_since().next().is_some()
    }

    /// Returns when each waiting caller's request was received.
    fn waiting_since(&self) -> impl Iterator<Item = Micros> {
        let changes = self
            .consensus
            .state
            .pending_changes
            .iter()
            .filter(|change| change.requester != Requester::Internal)
            .map(Node::received_at);
        let removals = self.dissemination.workers.removals.waiting_since();
        let forwards = self.consensus.forwards.values().map(|forward| forward.received_at);
        let reads = self.consensus.reads.iter().map(|read| read.received_at);
        let reports = self.dissemination.pending_acks.iter().map(|request| request.received_at);
        changes.chain(removals).chain(forwards).chain(reads).chain(reports)
    }
}
