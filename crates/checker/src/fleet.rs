//! Whole nodes in rounds: all machinery (agreement, freshness, membership, takeover, terms,
//! gossip) with its timers, under every choice of faults at every choice point.
//!
//! Time is common and moves in rounds of 25 ms. In each round every machine gets what was sent in
//! the round before, then its timers run; what it writes lands in the next round. So the order
//! within a round is fixed, and what is explored is which faults come when. Two operators send
//! changes all the time, each again to the next machine while it has no clear answer.

use crate::askers::{Askers, CONFIGURATION, FIRST_ADDRESS};
use crate::explore::Model;
use crate::judge::{Base, Judge};
use crate::machine::{BIRTH, Given, Machine, VOTERS, change_id, document};
use std::collections::BTreeMap;
use sumacvale_core::base::{MS, Micros, SEC};
use sumacvale_core::lease::ROLE_COUNT;
use sumacvale_core::node::{Event, Node, Scope, digest_of};
use sumacvale_core::protocol::{Change, ChangeOutcome, Frame};

const ROUND: Micros = 25 * MS;
/// How long machines know each other before the first choice.
const WARM: Micros = 4 * SEC;
/// A second loss may come so long after an earlier one.
const CATCH_UP: Micros = 8 * SEC;
/// All must be well so long after the last fault.
const RECOVERY: Micros = 12 * SEC;
/// The answers to so many asks may be lost with a fault. Their units stay with the one who asked,
/// who would learn of them with its next unit, and asks no more in these bounds.
const LOST_UNITS: u64 = 2;
const ANSWER: Micros = 4 * SEC;
const HELD: Micros = 200 * MS;
const SLOW: Micros = 400 * MS;

/// What may go wrong with a machine, or with all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// Its process ends with its unsynced writes, and is back at once.
    Crash,
    /// The same, and it is back only when others took it for gone.
    LongCrash,
    /// It comes back with an empty disk.
    Wipe,
    /// It is lost for good.
    Gone,
    Cut,
    LongCut,
    /// Nothing comes from it.
    Mute,
    /// Nothing reaches it.
    Deaf,
    /// Its frames are late, so that others overtake them.
    Held,
    /// It stands still and then finds all that came.
    Freeze,
    SlowDisk,
    /// Every frame comes twice.
    Doubled,
    /// All processes end at once, with their unsynced writes.
    Blackout,
    /// It and the next voter don't hear each other.
    PairCut,
    /// It hears nobody for [`ALONE_FOR`], then for a while only others that are aside too.
    Aside,
    /// It is told to leave, and goes on until it may end.
    Leave,
}

/// How long a machine that is aside hears nobody at all: almost as long as a new set of voters waits
/// for the set before it.
const ALONE_FOR: Micros = 2_400 * MS;

pub const ALL: [Kind; 13] = [
    Kind::Crash,
    Kind::LongCrash,
    Kind::Wipe,
    Kind::Gone,
    Kind::Cut,
    Kind::LongCut,
    Kind::Mute,
    Kind::Deaf,
    Kind::Held,
    Kind::Freeze,
    Kind::SlowDisk,
    Kind::Doubled,
    Kind::Blackout,
];

impl Kind {
    /// It counts as the loss of a machine with its disk.
    fn loses(self) -> bool {
        matches!(self, Kind::Wipe | Kind::Gone)
    }

    fn of_all(self) -> bool {
        matches!(self, Kind::Doubled | Kind::Blackout)
    }

    fn lasts(self) -> Micros {
        match self {
            Kind::Crash | Kind::Blackout => 200 * MS,
            Kind::Wipe => 600 * MS,
            Kind::LongCrash | Kind::LongCut => 3_500 * MS,
            Kind::Gone | Kind::Leave => Micros::MAX / 2,
            Kind::PairCut | Kind::Aside => 7 * SEC,
            Kind::Cut | Kind::Mute | Kind::Deaf | Kind::Held | Kind::SlowDisk | Kind::Doubled => 1_200 * MS,
            Kind::Freeze => 1_500 * MS,
        }
    }
}

/// The bounds of one exploration.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// Three of them vote at the start.
    pub machines: usize,
    pub kinds: Vec<Kind>,
    /// What strikes whom before the exploration begins, and how long after the one before.
    pub opening: Vec<(Micros, Kind, usize)>,
    pub faults: u8,
    /// Time between choices.
    pub step: Micros,
    /// Time within which the first fault comes.
    pub first: Micros,
    /// Time after each fault within which the next one comes.
    pub next: Micros,
    /// Two nodes ask for units of a tenant's window all the time, in the place of operators.
    pub askers: bool,
    /// A second loss may come as soon as all voters of the newest set are up.
    pub close: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    Wait,
    Fault(Kind, usize),
}

/// An operator: the change that it wants next, and the one under way.
#[derive(Clone, Debug, Default)]
struct Operator {
    base: u64,
    count: u64,
    open: Option<(u64, String)>,
    due: Micros,
    request: u64,
    to: usize,
}

#[derive(Clone)]
pub struct World {
    now: Micros,
    machines: Vec<Machine>,
    down: Vec<Micros>,
    /// Which kinds of faults last until when, by machine.
    troubles: BTreeMap<(Kind, usize), Micros>,
    wires: Vec<(Micros, usize, Frame)>,
    operators: Vec<Operator>,
    /// None where operators act.
    askers: Option<Askers>,
    judge: Judge,
    left: u8,
    choose_until: Micros,
    lost_at: Option<Micros>,
    acknowledged_last: Micros,
    /// Operators send nothing any more.
    quiet: bool,
    /// What the time before the first choice broke; it shows with the first step.
    broken: Option<String>,
}

impl World {
    fn up(&self, i: usize) -> bool {
        self.down[i] <= self.now
    }

    fn troubled(&self, kind: Kind, i: usize) -> bool {
        self.troubles.get(&(kind, i)).is_some_and(|until| *until > self.now)
    }

    /// Whether it is aside and has not been for long enough to hear the others there.
    fn alone(&self, i: usize) -> bool {
        let until = self.troubles.get(&(Kind::Aside, i)).copied().unwrap_or(0);
        self.now < (until + ALONE_FOR).saturating_sub(Kind::Aside.lasts())
    }

    fn steps(&self, i: usize) -> bool {
        self.up(i) && !self.troubled(Kind::Freeze, i)
    }

    fn cut(&self, from: usize, to: usize) -> bool {
        let both = |i| self.troubled(Kind::Cut, i) || self.troubled(Kind::LongCut, i) || self.alone(i);
        let pair = |a, b| self.troubled(Kind::PairCut, a) && b == (a + 1) % VOTERS;
        let apart = self.troubled(Kind::Aside, from) != self.troubled(Kind::Aside, to);
        apart
            || pair(from, to)
            || pair(to, from)
            || both(from)
            || both(to)
            || self.troubled(Kind::Mute, from)
            || self.troubled(Kind::Deaf, to)
    }

    /// All voters of the newest set that any machine knows are up.
    fn voters_up(&self) -> bool {
        let newest = self.machines.iter().filter_map(|m| m.node.consensus.state.newest()).max_by_key(|d| d.version);
        let up =
            |node_id| (0..self.machines.len()).any(|i| self.up(i) && self.machines[i].node.settings.node_id == node_id);
        newest.is_some_and(|d| d.voters.iter().all(|c| up(c.node_id)))
    }

    fn nodes(&self) -> impl Iterator<Item = (usize, &Node)> + Clone {
        self.machines.iter().enumerate().filter(|x| self.steps(x.0)).map(|(i, m)| (i, &*m.node))
    }

    fn carry(&mut self, i: usize, given: Given) -> Result<(), String> {
        for (to, frame) in given.frames {
            if let Some(askers) = self.askers.as_mut().filter(|_| to >= FIRST_ADDRESS) {
                askers.hears(to - FIRST_ADDRESS, &frame, self.now)?;
                continue;
            }
            if to >= self.machines.len() || self.cut(i, to) {
                continue;
            }
            self.judge.says(i, &frame.message, &self.machines[i].kept)?;
            let late = if self.troubled(Kind::Held, i) { HELD } else { 0 };
            if self.troubled(Kind::Doubled, 0) {
                self.wires.push((self.now + late + 3 * ROUND, to, frame.clone()));
            }
            self.wires.push((self.now + late, to, frame));
        }
        for (request, fate) in given.answers {
            self.answer(request, &fate)?;
        }
        Ok(())
    }

    fn step(&mut self, i: usize, event: Event) -> Result<(), String> {
        let mut given = Given::default();
        let now = self.now;
        self.machines[i].step(event, now, &mut given);
        self.carry(i, given)?;
        self.judge.machine(i, &self.machines[i].node)
    }

    fn answer(&mut self, request: u64, fate: &ChangeOutcome) -> Result<(), String> {
        let k = usize::try_from(request % 10).unwrap_or(0);
        let o = &mut self.operators[k];
        if o.request != request {
            return Ok(());
        }
        let Some((base, body)) = o.open.clone() else { return Ok(()) };
        self.judge.answered(change_id(&body), Base::Document(base), fate, self.now)?;
        match fate {
            ChangeOutcome::Committed { .. } => {
                self.acknowledged_last = self.now;
                o.open = None;
                o.due = self.now + 300 * MS;
            }
            ChangeOutcome::Stale { .. } => {
                o.open = None;
                o.due = self.now + 100 * MS;
            }
            _ => o.due = self.now + 100 * MS,
        }
        Ok(())
    }

    /// Operators send what they want, and again what has no clear answer.
    fn operate(&mut self) -> Result<(), String> {
        for k in 0..self.operators.len() * usize::from(!self.quiet) {
            let newest = self
                .machines
                .iter()
                .filter_map(|m| m.node.consensus.state.newest())
                .map(|d| d.revision)
                .max()
                .unwrap_or(0);
            let o = &mut self.operators[k];
            if self.now < o.due {
                continue;
            }
            if o.open.is_none() {
                o.base = newest;
                o.count += 1;
                o.open = Some((o.base, document(o.base + 1 + k as u64, &format!("by{k}n{}", o.count))));
            } else {
                o.to += 1;
            }
            o.request += 10;
            o.due = self.now + SEC;
            let (request, to) = (o.request, o.to % self.machines.len());
            let Some((base, body)) = o.open.clone() else { continue };
            if self.steps(to) {
                let change = Change::Document(body.clone());
                self.step(
                    to,
                    Event::SubmitChange {
                        request_id: request,
                        change_id: change_id(&body),
                        is_first_send: false,
                        base,
                        change,
                    },
                )?;
            }
        }
        Ok(())
    }

    fn round(&mut self) -> Result<(), String> {
        self.now += ROUND;
        for i in 0..self.machines.len() {
            if self.down[i] != 0 && self.down[i] <= self.now {
                self.down[i] = 0;
                self.machines[i] = self.machines[i].restart(0, self.now);
            }
            let slow = self.troubled(Kind::SlowDisk, i) && !self.now.is_multiple_of(SLOW);
            if self.steps(i) && !slow {
                let mut given = Given::default();
                let now = self.now;
                self.machines[i].sync_once(now, &mut given);
                self.carry(i, given)?;
            }
        }
        let wires = std::mem::take(&mut self.wires);
        for (due, to, frame) in wires {
            if due >= self.now || (self.up(to) && !self.steps(to)) {
                self.wires.push((due, to, frame));
            } else if self.up(to) {
                self.step(to, Event::Frame(Box::new(frame)))?;
            }
        }
        for i in 0..self.machines.len() {
            if self.steps(i) {
                self.step(i, Event::Tick)?;
            }
        }
        self.operate()?;
        let asks = self.askers.as_mut().map(|a| a.asks(self.machines.len(), self.now)).unwrap_or_default();
        for (to, frame) in asks {
            if self.steps(to) {
                self.step(to, Event::Frame(Box::new(frame)))?;
            }
        }
        self.judge.fleet(self.nodes(), self.now)
    }

    fn run(&mut self, time: Micros) -> Result<(), String> {
        (0..time / ROUND).try_for_each(|_| self.round())
    }

    fn fault(&mut self, kind: Kind, i: usize) -> Result<(), String> {
        let until = self.now + kind.lasts();
        let all: Vec<_> = (0..self.machines.len()).collect();
        match kind {
            Kind::Crash | Kind::LongCrash | Kind::Gone => self.end(i, until),
            Kind::Blackout => all.into_iter().for_each(|i| self.end(i, until)),
            Kind::Wipe => {
                self.machines[i] = self.machines[i].wipe(self.now);
                self.end(i, until);
            }
            Kind::Leave => self.step(i, Event::Shutdown)?,
            _ => {
                self.troubles.insert((kind, i), until);
            }
        }
        if kind.loses() {
            self.lost_at = Some(self.now);
        }
        Ok(())
    }

    fn end(&mut self, i: usize, until: Micros) {
        // The restart comes when it is back; until then its node counts for nothing.
        self.machines[i] = self.machines[i].restart(0, self.now);
        self.down[i] = self.down[i].max(until);
    }
}

impl Model for Fleet {
    type State = World;
    type Action = Action;

    fn start(&self) -> World {
        let mut w = World {
            now: BIRTH,
            machines: (0..self.machines)
                .map(|i| Machine::with_configuration(i, true, if self.askers { CONFIGURATION } else { "{}" }))
                .collect(),
            askers: self.askers.then(|| Askers::new(BIRTH + WARM)),
            down: vec![0; self.machines],
            troubles: BTreeMap::new(),
            wires: Vec::new(),
            operators: (0..if self.askers { 0 } else { 2 })
                .map(|k| Operator { request: k, to: usize::try_from(k).unwrap_or(0), ..Operator::default() })
                .collect(),
            judge: Judge::default(),
            left: self.faults,
            choose_until: 0,
            lost_at: None,
            acknowledged_last: 0,
            quiet: false,
            broken: None,
        };
        let opened = w.run(WARM).and_then(|()| {
            self.opening.iter().try_for_each(|(later, kind, i)| {
                w.run(*later)?;
                w.fault(*kind, *i)
            })
        });
        w.broken = opened.err();
        w.choose_until = w.now + self.first;
        w
    }

    fn digest(&self, w: &World) -> u64 {
        let machines: Vec<_> = w.machines.iter().map(|m| (m.node.digest(Scope::Full), m.digest_of_disk())).collect();
        digest_of(&(
            (w.now, machines, &w.down),
            (&w.troubles, &w.wires, &w.operators),
            (&w.judge, &w.askers, w.left, w.lost_at),
        ))
    }

    fn describe(&self, w: &World, action: &Action) -> String {
        let voters: Vec<_> = (0..self.machines).filter(|i| w.machines[*i].node.voter()).collect();
        format!("at {:.3} s, voters {voters:?}: {action:?}", (w.now - BIRTH) as f64 / 1e6)
    }

    fn actions(&self, w: &World) -> Vec<Action> {
        if w.left == 0 || w.now >= w.choose_until {
            return Vec::new();
        }
        let mut v = vec![Action::Wait];
        for kind in &self.kinds {
            let early = kind.loses()
                && w.lost_at.is_some_and(|t| if self.close { !w.voters_up() } else { w.now < t + CATCH_UP });
            let machines = if kind.of_all() { 1 } else { self.machines };
            for i in (0..machines).filter(|i| !early && w.steps(*i)) {
                v.push(Action::Fault(*kind, i));
            }
        }
        v
    }

    fn apply(&self, w: &World, action: &Action) -> Result<World, String> {
        if let Some(broken) = &w.broken {
            return Err(broken.clone());
        }
        let mut w = w.clone();
        if let Action::Fault(kind, i) = action {
            w.fault(*kind, *i)?;
            w.left -= 1;
            w.choose_until = w.now + self.next;
        }
        w.run(self.step)?;
        Ok(w)
    }

    fn recovers(&self, w: &World) -> Result<(), String> {
        let mut w = w.clone();
        let last = w.troubles.values().chain(&w.down).filter(|t| **t < Micros::MAX / 4).max().copied().unwrap_or(0);
        w.run(last.saturating_sub(w.now) + RECOVERY)?;
        let live: Vec<usize> = (0..self.machines).filter(|i| w.up(*i)).collect();
        if !w.operators.is_empty() && w.acknowledged_last + ANSWER < w.now {
            let ago = (w.now - w.acknowledged_last) / MS;
            return Err(format!("a change is taken once all is well: the last one was {ago} ms ago"));
        }
        if w.askers.as_ref().is_some_and(|a| !a.spent_but(LOST_UNITS * u64::from(self.faults))) {
            return Err(format!("all units of a window are given in the end: {:?}", w.askers));
        }
        // Changes come all the time, so machines may be one apart: operators rest first.
        w.quiet = true;
        w.run(ANSWER)?;
        let held: Vec<_> = live.iter().map(|i| w.machines[*i].node.version()).collect();
        if held.iter().any(|v| *v != held[0]) {
            let voters: Vec<_> = live.iter().filter(|i| w.machines[**i].node.voter()).collect();
            return Err(format!("all converge: machines {live:?} hold versions {held:?}, voters {voters:?}"));
        }
        for i in &live {
            let node = &w.machines[*i].node;
            w.judge.keeps(*i, node)?;
            if !node.is_fresh(w.now) {
                return Err(format!("all converge: machine {i} is not fresh"));
            }
        }
        let held = |d: u32| live.iter().any(|i| w.machines[*i].node.leases.held.valid_epoch(d, w.now).is_some());
        let vacant: Vec<_> = (0..ROLE_COUNT).filter(|d| !held(*d)).collect();
        if !vacant.is_empty() {
            return Err(format!("all converge: nobody holds the duties {vacant:?}"));
        }
        let voters = live.iter().filter(|i| w.machines[**i].node.voter()).count();
        if voters < live.len().min(3) {
            return Err(format!("all converge: only {voters} of {} live machines vote", live.len()));
        }
        Ok(())
    }
}
