//! Agreement on versions: all orders of the frames that it consists of, with each machine's clock
//! on its own.
//!
//! Explored: which frame arrives next (so any overtakes any other), a frame lost, a frame that
//! comes twice, a process that ends with any part of its unsynced writes, a disk that is lost, a
//! machine whose timers run out, and when and where operators send their changes, also again.
//! Frames of other machinery (gossip, terms, news) are lost from the start of the exploration on,
//! which is a thing that networks do; what is said under `recovers` has all of them.

use crate::explore::Model;
use crate::judge::{Base, Judge};
use crate::machine::{BIRTH, Given, Machine, VOTERS, change_id, core, document};
use std::sync::Arc;
use sumacvale_core::base::{ChangeId, MS, Micros, SEC};
use sumacvale_core::consensus::Phase;
use sumacvale_core::node::{Event, Scope, digest_of};
use sumacvale_core::protocol::{Ballot, Change, ChangeOutcome, ConsensusMessage, Frame, MembershipMessage, Message};

/// Longer than any round of a ballot, and than an acceptance may stay undecided.
const TIMEOUT: Micros = SEC;
/// Longer than the rest after a round.
const REST: Micros = 300 * MS;
/// From one word on the founding to the next.
const FOUND: Micros = 300 * MS;
const QUANTUM: Micros = 25 * MS;
const HEAL: Micros = 8 * SEC;
const ANSWER: Micros = 4 * SEC;

/// How often each thing may happen on one path.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Allowance {
    pub crashes: u8,
    /// Crashes that lose the disk as well.
    pub wipes: u8,
    pub lost: u8,
    pub doubled: u8,
    /// Machines whose timers run out, one after the other.
    pub timeouts: u8,
    /// Questions to all voters whether anything newer was voted for.
    pub questions: u8,
    /// How often operators send a change again that they sent before.
    pub repeats: u8,
    /// How often a voter has waited long enough, after a vote for another's ballot, to begin its own.
    pub yields: u8,
}

/// A change and the number that it is built on.
#[derive(Clone, Debug)]
pub struct Order {
    pub base: u64,
    pub change: Change,
    pub id: ChangeId,
    /// Machines that it is sent to: the first at first, any of them later.
    pub to: Vec<usize>,
    /// It is sent only once this other order was acknowledged.
    pub after: Option<usize>,
}

impl Order {
    pub fn document(base: u64, revision: u64, name: &str, to: &[usize]) -> Order {
        let body = document(revision, name);
        let id = change_id(&body);
        Order { base, change: Change::Document(body), id, to: to.to_vec(), after: None }
    }

    pub fn voters(base: u64, set: &[usize], to: &[usize]) -> Order {
        let change = Change::Voters(set.iter().map(|i| core(*i)).collect());
        let id = change_id(&format!("voters {set:?}"));
        Order { base, change, id, to: to.to_vec(), after: None }
    }

    /// What its base means, by the kind of the change.
    fn built_on(&self) -> Base {
        match self.change {
            Change::Voters(_) => Base::Voters(self.base),
            _ => Base::Document(self.base),
        }
    }

    pub fn after(self, other: usize) -> Order {
        Order { after: Some(other), ..self }
    }
}

/// A step of the fixed way into a directed bound, by what it is rather than by its place.
#[derive(Clone, Debug)]
pub enum Opening {
    Send {
        order: usize,
        to: usize,
    },
    /// The first frame that is of this kind (its name in `Msg`) arrives.
    Arrive {
        kind: &'static str,
        from: usize,
        to: usize,
    },
    /// The same frame is lost.
    Lose {
        kind: &'static str,
        from: usize,
        to: usize,
    },
    Sync {
        machine: usize,
    },
    /// A machine's timers turn; it counts towards the allowance.
    Turn {
        machine: usize,
    },
    Wipe {
        machine: usize,
    },
    Crash {
        machine: usize,
        landed: usize,
    },
}

pub struct Agreement {
    pub machines: usize,
    /// The machines begin with empty disks and found the fleet; timeouts are then single turns of
    /// their timers, one after the other.
    pub founding: bool,
    /// What has happened before the exploration begins; what is lost and crashes there count towards no allowance.
    pub opening: Vec<Opening>,
    pub allowance: Allowance,
    pub orders: Vec<Order>,
    /// Machines whose syncs are events of their own; the others' come at once.
    pub slow_disks: Vec<usize>,
}

#[derive(Clone)]
struct Wire {
    to: usize,
    frame: Arc<Frame>,
    digest: u64,
    /// It is the second of two.
    again: bool,
}

#[derive(Clone)]
pub struct World {
    machines: Vec<Machine>,
    clocks: Vec<Micros>,
    wires: Vec<Wire>,
    left: Allowance,
    /// For each order: how often it was sent, and whether it was acknowledged.
    sent: Vec<(u8, bool)>,
    judge: Judge,
    /// What the opening broke; it shows with the first step.
    fault: Option<String>,
}

#[derive(Clone, Debug)]
pub enum Action {
    /// The frame in this place of those under way arrives.
    Arrive {
        place: usize,
    },
    Lose {
        place: usize,
    },
    /// It arrives and comes once more later.
    Double {
        place: usize,
    },
    Sync {
        machine: usize,
    },
    Crash {
        machine: usize,
        landed: usize,
    },
    Wipe {
        machine: usize,
    },
    Timeout {
        machine: usize,
    },
    Question {
        machine: usize,
    },
    /// A voter that held its own ballot back for another's need wait no longer.
    Yielded {
        machine: usize,
    },
    Send {
        order: usize,
        to: usize,
    },
}

/// The frames that agreement consists of.
fn counts(message: &Message) -> bool {
    matches!(
        message,
        Message::Consensus(ConsensusMessage::Prepare { .. })
            | Message::Consensus(ConsensusMessage::Promise { .. })
            | Message::Consensus(ConsensusMessage::Reject { .. })
            | Message::Consensus(ConsensusMessage::Accept { .. })
            | Message::Consensus(ConsensusMessage::Accepted { .. })
            | Message::Consensus(ConsensusMessage::Replicate { .. })
            | Message::Consensus(ConsensusMessage::Synced { .. })
    )
}

fn asks(message: &Message) -> bool {
    matches!(
        message,
        Message::Consensus(ConsensusMessage::FreshnessProbe { .. })
            | Message::Consensus(ConsensusMessage::FreshnessReply { .. })
    )
}

impl Agreement {
    fn carry(&self, w: &mut World, i: usize, given: Given, questions: bool) -> Result<(), String> {
        for (to, frame) in given.frames {
            let founds =
                self.founding && matches!(frame.message, Message::Membership(MembershipMessage::Bootstrap { .. }));
            let kept = founds || counts(&frame.message) || (self.allowance.questions > 0 && asks(&frame.message));
            // Timers ask as well; only questions that are actions of their own go out.
            let own =
                matches!(frame.message, Message::Consensus(ConsensusMessage::FreshnessProbe { .. })) && !questions;
            if !kept || own || to >= self.machines {
                continue;
            }
            w.judge.says(i, &frame.message, &w.machines[i].kept)?;
            if let Message::Consensus(ConsensusMessage::FreshnessProbe { .. }) = frame.message {
                w.judge.asks(i, w.clocks[i]);
            }
            let digest = digest_of(&(to, frame.from, frame.to, frame.incarnation, &frame.message));
            w.wires.push(Wire { to, frame: Arc::new(frame), digest, again: false });
        }
        w.judge.machine(i, &w.machines[i].node)?;
        for (request, fate) in given.answers {
            self.answer(w, request, &fate, 0)?;
        }
        w.wires.sort_by_key(|x| (x.digest, x.again));
        self.prune(w);
        w.machines[i].seal(Scope::Agreement);
        Ok(())
    }

    /// Drops the frames that no machine would ever heed again: to deliver them or not is the same.
    fn prune(&self, w: &mut World) {
        let disks_last = |i: usize| !self.slow_disks.contains(&i) && self.allowance.wipes == 0;
        let machines = &w.machines;
        w.wires.retain(|x| {
            let agree = &machines[x.to].node.consensus.state;
            let runs = |ballot: Ballot, phase: Phase| {
                agree.proposal.as_ref().is_some_and(|l| l.ballot == ballot && l.phase == phase)
            };
            match &x.frame.message {
                Message::Consensus(ConsensusMessage::Promise { ballot, .. }) => runs(*ballot, Phase::Prepare),
                Message::Consensus(ConsensusMessage::Accepted { ballot, .. }) => runs(*ballot, Phase::Accept),
                Message::Consensus(ConsensusMessage::Reject { instance, .. }) => {
                    !disks_last(x.to) || agree.version().is_none_or(|v| v < *instance)
                }
                Message::Consensus(ConsensusMessage::Replicate { entries: decrees }) => {
                    !disks_last(x.to) || decrees.iter().any(|d| !agree.history.contains_key(&d.version))
                }
                _ => true,
            }
        });
    }

    fn answer(&self, w: &mut World, request: u64, fate: &ChangeOutcome, now: Micros) -> Result<(), String> {
        let order = usize::try_from(request % 100).unwrap_or(0);
        let Some(o) = self.orders.get(order) else { return Ok(()) };
        if matches!(fate, ChangeOutcome::Committed { .. }) {
            w.sent[order].1 = true;
        }
        if o.after.is_some() && matches!(fate, ChangeOutcome::Stale { .. }) && !w.judge.outdated(o.base) {
            return Err(format!("what stands on the newest is not refused: {:?} on {} is ({fate:?})", o.id, o.base));
        }
        w.judge.answered(o.id, o.built_on(), fate, now)
    }

    fn step(&self, w: &mut World, i: usize, event: Event) -> Result<(), String> {
        let clock = w.clocks[i];
        let question = matches!(event, Event::Tick) && w.machines[i].node.consensus.freshness.probe_due == clock;
        let mut given = Given::default();
        w.machines[i].step(event, clock, &mut given);
        if !self.slow_disks.contains(&i) {
            w.machines[i].sync(clock, &mut given);
        }
        self.carry(w, i, given, question)
    }

    fn frame(&self, w: &mut World, place: usize) -> Result<(), String> {
        let wire = w.wires.remove(place);
        let frame = (*wire.frame).clone();
        self.step(w, wire.to, Event::Frame(Box::new(frame)))
    }

    fn act(&self, w: &mut World, action: &Action) -> Result<(), String> {
        match action {
            Action::Arrive { place } => self.frame(w, *place),
            Action::Lose { place } => {
                w.left.lost -= 1;
                w.wires.remove(*place);
                Ok(())
            }
            Action::Double { place } => {
                w.left.doubled -= 1;
                let again = Wire { again: true, ..w.wires[*place].clone() };
                self.frame(w, *place)?;
                w.wires.push(again);
                w.wires.sort_by_key(|x| (x.digest, x.again));
                Ok(())
            }
            Action::Sync { machine } => {
                let mut given = Given::default();
                let clock = w.clocks[*machine];
                w.machines[*machine].sync(clock, &mut given);
                self.carry(w, *machine, given, false)
            }
            Action::Crash { machine, landed } => {
                w.left.crashes -= 1;
                w.machines[*machine] = w.machines[*machine].restart(*landed, w.clocks[*machine]);
                w.judge.machine(*machine, &w.machines[*machine].node)
            }
            Action::Wipe { machine } => {
                w.left.wipes -= 1;
                w.machines[*machine] = w.machines[*machine].wipe(w.clocks[*machine]);
                Ok(())
            }
            Action::Timeout { machine } => {
                w.left.timeouts -= 1;
                if self.founding {
                    w.clocks[*machine] += FOUND;
                    return self.step(w, *machine, Event::Tick);
                }
                w.clocks[*machine] += TIMEOUT;
                self.step(w, *machine, Event::Tick)?;
                w.clocks[*machine] += REST;
                self.step(w, *machine, Event::Tick)
            }
            Action::Question { machine } => {
                w.left.questions -= 1;
                // Until its next question is due.
                let due = w.machines[*machine].node.consensus.freshness.probe_due;
                w.clocks[*machine] = w.clocks[*machine].max(due);
                if due < w.clocks[*machine] {
                    Arc::make_mut(&mut w.machines[*machine].node).consensus.freshness.probe_due = w.clocks[*machine];
                }
                self.step(w, *machine, Event::Tick)
            }
            Action::Yielded { machine } => {
                w.left.yields -= 1;
                w.clocks[*machine] = w.machines[*machine].node.consensus.state.yields_until;
                self.step(w, *machine, Event::Tick)
            }
            Action::Send { order, to } => {
                if w.sent[*order].0 > 0 {
                    w.left.repeats -= 1;
                }
                w.sent[*order].0 += 1;
                self.put(w, *order, *to, u64::from(w.sent[*order].0))
            }
        }
    }

    /// The place of the first frame under way that is of this kind.
    fn place(w: &World, kind: &str, from: usize, to: usize) -> Result<usize, String> {
        let sender = w.machines[from].node.settings.node_id;
        let is = |x: &Wire| x.to == to && x.frame.from == sender && x.frame.message.name() == kind;
        w.wires.iter().position(is).ok_or(format!("the opening lacks its {kind} from {from} to {to}"))
    }

    /// Takes one step of the opening. One that can't be taken any more is a fault of the bound.
    fn open(&self, w: &mut World, step: &Opening) -> Result<(), String> {
        match step {
            Opening::Send { order, to } => {
                w.sent[*order].0 += 1;
                self.put(w, *order, *to, 1)
            }
            Opening::Arrive { kind, from, to } => {
                let place = Self::place(w, kind, *from, *to)?;
                self.frame(w, place)
            }
            Opening::Lose { kind, from, to } => {
                let place = Self::place(w, kind, *from, *to)?;
                w.wires.remove(place);
                Ok(())
            }
            Opening::Turn { machine } => self.act(w, &Action::Timeout { machine: *machine }),
            Opening::Wipe { machine } => self.act(w, &Action::Wipe { machine: *machine }),
            Opening::Sync { machine } => self.act(w, &Action::Sync { machine: *machine }),
            Opening::Crash { machine, landed } => {
                w.machines[*machine] = w.machines[*machine].restart(*landed, w.clocks[*machine]);
                w.judge.machine(*machine, &w.machines[*machine].node)
            }
        }
    }

    fn put(&self, w: &mut World, order: usize, to: usize, time: u64) -> Result<(), String> {
        let o = &self.orders[order];
        let req = time * 100 + order as u64;
        let event = Event::SubmitChange {
            request_id: req,
            change_id: o.id,
            is_first_send: false,
            base: o.base,
            change: o.change.clone(),
        };
        self.step(w, to, event)
    }

    /// All machines in step, with every kind of frame, nothing lost and prompt disks.
    fn run(&self, w: &mut World, time: Micros) -> Result<(), String> {
        let mut wires: Vec<(usize, Frame)> =
            std::mem::take(&mut w.wires).into_iter().map(|x| (x.to, (*x.frame).clone())).collect();
        for i in 0..self.machines {
            self.sync_now(w, i, &mut wires)?;
        }
        for _ in 0..time / QUANTUM {
            for i in 0..self.machines {
                w.clocks[i] += QUANTUM;
                self.give(w, i, Event::Tick, &mut wires)?;
            }
            for (to, frame) in std::mem::take(&mut wires) {
                if to < self.machines {
                    self.give(w, to, Event::Frame(Box::new(frame)), &mut wires)?;
                }
            }
        }
        Ok(())
    }

    fn give(&self, w: &mut World, i: usize, event: Event, wires: &mut Vec<(usize, Frame)>) -> Result<(), String> {
        let mut given = Given::default();
        w.machines[i].step(event, w.clocks[i], &mut given);
        wires.append(&mut given.frames);
        self.answers(w, given)?;
        self.sync_now(w, i, wires)
    }

    fn sync_now(&self, w: &mut World, i: usize, wires: &mut Vec<(usize, Frame)>) -> Result<(), String> {
        let mut given = Given::default();
        w.machines[i].sync(w.clocks[i], &mut given);
        wires.append(&mut given.frames);
        self.answers(w, given)?;
        w.judge.machine(i, &w.machines[i].node)
    }

    fn answers(&self, w: &mut World, given: Given) -> Result<(), String> {
        given.answers.iter().try_for_each(|(request, fate)| self.answer(w, *request, fate, 0))
    }
}

impl Model for Agreement {
    type State = World;
    type Action = Action;

    fn start(&self) -> World {
        let begin = |i| if self.founding { Machine::unfounded(i) } else { Machine::new(i, false) };
        let machines = (0..self.machines).map(begin).collect();
        let mut w = World {
            machines,
            clocks: vec![BIRTH; self.machines],
            wires: Vec::new(),
            left: self.allowance,
            sent: vec![(0, false); self.orders.len()],
            judge: Judge::default(),
            fault: None,
        };
        // They know each other before anything happens, unless it is the founding that is explored.
        let known = if self.founding { Ok(()) } else { self.run(&mut w, ANSWER) };
        w.wires.clear();
        w.machines.iter_mut().for_each(|m| m.seal(Scope::Agreement));
        let opened = known.and_then(|()| self.opening.iter().try_for_each(|step| self.open(&mut w, step)));
        w.fault = opened.err();
        w
    }

    fn digest(&self, w: &World) -> u64 {
        let machines: Vec<_> = w.machines.iter().map(Machine::digest).collect();
        let wires: Vec<_> = w.wires.iter().map(|x| (x.digest, x.again)).collect();
        digest_of(&(machines, &w.clocks, wires, w.left, &w.sent, &w.judge))
    }

    fn describe(&self, w: &World, action: &Action) -> String {
        match action {
            Action::Arrive { place } | Action::Lose { place } | Action::Double { place } => {
                let x = &w.wires[*place];
                format!("{action:?}: to {} from {:?}: {:?}", x.to, x.frame.from, x.frame.message)
            }
            _ => format!("{action:?}"),
        }
    }

    fn actions(&self, w: &World) -> Vec<Action> {
        // That a machine has a version on its disk only lets others acknowledge and teach, and
        // does so the same in any order: it arrives first, unless it is lost.
        let told =
            w.wires.iter().position(|x| matches!(x.frame.message, Message::Consensus(ConsensusMessage::Synced { .. })));
        if let Some(place) = told {
            return match w.left.lost {
                0 => vec![Action::Arrive { place }],
                _ => vec![Action::Arrive { place }, Action::Lose { place }],
            };
        }
        let mut v = Vec::new();
        for place in 0..w.wires.len() {
            let wire = &w.wires[place];
            // Two that are alike give the same.
            if place > 0 && w.wires[place - 1].digest == wire.digest {
                continue;
            }
            v.push(Action::Arrive { place });
            if w.left.lost > 0 {
                v.push(Action::Lose { place });
            }
            if w.left.doubled > 0 {
                v.push(Action::Double { place });
            }
        }
        for (machine, m) in w.machines.iter().enumerate() {
            let unsynced = m.unsynced.len();
            if unsynced > 0 {
                v.push(Action::Sync { machine });
            }
            if w.left.crashes > 0 && machine < VOTERS {
                v.extend((0..=unsynced).map(|landed| Action::Crash { machine, landed }));
            }
            if w.left.wipes > 0 && machine < VOTERS {
                v.push(Action::Wipe { machine });
            }
            let agree = &m.node.consensus.state;
            let waits = agree.proposal.is_some() || agree.accepted.is_some() || !agree.pending_changes.is_empty();
            let founds = self.founding && m.node.version().is_none();
            if w.left.timeouts > 0 && (founds || waits && m.node.voter()) {
                v.push(Action::Timeout { machine });
            }
            let yields = waits && agree.proposal.is_none() && agree.yields_until > w.clocks[machine];
            if w.left.yields > 0 && yields && m.node.voter() {
                v.push(Action::Yielded { machine });
            }
            if w.left.questions > 0 && m.node.voter() {
                v.push(Action::Question { machine });
            }
        }
        for (order, o) in self.orders.iter().enumerate() {
            if o.after.is_some_and(|a| !w.sent[a].1) {
                continue;
            }
            if w.sent[order].0 == 0 {
                v.push(Action::Send { order, to: o.to[0] });
            } else if w.left.repeats > 0 {
                v.extend(o.to.iter().map(|to| Action::Send { order, to: *to }));
            }
        }
        v
    }

    fn apply(&self, w: &World, action: &Action) -> Result<World, String> {
        if let Some(fault) = &w.fault {
            return Err(fault.clone());
        }
        let mut next = w.clone();
        self.act(&mut next, action)?;
        Ok(next)
    }

    fn recovers(&self, w: &World) -> Result<(), String> {
        let mut w = w.clone();
        self.run(&mut w, HEAL)?;
        // Seeds whose disks were lost before a majority held version 0 found nothing any more.
        let lost = self.founding && w.left.wipes < self.allowance.wipes;
        if lost && w.machines.iter().filter(|m| m.node.voter()).count() < 2 {
            return Ok(());
        }
        let newest =
            w.machines.iter().filter_map(|m| m.node.consensus.state.newest()).max_by_key(|d| d.version).cloned();
        let newest = newest.ok_or("no machine holds a version")?;
        for (i, m) in w.machines.iter().enumerate() {
            if m.node.consensus.state.newest() != Some(&newest) {
                let held = m.node.version();
                return Err(format!("all converge: machine {i} holds {held:?}, others version {}", newest.version));
            }
            w.judge.keeps(i, &m.node)?;
            if m.node.voter() && !m.node.is_fresh(w.clocks[i]) {
                return Err(format!("all converge: voter {i} is not fresh"));
            }
        }
        self.takes_another(&mut w, newest.revision)
    }
}

impl Agreement {
    /// A change that is sent now is acknowledged in time.
    fn takes_another(&self, w: &mut World, base: u64) -> Result<(), String> {
        let body = document(base + 1, "last");
        let i = (0..self.machines).find(|i| w.machines[*i].node.voter()).ok_or("no machine votes")?;
        let event = Event::SubmitChange {
            request_id: 99,
            change_id: change_id(&body),
            is_first_send: false,
            base,
            change: Change::Document(body.clone()),
        };
        let mut wires = Vec::new();
        self.give(w, i, event, &mut wires)?;
        w.wires = wires.into_iter().map(|(to, f)| Wire { to, frame: Arc::new(f), digest: 0, again: false }).collect();
        self.run(w, ANSWER)?;
        let held = w.machines[i].node.consensus.state.newest().map(|d| d.body.clone());
        let settled = w.machines.iter().filter(|m| m.kept.entries.values().any(|d| d.body == body)).count();
        if held.as_ref() != Some(&body) || settled < 2 {
            return Err(format!("a change is taken once all is well: it is on {settled} disks after 4 s"));
        }
        Ok(())
    }
}
