//! Which troubles a profile of the control side plays, and how its operator behaves meanwhile.

use crate::sim::operators::orders::OperatorBehaviour;
use sumacvale_core::base::{MS, SEC};

/// How a machine is cut off from the others that count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartitionKind {
    /// What is sent comes when the cut ends.
    Silent,
    /// Connections end at once, with what was under way; attempts to open new ones run into their time-out.
    Reset,
    /// Connections are closed, and each attempt to open a new one fails at once.
    Refuse,
    /// Nothing comes from it, but it hears.
    OneWayOut,
    /// It hears nothing.
    OneWayIn,
    /// New seeds begin with those that are cut off, and others are restarted.
    Seeds,
    /// The one that is cut off is restarted, then the others that count.
    Both,
}

/// One kind of trouble.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlFault {
    CutOff(PartitionKind),
    /// The machine that acknowledges next loses power, or its disk as well.
    AfterAck {
        wipe: bool,
    },
    /// Right after an acknowledgement the core whose disk has lasted longest loses it.
    OldestAfterAck,
    /// The machine that an order is sent to loses power soon after, acknowledged or not.
    Timed {
        wipe: bool,
    },
    /// The front that has just begun to answer a call loses power, and may never come back.
    AfterWork {
        gone: bool,
    },
    /// All cores, or all machines, lose power right after work or an order was accepted.
    PowerAfterWork {
        all: bool,
    },
    /// A disk refuses each write; with `power` the machine loses power meanwhile, and comes back
    /// before there is room.
    FullDisk {
        power: bool,
    },
    /// A machine loses its disk, and power ends its first start on the empty one: what that made
    /// lasted or is lost.
    HalfStart,
    Freeze,
    /// A machine runs several times slower.
    Slow,
    Restart,
    /// A core is told to stop while it is under load, and begins again; the cores take turns.
    Roll,
    Wipe,
    /// Away through many changes.
    LongAway,
}

/// A profile of the control side.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub habits: OperatorBehaviour,
    pub troubles: &'static [ControlFault],
    /// Workers that leave beside those of a cut, in percent of the troubles.
    pub leaves: u64,
    /// The last trouble comes right after an acknowledgement, and traffic goes on.
    pub closing: bool,
}

use ControlFault::{
    AfterAck, AfterWork, CutOff, Freeze, FullDisk, HalfStart, LongAway, OldestAfterAck, PowerAfterWork, Restart, Roll,
    Slow, Timed, Wipe,
};
use PartitionKind::{Both, OneWayIn, OneWayOut, Refuse, Reset, Seeds, Silent};

const STEADY: OperatorBehaviour =
    OperatorBehaviour { every: 600 * MS, races: 30, lost: 0, repeats: 5, reads: 30, bad: 0, routes: 0 };

const CUTS: &[ControlFault] = &[
    CutOff(Silent),
    CutOff(Reset),
    CutOff(Refuse),
    CutOff(OneWayOut),
    CutOff(OneWayIn),
    CutOff(Seeds),
    CutOff(Both),
    Freeze,
];

const NUMBERS: &[ControlFault] = &[AfterAck { wipe: false }, AfterAck { wipe: true }, Restart, Wipe];

const REPAIRS: &[ControlFault] =
    &[Wipe, AfterAck { wipe: true }, Timed { wipe: true }, FullDisk { power: false }, FullDisk { power: true }];

const ANSWERS: &[ControlFault] = &[
    AfterAck { wipe: false },
    Timed { wipe: false },
    CutOff(OneWayOut),
    CutOff(Silent),
    Restart,
    FullDisk { power: false },
    FullDisk { power: true },
];

const POWER: &[ControlFault] = &[
    AfterWork { gone: false },
    AfterWork { gone: true },
    PowerAfterWork { all: false },
    PowerAfterWork { all: true },
    AfterAck { wipe: false },
    OldestAfterAck,
    HalfStart,
];

const TURNS: &[ControlFault] = &[Roll, Roll, Slow, CutOff(Silent), CutOff(Reset), CutOff(Refuse)];

impl Plan {
    /// The plan of a profile, if the control side is what it tries.
    pub fn named(name: &str) -> Option<Plan> {
        let steady = |troubles, leaves| Plan { habits: STEADY, troubles, leaves, closing: false };
        Some(match name {
            "control_cut_off" => steady(CUTS, 40),
            "control_numbers" => {
                let habits = OperatorBehaviour { every: 300 * MS, races: 60, lost: 40, repeats: 60, bad: 10, ..STEADY };
                Plan { habits, ..steady(NUMBERS, 0) }
            }
            "control_second_loss" => steady(REPAIRS, 30),
            "control_hundreds" => {
                let habits = OperatorBehaviour { every: 200 * MS, races: 0, repeats: 30, routes: 300, ..STEADY };
                Plan { habits, ..steady(&[LongAway], 0) }
            }
            "control_answers" => {
                let habits = OperatorBehaviour { lost: 70, repeats: 20, bad: 10, ..STEADY };
                Plan { habits, ..steady(ANSWERS, 40) }
            }
            "control_power" => {
                Plan { habits: OperatorBehaviour { lost: 40, ..STEADY }, closing: true, ..steady(POWER, 20) }
            }
            "control_turns" => steady(TURNS, 20),
            _ => return None,
        })
    }
}

/// A machine counts as lost for so long after its return.
pub(super) const CATCH_UP: u64 = 4 * SEC;
