//! Whether this node exchanges messages with a majority of the voters.
//!
//! It is measured by replies to this node's own freshness probes, since only a round trip shows that frames
//! pass in both directions. Two moments are kept of each core: when the newest probe that it replied to was
//! sent, on which promises may be built, and when its newest reply came, from which silence counts. Nothing
//! here is needed for safety: it decides how soon callers are redirected, never what is true.

use crate::base::{MS, Micros, NodeId};
use crate::consensus::{PendingChange, Requester};
use crate::node::Node;
use std::collections::BTreeMap;

/// A majority that replied to a probe sent at most so long ago counts as reached: one round of probes, and
/// some time for the replies.
const MAJORITY_CONTACT_TIMEOUT: Micros = 650 * MS;
/// After so long without a reply of a majority, the majority counts as lost.
const MAJORITY_LOST_TIMEOUT: Micros = 1_200 * MS;
/// A caller is not kept waiting longer than this, in microseconds, while no majority replies.
pub(in crate::node) const QUORUM_TIMEOUT: Micros = 400 * MS;
/// A caller waits for the replies to one more probe where the majority is known to be lost, as it may be
/// back.
const LAST_PROBE_TIMEOUT: Micros = 50 * MS;
/// Once a caller has waited for so long, the voters are probed again.
const CALLER_WAIT_BEFORE_PROBE: Micros = 75 * MS;
/// How often voters are probed while callers wait.
const CALLER_PROBE_INTERVAL: Micros = 100 * MS;
/// How often voters are probed while no majority has replied lately.
const NO_MAJORITY_PROBE_INTERVAL: Micros = 200 * MS;
/// A node that was not stepped for so long was stalled: replies may have waited for it.
const STALL_THRESHOLD: Micros = 150 * MS;
/// The shortest time between two probes.
const MIN_PROBE_INTERVAL: Micros = 20 * MS;
/// How many probes are remembered, so that their replies count.
const MAX_REMEMBERED_PROBES: usize = 64;

/// What one core's replies showed last.
#[derive(Clone, Copy, Debug, Default)]
struct LastReply {
    /// When the newest probe that it replied to was sent.
    probed_at: Micros,
    /// When its newest reply came.
    received_at: Micros,
}

/// The probes of this node to the cores, and their replies.
#[derive(Clone, Debug, Default)]
pub(in crate::node) struct Contact {
    /// When each of the last probes was sent, by its number.
    sent_probes: BTreeMap<u64, Micros>,
    last_replies: BTreeMap<NodeId, LastReply>,
    last_probe_at: Micros,
    /// Silence counts from here on: the start, or the end of the last stall.
    running_since: Micros,
}

impl Contact {
    /// The state of a node that starts now.
    pub fn new(now: Micros) -> Self {
        Contact { running_since: now, ..Contact::default() }
    }

    /// Notes that the node runs; what it did not receive while it was stalled proves nothing.
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

    /// When a core's newest reply came; 0 if none did.
    fn last_reply_at(&self, node_id: NodeId) -> Micros {
        self.last_replies.get(&node_id).map_or(0, |reply| reply.received_at)
    }
}

impl Node {
    /// Notes a probe that is sent to the cores now.
    pub(in crate::node) fn record_probe(&mut self, seq: u64, now: Micros) {
        self.dissemination.contact.record_probe(seq, now);
    }

    /// Notes a core's reply to a probe.
    pub(in crate::node) fn record_probe_reply(&mut self, from: NodeId, seq: u64, now: Micros) {
        self.dissemination.contact.record_reply(from, seq, now);
    }

    /// The newest moment that holds for a majority of the voters, this one among them.
    fn majority_moment(&self, moment_of: impl Fn(&LastReply) -> Micros, now: Micros) -> Micros {
        let moment = |node_id: &NodeId| match self.dissemination.contact.last_replies.get(node_id) {
            _ if *node_id == self.settings.node_id => now,
            Some(reply) => moment_of(reply),
            None => 0,
        };
        let mut moments: Vec<Micros> =
            self.consensus.state.voters().iter().map(|voter| moment(&voter.node_id)).collect();
        moments.sort_unstable_by(|first, second| second.cmp(first));
        moments.get(moments.len() / 2).copied().unwrap_or(0)
    }

    /// When the newest probe was sent that a majority replied to.
    pub(in crate::node) fn majority_reached_at(&self, now: Micros) -> Micros {
        self.majority_moment(|reply| reply.probed_at, now)
    }

    /// When the newest reply came with which a majority had replied.
    fn majority_replied_at(&self, now: Micros) -> Micros {
        self.majority_moment(|reply| reply.received_at, now)
    }

    /// For how long no majority has replied, counted from `since` at the earliest.
    fn time_without_majority(&self, since: Micros, now: Micros) -> Micros {
        let replied_at = self.majority_replied_at(now);
        now.saturating_sub(replied_at.max(self.dissemination.contact.running_since).max(since))
    }

    /// Whether a majority replied lately to a probe.
    pub(in crate::node) fn is_majority_reached(&self, now: Micros) -> bool {
        now.saturating_sub(self.majority_reached_at(now)) <= MAJORITY_CONTACT_TIMEOUT
    }

    /// Whether no majority has replied to a round of probes.
    pub(in crate::node) fn is_majority_unresponsive(&self, now: Micros) -> bool {
        self.time_without_majority(0, now) > MAJORITY_CONTACT_TIMEOUT
    }

    /// Whether this voter knows that it has lost the majority.
    pub(in crate::node) fn is_majority_lost(&self, now: Micros) -> bool {
        self.voter() && self.time_without_majority(0, now) >= MAJORITY_LOST_TIMEOUT
    }

    /// Whether a caller that has waited here since `since` is to be redirected to another core.
    pub(in crate::node) fn should_redirect(&self, since: Micros, now: Micros) -> bool {
        let timeout = if self.is_majority_lost(now) { LAST_PROBE_TIMEOUT } else { QUORUM_TIMEOUT };
        self.voter() && self.time_without_majority(since, now) >= timeout
    }

    /// Whether a change that was received at `since` cannot complete here, since no majority replies. What
    /// the voters themselves propose has its own time-out.
    pub(in crate::node) fn should_abandon_change(&self, pending: &PendingChange, since: Micros, now: Micros) -> bool {
        pending.requester != Requester::Internal && self.should_redirect(since, now)
    }

    /// Whether a core has replied to a probe since then.
    pub(in crate::node) fn has_core_replied(&self, node_id: NodeId, since: Micros) -> bool {
        self.dissemination.contact.last_replies.get(&node_id).is_some_and(|reply| reply.received_at > since)
    }

    /// Whether a core that was probed since `since` has not replied for so long.
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

    /// When the voters are to be probed next, whatever is due otherwise.
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

    /// Whether any caller waits for an answer.
    pub(in crate::node) fn has_waiting_callers(&self) -> bool {
        self.waiting_since().next().is_some()
    }

    /// Since when each caller waits.
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
