//! Profiles: which faults a run injects.

use crate::sim::workers::worker::WorkerBehaviour;
use sumacvale_core::base::{MS, Micros, Rng, SEC};

/// What may go wrong; the places and times are drawn from the seed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The process of a core is killed.
    KillCore,
    /// The process of a front is killed.
    KillFront,
    /// A core's machine loses power.
    PowerCore,
    /// Most machines lose power at once.
    KillMany,
    /// A machine is partitioned from all others.
    CutNode,
    /// A core is partitioned from all others.
    CutCore,
    /// The machines are partitioned into two halves, drawn at random, both ways.
    SplitCores,
    /// Frames of one machine are lost; it still receives.
    OneWay,
    /// All processes of a front stand still.
    Freeze,
    /// All processes of a core stand still.
    FreezeCore,
    /// A front runs several times slower.
    SlowNode,
    /// A core runs several times slower.
    SlowCore,
    /// The disk of a core is slow.
    SlowDisk,
    /// The disk of a core completes no write.
    StallDisk,
    /// A disk refuses each write until there is room again.
    FullDisk,
    /// A core is replaced by one with an empty disk at a new address, which an operator admits.
    WipeCore,
    /// One zone is partitioned from the others.
    Zone,
    /// One frame in ten is lost.
    Lossy,
    /// Frames overtake one another and come late, some not at all.
    Jam,
    /// Frames of one machine, sent and received, are held until the end of the fault.
    Hold,
    /// A machine sleeps for longer than any lease or report is valid.
    Sleep,
    /// All cores' disks are slow at once.
    SlowDisks,
    /// A worker drains or vanishes, and starts again later.
    Workers,
    /// A worker behaves in some way for a while.
    Odd(WorkerBehaviour),
    /// A worker's process ends and another one begins at its address.
    Crash,
    /// All workers of the model are replaced, one after the other.
    Release,
    /// One tenant calls many times as often as it does.
    Crowd,
    /// All calls share one prefix.
    HotPrefix,
    /// All workers of the model are in trouble at once.
    Outage,
    /// A core goes for good, with or without a word; an empty one comes at a new address.
    Swap {
        /// The old machine is told to stop before it ends.
        term: bool,
        /// The new machine starts before the old one ends.
        before: bool,
    },
    /// As many cores as may be lost lose their disks and begin again at their addresses.
    Empty,
    /// The same right after an acknowledgement, at times while all others lose power.
    AckLoss,
    /// All processes are killed and return within a second.
    KillAll,
    /// All cores lose power and return within a second; the fronts keep theirs, and their connections.
    KillCores,
}

#[derive(Clone, Copy, Debug)]
/// A kind of run: which faults are injected, for how long, beside how many changes.
pub struct Profile {
    /// The name on the command line.
    pub name: &'static str,
    /// The faults that are drawn from; each begins within four seconds of the last one.
    pub faults: &'static [Fault],
    /// How long faults are injected, in seconds.
    pub secs: u64,
    /// How many changes operators request in ten seconds.
    pub changes: u64,
}

use Fault::{
    AckLoss, Crash, Crowd, CutCore, CutNode, Empty, Freeze, FreezeCore, FullDisk, Hold, HotPrefix, Jam, KillAll,
    KillCore, KillCores, KillFront, KillMany, Lossy, Odd, OneWay, Outage, PowerCore, Release, Sleep, SlowCore,
    SlowDisk, SlowDisks, SlowNode, SplitCores, StallDisk, Swap, WipeCore, Workers, Zone,
};

const MOVES: &[Fault] = &[
    Swap { term: true, before: true },
    Swap { term: true, before: false },
    Swap { term: false, before: true },
    Swap { term: false, before: false },
    Empty,
    Empty,
    AckLoss,
    KillAll,
];

impl Profile {
    /// All profiles, in the order in which the command line runs them.
    pub const ALL: &'static [Profile] = &[
        Profile { name: "calm", faults: &[], secs: 30, changes: 8 },
        Profile { name: "races", faults: &[], secs: 30, changes: 120 },
        Profile { name: "kills", faults: &[KillCore, KillFront], secs: 60, changes: 20 },
        Profile { name: "power", faults: &[KillMany, PowerCore, SlowDisk, SlowDisks], secs: 60, changes: 30 },
        Profile { name: "stalls", faults: &[Hold, Jam, Sleep], secs: 60, changes: 60 },
        Profile { name: "cuts", faults: &[CutNode, CutCore, OneWay, SplitCores], secs: 60, changes: 20 },
        Profile { name: "freezes", faults: &[Freeze, FreezeCore], secs: 60, changes: 20 },
        Profile { name: "slow", faults: &[SlowNode, SlowCore, KillCore], secs: 60, changes: 20 },
        Profile { name: "disks", faults: &[SlowDisk, StallDisk, FullDisk, KillCore], secs: 60, changes: 30 },
        Profile { name: "wiped", faults: &[WipeCore], secs: 90, changes: 15 },
        Profile { name: "members", faults: MOVES, secs: 120, changes: 10 },
        Profile { name: "many", faults: MOVES, secs: 120, changes: 10 },
        // Their losses come from `repairs.rs`.
        Profile { name: "repairs", faults: &[], secs: 120, changes: 10 },
        Profile { name: "repairs_two", faults: &[], secs: 120, changes: 10 },
        // Their troubles come from `control/`.
        Profile { name: "control_cut_off", faults: &[], secs: 60, changes: 0 },
        Profile { name: "control_numbers", faults: &[], secs: 60, changes: 0 },
        Profile { name: "control_second_loss", faults: &[], secs: 60, changes: 0 },
        Profile { name: "control_hundreds", faults: &[], secs: 100, changes: 0 },
        Profile { name: "control_answers", faults: &[], secs: 60, changes: 0 },
        Profile { name: "control_power", faults: &[], secs: 60, changes: 0 },
        Profile { name: "control_turns", faults: &[], secs: 60, changes: 0 },
        Profile { name: "blackout", faults: &[KillAll], secs: 60, changes: 10 },
        Profile { name: "blackout_cores", faults: &[KillCores], secs: 60, changes: 10 },
        Profile { name: "zones", faults: &[Zone, Lossy], secs: 60, changes: 15 },
        Profile { name: "workers", faults: &[Workers, KillFront, Freeze], secs: 60, changes: 5 },
        Profile { name: "day", faults: &[], secs: 120, changes: 6 },
        Profile {
            name: "tries",
            faults: &[
                Odd(WorkerBehaviour::Hang),
                Odd(WorkerBehaviour::Mute),
                Odd(WorkerBehaviour::Cut),
                Odd(WorkerBehaviour::Bare),
                Odd(WorkerBehaviour::Decline),
                Odd(WorkerBehaviour::Dark),
                Odd(WorkerBehaviour::Reset),
                Odd(WorkerBehaviour::Slow),
                Odd(WorkerBehaviour::Skip),
                Crash,
            ],
            secs: 60,
            changes: 10,
        },
        Profile { name: "outage", faults: &[Outage, Odd(WorkerBehaviour::Mute), Crash], secs: 60, changes: 5 },
        Profile {
            name: "crowds",
            faults: &[Crowd, HotPrefix, Odd(WorkerBehaviour::Slow), Crash],
            secs: 60,
            changes: 10,
        },
        Profile { name: "release", faults: &[Release, Crash, KillFront, Freeze], secs: 60, changes: 20 },
        Profile {
            name: "revoked",
            faults: &[CutNode, Freeze, Sleep, Hold, Odd(WorkerBehaviour::Cut)],
            secs: 60,
            changes: 60,
        },
        Profile {
            name: "storm",
            faults: &[
                KillCore,
                KillFront,
                KillMany,
                CutNode,
                CutCore,
                SplitCores,
                OneWay,
                Freeze,
                FreezeCore,
                SlowDisk,
                StallDisk,
                WipeCore,
                Zone,
                Lossy,
                Workers,
                Jam,
                Hold,
                SlowDisks,
                Crash,
                Release,
                Crowd,
                Odd(WorkerBehaviour::Cut),
                Odd(WorkerBehaviour::Mute),
                Odd(WorkerBehaviour::Decline),
                Odd(WorkerBehaviour::Dark),
            ],
            secs: 90,
            changes: 40,
        },
    ];

    /// The profile of this name.
    pub fn named(n: &str) -> Option<&'static Profile> {
        Self::ALL.iter().find(|p| p.name == n)
    }

    /// Draws a fault and its duration in microseconds.
    pub fn pick(&self, r: &mut Rng) -> Option<(Fault, Micros)> {
        let n = self.faults.len() as u64;
        if n == 0 {
            return None;
        }
        let f = self.faults[usize::try_from(r.below(n)).unwrap_or(0)];
        Some((f, 300 * MS + r.below(7 * SEC)))
    }
}
