//! FaultInjector of the control side, one at a time, each as close to the one before as is allowed:
//! cuts of each kind with what meets the machine on its return, losses right after an
//! acknowledgement, an accepted call or soon after an order, disks that are full, planned restarts, a
//! member that is away through hundreds of changes, and workers that leave at such moments.

mod checks;
mod cuts;
mod leaving;
mod losses;
mod plan;
mod strikes;

pub use plan::{ControlFault, Plan};

use crate::sim::operators::orders::{DocumentOperator, PinnedTarget};
use crate::sim::world::World;
use checks::{caught_up, went_on};
use leaving::{FIRST_LEAVE, Leaving};
use losses::Loss;
use std::collections::BTreeMap;
use strikes::PendingFault;
use sumacvale_core::base::{Micros, SEC};

/// The closing trouble is due so long before the last fault ends, and others begin earlier than this before it.
const CLOSING: Micros = 3 * SEC;
const BEFORE_CLOSING: Micros = 2 * SEC;

/// What is to be done at some moment.
#[derive(Clone, Copy, Debug)]
enum ControlAction {
    Lose {
        slot: usize,
        loss: Loss,
    },
    Begin(usize),
    /// Power ends the first start of a machine with an empty disk.
    PowerEndsStart(usize),
    TellToStop(usize),
    /// It ends if what it holds is held elsewhere; it is killed after a while.
    Stop {
        slot: usize,
        kill: Micros,
    },
    /// A cut ends, and with it what an operator sends to that machine.
    Meets {
        slot: usize,
        race: bool,
        drain: bool,
        hard: bool,
    },
    /// By now it holds the newest version.
    CaughtUp(usize),
    /// The others acknowledged an order since then.
    WentOn {
        since: Micros,
    },
    WorkerEnds(usize),
    WorkerBegins(usize),
}

/// The troubles of one run, the operator's orders and the workers that leave.
pub struct Control {
    plan: Plan,
    pub orders: DocumentOperator,
    acts: Vec<(Micros, ControlAction)>,
    /// No trouble begins before this.
    free: Micros,
    /// When the last fault ends.
    end: Micros,
    closed: bool,
    armed: Option<PendingFault>,
    leaving: Vec<Leaving>,
    calls: u64,
    pub left: u64,
    /// How often each core was cut off, and told to stop.
    cut_offs: BTreeMap<usize, u64>,
    rolls: BTreeMap<usize, u64>,
    pub troubles: BTreeMap<String, u64>,
    /// How often a trouble was of each variant.
    pub variants: BTreeMap<&'static str, u64>,
}

impl Control {
    pub fn new(plan: Plan, end: Micros) -> Self {
        let orders = DocumentOperator::new(plan.habits);
        Control {
            plan,
            orders,
            acts: Vec::new(),
            free: 6 * SEC,
            end,
            closed: false,
            armed: None,
            leaving: Vec::new(),
            calls: FIRST_LEAVE,
            left: 0,
            cut_offs: BTreeMap::new(),
            rolls: BTreeMap::new(),
            troubles: BTreeMap::new(),
            variants: BTreeMap::new(),
        }
    }

    pub fn tick(&mut self, world: &mut World, calm: bool) {
        self.due(world);
        self.orders.tick(world, calm);
        self.strike(world);
        self.leaves(world);
        let quiet = !calm && world.now >= self.free && self.armed.is_none() && self.acts.is_empty();
        if quiet && self.closing_is_due(world.now) {
            self.begin_closing(world);
        } else if quiet && !self.closing_is_near(world.now) {
            self.begin(world);
        }
    }

    fn closing_is_due(&self, now: Micros) -> bool {
        self.plan.closing && !self.closed && now + CLOSING >= self.end
    }

    fn closing_is_near(&self, now: Micros) -> bool {
        self.plan.closing && now + CLOSING + BEFORE_CLOSING >= self.end
    }

    fn at(&mut self, due: Micros, act: ControlAction) {
        self.acts.push((due, act));
    }

    fn note(&mut self, variant: &'static str) {
        *self.variants.entry(variant).or_default() += 1;
    }

    fn begin(&mut self, world: &mut World) {
        let k = usize::try_from(world.rng.below(self.plan.troubles.len() as u64)).unwrap_or(0);
        let trouble = self.plan.troubles[k];
        *self.troubles.entry(format!("{trouble:?}")).or_default() += 1;
        world.log(format!("{trouble:?}"));
        if world.rng.chance(self.plan.leaves) {
            self.leave(world, None);
        }
        let Some(slot) = core(world) else { return };
        match trouble {
            ControlFault::AfterAck { wipe } => self.arm(world, PendingFault::AfterAck { wipe }),
            ControlFault::OldestAfterAck => self.arm(world, PendingFault::OldestAfterAck),
            ControlFault::Timed { wipe } => self.arm(world, PendingFault::Timed { wipe }),
            ControlFault::AfterWork { gone } => self.arm(world, PendingFault::AfterWork { gone }),
            ControlFault::PowerAfterWork { all } => self.arm(world, PendingFault::PowerAfterWork { all }),
            ControlFault::CutOff(cut) => self.cut(world, slot, cut),
            ControlFault::FullDisk { power } => self.fill(world, slot, power),
            ControlFault::HalfStart => self.half_start(world, slot),
            ControlFault::Freeze => self.freeze(world, slot),
            ControlFault::Slow => self.slow_down(world, slot),
            ControlFault::Restart => self.lose(world, slot, Loss::Process),
            ControlFault::Roll => self.roll(world),
            ControlFault::Wipe => self.lose(world, slot, Loss::Disk),
            ControlFault::LongAway => self.long_away(world, slot),
        }
    }

    fn due(&mut self, world: &mut World) {
        let now = world.now;
        let (due, later) =
            std::mem::take(&mut self.acts).into_iter().partition(|a: &(Micros, ControlAction)| a.0 <= now);
        self.acts = later;
        for (_, act) in due {
            self.act(world, act);
        }
    }

    fn act(&mut self, world: &mut World, act: ControlAction) {
        match act {
            ControlAction::Lose { slot, loss } => self.lose(world, slot, loss),
            ControlAction::Begin(slot) => world.start(slot),
            ControlAction::PowerEndsStart(slot) => self.power_ends_start(world, slot),
            ControlAction::TellToStop(slot) => self.tell_to_stop(world, slot),
            ControlAction::Stop { slot, kill } => self.stop(world, slot, kill),
            ControlAction::Meets { slot, race, drain, hard } => {
                for _ in 0..=u64::from(race) {
                    self.orders.order(world, Some(PinnedTarget { slot, hard }));
                }
                if drain {
                    self.leave(world, Some(slot));
                }
            }
            ControlAction::CaughtUp(slot) => caught_up(world, slot),
            ControlAction::WentOn { since } => went_on(world, since, self.orders.said_done),
            ControlAction::WorkerEnds(worker) => world.crash(worker),
            ControlAction::WorkerBegins(worker) => {
                world.workers[worker].restart();
                let id = world.workers[worker].id.clone();
                world.safety.removed_workers.remove(&id);
            }
        }
    }

    /// The last fault is over: what was down begins, and nobody is leaving any more.
    pub fn calm(&mut self, world: &mut World) {
        self.armed = None;
        self.leaving.clear();
        world.stalled_links.clear();
        world.preferred_report_target = None;
        for (_, act) in std::mem::take(&mut self.acts) {
            match act {
                ControlAction::Begin(slot) | ControlAction::PowerEndsStart(slot) => world.start(slot),
                // Who was told to stop does so, and is started again.
                ControlAction::Stop { slot, .. } => {
                    world.kill(slot);
                    world.start(slot);
                }
                _ => {}
            }
        }
    }
}

/// A core that runs, drawn by lot.
fn core(world: &mut World) -> Option<usize> {
    let up: Vec<usize> =
        (0..world.machines.len()).filter(|i| world.machines[*i].is_core && world.is_running(*i)).collect();
    let k = usize::try_from(world.rng.below(up.len().max(1) as u64)).unwrap_or(0);
    up.get(k).copied()
}
