//! The settings of one run of the simulator.

use crate::sim::faults::control::ControlProfile;
use crate::sim::faults::day::Day;
use crate::sim::faults::profiles::Profile;

#[derive(Clone, Copy, Debug)]
/// The settings of one run: its seed, its fault profile, and the size of the fleet.
pub struct Run {
    /// The seed of all random draws.
    pub seed: u64,
    /// The profile of faults that are injected.
    pub profile: &'static Profile,
    /// The number of cores.
    pub cores: usize,
    /// The number of fronts.
    pub fronts: usize,
    /// The number of workers that serve the model.
    pub workers: usize,
    /// The probability, in percent, that a tenant starts a call in a step of ten milliseconds.
    pub load: u64,
    /// The day of a deployment to simulate instead of drawn faults, if any.
    pub day: Option<Day>,
    /// Whether quotas are rates with a burst rather than windows.
    pub rates: bool,
}

impl Run {
    /// Returns the settings for a simulated day of a deployment, with its size of the fleet.
    pub fn day(seed: u64, day: Day) -> Self {
        let profile = Profile::named("day").unwrap_or(&Profile::ALL[0]);
        Run { fronts: day.fronts, workers: day.model_workers, day: Some(day), ..Run::new(seed, profile) }
    }

    /// Returns the settings for a profile with the usual fleet: six fronts, six workers and, for most profiles, three
    /// cores.
    pub fn new(seed: u64, profile: &'static Profile) -> Self {
        let cores = match profile.name {
            "many" | "repairs_two" => 7,
            // Half of the fleets have a spare core that can replace a voter at once.
            "repairs" | "control_second_loss" => 3 + usize::from(seed.is_multiple_of(2)),
            _ => 3,
        };
        let load = if ControlProfile::named(profile.name).is_some() { 10 } else { 45 };
        Run { seed, profile, cores, fronts: 6, workers: 6, load, day: None, rates: false }
    }
}
