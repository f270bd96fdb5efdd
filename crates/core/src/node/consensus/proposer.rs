//! A proposer: changes that wait, ballots for them, and what their operators are told.

use crate::base::{ChangeId, MS, Micros, NodeId, SEC, Version};
use crate::config::{CompiledConfig, ConfigError, Patch};
use crate::consensus::{ChangeStatus, PendingChange, Phase, Proposal, Requester, is_majority};
use crate::node::{Effect, Node};
use crate::protocol::{Ballot, Change, ChangeOutcome, ConsensusMessage, LogEntry, Message, Voter};
use std::cmp::Ordering;
use std::collections::BTreeSet;

const ROUND: Micros = 400 * MS;
const STUCK: Micros = 700 * MS;
pub(in crate::node) const PATIENCE: Micros = 3 * SEC;
/// The largest body of a change: twice of it fits into one frame between nodes.
pub const MAX_BODY_BYTES: usize = 7 << 20;
/// How many bytes the changes may have that wait at one core at a time.
const WAITING_MOST: usize = 32 << 20;

/// All that is wrong, in one line.
fn listed(troubles: &[ConfigError]) -> String {
    troubles.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
}

impl Node {
    /// Takes a change that this core will try to have agreed.
    pub(in crate::node) fn add_pending_change(
        &mut self,
        from: Requester,
        (change_id, fresh): (ChangeId, bool),
        base: Version,
        change: Change,
        now: Micros,
    ) {
        let no = match &change {
            Change::Tree(s) => self.parse_config(s).err(),
            Change::Document(s) => match self.parse_config(s) {
                Ok(p) if p.revision <= base => {
                    Some(format!("/revision: {} is not above {base}, which it is built on; count on", p.revision))
                }
                r => r.err(),
            },
            Change::Patch(patch) => self.patch_error(patch, base),
            Change::Voters(_) => None,
            Change::ReadNewest => return self.read_newest(from, now),
            Change::QueryOutcome => {
                let f = match (self.consensus.state.outcome_of(change_id), self.version()) {
                    (Some(f), _) => f,
                    (None, Some(v)) if self.consensus.state.is_superseded(&change, base) => {
                        ChangeOutcome::Stale { version: v }
                    }
                    _ => ChangeOutcome::Unknown,
                };
                return self.complete_change(from, f, now);
            }
            Change::ReadHistory => {
                let text = self.history_json();
                return self.complete_change(from, ChangeOutcome::Content { text }, now);
            }
        };
        if let Some(why) = no {
            return self.complete_change(from, ChangeOutcome::Invalid { reason: why }, now);
        }
        let waiting: usize = self.consensus.state.pending_changes.iter().map(|w| w.change.size()).sum();
        if waiting + change.size() > WAITING_MOST {
            return self.complete_change(from, ChangeOutcome::Unknown, now);
        }
        let due = now + PATIENCE;
        self.consensus.state.pending_changes.push(PendingChange {
            requester: from,
            change_id,
            is_first_send: fresh,
            base,
            change,
            deadline: due,
            was_proposed: false,
            decided_version: None,
        });
    }

    fn parse_config(&self, s: &str) -> Result<CompiledConfig, String> {
        if s.len() > MAX_BODY_BYTES {
            return Err(format!("the configuration has {} bytes; make it {MAX_BODY_BYTES} at most", s.len()));
        }
        (self.settings.config_reader)(s).map_err(|v| listed(&v))
    }

    /// What is wrong with a patch: by itself, or of the document that stands where that is the one
    /// that it is built on.
    fn patch_error(&self, patch: &Patch, base: u64) -> Option<String> {
        if patch.number <= base {
            return Some(format!(
                "/{}: {} is not above {base}, which it is built on; count on",
                patch.number_at, patch.number
            ));
        }
        let troubles = patch.troubles();
        if !troubles.is_empty() {
            return Some(listed(&troubles));
        }
        let stands = self.consensus.state.newest().filter(|d| d.revision == base)?;
        self.apply_patch(stands, patch).err()
    }

    /// The document that a patch makes of the one that stands, and its plan.
    fn apply_patch(&self, stands: &LogEntry, patch: &Patch) -> Result<(String, CompiledConfig), String> {
        let body = patch.apply(&stands.body).map_err(|t| listed(&t))?;
        let plan = self.parse_config(&body)?;
        Ok((body, plan))
    }

    /// What a change's base is compared with: documents have numbers of their own.
    fn current_base(&self, c: &Change) -> Option<u64> {
        match c {
            Change::Document(_) | Change::Patch(_) => self.consensus.state.newest().map(|d| d.revision),
            _ => self.version(),
        }
    }

    /// The versions that are held, as JSON.
    pub fn history_json(&self) -> String {
        let v: Vec<_> = self
            .consensus
            .state
            .history
            .values()
            .rev()
            .map(|d| {
                let cs: Vec<_> = d.voters.iter().map(|c| format!("\"{}\"", c.node_id)).collect();
                format!(
                    "{{\"version\":{},\"change\":\"{}\",\"bytes\":{},\"cores\":[{}]}}",
                    d.version,
                    d.change_id,
                    d.body.len(),
                    cs.join(",")
                )
            })
            .collect();
        format!("[{}]", v.join(","))
    }

    /// Cores are judged against the set that they would replace, and only where
    /// nobody can have sent this change before.
    fn voter_change_rejection(&self, c: &Change, now: Micros) -> Option<ChangeOutcome> {
        let Change::Voters(cs) = c else { return None };
        self.voter_change_error(cs, now).map(|why| ChangeOutcome::Invalid { reason: why })
    }

    fn voter_change_error(&self, cs: &[Voter], now: Micros) -> Option<String> {
        let cur = self.consensus.state.voters();
        let set: BTreeSet<_> = cs.iter().map(|c| c.node_id).collect();
        let add: Vec<_> = cs.iter().filter(|c| !cur.iter().any(|o| o.node_id == c.node_id)).collect();
        let gone = cur.iter().filter(|o| !set.contains(&o.node_id)).count();
        if cs.is_empty() || set.len() != cs.len() {
            return Some("/cores: name each core once, and at least one".into());
        }
        if add.len() > 1 || gone > 1 {
            return Some("/cores: replace, add or remove one core at a time".into());
        }
        for c in add {
            let ok = self.dissemination.peers.is_alive(c.node_id, now)
                && self
                    .dissemination
                    .peers
                    .entries
                    .get(&c.node_id)
                    .is_some_and(|s| s.record.is_core && s.record.addr == c.addr);
            if !ok {
                return Some(format!(
                    "/cores: {} is not a running core at {}; start it and look at /v1/nodes",
                    c.node_id, c.addr
                ));
            }
        }
        None
    }

    pub(in crate::node) fn complete_change(&mut self, to: Requester, fate: ChangeOutcome, now: Micros) {
        match to {
            Requester::Local(req) => self.outbox.push(Effect::CompleteChange { request_id: req, outcome: fate }),
            Requester::Peer { node_id, request_id: n } => self.send(
                node_id,
                Message::Consensus(ConsensusMessage::ForwardReply { request_id: n, outcome: fate }),
                now,
            ),
            Requester::Internal => {}
        }
    }

    /// When a caller's change came.
    pub(in crate::node) fn received_at(w: &PendingChange) -> Micros {
        w.deadline.saturating_sub(PATIENCE)
    }

    /// Brings every open change and ballot one step on.
    pub(in crate::node) fn drive_proposals(&mut self, now: Micros) {
        if !self.settings.is_core {
            return;
        }
        self.complete_decided_changes(now);
        let Some(v) = self.version() else { return };
        if !self.voter() {
            self.consensus.state.proposal = None;
            return;
        }
        if let Some(l) = &self.consensus.state.proposal {
            if now < l.deadline {
                return;
            }
            self.back_off(now);
        }
        if now < self.consensus.state.backoff_until.max(self.consensus.state.yields_until) {
            return;
        }
        let over = self.is_taken_over();
        let wanted = self.consensus.state.pending_changes.iter().any(|w| self.may_propose(w, over, now));
        let stuck =
            self.consensus.state.accepted.is_some() && now.saturating_sub(self.consensus.state.accepted_at) > STUCK;
        if wanted || stuck {
            self.start_ballot(v + 1, now);
        }
    }

    /// Whether a ballot for this change may be begun.
    fn may_propose(&self, w: &PendingChange, over: bool, now: Micros) -> bool {
        self.current_base(&w.change) == Some(w.base)
            && w.decided_version.is_none()
            && (!w.changes_voters() || (over && self.voter_change_rejection(&w.change, now).is_none()))
    }

    fn back_off(&mut self, now: Micros) {
        self.consensus.state.proposal = None;
        let r = self.rng.below(250 * MS);
        self.consensus.state.backoff_until = now + 20 * MS + r;
    }

    fn start_ballot(&mut self, instance: Version, now: Micros) {
        self.counters.ballots += 1;
        self.consensus.state.ballot_number =
            self.consensus.state.ballot_number.max(self.consensus.state.promised_ballot.number) + 1;
        let ballot = Ballot {
            number: self.consensus.state.ballot_number,
            node_id: self.settings.node_id,
            incarnation: self.settings.incarnation,
        };
        let due = now + ROUND + self.rng.below(ROUND);
        self.consensus.state.proposal = Some(Proposal {
            instance,
            ballot,
            phase: Phase::Prepare,
            answered: BTreeSet::new(),
            highest_accepted: None,
            value: None,
            deadline: due,
        });
        self.broadcast_to_voters(&Message::Consensus(ConsensusMessage::Prepare { instance, ballot }), now);
    }

    pub(in crate::node) fn broadcast_to_voters(&mut self, m: &Message, now: Micros) {
        let to: Vec<_> = self.consensus.state.voters().iter().map(|c| c.node_id).collect();
        for n in to {
            self.send(n, m.clone(), now);
        }
    }

    pub(in crate::node) fn on_promise(
        &mut self,
        by: NodeId,
        instance: Version,
        ballot: Ballot,
        accepted: Option<(Ballot, LogEntry)>,
        now: Micros,
    ) {
        let cores = self.consensus.state.voters().to_vec();
        let Some(l) = self.consensus.state.proposal.as_ref() else { return };
        if l.instance != instance || l.ballot != ballot || l.phase != Phase::Prepare {
            return;
        }
        // What was accepted can't be passed over, so one whose body can't be made is no promise.
        let accepted = match accepted.map(|(ballot, d)| Some((ballot, self.consensus.state.restore_body(d)?))) {
            None => None,
            Some(Some(whole)) => Some(whole),
            Some(None) => return,
        };
        let Some(l) = self.consensus.state.proposal.as_mut() else { return };
        l.answered.insert(by);
        if let Some(a) = accepted
            && l.highest_accepted.as_ref().is_none_or(|b| a.0 > b.0)
        {
            l.highest_accepted = Some(a);
        }
        if !is_majority(&cores, &l.answered) {
            return;
        }
        let best = l.highest_accepted.take().map(|b| b.1);
        let decree = match best {
            Some(d) => d,
            None => match self.new_entry(instance, now) {
                Some(d) => d,
                None => {
                    self.consensus.state.proposal = None;
                    return;
                }
            },
        };
        for w in &mut self.consensus.state.pending_changes {
            if w.change_id == decree.change_id {
                w.was_proposed = true;
            }
        }
        if let Some(l) = self.consensus.state.proposal.as_mut() {
            l.phase = Phase::Accept;
            l.answered.clear();
            l.value = Some(decree.clone());
            l.deadline = now + ROUND * 2;
        }
        self.broadcast_to_voters(
            &Message::Consensus(ConsensusMessage::Accept { ballot, entry: decree.without_body() }),
            now,
        );
    }

    fn new_entry(&self, instance: Version, now: Micros) -> Option<LogEntry> {
        let d = self.consensus.state.newest()?;
        let over = self.is_taken_over();
        let w = self
            .consensus
            .state
            .pending_changes
            .iter()
            .find(|w| self.version() == Some(instance - 1) && self.may_propose(w, over, now))?;
        let mut n =
            LogEntry { version: instance, change_id: w.change_id, patch: None, compressed: Vec::new(), ..d.clone() };
        match &w.change {
            Change::Tree(s) => n.body.clone_from(s),
            Change::Document(s) => {
                n.revision = self.parse_config(s).ok()?.revision;
                n.body.clone_from(s);
            }
            Change::Patch(patch) => {
                let (body, plan) = self.apply_patch(d, patch).ok()?;
                n.revision = plan.revision;
                n.body = body;
                n.patch = Some(patch.clone());
            }
            Change::Voters(cs) => {
                n.patch = Some(Patch::unchanged());
                n.previous_voters.clone_from(&d.voters);
                n.voters.clone_from(cs);
                n.voters.sort();
                n.voters_since = instance;
            }
            Change::QueryOutcome | Change::ReadHistory | Change::ReadNewest => return None,
        }
        Some(n.compress())
    }

    pub(in crate::node) fn on_reject(&mut self, instance: Version, ballot: Ballot, now: Micros) {
        let Some(l) = &self.consensus.state.proposal else { return };
        if l.instance == instance && ballot > l.ballot {
            self.counters.ballots_preempted += 1;
            self.consensus.state.ballot_number = self.consensus.state.ballot_number.max(ballot.number);
            self.back_off(now);
        }
    }

    pub(in crate::node) fn on_accepted(&mut self, by: NodeId, instance: Version, ballot: Ballot, now: Micros) {
        let cores = self.consensus.state.voters().to_vec();
        let Some(l) = self.consensus.state.proposal.as_mut() else { return };
        if l.instance != instance || l.ballot != ballot || l.phase != Phase::Accept {
            return;
        }
        l.answered.insert(by);
        if !is_majority(&cores, &l.answered) {
            return;
        }
        let Some(d) = l.value.clone() else { return };
        let mut to: BTreeSet<_> = cores.iter().map(|c| c.node_id).collect();
        to.extend(d.voters.iter().map(|c| c.node_id));
        to.remove(&self.settings.node_id);
        self.apply_entry(d.clone(), now);
        for n in to {
            self.send(n, Message::Consensus(ConsensusMessage::Replicate { entries: vec![d.without_body()] }), now);
        }
    }

    /// Answers every change whose end is known, and those that waited too long.
    fn complete_decided_changes(&mut self, now: Micros) {
        let waiting = std::mem::take(&mut self.consensus.state.pending_changes);
        for mut pending in waiting {
            let fate = match self.change_status(&pending) {
                ChangeStatus::IdReused => Some(ChangeOutcome::IdReused),
                ChangeStatus::Decided(version) => {
                    pending.decided_version = Some(version);
                    self.final_outcome(&pending, now)
                }
                ChangeStatus::Unknown => self.final_outcome(&pending, now),
            };
            match fate.or_else(|| self.timeout_outcome(&pending, now)) {
                Some(fate) => self.complete_change(pending.requester, fate, now),
                None => self.consensus.state.pending_changes.push(pending),
            }
        }
    }

    /// Whether the change is known to have become a version.
    fn change_status(&self, pending: &PendingChange) -> ChangeStatus {
        match pending.decided_version {
            Some(version) => ChangeStatus::Decided(version),
            None => self.consensus.state.change_status(pending.change_id, &pending.change),
        }
    }

    /// What is certain of a change. "Stale" is final: no proposer takes the change later, as the
    /// one version that it could have become is known to be another.
    fn final_outcome(&self, pending: &PendingChange, now: Micros) -> Option<ChangeOutcome> {
        if let Some(version) = pending.decided_version {
            let handed_over = !pending.changes_voters() || self.is_taken_over();
            return (self.is_committed(version) && handed_over).then_some(ChangeOutcome::Committed { version });
        }
        let version = self.version()?;
        match self.current_base(&pending.change)?.cmp(&pending.base) {
            Ordering::Greater => {
                let lost =
                    pending.is_known_here_alone() || self.consensus.state.is_superseded(&pending.change, pending.base);
                lost.then_some(ChangeOutcome::Stale { version })
            }
            Ordering::Less => {
                // Nothing newer was acknowledged before the change came, so its base wasn't either.
                let confirmed = self
                    .consensus
                    .freshness
                    .confirmed_at(Some(version))
                    .is_some_and(|at| at + PATIENCE > pending.deadline);
                confirmed.then_some(ChangeOutcome::Stale { version })
            }
            Ordering::Equal if pending.is_first_send && !pending.was_proposed => {
                self.voter_change_rejection(&pending.change, now)
            }
            Ordering::Equal => None,
        }
    }

    /// What is said of a change that has waited as long as its asker does, or whose majority is gone.
    fn timeout_outcome(&self, pending: &PendingChange, now: Micros) -> Option<ChangeOutcome> {
        if now < pending.deadline && !self.is_change_cut_off(pending, Self::received_at(pending), now) {
            return None;
        }
        let passed = self.current_base(&pending.change).is_some_and(|v| v > pending.base);
        let open = pending.was_proposed || pending.decided_version.is_some() || passed;
        Some(if open { ChangeOutcome::Unknown } else { ChangeOutcome::NoQuorum })
    }
}
