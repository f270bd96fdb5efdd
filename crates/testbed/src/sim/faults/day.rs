use crate::sim::faults::profiles::Fault;
use crate::sim::workers::worker::WorkerBehaviour;
use crate::sim::world::{MIX, World};
use sumacvale_core::base::{Micros, SEC};

/// A whole day of one deployment, an hour in five seconds.
#[derive(Clone, Copy, Debug)]
pub struct Day {
    pub name: &'static str,
    pub fronts: usize,
    pub models: usize,
    /// Percent of a call of each tenant in ten milliseconds when the day is busiest.
    pub load: u64,
}

pub const HOUR: Micros = 5 * SEC;

/// Percent of the busiest traffic, hour by hour.
const BUSY: [u64; 24] = [10, 8, 8, 8, 10, 15, 30, 60, 100, 95, 85, 80, 70, 75, 85, 90, 80, 60, 45, 35, 30, 25, 20, 15];

const NIGHT: [u64; 5] = [10, 12, 20, 30, 100];

impl Day {
    pub const MTATSMINDA: Day = Day { name: "mtatsminda", fronts: 6, models: 20, load: 20 };
    pub const DERWENT: Day = Day { name: "derwent", fronts: 9, models: 10, load: 11 };

    pub fn load(&self, hour: u64) -> u64 {
        (self.load * BUSY[usize::try_from(hour % 24).unwrap_or(0)]).div_ceil(100)
    }

    /// What kinds of calls come, and what happens in this hour.
    pub fn hour(&self, w: &mut World, hour: u64) -> Option<(Fault, Micros)> {
        w.mix = if (6..22).contains(&hour) { MIX } else { NIGHT };
        w.grown = if hour == 15 { 3_000 } else { 0 };
        Some(match hour {
            3 => (Fault::SlowDisk, 4 * SEC),
            5 => (Fault::KillCore, 4 * SEC),
            8 => (Fault::Crowd, 5 * SEC),
            9 => (Fault::Odd(WorkerBehaviour::Cut), 4 * SEC),
            10 => (Fault::Release, SEC),
            12 => (Fault::HotPrefix, 5 * SEC),
            13 => (Fault::KillFront, 4 * SEC),
            14 => (Fault::WipeCore, 4 * SEC),
            16 => (Fault::Odd(WorkerBehaviour::Dark), 4 * SEC),
            17 => (Fault::Freeze, 3 * SEC),
            18 => (Fault::CutNode, 4 * SEC),
            19 => (Fault::Crash, SEC),
            20 => (Fault::Zone, 3 * SEC),
            22 => (Fault::StallDisk, 3 * SEC),
            23 => {
                let last =
                    [Fault::KillMany, Fault::SplitCores, Fault::SlowDisks, Fault::Zone, Fault::Outage, Fault::CutCore];
                (last[usize::try_from(w.rng.below(last.len() as u64)).unwrap_or(0)], 6 * SEC)
            }
            _ => return None,
        })
    }
}
