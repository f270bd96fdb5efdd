//! Model of whole nodes in rounds: every protocol (consensus, freshness, membership, takeover, leases, gossip)
//! runs with its timers, under every choice of faults at every choice point.
//!
//! All machines share one clock, which advances in rounds of 25 ms. In each round every machine receives the
//! frames sent in the previous round, then its timers run; its writes are synced in the next round. The order
//! within a round is fixed, so the exploration covers which faults occur and when. Two operators submit changes
//! continuously, and each retries a change on the next machine until the change has a definite outcome.

use crate::explore::Model;
use crate::frames::AddressedFrame;
use crate::judge::{Base, Judge};
use crate::machine::{CompletedChange, Machine, STARTED_AT, StepOutput, VOTERS, change_id, document};
use crate::requesters::{CONFIGURATION, FIRST_ADDRESS, Requesters};
use std::collections::BTreeMap;
use sumacvale_core::base::{MS, Micros, SEC};
use sumacvale_core::lease::ROLE_COUNT;
use sumacvale_core::node::{Event, Node, Scope, digest_of};
use sumacvale_core::protocol::{Change, ChangeOutcome, Frame};

/// The length of a round, in microseconds.
const ROUND_DURATION: Micros = 25 * MS;
/// The time for peer discovery before the first choice, in microseconds.
const DISCOVERY_TIME: Micros = 4 * SEC;
/// The minimum time between two losses of a disk, in microseconds.
const LOSS_INTERVAL: Micros = 8 * SEC;
/// The time after the last fault within which the fleet must recover, in microseconds.
const RECOVERY_TIME: Micros = 12 * SEC;
/// The maximum number of units whose grants one fault may lose. Their units stay with the requester, which would
/// learn of these units with its next grant, but sends no more requests in these bounds.
const LOST_UNITS: u64 = 2;
/// The time within which a change must be decided once no fault is active, in microseconds.
const DECISION_TIME: Micros = 4 * SEC;
/// The delay of the frames of a machine with [`FaultKind::DelayedFrames`], in microseconds.
const FRAME_DELAY: Micros = 200 * MS;
/// The delay between the two copies of a duplicated frame, in microseconds.
const DUPLICATE_DELAY: Micros = 3 * ROUND_DURATION;
/// The time between two syncs of a slow disk, in microseconds.
const SLOW_SYNC_INTERVAL: Micros = 400 * MS;
/// The time for which a machine with [`FaultKind::Aside`] receives nothing at all, in microseconds: slightly
/// shorter than a new set of voters waits for the previous set.
const ISOLATION_DURATION: Micros = 2_400 * MS;
/// The number of operators in bounds without requesters.
const OPERATOR_COUNT: u64 = 2;
/// The distance between the request identifiers of two submissions of an operator. The remainder is the index of
/// the operator.
const REQUEST_STRIDE: u64 = 10;
/// The time without an outcome after which an operator retries a change, in microseconds.
const OUTCOME_TIMEOUT: Micros = SEC;
/// The delay of an operator's next submission after a commit, in microseconds.
const DELAY_AFTER_COMMIT: Micros = 300 * MS;
/// The delay of an operator's next submission after any other outcome, in microseconds.
const DELAY_AFTER_FAILURE: Micros = 100 * MS;
/// The duration of permanent faults, in microseconds: longer than any run of a model.
const FOREVER: Micros = Micros::MAX / 2;

/// A fault of one machine or of all machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultKind {
    /// The process crashes, loses its unsynced writes and restarts soon.
    Crash,
    /// The process crashes, and restarts only after other nodes have marked the node as failed.
    LongCrash,
    /// The machine restarts with an empty disk.
    Wipe,
    /// The machine is lost permanently.
    Gone,
    /// A partition: no frame from or to the machine is delivered.
    Partition,
    /// A partition for longer than the failure time-out.
    LongPartition,
    /// No frame from the machine is delivered.
    LostSends,
    /// No frame to the machine is delivered.
    LostReceives,
    /// Frames from the machine are delayed, so that frames from other machines overtake them.
    DelayedFrames,
    /// The machine pauses, and then receives all frames sent in the meantime.
    Freeze,
    /// The disk syncs only once in `SLOW_SYNC_INTERVAL`.
    SlowDisk,
    /// Every frame of all machines is delivered twice.
    DuplicatedFrames,
    /// All processes crash at once and lose their unsynced writes.
    Blackout,
    /// A partition between the machine and the next voter.
    PairPartition,
    /// The machine receives nothing for `ISOLATION_DURATION`, then for a while only frames from machines with the
    /// same fault.
    Aside,
    /// The machine is told to leave, and runs until it may stop.
    Leave,
}

/// The faults that the `any-…` bounds explore.
pub const ANY_FAULT: [FaultKind; 13] = [
    FaultKind::Crash,
    FaultKind::LongCrash,
    FaultKind::Wipe,
    FaultKind::Gone,
    FaultKind::Partition,
    FaultKind::LongPartition,
    FaultKind::LostSends,
    FaultKind::LostReceives,
    FaultKind::DelayedFrames,
    FaultKind::Freeze,
    FaultKind::SlowDisk,
    FaultKind::DuplicatedFrames,
    FaultKind::Blackout,
];

impl FaultKind {
    /// Returns true if the fault loses the disk of a machine.
    fn loses_disk(self) -> bool {
        matches!(self, FaultKind::Wipe | FaultKind::Gone)
    }

    /// Returns true if the fault affects all machines at once.
    fn affects_all(self) -> bool {
        matches!(self, FaultKind::DuplicatedFrames | FaultKind::Blackout)
    }

    /// Returns the duration of the fault, in microseconds.
    fn duration(self) -> Micros {
        match self {
            FaultKind::Crash | FaultKind::Blackout => 200 * MS,
            FaultKind::Wipe => 600 * MS,
            FaultKind::LongCrash | FaultKind::LongPartition => 3_500 * MS,
            FaultKind::Gone | FaultKind::Leave => FOREVER,
            FaultKind::PairPartition | FaultKind::Aside => 7 * SEC,
            FaultKind::Partition
            | FaultKind::LostSends
            | FaultKind::LostReceives
            | FaultKind::DelayedFrames
            | FaultKind::SlowDisk
            | FaultKind::DuplicatedFrames => 1_200 * MS,
            FaultKind::Freeze => 1_500 * MS,
        }
    }
}

/// A fault that is injected before the exploration begins.
#[derive(Clone, Copy, Debug)]
pub struct OpeningFault {
    /// The time since the previous fault, in microseconds.
    pub delay: Micros,
    /// The kind of the fault.
    pub kind: FaultKind,
    /// The affected machine.
    pub machine: usize,
}

/// The bounds of one exploration.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// The number of machines. Three of them vote at the start.
    pub machines: usize,
    /// The faults that are explored.
    pub kinds: Vec<FaultKind>,
    /// The faults that are injected before the exploration begins.
    pub opening: Vec<OpeningFault>,
    /// The maximum number of faults on one path.
    pub faults: u8,
    /// The time between choices, in microseconds.
    pub step: Micros,
    /// The time within which the first fault occurs, in microseconds.
    pub first_within: Micros,
    /// The time after each fault within which the next fault occurs, in microseconds.
    pub next_within: Micros,
    /// True if two nodes request units of a tenant's window continuously, instead of operators submitting changes.
    pub has_requesters: bool,
    /// True if a second disk may be lost as soon as all voters of the newest set are up.
    pub allows_close_losses: bool,
}

/// A transition of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Time passes without a fault.
    Wait,
    /// A fault occurs on a machine, and time passes.
    Fault(FaultKind, usize),
}

/// A submitted change without a definite outcome.
#[derive(Clone, Debug)]
struct OpenChange {
    base: u64,
    body: String,
}

/// An operator that submits one change after the other.
#[derive(Clone, Debug, Default)]
struct Operator {
    /// The number of changes that the operator has created.
    changes: u64,
    open: Option<OpenChange>,
    /// The time of the next submission, in microseconds.
    due: Micros,
    /// The identifier of the last submission.
    request_id: u64,
    /// The receiving machine, modulo the number of machines.
    receiver: usize,
}

/// A frame in flight and its time of delivery.
#[derive(Clone, Debug)]
struct DelayedFrame {
    /// The frame is delivered in the first round after this time, in microseconds.
    deliver_after: Micros,
    to: usize,
    frame: Frame,
}

/// One state of the model.
#[derive(Clone)]
pub struct World {
    now: Micros,
    machines: Vec<Machine>,
    /// The time at which each machine's next process starts, in microseconds; 0 while a process runs.
    down_until: Vec<Micros>,
    /// The time at which each fault ends, in microseconds, by kind and affected machine.
    faults: BTreeMap<(FaultKind, usize), Micros>,
    frames: Vec<DelayedFrame>,
    operators: Vec<Operator>,
    /// None if operators submit changes instead.
    requesters: Option<Requesters>,
    judge: Judge,
    /// The number of faults that may still occur.
    faults_left: u8,
    /// The time before which the next fault occurs, in microseconds.
    next_fault_before: Micros,
    /// The time of the last loss of a disk, in microseconds.
    disk_lost_at: Option<Micros>,
    /// The time of the last acknowledgement of a change, in microseconds.
    acknowledged_at: Micros,
    /// True once operators no longer submit changes.
    are_operators_paused: bool,
    /// The violation found before the first choice; the first action reports it.
    opening_violation: Option<String>,
}

/// The effects of the active faults.
impl World {
    fn is_up(&self, machine: usize) -> bool {
        self.down_until[machine] <= self.now
    }

    fn has_fault(&self, kind: FaultKind, machine: usize) -> bool {
        self.faults.get(&(kind, machine)).is_some_and(|until| *until > self.now)
    }

    /// Returns true during the first phase of [`FaultKind::Aside`], in which the machine receives nothing at all.
    fn is_isolated(&self, machine: usize) -> bool {
        let until = self.faults.get(&(FaultKind::Aside, machine)).copied().unwrap_or(0);
        self.now < (until + ISOLATION_DURATION).saturating_sub(FaultKind::Aside.duration())
    }

    /// Returns true if the machine is partitioned from all other machines.
    fn is_partitioned(&self, machine: usize) -> bool {
        self.has_fault(FaultKind::Partition, machine)
            || self.has_fault(FaultKind::LongPartition, machine)
            || self.is_isolated(machine)
    }

    /// Returns true if the node processes events.
    fn is_running(&self, machine: usize) -> bool {
        self.is_up(machine) && !self.has_fault(FaultKind::Freeze, machine)
    }

    /// Returns true if frames between these machines are lost.
    fn is_link_down(&self, from: usize, to: usize) -> bool {
        let pair = |one, other| self.has_fault(FaultKind::PairPartition, one) && other == (one + 1) % VOTERS;
        self.has_fault(FaultKind::Aside, from) != self.has_fault(FaultKind::Aside, to)
            || pair(from, to)
            || pair(to, from)
            || self.is_partitioned(from)
            || self.is_partitioned(to)
            || self.has_fault(FaultKind::LostSends, from)
            || self.has_fault(FaultKind::LostReceives, to)
    }

    /// Returns true if all voters of the newest set that any machine knows are up.
    fn are_voters_up(&self) -> bool {
        let entries = self.machines.iter().filter_map(|machine| machine.node.consensus.state.newest());
        let is_node_up = |node_id| {
            self.machines.iter().any(|machine| self.is_up(machine.index) && machine.node.settings.node_id == node_id)
        };
        let newest = entries.max_by_key(|entry| entry.version);
        newest.is_some_and(|entry| entry.voters.iter().all(|voter| is_node_up(voter.node_id)))
    }

    fn running_nodes(&self) -> impl Iterator<Item = (usize, &Node)> + Clone {
        let running = self.machines.iter().filter(|machine| self.is_running(machine.index));
        running.map(|machine| (machine.index, &*machine.node))
    }
}

/// The steps of single machines.
impl World {
    fn step(&mut self, machine: usize, event: Event) -> Result<(), String> {
        let mut output = StepOutput::default();
        self.machines[machine].step(event, self.now, &mut output);
        self.process_output(machine, output)?;
        self.judge.check_machine(machine, &self.machines[machine].node)
    }

    fn process_output(&mut self, machine: usize, output: StepOutput) -> Result<(), String> {
        for sent in output.frames {
            self.send(machine, sent)?;
        }
        output.completed.iter().try_for_each(|completed| self.on_completed(completed))
    }

    fn send(&mut self, machine: usize, AddressedFrame { to, frame }: AddressedFrame) -> Result<(), String> {
        if let Some(requesters) = self.requesters.as_mut().filter(|_| to >= FIRST_ADDRESS) {
            return requesters.on_frame(to - FIRST_ADDRESS, &frame, self.now);
        }
        if to >= self.machines.len() || self.is_link_down(machine, to) {
            return Ok(());
        }
        self.judge.on_send(machine, &frame.message, &self.machines[machine].durable)?;
        let delay = if self.has_fault(FaultKind::DelayedFrames, machine) { FRAME_DELAY } else { 0 };
        let deliver_after = self.now + delay;
        if self.has_fault(FaultKind::DuplicatedFrames, 0) {
            let deliver_after = deliver_after + DUPLICATE_DELAY;
            self.frames.push(DelayedFrame { deliver_after, to, frame: frame.clone() });
        }
        self.frames.push(DelayedFrame { deliver_after, to, frame });
        Ok(())
    }

    fn on_completed(&mut self, completed: &CompletedChange) -> Result<(), String> {
        let CompletedChange { request_id, outcome } = completed;
        let index = usize::try_from(request_id % REQUEST_STRIDE).unwrap_or(0);
        let operator = &mut self.operators[index];
        if operator.request_id != *request_id {
            return Ok(());
        }
        let Some(OpenChange { base, body }) = operator.open.clone() else { return Ok(()) };
        self.judge.on_outcome(change_id(&body), Base::Document(base), outcome, self.now)?;
        match outcome {
            ChangeOutcome::Committed { .. } => {
                self.acknowledged_at = self.now;
                operator.open = None;
                operator.due = self.now + DELAY_AFTER_COMMIT;
            }
            ChangeOutcome::Stale { .. } => {
                operator.open = None;
                operator.due = self.now + DELAY_AFTER_FAILURE;
            }
            _ => operator.due = self.now + DELAY_AFTER_FAILURE,
        }
        Ok(())
    }
}

/// The execution of rounds.
impl World {
    fn run(&mut self, duration: Micros) -> Result<(), String> {
        (0..duration / ROUND_DURATION).try_for_each(|_| self.run_round())
    }

    fn run_round(&mut self) -> Result<(), String> {
        self.now += ROUND_DURATION;
        for machine in 0..self.machines.len() {
            self.restart_and_sync(machine)?;
        }
        self.deliver_frames()?;
        for machine in 0..self.machines.len() {
            if self.is_running(machine) {
                self.step(machine, Event::Tick)?;
            }
        }
        if !self.are_operators_paused {
            (0..self.operators.len()).try_for_each(|operator| self.submit_if_due(operator))?;
        }
        self.deliver_requests()?;
        self.judge.check_fleet(self.running_nodes(), self.now)
    }

    /// Starts the next process of a machine if due, and syncs the machine's disk.
    fn restart_and_sync(&mut self, machine: usize) -> Result<(), String> {
        if self.down_until[machine] != 0 && self.down_until[machine] <= self.now {
            self.down_until[machine] = 0;
            self.machines[machine] = self.machines[machine].restart(0, self.now);
        }
        let is_disk_stalled =
            self.has_fault(FaultKind::SlowDisk, machine) && !self.now.is_multiple_of(SLOW_SYNC_INTERVAL);
        if !self.is_running(machine) || is_disk_stalled {
            return Ok(());
        }
        let mut output = StepOutput::default();
        self.machines[machine].sync_once(self.now, &mut output);
        self.process_output(machine, output)
    }

    /// Delivers the frames that are due. Frames to a frozen machine are kept, frames to a stopped machine are lost.
    fn deliver_frames(&mut self) -> Result<(), String> {
        for delayed in std::mem::take(&mut self.frames) {
            let DelayedFrame { deliver_after, to, .. } = delayed;
            if deliver_after >= self.now || (self.is_up(to) && !self.is_running(to)) {
                self.frames.push(delayed);
            } else if self.is_up(to) {
                self.step(to, Event::Frame(Box::new(delayed.frame)))?;
            }
        }
        Ok(())
    }

    fn deliver_requests(&mut self) -> Result<(), String> {
        let cores = self.machines.len();
        let requesters = self.requesters.as_mut();
        let requests = requesters.map(|requesters| requesters.due_frames(cores, self.now)).unwrap_or_default();
        for AddressedFrame { to, frame } in requests {
            if self.is_running(to) {
                self.step(to, Event::Frame(Box::new(frame)))?;
            }
        }
        Ok(())
    }

    /// Submits an operator's next change, or retries its open change on the next machine.
    fn submit_if_due(&mut self, index: usize) -> Result<(), String> {
        let entries = self.machines.iter().filter_map(|machine| machine.node.consensus.state.newest());
        let newest_revision = entries.map(|entry| entry.revision).max().unwrap_or(0);
        let operator = &mut self.operators[index];
        if self.now < operator.due {
            return Ok(());
        }
        if operator.open.is_none() {
            operator.changes += 1;
            let pool = format!("by{index}n{}", operator.changes);
            let body = document(newest_revision + 1 + index as u64, &pool);
            operator.open = Some(OpenChange { base: newest_revision, body });
        } else {
            operator.receiver += 1;
        }
        operator.request_id += REQUEST_STRIDE;
        operator.due = self.now + OUTCOME_TIMEOUT;
        let (request_id, to) = (operator.request_id, operator.receiver % self.machines.len());
        let Some(OpenChange { base, body }) = operator.open.clone() else { return Ok(()) };
        if !self.is_running(to) {
            return Ok(());
        }
        let change_id = change_id(&body);
        let change = Change::Document(body);
        self.step(to, Event::SubmitChange { request_id, change_id, is_first_send: false, base, change })
    }

    /// Injects a fault.
    fn inject(&mut self, kind: FaultKind, machine: usize) -> Result<(), String> {
        let until = self.now + kind.duration();
        match kind {
            FaultKind::Crash | FaultKind::LongCrash | FaultKind::Gone => self.stop_process(machine, until),
            FaultKind::Blackout => (0..self.machines.len()).for_each(|machine| self.stop_process(machine, until)),
            FaultKind::Wipe => {
                self.machines[machine] = self.machines[machine].wipe(self.now);
                self.stop_process(machine, until);
            }
            FaultKind::Leave => self.step(machine, Event::Shutdown)?,
            _ => {
                self.faults.insert((kind, machine), until);
            }
        }
        if kind.loses_disk() {
            self.disk_lost_at = Some(self.now);
        }
        Ok(())
    }

    fn stop_process(&mut self, machine: usize, until: Micros) {
        // The next process starts at `until`. Until then the machine is not up, and its node is not stepped.
        self.machines[machine] = self.machines[machine].restart(0, self.now);
        self.down_until[machine] = self.down_until[machine].max(until);
    }
}

/// The checks once no fault is active.
impl World {
    fn live_machines(&self) -> Vec<usize> {
        (0..self.machines.len()).filter(|machine| self.is_up(*machine)).collect()
    }

    /// Returns the end of the last fault that is not permanent, in microseconds.
    fn faults_end_at(&self) -> Micros {
        let ends = self.faults.values().chain(&self.down_until);
        ends.filter(|end| **end < FOREVER / 2).max().copied().unwrap_or(0)
    }

    /// Checks that changes are decided, and that all units of a window except lost ones are granted.
    fn check_progress(&self, lost_units: u64) -> Result<(), String> {
        if !self.operators.is_empty() && self.acknowledged_at + DECISION_TIME < self.now {
            let ago = (self.now - self.acknowledged_at) / MS;
            return Err(format!("a change is decided once all is well: the last one was {ago} ms ago"));
        }
        if self.requesters.as_ref().is_some_and(|requesters| !requesters.has_granted_all_but(lost_units)) {
            return Err(format!("all units of a window are granted in the end: {:?}", self.requesters));
        }
        Ok(())
    }

    /// Checks that all live machines hold the same version and are fresh, that each role has a holder, and that
    /// enough machines vote.
    fn check_convergence(&self) -> Result<(), String> {
        let live = self.live_machines();
        let node = |machine: &usize| &self.machines[*machine].node;
        let voters: Vec<_> = live.iter().filter(|machine| node(machine).is_voter()).collect();
        let versions: Vec<_> = live.iter().map(|machine| node(machine).version()).collect();
        if versions.iter().any(|version| *version != versions[0]) {
            return Err(format!("all converge: machines {live:?} hold versions {versions:?}, voters {voters:?}"));
        }
        for machine in &live {
            self.judge.check_keeps_acknowledged(*machine, node(machine))?;
            if !node(machine).is_fresh(self.now) {
                return Err(format!("all converge: machine {machine} is not fresh"));
            }
        }
        let is_held =
            |role: &u32| live.iter().any(|machine| node(machine).leases.held.valid_epoch(*role, self.now).is_some());
        let vacant: Vec<_> = (0..ROLE_COUNT).filter(|role| !is_held(role)).collect();
        if !vacant.is_empty() {
            return Err(format!("all converge: nobody holds the roles {vacant:?}"));
        }
        if voters.len() < live.len().min(VOTERS) {
            return Err(format!("all converge: only {} of {} live machines vote", voters.len(), live.len()));
        }
        Ok(())
    }
}

impl Fleet {
    fn new_world(&self) -> World {
        let configuration = if self.has_requesters { CONFIGURATION } else { "{}" };
        let new_operator = |index| Operator {
            request_id: index,
            receiver: usize::try_from(index).unwrap_or(0),
            ..Operator::default()
        };
        let operators = if self.has_requesters { 0 } else { OPERATOR_COUNT };
        World {
            now: STARTED_AT,
            machines: (0..self.machines).map(|index| Machine::with_configuration(index, true, configuration)).collect(),
            requesters: self.has_requesters.then(|| Requesters::new(STARTED_AT + DISCOVERY_TIME)),
            down_until: vec![0; self.machines],
            faults: BTreeMap::new(),
            frames: Vec::new(),
            operators: (0..operators).map(new_operator).collect(),
            judge: Judge::default(),
            faults_left: self.faults,
            next_fault_before: 0,
            disk_lost_at: None,
            acknowledged_at: 0,
            are_operators_paused: false,
            opening_violation: None,
        }
    }

    fn open(&self, world: &mut World) -> Result<(), String> {
        world.run(DISCOVERY_TIME)?;
        self.opening.iter().try_for_each(|fault| {
            world.run(fault.delay)?;
            world.inject(fault.kind, fault.machine)
        })
    }

    /// Returns true if a fault of this kind is not allowed yet after the last loss of a disk.
    fn is_too_soon(&self, world: &World, kind: FaultKind) -> bool {
        let Some(lost_at) = world.disk_lost_at.filter(|_| kind.loses_disk()) else { return false };
        if self.allows_close_losses { !world.are_voters_up() } else { world.now < lost_at + LOSS_INTERVAL }
    }
}

impl Model for Fleet {
    type State = World;
    type Action = Action;

    fn initial_state(&self) -> World {
        let mut world = self.new_world();
        world.opening_violation = self.open(&mut world).err();
        world.next_fault_before = world.now + self.first_within;
        world
    }

    fn digest(&self, world: &World) -> u64 {
        let digest = |machine: &Machine| (machine.node.digest(Scope::Full), machine.disk_digest());
        let machines: Vec<_> = world.machines.iter().map(digest).collect();
        digest_of(&(
            (world.now, machines, &world.down_until),
            (&world.faults, &world.frames, &world.operators),
            (&world.judge, &world.requesters, world.faults_left, world.disk_lost_at),
        ))
    }

    fn describe(&self, world: &World, action: &Action) -> String {
        let voters: Vec<_> = (0..self.machines).filter(|machine| world.machines[*machine].node.is_voter()).collect();
        format!("at {:.3} s, voters {voters:?}: {action:?}", (world.now - STARTED_AT) as f64 / SEC as f64)
    }

    fn actions(&self, world: &World) -> Vec<Action> {
        if world.faults_left == 0 || world.now >= world.next_fault_before {
            return Vec::new();
        }
        let mut actions = vec![Action::Wait];
        for kind in &self.kinds {
            if self.is_too_soon(world, *kind) {
                continue;
            }
            let machines = if kind.affects_all() { 1 } else { self.machines };
            let running = (0..machines).filter(|machine| world.is_running(*machine));
            actions.extend(running.map(|machine| Action::Fault(*kind, machine)));
        }
        actions
    }

    fn apply(&self, world: &World, action: &Action) -> Result<World, String> {
        if let Some(violation) = &world.opening_violation {
            return Err(violation.clone());
        }
        let mut next = world.clone();
        if let Action::Fault(kind, machine) = action {
            next.inject(*kind, *machine)?;
            next.faults_left -= 1;
            next.next_fault_before = next.now + self.next_within;
        }
        next.run(self.step)?;
        Ok(next)
    }

    fn check_recovery(&self, world: &World) -> Result<(), String> {
        let mut world = world.clone();
        let remaining = world.faults_end_at().saturating_sub(world.now);
        world.run(remaining + RECOVERY_TIME)?;
        world.check_progress(LOST_UNITS * u64::from(self.faults))?;
        // Pause the operators first: while changes are submitted, machines may be one version apart.
        world.are_operators_paused = true;
        world.run(DECISION_TIME)?;
        world.check_convergence()
    }
}
