//! The proposer of the Paxos instances: it runs ballots for the pending changes of this core.
//!
//! Each version of the configuration is one instance (Lamport, Paxos Made Simple, §2.2 and §3). A ballot has
//! two phases: `Prepare` to all voters until a majority has promised, then `Accept` until a majority has
//! accepted. A rejected or timed-out ballot is followed by a random backoff; a promise to another proposer
//! delays this core's own ballots (see [`super::acceptor`]). A core without a vote runs no ballots.

use crate::base::{MS, Micros, NodeId, Version};
use crate::config::Patch;
use crate::consensus::{PendingChange, Phase, Proposal, is_majority};
use crate::node::Node;
use crate::protocol::{Ballot, Change, ConsensusMessage, LogEntry, Message};
use std::collections::BTreeSet;

/// The time-out of one phase of a ballot, in microseconds. The prepare phase has a random addition of up to
/// the same time, and the accept phase has twice this time.
const PHASE_TIMEOUT: Micros = 400 * MS;
/// The time after which this core proposes an entry again that it accepted and that is still undecided, in
/// microseconds: the entry's proposer may have failed.
const UNDECIDED_TIMEOUT: Micros = 700 * MS;
/// The shortest backoff after a failed ballot, in microseconds.
const MIN_BACKOFF: Micros = 20 * MS;
/// The maximum random addition to the backoff, in microseconds.
const BACKOFF_JITTER: Micros = 250 * MS;

impl Node {
    /// Completes the changes whose outcome is known and starts a ballot if one is due.
    pub(in crate::node) fn drive_proposals(&mut self, now: Micros) {
        if !self.settings.is_core {
            return;
        }
        self.complete_decided_changes(now);
        let Some(version) = self.version() else { return };
        if !self.is_voter() {
            self.consensus.state.proposal = None;
            return;
        }
        if let Some(proposal) = &self.consensus.state.proposal {
            if now < proposal.deadline {
                return;
            }
            self.back_off(now);
        }
        if now < self.consensus.state.backoff_until.max(self.consensus.state.yield_until) {
            return;
        }
        let has_proposable_change = self.proposable_change(now).is_some();
        let has_stalled_entry = self.consensus.state.accepted.is_some()
            && now.saturating_sub(self.consensus.state.accepted_at) > UNDECIDED_TIMEOUT;
        if has_proposable_change || has_stalled_entry {
            self.start_ballot(version + 1, now);
        }
    }

    /// Returns the first pending change for which a ballot may be started.
    fn proposable_change(&self, now: Micros) -> Option<&PendingChange> {
        let is_taken_over = self.is_taken_over();
        self.consensus.state.pending_changes.iter().find(|pending| self.may_propose(pending, is_taken_over, now))
    }

    /// Returns whether a ballot for this change may be started: its base is the newest version, it is not
    /// decided yet, and, for a change of voters, the previous set has been taken over.
    fn may_propose(&self, pending: &PendingChange, is_taken_over: bool, now: Micros) -> bool {
        self.current_base(&pending.change) == Some(pending.base)
            && pending.decided_version.is_none()
            && (!pending.changes_voters()
                || (is_taken_over && self.voter_change_rejection(&pending.change, now).is_none()))
    }

    /// Abandons the current ballot; the next one starts after a random backoff.
    fn back_off(&mut self, now: Micros) {
        self.consensus.state.proposal = None;
        let jitter = self.rng.next_below(BACKOFF_JITTER);
        self.consensus.state.backoff_until = now + MIN_BACKOFF + jitter;
    }

    /// Starts the prepare phase (Lamport, Paxos Made Simple, §2.2, phase 1a) with a ballot above every ballot
    /// that this core used or promised.
    fn start_ballot(&mut self, instance: Version, now: Micros) {
        self.counters.ballots += 1;
        let state = &mut self.consensus.state;
        state.ballot_number = state.ballot_number.max(state.promised_ballot.number) + 1;
        let ballot = Ballot {
            number: state.ballot_number,
            node_id: self.settings.node_id,
            incarnation: self.settings.incarnation,
        };
        let deadline = now + PHASE_TIMEOUT + self.rng.next_below(PHASE_TIMEOUT);
        self.consensus.state.proposal = Some(Proposal {
            instance,
            ballot,
            phase: Phase::Prepare,
            responders: BTreeSet::new(),
            highest_accepted: None,
            value: None,
            deadline,
        });
        self.broadcast_to_voters(&Message::Consensus(ConsensusMessage::Prepare { instance, ballot }), now);
    }

    /// Sends a message to each voter of the newest version, this core included.
    pub(in crate::node) fn broadcast_to_voters(&mut self, message: &Message, now: Micros) {
        let receivers: Vec<_> = self.consensus.state.voters().iter().map(|voter| voter.node_id).collect();
        for receiver in receivers {
            self.send(receiver, message.clone(), now);
        }
    }

    /// Handles a promise; a majority of promises ends the prepare phase.
    pub(in crate::node) fn on_promise(
        &mut self,
        sender: NodeId,
        instance: Version,
        ballot: Ballot,
        accepted: Option<(Ballot, LogEntry)>,
        now: Micros,
    ) {
        if !self.is_current_proposal(instance, ballot, Phase::Prepare) {
            return;
        }
        let accepted = match accepted {
            None => None,
            Some((accepted_ballot, entry)) => match self.consensus.state.restore_body(entry) {
                Some(restored) => Some((accepted_ballot, restored)),
                // An accepted entry must not be ignored, so a promise whose entry cannot be restored does not
                // count.
                None => return,
            },
        };
        self.record_promise(sender, accepted);
        if !self.has_majority_answered() {
            return;
        }
        match self.choose_value(instance, now) {
            Some(entry) => self.start_accept_phase(ballot, entry, now),
            None => self.consensus.state.proposal = None,
        }
    }

    /// Returns whether this core's proposal has this instance, ballot and phase.
    fn is_current_proposal(&self, instance: Version, ballot: Ballot, phase: Phase) -> bool {
        let proposal = self.consensus.state.proposal.as_ref();
        proposal
            .is_some_and(|current| current.instance == instance && current.ballot == ballot && current.phase == phase)
    }

    /// Counts a promise and keeps the accepted entry of the highest ballot.
    fn record_promise(&mut self, sender: NodeId, accepted: Option<(Ballot, LogEntry)>) {
        let Some(proposal) = self.consensus.state.proposal.as_mut() else { return };
        proposal.responders.insert(sender);
        if let Some(accepted) = accepted
            && proposal.highest_accepted.as_ref().is_none_or(|highest| accepted.0 > highest.0)
        {
            proposal.highest_accepted = Some(accepted);
        }
    }

    /// Returns whether a majority of the voters has answered in the current phase.
    fn has_majority_answered(&self) -> bool {
        let state = &self.consensus.state;
        state.proposal.as_ref().is_some_and(|proposal| is_majority(state.voters(), &proposal.responders))
    }

    /// Returns the value for the accept phase: the accepted entry of the highest ballot, or else a pending
    /// change of this core (Lamport, Paxos Made Simple, §2.2, phase 2a).
    fn choose_value(&mut self, instance: Version, now: Micros) -> Option<LogEntry> {
        let highest = self.consensus.state.proposal.as_mut().and_then(|proposal| proposal.highest_accepted.take());
        match highest {
            Some((_, entry)) => Some(entry),
            None => self.new_entry(instance, now),
        }
    }

    /// Starts the accept phase: sends `Accept` for this entry to all voters.
    fn start_accept_phase(&mut self, ballot: Ballot, entry: LogEntry, now: Micros) {
        for pending in &mut self.consensus.state.pending_changes {
            if pending.change_id == entry.change_id {
                pending.was_proposed = true;
            }
        }
        let stripped = entry.without_body();
        if let Some(proposal) = self.consensus.state.proposal.as_mut() {
            proposal.phase = Phase::Accept;
            proposal.responders.clear();
            proposal.value = Some(entry);
            proposal.deadline = now + PHASE_TIMEOUT * 2;
        }
        self.broadcast_to_voters(&Message::Consensus(ConsensusMessage::Accept { ballot, entry: stripped }), now);
    }

    /// Builds the entry that results from the first proposable change; none if there is no such change or the
    /// newest version is not the one before `instance`.
    fn new_entry(&self, instance: Version, now: Micros) -> Option<LogEntry> {
        let newest = self.consensus.state.newest()?;
        if newest.version != instance - 1 {
            return None;
        }
        let pending = self.proposable_change(now)?;
        let mut entry = LogEntry {
            version: instance,
            change_id: pending.change_id,
            patch: None,
            compressed: Vec::new(),
            ..newest.clone()
        };
        match &pending.change {
            Change::Tree(body) => entry.body.clone_from(body),
            Change::Document(body) => {
                entry.revision = self.parse_config(body).ok()?.revision;
                entry.body.clone_from(body);
            }
            Change::Patch(patch) => {
                let (body, config) = self.apply_patch(newest, patch).ok()?;
                entry.revision = config.revision;
                entry.body = body;
                entry.patch = Some(patch.clone());
            }
            Change::Voters(voters) => {
                entry.patch = Some(Patch::unchanged());
                entry.previous_voters.clone_from(&newest.voters);
                entry.voters.clone_from(voters);
                entry.voters.sort();
                entry.voters_since = instance;
            }
            Change::QueryOutcome | Change::ReadHistory | Change::ReadNewest => return None,
        }
        Some(entry.compress())
    }

    /// Handles the rejection by a voter that has promised a higher ballot.
    pub(in crate::node) fn on_reject(&mut self, instance: Version, ballot: Ballot, now: Micros) {
        let Some(proposal) = &self.consensus.state.proposal else { return };
        if proposal.instance == instance && ballot > proposal.ballot {
            self.counters.ballots_preempted += 1;
            self.consensus.state.ballot_number = self.consensus.state.ballot_number.max(ballot.number);
            self.back_off(now);
        }
    }

    /// Handles an acceptance. A majority of acceptances decides the entry, which is then applied and
    /// replicated.
    pub(in crate::node) fn on_accepted(&mut self, sender: NodeId, instance: Version, ballot: Ballot, now: Micros) {
        if !self.is_current_proposal(instance, ballot, Phase::Accept) {
            return;
        }
        if let Some(proposal) = self.consensus.state.proposal.as_mut() {
            proposal.responders.insert(sender);
        }
        if !self.has_majority_answered() {
            return;
        }
        let value = self.consensus.state.proposal.as_ref().and_then(|proposal| proposal.value.clone());
        let Some(entry) = value else { return };
        // Both the old and the new voters must learn a change of voters.
        let voters = self.consensus.state.voters().iter().chain(&entry.voters);
        let mut learners: BTreeSet<_> = voters.map(|voter| voter.node_id).collect();
        learners.remove(&self.settings.node_id);
        self.apply_entry(entry.clone(), now);
        for learner in learners {
            self.send_consensus(learner, ConsensusMessage::Replicate { entries: vec![entry.without_body()] }, now);
        }
    }
}
