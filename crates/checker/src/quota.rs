//! Quotas: all orders of the frames by which units of one tenant are asked for, lent, recalled and
//! returned, between the core that holds the tenant's duty and the fronts that spend.
//!
//! The nodes are whole ones; what callers would do at a front is played on its real slices. Time
//! is common. Explored: when calls come and which of them return their unit unrun, which frame of
//! the quota arrives next (so any overtakes any other), a frame lost, a frame that comes twice, how
//! far time passes meanwhile, and when the holder's process ends. All other frames (gossip, terms,
//! registrations, grants among the cores) arrive at once.

use crate::explore::Model;
use crate::machine::{BIRTH, Given, Machine};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use sumacvale_core::base::{MS, Micros, SEC};
use sumacvale_core::lease::quota_role;
use sumacvale_core::node::{Event, Scope, digest_of};
use sumacvale_core::protocol::{Frame, Message, QuotaMessage};
use sumacvale_core::quota::{AcquireOutcome, FULL_SHARE, LOAN_DURATION, SHARE_LEASE};

const TENANT: &str = "home";
/// Timers run so often while time passes.
const ROUND: Micros = 50 * MS;
/// How long machines know each other before the first call.
const WARM: Micros = 4 * SEC;
/// A holder that began anew has a successor, which gives shares, and all windows and leases that
/// it doesn't know of have ended, so long after the last fault.
const SETTLES: Micros = 3 * SEC + 2 * SHARE_LEASE;
/// A front that calls is given all that is left within so long.
const ANSWER: Micros = 3 * SEC;
/// A thousand thousandths of a call.
const CALL: u64 = 1_000;

/// How the tenant's calls are limited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Limit {
    /// So many calls in each window.
    Window { calls: u64, length: Micros },
    /// Whole calls a second, and at once.
    Rate { rate: u64, burst: u64 },
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

/// How often each thing may happen on one path.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Allowance {
    /// Calls at each front.
    pub calls: u8,
    /// Calls that return their unit unrun.
    pub unrun: u8,
    /// Steps of time.
    pub passes: u8,
    pub lost: u8,
    pub doubled: u8,
    /// Ends of the holder's process, which begins anew at once.
    pub ends: u8,
}

/// What has happened before the exploration begins.
#[derive(Clone, Copy, Debug)]
pub enum Opening {
    /// So many calls come to a front at once.
    Calls { front: usize, count: u8 },
    /// Time passes, and each frame arrives at once.
    Flow { time: Micros },
    /// Time passes, and frames of the quota stay under way.
    Hold { time: Micros },
    /// The call at a front that has run for longest returns its unit unrun.
    Unrun { front: usize },
    /// The first frame of this kind (its name in `Msg`) arrives.
    Arrive { kind: &'static str },
    /// The holder's process ends and begins anew.
    End,
}

/// The bounds of one exploration.
#[derive(Clone, Debug)]
pub struct Quota {
    pub cores: usize,
    pub fronts: usize,
    pub limit: Limit,
    pub opening: Vec<Opening>,
    pub allowance: Allowance,
    /// How far time passes in one step.
    pub step: Micros,
}

#[derive(Clone, Copy, Debug)]
pub enum Action {
    Call { front: usize },
    Unrun { front: usize },
    Arrive { place: usize },
    Lose { place: usize },
    Double { place: usize },
    Pass,
    End,
}

#[derive(Clone)]
struct Wire {
    to: usize,
    frame: Arc<Frame>,
    digest: u64,
    /// It is the second of two.
    again: bool,
}

/// A unit that a call took.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Spent {
    at: Micros,
    /// As the slice named it, which wants this name back with a unit that was not used.
    window: u64,
}

/// What callers do at one front.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Callers {
    /// Calls that may still come.
    left: u8,
    waiting: u64,
    spent: Vec<Spent>,
}

#[derive(Clone)]
pub struct World {
    now: Micros,
    machines: Vec<Machine>,
    /// Those whose digests are older than their last step.
    unsealed: BTreeSet<usize>,
    wires: Vec<Wire>,
    callers: Vec<Callers>,
    left: Allowance,
    /// A frame was lost, or a holder's process ended: units may be lent that nobody heard of.
    unheard: bool,
    /// What the opening broke; it shows with the first step.
    broken: Option<String>,
}

/// The frames whose order is explored.
fn is_explored(message: &Message) -> bool {
    matches!(
        message,
        Message::Quota(QuotaMessage::SliceRequest { .. })
            | Message::Quota(QuotaMessage::SliceGranted { .. })
            | Message::Quota(QuotaMessage::WindowSpent { .. })
            | Message::Quota(QuotaMessage::NotLeaseHolder { .. })
            | Message::Quota(QuotaMessage::RecallSlice { .. })
            | Message::Quota(QuotaMessage::ReturnSlice { .. })
            | Message::Quota(QuotaMessage::ShareRequests { .. })
            | Message::Quota(QuotaMessage::ShareGrants { .. })
    )
}

/// What one front's slice of a window holds.
#[derive(Clone, Copy, Debug, Default)]
struct Held {
    window: u64,
    got: u64,
    returned: u64,
    free: u64,
}

/// What the holder counts of a window.
#[derive(Clone, Copy, Debug)]
struct Lent {
    window: u64,
    granted: u64,
    returned: u64,
}

impl World {
    fn front(&self, front: usize) -> usize {
        self.machines.len() - self.callers.len() + front
    }

    fn holder(&self) -> Option<usize> {
        let holds = |m: &Machine| m.node.leases.held.valid_epoch(quota_role(TENANT), self.now).is_some();
        self.machines.iter().position(holds)
    }

    /// Steps one machine, whose disk lands at once, and gives the frames that it sends.
    fn step_alone(&mut self, machine: usize, event: Event) -> Vec<(usize, Frame)> {
        let mut given = Given::default();
        self.machines[machine].step(event, self.now, &mut given);
        self.machines[machine].sync(self.now, &mut given);
        self.unsealed.insert(machine);
        self.serve(machine);
        given.frames
    }

    /// Steps one machine, and all that hear of it by frames whose order is not explored.
    fn step(&mut self, machine: usize, event: Event) {
        let mut under_way = VecDeque::from(self.step_alone(machine, event));
        while let Some((to, frame)) = under_way.pop_front() {
            if to >= self.machines.len() {
                continue;
            }
            if is_explored(&frame.message) {
                let digest = digest_of(&(to, frame.from, frame.to, frame.incarnation, frame.sent_at, &frame.message));
                self.wires.push(Wire { to, frame: Arc::new(frame), digest, again: false });
                continue;
            }
            under_way.extend(self.step_alone(to, Event::Frame(Box::new(frame))));
        }
    }

    /// Those who wait at this machine take what there is, as `Floor::refill` does.
    fn serve(&mut self, machine: usize) {
        let cores = self.machines.len() - self.callers.len();
        let Some(front) = machine.checked_sub(cores) else { return };
        while self.callers[front].waiting > 0 {
            let slices = &self.machines[machine].node_mut().quota.slices;
            let take = slices
                .rates
                .acquire_for_waiter(TENANT, 1, self.now)
                .unwrap_or_else(|| slices.acquire_unit(TENANT, self.now));
            match take {
                AcquireOutcome::Acquired { window, .. } => {
                    self.callers[front].waiting -= 1;
                    self.callers[front].spent.push(Spent { at: self.now, window });
                }
                AcquireOutcome::WindowSpent { .. } => self.callers[front].waiting = 0,
                AcquireOutcome::Empty | AcquireOutcome::RateExhausted { .. } => return,
            }
        }
    }

    /// A call looks for a unit, and waits where there is none, as `Floor::unit` does.
    fn call(&mut self, front: usize) {
        let machine = self.front(front);
        let now = self.now;
        let waits = self.callers[front].waiting > 0;
        let slices = &self.machines[machine].node_mut().quota.slices;
        let look = if waits {
            slices.rates.peek(TENANT, 1, now).unwrap_or(AcquireOutcome::Empty)
        } else {
            slices.acquire_unit(TENANT, now)
        };
        match look {
            AcquireOutcome::Acquired { window, low, .. } => {
                self.callers[front].spent.push(Spent { at: now, window });
                if low {
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

    /// The call that took a unit first at this front ends unrun.
    fn unrun(&mut self, front: usize) {
        let machine = self.front(front);
        if self.callers[front].spent.is_empty() {
            return;
        }
        let spent = self.callers[front].spent.remove(0);
        self.machines[machine].node_mut().quota.slices.refund(TENANT, spent.window);
        self.serve(machine);
    }

    fn arrive(&mut self, wire: Wire) {
        self.step(wire.to, Event::Frame(Box::new((*wire.frame).clone())));
    }

    fn end_holder(&mut self) {
        if let Some(holder) = self.holder() {
            self.machines[holder] = self.machines[holder].restart(0, self.now);
            self.unsealed.insert(holder);
            self.unheard = true;
        }
    }

    /// One round of all timers. Those who wait look again whether the holder may be asked.
    fn round(&mut self) {
        self.now += ROUND;
        for machine in 0..self.machines.len() {
            self.step(machine, Event::Tick);
        }
        for front in 0..self.callers.len() {
            let waiting = self.callers[front].waiting;
            if waiting > 0 {
                self.step(self.front(front), Event::QuotaNeeded { tenant: TENANT.into(), waiting });
            }
        }
    }

    fn hold(&mut self, limit: Limit, time: Micros) -> Result<(), String> {
        for _ in 0..time / ROUND {
            self.round();
            self.judge(limit)?;
        }
        Ok(())
    }

    /// All frames arrive in the order in which they were sent.
    fn deliver(&mut self, limit: Limit) -> Result<(), String> {
        while !self.wires.is_empty() {
            let first = self.wires.remove(0);
            self.arrive(first);
            self.judge(limit)?;
        }
        Ok(())
    }

    fn flow(&mut self, limit: Limit, time: Micros) -> Result<(), String> {
        self.deliver(limit)?;
        for _ in 0..time / ROUND {
            self.round();
            self.deliver(limit)?;
        }
        Ok(())
    }

    fn open(&mut self, limit: Limit, opening: Opening) -> Result<(), String> {
        match opening {
            Opening::Calls { front, count } => (0..count).for_each(|_| self.call(front)),
            Opening::Flow { time } => self.flow(limit, time)?,
            Opening::Hold { time } => self.hold(limit, time)?,
            Opening::Unrun { front } => self.unrun(front),
            Opening::Arrive { kind } => {
                let is_kind = |x: &Wire| x.frame.message.name() == kind;
                let place = self.wires.iter().position(is_kind);
                let place = place.ok_or_else(|| format!("the opening finds no frame {kind}"))?;
                let wire = self.wires.remove(place);
                self.arrive(wire);
            }
            Opening::End => self.end_holder(),
        }
        self.judge(limit)
    }

    fn judge(&self, limit: Limit) -> Result<(), String> {
        match limit {
            Limit::Window { calls, .. } => self.judge_window(calls),
            Limit::Rate { rate, burst } => self.judge_rate(rate, burst),
        }
    }

    fn held(&self) -> impl Iterator<Item = Held> {
        (0..self.callers.len()).flat_map(|front| {
            let rows = self.machines[self.front(front)].node.quota.slices.list();
            rows.into_iter().map(|(_, window, got, returned, free)| Held { window, got, returned, free })
        })
    }

    fn lent(&self) -> Option<Lent> {
        let rows = self.machines[self.holder()?].node.quota.window_ledger.list();
        let row = rows.into_iter().find(|r| r.0 == TENANT)?;
        Some(Lent { window: row.1, granted: row.2, returned: row.3 })
    }

    /// Units that were spent, by window.
    fn spent_by_window(&self) -> BTreeMap<u64, u64> {
        let mut spent = BTreeMap::new();
        for s in self.callers.iter().flat_map(|c| &c.spent) {
            *spent.entry(s.window).or_insert(0) += 1;
        }
        spent
    }

    fn judge_window(&self, calls: u64) -> Result<(), String> {
        let spent = self.spent_by_window();
        let mut known = spent.clone();
        for h in self.held() {
            *known.entry(h.window).or_insert(0) += h.free;
        }
        if let Some((window, units)) = known.iter().find(|k| *k.1 > calls) {
            return Err(format!(
                "held and spent never exceed the window: {units} of {calls} in window {window}; at the holder {:?}",
                self.lent()
            ));
        }
        let newest = spent.keys().next_back().copied().unwrap_or(0);
        let began = self.callers.iter().flat_map(|c| &c.spent).filter(|s| s.window == newest).map(|s| s.at).min();
        let late = |s: &&Spent| s.window < newest && began.is_some_and(|b| s.at > b);
        if let Some(late) = self.callers.iter().flat_map(|c| &c.spent).find(late) {
            return Err(format!("no unit outlives its window: {late:?}, and window {newest} began before"));
        }
        for front in 0..self.callers.len() {
            self.judge_slice(front)?;
        }
        let Some(lent) = self.lent() else { return Ok(()) };
        let holds = |h: &Held| if h.window == lent.window { h.returned } else { 0 };
        let returned: u64 = self.held().map(|h| holds(&h)).sum();
        let ahead = self.held().any(|h| h.window > lent.window);
        if lent.returned > returned && !ahead {
            return Err(format!("a returned unit is counted once: {returned} were returned; at the holder {lent:?}"));
        }
        Ok(())
    }

    /// What a front was lent of a window it holds, spent or returned.
    fn judge_slice(&self, front: usize) -> Result<(), String> {
        let rows = self.machines[self.front(front)].node.quota.slices.list();
        for (_, window, got, returned, free) in rows {
            let spent = self.callers[front].spent.iter().filter(|s| s.window == window).count() as u64;
            if spent + returned + free > got {
                return Err(format!(
                    "a unit is held, spent or returned: front {front} was lent {got} of window {window}, spent {spent}, \
                     returned {returned} and holds {free}"
                ));
            }
        }
        Ok(())
    }

    fn judge_rate(&self, rate: u64, burst: u64) -> Result<(), String> {
        let shares: u64 = (0..self.callers.len())
            .flat_map(|front| self.machines[self.front(front)].node.quota.slices.rates.list())
            .map(|row| u64::from(row.1))
            .sum();
        if shares > u64::from(FULL_SHARE) {
            return Err(format!("all shares are one at most: {shares} millionths are held"));
        }
        let mut times: Vec<_> = self.callers.iter().flat_map(|c| &c.spent).map(|s| s.at).collect();
        times.sort_unstable();
        for (place, from) in times.iter().enumerate() {
            let spent = (times.len() - place) as u64 * CALL;
            let last = times.last().copied().unwrap_or(*from);
            // What is lent counts as spent when it is lent, up to so long before.
            let within = burst * CALL + rate * CALL * (last - from + LOAN_DURATION) / SEC;
            if spent > within {
                return Err(format!(
                    "no interval sees more than burst and rate: {spent} thousandths of calls in {} ms, {within} may be",
                    (last - from) / MS
                ));
            }
        }
        Ok(())
    }

    /// All that the tenant may have now comes to this front, but what nobody ever heard of.
    fn takes_all(&mut self, limit: Limit, front: usize) -> Result<(), String> {
        // Within the window that the first call begins, where it is a short one.
        let (most, time) = match limit {
            Limit::Window { calls, length } => (calls, ANSWER.min(length / 2)),
            Limit::Rate { burst, .. } => (burst, ANSWER),
        };
        let before = self.callers[front].spent.len() as u64;
        for _ in 0..most {
            self.call(front);
        }
        self.flow(limit, time)?;
        let came = self.callers[front].spent.len() as u64 - before;
        match limit {
            Limit::Rate { .. } if came < most => {
                Err(format!("all lent units come back: {came} of {most} came to front {front}"))
            }
            Limit::Rate { .. } => Ok(()),
            Limit::Window { .. } => self.accounted(most),
        }
    }

    /// Every unit of the newest window was spent, or was lent to one that never heard of it.
    fn accounted(&self, calls: u64) -> Result<(), String> {
        let Some(lent) = self.lent() else { return Err("all lent units come back: nobody holds the duty".into()) };
        let got: u64 = self.held().filter(|h| h.window == lent.window).map(|h| h.got).sum();
        let unheard = if self.unheard { lent.granted.saturating_sub(got) } else { 0 };
        let spent = self.spent_by_window().get(&lent.window).copied().unwrap_or(0);
        if spent + unheard < calls {
            return Err(format!(
                "all lent units come back: {spent} of {calls} were spent, {unheard} lent to who never heard; at the \
                 holder {lent:?}, fronts hold {:?}",
                self.held().collect::<Vec<_>>()
            ));
        }
        Ok(())
    }
}

impl Quota {
    /// Fixes the digests of the machines that were stepped and the order of the frames.
    fn seal(&self, w: &mut World) {
        for machine in std::mem::take(&mut w.unsealed) {
            w.machines[machine].seal(Scope::Full);
        }
        w.wires.sort_by_key(|x| (x.digest, x.again));
    }
}

impl Model for Quota {
    type State = World;
    type Action = Action;

    fn start(&self) -> World {
        let configuration = self.limit.configuration();
        let machines = self.cores + self.fronts;
        let callers = Callers { left: self.allowance.calls, ..Callers::default() };
        let mut w = World {
            now: BIRTH,
            machines: (0..machines).map(|i| Machine::core_or_front(i, self.cores, &configuration)).collect(),
            unsealed: (0..machines).collect(),
            wires: Vec::new(),
            callers: vec![callers; self.fronts],
            left: self.allowance,
            unheard: false,
            broken: None,
        };
        let opened = w
            .flow(self.limit, WARM)
            .and_then(|()| self.opening.iter().try_for_each(|opening| w.open(self.limit, *opening)));
        w.broken = opened.err();
        self.seal(&mut w);
        w
    }

    fn digest(&self, w: &World) -> u64 {
        let machines: Vec<_> = w.machines.iter().map(Machine::digest).collect();
        let fronts = &w.machines[self.cores..];
        let slices: Vec<_> = fronts.iter().map(|m| digest_of(&m.node.quota.slices)).collect();
        let wires: Vec<_> = w.wires.iter().map(|x| (x.digest, x.again)).collect();
        digest_of(&((w.now, machines, slices, wires), (&w.callers, w.left, w.unheard)))
    }

    fn describe(&self, w: &World, action: &Action) -> String {
        let what = match action {
            Action::Arrive { place } | Action::Lose { place } | Action::Double { place } => {
                let wire = &w.wires[*place];
                format!("{action:?}: to {}, {:?}", wire.to, wire.frame.message)
            }
            _ => format!("{action:?}"),
        };
        let spent: Vec<_> = w.callers.iter().map(|c| (c.spent.len(), c.waiting)).collect();
        format!("at {:.3} s, spent and waiting {spent:?}: {what}", (w.now - BIRTH) as f64 / 1e6)
    }

    fn actions(&self, w: &World) -> Vec<Action> {
        let mut v = Vec::new();
        for place in 0..w.wires.len() {
            v.push(Action::Arrive { place });
            if w.left.lost > 0 {
                v.push(Action::Lose { place });
            }
            if w.left.doubled > 0 && !w.wires[place].again {
                v.push(Action::Double { place });
            }
        }
        for (front, callers) in w.callers.iter().enumerate() {
            if callers.left > 0 {
                v.push(Action::Call { front });
            }
            if w.left.unrun > 0 && !callers.spent.is_empty() {
                v.push(Action::Unrun { front });
            }
        }
        if w.left.ends > 0 && w.holder().is_some() {
            v.push(Action::End);
        }
        if w.left.passes > 0 {
            v.push(Action::Pass);
        }
        v
    }

    fn apply(&self, w: &World, action: &Action) -> Result<World, String> {
        if let Some(broken) = &w.broken {
            return Err(broken.clone());
        }
        let mut w = w.clone();
        match action {
            Action::Call { front } => {
                w.callers[*front].left -= 1;
                w.call(*front);
            }
            Action::Unrun { front } => {
                w.left.unrun -= 1;
                w.unrun(*front);
            }
            Action::Arrive { place } => {
                let wire = w.wires.remove(*place);
                w.arrive(wire);
            }
            Action::Lose { place } => {
                w.left.lost -= 1;
                w.unheard = true;
                w.wires.remove(*place);
            }
            Action::Double { place } => {
                w.left.doubled -= 1;
                w.wires[*place].again = true;
                let wire = w.wires[*place].clone();
                w.arrive(wire);
            }
            Action::Pass => {
                w.left.passes -= 1;
                w.hold(self.limit, self.step)?;
            }
            Action::End => {
                w.left.ends -= 1;
                w.end_holder();
            }
        }
        self.seal(&mut w);
        w.judge(self.limit)?;
        Ok(w)
    }

    fn recovers(&self, w: &World) -> Result<(), String> {
        let mut w = w.clone();
        w.callers.iter_mut().for_each(|c| c.waiting = 0);
        w.flow(self.limit, SETTLES)?;
        for front in 0..self.fronts {
            if matches!(self.limit, Limit::Rate { .. }) {
                w.flow(self.limit, SETTLES)?;
            }
            w.takes_all(self.limit, front)?;
        }
        Ok(())
    }
}
