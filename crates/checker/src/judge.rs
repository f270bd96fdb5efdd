//! What must hold in every state, judged from outside.
//!
//! The judge sees what operators were answered, what nodes hold as decided, and what each node reports to
//! others. It knows nothing of the algorithm. Each violation begins with the rule, before the first colon.

use std::collections::{BTreeMap, BTreeSet};
use sumacvale_core::base::{ChangeId, Micros, SEC, Version};
use sumacvale_core::consensus::DurableState;
use sumacvale_core::lease::{GrantedLease, ROLE_COUNT};
use sumacvale_core::node::Node;
use sumacvale_core::protocol::{ChangeOutcome, ConsensusMessage, LogEntry, Message, Voter};

/// What a change is based on, by the rule of its kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Base {
    /// A document names the revision of the one that it replaces. A change of voters keeps that revision.
    Document(u64),
    /// A set of voters names the version right before its own.
    Voters(Version),
}

/// What a version was seen as.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct DecidedVersion {
    change_id: ChangeId,
    /// The revision of the document that is in force with this version.
    revision: u64,
}

/// A change that was acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct AcknowledgedChange {
    change_id: ChangeId,
    version: Version,
}

/// When an acknowledgement was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Acknowledgement {
    /// In microseconds of a clock that all machines share; 0 where there is no such clock.
    received_at: Micros,
    version: Version,
}

/// A freshness probe: the machine that sent it, and the time of that machine's clock, in microseconds.
type ProbeKey = (usize, Micros);

/// What was seen so far. It is a part of the explored state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Judge {
    /// What each version was first seen as. Invariant: an entry never changes.
    decided: BTreeMap<Version, DecidedVersion>,
    /// The acknowledged changes by what they are based on. Invariant: an entry never changes.
    acknowledged: BTreeMap<Base, AcknowledgedChange>,
    /// Changes that were rejected for good.
    rejected: BTreeSet<ChangeId>,
    /// The newest acknowledged version when a machine sent a freshness probe.
    newest_at_probe: BTreeMap<ProbeKey, Version>,
    /// All acknowledgements, in the order of their arrival.
    acknowledgements: Vec<Acknowledgement>,
    /// The fleet and its first voters, as version 0 names them.
    first_entry: Option<(u64, Vec<Voter>)>,
}

/// Withdrawn keys are rejected everywhere after this time, in microseconds.
const REVOCATION_TIME: Micros = 5 * SEC;
/// How many of the newest log entries of a node are judged after each of its steps.
const JUDGED_ENTRIES: usize = 4;

impl Judge {
    /// The newest version that an operator received as committed.
    fn newest_acknowledged(&self) -> Version {
        self.acknowledged.values().map(|change| change.version).max().unwrap_or(0)
    }

    /// Judges an entry that a node holds as decided.
    ///
    /// # Errors
    /// The rule that the entry violates.
    pub fn on_decided(&mut self, machine: usize, entry: &LogEntry) -> Result<(), String> {
        if entry.version == 0 {
            self.check_first_entry(machine, entry)?;
        }
        let is_known = self.decided.contains_key(&entry.version);
        let seen = DecidedVersion { change_id: entry.change_id, revision: entry.revision };
        let known = *self.decided.entry(entry.version).or_insert(seen);
        if known.change_id != entry.change_id {
            return Err(format!(
                "one log entry a version: machine {machine} holds version {} of change {:?}, others of {:?}",
                entry.version, entry.change_id, known.change_id
            ));
        }
        if self.rejected.contains(&entry.change_id) {
            return Err(format!("rejected changes are never decided: {:?} is on machine {machine}", entry.change_id));
        }
        if is_known { Ok(()) } else { self.check_acknowledged(machine, entry) }
    }

    fn check_first_entry(&mut self, machine: usize, entry: &LogEntry) -> Result<(), String> {
        let first_entry = (entry.fleet_id, entry.voters.clone());
        let known = self.first_entry.get_or_insert_with(|| first_entry.clone());
        if *known != first_entry {
            return Err(format!("one founding: machine {machine} holds {first_entry:?}, others {known:?}"));
        }
        Ok(())
    }

    /// Checks a version that was not seen before against what was acknowledged of it and of the next one.
    fn check_acknowledged(&self, machine: usize, entry: &LogEntry) -> Result<(), String> {
        for (base, acknowledged) in &self.acknowledged {
            if acknowledged.version == entry.version && acknowledged.change_id != entry.change_id {
                return Err(format!(
                    "acknowledged is for ever: machine {machine} holds version {} of change {:?}, {:?} was \
                     acknowledged",
                    entry.version, entry.change_id, acknowledged.change_id
                ));
            }
            self.check_base(*base, acknowledged.version)?;
        }
        Ok(())
    }

    /// Judges the outcome that an operator received for a change.
    ///
    /// # Errors
    /// The rule that the outcome violates.
    pub fn on_outcome(
        &mut self,
        change_id: ChangeId,
        base: Base,
        outcome: &ChangeOutcome,
        now: Micros,
    ) -> Result<(), String> {
        match outcome {
            ChangeOutcome::Committed { version } => self.on_acknowledged(change_id, base, *version, now),
            ChangeOutcome::Stale { .. } | ChangeOutcome::Invalid { .. } | ChangeOutcome::IdReused => {
                self.on_rejected(change_id, outcome)
            }
            ChangeOutcome::NoQuorum | ChangeOutcome::Unknown | ChangeOutcome::Content { .. } => Ok(()),
        }
    }

    fn on_acknowledged(
        &mut self,
        change_id: ChangeId,
        base: Base,
        version: Version,
        now: Micros,
    ) -> Result<(), String> {
        if self.rejected.contains(&change_id) {
            return Err(format!("rejected, then acknowledged: {change_id:?}"));
        }
        let known = *self.acknowledged.entry(base).or_insert(AcknowledgedChange { change_id, version });
        if known.change_id != change_id {
            return Err(format!("two acknowledged on one base: {:?} and {change_id:?} on {base:?}", known.change_id));
        }
        let is_decided_otherwise = self.decided.get(&version).is_some_and(|decided| decided.change_id != change_id);
        if known.version != version || is_decided_otherwise {
            return Err(format!("acknowledged as a version that it is not: {change_id:?} as {version}"));
        }
        self.acknowledgements.push(Acknowledgement { received_at: now, version });
        self.check_base(base, version)
    }

    fn on_rejected(&mut self, change_id: ChangeId, outcome: &ChangeOutcome) -> Result<(), String> {
        if self.acknowledged.values().any(|acknowledged| acknowledged.change_id == change_id) {
            return Err(format!("acknowledged, then rejected: {change_id:?} ({outcome:?})"));
        }
        if self.decided.values().any(|decided| decided.change_id == change_id) {
            return Err(format!("rejected changes are never decided: {change_id:?} is ({outcome:?})"));
        }
        self.rejected.insert(change_id);
        Ok(())
    }

    /// Whether a version with a higher revision than this was decided.
    #[must_use]
    pub fn is_outdated(&self, revision: u64) -> bool {
        self.decided.values().any(|decided| decided.revision > revision)
    }

    /// Checks that a version comes right after what it names as its base, and that exactly documents raise
    /// the revision.
    fn check_base(&self, base: Base, version: Version) -> Result<(), String> {
        let revision_of = |version: Version| self.decided.get(&version).map(|decided| decided.revision);
        let (previous, own) = (version.checked_sub(1).and_then(revision_of), revision_of(version));
        let is_on_base = match base {
            Base::Document(base) => {
                previous.is_none_or(|revision| revision == base) && own.is_none_or(|revision| revision > base)
            }
            Base::Voters(base) => version == base + 1 && (previous.is_none() || own.is_none() || previous == own),
        };
        if !is_on_base {
            return Err(format!(
                "changes stand on their base: version {version} of revision {own:?} names {base:?} and follows \
                 revision {previous:?}"
            ));
        }
        Ok(())
    }

    /// Judges a message that a machine sends: what it reports of its votes and versions is synced to its disk.
    ///
    /// # Errors
    /// The rule that the message violates.
    pub fn on_send(&self, machine: usize, message: &Message, durable: &DurableState) -> Result<(), String> {
        let newest = durable.entries.keys().next_back().copied().unwrap_or(0);
        let is_synced = match message {
            Message::Consensus(ConsensusMessage::Promise { instance, ballot, .. }) => {
                newest >= *instance || durable.promised.is_some_and(|promised| promised >= (*instance, *ballot))
            }
            Message::Consensus(ConsensusMessage::Accepted { instance, ballot }) => {
                let is_accepted = durable
                    .accepted
                    .as_ref()
                    .is_some_and(|(accepted_ballot, entry)| (entry.version, *accepted_ballot) >= (*instance, *ballot));
                newest >= *instance || is_accepted
            }
            Message::Consensus(ConsensusMessage::Synced { version }) => newest >= *version,
            Message::Consensus(ConsensusMessage::FreshnessReply { synced_version, .. }) => newest >= *synced_version,
            _ => true,
        };
        if is_synced {
            return Ok(());
        }
        Err(format!("nothing is sent before it is on disk: machine {machine} sends {message:?}"))
    }

    /// A machine sent a freshness probe at this time of its clock.
    pub fn on_probe(&mut self, machine: usize, clock: Micros) {
        let newest = self.newest_acknowledged();
        self.newest_at_probe.insert((machine, clock), newest);
    }

    /// Judges one machine after one of its steps.
    ///
    /// # Errors
    /// The rule that the machine violates.
    pub fn check_machine(&mut self, machine: usize, node: &Node) -> Result<(), String> {
        for entry in node.consensus.state.history.values().rev().take(JUDGED_ENTRIES) {
            self.on_decided(machine, entry)?;
        }
        let Some((version, probed_at)) = node.consensus.freshness.confirmed else { return Ok(()) };
        let acknowledged = self.newest_at_probe.get(&(machine, probed_at));
        if let Some(acknowledged) = acknowledged.filter(|acknowledged| **acknowledged > version) {
            return Err(format!(
                "nothing older is confirmed: machine {machine} had version {version} confirmed as the newest by a \
                 probe that it sent after {acknowledged} was acknowledged"
            ));
        }
        self.newest_at_probe.retain(|(prober, sent_at), _| *prober != machine || *sent_at >= probed_at);
        Ok(())
    }

    /// Judges all machines at one time of the clock that they share.
    ///
    /// # Errors
    /// The rule that the fleet violates.
    pub fn check_fleet<'a>(
        &self,
        nodes: impl Iterator<Item = (usize, &'a Node)> + Clone,
        now: Micros,
    ) -> Result<(), String> {
        for role in 0..ROLE_COUNT {
            check_single_holder(role, nodes.clone(), now)?;
        }
        let revoked = self.acknowledgements.iter().filter(|past| past.received_at + REVOCATION_TIME < now);
        let Some(oldest_served) = revoked.map(|past| past.version).max() else { return Ok(()) };
        for (machine, node) in nodes {
            let version = node.version().unwrap_or(0);
            if node.is_fresh(now) && version < oldest_served {
                return Err(format!(
                    "nothing older is served: machine {machine} serves version {version}, {oldest_served} was \
                     acknowledged over 5 s ago"
                ));
            }
        }
        Ok(())
    }

    /// Checks that a node holds every acknowledged change as its version.
    ///
    /// # Errors
    /// The acknowledged change that the node does not hold.
    pub fn check_keeps_acknowledged(&self, machine: usize, node: &Node) -> Result<(), String> {
        for AcknowledgedChange { change_id, version } in self.acknowledged.values() {
            let entry = node.consensus.state.history.get(version);
            let is_up_to_date = node.version().unwrap_or(0) >= *version;
            if !is_up_to_date || entry.is_some_and(|entry| entry.change_id != *change_id) {
                return Err(format!(
                    "acknowledged is for ever: machine {machine} at version {:?} lacks {change_id:?} as version \
                     {version}",
                    node.version()
                ));
            }
        }
        Ok(())
    }
}

/// What a machine knows of one role, for the message about two holders.
#[derive(Debug)]
#[allow(dead_code, reason = "read by Debug only")]
struct RoleKnowledge {
    machine: usize,
    voter_set: Option<Version>,
    held_epoch: Option<u64>,
    held_until: Option<Micros>,
    granted: Option<GrantedLease>,
}

impl RoleKnowledge {
    fn of(machine: usize, node: &Node, role: u32) -> Self {
        let held = node.leases.held.by_role.get(&role);
        RoleKnowledge {
            machine,
            voter_set: node.consensus.state.newest().map(|entry| entry.voters_since),
            held_epoch: held.map(|lease| lease.epoch),
            held_until: held.map(|lease| lease.expires_at),
            granted: node.leases.grantor.granted.get(&role).copied(),
        }
    }
}

fn check_single_holder<'a>(
    role: u32,
    nodes: impl Iterator<Item = (usize, &'a Node)> + Clone,
    now: Micros,
) -> Result<(), String> {
    let is_holder = |(_, node): &(usize, &Node)| node.leases.held.valid_epoch(role, now).is_some();
    let holders: Vec<_> = nodes.clone().filter(is_holder).map(|(machine, _)| machine).collect();
    if holders.len() <= 1 {
        return Ok(());
    }
    let known: Vec<_> = nodes.map(|(machine, node)| RoleKnowledge::of(machine, node, role)).collect();
    Err(format!("one holder of a role at a time: {holders:?} hold {role} at {now}: {known:?}"))
}
