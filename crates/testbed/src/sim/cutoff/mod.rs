//! Cores that are cut off for up to twenty seconds, silently or one way, while operators race,
//! workers report and leave: what each core answers, how soon, and whether it was true.

mod answers;
mod callers;
mod calls;
mod judge;
mod seen;

pub use seen::{Answers, Caller, CutOff};

use crate::sim::checks::safety::Violation;
use crate::sim::world::World;
use callers::{OpenRequest, Operator, Reporter};
use std::collections::{BTreeMap, BTreeSet};
use sumacvale_core::base::{MS, Micros, SEC};

const CORES: usize = 3;
const FRONTS: usize = 3;
const WORKERS: usize = 9;
const BEAT: Micros = 1_200 * MS;
const STEP: Micros = 5 * MS;

/// One run in the making.
struct Driver {
    world: World,
    open: BTreeMap<u64, OpenRequest>,
    operators: [Operator; 2],
    reporters: Vec<Reporter>,
    serial: u64,
    /// The core that is cut off, from when to when.
    cut: Option<(usize, Micros, Micros)>,
    last_cut: Option<(usize, Micros)>,
    /// The core that acknowledged last.
    acted: usize,
    acked: Vec<(u64, u64, String)>,
    refused: BTreeSet<String>,
    /// The number of the newest acknowledged document when each reader came.
    readers: BTreeMap<u64, u64>,
    seen: Answers,
}

/// Plays one run.
pub fn cut_off(run: CutOff) -> Answers {
    let mut world = World::new(run.seed, CORES, FRONTS, 0);
    world.report_interval = BEAT;
    for i in 0..world.machines.len() {
        world.start(i);
    }
    let t = world.now + 5 * SEC;
    world.run(t);
    let end = world.now + run.secs * SEC;
    world.loss = (run.lost, end);
    if run.slow {
        world.machines.iter_mut().for_each(|s| s.disk.slow_until = end);
    }
    let reporters = (0..WORKERS).map(|i| Reporter::new(format!("v{i}"), i % CORES, world.now)).collect();
    let mut d = Driver {
        world,
        open: BTreeMap::new(),
        operators: Default::default(),
        reporters,
        serial: 0,
        cut: None,
        last_cut: None,
        acted: 0,
        acked: Vec::new(),
        refused: BTreeSet::new(),
        readers: BTreeMap::new(),
        seen: Answers::default(),
    };
    d.play(end);
    d.finish();
    d.seen
}

impl Driver {
    fn breach(&mut self, what: String) {
        let at = self.world.now;
        self.seen.breaches.push(Violation(format!("{at}: {what}")));
    }

    fn play(&mut self, end: Micros) {
        let mut next_cut = self.world.now + 3 * SEC;
        while self.world.now < end {
            let t = self.world.now + STEP;
            self.world.run(t);
            self.answers();
            self.give_up();
            if self.cut.is_some_and(|c| c.2 <= t) {
                self.last_cut = self.cut.take().map(|c| (c.0, t));
            }
            if t >= next_cut && self.cut.is_none() {
                next_cut = self.begin_cut(t);
            }
            self.operators(t);
            self.reports(t);
            if self.world.rng.below(1_000) < 15 {
                self.read();
            }
        }
    }

    /// Cuts a core off; when the next cut is due.
    fn begin_cut(&mut self, now: Micros) -> Micros {
        let long = [4 * SEC, 10 * SEC, 20 * SEC][usize::try_from(self.world.rng.below(3)).unwrap_or(0)];
        let drawn = usize::try_from(self.world.rng.below(CORES as u64)).unwrap_or(0);
        let core = if self.world.rng.chance(60) { self.acted } else { drawn };
        let (hears, heard) =
            [(false, false), (false, true), (true, false)][usize::try_from(self.world.rng.below(3)).unwrap_or(0)];
        // From the other cores, or from all.
        let of = if self.world.rng.chance(50) { CORES } else { self.world.machines.len() };
        for j in (0..of).filter(|j| *j != core) {
            if !hears {
                self.world.blocked_links.insert((j, core), now + long);
            }
            if !heard {
                self.world.blocked_links.insert((core, j), now + long);
            }
        }
        self.world.log(format!("core {core} cut off for {long}, hears {hears}, is heard {heard}, from {of}"));
        self.cut = Some((core, now, now + long));
        now + long + 5 * SEC
    }
}
