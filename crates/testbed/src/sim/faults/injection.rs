//! Faults begin, and end after their time: processes, wires, disks, workers and callers.

use crate::sim::faults::profiles::Fault;
use crate::sim::faults::rolling_release::{ReleaseAction, ReleaseStep};
use crate::sim::operators::traffic::Operators;
use crate::sim::workers::worker::WorkerBehaviour;
use crate::sim::world::World;
use sumacvale_core::base::{MS, Micros, SEC};

/// A slow machine runs in periods of at least this length; at most of these, on cores and on fronts.
const PERIOD_LEAST: Micros = 50 * MS;
const CORE_PERIOD_MOST: Micros = 250 * MS;
const FRONT_PERIOD_MOST: Micros = 100 * MS;

/// A process that is down until then; with `swap` its core takes the place of another afterwards.
struct StoppedProcess {
    slot: usize,
    at: Micros,
    swap: bool,
}

/// What is wrong now and ends by itself.
#[derive(Default)]
pub(in crate::sim) struct FaultInjector {
    downs: Vec<StoppedProcess>,
    /// A core with an empty disk that an operator is to admit.
    admitted_next: Option<usize>,
    /// Workers that vanished or drain, and when they begin anew.
    resting: Vec<(usize, Micros)>,
    turns: Vec<ReleaseAction>,
}

fn some(w: &mut World, f: impl Fn(&World, usize) -> bool) -> Option<usize> {
    let v: Vec<_> = (0..w.machines.len()).filter(|i| f(w, *i)).collect();
    if v.is_empty() { None } else { Some(v[usize::try_from(w.rng.below(v.len() as u64)).unwrap_or(0)]) }
}

impl FaultInjector {
    /// Processes whose time has come begin again; all of them once it is calm.
    pub fn processes_return(&mut self, w: &mut World, calm: bool) {
        let now = w.now;
        let next = &mut self.admitted_next;
        self.downs.retain(|d| {
            let back = d.at <= now || calm;
            if back {
                w.start(d.slot);
                w.log(format!("back {}", w.machines[d.slot].addr));
                if d.swap {
                    *next = Some(d.slot);
                }
            }
            !back
        });
    }

    /// An operator admits the core that came with an empty disk.
    pub fn admit(&mut self, w: &mut World, o: &mut Operators) {
        if let Some(i) = self.admitted_next
            && w.now % (500 * MS) < 10 * MS
            && (w.machines[i].node.is_none() || o.replace(w, i))
            && w.machines[i].node.is_some()
        {
            w.log(format!("admitted {}", w.machines[i].addr));
            self.admitted_next = None;
        }
    }

    /// A release goes on by the steps that are due.
    pub fn release_goes_on(&mut self, w: &mut World) {
        self.turns.retain(|t| t.take(w));
    }

    pub fn release_ends(&mut self) {
        self.turns.clear();
    }

    /// Workers whose time has come begin anew.
    pub fn workers_return(&mut self, w: &mut World) {
        let now = w.now;
        self.resting.retain(|(k, at)| {
            if *at <= now {
                let x = &mut w.workers[*k];
                x.restart();
                let id = x.id.clone();
                w.safety.removed_workers.remove(&id);
            }
            *at > now
        });
    }

    /// A fault begins; it lasts for about `d`.
    pub fn begin(&mut self, w: &mut World, f: Fault, d: Micros) {
        match f {
            Fault::KillCore
            | Fault::KillFront
            | Fault::KillMany
            | Fault::PowerCore
            | Fault::WipeCore
            | Fault::Freeze
            | Fault::FreezeCore
            | Fault::SlowNode
            | Fault::SlowCore
            | Fault::Sleep => self.strike_machines(w, f, d),
            Fault::CutNode
            | Fault::CutCore
            | Fault::SplitCores
            | Fault::OneWay
            | Fault::Zone
            | Fault::Jam
            | Fault::Hold
            | Fault::Lossy => strike_wires(w, f, d),
            Fault::SlowDisk | Fault::StallDisk | Fault::FullDisk | Fault::SlowDisks => strike_disks(w, f, d),
            Fault::Workers
            | Fault::Odd(_)
            | Fault::Outage
            | Fault::Crash
            | Fault::Release
            | Fault::Crowd
            | Fault::HotPrefix => self.strike_workers(w, f, d),
            // These are the moves' own.
            Fault::Swap { .. } | Fault::Empty | Fault::AckLoss | Fault::KillAll | Fault::KillCores => {}
        }
    }

    fn strike_machines(&mut self, w: &mut World, f: Fault, d: Micros) {
        let now = w.now;
        let up = |w: &World, i: usize| w.machines[i].node.is_some();
        match f {
            Fault::KillCore | Fault::KillFront => {
                let core = f == Fault::KillCore;
                if let Some(i) = some(w, |w, i| up(w, i) && w.machines[i].is_core == core) {
                    w.log(format!("kill {}", w.machines[i].addr));
                    w.kill(i);
                    self.downs.push(StoppedProcess { slot: i, at: now + d / 2, swap: false });
                }
            }
            Fault::PowerCore => {
                if let Some(i) = some(w, |w, i| up(w, i) && w.machines[i].is_core) {
                    w.log(format!("{} loses power", w.machines[i].addr));
                    w.lose_power(i);
                    self.downs.push(StoppedProcess { slot: i, at: now + d / 2, swap: false });
                }
            }
            Fault::KillMany => {
                w.log("many lose power".into());
                for i in 0..w.machines.len() {
                    if up(w, i) && w.rng.chance(60) {
                        w.lose_power(i);
                        let t = w.rng.below(SEC);
                        self.downs.push(StoppedProcess { slot: i, at: now + d / 3 + t, swap: false });
                    }
                }
            }
            Fault::WipeCore => {
                let whole = self.downs.is_empty() && self.admitted_next.is_none();
                let n = w
                    .machines
                    .iter()
                    .filter(|s| s.is_core && s.node.as_ref().is_some_and(sumacvale_core::node::Node::voter))
                    .count();
                if whole
                    && n >= 3
                    && let Some(i) = some(w, |w, i| up(w, i) && w.machines[i].is_core)
                {
                    w.log(format!("lose the disk of {}", w.machines[i].addr));
                    w.wipe(i);
                    self.downs.push(StoppedProcess { slot: i, at: now + d / 2, swap: true });
                }
            }
            Fault::Freeze | Fault::FreezeCore => {
                let core = f == Fault::FreezeCore;
                if let Some(i) = some(w, |w, i| up(w, i) && w.machines[i].is_core == core) {
                    w.log(format!("freeze {} for {d}", w.machines[i].addr));
                    w.freeze(i, now + d);
                }
            }
            Fault::SlowNode | Fault::SlowCore => {
                let core = f == Fault::SlowCore;
                if let Some(i) = some(w, |w, i| up(w, i) && w.machines[i].is_core == core) {
                    let most = if core { CORE_PERIOD_MOST } else { FRONT_PERIOD_MOST };
                    let period = PERIOD_LEAST + w.rng.below(most - PERIOD_LEAST);
                    w.slow_down(i, now + d, period);
                }
            }
            Fault::Sleep => {
                if let Some(i) = some(w, |w, i| up(w, i) && w.machines[i].frozen_until <= now) {
                    w.log(format!("{} sleeps for {}", w.machines[i].addr, 2 * d));
                    w.freeze(i, now + 2 * d);
                }
            }
            _ => {}
        }
    }

    /// Workers and those who call.
    fn strike_workers(&mut self, w: &mut World, f: Fault, d: Micros) {
        let now = w.now;
        match f {
            Fault::Workers => {
                let k = usize::try_from(w.rng.below(w.workers.len() as u64)).unwrap_or(0);
                if self.resting.iter().any(|x| x.0 == k) {
                    return;
                }
                let drain = w.rng.chance(50);
                let x = &mut w.workers[k];
                let id = x.id.clone();
                if drain {
                    x.is_draining = true;
                    x.draining_since = Some(now);
                    x.next_report_at = now;
                } else {
                    w.crash(k);
                }
                w.log(format!("worker {id} {}", if drain { "drains" } else { "vanishes" }));
                w.safety.removed_workers.insert(id, now);
                self.resting.push((k, now + 3 * SEC + d));
            }
            Fault::Odd(m) => {
                let k = usize::try_from(w.rng.below(w.workers.len() as u64)).unwrap_or(0);
                w.log(format!("worker {} is {m:?} for {d}", w.workers[k].id));
                w.workers[k].mode = (m, now + d);
            }
            Fault::Outage => {
                let modes = [
                    WorkerBehaviour::Hang,
                    WorkerBehaviour::Mute,
                    WorkerBehaviour::Cut,
                    WorkerBehaviour::Decline,
                    WorkerBehaviour::Dark,
                    WorkerBehaviour::Slow,
                ];
                let m = modes[usize::try_from(w.rng.below(modes.len() as u64)).unwrap_or(0)];
                w.log(format!("all workers are {m:?} for {d}"));
                for x in &mut w.workers {
                    x.mode = (m, now + d);
                }
            }
            Fault::Crash => {
                let k = usize::try_from(w.rng.below(w.workers.len() as u64)).unwrap_or(0);
                if w.workers[k].is_running && !w.workers[k].is_draining {
                    w.log(format!("worker {} ends and begins anew", w.workers[k].id));
                    w.crash(k);
                    self.turns.push(ReleaseAction { at: now + 100 * MS, worker: k, what: ReleaseStep::Begin });
                }
            }
            Fault::Release if self.turns.is_empty() => {
                w.log("all workers of the model are replaced, one by one".into());
                let ks: Vec<_> = (0..w.workers.len()).filter(|k| w.workers[*k].pool == "llm").collect();
                for (n, k) in ks.into_iter().enumerate() {
                    let at = now + n as u64 * 1_200 * MS;
                    self.turns.push(ReleaseAction { at, worker: k, what: ReleaseStep::Drain });
                    self.turns.push(ReleaseAction { at: at + 900 * MS, worker: k, what: ReleaseStep::End });
                    self.turns.push(ReleaseAction { at: at + 1_100 * MS, worker: k, what: ReleaseStep::Begin });
                }
            }
            Fault::Crowd => {
                w.log(format!("a crowd of one tenant's for {d}"));
                w.crowd = (8, now + d);
            }
            Fault::HotPrefix => {
                w.log(format!("all calls share one prefix for {d}"));
                w.shared_prefix_until = now + d;
            }
            _ => {}
        }
    }
}

fn strike_wires(w: &mut World, f: Fault, d: Micros) {
    let now = w.now;
    match f {
        Fault::CutNode | Fault::CutCore => {
            let core = f == Fault::CutCore;
            if let Some(i) = some(w, |w, i| !core || w.machines[i].is_core) {
                w.log(format!("cut off {} for {d}", w.machines[i].addr));
                for j in 0..w.machines.len() {
                    w.blocked_links.insert((i, j), now + d);
                    w.blocked_links.insert((j, i), now + d);
                }
            }
        }
        Fault::SplitCores => {
            w.log(format!("split for {d}"));
            let side: Vec<bool> = (0..w.machines.len()).map(|_| w.rng.chance(50)).collect();
            for i in 0..side.len() {
                for j in 0..side.len() {
                    if side[i] != side[j] {
                        w.blocked_links.insert((i, j), now + d);
                    }
                }
            }
        }
        Fault::OneWay => {
            if let Some(i) = some(w, |_, _| true) {
                w.log(format!("nothing comes from {} for {d}", w.machines[i].addr));
                for j in 0..w.machines.len() {
                    w.blocked_links.insert((i, j), now + d);
                }
            }
        }
        Fault::Zone => {
            let z = format!("z{}", w.rng.below(3));
            w.log(format!("zone {z} apart for {d}"));
            for i in 0..w.machines.len() {
                for j in 0..w.machines.len() {
                    if (w.machines[i].zone == z) != (w.machines[j].zone == z) {
                        w.blocked_links.insert((i, j), now + d);
                    }
                }
            }
        }
        Fault::Jam => {
            w.log(format!("frames jammed for {d}"));
            w.reordering_until = now + d;
            w.loss = (5, now + d);
        }
        Fault::Hold => {
            if let Some(i) = some(w, |_, _| true) {
                w.log(format!("frames of {} held for {d}", w.machines[i].addr));
                w.frames_held_until.insert(i, now + d);
            }
        }
        Fault::Lossy => {
            w.log(format!("one frame in ten lost for {d}"));
            w.loss = (10, now + d);
        }
        _ => {}
    }
}

fn strike_disks(w: &mut World, f: Fault, d: Micros) {
    let now = w.now;
    match f {
        Fault::SlowDisk | Fault::StallDisk | Fault::FullDisk => {
            if let Some(i) = some(w, |w, i| w.machines[i].is_core) {
                w.log(format!("{f:?} {} for {d}", w.machines[i].addr));
                let disk = &mut w.machines[i].disk;
                match f {
                    Fault::SlowDisk => disk.slow_until = now + d,
                    Fault::StallDisk => disk.stalled_until = now + d,
                    _ => disk.full_until = now + d,
                }
            }
        }
        Fault::SlowDisks => {
            w.log(format!("all disks slow for {d}"));
            for s in w.machines.iter_mut().filter(|s| s.is_core) {
                s.disk.slow_until = now + d;
            }
        }
        _ => {}
    }
}
