//! Model of quotas: explores every delivery order of the frames that request, grant, recall and return units of
//! one tenant, between the lease holder of the tenant's role and the fronts that spend units.
//!
//! The nodes are whole nodes; simulated callers use the real slices of the fronts. All machines share one clock.
//! Explored are the times of calls, refunds of unused units, reordered, lost and duplicated quota frames, the
//! passing of time, and restarts of the lease holder's process. All other frames (gossip, leases, registrations,
//! grants, and the requests of standbys, among the cores) are delivered at once.

use crate::explore::Model;
use crate::frames::{AddressedFrame, FramesInFlight, InFlightFrame};
use crate::machine::{Machine, STARTED_AT, StepOutput};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use sumacvale_core::base::{MS, Micros, SEC};
use sumacvale_core::lease::quota_role;
use sumacvale_core::node::{Event, Scope, digest_of};
use sumacvale_core::protocol::{Message, QuotaMessage};
use sumacvale_core::quota::{AcquireOutcome, FULL_SHARE, LOAN_DURATION, SHARE_LEASE};

/// The name of the only tenant.
const TENANT: &str = "home";
/// The interval at which timers run while time passes, in microseconds.
const ROUND_DURATION: Micros = 50 * MS;
/// The time for peer discovery before the first call, in microseconds.
const DISCOVERY_TIME: Micros = 4 * SEC;
/// The recovery time after the last fault, in microseconds. By then a restarted lease holder has a successor that
/// grants shares, and all windows and leases unknown to the successor have ended.
const RECOVERY_TIME: Micros = 3 * SEC + 2 * SHARE_LEASE;
/// The time within which a front with calls is granted all remaining units, in microseconds.
const GRANT_TIME: Micros = 3 * SEC;
/// One call, in thousandths.
const MILLI_PER_CALL: u64 = 1_000;

/// The rate limit of the tenant's calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Limit {
    /// A number of calls in each window.
    Window {
        /// Calls in each window.
        calls: u64,
        /// The length of a window, in microseconds.
        length: Micros,
    },
    /// A rate with a burst.
    Rate {
        /// Calls per second.
        rate: u64,
        /// Calls at once.
        burst: u64,
    },
}

impl Limit {
    fn configuration(self) -> String {
        let quota = match self {
            Limit::Window { calls, length } => format!(r#"{{"calls":{calls},"window_ms":{}}}"#, length / MS),
            Limit::Rate { rate, burst } => format!(r#"{{"rate":{rate},"burst":{burst}}}"#),
        };
        let key = "0".repeat(64);
        format!(
            r#"{{"defaults":{{"quota":{quota}}},"pools":{{"llm":{{}}}},
            "matches":{{"chat":{{"path":"/v1/chat","pool":"llm","kind":"chat"}}}},
            "tenants":{{"{TENANT}":{{"keys":["sha256:{key}"]}}}}}}"#
        )
    }
}

/// How often each kind of fault or event may occur on one path.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Allowance {
    /// Calls at each front.
    pub calls: u8,
    /// Calls that refund their unit unused.
    pub refunds: u8,
    /// Steps of time.
    pub time_steps: u8,
    /// Frames that are lost.
    pub losses: u8,
    /// Frames that are delivered twice.
    pub duplicates: u8,
    /// Restarts of the lease holder's process.
    pub restarts: u8,
}

/// A step of the fixed prefix of a bound.
#[derive(Clone, Copy, Debug)]
pub enum Opening {
    /// A front receives several calls at once.
    Calls {
        /// The front.
        front: usize,
        /// The number of calls.
        count: u8,
    },
    /// Time passes, and each frame is delivered at once.
    Run {
        /// The duration, in microseconds.
        duration: Micros,
    },
    /// Time passes, and quota frames stay in flight.
    PassTime {
        /// The duration, in microseconds.
        duration: Micros,
    },
    /// The oldest call at a front refunds its unit unused.
    Refund {
        /// The front.
        front: usize,
    },
    /// The first frame of this kind is delivered.
    Deliver {
        /// The name of the message, see [`Message::name`].
        kind: &'static str,
    },
    /// The lease holder's process restarts.
    RestartHolder,
}

/// The bounds of one exploration.
#[derive(Clone, Debug)]
pub struct Quota {
    /// The number of cores, which all vote.
    pub cores: usize,
    /// The number of fronts.
    pub fronts: usize,
    /// The tenant's limit.
    pub limit: Limit,
    /// The steps before the exploration begins.
    pub opening: Vec<Opening>,
    /// How often each kind of fault or event may occur on one path.
    pub allowance: Allowance,
    /// The time that passes in one step, in microseconds.
    pub step: Micros,
}

/// A transition of the model.
#[derive(Clone, Copy, Debug)]
pub enum Action {
    /// A front receives a call.
    Call {
        /// The front.
        front: usize,
    },
    /// The oldest call at a front refunds its unit unused.
    Refund {
        /// The front.
        front: usize,
    },
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
    /// Time passes, and quota frames stay in flight.
    PassTime,
    /// The lease holder's process restarts.
    RestartHolder,
}

/// A unit that a call acquired.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SpentUnit {
    /// The time of the acquisition, in microseconds.
    acquired_at: Micros,
    /// The window of the slice that granted the unit; a refund must name the same window.
    window: u64,
}

/// The callers at one front.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Callers {
    /// The number of calls that may still arrive.
    calls_left: u8,
    /// The number of calls that wait for a unit.
    waiting: u64,
    /// The units of admitted calls, oldest first.
    spent: Vec<SpentUnit>,
}

/// One state of the model.
#[derive(Clone)]
pub struct World {
    limit: Limit,
    now: Micros,
    machines: Vec<Machine>,
    /// The machines that were stepped since their digests were last updated.
    stale_digests: BTreeSet<usize>,
    frames: FramesInFlight,
    callers: Vec<Callers>,
    /// The allowance that is not used up yet.
    left: Allowance,
    /// True once a frame was lost or a lease holder restarted: there may be granted units that no front knows of.
    may_have_lost_grants: bool,
    /// The violation found during the opening; the first action reports it.
    opening_violation: Option<String>,
}

/// Returns true if the delivery order of this message is explored.
fn is_explored(message: &Message) -> bool {
    matches!(
        message,
        Message::Quota(
            QuotaMessage::SliceRequest { .. }
                | QuotaMessage::SliceGranted { .. }
                | QuotaMessage::WindowSpent { .. }
                | QuotaMessage::NotLeaseHolder { .. }
                | QuotaMessage::RecallSlice { .. }
                | QuotaMessage::ReturnSlice { .. }
                | QuotaMessage::ShareRequests { .. }
                | QuotaMessage::ShareGrants { .. }
                | QuotaMessage::LoanRequests { .. }
                | QuotaMessage::Loans { .. }
        )
    )
}

/// The units of one window in a front's slice.
#[derive(Clone, Copy, Debug, Default)]
struct FrontSlice {
    window: u64,
    granted: u64,
    returned: u64,
    free: u64,
}

/// The units of one window in the lease holder's ledger.
#[derive(Clone, Copy, Debug)]
struct HolderWindow {
    window: u64,
    granted: u64,
    returned: u64,
}

/// The steps of single machines.
impl World {
    /// Returns the index of a front's machine.
    fn machine_of(&self, front: usize) -> usize {
        self.machines.len() - self.callers.len() + front
    }

    /// Returns the machine that holds the lease of the tenant's role.
    fn holder(&self) -> Option<usize> {
        let role = quota_role(TENANT);
        let is_holder = |machine: &Machine| machine.node.leases.held.valid_epoch(role, self.now).is_some();
        self.machines.iter().position(is_holder)
    }

    /// Steps one machine, whose disk syncs at once, and returns the frames that it sends.
    fn step_alone(&mut self, machine: usize, event: Event) -> Vec<AddressedFrame> {
        let mut output = StepOutput::default();
        self.machines[machine].step(event, self.now, &mut output);
        self.machines[machine].sync(self.now, &mut output);
        self.stale_digests.insert(machine);
        self.serve_waiting(machine);
        output.frames
    }

    /// Steps one machine, and then every machine that receives a resulting frame whose order is not explored.
    fn step(&mut self, machine: usize, event: Event) {
        let cores = self.machines.len() - self.callers.len();
        let frames = self.step_alone(machine, event);
        let mut sent_frames: VecDeque<_> = frames.into_iter().map(|sent| (machine, sent)).collect();
        while let Some((sender, sent)) = sent_frames.pop_front() {
            let receiver = sent.to;
            if receiver >= self.machines.len() {
                continue;
            }
            let is_among_cores = sender < cores && receiver < cores;
            if is_explored(&sent.frame.message) && !is_among_cores {
                let AddressedFrame { to, frame } = &sent;
                let digest = digest_of(&(to, frame.from, frame.to, frame.incarnation, frame.sent_at, &frame.message));
                self.frames.push(InFlightFrame::new(sent, digest));
            } else {
                let frames = self.step_alone(receiver, Event::Frame(Box::new(sent.frame)));
                sent_frames.extend(frames.into_iter().map(|sent| (receiver, sent)));
            }
        }
    }

    /// Lets waiting calls at this machine acquire available units, as the queues of the data plane do.
    fn serve_waiting(&mut self, machine: usize) {
        let cores = self.machines.len() - self.callers.len();
        let Some(front) = machine.checked_sub(cores) else { return };
        while self.callers[front].waiting > 0 {
            let slices = &self.machines[machine].node_mut().quota.slices;
            let of_rate = slices.rates.acquire_for_waiter(TENANT, 1, self.now);
            match of_rate.unwrap_or_else(|| slices.acquire_unit(TENANT, self.now)) {
                AcquireOutcome::Acquired { window, .. } => {
                    self.callers[front].waiting -= 1;
                    self.callers[front].spent.push(SpentUnit { acquired_at: self.now, window });
                }
                AcquireOutcome::WindowSpent { .. } => self.callers[front].waiting = 0,
                AcquireOutcome::Empty | AcquireOutcome::RateExhausted { .. } => return,
            }
        }
    }

    /// Acquires a unit for a new call, or makes the call wait if there is none, as the data plane does.
    fn call(&mut self, front: usize) {
        let machine = self.machine_of(front);
        match self.acquire(front) {
            AcquireOutcome::Acquired { window, is_low, .. } => {
                self.callers[front].spent.push(SpentUnit { acquired_at: self.now, window });
                if is_low {
                    self.step(machine, Event::QuotaNeeded { tenant: TENANT.into(), waiting: 0 });
                }
            }
            AcquireOutcome::WindowSpent { .. } => {}
            AcquireOutcome::Empty | AcquireOutcome::RateExhausted { .. } => {
                self.callers[front].waiting += 1;
                self.step(machine, Event::QuotaNeeded { tenant: TENANT.into(), waiting: 1 });
            }
        }
    }

    /// Tries to acquire a unit for a new call, which must not overtake waiting calls.
    fn acquire(&mut self, front: usize) -> AcquireOutcome {
        let (machine, now) = (self.machine_of(front), self.now);
        let has_waiting = self.callers[front].waiting > 0;
        let slices = &self.machines[machine].node_mut().quota.slices;
        if has_waiting {
            slices.rates.outcome_behind_waiters(TENANT, 1, now).unwrap_or(AcquireOutcome::Empty)
        } else {
            slices.acquire_unit(TENANT, now)
        }
    }

    /// Refunds the unused unit of the oldest admitted call at this front.
    fn refund(&mut self, front: usize) {
        let machine = self.machine_of(front);
        if self.callers[front].spent.is_empty() {
            return;
        }
        let spent = self.callers[front].spent.remove(0);
        self.machines[machine].node_mut().quota.slices.refund(TENANT, spent.window);
        self.serve_waiting(machine);
    }

    fn deliver(&mut self, index: usize) {
        let AddressedFrame { to, frame } = self.frames.remove(index).to_addressed();
        self.step(to, Event::Frame(Box::new(frame)));
    }

    fn restart_holder(&mut self) {
        if let Some(holder) = self.holder() {
            self.machines[holder] = self.machines[holder].restart(0, self.now);
            self.stale_digests.insert(holder);
            self.may_have_lost_grants = true;
        }
    }

    /// Updates the digests of the stepped machines and sorts the frames.
    fn normalize(&mut self) {
        for machine in std::mem::take(&mut self.stale_digests) {
            self.machines[machine].update_digest(Scope::Full);
        }
        self.frames.sort();
    }
}

/// The execution of rounds and of the opening.
impl World {
    /// Runs all timers once. Waiting calls then retry to send a request to the lease holder.
    fn run_round(&mut self) {
        self.now += ROUND_DURATION;
        for machine in 0..self.machines.len() {
            self.step(machine, Event::Tick);
        }
        for front in 0..self.callers.len() {
            let waiting = self.callers[front].waiting;
            if waiting > 0 {
                self.step(self.machine_of(front), Event::QuotaNeeded { tenant: TENANT.into(), waiting });
            }
        }
    }

    /// Advances time while quota frames stay in flight.
    fn pass_time(&mut self, duration: Micros) -> Result<(), String> {
        for _ in 0..duration / ROUND_DURATION {
            self.run_round();
            self.check()?;
        }
        Ok(())
    }

    /// Delivers all frames in the order in which they were sent.
    fn deliver_all(&mut self) -> Result<(), String> {
        while !self.frames.is_empty() {
            self.deliver(0);
            self.check()?;
        }
        Ok(())
    }

    /// Advances time and delivers each frame at once.
    fn run(&mut self, duration: Micros) -> Result<(), String> {
        self.deliver_all()?;
        for _ in 0..duration / ROUND_DURATION {
            self.run_round();
            self.deliver_all()?;
        }
        Ok(())
    }

    fn open(&mut self, opening: Opening) -> Result<(), String> {
        match opening {
            Opening::Calls { front, count } => (0..count).for_each(|_| self.call(front)),
            Opening::Run { duration } => self.run(duration)?,
            Opening::PassTime { duration } => self.pass_time(duration)?,
            Opening::Refund { front } => self.refund(front),
            Opening::Deliver { kind } => {
                let index = self.frames.position(|in_flight| in_flight.frame.message.name() == kind);
                let index = index.ok_or_else(|| format!("the opening finds no frame {kind}"))?;
                self.deliver(index);
            }
            Opening::RestartHolder => self.restart_holder(),
        }
        self.check()
    }
}

/// The invariants of every state.
impl World {
    fn check(&self) -> Result<(), String> {
        match self.limit {
            Limit::Window { calls, .. } => self.check_window(calls),
            Limit::Rate { rate, burst } => self.check_rate(rate, burst),
        }
    }

    fn slices_of(&self, front: usize) -> impl Iterator<Item = FrontSlice> {
        let rows = self.machines[self.machine_of(front)].node.quota.slices.list();
        rows.into_iter().map(|(_, window, granted, returned, free)| FrontSlice { window, granted, returned, free })
    }

    fn slices(&self) -> impl Iterator<Item = FrontSlice> {
        (0..self.callers.len()).flat_map(|front| self.slices_of(front))
    }

    fn spent_units(&self) -> impl Iterator<Item = &SpentUnit> {
        self.callers.iter().flat_map(|callers| &callers.spent)
    }

    fn holder_window(&self) -> Option<HolderWindow> {
        let rows = self.machines[self.holder()?].node.quota.window_ledger.list();
        let row = rows.into_iter().find(|row| row.0 == TENANT)?;
        Some(HolderWindow { window: row.1, granted: row.2, returned: row.3 })
    }

    /// Returns the number of spent units by window.
    fn spent_by_window(&self) -> BTreeMap<u64, u64> {
        let mut spent_units = BTreeMap::new();
        for spent in self.spent_units() {
            *spent_units.entry(spent.window).or_insert(0) += 1;
        }
        spent_units
    }

    fn check_window(&self, calls: u64) -> Result<(), String> {
        self.check_window_total(calls)?;
        self.check_window_order()?;
        (0..self.callers.len()).try_for_each(|front| self.check_slices(front))?;
        self.check_returned()
    }

    fn check_window_total(&self, calls: u64) -> Result<(), String> {
        let mut known_units = self.spent_by_window();
        for slice in self.slices() {
            *known_units.entry(slice.window).or_insert(0) += slice.free;
        }
        match known_units.iter().find(|(_, units)| **units > calls) {
            None => Ok(()),
            Some((window, units)) => Err(format!(
                "held and spent never exceed the window: {units} of {calls} in window {window}; at the holder {:?}",
                self.holder_window()
            )),
        }
    }

    /// Checks that no unit of an older window was spent after a unit of the newest window.
    fn check_window_order(&self) -> Result<(), String> {
        let newest = self.spent_units().map(|spent| spent.window).max().unwrap_or(0);
        let of_newest = self.spent_units().filter(|spent| spent.window == newest);
        let Some(started_at) = of_newest.map(|spent| spent.acquired_at).min() else { return Ok(()) };
        let is_late = |spent: &&SpentUnit| spent.window < newest && spent.acquired_at > started_at;
        match self.spent_units().find(is_late) {
            None => Ok(()),
            Some(late) => Err(format!("no unit outlives its window: {late:?}, and window {newest} began before")),
        }
    }

    /// Checks that a front's free, spent and returned units of a window don't exceed the granted units.
    fn check_slices(&self, front: usize) -> Result<(), String> {
        for slice in self.slices_of(front) {
            let FrontSlice { window, granted, returned, free } = slice;
            let of_window = self.callers[front].spent.iter().filter(|spent| spent.window == window);
            let spent = of_window.count() as u64;
            if spent + returned + free > granted {
                return Err(format!(
                    "a unit is held, spent or returned: front {front} was granted {granted} of window {window}, \
                     spent {spent}, returned {returned} and holds {free}"
                ));
            }
        }
        Ok(())
    }

    /// Checks that the lease holder counts no more units as returned than the fronts returned.
    fn check_returned(&self) -> Result<(), String> {
        let Some(counted) = self.holder_window() else { return Ok(()) };
        let of_window = self.slices().filter(|slice| slice.window == counted.window);
        let returned: u64 = of_window.map(|slice| slice.returned).sum();
        let is_front_ahead = self.slices().any(|slice| slice.window > counted.window);
        if counted.returned > returned && !is_front_ahead {
            return Err(format!(
                "a returned unit is counted once: {returned} were returned; at the holder {counted:?}"
            ));
        }
        Ok(())
    }

    fn check_rate(&self, rate: u64, burst: u64) -> Result<(), String> {
        // Standbys, which are cores, hold shares as well.
        let rows = self.machines.iter().flat_map(|machine| machine.node.quota.slices.rates.list());
        let shares: u64 = rows.map(|row| u64::from(row.1)).sum();
        if shares > u64::from(FULL_SHARE) {
            return Err(format!("all shares are one at most: {shares} millionths are held"));
        }
        let mut times: Vec<_> = self.spent_units().map(|spent| spent.acquired_at).collect();
        times.sort_unstable();
        let Some(last) = times.last().copied() else { return Ok(()) };
        for (index, from) in times.iter().enumerate() {
            let spent = (times.len() - index) as u64 * MILLI_PER_CALL;
            // A loan counts as spent when it is lent, up to `LOAN_DURATION` before the call.
            let refilled = rate * MILLI_PER_CALL * (last - from + LOAN_DURATION) / SEC;
            let limit = burst * MILLI_PER_CALL + refilled;
            if spent > limit {
                return Err(format!(
                    "no interval sees more than burst and rate: {spent} thousandths of calls in {} ms, {limit} may be",
                    (last - from) / MS
                ));
            }
        }
        Ok(())
    }
}

/// The checks once no further fault occurs.
impl World {
    /// Checks that this front is granted all units that the tenant may have now, except units granted by lost
    /// frames.
    fn check_grants_all(&mut self, front: usize) -> Result<(), String> {
        // The first call starts the window, so the run must end within a short window.
        let (calls, duration) = match self.limit {
            Limit::Window { calls, length } => (calls, GRANT_TIME.min(length / 2)),
            Limit::Rate { burst, .. } => (burst, GRANT_TIME),
        };
        let before = self.callers[front].spent.len() as u64;
        for _ in 0..calls {
            self.call(front);
        }
        self.run(duration)?;
        let served = self.callers[front].spent.len() as u64 - before;
        match self.limit {
            Limit::Rate { .. } if served < calls => {
                Err(format!("all granted units come back: {served} of {calls} came to front {front}"))
            }
            Limit::Rate { .. } => Ok(()),
            Limit::Window { .. } => self.check_accounted(calls),
        }
    }

    /// Checks that every unit of the newest window was spent or granted by a lost frame.
    fn check_accounted(&self, calls: u64) -> Result<(), String> {
        let counted = self.holder_window().ok_or("all granted units come back: nobody holds the role")?;
        let of_window = self.slices().filter(|slice| slice.window == counted.window);
        let granted: u64 = of_window.map(|slice| slice.granted).sum();
        let lost = if self.may_have_lost_grants { counted.granted.saturating_sub(granted) } else { 0 };
        let spent = self.spent_by_window().get(&counted.window).copied().unwrap_or(0);
        if spent + lost < calls {
            return Err(format!(
                "all granted units come back: {spent} of {calls} were spent, {lost} granted by lost frames; at the \
                 holder {counted:?}, fronts hold {:?}",
                self.slices().collect::<Vec<_>>()
            ));
        }
        Ok(())
    }
}

impl Quota {
    fn new_world(&self) -> World {
        let configuration = self.limit.configuration();
        let machines = self.cores + self.fronts;
        let callers = Callers { calls_left: self.allowance.calls, ..Callers::default() };
        World {
            limit: self.limit,
            now: STARTED_AT,
            machines: (0..machines).map(|index| Machine::core_or_front(index, self.cores, &configuration)).collect(),
            stale_digests: (0..machines).collect(),
            frames: FramesInFlight::default(),
            callers: vec![callers; self.fronts],
            left: self.allowance,
            may_have_lost_grants: false,
            opening_violation: None,
        }
    }

    fn perform(&self, world: &mut World, action: Action) -> Result<(), String> {
        match action {
            Action::Call { front } => {
                world.callers[front].calls_left -= 1;
                world.call(front);
            }
            Action::Refund { front } => {
                world.left.refunds -= 1;
                world.refund(front);
            }
            Action::Deliver { index } => world.deliver(index),
            Action::Lose { index } => {
                world.left.losses -= 1;
                world.may_have_lost_grants = true;
                world.frames.remove(index);
            }
            Action::Duplicate { index } => {
                world.left.duplicates -= 1;
                let duplicate = world.frames[index].duplicate();
                world.deliver(index);
                world.frames.push(duplicate);
            }
            Action::PassTime => {
                world.left.time_steps -= 1;
                world.pass_time(self.step)?;
            }
            Action::RestartHolder => {
                world.left.restarts -= 1;
                world.restart_holder();
            }
        }
        Ok(())
    }
}

impl Model for Quota {
    type State = World;
    type Action = Action;

    fn initial_state(&self) -> World {
        let mut world = self.new_world();
        let discovered = world.run(DISCOVERY_TIME);
        let opened = discovered.and_then(|()| self.opening.iter().try_for_each(|opening| world.open(*opening)));
        world.opening_violation = opened.err();
        world.normalize();
        world
    }

    fn digest(&self, world: &World) -> u64 {
        let machines: Vec<_> = world.machines.iter().map(Machine::digest).collect();
        let fronts = &world.machines[self.cores..];
        let slices: Vec<_> = fronts.iter().map(|front| digest_of(&front.node.quota.slices)).collect();
        let frames = world.frames.digests();
        digest_of(&((world.now, machines, slices, frames), (&world.callers, world.left, world.may_have_lost_grants)))
    }

    fn describe(&self, world: &World, action: &Action) -> String {
        let description = match action {
            Action::Deliver { index } | Action::Lose { index } | Action::Duplicate { index } => {
                format!("{action:?}: {}", world.frames[*index])
            }
            _ => format!("{action:?}"),
        };
        let callers: Vec<_> = world.callers.iter().map(|callers| (callers.spent.len(), callers.waiting)).collect();
        let seconds = (world.now - STARTED_AT) as f64 / SEC as f64;
        format!("at {seconds:.3} s, spent and waiting {callers:?}: {description}")
    }

    fn actions(&self, world: &World) -> Vec<Action> {
        let mut actions = Vec::new();
        for index in 0..world.frames.len() {
            actions.push(Action::Deliver { index });
            if world.left.losses > 0 {
                actions.push(Action::Lose { index });
            }
            if world.left.duplicates > 0 && !world.frames[index].is_duplicate {
                actions.push(Action::Duplicate { index });
            }
        }
        for (front, callers) in world.callers.iter().enumerate() {
            if callers.calls_left > 0 {
                actions.push(Action::Call { front });
            }
            if world.left.refunds > 0 && !callers.spent.is_empty() {
                actions.push(Action::Refund { front });
            }
        }
        if world.left.restarts > 0 && world.holder().is_some() {
            actions.push(Action::RestartHolder);
        }
        if world.left.time_steps > 0 {
            actions.push(Action::PassTime);
        }
        actions
    }

    fn apply(&self, world: &World, action: &Action) -> Result<World, String> {
        if let Some(violation) = &world.opening_violation {
            return Err(violation.clone());
        }
        let mut next = world.clone();
        self.perform(&mut next, *action)?;
        next.normalize();
        next.check()?;
        Ok(next)
    }

    fn check_recovery(&self, world: &World) -> Result<(), String> {
        let mut world = world.clone();
        world.callers.iter_mut().for_each(|callers| callers.waiting = 0);
        world.run(RECOVERY_TIME)?;
        for front in 0..self.fronts {
            if matches!(self.limit, Limit::Rate { .. }) {
                world.run(RECOVERY_TIME)?;
            }
            world.check_grants_all(front)?;
        }
        Ok(())
    }
}
