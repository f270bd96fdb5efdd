//! What one run of the simulator is given.

use crate::sim::faults::control::Plan;
use crate::sim::faults::day::Day;
use crate::sim::faults::profiles::Profile;

/// One run: a seed, a profile, and how large the fleet is.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    pub seed: u64,
    pub profile: &'static Profile,
    pub cores: usize,
    pub fronts: usize,
    pub workers: usize,
    /// How likely a tenant has a call in each ten milliseconds.
    pub load: u64,
    /// A whole day in the place of drawn faults.
    pub day: Option<Day>,
    /// Quotas are rates with a burst.
    pub rates: bool,
}

impl Run {
    pub fn day(seed: u64, d: Day) -> Self {
        let p = Profile::named("day").unwrap_or(&Profile::ALL[0]);
        Run { fronts: d.fronts, workers: d.models, day: Some(d), ..Run::new(seed, p) }
    }

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
