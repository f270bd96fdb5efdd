//! Faults of a simulated run: the profiles that choose them, and what injects and ends them.

pub(super) mod control;
pub(super) mod day;
pub(super) mod injection;
pub(super) mod membership_losses;
pub(super) mod profiles;
pub(super) mod repairs;
pub(super) mod rolling_release;
