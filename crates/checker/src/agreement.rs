//! Model of the consensus on versions: explores every delivery order of its frames, with one clock per machine.
//!
//! Explored are reordered, lost and duplicated frames, crashes that keep any prefix of the unsynced writes,
//! lost disks, expired timers, and when and where operators submit and resubmit their changes. Frames of other
//! protocols (gossip, leases, updates) are lost from the start of the exploration on, as a network may lose
//! them; the recovery check delivers all of them.

use crate::explore::Model;
use crate::frames::{AddressedFrame, FramesInFlight, InFlightFrame};
use crate::judge::{Base, Judge};
use crate::machine::{CompletedChange, Machine, STARTED_AT, StepOutput, VOTERS, change_id, document, voter};
use std::sync::Arc;
use sumacvale_core::base::{ChangeId, MS, Micros, SEC};
use sumacvale_core::consensus::Phase;
use sumacvale_core::node::{Event, Scope, digest_of};
use sumacvale_core::protocol::{Ballot, Change, ChangeOutcome, ConsensusMessage, MembershipMessage, Message};

/// Longer than any phase of a ballot, and than an accepted entry may stay undecided, in microseconds.
const PHASE_TIMEOUT: Micros = SEC;
/// Longer than the backoff after a ballot, in microseconds.
const BACKOFF: Micros = 300 * MS;
/// The time between two announcements of a bootstrap, in microseconds.
const ANNOUNCE_INTERVAL: Micros = 300 * MS;
/// The time by which the clocks advance in one round of a run without faults, in microseconds.
const ROUND_DURATION: Micros = 25 * MS;
/// The time after the last fault within which all machines must converge, in microseconds.
const RECOVERY_TIME: Micros = 8 * SEC;
/// The time within which a change must be decided once no fault is active, in microseconds.
const DECISION_TIME: Micros = 4 * SEC;

/// How often each kind of fault or event may occur on one path.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Allowance {
    /// Crashes that keep any prefix of the unsynced writes.
    pub crashes: u8,
    /// Crashes that lose the disk as well.
    pub wipes: u8,
    /// Frames that are lost.
    pub losses: u8,
    /// Frames that are delivered twice.
    pub duplicates: u8,
    /// Machines whose timers expire, one after the other.
    pub timeouts: u8,
    /// Freshness probes: requests to all voters whether anything newer was voted for.
    pub probes: u8,
    /// The number of times that operators resubmit a change.
    pub resubmissions: u8,
    /// The number of times that a voter's yield to another proposer ends, so that the voter may start a ballot.
    pub yields: u8,
}

/// A change that an operator submits.
#[derive(Clone, Debug)]
pub struct PlannedChange {
    /// The revision (of a document) or version (of a set of voters) that the change is based on.
    pub base: u64,
    /// The new document or set of voters.
    pub change: Change,
    /// The identifier of the change.
    pub change_id: ChangeId,
    /// The machines that receive the change: the first submission goes to the first machine, a resubmission to
    /// any. Invariant: not empty.
    pub receivers: Vec<usize>,
    /// The index of a change that must be acknowledged before this one is submitted.
    pub after: Option<usize>,
}

impl PlannedChange {
    /// Returns a change to a document with one pool, based on the revision `base`.
    #[must_use]
    pub fn document(base: u64, revision: u64, pool: &str, receivers: &[usize]) -> Self {
        let body = document(revision, pool);
        let change_id = change_id(&body);
        let change = Change::Document(body);
        PlannedChange { base, change, change_id, receivers: receivers.to_vec(), after: None }
    }

    /// Returns a change to the voters on these machines, based on the version `base`.
    #[must_use]
    pub fn voters(base: u64, voters: &[usize], receivers: &[usize]) -> Self {
        let change_id = change_id(&format!("voters {voters:?}"));
        let change = Change::Voters(voters.iter().map(|machine| voter(*machine)).collect());
        PlannedChange { base, change, change_id, receivers: receivers.to_vec(), after: None }
    }

    /// Delays the first submission until the change with the index `other` is acknowledged.
    #[must_use]
    pub fn after(self, other: usize) -> Self {
        PlannedChange { after: Some(other), ..self }
    }

    /// Returns the base with the type that the kind of the change calls for.
    fn typed_base(&self) -> Base {
        match self.change {
            Change::Voters(_) => Base::Voters(self.base),
            _ => Base::Document(self.base),
        }
    }
}

/// A step of the fixed prefix of a directed bound. It names a frame by its kind and machines, not by an index.
#[derive(Clone, Debug)]
pub enum Opening {
    /// A change is submitted to a machine.
    Submit {
        /// The index of the change.
        change: usize,
        /// The machine that receives it.
        to: usize,
    },
    /// The first frame of this kind between two machines is delivered.
    Deliver {
        /// The name of the message, see [`Message::name`].
        kind: &'static str,
        /// The sending machine.
        from: usize,
        /// The receiving machine.
        to: usize,
    },
    /// The first frame of this kind between two machines is lost.
    Lose {
        /// The name of the message, see [`Message::name`].
        kind: &'static str,
        /// The sending machine.
        from: usize,
        /// The receiving machine.
        to: usize,
    },
    /// A machine's writes are synced.
    Sync {
        /// The machine.
        machine: usize,
    },
    /// A machine's timers expire, which counts towards the allowance.
    Timeout {
        /// The machine.
        machine: usize,
    },
    /// A machine loses its disk, which counts towards the allowance.
    Wipe {
        /// The machine.
        machine: usize,
    },
    /// A machine's process crashes and restarts.
    Crash {
        /// The machine.
        machine: usize,
        /// The number of unsynced writes that reached the disk.
        landed: usize,
    },
}

/// The bounds of one exploration.
pub struct Agreement {
    /// The number of machines; the first [`VOTERS`] vote at the start.
    pub machines: usize,
    /// True if the machines start with empty disks and bootstrap the fleet. A time-out is then a single tick of
    /// a machine.
    pub is_bootstrap: bool,
    /// The steps before the exploration begins. Their losses and crashes count towards no allowance.
    pub opening: Vec<Opening>,
    /// How often each kind of fault or event may occur on one path.
    pub allowance: Allowance,
    /// The changes that operators submit.
    pub changes: Vec<PlannedChange>,
    /// Machines whose syncs are separate actions; all other machines sync at once.
    pub slow_disks: Vec<usize>,
}

/// The progress of one planned change.
#[derive(Clone, Copy, Debug, Default)]
struct Submission {
    /// The number of submissions, including resubmissions.
    count: u8,
    is_acknowledged: bool,
}

/// One state of the model.
#[derive(Clone)]
pub struct World {
    machines: Vec<Machine>,
    /// The clock of each machine, in microseconds.
    clocks: Vec<Micros>,
    frames: FramesInFlight,
    /// The allowance that is not used up yet.
    left: Allowance,
    /// Indexed like the planned changes.
    submissions: Vec<Submission>,
    judge: Judge,
    /// The violation found during the opening; the first action reports it.
    opening_violation: Option<String>,
}

/// A transition of the model.
#[derive(Clone, Debug)]
pub enum Action {
    /// A frame is delivered.
    Deliver {
        /// The index of the frame among the frames in flight.
        index: usize,
    },
    /// A frame is lost.
    Lose {
        /// The index of the frame among the frames in flight.
        index: usize,
    },
    /// A frame is delivered, and a copy of the frame stays in flight.
    Duplicate {
        /// The index of the frame among the frames in flight.
        index: usize,
    },
    /// A machine's writes are synced.
    Sync {
        /// The machine.
        machine: usize,
    },
    /// A machine's process crashes and restarts.
    Crash {
        /// The machine.
        machine: usize,
        /// The number of unsynced writes that reached the disk.
        landed: usize,
    },
    /// A machine loses its disk.
    Wipe {
        /// The machine.
        machine: usize,
    },
    /// A machine's timers expire.
    Timeout {
        /// The machine.
        machine: usize,
    },
    /// A voter sends a freshness probe.
    Probe {
        /// The machine.
        machine: usize,
    },
    /// A voter that yielded to another proposer may start its own ballot.
    EndYield {
        /// The machine.
        machine: usize,
    },
    /// A change is submitted.
    Submit {
        /// The index of the change among the planned changes.
        change: usize,
        /// The receiving machine.
        to: usize,
    },
}

/// The distance between the request identifiers of two submissions of a change: an identifier is the number of
/// the submission times this distance, plus the index of the change.
const REQUEST_STRIDE: u64 = 100;
/// The request identifier of the change that the recovery check submits.
const LAST_REQUEST: u64 = REQUEST_STRIDE - 1;

/// Returns true if a message belongs to a ballot or to the replication of its result.
fn is_consensus(message: &Message) -> bool {
    matches!(
        message,
        Message::Consensus(
            ConsensusMessage::Prepare { .. }
                | ConsensusMessage::Promise { .. }
                | ConsensusMessage::Reject { .. }
                | ConsensusMessage::Accept { .. }
                | ConsensusMessage::Accepted { .. }
                | ConsensusMessage::Replicate { .. }
                | ConsensusMessage::Synced { .. }
        )
    )
}

fn is_probe(message: &Message) -> bool {
    matches!(message, Message::Consensus(ConsensusMessage::FreshnessProbe { .. }))
}

fn is_probe_reply(message: &Message) -> bool {
    matches!(message, Message::Consensus(ConsensusMessage::FreshnessReply { .. }))
}

fn is_synced(message: &Message) -> bool {
    matches!(message, Message::Consensus(ConsensusMessage::Synced { .. }))
}

fn is_bootstrap(message: &Message) -> bool {
    matches!(message, Message::Membership(MembershipMessage::Bootstrap { .. }))
}

/// The steps of single machines.
impl Agreement {
    /// Returns true if the delivery of this message is explored; all other messages are lost. Timers send probes
    /// as well, but only probes sent by [`Action::Probe`] are explored.
    fn is_explored(&self, message: &Message, sends_probes: bool) -> bool {
        let explores_probes = self.allowance.probes > 0;
        is_consensus(message)
            || (self.is_bootstrap && is_bootstrap(message))
            || (explores_probes && is_probe_reply(message))
            || (explores_probes && is_probe(message) && sends_probes)
    }

    /// Sends the frames that a machine emitted, and judges the machine and its completed changes.
    fn process_output(
        &self,
        world: &mut World,
        machine: usize,
        output: StepOutput,
        sends_probes: bool,
    ) -> Result<(), String> {
        for sent in output.frames {
            if self.is_explored(&sent.frame.message, sends_probes) && sent.to < self.machines {
                world.send(machine, sent)?;
            }
        }
        world.judge.check_machine(machine, &world.machines[machine].node)?;
        self.process_completed(world, output.completed)?;
        world.frames.sort();
        self.drop_obsolete(world);
        world.machines[machine].update_digest(Scope::Agreement);
        Ok(())
    }

    /// Drops the frames that their receivers would ignore, since delivering them changes nothing.
    fn drop_obsolete(&self, world: &mut World) {
        let World { machines, frames, .. } = world;
        frames.retain(|in_flight| !self.is_obsolete(&machines[in_flight.to], &in_flight.frame.message));
    }

    fn is_obsolete(&self, receiver: &Machine, message: &Message) -> bool {
        let Message::Consensus(message) = message else { return false };
        let state = &receiver.node.consensus.state;
        let is_current = |ballot: Ballot, phase: Phase| {
            state.proposal.as_ref().is_some_and(|proposal| proposal.ballot == ballot && proposal.phase == phase)
        };
        let never_forgets = !self.slow_disks.contains(&receiver.index) && self.allowance.wipes == 0;
        match message {
            ConsensusMessage::Promise { ballot, .. } => !is_current(*ballot, Phase::Prepare),
            ConsensusMessage::Accepted { ballot, .. } => !is_current(*ballot, Phase::Accept),
            ConsensusMessage::Reject { instance, .. } => {
                never_forgets && state.version().is_some_and(|version| version >= *instance)
            }
            ConsensusMessage::Replicate { entries } => {
                never_forgets && entries.iter().all(|entry| state.history.contains_key(&entry.version))
            }
            _ => false,
        }
    }

    fn process_completed(&self, world: &mut World, completed: Vec<CompletedChange>) -> Result<(), String> {
        completed.iter().try_for_each(|completed| self.on_completed(world, completed))
    }

    fn on_completed(&self, world: &mut World, completed: &CompletedChange) -> Result<(), String> {
        let CompletedChange { request_id, outcome } = completed;
        let index = usize::try_from(request_id % REQUEST_STRIDE).unwrap_or(0);
        let Some(planned) = self.changes.get(index) else { return Ok(()) };
        if matches!(outcome, ChangeOutcome::Committed { .. }) {
            world.submissions[index].is_acknowledged = true;
        }
        let is_stale = matches!(outcome, ChangeOutcome::Stale { .. });
        if planned.after.is_some() && is_stale && !world.judge.is_outdated(planned.base) {
            return Err(format!(
                "what stands on the newest is not rejected: {:?} on {} is ({outcome:?})",
                planned.change_id, planned.base
            ));
        }
        world.judge.on_outcome(planned.change_id, planned.typed_base(), outcome, 0)
    }

    fn step(&self, world: &mut World, machine: usize, event: Event) -> Result<(), String> {
        let clock = world.clocks[machine];
        let next_probe_at = world.machines[machine].node.consensus.freshness.next_probe_at;
        let sends_probes = matches!(event, Event::Tick) && next_probe_at == clock;
        let mut output = StepOutput::default();
        world.machines[machine].step(event, clock, &mut output);
        if !self.slow_disks.contains(&machine) {
            world.machines[machine].sync(clock, &mut output);
        }
        self.process_output(world, machine, output, sends_probes)
    }

    fn sync(&self, world: &mut World, machine: usize) -> Result<(), String> {
        let mut output = StepOutput::default();
        world.machines[machine].sync(world.clocks[machine], &mut output);
        self.process_output(world, machine, output, false)
    }

    fn deliver(&self, world: &mut World, index: usize) -> Result<(), String> {
        let AddressedFrame { to, frame } = world.frames.remove(index).to_addressed();
        self.step(world, to, Event::Frame(Box::new(frame)))
    }

    fn deliver_duplicated(&self, world: &mut World, index: usize) -> Result<(), String> {
        let duplicate = world.frames[index].duplicate();
        self.deliver(world, index)?;
        world.frames.push(duplicate);
        world.frames.sort();
        Ok(())
    }

    fn submit(&self, world: &mut World, index: usize, to: usize) -> Result<(), String> {
        world.submissions[index].count += 1;
        let planned = &self.changes[index];
        let event = Event::SubmitChange {
            request_id: u64::from(world.submissions[index].count) * REQUEST_STRIDE + index as u64,
            change_id: planned.change_id,
            is_first_send: false,
            base: planned.base,
            change: planned.change.clone(),
        };
        self.step(world, to, event)
    }

    /// Expires the timers of a machine: first the phase time-out, then the backoff.
    fn time_out(&self, world: &mut World, machine: usize) -> Result<(), String> {
        if self.is_bootstrap {
            world.clocks[machine] += ANNOUNCE_INTERVAL;
            return self.step(world, machine, Event::Tick);
        }
        world.clocks[machine] += PHASE_TIMEOUT;
        self.step(world, machine, Event::Tick)?;
        world.clocks[machine] += BACKOFF;
        self.step(world, machine, Event::Tick)
    }

    /// Advances a machine's clock to its next freshness probe, or moves an overdue probe to the clock.
    fn send_probe(&self, world: &mut World, machine: usize) -> Result<(), String> {
        let due = world.machines[machine].node.consensus.freshness.next_probe_at;
        world.clocks[machine] = world.clocks[machine].max(due);
        if due < world.clocks[machine] {
            let node = Arc::make_mut(&mut world.machines[machine].node);
            node.consensus.freshness.next_probe_at = world.clocks[machine];
        }
        self.step(world, machine, Event::Tick)
    }

    /// Advances a machine's clock to the end of its yield.
    fn end_yield(&self, world: &mut World, machine: usize) -> Result<(), String> {
        world.clocks[machine] = world.machines[machine].node.consensus.state.yield_until;
        self.step(world, machine, Event::Tick)
    }

    /// Applies one action and deducts it from the allowance.
    fn perform(&self, world: &mut World, action: &Action) -> Result<(), String> {
        match *action {
            Action::Deliver { index } => self.deliver(world, index),
            Action::Lose { index } => {
                world.left.losses -= 1;
                world.frames.remove(index);
                Ok(())
            }
            Action::Duplicate { index } => {
                world.left.duplicates -= 1;
                self.deliver_duplicated(world, index)
            }
            Action::Sync { machine } => self.sync(world, machine),
            Action::Crash { machine, landed } => {
                world.left.crashes -= 1;
                world.crash(machine, landed)
            }
            Action::Wipe { machine } => {
                world.left.wipes -= 1;
                world.wipe(machine);
                Ok(())
            }
            Action::Timeout { machine } => {
                world.left.timeouts -= 1;
                self.time_out(world, machine)
            }
            Action::Probe { machine } => {
                world.left.probes -= 1;
                self.send_probe(world, machine)
            }
            Action::EndYield { machine } => {
                world.left.yields -= 1;
                self.end_yield(world, machine)
            }
            Action::Submit { change, to } => {
                if world.submissions[change].count > 0 {
                    world.left.resubmissions -= 1;
                }
                self.submit(world, change, to)
            }
        }
    }

    /// Applies one step of the opening. A step that is not possible is an error in the bound.
    fn open(&self, world: &mut World, opening: &Opening) -> Result<(), String> {
        match *opening {
            Opening::Submit { change, to } => self.submit(world, change, to),
            Opening::Deliver { kind, from, to } => {
                let index = world.index_of(kind, from, to)?;
                self.deliver(world, index)
            }
            Opening::Lose { kind, from, to } => {
                let index = world.index_of(kind, from, to)?;
                world.frames.remove(index);
                Ok(())
            }
            Opening::Timeout { machine } => self.perform(world, &Action::Timeout { machine }),
            Opening::Wipe { machine } => self.perform(world, &Action::Wipe { machine }),
            Opening::Sync { machine } => self.sync(world, machine),
            Opening::Crash { machine, landed } => world.crash(machine, landed),
        }
    }
}

impl World {
    /// Adds a frame to the frames in flight without sorting them.
    fn send(&mut self, machine: usize, sent: AddressedFrame) -> Result<(), String> {
        let AddressedFrame { to, frame } = &sent;
        self.judge.on_send(machine, &frame.message, &self.machines[machine].durable)?;
        if is_probe(&frame.message) {
            self.judge.on_probe(machine, self.clocks[machine]);
        }
        // The digest omits the time of sending, because each machine has its own clock.
        let digest = digest_of(&(to, frame.from, frame.to, frame.incarnation, &frame.message));
        self.frames.push(InFlightFrame::new(sent, digest));
        Ok(())
    }

    fn crash(&mut self, machine: usize, landed: usize) -> Result<(), String> {
        self.machines[machine] = self.machines[machine].restart(landed, self.clocks[machine]);
        self.judge.check_machine(machine, &self.machines[machine].node)
    }

    fn wipe(&mut self, machine: usize) {
        self.machines[machine] = self.machines[machine].wipe(self.clocks[machine]);
    }

    /// Returns the index of the first frame of this kind between two machines.
    fn index_of(&self, kind: &str, from: usize, to: usize) -> Result<usize, String> {
        let sender = self.machines[from].node.settings.node_id;
        let is_wanted = |in_flight: &InFlightFrame| {
            in_flight.to == to && in_flight.frame.from == sender && in_flight.frame.message.name() == kind
        };
        let index = self.frames.position(is_wanted);
        index.ok_or_else(|| format!("the opening lacks its {kind} from {from} to {to}"))
    }
}

/// Runs without faults.
impl Agreement {
    /// Runs all machines in rounds: every kind of frame is delivered, and disks sync at once.
    fn run(&self, world: &mut World, duration: Micros) -> Result<(), String> {
        let mut frames = world.frames.drain();
        for machine in 0..self.machines {
            self.sync_promptly(world, machine, &mut frames)?;
        }
        for _ in 0..duration / ROUND_DURATION {
            for machine in 0..self.machines {
                world.clocks[machine] += ROUND_DURATION;
                self.step_promptly(world, machine, Event::Tick, &mut frames)?;
            }
            for AddressedFrame { to, frame } in std::mem::take(&mut frames) {
                if to < self.machines {
                    self.step_promptly(world, to, Event::Frame(Box::new(frame)), &mut frames)?;
                }
            }
        }
        Ok(())
    }

    /// Steps a machine whose disk syncs at once, and appends the frames that the machine sends to `frames`.
    fn step_promptly(
        &self,
        world: &mut World,
        machine: usize,
        event: Event,
        frames: &mut Vec<AddressedFrame>,
    ) -> Result<(), String> {
        let mut output = StepOutput::default();
        world.machines[machine].step(event, world.clocks[machine], &mut output);
        frames.append(&mut output.frames);
        self.process_completed(world, output.completed)?;
        self.sync_promptly(world, machine, frames)
    }

    fn sync_promptly(&self, world: &mut World, machine: usize, frames: &mut Vec<AddressedFrame>) -> Result<(), String> {
        let mut output = StepOutput::default();
        world.machines[machine].sync(world.clocks[machine], &mut output);
        frames.append(&mut output.frames);
        self.process_completed(world, output.completed)?;
        world.judge.check_machine(machine, &world.machines[machine].node)
    }
}

/// The actions that are possible in a state.
impl Agreement {
    fn frame_actions(world: &World) -> Vec<Action> {
        let mut actions = Vec::new();
        for index in 0..world.frames.len() {
            // Delivering either of two equal frames leads to the same state.
            if index > 0 && world.frames[index - 1].digest == world.frames[index].digest {
                continue;
            }
            actions.push(Action::Deliver { index });
            if world.left.losses > 0 {
                actions.push(Action::Lose { index });
            }
            if world.left.duplicates > 0 {
                actions.push(Action::Duplicate { index });
            }
        }
        actions
    }

    fn machine_actions(&self, world: &World, index: usize) -> Vec<Action> {
        let (left, machine) = (&world.left, &world.machines[index]);
        let mut actions = Vec::new();
        let unsynced = machine.unsynced.len();
        if unsynced > 0 {
            actions.push(Action::Sync { machine: index });
        }
        if left.crashes > 0 && index < VOTERS {
            actions.extend((0..=unsynced).map(|landed| Action::Crash { machine: index, landed }));
        }
        if left.wipes > 0 && index < VOTERS {
            actions.push(Action::Wipe { machine: index });
        }
        let state = &machine.node.consensus.state;
        let is_voter = machine.node.is_voter();
        let is_waiting = state.proposal.is_some() || state.accepted.is_some() || !state.pending_changes.is_empty();
        let is_founding = self.is_bootstrap && machine.node.version().is_none();
        if left.timeouts > 0 && (is_founding || is_waiting && is_voter) {
            actions.push(Action::Timeout { machine: index });
        }
        let is_yielding = is_waiting && state.proposal.is_none() && state.yield_until > world.clocks[index];
        if left.yields > 0 && is_yielding && is_voter {
            actions.push(Action::EndYield { machine: index });
        }
        if left.probes > 0 && is_voter {
            actions.push(Action::Probe { machine: index });
        }
        actions
    }

    fn submit_actions(&self, world: &World) -> Vec<Action> {
        let mut actions = Vec::new();
        for (change, planned) in self.changes.iter().enumerate() {
            if planned.after.is_some_and(|other| !world.submissions[other].is_acknowledged) {
                continue;
            }
            if world.submissions[change].count == 0 {
                actions.push(Action::Submit { change, to: planned.receivers[0] });
            } else if world.left.resubmissions > 0 {
                actions.extend(planned.receivers.iter().map(|to| Action::Submit { change, to: *to }));
            }
        }
        actions
    }
}

impl Model for Agreement {
    type State = World;
    type Action = Action;

    fn initial_state(&self) -> World {
        let new_machine =
            |index| if self.is_bootstrap { Machine::with_empty_disk(index) } else { Machine::new(index, false) };
        let mut world = World {
            machines: (0..self.machines).map(new_machine).collect(),
            clocks: vec![STARTED_AT; self.machines],
            frames: FramesInFlight::default(),
            left: self.allowance,
            submissions: vec![Submission::default(); self.changes.len()],
            judge: Judge::default(),
            opening_violation: None,
        };
        // Peers have discovered each other before the opening, unless the bootstrap is explored.
        let discovered = if self.is_bootstrap { Ok(()) } else { self.run(&mut world, DECISION_TIME) };
        world.frames = FramesInFlight::default();
        world.machines.iter_mut().for_each(|machine| machine.update_digest(Scope::Agreement));
        let opened = discovered.and_then(|()| self.opening.iter().try_for_each(|step| self.open(&mut world, step)));
        world.opening_violation = opened.err();
        world
    }

    fn digest(&self, world: &World) -> u64 {
        let machines: Vec<_> = world.machines.iter().map(Machine::digest).collect();
        digest_of(&(machines, &world.clocks, world.frames.digests(), world.left, &world.submissions, &world.judge))
    }

    fn describe(&self, world: &World, action: &Action) -> String {
        match action {
            Action::Deliver { index } | Action::Lose { index } | Action::Duplicate { index } => {
                format!("{action:?}: {}", world.frames[*index])
            }
            _ => format!("{action:?}"),
        }
    }

    fn actions(&self, world: &World) -> Vec<Action> {
        // A `Synced` message only lets others acknowledge and replicate, with the same result in any order. To
        // reduce the number of states, the message is delivered or lost before any other action.
        if let Some(index) = world.frames.position(|in_flight| is_synced(&in_flight.frame.message)) {
            return match world.left.losses {
                0 => vec![Action::Deliver { index }],
                _ => vec![Action::Deliver { index }, Action::Lose { index }],
            };
        }
        let mut actions = Self::frame_actions(world);
        actions.extend((0..self.machines).flat_map(|machine| self.machine_actions(world, machine)));
        actions.extend(self.submit_actions(world));
        actions
    }

    fn apply(&self, world: &World, action: &Action) -> Result<World, String> {
        if let Some(violation) = &world.opening_violation {
            return Err(violation.clone());
        }
        let mut next = world.clone();
        self.perform(&mut next, action)?;
        Ok(next)
    }

    fn check_recovery(&self, world: &World) -> Result<(), String> {
        let mut world = world.clone();
        self.run(&mut world, RECOVERY_TIME)?;
        // Seeds whose disks were lost before a majority held version 0 can no longer bootstrap the fleet.
        let lost_disks = self.is_bootstrap && world.left.wipes < self.allowance.wipes;
        if lost_disks && world.machines.iter().filter(|machine| machine.node.is_voter()).count() < 2 {
            return Ok(());
        }
        let revision = world.check_convergence()?;
        self.check_decides_another(&mut world, revision)
    }
}

impl World {
    /// Checks that all machines hold the same newest version and that all voters are fresh; returns the
    /// current revision.
    fn check_convergence(&self) -> Result<u64, String> {
        let entries = self.machines.iter().filter_map(|machine| machine.node.consensus.state.newest());
        let newest = entries.max_by_key(|entry| entry.version).ok_or("no machine holds a version")?;
        for (index, machine) in self.machines.iter().enumerate() {
            let node = &machine.node;
            if node.consensus.state.newest() != Some(newest) {
                let version = node.version();
                return Err(format!(
                    "all converge: machine {index} holds {version:?}, others version {}",
                    newest.version
                ));
            }
            self.judge.check_keeps_acknowledged(index, node)?;
            if node.is_voter() && !node.is_fresh(self.clocks[index]) {
                return Err(format!("all converge: voter {index} is not fresh"));
            }
        }
        Ok(newest.revision)
    }
}

impl Agreement {
    /// Checks that a new change is decided within [`DECISION_TIME`].
    fn check_decides_another(&self, world: &mut World, base: u64) -> Result<(), String> {
        let body = document(base + 1, "last");
        let is_voter = |machine: &Machine| machine.node.is_voter();
        let receiver = world.machines.iter().position(is_voter).ok_or("no machine votes")?;
        let event = Event::SubmitChange {
            request_id: LAST_REQUEST,
            change_id: change_id(&body),
            is_first_send: false,
            base,
            change: Change::Document(body.clone()),
        };
        let mut frames = Vec::new();
        self.step_promptly(world, receiver, event, &mut frames)?;
        world.frames = FramesInFlight::default();
        for sent in frames {
            world.frames.push(InFlightFrame::new(sent, 0));
        }
        self.run(world, DECISION_TIME)?;
        let newest = world.machines[receiver].node.consensus.state.newest();
        let is_decided = newest.is_some_and(|entry| entry.body == body);
        let is_synced = |machine: &&Machine| machine.durable.entries.values().any(|entry| entry.body == body);
        let disks = world.machines.iter().filter(is_synced).count();
        if !is_decided || disks < 2 {
            return Err(format!("a change is decided once all is well: it is on {disks} disks after 4 s"));
        }
        Ok(())
    }
}
