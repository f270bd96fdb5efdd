//! Fault profiles: which faults a run injects, and for how long.

use crate::sim::workers::worker::WorkerBehaviour;
use sumacvale_core::base::{MS, Micros, Rng, SEC};

/// A kind of fault; the machines and times are drawn from the seed.
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
    /// A drawn machine is partitioned from all others.
    CutNode,
    /// A core is partitioned from all others.
    CutCore,
    /// The machines are partitioned into two groups, drawn at random, in both directions.
    SplitCores,
    /// All frames that one machine sends are lost; it still receives frames.
    OneWay,
    /// All processes of a front are frozen.
    Freeze,
    /// All processes of a core are frozen.
    FreezeCore,
    /// A front runs several times slower.
    SlowNode,
    /// A core runs several times slower.
    SlowCore,
    /// The disk of a core is slow.
    SlowDisk,
    /// The disk of a core completes no write.
    StallDisk,
    /// A disk rejects each write until it has room again.
    FullDisk,
    /// A core is replaced by one with an empty disk at a new address, which an operator admits.
    WipeCore,
    /// One zone is partitioned from the others.
    Zone,
    /// One frame in ten is lost.
    Lossy,
    /// Frames are delayed and reordered, and some are lost.
    Jam,
    /// Frames of one machine, sent and received, are held until the end of the fault.
    Hold,
    /// A machine sleeps for longer than any lease or report is valid.
    Sleep,
    /// The disks of all cores are slow at once.
    SlowDisks,
    /// A worker drains or vanishes, and is restarted later.
    Workers,
    /// A worker shows a faulty behaviour for a while.
    Odd(WorkerBehaviour),
    /// A worker's process crashes, and another one starts at its address.
    Crash,
    /// Rolling release: all workers of the model are replaced, one after the other.
    Release,
    /// One tenant sends eight times its usual calls.
    Crowd,
    /// All calls share one prefix.
    HotPrefix,
    /// All workers show the same faulty behaviour at once.
    Outage,
    /// A core is removed for good, with or without a shutdown; one with an empty disk joins at a new address.
    Swap {
        /// The old machine is asked to shut down before it is removed.
        term: bool,
        /// The new machine starts before the old one is removed.
        before: bool,
    },
    /// Up to as many cores as the fleet tolerates lose their disks and restart at their addresses.
    Empty,
    /// Cores lose their disks right after an acknowledgement, in half of the cases while all others lose power.
    AckLoss,
    /// All machines lose power and restart within a second.
    KillAll,
    /// All cores lose power and restart within a second; the fronts keep running, with their connections.
    KillCores,
}

#[derive(Clone, Copy, Debug)]
/// A kind of run: the faults that are injected, for how long, and the rate of configuration changes.
pub struct Profile {
    /// The name on the command line.
    pub name: &'static str,
    /// The faults to draw from; each starts 0.2 to 4.2 seconds after the one before.
    pub faults: &'static [Fault],
    /// How long faults are injected, in seconds.
    pub secs: u64,
    /// The average number of changes that operators request in ten seconds.
    pub changes: u64,
}

use Fault::{
    AckLoss, Crash, Crowd, CutCore, CutNode, Empty, Freeze, FreezeCore, FullDisk, Hold, HotPrefix, Jam, KillAll,
    KillCore, KillCores, KillFront, KillMany, Lossy, Odd, OneWay, Outage, PowerCore, Release, Sleep, SlowCore,
    SlowDisk, SlowDisks, SlowNode, SplitCores, StallDisk, Swap, WipeCore, Workers, Zone,
};

/// Losses and replacements of cores that manage the voters themselves.
const MEMBERSHIP_FAULTS: &[Fault] = &[
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
        Profile { name: "members", faults: MEMBERSHIP_FAULTS, secs: 120, changes: 10 },
        Profile { name: "many", faults: MEMBERSHIP_FAULTS, secs: 120, changes: 10 },
        // `RepeatedLosses` injects the losses of these.
        Profile { name: "repairs", faults: &[], secs: 120, changes: 10 },
        Profile { name: "repairs_two", faults: &[], secs: 120, changes: 10 },
        // `Control` injects the faults of these.
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

    /// Returns the profile of this name.
    pub fn named(name: &str) -> Option<&'static Profile> {
        Self::ALL.iter().find(|profile| profile.name == name)
    }

    /// Draws a fault and its duration in microseconds.
    pub fn draw_fault(&self, rng: &mut Rng) -> Option<(Fault, Micros)> {
        let count = self.faults.len() as u64;
        if count == 0 {
            return None;
        }
        let fault = self.faults[usize::try_from(rng.below(count)).unwrap_or(0)];
        Some((fault, 300 * MS + rng.below(7 * SEC)))
    }
}
