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
    PowerLossCore,
    /// Most machines lose power at once.
    PowerLossMany,
    /// A drawn machine is partitioned from all others.
    PartitionNode,
    /// A core is partitioned from all others.
    PartitionCore,
    /// The machines are partitioned into two groups, drawn at random, in both directions.
    PartitionInTwo,
    /// All frames that one machine sends are lost; it still receives frames.
    LoseOutgoingFrames,
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
    ReplaceCoreByOperator,
    /// One zone is partitioned from the others.
    PartitionZone,
    /// One frame in ten is lost.
    LoseFrames,
    /// Frames are delayed and reordered, and some are lost.
    ReorderFrames,
    /// Frames of one machine, sent and received, are held until the end of the fault.
    HoldFrames,
    /// A machine sleeps for longer than any lease or report is valid.
    Sleep,
    /// The disks of all cores are slow at once.
    SlowDisks,
    /// A worker drains or vanishes, and is restarted later.
    StopWorker,
    /// A worker shows a faulty behaviour for a while.
    FaultyWorker(WorkerBehaviour),
    /// A worker's process crashes, and another one starts at its address.
    CrashWorker,
    /// Rolling release: all workers of the model are replaced, one after the other.
    RollingRelease,
    /// One tenant sends eight times its usual calls.
    TenantBurst,
    /// All calls share one prefix.
    SharedPrefix,
    /// All workers show the same faulty behaviour at once.
    AllWorkersFaulty,
    /// A core is removed for good, with or without a shutdown; one with an empty disk joins at a new address.
    ReplaceCore {
        /// The old machine is asked to shut down before it is removed.
        requests_shutdown: bool,
        /// The new machine starts before the old one is removed.
        starts_successor_first: bool,
    },
    /// Up to as many cores as the fleet tolerates lose their disks and restart at their addresses.
    WipeCores,
    /// Cores lose their disks right after an acknowledgement, in half of the cases while all others lose power.
    WipeAfterAck,
    /// All machines lose power and restart within a second.
    PowerLossAll,
    /// All cores lose power and restart within a second; the fronts keep running, with their connections.
    PowerLossCores,
}

#[derive(Clone, Copy, Debug)]
/// A kind of run: the faults that are injected, for how long, and the rate of configuration changes.
pub struct Profile {
    /// The name on the command line.
    pub name: &'static str,
    /// The faults to draw from; each starts 0.2 to 4.2 seconds after the one before.
    pub faults: &'static [Fault],
    /// How long faults are injected, in seconds.
    pub duration_s: u64,
    /// The average number of changes that operators request in ten seconds.
    pub changes: u64,
}

use Fault::{
    AllWorkersFaulty, CrashWorker, FaultyWorker, Freeze, FreezeCore, FullDisk, HoldFrames, KillCore, KillFront,
    LoseFrames, LoseOutgoingFrames, PartitionCore, PartitionInTwo, PartitionNode, PartitionZone, PowerLossAll,
    PowerLossCore, PowerLossCores, PowerLossMany, ReorderFrames, ReplaceCore, ReplaceCoreByOperator, RollingRelease,
    SharedPrefix, Sleep, SlowCore, SlowDisk, SlowDisks, SlowNode, StallDisk, StopWorker, TenantBurst, WipeAfterAck,
    WipeCores,
};

/// Losses and replacements of cores that manage the voters themselves.
const MEMBERSHIP_FAULTS: &[Fault] = &[
    ReplaceCore { requests_shutdown: true, starts_successor_first: true },
    ReplaceCore { requests_shutdown: true, starts_successor_first: false },
    ReplaceCore { requests_shutdown: false, starts_successor_first: true },
    ReplaceCore { requests_shutdown: false, starts_successor_first: false },
    WipeCores,
    WipeCores,
    WipeAfterAck,
    PowerLossAll,
];

impl Profile {
    /// All profiles, in the order in which the command line runs them.
    pub const ALL: &'static [Profile] = &[
        Profile { name: "calm", faults: &[], duration_s: 30, changes: 8 },
        Profile { name: "races", faults: &[], duration_s: 30, changes: 120 },
        Profile { name: "kills", faults: &[KillCore, KillFront], duration_s: 60, changes: 20 },
        Profile {
            name: "power",
            faults: &[PowerLossMany, PowerLossCore, SlowDisk, SlowDisks],
            duration_s: 60,
            changes: 30,
        },
        Profile { name: "stalls", faults: &[HoldFrames, ReorderFrames, Sleep], duration_s: 60, changes: 60 },
        Profile {
            name: "cuts",
            faults: &[PartitionNode, PartitionCore, LoseOutgoingFrames, PartitionInTwo],
            duration_s: 60,
            changes: 20,
        },
        Profile { name: "freezes", faults: &[Freeze, FreezeCore], duration_s: 60, changes: 20 },
        Profile { name: "slow", faults: &[SlowNode, SlowCore, KillCore], duration_s: 60, changes: 20 },
        Profile { name: "disks", faults: &[SlowDisk, StallDisk, FullDisk, KillCore], duration_s: 60, changes: 30 },
        Profile { name: "wiped", faults: &[ReplaceCoreByOperator], duration_s: 90, changes: 15 },
        Profile { name: "members", faults: MEMBERSHIP_FAULTS, duration_s: 120, changes: 10 },
        Profile { name: "many", faults: MEMBERSHIP_FAULTS, duration_s: 120, changes: 10 },
        // `RepeatedLosses` injects the losses of these.
        Profile { name: "repairs", faults: &[], duration_s: 120, changes: 10 },
        Profile { name: "repairs_two", faults: &[], duration_s: 120, changes: 10 },
        // `Control` injects the faults of these.
        Profile { name: "control_cut_off", faults: &[], duration_s: 60, changes: 0 },
        Profile { name: "control_numbers", faults: &[], duration_s: 60, changes: 0 },
        Profile { name: "control_second_loss", faults: &[], duration_s: 60, changes: 0 },
        Profile { name: "control_hundreds", faults: &[], duration_s: 100, changes: 0 },
        Profile { name: "control_answers", faults: &[], duration_s: 60, changes: 0 },
        Profile { name: "control_power", faults: &[], duration_s: 60, changes: 0 },
        Profile { name: "control_turns", faults: &[], duration_s: 60, changes: 0 },
        Profile { name: "blackout", faults: &[PowerLossAll], duration_s: 60, changes: 10 },
        Profile { name: "blackout_cores", faults: &[PowerLossCores], duration_s: 60, changes: 10 },
        Profile { name: "zones", faults: &[PartitionZone, LoseFrames], duration_s: 60, changes: 15 },
        Profile { name: "workers", faults: &[StopWorker, KillFront, Freeze], duration_s: 60, changes: 5 },
        Profile { name: "day", faults: &[], duration_s: 120, changes: 6 },
        Profile {
            name: "tries",
            faults: &[
                FaultyWorker(WorkerBehaviour::Hang),
                FaultyWorker(WorkerBehaviour::NoResponse),
                FaultyWorker(WorkerBehaviour::Truncate),
                FaultyWorker(WorkerBehaviour::Unframed),
                FaultyWorker(WorkerBehaviour::Reject),
                FaultyWorker(WorkerBehaviour::Unreachable),
                FaultyWorker(WorkerBehaviour::Reset),
                FaultyWorker(WorkerBehaviour::Slow),
                FaultyWorker(WorkerBehaviour::Skip),
                CrashWorker,
            ],
            duration_s: 60,
            changes: 10,
        },
        Profile {
            name: "silent",
            faults: &[
                FaultyWorker(WorkerBehaviour::Pause),
                FaultyWorker(WorkerBehaviour::Pause),
                FaultyWorker(WorkerBehaviour::Slow),
                CrashWorker,
                KillFront,
            ],
            duration_s: 60,
            changes: 10,
        },
        Profile {
            name: "outage",
            faults: &[AllWorkersFaulty, FaultyWorker(WorkerBehaviour::NoResponse), CrashWorker],
            duration_s: 60,
            changes: 5,
        },
        Profile {
            name: "crowds",
            faults: &[TenantBurst, SharedPrefix, FaultyWorker(WorkerBehaviour::Slow), CrashWorker],
            duration_s: 60,
            changes: 10,
        },
        Profile {
            name: "release",
            faults: &[RollingRelease, CrashWorker, KillFront, Freeze],
            duration_s: 60,
            changes: 20,
        },
        Profile {
            name: "revoked",
            faults: &[PartitionNode, Freeze, Sleep, HoldFrames, FaultyWorker(WorkerBehaviour::Truncate)],
            duration_s: 60,
            changes: 60,
        },
        Profile {
            name: "storm",
            faults: &[
                KillCore,
                KillFront,
                PowerLossMany,
                PartitionNode,
                PartitionCore,
                PartitionInTwo,
                LoseOutgoingFrames,
                Freeze,
                FreezeCore,
                SlowDisk,
                StallDisk,
                ReplaceCoreByOperator,
                PartitionZone,
                LoseFrames,
                StopWorker,
                ReorderFrames,
                HoldFrames,
                SlowDisks,
                CrashWorker,
                RollingRelease,
                TenantBurst,
                FaultyWorker(WorkerBehaviour::Truncate),
                FaultyWorker(WorkerBehaviour::NoResponse),
                FaultyWorker(WorkerBehaviour::Reject),
                FaultyWorker(WorkerBehaviour::Unreachable),
            ],
            duration_s: 90,
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
        let fault = self.faults[usize::try_from(rng.next_below(count)).unwrap_or(0)];
        Some((fault, 300 * MS + rng.next_below(7 * SEC)))
    }
}
