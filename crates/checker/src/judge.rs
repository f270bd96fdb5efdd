//! Safety invariants that must hold in every state, checked by an external observer.
//!
//! The judge sees the outcomes that operators receive, the entries that nodes hold as decided, and the messages
//! that nodes send. The judge doesn't depend on the algorithm. The message of a violation begins with the name
//! of the rule and a colon.

use std::collections::{BTreeMap, BTreeSet};
use sumacvale_core::base::{ChangeId, Micros, SEC, Version};
use sumacvale_core::consensus::DurableState;
use sumacvale_core::lease::{GrantedLease, ROLE_COUNT};
use sumacvale_core::node::Node;
use sumacvale_core::protocol::{ChangeOutcome, ConsensusMessage, LogEntry, Message, Voter};

/// The base of a change: the revision or version that the change replaces, depending on its kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Base {
    /// The revision of the document that a new document replaces. A change of voters keeps the revision.
    Document(u64),
    /// The version right before the version of a new set of voters.
    Voters(Version),
}

/// The change that was first observed as a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct DecidedVersion {
    change_id: ChangeId,
    /// The revision of the document in this version.
    revision: u64,
}

/// An acknowledged change and its version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct AcknowledgedChange {
    change_id: ChangeId,
    version: Version,
}

/// The time at which an operator received an acknowledgement, and the acknowledged version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Acknowledgement {
    /// In microseconds of a clock that all machines share; 0 where there is no such clock.
    received_at: Micros,
    version: Version,
}

/// A freshness probe: the machine that sent it, and the time of that machine's clock, in microseconds.
type ProbeKey = (usize, Micros);

/// Checks the safety invariants against the observations so far, which are part of the explored state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Judge {
    /// The change first observed as each version. Invariant: an entry never changes.
    decided: BTreeMap<Version, DecidedVersion>,
    /// The acknowledged changes by their base. Invariant: an entry never changes.
    acknowledged: BTreeMap<Base, AcknowledgedChange>,
    /// Changes that were finally rejected, and must never be decided or acknowledged.
    rejected: BTreeSet<ChangeId>,
    /// The newest acknowledged version at the time of each freshness probe.
    newest_at_probe: BTreeMap<ProbeKey, Version>,
    /// All acknowledgements, in the order of their arrival.
    acknowledgements: Vec<Acknowledgement>,
    /// The identifier of the fleet and its first voters, from version 0.
    first_entry: Option<(u64, Vec<Voter>)>,
}

/// The time after which every node rejects revoked keys, in microseconds.
const REVOCATION_TIME: Micros = 5 * SEC;
/// The number of newest log entries of a node that are checked after each step.
const CHECKED_ENTRY_COUNT: usize = 4;

impl Judge {
    /// Returns the newest version that was acknowledged to an operator.
    fn newest_acknowledged(&self) -> Version {
        self.acknowledged.values().map(|change| change.version).max().unwrap_or(0)
    }

    /// Checks an entry that a node holds as decided.
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

    /// Checks a newly observed version against the acknowledgements of this version and the next.
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

    /// Checks the outcome that an operator received for a change.
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

    /// Returns true if a version with a higher revision was decided.
    #[must_use]
    pub fn is_outdated(&self, revision: u64) -> bool {
        self.decided.values().any(|decided| decided.revision > revision)
    }

    /// Checks that a version directly follows its base, and that documents raise the revision while sets of
    /// voters keep it.
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

    /// Checks that the votes and versions that a message reports are synced to the sender's disk.
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

    /// Records that a machine sent a freshness probe at this time of its clock.
    pub fn on_probe(&mut self, machine: usize, clock: Micros) {
        let newest = self.newest_acknowledged();
        self.newest_at_probe.insert((machine, clock), newest);
    }

    /// Checks one machine after a step.
    ///
    /// # Errors
    /// The rule that the machine violates.
    pub fn check_machine(&mut self, machine: usize, node: &Node) -> Result<(), String> {
        for entry in node.consensus.state.history.values().rev().take(CHECKED_ENTRY_COUNT) {
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

    /// Checks all machines at one time of their shared clock.
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

    /// Checks that a node holds every acknowledged change under its acknowledged version.
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

/// The state of one role on a machine, shown in the message about two holders.
#[derive(Debug)]
#[allow(dead_code, reason = "read by Debug only")]
struct RoleState {
    machine: usize,
    voter_set: Option<Version>,
    held_epoch: Option<u64>,
    held_until: Option<Micros>,
    granted: Option<GrantedLease>,
}

impl RoleState {
    fn of(machine: usize, node: &Node, role: u32) -> Self {
        let held = node.leases.held.by_role.get(&role);
        RoleState {
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
    let known: Vec<_> = nodes.map(|(machine, node)| RoleState::of(machine, node, role)).collect();
    Err(format!("one holder of a role at a time: {holders:?} hold {role} at {now}: {known:?}"))
}
