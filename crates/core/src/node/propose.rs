//! A proposer: changes that wait, ballots for them, and what their operators are told.

use super::{Effect, Node};
use crate::agree::{Asker, Known, PendingChange, Phase, Proposal, majority};
use crate::base::{ChangeId, MS, Micros, NodeId, SEC, Version};
use crate::config::{Patch, Plan, Trouble};
use crate::peer::{Ballot, Change, Core, Decree, Fate, Msg};
use std::cmp::Ordering;
use std::collections::BTreeSet;

const ROUND: Micros = 400 * MS;
const STUCK: Micros = 700 * MS;
pub(super) const PATIENCE: Micros = 3 * SEC;
/// The largest body of a change: twice of it fits into one frame between nodes.
pub const BODY_MOST: usize = 7 << 20;
/// How many bytes the changes may have that wait at one core at a time.
const WAITING_MOST: usize = 32 << 20;

/// All that is wrong, in one line.
fn listed(troubles: &[Trouble]) -> String {
    troubles.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
}

impl Node {
    /// Takes a change that this core will try to have agreed.
    pub(super) fn add_pending_change(
        &mut self,
        from: Asker,
        (change_id, fresh): (ChangeId, bool),
        base: Version,
        change: Change,
        now: Micros,
    ) {
        let no = match &change {
            Change::Tree(s) => self.read(s).err(),
            Change::Doc(s) => match self.read(s) {
                Ok(p) if p.revision <= base => {
                    Some(format!("/revision: {} is not above {base}, which it is built on; count on", p.revision))
                }
                r => r.err(),
            },
            Change::Patch(patch) => self.unfit_patch(patch, base),
            Change::Cores(_) => None,
            Change::Newest => return self.read_newest(from, now),
            Change::Look => {
                let f = match (self.agree.fate(change_id), self.version()) {
                    (Some(f), _) => f,
                    (None, Some(v)) if self.agree.passed(&change, base) => Fate::Stale { version: v },
                    _ => Fate::Unknown,
                };
                return self.answer(from, f, now);
            }
            Change::History => {
                let text = self.history();
                return self.answer(from, Fate::Told { text }, now);
            }
        };
        if let Some(why) = no {
            return self.answer(from, Fate::Invalid { why }, now);
        }
        let waiting: usize = self.agree.pending_changes.iter().map(|w| w.change.size()).sum();
        if waiting + change.size() > WAITING_MOST {
            return self.answer(from, Fate::Unknown, now);
        }
        let due = now + PATIENCE;
        self.agree.pending_changes.push(PendingChange {
            from,
            change_id,
            fresh,
            base,
            change,
            due,
            sent: false,
            won: None,
        });
    }

    fn read(&self, s: &str) -> Result<Plan, String> {
        if s.len() > BODY_MOST {
            return Err(format!("the configuration has {} bytes; make it {BODY_MOST} at most", s.len()));
        }
        (self.me.read)(s).map_err(|v| listed(&v))
    }

    /// What is wrong with a patch: by itself, or of the document that stands where that is the one
    /// that it is built on.
    fn unfit_patch(&self, patch: &Patch, base: u64) -> Option<String> {
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
        let stands = self.agree.last().filter(|d| d.revision == base)?;
        self.patched(stands, patch).err()
    }

    /// The document that a patch makes of the one that stands, and its plan.
    fn patched(&self, stands: &Decree, patch: &Patch) -> Result<(String, Plan), String> {
        let body = patch.apply(&stands.body).map_err(|t| listed(&t))?;
        let plan = self.read(&body)?;
        Ok((body, plan))
    }

    /// What a change's base is compared with: documents have numbers of their own.
    fn stands(&self, c: &Change) -> Option<u64> {
        match c {
            Change::Doc(_) | Change::Patch(_) => self.agree.last().map(|d| d.revision),
            _ => self.version(),
        }
    }

    /// The versions that are held, as JSON.
    pub fn history(&self) -> String {
        let v: Vec<_> = self
            .agree
            .history
            .values()
            .rev()
            .map(|d| {
                let cs: Vec<_> = d.cores.iter().map(|c| format!("\"{}\"", c.node_id)).collect();
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
    fn unfit(&self, c: &Change, now: Micros) -> Option<Fate> {
        let Change::Cores(cs) = c else { return None };
        self.bad_cores(cs, now).map(|why| Fate::Invalid { why })
    }

    fn bad_cores(&self, cs: &[Core], now: Micros) -> Option<String> {
        let cur = self.agree.cores();
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
            let ok = self.ring.alive(c.node_id, now)
                && self.ring.seen.get(&c.node_id).is_some_and(|s| s.p.core && s.p.addr == c.addr);
            if !ok {
                return Some(format!(
                    "/cores: {} is not a running core at {}; start it and look at /v1/nodes",
                    c.node_id, c.addr
                ));
            }
        }
        None
    }

    pub(super) fn answer(&mut self, to: Asker, fate: Fate, now: Micros) {
        match to {
            Asker::Here(req) => self.out.push(Effect::Answer { req, fate }),
            Asker::Peer { node_id, n } => self.send(node_id, Msg::Forwarded { n, fate }, now),
            Asker::Own => {}
        }
    }

    /// When a caller's change came.
    pub(super) fn came(w: &PendingChange) -> Micros {
        w.due.saturating_sub(PATIENCE)
    }

    /// Brings every open change and ballot one step on.
    pub(super) fn drive(&mut self, now: Micros) {
        if !self.me.core {
            return;
        }
        self.settle(now);
        let Some(v) = self.version() else { return };
        if !self.voter() {
            self.agree.proposal = None;
            return;
        }
        if let Some(l) = &self.agree.proposal {
            if now < l.due {
                return;
            }
            self.rest(now);
        }
        if now < self.agree.rest.max(self.agree.yields_until) {
            return;
        }
        let over = self.taken_over();
        let wanted = self.agree.pending_changes.iter().any(|w| self.may_propose(w, over, now));
        let stuck = self.agree.accepted.is_some() && now.saturating_sub(self.agree.accepted_at) > STUCK;
        if wanted || stuck {
            self.start_ballot(v + 1, now);
        }
    }

    /// Whether a ballot for this change may be begun.
    fn may_propose(&self, w: &PendingChange, over: bool, now: Micros) -> bool {
        self.stands(&w.change) == Some(w.base)
            && w.won.is_none()
            && (!w.moves() || (over && self.unfit(&w.change, now).is_none()))
    }

    fn rest(&mut self, now: Micros) {
        self.agree.proposal = None;
        let r = self.rng.below(250 * MS);
        self.agree.rest = now + 20 * MS + r;
    }

    fn start_ballot(&mut self, instance: Version, now: Micros) {
        self.counts.ballots += 1;
        self.agree.round = self.agree.round.max(self.agree.promised.n) + 1;
        let ballot = Ballot { n: self.agree.round, node_id: self.me.node_id, life: self.me.incarnation };
        let due = now + ROUND + self.rng.below(ROUND);
        self.agree.proposal = Some(Proposal {
            instance,
            ballot,
            phase: Phase::Prepare,
            answered: BTreeSet::new(),
            highest_accepted: None,
            value: None,
            due,
        });
        self.cast(&Msg::Prepare { instance, ballot }, now);
    }

    pub(super) fn cast(&mut self, m: &Msg, now: Micros) {
        let to: Vec<_> = self.agree.cores().iter().map(|c| c.node_id).collect();
        for n in to {
            self.send(n, m.clone(), now);
        }
    }

    pub(super) fn on_promise(
        &mut self,
        by: NodeId,
        instance: Version,
        ballot: Ballot,
        accepted: Option<(Ballot, Decree)>,
        now: Micros,
    ) {
        let cores = self.agree.cores().to_vec();
        let Some(l) = self.agree.proposal.as_ref() else { return };
        if l.instance != instance || l.ballot != ballot || l.phase != Phase::Prepare {
            return;
        }
        // What was accepted can't be passed over, so one whose body can't be made is no promise.
        let accepted = match accepted.map(|(ballot, d)| Some((ballot, self.agree.restore(d)?))) {
            None => None,
            Some(Some(whole)) => Some(whole),
            Some(None) => return,
        };
        let Some(l) = self.agree.proposal.as_mut() else { return };
        l.answered.insert(by);
        if let Some(a) = accepted
            && l.highest_accepted.as_ref().is_none_or(|b| a.0 > b.0)
        {
            l.highest_accepted = Some(a);
        }
        if !majority(&cores, &l.answered) {
            return;
        }
        let best = l.highest_accepted.take().map(|b| b.1);
        let decree = match best {
            Some(d) => d,
            None => match self.fresh_decree(instance, now) {
                Some(d) => d,
                None => {
                    self.agree.proposal = None;
                    return;
                }
            },
        };
        for w in &mut self.agree.pending_changes {
            if w.change_id == decree.change_id {
                w.sent = true;
            }
        }
        if let Some(l) = self.agree.proposal.as_mut() {
            l.phase = Phase::Accept;
            l.answered.clear();
            l.value = Some(decree.clone());
            l.due = now + ROUND * 2;
        }
        self.cast(&Msg::Accept { ballot, decree: decree.stripped() }, now);
    }

    fn fresh_decree(&self, instance: Version, now: Micros) -> Option<Decree> {
        let d = self.agree.last()?;
        let over = self.taken_over();
        let w = self
            .agree
            .pending_changes
            .iter()
            .find(|w| self.version() == Some(instance - 1) && self.may_propose(w, over, now))?;
        let mut n = Decree { version: instance, change_id: w.change_id, patch: None, packed: Vec::new(), ..d.clone() };
        match &w.change {
            Change::Tree(s) => n.body.clone_from(s),
            Change::Doc(s) => {
                n.revision = self.read(s).ok()?.revision;
                n.body.clone_from(s);
            }
            Change::Patch(patch) => {
                let (body, plan) = self.patched(d, patch).ok()?;
                n.revision = plan.revision;
                n.body = body;
                n.patch = Some(patch.clone());
            }
            Change::Cores(cs) => {
                n.patch = Some(Patch::unchanged());
                n.old.clone_from(&d.cores);
                n.cores.clone_from(cs);
                n.cores.sort();
                n.since = instance;
            }
            Change::Look | Change::History | Change::Newest => return None,
        }
        Some(n.packed())
    }

    pub(super) fn on_refuse(&mut self, instance: Version, ballot: Ballot, now: Micros) {
        let Some(l) = &self.agree.proposal else { return };
        if l.instance == instance && ballot > l.ballot {
            self.counts.ballots_outbid += 1;
            self.agree.round = self.agree.round.max(ballot.n);
            self.rest(now);
        }
    }

    pub(super) fn on_accepted(&mut self, by: NodeId, instance: Version, ballot: Ballot, now: Micros) {
        let cores = self.agree.cores().to_vec();
        let Some(l) = self.agree.proposal.as_mut() else { return };
        if l.instance != instance || l.ballot != ballot || l.phase != Phase::Accept {
            return;
        }
        l.answered.insert(by);
        if !majority(&cores, &l.answered) {
            return;
        }
        let Some(d) = l.value.clone() else { return };
        let mut to: BTreeSet<_> = cores.iter().map(|c| c.node_id).collect();
        to.extend(d.cores.iter().map(|c| c.node_id));
        to.remove(&self.me.node_id);
        self.learned(d.clone(), now);
        for n in to {
            self.send(n, Msg::Learn { decrees: vec![d.stripped()] }, now);
        }
    }

    /// Answers every change whose end is known, and those that waited too long.
    fn settle(&mut self, now: Micros) {
        let waiting = std::mem::take(&mut self.agree.pending_changes);
        for mut pending in waiting {
            let fate = match self.find_end(&pending) {
                Known::Reused => Some(Fate::Reused),
                Known::Taken(version) => {
                    pending.won = Some(version);
                    self.end_of(&pending, now)
                }
                Known::Absent => self.end_of(&pending, now),
            };
            match fate.or_else(|| self.end_of_patience(&pending, now)) {
                Some(fate) => self.answer(pending.from, fate, now),
                None => self.agree.pending_changes.push(pending),
            }
        }
    }

    /// Whether the change is known to have become a version.
    fn find_end(&self, pending: &PendingChange) -> Known {
        match pending.won {
            Some(version) => Known::Taken(version),
            None => self.agree.known(pending.change_id, &pending.change),
        }
    }

    /// What is certain of a change. "Stale" is final: no proposer takes the change later, as the
    /// one version that it could have become is known to be another.
    fn end_of(&self, pending: &PendingChange, now: Micros) -> Option<Fate> {
        if let Some(version) = pending.won {
            let handed_over = !pending.moves() || self.taken_over();
            return (self.settled(version) && handed_over).then_some(Fate::Done { version });
        }
        let version = self.version()?;
        match self.stands(&pending.change)?.cmp(&pending.base) {
            Ordering::Greater => {
                let lost = pending.unheard_of() || self.agree.passed(&pending.change, pending.base);
                lost.then_some(Fate::Stale { version })
            }
            Ordering::Less => {
                // Nothing newer was acknowledged before the change came, so its base wasn't either.
                let confirmed = self.fresh.since(Some(version)).is_some_and(|at| at + PATIENCE > pending.due);
                confirmed.then_some(Fate::Stale { version })
            }
            Ordering::Equal if pending.fresh && !pending.sent => self.unfit(&pending.change, now),
            Ordering::Equal => None,
        }
    }

    /// What is said of a change that has waited as long as its asker does, or whose majority is gone.
    fn end_of_patience(&self, pending: &PendingChange, now: Micros) -> Option<Fate> {
        if now < pending.due && !self.change_is_cut_off(pending, Self::came(pending), now) {
            return None;
        }
        let passed = self.stands(&pending.change).is_some_and(|v| v > pending.base);
        let open = pending.sent || pending.won.is_some() || passed;
        Some(if open { Fate::Unknown } else { Fate::NoMajority })
    }
}
