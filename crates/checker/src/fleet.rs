//! Whole nodes in rounds: all machinery (consensus, freshness, membership, takeover, leases, gossip) with its
//! timers, under every choice of faults at every choice point.
//!
//! Time is common and moves in rounds of 25 ms. In each round every machine receives what was sent in the
//! round before, then its timers run; what it writes is synced in the next round. So the order within a round
//! is fixed, and what is explored is which faults come when. Two operators submit changes all the time, each
//! again to the next machine while it has no clear outcome.

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
const ROUND: Micros = 25 * MS;
/// How long machines know each other before the first choice, in microseconds.
const ACQUAINTANCE: Micros = 4 * SEC;
/// A second loss may come so long after an earlier one, in microseconds.
const LOSS_INTERVAL: Micros = 8 * SEC;
/// All must be well so long after the last fault, in microseconds.
const RECOVERY_TIME: Micros = 12 * SEC;
/// The grants of so many requests may be lost with a fault. Their units stay with the requester, which would
/// learn of them with its next grant, and sends no more requests in these bounds.
const LOST_UNITS: u64 = 2;
/// A change must be decided within this time once all is well, in microseconds.
const DECISION_TIME: Micros = 4 * SEC;
/// How late the frames of a machine with [`FaultKind::DelayedFrames`] are, in microseconds.
const FRAME_DELAY: Micros = 200 * MS;
/// How many rounds after the first copy the second copy of a duplicated frame may be delivered.
const DUPLICATE_DELAY: Micros = 3 * ROUND;
/// The time between two syncs of a slow disk, in microseconds.
const SLOW_SYNC_INTERVAL: Micros = 400 * MS;
/// How long a machine that is set aside receives nothing at all, in microseconds: almost as long as a new set
/// of voters waits for the set before it.
const ISOLATED_FOR: Micros = 2_400 * MS;
/// The number of operators in bounds without requesters.
const OPERATORS: u64 = 2;
/// Request identifiers are this much for each submission of an operator, plus the operator's index.
const REQUEST_STRIDE: u64 = 10;
/// An operator submits a change again after this time without an outcome, in microseconds.
const OUTCOME_TIMEOUT: Micros = SEC;
/// An operator rests for this time after a commit, in microseconds.
const REST_AFTER_COMMIT: Micros = 300 * MS;
/// An operator rests for this time after any other outcome, in microseconds.
const REST_AFTER_FAILURE: Micros = 100 * MS;
/// Longer than any run of a model, in microseconds: until then lasts what never ends.
const FOREVER: Micros = Micros::MAX / 2;

/// What may go wrong with a machine, or with all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultKind {
    /// The process ends with its unsynced writes, and the next one starts at once.
    Crash,
    /// The same, and the next one starts only when others took the node for failed.
    LongCrash,
    /// The machine comes back with an empty disk.
    Wipe,
    /// The machine is lost for good.
    Gone,
    /// A partition: no frame from it or to it is delivered.
    Partition,
    /// A partition for longer than the failure time-out.
    LongPartition,
    /// No frame from it is delivered.
    LostSends,
    /// No frame to it is delivered.
    LostReceives,
    /// Its frames are late, so that others overtake them.
    DelayedFrames,
    /// It stands still and then finds all that was sent to it.
    Freeze,
    /// Its disk syncs only now and then.
    SlowDisk,
    /// Every frame of all machines is delivered twice.
    DuplicatedFrames,
    /// All processes end at once, with their unsynced writes.
    Blackout,
    /// A partition between it and the next voter.
    PairPartition,
    /// It receives nothing for `ISOLATED_FOR`, then for a while only from others that are set aside too.
    Aside,
    /// It is told to leave, and goes on until it may stop.
    Leave,
}

/// The faults that are explored in the bounds of any fault.
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
    /// Whether it counts as the loss of a machine with its disk.
    fn loses_disk(self) -> bool {
        matches!(self, FaultKind::Wipe | FaultKind::Gone)
    }

    /// Whether it strikes all machines at once.
    fn strikes_all(self) -> bool {
        matches!(self, FaultKind::DuplicatedFrames | FaultKind::Blackout)
    }

    /// How long it lasts, in microseconds.
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

/// A fault that strikes before the exploration begins.
#[derive(Clone, Copy, Debug)]
pub struct OpeningFault {
    /// How long after the fault before it, in microseconds.
    pub delay: Micros,
    /// What goes wrong.
    pub kind: FaultKind,
    /// The machine that it strikes.
    pub machine: usize,
}

/// The bounds of one exploration.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// The number of machines. Three of them vote at the start.
    pub machines: usize,
    /// The faults that are explored.
    pub kinds: Vec<FaultKind>,
    /// The faults that strike before the exploration begins.
    pub opening: Vec<OpeningFault>,
    /// How many faults may strike on one path.
    pub faults: u8,
    /// The time between choices, in microseconds.
    pub step: Micros,
    /// The time within which the first fault strikes, in microseconds.
    pub first_within: Micros,
    /// The time after each fault within which the next one strikes, in microseconds.
    pub next_within: Micros,
    /// Whether two nodes request units of a tenant's window all the time, in the place of operators.
    pub has_requesters: bool,
    /// Whether a second loss may come as soon as all voters of the newest set are up.
    pub allows_close_losses: bool,
}

/// What may happen next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Time passes without a fault.
    Wait,
    /// A fault strikes a machine, and time passes.
    Fault(FaultKind, usize),
}

/// A change that an operator submitted, without a clear outcome so far.
#[derive(Clone, Debug)]
struct OpenChange {
    base: u64,
    body: String,
}

/// An operator, who submits one change after the other.
#[derive(Clone, Debug, Default)]
struct Operator {
    /// How many changes it began.
    changes: u64,
    open: Option<OpenChange>,
    /// When the next submission is due, in microseconds.
    due: Micros,
    /// The identifier of the last submission.
    request_id: u64,
    /// The number that the receiving machine is derived from.
    receiver: usize,
}

/// A frame under way.
#[derive(Clone, Debug)]
struct DelayedFrame {
    /// It is delivered in the first round after this time, in microseconds.
    deliver_after: Micros,
    to: usize,
    frame: Frame,
}

/// One state of the model.
#[derive(Clone)]
pub struct World {
    now: Micros,
    machines: Vec<Machine>,
    /// For each machine: when its next process starts, in microseconds; 0 while one runs.
    down_until: Vec<Micros>,
    /// When each fault ends, in microseconds, by the machine that it struck.
    faults: BTreeMap<(FaultKind, usize), Micros>,
    frames: Vec<DelayedFrame>,
    operators: Vec<Operator>,
    /// None where operators act.
    requesters: Option<Requesters>,
    judge: Judge,
    /// How many faults may still strike.
    faults_left: u8,
    /// The next fault strikes before this time, in microseconds.
    choose_until: Micros,
    /// When the last disk was lost, in microseconds.
    disk_lost_at: Option<Micros>,
    /// When the last change was acknowledged, in microseconds.
    acknowledged_at: Micros,
    /// Operators submit nothing any more.
    operators_rest: bool,
    /// The rule that was violated before the first choice; reported by the first action.
    opening_violation: Option<String>,
}

/// Which faults last.
impl World {
    fn is_up(&self, machine: usize) -> bool {
        self.down_until[machine] <= self.now
    }

    fn has_fault(&self, kind: FaultKind, machine: usize) -> bool {
        self.faults.get(&(kind, machine)).is_some_and(|until| *until > self.now)
    }

    /// Whether it is set aside and has not been for long enough to receive from the others there.
    fn is_isolated(&self, machine: usize) -> bool {
        let until = self.faults.get(&(FaultKind::Aside, machine)).copied().unwrap_or(0);
        self.now < (until + ISOLATED_FOR).saturating_sub(FaultKind::Aside.duration())
    }

    /// Whether it is partitioned from all others.
    fn is_partitioned(&self, machine: usize) -> bool {
        self.has_fault(FaultKind::Partition, machine)
            || self.has_fault(FaultKind::LongPartition, machine)
            || self.is_isolated(machine)
    }

    /// Whether the node takes events.
    fn is_running(&self, machine: usize) -> bool {
        self.is_up(machine) && !self.has_fault(FaultKind::Freeze, machine)
    }

    /// Whether frames between these machines are lost.
    fn is_cut_off(&self, from: usize, to: usize) -> bool {
        let pair = |one, other| self.has_fault(FaultKind::PairPartition, one) && other == (one + 1) % VOTERS;
        self.has_fault(FaultKind::Aside, from) != self.has_fault(FaultKind::Aside, to)
            || pair(from, to)
            || pair(to, from)
            || self.is_partitioned(from)
            || self.is_partitioned(to)
            || self.has_fault(FaultKind::LostSends, from)
            || self.has_fault(FaultKind::LostReceives, to)
    }

    /// Whether all voters of the newest set that any machine knows are up.
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
        if to >= self.machines.len() || self.is_cut_off(machine, to) {
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
                operator.due = self.now + REST_AFTER_COMMIT;
            }
            ChangeOutcome::Stale { .. } => {
                operator.open = None;
                operator.due = self.now + REST_AFTER_FAILURE;
            }
            _ => operator.due = self.now + REST_AFTER_FAILURE,
        }
        Ok(())
    }
}

/// The rounds.
impl World {
    fn run(&mut self, duration: Micros) -> Result<(), String> {
        (0..duration / ROUND).try_for_each(|_| self.run_round())
    }

    fn run_round(&mut self) -> Result<(), String> {
        self.now += ROUND;
        for machine in 0..self.machines.len() {
            self.restart_and_sync(machine)?;
        }
        self.deliver_frames()?;
        for machine in 0..self.machines.len() {
            if self.is_running(machine) {
                self.step(machine, Event::Tick)?;
            }
        }
        if !self.operators_rest {
            (0..self.operators.len()).try_for_each(|operator| self.submit_if_due(operator))?;
        }
        self.deliver_requests()?;
        self.judge.check_fleet(self.running_nodes(), self.now)
    }

    /// Starts the next process of a machine whose time has come, and syncs its disk.
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

    /// Delivers the frames that are due. Those to a frozen machine wait, those to one that is down are lost.
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

    /// Lets an operator submit its next change, or the open one again to the next machine.
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
        // The next process starts when the machine is back; until then its node counts for nothing.
        self.machines[machine] = self.machines[machine].restart(0, self.now);
        self.down_until[machine] = self.down_until[machine].max(until);
    }
}

/// What holds once no fault lasts any more.
impl World {
    fn live_machines(&self) -> Vec<usize> {
        (0..self.machines.len()).filter(|machine| self.is_up(*machine)).collect()
    }

    /// When the last fault that ends has ended, in microseconds.
    fn faults_end_at(&self) -> Micros {
        let ends = self.faults.values().chain(&self.down_until);
        ends.filter(|end| **end < FOREVER / 2).max().copied().unwrap_or(0)
    }

    /// Checks that changes are decided, and that all units of a window are granted.
    fn check_progress(&self, lost_units: u64) -> Result<(), String> {
        if !self.operators.is_empty() && self.acknowledged_at + DECISION_TIME < self.now {
            let ago = (self.now - self.acknowledged_at) / MS;
            return Err(format!("a change is decided once all is well: the last one was {ago} ms ago"));
        }
        if self.requesters.as_ref().is_some_and(|requesters| !requesters.has_all_units_but(lost_units)) {
            return Err(format!("all units of a window are granted in the end: {:?}", self.requesters));
        }
        Ok(())
    }

    /// Checks that all live machines hold one version, are fresh, and that each role has a holder.
    fn check_convergence(&self) -> Result<(), String> {
        let live = self.live_machines();
        let node = |machine: &usize| &self.machines[*machine].node;
        let voters: Vec<_> = live.iter().filter(|machine| node(machine).voter()).collect();
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
        let operators = if self.has_requesters { 0 } else { OPERATORS };
        World {
            now: STARTED_AT,
            machines: (0..self.machines).map(|index| Machine::with_configuration(index, true, configuration)).collect(),
            requesters: self.has_requesters.then(|| Requesters::new(STARTED_AT + ACQUAINTANCE)),
            down_until: vec![0; self.machines],
            faults: BTreeMap::new(),
            frames: Vec::new(),
            operators: (0..operators).map(new_operator).collect(),
            judge: Judge::default(),
            faults_left: self.faults,
            choose_until: 0,
            disk_lost_at: None,
            acknowledged_at: 0,
            operators_rest: false,
            opening_violation: None,
        }
    }

    fn open(&self, world: &mut World) -> Result<(), String> {
        world.run(ACQUAINTANCE)?;
        self.opening.iter().try_for_each(|fault| {
            world.run(fault.delay)?;
            world.inject(fault.kind, fault.machine)
        })
    }

    /// Whether a fault of this kind would come too soon after the loss of a disk.
    fn is_too_early(&self, world: &World, kind: FaultKind) -> bool {
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
        world.choose_until = world.now + self.first_within;
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
        let voters: Vec<_> = (0..self.machines).filter(|machine| world.machines[*machine].node.voter()).collect();
        format!("at {:.3} s, voters {voters:?}: {action:?}", (world.now - STARTED_AT) as f64 / SEC as f64)
    }

    fn actions(&self, world: &World) -> Vec<Action> {
        if world.faults_left == 0 || world.now >= world.choose_until {
            return Vec::new();
        }
        let mut actions = vec![Action::Wait];
        for kind in &self.kinds {
            if self.is_too_early(world, *kind) {
                continue;
            }
            let machines = if kind.strikes_all() { 1 } else { self.machines };
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
            next.choose_until = next.now + self.next_within;
        }
        next.run(self.step)?;
        Ok(next)
    }

    fn check_recovery(&self, world: &World) -> Result<(), String> {
        let mut world = world.clone();
        let remaining = world.faults_end_at().saturating_sub(world.now);
        world.run(remaining + RECOVERY_TIME)?;
        world.check_progress(LOST_UNITS * u64::from(self.faults))?;
        // Changes are submitted all the time, so machines may be one version apart: operators rest first.
        world.operators_rest = true;
        world.run(DECISION_TIME)?;
        world.check_convergence()
    }
}
