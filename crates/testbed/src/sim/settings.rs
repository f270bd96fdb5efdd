//! The settings of one run of the simulator.

use crate::sim::faults::control::Plan;
use crate::sim::faults::day::Day;
use crate::sim::faults::profiles::Profile;

/// One run: a seed, a profile, and how large the fleet is.
#[derive(Clone, Copy, Debug)]
/// One run: a seed, a profile, and the size of the fleet.
pub struct Run {
    /// The seed of all random draws.
    pub seed: u64,
    /// The faults that are injected.
    pub profile: &'static Profile,
    /// How many machines are cores.
    pub cores: usize,
    /// How many machines are fronts.
    pub fronts: usize,
    /// How many workers serve the model.
    pub workers: usize,
    /// How likely a tenant has a call in each ten milliseconds, in percent.
    pub load: u64,
    /// A whole day of a deployment instead of drawn faults.
    pub day: Option<Day>,
    /// Whether quotas are rates with a burst instead of windows.
    pub rates: bool,
}

impl Run {
    /// The day of a deployment, with its own size of the fleet.
    pub fn day(seed: u64, day: Day) -> Self {
        let profile = Profile::named("day").unwrap_or(&Profile::ALL[0]);
        Run { fronts: day.fronts, workers: day.models, day: Some(day), ..Run::new(seed, profile) }
    }

    /// A run of a profile with the usual size of the fleet: three cores, six fronts and six workers.
    pub fn new(seed: u64, profile: &'static Profile) -> Self {
        let cores = match profile.name {
            "many" | "repairs_two" => 7,
            // Half of the fleets have a core that could take a voter's place at once.
            "repairs" | "control_second_loss" => 3 + usize::from(seed.is_multiple_of(2)),
            _ => 3,
        };
        let load = if Plan::named(profile.name).is_some() { 10 } else { 45 };
        Run { seed, profile, cores, fronts: 6, workers: 6, load, day: None, rates: false }
    }
}
