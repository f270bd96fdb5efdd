//! What must hold in every state, judged from outside: by what operators were answered, what
//! nodes hold as decided, and what each says that it knows.

use std::collections::{BTreeMap, BTreeSet};
use sumacvale_core::base::{ChangeId, Micros, Version};
use sumacvale_core::consensus::DurableState;
use sumacvale_core::lease::ROLE_COUNT;
use sumacvale_core::node::Node;
use sumacvale_core::protocol::{ChangeOutcome, ConsensusMessage, LogEntry, Message, Voter};

/// What a change is built on, by the rule of its kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Base {
    /// A document names the number of the one that it replaces. A list of voters leaves that number as it is.
    Document(u64),
    /// A list of voters names the version that it stands right on top of.
    Voters(Version),
}

/// What was seen so far. It is a part of the explored state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Judge {
    /// The change that each version was seen as, and the number of its document.
    chosen: BTreeMap<Version, (ChangeId, u64)>,
    /// Changes that were acknowledged, by what they are built on, with their version.
    acknowledged: BTreeMap<Base, (ChangeId, Version)>,
    refused: BTreeSet<ChangeId>,
    /// The newest acknowledged version when a machine sent a question about freshness.
    asked: BTreeMap<(usize, Micros), Version>,
    /// The newest acknowledged versions and when they were acknowledged, on a common clock.
    acknowledged_at: Vec<(Micros, Version)>,
    /// The fleet and its first voters, as version 0 names them.
    founded: Option<(u64, Vec<Voter>)>,
}

/// Withdrawn keys are refused everywhere after this.
const REVOKE: Micros = 5_000_000;

impl Judge {
    /// The newest version that an operator was told of.
    pub fn newest(&self) -> Version {
        self.acknowledged.values().map(|a| a.1).max().unwrap_or(0)
    }

    /// A node holds this as decided.
    pub fn decided(&mut self, machine: usize, decree: &LogEntry) -> Result<(), String> {
        if decree.version == 0 {
            let founding = (decree.fleet_id, decree.voters.clone());
            let known = self.founded.get_or_insert_with(|| founding.clone());
            if *known != founding {
                return Err(format!("one founding: machine {machine} holds {founding:?}, others {known:?}"));
            }
        }
        let seen = self.chosen.contains_key(&decree.version);
        let (known, _) = *self.chosen.entry(decree.version).or_insert((decree.change_id, decree.revision));
        if known != decree.change_id {
            return Err(format!(
                "one decree a version: machine {machine} holds version {} of change {:?}, others of {known:?}",
                decree.version, decree.change_id
            ));
        }
        if self.refused.contains(&decree.change_id) {
            return Err(format!("refused changes never stand: {:?} does on machine {machine}", decree.change_id));
        }
        if seen { Ok(()) } else { self.fits_acknowledged(machine, decree) }
    }

    /// A version that was not seen before is what operators were told of it and of the next one.
    fn fits_acknowledged(&self, machine: usize, decree: &LogEntry) -> Result<(), String> {
        for (base, (change, version)) in &self.acknowledged {
            if *version == decree.version && *change != decree.change_id {
                return Err(format!(
                    "acknowledged is for ever: machine {machine} holds version {version} of change {:?}, {change:?} \
                     was acknowledged",
                    decree.change_id
                ));
            }
            self.builds(*base, *version)?;
        }
        Ok(())
    }

    /// An operator got an answer to a change that is built on `base`.
    pub fn answered(&mut self, change: ChangeId, base: Base, fate: &ChangeOutcome, now: Micros) -> Result<(), String> {
        match fate {
            ChangeOutcome::Committed { version } => {
                if self.refused.contains(&change) {
                    return Err(format!("refused, then acknowledged: {change:?}"));
                }
                let known = *self.acknowledged.entry(base).or_insert((change, *version));
                if known.0 != change {
                    return Err(format!("two acknowledged on one base: {:?} and {change:?} on {base:?}", known.0));
                }
                if known.1 != *version || self.chosen.get(version).is_some_and(|c| c.0 != change) {
                    return Err(format!("acknowledged as a version that it is not: {change:?} as {version}"));
                }
                self.acknowledged_at.push((now, *version));
                self.builds(base, *version)
            }
            ChangeOutcome::Stale { .. } | ChangeOutcome::Invalid { .. } | ChangeOutcome::IdReused => {
                if self.acknowledged.values().any(|a| a.0 == change) {
                    return Err(format!("acknowledged, then refused: {change:?} ({fate:?})"));
                }
                if self.chosen.values().any(|c| c.0 == change) {
                    return Err(format!("refused changes never stand: {change:?} does ({fate:?})"));
                }
                self.refused.insert(change);
                Ok(())
            }
            ChangeOutcome::NoQuorum | ChangeOutcome::Unknown | ChangeOutcome::Content { .. } => Ok(()),
        }
    }

    /// Some version has a higher number than this.
    pub fn outdated(&self, base: u64) -> bool {
        self.chosen.values().any(|c| c.1 > base)
    }

    /// What became this version stands right on top of what it names, and only documents count on.
    fn builds(&self, base: Base, version: Version) -> Result<(), String> {
        let number = |v: Version| self.chosen.get(&v).map(|c| c.1);
        let (before, own) = (version.checked_sub(1).and_then(number), number(version));
        let stands = match base {
            Base::Document(base) => before.is_none_or(|n| n == base) && own.is_none_or(|n| n > base),
            Base::Voters(base) => version == base + 1 && (before.is_none() || own.is_none() || before == own),
        };
        if !stands {
            return Err(format!(
                "changes stand on their base: version {version} of number {own:?} names {base:?} and stands on number \
                 {before:?}"
            ));
        }
        Ok(())
    }

    /// What a machine says of its votes and versions stands on its disk.
    pub fn says(&self, machine: usize, message: &Message, kept: &DurableState) -> Result<(), String> {
        let held = kept.entries.keys().next_back().copied().unwrap_or(0);
        let there = match message {
            Message::Consensus(ConsensusMessage::Promise { instance, ballot, .. }) => {
                held >= *instance || kept.promised.is_some_and(|p| p >= (*instance, *ballot))
            }
            Message::Consensus(ConsensusMessage::Accepted { instance, ballot }) => {
                held >= *instance || kept.accepted.as_ref().is_some_and(|a| (a.1.version, a.0) >= (*instance, *ballot))
            }
            Message::Consensus(ConsensusMessage::Synced { version }) => held >= *version,
            Message::Consensus(ConsensusMessage::FreshnessReply { synced_version: have, .. }) => held >= *have,
            _ => true,
        };
        if there {
            return Ok(());
        }
        Err(format!("nothing is said before it is on disk: machine {machine} says {message:?}"))
    }

    /// A machine sent a question about freshness at this time of its clock.
    pub fn asks(&mut self, machine: usize, clock: Micros) {
        let newest = self.newest();
        self.asked.insert((machine, clock), newest);
    }

    /// What holds of one machine after each of its steps.
    pub fn machine(&mut self, machine: usize, node: &Node) -> Result<(), String> {
        for decree in node.consensus.state.history.values().rev().take(4) {
            self.decided(machine, decree)?;
        }
        let Some((version, at)) = node.consensus.freshness.confirmed else { return Ok(()) };
        if let Some(newest) = self.asked.get(&(machine, at)).filter(|n| **n > version) {
            return Err(format!(
                "nothing older is confirmed: machine {machine} had version {version} confirmed as newest by a \
                 question that it sent after {newest} was acknowledged"
            ));
        }
        let newest_stamp = at;
        self.asked.retain(|k, _| k.0 != machine || k.1 >= newest_stamp);
        Ok(())
    }

    /// What holds of all machines at one time of a common clock.
    pub fn fleet<'a>(&self, nodes: impl Iterator<Item = (usize, &'a Node)> + Clone, now: Micros) -> Result<(), String> {
        for duty in 0..ROLE_COUNT {
            let holds = |n: &(usize, &'a Node)| n.1.leases.held.valid_epoch(duty, now).is_some();
            let holders: Vec<_> = nodes.clone().filter(holds).map(|n| n.0).collect();
            if holders.len() > 1 {
                let of = |n: &Node| {
                    let held = n.leases.held.by_role.get(&duty).map(|h| (h.epoch, h.expires_at));
                    (
                        n.consensus.state.newest().map(|d| d.voters_since),
                        held,
                        n.leases.grantor.granted.get(&duty).copied(),
                    )
                };
                let all: Vec<_> = nodes.map(|(i, n)| (i, of(n))).collect();
                return Err(format!(
                    "one holder of a duty at a time: {holders:?} hold {duty} at {now}; each machine's set, its term \
                     (epoch, end) and what it granted (to, epoch, end): {all:?}"
                ));
            }
        }
        let old = self.acknowledged_at.iter().filter(|a| a.0 + REVOKE < now).map(|a| a.1).max();
        let Some(old) = old else { return Ok(()) };
        for (machine, node) in nodes {
            let version = node.version().unwrap_or(0);
            if node.is_fresh(now) && version < old {
                return Err(format!(
                    "nothing older is served: machine {machine} serves version {version}, {old} was acknowledged \
                     over 5 s ago"
                ));
            }
        }
        Ok(())
    }

    /// Every acknowledged change is the one that this node holds as its version.
    pub fn keeps(&self, machine: usize, node: &Node) -> Result<(), String> {
        for (change, version) in self.acknowledged.values() {
            let held = node.consensus.state.history.get(version);
            let newer = node.version().unwrap_or(0) >= *version;
            if !newer || held.is_some_and(|d| d.change_id != *change) {
                return Err(format!(
                    "acknowledged is for ever: machine {machine} at version {:?} lacks {change:?} as version {version}",
                    node.version()
                ));
            }
        }
        Ok(())
    }
}
