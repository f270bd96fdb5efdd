//! Losses as close to one another as they are allowed: the next one comes the moment that the
//! last machine has had its time to catch up. Disks may be slow meanwhile, the machine that
//! came last may go again, and all power may go in the midst of a repair.

use crate::sim::faults::membership_losses::MembershipFaults;
use crate::sim::faults::profiles::Fault;
use crate::sim::operators::traffic::Operators;
use crate::sim::world::World;
use sumacvale_core::base::{MS, Micros, SEC};

/// How long disks are slow from a loss on: longer than a machine has to catch up.
const SLOW: Micros = 6 * SEC;
/// A machine that stands still or is cut off does so for at most this long.
const AWAY: Micros = 7 * SEC;

/// What goes next, in parts of the sum.
const LOSSES: &[(u64, RepairLoss)] = &[
    (2, RepairLoss::Move(Fault::Swap { term: true, before: true })),
    (2, RepairLoss::Move(Fault::Swap { term: true, before: false })),
    (1, RepairLoss::Move(Fault::Swap { term: false, before: true })),
    (2, RepairLoss::Move(Fault::Swap { term: false, before: false })),
    (2, RepairLoss::Move(Fault::Empty)),
    (2, RepairLoss::Move(Fault::AckLoss)),
    (1, RepairLoss::Move(Fault::KillAll)),
    (3, RepairLoss::LastAgain),
    (1, RepairLoss::Frozen),
    (1, RepairLoss::CutOff),
];

#[derive(Clone, Copy, Debug)]
enum RepairLoss {
    Move(Fault),
    /// The machine that came last loses its disk, be it for the second time.
    LastAgain,
    Frozen,
    CutOff,
}

/// What is still to come in the repair of now.
#[derive(Debug, Default)]
pub struct Repairs {
    next: Micros,
    /// When all power goes once more.
    power: Option<Micros>,
}

impl Repairs {
    pub fn tick(&mut self, w: &mut World, o: &mut Operators, m: &mut MembershipFaults) {
        if self.power.is_some_and(|t| w.now >= t) {
            self.power = None;
            if m.repairs() {
                m.blink(w);
            }
        }
        if m.idle() && w.now >= self.next && w.now > 5 * SEC {
            self.lose(w, o, m);
        }
    }

    fn lose(&mut self, w: &mut World, o: &mut Operators, m: &mut MembershipFaults) {
        self.next = w.now + w.rng.below(100 * MS);
        self.power = w.rng.chance(25).then(|| w.now + w.rng.below(4 * SEC));
        if w.rng.chance(30) {
            w.log("all disks are slow".into());
            let until = w.now + SLOW;
            w.machines.iter_mut().filter(|s| s.is_core).for_each(|s| s.disk.slow_until = until);
        }
        match draw(w) {
            RepairLoss::Move(f) => {
                m.take(w, o, f);
            }
            RepairLoss::LastAgain => {
                if let Some(i) = m.came_last(w) {
                    m.empty(w, &[i]);
                }
            }
            RepairLoss::Frozen => away(w, m, true),
            RepairLoss::CutOff => away(w, m, false),
        }
    }
}

fn draw(w: &mut World) -> RepairLoss {
    let mut at = w.rng.below(LOSSES.iter().map(|l| l.0).sum());
    for (part, loss) in LOSSES {
        if at < *part {
            return *loss;
        }
        at -= part;
    }
    LOSSES[0].1
}

/// A core stands still, or nothing reaches it, and then it is back as it was.
fn away(w: &mut World, m: &mut MembershipFaults, frozen: bool) {
    let Some(i) = MembershipFaults::some(w, 1).first().copied() else { return };
    let until = w.now + SEC + w.rng.below(AWAY - SEC);
    w.log(format!("{} is {} until {until}", w.machines[i].addr, if frozen { "frozen" } else { "cut off" }));
    if frozen {
        w.freeze(i, until);
    } else {
        for j in 0..w.machines.len() {
            w.blocked_links.insert((i, j), until);
            w.blocked_links.insert((j, i), until);
        }
    }
    m.back_at(w.now, until);
}
