//! Whether this node exchanges messages with a majority of the voters.
//!
//! The measure are the answers to this node's own questions (`Confirm`), since only a round
//! trip shows that frames pass in both directions. Two moments are kept of each core: when the
//! newest answered question was sent, on which promises may be built, and when the newest
//! answer came, since when silence counts. Nothing here is needed for safety: it decides how
//! soon callers are sent elsewhere, never what is true.

use crate::base::{MS, Micros, NodeId};
use crate::consensus::{PendingChange, Requester};
use crate::node::Node;
use std::collections::BTreeMap;

/// A majority that confirmed a question sent since then counts as reached: one round of
/// confirmations, and some time for its answers.
const REACHED: Micros = 650 * MS;
/// After so long without an answer of a majority it is known to be gone.
const LOST: Micros = 1_200 * MS;
/// A caller is not kept waiting longer than this while no majority answers.
pub(in crate::node) const QUORUM_TIMEOUT: Micros = 400 * MS;
/// Also where the majority is known to be gone a caller waits for the answers to one more
/// question, as it may be back.
const LAST_LOOK: Micros = 50 * MS;
/// A caller that waited this long has the voters asked again.
const PROBE_AFTER: Micros = 75 * MS;
/// How often voters are asked while callers wait.
const PROBE: Micros = 100 * MS;
/// How often they are asked while no majority has answered lately.
const SUSPECT: Micros = 200 * MS;
/// A node that was not stepped for so long didn't hear answers that were there.
const STALL: Micros = 150 * MS;
/// The shortest time between two questions.
const APART: Micros = 20 * MS;
/// Questions whose answers still count.
const OPEN: usize = 64;

/// What one core's answers showed last.
#[derive(Clone, Copy, Debug, Default)]
struct Answered {
    /// When the newest question that it answered was sent.
    asked: Micros,
    /// When its newest answer came.
    heard: Micros,
}

/// The questions of this node to the cores, and their answers.
#[derive(Clone, Debug, Default)]
pub(in crate::node) struct Contact {
    asked: BTreeMap<u64, Micros>,
    answered: BTreeMap<NodeId, Answered>,
    last_asked: Micros,
    /// Silence counts from here on: the start, or the end of the last standstill.
    running_since: Micros,
}

impl Contact {
    /// Of a node that starts now.
    pub fn new(now: Micros) -> Self {
        Contact { running_since: now, ..Contact::default() }
    }

    /// Notes that the node runs; what it did not hear while it stood still proves nothing.
    pub fn stepped(&mut self, last: Micros, now: Micros) {
        if now.saturating_sub(last) > STALL {
            self.running_since = now;
        }
    }

    fn asks(&mut self, seq: u64, now: Micros) {
        self.last_asked = now;
        self.asked.insert(seq, now);
        while self.asked.len() > OPEN {
            self.asked.pop_first();
        }
    }

    fn answers(&mut self, by: NodeId, seq: u64, now: Micros) {
        let Some(asked) = self.asked.get(&seq).copied() else { return };
        let a = self.answered.entry(by).or_default();
        a.asked = a.asked.max(asked);
        a.heard = now;
    }
}

impl Node {
    /// Notes a question that goes to the cores now.
    pub(in crate::node) fn record_probe(&mut self, seq: u64, now: Micros) {
        self.dissemination.contact.asks(seq, now);
    }

    /// Notes a core's answer.
    pub(in crate::node) fn record_probe_reply(&mut self, by: NodeId, seq: u64, now: Micros) {
        self.dissemination.contact.answers(by, seq, now);
    }

    /// The newest moment that holds for a majority of the voters, this one among them.
    fn of_majority(&self, of: impl Fn(&Answered) -> Micros, now: Micros) -> Micros {
        let moment = |node_id: &NodeId| match self.dissemination.contact.answered.get(node_id) {
            _ if *node_id == self.settings.node_id => now,
            Some(a) => of(a),
            None => 0,
        };
        let mut moments: Vec<Micros> = self.consensus.state.voters().iter().map(|c| moment(&c.node_id)).collect();
        moments.sort_unstable_by(|a, b| b.cmp(a));
        moments.get(moments.len() / 2).copied().unwrap_or(0)
    }

    /// When the newest question was sent that a majority has answered.
    pub(in crate::node) fn majority_reached_at(&self, now: Micros) -> Micros {
        self.of_majority(|a| a.asked, now)
    }

    fn silence(&self, since: Micros, now: Micros) -> Micros {
        let heard = self.of_majority(|a| a.heard, now);
        now.saturating_sub(heard.max(self.dissemination.contact.running_since).max(since))
    }

    /// Whether a majority confirmed lately that this node reaches it.
    pub(in crate::node) fn is_majority_reached(&self, now: Micros) -> bool {
        now.saturating_sub(self.majority_reached_at(now)) <= REACHED
    }

    /// Whether no majority has answered a round of questions.
    pub(in crate::node) fn is_majority_silent(&self, now: Micros) -> bool {
        self.silence(0, now) > REACHED
    }

    /// Whether this voter knows that it has no majority.
    pub(in crate::node) fn is_majority_lost(&self, now: Micros) -> bool {
        self.voter() && self.silence(0, now) >= LOST
    }

    /// Whether one who has waited here since then is to be sent elsewhere.
    pub(in crate::node) fn should_redirect(&self, since: Micros, now: Micros) -> bool {
        let most = if self.is_majority_lost(now) { LAST_LOOK } else { QUORUM_TIMEOUT };
        self.voter() && self.silence(since, now) >= most
    }

    /// Whether this change has no prospect of an end here, since no majority answers. `since`
    /// is when it came. What the voters themselves propose is left to its own time.
    pub(in crate::node) fn is_change_cut_off(&self, pending: &PendingChange, since: Micros, now: Micros) -> bool {
        pending.requester != Requester::Internal && self.should_redirect(since, now)
    }

    /// Whether this core has answered a question since then.
    pub(in crate::node) fn has_core_replied(&self, node_id: NodeId, since: Micros) -> bool {
        self.dissemination.contact.answered.get(&node_id).is_some_and(|a| a.heard > since)
    }

    /// Whether this core has said nothing for so long though it was asked since then.
    pub(in crate::node) fn is_core_silent(&self, node_id: NodeId, since: Micros, most: Micros, now: Micros) -> bool {
        let heard = self.dissemination.contact.answered.get(&node_id).map_or(0, |a| a.heard);
        now.saturating_sub(heard.max(self.dissemination.contact.running_since).max(since)) >= most
    }

    /// When the voters are to be asked next, whatever is due otherwise.
    pub(in crate::node) fn next_probe_at(&self, now: Micros) -> Micros {
        let last = self.dissemination.contact.last_asked;
        let near = now.saturating_sub(self.of_majority(|a| a.heard, now)) <= REACHED;
        let after_last = |since: Micros| since > last;
        if self.consensus.reads.iter().any(|r| after_last(r.since)) || (!near && self.waiting_since().any(after_last)) {
            return last + APART;
        }
        if self.waiting_since().any(|since| now.saturating_sub(since) >= PROBE_AFTER) {
            return last + PROBE;
        }
        if near { Micros::MAX } else { last + SUSPECT }
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
            .filter(|w| w.requester != Requester::Internal)
            .map(Node::received_at);
        let ends = self.dissemination.workers.removals.0.values().flat_map(|e| e.waiting_requests.iter().map(|r| r.1));
        let forwards = self.consensus.forwards.values().map(|f| f.since);
        let reads = self.consensus.reads.iter().map(|r| r.since);
        let beats = self.dissemination.pending_acks.iter().map(|b| b.1);
        changes.chain(ends).chain(forwards).chain(reads).chain(beats)
    }
}
