//! Simulated days of a deployment: the traffic and the faults of each hour.

use crate::sim::faults::profiles::Fault;
use crate::sim::workers::worker::WorkerBehaviour;
use crate::sim::world::{USUAL_CALL_MIX, World};
use sumacvale_core::base::{Micros, SEC};

#[derive(Clone, Copy, Debug)]
/// The size and peak load of a deployment whose day is simulated; an hour takes five seconds of virtual time.
pub struct Day {
    /// The name of the deployment.
    pub name: &'static str,
    /// The number of fronts.
    pub fronts: usize,
    /// The number of workers that serve the model.
    pub model_workers: usize,
    /// The probability, in percent, that a tenant starts a call in a step of ten milliseconds at the peak of the day.
    pub peak_load: u64,
}

/// The length of a simulated hour in microseconds.
pub const HOUR: Micros = 5 * SEC;

/// The traffic of each hour in percent of the peak.
const HOURLY_LOAD_PERCENT: [u64; 24] =
    [10, 8, 8, 8, 10, 15, 30, 60, 100, 95, 85, 80, 70, 75, 85, 90, 80, 60, 45, 35, 30, 25, 20, 15];

/// The call mix at night, mostly summaries; see `World::call_mix`.
const NIGHT_CALL_MIX: [u64; 5] = [10, 12, 20, 30, 100];

impl Day {
    /// The deployment of six fronts and twenty workers.
    pub const MTATSMINDA: Day = Day { name: "mtatsminda", fronts: 6, model_workers: 20, peak_load: 20 };
    /// The deployment of nine fronts and ten workers.
    pub const DERWENT: Day = Day { name: "derwent", fronts: 9, model_workers: 10, peak_load: 11 };

    /// Returns the probability, in percent, that a tenant starts a call in a step of ten milliseconds at this hour.
    pub fn load(&self, hour: u64) -> u64 {
        (self.peak_load * HOURLY_LOAD_PERCENT[usize::try_from(hour % 24).unwrap_or(0)]).div_ceil(100)
    }

    /// Sets the call mix and the extra routes of this hour; returns the fault that starts in it and its duration.
    pub fn hour(&self, world: &mut World, hour: u64) -> Option<(Fault, Micros)> {
        world.call_mix = if (6..22).contains(&hour) { USUAL_CALL_MIX } else { NIGHT_CALL_MIX };
        world.extra_routes = if hour == 15 { 3_000 } else { 0 };
        Some(match hour {
            3 => (Fault::SlowDisk, 4 * SEC),
            5 => (Fault::KillCore, 4 * SEC),
            8 => (Fault::TenantBurst, 5 * SEC),
            9 => (Fault::FaultyWorker(WorkerBehaviour::Truncate), 4 * SEC),
            10 => (Fault::RollingRelease, SEC),
            12 => (Fault::SharedPrefix, 5 * SEC),
            13 => (Fault::KillFront, 4 * SEC),
            14 => (Fault::ReplaceCoreByOperator, 4 * SEC),
            16 => (Fault::FaultyWorker(WorkerBehaviour::Unreachable), 4 * SEC),
            17 => (Fault::Freeze, 3 * SEC),
            18 => (Fault::PartitionNode, 4 * SEC),
            19 => (Fault::CrashWorker, SEC),
            20 => (Fault::PartitionZone, 3 * SEC),
            22 => (Fault::StallDisk, 3 * SEC),
            23 => {
                let candidates = [
                    Fault::PowerLossMany,
                    Fault::PartitionInTwo,
                    Fault::SlowDisks,
                    Fault::PartitionZone,
                    Fault::AllWorkersFaulty,
                    Fault::PartitionCore,
                ];
                (candidates[usize::try_from(world.rng.next_below(candidates.len() as u64)).unwrap_or(0)], 6 * SEC)
            }
            _ => return None,
        })
    }
}
