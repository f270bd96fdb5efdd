//! One run from a seed: faults, then healing, then what must hold again.

use crate::sim::checks::calls::{CallLimits, Rates, check_calls, check_rates};
use crate::sim::checks::recovery::{BACK, empty, recover, serving};
use crate::sim::checks::safety::Violation;
use crate::sim::checks::summary::{ControlSummary, Summary};
use crate::sim::faults::control::{Control, Plan};
use crate::sim::faults::day::HOUR;
use crate::sim::faults::injection::FaultInjector;
use crate::sim::faults::membership_losses::MembershipFaults;
use crate::sim::faults::repairs::Repairs;
use crate::sim::operators::documents::{has_key, quotas};
use crate::sim::operators::traffic::Operators;
use crate::sim::settings::Run;
use crate::sim::world::World;
use sumacvale_core::base::{MS, Micros, SEC};

/// How long one step is.
const STEP: Micros = 10 * MS;
/// How far apart the moments are at which all nodes are looked at.
const LOOK: Micros = 50 * MS;

/// A run in the making.
struct Simulation {
    r: Run,
    w: World,
    ops: Operators,
    troubles: FaultInjector,
    moves: MembershipFaults,
    repairs: Option<Repairs>,
    control: Option<Control>,
    begin: Micros,
    end: Micros,
    /// When the next fault begins.
    next: Micros,
    /// When all nodes were looked at last.
    looked: Micros,
    hour: u64,
}

/// One run from a seed: faults, then healing, then what must hold again.
pub fn run(r: Run) -> Summary {
    let mut d = Simulation::new(r);
    while d.w.now < d.end + BACK {
        d.step();
    }
    d.finish()
}

/// How many cores such a fleet may lose, if its cores see to their membership themselves.
fn losses(profile: &str) -> u32 {
    match profile {
        "members" | "blackout" | "blackout_cores" | "repairs" => 1,
        "many" | "repairs_two" => 2,
        name if Plan::named(name).is_some() => 1,
        _ => 0,
    }
}

impl Simulation {
    fn new(r: Run) -> Simulation {
        let mut w = World::new(r.seed, r.cores, r.fronts, r.workers);
        w.tolerated_losses = losses(r.profile.name);
        w.renew();
        if r.day.is_some() {
            w.tenants = 7;
        }
        w.quotas_are_rates = r.rates;
        let begin = w.now;
        Simulation {
            r,
            w,
            ops: Operators::default(),
            troubles: FaultInjector::default(),
            moves: MembershipFaults::default(),
            repairs: r.profile.name.starts_with("repairs").then(Repairs::default),
            control: Plan::named(r.profile.name).map(|p| Control::new(p, begin + r.profile.secs * SEC)),
            begin,
            end: begin + r.profile.secs * SEC,
            next: begin + 4 * SEC,
            looked: begin,
            hour: u64::MAX,
        }
    }

    fn step(&mut self) {
        let t = self.w.now + STEP;
        self.w.run(t);
        self.w.report();
        let calm = self.w.now >= self.end;
        if calm {
            self.heal();
        }
        let hour = (self.w.now - self.begin) / HOUR;
        self.faults(calm, hour);
        self.orders(calm);
        if self.w.now % SEC < STEP {
            self.w.check_readiness();
        }
        let load = self.r.day.map_or(self.r.load, |d| d.load(if calm { 8 } else { hour }));
        self.ops.calls(&mut self.w, load);
        if self.w.now - self.looked >= LOOK {
            self.looked = self.w.now;
            sample(&mut self.w);
            self.ops.spread(&self.w);
        }
    }

    /// The last fault is over: nothing is wrong any more.
    fn heal(&mut self) {
        let w = &mut self.w;
        w.blocked_links.clear();
        w.reconnect_intervals.clear();
        w.stalled_links.clear();
        w.loss = (0, 0);
        w.reordering_until = 0;
        w.frames_held_until.clear();
        w.crowd.1 = 0;
        w.shared_prefix_until = 0;
        for i in 0..w.machines.len() {
            if w.machines[i].frozen_until > w.now || w.machines[i].slow_mode.take().is_some() {
                w.unfreeze(i);
            }
            w.machines[i].disk.clear_faults();
        }
        for x in &mut w.workers {
            x.mode.1 = 0;
            if x.is_draining || !x.is_running {
                x.restart();
            }
        }
        self.troubles.release_ends();
        if let Some(c) = &mut self.control {
            c.calm(w);
        }
        w.safety.removed_workers.clear();
    }

    /// Faults end, and others begin.
    fn faults(&mut self, calm: bool, hour: u64) {
        let w = &mut self.w;
        self.troubles.processes_return(w, calm);
        self.troubles.admit(w, &mut self.ops);
        if !calm && w.now >= self.next {
            self.next = w.now + 200 * MS + w.rng.below(4 * SEC);
            if let Some((f, d)) = self.r.profile.pick(&mut w.rng)
                && !self.moves.take(w, &mut self.ops, f)
            {
                self.troubles.begin(w, f, d);
            }
        }
        self.troubles.release_goes_on(w);
        if let Some(d) = self.r.day.filter(|_| !calm && hour != self.hour) {
            self.hour = hour;
            if let Some((f, t)) = d.hour(w, hour) {
                self.troubles.begin(w, f, t);
            }
        }
        self.troubles.workers_return(w);
    }

    /// Operators ask and are answered; machines with disks come and go.
    fn orders(&mut self, calm: bool) {
        let w = &mut self.w;
        let o = &mut self.ops;
        if w.now > self.begin + 3 * SEC && w.rng.below(1000) < self.r.profile.changes {
            o.change(w);
            if matches!(self.r.profile.name, "races" | "stalls") {
                o.change(w);
            }
        }
        if let Some(c) = &mut self.control {
            c.tick(w, calm);
            o.done = o.done.max(c.orders.taken().min(1));
        }
        o.answers(w);
        if w.tolerated_losses > 0 {
            self.moves.tick(w, o);
            if let Some(p) = self.repairs.as_mut().filter(|_| !calm) {
                p.tick(w, o, &mut self.moves);
            }
        }
    }

    fn finish(mut self) -> Summary {
        let w = &mut self.w;
        if let Some(c) = &mut self.control {
            c.orders.end(w);
        }
        let recovered = recover(w, &mut self.ops, self.end);
        if self.repairs.is_some() {
            w.safety.violations.extend(self.ops.refused.iter().cloned().map(Violation));
        }
        empty(w);
        w.safety.check_acknowledged_versions();
        for i in 0..w.machines.len() {
            w.drop_calls(i);
        }
        let law = law(w, self.r.rates);
        let rates = match self.r.rates {
            true => quotas(w.tenants).into_iter().map(|(t, q)| (t, q.0)).collect(),
            false => Rates::new(),
        };
        w.safety.violations.extend(check_calls(&w.call_outcomes, &w.executions, &law));
        w.safety.violations.extend(check_rates(&w.executions, &rates));
        let serving = serving(w, self.end);
        let control = self.control.map(ControlSummary::of);
        Summary { recovered, serving, control, ..Summary::of(self.w, self.ops, self.moves, &law, &rates) }
    }
}

/// What the calls of this world are judged by.
fn law(w: &World, rates: bool) -> CallLimits {
    CallLimits {
        quotas: if rates { std::collections::BTreeMap::default() } else { quotas(w.tenants) },
        acknowledged: w.safety.acknowledged.iter().map(|a| (a.version, a.acknowledged_at)).collect(),
        keys: w
            .safety
            .committed
            .values()
            .map(|d| (d.version, w.safety.first_committed_at[&d.version], has_key(&d.body)))
            .collect(),
        tries: w.tries,
        freezes: w.freezes.clone(),
    }
}

/// What each node would do with a call at this moment.
fn sample(w: &mut World) {
    let now = w.now;
    for i in 0..w.machines.len() {
        if !w.is_running(i) {
            continue;
        }
        let s = &w.machines[i];
        let Some(n) = &s.node else { continue };
        if !n.is_fresh(s.clock(now)) {
            continue;
        }
        let ws: Vec<_> =
            n.dissemination.workers.live(s.clock(now)).map(|r| (r.worker_id.clone(), r.incarnation)).collect();
        let v = n.version().unwrap_or(0);
        let a = s.addr.clone();
        w.safety.check_admission(&a, v, now);
        for (id, incarnation) in ws {
            let cur = w.workers.iter().find(|x| x.id == id).map_or(0, |x| x.incarnation);
            if incarnation == cur {
                w.safety.check_routing(&a, &id, now);
            }
        }
    }
}
